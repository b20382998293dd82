"""Bounds the stored size of the progress of jobs.

The store keeps the progress of a job in one row, and limits the size of a row
and of a transaction. A holder whose batch is too large could never store
anything again, so plans and batches stay below these limits. The sizes are
upper bounds for any compact encoding of the records.
"""

from collections.abc import Sequence

from gypsumhold.model.jobs import progress, records

MAX_TRANSACTION_BYTES = 600_000
"""Most bytes of progress in one batch. The store accepts 1 MB, in which every
three bytes of a row take four."""

DONE_TASK_BYTES = 18
"""Bytes of a task that has no checkpoint and no instance."""

PLACED_TASK_BYTES = 170
"""Bytes of a placed task, with the names of its instance and worker."""

FAILED_RUN_BYTES = 5
"""Bytes of the number of a failed run."""

CRASH_BYTES = 80
"""Bytes of a crash, with the name of the instance."""

MAX_TASK_BYTES = 380
"""Bytes of a placed task with a checkpoint, some failed runs and crashes."""

LARGE_JOB_TASKS = 300
"""Tasks and crashes from which a job counts as large: fewer always fit into
one row."""


def is_large(job: progress.Job) -> bool:
    """Tells whether the progress of a job may exceed one row."""
    tasks = sum(len(step.tasks) for step in job.steps)
    if tasks > LARGE_JOB_TASKS:
        return True
    crashes = sum(
        len(task.crashes) for step in job.steps for task in step.tasks
    )
    return tasks + crashes > LARGE_JOB_TASKS


def choose_storable_jobs(jobs: Sequence[progress.Job]) -> list[progress.Job]:
    """Returns the first jobs that one batch can store; at least one."""
    tasks = sum(len(step.tasks) for job in jobs for step in job.steps)
    if tasks * MAX_TASK_BYTES <= MAX_TRANSACTION_BYTES:
        return list(jobs)
    chosen: list[progress.Job] = []
    size = 0
    for job in jobs:
        size += estimate_record(job)
        if chosen and size > MAX_TRANSACTION_BYTES:
            break
        chosen.append(job)
    return chosen


def estimate_record(job: progress.Job) -> int:
    """Returns the most bytes that the stored progress of a job takes."""
    if not job.is_open():
        return DONE_TASK_BYTES
    return sum(
        DONE_TASK_BYTES
        if is_compact(job, step)
        else sum(map(_estimate_task, step.tasks))
        for step in job.steps
        if any(task.run for task in step.tasks)
    )


def is_compact(job: progress.Job, step: progress.Step) -> bool:
    """Tells whether a step is stored without its tasks, which are all done."""
    return is_large(job) and step.is_done()


def _estimate_task(task: progress.Task) -> int:
    failed = FAILED_RUN_BYTES * len(task.failed_runs)
    if task.state is records.TaskState.DONE:
        return DONE_TASK_BYTES + failed
    crashed = CRASH_BYTES * len(task.crashes)
    fixed = DONE_TASK_BYTES
    if task.state is records.TaskState.PLACED:
        fixed = PLACED_TASK_BYTES
    return fixed + len(task.checkpoint) + failed + crashed


def count_storable_placements(job: progress.Job, row_bytes: int) -> int:
    """Returns how many more tasks of a job can be placed.

    Args:
        job: The job.
        row_bytes: Most bytes of one row.
    """
    unplaced = sum(len(step.tasks) for step in job.steps)
    if not is_large(job):
        return unplaced
    # Tasks that have never run are not yet part of the estimate.
    unstored = sum(
        len(step.tasks) * DONE_TASK_BYTES
        for step in job.steps
        if step.open and not any(task.run for task in step.tasks)
    )
    left = row_bytes - estimate_record(job) - unstored
    return max(0, left // (PLACED_TASK_BYTES - DONE_TASK_BYTES))
