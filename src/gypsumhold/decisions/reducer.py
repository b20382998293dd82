"""Entry point of all decisions: `reduce` handles every event of every role."""

import datetime
from collections.abc import Callable, Mapping

from gypsumhold.decisions import agents, entries
from gypsumhold.decisions.jobs import executors, schedulers
from gypsumhold.model import agent, effects, entry, events
from gypsumhold.model.jobs import executor, scheduler

State = (
    entry.EntryState
    | agent.AgentState
    | scheduler.SchedulerState
    | executor.ExecutorState
)
Handler = Callable[..., list[effects.Effect]]

_HANDLERS: Mapping[type, Mapping[type, Handler]] = {
    entry.EntryState: entries.HANDLERS,
    agent.AgentState: agents.HANDLERS,
    scheduler.SchedulerState: schedulers.HANDLERS,
    executor.ExecutorState: executors.HANDLERS,
}


def reduce(
    state: State, event: events.Event, now: datetime.timedelta
) -> effects.Effects:
    """Applies an event to a state and returns the effects to carry out.

    Args:
        state: State of one role, which is updated in place. Only this function
            and the handlers that it calls may change it.
        event: Event to handle.
        now: Current time of the role's monotonic clock.

    Returns:
        Effects in the order in which the handler emitted them.
    """
    handler = _HANDLERS[type(state)][type(event)]
    return tuple(handler(state, event, now))
