"""Records of the ended and fenced attempts of an agent.

The agent must never report an attempt as never seen after it has run. Each
record is therefore kept until no valid cancel for the attempt can arrive. A
later cancel is answered with FORGOTTEN, from which the entry must not conclude
whether the attempt ran.
"""

import datetime

from gypsumhold.model import agent, requests, states

CLAIM_RETENTION = datetime.timedelta(minutes=10)
"""How long the record of a claimed attempt is kept after the attempt became
invalid. Another entry can resolve the claim by a cancel within this time."""

CANCEL_RETENTION = datetime.timedelta(seconds=30)
"""How long the record of any other attempt is kept after the attempt became
invalid. Only the entry that dispatched it sends a cancel, at most a few seconds
after the deadline."""

MAX_ANSWER_BYTES = 32_000_000
"""Limit on the total body size of recorded answers, out of 256 MB for the
process. Half of it is available to claimed attempts only."""


def find_reply(
    state: agent.AgentState, key: requests.AttemptKey
) -> requests.DispatchReply | None:
    """Returns the reply to a repeated dispatch, or None for a new attempt."""
    record = state.attempt_records.get(key)
    if record is not None:
        return record.reply or requests.DispatchReply(
            states.Outcome.NOT_RUN, states.Reason.TOMBSTONED
        )
    if key in state.calls:
        return requests.DispatchReply(
            states.Outcome.INDETERMINATE, states.Reason.DUPLICATE
        )
    return None


def record_reply(
    state: agent.AgentState,
    dispatch: requests.Dispatch,
    reply: requests.DispatchReply,
) -> None:
    """Records the reply of an ended attempt.

    If the answer exceeds the limit on recorded bytes, the outcome is recorded
    as INDETERMINATE without the answer.
    """
    key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
    size = _count_bytes(reply)
    is_claimed = dispatch.keep_answer
    limit = MAX_ANSWER_BYTES if is_claimed else MAX_ANSWER_BYTES // 2
    if reply.answer is not None and state.answer_bytes + size > limit:
        reply = requests.DispatchReply(states.Outcome.INDETERMINATE)
        size = 0
    state.answer_bytes += size
    retention = CLAIM_RETENTION if is_claimed else CANCEL_RETENTION
    state.attempt_records[key] = agent.AttemptRecord(
        reply, dispatch.valid_until + retention
    )


def fence(
    state: agent.AgentState, cancel: requests.Cancel, now: datetime.timedelta
) -> states.CancelAnswer:
    """Fences an unknown attempt, so that a dispatch of it is refused later.

    Returns:
        NEVER_SEEN; or FORGOTTEN, without a fence, if the cancel is so old that
        the record of the attempt may have been dropped. A dispatch that arrives
        so late has expired and is refused anyway.
    """
    # Only the entry that dispatched the attempt asks for its removal.
    retention = CANCEL_RETENTION if cancel.remove_queued else CLAIM_RETENTION
    expires_at = cancel.valid_until + retention
    if now >= expires_at:
        return states.CancelAnswer.FORGOTTEN
    key = requests.AttemptKey(cancel.request_id, cancel.attempt)
    state.attempt_records[key] = agent.AttemptRecord(None, expires_at)
    return states.CancelAnswer.NEVER_SEEN


def drop_expired(state: agent.AgentState, now: datetime.timedelta) -> None:
    """Drops the records that have expired."""
    expired = [
        key
        for key, record in state.attempt_records.items()
        if record.expires_at <= now
    ]
    for key in expired:
        record = state.attempt_records.pop(key)
        if record.reply is not None:
            state.answer_bytes -= _count_bytes(record.reply)


def _count_bytes(reply: requests.DispatchReply) -> int:
    return len(reply.answer.body) if reply.answer else 0
