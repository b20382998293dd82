"""Tracks whether the store answers this entry."""

import datetime

from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, scheduler, storage

EffectList = list[base_effects.Effect]

UNREACHABLE_TIME = datetime.timedelta(seconds=1)
"""Time without any answer, and with a failed call, after which the store counts
as unreachable."""

RELIABLE_TIME = datetime.timedelta(seconds=2)
"""Time after the end of an outage for which the other entries may still be
recovering; longer than the timeout of a call."""

ANSWERED_RESULTS = (storage.WriteResult.STORED, storage.WriteResult.CONFLICT)
"""Results that show that the store answered."""


def is_store_unreachable(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> bool:
    """Tells whether calls have failed without an answer for some time.

    Further calls are expected to fail as well.
    """
    return (
        state.store_failing
        and now >= state.store_answered_at + UNREACHABLE_TIME
    )


def is_store_reliable(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> bool:
    """Tells whether the store has answered every call for some time."""
    recovered_at = state.store_recovered_at
    has_recovered = recovered_at is None or now >= recovered_at + RELIABLE_TIME
    return has_recovered and not state.store_failing


def record_write_result(
    state: scheduler.SchedulerState,
    result: storage.WriteResult,
    now: datetime.timedelta,
) -> EffectList:
    """Records the result of a write."""
    return record_call(state, result in ANSWERED_RESULTS, now)


def record_call(
    state: scheduler.SchedulerState, answered: bool, now: datetime.timedelta
) -> EffectList:
    """Records whether the store answered a call; logs a change."""
    silent_ms = (now - state.store_answered_at) // datetime.timedelta(
        milliseconds=1
    )
    if answered:
        state.store_answered_at = now
        if not state.store_failing:
            return []
        state.store_failing = False
        state.store_recovered_at = now
        return _log_change(state, "answers again", silent_ms)
    if state.store_failing:
        return []
    state.store_failing = True
    return _log_change(state, "call failed", silent_ms)


def _log_change(
    state: scheduler.SchedulerState, outcome: str, silent_ms: int
) -> EffectList:
    inputs = (("unheard_ms", str(silent_ms)),)
    return [effects.Log("store", state.options.name, outcome, inputs)]
