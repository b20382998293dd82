"""Requests and the messages between entries and agents about them."""

import dataclasses
import datetime

from gypsumhold.model import ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """HTTP request of a caller, forwarded to the upstream unchanged.

    Attributes:
        method: HTTP method.
        target: Path and query as received, still percent-encoded.
        headers: End-to-end headers in their order, as Latin-1 text.
        body: The complete body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The complete HTTP response of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request, as an entry received it.

    Attributes:
        request_id: Unique id of the call, assigned by the entry.
        organisation: Organisation that sent the request.
        kind: Kind of the request.
        key: Idempotency key, if the caller sent one.
        remaining: Time left until the deadline when the request arrived.
        digest: Digest of method, target and body, by which repeated requests
            with the same key are compared.
        payload: HTTP request for the upstream.
    """

    request_id: ids.RequestId
    organisation: ids.OrganisationId
    kind: ids.KindName
    key: ids.IdempotencyKey | None
    remaining: datetime.timedelta
    digest: str
    payload: Payload


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt of a request, sent by an entry to an agent.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        incarnation: Incarnation of the agent that the dispatch is meant for.
        organisation: Organisation that sent the request.
        kind: Kind of the request.
        remaining: Time left until the deadline of the caller.
        keep_answer: Whether the agent keeps the answer after its delivery. Set
            for claimed attempts, so that other entries can fetch the result.
        valid_until: Instant on the instance's CLOCK_BOOTTIME after which the
            agent refuses this attempt. It bounds the time for which the agent
            has to keep a record of the attempt.
        payload: HTTP request for the upstream.
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
    """Final reply of an agent to one attempt.

    Attributes:
        outcome: COMPLETED with an answer, NOT_RUN or INDETERMINATE.
        reason: Why the attempt was not completed.
        answer: Answer of the upstream; only if completed.
        retry_after: Delay after which a refused attempt may be repeated.
    """

    outcome: states.Outcome
    reason: states.Reason = states.Reason.NONE
    answer: Answer | None = None
    retry_after: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Asks an agent for the state of an attempt and fences late dispatches.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        incarnation: Incarnation of the agent that the dispatch was sent to.
        remove_queued: Whether a queued attempt is removed from the queue. False
            if an entry resolves the claim of another entry.
        valid_until: As in the dispatch. Long after this time the agent may have
            dropped its record of the attempt and replies FORGOTTEN.
    """

    request_id: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation
    remove_queued: bool
    valid_until: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """Reply to a cancel; `reply` is set only if the answer is FINISHED."""

    answer: states.CancelAnswer
    reply: DispatchReply | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Final result of one request, as the caller receives it."""

    outcome: states.Outcome
    reason: states.Reason = states.Reason.NONE
    answer: Answer | None = None
    retry_after: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies one attempt in an agent."""

    request_id: ids.RequestId
    attempt: ids.Attempt
