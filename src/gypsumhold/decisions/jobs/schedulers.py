"""Event handlers of the scheduler, by type of event."""

import datetime
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.decisions.jobs import (
    absent_workers,
    batches,
    elections,
    evacuations,
    holders,
    queries,
    reports,
    submissions,
    waits,
)
from gypsumhold.decisions.jobs.locality import near_waits
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model import ids, timers
from gypsumhold.model.jobs import effects, events, scheduler

EffectList = list[base_effects.Effect]
Handler = Callable[
    [scheduler.SchedulerState, Any, datetime.timedelta], EffectList
]

NEXT_BATCH_TIMER = timers.Timer(timers.TimerKind.NEXT_BATCH)
NO_DELAY = datetime.timedelta(0)

CONFIG_RETRY_DELAY = datetime.timedelta(milliseconds=200)


def _handle_config_read(
    state: scheduler.SchedulerState,
    event: events.ConfigRead,
    now: datetime.timedelta,
) -> EffectList:
    """Puts what the operator changed in force; requests the next changes.

    After a failed read all rows are read, without waiting for a change: until
    a read succeeds, agents may hold their starts.
    """
    asked_at = state.config_asked_at
    state.config_asked_at = now
    if event.result is events.ReadResult.GAP:
        return [effects.FollowConfig(ids.RowVersion(0))]
    if event.result is events.ReadResult.FAILED:
        state.config_asked_at = now + CONFIG_RETRY_DELAY
        return [effects.FollowConfig(ids.RowVersion(0), CONFIG_RETRY_DELAY)]
    emitted: EffectList = [effects.FollowConfig(event.version)]
    if event.evacuation_changes is not None:
        emitted += evacuations.apply_changes(state, event.evacuation_changes)
        evacuations.record_read(state, asked_at)
    config = event.config
    current = state.config
    if config is not None and (
        current is None or config.version > current.version
    ):
        state.config = config
        inputs = (("queues", str(len(config.queues))),)
        emitted.append(
            effects.Log("config", str(config.version), "in force", inputs)
        )
    return emitted


def _handle_timer_fired(
    state: scheduler.SchedulerState,
    event: base_events.TimerFired,
    now: datetime.timedelta,
) -> EffectList:
    """Calls the handler of the timer that fired."""
    match event.timer.kind:
        case timers.TimerKind.HOLDER_POLL:
            return elections.handle_poll_timer(state)
        case timers.TimerKind.HOLDER_TICK:
            return [
                *holders.handle_tick_timer(state, now),
                *absent_workers.ask_if_due(state, now),
            ]
        case timers.TimerKind.NEAR_PLACE:
            return near_waits.handle_timer(state)
        case timers.TimerKind.REGISTER:
            return elections.retry_registration(state)
    return []


def _handle_directives_pushed(
    state: scheduler.SchedulerState,
    event: events.DirectivesPushed,
    now: datetime.timedelta,
) -> EffectList:
    """Logs directives that the agent did not confirm."""
    if event.received:
        return []
    # The answer to the agent's next report repeats the directives.
    return [effects.Log("push", event.instance, "no answer")]


def _handle_stopping(
    state: scheduler.SchedulerState,
    event: events.SchedulerStopping,
    now: datetime.timedelta,
) -> EffectList:
    """Releases the queue, so that another entry takes it at once.

    The next batch releases it and then the scheduler stops, also if the jobs
    are still being loaded. A scheduler that is taking the queue learns first
    whether it has it. One that does not hold the queue stops immediately.
    """
    state.stopping = True
    if state.holder_state is not None:
        state.holder_state.releasing = True
        return []
    if state.role is scheduler.Role.TAKING:
        return []
    return elections.stop_following(state)


def _with_commit(handler: Handler) -> Handler:
    """Wraps a handler to send the next batch if its event makes one due."""
    apply = _with_answers(handler)

    def handle(
        state: scheduler.SchedulerState, event: Any, now: datetime.timedelta
    ) -> EffectList:
        emitted = apply(state, event, now)
        emitted = [*emitted, *batches.commit_if_due(state, now)]
        return [*emitted, *_update_waits(state, now)]

    return handle


def _with_answers(handler: Handler) -> Handler:
    """Wraps a handler to answer the reports that waited for its event."""

    def handle(
        state: scheduler.SchedulerState, event: Any, now: datetime.timedelta
    ) -> EffectList:
        emitted = handler(state, event, now)
        if state.waiting_reports:
            emitted = [*emitted, *reports.answer_waiting_reports(state, now)]
        return [*emitted, *_update_waits(state, now)]

    return handle


def _handle_batch_committed(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> EffectList:
    """Applies a batch, and makes the next one due as an event of its own.

    The effects of an event are performed once it is applied, and a plan takes
    longer than anything else: what the batch starts would wait for it.
    """
    emitted = batches.handle_batch_committed(state, event, now)
    holder_state = state.holder_state
    if holder_state is not None and holder_state.in_flight is None:
        emitted.append(base_effects.SetTimer(NEXT_BATCH_TIMER, NO_DELAY))
    return emitted


def _update_waits(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Follows the jobs without a run, if this scheduler holds the queue."""
    if state.holder_state is None:
        return []
    return waits.update(state.holder_state, now)


_COMMITTING_HANDLERS: Mapping[type, Handler] = {
    events.SubmitArrived: submissions.handle_submission,
    events.JobWritten: submissions.handle_job_written,
    events.QueryArrived: queries.handle_query,
    events.QueryAnswered: queries.handle_query_answered,
    events.JobRead: queries.handle_job_read,
    events.CancelWritten: queries.handle_cancel_written,
    events.QueueTaken: elections.handle_queue_taken,
    events.EvacuationsRead: evacuations.handle_evacuations_read,
    events.WorkersListed: absent_workers.handle_workers_listed,
    events.JobsLoaded: holders.handle_jobs_loaded,
    events.SubmissionsDeleted: holders.handle_submissions_deleted,
    events.JobsChanged: holders.handle_jobs_changed,
    events.ReportArrived: reports.handle_report_arrived,
    base_events.TimerFired: _handle_timer_fired,
    events.SchedulerStopping: _handle_stopping,
}

HANDLERS: Mapping[type, Handler] = {
    **{
        kind: _with_commit(handler)
        for kind, handler in _COMMITTING_HANDLERS.items()
    },
    events.SchedulerStarted: lambda state, _, now: elections.handle_started(
        state, now
    ),
    events.BatchCommitted: _with_answers(_handle_batch_committed),
    events.HolderRead: elections.handle_holder_read,
    events.HolderNotified: elections.handle_holder_notified,
    events.EntryRegistered: lambda state, event, _: (
        elections.handle_entry_registered(state, event)
    ),
    events.ConfigRead: _handle_config_read,
    events.DirectivesPushed: _handle_directives_pushed,
}
