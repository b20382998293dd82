"""Which decision handles which event of an entry."""

import datetime
from collections.abc import Callable

from gypsumhold.decisions import (
    calls,
    changes,
    claims,
    dispatches,
    partitions,
    placements,
    results,
    rosters,
    submissions,
    syncs,
)
from gypsumhold.model import effects, entry, events, states, timers


def start(
    state: entry.EntryState,
    event: events.EntryStarted,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Begins all periodic work."""
    state.started_at = now
    sync = timers.Timer(timers.TimerKind.SYNC)
    silence = timers.Timer(timers.TimerKind.ROSTER)
    return [
        *changes.start_configuration(state, now),
        *partitions.start_partitions(state, now),
        effects.SetTimer(sync, syncs.SYNC_TICK),
        effects.SetTimer(silence, rosters.ROSTER_TICK),
    ]


def stop(
    state: entry.EntryState,
    event: events.StopRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Refuses new calls and gives the partitions up."""
    state.stopping = True
    made: list[effects.Effect] = []
    for partition in state.partitions.values():
        made += partitions.send_batch(state, partition, now)
    return [*made, *dispatches.report_stopped(state)]


def end_operation(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends a transaction whose loss does not matter."""
    del state.operations[event.operation]
    return []


_COMMITS = {
    states.OperationKind.CLAIM: claims.take_commit,
    states.OperationKind.RECORD: results.take_record,
    states.OperationKind.PARTITION: submissions.take_batch,
    states.OperationKind.WISH: end_operation,
    states.OperationKind.APPLY: changes.take_apply_commit,
}


def take_commit(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Hands the table's answer to whoever sent the transaction."""
    operation = state.operations.get(event.operation)
    if operation is None:
        return []
    return _COMMITS[operation.kind](state, event, now)


_READS = {
    timers.ReadKind.PARTITIONS: partitions.observe_partitions,
    timers.ReadKind.TASKS: submissions.take_loaded,
    timers.ReadKind.CLAIM: claims.take_rows,
    timers.ReadKind.CONFIG_HEAD: changes.take_head,
    timers.ReadKind.CONFIG_CHANGES: changes.take_changes,
    timers.ReadKind.CONFIG_OBJECTS: changes.take_objects,
}


def take_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Hands rows to whoever read them."""
    return _READS[event.read.kind](state, event, now)


_TIMERS = {
    timers.TimerKind.CALL: calls.wake_call,
    timers.TimerKind.CLAIM_RECORD: results.resend_record,
    timers.TimerKind.BATCH_RETRY: partitions.resend_batch,
    timers.TimerKind.PARTITION_POLL: partitions.poll_partitions,
    timers.TimerKind.LOAD: submissions.reload_partition,
    timers.TimerKind.SYNC: syncs.tick_syncs,
    timers.TimerKind.CONFIG_POLL: changes.poll_head,
    timers.TimerKind.APPLY_RETRY: changes.resend_apply,
    timers.TimerKind.ROSTER: rosters.tick_roster,
}


def fire_timer(
    state: entry.EntryState,
    event: events.TimerFired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Hands a due timer to whoever set it."""
    return _TIMERS[event.timer.kind](state, event.timer, now)


HANDLERS: dict[type, Callable[..., list[effects.Effect]]] = {
    events.EntryStarted: start,
    events.StopRequested: stop,
    events.CallArrived: calls.admit_call,
    events.DispatchAnswered: calls.take_reply,
    events.DispatchLost: calls.take_loss,
    events.CancelAnswered: calls.take_cancel_answer,
    events.CommitAnswered: take_commit,
    events.RowsRead: take_rows,
    events.ObjectStored: results.take_stored,
    events.ObjectLoaded: results.take_loaded,
    events.AnnouncementReceived: rosters.take_announcement,
    events.SubmissionArrived: submissions.take_submission,
    events.TaskCancelArrived: submissions.take_cancel,
    events.ForwardAnswered: submissions.take_forward,
    events.StartsAnswered: placements.take_starts,
    events.SyncAnswered: syncs.take_sync,
    events.ApplyArrived: changes.take_apply,
    events.ConfigPushAnswered: changes.take_push_answer,
    events.PeerConfigRead: changes.take_peer_configuration,
    events.InstanceRetired: syncs.retire_instance,
    events.TimerFired: fire_timer,
}
