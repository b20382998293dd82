"""An upstream as state plus pure functions: slots, answers, a record."""

import dataclasses
import datetime
import enum
import hashlib
import random

from gypsumhold.model import ids, members, requests, resources

NOTHING = datetime.timedelta(0)
MILLISECOND = datetime.timedelta(milliseconds=1)

REQUEST_HEADER = "gypsumhold-request-id"
ATTEMPT_HEADER = "gypsumhold-attempt"
DELAY_HEADER = "x-standin-delay-ms"
STATUS_HEADER = "x-standin-status"
BREAK_HEADER = "x-standin-break"

MAX_DELAY_DIGITS = 8
"""Longer delays, above a day, are taken as a mistake and ignored."""

ECHO_PREFIX = "X-Echo-"
"""Prefix of the answer's headers that repeat a header of the request."""


class Fault(enum.StrEnum):
    """What goes wrong with requests that name no fault of their own."""

    NONE = "none"
    DOWN = "down"
    """Requests are refused with 503 and do not run."""

    SLOW = "slow"
    """Requests take longer by the configured delay."""

    ANSWER_LOST = "answer-lost"
    """Requests run; the connection breaks before the answer."""

    REQUEST_LOST = "request-lost"
    """The connection breaks before the request runs."""


class BreakPoint(enum.StrEnum):
    """Where the connection breaks."""

    NONE = "none"
    BEFORE = "before"
    """Before the first byte of the answer."""

    DURING = "during"
    """In the middle of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of an upstream.

    Attributes:
        kinds: Kinds of requests that it says it serves.
        slots: Requests that it says it runs at once.
        connections: Connections that it says it accepts.
        service: Mean service time; half to one and a half times as long.
        reserved: Resources that it keeps for itself.
        seed: Seed of the service times.
    """

    kinds: frozenset[ids.KindName]
    slots: int
    connections: int
    service: datetime.timedelta = NOTHING
    reserved: resources.Resources = resources.NOTHING
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRequest:
    """One request that ran."""

    request_id: str
    attempt: str
    method: str
    target: str
    digest: str


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of an upstream.

    `peak_busy` is the highest busy count. `service_percent` stretches the
    service time, as a noisy neighbour on the worker does.
    """

    options: Options
    generator: random.Random
    busy: int = 0
    running: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    peak_busy: int = 0
    draining: bool = False
    seen: list[SeenRequest] = dataclasses.field(default_factory=list)
    fault: Fault = Fault.NONE
    service_percent: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ResponsePlan:
    """How one request is served.

    Attributes:
        runs: Whether it takes a slot and is recorded.
        delay: Time between arrival and answer.
        break_point: Where the connection breaks.
        answer: The answer, if the connection does not break before.
        key: Request id and attempt, as the headers name them.
    """

    runs: bool
    delay: datetime.timedelta
    break_point: BreakPoint
    answer: requests.Answer
    key: tuple[str, str] = ("", "")


def build_upstream(options: Options) -> Upstream:
    """Returns an idle upstream."""
    return Upstream(options, random.Random(options.seed))


def begin_request(
    upstream: Upstream, payload: requests.Payload, slow: datetime.timedelta
) -> ResponsePlan:
    """Takes a request in and decides how it is served."""
    if upstream.fault is Fault.DOWN:
        refusal = requests.Answer(503, (("Retry-After", "1"),))
        return ResponsePlan(False, NOTHING, BreakPoint.NONE, refusal)
    if upstream.fault is Fault.REQUEST_LOST:
        return ResponsePlan(
            False, NOTHING, BreakPoint.BEFORE, requests.Answer(500)
        )
    named = {name.lower(): value for name, value in payload.headers}
    _record(upstream, payload, named)
    key = (named.get(REQUEST_HEADER, ""), named.get(ATTEMPT_HEADER, ""))
    upstream.running.append(key)
    upstream.busy += 1
    upstream.peak_busy = max(upstream.peak_busy, upstream.busy)
    return ResponsePlan(
        runs=True,
        delay=_choose_delay(upstream, named, slow),
        break_point=_choose_break(upstream, named),
        answer=_echo(payload, named),
        key=key,
    )


def finish_request(upstream: Upstream, plan: ResponsePlan) -> None:
    """Frees the slot of a request that ran."""
    upstream.busy -= 1
    upstream.running.remove(plan.key)


def build_report(
    upstream: Upstream, address: members.Address
) -> members.UpstreamReport:
    """Returns what the upstream tells its agent."""
    options = upstream.options
    return members.UpstreamReport(
        address=address,
        kinds=options.kinds,
        slots=options.slots,
        connections=options.connections,
        busy=upstream.busy,
        running=_list_running(upstream),
        draining=upstream.draining,
        reserved=options.reserved,
    )


def _list_running(
    upstream: Upstream,
) -> frozenset[requests.AttemptKey] | None:
    """Returns the running attempts; None if some request named none."""
    if not all(attempt.isdecimal() for _, attempt in upstream.running):
        return None
    return frozenset(
        requests.AttemptKey(ids.RequestId(name), ids.Attempt(int(attempt)))
        for name, attempt in upstream.running
    )


def _record(
    upstream: Upstream, payload: requests.Payload, named: dict[str, str]
) -> None:
    upstream.seen.append(
        SeenRequest(
            request_id=named.get(REQUEST_HEADER, ""),
            attempt=named.get(ATTEMPT_HEADER, ""),
            method=payload.method,
            target=payload.target,
            digest=hashlib.sha256(payload.body).hexdigest(),
        )
    )


def _choose_delay(
    upstream: Upstream, named: dict[str, str], slow: datetime.timedelta
) -> datetime.timedelta:
    mean = upstream.options.service * upstream.service_percent / 100
    service = mean * upstream.generator.uniform(0.5, 1.5)
    asked = named.get(DELAY_HEADER, "")
    if asked.isdecimal() and len(asked) <= MAX_DELAY_DIGITS:
        service = int(asked) * MILLISECOND
    return service + (slow if upstream.fault is Fault.SLOW else NOTHING)


def _choose_break(upstream: Upstream, named: dict[str, str]) -> BreakPoint:
    asked = named.get(BREAK_HEADER, "")
    if asked in (BreakPoint.BEFORE, BreakPoint.DURING):
        return BreakPoint(asked)
    lost = upstream.fault is Fault.ANSWER_LOST
    return BreakPoint.BEFORE if lost else BreakPoint.NONE


def _echo(payload: requests.Payload, named: dict[str, str]) -> requests.Answer:
    asked = named.get(STATUS_HEADER, "")
    valid = len(asked) == 3 and asked.isdecimal() and asked >= "200"
    headers = [
        ("X-Standin-Method", payload.method),
        ("X-Standin-Target", payload.target),
        ("Content-Type", named.get("content-type", "text/plain")),
    ]
    headers.extend(
        (f"{ECHO_PREFIX}{name}", value) for name, value in payload.headers
    )
    return requests.Answer(
        int(asked) if valid else 200, tuple(headers), payload.body
    )
