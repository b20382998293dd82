"""Results of reads and writes of the rows in which jobs live."""

import dataclasses
import enum

from gypsumhold.model import ids
from gypsumhold.model.jobs import records, specs


class WriteResult(enum.Enum):
    """What became of a transaction."""

    STORED = "stored"
    CONFLICT = "conflict"
    """A condition did not hold; nothing was done."""

    UNAVAILABLE = "unavailable"
    """The store refused; nothing was done."""

    UNKNOWN = "unknown"
    """No answer; it may have been done or may be done later."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobRows:
    """All rows of one job; `spec` is None if there is no such job."""

    spec: specs.JobSpec | None
    progress: records.ProgressRecord | None = None
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HolderRow:
    """The holder's row; version 0 and no record if there is none."""

    version: ids.RowVersion
    record: records.HolderRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class HolderWrite:
    """Result of a transaction that rewrites the holder's row.

    Attributes:
        result: What became of it.
        version: Version of the holder's row, if stored.
        present: The row that is there now, after a conflict.
    """

    result: WriteResult
    version: ids.RowVersion = ids.RowVersion(0)
    present: HolderRow | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedJobs:
    """Every job in the table as of `version`.

    Attributes:
        jobs: Rows of each job.
        version: Where to continue to read changes.
        orphans: Jobs of which only the progress is left.
    """

    jobs: tuple[JobRows, ...]
    version: ids.RowVersion
    orphans: tuple[specs.JobId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressWrite:
    """The new progress of one job."""

    job_id: specs.JobId
    record: records.ProgressRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One transaction of the holder.

    Attributes:
        expected: Version that the holder's row must have.
        holder: New content of the holder's row.
        writes: Progress of jobs that changed.
        removed: Jobs whose progress is deleted.
    """

    expected: ids.RowVersion
    holder: records.HolderRecord
    writes: tuple[ProgressWrite, ...] = ()
    removed: tuple[specs.JobId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JobChanges:
    """What was submitted and cancelled since a version.

    Attributes:
        submitted: New jobs.
        cancelled: Jobs that callers cancelled.
        version: Where to continue.
        gap: Whether history is missing, so that all rows have to be read.
    """

    submitted: tuple[specs.JobSpec, ...] = ()
    cancelled: tuple[specs.JobId, ...] = ()
    version: ids.RowVersion = ids.RowVersion(0)
    gap: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanges:
    """Entries that registered since a version."""

    entries: tuple[records.EntryRecord, ...] = ()
    version: ids.RowVersion = ids.RowVersion(0)
