"""HTTP server of the stand-ins.

Services get each request exactly as it was sent, and may break the connection
before the answer or in the middle of it.
"""

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
"""Idle time of a connection; closing one sooner races with its next request."""

EXPIRY_CHECK_S = 0.5
"""Interval between the library's checks for idle connections.

A stop waits for the current interval to end if need be, because closing the
listening socket may remove the event that would wake the library's selector.
"""

STOP_TIMEOUT_S = 30
"""Time after which a stop cuts off the requests in progress."""

BACKLOG = 128
STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer and the point at which its connection breaks."""

    answer: requests.Answer
    break_point: upstream.BreakPoint = upstream.BreakPoint.NONE


NO_ANSWER = Response(requests.Answer(500), upstream.BreakPoint.BEFORE)
"""Closes the connection without an answer."""


class Service(abc.ABC):
    """Handles the requests that the HTTP server receives."""

    @abc.abstractmethod
    def serve(self, payload: requests.Payload) -> Response:
        """Serves one request; may block, as it runs on a server thread."""


class _LineRecorder:
    """Reads lines for the library and keeps a copy of each."""

    def __init__(self, source: io.BufferedIOBase) -> None:
        self._source = source
        self.lines: list[bytes] = []

    def readline(self, *limit: int) -> bytes:
        line = self._source.readline(*limit)
        self.lines.append(line)
        return line


class _RawRequest(cheroot_server.HTTPRequest):
    """Keeps the raw header lines; the library folds and renames headers."""

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
        """Lets the library parse the headers and keeps the raw lines."""
        line_recorder = _LineRecorder(source)
        reader = cheroot_server.HeaderReader()
        parsed: dict[bytes, bytes] = reader(line_recorder, headers)
        self.header_lines = line_recorder.lines
        return parsed


class _RawConnection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _RawRequest


class _Server(cheroot_server.HTTPServer):
    ConnectionClass = _RawConnection
    timeout = KEEP_ALIVE_S
    expiration_interval = EXPIRY_CHECK_S
    shutdown_timeout = STOP_TIMEOUT_S
    request_queue_size = BACKLOG


class _ServiceGateway(cheroot_server.Gateway):
    """Passes each complete request to the service and sends the response."""

    def __init__(self, service: Service, request: _RawRequest) -> None:
        super().__init__(request)
        self._service = service

    def respond(self) -> None:
        payload = _read_payload(self.req)
        if payload is None:
            _break_connection(self.req)
            return
        _send_response(self.req, payload.method, self._service.serve(payload))


def build_server(
    address: members.Address, threads: int, service: Service
) -> cheroot_server.HTTPServer:
    """Returns a bound server; port 0 stands for any free port.

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


def _read_payload(request: _RawRequest) -> requests.Payload | None:
    """Returns the request, or None if its body is incomplete."""
    body = request.rfile.read()
    # A request whose sender closed the connection early must not run.
    if getattr(request.rfile, "remaining", 0) > 0:
        return None
    return requests.Payload(
        method=request.method.decode("latin-1"),
        target=request.uri.decode("latin-1"),
        headers=tuple(_parse_headers(request.header_lines)),
        body=body,
    )


def _parse_headers(lines: list[bytes]) -> Iterator[tuple[str, str]]:
    for line in lines:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            yield name.strip(), value.strip(" \t\r\n")


def _send_response(
    request: _RawRequest, method: str, response: Response
) -> None:
    """Sends a response, with a break at the requested point."""
    answer = response.answer
    if response.break_point is upstream.BreakPoint.BEFORE:
        _break_connection(request)
        return
    phrase = _find_reason_phrase(answer.status)
    # The stub of the library declares str, but its code needs bytes.
    request.status = f"{answer.status} {phrase}".encode()  # type: ignore[assignment]
    request.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    ]
    length = len(answer.body)
    if response.break_point is upstream.BreakPoint.DURING:
        # For an empty body a length of one byte makes the answer incomplete.
        _add_content_length(request, max(1, length))
        request.ensure_headers_sent()
        request.write(answer.body[: length // 2])
        _break_connection(request)
        return
    if answer.status not in STATUSES_WITHOUT_BODY:
        _add_content_length(request, length)
    request.ensure_headers_sent()
    if (
        answer.body
        and method != "HEAD"
        and answer.status not in STATUSES_WITHOUT_BODY
    ):
        request.write(answer.body)


def _add_content_length(request: _RawRequest, length: int) -> None:
    request.outheaders.append((b"Content-Length", str(length).encode()))


def _break_connection(request: _RawRequest) -> None:
    """Shuts the connection down without sending anything more."""
    request.sent_headers = True
    request.chunked_write = False
    request.close_connection = True
    with contextlib.suppress(OSError):
        request.conn.socket.shutdown(socket.SHUT_RDWR)


def _find_reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
