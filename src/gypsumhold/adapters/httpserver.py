"""HTTP server on CherryPy's cheroot that keeps messages byte for byte.

CherryPy's own request objects and WSGI merge duplicate header lines and decode
the path. Requests that pass through need both unchanged, so the routes here
see the lines and the target as they were received.
"""

import contextlib
import http.client
import re
import socket
import threading
from collections.abc import Callable
from typing import Any

import logbook
from cheroot import connections as cheroot_connections
from cheroot import server as cheroot_server

from gypsumhold.adapters import web
from gypsumhold.model import errors, members

_LOG = logbook.Logger("gypsumhold.web")

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"[\x21-\x7e]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

# A refused body is read and dropped up to this size, because closing a socket
# with unread data resets it and may destroy the answer on its way.
DISCARD_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 65536
MAX_HEADER_BYTES = 65536

# Connections that wait to be accepted. cheroot's default of 5 overflows under
# 32 clients, and each dropped one is tried again after a second.
BACKLOG = 256

# Idle connections that stay open. Above cheroot's default of 10 each answer
# closes its connection, and the client has to connect again.
KEPT_CONNECTIONS = 1024

# Silence of a client in the middle of a request before it is given up.
CLIENT_TIMEOUT_S = 10

# Time for threads to write answers that are ready when the server closes.
CLOSE_LIMIT_S = 10

# Time for the first bytes of a connection that was accepted during the close.
LAST_READ_S = 1


class _LineReader:
    """Reads header lines strictly and keeps them as received."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str]] = []

    def __call__(self, rfile: Any, found: dict[bytes, bytes]) -> Any:
        while (line := rfile.readline()) != b"\r\n":
            name, value = self._split(line)
            key = name.title()
            if key == b"Content-Length" and not value.isdigit():
                raise ValueError("Content-Length is not a decimal number")
            if key == b"Content-Length" and key in found:
                raise ValueError("Content-Length is given twice")
            if key == b"Transfer-Encoding" and key in found:
                raise ValueError("Transfer-Encoding is given twice")
            found[key] = value
            self.lines.append((name.decode("latin-1"), value.decode("latin-1")))
        if b"Transfer-Encoding" in found and b"Content-Length" in found:
            # Two lengths let two readers disagree where the request ends.
            raise ValueError("Content-Length and Transfer-Encoding both given")
        return found

    def _split(self, line: bytes) -> tuple[bytes, bytes]:
        if not line.endswith(b"\r\n"):
            raise ValueError("header line without CRLF")
        name, colon, value = line[:-2].partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise ValueError("header line without a valid name")
        value = value.strip(b" \t")
        if _CONTROL.search(value):
            raise ValueError("control character in a header value")
        return name, value


class _Request(cheroot_server.HTTPRequest):
    """A request whose refusals are typed."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = _LineReader()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Answers input that cheroot cannot read."""
        code = int(str(status)[:3])
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        error = web.INTERNAL_ERROR
        if code < 500:
            error = errors.Error(
                errors.ErrorKind.BAD_HEADER,
                text or str(status),
                "send a well-formed HTTP/1.1 request",
            )
        self.close_connection = True
        self.rfile = None
        self.sent_headers = True
        send_answer(self, self.server.routes.answer_error(code, error))


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request


class _Gateway(cheroot_server.Gateway):
    """Reads the body, asks the routes and writes the answer."""

    def respond(self) -> None:
        """Handles one request."""
        request = self.req
        routes: web.Routes = request.server.routes
        refusal = self._check()
        if refusal is not None:
            status, error = refusal
            self._refuse(routes.answer_error(status, error))
            return
        length = int(request.inheaders.get(b"Content-Length", 0))
        body = request.rfile.read(length) if length else b""
        if len(body) < length:
            request.close_connection = True
            request.sent_headers = True
            return
        self._send(self._answer(routes, body))

    def _check(self) -> tuple[int, errors.Error] | None:
        request = self.req
        target = request.uri.decode("latin-1")
        if not _TARGET.fullmatch(target):
            return 400, errors.Error(
                errors.ErrorKind.BAD_HEADER,
                "the request target has bytes outside printable ASCII",
                "percent-encode the path and the query",
            )
        if b"Transfer-Encoding" in request.inheaders:
            return 411, errors.Error(
                errors.ErrorKind.BAD_HEADER,
                "the body has no Content-Length",
                "send the body with Content-Length, not chunked",
            )
        limit = request.server.max_body_bytes
        length = int(request.inheaders.get(b"Content-Length", 0))
        if length > limit:
            return 413, errors.Error(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"the body has {length} bytes; the limit is {limit}",
                "send a smaller body or raise max_body_bytes",
            )
        return None

    def _refuse(self, outgoing: web.HttpResponse) -> None:
        request = self.req
        request.close_connection = True
        body = request.rfile
        self._send(outgoing)
        with contextlib.suppress(OSError, ValueError):
            for _ in range(DISCARD_BYTES // CHUNK_BYTES):
                if not body.read(CHUNK_BYTES):
                    return

    def _answer(self, routes: web.Routes, body: bytes) -> web.HttpResponse:
        request = self.req
        incoming = web.HttpRequest(
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            tuple(request.header_reader.lines),
            body,
        )
        try:
            return routes.answer(incoming)
        except Exception:
            # Left to cheroot, a timeout in here would be answered as one of
            # the client's.
            _LOG.exception("{} {} failed", incoming.method, incoming.target)
            return routes.answer_error(500, web.INTERNAL_ERROR)

    def _send(self, outgoing: web.HttpResponse) -> None:
        request = self.req
        request.sent_headers = True
        if request.server.stopping:
            request.close_connection = True
        send_answer(request, outgoing)


def send_answer(request: Any, outgoing: web.HttpResponse) -> None:
    """Writes a whole answer and the headers that the connection needs."""
    bodiless = request_has_no_body(request, outgoing.status)
    lines = list(outgoing.headers)
    names = {name.lower() for name, _ in lines}
    if "content-length" not in names and outgoing.status not in (204, 304):
        lines.append(("Content-Length", str(len(outgoing.body))))
    reason = http.client.responses.get(outgoing.status, "Unknown")
    request.status = f"{outgoing.status} {reason}".encode("latin-1")
    request.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in lines
    ]
    request.send_headers()
    if outgoing.body and not bodiless:
        request.write(outgoing.body)


def request_has_no_body(request: Any, status: int) -> bool:
    """Tells whether an answer must not carry a body."""
    method = getattr(request, "method", b"")
    return method == b"HEAD" or status in (204, 304)


class _ConnectionManager(cheroot_connections.ConnectionManager):
    """Serves what has arrived when the server stops.

    The library closes its sockets about 10 ms after it last looked at them. A
    connection or a request that arrives in between would be reset, and its
    caller could not tell whether the request ran.
    """

    # The library's stubs leave these out.
    _selector: Any
    _from_server_socket: Callable[[socket.socket], Any]

    def stop(self) -> None:
        """Ends the selector loop, then hands out what is still waiting."""
        super().stop()
        server = self.server
        for _ in range(server.request_queue_size):
            connection = self._accept()
            if connection is None:
                break
            connection.socket.settimeout(LAST_READ_S)
            server.process_conn(connection)
        self._selector.unregister(server.socket.fileno())
        server.socket.close()
        server.socket = None
        for descriptor, connection in self._selector.select(timeout=0):
            self._selector.unregister(descriptor)
            server.process_conn(connection)

    def _accept(self) -> Any:
        self.server.socket.setblocking(False)
        return self._from_server_socket(self.server.socket)


class _HttpServer(cheroot_server.HTTPServer):
    ConnectionClass = _Connection
    _connections: cheroot_connections.ConnectionManager
    request_queue_size = BACKLOG
    keep_alive_conn_limit = KEPT_CONNECTIONS

    def __init__(
        self,
        address: members.Address,
        routes: web.Routes,
        threads: int,
        max_body_bytes: int,
    ) -> None:
        super().__init__(
            (address.host, address.port),
            _Gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="gypsumhold",
        )
        self.routes = routes
        self.max_body_bytes = max_body_bytes
        self.max_request_header_size = MAX_HEADER_BYTES
        self.timeout = CLIENT_TIMEOUT_S
        self.shutdown_timeout = CLOSE_LIMIT_S
        self.stopping = False

    def prepare(self) -> None:
        """Binds the address and starts the threads."""
        super().prepare()
        self._connections.close()
        self._connections = _ConnectionManager(self)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Passes cheroot's messages to the log."""
        _LOG.log(logbook.ERROR if traceback else logbook.INFO, msg)


class Listener:
    """A listening HTTP server with a fixed number of threads."""

    def __init__(
        self,
        address: members.Address,
        routes: web.Routes,
        threads: int,
        max_body_bytes: int,
    ) -> None:
        """Binds the address and starts to serve.

        Args:
            address: Where to listen; port 0 takes a free one.
            routes: What to serve.
            threads: Requests that are handled at once.
            max_body_bytes: Longest body that is read.

        Raises:
            web.ListenError: The address cannot be used.
        """
        self._server = _HttpServer(address, routes, threads, max_body_bytes)
        try:
            self._server.prepare()
        except OSError as problem:
            raise web.ListenError(
                web.describe_listen_error(address, problem)
            ) from problem
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{address}", daemon=True
        )
        self._thread.start()

    def read_address(self) -> members.Address:
        """Returns the address that is bound."""
        host, port = self._server.bind_addr[:2]
        return members.Address(str(host), int(port))

    def disable_keep_alive(self) -> None:
        """Lets each connection end with its next answer."""
        self._server.stopping = True

    def close(self) -> None:
        """Ends the server after the answers that are under way."""
        self.disable_keep_alive()
        self._server.stop()
        self._thread.join(CLOSE_LIMIT_S)
