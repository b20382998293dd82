"""The scheduler's part of the reducer: a handler for each event."""

import datetime
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.decisions.jobs import (
    acceptance,
    batches,
    holders,
    intake,
    reports,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model import ids, timers
from gypsumhold.model.jobs import effects, events, scheduler

Made = list[base_effects.Effect]
Handler = Callable[[scheduler.SchedulerState, Any, datetime.timedelta], Made]

CONFIG_RETRY = datetime.timedelta(milliseconds=200)


def _follow_config(
    state: scheduler.SchedulerState,
    event: events.ConfigRead,
    now: datetime.timedelta,
) -> Made:
    if event.result is events.ReadResult.GAP:
        return [effects.FollowConfig(ids.RowVersion(0))]
    if event.result is events.ReadResult.LOST:
        return [effects.FollowConfig(event.version, CONFIG_RETRY)]
    made: Made = [effects.FollowConfig(event.version)]
    config = event.config
    known = state.config
    if config is not None and (known is None or config.version > known.version):
        state.config = config
        inputs = (("queues", str(len(config.queues))),)
        made.append(
            effects.Log("config", str(config.version), "in force", inputs)
        )
    return made


def _fire(
    state: scheduler.SchedulerState,
    event: base_events.TimerFired,
    now: datetime.timedelta,
) -> Made:
    match event.timer.kind:
        case timers.TimerKind.HOLDER_POLL:
            return holders.poll(state)
        case timers.TimerKind.HOLDER_TICK:
            return holders.tick(state, now)
        case timers.TimerKind.REGISTER:
            return holders.register_again(state)
    return []


def _note_pushed(
    state: scheduler.SchedulerState,
    event: events.DirectivesPushed,
    now: datetime.timedelta,
) -> Made:
    if event.received:
        return []
    # The next report of the agent brings the same directives again.
    return [effects.Log("push", event.instance, "no answer")]


def _stop(
    state: scheduler.SchedulerState,
    event: events.SchedulerStopping,
    now: datetime.timedelta,
) -> Made:
    """Gives the queue up, so that another entry takes over at once."""
    state.stopping = True
    holding = state.holding
    if holding is None or state.role is not scheduler.Role.HOLDER:
        state.role = scheduler.Role.STOPPED
        return [base_effects.Stopped()]
    holding.giving_up = True
    return []


def _with_advance(handler: Handler) -> Handler:
    """Sends the next batch after a handler that may have made it due."""

    def handle(
        state: scheduler.SchedulerState, event: Any, now: datetime.timedelta
    ) -> Made:
        return [*handler(state, event, now), *batches.advance(state, now)]

    return handle


_ACTIVE: Mapping[type, Handler] = {
    events.SubmitArrived: acceptance.submit,
    events.JobWritten: acceptance.note_written,
    events.QueryArrived: intake.ask,
    events.QueryAnswered: intake.note_answered,
    events.JobRead: intake.note_read,
    events.CancelWritten: intake.note_cancelled,
    events.HolderTaken: holders.note_taken,
    events.JobsLoaded: holders.note_loaded,
    events.JobsRemoved: holders.note_removed,
    events.JobsChanged: holders.note_changes,
    events.BatchCommitted: batches.settle,
    events.ReportArrived: reports.take,
    base_events.TimerFired: _fire,
    events.SchedulerStopping: _stop,
}

HANDLERS: Mapping[type, Handler] = {
    **{kind: _with_advance(handler) for kind, handler in _ACTIVE.items()},
    events.SchedulerStarted: lambda state, _, now: holders.start(state, now),
    events.HolderRead: holders.note_read,
    events.EntryRegistered: lambda state, event, _: holders.note_registered(
        state, event
    ),
    events.ConfigRead: _follow_config,
    events.DirectivesPushed: _note_pushed,
}
