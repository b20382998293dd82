"""Tests the operator routes against a fake entry."""

import json
from typing import Any

import pytest
import urllib3
from syrupy.assertion import SnapshotAssertion

from gypsumhold.adapters import operator_calls, operator_routes, operator_server
from gypsumhold.model import members, states
from tests.adapters import operator_fake

BEARER = f"Bearer {operator_fake.TOKEN}"
NEW_TILE = {"name": "sketch-tile", "work": "request", "class": "urgent"}


def build_routes(
    control: operator_fake.FakeControl,
) -> operator_routes.OperatorRoutes:
    return operator_routes.OperatorRoutes(
        control, operator_fake.TOKEN, operator_fake.FixedClock()
    )


def send_call(
    control: operator_fake.FakeControl,
    method: str,
    path: str,
    body: bytes = b"",
    authorization: str = BEARER,
    **query: str,
) -> operator_calls.Reply:
    return build_routes(control).answer(
        operator_calls.Call(method, path, query, authorization, body)
    )


def build_apply(base: int = 7, **parts: Any) -> bytes:
    document = {
        "base_version": base,
        "author": "ana",
        "comment": "faster tiles",
        "put": {"templates": [NEW_TILE]},
    }
    return json.dumps(document | parts).encode()


@pytest.mark.parametrize(
    "sent", ["", "Bearer", "Bearer wrong", operator_fake.TOKEN, "Bearer é"]
)
def test_wrong_token_is_rejected_by_every_route(sent: str) -> None:
    """Guards against a route that answers without the operator token."""
    control = operator_fake.FakeControl()
    for method, path in (
        ("POST", "/v1/config"),
        ("GET", "/v1/config"),
        ("GET", "/v1/status"),
        ("GET", "/v1/where"),
        ("POST", "/v1/retire/silent"),
        ("GET", "/nothing"),
    ):
        reply = send_call(control, method, path, build_apply(), sent)
        assert reply.status == 401
    assert not control.applied and not control.retired


@pytest.mark.parametrize(
    "result, status",
    [
        (states.SubmissionResult.ACCEPTED, 200),
        (states.SubmissionResult.CONFLICT, 409),
        (states.SubmissionResult.REFUSED, 422),
        (states.SubmissionResult.UNAVAILABLE, 503),
        (states.SubmissionResult.UNKNOWN, 504),
        (None, 504),
    ],
)
def test_apply_result_keeps_its_meaning(
    result: states.SubmissionResult | None,
    status: int,
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against an unknown result reported as success or refusal."""
    control = operator_fake.FakeControl(
        result,
        head=9,
        changes=(
            operator_fake.build_change_row(8, "carol"),
            operator_fake.build_change_row(9, "dora"),
        ),
    )
    reply = send_call(control, "POST", "/v1/config", build_apply())
    assert reply.status == status
    assert ("Retry-After", "1") in reply.headers or status != 503
    assert reply.body == snapshot


def test_apply_records_author_and_time() -> None:
    """Guards against an audit record without author, comment or time."""
    control = operator_fake.FakeControl()
    send_call(control, "POST", "/v1/config", build_apply())
    (event,) = control.applied
    assert event.base == 7
    assert event.change.version == 8
    assert event.change.author == "ana"
    assert event.change.comment == "faster tiles"
    assert event.change.time == "2026-12-04T10:00:00.000+00:00"


SAME_TILE = NEW_TILE | {"class": "standard"}


@pytest.mark.parametrize(
    "status, parts",
    [
        (422, {"put": {"templates": [SAME_TILE]}}),
        (422, {"put": {}, "delete": {"templates": ["sketch-tile"]}}),
        (422, {"put": {}, "delete": {"templates": ["sketch-tils"]}}),
        (422, {"delete": {"templates": ["sketch-tile"]}}),
        (
            422,
            {
                "put": {
                    "organisations": [
                        {"name": "o", "kinds": {"sketch-tle": {}}}
                    ]
                }
            },
        ),
        (400, {"put": {"template": []}}),
        (400, {"put": {"templates": [NEW_TILE | {"timeout": 5}]}}),
        (400, {"author": ""}),
        (409, {"base_version": 6}),
        (503, {"base_version": 8}),
    ],
)
def test_bad_change_does_not_reach_the_engine(
    status: int, parts: dict[str, Any], snapshot: SnapshotAssertion
) -> None:
    """Guards against unchecked changes.

    Examples are kinds without a template, empty changes and misspelt keys.
    """
    control = operator_fake.FakeControl()
    reply = send_call(control, "POST", "/v1/config", build_apply(**parts))
    assert reply.status == status
    assert not control.applied
    assert reply.body == snapshot


@pytest.mark.parametrize(
    "body", [b"[" * 2_000, b'{"put":' * 100_000, b"\xff", b"1" * 5_000]
)
def test_odd_body_is_refused(body: bytes) -> None:
    """Guards against a body whose error is none of the JSON parser's."""
    control = operator_fake.FakeControl()
    reply = send_call(control, "POST", "/v1/config", body)
    assert reply.status == 400
    assert not control.applied


def test_history_is_newest_first_across_pages() -> None:
    """Guards against a history with only the first page of the table's rows."""
    changes = tuple(
        operator_fake.build_change_row(number, "ana") for number in range(1, 8)
    )
    control = operator_fake.FakeControl(changes=changes)
    reply = send_call(control, "GET", "/v1/config/history", limit="5")
    versions = [item["version"] for item in json.loads(reply.body)["changes"]]
    assert versions == [7, 6, 5, 4, 3]


@pytest.mark.parametrize(
    "method, path, status, fields",
    [
        ("GET", "/v1/config/history", 503, {"table_reachable": False}),
        ("GET", "/health", 200, {}),
        ("GET", "/health", 503, {"ready": False}),
        ("GET", "/v1/status", 200, {"table_reachable": False}),
        ("POST", "/v1/drain/lively", 200, {}),
        ("POST", "/v1/drain/lively", 503, {"drain_confirmed": False}),
        ("POST", "/v1/drain/nobody", 404, {}),
        ("GET", "/v1/drain/lively", 404, {}),
        ("POST", "/v1/retire/lively", 409, {}),
        ("POST", "/v1/retire/silent", 200, {}),
        ("POST", "/v1/retire/unknown", 200, {}),
        ("DELETE", "/v1/config", 405, {}),
    ],
)
def test_route_status(
    method: str, path: str, status: int, fields: dict[str, bool]
) -> None:
    """Guards against wrong HTTP statuses and retiring a live instance."""
    fake = operator_fake.FakeControl(**fields)  # type: ignore[arg-type]
    reply = send_call(fake, method, path)
    assert reply.status == status
    assert bool(fake.retired) == ("retire" in path and status == 200)


@pytest.mark.parametrize("limit", ["0", "-1", "x", "1001", "²"])
def test_history_limit_is_checked(limit: str) -> None:
    """Guards against an unlimited read of the table."""
    fake = operator_fake.FakeControl()
    reply = send_call(fake, "GET", "/v1/config/history", limit=limit)
    assert reply.status == 400


def test_status_document(snapshot: SnapshotAssertion) -> None:
    """Guards against an accidental change of the document gypsumctl reads."""
    reply = send_call(operator_fake.FakeControl(head=9), "GET", "/v1/status")
    assert json.loads(reply.body) == snapshot


def test_server_forwards_calls_unchanged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an HTTP server that drops the body, query or headers.

    Also guards against access log lines between the program's own log lines.
    """
    caplog.set_level("INFO")
    control = operator_fake.FakeControl(
        states.SubmissionResult.UNAVAILABLE,
        changes=(operator_fake.build_change_row(7, "ana"),),
    )
    http = urllib3.PoolManager(retries=False, timeout=5)
    address = members.Address("127.0.0.1", 0)
    routes = build_routes(control)
    with operator_server.OperatorServer(address, routes) as server:
        base = f"http://127.0.0.1:{server.port}"
        headers = {"Authorization": BEARER}
        applied = http.request(
            "POST", f"{base}/v1/config", body=build_apply(), headers=headers
        )
        history = http.request(
            "GET", f"{base}/v1/config/history?limit=1", headers=headers
        )
        repeated = http.request(
            "GET", f"{base}/v1/config/history?limit=1&limit=0", headers=headers
        )
        metrics = http.request("GET", f"{base}/metrics")
        refused = http.request("GET", f"{base}/v1/status")
    assert "/v1/config" not in caplog.text
    assert applied.status == 503
    assert applied.headers["Retry-After"] == "1"
    assert control.applied[0].change.comment == "faster tiles"
    assert history.json()["changes"][0]["author"] == "ana"
    assert repeated.status == 400
    assert metrics.data == b"gypsumhold_calls 1\n"
    assert refused.json()["error"]["kind"] == "unauthorised"
