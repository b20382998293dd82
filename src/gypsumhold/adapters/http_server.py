"""An HTTP server, built on cheroot, that keeps messages byte for byte.

The request objects of CherryPy and WSGI merge duplicate header lines and
decode the path. Both have to be forwarded unchanged, so this module passes the
header lines and the request target to the routes as they were received.
"""

import http.client
import re
import threading
from typing import Any

import logbook
from cheroot import server as cheroot_server

from gypsumhold.adapters import http_routes
from gypsumhold.adapters.listeners import connections, scanner, servers
from gypsumhold.model import errors, members

_LOG = logbook.Logger("gypsumhold.web")

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"[\x21-\x7e]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

MALFORMED = errors.Error(
    errors.ErrorKind.BAD_HEADER,
    "the request is malformed or too large",
    "send a well-formed HTTP/1.1 request",
)


class HeaderReader:
    """Reads header lines strictly and keeps them as received."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str]] = []

    def __call__(self, rfile: Any, headers: dict[bytes, bytes]) -> Any:
        """Reads the headers of one message; called by cheroot.

        Raises:
            ValueError: A line is malformed or the body length is ambiguous.
        """
        while (line := rfile.readline()) != b"\r\n":
            name, value = self._split(line)
            key = name.title()
            if key == b"Content-Length" and not value.isdigit():
                raise ValueError("Content-Length is not a decimal number")
            if key == b"Content-Length" and key in headers:
                raise ValueError("Content-Length is repeated")
            if key == b"Transfer-Encoding" and key in headers:
                raise ValueError("Transfer-Encoding is repeated")
            headers[key] = value
            self.lines.append((name.decode("latin-1"), value.decode("latin-1")))
        if b"Transfer-Encoding" in headers and b"Content-Length" in headers:
            # Two servers could disagree about where such a request ends.
            raise ValueError(
                "the request has both Content-Length and Transfer-Encoding"
            )
        # The connection has answered it; cheroot would answer once more.
        headers.pop(b"Expect", None)
        return headers

    def _split(self, line: bytes) -> tuple[bytes, bytes]:
        """Returns the name and the value of a header line."""
        if not line.endswith(b"\r\n"):
            raise ValueError("a header line does not end with CRLF")
        name, colon, value = line[:-2].partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise ValueError("a header line has no valid name")
        value = value.strip(b" \t")
        if _CONTROL.search(value):
            raise ValueError("a header value contains a control character")
        return name, value


class _Request(cheroot_server.HTTPRequest):
    """A request that answers errors of cheroot like those of the routes."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = HeaderReader()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Sends an error response in the form of the routes.

        Cheroot calls this for a request that it cannot read or refuses, and
        after an exception while it handles one. A status of 500 or more is
        answered as an internal error, a lower one as a malformed request. The
        connection is closed afterwards.
        """
        code = int(str(status)[:3])
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        error = http_routes.INTERNAL_ERROR
        if code < 500:
            error = errors.Error(
                errors.ErrorKind.BAD_HEADER,
                text or str(status),
                "send a well-formed HTTP/1.1 request",
            )
        self.close_connection = True
        self.rfile = None
        self.sent_headers = True
        send_response(self, self.server.routes.answer_error(code, error))


class _Gateway(cheroot_server.Gateway):
    """Reads the body, calls the routes and writes the response."""

    def respond(self) -> None:
        """Handles one request.

        If the connection ends before the body is complete, the routes are not
        called.
        """
        request = self.req
        routes: http_routes.Routes = request.server.routes
        rejection = self._validate()
        if rejection is None and request.conn.is_refused:
            rejection = 400, MALFORMED
        if rejection is not None:
            status, error = rejection
            self._reject(routes.answer_error(status, error))
            return
        length = int(request.inheaders.get(b"Content-Length", 0))
        body = request.rfile.read(length) if length else b""
        if len(body) < length:
            request.close_connection = True
            request.sent_headers = True
            return
        self._send(self._call_routes(routes, body))

    def _validate(self) -> tuple[int, errors.Error] | None:
        """Returns the status and error of an invalid request, if it is one."""
        request = self.req
        target = request.uri.decode("latin-1")
        if not _TARGET.fullmatch(target):
            return 400, errors.Error(
                errors.ErrorKind.BAD_HEADER,
                "the request target contains bytes outside printable ASCII",
                "percent-encode the path and the query",
            )
        if b"Transfer-Encoding" in request.inheaders:
            return 411, errors.Error(
                errors.ErrorKind.BAD_HEADER,
                "the body has no Content-Length",
                "send the body with a Content-Length header, not chunked",
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

    def _reject(self, outgoing: http_routes.HttpResponse) -> None:
        """Sends a response before the body has arrived."""
        self.req.close_connection = True
        self._send(outgoing)

    def _call_routes(
        self, routes: http_routes.Routes, body: bytes
    ) -> http_routes.HttpResponse:
        """Returns the response of the routes, or a 500 if they raise."""
        request = self.req
        incoming = http_routes.HttpRequest(
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            tuple(request.header_reader.lines),
            body,
        )
        try:
            return routes.answer(incoming)
        except Exception:
            # cheroot would answer a timeout that is raised here as a timeout of
            # the client.
            _LOG.exception("{} {} failed", incoming.method, incoming.target)
            return routes.answer_error(500, http_routes.INTERNAL_ERROR)

    def _send(self, outgoing: http_routes.HttpResponse) -> None:
        request = self.req
        request.sent_headers = True
        if request.server.stopping:
            request.close_connection = True
        send_response(request, outgoing)


def send_response(request: Any, outgoing: http_routes.HttpResponse) -> None:
    """Writes a response and the headers that the connection needs."""
    bodiless = must_omit_body(request, outgoing.status)
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


def must_omit_body(request: Any, status: int) -> bool:
    """Returns whether the response must not have a body."""
    method = getattr(request, "method", b"")
    return method == b"HEAD" or status in (204, 304)


class _Connection(connections.Connection):
    """A connection whose requests are of the type `_Request`."""

    RequestHandlerClass = _Request


class _HttpServer(servers.BoundedServer):
    """A bounded server with the routes of a listener."""

    ConnectionClass = _Connection

    def __init__(
        self,
        address: members.Address,
        routes: http_routes.Routes,
        threads: int,
        max_body_bytes: int,
        options: servers.ListenerOptions,
    ) -> None:
        super().__init__(
            (address.host, address.port),
            _Gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="gypsumhold",
        )
        self.set_limits(options, scanner.RequestLimits(max_body_bytes))
        self.routes = routes
        self.max_body_bytes = max_body_bytes
        self.stopping = False


class Listener:
    """A listening HTTP server with a fixed number of threads."""

    def __init__(
        self,
        address: members.Address,
        routes: http_routes.Routes,
        threads: int,
        max_body_bytes: int,
        options: servers.ListenerOptions | None = None,
    ) -> None:
        """Binds the address and starts serving.

        Args:
            address: Address to listen on; port 0 stands for any free port.
            routes: Answers the requests.
            threads: Number of requests that are handled concurrently.
            max_body_bytes: Limit on the size of a request body.
            options: Name of the listener, and limits on its clients.

        Raises:
            http_routes.ListenError: The address cannot be used.
        """
        self._server = _HttpServer(
            address,
            routes,
            threads,
            max_body_bytes,
            options or servers.ListenerOptions(),
        )
        try:
            self._server.prepare()
        except OSError as problem:
            raise http_routes.ListenError(
                http_routes.build_listen_error(address, problem)
            ) from problem
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{address}", daemon=True
        )
        self._thread.start()

    def read_address(self) -> members.Address:
        """Returns the bound address, with the actual port."""
        host, port = self._server.bind_addr[:2]
        return members.Address(str(host), int(port))

    def disable_keep_alive(self) -> None:
        """Closes each connection after its next response."""
        self._server.stopping = True

    def close(self) -> None:
        """Stops the server after the responses that are in progress."""
        self.disable_keep_alive()
        self._server.stop()
        self._thread.join(servers.CLOSE_TIMEOUT_S)
