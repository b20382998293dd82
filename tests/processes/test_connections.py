"""Tests of connections that are cut between any two processes."""

import json
import socket
import urllib.parse

import cluster
import cluster_settings
import pytest

from gypsumhold.adapters import peers
from tests.processes import conftest, forwarder, load

Member = cluster_settings.Member
Role = cluster_settings.Role

DELAY_MS = 400
BREAK_POINTS = ("before", "during")
LOG_CHARACTERS = 10_000_000
"""More than the log of an entry has in a run of the tests."""


def send_partly(
    client: load.Client, request: load.Request, share: float
) -> None:
    """Sends the headers and a share of the body, then closes the connection."""
    address = urllib.parse.urlsplit(client.urls[0])
    body = request.build_body()
    lines = [f"POST {request.path} HTTP/1.1", "Host: entry"]
    lines += [
        f"{name}: {value}" for name, value in request.build_headers().items()
    ]
    lines += [f"Content-Length: {len(body)}", "", ""]
    data = "\r\n".join(lines).encode() + body[: int(len(body) * share)]
    with socket.create_connection((address.hostname, address.port)) as caller:
        caller.sendall(data)


def test_caller_cut(client: load.Client) -> None:
    """Guards against running a request that was not sent completely.

    A caller that is cut off after a complete request gets its result by
    sending the idempotency key again.
    """
    requests = {
        share: load.Request(
            path, load.NON_REPEATABLE_KIND, key=path, delay_ms=DELAY_MS
        )
        for share in (0.0, 0.5, 1.0)
        for path in [f"/caller-cut/{share}"]
    }
    for share, request in requests.items():
        send_partly(client, request, share)
    history = client.call_until_final([1], requests[1.0])
    assert history.final_answer.outcome == "completed", history
    assert load.find_violations(client, [history]) == []
    runs = client.count_runs()
    assert [runs[item.path] for item in requests.values()] == [0, 0, 1]


@pytest.mark.parametrize("break_point", BREAK_POINTS)
def test_upstream_cut_not_repeatable(
    client: load.Client, break_point: str
) -> None:
    """Guards against a second run or not-run after a broken answer."""
    path = f"/upstream-cut/{break_point}"
    request = load.Request(
        path,
        load.NON_REPEATABLE_KIND,
        key=path,
        headers=(("X-Standin-Break", break_point),),
    )
    for entry in (0, 1):
        answer = client.call(entry, request)
        assert (answer.outcome, answer.status) == ("indeterminate", 504)
    assert client.count_runs()[path] == 1


@pytest.mark.parametrize("break_point", BREAK_POINTS)
def test_upstream_cut_repeatable(client: load.Client, break_point: str) -> None:
    """Guards against the outcome not-run if every upstream answer broke."""
    path = f"/upstream-cut-again/{break_point}"
    request = load.Request(path, headers=(("X-Standin-Break", break_point),))
    answer = client.call(0, request)
    assert (answer.outcome, answer.status) == ("indeterminate", 504)
    assert client.count_runs()[path] >= 1


@pytest.mark.parametrize("fault", ["answer-lost", "request-lost"])
def test_one_upstream_breaks(client: load.Client, fault: str) -> None:
    """Guards against failed requests while other upstreams could serve them."""
    wait_until_called(client, 0, load.REPEATABLE_KIND)
    client.set_fault(conftest.Role.UPSTREAM, 0, fault)
    requests = [
        load.Request(
            f"/{fault}/{number}",
            load.NON_REPEATABLE_KIND if number % 2 else load.REPEATABLE_KIND,
            key=f"{fault}-{number}" if number % 2 else None,
        )
        for number in range(24)
    ]
    histories = [client.call_until_final([0], request) for request in requests]
    assert load.find_violations(client, histories) == []
    repeatable = [item for item in histories if item.request.key is None]
    assert {item.final_answer.outcome for item in repeatable} == {"completed"}


@pytest.mark.parametrize(
    "kind", [load.FORWARDED_KIND, load.FORWARDED_NON_REPEATABLE_KIND]
)
@pytest.mark.parametrize("cut", list(forwarder.CutPoint)[1:])
def test_agent_cut(
    deployment: cluster.Cluster,
    client: load.Client,
    forwarder_setup: conftest.ForwarderSetup,
    cut: forwarder.CutPoint,
    kind: str,
) -> None:
    """Guards against a cut dispatch that its cancellation does not resolve."""
    request = build_forwarded_request(f"/agent-cut/{cut.value}/{kind}", kind)
    assert forwarder_setup.forwarder is not None
    wait_until_called(
        client, conftest.FORWARDED_AGENT.index, load.FORWARDED_KIND
    )
    forwarder_setup.forwarder.schedule_cut(request.path, cut)
    history = client.call_until_final([0], request)
    assert forwarder_setup.forwarder.cut_done.is_set(), "no connection was cut"
    assert history.final_answer.outcome == "completed", history
    check_runs(deployment, client, request)
    assert load.find_violations(client, [history]) == []


def test_agent_cut_without_an_answer_to_the_cancel(
    deployment: cluster.Cluster,
    client: load.Client,
    forwarder_setup: conftest.ForwarderSetup,
) -> None:
    """Guards against a second run that the log of the entry does not explain.

    Repeatable work may run again if its cancel is not answered, as on a busy
    machine.
    """
    kind = load.FORWARDED_KIND
    request = build_forwarded_request("/agent-cut/unanswered", kind)
    assert forwarder_setup.forwarder is not None
    wait_until_called(client, conftest.FORWARDED_AGENT.index, kind)
    forwarder_setup.forwarder.schedule_cut(
        request.path, forwarder.CutPoint.IN_REPLY, cut_cancel=True
    )
    history = client.call_until_final([0], request)
    assert history.final_answer.outcome == "completed", history
    check_runs(deployment, client, request)
    assert client.count_runs()[request.path] == 2
    assert load.find_violations(client, [history]) == []


def check_runs(
    deployment: cluster.Cluster, client: load.Client, request: load.Request
) -> None:
    """Checks that a request ran once, and again only where the design allows.

    A request that is not repeatable ran once. Otherwise each run has an attempt
    of its own, and every run before the last one was cancelled without an
    answer, as the log of the entry says. The entry waits 2 s for this answer,
    which a busy machine can exceed.
    """
    if request.kind == load.FORWARDED_NON_REPEATABLE_KIND:
        assert client.count_runs()[request.path] == 1
        return
    records = client.read_records(Role.UPSTREAM, conftest.FORWARDED_AGENT.index)
    runs = [
        (item["request_id"], int(item["attempt"]))
        for item in records["requests"]
        if item["target"] == request.path
    ]
    log = deployment.read_log(Member(Role.ENTRY), LOG_CHARACTERS)
    unanswered = find_unanswered_cancels(log)
    assert len(runs) == len(set(runs)) >= 1, runs
    unexplained = set(runs[:-1]) - unanswered
    assert not unexplained, f"runs: {runs}, log: {log[-2000:]}"


def find_unanswered_cancels(log: str) -> set[tuple[str, int]]:
    """Returns the request id and attempt of each cancel without an answer."""
    documents = [
        json.loads(line)
        for line in log.splitlines()
        if peers.UNANSWERED_CANCEL in line
    ]
    return {
        (item["subject"], int(item["message"].rpartition(" ")[2]))
        for item in documents
    }


def wait_until_called(client: load.Client, index: int, kind: str) -> None:
    """Waits until entry 0 calls an upstream again that an earlier test broke.

    An idle entry calls only upstreams of its own data centre, so this waits
    for the one upstream that the test needs, not for all.
    """

    def count_requests() -> int:
        return len(
            client.read_records(conftest.Role.UPSTREAM, index)["requests"]
        )

    count_before = count_requests()

    def is_called_again() -> bool:
        client.call(0, load.Request("/rotation", kind))
        return count_requests() > count_before

    load.wait_until(is_called_again, "the upstream is not back in rotation")


def build_forwarded_request(path: str, kind: str) -> load.Request:
    """Returns a request that only the agent behind the forwarder can serve."""
    key = path if kind == load.FORWARDED_NON_REPEATABLE_KIND else None
    return load.Request(path, kind, key=key, delay_ms=DELAY_MS)


@pytest.mark.parametrize(
    "kind", [load.FORWARDED_KIND, load.FORWARDED_NON_REPEATABLE_KIND]
)
def test_agent_isolated(
    client: load.Client, forwarder_setup: conftest.ForwarderSetup, kind: str
) -> None:
    """Guards against the outcome not-run when the fate of a call is unknown.

    When the agent can be reached again, the key still has the recorded
    outcome.
    """
    request = build_forwarded_request(f"/agent-isolated/{kind}", kind)
    assert forwarder_setup.forwarder is not None
    wait_until_called(
        client, conftest.FORWARDED_AGENT.index, load.FORWARDED_KIND
    )
    forwarder_setup.forwarder.schedule_cut(
        request.path, forwarder.CutPoint.AFTER_CALL, isolate=True
    )
    answer = client.call(0, request)
    assert forwarder_setup.forwarder.cut_done.is_set(), "no connection was cut"
    assert answer.outcome == "indeterminate", answer
    forwarder_setup.forwarder.schedule_cut("", forwarder.CutPoint.NOWHERE)
    if kind == load.FORWARDED_NON_REPEATABLE_KIND:
        repeated = client.call(1, request)
        assert repeated.outcome == "indeterminate", repeated
    assert client.count_runs()[request.path] == 1
