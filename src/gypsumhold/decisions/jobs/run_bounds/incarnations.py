"""Begins the agent's knowledge of a worker anew with each incarnation.

Clock, fence, numbers of ends and highest runs of a worker begin anew, but not
the calls that are under way: an incarnation under the same name takes those
that were meant for a former one.
"""

import datetime

from gypsumhold.decisions.jobs import losses, worker_logs
from gypsumhold.decisions.jobs.run_bounds import open_starts
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import executor, runs

EffectList = list[base_effects.Effect]


def begin(
    state: executor.ExecutorState,
    worker: runs.Worker,
    now: datetime.timedelta,
) -> EffectList:
    """Resets the state for the first or a new incarnation of the worker.

    The runs of a former incarnation have ended. Those with open starts are in
    doubt, as the new one may carry them out. Raises the fence.
    """
    log = worker_logs.log_new_life(state, worker, now)
    losses.note_loss(state, worker)
    # The new fence makes the worker refuse commands that were meant for the
    # former incarnation and arrive late. The new incarnation is reported once
    # a poll with this fence is answered, which also decides the open starts.
    state.fence += 1
    state.first_fence = state.fence
    state.accepted_fence = 0
    # A poll of the former incarnation may be unanswered for long.
    state.poll_pending = False
    for local_run in state.active.values():
        _limit_repeated_starts(state, local_run)
    state.active = {
        ref: state.active.get(ref) or _build_run(state, ref, now)
        for ref in state.open_starts
        if open_starts.may_work(state, ref, now)
    }
    for local_run in state.active.values():
        doubt_again(state, local_run, now)
    state.ends.clear()
    state.ends_listed_at.clear()
    state.late_ends.clear()
    state.ignored_ends.clear()
    state.refused.clear()
    state.clock = state.steady_clock = None
    state.odd_since = None
    state.grant_end = datetime.timedelta(0)
    state.polled = False
    state.ends_complete = True
    state.acknowledged = state.discarded = runs.EndNumber(0)
    state.doubted_at = None
    state.answering = True
    state.absent_at = datetime.timedelta(0)
    state.other_life_ms = 0
    state.silent_after = None
    state.worker_left = state.has_drained = False
    state.drains_since = None
    state.serving.clear()
    state.last_sample = None
    return [log]


def _limit_repeated_starts(
    state: executor.ExecutorState, local_run: executor.LocalRun
) -> None:
    """Lets a run that may have crashed the incarnation start here once more.

    The next worker that it crashes is this one again, with little beside it.
    """
    is_decided = local_run.state is executor.LocalState.WAITING
    if not is_decided and not losses.has_outlived_start(state, local_run):
        local_run.starts_left = min(local_run.starts_left, 1)


def _build_run(
    state: executor.ExecutorState, ref: runs.RunRef, now: datetime.timedelta
) -> executor.LocalRun:
    """Returns a run that has ended and may begin once more by an open start."""
    return executor.LocalRun(
        ref,
        state.open_starts[ref].command,
        executor.LocalState.IN_DOUBT,
        received_at=now,
    )


def doubt_again(
    state: executor.ExecutorState,
    local_run: executor.LocalRun,
    now: datetime.timedelta,
) -> None:
    """Leaves it to the next lists whether a start is carried out."""
    local_run.state = executor.LocalState.IN_DOUBT
    local_run.refusal = runs.Refusal.UNANSWERED
    local_run.fence = state.fence
    local_run.doubted_at = now
    local_run.is_fenced = False
    local_run.row = None
    local_run.stop_sent = False
    local_run.unlisted_since = None
