"""The rows of jobs in the platform's store."""

import datetime
import zlib
from typing import TypeVar

import logbook
from returns.result import Failure, Success

from gypsumhold.adapters.jobs import codec, interfaces
from gypsumhold.model import ids
from gypsumhold.model.jobs import events, records, specs, storage
from gypsumhold.platform import documents, table

_LOG = logbook.Logger("gypsumhold.platform.jobstore")
_Record = TypeVar("_Record")

HOLDER_TABLE = "holder"
ENTRY_TABLE = "entries"
JOB_TABLE = "jobs"
PROGRESS_TABLE = "progress"

QUEUE_PART = "queue"
"""Rows that change together lie in one part: a transaction has only one."""

JOB_PARTS = 8
"""A part handles one transaction after another, so submissions are kept out of
the way of the holder and of each other."""

# Fixed by the platform.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
CONFIG_PART = ""

HOLDER_KEY = "holder"
CANCEL_SUFFIX = "!cancel"
AFTER_SUFFIX = "~"
"""Sorts behind every key that begins with a job's id."""


class PlatformJobStore(interfaces.JobStore):
    """Keeps jobs in the platform's store."""

    def __init__(self, client: table.TableClient) -> None:
        """Stores the client."""
        self._client = client

    def write_job(self, spec: specs.JobSpec) -> storage.WriteResult:
        """Stores a submission unless its id is taken (CONFLICT)."""
        absent = table.Condition(JOB_TABLE, spec.job_id, ids.RowVersion(0))
        record = records.JobRecord(records.FORMAT, spec)
        put = table.Put(JOB_TABLE, spec.job_id, codec.encode(record))
        part = find_part(spec.job_id)
        return self._client.transact(part, (absent,), (put,)).result

    def read_job(self, job_id: specs.JobId) -> storage.JobRows | None:
        """Returns the rows of a job, or None if the read failed."""
        end = job_id + AFTER_SUFFIX
        found = self._client.read(JOB_TABLE, find_part(job_id), job_id, end)
        if found is None:
            return None
        if not found.rows:
            return storage.JobRows(None)
        progress = self._client.read(PROGRESS_TABLE, QUEUE_PART, job_id, end)
        if progress is None:
            return None
        return _join(found.rows, progress.rows).get(
            job_id, storage.JobRows(None)
        )

    def write_cancel(self, job_id: specs.JobId) -> storage.WriteResult:
        """Stores a cancellation."""
        record = records.CancelRecord(records.FORMAT, job_id)
        key = job_id + CANCEL_SUFFIX
        put = table.Put(JOB_TABLE, key, codec.encode(record))
        return self._client.transact(find_part(job_id), (), (put,)).result

    def remove_jobs(
        self, job_ids: tuple[specs.JobId, ...]
    ) -> storage.WriteResult:
        """Deletes submissions and cancellations."""
        by_part: dict[str, list[table.Removal]] = {}
        for job_id in job_ids:
            names = by_part.setdefault(find_part(job_id), [])
            names.append(table.Removal(JOB_TABLE, job_id))
            names.append(table.Removal(JOB_TABLE, job_id + CANCEL_SUFFIX))
        for part, names in by_part.items():
            result = self._client.transact(part, (), (), tuple(names)).result
            if result is not storage.WriteResult.STORED:
                return result
        return storage.WriteResult.STORED

    def read_holder(self) -> storage.HolderRow | None:
        """Returns the holder's row, or None if the read failed."""
        found = self._client.read(HOLDER_TABLE, QUEUE_PART, HOLDER_KEY)
        return None if found is None else _read_holder(found.rows)

    def take_holder(
        self,
        expected: ids.RowVersion,
        holder: records.HolderRecord,
        entry: records.EntryRecord,
    ) -> storage.HolderWrite:
        """Replaces the holder's row if it has the expected version."""
        return self._write_holder(
            expected,
            holder,
            (table.Put(ENTRY_TABLE, HOLDER_KEY, codec.encode(entry)),),
            (),
        )

    def commit(self, batch: storage.Batch) -> storage.HolderWrite:
        """Stores a batch if the holder's row has the expected version."""
        puts = [
            table.Put(PROGRESS_TABLE, it.job_id, codec.encode(it.record))
            for it in batch.writes
        ]
        removed = [
            table.Removal(PROGRESS_TABLE, job_id) for job_id in batch.removed
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
        condition = table.Condition(HOLDER_TABLE, HOLDER_KEY, expected)
        put = table.Put(HOLDER_TABLE, HOLDER_KEY, codec.encode(holder))
        outcome = self._client.transact(
            QUEUE_PART, (condition,), (put, *puts), removed
        )
        present = None
        if outcome.result is storage.WriteResult.CONFLICT:
            present = _read_holder(outcome.rows)
        return storage.HolderWrite(outcome.result, outcome.version, present)

    def load_jobs(self) -> storage.LoadedJobs | None:
        """Returns all jobs, or None if a read failed."""
        rows: list[documents.Row] = []
        version: int | None = None
        for part in map(_name_part, range(JOB_PARTS)):
            found = self._client.read_all(JOB_TABLE, part)
            if found is None:
                return None
            rows += found.rows
            version = found.row_version if version is None else version
        progress = self._client.read_all(PROGRESS_TABLE, QUEUE_PART)
        if progress is None:
            return None
        joined = _join(tuple(rows), progress.rows)
        orphans = tuple(
            specs.JobId(row.key)
            for row in progress.rows
            if row.key not in joined
        )
        return storage.LoadedJobs(
            tuple(joined.values()), ids.RowVersion(version or 0), orphans
        )

    def follow_jobs(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.JobChanges | None:
        """Waits for submissions and cancellations; None if that failed."""
        feed = self._client.follow(JOB_TABLE, after, wait)
        if feed.result is events.ReadResult.LOST:
            return None
        if feed.result is events.ReadResult.GAP:
            return storage.JobChanges(gap=True)
        joined = _join(feed.rows, ())
        cancelled = tuple(
            specs.JobId(row.key.removesuffix(CANCEL_SUFFIX))
            for row in feed.rows
            if row.key.endswith(CANCEL_SUFFIX) and not row.deleted
        )
        submitted = tuple(it.spec for it in joined.values() if it.spec)
        return storage.JobChanges(submitted, cancelled, feed.version)

    def register(self, record: records.EntryRecord) -> storage.WriteResult:
        """Stores where an entry answers."""
        put = table.Put(ENTRY_TABLE, f"at/{record.name}", codec.encode(record))
        return self._client.transact(QUEUE_PART, (), (put,)).result

    def follow_entries(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> storage.EntryChanges | None:
        """Waits for changes of the entries; None if that failed."""
        rows: tuple[documents.Row, ...]
        feed = table.FeedPage(events.ReadResult.GAP)
        if after:
            feed = self._client.follow(ENTRY_TABLE, after, wait)
        if feed.result is events.ReadResult.LOST:
            return None
        rows, version = feed.rows, feed.version
        if feed.result is events.ReadResult.GAP:
            found = self._client.read_all(ENTRY_TABLE, QUEUE_PART)
            if found is None:
                return None
            rows = found.rows
            version = ids.RowVersion(found.row_version)
        entries = [
            record
            for row in rows
            if not row.deleted
            if (record := _decode(row, records.EntryRecord)) is not None
        ]
        return storage.EntryChanges(tuple(entries), version)

    def follow_config(
        self, after: ids.RowVersion, wait: datetime.timedelta
    ) -> events.ConfigRead:
        """Waits for a configuration; version 0 reads the present one."""
        if after:
            feed = self._client.follow(CONFIG_TABLE, after, wait)
            config = _find_config(feed.rows)
            return events.ConfigRead(config, feed.version, feed.result)
        found = self._client.read(CONFIG_TABLE, CONFIG_PART, CONFIG_KEY)
        if found is None:
            return events.ConfigRead(None, after, events.ReadResult.LOST)
        return events.ConfigRead(
            _find_config(found.rows),
            ids.RowVersion(found.row_version),
            events.ReadResult.DONE,
        )


def find_part(job_id: specs.JobId) -> str:
    """Returns the part in which a job's submission lies."""
    return _name_part(zlib.crc32(job_id.encode()) % JOB_PARTS)


def _name_part(number: int) -> str:
    return f"jobs-{number}"


def _decode(row: documents.Row, kind: type[_Record]) -> _Record | None:
    read = codec.decode(row.value, kind)
    if not isinstance(read, Success):
        _LOG.error("row {} of {}: {}", row.key, row.table, read.failure())
        return None
    record: _Record = read.unwrap()
    return record


def _read_holder(rows: tuple[documents.Row, ...]) -> storage.HolderRow:
    for row in rows:
        if row.key == HOLDER_KEY and not row.deleted:
            record = _decode(row, records.HolderRecord)
            return storage.HolderRow(ids.RowVersion(row.row_version), record)
    return storage.HolderRow(ids.RowVersion(0), None)


def _join(
    rows: tuple[documents.Row, ...], progress: tuple[documents.Row, ...]
) -> dict[specs.JobId, storage.JobRows]:
    """Returns the rows of each job together."""
    done = {row.key: _decode(row, records.ProgressRecord) for row in progress}
    cancelled = {
        row.key.removesuffix(CANCEL_SUFFIX)
        for row in rows
        if row.key.endswith(CANCEL_SUFFIX) and not row.deleted
    }
    joined = {}
    for row in rows:
        if row.deleted or row.key.endswith(CANCEL_SUFFIX):
            continue
        record = _decode(row, records.JobRecord)
        if record is not None:
            joined[record.spec.job_id] = storage.JobRows(
                record.spec, done.get(row.key), row.key in cancelled
            )
    return joined


def _find_config(
    rows: tuple[documents.Row, ...],
) -> specs.QueueConfig | None:
    for row in reversed(rows):
        if row.key != CONFIG_KEY or row.deleted:
            continue
        match documents.decode(row.value, documents.Config):
            case Success(config):
                return build_config(config)
            case Failure(error):
                _LOG.error("unreadable configuration: {}", error)
    return None


def build_config(config: documents.Config) -> specs.QueueConfig:
    """Returns the queues of a configuration."""
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
