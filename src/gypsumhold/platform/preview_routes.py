"""Operators' route that tells where a job would go now, without sending it.

The body is that of a submission. Nothing of it is kept.
"""

import hmac

from returns.result import Failure, Success

from gypsumhold.adapters import engine, http_routes
from gypsumhold.adapters.jobs import preview_documents
from gypsumhold.decisions.jobs import previews, validation
from gypsumhold.model import clock as clocks
from gypsumhold.model import errors
from gypsumhold.model.jobs import previews as preview_model
from gypsumhold.model.jobs import scheduler, specs
from gypsumhold.platform import documents, job_routes

PATH = "/v1/where"
PREVIEW_ID = specs.JobId("0" * 16)
"""Stands for the id of a job that has none; no plan ever sees it."""

Runtime = engine.Engine[scheduler.SchedulerState]


class PreviewRoutes(http_routes.Routes):
    """Answers previews to operators, and passes other requests on."""

    def __init__(
        self,
        runtime: Runtime,
        clock: clocks.Clock,
        token: str,
        others: http_routes.Routes,
    ) -> None:
        """Creates the routes.

        Args:
            runtime: Engine of the entry.
            clock: Clock that gives the time of submission.
            token: Token that operators must send.
            others: Routes of the other paths of the listener.
        """
        self._runtime = runtime
        self._clock = clock
        self._authorization = f"Bearer {token}".encode()
        self._others = others

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Answers one request."""
        if incoming.read_path() != PATH:
            return self._others.answer(incoming)
        headers = {name.lower(): value for name, value in incoming.headers}
        sent = headers.get("authorization", "").encode("latin-1")
        if not hmac.compare_digest(sent, self._authorization):
            return _refuse(
                401,
                errors.ErrorKind.UNAUTHORISED,
                "the operator token is missing or wrong",
                "send 'Authorization: Bearer <operator_token>'",
            )
        if incoming.method != "POST":
            return _refuse(
                405,
                errors.ErrorKind.BAD_BODY,
                f"{PATH} does not support {incoming.method}",
                "send the job with POST",
            )
        queue = self._find_queue(incoming.read_query("queue") or "")
        if queue is None:
            return _refuse(
                404,
                errors.ErrorKind.BAD_BODY,
                "no configured queue has this name",
                "name the queue in the query, as 'queue=NAME'",
            )
        return self._preview(queue, incoming.body)

    def _find_queue(self, name: str) -> specs.Queue | None:
        config = self._runtime.snapshot(lambda state: state.config)
        if config is None:
            return None
        return next(
            (queue for queue in config.queues if queue.name == name), None
        )

    def _preview(
        self, queue: specs.Queue, body: bytes
    ) -> http_routes.HttpResponse:
        match documents.parse(body, documents.Submission):
            case Failure(error):
                return http_routes.render_error(400, error)
            case Success(document):
                now_ms = int(self._clock.read_wall().timestamp() * 1000)
                spec = job_routes.build_spec(
                    queue, PREVIEW_ID, document, now_ms
                )
        error = validation.check_job(spec)
        if error is not None:
            return http_routes.render_error(400, error)

        def read(
            state: scheduler.SchedulerState,
        ) -> preview_model.JobPreview | None:
            return previews.preview_job(state, spec, self._runtime.read_clock())

        preview = self._runtime.snapshot(read)
        if preview is None:
            return _refuse(
                503,
                errors.ErrorKind.PEER_REFUSED,
                "this entry does not hold the queue, so it places nothing",
                "ask the other entries",
            )
        return http_routes.render_json(
            200, preview_documents.render_preview(preview)
        )


def _refuse(
    status: int, kind: errors.ErrorKind, message: str, remedy: str
) -> http_routes.HttpResponse:
    return http_routes.render_error(status, errors.Error(kind, message, remedy))
