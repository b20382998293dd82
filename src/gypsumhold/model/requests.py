"""Messages of the request path."""

import dataclasses
import datetime

from gypsumhold.model import ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """What a caller sends; passed to the upstream unchanged.

    Attributes:
        method: HTTP method.
        target: Path and query as received, still percent-encoded.
        headers: End-to-end headers in order, Latin-1 text.
        body: The whole body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as an entry received it.

    Attributes:
        request_id: Unique for each call, chosen by the entry.
        organisation: Who asks.
        kind: Kind of work.
        key: Idempotency key, if the caller sent one.
        deadline: Time that remained when the request arrived.
        digest: Digest of method, target and body, to compare repeats.
        payload: What goes to the upstream.
    """

    request_id: ids.RequestId
    organisation: ids.OrganisationId
    kind: ids.KindName
    key: ids.IdempotencyKey | None
    deadline: datetime.timedelta
    digest: str
    payload: Payload


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt of a request, sent by an entry to an agent.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        incarnation: Agent's incarnation that the entry means.
        organisation: Who asks.
        kind: Kind of work.
        remaining: Time that remains until the caller's deadline.
        keep_answer: Whether the agent keeps the answer after delivery, which
            claimed attempts need.
        valid_until: Instant on the instance's CLOCK_BOOTTIME after which the
            agent refuses this attempt. The agent's memory of an attempt is
            bounded, and this bounds how long it has to remember it.
        payload: What goes to the upstream.
    """

    request_id: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation
    organisation: ids.OrganisationId
    kind: ids.KindName
    remaining: datetime.timedelta
    keep_answer: bool
    valid_until: datetime.timedelta
    payload: Payload


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchReply:
    """An agent's final word on one attempt.

    Attributes:
        outcome: COMPLETED with an answer, NOT_RUN or INDETERMINATE.
        reason: Why, unless completed.
        answer: The upstream's answer, only if completed.
        retry_after: When a refused attempt is worth repeating.
    """

    outcome: states.Outcome
    reason: states.Reason = states.Reason.NONE
    answer: Answer | None = None
    retry_after: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Asks an agent what became of an attempt and fences a late copy.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        incarnation: Agent's incarnation that the dispatch named.
        remove_queued: Whether a queued attempt is taken out of the queue. An
            entry that asks on behalf of another entry's claim leaves it there.
        valid_until: As in the dispatch. Long after it the agent may have
            forgotten the attempt and then says so.
    """

    request_id: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation
    remove_queued: bool
    valid_until: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """What the agent knows; `reply` only with FINISHED."""

    answer: states.CancelAnswer
    reply: DispatchReply | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Final result of one request as the caller receives it."""

    outcome: states.Outcome
    reason: states.Reason = states.Reason.NONE
    answer: Answer | None = None
    retry_after: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptKey:
    """Names one attempt inside an agent."""

    request_id: ids.RequestId
    attempt: ids.Attempt
