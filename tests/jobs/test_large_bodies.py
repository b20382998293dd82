"""Guards against bodies that take many times their size once decoded.

Pattern: callers send submissions of almost 1 MiB at once, which the listener
accepts, with as many steps or predecessors as fit. Each is refused, and the
memory stays under the bound of the tests of clients outside the limits.
"""

import tracemalloc
from concurrent import futures

import pytest

from gypsumhold.adapters import http_routes
from gypsumhold.programs import node, node_listeners
from tests.jobs import job_specs, test_odd_bodies

MAX_GROWTH = 48 * 1024 * 1024
ROUNDS = 2
TARGET = f"{job_specs.QUEUE.prefix}5c0e7a21d94b36f8"

PREDECESSORS = b"[" + b"1000," * 2999 + b"1000]"
STEPS = {
    "steps": b'{"count":1}',
    "predecessors": b'{"count":1,"after":' + PREDECESSORS + b"}",
}


def build_body(step: bytes) -> bytes:
    """Returns the largest body that the listener accepts."""
    head = b'{"specification":"text","steps":['
    room = node_listeners.MAX_BODY_BYTES - len(head) - len(b"]}")
    return head + b",".join([step] * (room // (len(step) + 1))) + b"]}"


@pytest.mark.parametrize("kind", STEPS)
def test_submissions_that_grow(kind: str) -> None:
    """Guards against the sum of the decoded bodies."""
    routes = test_odd_bodies.build_routes()

    def submit(body: bytes) -> int:
        request = http_routes.HttpRequest(
            "POST", TARGET, test_odd_bodies.HEADERS, body
        )
        return routes.answer(request).status

    assert submit(test_odd_bodies.GOOD) == 200
    bodies = [build_body(STEPS[kind])] * (ROUNDS * node.CALLER_THREADS)
    # Counts only what is allocated from here on, whatever ran before.
    tracemalloc.start()
    try:
        with futures.ThreadPoolExecutor(node.CALLER_THREADS) as pool:
            statuses = set(pool.map(submit, bodies))
        _, growth = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert statuses == {400}
    assert growth <= MAX_GROWTH, f"grew by {growth >> 20} MB"
