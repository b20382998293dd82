"""The lease of everything that runs on a worker, on two clocks.

The holder grants time from when a report was sent. The worker ends runs at a
reading of its own clock, which may run slow, so a lease that must be over at
some time is computed short, and a lease that may still go on is taken as long.
"""

import datetime

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.model.jobs import executor

EXPIRY_MARGIN = datetime.timedelta(milliseconds=300)


def compute_lease_end(
    state: executor.ExecutorState, now: datetime.timedelta
) -> int | None:
    """Returns the reading of the worker's clock at which the lease ends.

    None if nothing is granted or the worker's clock is not known.
    """
    if state.clock is None or state.lease_end <= now:
        return None
    left_ms = lifecycle.to_ms(state.lease_end - state.clock.received_at)
    slack = state.options.clock_slack
    return state.clock.clock_ms + int(left_ms * (1 - slack))


def record_lease_sent(state: executor.ExecutorState, until_ms: int) -> None:
    """Notes that a call with this lease goes out."""
    assert state.clock is not None
    ahead_ms = until_ms - state.clock.clock_ms
    left_ms = ahead_ms / (1 - state.options.clock_slack)
    end = state.clock.received_at + datetime.timedelta(milliseconds=left_ms)
    state.runs_expire_at = max(state.runs_expire_at, end + EXPIRY_MARGIN)


def has_expired(state: executor.ExecutorState, now: datetime.timedelta) -> bool:
    """Tells whether every earlier run has certainly ended."""
    if state.left:
        return True
    return not state.answering and now >= state.runs_expire_at


def has_start_margin(
    state: executor.ExecutorState, now: datetime.timedelta
) -> bool:
    """Tells whether enough of the lease is left to start a run."""
    return state.lease_end - now >= state.options.start_margin
