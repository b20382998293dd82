"""Tests the client of the upstream with a server that sends raw bytes."""

import contextlib
import dataclasses
import datetime
import re
import socket
import threading
from collections.abc import Iterator

import pytest

from gypsumhold.adapters import upstream
from gypsumhold.model import effects, events, ids, members, requests, states

KEY = requests.AttemptKey(ids.RequestId("r1"), ids.Attempt(2))
LIMIT = datetime.timedelta(seconds=0.4)
MAX_BODY = 1000


def read_request(peer: socket.socket) -> bytes:
    """Returns the head and, if it has a Content-Length, the body."""
    received = b""
    while b"\r\n\r\n" not in received:
        part = peer.recv(65536)
        if not part:
            return b""
        received += part
    head, _, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    missing = int(length[1]) - len(body) if length else 0
    while missing > 0:
        part = peer.recv(missing)
        received += part
        missing -= len(part)
    return received


class RawServer:
    """Answers each request with the next scripted bytes.

    A script of None closes the connection without an answer. With `hang` the
    server keeps the connection open after an answer and reads no more.
    """

    def __init__(self, *scripts: bytes | None, hang: bool = False) -> None:
        self.scripts = list(scripts)
        self.hang = hang
        self.received: list[bytes] = []
        self.connections = 0
        self.closing = threading.Event()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = members.Address(*self.socket.getsockname())
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while self.scripts:
                with self.socket.accept()[0] as peer:
                    self.connections += 1
                    self._answer(peer)

    def _answer(self, peer: socket.socket) -> None:
        peer.settimeout(5)
        while self.scripts:
            request = read_request(peer)
            if not request:
                return
            self.received.append(request)
            script = self.scripts.pop(0)
            if script is None:
                return
            peer.sendall(script)
            if self.hang:
                self.closing.wait(5)

    def close(self) -> None:
        self.closing.set()
        self.socket.close()


@pytest.fixture
def client() -> Iterator[upstream.HttpUpstream]:
    http_upstream = upstream.HttpUpstream(2, MAX_BODY)
    yield http_upstream
    http_upstream.close()


def build_call(
    address: members.Address, payload: requests.Payload | None = None
) -> effects.CallUpstream:
    sent_payload = payload or requests.Payload("GET", "/")
    return effects.CallUpstream(KEY, address, LIMIT, sent_payload)


def build_failure(
    sent: bool, reason: states.Reason
) -> events.UpstreamCallFailed:
    return events.UpstreamCallFailed(KEY, sent, reason)


FAILED = build_failure(True, states.Reason.UPSTREAM_FAILED)
TIMEOUT = build_failure(True, states.Reason.UPSTREAM_TIMEOUT)
OK = b"HTTP/1.1 200 OK\r\n"

LENGTH = OK + b"Content-Length: "
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BROKEN_ANSWERS = {
    "closed without an answer": (None, False, FAILED),
    "body cut off": (LENGTH + b"9\r\n\r\nabc", False, FAILED),
    "chunk cut off": (CHUNKED + b"5\r\nabc", False, FAILED),
    "last chunk missing": (CHUNKED + b"3\r\nabc\r\n", False, FAILED),
    "no length": (OK + b"\r\nabc", False, FAILED),
    "two lengths": (
        LENGTH + b"3\r\nContent-Length: 2\r\n\r\nabc",
        False,
        FAILED,
    ),
    "too large": (LENGTH + b"1001\r\n\r\n" + b"a" * 1001, False, FAILED),
    "not HTTP": (b"garbage\r\n\r\n", False, FAILED),
    "no answer in time": (b"", True, TIMEOUT),
    "body stops": (LENGTH + b"9\r\n\r\nabc", True, TIMEOUT),
}


@pytest.mark.parametrize("fault", BROKEN_ANSWERS)
def test_broken_answer_fails_as_sent(
    client: upstream.HttpUpstream, fault: str
) -> None:
    """Guards against half an answer that is forwarded or counts as not sent."""
    script, hang, failure = BROKEN_ANSWERS[fault]
    # Each call has to return its connection, or the pool of two runs empty.
    for _ in range(3):
        with contextlib.closing(RawServer(script, hang=hang)) as server:
            assert client.call(build_call(server.address)) == failure


def test_refused_connection_fails_as_not_sent(
    client: upstream.HttpUpstream,
) -> None:
    """Guards against reporting a call that cannot have run as indeterminate."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = members.Address(*free.getsockname())
    assert client.call(build_call(address)) == build_failure(
        False, states.Reason.UPSTREAM_FAILED
    )


def test_broken_reused_connection_fails_as_sent(
    client: upstream.HttpUpstream,
) -> None:
    """Guards against repeating a request that the upstream may have read."""
    whole = OK + b"Content-Length: 0\r\n\r\n"
    with contextlib.closing(RawServer(whole, None, whole)) as server:
        first = client.call(build_call(server.address))
        assert isinstance(first, events.UpstreamAnswered)
        assert client.call(build_call(server.address)) == FAILED
        assert len(server.received) == 2


def test_claimed_call_uses_a_new_connection(
    client: upstream.HttpUpstream,
) -> None:
    """Guards against a claimed call in doubt due to a closing connection."""
    whole = OK + b"Content-Length: 0\r\n\r\n"
    with contextlib.closing(RawServer(whole, whole)) as server:
        claimed = dataclasses.replace(build_call(server.address), fresh=True)
        for _ in range(2):
            answered = client.call(claimed)
            assert isinstance(answered, events.UpstreamAnswered)
        assert server.connections == 2


def test_request_is_sent_unchanged(client: upstream.HttpUpstream) -> None:
    """Guards against a library that rewrites the target, headers or body."""
    body = bytes(range(256))
    lines = (
        ("Host", "caller.example"),
        ("X-One", "a"),
        ("X-Two", "\xe9"),
        ("X-One", "b"),
        ("Content-Length", "256"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Gypsumhold-Attempt", "9"),
    )
    payload = requests.Payload("PUT", "/a%2fb/../c|?q=%7e&&r='", lines, body)
    whole = OK + b"Content-Length: 0\r\n\r\n"
    with contextlib.closing(RawServer(whole)) as server:
        client.call(build_call(server.address, payload))
        head, _, sent = server.received[0].partition(b"\r\n\r\n")
    start, *rest = head.split(b"\r\n")
    assert start == b"PUT /a%2fb/../c|?q=%7e&&r=' HTTP/1.1"
    assert sorted(rest) == [
        b"Content-Length: 256",
        b"Gypsumhold-Attempt: 2",
        b"Gypsumhold-Request-Id: r1",
        b"Host: caller.example",
        b"X-One: a",
        b"X-One: b",
        b"X-Two: \xe9",
    ]
    assert sent == body


@pytest.mark.parametrize(
    ("method", "script", "status", "body"),
    [
        ("GET", b"200 OK\r\nContent-Length: 3\r\n\r\n\x00\xff\r", 200, 3),
        ("HEAD", b"200 OK\r\nContent-Length: 3\r\n\r\n", 200, 0),
        ("GET", b"204 No Content\r\n\r\n", 204, 0),
        (
            "GET",
            b"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n",
            200,
            3,
        ),
        (
            "GET",
            b"302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
            302,
            0,
        ),
        (
            "GET",
            b"503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
            503,
            0,
        ),
    ],
)
def test_whole_answer_is_returned(
    client: upstream.HttpUpstream,
    method: str,
    script: bytes,
    status: int,
    body: int,
) -> None:
    """Guards against a library that follows, retries or decodes an answer."""
    with contextlib.closing(RawServer(b"HTTP/1.1 " + script)) as server:
        payload = requests.Payload(method, "/")
        event = client.call(build_call(server.address, payload))
        assert len(server.received) == 1
    assert isinstance(event, events.UpstreamAnswered)
    assert event.answer.status == status
    assert len(event.answer.body) == body


def test_answer_headers_keep_duplicates_and_encoding(
    client: upstream.HttpUpstream,
) -> None:
    """Guards against a dropped cookie or a decoded compressed body."""
    script = (
        OK + b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Encoding: gzip\r\n"
        b"Connection: close\r\nContent-Length: 3\r\n\r\nabc"
    )
    with contextlib.closing(RawServer(script)) as server:
        event = client.call(build_call(server.address))
    assert isinstance(event, events.UpstreamAnswered)
    assert event.answer.headers == (
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
        ("Content-Encoding", "gzip"),
        ("Content-Length", "3"),
    )
    assert event.answer.body == b"abc"
