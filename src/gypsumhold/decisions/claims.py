"""Durable claims of requests that run at most once.

The claim row of an idempotency key is written before any byte is sent to an
agent. It names the attempt and its instance, so that any entry that receives
the same key later can ask the agent for the outcome.
"""

import dataclasses
import datetime

from gypsumhold.decisions import dispatches, results
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    membership,
    requests,
    rows,
    states,
    timers,
)

RESEND_DELAY = datetime.timedelta(milliseconds=100)
"""Delay before a transaction in doubt is sent again."""


def begin_claim(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Claims the idempotency key of a call that has no attempt in progress.

    Also called again when an earlier claim turns out not to have run. If the
    table has failed recently, the call is refused without a write. If no
    instance is available, the claim is read once for an earlier result, and the
    call is refused if there is none.
    """
    if now < state.table_failed_at + state.options.table_pause:
        return _refuse(state, call, states.Reason.TABLE_UNAVAILABLE)
    member = dispatches.choose_target(state, call, now)
    if member is not None:
        return claim_attempt(state, call, member, now)
    if call.claim is None and not call.claim_read:
        # An earlier call with this key may have run. Its recorded result can
        # be returned although no upstream is available now.
        call.claim_read = True
        call.phase = states.CallPhase.WAITING_RESULT
        return _read_claim(call, now)
    return _refuse(state, call, states.Reason.NO_UPSTREAM)


def claim_attempt(
    state: entry.EntryState,
    call: entry.Call,
    member: membership.Member,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Writes the claim of the next attempt, at `member`, before it is sent."""
    dispatches.set_target(state, call, member, now)
    call.phase = states.CallPhase.CLAIMING
    row = rows.ClaimRow(
        state=states.ClaimState.CLAIMED,
        digest=call.request.digest,
        entry=state.options.entry,
        entry_incarnation=state.options.incarnation,
        request_id=call.request.request_id,
        attempt=call.attempt,
        instance=member.instance,
        incarnation=call.target_incarnation,
        address=member.address,
        valid_until=call.valid_until,
    )
    return results.write_claim(state, call, row)


def handle_commit_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the table's answer to the transaction of a claim.

    The answer is ignored if the call has ended or sent a newer transaction.
    """
    operation = state.operations[event.operation]
    call = state.calls.get(ids.RequestId(operation.subject))
    if call is None or call.transaction is None:
        del state.operations[event.operation]
        return []
    if call.transaction.operation != event.operation:
        del state.operations[event.operation]
        return []
    result = event.answer.result
    if result in (
        states.CommitResult.UNAVAILABLE,
        states.CommitResult.UNKNOWN,
    ):
        return _handle_commit_failure(state, call, result, now)
    del state.operations[event.operation]
    state.table_failed_at = entry.NEVER
    write = call.transaction.writes[0]
    stored_row = event.answer.find(write.key)
    took_effect = (
        stored_row is not None and stored_row.operation == event.operation
    )
    if result is states.CommitResult.COMMITTED or took_effect:
        assert write.value is not None
        version = ids.RowVersion(call.transaction.conditions[0].version + 1)
        call.claim = rows.Row(write.key, version, event.operation, write.value)
        call.transaction = None
        return _handle_committed(state, call, now)
    call.transaction = None
    return _evaluate_claim(state, call, stored_row, now)


def _handle_committed(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends the attempt that was claimed, or ends the call after its record."""
    if call.phase is states.CallPhase.RECORDING:
        assert call.result is not None
        return dispatches.finish_call(state, call, call.result)
    if call.target not in state.members or now >= call.deadline:
        # Nothing was sent, so the work has not run. Recording this lets a
        # later call with the same key run at once.
        result = dispatches.build_refusal(
            states.Reason.EXPIRED, dispatches.RETRY_AFTER
        )
        return results.record_result(state, call, result, now)
    return dispatches.send_dispatch(state, call, now)


def _handle_commit_failure(
    state: entry.EntryState,
    call: entry.Call,
    result: states.CommitResult,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Handles a transaction that failed or whose result is unknown."""
    state.table_failed_at = now
    assert call.transaction is not None
    operation = call.transaction.operation
    if call.phase is states.CallPhase.RECORDING:
        # The result is known, so the caller need not wait for its record.
        return results.defer_record(state, call, now)
    if result is states.CommitResult.UNAVAILABLE or now >= call.deadline:
        # If a send of the transaction had an unknown result, the claim may have
        # taken effect. It then names an attempt that was never sent; the agent
        # reports this when a later call with this key asks for the outcome.
        del state.operations[operation]
        return _refuse(state, call, states.Reason.TABLE_UNAVAILABLE)
    return dispatches.pause_call(call, states.CallPhase.CLAIMING, RESEND_DELAY)


def _refuse(
    state: entry.EntryState, call: entry.Call, reason: states.Reason
) -> list[effects.Effect]:
    """Ends a call that cannot claim its key.

    The answer is *in progress* if other work under the key is known: from this
    entry, from a look at the claim, or because the latest attempt was fenced.
    """
    refusal = dispatches.build_refusal(reason, dispatches.RETRY_AFTER)
    result = qualify_refusal(state, call.request, refusal)
    if results.is_fenced(call.reason) or _is_claimed_by_other(call):
        result = dataclasses.replace(
            refusal, outcome=states.Outcome.IN_PROGRESS
        )
    return dispatches.finish_call(state, call, result)


def _is_claimed_by_other(call: entry.Call) -> bool:
    """Returns whether the claim that was last read is open for another call.

    The call that wrote it makes further attempts after one that has not run.
    """
    claim = call.claim.value if call.claim else None
    return (
        isinstance(claim, rows.ClaimRow)
        and claim.state is states.ClaimState.CLAIMED
        and claim.request_id != call.request.request_id
    )


def qualify_refusal(
    state: entry.EntryState,
    request: requests.Request,
    refusal: requests.Result,
) -> requests.Result:
    """Returns the answer to a request that is refused unread.

    *Not run* would be false if another call with its key is in progress here,
    or has a result that is still to be recorded. The answer is *in progress*
    then.
    """
    if request.key is None or not _is_in_work(state, request, request.key):
        return refusal
    return dataclasses.replace(refusal, outcome=states.Outcome.IN_PROGRESS)


def _is_in_work(
    state: entry.EntryState, request: requests.Request, key: ids.IdempotencyKey
) -> bool:
    """Returns whether this entry knows of other work under a key."""
    claim_key = rows.build_claim_key(request.organisation, key)
    return any(
        not other.template.repeatable
        and other.request.key == key
        and other.request.organisation == request.organisation
        and other.request.request_id != request.request_id
        for other in state.calls.values()
    ) or any(
        pending.transaction.writes[0].key == claim_key
        for pending in state.pending_records.values()
    )


def _evaluate_claim(
    state: entry.EntryState,
    call: entry.Call,
    stored_row: rows.Row | None,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Acts on the claim that is stored under the call's key.

    A claim with a final result answers the call, unless the request differs
    from the claimed one. A claim that did not run is replaced, and an open one
    is followed.
    """
    if stored_row is None or not isinstance(stored_row.value, rows.ClaimRow):
        call.claim = None
        return begin_claim(state, call, now)
    claim = stored_row.value
    if claim.digest != call.request.digest:
        result = dispatches.build_refusal(states.Reason.KEY_REUSED)
        return dispatches.finish_call(state, call, result)
    if call.claim is None or call.claim.version != stored_row.version:
        call.claim_seen_at = now
    call.claim = stored_row
    if claim.state is states.ClaimState.COMPLETED and claim.body_object:
        call.phase = states.CallPhase.FETCHING
        return [effects.LoadObject(call.request.request_id, claim.body_object)]
    if claim.state is states.ClaimState.COMPLETED:
        result = requests.Result(
            states.Outcome.COMPLETED, claim.reason, claim.answer
        )
        return dispatches.finish_call(state, call, result)
    if claim.state is states.ClaimState.INDETERMINATE:
        result = requests.Result(states.Outcome.INDETERMINATE, claim.reason)
        return dispatches.finish_call(state, call, result)
    if claim.state is states.ClaimState.NOT_RUN:
        return begin_claim(state, call, now)
    return _follow_claim(state, call, claim, now)


def _follow_claim(
    state: entry.EntryState,
    call: entry.Call,
    claim: rows.ClaimRow,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Waits for the result of a claim that another call holds.

    If the claim has not changed for `claim_patience`, its agent is asked for
    the outcome. The attempt is not removed from the agent's queue then, since
    the other call may still wait for it.
    """
    if now >= call.deadline:
        result = requests.Result(states.Outcome.IN_PROGRESS)
        return dispatches.finish_call(state, call, result)
    if now - call.claim_seen_at < state.options.claim_patience:
        return dispatches.pause_call(
            call, states.CallPhase.WAITING_RESULT, state.options.claim_poll
        )
    call.phase = states.CallPhase.PROBING
    cancel = requests.Cancel(
        request_id=claim.request_id,
        attempt=claim.attempt,
        incarnation=claim.incarnation,
        remove_queued=False,
        valid_until=claim.valid_until,
    )
    return [effects.SendCancel(call.request.request_id, claim.address, cancel)]


def handle_probe_answer(
    state: entry.EntryState,
    call: entry.Call,
    event: events.CancelAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the agent's answer about the attempt of another call's claim."""
    reply = event.reply
    if reply is None or reply.answer is states.CancelAnswer.RUNNING:
        return dispatches.pause_call(
            call, states.CallPhase.WAITING_RESULT, state.options.claim_poll
        )
    if reply.answer is states.CancelAnswer.FINISHED and reply.reply:
        agent_reply = reply.reply
        if agent_reply.outcome is states.Outcome.NOT_RUN:
            return begin_claim(state, call, now)
        return results.record_result(
            state,
            call,
            requests.Result(
                agent_reply.outcome, agent_reply.reason, agent_reply.answer
            ),
            now,
        )
    if reply.answer in (
        states.CancelAnswer.NEVER_SEEN,
        states.CancelAnswer.REMOVED,
    ):
        return begin_claim(state, call, now)
    result = requests.Result(
        states.Outcome.INDETERMINATE, states.Reason.INCARNATION_GONE
    )
    return results.record_result(state, call, result, now)


def resume_claim(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Continues a claim after a pause.

    Sends a transaction in doubt again, or reads the claim that the call waits
    for.
    """
    if call.phase is states.CallPhase.CLAIMING and call.transaction:
        return [effects.Commit(call.request.request_id, call.transaction)]
    if call.phase is not states.CallPhase.WAITING_RESULT:
        return []
    return _read_claim(call, now)


def _read_claim(
    call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the claim of the call's key; `handle_claim_rows` continues."""
    request = call.request
    assert request.key is not None
    purpose = events.ReadPurpose(
        timers.ReadKind.CLAIM, request.request_id, sent_at=now
    )
    key = rows.build_claim_key(request.organisation, request.key)
    return [effects.ReadRows(request.request_id, key, purpose)]


def handle_claim_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies a read of the claim that the call waits for."""
    call = state.calls.get(ids.RequestId(event.purpose.owner))
    if call is None or call.phase is not states.CallPhase.WAITING_RESULT:
        return []
    if event.found is None:
        state.table_failed_at = now
        if now >= call.deadline:
            result = requests.Result(states.Outcome.IN_PROGRESS)
            return dispatches.finish_call(state, call, result)
        return dispatches.pause_call(
            call, states.CallPhase.WAITING_RESULT, state.options.claim_poll
        )
    assert call.request.key is not None
    key = rows.build_claim_key(call.request.organisation, call.request.key)
    stored_row = next((row for row in event.found if row.key == key), None)
    return _evaluate_claim(state, call, stored_row, now)
