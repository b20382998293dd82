"""Refuses requested runs, so that the holder places their tasks elsewhere."""

import datetime

from gypsumhold.decisions.jobs.run_bounds import open_starts
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, executor, runs

EffectList = list[base_effects.Effect]


def refuse_run(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    reason: runs.Refusal,
    now: datetime.timedelta,
) -> EffectList:
    """Records that a requested run never starts, so that it is reported.

    The holder then places its task elsewhere. So a run that an open start may
    begin is held until that can't be carried out any more.

    The log tells of an evacuation, the report only that there is no room: a
    holder of a former version could not decode a report with that reason.
    """
    if open_starts.may_work(state, ref, now):
        return _withhold_refusal(state, ref, reason)
    local_run = state.active.pop(ref, None)
    is_evacuated = reason is runs.Refusal.EVACUATED
    state.refused[ref] = runs.Refusal.NO_CAPACITY if is_evacuated else reason
    state.report_due = True
    inputs = (
        ("task", str(ref.task)),
        ("run", str(ref.run)),
        ("sent_again", str(local_run is not None and local_run.was_repeated())),
    )
    outcome = f"refused: {reason.value}"
    return [effects.Log("start", ref.task.job_id, outcome, inputs)]


def _withhold_refusal(
    state: executor.ExecutorState, ref: runs.RunRef, reason: runs.Refusal
) -> EffectList:
    """Holds a run that is not to start, as an open start may begin it."""
    local_run = state.active.get(ref)
    if local_run is None:
        local_run = executor.LocalRun(
            ref,
            state.open_starts[ref].command,
            executor.LocalState.WAITING,
            sequence=state.sequence,
        )
        state.active[ref] = local_run
    is_new = local_run.withheld_refusal is None
    local_run.state = executor.LocalState.WAITING
    local_run.withheld_refusal = reason
    local_run.hold = executor.HoldReason.EARLIER_START
    if not is_new:
        return []
    inputs = (
        ("task", str(ref.task)),
        ("run", str(ref.run)),
        ("refusal", reason.value),
    )
    return [
        effects.Log("start", ref.task.job_id, "held: start is open", inputs)
    ]
