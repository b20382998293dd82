"""Decodes rows of the platform's store that any process may have written."""

import threading
from typing import TypeVar

import logbook
from returns.result import Result, Success

from gypsumhold.adapters.jobs import codec
from gypsumhold.model import errors, ids
from gypsumhold.model.jobs import records
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.rows")
_Record = TypeVar("_Record")

HOLDER_KEY = "holder"
"""Key of the holder's row, and of the entry that holds the queue."""

MAX_KEY_CHARACTERS = 200
MAX_LOGGED_ROWS = 10_000


class RowReader:
    """Decodes rows; logs each version of an unreadable row once.

    Rows are read again and again while they stay. Any thread may use it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._logged: set[tuple[str, str, int]] = set()

    def decode(
        self, row: documents.Row, record_type: type[_Record]
    ) -> _Record | None:
        """Returns the record of a row; None if the row is unreadable."""
        decoded: Result[_Record, errors.Error] = codec.decode(
            row.value, record_type
        )
        if not isinstance(decoded, Success):
            self.reject(row, decoded.failure())
            return None
        record: _Record = decoded.unwrap()
        return record

    def decode_holder(self, row: documents.Row) -> records.HolderRecord | None:
        """Returns the holder that a row names; None if it can name none."""
        record = self.decode(row, records.HolderRecord)
        if record is not None and not _is_term(row, record.term):
            self.reject(row, f"impossible term {record.term}")
            return None
        return record

    def decode_entry(self, row: documents.Row) -> records.EntryRecord | None:
        """Returns an entry; None if its row is not as an entry writes it."""
        record = self.decode(row, records.EntryRecord)
        if record is None:
            return None
        key = HOLDER_KEY if record.holds else build_entry_key(record.name)
        if row.key != key:
            self.reject(row, f"belongs under {key[:MAX_KEY_CHARACTERS]!r}")
            return None
        if not _is_term(row, record.term):
            self.reject(row, f"impossible term {record.term}")
            return None
        return record

    def reject(self, row: documents.Row, reason: object) -> None:
        """Logs that a row is not used, unless this version is logged."""
        version = (row.table, row.key, row.row_version)
        with self._lock:
            if version in self._logged:
                return
            if len(self._logged) >= MAX_LOGGED_ROWS:
                self._logged.clear()
            self._logged.add(version)
        _LOG.error(
            "left out row {} of table {}: {}", row.key, row.table, reason
        )


def build_entry_key(name: str) -> str:
    """Returns the key under which an entry registers."""
    return f"at/{name}"


def _is_term(row: documents.Row, term: ids.Epoch) -> bool:
    """Tells whether a row may have this term.

    Each term begins with a transaction, and each transaction raises the
    version of the store.
    """
    return 0 <= term <= row.row_version
