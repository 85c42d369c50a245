"""Tables and words for people."""

from collections.abc import Mapping, Sequence

_MS_PER_S = 1000


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Returns lines with columns of equal width."""
    texts = [list(header), *([_text(cell) for cell in row] for row in rows)]
    widths = [
        max(len(line[column]) for line in texts)
        for column in range(len(header))
    ]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in texts
    ]


def table_of_documents(documents: Sequence[Mapping[str, object]]) -> list[str]:
    """Returns a table with one column for each key of the first document."""
    if not documents:
        return ['(none)']
    header = list(documents[0])
    return table(
        header,
        [[document.get(name, '') for name in header] for document in documents],
    )


def age(milliseconds: float) -> str:
    """Returns an age in seconds, or ``never`` when negative."""
    if milliseconds < 0:
        return 'never'
    return f'{milliseconds / _MS_PER_S:.1f} s'


def _text(cell: object) -> str:
    if isinstance(cell, Mapping):
        return ' '.join(f'{name}={_text(part)}' for name, part in cell.items())
    if isinstance(cell, list):
        return '; '.join(_text(part) for part in cell)
    return _scalar_text(cell)


def _scalar_text(cell: object) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.1f}'
    return str(cell)
