"""Tables of gypsumctl as text."""

from collections.abc import Iterable, Sequence


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Returns a table as text, with aligned columns."""
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return "".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        + "\n"
        for row in table
    )
