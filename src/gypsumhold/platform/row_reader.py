"""Decodes rows of the platform's store that any process may have written."""

import threading
from typing import TypeVar

import logbook
from returns.result import Result, Success

from gypsumhold.adapters.jobs import codec
from gypsumhold.model import errors
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.rows")
_Record = TypeVar("_Record")

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
