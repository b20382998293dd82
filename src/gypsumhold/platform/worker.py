"""HTTP client of the worker on the agent's instance."""

import datetime
from collections.abc import Callable
from typing import TypeVar

import logbook
import msgspec
from returns.result import Failure, Result, Success

from gypsumhold.adapters import decoding, http_client
from gypsumhold.adapters.jobs import interfaces
from gypsumhold.model import clock as clocks
from gypsumhold.model import members, replies
from gypsumhold.model.jobs import effects, events, runs, specs
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.worker")
CallResult = Result[http_client.Reply, http_client.CallFailure]
_Row = TypeVar("_Row", runs.RunRow, runs.EndRow)

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=1000)
"""Time after which a call on the same instance counts as unanswered."""

MAX_LISTED_ENDS = 500
"""Most ends in one answer; a worker that has more lists the first of them."""

MAX_INDEX_DIGITS = 9
"""Most digits of each number in the name of a task."""

MAX_LOGGED_NAME = 100
"""Most characters of a malformed name that a line shows."""

DEFAULT_LIMITS = replies.ReplyLimits()
EXPECTED_HEADER = "X-Expected-Instance"

_REASONS = {
    "fence": events.CommandResult.FENCED,
    "old": events.CommandResult.STALE,
    "late": events.CommandResult.LATE,
    "room": events.CommandResult.NO_CAPACITY,
    "ticket": events.CommandResult.INVALID,
}


class PlatformWorker(interfaces.JobWorker):
    """Calls the worker incarnation that an effect names.

    Each call carries the worker's name in a header, so that another worker on
    the same address refuses the call.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        limits: replies.ReplyLimits = DEFAULT_LIMITS,
    ) -> None:
        """Creates a client without connections.

        Args:
            clock: Clock that gives the times of the calls.
            limits: Limits on the replies of each worker.
        """
        self._clock = clock
        self._limits = limits
        self._clients_by_address: dict[str, http_client.HttpClient] = {}

    def close(self) -> None:
        """Closes the idle connections."""
        for client in self._clients_by_address.values():
            client.close()

    def poll(self, effect: effects.PollWorker) -> events.WorkerPolled:
        """Reads the worker's runs and extends its lease.

        The call also acknowledges ended runs, which the worker may then drop.
        """
        wait_ms = effect.wait // datetime.timedelta(milliseconds=1)
        body = documents.PollRequest(
            effect.fence, effect.acknowledged, effect.until_ms, wait_ms
        )
        sent_at = self._clock.read_monotonic()
        call_result = self._call(effect.worker, "/hold", body, effect.wait)
        received_at = self._clock.read_monotonic()
        reply = call_result.value_or(None)
        if reply is None or reply.status != 200:
            return _build_failed_poll(effect, _classify(call_result))
        match documents.parse(reply.body, documents.PollReply):
            case Success(poll):
                incarnation = effect.worker.incarnation
                return events.WorkerPolled(
                    incarnation,
                    effect.fence,
                    events.CommandResult.DONE,
                    events.WorkerClock(poll.clock_ms, sent_at, received_at),
                    poll.born or incarnation.started_ms,
                    parse_running(poll.running),
                    parse_ended(poll.ended),
                    len(poll.ended) < MAX_LISTED_ENDS,
                    effect.until_ms,
                    effect.acknowledged,
                )
            case Failure(error):
                _LOG.error(
                    "cannot parse the worker's answer to a poll: {}", error
                )
        return _build_failed_poll(effect, events.CommandResult.UNANSWERED)

    def command(self, effect: effects.CommandEffect) -> events.CommandAnswered:
        """Starts, stops or throttles a run.

        A start that has waited until its lease expired is not sent.
        """
        kind, ref, path, body = _translate_command(effect)
        until_ms = None
        if isinstance(effect, effects.StartRun):
            until_ms = effect.until_ms
        sent_at = self._clock.read_monotonic()
        if isinstance(effect, effects.StartRun) and (
            sent_at >= effect.valid_until
        ):
            return events.CommandAnswered(
                effect.worker.incarnation,
                kind,
                ref,
                effect.fence,
                events.CommandResult.LATE,
            )
        call_result = self._call(effect.worker, path, body, http_client.NO_WAIT)
        received_at = self._clock.read_monotonic()
        return events.CommandAnswered(
            effect.worker.incarnation,
            kind,
            ref,
            effect.fence,
            _classify(call_result),
            _parse_clock(call_result.value_or(None), sent_at, received_at),
            until_ms,
        )

    def _call(
        self,
        worker: runs.Worker,
        path: str,
        body: documents.PlatformDocument,
        wait: datetime.timedelta,
    ) -> CallResult:
        client = self._get_client(worker.address)
        return client.call(
            "POST",
            path,
            documents.render(body),
            wait=wait,
            headers={EXPECTED_HEADER: worker.incarnation.name},
        )

    def _get_client(self, address: str) -> http_client.HttpClient:
        client = self._clients_by_address.get(address)
        if client is None:
            host, port = address.rsplit(":", 1)
            client = http_client.HttpClient(
                http_client.CallOptions(
                    members.Address(host, int(port)),
                    CONNECT_TIMEOUT,
                    ANSWER_TIMEOUT,
                    limits=self._limits,
                )
            )
            self._clients_by_address[address] = client
        return client


def _build_failed_poll(
    effect: effects.PollWorker, result: events.CommandResult
) -> events.WorkerPolled:
    return events.WorkerPolled(
        effect.worker.incarnation,
        effect.fence,
        result,
        until_ms=effect.until_ms,
        acknowledged=effect.acknowledged,
    )


def _translate_command(
    effect: effects.CommandEffect,
) -> tuple[events.CommandKind, runs.RunRef, str, documents.PlatformDocument]:
    match effect:
        case effects.StartRun(command=command):
            body = _build_start(effect)
            return events.CommandKind.START, command.ref, "/run-start", body
        case effects.StopRun(ref=ref):
            return (
                events.CommandKind.STOP,
                ref,
                "/run-stop",
                documents.RunStop(str(ref.task), ref.run, effect.fence),
            )
        case effects.ThrottleRun(ref=ref):
            return (
                events.CommandKind.THROTTLE,
                ref,
                "/pace",
                documents.ThrottleRequest(
                    str(ref.task),
                    ref.run,
                    effect.throttle_percent,
                    effect.fence,
                ),
            )


def _build_start(effect: effects.StartRun) -> documents.RunStart:
    command = effect.command
    task = str(command.ref.task)
    if not command.checkpoint:
        return documents.RunStart(
            task,
            command.ref.run,
            command.payload,
            effect.until_ms,
            effect.fence,
        )
    return documents.CheckpointedRunStart(
        task,
        command.ref.run,
        command.payload,
        effect.until_ms,
        effect.fence,
        command.checkpoint,
    )


def _classify(call_result: CallResult) -> events.CommandResult:
    match call_result:
        case Success(reply):
            return _classify_reply(reply)
        case Failure(http_client.CallFailure.NOT_SENT):
            return events.CommandResult.NOT_SENT
    return events.CommandResult.UNANSWERED


def _classify_reply(reply: http_client.Reply) -> events.CommandResult:
    match reply.status:
        case 200:
            return events.CommandResult.DONE
        case 409:
            return _parse_reason(reply)
        case 421:
            return events.CommandResult.OTHER_INCARNATION
        case 429 | 503:
            return events.CommandResult.UNHEALTHY
        case 400:
            _LOG.error(
                "the worker rejected a malformed command: {!r}", reply.body
            )
            return events.CommandResult.INVALID
    _LOG.warning("the worker answered with unexpected status {}", reply.status)
    return events.CommandResult.UNANSWERED


def _parse_reason(reply: http_client.Reply) -> events.CommandResult:
    parsed = documents.parse(reply.body, documents.CommandReply)
    reason = parsed.map(lambda document: document.reason).value_or("")
    result = _REASONS.get(reason)
    if result is None:
        _LOG.warning(
            "the worker refused a call for an unknown reason: {!r}", reply.body
        )
        return events.CommandResult.UNANSWERED
    return result


def _parse_clock(
    reply: http_client.Reply | None,
    sent_at: datetime.timedelta,
    received_at: datetime.timedelta,
) -> events.WorkerClock | None:
    if reply is None or not reply.body:
        return None
    parsed = documents.parse(reply.body, documents.CommandReply)
    clock_ms = parsed.map(lambda document: document.clock_ms).value_or(None)
    if clock_ms is None:
        return None
    return events.WorkerClock(clock_ms, sent_at, received_at)


def parse_task_ref(name: str) -> runs.TaskRef | None:
    """Parses a name of the form JOB.REPETITION.STEP.INDEX; None if invalid."""
    parts = name.split(".")
    if len(parts) != 4 or not all(map(_is_index, parts[1:])):
        return None
    repetition, step, index = map(int, parts[1:])
    return runs.TaskRef(specs.JobId(parts[0]), repetition, step, index)


def _is_index(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_INDEX_DIGITS


_RunningRow = tuple[
    str, documents.Amount, str, documents.Number, documents.Measured
]
"""Task, run, checkpoint, percent done and usage."""

_RunningRowWithoutUsage = tuple[str, documents.Amount, str, documents.Number]

_RUNNING_DECODER: msgspec.json.Decoder[tuple[str, int, str, int, float]] = (
    msgspec.json.Decoder(_RunningRow)
)
_RUNNING_WITHOUT_USAGE_DECODER: msgspec.json.Decoder[
    tuple[str, int, str, int]
] = msgspec.json.Decoder(_RunningRowWithoutUsage)

# Number, task, run, how it ended, checkpoint.
_ENDED_DECODER: msgspec.json.Decoder[tuple[int, str, int, str, str]] = (
    msgspec.json.Decoder(
        tuple[documents.Amount, str, documents.Amount, str, str]
    )
)


def parse_running(rows: tuple[msgspec.Raw, ...]) -> tuple[runs.RunRow, ...]:
    """Parses the rows of running tasks; logs and omits unreadable ones."""
    return _parse_rows(_build_running, rows, "row of a running task")


def parse_ended(rows: tuple[msgspec.Raw, ...]) -> tuple[runs.EndRow, ...]:
    """Parses the rows of ended tasks; logs and omits unreadable ones."""
    return _parse_rows(_build_ended, rows, "row of an ended task")


def _parse_rows(
    build: Callable[[msgspec.Raw], _Row],
    rows: tuple[msgspec.Raw, ...],
    subject: str,
) -> tuple[_Row, ...]:
    parsed = []
    for raw in rows:
        decoded = decoding.decode_foreign(build, raw, subject, "ignored")
        if isinstance(decoded, Success):
            parsed.append(decoded.unwrap())
        else:
            _LOG.warning("ignored a row: {}", decoded.failure())
    return tuple(parsed)


def _build_running(raw: msgspec.Raw) -> runs.RunRow:
    try:
        name, run, checkpoint, percent, usage = _RUNNING_DECODER.decode(raw)
    except msgspec.ValidationError:
        # Some rows lack the usage.
        name, run, checkpoint, percent = _RUNNING_WITHOUT_USAGE_DECODER.decode(
            raw
        )
        usage = runs.UNKNOWN_USAGE
    return runs.RunRow(
        runs.RunRef(_require_task(name), runs.RunNumber(run)),
        runs.Checkpoint(checkpoint),
        percent,
        round(usage),
    )


def _build_ended(raw: msgspec.Raw) -> runs.EndRow:
    number, name, run, how, checkpoint = _ENDED_DECODER.decode(raw)
    return runs.EndRow(
        runs.EndNumber(number),
        runs.RunRef(_require_task(name), runs.RunNumber(run)),
        runs.RunEnd(how),
        runs.Checkpoint(checkpoint),
    )


def _require_task(name: str) -> runs.TaskRef:
    """Returns the task of this name.

    Raises:
        ValueError: The name is malformed.
    """
    task = parse_task_ref(name)
    if task is None:
        raise ValueError(f"malformed task name {name[:MAX_LOGGED_NAME]!r}")
    return task
