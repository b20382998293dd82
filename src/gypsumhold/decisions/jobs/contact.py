"""Whether an entry believes that the store answers it."""

import datetime

from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, scheduler, storage

Made = list[base_effects.Effect]

LOST_TIME = datetime.timedelta(seconds=1)
"""Time without any answer, and with a failed call, after which the store counts
as lost."""

ANSWERED = (storage.WriteResult.STORED, storage.WriteResult.CONFLICT)
"""Results that only a store that works gives."""


def is_store_lost(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> bool:
    """Tells whether calls to the store would fail as the latest ones did."""
    return state.store_failing and now >= state.store_heard_at + LOST_TIME


def note_store(
    state: scheduler.SchedulerState,
    result: storage.WriteResult,
    now: datetime.timedelta,
) -> Made:
    """Notes how a write ended."""
    return note_call(state, result in ANSWERED, now)


def note_call(
    state: scheduler.SchedulerState, answered: bool, now: datetime.timedelta
) -> Made:
    """Notes whether the store answered a call."""
    silent_ms = (now - state.store_heard_at) // datetime.timedelta(
        milliseconds=1
    )
    if answered:
        state.store_heard_at = now
        if not state.store_failing:
            return []
        state.store_failing = False
        return _log(state, "answers again", silent_ms)
    if state.store_failing:
        return []
    state.store_failing = True
    return _log(state, "call failed", silent_ms)


def _log(state: scheduler.SchedulerState, outcome: str, silent_ms: int) -> Made:
    inputs = (("unheard_ms", str(silent_ms)),)
    return [effects.Log("store", state.options.name, outcome, inputs)]
