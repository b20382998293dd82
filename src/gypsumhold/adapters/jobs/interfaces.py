"""Interfaces to the platform's store and to the local worker."""

import abc
import datetime

from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    evacuations,
    events,
    records,
    runs,
    specs,
    storage,
)


class JobStore(abc.ABC):
    """Stores jobs, the queue's holder, entries and the configuration.

    The methods don't raise; a result or None reports a failure.
    """

    @abc.abstractmethod
    def write_job(self, spec: specs.JobSpec) -> storage.WriteResult:
        """Stores a submission; CONFLICT if a job with its id exists."""

    @abc.abstractmethod
    def read_job(self, job_id: specs.JobId) -> storage.JobRows | None:
        """Returns the rows of a job, or None if the read failed."""

    @abc.abstractmethod
    def write_cancel(self, job_id: specs.JobId) -> storage.WriteResult:
        """Stores the cancellation of a job."""

    @abc.abstractmethod
    def delete_submissions(
        self, job_ids: tuple[specs.JobId, ...]
    ) -> storage.WriteResult:
        """Deletes submissions and cancellations; their progress stays."""

    @abc.abstractmethod
    def read_holder(self) -> storage.HolderRow | None:
        """Returns the holder's row, or None if the read failed."""

    @abc.abstractmethod
    def take_queue(
        self,
        expected: ids.RowVersion,
        holder: records.HolderRecord,
        entry: records.EntryRecord,
    ) -> storage.HolderWrite:
        """Makes an entry the holder of the queue.

        Args:
            expected: Version that the holder's row must have.
            holder: New content of the holder's row.
            entry: Address of the new holder, stored in the same transaction.

        Returns:
            The result and, if stored, the new version of the holder's row. If
            the row has another version, nothing is stored; the result is
            CONFLICT, with the row that is stored now.
        """

    @abc.abstractmethod
    def commit(self, batch: storage.Batch) -> storage.HolderWrite:
        """Stores a batch if the holder's row has the expected version."""

    @abc.abstractmethod
    def load_jobs(self) -> storage.LoadedJobs | None:
        """Returns all jobs, or None if a read failed.

        The version is the one to pass to `follow_jobs` first, so that no change
        is missed.
        """

    @abc.abstractmethod
    def follow_jobs(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.JobChanges | None:
        """Waits for submissions and cancellations; None if the read failed.

        If the store no longer has all changes since `after`, the result has
        `gap` set.

        Args:
            after: Version up to which changes are known.
            wait: Longest time to wait for a change.
        """

    @abc.abstractmethod
    def register(self, record: records.EntryRecord) -> storage.WriteResult:
        """Stores the address on which an entry accepts calls."""

    @abc.abstractmethod
    def follow_entries(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.EntryChanges | None:
        """Waits for changes of the entries; None if the read failed.

        Args:
            after: Version up to which changes are known; 0 reads all entries
                without waiting.
            wait: Longest time to wait for a change.
        """

    @abc.abstractmethod
    def follow_config(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> events.ConfigRead:
        """Waits for a new configuration and new evacuations.

        Args:
            after: Version up to which changes are known; 0 reads what is in
                force without waiting.
            wait: Longest time to wait for a change.
        """

    @abc.abstractmethod
    def read_evacuations(self) -> evacuations.EvacuationChanges | None:
        """Returns all evacuations in force; None if the read failed."""


class WorkerDirectory(abc.ABC):
    """The platform's list of the workers that are up."""

    @abc.abstractmethod
    def list_up(self) -> frozenset[runs.WorkerName] | None:
        """Returns the names of all workers that are up as of one moment.

        That moment lies within the call. None if the platform has no such list
        or the read failed; the method doesn't raise.
        """


class JobWorker(abc.ABC):
    """Calls the worker on the agent's instance.

    The methods don't raise; the result of the event reports a failure.
    """

    @abc.abstractmethod
    def poll(self, effect: effects.PollWorker) -> events.WorkerPolled:
        """Reads the worker's runs and extends its lease.

        The call also acknowledges ended runs, which the worker may then drop.
        """

    @abc.abstractmethod
    def command(self, effect: effects.CommandEffect) -> events.CommandAnswered:
        """Starts, stops or throttles a run."""
