"""Reads and writes of the rows that store jobs, and their results."""

import dataclasses
import enum

from gypsumhold.model import ids
from gypsumhold.model.jobs import records, specs


class WriteResult(enum.Enum):
    """Result of a transaction."""

    STORED = "stored"
    CONFLICT = "conflict"
    """A condition did not hold; nothing was written."""

    UNAVAILABLE = "unavailable"
    """The store refused the transaction; nothing was written."""

    UNKNOWN = "unknown"
    """No answer; the transaction may have been or may still be applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobRows:
    """All rows of one job.

    Attributes:
        spec: The submission; None if there is no such job.
        progress: The progress; None if the holder has stored none.
        cancelled: Whether a cancellation is stored.
    """

    spec: specs.JobSpec | None
    progress: records.ProgressRecord | None = None
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HolderRow:
    """The holder's row; version 0 and no record if it does not exist."""

    version: ids.RowVersion
    record: records.HolderRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class HolderWrite:
    """Result of a transaction that rewrites the holder's row.

    Attributes:
        result: Result of the transaction.
        version: New version of the holder's row, if it was stored.
        current_row: The row that is stored now, after a conflict.
    """

    result: WriteResult
    version: ids.RowVersion = ids.RowVersion(0)
    current_row: HolderRow | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedJobs:
    """Every job in the table as of `version`.

    Attributes:
        jobs: Rows of each job.
        version: Version from which reads of changes continue.
        leftover_progress: Jobs whose submission is deleted while their progress
            is left.
        unreadable: Jobs with a row that cannot be read; not among `jobs`.
    """

    jobs: tuple[JobRows, ...]
    version: ids.RowVersion
    leftover_progress: tuple[specs.JobId, ...] = ()
    unreadable: tuple[specs.JobId, ...] = ()


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
        writes: New progress of changed jobs.
        removed_progress: Jobs whose progress is deleted.
    """

    expected: ids.RowVersion
    holder: records.HolderRecord
    writes: tuple[ProgressWrite, ...] = ()
    removed_progress: tuple[specs.JobId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JobChanges:
    """Submissions and cancellations since a version.

    Attributes:
        submitted: New jobs.
        cancelled: Jobs that callers cancelled.
        version: Version from which the next read continues.
        gap: Whether part of the history is missing, so that all rows have to
            be read.
    """

    submitted: tuple[specs.JobSpec, ...] = ()
    cancelled: tuple[specs.JobId, ...] = ()
    version: ids.RowVersion = ids.RowVersion(0)
    gap: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanges:
    """Entries that registered since a version, and where reads continue."""

    entries: tuple[records.EntryRecord, ...] = ()
    version: ids.RowVersion = ids.RowVersion(0)
