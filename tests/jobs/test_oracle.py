"""Tests that the oracle detects violations of the invariants."""

import pytest

from gypsumhold.model.jobs import runs
from tests.jobs import job_specs, oracle, store_fake, worker_fake
from tests.jobs import world as worlds


def start(worker: worker_fake.FakeWorker, command: runs.StartCommand) -> None:
    worker.until_ms = 10_000
    worker.running[command.ref.task] = worker_fake.FakeRun(
        command.ref, 5000.0, runs.RunEnd.DONE, command.cpu_millis
    )


def build_start_command(cpu_millis: int) -> runs.StartCommand:
    task = runs.TaskRef(job_specs.build_job("j", (1,)).job_id, 0, 0, 0)
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
