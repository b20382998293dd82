"""Sends malformed bytes to the HTTP listener.

Pattern: more malformed connections than the listener has threads. Each one is
answered or closed, and an ordinary request is served as before.
"""

import contextlib
import errno
import random
import socket

import pytest

from gypsumhold.adapters import http_routes, http_server
from gypsumhold.model import members

WAIT_S = 5.0
THREADS = 2
ANY_PORT = members.Address("127.0.0.1", 0)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"

MALFORMED = {
    "empty": b"",
    "blank lines": b"\r\n" * 50,
    "binary": bytes(range(256)) * 20,
    "TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    "NUL in the path": b"GET /\x00 HTTP/1.1\r\nHost: h\r\n\r\n",
    "invalid UTF-8": b"GET /\xff\xfe HTTP/1.1\r\nHost: \xff\r\n\r\n",
    "unknown version": b"GET / HTTP/9.9\r\nHost: h\r\n\r\n",
    "no version": b"GET /\r\n\r\n",
    "long path": b"GET /" + b"a" * 200_000 + b" HTTP/1.1\r\n\r\n",
    "long header": HEAD + b"X: " + b"a" * 200_000 + b"\r\n\r\n",
    "many headers": HEAD + b"X: y\r\n" * 20_000 + b"\r\n",
    "header without a colon": HEAD + b"nonsense\r\n\r\n",
    "negative length": HEAD + b"Content-Length: -5\r\n\r\n",
    "length is no number": HEAD + b"Content-Length: five\r\n\r\n",
    "huge length": HEAD + b"Content-Length: 99999999999999999999\r\n\r\n",
    "digits of another script": HEAD
    + "Content-Length: \u0663\r\n\r\n".encode(),
    "two lengths": HEAD + b"Content-Length: 3\r\nContent-Length: 9\r\n\r\nabc",
    "invalid chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    "huge chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffff\r\na",
    "unknown encoding": HEAD + b"Transfer-Encoding: rot13\r\n\r\n",
}


CLOSED_BY_PEER = (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN)


class EchoRoutes(http_routes.Routes):
    """Answers every request with its body."""

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        incoming.read_path()
        return http_routes.HttpResponse(200, body=incoming.body or b"served")


def send(listener: http_server.Listener, data: bytes) -> bytes:
    """Sends some bytes and returns the answer; empty if there is none.

    The listener may close the connection before it has read everything. A
    listener that neither answers nor closes raises a timeout.
    """
    address = listener.read_address()
    received = b""
    peer = socket.create_connection((address.host, address.port), WAIT_S)
    with peer:
        try:
            peer.sendall(data)
            peer.shutdown(socket.SHUT_WR)
            while block := peer.recv(65536):
                received += block
        except OSError as problem:
            if problem.errno not in CLOSED_BY_PEER:
                raise
    return received


def check_serves(listener: http_server.Listener) -> None:
    assert send(listener, REQUEST).endswith(b"served")


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_stops_no_thread(name: str) -> None:
    """Guards against a request that takes a thread of the listener with it."""
    listener = http_server.Listener(ANY_PORT, EchoRoutes(), THREADS, 1000)
    with contextlib.closing(listener):
        for _ in range(THREADS + 2):
            answer = send(listener, MALFORMED[name])
            assert not answer or answer.startswith(b"HTTP/1.")
        check_serves(listener)


@pytest.mark.parametrize("seed", range(4))
def test_random_bytes_stop_no_thread(seed: int) -> None:
    rng = random.Random(seed)
    listener = http_server.Listener(ANY_PORT, EchoRoutes(), THREADS, 1000)
    with contextlib.closing(listener):
        for _ in range(20):
            data = bytearray(HEAD + b"Content-Length: 4\r\n\r\nbody")
            for _ in range(rng.randrange(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            send(listener, bytes(data))
        check_serves(listener)
