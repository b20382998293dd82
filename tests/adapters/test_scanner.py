"""Tests where the scanner of a listener finds the end of a request."""

import pytest

from gypsumhold.adapters.listeners import scanner, streams

COMPLETE = scanner.Progress.COMPLETE
INCOMPLETE = scanner.Progress.INCOMPLETE
REFUSED = scanner.Progress.REFUSED
LIMITS = scanner.RequestLimits(max_body_bytes=100_000, accepts_chunks=True)
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

CASES = {
    "no body": (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", COMPLETE),
    "body": (HEAD + b"content-length: 3\r\n\r\nabc", COMPLETE),
    "part of a body": (HEAD + b"Content-Length: 3\r\n\r\nab", INCOMPLETE),
    "part of a head": (HEAD + b"\r", INCOMPLETE),
    "line feed alone": (b"GET / HTTP/1.1\nHost: h\n\n", REFUSED),
    "long head": (HEAD + b"X: " + b"a" * 65_536, REFUSED),
    "long body": (HEAD + b"Content-Length: 100001\r\n\r\n", REFUSED),
    "two lengths": (
        HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        REFUSED,
    ),
    "length and chunks": (
        HEAD + b"Content-Length: 3\r\n" + CHUNKED[len(HEAD) :],
        REFUSED,
    ),
    "length is no number": (HEAD + b"Content-Length: +3\r\n\r\nabc", REFUSED),
    "unknown encoding": (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", REFUSED),
    "chunks": (CHUNKED + b"3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n", COMPLETE),
    "no last chunk": (CHUNKED + b"3\r\nabc\r\n", INCOMPLETE),
    "no end of trailers": (CHUNKED + b"0\r\nX: y\r\n", INCOMPLETE),
    "chunk size is no number": (CHUNKED + b"-3\r\n", REFUSED),
    "longer chunk than its size": (CHUNKED + b"3\r\nabcd\r\n", REFUSED),
    "trailer that ends with a line feed": (
        CHUNKED + b"0\r\nX: y\n\r\n",
        REFUSED,
    ),
    "long chunk-size line": (CHUNKED + b"3;" + b"a" * 9000, REFUSED),
    "long trailer": (CHUNKED + b"0\r\nX: " + b"a" * 9000, REFUSED),
    "long chunk": (CHUNKED + b"ffffff\r\n", REFUSED),
    "tiny chunks": (CHUNKED + b"1\r\na\r\n" * 20_000, REFUSED),
    "many trailers": (CHUNKED + b"0\r\n" + b"X: y\r\n" * 20_000, REFUSED),
}


@pytest.mark.parametrize("step", [1, 7, 65_536])
@pytest.mark.parametrize("name", CASES)
def test_end_of_a_request(name: str, step: int) -> None:
    """Guards against an end that depends on how the bytes arrive."""
    text, expected = CASES[name]
    if len(text) > 10_000 and step == 1:
        step = 1000
    request = scanner.Scanner(LIMITS)
    data = bytearray()
    progress = INCOMPLETE
    for start in range(0, len(text), step):
        data += text[start : start + step]
        progress = request.advance(data)
        if progress is not INCOMPLETE:
            break
    assert progress is expected
    if progress is COMPLETE:
        assert request.end == len(text)


def test_chunks_are_merged() -> None:
    """Guards against chunks that are lost, and a next request that is read."""
    text = CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    reader = streams.RequestReader()
    reader.data += text + b"next"
    request = scanner.Scanner(LIMITS)
    assert request.advance(reader.data) is COMPLETE
    end = reader.merge_chunks(request.head_end, request.spans, request.end)
    reader.expose(end)
    assert reader.read() == CHUNKED + b"5\r\nabcde\r\n0\r\n\r\n"
    assert reader.data == b"next"
