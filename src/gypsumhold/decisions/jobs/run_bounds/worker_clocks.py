"""Readings of the worker's clock, and whether they are of one incarnation."""

import datetime

from gypsumhold.decisions.jobs import worker_logs
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import events, executor, worker_limits

EffectList = list[base_effects.Effect]

READING_ERROR = datetime.timedelta(milliseconds=20)
"""Error of the difference between two readings beside that of the rates."""

MILLISECOND = datetime.timedelta(milliseconds=1)
NO_TIME = datetime.timedelta(0)


def record(
    state: executor.ExecutorState, clock: events.WorkerClock | None
) -> None:
    """Stores a clock reading unless it is older than the stored one.

    Answers to polls and to commands may overtake each other. A lower reading of
    a call that was sent after the stored one arrived shows that the stored one
    was wrong.
    """
    if clock is None:
        return
    known = state.clock
    if (
        known is None
        or clock.clock_ms >= known.clock_ms
        or clock.sent_at >= known.received_at
    ):
        _compare(state, clock)
        state.clock = clock


def _compare(state: executor.ExecutorState, clock: events.WorkerClock) -> None:
    """Notes whether a reading fits those before it.

    Several readings in a row may be wrong by the same amount, so that each fits
    the one before. They count as odd until they fit the last one before them,
    or until every call has ended that was sent by those before.
    """
    limits = state.options.limits
    if not fits(state, clock):
        if state.odd_since is None:
            state.steady_clock = state.clock
        state.odd_since = clock.received_at
    elif state.odd_since is not None:
        steady = state.steady_clock
        assert steady is not None
        settled_at = state.odd_since + limits.measure_longest_late_run()
        if clock.sent_at >= settled_at or _may_be_of_one_clock(
            steady, clock, limits
        ):
            state.odd_since = state.steady_clock = None


def fits(
    state: executor.ExecutorState, clock: events.WorkerClock | None
) -> bool:
    """Tells whether the known incarnation may have answered with this reading.

    An answer without a reading may be of any incarnation.
    """
    if clock is None:
        return False
    if state.clock is None:
        return True
    return _may_be_of_one_clock(state.clock, clock, state.options.limits)


def doubt(
    state: executor.ExecutorState,
    event: events.CommandAnswered,
    clock: events.WorkerClock,
) -> EffectList:
    """Doubts which incarnation answers, until it has answered a poll.

    The answer to a command does not tell which one gave it.
    """
    state.doubted_at = clock.received_at
    return [worker_logs.log_other_clock(event, state.clock)]


def _may_be_of_one_clock(
    known: events.WorkerClock,
    clock: events.WorkerClock,
    limits: worker_limits.WorkerLimits,
) -> bool:
    """Tells whether the times of two calls allow both readings."""
    passed = (clock.clock_ms - known.clock_ms) * MILLISECOND
    shortest = clock.sent_at - known.received_at
    longest = clock.received_at - known.sent_at
    slack = limits.clock_slack
    least = shortest * (1 - slack) if shortest > NO_TIME else shortest
    most = longest if longest > NO_TIME else longest * (1 - slack)
    return least - READING_ERROR <= passed <= most + READING_ERROR
