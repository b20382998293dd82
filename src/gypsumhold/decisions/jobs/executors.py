"""Event handlers of the executor, by type of event."""

import datetime
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.decisions.jobs import (
    commands,
    received_directives,
    reporting,
    worker_polls,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import events, executor

EffectList = list[base_effects.Effect]
Handler = Callable[
    [executor.ExecutorState, Any, datetime.timedelta], EffectList
]


def _with_report(handler: Handler) -> Handler:
    """Returns a handler that also sends a report if one is due afterwards."""

    def handle(
        state: executor.ExecutorState, event: Any, now: datetime.timedelta
    ) -> EffectList:
        return [
            *handler(state, event, now),
            *reporting.send_due_report(state, now),
        ]

    return handle


def _handle_timer(
    state: executor.ExecutorState,
    event: base_events.TimerFired,
    now: datetime.timedelta,
) -> EffectList:
    return reporting.handle_report_timer(state, now)


def _handle_directives(
    state: executor.ExecutorState,
    event: events.DirectivesArrived,
    now: datetime.timedelta,
) -> EffectList:
    return received_directives.handle_directives(state, event.directives, now)


def _handle_stop(
    state: executor.ExecutorState,
    event: base_events.StopRequested,
    now: datetime.timedelta,
) -> EffectList:
    # Runs continue under their leases; the next process finds them by a poll.
    return [base_effects.Stopped()]


_BASE_HANDLERS: Mapping[type, Handler] = {
    events.ExecutorStarted: lambda state, _, now: reporting.start(state, now),
    events.HeartbeatReceived: worker_polls.handle_heartbeat,
    events.WorkerLeft: worker_polls.handle_worker_left,
    events.WorkerPolled: worker_polls.handle_poll_answer,
    events.CommandAnswered: commands.handle_command_answer,
    events.EntriesChanged: reporting.handle_entries_changed,
    events.DirectivesArrived: _handle_directives,
    events.ReportAnswered: reporting.handle_report_answer,
    base_events.TimerFired: _handle_timer,
    base_events.StopRequested: _handle_stop,
}

HANDLERS: Mapping[type, Handler] = {
    kind: _with_report(handler) for kind, handler in _BASE_HANDLERS.items()
}
