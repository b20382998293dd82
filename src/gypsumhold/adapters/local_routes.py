"""The agent's local listener, for its upstream and the platform."""

import json
from collections.abc import Callable

import pydantic

from gypsumhold.adapters import documents, web
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
    """What an upstream reports each second."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)
    kinds: tuple[str, ...]
    slots: int = pydantic.Field(ge=0)
    connections: int = pydantic.Field(ge=0)
    busy: int = pydantic.Field(ge=0)
    running: tuple[tuple[str, int], ...] | None = None
    draining: bool = False
    reserved: documents.ResourcesDocument = documents.ResourcesDocument()


class LocalRoutes(web.Routes):
    """Serves the upstream's reports, health, metrics and drain."""

    def __init__(
        self,
        dispatch: Callable[[events.Event], None],
        render_health: Callable[[], dict[str, str | int | bool]],
        render_metrics: Callable[[], str],
    ) -> None:
        """Stores what the routes need.

        Args:
            dispatch: Applies an event.
            render_health: Returns the document of the health route; `ready`
                tells whether the process may be given work.
            render_metrics: Returns the text of the metrics route.
        """
        self._dispatch = dispatch
        self._render_health = render_health
        self._render_metrics = render_metrics

    def answer(self, incoming: web.HttpRequest) -> web.HttpResponse:
        """Answers one request."""
        match incoming.method, incoming.read_path():
            case "POST", "/v1/upstream":
                return self._report(incoming)
            case "POST", "/v1/drain":
                self._dispatch(events.DrainRequested())
                return web.render_json(202, {"draining": True})
            case "GET", "/health":
                document = self._render_health()
                status = 200 if document.get("ready") else 503
                return web.render_json(status, document)
            case "GET", "/metrics":
                body = self._render_metrics().encode()
                lines = (("Content-Type", "text/plain; charset=utf-8"),)
                return web.HttpResponse(200, lines, body)
        error = errors.Error(
            errors.ErrorKind.BAD_HEADER,
            f"there is no {incoming.method} {incoming.read_path()}",
            "use POST /v1/upstream, POST /v1/drain, GET /health or /metrics",
        )
        return web.render_error(404, error)

    def _report(self, incoming: web.HttpRequest) -> web.HttpResponse:
        report = read_report(incoming.body)
        if isinstance(report, errors.Error):
            return web.render_error(400, report)
        self._dispatch(events.UpstreamReported(report))
        return web.HttpResponse(204)


def describe_agent(state: agent.AgentState) -> dict[str, str | int | bool]:
    """Returns the health of an agent, which is ready once it may serve."""
    version = state.configuration.version
    known = version != declarations.NO_VERSION
    return {
        "ready": known and not state.draining,
        "incarnation": state.options.incarnation,
        "config_version": version,
        "draining": state.draining,
        "upstream": state.upstream is not None,
    }


def read_report(body: bytes) -> members.UpstreamReport | errors.Error:
    """Checks and converts the report of an upstream."""
    try:
        document = UpstreamDocument.model_validate(json.loads(body))
    except pydantic.ValidationError as problem:
        return documents.describe_validation_error(
            problem, errors.ErrorKind.BAD_BODY, "upstream report"
        )
    except (ValueError, RecursionError) as problem:
        return errors.Error(
            errors.ErrorKind.BAD_BODY,
            f"the report is not JSON in UTF-8: {problem}",
            "send a JSON object as the design page shows it",
        )
    return members.UpstreamReport(
        address=members.Address(str(document.host), document.port),
        kinds=frozenset(map(ids.KindName, document.kinds)),
        slots=document.slots,
        connections=document.connections,
        busy=document.busy,
        running=_build_running(document.running),
        draining=document.draining,
        reserved=documents.build_resources(document.reserved),
    )


def _build_running(
    listed: tuple[tuple[str, int], ...] | None,
) -> frozenset[requests.AttemptKey] | None:
    if listed is None:
        return None
    return frozenset(
        requests.AttemptKey(ids.RequestId(request_id), ids.Attempt(attempt))
        for request_id, attempt in listed
    )
