"""Clients for the table service and the object store of the platform.

A refused connection or a status of 503 proves that the call had no effect.
After any other failure, a timeout or a malformed reply the effect is unknown.
"""

import abc
import urllib.parse

from returns.result import Failure, Result, Success

from gypsumhold.adapters import http_client, json_documents, row_codec
from gypsumhold.model import errors, ids, rows, states

PAGE_ROWS = 500
"""Number of rows per page; a page stays well below the limit of a reply."""

_UNAVAILABLE = rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
_UNKNOWN = rows.CommitAnswer(states.CommitResult.UNKNOWN)
_UNREACHABLE = errors.Error(
    errors.ErrorKind.PLATFORM_UNAVAILABLE,
    "the platform's store gave no valid answer",
    "check that the store runs at the address in the settings, then try again",
)


class Table(abc.ABC):
    """The transactional table service."""

    @abc.abstractmethod
    def commit(self, transaction: rows.Transaction) -> rows.CommitAnswer:
        """Sends a transaction, once, and returns its result."""

    @abc.abstractmethod
    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads all rows whose key has a prefix and is greater than `after`.

        Returns:
            The rows in key order, or None if the read failed.
        """

    @abc.abstractmethod
    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Returns the row with a key; None if it does not exist."""


class ObjectStore(abc.ABC):
    """The object store service; names may contain slashes."""

    @abc.abstractmethod
    def put(self, name: str, body: bytes) -> Result[None, errors.Error]:
        """Stores an object, replacing an existing one of that name."""

    @abc.abstractmethod
    def get(self, name: str) -> Result[bytes | None, errors.Error]:
        """Returns the body of an object; None if it does not exist."""

    @abc.abstractmethod
    def delete(self, name: str) -> Result[None, errors.Error]:
        """Deletes an object; succeeds if it does not exist."""

    @abc.abstractmethod
    def list(self, prefix: str) -> Result[tuple[str, ...], errors.Error]:
        """Returns the names that start with a prefix, in order."""


class HttpTable(Table):
    """Calls the table service over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def commit(self, transaction: rows.Transaction) -> rows.CommitAnswer:
        """Sends a transaction, once, and returns its result."""
        document = row_codec.render_transaction(transaction)
        call_result = self._client.call_json(
            "POST", "/v1/table/transact", document
        )
        match call_result:
            case Success(reply):
                return _read_commit(reply)
            case Failure(http_client.CallFailure.NOT_SENT):
                return _UNAVAILABLE
            case _:
                return _UNKNOWN

    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads all rows of a prefix after a key, page by page."""
        matching: list[rows.Row] = []
        while True:
            page = self._read_page(prefix, after)
            if page is None:
                return None
            matching.extend(page)
            if len(page) < PAGE_ROWS:
                return tuple(matching)
            after = page[-1].key

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Returns the row with a key; None if it does not exist."""
        query = urllib.parse.urlencode({"key": key})
        call_result = self._client.call("GET", f"/v1/table/row?{query}")
        match call_result:
            case Success(http_client.Reply(status=404)):
                return Success(None)
            case Success(http_client.Reply(status=200, body=body)):
                return json_documents.parse_json(body, "row").bind(
                    row_codec.parse_row
                )
            case _:
                return Failure(_UNREACHABLE)

    def _read_page(
        self, prefix: str, after: str
    ) -> tuple[rows.Row, ...] | None:
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": PAGE_ROWS}
        )
        call_result = self._client.call("GET", f"/v1/table/rows?{query}")
        match call_result:
            case Success(http_client.Reply(status=200, body=body)):
                page = json_documents.parse_json(body, "rows").bind(
                    row_codec.parse_rows
                )
                return _check_page(page.value_or(None), prefix, after)
            case _:
                return None


def _check_page(
    page: tuple[rows.Row, ...] | None, prefix: str, after: str
) -> tuple[rows.Row, ...] | None:
    """Returns a page, or None if its rows are not those that were requested.

    Every key must start with `prefix` and be greater than `after` and than the
    keys before it. With repeated rows or rows out of order, reading page by
    page might never end. A page of None, from a failed read, stays None.
    """
    for row in page or ():
        if not row.key.startswith(prefix) or row.key <= after:
            return None
        after = row.key
    return page


def _read_commit(reply: http_client.Reply) -> rows.CommitAnswer:
    """Returns the result of a transaction from the reply to it."""
    if reply.status == 503:
        return _UNAVAILABLE
    if reply.status != 200:
        return _UNKNOWN
    document = json_documents.parse_json(reply.body, "commit answer")
    return document.bind(row_codec.parse_commit_answer).value_or(_UNKNOWN)


class _NamesDocument(json_documents.Document):
    names: tuple[str, ...]


class HttpObjectStore(ObjectStore):
    """Calls the object store over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def put(self, name: str, body: bytes) -> Result[None, errors.Error]:
        """Stores an object, replacing an existing one of that name."""
        return _check_success(
            self._client.call("PUT", _build_object_path(name), body)
        )

    def get(self, name: str) -> Result[bytes | None, errors.Error]:
        """Returns the body of an object; None if it does not exist."""
        match self._client.call("GET", _build_object_path(name)):
            case Success(http_client.Reply(status=404)):
                return Success(None)
            case Success(http_client.Reply(status=200, body=body)):
                return Success(body)
            case _:
                return Failure(_UNREACHABLE)

    def delete(self, name: str) -> Result[None, errors.Error]:
        """Deletes an object; succeeds if it does not exist."""
        return _check_success(
            self._client.call("DELETE", _build_object_path(name))
        )

    def list(self, prefix: str) -> Result[tuple[str, ...], errors.Error]:
        """Returns the names that start with a prefix, in order."""
        query = urllib.parse.urlencode({"prefix": prefix})
        match self._client.call("GET", f"/v1/objects?{query}"):
            case Success(http_client.Reply(status=200, body=body)):
                return json_documents.parse_json(body, "names").bind(
                    _parse_names
                )
            case _:
                return Failure(_UNREACHABLE)


def _build_object_path(name: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(name, safe='')}"


def _check_success(
    call_result: Result[http_client.Reply, http_client.CallFailure],
) -> Result[None, errors.Error]:
    """Returns success if the call was answered with the status 200 or 204."""
    match call_result:
        case Success(http_client.Reply(status=200 | 204)):
            return Success(None)
        case _:
            return Failure(_UNREACHABLE)


def _parse_names(raw: object) -> Result[tuple[str, ...], errors.Error]:
    return json_documents.convert_document(
        "names", lambda: _NamesDocument.model_validate(raw).names
    )
