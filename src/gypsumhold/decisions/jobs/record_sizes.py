"""Bounds the stored size of the progress of jobs.

The store keeps the progress of a job in one row, and limits the size of a row
and of a transaction. A holder whose batch is too large could never store
anything again, so plans and batches stay below these limits. The sizes are
upper bounds for any compact encoding of the records.
"""

import dataclasses
import enum
from collections.abc import Sequence

from gypsumhold.model.jobs import progress

MAX_TRANSACTION_BYTES = 600_000
"""Most bytes of progress in one batch. The store accepts 1 MB, in which every
three bytes of a row take four."""

DONE_TASK_BYTES = 18
"""Bytes of a task that has no checkpoint and no instance."""

PLACED_TASK_BYTES = 184
"""Bytes of a placed task, with the names of its instance and worker."""

FAILED_RUN_BYTES = 5
"""Bytes of the number of a failed run."""

CRASH_BYTES = 80
"""Bytes of a crash, with the name of the instance."""

TEXT_BYTES = 4
"""Bytes of the length of a long text."""

LARGE_JOB_TASKS = 300
"""Tasks and crashes from which a job counts as large: fewer always fit into
one row without their checkpoints."""


def is_large(job: progress.Job) -> bool:
    """Tells whether the progress of a job may exceed one row."""
    tasks = sum([len(step.tasks) for step in job.steps])
    if tasks > LARGE_JOB_TASKS:
        return True
    crashes = sum(
        [
            len(task.crashes)
            for step in job.steps
            for task in step.tasks
            if task.crashes
        ]
    )
    return tasks + crashes > LARGE_JOB_TASKS


class Detail(enum.Enum):
    """How much of the progress of a job is stored, so that it fits."""

    ALL = "all"
    WAITING_CHECKPOINTS = "waiting checkpoints"
    """Without the checkpoints of placed tasks: their workers report them again,
    unless they are lost before the next holder has heard of them."""

    NO_CHECKPOINTS = "no checkpoints"
    ESSENTIAL = "essential"
    """Without the numbers of failed runs and without crashes as well; the
    failures are still counted."""


def choose_detail(job: progress.Job, row_bytes: int) -> Detail:
    """Returns how much of the progress of a job fits into a row."""
    for detail in Detail:
        if estimate_record(job, detail) <= row_bytes:
            return detail
    return Detail.ESSENTIAL


def keeps_checkpoint(task: progress.Task, detail: Detail) -> bool:
    """Tells whether the checkpoint of a task is stored."""
    if detail is Detail.WAITING_CHECKPOINTS:
        return not task.is_placed()
    return detail is Detail.ALL


def choose_storable_jobs(
    jobs: Sequence[progress.Job], row_bytes: int
) -> list[progress.Job]:
    """Returns the first jobs that one batch can store; at least one."""
    if len(jobs) * row_bytes <= MAX_TRANSACTION_BYTES:
        return list(jobs)
    chosen: list[progress.Job] = []
    size = 0
    for job in jobs:
        size += min(estimate_record(job), row_bytes)
        if chosen and size > MAX_TRANSACTION_BYTES:
            break
        chosen.append(job)
    return chosen


def estimate_record(job: progress.Job, detail: Detail = Detail.ALL) -> int:
    """Returns the most bytes that the stored progress of a job takes."""
    if not job.is_open():
        return DONE_TASK_BYTES
    layout = choose_layout(job)
    return sum(
        DONE_TASK_BYTES
        if layout.is_compact(step)
        else sum(_estimate_task(task, detail) for task in step.tasks)
        for step in layout.steps
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Which steps of a job its record has.

    Attributes:
        steps: Steps of which a task was placed, stored one by one.
        done_repetitions: Number of first repetitions whose steps are all done
            and that are stored by their number alone. A former version would
            run them again, so only large jobs have any.
        is_large: Whether the record of the job may exceed one row.
    """

    steps: tuple[progress.Step, ...]
    done_repetitions: int
    is_large: bool

    def is_compact(self, step: progress.Step) -> bool:
        """Tells whether a step, which is done, is stored without its tasks."""
        return self.is_large and step.is_done()


def choose_layout(job: progress.Job) -> Layout:
    """Returns the layout of the record of an open job."""
    large = is_large(job)
    first = 0
    if large:
        undone = (step.repetition for step in job.steps if not step.is_done())
        first = min(undone, default=job.next_repetition)
    steps = tuple(
        step
        for step in job.steps
        if step.repetition >= first and step.was_placed()
    )
    return Layout(steps, first, large)


def _estimate_task(task: progress.Task, detail: Detail) -> int:
    size = PLACED_TASK_BYTES if task.is_placed() else DONE_TASK_BYTES
    if detail is not Detail.ESSENTIAL:
        size += FAILED_RUN_BYTES * len(task.failed_runs)
        if not task.is_done():
            size += CRASH_BYTES * len(task.crashes)
    if task.is_done():
        return size
    if task.checkpoint and keeps_checkpoint(task, detail):
        size += TEXT_BYTES + _count_bytes(task.checkpoint)
    return size


def _count_bytes(text: str) -> int:
    return len(text) if text.isascii() else len(text.encode())


class PlacementBudget:
    """Bytes of a row that are left for further placements of a job.

    A step whose first task is placed takes room for all of its tasks. So the
    steps of a job that is too large for a row begin one after another.
    """

    def __init__(self, job: progress.Job, row_bytes: int) -> None:
        """Creates the budget for one plan."""
        self._is_limited = is_large(job)
        self._left = row_bytes
        self._placed: set[int] = set()
        if self._is_limited:
            self._left -= estimate_record(job, Detail.ESSENTIAL)
            self._placed = {id(step) for step in job.steps if step.was_placed()}

    def allows(self, step: progress.Step, tasks: int = 1) -> bool:
        """Tells whether so many more tasks of a step can be placed."""
        return not self._is_limited or self._measure(step, tasks) <= self._left

    def take(self, step: progress.Step, tasks: int = 1) -> None:
        """Records placements of a step."""
        if self._is_limited and tasks:
            self._left -= self._measure(step, tasks)
            self._placed.add(id(step))

    def _measure(self, step: progress.Step, tasks: int) -> int:
        size = (PLACED_TASK_BYTES - DONE_TASK_BYTES) * tasks
        if id(step) in self._placed:
            return size
        return size + DONE_TASK_BYTES * len(step.tasks)
