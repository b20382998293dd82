"""HTTP routes for callers' jobs and for the platform's readiness check."""

import datetime
import re
import threading
from collections.abc import Callable

import logbook
from returns.result import Failure, Result, Success

from gypsumhold.adapters import engine, http_routes
from gypsumhold.adapters import headers as header_lines
from gypsumhold.adapters.jobs import peers
from gypsumhold.decisions.jobs import queries, validation
from gypsumhold.model import clock as clocks
from gypsumhold.model import errors, ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    scheduler,
    specs,
)
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.callers")

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "x-deadline-ms"
DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)
ANSWER_MARGIN = datetime.timedelta(milliseconds=60)
"""Part of the caller's timeout that is reserved for sending the answer."""

MAX_DEADLINE_DIGITS = 9
"""Most digits of a deadline in milliseconds that counts as valid."""

Runtime = engine.Engine[scheduler.SchedulerState]

_STATUS = {
    messages.Verdict.ACCEPTED: 200,
    messages.Verdict.STATE: 200,
    messages.Verdict.WAITING: 200,
    messages.Verdict.CANCELLED: 200,
    messages.Verdict.OVERLOADED: 429,
    messages.Verdict.UNAVAILABLE: 503,
    messages.Verdict.UNKNOWN: 504,
    messages.Verdict.NOT_HOLDER: 504,
    messages.Verdict.NOT_SENT: 504,
    messages.Verdict.NO_SUCH_JOB: 410,
}


class JobRoutes(http_routes.Routes):
    """Serves callers that submit, query and cancel jobs."""

    def __init__(self, runtime: Runtime, clock: clocks.Clock) -> None:
        """Creates the routes.

        Args:
            runtime: Engine of the entry, which handles the requests.
            clock: Clock that gives the time of submission.
        """
        self._runtime = runtime
        self._clock = clock
        self._decoding = threading.Lock()

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Answers one request.

        The queue is chosen by host and path prefix. The rest of the path is
        the id of a job; without it, GET returns the length of the queue.
        """
        headers = {name.lower(): value for name, value in incoming.headers}
        host = headers.get("host", "")
        path = incoming.read_path()
        config = self._runtime.snapshot(lambda state: state.config)
        if config is None:
            return _render_refusal(
                503, "the entry has not read a configuration yet"
            )
        queue = queries.find_queue(config, host, path)
        if queue is None:
            return _render_bad_request(
                404,
                f"no queue has the host {host!r} and a prefix of {path!r}",
                "use the host and the prefix of a configured queue",
            )
        job_id_text = path.removeprefix(queue.prefix)
        remaining = _read_timeout(headers)
        if not job_id_text and incoming.method == "GET":
            return self._count_waiting(queue, remaining)
        if not JOB_ID.fullmatch(job_id_text):
            return _render_bad_request(
                404,
                f"{job_id_text!r} is not the id of a job",
                "use 16 hexadecimal digits",
            )
        job_id = specs.JobId(job_id_text)
        match incoming.method:
            case "POST":
                return self._submit(queue, job_id, incoming.body, remaining)
            case "GET":
                return self._query_job(
                    messages.QueryKind.STATE, job_id, remaining
                )
            case "DELETE":
                return self._query_job(
                    messages.QueryKind.CANCEL, job_id, remaining
                )
        return _render_bad_request(
            405,
            f"a job does not support {incoming.method}",
            "use POST, GET or DELETE",
        )

    def _submit(
        self,
        queue: specs.Queue,
        job_id: specs.JobId,
        body: bytes,
        remaining: datetime.timedelta,
    ) -> http_routes.HttpResponse:
        # A large body takes many times its size until it is refused, so one at
        # a time is decoded and checked.
        with self._decoding:
            checked = self._read_job(queue, job_id, body)
        if isinstance(checked, Failure):
            return http_routes.render_error(400, checked.failure())
        spec = checked.unwrap()
        ticket = peers.create_ticket_id()
        event = events.SubmitArrived(ticket, spec, remaining)
        return self._wait_for_answer(ticket, event, remaining)

    def _read_job(
        self, queue: specs.Queue, job_id: specs.JobId, body: bytes
    ) -> Result[specs.JobSpec, errors.Error]:
        """Returns the job of a submission, or why it is refused."""
        match documents.parse(body, documents.Submission):
            case Failure(error):
                return Failure(error)
            case Success(document):
                now_ms = int(self._clock.read_wall().timestamp() * 1000)
                spec = build_spec(queue, job_id, document, now_ms)
        problem = validation.check_job(spec)
        return Success(spec) if problem is None else Failure(problem)

    def _query_job(
        self,
        kind: messages.QueryKind,
        job_id: specs.JobId,
        remaining: datetime.timedelta,
    ) -> http_routes.HttpResponse:
        ticket = peers.create_ticket_id()
        query = messages.Query(kind, job_id)
        event = events.QueryArrived(ticket, query, remaining)
        return self._wait_for_answer(ticket, event, remaining)

    def _count_waiting(
        self, queue: specs.Queue, remaining: datetime.timedelta
    ) -> http_routes.HttpResponse:
        ticket = peers.create_ticket_id()
        query = messages.Query(messages.QueryKind.WAITING, queue=queue.name)
        event = events.QueryArrived(ticket, query, remaining)
        return self._wait_for_answer(ticket, event, remaining)

    def _wait_for_answer(
        self,
        ticket: ids.TicketId,
        event: events.Event,
        remaining: datetime.timedelta,
    ) -> http_routes.HttpResponse:
        final = self._runtime.run_owner(ticket, event, remaining)
        if isinstance(final, effects.AnswerQuery):
            return render_answer(final.answer)
        return _render_refusal(504, "the outcome is not known yet; ask again")


def render_answer(answer: messages.Answer) -> http_routes.HttpResponse:
    """Converts an answer to an HTTP response."""
    status = _STATUS[answer.verdict]
    body: documents.PlatformDocument | None = None
    if answer.state is not None:
        body = documents.JobStatus(answer.state.value)
    elif answer.verdict is messages.Verdict.WAITING:
        body = documents.QueueStatus(answer.waiting)
    headers: header_lines.Headers = http_routes.JSON_HEADERS
    if answer.retry_after_s:
        headers += (("Retry-After", str(answer.retry_after_s)),)
    content = b"{}" if body is None else documents.render(body)
    return http_routes.HttpResponse(status, headers, content)


def _render_bad_request(
    status: int, message: str, remedy: str
) -> http_routes.HttpResponse:
    """Renders the answer to a request that fails each time it is sent."""
    error = errors.Error(errors.ErrorKind.BAD_HEADER, message, remedy)
    return http_routes.render_error(status, error)


def _render_refusal(status: int, message: str) -> http_routes.HttpResponse:
    """Renders the answer to a request that may succeed later."""
    error = errors.Error(
        errors.ErrorKind.PEER_UNAVAILABLE, message, "try again later"
    )
    headers = (("Retry-After", "1"),) if status == 503 else ()
    return http_routes.render_error(status, error, headers)


def _read_timeout(headers: dict[str, str]) -> datetime.timedelta:
    """Returns the time for the answer; the default without a valid header."""
    text = headers.get(DEADLINE_HEADER, "")
    if not text.isdecimal() or len(text) > MAX_DEADLINE_DIGITS:
        return DEFAULT_TIMEOUT
    requested = datetime.timedelta(milliseconds=int(text))
    return max(requested - ANSWER_MARGIN, datetime.timedelta(0))


def build_spec(
    queue: specs.Queue,
    job_id: specs.JobId,
    document: documents.Submission,
    now_ms: int,
) -> specs.JobSpec:
    """Converts a submission to a job; `now_ms` is its submission time."""
    return specs.JobSpec(
        job_id,
        queue,
        document.specification,
        tuple(_build_step(step) for step in document.steps),
        now_ms,
        document.repetitions,
        document.first_run_ms,
        document.interval_ms,
    )


def _build_step(step: documents.Step) -> specs.StepSpec:
    return specs.StepSpec(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.memory_request_mb,
        accelerators=step.gpus,
        estimate_ms=step.estimated_ms,
        after=step.after,
        checkpoints=step.checkpointing,
        gang=step.gang,
        colocated=step.colocated,
        label=step.requirements,
        data_rack=ids.Rack(step.data_rack),
        max_per_worker=step.max_per_server,
        speculative=step.speculative,
        long_running=step.long_running,
        image=specs.Image(step.image),
        target_latency_ms=round(step.target_ms),
        fills=step.fills,
        may_miss=step.may_miss,
    )


class ReadyRoutes(http_routes.Routes):
    """Answers the platform's readiness check."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Creates the routes; `is_ready` is called for each request."""
        self._is_ready = is_ready

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Answers every request with 200 if ready, otherwise with 503."""
        if self._is_ready():
            return http_routes.HttpResponse(
                200, http_routes.JSON_HEADERS, b"{}"
            )
        return _render_refusal(
            503, "the entry has no configuration, or is stopping"
        )


def is_ready(state: scheduler.SchedulerState) -> bool:
    """Returns whether the platform should send callers to an entry."""
    return state.config is not None and not state.stopping
