"""Tests which entries gypsumctl calls after one has failed."""

import contextlib
import dataclasses
import socket
import threading
from collections.abc import Iterator

import pytest

from gypsumhold.model import members
from gypsumhold.programs import ctl_calls, ctl_client

READ = ctl_calls.READ_CONFIGURATION
APPLY = dataclasses.replace(READ, method="POST", idempotent=False)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
DOWN = b"HTTP/1.1 503 Down\r\nContent-Length: 2\r\n\r\n{}"
BROKEN = b""


@contextlib.contextmanager
def serve_once(answer: bytes) -> Iterator[int]:
    """Answers one connection with fixed bytes; yields the port."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer_one() -> None:
            with contextlib.suppress(OSError):
                connection, _ = listener.accept()
                with connection:
                    connection.recv(65536)
                    connection.sendall(answer)

        thread = threading.Thread(target=answer_one)
        thread.start()
        try:
            yield listener.getsockname()[1]
        finally:
            # Ends the thread's accept if no connection arrived.
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


def find_closed_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


@pytest.mark.parametrize(
    "first, call, status",
    [
        (None, READ, 200),
        (None, APPLY, 200),
        (BROKEN, READ, 200),
        (BROKEN, APPLY, 0),
        (DOWN, READ, 200),
        (DOWN, APPLY, 503),
    ],
)
def test_next_entry_is_tried_only_if_repeat_is_safe(
    first: bytes | None, call: ctl_calls.Call, status: int
) -> None:
    """Guards against sending the same change to two entries."""
    with contextlib.ExitStack() as stack:
        ports = [
            find_closed_port()
            if first is None
            else stack.enter_context(serve_once(first)),
            stack.enter_context(serve_once(OK)),
        ]
        entries = tuple(
            ctl_client.Entry(
                members.Address("127.0.0.1", port),
                members.Address("127.0.0.1", port),
            )
            for port in ports
        )
        client = ctl_client.Client(ctl_client.Settings(entries, "t"))
        assert client.send_to_one(call).status == status


def test_deeply_nested_answer_is_shown_as_text() -> None:
    """Guards against an answer that ends the program with a traceback."""
    body = b"[" * 100_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    with serve_once(head + body) as port:
        address = members.Address("127.0.0.1", port)
        entry = ctl_client.Entry(address, address)
        client = ctl_client.Client(ctl_client.Settings((entry,), "token"))
        answer = client.send(entry, READ)
    assert answer.document == body.decode()
