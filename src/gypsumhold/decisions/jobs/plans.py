"""Plans: places the ready tasks of open jobs on workers."""

import datetime
from collections.abc import Iterator

from gypsumhold.decisions.jobs import (
    capacity,
    choices,
    lifecycle,
    migrations,
    ordering,
    probations,
    record_sizes,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    policies,
    progress,
    records,
    scheduler,
)

EffectList = list[base_effects.Effect]

MAX_CHANGED_JOBS = 60
"""Changed jobs at which a plan stops, so that one batch can store them."""

MAX_TIME_WITHOUT_RUN = datetime.timedelta(seconds=3)
"""Longest time that a job may be without a run while workers have room."""

STARVATION_TIME = MAX_TIME_WITHOUT_RUN / 2
"""Time without a run after which a job gets one that the policy delays, and a
long-running task may use workers on which it has failed. The rest is for the
plan, the batch that stores it, and the start."""

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
            and (_has_ready_task(job) or job.has_best_effort_steps())
        ],
        now,
    )
    migrations_due = holder_state.migrations_due
    holder_state.migrations_due = False
    misses = 0
    for job in jobs:
        starved = _is_starved(job, now)
        if len(holder_state.dirty) >= MAX_CHANGED_JOBS:
            holder_state.plan_due = True
            break
        if misses >= MISSES_BEFORE_SKIP and not (
            starved or job.is_migrating() or job.is_long_running()
        ):
            continue
        try:
            if migrations_due:
                emitted += migrations.migrate_slow_tasks(
                    state, holder_state, job, candidates, now
                )
            placements, new_misses = _place_job(
                state, holder_state, job, candidates, starved=starved, now=now
            )
        except Exception as problem:
            emitted.append(_set_aside(job, problem))
            continue
        emitted += placements
        misses += new_misses
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
        if job.set_aside or not (best_effort or _has_ready_task(job)):
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


def _has_ready_task(job: progress.Job) -> bool:
    return any(True for _ in _iterate_ready_tasks(job))


def _iterate_ready_tasks(
    job: progress.Job,
) -> Iterator[tuple[progress.Step, int]]:
    """Yields the step and the index of each ready task in an open step."""
    for step in job.steps:
        if not step.open:
            continue
        for index, task in enumerate(step.tasks):
            if task.state is records.TaskState.READY:
                yield step, index


def _place_job(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    job: progress.Job,
    candidates: dict[str, policies.Candidate],
    *,
    starved: bool,
    now: datetime.timedelta,
) -> tuple[EffectList, int]:
    """Places the ready tasks of one job.

    A starved job gets one task placed regardless of the placement policy, and
    a migrating task is placed in any case.

    Returns:
        The emitted effects and the number of tasks without a candidate.
    """
    emitted: EffectList = []
    misses = 0
    had_placed_task = job.has_placed_task()
    skipped_steps: set[int] = set()
    usable_by_step: dict[int, dict[str, policies.Candidate]] = {}
    budget = record_sizes.PlacementBudget(job, state.options.row_bytes)
    for step, index in list(_iterate_ready_tasks(job)):
        may_start = budget.allows(step) and probations.may_start(
            step, index, candidates
        )
        if id(step) in skipped_steps or not may_start:
            continue
        if id(step) not in usable_by_step:
            usable_by_step[id(step)] = (
                candidates
                if starved
                else capacity.select_sound(candidates, job, step)
            )
        usable = usable_by_step[id(step)]
        if step.spec.gang:
            skipped_steps.add(id(step))
            if not budget.allows(step, len(step.tasks)):
                continue
            if starved and not step.is_suspect(step.tasks[0]):
                _clear_exclusions(step)
            placements = _place_gang(
                state, holder_state, job, step, candidates=usable, now=now
            )
            emitted += placements
            budget.take(step, len(placements))
            if not placements:
                placed = scheduler.PlacedTask(job, step, step.tasks[index])
                _reserve_worker(holder_state, placed, candidates, now)
            continue
        task = step.tasks[index]
        is_suspect = step.is_suspect(task)
        if starved and not is_suspect or _is_blocked(step, task, now):
            # No worker that it has not tried has room: it may run anywhere.
            task.excluded_instances.clear()
            usable = candidates
        candidate = choices.choose_candidate(
            state, job, step, task, usable, late=job.gives_way
        )
        if candidate is None and (starved or task.migrating):
            # A task that was stopped for a migration had a worker before.
            candidate = choices.choose_emptiest(job, step, task, usable)
            starved = False
        if candidate is None:
            placed = scheduler.PlacedTask(job, step, task)
            _reserve_worker(holder_state, placed, candidates, now)
            misses += not is_suspect
            task.blocked_since = task.blocked_since or now
            # Where a task without exclusions finds no candidate, the other
            # tasks of its step find none either.
            if not step.tasks[index].excluded_instances:
                skipped_steps.add(id(step))
            continue
        task.is_only_run = not (had_placed_task or emitted)
        budget.take(step)
        emitted.append(
            _place_task(
                holder_state, job, step, index, candidate=candidate, now=now
            )
        )
    return emitted, misses


def _reserve_worker(
    holder_state: scheduler.HolderState,
    placed: scheduler.PlacedTask,
    candidates: dict[str, policies.Candidate],
    now: datetime.timedelta,
) -> None:
    """Keeps a worker free for a task if it is a suspect."""
    job, step, task = placed.job, placed.step, placed.task
    if step.is_suspect(task):
        fitting = choices.list_fitting(job, step, task, candidates)
        probations.reserve_worker(holder_state, candidates, fitting, now)


def _is_starved(job: progress.Job, now: datetime.timedelta) -> bool:
    """Tells whether a job has had no run for `STARVATION_TIME`.

    Starts `starved_since`, from which that time counts. A placement does not
    end it, as the run may be refused; no more is placed while one is on its
    way.
    """
    if job.has_placed_task():
        return False
    if job.starved_since is None:
        job.starved_since = now
    return now - job.starved_since >= STARVATION_TIME


def _clear_exclusions(step: progress.Step) -> None:
    for task in step.tasks:
        task.excluded_instances.clear()


def _is_blocked(
    step: progress.Step, task: progress.Task, now: datetime.timedelta
) -> bool:
    """Tells whether a task has had no worker for too long.

    This is for long-running tasks and for those under which workers crashed.
    Tasks of other kinds wait while the rest of their job runs, so that their
    attempts are not used up on the same workers.
    """
    return (
        (step.spec.long_running or step.is_suspect(task))
        and task.blocked_since is not None
        and now - task.blocked_since >= STARVATION_TIME
    )


def _place_task(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    step: progress.Step,
    index: int,
    *,
    candidate: policies.Candidate,
    now: datetime.timedelta,
) -> base_effects.Effect:
    """Places a task and reserves its capacity; returns the log line."""
    ref = lifecycle.build_task_ref(job, step, index)
    task = step.tasks[index]
    free_millis = candidate.cpu_millis
    capacity.reserve(candidate, step, ref, deferred=job.gives_way)
    probations.record_start(candidate, step, task)
    view = holder_state.agents[candidate.instance]
    lifecycle.place_task(
        holder_state, view, scheduler.PlacedTask(job, step, task), ref, now
    )
    return effects.Log(
        "place",
        job.spec.job_id,
        str(candidate.instance),
        (
            ("task", str(ref)),
            ("run", str(task.run)),
            ("free_millis", str(free_millis)),
            (
                "filler_cores",
                f"{sum(candidate.best_effort_cores.values()):.1f}",
            ),
            ("report_ms", str(lifecycle.to_ms(now - view.last_report_at))),
        ),
    )


def _place_gang(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    job: progress.Job,
    step: progress.Step,
    *,
    candidates: dict[str, policies.Candidate],
    now: datetime.timedelta,
) -> EffectList:
    """Places all tasks of a gang with the same run number, or none of them.

    Nothing is placed unless every task is ready and the placement policy, tried
    on copies of the candidates, chooses one for each task. A task of a
    colocated step goes to a rack already chosen if the policy chooses a
    candidate there, and to any rack otherwise. All tasks start from the same
    checkpoint.

    Returns:
        A log line for each placed task; no effects if none was placed.
    """
    ready = records.TaskState.READY
    if any(task.state is not ready for task in step.tasks):
        return []
    chosen: list[policies.Candidate] = []
    trial_candidates = {
        name: capacity.copy_candidate(candidate)
        for name, candidate in candidates.items()
    }
    for index, task in enumerate(step.tasks):
        racks = {capacity.find_rack(candidate) for candidate in chosen}
        allowed_candidates = trial_candidates
        if step.spec.colocated and racks:
            same_rack = {
                name: candidate
                for name, candidate in trial_candidates.items()
                if capacity.find_rack(candidate) in racks
            }
            allowed_candidates = (
                same_rack
                if choices.choose_candidate(state, job, step, task, same_rack)
                else trial_candidates
            )
        candidate = choices.choose_candidate(
            state, job, step, task, allowed_candidates
        )
        if candidate is None:
            return []
        capacity.reserve(
            candidate, step, lifecycle.build_task_ref(job, step, index)
        )
        chosen.append(candidates[str(candidate.instance)])
    highest_run = max(task.run for task in step.tasks)
    saved = next(
        (task.checkpoint for task in step.tasks if task.checkpoint), None
    )
    emitted = []
    for index, candidate in enumerate(chosen):
        step.tasks[index].run = highest_run
        if saved is not None:
            step.tasks[index].checkpoint = saved
        emitted.append(
            _place_task(
                holder_state, job, step, index, candidate=candidate, now=now
            )
        )
    return emitted
