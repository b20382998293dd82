"""Tests the local routes of an agent."""

import json

import pytest

from gypsumhold.adapters import http_routes, local_routes
from gypsumhold.model import events

REPORT = {
    "host": "127.0.0.1",
    "port": 9000,
    "kinds": ["plate"],
    "slots": 8,
    "connections": 64,
    "busy": 1,
}


class RecordingRoutes:
    """Local routes that record the events that they dispatch."""

    def __init__(self, ready: bool = True) -> None:
        self.dispatched: list[events.Event] = []
        self.routes = local_routes.LocalRoutes(
            self.dispatched.append, lambda: {"ready": ready}, lambda: "a 1\n"
        )

    def request(
        self, method: str, path: str, body: bytes = b""
    ) -> http_routes.HttpResponse:
        return self.routes.answer(
            http_routes.HttpRequest(method, path, (), body)
        )


@pytest.mark.parametrize(
    "change",
    [
        {"host": "localhost"},
        {"port": 0},
        {"slots": -1},
        {"busy": None},
        {"kinds": "plate"},
        {"extra": 1},
    ],
)
def test_malformed_report_is_rejected(change: dict[str, object]) -> None:
    """Guards against a malformed report that changes the slots of an agent."""
    recorder = RecordingRoutes()
    body = json.dumps(REPORT | change).encode()
    reply = recorder.request("POST", "/v1/upstream", body)
    assert reply.status == 400
    assert json.loads(reply.body)["error"]["remedy"]
    assert not recorder.dispatched


def test_report_becomes_an_event() -> None:
    """Guards against an agent that does not find its upstream."""
    recorder = RecordingRoutes()
    body = json.dumps(REPORT).encode()
    assert recorder.request("POST", "/v1/upstream", body).status == 204
    event = recorder.dispatched[0]
    assert isinstance(event, events.UpstreamReported)
    assert (event.report.slots, event.report.kinds) == (8, {"plate"})


def test_drain_is_requested() -> None:
    """Guards against a drained instance that still accepts work."""
    recorder = RecordingRoutes()
    assert recorder.request("POST", "/v1/drain").status == 202
    assert recorder.dispatched == [events.DrainRequested()]


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_health_status_depends_on_readiness(ready: bool, status: int) -> None:
    """Guards against work that is sent to a process before it is ready."""
    assert RecordingRoutes(ready).request("GET", "/health").status == status
