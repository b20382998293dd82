"""Tests of where and when suspects start.

Pattern: a task that crashes its workers takes innocent suspects with it, until
their crashes are as many as its own.
"""

import pytest

from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, records, runs, specs
from tests.jobs import job_specs, test_regressions
from tests.jobs import world as worlds

SUSPECTS = ("first", "second", "third")
CRASHED = ids.InstanceId("agent-1")
ONLY_INSTANCE = "agent-0"

MAX_WAIT_MS = 15_000
STEP_MS = 10


def store_suspect(world: worlds.World, name: str) -> None:
    """Stores a job whose task waits after a crash of one of two workers."""
    crash = runs.Crash(CRASHED, 1, runs.CrashEvidence.SHARED, began=True)
    ready = records.TaskRecord(
        records.TaskState.READY, runs.RunNumber(1), crashes=(crash,)
    )
    step = records.StepRecord(0, 0, (ready,))
    spec = job_specs.build_job(name, (1,))
    world.store.write_job(spec)
    running = messages.JobState.RUNNING
    world.store.progress[spec.job_id] = records.ProgressRecord(
        records.FORMAT, running, (step,)
    )


def count_suspects(world: worlds.World) -> int:
    """Returns how many of the running tasks are suspects."""
    jobs = test_regressions.find_holder(world).state.holder_state.jobs
    return sum(
        jobs[task.job_id].find_task(task).is_suspect()
        for task in world.workers[ONLY_INSTANCE].running
    )


@pytest.mark.parametrize("seed", range(6))
def test_suspects_do_not_share_a_worker(seed: int) -> None:
    """Guards against a crash that counts against two suspects.

    The second one starts after the probation of the first, whose run is not
    old enough yet to be cleared.
    """
    world = worlds.World(seed, agents=2)
    for worker in world.workers.values():
        worker.stuck = True
    for name in SUSPECTS:
        store_suspect(world, name)
    world.run(3000)
    started: set[specs.JobId] = set()
    for _ in range(MAX_WAIT_MS // STEP_MS):
        world.run(STEP_MS)
        assert count_suspects(world) <= 1
        started = {ref.task.job_id for ref in world.oracle.started}
    assert started == set(SUSPECTS)
