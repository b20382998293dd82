"""Memory that the bodies of replies take while they count as being read."""

import contextlib
import datetime
import tracemalloc
from collections.abc import Iterator

import pytest
from returns.result import Failure, Success

from gypsumhold.adapters import http_client, reply_reader
from gypsumhold.model import replies
from tests.processes import answers, crowd

BLOCKS = 128
BODY_BYTES = BLOCKS * len(crowd.BLOCK)
HEAD = answers.HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
MARGIN_BYTES = 1024 * 1024
"""For all that is no body: buffers, and what the server allocates."""

READ_TIMEOUT = datetime.timedelta(seconds=30)


@contextlib.contextmanager
def call_server(
    limits: replies.ReplyLimits,
) -> Iterator[http_client.HttpClient]:
    """Yields a client of a server whose answer has BODY_BYTES."""
    server = answers.EndlessServer(crowd.Stream(HEAD), blocks=BLOCKS)
    options = http_client.CallOptions(
        server.address, read_timeout=READ_TIMEOUT, limits=limits
    )
    with contextlib.closing(server):
        client = http_client.HttpClient(options)
        with contextlib.closing(client):
            yield client


@pytest.fixture
def memory() -> Iterator[int]:
    """Measures allocations; yields how much is allocated at the start."""
    tracemalloc.start()
    yield tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


def test_whole_body_is_held_once(memory: int) -> None:
    """Guards against a copy of each body that no limit counts."""
    with call_server(replies.ReplyLimits()) as client:
        result = client.call("GET", "/")
    peak = tracemalloc.get_traced_memory()[1] - memory
    assert isinstance(result, Success)
    assert result.unwrap().body == crowd.BLOCK * BLOCKS
    # A buffer that grows has up to an eighth more than its contents.
    assert peak <= BODY_BYTES * 9 / 8 + MARGIN_BYTES


def test_refused_body_is_freed_before_others_may_grow(
    memory: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against bodies that are held after the sum has let them go."""
    held: list[int] = []
    remove = reply_reader.PendingReplies.remove

    def measure_and_remove(
        pending: reply_reader.PendingReplies, progress: replies.ReplyProgress
    ) -> None:
        held.append(tracemalloc.get_traced_memory()[0] - memory)
        remove(pending, progress)

    monkeypatch.setattr(
        reply_reader.PendingReplies, "remove", measure_and_remove
    )
    limits = replies.ReplyLimits(max_body_bytes=BODY_BYTES // 2)
    with call_server(limits) as client:
        result = client.call("GET", "/")
    assert result == Failure(http_client.CallFailure.UNKNOWN)
    (held_bytes,) = held
    assert held_bytes <= MARGIN_BYTES
