"""Stores jobs, their progress and the queue's holder in the platform's store.

A submission and a cancellation are rows of the job table. The holder of the
queue writes the progress of jobs to rows of the progress table, in the same
transaction as its own row, so that only the current holder can write them.
"""

import datetime
import zlib
from concurrent import futures

import logbook
from returns.result import Failure, Success

from gypsumhold.adapters.jobs import codec, interfaces
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    evacuations,
    events,
    records,
    specs,
    storage,
)
from gypsumhold.platform import (
    documents,
    evacuation_rows,
    row_reader,
    table,
)

_LOG = logbook.Logger("gypsumhold.platform.jobstore")

HOLDER_TABLE = "holder"
ENTRY_TABLE = "entries"
JOB_TABLE = "jobs"
PROGRESS_TABLE = "progress"

QUEUE_PART = "queue"
"""Part of the holder's row and of all rows that change together with it.

A transaction cannot span parts.
"""

JOB_PARTS = 8
"""Number of parts over which submissions are spread.

A part handles one transaction at a time, so submissions in parts of their own
delay neither the holder's transactions nor most other submissions.
"""

# The platform fixes where the configuration is stored.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
CONFIG_PART = ""

CANCEL_SUFFIX = "!cancel"
AFTER_SUFFIX = "~"
"""Suffix of a key that sorts after all keys that begin with a job's id."""


class PlatformJobStore(interfaces.JobStore):
    """Implements the job store on tables of the platform's store."""

    def __init__(self, client: table.TableClient) -> None:
        """Creates a store that uses `client` for all calls."""
        self._client = client
        self._reader = row_reader.RowReader()

    def write_job(self, spec: specs.JobSpec) -> storage.WriteResult:
        """Stores a submission; CONFLICT if a job with its id exists."""
        absent = table.Condition(JOB_TABLE, spec.job_id, ids.RowVersion(0))
        record = records.JobRecord(records.FORMAT, spec)
        put = table.Put(JOB_TABLE, spec.job_id, codec.encode(record))
        part = find_part(spec.job_id)
        return self._client.transact(part, (absent,), (put,)).result

    def read_job(self, job_id: specs.JobId) -> storage.JobRows | None:
        """Returns the rows of a job; None if a read failed or one is faulty."""
        end = job_id + AFTER_SUFFIX
        jobs = self._client.read(JOB_TABLE, find_part(job_id), job_id, end)
        if jobs is None:
            return None
        if not jobs.rows:
            return storage.JobRows(None)
        progress = self._client.read(PROGRESS_TABLE, QUEUE_PART, job_id, end)
        if progress is None:
            return None
        joined = self._join_rows(jobs.rows, progress.rows)
        if job_id not in joined and job_id in _list_submitted(jobs.rows):
            return None
        return joined.get(job_id, storage.JobRows(None))

    def write_cancel(self, job_id: specs.JobId) -> storage.WriteResult:
        """Stores the cancellation of a job."""
        record = records.CancelRecord(records.FORMAT, job_id)
        key = job_id + CANCEL_SUFFIX
        put = table.Put(JOB_TABLE, key, codec.encode(record))
        return self._client.transact(find_part(job_id), (), (put,)).result

    def delete_submissions(
        self, job_ids: tuple[specs.JobId, ...]
    ) -> storage.WriteResult:
        """Deletes submissions and cancellations; their progress stays.

        Runs one transaction per part and stops at the first that fails.
        """
        by_part: dict[str, list[table.Removal]] = {}
        for job_id in job_ids:
            removals = by_part.setdefault(find_part(job_id), [])
            removals.append(table.Removal(JOB_TABLE, job_id))
            removals.append(table.Removal(JOB_TABLE, job_id + CANCEL_SUFFIX))
        for part, removals in by_part.items():
            result = self._client.transact(part, (), (), tuple(removals)).result
            if result is not storage.WriteResult.STORED:
                return result
        return storage.WriteResult.STORED

    def read_holder(self) -> storage.HolderRow | None:
        """Returns the holder's row, or None if the read failed."""
        page = self._client.read(
            HOLDER_TABLE, QUEUE_PART, row_reader.HOLDER_KEY
        )
        return None if page is None else self._find_holder(page.rows)

    def take_queue(
        self,
        expected: ids.RowVersion,
        holder: records.HolderRecord,
        entry: records.EntryRecord,
    ) -> storage.HolderWrite:
        """Makes an entry the holder, if the row has the expected version."""
        return self._write_holder(
            expected,
            holder,
            (
                table.Put(
                    ENTRY_TABLE, row_reader.HOLDER_KEY, codec.encode(entry)
                ),
            ),
            (),
        )

    def commit(self, batch: storage.Batch) -> storage.HolderWrite:
        """Stores a batch if the holder's row has the expected version."""
        puts = [
            table.Put(PROGRESS_TABLE, write.job_id, codec.encode(write.record))
            for write in batch.writes
        ]
        removed = [
            table.Removal(PROGRESS_TABLE, job_id)
            for job_id in batch.removed_progress
        ]
        return self._write_holder(
            batch.expected, batch.holder, tuple(puts), tuple(removed)
        )

    def _write_holder(
        self,
        expected: ids.RowVersion,
        holder: records.HolderRecord,
        puts: tuple[table.Put, ...],
        removed: tuple[table.Removal, ...],
    ) -> storage.HolderWrite:
        condition = table.Condition(
            HOLDER_TABLE, row_reader.HOLDER_KEY, expected
        )
        put = table.Put(
            HOLDER_TABLE, row_reader.HOLDER_KEY, codec.encode(holder)
        )
        outcome = self._client.transact(
            QUEUE_PART, (condition,), (put, *puts), removed
        )
        current = None
        if outcome.result is storage.WriteResult.CONFLICT:
            current = self._find_holder(outcome.rows)
        return storage.HolderWrite(outcome.result, outcome.version, current)

    def load_jobs(self) -> storage.LoadedJobs | None:
        """Returns all jobs, or None if a read failed.

        The progress is read first: a job is deleted submission first, so one
        that is read without its progress has certainly none. The parts of the
        submissions are read concurrently. The version is the lowest one of the
        reads, so that `follow_jobs` from it on returns every change that one
        of them missed. Progress without a submission is listed in
        `leftover_progress`.
        """
        progress = self._client.read_all(PROGRESS_TABLE, QUEUE_PART)
        if progress is None:
            return None
        with futures.ThreadPoolExecutor(JOB_PARTS) as pool:
            reads = list(pool.map(self._read_part, range(JOB_PARTS)))
        parts = [part_rows for part_rows in reads if part_rows is not None]
        if len(parts) < JOB_PARTS:
            return None
        rows = tuple(row for part_rows in parts for row in part_rows.rows)
        versions = [part_rows.row_version for part_rows in (progress, *parts)]
        joined = self._join_rows(rows, progress.rows)
        submitted = _list_submitted(rows)
        leftover_progress = tuple(
            specs.JobId(row.key)
            for row in progress.rows
            if row.key not in submitted
        )
        return storage.LoadedJobs(
            tuple(joined.values()),
            ids.RowVersion(min(versions)),
            leftover_progress,
            tuple(sorted(submitted - joined.keys())),
        )

    def _read_part(self, number: int) -> documents.Rows | None:
        """Returns the submissions in one of the parts."""
        return self._client.read_all(JOB_TABLE, _name_part(number))

    def follow_jobs(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.JobChanges | None:
        """Waits for submissions and cancellations; None if the read failed.

        If the store no longer has all changes since `after`, the result has
        `gap` set.

        Args:
            after: Version up to which changes are known.
            wait: Longest time that the store waits for a change.
        """
        feed = self._client.follow(JOB_TABLE, after, wait)
        if feed.result is events.ReadResult.FAILED:
            return None
        if feed.result is events.ReadResult.GAP:
            return storage.JobChanges(gap=True)
        joined = self._join_rows(feed.rows, ())
        cancelled = tuple(
            specs.JobId(row.key.removesuffix(CANCEL_SUFFIX))
            for row in feed.rows
            if row.key.endswith(CANCEL_SUFFIX) and not row.deleted
        )
        submitted = tuple(job.spec for job in joined.values() if job.spec)
        return storage.JobChanges(submitted, cancelled, feed.version)

    def register(self, record: records.EntryRecord) -> storage.WriteResult:
        """Stores the address on which an entry accepts calls."""
        put = table.Put(
            ENTRY_TABLE,
            row_reader.build_entry_key(record.name),
            codec.encode(record),
        )
        return self._client.transact(QUEUE_PART, (), (put,)).result

    def follow_entries(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.EntryChanges | None:
        """Waits for changes of the entries; None if the read failed.

        Args:
            after: Version up to which changes are known; 0 reads all entries
                without waiting.
            wait: Longest time that the store waits for a change.
        """
        rows: tuple[documents.Row, ...]
        feed = table.FeedPage(events.ReadResult.GAP)
        if after:
            feed = self._client.follow(ENTRY_TABLE, after, wait)
        if feed.result is events.ReadResult.FAILED:
            return None
        rows, version = feed.rows, feed.version
        if feed.result is events.ReadResult.GAP:
            entry_rows = self._client.read_all(ENTRY_TABLE, QUEUE_PART)
            if entry_rows is None:
                return None
            rows = entry_rows.rows
            version = ids.RowVersion(entry_rows.row_version)
        entries = [
            record
            for row in rows
            if not row.deleted
            if (record := self._reader.decode_entry(row)) is not None
        ]
        return storage.EntryChanges(tuple(entries), version)

    def follow_config(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> events.ConfigRead:
        """Waits for a new configuration and new evacuations.

        Args:
            after: Version up to which changes are known; 0 reads what is in
                force without waiting.
            wait: Longest time that the store waits for a change.
        """
        if after:
            feed = self._client.follow(CONFIG_TABLE, after, wait)
            config = find_config(feed.rows)
            changes = None
            if feed.result is events.ReadResult.DONE:
                changes = evacuation_rows.find_changes(feed.rows, feed.version)
            return events.ConfigRead(config, feed.version, feed.result, changes)
        page = self._client.read_all(CONFIG_TABLE, CONFIG_PART)
        if page is None:
            return events.ConfigRead(None, after, events.ReadResult.FAILED)
        return events.ConfigRead(
            find_config(page.rows),
            ids.RowVersion(page.row_version),
            events.ReadResult.DONE,
            evacuation_rows.find_all(page),
        )

    def read_evacuations(self) -> evacuations.EvacuationChanges | None:
        """Returns all evacuations in force; None if the read failed."""
        page = self._client.read_all(
            CONFIG_TABLE, CONFIG_PART, evacuation_rows.PREFIX
        )
        return None if page is None else evacuation_rows.find_all(page)

    def _find_holder(
        self, rows: tuple[documents.Row, ...]
    ) -> storage.HolderRow:
        for row in rows:
            if row.key == row_reader.HOLDER_KEY and not row.deleted:
                record = self._reader.decode_holder(row)
                version = ids.RowVersion(row.row_version)
                return storage.HolderRow(version, record)
        return storage.HolderRow(ids.RowVersion(0), None)

    def _join_rows(
        self,
        rows: tuple[documents.Row, ...],
        progress: tuple[documents.Row, ...],
    ) -> dict[specs.JobId, storage.JobRows]:
        """Returns submission, cancellation and progress of each job.

        A job is left out if its submission cannot be read, or its progress:
        without it, its tasks would run again.
        """
        progress_by_key = {
            row.key: self._reader.decode(row, records.ProgressRecord)
            for row in progress
        }
        cancelled = {
            row.key.removesuffix(CANCEL_SUFFIX)
            for row in rows
            if row.key.endswith(CANCEL_SUFFIX) and not row.deleted
        }
        joined = {}
        for row in rows:
            if not _is_submission(row):
                continue
            record = self._reader.decode(row, records.JobRecord)
            has_faulty_progress = (
                row.key in progress_by_key and progress_by_key[row.key] is None
            )
            if record is not None and not has_faulty_progress:
                joined[record.spec.job_id] = storage.JobRows(
                    record.spec,
                    progress_by_key.get(row.key),
                    row.key in cancelled,
                )
        return joined


def _is_submission(row: documents.Row) -> bool:
    return not row.deleted and not row.key.endswith(CANCEL_SUFFIX)


def _list_submitted(rows: tuple[documents.Row, ...]) -> set[specs.JobId]:
    """Returns the ids of all submitted jobs, also of unreadable ones."""
    return {specs.JobId(row.key) for row in rows if _is_submission(row)}


def find_part(job_id: specs.JobId) -> str:
    """Returns the part of the job table that holds a job's submission."""
    return _name_part(zlib.crc32(job_id.encode()) % JOB_PARTS)


def _name_part(number: int) -> str:
    return f"jobs-{number}"


def find_config(
    rows: tuple[documents.Row, ...],
) -> specs.QueueConfig | None:
    """Returns the latest readable configuration among some rows."""
    for row in reversed(rows):
        if row.key != CONFIG_KEY or row.deleted:
            continue
        match documents.parse(row.value, documents.Config):
            case Success(config):
                return build_config(config)
            case Failure(error):
                _LOG.error("cannot parse the configuration: {}", error)
    return None


def build_config(config: documents.Config) -> specs.QueueConfig:
    """Converts a configuration of the platform to queues."""
    return specs.QueueConfig(
        ids.ConfigVersion(config.version),
        tuple(_build_queue(route) for route in config.routes),
    )


def _build_queue(route: documents.Route) -> specs.Queue:
    return specs.Queue(
        specs.QueueName(route.name),
        route.host,
        route.prefix,
        specs.PoolName(route.service),
        route.priority,
        route.max_attempts,
        route.stretch,
        round(route.latency_target_ms),
        route.advice is not None,
    )
