"""Tests of the number of waiting jobs that callers are told.

Pattern: a job counts as begun once a task of it is placed, though no worker has
begun a run. While starts have no answer, or are lost with their workers, a
caller is told that nothing waits.
"""

import datetime

import msgspec
import pytest

from gypsumhold.adapters.jobs import codec
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import lifecycle, progress_records, queries
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    progress,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from tests.jobs import builders, job_specs, nodes, test_world
from tests.jobs import world as worlds

START = datetime.timedelta(seconds=10)
MILLISECOND = datetime.timedelta(milliseconds=1)
TERM = ids.Epoch(1)
INSTANCE = ids.InstanceId("agent")
OTHER_INSTANCE = ids.InstanceId("other-agent")
FIRST = runs.WorkerIncarnation("i-1", 1000)
LATER = runs.WorkerIncarnation("i-2", 9000)
JOB = job_specs.build_job("j", (1,))
TASK = runs.TaskRef(JOB.job_id, 0, 0, 0)
RUN = runs.RunRef(TASK, runs.RunNumber(1))
NEXT_RUN = runs.RunRef(TASK, runs.RunNumber(2))
AGE_MS = 40

GANG_STEP = specs.StepSpec(2, 1000, 100, estimate_ms=1000, gang=True)
LARGE_STEP = specs.StepSpec(400, 10, 10, estimate_ms=1000)
LASTING_STEP = specs.StepSpec(1, 1000, 100, long_running=True)


def build_row(ref: runs.RunRef = RUN, age_ms: int = AGE_MS) -> runs.RunRow:
    return runs.RunRow(ref, age_ms=age_ms)


def build_end(
    end: runs.RunEnd, ref: runs.RunRef = RUN, number: int = 1
) -> runs.EndRow:
    return runs.EndRow(runs.EndNumber(number), ref, end)


def count_waiting(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> int:
    """Returns the number of waiting jobs that a holder tells a caller."""
    kind = messages.QueryKind.WAITING
    query = messages.Query(kind, queue=job_specs.QUEUE.name)
    wait = datetime.timedelta(seconds=3)
    asked = events.QueryArrived(ids.TicketId("q"), query, wait)
    (answer,) = (
        effect.answer
        for effect in queries.handle_query(state, asked, now)
        if isinstance(effect, effects.AnswerQuery)
    )
    return answer.waiting


class Holder:
    """A holder of the queue; its batches are stored at once."""

    def __init__(self, *rows: storage.JobRows) -> None:
        """Loads jobs."""
        self.now = START
        self.sequence = 0
        self.state = builders.build_holder(self.now)
        loaded = storage.LoadedJobs(rows, ids.RowVersion(1))
        self._deliver(events.JobsLoaded(TERM, loaded, 0))

    @property
    def holder_state(self) -> scheduler.HolderState:
        assert self.state.holder_state is not None
        return self.state.holder_state

    def find_job(self, spec: specs.JobSpec = JOB) -> progress.Job:
        return self.holder_state.jobs[spec.job_id]

    def build_record(self, spec: specs.JobSpec = JOB) -> records.ProgressRecord:
        """Returns what is stored of a job with its next batch."""
        return progress_records.build_record(self.find_job(spec))

    def count(self) -> int:
        """Returns the number of waiting jobs that callers are told."""
        return count_waiting(self.state, self.now)

    def report(
        self,
        *rows: runs.RunRow,
        ends: tuple[runs.EndRow, ...] = (),
        refused: tuple[runs.RefusedRow, ...] = (),
        losses: tuple[runs.LossRow, ...] = (),
        worker: runs.WorkerIncarnation = FIRST,
        instance: ids.InstanceId = INSTANCE,
    ) -> None:
        """Lets an agent report; stores what follows from it."""
        self.now += 100 * MILLISECOND
        self.sequence += 1
        report = messages.Report(
            instance,
            ids.Incarnation(1),
            self.sequence,
            messages.Endpoint("10.0.0.2", 1),
            builders.build_worker(worker),
            TERM,
            rows,
            ends=ends,
            refused=refused,
            losses=losses,
        )
        self._deliver(events.ReportArrived(ids.TicketId("r"), report))

    def _deliver(self, event: object) -> list[object]:
        emitted: list[object] = list(
            reducer.reduce(self.state, event, self.now)
        )
        while (batch := self.holder_state.in_flight) is not None:
            version = ids.RowVersion(batch.holder.batch + 1)
            write = storage.HolderWrite(storage.WriteResult.STORED, version)
            event = events.BatchCommitted(TERM, batch.holder.batch, write)
            emitted += reducer.reduce(self.state, event, self.now)
        return emitted


def place(spec: specs.JobSpec = JOB) -> Holder:
    """Returns a holder that has placed a job and stored that."""
    holder = Holder(storage.JobRows(spec))
    assert holder.count() == 1
    holder.report()
    assert holder.find_job(spec).has_placed_task()
    assert holder.find_job(spec).stored_state is messages.JobState.RUNNING
    return holder


@pytest.mark.parametrize(
    "rows",
    [
        pytest.param((), id="not listed"),
        pytest.param((build_row(age_ms=runs.UNKNOWN_AGE),), id="listed"),
    ],
)
def test_job_whose_start_is_not_confirmed_waits(
    rows: tuple[runs.RunRow, ...],
) -> None:
    """Guards against a placed job that counts as begun before any run is.

    Its agent may list the run while the start command has no answer.
    """
    holder = place()
    assert holder.count() == 1
    holder.report(*rows)
    assert holder.count() == 1


def test_job_whose_start_was_lost_with_its_worker_waits() -> None:
    """Guards against a job that counts as begun by a start that never was.

    No report has confirmed the run when its worker is lost.
    """
    holder = place()
    holder.report(worker=LATER)
    assert not holder.find_job().has_placed_task()
    assert holder.count() == 1
    holder.report(instance=OTHER_INSTANCE)
    assert holder.find_job().has_placed_task()
    assert holder.count() == 1
    holder.report(build_row(NEXT_RUN), instance=OTHER_INSTANCE)
    assert holder.count() == 0


def test_job_whose_start_was_refused_waits() -> None:
    """Guards against a job that counts as begun by a refused start."""
    holder = place()
    holder.report(refused=(runs.RefusedRow(RUN, runs.Refusal.UNANSWERED),))
    assert holder.count() == 1


def test_confirmed_run_begins_a_job() -> None:
    """Guards against a job that counts as waiting while it runs."""
    holder = place()
    holder.report(build_row())
    assert holder.count() == 0


def test_job_whose_only_run_was_lost_has_begun() -> None:
    """Guards against a job that counts as waiting again after it has begun."""
    holder = place()
    holder.report(build_row())
    holder.report(worker=LATER)
    assert holder.find_job().is_open()
    assert holder.count() == 0


@pytest.mark.parametrize("end", list(runs.RunEnd))
def test_listed_end_begins_a_job(end: runs.RunEnd) -> None:
    """Guards against a short run that began and ended between two reports."""
    spec = job_specs.build_job("j", (1, 1))
    holder = place(spec)
    holder.report(ends=(build_end(end),))
    assert holder.find_job(spec).is_open()
    assert holder.count() == 0


def test_reported_loss_of_a_run_begins_a_job() -> None:
    """Guards against a run that no report lists, as its worker crashed."""
    holder = place()
    loss = runs.LossRow(FIRST, (build_row(),), AGE_MS)
    holder.report(worker=LATER, losses=(loss,))
    assert holder.count() == 0


def test_end_of_a_former_run_begins_a_job() -> None:
    """Guards against a run that had begun, though the holder gave it up."""
    holder = place()
    task = holder.find_job().steps[0].tasks[0]
    task.run = NEXT_RUN.run
    assert holder.count() == 1
    holder.report(ends=(build_end(runs.RunEnd.FAILED),))
    assert holder.count() == 0


def test_end_of_an_unknown_run_begins_no_job() -> None:
    """Guards against an old job with the same id, whose end is still listed."""
    holder = place()
    holder.report(ends=(build_end(runs.RunEnd.DONE, NEXT_RUN),))
    assert holder.count() == 1


def test_listed_run_of_a_gang_is_not_confirmed_without_an_age() -> None:
    """Guards against a gang that counts as begun while its agent waits."""
    gang = job_specs.build_job_of("j", (GANG_STEP,))
    holder = place(gang)
    other = runs.RunRef(runs.TaskRef(JOB.job_id, 0, 0, 1), RUN.run)
    unknown = runs.UNKNOWN_AGE
    holder.report(build_row(RUN, unknown), build_row(other, unknown))
    assert holder.count() == 1
    holder.report(build_row(RUN), build_row(other, unknown))
    assert holder.count() == 0


@pytest.mark.parametrize("is_begun", [False, True])
def test_cancelled_job_does_not_wait(*, is_begun: bool) -> None:
    """Guards against an ended job that counts as waiting."""
    holder = place()
    if is_begun:
        holder.report(build_row())
    lifecycle.cancel_job(holder.holder_state, holder.find_job(), holder.now)
    assert holder.count() == 0


def test_timed_job_waits_until_its_first_repetition_begins() -> None:
    """Guards against a timed job that counts as waiting in between."""
    timed = msgspec.structs.replace(
        JOB, repetitions=2, first_run_ms=0, interval_ms=10**9
    )
    holder = place(timed)
    assert holder.count() == 1
    holder.report(ends=(build_end(runs.RunEnd.DONE),))
    assert holder.find_job().is_open()
    assert holder.count() == 0


def test_jobs_of_other_queues_are_not_counted() -> None:
    """Guards against a count over all queues."""
    other = msgspec.structs.replace(
        job_specs.QUEUE, name=specs.QueueName("other")
    )
    spec = msgspec.structs.replace(JOB, queue=other)
    assert Holder(storage.JobRows(spec)).count() == 0


# The next holder.


def hand_over(holder: Holder, spec: specs.JobSpec = JOB) -> Holder:
    """Returns the next holder, which has loaded what was stored of a job."""
    encoded = codec.encode(holder.build_record(spec))
    record = codec.decode(encoded, records.ProgressRecord).unwrap()
    return Holder(storage.JobRows(spec, record))


def test_next_holder_counts_a_placed_job_until_it_begins() -> None:
    """Guards against a job that a takeover makes begun, or waiting for good."""
    successor = hand_over(place())
    assert successor.count() == 1
    successor.report(build_row())
    assert successor.count() == 0


@pytest.mark.parametrize(
    "step",
    [
        pytest.param(JOB.steps[0], id="small"),
        pytest.param(LARGE_STEP, id="large"),
        pytest.param(LASTING_STEP, id="long-running"),
    ],
)
def test_next_holder_knows_that_a_job_has_begun(step: specs.StepSpec) -> None:
    """Guards against a job that counts as waiting again after a takeover.

    Its only run was lost, so nothing but the record tells that it has begun.
    """
    spec = job_specs.build_job_of("j", (step,))
    holder = place(spec)
    holder.report(build_row())
    holder.report(worker=LATER)
    assert hand_over(holder, spec).count() == 0


def build_former_record(task: records.TaskRecord) -> records.ProgressRecord:
    """Returns a row of a version that did not store whether a job began."""
    step = records.StepRecord(0, 0, (task,))
    encoded = msgspec.msgpack.encode(
        (records.FORMAT, messages.JobState.RUNNING, (step,))
    )
    return msgspec.msgpack.decode(encoded, type=records.ProgressRecord)


PLACED = records.TaskRecord(
    records.TaskState.PLACED, RUN.run, 0, INSTANCE, FIRST
)


@pytest.mark.parametrize(
    ("task", "waiting"),
    [
        pytest.param(PLACED, 1, id="placed"),
        pytest.param(records.TaskRecord(run=RUN.run), 1, id="released"),
        pytest.param(
            msgspec.structs.replace(PLACED, failures=1), 0, id="failed"
        ),
        pytest.param(
            msgspec.structs.replace(PLACED, checkpoint=runs.Checkpoint("c")),
            0,
            id="checkpointed",
        ),
    ],
)
def test_rows_of_former_versions_tell_of_runs_by_what_these_left(
    task: records.TaskRecord, waiting: int
) -> None:
    """Guards against rows that an upgrade takes for begun, or for waiting."""
    holder = Holder(storage.JobRows(JOB, build_former_record(task)))
    assert holder.count() == waiting


def test_done_task_in_a_row_of_a_former_version_has_begun() -> None:
    """Guards against a job of several steps that waits after an upgrade."""
    spec = job_specs.build_job("j", (1, 1))
    done = records.TaskRecord(records.TaskState.DONE, RUN.run)
    rows = storage.JobRows(spec, build_former_record(done))
    assert Holder(rows).count() == 0


# The world.

JOBS = 12
FAULTS = 8
ASKED_MS = 50.0
JUDGED_MS = 20_000.0


def count_not_started(
    world: worlds.World, holder_state: scheduler.HolderState
) -> int:
    """Returns how many jobs that a holder has open no worker has started."""
    started = {ref.task.job_id for ref in world.oracle.started}
    return len(holder_state.open_jobs.keys() - started)


@pytest.mark.parametrize("seed", range(6))
def test_count_has_every_job_that_no_worker_has_started(seed: int) -> None:
    """Guards against a count that leaves out jobs in any order of faults.

    Calls are lost and held back; processes and workers are killed, paused and
    cut off.
    """
    world = worlds.World(seed)
    world.run(2000)
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.15)
    test_world.submit_jobs(world, JOBS, "j")
    for _ in range(FAULTS):
        world.after(
            world.random.uniform(500, 15_000),
            lambda: test_world.inject_fault(world),
        )
    for _ in range(int(JUDGED_MS / ASKED_MS)):
        world.run(ASKED_MS)
        for node in world.nodes.values():
            state = node.state
            if not node.alive or not isinstance(
                state, scheduler.SchedulerState
            ):
                continue
            holder_state = state.holder_state
            if holder_state and state.role is scheduler.Role.HOLDER:
                not_started = count_not_started(world, holder_state)
                told = count_waiting(state, world.read_clock())
                assert told >= not_started
