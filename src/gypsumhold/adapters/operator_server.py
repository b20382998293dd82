"""HTTP server of the operator routes."""

import threading
import types
from typing import Any

import cherrypy
from cheroot import server as cheroot_server
from cheroot import wsgi

from gypsumhold.adapters import (
    http_routes,
    http_server,
    operator_calls,
    operator_routes,
)
from gypsumhold.adapters.listeners import connections, scanner, servers
from gypsumhold.model import errors, members

THREADS = 8
MAX_BODY_BYTES = 8 * 1024 * 1024


class _Root:
    """CherryPy handler that forwards every path to the operator routes."""

    def __init__(self, routes: operator_routes.OperatorRoutes) -> None:
        self._routes = routes

    def _answer(self, *_: str, **query: str | list[str]) -> bytes:
        """Answers the current CherryPy request."""
        request = cherrypy.request
        reply = self._routes.answer(
            operator_calls.Call(
                method=request.method,
                path=request.path_info,
                query={
                    name: value if isinstance(value, str) else value[-1]
                    for name, value in query.items()
                },
                authorization=request.headers.get("Authorization", ""),
                body=request.rfile.read(),
            )
        )
        response = cherrypy.response
        response.status = reply.status
        response.headers["Content-Type"] = reply.content_type
        for name, value in reply.headers:
            response.headers[name] = value
        return reply.body.encode()

    default = cherrypy.expose(_answer)


def _render_failure(status: str, message: str, **_: str) -> bytes:
    """Returns the body of an error that CherryPy detected."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return operator_calls.reply_error(
        int(status.split(maxsplit=1)[0]),
        errors.Error(
            errors.ErrorKind.BAD_BODY,
            message,
            "correct the call; for an error in the entry, see its log",
        ),
    ).body.encode()


def _build_application(routes: operator_routes.OperatorRoutes) -> Any:
    application = cherrypy.Application(
        _Root(routes),
        "",
        {
            "/": {
                # The routes read the body, whatever its content type.
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                "error_page.default": _render_failure,
                "tools.trailing_slash.on": False,
            }
        },
    )
    # By default, CherryPy logs each call to stderr, between the log lines of
    # the program. Its error log stays enabled.
    application.log.access_log.propagate = False
    return application


class _Request(cheroot_server.HTTPRequest):
    """A request that is answered only if it has arrived completely."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = http_server.HeaderReader()

    def respond(self) -> None:
        """Answers the request."""
        if self.conn.is_refused:
            self.close_connection = True
            self.simple_response("400 Bad Request", str(http_server.MALFORMED))
            return
        super().respond()


class _Connection(connections.Connection):
    """A connection whose requests are of the type `_Request`."""

    RequestHandlerClass = _Request


class _ErrorRoutes(http_routes.Routes):
    """Renders the refusals of the listener."""

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Is not called: the application answers the requests."""
        raise NotImplementedError


class _Server(servers.BoundedServer, wsgi.Server):
    """A bounded server of a WSGI application."""

    ConnectionClass = _Connection


class OperatorServer:
    """Serves the operator routes inside a `with` block.

    Args:
        address: Address of the listener.
        routes: Routes that answer the calls.
        options: Name of the listener, and limits on its clients.

    Raises:
        OSError: On entering the block, if the port is in use.
    """

    def __init__(
        self,
        address: members.Address,
        routes: operator_routes.OperatorRoutes,
        options: servers.ListenerOptions | None = None,
    ) -> None:
        self._address = address
        self._server = _Server(
            (address.host, address.port),
            _build_application(routes),
            numthreads=THREADS,
            server_name="gypsumhold",
            max=THREADS,
            request_queue_size=servers.BACKLOG,
            shutdown_timeout=servers.CLOSE_TIMEOUT_S,
        )
        self._server.set_limits(
            options or servers.ListenerOptions(),
            scanner.RequestLimits(MAX_BODY_BYTES, accepts_chunks=True),
        )
        self._server.routes = _ErrorRoutes()
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name="operators", daemon=True
        )

    def __enter__(self) -> "OperatorServer":
        self._server.prepare()
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        problem: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._server.stop()
        self._thread.join()

    @property
    def port(self) -> int:
        """Port of the listener; the system chooses it if 0 was requested."""
        return int(self._server.bind_addr[1])


def build_port_in_use_error(address: members.Address) -> errors.Error:
    """Returns the error for a listener whose port is in use."""
    return errors.Error(
        errors.ErrorKind.PORT_IN_USE,
        f"cannot listen on {address} for operators",
        "choose a free port in 'operators' of the settings",
    )
