"""Migrates slow best-effort tasks to workers where they run at full speed.

A best-effort task that is throttled beside serving tasks ends late, and with it
its job. It is moved to a worker on which it slows no serving task down as soon
as one has the capacity, which is reserved until the task gets there.

A job that gives way to others moves only tasks that do not work at all, and
only to a worker whose CPU nobody else uses. Without that, such a task would
stand still for as long as its worker serves, while others are idle.
"""

import datetime

from gypsumhold.decisions.jobs import (
    capacity,
    estimates,
    lifecycle,
    spreading,
    starvation,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    policies,
    progress,
    runs,
    scheduler,
)

EffectList = list[base_effects.Effect]

SLOW_TIME = datetime.timedelta(milliseconds=800)
"""Time for which a task is slow before it is migrated; the readings of its
speed cover half a second."""

HALTED_TIME = datetime.timedelta(milliseconds=1500)
"""Time for which a task of a job that gives way is halted before it is
migrated. Others may come before it there too, so this bounds how often it is
moved."""

MIGRATION_TIME = datetime.timedelta(milliseconds=1300)
"""Time that a task does not work while it is stopped, started elsewhere and
restored from its checkpoint."""

MIN_GAIN = datetime.timedelta(milliseconds=1000)
"""Least time by which a migration has to bring the end of a task forward."""

MIN_SHARE = 0.05
"""Least share of full speed that is assumed; a halted task may go on later."""


def migrate_slow_tasks(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    job: progress.Job,
    candidates: dict[str, policies.Candidate],
    now: datetime.timedelta,
) -> EffectList:
    """Stops the slow tasks of a job for which another worker has capacity.

    The tasks are placed on that worker once their runs have ended.
    """
    emitted: EffectList = []
    for step in job.steps:
        if not step.spec.fills:
            continue
        for index, task in enumerate(step.tasks):
            if not _is_due(job, step, task, now):
                continue
            if not _saves_time(state, step, task):
                continue
            target = _choose_target(job, step, task, candidates)
            if target is None:
                # The other tasks of the step need the same kind of worker.
                break
            ref = lifecycle.build_task_ref(job, step, index)
            placed = scheduler.PlacedTask(job, step, task)
            emitted.append(start_migration(holder_state, placed, ref, target))
    return emitted


def _is_due(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a running task has been too slow for too long."""
    if not task.is_placed() or not task.reported or task.migrating:
        return False
    boosted_at = task.boosted_at
    if boosted_at is not None and now < boosted_at + starvation.BOOST_TIME:
        return False
    if job.gives_way:
        return _is_halted(step, task, now)
    return task.slow_since is not None and now >= task.slow_since + SLOW_TIME


def _is_halted(
    step: progress.Step, task: progress.Task, now: datetime.timedelta
) -> bool:
    """Tells whether a task of a job that gives way has stood still too long.

    One that can't resume elsewhere stays once it has made progress: it might
    never end if it were moved again and again. A gang has to move as a whole.
    """
    may_restart = task.progress_percent < estimates.MIN_MEASURED_PERCENT
    if step.spec.gang or not (step.spec.checkpoints or may_restart):
        return False
    halted_since = task.halted_since
    return halted_since is not None and now >= halted_since + HALTED_TIME


def _saves_time(
    state: scheduler.SchedulerState, step: progress.Step, task: progress.Task
) -> bool:
    """Tells whether a task would end earlier after a migration."""
    run_time = estimates.estimate_task(step, task, state.policies.estimates)
    run_time *= task.slowdown
    done = task.progress_percent / estimates.PERCENT
    time_here = run_time * (1 - done) / max(task.speed_share, MIN_SHARE)
    left = 1 - done if step.spec.checkpoints else 1.0
    return run_time * left + MIGRATION_TIME + MIN_GAIN <= time_here


def _choose_target(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    candidates: dict[str, policies.Candidate],
) -> policies.Candidate | None:
    """Returns the worker with the most idle CPU on which a task runs freely.

    For a job that gives way, what other jobs that do so use is not idle either.
    """
    targets = [
        candidate
        for candidate in candidates.values()
        if candidate.instance != task.instance
        and not candidate.quarantined
        and candidate.instance not in task.excluded_instances
        and capacity.fits(candidate, job, step)
        and not spreading.find_slowed_images(step, candidate)
        and spreading.can_host_best_effort(
            step, candidate, deferred=job.gives_way
        )
    ]
    return max(
        targets,
        key=lambda target: capacity.estimate_idle_cores(
            target, deferred=job.gives_way
        ),
        default=None,
    )


def start_migration(
    holder_state: scheduler.HolderState,
    placed: scheduler.PlacedTask,
    ref: runs.TaskRef,
    target: policies.Candidate,
) -> base_effects.Effect:
    """Stops the run of a task and reserves capacity at its target."""
    task = placed.task
    capacity.reserve(target, placed.step, ref, deferred=placed.job.gives_way)
    task.migration_target = target.instance
    holder_state.agents[target.instance].expected[ref] = placed
    holder_state.changed_instances.add(task.instance)
    holder_state.run_waits.touched.add(ref.job_id)
    inputs = (
        ("task", str(ref)),
        ("from", task.instance),
        ("to", target.instance),
        ("percent", str(task.progress_percent)),
        ("speed", f"{task.speed_share:.2f}"),
    )
    return effects.Log("move", ref.job_id, "stopping", inputs)
