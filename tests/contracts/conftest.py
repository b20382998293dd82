"""Starts stand-in processes and fake HTTP servers for the contract tests."""

import contextlib
import datetime
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator

import pytest

from gypsumhold.adapters import http_client
from gypsumhold.model import members

SOURCE = pathlib.Path(__file__).parents[2] / "src"
Starter = Callable[[str, dict[str, object]], members.Address]


@pytest.fixture(scope="session")
def start_standin(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Starter]:
    """Yields a function that starts stand-in processes.

    They are stopped after the tests and must exit with status 0.
    """
    folder = tmp_path_factory.mktemp("standins")
    with contextlib.ExitStack() as stack:

        def start(role: str, settings: dict[str, object]) -> members.Address:
            return _start(stack, folder, role, settings)

        yield start


def _start(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    role: str,
    settings: dict[str, object],
) -> members.Address:
    config = folder / f"{role}.json"
    listen = {"host": "127.0.0.1", "port": 0}
    config.write_text(json.dumps({"listen": listen, **settings}))
    process = subprocess.Popen(
        [sys.executable, "-m", "gypsumhold_standin.program", role]
        + ["--config", str(config)],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(_stop, process)
    assert process.stdout is not None
    host, _, port = process.stdout.readline().split()[-1].rpartition(":")
    return members.Address(host, int(port))


def _stop(process: subprocess.Popen[str]) -> None:
    process.terminate()
    assert process.wait(30) == 0


@pytest.fixture
def answer_bytes() -> Iterator[Callable[[bytes], http_client.HttpClient]]:
    """Yields a function that builds a client of a one-call server.

    The server answers with the given bytes.
    """
    with contextlib.ExitStack() as stack:

        def build(raw: bytes) -> http_client.HttpClient:
            listener = stack.enter_context(
                socket.create_server(("127.0.0.1", 0))
            )
            thread = threading.Thread(target=_answer, args=(listener, raw))
            thread.start()
            stack.callback(thread.join)
            return build_caller(members.Address(*listener.getsockname()))

        yield build


def _answer(listener: socket.socket, raw: bytes) -> None:
    connection, _ = listener.accept()
    with connection:
        received = connection.recv(65536)
        # The client sends the headers and the body separately.
        if received.startswith(b"POST") and received.endswith(b"\r\n\r\n"):
            connection.recv(65536)
        connection.sendall(raw)


def build_caller(
    address: members.Address, timeout: float = 20
) -> http_client.HttpClient:
    read = datetime.timedelta(seconds=timeout)
    return http_client.HttpClient(
        http_client.CallOptions(address, read_timeout=read)
    )


def find_closed_port() -> members.Address:
    """Returns an address without a listener."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return members.Address(*listener.getsockname())


def _reply(body: bytes, status: str = "200 OK") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# No decoder may raise an exception on these or accept one as valid.
INVALID_REPLIES = {
    "closed": b"",
    "not-http": b"\x00\xff\xfe garbage\r\n\r\n",
    "head-cut": b"HTTP/1.1 200 OK\r\nContent-",
    "body-cut": b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"result',
    "chunk-cut": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{",
    "bad-length": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}",
    "empty": _reply(b""),
    "not-json": _reply(b"{"),
    "not-utf8": _reply(b'{"result": "\xff"}'),
    "deep": _reply(b"[" * 100_000),
    "long-number": _reply(b"9" * 10_000),
    "wrong-shape": _reply(b'{"result": "committed", "more": 1}'),
    "wrong-type": _reply(b'{"rows": 1, "tasks": {}, "result": 7}'),
    "bad-row": _reply(
        b'{"result": "conflict", "rows": [{"key": "k", "version": true,'
        b' "operation": "o", "value": {"type": "head", "version": 1}}]}'
    ),
    "failure": _reply(b'{"result": "committed"}', "500 Error"),
    "redirect": _reply(b'{"result": "committed"}', "302 Found"),
}
