"""The same idempotency key from several callers."""

import concurrent.futures
import dataclasses

from tests.processes import load

PAIRS = 6


def test_same_key_at_once(client: load.Client) -> None:
    """Guards against a second run, or different answers, for one key."""
    requests = [
        load.Request(path, load.ONCE, key=path, delay_ms=300)
        for path in (f"/same-key/{number}" for number in range(PAIRS))
    ]
    with concurrent.futures.ThreadPoolExecutor(2 * PAIRS) as pool:
        calls = [
            [pool.submit(client.call, entry, request) for entry in (0, 1)]
            for request in requests
        ]
        answers = [[call.result() for call in pair] for pair in calls]
    for request, (one, other) in zip(requests, answers, strict=True):
        assert one.outcome == "completed", one
        assert one == other
        assert one.body == request.read_body()
    runs = client.count_runs()
    assert [runs[item.path] for item in requests] == [1] * PAIRS


def test_key_with_another_body(client: load.Client) -> None:
    """Guards against an answer to one request that is given to another."""
    path = "/reused-key"
    request = load.Request(path, load.ONCE, key=path, body=b"first")
    assert client.call(0, request).outcome == "completed"
    other = dataclasses.replace(request, body=b"second")
    for entry in (0, 1):
        answer = client.call(entry, other)
        assert answer.status == 422, answer
        assert (answer.outcome, answer.reason) == ("not-run", "key-reused")
    assert client.count_runs()[path] == 1
