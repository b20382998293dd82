"""When an agent sends its next regular report."""

import datetime

from gypsumhold.model import effects as base_effects
from gypsumhold.model import timers
from gypsumhold.model.jobs import executor

EffectList = list[base_effects.Effect]

REPORT_TIMER = timers.Timer(timers.TimerKind.REPORT)

CONFIRMATION_DELAY = datetime.timedelta(milliseconds=200)
"""Longest time until a confirmed start is reported. Until then, the holder has
to allow for a start that is carried out late if the agent is lost."""


def begin_interval(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Lets the next regular report follow after a whole interval."""
    return _set(state, now, state.options.report_interval)


def hasten(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Brings the next regular report forward for a confirmed start."""
    if state.next_report_at <= now + CONFIRMATION_DELAY:
        return []
    return _set(state, now, CONFIRMATION_DELAY)


def _set(
    state: executor.ExecutorState,
    now: datetime.timedelta,
    delay: datetime.timedelta,
) -> EffectList:
    state.next_report_at = now + delay
    return [base_effects.SetTimer(REPORT_TIMER, delay)]
