"""Tests that the oracle detects violations of the invariants."""

import contextlib

import pytest

from gypsumhold.model.jobs import messages, records, runs, specs
from tests.jobs import job_specs, oracle, store_fake, worker_fake
from tests.jobs import world as worlds


def start(worker: worker_fake.FakeWorker, command: runs.StartCommand) -> None:
    worker.until_ms = 10_000
    worker.running[command.ref.task] = worker_fake.FakeRun(
        command.ref, 5000.0, runs.RunEnd.DONE, command.cpu_millis
    )


TASK = runs.TaskRef(specs.JobId("j"), 0, 0, 0)


def build_start_command(
    cpu_millis: int, task: runs.TaskRef = TASK
) -> runs.StartCommand:
    ref = runs.RunRef(task, runs.RunNumber(1))
    checkpoint = runs.Checkpoint("")
    return runs.StartCommand(ref, "", checkpoint, cpu_millis, 100, 0)


@pytest.mark.parametrize(
    ("cpu_millis", "runs_twice", "message"),
    [
        (1000, True, "runs on two workers"),
        (1000, False, "without a stored placement"),
    ],
)
def test_violations_are_detected(
    cpu_millis: int, runs_twice: bool, message: str
) -> None:
    """Guards against a random search that passes because it checks nothing."""
    workers = {
        name: worker_fake.FakeWorker(name, 1) for name in ("first", "second")
    }
    checker = oracle.Oracle(store_fake.FakeStore(), workers)
    command = build_start_command(cpu_millis)
    if runs_twice:
        start(workers["second"], command)
    with pytest.raises(oracle.Violation, match=message):
        checker.check_start(workers["first"], command, 100.0)


def test_start_over_the_capacity_is_detected() -> None:
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job("j", (1,)))
    world.run(300)
    worker = next(item for item in world.workers.values() if item.running)
    command = build_start_command(worker.cpu_millis)
    start(worker, command)
    worker.running[command.ref.task].cpu_millis = worker.cpu_millis + 1
    with pytest.raises(oracle.Violation, match="CPU millis in use"):
        world.oracle.check_start(worker, command, world.now_ms)


@pytest.mark.parametrize(
    ("done_step", "is_discarded", "message"),
    [(0, False, None), (None, False, "before j"), (0, True, "as done")],
)
def test_late_start_of_an_ended_job(
    done_step: int | None, is_discarded: bool, message: str | None
) -> None:
    """Guards against a wrong order of steps by a record that has no steps.

    The record of an ended job has none. The ends on the workers tell the order,
    and whether the end of the task itself had been taken note of.
    """
    store = store_fake.FakeStore()
    spec = job_specs.build_job("j", (1, 1))
    store.jobs[spec.job_id] = spec
    store.progress[spec.job_id] = records.ProgressRecord(
        records.FORMAT, messages.JobState.COMPLETED, ()
    )
    worker = worker_fake.FakeWorker("first", 1)
    checker = oracle.Oracle(store, {"first": worker})
    if done_step is not None:
        before = runs.TaskRef(spec.job_id, 0, done_step, 0)
        start(worker, build_start_command(1000, before))
        worker.end_run(worker.running[before], runs.RunEnd.DONE)
    task = runs.TaskRef(spec.job_id, 0, 1, 0)
    if is_discarded:
        checker.noted_done[task] = (90.0, 0)
    expected = (
        contextlib.nullcontext()
        if message is None
        else pytest.raises(oracle.Violation, match=message)
    )
    with expected:
        checker.check_start(worker, build_start_command(1000, task), 100.0, 50)
