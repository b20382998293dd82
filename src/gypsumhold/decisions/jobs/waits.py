"""Follows how long jobs and long-running tasks have no run that works, and why.

A wait begins when a task is ready, or its run is halted, and nothing of its job
works; for a task that runs until its job is cancelled, when it is ready itself.
It ends when a report tells that the worker has confirmed a start, or that a run
works again. The present stage follows from the state of the tasks, and before a
placement from what the latest plan met.
"""

import datetime

from gypsumhold.decisions.jobs import lifecycle, starvation, wait_logs
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    progress,
    records,
    runs,
    scheduler,
    specs,
    waits,
)

EffectList = list[base_effects.Effect]

_RUN_STAGES = (
    waits.WaitStage.HALTED,
    waits.WaitStage.STOP,
    *waits.PLACED_STAGES,
)
"""The stages of a task that has a run or is placed, in their order."""


def update(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> EffectList:
    """Begins, continues or ends the waits of the jobs that have changed."""
    emitted: EffectList = []
    run_waits = holder_state.run_waits
    # In the order of their ids, as that of a set depends on the hash seed.
    for job_id in sorted(run_waits.touched):
        job = holder_state.open_jobs.get(job_id)
        if job is None:
            _forget(holder_state, job_id)
        else:
            emitted += _update_job(holder_state, job, None, now)
    run_waits.touched.clear()
    return emitted


def begin_at_takeover(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> EffectList:
    """Begins the waits of the jobs that a new holder has loaded.

    Since when nothing of them runs is not known, so each counts as having
    waited for as long as the placement policy may delay a job, or since it was
    submitted. The agents of placed tasks still have to report.
    """
    emitted: EffectList = []
    assumed = now - starvation.MAX_PLACEMENT_DELAY
    for job in holder_state.open_jobs.values():
        since = min(max(assumed, job.submitted_at), now)
        emitted += _update_job(holder_state, job, since, now)
        if job.has_placed_task():
            starvation.note_placement(holder_state, job, now)
    return emitted


def begin_at_end(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    ended_at: datetime.timedelta,
    now: datetime.timedelta,
) -> EffectList:
    """Updates the waits of a job after the end of one of its runs.

    Args:
        holder_state: State of the held queue.
        job: The job.
        ended_at: When the worker listed the end.
        now: Current time.
    """
    if not job.is_open():
        return []
    return _update_job(holder_state, job, min(ended_at, now), now)


def begin_at_loss(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    ref: runs.TaskRef,
    lost_at: datetime.timedelta,
    now: datetime.timedelta,
) -> EffectList:
    """Updates the waits of a job after a run was lost with its worker.

    A wait may have begun already when a report no longer listed the run; it
    counts from the loss as well.
    """
    emitted = begin_at_end(holder_state, job, lost_at, now)
    run_waits = holder_state.run_waits
    for wait in (
        run_waits.jobs.get(job.spec.job_id),
        run_waits.tasks.get(ref),
    ):
        if wait is not None and lost_at < wait.since:
            unreported = wait.spent.get(waits.WaitStage.REPORT, waits.ZERO)
            unreported += wait.since - lost_at
            wait.spent[waits.WaitStage.REPORT] = unreported
            wait.since = lost_at
    return emitted


def note_obstacle(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    obstacle: waits.WaitStage,
    task: runs.TaskRef | None = None,
) -> None:
    """Records what kept a plan from placing a ready task of a job."""
    run_waits = holder_state.run_waits
    job_id = job.spec.job_id
    wait = run_waits.jobs.get(job_id) if task is None else None
    if task is not None:
        wait = run_waits.tasks.get(task)
    if wait is not None and wait.obstacle is not obstacle:
        wait.obstacle = obstacle
        run_waits.touched.add(job_id)


def is_waiting(holder_state: scheduler.HolderState, job: progress.Job) -> bool:
    """Tells whether no run of a job, or of a long-running task of it, works."""
    run_waits = holder_state.run_waits
    if job.spec.job_id in run_waits.jobs:
        return True
    return job.is_long_running() and any(
        ref.job_id == job.spec.job_id for ref in run_waits.tasks
    )


def _forget(holder_state: scheduler.HolderState, job_id: specs.JobId) -> None:
    """Drops the waits of a job that has ended."""
    run_waits = holder_state.run_waits
    run_waits.jobs.pop(job_id, None)
    for ref in [ref for ref in run_waits.tasks if ref.job_id == job_id]:
        del run_waits.tasks[ref]


def _update_job(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    since: datetime.timedelta | None,
    now: datetime.timedelta,
) -> EffectList:
    """Updates the waits of one open job.

    Args:
        holder_state: State of the held queue.
        job: The job.
        since: When its latest run ended, from which new waits count; None if
            that is not why they begin.
        now: Current time.
    """
    emitted: EffectList = []
    if job.is_long_running():
        emitted += _update_long_running(
            holder_state, job, now if since is None else since, now
        )
    run_waits = holder_state.run_waits
    job_id = job.spec.job_id
    wait = run_waits.jobs.get(job_id)
    working = find_working_task(job)
    stage = None
    if working is None:
        stage = _find_job_stage(holder_state, job, wait)
    if stage is not None:
        if wait is None:
            wait = _begin(job, None, _find_begin(job, since, now), now)
        run_waits.jobs[job_id] = wait
        wait.enter(stage, now)
    elif wait is not None:
        del run_waits.jobs[job_id]
        emitted += _end(holder_state, wait, working, now)
    return emitted


def find_working_task(job: progress.Job) -> progress.Task | None:
    """Returns a task whose current run is confirmed and not halted.

    The one that was found last is looked at first: it works on in most cases.
    """
    known = job.working_task
    if known is not None and known.is_working() and not job.has_gangs():
        return known
    job.working_task = next(
        (
            task
            for step in job.steps
            if step.open
            and not step.lacks_gang_member()
            and not step.has_halted_member()
            for task in step.tasks
            if task.is_working()
        ),
        None,
    )
    return job.working_task


def _find_begin(
    job: progress.Job,
    ended_at: datetime.timedelta | None,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Returns since when nothing of a job works.

    That is when its latest run ended or its last one was halted, whichever is
    later, and now if neither is known.
    """
    times = [
        task.halted_since
        for step in job.steps
        if step.open
        for task in step.tasks
        if task.is_running() and task.halted_since is not None
    ]
    if ended_at is not None:
        times.append(ended_at)
    return max(times, default=now)


def _find_job_stage(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    wait: waits.RunWait | None,
) -> waits.WaitStage | None:
    """Returns the stage of a job of which nothing runs.

    None if no task is ready or placed, as in a timed job between repetitions.
    """
    stages = {
        waits.WaitStage.HALTED
        if task.is_running() and step.has_halted_member()
        else _find_task_stage(holder_state, job, task, wait)
        for step in job.steps
        if step.open and not step.spec.long_running
        for task in step.tasks
        if task.is_placed() or task.state is records.TaskState.READY
    }
    if not stages:
        return None
    return max(stages, key=_list_position)


def _list_position(stage: waits.WaitStage) -> int:
    """Returns how far a stage is on the way to a run that works."""
    if stage in _RUN_STAGES:
        return 1 + _RUN_STAGES.index(stage)
    return 0


def _find_task_stage(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    task: progress.Task,
    wait: waits.RunWait | None,
) -> waits.WaitStage:
    """Returns the stage of a task that is ready or placed and does not work."""
    if not task.is_placed():
        return _find_first_obstacle(job) if wait is None else wait.obstacle
    if task.migrating:
        return waits.WaitStage.STOP
    if task.is_running() and not task.is_working():
        return waits.WaitStage.HALTED
    if task.batch > holder_state.stored_batch:
        return waits.WaitStage.STORE
    if not task.reported:
        return waits.WaitStage.AGENT
    return waits.WaitStage.START


def _find_first_obstacle(job: progress.Job) -> waits.WaitStage:
    """Returns the obstacle of a wait that begins.

    A plan that failed for the job may have been made before.
    """
    if job.set_aside is None:
        return waits.WaitStage.PLAN
    return waits.WaitStage.SET_ASIDE


def _update_long_running(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    since: datetime.timedelta,
    now: datetime.timedelta,
) -> EffectList:
    """Updates the waits of the long-running tasks of a job."""
    emitted: EffectList = []
    run_waits = holder_state.run_waits
    for step in job.steps:
        if not step.spec.long_running or not step.open:
            continue
        for index, task in enumerate(step.tasks):
            ref = lifecycle.build_task_ref(job, step, index)
            wait = run_waits.tasks.get(ref)
            if task.is_running():
                if wait is not None:
                    del run_waits.tasks[ref]
                    emitted += _end(holder_state, wait, task, now)
                continue
            stage = _find_task_stage(holder_state, job, task, wait)
            wait = wait or _begin(job, ref, since, now)
            run_waits.tasks[ref] = wait
            wait.enter(stage, now)
    return emitted


def _begin(
    job: progress.Job,
    task: runs.TaskRef | None,
    since: datetime.timedelta,
    now: datetime.timedelta,
) -> waits.RunWait:
    wait = waits.RunWait(
        job.spec.job_id,
        task,
        since,
        waits.WaitStage.REPORT,
        since,
        _find_first_obstacle(job),
    )
    wait.enter(waits.WaitStage.PLAN, now)
    return wait


def _end(
    holder_state: scheduler.HolderState,
    wait: waits.RunWait,
    working: progress.Task | None,
    now: datetime.timedelta,
) -> EffectList:
    """Ends a wait; returns its duration for the metrics, and a log line.

    The wait lasted until the worker confirmed the run, which is reported a
    little later, or until a halted run worked. Without a run, its tasks ended
    otherwise.
    """
    if working is None:
        return []
    started_at = max(now - (working.age or datetime.timedelta(0)), wait.since)
    if wait.stage is waits.WaitStage.HALTED:
        started_at = now
    spent = wait.list_spent(started_at)
    longest = max(spent, key=lambda stage: spent[stage])
    emitted: EffectList = [
        effects.MeasureWait(longest, wait.measure(started_at))
    ]
    if wait.measure(started_at) >= wait_logs.LOGGED_WAIT:
        emitted += wait_logs.log_wait(holder_state, wait, "ended", started_at)
    return emitted
