"""Recording of the results of claimed requests.

A result is written into the row of the claim before the caller is answered. A
large body is stored as an object first. If the table fails, the caller is
answered and the record is written later.
"""

import dataclasses
import datetime

from gypsumhold.decisions import dispatches
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    requests,
    rows,
    states,
    timers,
)

MAX_ROW_BODY = 64 * 1024
"""Largest answer body stored in a claim row, in bytes.

Larger bodies are stored as objects.
"""

RECORD_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay between attempts to write a record after the caller was answered."""

RECORD_TIMEOUT = datetime.timedelta(minutes=10)
"""Time after which a record that cannot be written is dropped."""


def record_result(
    state: entry.EntryState,
    call: entry.Call,
    result: requests.Result,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Records the result in the claim and then answers the caller.

    A call without a claim is answered at once. The outcome *not run* becomes
    *indeterminate* if some attempt may have run.
    """
    if result.outcome is states.Outcome.NOT_RUN and call.may_have_run:
        result = requests.Result(states.Outcome.INDETERMINATE, result.reason)
    if call.claim is None or not isinstance(call.claim.value, rows.ClaimRow):
        return dispatches.finish_call(state, call, result)
    call.result = result
    answer = result.answer
    if answer is None or len(answer.body) <= MAX_ROW_BODY:
        return _write_result(state, call, call.claim.value, "")
    call.phase = states.CallPhase.STORING
    request_id = call.request.request_id
    return [
        effects.StoreObject(request_id, _name_object(request_id), answer.body)
    ]


def _name_object(request_id: ids.RequestId) -> str:
    return f"results/{request_id}"


def _write_result(
    state: entry.EntryState,
    call: entry.Call,
    claim: rows.ClaimRow,
    body_object: str,
) -> list[effects.Effect]:
    """Writes the call's result into the claim.

    `body_object` names the object that holds the body; "" if the row does.
    """
    assert call.result is not None
    answer = call.result.answer
    if answer is not None and body_object:
        answer = dataclasses.replace(answer, body=b"")
    call.phase = states.CallPhase.RECORDING
    row = dataclasses.replace(
        claim,
        state=_CLAIM_STATES[call.result.outcome],
        answer=answer,
        reason=call.result.reason,
        body_object=body_object,
    )
    return write_claim(state, call, row)


def handle_object_stored(
    state: entry.EntryState,
    event: events.ObjectStored,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Records the result once its large body is stored.

    If storing failed, the caller is answered without a record. A repeat of the
    request then gets the answer from the agent as long as the agent keeps it.
    """
    call = state.calls.get(event.owner)
    if call is None or call.phase is not states.CallPhase.STORING:
        return []
    assert call.result is not None
    claim = call.claim.value if call.claim else None
    if not event.stored or not isinstance(claim, rows.ClaimRow):
        return dispatches.finish_call(state, call, call.result)
    return _write_result(state, call, claim, _name_object(event.owner))


def handle_object_loaded(
    state: entry.EntryState,
    event: events.ObjectLoaded,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Answers a repeated request with the recorded answer and its body."""
    call = state.calls.get(event.owner)
    if call is None or call.phase is not states.CallPhase.FETCHING:
        return []
    claim = call.claim.value if call.claim else None
    has_answer = isinstance(claim, rows.ClaimRow) and claim.answer is not None
    if event.body is None or not has_answer:
        result = requests.Result(
            states.Outcome.IN_PROGRESS, states.Reason.TABLE_UNAVAILABLE
        )
        return dispatches.finish_call(state, call, result)
    assert isinstance(claim, rows.ClaimRow)
    assert claim.answer is not None
    answer = dataclasses.replace(claim.answer, body=event.body)
    result = requests.Result(states.Outcome.COMPLETED, claim.reason, answer)
    return dispatches.finish_call(state, call, result)


_CLAIM_STATES = {
    states.Outcome.COMPLETED: states.ClaimState.COMPLETED,
    states.Outcome.NOT_RUN: states.ClaimState.NOT_RUN,
    states.Outcome.INDETERMINATE: states.ClaimState.INDETERMINATE,
}


def write_claim(
    state: entry.EntryState, call: entry.Call, row: rows.ClaimRow
) -> list[effects.Effect]:
    """Writes the claim row if the stored version is still the known one."""
    request = call.request
    assert request.key is not None
    key = rows.build_claim_key(request.organisation, request.key)
    version = call.claim.version if call.claim else ids.RowVersion(0)
    transaction = rows.Transaction(
        operation=state.next_operation(),
        conditions=(rows.Condition(key, version),),
        writes=(rows.Write(key, row),),
    )
    call.transaction = transaction
    state.operations[transaction.operation] = entry.Operation(
        states.OperationKind.CLAIM, request.request_id
    )
    return [effects.Commit(request.request_id, transaction)]


def is_fenced(reason: states.Reason) -> bool:
    """Tells whether an attempt was refused because of a question of others.

    The entry that asks about an attempt which its agent has never seen takes
    the claim over.
    """
    return reason is states.Reason.TOMBSTONED


def defer_record(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Answers the caller although the record failed and retries the record.

    Another call may have taken the claim over if the attempt was fenced. The
    record has no effect then, and the work is in progress.
    """
    assert call.transaction is not None
    assert call.result is not None
    result = call.result
    if result.outcome is states.Outcome.NOT_RUN and is_fenced(result.reason):
        result = dataclasses.replace(
            result,
            outcome=states.Outcome.IN_PROGRESS,
            retry_after=dispatches.RETRY_AFTER,
        )
    operation = call.transaction.operation
    state.operations[operation] = entry.Operation(
        states.OperationKind.RECORD, operation
    )
    state.pending_records[operation] = entry.PendingRecord(
        call.transaction, now + RECORD_TIMEOUT
    )
    return [
        *dispatches.finish_call(state, call, result),
        _set_record_timer(operation),
    ]


def _set_record_timer(operation: ids.OperationId) -> effects.Effect:
    timer = timers.Timer(timers.TimerKind.CLAIM_RECORD, operation)
    return effects.SetTimer(timer, RECORD_RETRY_DELAY)


def resend_record(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends the record of an answered call again."""
    operation = ids.OperationId(timer.subject)
    pending = state.pending_records.get(operation)
    if pending is None:
        return []
    return [effects.Commit(effects.NO_OWNER, pending.transaction)]


def handle_record_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the table's answer to the record of an answered call.

    A failed record is sent again until `RECORD_TIMEOUT`; any other answer ends
    the retries.
    """
    pending = state.pending_records[event.operation]
    failed = event.answer.result in (
        states.CommitResult.UNAVAILABLE,
        states.CommitResult.UNKNOWN,
    )
    if failed and now < pending.give_up_at:
        return [_set_record_timer(event.operation)]
    del state.pending_records[event.operation]
    del state.operations[event.operation]
    return []
