"""Records of the progress of a job: applied to a new job, and built."""

import datetime

from gypsumhold.decisions.jobs import record_sizes, repetitions
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    progress,
    records,
    runs,
    scheduler_options,
)


def restore_progress(
    job: progress.Job, record: records.ProgressRecord, now: datetime.timedelta
) -> None:
    """Applies a stored progress record to a new job.

    Raises:
        ValueError: The record has a step that the job does not have, or with
            another number of tasks.
    """
    job.state = job.stored_state = record.state
    if not job.is_open():
        job.ended_at = now
        return
    job.has_begun = record.has_begun or _tells_begun_run(record)
    _restore_done_repetitions(job, record.done_repetitions)
    for step_record in record.steps:
        step = _open_recorded_step(job, step_record)
        if not step_record.tasks:
            _restore_done_step(step)
        for index, saved in enumerate(step_record.tasks):
            task = step.tasks[index]
            task.state = saved.state
            task.run = saved.run
            task.failures = saved.failures
            task.failed_runs = set(saved.failed_runs)
            task.instance = saved.instance
            task.worker_incarnation = saved.worker_incarnation
            task.checkpoint = saved.checkpoint
            task.crashes = saved.crashes
            task.excluded_instances.update(
                crash.instance for crash in saved.crashes
            )
            task.batch = 0
            task.placed_ms = saved.placed_ms
            task.placed_at = task.progressed_at = now
            task.worker_reported_at = now
    repetitions.open_steps(job)


def _tells_begun_run(record: records.ProgressRecord) -> bool:
    """Tells whether a run has left a trace in a record.

    Records of former versions have no other sign that a job has begun. A run
    without a trace is reported by its agent, or its task begins again.
    """
    return record.done_repetitions > 0 or any(
        not step.tasks or any(_has_trace(task) for task in step.tasks)
        for step in record.steps
    )


def _has_trace(task: records.TaskRecord) -> bool:
    return (
        task.state is records.TaskState.DONE
        or task.failures > 0
        or bool(task.checkpoint)
    )


def _open_recorded_step(
    job: progress.Job, step_record: records.StepRecord
) -> progress.Step:
    """Returns the step that a record describes; opens its repetition.

    Raises:
        ValueError: The job has no such step, or not with so many tasks.
    """
    repetition, number = step_record.repetition, step_record.step
    step_specs = job.spec.steps
    is_known = 0 <= repetition < max(1, job.spec.repetitions)
    if not is_known or not 0 <= number < len(step_specs):
        raise ValueError(f"the job has no step {repetition}.{number}")
    count = step_specs[number].count
    if len(step_record.tasks) not in (0, count):
        raise ValueError(
            f"step {repetition}.{number} has {count} tasks,"
            f" its record has {len(step_record.tasks)}"
        )
    while job.next_repetition <= repetition:
        repetitions.add_repetition(job)
    return job.steps[repetition * len(step_specs) + number]


def _restore_done_repetitions(job: progress.Job, count: int) -> None:
    """Opens the first repetitions of a job, whose tasks are all done."""
    while job.next_repetition < min(count, job.spec.repetitions):
        repetitions.add_repetition(job)
    for step in job.steps:
        _restore_done_step(step)


def _restore_done_step(step: progress.Step) -> None:
    """Applies the record of a step that is stored without its tasks."""
    for task in step.tasks:
        task.state = records.TaskState.DONE
        task.run = runs.RunNumber(max(1, task.run))


def build_record(
    job: progress.Job, row_bytes: int = scheduler_options.DEFAULT_ROW_BYTES
) -> records.ProgressRecord:
    """Returns the record that stores the progress of a job.

    Details are left out if it would not fit into a row of `row_bytes`.
    """
    if not job.is_open():
        return records.ProgressRecord(records.FORMAT, job.state, ())
    detail = record_sizes.choose_detail(job, row_bytes)
    layout = record_sizes.choose_layout(job)
    steps = tuple(
        records.StepRecord(
            step.repetition,
            step.number,
            ()
            if layout.is_compact(step)
            else tuple(_build_task_record(task, detail) for task in step.tasks),
        )
        for step in layout.steps
    )
    return records.ProgressRecord(
        records.FORMAT,
        job.state,
        steps,
        layout.done_repetitions,
        job.has_begun,
    )


def _build_task_record(
    task: progress.Task, detail: record_sizes.Detail
) -> records.TaskRecord:
    checkpoint = runs.Checkpoint("")
    if not task.is_done() and record_sizes.keeps_checkpoint(task, detail):
        checkpoint = task.checkpoint
    failed_runs: tuple[runs.RunNumber, ...] = ()
    crashes: tuple[runs.Crash, ...] = ()
    if detail is not record_sizes.Detail.ESSENTIAL:
        failed_runs = tuple(sorted(task.failed_runs))
        crashes = () if task.is_done() else task.crashes
    is_placed = task.is_placed()
    return records.TaskRecord(
        task.state,
        task.run,
        task.failures,
        task.instance if is_placed else ids.InstanceId(""),
        task.worker_incarnation if is_placed else runs.NO_INCARNATION,
        checkpoint,
        failed_runs,
        crashes,
        task.placed_ms if is_placed else records.NEVER_PLACED,
    )
