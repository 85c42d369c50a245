"""Formats tables and values for output without ``--json``."""

from collections.abc import Mapping, Sequence

_MS_PER_S = 1000


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Returns lines whose columns are aligned."""
    texts = [
        list(header),
        *([_format_cell(cell) for cell in row] for row in rows),
    ]
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


def format_age(milliseconds: float) -> str:
    """Returns an age as text in seconds, or ``never`` when negative."""
    if milliseconds < 0:
        return 'never'
    return f'{milliseconds / _MS_PER_S:.1f} s'


def _format_cell(cell: object) -> str:
    if isinstance(cell, Mapping):
        return ' '.join(
            f'{name}={_format_cell(value)}' for name, value in cell.items()
        )
    if isinstance(cell, list):
        return '; '.join(_format_cell(element) for element in cell)
    return _format_scalar(cell)


def _format_scalar(cell: object) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.1f}'
    return str(cell)
