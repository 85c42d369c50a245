"""Rows as they are sent between instances."""

from yuccadale_edge._internal.membership.messages import source_row
from yuccadale_edge._internal.store import StoredRow


def test_large_rows_are_sent_small_and_come_back_whole() -> None:
    """Guards against a large configuration that fills the region link."""
    content = b'{"route": "a-name"}' * 20000
    row = StoredRow('config', content, 7)
    sent = source_row(row)
    assert sent.content is not None
    assert len(sent.content) < len(content) / 10
    assert sent.stored() == row


def test_small_and_removed_rows_come_back() -> None:
    """Guards against a removal that is taken as an empty row."""
    for row in (
        StoredRow('s', b'{}', 3),
        StoredRow('s', b'', 4, removed=True),
    ):
        assert source_row(row).stored() == row
