"""The executor's part of the reducer: a handler for each event."""

import datetime
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.decisions.jobs import commands, reporting, worker_polls
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import events, executor

Made = list[base_effects.Effect]
Handler = Callable[[executor.ExecutorState, Any, datetime.timedelta], Made]


def _with_report(handler: Handler) -> Handler:
    """Sends a report after a handler that may have made one due."""

    def handle(
        state: executor.ExecutorState, event: Any, now: datetime.timedelta
    ) -> Made:
        return [*handler(state, event, now), *reporting.flush(state, now)]

    return handle


def _fire(
    state: executor.ExecutorState,
    event: base_events.TimerFired,
    now: datetime.timedelta,
) -> Made:
    return reporting.fire(state, now)


def _take_directives(
    state: executor.ExecutorState,
    event: events.DirectivesArrived,
    now: datetime.timedelta,
) -> Made:
    return reporting.apply(state, event.directives, now)


def _stop(
    state: executor.ExecutorState,
    event: base_events.StopRequested,
    now: datetime.timedelta,
) -> Made:
    # What runs goes on under its lease; the next process finds it.
    return [base_effects.Stopped()]


_ACTIVE: Mapping[type, Handler] = {
    events.ExecutorStarted: lambda state, _, now: reporting.start(state, now),
    events.HeartbeatReceived: worker_polls.handle_heartbeat,
    events.WorkerLeft: worker_polls.handle_worker_left,
    events.WorkerPolled: worker_polls.handle_poll_answer,
    events.CommandAnswered: commands.handle_command_answer,
    events.EntriesChanged: reporting.handle_entries_changed,
    events.DirectivesArrived: _take_directives,
    events.ReportAnswered: reporting.handle_report_answer,
    base_events.TimerFired: _fire,
    base_events.StopRequested: _stop,
}

HANDLERS: Mapping[type, Handler] = {
    kind: _with_report(handler) for kind, handler in _ACTIVE.items()
}
