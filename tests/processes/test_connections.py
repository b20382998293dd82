"""Connections that are cut between any two processes."""

import socket
import urllib.parse

import pytest

from tests.processes import conftest, forwarder, load

DELAY_MS = 400
BREAKS = ("before", "during")


def send_partly(
    client: load.Client, request: load.Request, share: float
) -> None:
    """Sends the headers and a share of the body, then cuts the connection."""
    address = urllib.parse.urlsplit(client.urls[0])
    body = request.read_body()
    lines = [f"POST {request.path} HTTP/1.1", "Host: entry"]
    lines += [
        f"{name}: {value}" for name, value in request.build_headers().items()
    ]
    lines += [f"Content-Length: {len(body)}", "", ""]
    sent = "\r\n".join(lines).encode() + body[: int(len(body) * share)]
    with socket.create_connection((address.hostname, address.port)) as caller:
        caller.sendall(sent)


def test_caller_cut(client: load.Client) -> None:
    """Guards against work for callers who did not send a whole request.

    A caller who is cut off after a whole request finds its result by its key.
    """
    requests = {
        share: load.Request(path, load.ONCE, key=path, delay_ms=DELAY_MS)
        for share in (0.0, 0.5, 1.0)
        for path in [f"/caller-cut/{share}"]
    }
    for share, request in requests.items():
        send_partly(client, request, share)
    ended = client.run([1], requests[1.0])
    assert ended.final.outcome == "completed", ended
    assert load.find_violations(client, [ended]) == []
    runs = client.count_runs()
    assert [runs[item.path] for item in requests.values()] == [0, 0, 1]


@pytest.mark.parametrize("where", BREAKS)
def test_upstream_cut_not_repeatable(client: load.Client, where: str) -> None:
    """Guards against a second run, or a *not run*, after a broken answer."""
    path = f"/upstream-cut/{where}"
    request = load.Request(
        path, load.ONCE, key=path, headers=(("X-Standin-Break", where),)
    )
    for entry in (0, 1):
        answer = client.call(entry, request)
        assert (answer.outcome, answer.status) == ("indeterminate", 504)
    assert client.count_runs()[path] == 1


@pytest.mark.parametrize("where", BREAKS)
def test_upstream_cut_repeatable(client: load.Client, where: str) -> None:
    """Guards against *not run* for a request whose every answer broke."""
    path = f"/upstream-cut-again/{where}"
    request = load.Request(path, headers=(("X-Standin-Break", where),))
    answer = client.call(0, request)
    assert (answer.outcome, answer.status) == ("indeterminate", 504)
    assert client.count_runs()[path] >= 1


@pytest.mark.parametrize("fault", ["answer-lost", "request-lost"])
def test_one_upstream_breaks(client: load.Client, fault: str) -> None:
    """Guards against a broken upstream that its neighbours do not make up."""
    wait_in_rotation(client, 0, load.REPEATABLE)
    client.set_fault(conftest.Role.UPSTREAM, 0, fault)
    requests = [
        load.Request(
            f"/{fault}/{number}",
            load.ONCE if number % 2 else load.REPEATABLE,
            key=f"{fault}-{number}" if number % 2 else None,
        )
        for number in range(24)
    ]
    ended = [client.run([0], request) for request in requests]
    assert load.find_violations(client, ended) == []
    repeated = [item for item in ended if item.request.key is None]
    assert {item.final.outcome for item in repeated} == {"completed"}


@pytest.mark.parametrize("kind", [load.CUT, load.CUT_ONCE])
@pytest.mark.parametrize("cut", list(forwarder.Cut)[1:])
def test_agent_cut(
    client: load.Client,
    links: conftest.Links,
    cut: forwarder.Cut,
    kind: str,
) -> None:
    """Guards against a cut dispatch that is not resolved by its cancel."""
    request = build_cut(f"/agent-cut/{cut.value}/{kind}", kind)
    assert links.forwarder is not None
    wait_in_rotation(client, conftest.CUT_AGENT.index, load.CUT)
    links.forwarder.plan(request.path, cut)
    ended = client.run([0], request)
    assert links.forwarder.happened.is_set(), "no connection was cut"
    assert ended.final.outcome == "completed", ended
    assert client.count_runs()[request.path] == 1
    assert load.find_violations(client, [ended]) == []


def wait_in_rotation(client: load.Client, index: int, kind: str) -> None:
    """Waits until entry 0 calls an upstream that an earlier test broke.

    Only upstreams of the entry's own data centre are called while it is idle,
    so the wait is for the one that the test needs.
    """

    def count_seen() -> int:
        return len(client.read_seen(conftest.Role.UPSTREAM, index)["requests"])

    before = count_seen()

    def check() -> bool:
        client.call(0, load.Request("/rotation", kind))
        return count_seen() > before

    load.attempt_until(check, "the upstream is not back in rotation")


def build_cut(path: str, kind: str) -> load.Request:
    """Returns a request that only the agent behind the forwarder serves."""
    key = path if kind == load.CUT_ONCE else None
    return load.Request(path, kind, key=key, delay_ms=DELAY_MS)


@pytest.mark.parametrize("kind", [load.CUT, load.CUT_ONCE])
def test_agent_isolated(
    client: load.Client, links: conftest.Links, kind: str
) -> None:
    """Guards against *not run* when nobody can say what became of a call.

    Once the agent is reached again, the key has the recorded result.
    """
    request = build_cut(f"/agent-isolated/{kind}", kind)
    assert links.forwarder is not None
    wait_in_rotation(client, conftest.CUT_AGENT.index, load.CUT)
    links.forwarder.plan(request.path, forwarder.Cut.AFTER_CALL, isolate=True)
    answer = client.call(0, request)
    assert links.forwarder.happened.is_set(), "no connection was cut"
    assert answer.outcome == "indeterminate", answer
    links.forwarder.plan("", forwarder.Cut.NOWHERE)
    if kind == load.CUT_ONCE:
        again = client.call(1, request)
        assert again.outcome == "indeterminate", again
    assert client.count_runs()[request.path] == 1
