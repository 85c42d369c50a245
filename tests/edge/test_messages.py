"""Encoding of rows in messages between instances."""

from yuccadale_edge._internal.membership.messages import encode_source_row
from yuccadale_edge._internal.store import StoredRow


def test_large_rows_are_compressed_and_decoded_unchanged() -> None:
    """Guards against a large configuration that fills a link to a region."""
    content = b'{"route": "a-name"}' * 20000
    row = StoredRow('config', content, 7)
    sent = encode_source_row(row)
    assert sent.content is not None
    assert len(sent.content) < len(content) / 10
    assert sent.decode() == row


def test_small_and_removed_rows_are_decoded_unchanged() -> None:
    """Guards against a removed row that is decoded as an empty row."""
    for row in (
        StoredRow('s', b'{}', 3),
        StoredRow('s', b'', 4, removed=True),
    ):
        assert encode_source_row(row).decode() == row
