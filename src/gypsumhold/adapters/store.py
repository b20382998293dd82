"""The platform's table and object store.

A refused connection or a 503 proves that nothing took effect. After any other
failure, timeout or malformed reply the effect is unknown.
"""

import abc
import urllib.parse

from returns.result import Failure, Result, Success

from gypsumhold.adapters import httpcalls, json_documents, rowcodec
from gypsumhold.model import errors, ids, rows, states

PAGE_ROWS = 500
"""Rows of one page; a page stays far below the limit of a reply."""

_UNAVAILABLE = rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
_UNKNOWN = rows.CommitAnswer(states.CommitResult.UNKNOWN)
_UNREACHABLE = errors.Error(
    errors.ErrorKind.PLATFORM_UNAVAILABLE,
    "the platform's store did not answer",
    "check the store's address and try again",
)


class Table(abc.ABC):
    """The transactional table service."""

    @abc.abstractmethod
    def commit(self, transaction: rows.Transaction) -> rows.CommitAnswer:
        """Sends a transaction once and tells what became of it."""

    @abc.abstractmethod
    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads all rows of a prefix with a key greater than `after`.

        Returns:
            The rows in key order, or None if the read failed.
        """

    @abc.abstractmethod
    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Reads one row; None if there is none."""


class ObjectStore(abc.ABC):
    """The object store; names may contain slashes."""

    @abc.abstractmethod
    def put(self, name: str, body: bytes) -> Result[None, errors.Error]:
        """Stores an object under `name`, replacing an older one."""

    @abc.abstractmethod
    def get(self, name: str) -> Result[bytes | None, errors.Error]:
        """Reads an object; None if there is none."""

    @abc.abstractmethod
    def delete(self, name: str) -> Result[None, errors.Error]:
        """Deletes an object; deleting an absent one is harmless."""

    @abc.abstractmethod
    def list(self, prefix: str) -> Result[tuple[str, ...], errors.Error]:
        """Lists the names with a prefix, in order."""


class HttpTable(Table):
    """The table service over HTTP."""

    def __init__(self, caller: httpcalls.HttpClient) -> None:
        self._caller = caller

    def commit(self, transaction: rows.Transaction) -> rows.CommitAnswer:
        """Sends a transaction once and tells what became of it."""
        document = rowcodec.render_transaction(transaction)
        sent = self._caller.call_json("POST", "/v1/table/transact", document)
        match sent:
            case Success(reply):
                return _read_commit(reply)
            case Failure(httpcalls.CallFailure.NOT_SENT):
                return _UNAVAILABLE
            case _:
                return _UNKNOWN

    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads all rows of a prefix, page by page."""
        found: list[rows.Row] = []
        while True:
            page = self._read_page(prefix, after)
            if page is None:
                return None
            found.extend(page)
            if len(page) < PAGE_ROWS:
                return tuple(found)
            after = page[-1].key

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Reads one row; None if there is none."""
        query = urllib.parse.urlencode({"key": key})
        sent = self._caller.call("GET", f"/v1/table/row?{query}")
        match sent:
            case Success(httpcalls.Reply(status=404)):
                return Success(None)
            case Success(httpcalls.Reply(status=200, body=body)):
                return json_documents.read_json(body, "row").bind(
                    rowcodec.read_row
                )
            case _:
                return Failure(_UNREACHABLE)

    def _read_page(
        self, prefix: str, after: str
    ) -> tuple[rows.Row, ...] | None:
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": PAGE_ROWS}
        )
        sent = self._caller.call("GET", f"/v1/table/rows?{query}")
        match sent:
            case Success(httpcalls.Reply(status=200, body=body)):
                page = json_documents.read_json(body, "rows").bind(
                    rowcodec.read_rows
                )
                return _check_page(page.value_or(None), prefix, after)
            case _:
                return None


def _check_page(
    page: tuple[rows.Row, ...] | None, prefix: str, after: str
) -> tuple[rows.Row, ...] | None:
    # A page that is out of order or repeats rows would page without end.
    for row in page or ():
        if not row.key.startswith(prefix) or row.key <= after:
            return None
        after = row.key
    return page


def _read_commit(reply: httpcalls.Reply) -> rows.CommitAnswer:
    if reply.status == 503:
        return _UNAVAILABLE
    if reply.status != 200:
        return _UNKNOWN
    document = json_documents.read_json(reply.body, "commit answer")
    return document.bind(rowcodec.read_commit_answer).value_or(_UNKNOWN)


class _NamesDocument(json_documents.Document):
    names: tuple[str, ...]


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, caller: httpcalls.HttpClient) -> None:
        self._caller = caller

    def put(self, name: str, body: bytes) -> Result[None, errors.Error]:
        """Stores an object under `name`, replacing an older one."""
        return _expect(self._caller.call("PUT", _locate(name), body))

    def get(self, name: str) -> Result[bytes | None, errors.Error]:
        """Reads an object; None if there is none."""
        match self._caller.call("GET", _locate(name)):
            case Success(httpcalls.Reply(status=404)):
                return Success(None)
            case Success(httpcalls.Reply(status=200, body=body)):
                return Success(body)
            case _:
                return Failure(_UNREACHABLE)

    def delete(self, name: str) -> Result[None, errors.Error]:
        """Deletes an object; deleting an absent one is harmless."""
        return _expect(self._caller.call("DELETE", _locate(name)))

    def list(self, prefix: str) -> Result[tuple[str, ...], errors.Error]:
        """Lists the names with a prefix, in order."""
        query = urllib.parse.urlencode({"prefix": prefix})
        match self._caller.call("GET", f"/v1/objects?{query}"):
            case Success(httpcalls.Reply(status=200, body=body)):
                return json_documents.read_json(body, "names").bind(_read_names)
            case _:
                return Failure(_UNREACHABLE)


def _locate(name: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(name, safe='')}"


def _expect(
    sent: Result[httpcalls.Reply, httpcalls.CallFailure],
) -> Result[None, errors.Error]:
    match sent:
        case Success(httpcalls.Reply(status=200 | 204)):
            return Success(None)
        case _:
            return Failure(_UNREACHABLE)


def _read_names(raw: object) -> Result[tuple[str, ...], errors.Error]:
    return json_documents.convert_document(
        "names", lambda: _NamesDocument.model_validate(raw).names
    )
