"""Commands to the local worker to start and stop runs, and their answers."""

import datetime

from gypsumhold.decisions.jobs import (
    colocation,
    refusals,
    report_timers,
    starts,
)
from gypsumhold.decisions.jobs.run_bounds import (
    leases,
    open_starts,
    worker_clocks,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, executor, runs

EffectList = list[base_effects.Effect]

FENCE_JUMP = 600_000
"""Added to a fence that the worker refuses as too low. The first fence of a
process comes from its clock, so a former process whose clock was ahead may have
used higher ones."""


_REFUSALS = {
    events.CommandResult.NO_CAPACITY: runs.Refusal.NO_CAPACITY,
    events.CommandResult.UNHEALTHY: runs.Refusal.UNHEALTHY,
    events.CommandResult.INVALID: runs.Refusal.INVALID,
    events.CommandResult.NOT_SENT: runs.Refusal.UNHEALTHY,
}


def stop_run(
    state: executor.ExecutorState, ref: runs.RunRef, now: datetime.timedelta
) -> EffectList:
    """Stops a run that the holder no longer wants.

    A run that was not yet started is refused instead: the holder places its
    task elsewhere.
    """
    local_run = state.active.get(ref)
    worker = state.worker
    if local_run is None or worker is None or local_run.stop_sent:
        return []
    if local_run.state is executor.LocalState.WAITING:
        return refusals.refuse_run(state, ref, runs.Refusal.STALE, now)
    local_run.stop_sent = True
    if local_run.state is not executor.LocalState.RUNNING:
        # It is not sent again either if the stop gets no answer.
        local_run.withheld_refusal = runs.Refusal.STALE
    return [
        effects.Log(
            "stop",
            ref.task.job_id,
            "ordered",
            (("task", str(ref.task)), ("run", str(ref.run))),
        ),
        effects.StopRun(worker, state.fence, ref),
    ]


def handle_command_answer(
    state: executor.ExecutorState,
    event: events.CommandAnswered,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the worker's answer to a command.

    A stop or throttling that failed is sent again when it is due next.
    """
    leases.record_lease_taken(state, event.until_ms, event.clock)
    if event.kind is events.CommandKind.START:
        open_starts.record_answer(
            state, event, now, is_proof=_tells_what_happened(state, event)
        )
    if (
        state.worker is None
        or event.worker_incarnation != state.worker.incarnation
    ):
        return []
    emitted: EffectList = []
    is_known = worker_clocks.fits(state, event.clock)
    if is_known:
        worker_clocks.record(state, event.clock)
    elif event.clock is not None:
        emitted += worker_clocks.doubt(state, event, event.clock)
    if event.result is events.CommandResult.FENCED:
        raise_refused_fence(state, event.fence)
    elif event.result is events.CommandResult.DONE and is_known:
        record_accepted_fence(state, event.fence)
    local_run = state.active.get(event.ref)
    if local_run is None:
        return emitted
    match event.kind:
        case events.CommandKind.START:
            emitted += _handle_start_answer(
                state, event, local_run, now, is_known=is_known
            )
        case events.CommandKind.STOP:
            if event.result is not events.CommandResult.DONE:
                local_run.stop_sent = False
        case events.CommandKind.THROTTLE:
            if event.result is not events.CommandResult.DONE:
                local_run.throttle_percent = -1
    return emitted


def _tells_what_happened(
    state: executor.ExecutorState, event: events.CommandAnswered
) -> bool:
    """Tells whether the answer to a start proves that none is under way.

    A start that was carried out by an unknown incarnation may go on there.
    """
    if event.result is events.CommandResult.DONE:
        return worker_clocks.fits(state, event.clock)
    return event.result is not events.CommandResult.UNANSWERED


def record_accepted_fence(state: executor.ExecutorState, fence: int) -> None:
    """Records that the known incarnation of the worker has taken a call."""
    state.accepted_fence = max(state.accepted_fence, fence)
    state.was_fence_refused = False


def raise_refused_fence(state: executor.ExecutorState, fence: int) -> None:
    """Raises the fence after the worker refused a call with this one.

    A call of this process with a higher fence may have overtaken it, and has
    done so if one was accepted. If not, or if that happens again, a former
    process has used higher ones.
    """
    if fence < state.accepted_fence:
        return
    if fence < state.fence and not state.was_fence_refused:
        state.was_fence_refused = True
        return
    state.fence = max(state.fence, fence + FENCE_JUMP)


def _handle_start_answer(
    state: executor.ExecutorState,
    event: events.CommandAnswered,
    local_run: executor.LocalRun,
    now: datetime.timedelta,
    *,
    is_known: bool,
) -> EffectList:
    """Applies the worker's answer to a start command.

    If it may be of an incarnation that is not known yet, the run may be on that
    one, like a start without an answer.
    """
    is_latest = event.fence == local_run.fence
    if local_run.state is not executor.LocalState.STARTING or not is_latest:
        return []
    result = event.result
    if result is events.CommandResult.DONE and not is_known:
        result = events.CommandResult.UNANSWERED
    may_work = open_starts.may_work(state, event.ref, now)
    if result is events.CommandResult.NOT_SENT and may_work:
        result = events.CommandResult.UNANSWERED
    if result is events.CommandResult.DONE:
        return [
            _log_start(event, "started"),
            *confirm_start(state, local_run, now),
            *colocation.throttle_tasks(state),
        ]
    if result is events.CommandResult.UNANSWERED:
        # A poll with a higher fence shows whether the run was started. That
        # fence also makes the worker refuse this command if it arrives late.
        state.fence += 1
        state.report_due = True
        _doubt_start(state, local_run, runs.Refusal.UNANSWERED, now)
        return [_log_start(event, "doubtful")]
    if result is events.CommandResult.STALE:
        # The worker has had this run or a later one. It may have ended, and its
        # end may not be listed yet.
        _doubt_start(state, local_run, runs.Refusal.STALE, now)
        return [_log_start(event, "known to the worker")]
    if result in _REFUSALS:
        return refusals.refuse_run(state, local_run.ref, _REFUSALS[result], now)
    # Late, fenced or answered by another incarnation: the run was not started
    # and is started again unless the holder stops it.
    local_run.state = executor.LocalState.WAITING
    emitted: EffectList = [_log_start(event, f"again: {result.value}")]
    if result is events.CommandResult.FENCED:
        emitted += starts.start_waiting_runs(state, now)
    return emitted


def decide_missing_start(
    state: executor.ExecutorState,
    local_run: executor.LocalRun,
    now: datetime.timedelta,
) -> EffectList:
    """Handles a start in doubt that this incarnation will not carry out.

    A start without an answer is sent again: if the worker's next incarnation
    takes an earlier one, it is the same run, and no other worker has the task.
    """
    refusal = local_run.withheld_refusal or local_run.refusal
    is_unanswered = refusal is runs.Refusal.UNANSWERED
    may_repeat = local_run.starts_left and local_run.command is not None
    if not is_unanswered or not may_repeat or local_run.stop_sent:
        return refusals.refuse_run(state, local_run.ref, refusal, now)
    local_run.starts_left -= 1
    local_run.is_fenced = False
    local_run.state = executor.LocalState.WAITING
    ref = local_run.ref
    inputs = (("task", str(ref.task)), ("run", str(ref.run)))
    return [effects.Log("start", ref.task.job_id, "again: unanswered", inputs)]


def confirm_start(
    state: executor.ExecutorState,
    local_run: executor.LocalRun,
    now: datetime.timedelta,
) -> EffectList:
    """Records that the worker has started a run; reports it soon, or at once.

    Returns:
        The effects that bring the next report forward.
    """
    local_run.state = executor.LocalState.RUNNING
    local_run.confirmed_at = now
    local_run.withheld_refusal = None
    command = local_run.command
    if command is not None and command.reported_at_once:
        state.report_due = True
    return report_timers.hasten(state, now)


def _doubt_start(
    state: executor.ExecutorState,
    local_run: executor.LocalRun,
    refusal: runs.Refusal,
    now: datetime.timedelta,
) -> None:
    """Leaves it to a later poll whether the worker has started a run."""
    local_run.state = executor.LocalState.IN_DOUBT
    local_run.fence = state.fence
    local_run.doubted_at = now
    local_run.refusal = refusal


def _log_start(event: events.CommandAnswered, outcome: str) -> effects.Log:
    ref = event.ref
    return effects.Log(
        "start",
        ref.task.job_id,
        outcome,
        (
            ("task", str(ref.task)),
            ("run", str(ref.run)),
            ("fence", str(event.fence)),
        ),
    )
