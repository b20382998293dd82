"""HTTP routes of the local listener of an agent.

The upstream of the instance sends its reports there, and the platform reads
health and metrics and requests a drain.
"""

import json
from collections.abc import Callable

import pydantic

from gypsumhold.adapters import declaration_documents, http_routes
from gypsumhold.model import (
    agent,
    declarations,
    errors,
    events,
    ids,
    members,
    requests,
)


class UpstreamDocument(pydantic.BaseModel):
    """The report that an upstream sends every second."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)
    kinds: tuple[str, ...]
    slots: int = pydantic.Field(ge=0)
    connections: int = pydantic.Field(ge=0)
    busy: int = pydantic.Field(ge=0)
    running: tuple[tuple[str, int], ...] | None = None
    draining: bool = False
    reserved: declaration_documents.ResourcesDocument = (
        declaration_documents.ResourcesDocument()
    )


class LocalRoutes(http_routes.Routes):
    """Serves upstream reports, health, metrics and drain requests."""

    def __init__(
        self,
        dispatch: Callable[[events.Event], None],
        render_health: Callable[[], dict[str, str | int | bool]],
        render_metrics: Callable[[], str],
    ) -> None:
        """Creates the routes.

        Args:
            dispatch: Applies an event.
            render_health: Returns the document of the health route. Its field
                `ready` tells whether the process can accept work.
            render_metrics: Returns the text of the metrics route.
        """
        self._dispatch = dispatch
        self._render_health = render_health
        self._render_metrics = render_metrics

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Returns the response to one request."""
        match incoming.method, incoming.read_path():
            case "POST", "/v1/upstream":
                return self._handle_report(incoming)
            case "POST", "/v1/drain":
                self._dispatch(events.DrainRequested())
                return http_routes.render_json(202, {"draining": True})
            case "GET", "/health":
                document = self._render_health()
                status = 200 if document.get("ready") else 503
                return http_routes.render_json(status, document)
            case "GET", "/metrics":
                body = self._render_metrics().encode()
                headers = (("Content-Type", "text/plain; charset=utf-8"),)
                return http_routes.HttpResponse(200, headers, body)
        error = errors.Error(
            errors.ErrorKind.BAD_HEADER,
            f"no route exists for {incoming.method} {incoming.read_path()}",
            "use POST /v1/upstream, POST /v1/drain, GET /health or /metrics",
        )
        return http_routes.render_error(404, error)

    def _handle_report(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Dispatches the report of an upstream, or answers 400."""
        report = parse_report(incoming.body)
        if isinstance(report, errors.Error):
            return http_routes.render_error(400, report)
        self._dispatch(events.UpstreamReported(report))
        return http_routes.HttpResponse(204)


def render_agent_health(state: agent.AgentState) -> dict[str, str | int | bool]:
    """Returns the document of the health route of an agent.

    An agent is ready if it has a configuration and is not draining.
    """
    version = state.configuration.version
    has_configuration = version != declarations.NO_VERSION
    return {
        "ready": has_configuration and not state.draining,
        "incarnation": state.options.incarnation,
        "config_version": version,
        "draining": state.draining,
        "upstream": state.upstream is not None,
    }


def parse_report(body: bytes) -> members.UpstreamReport | errors.Error:
    """Returns the report of an upstream, or the error if it is malformed."""
    try:
        document = UpstreamDocument.model_validate(json.loads(body))
    except pydantic.ValidationError as problem:
        return declaration_documents.build_validation_error(
            problem, errors.ErrorKind.BAD_BODY, "upstream report"
        )
    except (ValueError, RecursionError) as problem:
        return errors.Error(
            errors.ErrorKind.BAD_BODY,
            f"the report is not JSON in UTF-8: {problem}",
            "send a JSON object in the format that docs/design.md gives",
        )
    return members.UpstreamReport(
        address=members.Address(str(document.host), document.port),
        kinds=frozenset(map(ids.KindName, document.kinds)),
        slots=document.slots,
        connections=document.connections,
        busy=document.busy,
        running=_build_running(document.running),
        draining=document.draining,
        reserved=declaration_documents.build_resources(document.reserved),
    )


def _build_running(
    attempts: tuple[tuple[str, int], ...] | None,
) -> frozenset[requests.AttemptKey] | None:
    """Returns the keys of the running attempts; None if not reported."""
    if attempts is None:
        return None
    return frozenset(
        requests.AttemptKey(ids.RequestId(request_id), ids.Attempt(attempt))
        for request_id, attempt in attempts
    )
