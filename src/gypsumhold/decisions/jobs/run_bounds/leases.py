"""The lease of all runs on a worker, converted between two clocks.

The holder grants time counted from when a report was sent, on the agent's
clock. The worker stops runs at a reading of its own clock, which may run slow.
So the lease sent to the worker is shortened by the possible error, and the
agent counts it as expired only after its length plus that error.

A call may be taken by a later incarnation of the worker, on whose clock the
lease lasts longer than it was meant to. What an answer shows of the lease, and
what no answer excludes, counts as well.
"""

import datetime

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.model.jobs import events, executor, messages

NO_TIME = datetime.timedelta(0)

EXPIRY_MARGIN = datetime.timedelta(milliseconds=300)
"""Time after the end of a lease at which its runs have certainly ended."""


def compute_lease_end(
    state: executor.ExecutorState, now: datetime.timedelta
) -> int | None:
    """Returns the reading of the worker's clock at which the lease must end.

    None if the grant has expired or the worker's clock is unknown.
    """
    if state.clock is None or state.grant_end <= now:
        return None
    left_ms = lifecycle.to_ms(state.grant_end - state.clock.received_at)
    slack = state.options.limits.clock_slack
    return state.clock.clock_ms + int(left_ms * (1 - slack))


def record_lease_sent(state: executor.ExecutorState, until_ms: int) -> None:
    """Records that a call sends this lease, which extends the latest expiry.

    Computed from an odd reading, it may be the longest lease, from whenever the
    call is carried out.
    """
    assert state.clock is not None
    limits = state.options.limits
    sent_ms = until_ms - state.clock.clock_ms
    length = datetime.timedelta(milliseconds=sent_ms)
    if state.odd_since is not None:
        length = limits.max_call_delay + limits.max_hold
    _count_lease(state, state.clock.received_at, length)


def record_lease_taken(
    state: executor.ExecutorState,
    until_ms: int | None,
    clock: events.WorkerClock | None,
) -> None:
    """Records the lease that a call has on the clock of who answered it.

    That may be another incarnation than the one that the call was meant for.
    """
    if until_ms is None or clock is None:
        return
    length = datetime.timedelta(milliseconds=until_ms - clock.clock_ms)
    length = min(length, state.options.limits.max_hold)
    _count_lease(state, clock.received_at, length)


def record_first_contact(
    state: executor.ExecutorState, clock: events.WorkerClock
) -> None:
    """Records that an incarnation has answered its first poll.

    Until then it may have taken any late call for a former one. Later it
    refuses these calls, as their fence is lower.
    """
    _count_lease(state, clock.received_at, state.options.limits.max_hold)


def record_process_start(
    state: executor.ExecutorState, now: datetime.timedelta
) -> None:
    """Records that a former process may have sent calls until now."""
    late_run = state.options.limits.measure_longest_late_run()
    state.began_at = now
    state.former_runs_expire_at = now + late_run + EXPIRY_MARGIN


def _count_lease(
    state: executor.ExecutorState,
    since: datetime.timedelta,
    length: datetime.timedelta,
) -> None:
    """Extends the latest expiry by a lease of this length on its clock."""
    end = since + state.options.limits.stretch(length)
    state.runs_expire_at = max(state.runs_expire_at, end + EXPIRY_MARGIN)


def have_leases_expired(
    state: executor.ExecutorState, now: datetime.timedelta
) -> bool:
    """Tells whether every run that the worker had has certainly ended.

    That is the case once the worker is silent and either has left or all leases
    that were sent have expired. Starts without an answer are judged one by one
    (`run_bounds.open_starts`), as are those of a former process once the holder
    has named them.
    """
    if state.answering:
        return False
    if has_left(state) or _is_known_absent(state):
        return True
    if state.former_starts is None and now < state.former_runs_expire_at:
        return False
    return now >= state.runs_expire_at


def record_absence(
    state: executor.ExecutorState, asked_at: datetime.timedelta
) -> None:
    """Records that the platform listed no worker of this name, asked then."""
    state.absent_at = max(state.absent_at, asked_at)


def _is_known_absent(state: executor.ExecutorState) -> bool:
    """Tells whether the known incarnation has ended since it last answered.

    The platform's list lacked a worker of its name. A later incarnation that
    has the name again has none of its runs.
    """
    clock = state.clock
    return clock is not None and state.absent_at > clock.received_at


def has_left(state: executor.ExecutorState) -> bool:
    """Tells whether the present incarnation has certainly shut down.

    A notice of departure names no incarnation, so a late one of a former
    incarnation looks the same. Only a worker that has drained shuts down.
    """
    return state.worker_left and state.has_drained


def record_departure(
    state: executor.ExecutorState, now: datetime.timedelta
) -> None:
    """Records the notice that the worker shuts down.

    It is no proof while a former incarnation may have sent it.
    """
    state.worker_left = True
    since = state.drains_since
    limits = state.options.limits
    shortest = limits.min_drain * (1 - limits.clock_slack)
    state.has_drained = (
        since is not None
        and now >= since + shortest
        and _has_been_up(state, limits.max_call_delay, now)
    )


def _has_been_up(
    state: executor.ExecutorState,
    span: datetime.timedelta,
    now: datetime.timedelta,
) -> bool:
    """Tells whether the present incarnation started at least so long ago.

    Its clock counts from its start and is not fast.
    """
    clock = state.clock
    if clock is None or state.odd_since is not None:
        return False
    up_at_reading = datetime.timedelta(milliseconds=clock.clock_ms)
    return up_at_reading + now - clock.received_at >= span


def measure_lease(
    state: executor.ExecutorState, now: datetime.timedelta
) -> datetime.timedelta:
    """Returns the time until every run has ended unless a lease is sent."""
    return max(state.runs_expire_at - now, NO_TIME)


def measure_lease_ms(
    state: executor.ExecutorState, now: datetime.timedelta
) -> messages.LeaseMs:
    """Returns the same time as a report tells it."""
    left_ms = lifecycle.to_ms(measure_lease(state, now))
    return min(left_ms, messages.MAX_LEASE_MS)


def has_start_margin(
    state: executor.ExecutorState, now: datetime.timedelta
) -> bool:
    """Tells whether the remaining grant is long enough to start a run."""
    return state.grant_end - now >= state.options.start_margin
