"""Tests of how rows are spread over the parts of the store.

A part handles one transaction after another and refuses those that would wait
for more than a second. While all rows were in one part of a slow store, a few
submissions per second kept the holder of the queue from storing anything.
"""

import dataclasses
import threading

from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, records, specs, storage
from gypsumhold.platform import documents, jobstore, table
from tests.jobs import job_specs, nodes
from tests.jobs import world as worlds

WAIT_S = 5.0


@dataclasses.dataclass(slots=True)
class RecordingClient(table.TableClient):
    """Records the part of each transaction and keeps the rows that it puts."""

    parts: list[str] = dataclasses.field(default_factory=list)
    rows: dict[tuple[str, str], tuple[documents.Row, ...]] = dataclasses.field(
        default_factory=dict
    )

    def transact(
        self,
        part: str,
        conditions: tuple[table.Condition, ...],
        puts: tuple[table.Put, ...],
        removed: tuple[table.Removal, ...] = (),
    ) -> table.TransactionOutcome:
        self.parts.append(part)
        for put in puts:
            row = documents.Row(put.table, put.key, 1, part, put.value)
            known = self.rows.get((put.table, part), ())
            self.rows[put.table, part] = (*known, row)
        return table.TransactionOutcome(
            storage.WriteResult.STORED, ids.RowVersion(1)
        )

    def read_all(self, table: str, part: str) -> documents.Rows | None:
        return documents.Rows(self.rows.get((table, part), ()), 1)


def build_batch(job_id: specs.JobId) -> storage.Batch:
    holder = records.HolderRecord(
        records.FORMAT,
        ids.Epoch(1),
        "entry",
        ids.Incarnation(1),
        messages.Endpoint("h", 1),
        1,
    )
    progress = records.ProgressRecord(
        records.FORMAT, messages.JobState.RUNNING, ()
    )
    write = storage.ProgressWrite(job_id, progress)
    return storage.Batch(ids.RowVersion(1), holder, (write,))


def test_submissions_leave_the_part_of_the_holder_alone() -> None:
    client = RecordingClient()
    store = jobstore.PlatformJobStore(client)
    for number in range(40):
        store.write_job(job_specs.build_job(f"{number:016x}", (1,)))
    submissions = set(client.parts)
    client.parts.clear()
    store.commit(build_batch(specs.JobId("0" * 16)))
    assert len(client.parts) == 1
    assert not submissions & set(client.parts)
    assert len(submissions) == jobstore.JOB_PARTS


def test_all_parts_are_loaded_with_their_progress() -> None:
    client = RecordingClient()
    store = jobstore.PlatformJobStore(client)
    names = [specs.JobId(f"{number:016x}") for number in range(12)]
    for name in names:
        store.write_job(job_specs.build_job(name, (1,)))
    store.commit(build_batch(names[0]))
    store.commit(build_batch(specs.JobId("gone")))
    loaded = store.load_jobs()
    assert loaded is not None
    assert {rows.spec.job_id for rows in loaded.jobs if rows.spec} == set(names)
    assert sum(rows.progress is not None for rows in loaded.jobs) == 1
    assert loaded.leftover_progress == (specs.JobId("gone"),)


class ConcurrentClient(table.TableClient):
    """Answers the reads of the parts once all of them have arrived."""

    def __init__(self) -> None:
        self.read_tables: list[str] = []
        self._arrived = threading.Barrier(jobstore.JOB_PARTS)

    def read_all(self, table: str, part: str) -> documents.Rows | None:
        self.read_tables.append(table)
        if table == jobstore.PROGRESS_TABLE:
            return documents.Rows((), 7)
        self._arrived.wait(WAIT_S)
        return documents.Rows((), 9)


def test_parts_are_read_concurrently_after_the_progress() -> None:
    """Guards against a takeover that waits for nine reads one by one.

    Also against a job whose submission is read before, and whose progress is
    read after, it was deleted: it would run again.
    """
    client = ConcurrentClient()
    loaded = jobstore.PlatformJobStore(client).load_jobs()
    assert loaded is not None
    assert loaded.version == 7
    first, *others = client.read_tables
    assert first == jobstore.PROGRESS_TABLE
    assert others == [jobstore.JOB_TABLE] * jobstore.JOB_PARTS


def test_old_jobs_lose_their_submission_before_their_progress() -> None:
    """Guards against jobs that run again: progress must be deleted last."""
    world = worlds.World(11)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job("j", (1,)))
    world.run(170_000)
    assert "j" in world.store.jobs
    world.faults = nodes.Faults(refused=0.5)
    for _ in range(400):
        world.run(100)
        assert "j" not in world.store.jobs or "j" in world.store.progress
    world.faults = nodes.NO_FAULTS
    world.run(5000)
    assert "j" not in world.store.jobs
    assert "j" not in world.store.progress
