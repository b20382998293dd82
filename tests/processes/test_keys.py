"""Tests of one idempotency key that several callers use."""

import concurrent.futures
import dataclasses
from collections.abc import Sequence

import cluster
import cluster_settings

from tests.processes import load

Member = cluster_settings.Member
Role = cluster_settings.Role

PAIRS = 6
OUTAGE_DELAY_MS = 6000
"""Service time of a call during which the table goes down."""


def test_same_key_at_once(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against a second run or different answers for one key.

    An entry whose table failed within the last second answers `not-run`, about
    its own call. The message of a failure tells this case from others.
    """
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
    for request, pair in zip(requests, answers, strict=True):
        description = describe_answers(deployment, request, pair)
        outcomes = {answer.outcome for answer in pair}
        assert outcomes == {"completed"}, description
        assert pair[0] == pair[1], description
        assert pair[0].body == request.build_body(), description
    runs = client.count_runs()
    assert [runs[item.path] for item in requests] == [1] * PAIRS


def describe_answers(
    deployment: cluster.Cluster,
    request: load.Request,
    answers: Sequence[load.Answer],
) -> str:
    """Returns the answer of each entry and the end of the entry's log.

    Failure messages need it, because pytest shortens the comparison of two
    answers to their outcomes, without the reasons.
    """
    lines = [f"answers for {request.path}:"]
    for index, answer in enumerate(answers):
        entry = Member(Role.ENTRY, index)
        lines += [f"{entry}: {answer}", deployment.read_log(entry)]
    return "\n".join(lines)


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
