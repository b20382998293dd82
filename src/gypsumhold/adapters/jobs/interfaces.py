"""What the job subsystem needs of the platform."""

import abc
import datetime

from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    records,
    specs,
    storage,
)


class JobStore(abc.ABC):
    """The rows in which jobs live; calls don't raise."""

    @abc.abstractmethod
    def write_job(self, spec: specs.JobSpec) -> storage.WriteResult:
        """Stores a submission unless its id is taken (CONFLICT)."""

    @abc.abstractmethod
    def read_job(self, job_id: specs.JobId) -> storage.JobRows | None:
        """Returns the rows of a job, or None if the read failed."""

    @abc.abstractmethod
    def write_cancel(self, job_id: specs.JobId) -> storage.WriteResult:
        """Stores a cancellation."""

    @abc.abstractmethod
    def remove_jobs(
        self, job_ids: tuple[specs.JobId, ...]
    ) -> storage.WriteResult:
        """Deletes submissions and cancellations; their progress stays."""

    @abc.abstractmethod
    def read_holder(self) -> storage.HolderRow | None:
        """Returns the holder's row, or None if the read failed."""

    @abc.abstractmethod
    def take_holder(
        self,
        expected: ids.RowVersion,
        holder: records.HolderRecord,
        entry: records.EntryRecord,
    ) -> storage.HolderWrite:
        """Replaces the holder's row if it has the expected version."""

    @abc.abstractmethod
    def commit(self, batch: storage.Batch) -> storage.HolderWrite:
        """Stores a batch if the holder's row has the expected version."""

    @abc.abstractmethod
    def load_jobs(self) -> storage.LoadedJobs | None:
        """Returns all jobs, or None if a read failed."""

    @abc.abstractmethod
    def follow_jobs(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.JobChanges | None:
        """Waits for submissions and cancellations; None if that failed."""

    @abc.abstractmethod
    def register(self, record: records.EntryRecord) -> storage.WriteResult:
        """Stores where an entry answers."""

    @abc.abstractmethod
    def follow_entries(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.EntryChanges | None:
        """Waits for changes of the entries; None if that failed."""

    @abc.abstractmethod
    def follow_config(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> events.ConfigRead:
        """Waits for a configuration; version 0 reads the present one."""


class JobWorker(abc.ABC):
    """The worker beside an agent; calls don't raise."""

    @abc.abstractmethod
    def look(self, effect: effects.LookAtWorker) -> events.WorkerLooked:
        """Reads the lists of the worker."""

    @abc.abstractmethod
    def order(self, effect: effects.OrderEffect) -> events.RunOrdered:
        """Starts, stops or paces a run."""
