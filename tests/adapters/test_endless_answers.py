"""Answers without an end, read by the HTTP clients of this system.

Pattern: a few calls at once get such an answer from a server on the loopback
address. Each call fails, none reads to where the server stops, and the memory
stays under the bound of the tests of clients outside the limits.
"""

import contextlib
import datetime
import os
import pathlib
from collections.abc import Callable, Iterator
from concurrent import futures

import pytest
from returns.result import Failure

from gypsumhold.adapters import allocator, http_client, upstream
from gypsumhold.model import effects, events, ids, members, requests, states
from tests.processes import answers, crowd

CALLS = 3
MAX_GROWTH = 48 * 1024 * 1024
"""Most bytes by which the memory of the process may grow."""

CALL_TIMEOUT = datetime.timedelta(seconds=60)
MAX_BODY_BYTES = 1_048_576
SHORT_TIMEOUT = datetime.timedelta(milliseconds=200)
DRIP_PAUSE_S = 0.05
DRIP_BLOCKS = 400
"""20 s of an answer that never pauses for as long as SHORT_TIMEOUT."""

Call = Callable[[], object]


@pytest.fixture(autouse=True, scope="module")
def use_allocator_of_programs() -> None:
    """Sets the options of the C allocator that each program sets.

    Without them, glibc copies a body that grows, and keeps its former places.
    """
    allocator.return_large_blocks()


def build_effect(
    address: members.Address, timeout: datetime.timedelta
) -> effects.CallUpstream:
    """Returns an ordinary call of an upstream."""
    return effects.CallUpstream(
        owner=requests.AttemptKey(ids.RequestId("r1"), ids.Attempt(1)),
        address=address,
        payload=requests.Payload("GET", "/", (), b""),
        timeout=timeout,
    )


@contextlib.contextmanager
def open_client(
    kind: str, address: members.Address, timeout: datetime.timedelta
) -> Iterator[Call]:
    """Yields a function that calls the address."""
    if kind == "upstream":
        with contextlib.closing(
            upstream.HttpUpstream(CALLS, MAX_BODY_BYTES)
        ) as client:
            effect = build_effect(address, timeout)
            yield lambda: client.call(effect)
        return
    options = http_client.CallOptions(address, read_timeout=timeout)
    with contextlib.closing(http_client.HttpClient(options)) as service:
        yield lambda: service.call("GET", "/")


def reset_peak() -> int:
    """Resets the highest memory of this process; returns the memory now."""
    pathlib.Path("/proc/self/clear_refs").write_text("5")
    return crowd.read_status(os.getpid(), "VmRSS")


@pytest.mark.parametrize("kind", ["service", "upstream"])
@pytest.mark.parametrize("stream", answers.STREAMS)
def test_answer_without_end(kind: str, stream: str) -> None:
    """Guards against a process that runs out of memory or reads for ever."""
    server = answers.EndlessServer(answers.STREAMS[stream])
    with contextlib.closing(server):
        before = reset_peak()
        with open_client(kind, server.address, CALL_TIMEOUT) as call:
            results = call_at_once(call)
        growth = crowd.read_status(os.getpid(), "VmHWM") - before
    assert growth <= MAX_GROWTH, f"grew by {growth >> 20} MB"
    for result in results:
        assert isinstance(result, Failure | events.UpstreamCallFailed)
    assert server.completed == 0


def call_at_once(call: Call) -> list[object]:
    """Returns the results of CALLS calls at once."""
    with futures.ThreadPoolExecutor(CALLS) as pool:
        return list(pool.map(lambda _: call(), range(CALLS)))


@pytest.mark.parametrize("kind", ["service", "upstream"])
@pytest.mark.parametrize("part", ["header", "trailer", "body"])
def test_slow_answer_without_end(kind: str, part: str) -> None:
    """Guards against a thread that an answer in small pieces holds."""
    starts = {
        "header": answers.HEAD + b"X: ",
        "trailer": answers.CHUNKED + b"0\r\nX: ",
        "body": answers.HEAD + b"Content-Length: 9999\r\n\r\n",
    }
    stream = crowd.Stream(starts[part], b"a")
    server = answers.EndlessServer(stream, DRIP_PAUSE_S, DRIP_BLOCKS)
    with (
        contextlib.closing(server),
        open_client(kind, server.address, SHORT_TIMEOUT) as call,
    ):
        result = call()
    if kind == "upstream":
        assert isinstance(result, events.UpstreamCallFailed)
        assert result.reason is states.Reason.UPSTREAM_TIMEOUT
    else:
        assert result == Failure(http_client.CallFailure.UNKNOWN)
    assert server.completed == 0
