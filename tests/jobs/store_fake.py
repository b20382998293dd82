"""An in-memory table of jobs with the semantics of the real store."""

import dataclasses

from gypsumhold.adapters.jobs import codec
from gypsumhold.model import ids
from gypsumhold.model.jobs import evacuations, records, specs, storage

Result = storage.WriteResult

MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_BYTES = 1_000_000
"""Most bytes of the rows of one transaction in base64."""


@dataclasses.dataclass(slots=True)
class FakeStore:
    """Rows of one queue.

    Attributes:
        version: Number of transactions so far; the version of the latest row.
        holder: The holder's row.
        jobs: Submissions.
        progress: Progress of jobs.
        cancelled: Jobs with a stored cancellation.
        entries: Registered entries.
        changes: Submissions and cancellations in order: version, job and
            whether it is a cancellation.
        operator_changes: Begins and ends of evacuations in order: version,
            data centre and whether it is evacuated.
    """

    version: int = 0
    holder: storage.HolderRow = storage.HolderRow(ids.RowVersion(0), None)
    jobs: dict[specs.JobId, specs.JobSpec] = dataclasses.field(
        default_factory=dict
    )
    progress: dict[specs.JobId, records.ProgressRecord] = dataclasses.field(
        default_factory=dict
    )
    cancelled: set[specs.JobId] = dataclasses.field(default_factory=set)
    entries: dict[str, records.EntryRecord] = dataclasses.field(
        default_factory=dict
    )
    changes: list[tuple[int, specs.JobId, bool]] = dataclasses.field(
        default_factory=list
    )

    operator_changes: list[tuple[int, ids.DataCentre, bool]] = (
        dataclasses.field(default_factory=list)
    )

    def evacuate(self, name: str, *, is_evacuated: bool) -> None:
        version = self._raise_version()
        self.operator_changes.append(
            (version, ids.DataCentre(name), is_evacuated)
        )

    def read_evacuations(self, after: int = 0) -> evacuations.EvacuationChanges:
        """Returns all evacuations, or the changes after a version."""
        changed = {
            name: is_evacuated
            for version, name, is_evacuated in self.operator_changes
            if version > after
        }
        return evacuations.EvacuationChanges(
            ids.RowVersion(self.version), changed, is_complete=not after
        )

    def _raise_version(self) -> ids.RowVersion:
        self.version += 1
        return ids.RowVersion(self.version)

    def write_job(self, spec: specs.JobSpec) -> Result:
        if spec.job_id in self.jobs:
            return Result.CONFLICT
        self.jobs[spec.job_id] = spec
        self.changes.append((self._raise_version(), spec.job_id, False))
        return Result.STORED

    def write_cancel(self, job_id: specs.JobId) -> Result:
        self.cancelled.add(job_id)
        self.changes.append((self._raise_version(), job_id, True))
        return Result.STORED

    def delete_submissions(self, job_ids: tuple[specs.JobId, ...]) -> Result:
        for job_id in job_ids:
            self.jobs.pop(job_id, None)
            self.cancelled.discard(job_id)
        return Result.STORED

    def read_job(self, job_id: specs.JobId) -> storage.JobRows:
        return storage.JobRows(
            self.jobs.get(job_id),
            self.progress.get(job_id),
            job_id in self.cancelled,
        )

    def register(self, name: str, record: records.EntryRecord) -> Result:
        self.entries[name] = record
        self._raise_version()
        return Result.STORED

    def write_holder(
        self, expected: int, record: records.HolderRecord
    ) -> storage.HolderWrite:
        if self.holder.version != expected:
            return storage.HolderWrite(Result.CONFLICT, current_row=self.holder)
        version = self._raise_version()
        self.holder = storage.HolderRow(version, record)
        return storage.HolderWrite(Result.STORED, version)

    def commit(self, batch: storage.Batch) -> storage.HolderWrite:
        sizes = [len(codec.encode(write.record)) for write in batch.writes]
        is_row_too_large = max(sizes, default=0) > MAX_ROW_BYTES
        if is_row_too_large or sum(sizes) * 4 / 3 > MAX_TRANSACTION_BYTES:
            return storage.HolderWrite(Result.UNAVAILABLE)
        written = self.write_holder(batch.expected, batch.holder)
        if written.result is Result.STORED:
            for write in batch.writes:
                self.progress[write.job_id] = write.record
            for job_id in batch.removed_progress:
                self.progress.pop(job_id, None)
        return written

    def load(self) -> storage.LoadedJobs:
        rows = tuple(self.read_job(job_id) for job_id in self.jobs)
        return storage.LoadedJobs(rows, ids.RowVersion(self.version))

    def follow(self, after: int) -> storage.JobChanges:
        new = [item for item in self.changes if item[0] > after]
        return storage.JobChanges(
            tuple(
                self.jobs[job_id]
                for _, job_id, cancels in new
                if not cancels and job_id in self.jobs
            ),
            tuple(job_id for _, job_id, cancels in new if cancels),
            ids.RowVersion(self.version),
        )
