"""Plans: places the ready tasks of open jobs on workers."""

import datetime
from collections.abc import Sequence

from gypsumhold.decisions.jobs import (
    capacity,
    job_placements,
    migrations,
    ordering,
    starvation,
    waits,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, progress, scheduler, specs
from gypsumhold.model.jobs.waits import WaitStage

EffectList = list[base_effects.Effect]

MAX_CHANGED_JOBS = 60
"""Changed jobs at which a plan stops, so that one batch can store them."""

MIN_CHANGED_JOBS = 20
"""Jobs that a plan may change in any case. Where ends alone change more jobs
than a batch takes, nothing would be placed otherwise."""

MAX_PLACEMENTS = 60
"""Placements at which a plan stops. Each one takes time in the plan, the batch
and the push of its start, for which all other jobs wait."""

MAX_STARVED_JOBS = 60
"""Most starved jobs that a plan places beyond these limits, so that one batch
can store them."""

MISSES_BEFORE_SKIP = 40
"""Best-effort tasks without a candidate after which a plan skips the other jobs
that have such tasks, but for starved ones, which have to get a run in the end,
and those of which a task may not wait."""


def place_ready_tasks(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Places ready tasks as far as the free capacity allows.

    The order of the jobs is that of the policy. Jobs that have been without a
    run for too long get one also if the plan ends before them. A job for which
    this raises an exception is set aside, so that it does not stop the others.
    """
    jobs = _list_plannable(holder_state)
    emitted = _estimate_jobs(state, holder_state, jobs, now)
    candidates = capacity.build_candidates(state, holder_state, now)
    if not candidates:
        return emitted
    plan = job_placements.Plan(state, holder_state, candidates, now)
    starved = {
        job.spec.job_id: job
        for job in starvation.list_starved_jobs(holder_state, now)
    }
    emitted += _place_in_order(plan, jobs, starved)
    return [*emitted, *_place_starved(plan, starved)]


def _list_plannable(
    holder_state: scheduler.HolderState,
) -> list[progress.Job]:
    """Returns the jobs that may have a task to place or to migrate."""
    return [
        job
        for job in holder_state.open_jobs.values()
        if not job.set_aside
        and (job.has_best_effort_steps() or job_placements.has_ready_task(job))
    ]


def _place_in_order(
    plan: job_placements.Plan,
    plannable: Sequence[progress.Job],
    starved: dict[specs.JobId, progress.Job],
) -> EffectList:
    """Places jobs in the order of the policy, up to the limits of a plan.

    Args:
        plan: The plan.
        plannable: The jobs that it looks at.
        starved: The starved jobs; those that are looked at are removed.
    """
    state, holder_state, now = plan.state, plan.holder_state, plan.now
    jobs = state.policies.ordering.sort(
        [job for job in plannable if not job.set_aside], now
    )
    migrations_due = holder_state.migrations_due
    holder_state.migrations_due = False
    limit = max(MAX_CHANGED_JOBS, len(holder_state.dirty) + MIN_CHANGED_JOBS)
    emitted: EffectList = []
    misses = 0
    left = MAX_PLACEMENTS
    for position, job in enumerate(jobs):
        if len(holder_state.dirty) >= limit or left <= 0:
            holder_state.plan_due = True
            for left_job in jobs[position:]:
                waits.note_obstacle(
                    holder_state, left_job, WaitStage.PLAN_LIMIT
                )
            break
        is_starved = job.spec.job_id in starved
        may_skip = job.has_best_effort_steps() and not (
            is_starved or job.is_migrating() or job.is_long_running()
        )
        if misses >= MISSES_BEFORE_SKIP and may_skip:
            waits.note_obstacle(holder_state, job, WaitStage.PLAN_LIMIT)
            continue
        starved.pop(job.spec.job_id, None)
        placement = _place_job(
            plan, job, left, starved=is_starved, migrations_due=migrations_due
        )
        emitted += placement.emitted
        misses += placement.misses
        left -= placement.placed
    if left <= 0:
        holder_state.plan_due = True
    return emitted


def _place_starved(
    plan: job_placements.Plan, starved: dict[specs.JobId, progress.Job]
) -> EffectList:
    """Places one task, or one gang, of each starved job that is left."""
    emitted: EffectList = []
    for job in list(starved.values())[:MAX_STARVED_JOBS]:
        emitted += _place_job(plan, job, 1, starved=True).emitted
    if len(starved) > MAX_STARVED_JOBS:
        plan.holder_state.plan_due = True
    return emitted


def _place_job(
    plan: job_placements.Plan,
    job: progress.Job,
    most: int,
    *,
    starved: bool,
    migrations_due: bool = False,
) -> job_placements.Placement:
    """Places at most so many tasks of a job; sets it aside if that fails."""
    placement = job_placements.Placement()
    try:
        if migrations_due:
            placement.emitted += migrations.migrate_slow_tasks(
                plan.state, plan.holder_state, job, plan.candidates, plan.now
            )
        job_placements.place_tasks(plan, job, placement, most, starved=starved)
    except Exception as problem:
        placement.emitted.append(_set_aside(job, problem))
    return placement


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
    jobs: Sequence[progress.Job],
    now: datetime.timedelta,
) -> EffectList:
    """Estimates jobs and works out which ones give way to others.

    A job that cannot be estimated is set aside.
    """
    emitted: EffectList = []
    policy = state.policies.estimates
    for job in jobs:
        try:
            if not job.has_best_effort_steps():
                ordering.is_late(job, now, policy)
                continue
            gives_way = ordering.gives_way(job, now, policy)
        except Exception as problem:
            emitted.append(_set_aside(job, problem))
            continue
        if gives_way is not job.gives_way:
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
