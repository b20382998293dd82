"""Guards the client of the upstream against faults on the wire."""

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
    """Reads the head and, with Content-Length, the body."""
    received = b""
    while b"\r\n\r\n" not in received:
        part = peer.recv(65536)
        if not part:
            return b""
        received += part
    head, _, body = received.partition(b"\r\n\r\n")
    found = re.search(rb"Content-Length: (\d+)", head)
    missing = int(found[1]) - len(body) if found else 0
    while missing > 0:
        part = peer.recv(missing)
        received += part
        missing -= len(part)
    return received


class RawServer:
    """Answers each request with the next scripted bytes.

    A script of None closes the connection instead of answering.
    """

    def __init__(self, *scripts: bytes | None, hang: bool = False) -> None:
        self.scripts = list(scripts)
        self.hang = hang
        self.seen: list[bytes] = []
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
            self.seen.append(request)
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
    made = upstream.HttpUpstream(2, MAX_BODY)
    yield made
    made.close()


def build_call(
    address: members.Address, payload: requests.Payload | None = None
) -> effects.CallUpstream:
    chosen = payload or requests.Payload("GET", "/")
    return effects.CallUpstream(KEY, address, LIMIT, chosen)


def lose(sent: bool, reason: states.Reason) -> events.UpstreamCallFailed:
    return events.UpstreamCallFailed(KEY, sent, reason)


FAILED = lose(True, states.Reason.UPSTREAM_FAILED)
TIMEOUT = lose(True, states.Reason.UPSTREAM_TIMEOUT)
OK = b"HTTP/1.1 200 OK\r\n"

LENGTH = OK + b"Content-Length: "
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FAULTS = {
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


@pytest.mark.parametrize("fault", FAULTS)
def test_broken_answer_is_lost_as_sent(
    client: upstream.HttpUpstream, fault: str
) -> None:
    """Failure: half an answer is passed on, or work is taken as not run."""
    script, hang, lost = FAULTS[fault]
    # The connection is given back, so the pool of two does not run empty.
    for _ in range(3):
        with contextlib.closing(RawServer(script, hang=hang)) as server:
            assert client.call(build_call(server.address)) == lost


def test_refused_connection_is_lost_as_not_sent(
    client: upstream.HttpUpstream,
) -> None:
    """Failure: a call that cannot have run is reported as indeterminate."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = members.Address(*free.getsockname())
    assert client.call(build_call(address)) == lose(
        False, states.Reason.UPSTREAM_FAILED
    )


def test_kept_connection_that_breaks_is_lost_as_sent(
    client: upstream.HttpUpstream,
) -> None:
    """Failure: a request that the upstream may have read is sent again."""
    whole = OK + b"Content-Length: 0\r\n\r\n"
    with contextlib.closing(RawServer(whole, None, whole)) as server:
        first = client.call(build_call(server.address))
        assert isinstance(first, events.UpstreamAnswered)
        assert client.call(build_call(server.address)) == FAILED
        assert len(server.seen) == 2


def test_claimed_call_takes_a_fresh_connection(
    client: upstream.HttpUpstream,
) -> None:
    """Failure: a kept connection that is being closed leaves it in doubt."""
    whole = OK + b"Content-Length: 0\r\n\r\n"
    with contextlib.closing(RawServer(whole, whole)) as server:
        claimed = dataclasses.replace(build_call(server.address), fresh=True)
        for _ in range(2):
            answered = client.call(claimed)
            assert isinstance(answered, events.UpstreamAnswered)
        assert server.connections == 2


def test_request_is_sent_unchanged(client: upstream.HttpUpstream) -> None:
    """Failure: the library rewrites the target, headers or body."""
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
        head, _, sent = server.seen[0].partition(b"\r\n\r\n")
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
    """Failure: the library follows, retries or decodes an answer."""
    with contextlib.closing(RawServer(b"HTTP/1.1 " + script)) as server:
        payload = requests.Payload(method, "/")
        event = client.call(build_call(server.address, payload))
        assert len(server.seen) == 1
    assert isinstance(event, events.UpstreamAnswered)
    assert event.answer.status == status
    assert len(event.answer.body) == body


def test_answer_headers_keep_duplicates_and_encoding(
    client: upstream.HttpUpstream,
) -> None:
    """Failure: a cookie is lost or a compressed body is decoded."""
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
