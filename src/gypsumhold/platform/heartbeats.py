"""HTTP routes for the heartbeats of the worker on the agent's instance."""

import logbook
from returns.result import Failure, Success

from gypsumhold.adapters import engine, http_routes
from gypsumhold.model import errors, ids, members
from gypsumhold.model.jobs import events, executor, messages, runs, specs
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.heartbeats")

PREFIX = "/instances/"
_STATES = {
    "ready": runs.WorkerState.READY,
    "draining": runs.WorkerState.DRAINING,
}


class HeartbeatRoutes(http_routes.Routes):
    """Handles the heartbeats (PUT) and the departure (DELETE) of a worker."""

    def __init__(self, runtime: engine.Engine[executor.ExecutorState]) -> None:
        """Creates routes that dispatch events to `runtime`."""
        self._runtime = runtime

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Answers one request."""
        name = incoming.read_path().removeprefix(PREFIX)
        match incoming.method:
            case "PUT":
                return self._handle_heartbeat(name, incoming.body)
            case "DELETE":
                self._runtime.dispatch(events.WorkerLeft(name))
                return http_routes.HttpResponse(
                    200, http_routes.JSON_HEADERS, b"{}"
                )
        error = errors.Error(
            errors.ErrorKind.BAD_HEADER,
            f"unknown request {incoming.method} {incoming.read_path()}",
            "use PUT or DELETE /instances/ID",
        )
        return http_routes.render_error(404, error)

    def _handle_heartbeat(
        self, name: str, body: bytes
    ) -> http_routes.HttpResponse:
        match documents.parse(body, documents.Heartbeat):
            case Success(document):
                worker = build_worker(name, document)
                if worker is not None:
                    self._runtime.dispatch(events.HeartbeatReceived(worker))
                    return http_routes.HttpResponse(
                        200, http_routes.JSON_HEADERS, b"{}"
                    )
                error = errors.Error(
                    errors.ErrorKind.BAD_BODY,
                    f"invalid state {document.state!r} or address",
                    "send the state ready or draining, and HOST:PORT",
                )
            case Failure(decode_error):
                error = decode_error
        _LOG.warning("rejected the heartbeat of {}: {}", name, error)
        return http_routes.render_error(400, error)


def build_worker(
    name: str, document: documents.Heartbeat
) -> runs.Worker | None:
    """Converts a heartbeat to a worker; None if a field is invalid.

    The state must be a known one and the address have the form HOST:PORT with a
    valid port.
    """
    state = _STATES.get(document.state)
    if state is None or not _is_address(document.address):
        return None
    return runs.Worker(
        runs.WorkerIncarnation(name, document.born),
        specs.PoolName(document.service),
        document.address,
        ids.DataCentre(document.zone),
        state,
        document.capacity.cpu,
        document.capacity.memory_request_mb,
        document.capacity.gpus,
        document.labels,
        document.sequence,
        document.drain_remaining_ms,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > len(str(members.MAX_PORT)):
        return False
    return messages.is_reachable(host.strip("[]"), int(port))
