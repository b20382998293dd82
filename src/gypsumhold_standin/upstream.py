"""Simulates an upstream: its slots, its answers and its record of requests.

Nothing here does I/O or reads a clock.
"""

import dataclasses
import datetime
import enum
import hashlib
import random

from gypsumhold.model import ids, members, requests, resources

ZERO = datetime.timedelta(0)
MILLISECOND = datetime.timedelta(milliseconds=1)

REQUEST_HEADER = "gypsumhold-request-id"
ATTEMPT_HEADER = "gypsumhold-attempt"
DELAY_HEADER = "x-standin-delay-ms"
STATUS_HEADER = "x-standin-status"
BREAK_HEADER = "x-standin-break"

MAX_DELAY_DIGITS = 8
"""A delay with more digits, above a day, is taken as a mistake and ignored."""

ECHO_PREFIX = "X-Echo-"
"""Prefix of the answer headers that repeat the headers of the request."""


class Fault(enum.StrEnum):
    """Fault that affects all requests; a break header overrides ANSWER_LOST."""

    NONE = "none"
    DOWN = "down"
    """Requests are refused with status 503 and do not run."""

    SLOW = "slow"
    """Requests take longer by the delay that was set with the fault."""

    HELD = "held"
    """Requests run until another fault, or none, is set."""

    ANSWER_LOST = "answer-lost"
    """Requests run, but the connection breaks before the answer."""

    REQUEST_LOST = "request-lost"
    """The connection breaks before the request runs."""


class BreakPoint(enum.StrEnum):
    """Point of an answer at which the connection breaks."""

    NONE = "none"
    BEFORE = "before"
    """Before the first byte of the answer."""

    DURING = "during"
    """In the middle of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of an upstream.

    Attributes:
        kinds: Kinds of requests that it reports to serve.
        slots: Requests that it reports to run at once; not enforced.
        connections: Connections that it reports to accept.
        service_time: Mean service time; requests take 0.5 to 1.5 times this.
        reserved: Resources that it reports as reserved for itself.
        seed: Seed of the random service times.
    """

    kinds: frozenset[ids.KindName]
    slots: int
    connections: int
    service_time: datetime.timedelta = ZERO
    reserved: resources.Resources = resources.NOTHING
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedRequest:
    """Record of one request that ran.

    Attributes:
        request_id: Value of the request id header, empty without one.
        attempt: Value of the attempt header, empty without one.
        method: Method.
        target: Target as it was received, not decoded.
        digest: SHA-256 of the body in hexadecimal.
    """

    request_id: str
    attempt: str
    method: str
    target: str
    digest: str


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of an upstream.

    Attributes:
        options: Options of the upstream.
        generator: Source of the random service times.
        busy: Requests that run now.
        held: Those of them that run until the fault `HELD` ends.
        running: Request id and attempt of each of them, as in its headers.
        peak_busy: Most requests that ran at once so far.
        draining: Whether reports announce that it drains.
        recorded_requests: Records of all requests that were started.
        fault: Fault that is simulated.
        service_percent: Service time in percent of the configured one; above
            100 it simulates the interference of a noisy neighbour.
    """

    options: Options
    generator: random.Random
    busy: int = 0
    held: int = 0
    running: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    peak_busy: int = 0
    draining: bool = False
    recorded_requests: list[RecordedRequest] = dataclasses.field(
        default_factory=list
    )
    fault: Fault = Fault.NONE
    service_percent: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ResponsePlan:
    """How one request is answered.

    Attributes:
        runs: Whether the request takes a slot and is recorded.
        delay: Time between the arrival, or the end of `HELD`, and the answer.
        break_point: Where the connection breaks, if it does.
        answer: The answer; not sent if the connection breaks before it.
        attempt_key: Request id and attempt, as in the headers.
    """

    runs: bool
    delay: datetime.timedelta
    break_point: BreakPoint
    answer: requests.Answer
    attempt_key: tuple[str, str] = ("", "")


def build_upstream(options: Options) -> Upstream:
    """Returns an idle upstream."""
    return Upstream(options, random.Random(options.seed))


def begin_request(
    upstream: Upstream,
    payload: requests.Payload,
    slow_delay: datetime.timedelta,
) -> ResponsePlan:
    """Records a request and plans its answer.

    Args:
        upstream: The upstream.
        payload: The request.
        slow_delay: Additional delay under the fault SLOW.
    """
    if upstream.fault is Fault.DOWN:
        refusal = requests.Answer(503, (("Retry-After", "1"),))
        return ResponsePlan(False, ZERO, BreakPoint.NONE, refusal)
    if upstream.fault is Fault.REQUEST_LOST:
        return ResponsePlan(
            False, ZERO, BreakPoint.BEFORE, requests.Answer(500)
        )
    headers_by_name = {name.lower(): value for name, value in payload.headers}
    _record_request(upstream, payload, headers_by_name)
    attempt_key = (
        headers_by_name.get(REQUEST_HEADER, ""),
        headers_by_name.get(ATTEMPT_HEADER, ""),
    )
    upstream.running.append(attempt_key)
    upstream.busy += 1
    upstream.peak_busy = max(upstream.peak_busy, upstream.busy)
    return ResponsePlan(
        runs=True,
        delay=_choose_delay(upstream, headers_by_name, slow_delay),
        break_point=_choose_break(upstream, headers_by_name),
        answer=_build_echo(payload, headers_by_name),
        attempt_key=attempt_key,
    )


def finish_request(upstream: Upstream, plan: ResponsePlan) -> None:
    """Frees the slot of a request that ran."""
    upstream.busy -= 1
    upstream.running.remove(plan.attempt_key)


def build_report(
    upstream: Upstream, address: members.Address
) -> members.UpstreamReport:
    """Returns the report that the upstream sends to its agent."""
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
    """Returns the running attempts; None if a request has no attempt number."""
    if not all(attempt.isdecimal() for _, attempt in upstream.running):
        return None
    return frozenset(
        requests.AttemptKey(
            ids.RequestId(request_id), ids.Attempt(int(attempt))
        )
        for request_id, attempt in upstream.running
    )


def _record_request(
    upstream: Upstream,
    payload: requests.Payload,
    headers_by_name: dict[str, str],
) -> None:
    upstream.recorded_requests.append(
        RecordedRequest(
            request_id=headers_by_name.get(REQUEST_HEADER, ""),
            attempt=headers_by_name.get(ATTEMPT_HEADER, ""),
            method=payload.method,
            target=payload.target,
            digest=hashlib.sha256(payload.body).hexdigest(),
        )
    )


def _choose_delay(
    upstream: Upstream,
    headers_by_name: dict[str, str],
    slow_delay: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the requested delay or a random service time, longer if SLOW."""
    mean = upstream.options.service_time * upstream.service_percent / 100
    delay = mean * upstream.generator.uniform(0.5, 1.5)
    requested = headers_by_name.get(DELAY_HEADER, "")
    if requested.isdecimal() and len(requested) <= MAX_DELAY_DIGITS:
        delay = int(requested) * MILLISECOND
    return delay + (slow_delay if upstream.fault is Fault.SLOW else ZERO)


def _choose_break(
    upstream: Upstream, headers_by_name: dict[str, str]
) -> BreakPoint:
    """Returns the break that a header or the fault asks for."""
    requested = headers_by_name.get(BREAK_HEADER, "")
    if requested in (BreakPoint.BEFORE, BreakPoint.DURING):
        return BreakPoint(requested)
    answer_lost = upstream.fault is Fault.ANSWER_LOST
    return BreakPoint.BEFORE if answer_lost else BreakPoint.NONE


def _build_echo(
    payload: requests.Payload, headers_by_name: dict[str, str]
) -> requests.Answer:
    """Returns an answer that repeats the method, target, headers and body."""
    requested = headers_by_name.get(STATUS_HEADER, "")
    is_valid = (
        len(requested) == 3 and requested.isdecimal() and requested >= "200"
    )
    headers = [
        ("X-Standin-Method", payload.method),
        ("X-Standin-Target", payload.target),
        ("Content-Type", headers_by_name.get("content-type", "text/plain")),
    ]
    headers.extend(
        (f"{ECHO_PREFIX}{name}", value) for name, value in payload.headers
    )
    return requests.Answer(
        int(requested) if is_valid else 200, tuple(headers), payload.body
    )
