"""Tests of crashes that only the agent beside the worker has seen.

Pattern: a worker is up again before its agent has reported the runs that it had
just started, or the holder changes in between. The crash leaves no trace, and a
task that crashes its workers is started without a limit.
"""

import datetime

import msgspec
import pytest
from returns.result import Failure

from gypsumhold.adapters.jobs import codec
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import losses
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from tests.jobs import (
    builders,
    job_specs,
    lone_agent,
    test_crashes,
    test_handover,
)

NOW = datetime.timedelta(seconds=10)
JOB = job_specs.build_job("j", (2,))
INSTANCE = ids.InstanceId("agent")
LOST = lone_agent.WORKER
LATER_MS = LOST.started_ms + 1000
TASK = runs.TaskRef(JOB.job_id, 0, 0, 0)
RUN = runs.RunRef(TASK, runs.RunNumber(1))
OTHER_RUN = runs.RunRef(runs.TaskRef(JOB.job_id, 0, 0, 1), runs.RunNumber(1))


# The agent.


def start_run(agent: lone_agent.LoneAgent) -> None:
    """Lets the worker confirm the start of a run."""
    agent.direct(starts=(RUN,))
    agent.answer_start(RUN, events.CommandResult.DONE)


def list_lost(report: messages.Report) -> list[runs.RunRef]:
    return [row.ref for loss in report.losses for row in loss.rows]


def test_run_of_a_lost_worker_is_reported_until_it_is_stored() -> None:
    """Guards against a crash of which no report ever tells."""
    agent = lone_agent.LoneAgent()
    start_run(agent)
    agent.restart_worker(LATER_MS)
    for _ in range(2):
        report = agent.report()
        assert [loss.incarnation for loss in report.losses] == [LOST]
        assert list_lost(report) == [RUN]
        agent.answer_report(report, agent.build_directives(9))
    report = agent.report()
    directives = msgspec.structs.replace(
        agent.build_directives(10), stored_losses=(LOST,)
    )
    agent.answer_report(report, directives)
    assert agent.report().losses == ()


def test_start_that_was_not_confirmed_is_not_reported() -> None:
    """Guards against a task that is blamed for a worker it never ran on."""
    agent = lone_agent.LoneAgent()
    agent.direct(starts=(RUN, OTHER_RUN))
    agent.answer_start(OTHER_RUN, events.CommandResult.UNANSWERED)
    agent.restart_worker(LATER_MS)
    assert agent.report().losses == ()


@pytest.mark.parametrize("way", ["old", "left", "draining"])
def test_only_runs_that_may_have_crashed_the_worker_are_reported(
    way: str,
) -> None:
    """Guards against serving tasks that are suspected after a crash.

    A worker that announced its end has not crashed.
    """
    agent = lone_agent.LoneAgent()
    start_run(agent)
    if way == "old":
        agent.wait(losses.FRESH_TIME / lone_agent.MILLISECOND + 1)
        agent.deliver(
            events.CommandAnswered(
                LOST,
                events.CommandKind.THROTTLE,
                RUN,
                agent.state.fence,
                events.CommandResult.DONE,
                agent.read_clock(),
            )
        )
    elif way == "left":
        agent.deliver(events.WorkerLeft(LOST.name))
    else:
        worker = agent.state.worker
        assert worker is not None
        draining = msgspec.structs.replace(
            worker,
            state=runs.WorkerState.DRAINING,
            sequence=worker.sequence + 1,
        )
        agent.deliver(events.HeartbeatReceived(draining))
    agent.restart_worker(LATER_MS)
    assert agent.report().losses == ()


def test_stray_heartbeat_is_no_loss() -> None:
    """Guards against tasks that are blamed for a crash that did not happen.

    A heartbeat tells of a later incarnation, which answers no poll, while the
    worker runs on.
    """
    agent = lone_agent.LoneAgent()
    start_run(agent)
    stray = runs.WorkerIncarnation("i-1", LATER_MS)
    agent.incarnation = stray
    agent.deliver_heartbeat()
    assert agent.report().losses == ()
    agent.deliver(
        events.WorkerPolled(
            stray, agent.state.fence, events.CommandResult.UNANSWERED
        )
    )
    wait = agent.state.former_runs_expire_at - agent.now
    agent.wait(wait / lone_agent.MILLISECOND)
    agent.incarnation = LOST
    agent.deliver_heartbeat()
    agent.poll()
    report = agent.report()
    assert report.worker is not None
    assert report.worker.incarnation == LOST
    assert report.losses == ()


def test_number_of_reported_losses_is_bounded() -> None:
    """Guards against reports that grow while no holder answers."""
    agent = lone_agent.LoneAgent()
    agent.outlive_former_starts()
    for number in range(1, 3 * losses.MAX_LOSSES):
        start_run(agent)
        agent.restart_worker(LOST.started_ms + 1000 * number)
    report = agent.report()
    assert len(report.losses) == losses.MAX_LOSSES
    latest = LOST.started_ms + 1000 * (3 * losses.MAX_LOSSES - 2)
    assert report.losses[-1].incarnation.started_ms == latest


# The holder.


class Holder:
    """A holder that has just loaded a job whose first task is placed."""

    def __init__(self, crashes: tuple[runs.Crash, ...] = ()) -> None:
        self.state = builders.build_holder(NOW)
        placed = records.TaskRecord(
            records.TaskState.PLACED,
            RUN.run,
            0,
            INSTANCE,
            LOST,
            crashes=crashes,
        )
        step = records.StepRecord(0, 0, (placed, records.TaskRecord()))
        running = messages.JobState.RUNNING
        record = records.ProgressRecord(records.FORMAT, running, (step,))
        rows = storage.LoadedJobs(
            (storage.JobRows(JOB, record),), ids.RowVersion(1)
        )
        reducer.reduce(
            self.state, events.JobsLoaded(ids.Epoch(1), rows, 0), NOW
        )
        self.sequence = 0

    @property
    def holder_state(self) -> scheduler.HolderState:
        assert self.state.holder_state is not None
        return self.state.holder_state

    @property
    def crashes(self) -> tuple[runs.Crash, ...]:
        task = self.holder_state.jobs[JOB.job_id].find_task(TASK)
        assert task is not None
        return task.crashes

    def report(self, ref: runs.RunRef = RUN) -> messages.Directives:
        """Reports a run as lost; returns the answer."""
        self.sequence += 1
        worker = builders.build_worker(runs.WorkerIncarnation("i-1", LATER_MS))
        loss = runs.LossRow(LOST, (runs.RunRow(ref, age_ms=7),), 7)
        report = messages.Report(
            INSTANCE,
            ids.Incarnation(1),
            self.sequence,
            messages.Endpoint("10.0.0.1", 1),
            worker,
            ids.Epoch(1),
            losses=(loss,),
        )
        arrived = events.ReportArrived(ids.TicketId("t"), report)
        emitted = reducer.reduce(self.state, arrived, NOW)
        (reply,) = (
            effect
            for effect in emitted
            if isinstance(effect, effects.ReplyReport)
        )
        return reply.directives

    def store(self) -> None:
        """Stores the batch in flight."""
        batch = self.holder_state.in_flight
        assert batch is not None
        write = storage.HolderWrite(
            storage.WriteResult.STORED, ids.RowVersion(2)
        )
        number = batch.holder.batch
        reducer.reduce(
            self.state, events.BatchCommitted(ids.Epoch(1), number, write), NOW
        )


def test_next_holder_records_a_crash_that_it_has_not_seen() -> None:
    """Guards against a crash that is forgotten with the former holder."""
    holder = Holder()
    holder.report()
    (crash,) = holder.crashes
    assert (crash.instance, crash.started_ms) == (INSTANCE, LOST.started_ms)
    assert crash.began
    assert crash.in_outage


def test_loss_is_confirmed_once_the_crash_is_stored() -> None:
    """Guards against a crash that is lost with the memory of the holder."""
    holder = Holder()
    assert holder.report().stored_losses == ()
    assert holder.report().stored_losses == ()
    while holder.holder_state.in_flight is not None:
        holder.store()
    assert holder.report().stored_losses == (LOST,)
    assert len(holder.crashes) == 1


def test_crash_that_is_stored_is_not_counted_twice() -> None:
    """Guards against one crash that two holders record."""
    known = runs.Crash(
        INSTANCE, LOST.started_ms, runs.CrashEvidence.ALONE, began=True
    )
    holder = Holder((known,))
    holder.report()
    assert holder.crashes == (known,)


@pytest.mark.parametrize(
    "ref",
    [
        runs.RunRef(TASK, runs.RunNumber(2)),
        runs.RunRef(runs.TaskRef(JOB.job_id, 0, 0, 9), RUN.run),
        runs.RunRef(runs.TaskRef(specs.JobId("gone"), 0, 0, 0), RUN.run),
    ],
)
def test_loss_of_an_unknown_run_is_confirmed_and_not_used(
    ref: runs.RunRef,
) -> None:
    """Guards against a report that is repeated for good."""
    holder = Holder()
    holder.report(ref)
    while holder.holder_state.in_flight is not None:
        holder.store()
    assert holder.report(ref).stored_losses == (LOST,)
    assert not any(crash.began for crash in holder.crashes)


@pytest.mark.parametrize("odd_ms", [-2, 2**62])
def test_odd_duration_of_a_loss_is_refused(odd_ms: int) -> None:
    """Guards against a report that raises an exception in the holder."""
    row = runs.RunRow(RUN, age_ms=7)
    good = runs.LossRow(LOST, (row,), 7)
    assert codec.decode(codec.encode(good), runs.LossRow).unwrap() == good
    odd_row = msgspec.structs.replace(row, age_ms=odd_ms)
    for odd in (
        msgspec.structs.replace(good, rows=(odd_row,)),
        msgspec.structs.replace(good, silent_after_ms=odd_ms),
    ):
        decoded = codec.decode(codec.encode(odd), runs.LossRow)
        assert isinstance(decoded, Failure)


# Both.


@pytest.mark.parametrize("kill_ms", [0, 300, 2500])
@pytest.mark.parametrize("down_ms", [100, 3200])
@pytest.mark.parametrize("seed", range(4))
def test_crash_beside_the_loss_of_the_holder_is_recorded(
    seed: int, down_ms: float, kill_ms: float
) -> None:
    """Guards against a task that is started once more for each lost holder."""
    world = test_crashes.start_world(seed, entries=3)
    world.deadly.add(test_crashes.build_ref(test_crashes.DEADLY))
    spec = job_specs.build_job(test_crashes.DEADLY, (3,))
    world.submit("entry-0", spec)
    while not world.crashes:
        world.run(1)
    first = world.crashes[0].instance
    world.workers[first].up_at_ms = world.now_ms + down_ms
    world.run(kill_ms)
    world.kill(test_handover.find_holder(world), 3000)
    world.run(test_crashes.SETTLE_MS)
    (line,) = (
        line
        for _, _, line in world.log_lines
        if line.decision == "task-given-up"
    )
    named = dict(line.inputs)["crashed"].split(",")
    assert {name.split("@")[0] for name in named} == {
        crash.instance for crash in world.crashes
    }
    assert len(world.crashes) <= test_crashes.MAX_CRASHES + 1
