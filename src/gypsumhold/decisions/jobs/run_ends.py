"""Applies the ends of runs to their tasks and jobs, and to their instance."""

import datetime

from gypsumhold.decisions.jobs import lifecycle, repetitions, waits
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    messages,
    progress,
    records,
    runs,
    scheduler,
)

# An instance is quarantined once runs of this many different jobs have failed
# on it without a success in between.
MAX_FAILED_JOBS = 2

# The first quarantine; each further one without a success in between doubles
# it, up to the maximum.
FIRST_QUARANTINE = datetime.timedelta(seconds=3)
MAX_QUARANTINE = datetime.timedelta(seconds=12)


def handle_run_end(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    row: runs.EndRow,
    now: datetime.timedelta,
    ended_at: datetime.timedelta | None = None,
) -> list[base_effects.Effect]:
    """Applies the end of a run that the worker of an agent listed.

    Args:
        holder_state: State of the held queue.
        view: The agent.
        row: The end.
        now: Current time.
        ended_at: When the agent saw the end in the list of the worker; None
            if that was just now.
    """
    _note_begin(holder_state, row.ref)
    ref = row.ref.task
    placed = view.placed.get(ref)
    if placed is None or placed.task.run != row.ref.run:
        return [
            _log_end(
                view, row, _handle_former_run_end(holder_state, view, row, now)
            )
        ]
    if row.checkpoint:
        placed.task.checkpoint = row.checkpoint
    lifecycle.release_task(holder_state, ref, placed)
    if not placed.job.is_open():
        return [_log_end(view, row, "job is closed")]
    if placed.task.is_done():
        return [_log_end(view, row, "its gang is done")]
    if row.end is runs.RunEnd.DONE:
        _finish_task(holder_state, view, placed, now)
    elif row.end is runs.RunEnd.FAILED:
        _fail_task(holder_state, view, placed, row.ref.run, now)
    return [
        _log_end(view, row, f"job {placed.job.state.value}"),
        *waits.begin_at_end(holder_state, placed.job, ended_at or now, now),
    ]


def _note_begin(holder_state: scheduler.HolderState, ref: runs.RunRef) -> None:
    """Records that a job has begun, as a run of it has ended.

    A run that was never placed belongs to an earlier job with the same id.
    """
    job = holder_state.jobs.get(ref.task.job_id)
    task = None if job is None else job.find_task(ref.task)
    if job is not None and task is not None and ref.run <= task.run:
        job.has_begun = True


def _handle_former_run_end(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    row: runs.EndRow,
    now: datetime.timedelta,
) -> str:
    """Applies the end of a run that the holder had already released.

    This happens when an agent is cut off until its grant expires and reports
    the end afterwards. A run that is done completes its task or its gang, and
    what was started elsewhere in the meantime is stopped. A run that failed
    counts as an attempt.

    Returns:
        The outcome for the decision log.
    """
    ref = row.ref.task
    job = holder_state.jobs.get(ref.job_id)
    task = None if job is None else job.find_task(ref)
    if job is None or task is None or not job.is_open():
        return "ignored: job is closed"
    step = job.find_step(ref)
    is_former = row.ref.run <= task.run
    if step.spec.long_running or not is_former or task.is_done():
        return "ignored: not the present run"
    placed = scheduler.PlacedTask(job, step, task)
    if row.end is runs.RunEnd.FAILED:
        _fail_task(holder_state, view, placed, row.ref.run, now)
        return f"a former run failed; job {job.state.value}"
    if row.end is not runs.RunEnd.DONE:
        return "ignored: not the present run"
    _release_unit(holder_state, placed)
    _finish_task(holder_state, view, placed, now)
    return f"a former run was done; job {job.state.value}"


def _release_unit(
    holder_state: scheduler.HolderState, placed: scheduler.PlacedTask
) -> None:
    """Releases a task, or all tasks of its gang, from their instances."""
    unit = placed.step.list_unit(placed.task)
    for index, task in enumerate(placed.step.tasks):
        if any(task is member for member in unit):
            lifecycle.release_task(
                holder_state,
                lifecycle.build_task_ref(placed.job, placed.step, index),
                scheduler.PlacedTask(placed.job, placed.step, task),
            )


def _log_end(
    view: scheduler.AgentView, row: runs.EndRow, outcome: str
) -> effects.Log:
    return effects.Log(
        "run-ended",
        row.ref.task.job_id,
        outcome,
        (
            ("task", str(row.ref.task)),
            ("run", str(row.ref.run)),
            ("end", row.end.value),
            ("instance", view.instance),
            ("number", str(row.number)),
            ("age_ms", str(row.age_ms)),
        ),
    )


def _finish_task(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    placed: scheduler.PlacedTask,
    now: datetime.timedelta,
) -> None:
    """Marks a task as done; completes the job with its last task.

    In a gang, all tasks are done with the first one. A long-running task stays
    ready and starts anew, without a checkpoint.
    """
    view.failed_jobs.clear()
    view.quarantines = 0
    if placed.step.spec.long_running:
        placed.task.checkpoint = runs.Checkpoint("")
        return
    finished = placed.step.tasks if placed.step.spec.gang else [placed.task]
    for task in finished:
        task.state = records.TaskState.DONE
    if placed.step.is_done():
        repetitions.open_steps(placed.job)
    count = max(1, placed.job.spec.repetitions)
    all_due = placed.job.next_repetition >= count
    if all_due and all(step.is_done() for step in placed.job.steps):
        lifecycle.close_job(
            holder_state, placed.job, messages.JobState.COMPLETED, now
        )


def _fail_task(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    placed: scheduler.PlacedTask,
    run: runs.RunNumber,
    now: datetime.timedelta,
) -> None:
    """Counts a failed run once; fails the job after the last attempt.

    A run of a gang counts once, however many of its tasks fail in it, and none
    of them starts on that instance next. Long-running tasks may fail any number
    of times.
    """
    if run in placed.task.failed_runs:
        return
    _count_failed_job(view, placed.job, now)
    for task in placed.step.list_unit(placed.task):
        task.excluded_instances.add(view.instance)
    if placed.step.spec.long_running:
        return
    placed.task.failures += 1
    placed.task.failed_runs.add(run)
    lifecycle.mark_dirty(holder_state, placed.job)
    attempts = _count_attempts(placed)
    if attempts >= placed.job.spec.queue.max_attempts:
        lifecycle.close_job(
            holder_state, placed.job, messages.JobState.FAILED, now
        )


def _count_attempts(placed: scheduler.PlacedTask) -> int:
    """Returns how many runs of a task, or of its gang, have failed.

    The tasks of a gang share the number of each run. Rows of former versions
    have the number of failures of each task, but not the runs.
    """
    unit = placed.step.list_unit(placed.task)
    failed_runs = {run for task in unit for run in task.failed_runs}
    return max(len(failed_runs), *(task.failures for task in unit))


def _count_failed_job(
    view: scheduler.AgentView, job: progress.Job, now: datetime.timedelta
) -> None:
    """Records a failure; quarantines an instance that fails unrelated jobs.

    Failures of one job alone may be the fault of the job.
    """
    view.failed_jobs.add(job.spec.job_id)
    if len(view.failed_jobs) < MAX_FAILED_JOBS:
        return
    view.quarantined_until = now + min(
        FIRST_QUARANTINE * 2**view.quarantines, MAX_QUARANTINE
    )
    view.quarantines += 1
    view.failed_jobs.clear()
