"""HTTP service of the platform stand-in: its table and object store."""

import datetime
import threading
import time
from collections.abc import Callable

from returns.result import Result

from gypsumhold.adapters import json_documents, row_codec
from gypsumhold.model import errors, ids, requests, rows
from gypsumhold_standin import http_server, routes, store

MAX_PAGE_ROWS = 1000


class StoreService(http_server.Service):
    """Serves the table and the object store.

    Args:
        pause: Waits for a time; returns early when the process stops.
    """

    def __init__(self, pause: Callable[[datetime.timedelta], None]) -> None:
        self._pause = pause
        self._lock = threading.Lock()
        self._store = store.Store()
        self._delay = datetime.timedelta(0)

    def serve(self, payload: requests.Payload) -> http_server.Response:
        """Serves one request for the table, the objects or the faults."""
        route = routes.parse_route(payload)
        match route.method, route.path:
            case "POST", ("v1", "faults"):
                return routes.answer_result(
                    routes.parse_fault(payload.body).map(self._set_fault)
                )
            case _, ("v1", "table", action):
                return self._serve_table(route, action, payload.body)
            case _, ("v1", "objects", *name):
                return self._serve_objects(route, "/".join(name), payload.body)
            case _:
                return routes.answer_not_found(route)

    def _set_fault(
        self, document: routes.FaultDocument
    ) -> http_server.Response:
        known_names = [fault.value for fault in store.Fault]
        if document.fault not in known_names:
            return routes.answer_unknown_fault(document.fault, known_names)
        request = store.SetFault(store.Fault(document.fault), document.count)
        with self._lock:
            self._delay = datetime.timedelta(milliseconds=document.slow_ms)
            store.set_fault(self._store, request)
            store.limit_writes(self._store, document.writes_per_s)
        return routes.answer_json({})

    def _serve_table(
        self, route: routes.Route, action: str, body: bytes
    ) -> http_server.Response:
        match route.method, action:
            case "POST", "transact":
                return routes.answer_result(self._transact(body))
            case "GET", "row":
                key = ids.RowKey(route.query.get("key", ""))
                return self._execute(store.ReadRow(key), _build_row_response)
            case "GET", "rows":
                return self._execute(
                    _parse_page_query(route), _build_rows_response
                )
            case _:
                return routes.answer_not_found(route)

    def _transact(
        self, body: bytes
    ) -> Result[http_server.Response, errors.Error]:
        self._limit_rate()
        document = json_documents.parse_json(body, "transaction")
        return document.bind(row_codec.parse_transaction).map(
            lambda transaction: self._execute(
                store.Commit(transaction), _build_commit_response
            )
        )

    def _limit_rate(self) -> None:
        """Waits until the rate limit allows the next transaction."""
        now = datetime.timedelta(seconds=time.monotonic())
        with self._lock:
            delay = store.reserve_write(self._store, now)
        if delay:
            self._pause(delay)

    def _serve_objects(
        self, route: routes.Route, name: str, body: bytes
    ) -> http_server.Response:
        match route.method:
            case "PUT" if name:
                return self._execute(
                    store.PutObject(name, body), _build_empty_response
                )
            case "GET" if name:
                return self._execute(
                    store.GetObject(name), _build_object_response
                )
            case "DELETE" if name:
                return self._execute(
                    store.DeleteObject(name), _build_empty_response
                )
            case "GET":
                prefix = route.query.get("prefix", "")
                return self._execute(
                    store.ListObjects(prefix), _build_names_response
                )
            case _:
                return routes.answer_not_found(route)

    def _execute(
        self,
        operation: store.Operation,
        build_response: Callable[[store.Answer], http_server.Response],
    ) -> http_server.Response:
        """Executes an operation and delivers its answer under the fault."""
        with self._lock:
            answer = store.apply(self._store, operation)
            delay = self._delay
        match answer.delivery:
            case store.Delivery.LOST:
                return http_server.NO_ANSWER
            case store.Delivery.REFUSED:
                return routes.answer_error(503, _STORE_DOWN)
            case store.Delivery.DELAYED:
                self._pause(delay)
        return build_response(answer)


_STORE_DOWN = errors.Error(
    errors.ErrorKind.PLATFORM_UNAVAILABLE,
    "the store is down",
    "try again later",
)


def _parse_page_query(route: routes.Route) -> store.ReadRows:
    """Parses the query of a page; a malformed limit means the largest."""
    limit = route.query.get("limit", "")
    is_valid = limit.isdecimal() and len(limit) <= 4
    return store.ReadRows(
        route.query.get("prefix", ""),
        route.query.get("after", ""),
        min(MAX_PAGE_ROWS, int(limit)) if is_valid else MAX_PAGE_ROWS,
    )


def _build_commit_response(answer: store.Answer) -> http_server.Response:
    commit = answer.commit
    assert commit is not None
    return routes.answer_json(row_codec.render_commit_answer(commit))


def _build_row_response(answer: store.Answer) -> http_server.Response:
    if not answer.found_rows:
        return http_server.Response(requests.Answer(404))
    return routes.answer_json(row_codec.render_row(answer.found_rows[0]))


def _build_rows_response(answer: store.Answer) -> http_server.Response:
    return routes.answer_json({"rows": _render_rows(answer.found_rows)})


def _render_rows(found_rows: tuple[rows.Row, ...]) -> list[object]:
    return [row_codec.render_row(row) for row in found_rows]


def _build_object_response(answer: store.Answer) -> http_server.Response:
    if answer.body is None:
        return http_server.Response(requests.Answer(404))
    headers = (("Content-Type", "application/octet-stream"),)
    return http_server.Response(requests.Answer(200, headers, answer.body))


def _build_names_response(answer: store.Answer) -> http_server.Response:
    return routes.answer_json({"names": list(answer.names)})


def _build_empty_response(answer: store.Answer) -> http_server.Response:
    del answer
    return routes.answer_json({})
