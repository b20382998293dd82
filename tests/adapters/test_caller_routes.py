"""Tests the routes for callers with invalid and unusual messages."""

import contextlib
import dataclasses
import datetime
import json
import re
import socket
from collections.abc import Iterator

import pytest
from returns.result import Failure, Result, Success

from gypsumhold.adapters import (
    caller_routes,
    clock,
    engine,
    http_routes,
    http_server,
    store,
    task_routes,
)
from gypsumhold.model import (
    effects,
    errors,
    events,
    ids,
    members,
    requests,
    resources,
    rows,
    states,
)

MAX_BODY = 1000
MAX_DEADLINE = datetime.timedelta(seconds=5)
HEAD = b"Host: h\r\nGypsumhold-Organisation: org\r\nGypsumhold-Kind: kind\r\n"
DEADLINE = b"Gypsumhold-Deadline-Ms: 900\r\n"
CLOSE = b"Connection: close\r\n\r\n"
DONE = requests.Result(states.Outcome.COMPLETED, answer=requests.Answer(200))
TASK = rows.TaskRow(
    ids.TaskId("t1"),
    ids.OrganisationId("org"),
    ids.KindName("kind"),
    "p",
    resources.NOTHING,
)


class FakeTable(store.Table):
    """A table that contains one task, or is unavailable."""

    def __init__(self) -> None:
        self.unavailable = False
        self.row = rows.Row(
            ids.RowKey(""), ids.RowVersion(1), ids.OperationId("o"), TASK
        )

    def commit(self, transaction: rows.Transaction) -> rows.CommitAnswer:
        raise NotImplementedError

    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        return None if self.unavailable else (self.row,)

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        if self.unavailable:
            kind = errors.ErrorKind.PLATFORM_UNAVAILABLE
            return Failure(errors.Error(kind, "", ""))
        return Success(self.row if key.endswith("/t1") else None)


class ScriptedRole:
    """A reducer that answers each event at once with the set result."""

    def __init__(self) -> None:
        self.result: requests.Result | None = DONE
        self.submission = states.SubmissionResult.ACCEPTED
        self.received: list[events.Event] = []

    def reduce(
        self, _state: None, event: events.Event, _now: datetime.timedelta
    ) -> effects.Effects:
        self.received.append(event)
        match event:
            case events.CallArrived(request) if self.result is not None:
                return (effects.AnswerCall(request.request_id, self.result),)
            case events.SubmissionArrived() | events.TaskCancelArrived():
                return (
                    effects.AnswerTicket(
                        event.ticket,
                        self.submission,
                        task_id=ids.TaskId("t1"),
                    ),
                )
        return ()


class RejectingRunner(engine.Runner):
    """Fails, because no test here emits an effect that needs a runner."""

    def run(self, effect: effects.Effect) -> events.Event | None:
        raise NotImplementedError


@dataclasses.dataclass
class Reply:
    """A parsed response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def find(self, name: str) -> str | None:
        return dict(self.headers).get(name)


@dataclasses.dataclass
class Rig:
    """A listener with the fakes behind it."""

    role: ScriptedRole
    table: FakeTable
    address: members.Address

    def send(self, request: bytes) -> Reply:
        address = (self.address.host, self.address.port)
        with socket.create_connection(address, timeout=5) as peer:
            peer.sendall(request)
            received = b"".join(iter(lambda: peer.recv(65536), b""))
        head, _, body = received.partition(b"\r\n\r\n")
        start, *rest = head.decode("latin-1").split("\r\n")
        headers = [tuple(line.split(": ", 1)) for line in rest]
        return Reply(int(start.split()[1]), headers, body)


@pytest.fixture(scope="module")
def shared() -> Iterator[Rig]:
    role, table = ScriptedRole(), FakeTable()
    runtime = engine.Engine(
        None, role.reduce, clock.SystemClock(), RejectingRunner()
    )
    tasks = task_routes.TaskRoutes(runtime, table, 16)
    routes = caller_routes.CallerRoutes(runtime, tasks, MAX_DEADLINE)
    free = members.Address("127.0.0.1", 0)
    listener = http_server.Listener(free, routes, 2, MAX_BODY)
    with contextlib.closing(runtime), contextlib.closing(listener):
        yield Rig(role, table, listener.read_address())


@pytest.fixture
def rig(shared: Rig) -> Rig:
    shared.role.__init__()
    shared.table.unavailable = False
    return shared


GET = b"GET / HTTP/1.1\r\n"
POST = b"POST / HTTP/1.1\r\n"
VALID_HEAD = HEAD + DEADLINE + CLOSE
LENGTH = b"Content-Length: 1\r\n"
INVALID_REQUESTS = {
    "no organisation": (GET + b"Host: h\r\n" + CLOSE, 400),
    "no deadline": (GET + HEAD + CLOSE, 400),
    "two kinds": (GET + b"Gypsumhold-Kind: x\r\n" + VALID_HEAD, 400),
    "bad key": (GET + b"Idempotency-Key: a b\r\n" + VALID_HEAD, 400),
    "bad length": (POST + b"Content-Length: +5\r\n" + VALID_HEAD, 400),
    "two lengths": (POST + LENGTH + LENGTH + VALID_HEAD + b"a", 400),
    "space before colon": (POST + b"Content-Length : 1\r\n" + VALID_HEAD, 400),
    "folded line": (GET + HEAD + b" more\r\n" + DEADLINE + CLOSE, 400),
    "not HTTP": (b"garbage\r\n\r\n", 400),
    "non-ASCII target": (GET.replace(b"/ ", b"/\xe9 ") + VALID_HEAD, 400),
    "chunked body": (
        POST + b"Transfer-Encoding: chunked\r\n" + VALID_HEAD + b"0\r\n\r\n",
        411,
    ),
    "large body": (
        POST + b"Content-Length: 1001\r\n" + VALID_HEAD + b"a" * 1001,
        413,
    ),
    "reserved path": (GET.replace(b"/ ", b"/gypsumhold/v2 ") + VALID_HEAD, 404),
}


@pytest.mark.parametrize("fault", INVALID_REQUESTS)
def test_invalid_request_is_rejected_as_not_run(rig: Rig, fault: str) -> None:
    """Guards against invalid requests that run or break the connection.

    The error in the response has to contain a remedy.
    """
    request, status = INVALID_REQUESTS[fault]
    reply = rig.send(request)
    assert reply.status == status
    assert reply.find("Gypsumhold-Outcome") == "not-run"
    error = json.loads(reply.body)["error"]
    assert error["kind"] and error["message"] and error["remedy"]
    assert not rig.role.received


@pytest.mark.parametrize(
    "value", ["0", "-1", "1.5", "", "x", "5001", "9999999999", "\u0661"]
)
def test_deadline_outside_its_range_is_rejected(rig: Rig, value: str) -> None:
    """Guards against calls that wait for ever or count as already expired."""
    line = f"Gypsumhold-Deadline-Ms: {value}\r\n".encode()
    reply = rig.send(GET + HEAD + line + CLOSE)
    assert reply.status == 400
    assert "from 1 to 5000" in json.loads(reply.body)["error"]["remedy"]


def test_request_reaches_the_reducer_unchanged(rig: Rig) -> None:
    """Guards against a server that decodes the path or merges header lines."""
    body = bytes(range(256))
    rig.send(
        b"PATCH /a%2Fb/../c?q=%7e&&r= HTTP/1.1\r\nX-One: a\r\nX-Two: \xe9\r\n"
        b"x-one: b\r\nContent-Length: 256\r\nIdempotency-Key: k/1\r\n"
        + HEAD
        + DEADLINE
        + CLOSE
        + body
    )
    event = rig.role.received[0]
    assert isinstance(event, events.CallArrived)
    assert event.request.remaining == datetime.timedelta(milliseconds=900)
    assert event.request.key == "k/1"
    assert event.request.payload == requests.Payload(
        "PATCH",
        "/a%2Fb/../c?q=%7e&&r=",
        (
            ("X-One", "a"),
            ("X-Two", "\xe9"),
            ("x-one", "b"),
            ("Content-Length", "256"),
            ("Idempotency-Key", "k/1"),
            ("Host", "h"),
        ),
        body,
    )


def test_answer_reaches_the_caller_unchanged(rig: Rig) -> None:
    """Guards against a response whose status, cookies or body is changed."""
    headers = (
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=\xe9"),
        ("Connection", "close"),
        ("Gypsumhold-Outcome", "forged"),
    )
    answer = requests.Answer(418, headers, b"\x00\xff")
    rig.role.result = requests.Result(states.Outcome.COMPLETED, answer=answer)
    reply = rig.send(GET + VALID_HEAD)
    assert (reply.status, reply.body) == (418, b"\x00\xff")
    assert reply.headers[:2] == list(headers[:2])
    assert reply.find("Gypsumhold-Outcome") == "completed"
    assert reply.find("Content-Length") == "2"


def test_head_answer_keeps_its_length(rig: Rig) -> None:
    """Guards against a Content-Length of zero instead of the upstream's."""
    answer = requests.Answer(200, (("Content-Length", "77"),))
    rig.role.result = requests.Result(states.Outcome.COMPLETED, answer=answer)
    reply = rig.send(b"HEAD / HTTP/1.1\r\n" + HEAD + DEADLINE + CLOSE)
    assert (reply.find("Content-Length"), reply.body) == ("77", b"")


@pytest.mark.parametrize(
    ("outcome", "reason", "status", "retry"),
    [
        ("not-run", "overloaded", 503, "2"),
        ("not-run", "key-reused", 422, None),
        ("not-run", "unknown-kind", 404, None),
        ("indeterminate", "agent-lost", 504, None),
        ("in-progress", "none", 409, None),
    ],
)
def test_outcome_has_its_status(
    rig: Rig, outcome: str, reason: str, status: int, retry: str | None
) -> None:
    """Guards against a caller that repeats work which may have run."""
    rig.role.result = requests.Result(
        states.Outcome(outcome),
        states.Reason(reason),
        retry_after=datetime.timedelta(seconds=1.2),
    )
    reply = rig.send(GET + VALID_HEAD)
    assert reply.status == status
    assert reply.find("Gypsumhold-Outcome") == outcome
    assert reply.find("Gypsumhold-Reason") == reason
    assert reply.find("Retry-After") == retry


def test_missing_result_is_indeterminate(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reporting a request without a result as not run."""
    margin = datetime.timedelta(milliseconds=50)
    monkeypatch.setattr(caller_routes, "WAIT_MARGIN", margin)
    rig.role.result = None
    line = b"Gypsumhold-Deadline-Ms: 1\r\n"
    reply = rig.send(GET + HEAD + line + CLOSE)
    assert reply.find("Gypsumhold-Outcome") == "indeterminate"


def test_connection_serves_several_requests(rig: Rig) -> None:
    """Guards against reading the end of a body as the next request."""
    request = POST + b"Content-Length: 3\r\n" + HEAD + DEADLINE
    reply = rig.send(request + b"\r\nabc" + request + CLOSE + b"def")
    bodies = [event.request.payload.body for event in rig.role.received]
    assert bodies == [b"abc", b"def"]
    assert reply.body.count(b"HTTP/1.1 200 OK") == 1


def build_task_request(
    body: bytes, key: bytes = b"Idempotency-Key: k\r\n"
) -> bytes:
    length = f"Content-Length: {len(body)}\r\n".encode()
    start = b"POST /gypsumhold/v1/tasks HTTP/1.1\r\n"
    return start + length + key + CLOSE + body


SUBMISSION = b'{"organisation": "org", "kind": "kind", "payload": "x"}'


KEY = b"Idempotency-Key: k\r\n"


@pytest.mark.parametrize(
    ("body", "key"),
    [
        (b"{", KEY),
        (b"\xff", KEY),
        (b"[]", KEY),
        (b"[" * 990, KEY),
        (b'{"kind": "k"}', KEY),
        (SUBMISSION.replace(b'"x"', b"{}"), KEY),
        (SUBMISSION.replace(b"kind", b"kinds", 1), KEY),
        (SUBMISSION, b""),
    ],
)
def test_malformed_submission_is_rejected(
    rig: Rig, body: bytes, key: bytes
) -> None:
    """Guards against a malformed task that is queued or crashes its handler."""
    reply = rig.send(build_task_request(body, key))
    assert reply.status == 400
    assert json.loads(reply.body)["error"]["remedy"]
    assert not rig.role.received


@pytest.mark.parametrize(
    ("result", "status"),
    [("accepted", 201), ("refused", 422), ("unavailable", 503)],
)
def test_submission_has_its_status(rig: Rig, result: str, status: int) -> None:
    """Guards against a refused task that is answered as accepted."""
    rig.role.submission = states.SubmissionResult(result)
    reply = rig.send(build_task_request(SUBMISSION))
    assert reply.status == status
    assert (reply.find("Retry-After") is not None) == (status == 503)


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /gypsumhold/v1/tasks/t1?organisation=org", 200),
        ("GET /gypsumhold/v1/tasks/t1?organisation=other", 404),
        ("GET /gypsumhold/v1/tasks/t2?organisation=org", 404),
        ("GET /gypsumhold/v1/tasks/..%2Ft1?organisation=org", 404),
        ("GET /gypsumhold/v1/tasks/t1", 400),
        ("GET /gypsumhold/v1/tasks?organisation=org", 200),
        ("DELETE /gypsumhold/v1/tasks/t1?organisation=org", 202),
        ("PUT /gypsumhold/v1/tasks/t1?organisation=org", 405),
    ],
)
def test_task_routes_have_their_status(
    rig: Rig, line: str, status: int
) -> None:
    """Guards against a task of one organisation that is shown to another."""
    request = f"{line} HTTP/1.1\r\nHost: h\r\n".encode() + CLOSE
    reply = rig.send(request)
    assert reply.status == status
    assert bool(re.search(rb'"state": "queued"', reply.body)) == (status == 200)


def test_table_outage_is_reported(rig: Rig) -> None:
    """Guards against an outage of the table that looks like an unknown task."""
    rig.table.unavailable = True
    for path in ("/t1", ""):
        line = f"GET /gypsumhold/v1/tasks{path}?organisation=org HTTP/1.1\r\n"
        assert rig.send(line.encode() + CLOSE).status == 503


def test_port_in_use_is_a_typed_error(rig: Rig) -> None:
    """Guards against a second process that ends in a stack trace."""
    with pytest.raises(http_routes.ListenError, match="port-in-use"):
        http_server.Listener(
            rig.address, caller_routes.http_routes.Routes, 1, 1
        )  # type: ignore
