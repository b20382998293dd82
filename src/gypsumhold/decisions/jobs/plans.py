"""Plans: places the ready tasks of open jobs on workers."""

import datetime

from gypsumhold.decisions.jobs import (
    capacity,
    job_placements,
    migrations,
    ordering,
    waits,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, progress, scheduler
from gypsumhold.model.jobs.waits import WaitStage

EffectList = list[base_effects.Effect]

MAX_CHANGED_JOBS = 60
"""Changed jobs at which a plan stops, so that one batch can store them."""

MISSES_BEFORE_SKIP = 40
"""Tasks without a candidate after which a plan skips all but starved jobs,
which have to get a run in the end, and those of which a task may not wait."""


def place_ready_tasks(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Places ready tasks as far as the free capacity allows.

    A job for which this raises an exception is set aside, so that it does not
    stop the others.
    """
    emitted = _estimate_jobs(state, holder_state, now)
    candidates = capacity.build_candidates(state, holder_state, now)
    if not candidates:
        return emitted
    jobs = state.policies.ordering.sort(
        [
            job
            for job in holder_state.open_jobs.values()
            if not job.set_aside
            and (
                job_placements.has_ready_task(job)
                or job.has_best_effort_steps()
            )
        ],
        now,
    )
    plan = job_placements.Plan(state, holder_state, candidates, now)
    migrations_due = holder_state.migrations_due
    holder_state.migrations_due = False
    misses = 0
    for position, job in enumerate(jobs):
        starved = _is_starved(job, now)
        if len(holder_state.dirty) >= MAX_CHANGED_JOBS:
            holder_state.plan_due = True
            for left_job in jobs[position:]:
                waits.note_obstacle(
                    holder_state, left_job, WaitStage.PLAN_LIMIT
                )
            break
        if misses >= MISSES_BEFORE_SKIP and not (
            starved or job.is_migrating() or job.is_long_running()
        ):
            waits.note_obstacle(holder_state, job, WaitStage.PLAN_LIMIT)
            continue
        try:
            if migrations_due:
                emitted += migrations.migrate_slow_tasks(
                    state, holder_state, job, candidates, now
                )
            placement = job_placements.JobPlacement(plan, job, starved=starved)
            placement.place_tasks()
        except Exception as problem:
            emitted.append(_set_aside(job, problem))
            continue
        emitted += placement.emitted
        misses += placement.misses
    return emitted


def _set_aside(job: progress.Job, problem: Exception) -> base_effects.Effect:
    """Excludes a job from all plans of this holder; returns the log line.

    Tasks that were placed already go on.
    """
    job.set_aside = True
    inputs = (("problem", repr(problem)),)
    return effects.Log(
        "job-set-aside", job.spec.job_id, "cancel and correct it", inputs
    )


def _estimate_jobs(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Estimates the open jobs and works out which ones give way to others."""
    emitted: EffectList = []
    for job in holder_state.open_jobs.values():
        best_effort = job.has_best_effort_steps()
        if job.set_aside or not (
            best_effort or job_placements.has_ready_task(job)
        ):
            continue
        try:
            gives_way = ordering.gives_way(job, now, state.policies.estimates)
        except Exception as problem:
            emitted.append(_set_aside(job, problem))
            continue
        if best_effort and gives_way is not job.gives_way:
            _change_priority(holder_state, job, gives_way)
    return emitted


def _change_priority(
    holder_state: scheduler.HolderState, job: progress.Job, gives_way: bool
) -> None:
    """Lets the best-effort tasks of a job give way to others, or not.

    The capacity where they are placed has to be counted anew.
    """
    job.gives_way = gives_way
    for step in job.steps:
        for task in step.tasks:
            view = holder_state.agents.get(task.instance)
            if view is not None and task.is_placed():
                view.candidate = None


def _is_starved(job: progress.Job, now: datetime.timedelta) -> bool:
    """Tells whether a job has had no run for `job_placements.STARVATION_TIME`.

    Starts `starved_since`, from which that time counts. A placement does not
    end it, as the run may be refused; no more is placed while one is on its
    way.
    """
    if job.has_placed_task():
        return False
    if job.starved_since is None:
        job.starved_since = now
    return now - job.starved_since >= job_placements.STARVATION_TIME
