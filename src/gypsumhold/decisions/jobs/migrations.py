"""Migrates stalled best-effort tasks to workers without interference."""

import datetime

from gypsumhold.decisions.jobs import capacity, spreading
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, policies, runs, scheduler

EffectList = list[base_effects.Effect]

STALL_TIME = datetime.timedelta(seconds=2)
"""Time without progress after which a best-effort task is migrated."""

MAX_LOST_PERCENT = 40
"""Progress that a task without checkpoints may lose by a migration."""


def migrate_stalled_tasks(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Stops stalled best-effort tasks for which another worker has capacity.

    The next plan places them again after their runs have ended.
    """
    candidates = capacity.build_candidates(state, holder_state, now)
    emitted: EffectList = []
    for instance, candidate in candidates.items():
        if not candidate.serving:
            continue
        view = holder_state.agents[candidate.instance]
        for ref, placed in list(view.placed.items()):
            if _is_stalled(placed, now):
                emitted += _start_migration(
                    holder_state, placed, ref, candidates, instance
                )
    return emitted


def _is_stalled(placed: scheduler.PlacedTask, now: datetime.timedelta) -> bool:
    """Tells whether a task is worth migrating."""
    spec, task = placed.step.spec, placed.task
    if not spec.fills or not task.reported or task.migrating:
        return False
    if now - task.progressed_at < STALL_TIME or not placed.job.is_open():
        return False
    if placed.job.late:
        # A late task gives way to others on every worker.
        return False
    return spec.checkpoints or task.progress_percent <= MAX_LOST_PERCENT


def _start_migration(
    holder_state: scheduler.HolderState,
    placed: scheduler.PlacedTask,
    ref: runs.TaskRef,
    candidates: dict[str, policies.Candidate],
    source: str,
) -> EffectList:
    """Stops the run of a task if another worker can host the task."""
    step = placed.step
    for candidate in candidates.values():
        if spreading.find_slowed_images(step, candidate):
            continue
        if not spreading.can_host_best_effort(step, candidate):
            continue
        if not capacity.fits(candidate, placed.job, step):
            continue
        capacity.reserve(candidate, step, ref)
        holder_state.agents[candidate.instance].candidate = None
        holder_state.changed_instances.add(placed.task.instance)
        placed.task.migrating = True
        inputs = (
            ("task", str(ref)),
            ("from", source),
            ("to", str(candidate.instance)),
            ("percent", str(placed.task.progress_percent)),
        )
        return [effects.Log("move", ref.job_id, "stopping", inputs)]
    return []
