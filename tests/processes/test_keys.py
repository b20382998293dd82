"""Tests of one idempotency key that several callers use."""

import concurrent.futures
import dataclasses

import cluster_settings

from tests.processes import load

Role = cluster_settings.Role

PAIRS = 6
OUTAGE_DELAY_MS = 6000
"""Service time of a call during which the table goes down."""


def test_same_key_at_once(client: load.Client) -> None:
    """Guards against a second run or different answers for one key."""
    requests = [
        load.Request(path, load.NON_REPEATABLE_KIND, key=path, delay_ms=300)
        for path in (f"/same-key/{number}" for number in range(PAIRS))
    ]
    with concurrent.futures.ThreadPoolExecutor(2 * PAIRS) as pool:
        calls = [
            [pool.submit(client.call, entry, request) for entry in (0, 1)]
            for request in requests
        ]
        answers = [[call.result() for call in pair] for pair in calls]
    for request, (first, second) in zip(requests, answers, strict=True):
        assert first.outcome == "completed", first
        assert first == second
        assert first.body == request.build_body()
    runs = client.count_runs()
    assert [runs[item.path] for item in requests] == [1] * PAIRS


def test_key_with_another_body(client: load.Client) -> None:
    """Guards against answering a request with the answer to another one."""
    path = "/reused-key"
    request = load.Request(
        path, load.NON_REPEATABLE_KIND, key=path, body=b"first"
    )
    assert client.call(0, request).outcome == "completed"
    changed_request = dataclasses.replace(request, body=b"second")
    for entry in (0, 1):
        answer = client.call(entry, changed_request)
        assert answer.status == 422, answer
        assert (answer.outcome, answer.reason) == ("not-run", "key-reused")
    assert client.count_runs()[path] == 1


def test_repeat_while_the_table_is_down(client: load.Client) -> None:
    """Guards against the outcome not-run while the work of the key runs."""
    path = "/repeat-in-outage"
    request = load.Request(
        path, load.NON_REPEATABLE_KIND, key=path, delay_ms=OUTAGE_DELAY_MS
    )
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(client.call, 0, request)
        load.wait_until(lambda: client.count_runs()[path], "it did not run")
        client.set_fault(Role.PLATFORM, 0, "down")
        repeat = client.call(0, request)
        assert not first.done()
        assert (repeat.outcome, repeat.status) == ("in-progress", 409), repeat
        assert repeat.reason == "table-unavailable"
        assert first.result().outcome == "completed"
    repeat = client.call(0, request)
    assert (repeat.outcome, repeat.status) == ("in-progress", 409), repeat
    client.set_fault(Role.PLATFORM, 0)
    load.wait_until(
        lambda: client.call(1, request) == first.result(),
        "the result was not recorded",
    )
    assert client.count_runs()[path] == 1
