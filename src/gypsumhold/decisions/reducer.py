"""Entry point of all decisions: `reduce` handles every event of every role."""

import datetime
from collections.abc import Callable, Mapping
from typing import Any, overload

from gypsumhold.decisions import agents, clients, entries
from gypsumhold.decisions.jobs import executors, schedulers
from gypsumhold.model import agent, effects, entry, events
from gypsumhold.model import clients as client_model
from gypsumhold.model.jobs import executor, scheduler

State = (
    entry.EntryState
    | agent.AgentState
    | scheduler.SchedulerState
    | executor.ExecutorState
)
Handler = Callable[..., list[Any]]

_HANDLERS: Mapping[type, Mapping[type, Handler]] = {
    entry.EntryState: entries.HANDLERS,
    agent.AgentState: agents.HANDLERS,
    scheduler.SchedulerState: schedulers.HANDLERS,
    executor.ExecutorState: executors.HANDLERS,
    client_model.ClientState: clients.HANDLERS,
}


@overload
def reduce(
    state: State, event: events.Event, now: datetime.timedelta
) -> effects.Effects: ...


@overload
def reduce(
    state: client_model.ClientState,
    event: client_model.Event,
    now: datetime.timedelta,
) -> tuple[client_model.Effect, ...]: ...


def reduce(
    state: State | client_model.ClientState,
    event: events.Event | client_model.Event,
    now: datetime.timedelta,
) -> tuple[Any, ...]:
    """Applies an event to a state and returns the effects to carry out.

    Args:
        state: State of one role or listener, which is updated in place. Only
            this function and the handlers that it calls may change it.
        event: Event to handle.
        now: Current time of a monotonic clock.

    Returns:
        Effects in the order in which the handler emitted them.
    """
    handler = _HANDLERS[type(state)][type(event)]
    return tuple(handler(state, event, now))
