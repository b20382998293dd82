"""Client of the platform's table store."""

import dataclasses
import datetime
import urllib.parse

import logbook
from returns.result import Failure, Result, Success

from gypsumhold.adapters import http_client
from gypsumhold.model import errors, ids
from gypsumhold.model.jobs import events, storage
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.table")

PAGE_ROWS = 500

MAX_LOGGED_KEY = 100
"""Most characters of a key that a line shows."""

FEED_TIMEOUT = datetime.timedelta(milliseconds=600)
"""Time beyond the requested wait after which a feed read counts as failed.

The next read uses a new connection.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The version that a row must have; 0 if the row must not exist."""

    table: str
    key: str
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A row that a transaction writes."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A row that a transaction deletes."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOutcome:
    """How a transaction ended.

    Attributes:
        result: Whether the changes were stored.
        version: Newest version in the store.
        rows: After a conflict, the current rows that the conditions name.
    """

    result: storage.WriteResult
    version: ids.RowVersion = ids.RowVersion(0)
    rows: tuple[documents.Row, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPage:
    """Changes of a table since a version.

    Attributes:
        result: How the read ended.
        rows: Changed rows in the order of their changes.
        version: Version from which the next read continues.
    """

    result: events.ReadResult
    rows: tuple[documents.Row, ...] = ()
    version: ids.RowVersion = ids.RowVersion(0)


class TableClient:
    """Reads, follows and changes tables of the platform's store over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Creates a table client; the caller has to close `client`."""
        self._client = client

    def transact(
        self,
        part: str,
        conditions: tuple[Condition, ...],
        puts: tuple[Put, ...],
        removed: tuple[Removal, ...] = (),
    ) -> TransactionOutcome:
        """Applies all changes to rows of one part, or none.

        Args:
            part: Part that holds all rows of the transaction.
            conditions: Versions that rows must have; if one differs, nothing
                is changed.
            puts: Rows to write.
            removed: Rows to delete.

        Returns:
            How the transaction ended. The result is UNKNOWN if the changes may
            have been stored.
        """
        body = documents.Transaction(
            tuple(
                documents.ExpectedRow(
                    condition.table, part, condition.key, condition.version
                )
                for condition in conditions
            ),
            tuple(
                documents.PutRow(put.table, part, put.key, put.value)
                for put in puts
            ),
            tuple(
                documents.RemovedRow(removal.table, part, removal.key)
                for removal in removed
            ),
        )
        call_result = self._client.call(
            "POST", "/rows-tx", documents.render(body)
        )
        if not isinstance(call_result, Success):
            return TransactionOutcome(storage.WriteResult.UNKNOWN)
        return _parse_outcome(call_result.unwrap())

    def read(
        self, table: str, part: str, start: str, end: str = ""
    ) -> documents.Rows | None:
        """Returns the first rows of a range, or None if the read failed.

        The store returns at most 500 rows (`PAGE_ROWS`) in one answer.

        Args:
            table: Name of the table.
            part: Part of the table.
            start: First key of the range.
            end: End of the range; empty for no end.
        """
        query = {"table": table, "part": part, "from": start}
        if end:
            query["to"] = end
        target = f"/rows-get?{urllib.parse.urlencode(query)}"
        call_result = self._client.call("GET", target)
        if not isinstance(call_result, Success):
            return None
        reply = call_result.unwrap()
        if reply.status != 200:
            _LOG.info(
                "the store refused to read table {}: status {}",
                table,
                reply.status,
            )
            return None
        return _parse_rows(reply.body)

    def read_all(
        self, table: str, part: str, prefix: str = ""
    ) -> documents.Rows | None:
        """Returns all rows of a part, or None if a read failed.

        With a prefix, which ends with an ASCII character, returns only those
        whose keys begin with it.

        The version is that of the first page, so that following the table
        from there on returns every change that later pages may have missed.
        """
        rows: list[documents.Row] = []
        version: int | None = None
        start = prefix
        end = prefix and prefix[:-1] + chr(ord(prefix[-1]) + 1)
        while True:
            page = self.read(table, part, start, end)
            if page is None or not _is_page_from(page, start):
                return None
            rows += page.rows
            version = page.row_version if version is None else version
            if not page.has_more or not page.rows:
                return documents.Rows(tuple(rows), version)
            start = page.rows[-1].key + "\x00"

    def follow(
        self, table: str, after: ids.RowVersion, wait: datetime.timedelta
    ) -> FeedPage:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version up to which changes are known.
            wait: Longest time that the store waits for a change.

        Returns:
            The changes; with GAP if the store no longer has all of them, and
            with FAILED if the read failed and has to be repeated.
        """
        wait_ms = wait // datetime.timedelta(milliseconds=1)
        target = f"/rows-feed?table={table}&after={after}&waitMs={wait_ms}"
        call_result = self._client.call(
            "GET", target, wait=wait, read_timeout=FEED_TIMEOUT
        )
        if not isinstance(call_result, Success):
            return FeedPage(events.ReadResult.FAILED, version=after)
        reply = call_result.unwrap()
        if reply.status == 410:
            return FeedPage(events.ReadResult.GAP)
        rows = _parse_rows(reply.body) if reply.status == 200 else None
        if rows is None:
            _LOG.info(
                "cannot read changes of table {}: status {}",
                table,
                reply.status,
            )
            return FeedPage(events.ReadResult.FAILED, version=after)
        version = ids.RowVersion(max(after, rows.row_version))
        return FeedPage(events.ReadResult.DONE, rows.rows, version)


def _is_page_from(page: documents.Rows, start: str) -> bool:
    """Returns whether a page ends at or after the first key of its range.

    With a page that is repeated, reading page by page would never end.
    """
    if not page.rows or page.rows[-1].key >= start:
        return True
    _LOG.error("the store returned rows before {!r}", start[:MAX_LOGGED_KEY])
    return False


def _parse_rows(body: bytes) -> documents.Rows | None:
    """Returns the rows; None if one of them cannot be told from others.

    A row whose value is not readable gets an empty value.
    """
    result = documents.parse(body, documents.Rows).lash(
        lambda _: _parse_each(body)
    )
    if not isinstance(result, Success):
        _LOG.error(
            "cannot parse the rows that the store returned: {}",
            result.failure(),
        )
        return None
    rows: documents.Rows = result.unwrap()
    return rows


def _parse_each(body: bytes) -> Result[documents.Rows, errors.Error]:
    """Parses the rows one by one."""
    parsed = documents.parse(body, documents.UndecodedRows)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    page: documents.UndecodedRows = parsed.unwrap()
    rows = []
    for raw in page.rows:
        row = _parse_row(bytes(raw))
        if not isinstance(row, Success):
            return Failure(row.failure())
        rows.append(row.unwrap())
    return Success(documents.Rows(tuple(rows), page.row_version, page.has_more))


def _parse_row(data: bytes) -> Result[documents.Row, errors.Error]:
    """Parses a row, without its value if that is not readable."""
    row = documents.parse(data, documents.Row)
    return row.lash(
        lambda _: documents.parse(data, documents.RowHead).map(_build_empty_row)
    )


def _build_empty_row(head: documents.RowHead) -> documents.Row:
    return documents.Row(
        head.table,
        head.key,
        head.row_version,
        head.part,
        deleted=head.deleted,
    )


def _parse_outcome(reply: http_client.Reply) -> TransactionOutcome:
    if reply.status in (429, 503):
        return TransactionOutcome(storage.WriteResult.UNAVAILABLE)
    if reply.status not in (200, 412):
        _LOG.error("transaction refused: {} {!r}", reply.status, reply.body)
        # A client error means that the store has changed nothing.
        is_rejected = 400 <= reply.status < 500
        return TransactionOutcome(
            storage.WriteResult.UNAVAILABLE
            if is_rejected
            else storage.WriteResult.UNKNOWN
        )
    rows = _parse_rows(reply.body)
    if rows is None:
        return TransactionOutcome(storage.WriteResult.UNKNOWN)
    result = storage.WriteResult.STORED
    if reply.status == 412:
        result = storage.WriteResult.CONFLICT
    return TransactionOutcome(
        result, ids.RowVersion(rows.row_version), rows.rows
    )
