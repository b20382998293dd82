"""An agent's memory of ended and fenced attempts.

An attempt must never count as unseen once it has run, so it is remembered
until no cancel of it can still be believed. After that the agent says that it
has forgotten, which proves nothing.
"""

import datetime

from gypsumhold.model import agent, requests, states

CLAIM_MEMORY = datetime.timedelta(minutes=10)
"""How long a claimed attempt is remembered after it became invalid; the time
in which another entry can resolve the claim by asking."""

CANCEL_MEMORY = datetime.timedelta(seconds=30)
"""The same for other attempts; only the entry that sent one asks, and it
waits no longer than the deadline and a few seconds."""

KEPT_BYTES_LIMIT = 32_000_000
"""Bytes of answers that are kept in all, out of 256 MB for the process. Half
of them are for claimed attempts only."""


def find_reply(
    state: agent.AgentState, key: requests.AttemptKey
) -> requests.DispatchReply | None:
    """Returns the reply to a repeated dispatch of a known attempt."""
    memory = state.attempt_records.get(key)
    if memory is not None:
        return memory.reply or requests.DispatchReply(
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
    """Remembers an ended attempt, with its answer while there is room."""
    key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
    size = _count_bytes(reply)
    claimed = dispatch.keep_answer
    limit = KEPT_BYTES_LIMIT if claimed else KEPT_BYTES_LIMIT // 2
    if reply.answer is not None and state.answer_bytes + size > limit:
        reply = requests.DispatchReply(states.Outcome.INDETERMINATE)
        size = 0
    state.answer_bytes += size
    kept = CLAIM_MEMORY if claimed else CANCEL_MEMORY
    state.attempt_records[key] = agent.AttemptRecord(
        reply, dispatch.valid_until + kept
    )


def fence(
    state: agent.AgentState, cancel: requests.Cancel, now: datetime.timedelta
) -> states.CancelAnswer:
    """Refuses an unknown attempt from now on, or admits to have forgotten."""
    kept = CANCEL_MEMORY if cancel.remove_queued else CLAIM_MEMORY
    expires_at = cancel.valid_until + kept
    if now >= expires_at:
        return states.CancelAnswer.FORGOTTEN
    key = requests.AttemptKey(cancel.request_id, cancel.attempt)
    state.attempt_records[key] = agent.AttemptRecord(None, expires_at)
    return states.CancelAnswer.NEVER_SEEN


def drop_expired(state: agent.AgentState, now: datetime.timedelta) -> None:
    """Drops memories whose time is over."""
    old = [
        key
        for key, memory in state.attempt_records.items()
        if memory.expires_at <= now
    ]
    for key in old:
        memory = state.attempt_records.pop(key)
        if memory.reply is not None:
            state.answer_bytes -= _count_bytes(memory.reply)


def _count_bytes(reply: requests.DispatchReply) -> int:
    return len(reply.answer.body) if reply.answer else 0
