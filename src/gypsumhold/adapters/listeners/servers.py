"""Base of the HTTP servers whose clients are bounded."""

import dataclasses
import http.client
from typing import Any

import logbook
from cheroot import server as cheroot_server

from gypsumhold.adapters import http_routes
from gypsumhold.adapters.listeners import (
    connections,
    drains,
    observers,
    scanner,
)
from gypsumhold.model import clients, errors

_LOG = logbook.Logger("gypsumhold.web")

# Connections that may wait to be accepted. cheroot's default of 5 overflows
# with 32 clients, and TCP retries a dropped connection only after a second.
BACKLOG = 256

# Connections that stay open between requests. With more than cheroot's default
# of 10, each response closes its connection and the client has to reconnect.
MAX_KEPT_CONNECTIONS = 1024

# Longest wait at the close of the server for responses that are in progress.
CLOSE_TIMEOUT_S = 10

TOO_SLOW = errors.Error(
    errors.ErrorKind.BAD_HEADER,
    "the request did not arrive in time and was not run",
    "send the whole request at once",
)
TOO_MANY_BYTES = errors.Error(
    errors.ErrorKind.PEER_UNAVAILABLE,
    "too many large requests arrive at once; this one was not run",
    "send the request again later",
)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerOptions:
    """What a listener needs besides its routes.

    Attributes:
        name: Name of the listener in logs and metrics.
        limits: Limits on its clients.
        observer: Counts the clients that were closed or refused.
    """

    name: str = "http"
    limits: clients.ClientLimits = clients.ClientLimits()
    observer: observers.ClientObserver | None = None


class BoundedServer(cheroot_server.HTTPServer):
    """A cheroot server that holds its clients to limits."""

    ConnectionClass = connections.Connection
    request_queue_size = BACKLOG
    keep_alive_conn_limit = MAX_KEPT_CONNECTIONS
    max_request_header_size = scanner.MAX_HEADER_BYTES
    shutdown_timeout = CLOSE_TIMEOUT_S
    routes: http_routes.Routes
    _connections: Any

    def set_limits(
        self, options: ListenerOptions, request_limits: scanner.RequestLimits
    ) -> None:
        """Sets the limits; has to be called before `prepare`."""
        self.options = options
        self.request_limits = request_limits

    def prepare(self) -> None:
        """Binds the address and starts the threads."""
        super().prepare()
        self.socket.settimeout(0)
        self._connections.close()
        options = self.options
        # One request is always allowed, whatever else arrives.
        largest = self.request_limits.max_body_bytes + self.max_header_size
        self._connections = drains.DrainingManager(
            self,
            dataclasses.replace(
                options.limits,
                max_request_bytes=max(
                    options.limits.max_request_bytes, 2 * largest
                ),
            ),
            observers.ClientLog(options.name, options.observer),
        )

    @property
    def max_header_size(self) -> int:
        """Largest size of the request line and the headers, in bytes."""
        return int(self.max_request_header_size)

    def end_connection(self, conn: connections.Connection) -> None:
        """Closes a connection once its answer is sent."""
        self._connections.end(conn)

    def render_refusal(self, reason: clients.Reason) -> bytes:
        """Returns the answer to a request that was not run."""
        status, error = 429, TOO_MANY_BYTES
        if reason is clients.Reason.REQUEST_TIME:
            status, error = 408, TOO_SLOW
        answer = self.routes.answer_error(status, error)
        lines = [
            f"HTTP/1.1 {status} {http.client.responses[status]}",
            *(f"{name}: {value}" for name, value in answer.headers),
            "Connection: close",
            f"Content-Length: {len(answer.body)}",
        ]
        if status == 429:
            lines.append("Retry-After: 1")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + answer.body

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Writes messages of cheroot to the log."""
        _LOG.log(logbook.ERROR if traceback else logbook.INFO, msg)
