"""A store whose answers have no end, read by real processes.

Pattern: a node gets such an answer to each of its calls to the store. The
process lives, its memory and its descriptors stay under the bounds of the
tests of clients outside the limits, and an ordinary request is answered.
"""

import contextlib
import functools
import pathlib

import pytest

from gypsumhold.model import members
from tests.processes import answers, crowd, load
from tests.processes import test_uncontrolled_clients as clients
from tests.soak import programs, proxies

ANSWERS = 6
"""Number of answers that end before the process is checked."""

ROLES = {"entry": "/", "agent": "/metrics"}
"""Path of an ordinary request to each role."""


def check_node(
    program: programs.Program, server: answers.EndlessServer, path: str
) -> None:
    """Checks a node after ANSWERS answers."""
    port = program.ports[3 if path == "/metrics" else 0]
    address = members.Address(crowd.HOST, port)
    clients.wait_for_listener(address)
    assert program.process is not None
    target = clients.Target(
        program.process.pid,
        address,
        functools.partial(clients.check_answers, address, path),
    )

    def have_ended() -> bool:
        target.check_memory()
        return server.count_ended() >= ANSWERS

    load.wait_until(have_ended, "answers did not end")
    target.check()
    assert target.count_new_descriptors() <= clients.MAX_NEW_DESCRIPTORS


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize(
    "stream",
    ["interim answers", "declared body", "small chunks", "trailer lines"],
)
def test_store_without_end(
    tmp_path: pathlib.Path, role: str, stream: str
) -> None:
    """Guards against a process that runs out of memory or stops answering."""
    server = answers.EndlessServer(answers.STREAMS[stream])
    with contextlib.closing(server):
        store = proxies.Proxy(server.address, 0)
        program = programs.Program(
            role, role, tmp_path, programs.find_ports(4), store, 0
        )
        try:
            program.start()
            check_node(program, server, ROLES[role])
        finally:
            program.kill()
            program.close()
