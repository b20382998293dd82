"""Event handlers of an entry, and the tables that select them."""

import datetime
from collections.abc import Callable

from gypsumhold.decisions import (
    calls,
    changes,
    claims,
    dispatches,
    membership,
    partitions,
    placements,
    results,
    submissions,
    syncs,
)
from gypsumhold.model import effects, entry, events, states, timers


def handle_start(
    state: entry.EntryState,
    event: events.EntryStarted,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Starts the first reads and all periodic timers of the entry."""
    state.started_at = now
    sync = timers.Timer(timers.TimerKind.SYNC)
    silence_check = timers.Timer(timers.TimerKind.MEMBERSHIP)
    return [
        *changes.start_configuration(state, now),
        *partitions.start_partitions(state, now),
        effects.SetTimer(sync, syncs.SYNC_CHECK_INTERVAL),
        effects.SetTimer(silence_check, membership.SILENCE_CHECK_INTERVAL),
    ]


def handle_stop(
    state: entry.EntryState,
    event: events.StopRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Refuses new calls from now on and releases the held partitions.

    `Stopped` follows once the last call and the last partition have ended.
    """
    state.stopping = True
    emitted: list[effects.Effect] = []
    for partition in state.partitions.values():
        emitted += partitions.send_batch(state, partition, now)
    return [*emitted, *dispatches.report_stopped(state)]


def discard_commit_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ignores the result of a transaction that is never resent.

    A handover request is written again periodically, so a lost one does no
    harm.
    """
    del state.operations[event.operation]
    return []


_COMMIT_HANDLERS = {
    states.OperationKind.CLAIM: claims.handle_commit_answer,
    states.OperationKind.RECORD: results.handle_record_answer,
    states.OperationKind.PARTITION: submissions.handle_batch_answer,
    states.OperationKind.HANDOVER_REQUEST: discard_commit_answer,
    states.OperationKind.APPLY: changes.handle_apply_answer,
}


def handle_commit_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Calls the handler for the kind of transaction that the table answered.

    Answers to transactions that have ended are ignored.
    """
    operation = state.operations.get(event.operation)
    if operation is None:
        return []
    return _COMMIT_HANDLERS[operation.kind](state, event, now)


_READ_HANDLERS = {
    timers.ReadKind.PARTITIONS: partitions.handle_partition_rows,
    timers.ReadKind.TASKS: submissions.handle_task_rows,
    timers.ReadKind.CLAIM: claims.handle_claim_rows,
    timers.ReadKind.CONFIG_HEAD: changes.handle_head_row,
    timers.ReadKind.CONFIG_CHANGES: changes.handle_change_rows,
    timers.ReadKind.CONFIG_OBJECTS: changes.handle_object_rows,
}


def handle_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Calls the handler for the kind of read that has ended or failed."""
    return _READ_HANDLERS[event.purpose.kind](state, event, now)


_TIMER_HANDLERS = {
    timers.TimerKind.CALL: calls.resume_call,
    timers.TimerKind.CLAIM_RECORD: results.resend_record,
    timers.TimerKind.BATCH_RETRY: partitions.resend_batch,
    timers.TimerKind.PARTITION_POLL: partitions.poll_partitions,
    timers.TimerKind.LOAD: submissions.reload_partition,
    timers.TimerKind.SYNC: syncs.run_due_syncs,
    timers.TimerKind.CONFIG_POLL: changes.poll_head,
    timers.TimerKind.APPLY_RETRY: changes.resend_apply,
    timers.TimerKind.MEMBERSHIP: membership.remove_silent_instances,
}


def handle_timer(
    state: entry.EntryState,
    event: events.TimerFired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Routes a timer that is due by its kind."""
    return _TIMER_HANDLERS[event.timer.kind](state, event.timer, now)


HANDLERS: dict[type, Callable[..., list[effects.Effect]]] = {
    events.EntryStarted: handle_start,
    events.StopRequested: handle_stop,
    events.CallArrived: calls.handle_call,
    events.DispatchAnswered: calls.handle_reply,
    events.DispatchFailed: calls.handle_dispatch_failure,
    events.CancelAnswered: calls.handle_cancel_answer,
    events.CommitAnswered: handle_commit_answer,
    events.RowsRead: handle_rows,
    events.ObjectStored: results.handle_object_stored,
    events.ObjectLoaded: results.handle_object_loaded,
    events.AnnouncementReceived: membership.handle_announcement,
    events.SubmissionArrived: submissions.handle_submission,
    events.TaskCancelArrived: submissions.handle_cancel,
    events.ForwardAnswered: submissions.handle_forward_answer,
    events.StartsAnswered: placements.handle_start_answers,
    events.SyncAnswered: syncs.handle_sync_answer,
    events.ApplyArrived: changes.handle_apply,
    events.ConfigPushAnswered: changes.handle_push_answer,
    events.PeerConfigRead: changes.handle_peer_configuration,
    events.InstanceRetired: syncs.retire_instance,
    events.TimerFired: handle_timer,
}
