"""HTTP server of the operator routes."""

import threading
import types
from typing import Any

import cherrypy
from cheroot import wsgi

from gypsumhold.adapters import operator_calls, operator_routes
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


class OperatorServer:
    """Serves the operator routes inside a `with` block.

    Args:
        address: Address of the listener.
        routes: Routes that answer the calls.

    Raises:
        OSError: On entering the block, if the port is in use.
    """

    def __init__(
        self, address: members.Address, routes: operator_routes.OperatorRoutes
    ) -> None:
        self._address = address
        self._server = wsgi.Server(
            (address.host, address.port),
            _build_application(routes),
            numthreads=THREADS,
            server_name="gypsumhold",
            max=THREADS,
        )
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
