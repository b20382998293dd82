"""Guards the agent's local listener against faulty reports."""

import json

import pytest

from gypsumhold.adapters import local_routes, web
from gypsumhold.model import events

REPORT = {
    "host": "127.0.0.1",
    "port": 9000,
    "kinds": ["plate"],
    "slots": 8,
    "connections": 64,
    "busy": 1,
}


class Listener:
    """Local routes with recorded events."""

    def __init__(self, ready: bool = True) -> None:
        self.seen: list[events.Event] = []
        self.routes = local_routes.LocalRoutes(
            self.seen.append, lambda: {"ready": ready}, lambda: "a 1\n"
        )

    def ask(
        self, method: str, path: str, body: bytes = b""
    ) -> web.HttpResponse:
        return self.routes.answer(web.HttpRequest(method, path, (), body))


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
def test_faulty_report_changes_nothing(change: dict[str, object]) -> None:
    """Failure: a faulty upstream makes the agent commit slots it lacks."""
    listener = Listener()
    body = json.dumps(REPORT | change).encode()
    reply = listener.ask("POST", "/v1/upstream", body)
    assert reply.status == 400
    assert json.loads(reply.body)["error"]["remedy"]
    assert not listener.seen


def test_report_becomes_an_event() -> None:
    """Failure: the agent never learns of its upstream."""
    listener = Listener()
    body = json.dumps(REPORT).encode()
    assert listener.ask("POST", "/v1/upstream", body).status == 204
    event = listener.seen[0]
    assert isinstance(event, events.UpstreamReported)
    assert (event.report.slots, event.report.kinds) == (8, {"plate"})


def test_drain_is_requested() -> None:
    """Failure: a drained instance keeps taking work."""
    listener = Listener()
    assert listener.ask("POST", "/v1/drain").status == 202
    assert listener.seen == [events.DrainRequested()]


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_health_tells_readiness(ready: bool, status: int) -> None:
    """Failure: the platform sends work to a process that is not ready."""
    assert Listener(ready).ask("GET", "/health").status == status
