"""Reads the operator's rows that request evacuations of data centres.

A row's presence is the request, whatever its value. Its key names the data
centre.
"""

from collections.abc import Iterable

from gypsumhold.model import ids
from gypsumhold.model.jobs import evacuations
from gypsumhold.platform import documents

PREFIX = "evacuate/"
"""Begin of the keys of these rows; the name of the data centre follows."""

PART = ""


def find_changes(
    rows: Iterable[documents.Row], version: ids.RowVersion
) -> evacuations.EvacuationChanges:
    """Returns what changed rows, in the order of their changes, tell."""
    return evacuations.EvacuationChanges(version, _find_states(rows))


def find_all(page: documents.Rows) -> evacuations.EvacuationChanges:
    """Returns what a read of all rows tells."""
    version = ids.RowVersion(page.row_version)
    return evacuations.EvacuationChanges(
        version, _find_states(page.rows), is_complete=True
    )


def _find_states(
    rows: Iterable[documents.Row],
) -> dict[ids.DataCentre, bool]:
    """Returns whether each named data centre is evacuated after the rows.

    Rows of other parts and rows that name no data centre request nothing.
    """
    return {
        ids.DataCentre(name): not row.deleted
        for row in rows
        if row.part == PART
        and row.key.startswith(PREFIX)
        and (name := row.key.removeprefix(PREFIX))
    }
