"""Tests of jobs that the holder forgets, leaves waiting or places twice.

Pattern: a state that one event has begun is ended by another event only, which
comes late, or for another life of the job or the worker.
"""

import dataclasses
import datetime

import msgspec
import pytest

from gypsumhold.adapters import failure_events
from gypsumhold.model.jobs import effects, events, messages, runs, specs
from tests.jobs import (
    job_specs,
    nodes,
    observations,
    test_lost_tasks,
    worker_fake,
)
from tests.jobs import world as worlds

JOB_ID = specs.JobId("j")

MAX_WAIT_MS = 3000
"""Time without a run that the platform allows while there is capacity."""


def set_retention(world: worlds.World, retention: datetime.timedelta) -> None:
    for node in world.nodes.values():
        if node.name.startswith("entry"):
            node.state.options = dataclasses.replace(
                node.state.options, retention=retention
            )


@pytest.mark.parametrize("seed", range(3))
def test_job_runs_if_its_name_was_used_before(seed: int) -> None:
    """Guards against an accepted job that is deleted as the ended one.

    The name is used again while the progress of the ended job is deleted; an
    entry that is not the holder stores the submission.
    """
    for offset_ms in range(0, 50, 5):
        world = worlds.World(seed)
        set_retention(world, datetime.timedelta(seconds=3))
        world.run(3000)
        job = job_specs.build_job(JOB_ID, (1,))
        world.submit("entry-0", job)
        world.run(3000)
        while JOB_ID in world.store.jobs:
            world.run(1)
        world.run(offset_ms)
        follower = next(
            name
            for name in ("entry-0", "entry-1")
            if world.nodes[name].state.holder_state is None
        )
        ticket = world.submit(follower, job)
        world.run(MAX_WAIT_MS)
        assert world.verdicts[ticket].verdict is messages.Verdict.ACCEPTED
        assert len(world.oracle.started) == 2


@pytest.mark.parametrize("seed", range(3))
def test_task_runs_once_if_its_worker_did_not_leave(seed: int) -> None:
    """Guards against two runs of a task after a late notice of a departure.

    The order to stop the first run takes a while.
    """
    world = worlds.World(seed, agents=2)
    world.run(3000)
    step = test_lost_tasks.build_lasting()
    world.submit("entry-0", job_specs.build_job_of(JOB_ID, (step,)))
    world.run(1000)
    name = test_lost_tasks.find_instance(world, JOB_ID)
    world.scripted_faults[effects.StopRun] = ["late"]
    left = events.WorkerLeft(world.workers[name].name)
    world.deliver(world.nodes[name], left)
    world.run(test_lost_tasks.MAX_LAPSE_MS)
    assert observations.count_running(world, JOB_ID) == 1


@pytest.mark.parametrize("long_running", [False, True])
def test_job_runs_although_its_kind_of_worker_is_in_quarantine(
    long_running: bool,
) -> None:
    """Guards against a job that waits for the end of a quarantine.

    Most workers are sound, but the task fits on none of them.
    """
    world = worlds.World(1, agents=6)
    world.workers["agent-0"].cpu_millis = 64_000
    world.run(3000)
    world.faults = nodes.Faults(failing=1.0)
    for number in range(6):
        failing = job_specs.build_job(f"failing-{number}", (1,), 9000)
        world.submit("entry-0", failing)
    world.run(6000)
    world.faults = nodes.NO_FAULTS
    step = specs.StepSpec(
        1, 12_000, 100, estimate_ms=1000, long_running=long_running
    )
    world.submit("entry-0", job_specs.build_job_of(JOB_ID, (step,)))
    world.run(MAX_WAIT_MS)
    assert JOB_ID in {ref.task.job_id for ref in world.oracle.started}


@pytest.mark.parametrize("seed", range(3))
def test_job_that_was_refused_is_placed_again_in_time(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal that lets a starved job wait anew.

    Its only run is refused once for lack of capacity.
    """
    start = worker_fake.FakeWorker.start
    refused: list[runs.RunRef] = []

    def refuse_first(
        worker: worker_fake.FakeWorker,
        effect: effects.StartRun,
        now_ms: float,
        finish_ms: float,
        end: runs.RunEnd,
    ) -> events.CommandResult:
        ref = effect.command.ref
        if ref.task.job_id == JOB_ID and not refused:
            refused.append(ref)
            return events.CommandResult.NO_CAPACITY
        return start(worker, effect, now_ms, finish_ms, end)

    monkeypatch.setattr(worker_fake.FakeWorker, "start", refuse_first)
    world = worlds.World(seed, agents=3)
    world.run(3000)
    serving = specs.StepSpec(
        3,
        6000,
        100,
        estimate_ms=1000,
        long_running=True,
        target_latency_ms=50,
        image=specs.Image("serving"),
    )
    world.submit("entry-0", job_specs.build_job_of("serving", (serving,)))
    world.run(2000)
    world.pauses_ms[effects.CommitBatch] = lambda: 300.0
    filling = specs.StepSpec(3, 7000, 100, estimate_ms=3000, fills=True)
    world.submit("entry-0", job_specs.build_job_of(JOB_ID, (filling,)))
    world.run(MAX_WAIT_MS)
    assert refused
    assert JOB_ID in {ref.task.job_id for ref in world.oracle.started}


def test_job_that_was_left_out_keeps_its_progress() -> None:
    """Guards against a record that is replaced by the part that was read."""
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job(JOB_ID, (2,)))
    world.run(300)
    for worker in world.workers.values():
        worker.stuck = True
    record = world.store.progress[JOB_ID]
    (step,) = record.steps
    faulty_step = msgspec.structs.replace(step, step=3)
    faulty = msgspec.structs.replace(record, steps=(step, faulty_step))
    world.store.progress[JOB_ID] = faulty
    for name in ("entry-0", "entry-1"):
        world.kill(name, 100)
    world.run(4000)
    for worker in world.workers.values():
        worker.stuck = False
    world.run(4000)
    assert any(
        line.decision == "job-left-out" for _, _, line in world.log_lines
    )
    assert world.store.progress[JOB_ID] == faulty


@pytest.mark.parametrize("seed", range(3))
def test_tasks_go_on_if_an_entry_cannot_read_the_jobs(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leases that expire while an entry fails to load the jobs.

    It reaches the row of the holder, so that it can renew it.
    """
    call_store = worlds.World._call_store
    unable: list[str] = []

    def fail_first(
        world: worlds.World, node: nodes.Node, effect: object
    ) -> None:
        if isinstance(effect, effects.LoadJobs) and unable in ([], [node.name]):
            unable[:] = [node.name]
            failure = failure_events.build_failure_event(effect, False)
            world._schedule_event(node, 300, failure)
            return
        call_store(world, node, effect)

    world = worlds.World(seed, entries=3)
    world.run(3000)
    step = test_lost_tasks.build_lasting(3)
    world.submit("entry-0", job_specs.build_job_of(JOB_ID, (step,)))
    world.run(1500)
    monkeypatch.setattr(worlds.World, "_call_store", fail_first)
    for name in ("entry-0", "entry-1", "entry-2"):
        if world.nodes[name].state.holder_state is not None:
            world.kill(name, 200)
    started = len(world.oracle.started)
    world.run(test_lost_tasks.MAX_LAPSE_MS)
    assert unable
    assert observations.count_running(world, JOB_ID) == 3
    assert len(world.oracle.started) == started
