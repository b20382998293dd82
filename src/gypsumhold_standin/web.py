"""HTTP server of the stand-ins: exact requests in, breakable answers out."""

import abc
import contextlib
import dataclasses
import functools
import http
import io
import socket
from collections.abc import Iterator

from cheroot import server as cheroot_server

from gypsumhold.model import members, requests
from gypsumhold_standin import upstream

KEEP_ALIVE_S = 300
"""Idle time of a connection; closing one early races with its next request."""

EXPIRY_CHECK_S = 0.5
"""Interval between the library's checks for idle connections.

A stop waits for the current interval to end: closing the listening socket may
remove the event that was to wake the library's selector.
"""

STOP_PATIENCE_S = 30
"""How long a stop waits for requests in progress before it cuts them off."""

BACKLOG = 128
BODYLESS = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer and where its connection breaks."""

    answer: requests.Answer
    break_point: upstream.BreakPoint = upstream.BreakPoint.NONE


NO_ANSWER = Response(requests.Answer(500), upstream.BreakPoint.BEFORE)
"""Closes the connection without an answer."""


class Service(abc.ABC):
    """What a stand-in does with a request."""

    @abc.abstractmethod
    def serve(self, payload: requests.Payload) -> Response:
        """Serves one request on a server thread; may wait."""


class _RecordingReader:
    """Passes lines on and keeps them."""

    def __init__(self, source: io.BufferedIOBase) -> None:
        self._source = source
        self.lines: list[bytes] = []

    def readline(self, *limit: int) -> bytes:
        line = self._source.readline(*limit)
        self.lines.append(line)
        return line


class _ExactRequest(cheroot_server.HTTPRequest):
    """Keeps the header lines, which the library folds and renames."""

    def __init__(
        self,
        server: cheroot_server.HTTPServer,
        conn: cheroot_server.HTTPConnection,
        proxy_mode: bool = False,
        strict_mode: bool = True,
    ) -> None:
        super().__init__(server, conn, proxy_mode, strict_mode)
        self.header_lines: list[bytes] = []
        self.header_reader = self._read_headers

    def _read_headers(
        self, source: io.BufferedIOBase, headers: dict[bytes, bytes]
    ) -> dict[bytes, bytes]:
        recorder = _RecordingReader(source)
        reader = cheroot_server.HeaderReader()
        found: dict[bytes, bytes] = reader(recorder, headers)
        self.header_lines = recorder.lines
        return found


class _ExactConnection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _ExactRequest


class _Server(cheroot_server.HTTPServer):
    ConnectionClass = _ExactConnection
    timeout = KEEP_ALIVE_S
    expiration_interval = EXPIRY_CHECK_S
    shutdown_timeout = STOP_PATIENCE_S
    request_queue_size = BACKLOG


class _ServiceGateway(cheroot_server.Gateway):
    """Hands a whole request to the service and sends its response."""

    def __init__(self, service: Service, request: _ExactRequest) -> None:
        super().__init__(request)
        self._service = service

    def respond(self) -> None:
        payload = _read_payload(self.req)
        if payload is None:
            _break_connection(self.req)
            return
        _send(self.req, payload.method, self._service.serve(payload))


def build_server(
    address: members.Address, threads: int, service: Service
) -> cheroot_server.HTTPServer:
    """Binds a server; port 0 takes a free port.

    Raises:
        OSError: The address cannot be bound.
    """
    server = _Server(
        (address.host, address.port),
        functools.partial(_ServiceGateway, service),
        minthreads=threads,
        maxthreads=threads,
    )
    server.keep_alive_conn_limit = threads
    server.prepare()
    return server


def _read_payload(request: _ExactRequest) -> requests.Payload | None:
    body = request.rfile.read()
    # A sender that breaks off has not sent its request: it must not run.
    if getattr(request.rfile, "remaining", 0) > 0:
        return None
    return requests.Payload(
        method=request.method.decode("latin-1"),
        target=request.uri.decode("latin-1"),
        headers=tuple(_split_headers(request.header_lines)),
        body=body,
    )


def _split_headers(lines: list[bytes]) -> Iterator[tuple[str, str]]:
    for line in lines:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            yield name.strip(), value.strip(" \t\r\n")


def _send(request: _ExactRequest, method: str, response: Response) -> None:
    answer = response.answer
    if response.break_point is upstream.BreakPoint.BEFORE:
        _break_connection(request)
        return
    phrase = _find_phrase(answer.status)
    # The library's stub says str; its code needs bytes.
    request.status = f"{answer.status} {phrase}".encode()  # type: ignore[assignment]
    request.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    ]
    length = len(answer.body)
    if response.break_point is upstream.BreakPoint.DURING:
        # An empty body is announced as one byte, so that it can be cut off.
        _announce_length(request, max(1, length))
        request.ensure_headers_sent()
        request.write(answer.body[: length // 2])
        _break_connection(request)
        return
    if answer.status not in BODYLESS:
        _announce_length(request, length)
    request.ensure_headers_sent()
    if answer.body and method != "HEAD" and answer.status not in BODYLESS:
        request.write(answer.body)


def _announce_length(request: _ExactRequest, length: int) -> None:
    request.outheaders.append((b"Content-Length", str(length).encode()))


def _break_connection(request: _ExactRequest) -> None:
    request.sent_headers = True
    request.chunked_write = False
    request.close_connection = True
    with contextlib.suppress(OSError):
        request.conn.socket.shutdown(socket.SHUT_RDWR)


def _find_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
