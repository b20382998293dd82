"""Rows of the table that stores jobs, their progress and the holder."""

import enum
from typing import NewType

import msgspec

from gypsumhold.model import ids
from gypsumhold.model.jobs import forecasts, messages, runs, specs

NO_FORECAST = -1
"""Age of the forecast in a holder's row that has none."""

QueueMs = NewType("QueueMs", int)
"""Milliseconds for which the queue has been held, by all holders together."""

NEVER_PLACED = QueueMs(-1)
"""Stands for the time of a placement in rows of versions without it."""

FORMAT = 1
"""Version of the row format, which is written into each row."""


class TaskState(enum.Enum):
    """State of a task."""

    READY = "r"
    """Not placed: waits for its step to open or for free capacity."""

    PLACED = "p"
    """A run is assigned to an instance."""

    DONE = "d"
    CLOSED = "c"
    """Does not run again, because the job failed or was cancelled."""


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored part of `progress.Task`; rows of former versions end earlier."""

    state: TaskState = TaskState.READY
    run: runs.RunNumber = runs.RunNumber(0)
    failures: int = 0
    instance: ids.InstanceId = ids.InstanceId("")
    worker_incarnation: runs.WorkerIncarnation = runs.NO_INCARNATION
    checkpoint: runs.Checkpoint = runs.Checkpoint("")
    failed_runs: tuple[runs.RunNumber, ...] = ()
    crashes: tuple[runs.Crash, ...] = ()
    placed_ms: QueueMs = NEVER_PLACED


class StepRecord(msgspec.Struct, frozen=True, array_like=True):
    """All tasks of one step of one repetition.

    A step without tasks is done; its tasks are left out to save space.
    """

    repetition: int
    step: int
    tasks: tuple[TaskRecord, ...]


class ProgressRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job; only the holder of the queue writes it.

    Attributes:
        version: Format of the row.
        state: State of the job that callers see.
        steps: Steps of which at least one task was ever placed; none for a job
            that has ended.
        done_repetitions: Number of first repetitions whose steps are all done
            and left out to save space.
        has_begun: Whether a run of the job was known to have begun when the
            row was built; False in rows of former versions, which do not say.
    """

    version: int
    state: messages.JobState
    steps: tuple[StepRecord, ...]
    done_repetitions: int = 0
    has_begun: bool = False


class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """A submission; written once by the entry that accepted it."""

    version: int
    spec: specs.JobSpec


class CancelRecord(msgspec.Struct, frozen=True, array_like=True):
    """A request to cancel a job."""

    version: int
    job_id: specs.JobId


class SettledStarts(msgspec.Struct, frozen=True, array_like=True):
    """Which starts of placed runs are settled.

    Attributes:
        before_ms: Every start of a run that was placed before this reading of
            the queue's clock is settled, but for those that are named: it has
            been confirmed, and no other start of the run is under way.
        open: Runs that were placed before, and whose start may be under way.
    """

    before_ms: QueueMs = QueueMs(0)
    open: tuple[runs.RunRef, ...] = ()


class HolderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The holder of the queue, which rewrites this row with each batch.

    Attributes:
        version: Format of the row.
        term: Rises with each change of the holder.
        holder: Name of the entry; empty if it has released the queue.
        incarnation: Incarnation of the entry's process.
        endpoint: Where the holder answers.
        batch: Rises with each batch of one term.
        cores: Processor capacity of the holder, in cores; 0 in rows of
            versions that did not write it.
        forecast_age_ms: Age of the forecast when the row was built, on the
            clock of the holder; negative without a forecast.
        forecast: Queues that are short of room.
        clock_ms: Reading of the queue's clock when the row was built.
        settled_ms: As `SettledStarts.before_ms`.
        open_starts: As `SettledStarts.open`. A holder of a former version
            writes none, and takes those of a row for settled.
    """

    version: int
    term: ids.Epoch
    holder: str
    incarnation: ids.Incarnation
    endpoint: messages.Endpoint
    batch: int
    cores: runs.Measured = 0.0
    forecast_age_ms: int = NO_FORECAST
    forecast: tuple[forecasts.QueueForecast, ...] = ()
    clock_ms: QueueMs = QueueMs(0)
    settled_ms: QueueMs = QueueMs(0)
    open_starts: tuple[runs.RunRef, ...] = ()


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry that agents may report to.

    Attributes:
        version: Format of the row.
        name: Name of the entry.
        endpoint: Where the entry answers.
        holds: Whether the entry wrote this row when it took the queue.
        term: Term in which it holds the queue; 0 if it does not.
    """

    version: int
    name: str
    endpoint: messages.Endpoint
    holds: bool = False
    term: ids.Epoch = ids.Epoch(0)
