"""The tasks of a job that are ready to be placed."""

from collections.abc import Iterator

from gypsumhold.model.jobs import progress, records


def iterate_ready_tasks(
    job: progress.Job,
) -> Iterator[tuple[progress.Step, int]]:
    """Yields the step and the index of each ready task in an open step."""
    for step in job.steps:
        if not step.open:
            continue
        for index, task in enumerate(step.tasks):
            if task.state is records.TaskState.READY:
                yield step, index


def has_ready_task(job: progress.Job) -> bool:
    """Tells whether a task of an open step is ready."""
    return any(True for _ in iterate_ready_tasks(job))


def has_ordinary_ready_task(job: progress.Job) -> bool:
    """Tells whether a ready task of an open step is not best-effort."""
    return any(not step.spec.fills for step, _ in iterate_ready_tasks(job))
