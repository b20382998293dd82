"""HTTP service of the table and object store."""

import datetime
import threading
import time
from collections.abc import Callable

from returns.result import Result

from gypsumhold.adapters import json_documents, rowcodec
from gypsumhold.model import errors, ids, requests, rows
from gypsumhold_standin import routes, store, web

MAX_PAGE_ROWS = 1000


class StoreService(web.Service):
    """Serves the table and the object store.

    Args:
        pause: Waits for a time; returns early when the process stops.
    """

    def __init__(self, pause: Callable[[datetime.timedelta], None]) -> None:
        self._pause = pause
        self._lock = threading.Lock()
        self._store = store.Store()
        self._slow = datetime.timedelta(0)

    def serve(self, payload: requests.Payload) -> web.Response:
        """Serves one request."""
        route = routes.parse_route(payload)
        match route.method, route.path:
            case "POST", ("v1", "faults"):
                return routes.answer_result(
                    routes.read_fault(payload.body).map(self._set_fault)
                )
            case _, ("v1", "table", action):
                return self._serve_table(route, action, payload.body)
            case _, ("v1", "objects", *name):
                return self._serve_objects(route, "/".join(name), payload.body)
            case _:
                return routes.answer_not_found(route)

    def _set_fault(self, document: routes.FaultDocument) -> web.Response:
        known = [item.value for item in store.Fault]
        if document.fault not in known:
            return routes.answer_unknown_fault(document.fault, known)
        script = store.SetFault(store.Fault(document.fault), document.count)
        with self._lock:
            self._slow = datetime.timedelta(milliseconds=document.slow_ms)
            store.set_fault(self._store, script)
            store.limit_writes(self._store, document.writes_per_s)
        return routes.answer_json({})

    def _serve_table(
        self, route: routes.Route, action: str, body: bytes
    ) -> web.Response:
        match route.method, action:
            case "POST", "transact":
                return routes.answer_result(self._transact(body))
            case "GET", "row":
                key = ids.RowKey(route.query.get("key", ""))
                return self._run(store.ReadRow(key), _answer_row)
            case "GET", "rows":
                return self._run(_read_page(route), _answer_rows)
            case _:
                return routes.answer_not_found(route)

    def _transact(self, body: bytes) -> Result[web.Response, errors.Error]:
        self._wait_turn()
        document = json_documents.read_json(body, "transaction")
        return document.bind(rowcodec.read_transaction).map(
            lambda item: self._run(store.Commit(item), _answer_commit)
        )

    def _wait_turn(self) -> None:
        now = datetime.timedelta(seconds=time.monotonic())
        with self._lock:
            left = store.reserve_write(self._store, now)
        if left:
            self._pause(left)

    def _serve_objects(
        self, route: routes.Route, name: str, body: bytes
    ) -> web.Response:
        match route.method:
            case "PUT" if name:
                return self._run(store.PutObject(name, body), _answer_empty)
            case "GET" if name:
                return self._run(store.GetObject(name), _answer_object)
            case "DELETE" if name:
                return self._run(store.DeleteObject(name), _answer_empty)
            case "GET":
                prefix = route.query.get("prefix", "")
                return self._run(store.ListObjects(prefix), _answer_names)
            case _:
                return routes.answer_not_found(route)

    def _run(
        self,
        operation: store.Operation,
        render: Callable[[store.Answer], web.Response],
    ) -> web.Response:
        with self._lock:
            answer = store.apply(self._store, operation)
            slow = self._slow
        match answer.delivery:
            case store.Delivery.LOST:
                return web.NO_ANSWER
            case store.Delivery.REFUSED:
                return routes.answer_error(503, _DOWN)
            case store.Delivery.DELAYED:
                self._pause(slow)
        return render(answer)


_DOWN = errors.Error(
    errors.ErrorKind.PLATFORM_UNAVAILABLE,
    "the store is down",
    "try again later",
)


def _read_page(route: routes.Route) -> store.ReadRows:
    limit = route.query.get("limit", "")
    short = limit.isdecimal() and len(limit) <= 4
    return store.ReadRows(
        route.query.get("prefix", ""),
        route.query.get("after", ""),
        min(MAX_PAGE_ROWS, int(limit)) if short else MAX_PAGE_ROWS,
    )


def _answer_commit(answer: store.Answer) -> web.Response:
    found = answer.commit
    assert found is not None
    return routes.answer_json(rowcodec.render_commit_answer(found))


def _answer_row(answer: store.Answer) -> web.Response:
    if not answer.found_rows:
        return web.Response(requests.Answer(404))
    return routes.answer_json(rowcodec.render_row(answer.found_rows[0]))


def _answer_rows(answer: store.Answer) -> web.Response:
    return routes.answer_json({"rows": _render_rows(answer.found_rows)})


def _render_rows(found: tuple[rows.Row, ...]) -> list[object]:
    return [rowcodec.render_row(row) for row in found]


def _answer_object(answer: store.Answer) -> web.Response:
    if answer.body is None:
        return web.Response(requests.Answer(404))
    headers = (("Content-Type", "application/octet-stream"),)
    return web.Response(requests.Answer(200, headers, answer.body))


def _answer_names(answer: store.Answer) -> web.Response:
    return routes.answer_json({"names": list(answer.names)})


def _answer_empty(answer: store.Answer) -> web.Response:
    del answer
    return routes.answer_json({})
