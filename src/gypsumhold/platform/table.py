"""Client of the platform's table store."""

import dataclasses
import datetime
import urllib.parse

import logbook
from returns.result import Success

from gypsumhold.adapters import httpcalls
from gypsumhold.model import ids
from gypsumhold.model.jobs import events, storage
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.table")

PAGE_ROWS = 500

FEED_SILENCE = datetime.timedelta(milliseconds=600)
"""Silence beyond its wait after which a feed is read on a new connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row that must have a version; 0 means that it does not exist."""

    table: str
    key: str
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A row to write."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A row to remove."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOutcome:
    """What became of a transaction.

    Attributes:
        result: Its result.
        version: Newest version in the store.
        rows: Present rows of the conditions, after a conflict.
    """

    result: storage.WriteResult
    version: ids.RowVersion = ids.RowVersion(0)
    rows: tuple[documents.Row, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPage:
    """Changes since a version.

    Attributes:
        result: How the read ended.
        rows: Changed rows in order.
        version: Where to continue.
    """

    result: events.ReadResult
    rows: tuple[documents.Row, ...] = ()
    version: ids.RowVersion = ids.RowVersion(0)


class TableClient:
    """Calls the store; the HTTP client belongs to the caller."""

    def __init__(self, calls: httpcalls.HttpCaller) -> None:
        """Stores the HTTP client."""
        self._calls = calls

    def transact(
        self,
        part: str,
        conditions: tuple[Condition, ...],
        puts: tuple[Put, ...],
        removed: tuple[Removal, ...] = (),
    ) -> TransactionOutcome:
        """Applies all changes of rows of one part, or none."""
        body = documents.Transaction(
            tuple(
                documents.ExpectedRow(it.table, part, it.key, it.version)
                for it in conditions
            ),
            tuple(
                documents.PutRow(it.table, part, it.key, it.value)
                for it in puts
            ),
            tuple(
                documents.RemovedRow(it.table, part, it.key) for it in removed
            ),
        )
        called = self._calls.call("POST", "/rows-tx", documents.encode(body))
        if not isinstance(called, Success):
            return TransactionOutcome(storage.WriteResult.UNKNOWN)
        return _read_outcome(called.unwrap())

    def read(
        self, table: str, part: str, start: str, end: str = ""
    ) -> documents.Rows | None:
        """Returns up to 500 rows from `start` on, or None."""
        query = {"table": table, "part": part, "from": start}
        if end:
            query["to"] = end
        target = f"/rows-get?{urllib.parse.urlencode(query)}"
        called = self._calls.call("GET", target)
        if not isinstance(called, Success):
            return None
        reply = called.unwrap()
        if reply.status != 200:
            _LOG.info("read of {} refused: {}", table, reply.status)
            return None
        return _decode_rows(reply.body)

    def read_all(self, table: str, part: str) -> documents.Rows | None:
        """Returns all rows of a part and the version of the first page."""
        rows: list[documents.Row] = []
        version: int | None = None
        start = ""
        while True:
            page = self.read(table, part, start)
            if page is None:
                return None
            rows += page.rows
            version = page.row_version if version is None else version
            if not page.has_more or not page.rows:
                return documents.Rows(tuple(rows), version)
            start = page.rows[-1].key + "\x00"

    def follow(
        self, table: str, after: ids.RowVersion, wait: datetime.timedelta
    ) -> FeedPage:
        """Waits for changes of a table."""
        wait_ms = wait // datetime.timedelta(milliseconds=1)
        target = f"/rows-feed?table={table}&after={after}&waitMs={wait_ms}"
        called = self._calls.call(
            "GET", target, wait=wait, silence=FEED_SILENCE
        )
        if not isinstance(called, Success):
            return FeedPage(events.ReadResult.LOST, version=after)
        reply = called.unwrap()
        if reply.status == 410:
            return FeedPage(events.ReadResult.GAP)
        rows = _decode_rows(reply.body) if reply.status == 200 else None
        if rows is None:
            _LOG.info("feed of {} refused: {}", table, reply.status)
            return FeedPage(events.ReadResult.LOST, version=after)
        version = ids.RowVersion(max(after, rows.row_version))
        return FeedPage(events.ReadResult.DONE, rows.rows, version)


def _decode_rows(body: bytes) -> documents.Rows | None:
    read = documents.decode(body, documents.Rows)
    if not isinstance(read, Success):
        _LOG.error("unreadable rows: {}", read.failure())
        return None
    rows: documents.Rows = read.unwrap()
    return rows


def _read_outcome(reply: httpcalls.Reply) -> TransactionOutcome:
    if reply.status in (429, 503):
        return TransactionOutcome(storage.WriteResult.UNAVAILABLE)
    if reply.status not in (200, 412):
        _LOG.error("transaction refused: {} {!r}", reply.status, reply.body)
        nothing = 400 <= reply.status < 500
        return TransactionOutcome(
            storage.WriteResult.UNAVAILABLE
            if nothing
            else storage.WriteResult.UNKNOWN
        )
    rows = _decode_rows(reply.body)
    if rows is None:
        return TransactionOutcome(storage.WriteResult.UNKNOWN)
    result = storage.WriteResult.STORED
    if reply.status == 412:
        result = storage.WriteResult.CONFLICT
    return TransactionOutcome(
        result, ids.RowVersion(rows.row_version), rows.rows
    )
