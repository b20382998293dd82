"""Tests of the capacity of workers after jobs have ended.

Pattern: callers cancel jobs right after they were accepted, while their tasks
are placed and the start commands are not sent yet. Such a task never starts,
so no worker ever lists its end.
"""

import pytest

from gypsumhold.model.jobs import messages, specs
from tests.jobs import job_specs
from tests.jobs import world as worlds

AGENTS = 4
FULL_MILLIS = 8000

MAX_WAIT_MS = 3000
"""Time without a run that the platform allows while there is capacity."""


def build_full_job(name: str) -> specs.JobSpec:
    """Returns a job that needs every worker for itself."""
    step = specs.StepSpec(AGENTS, FULL_MILLIS, 100, long_running=True)
    return job_specs.build_job_of(name, (step,))


def wait_until_placed(world: worlds.World, job: str) -> None:
    while not any(
        line.decision == "place" and line.subject == job
        for _, _, line in world.log_lines
    ):
        world.run(1)


def count_starts_after_cancel(seed: int, offset_ms: int) -> int:
    """Returns how many tasks of the next job run in time."""
    world = worlds.World(seed, agents=AGENTS)
    world.run(4000)
    world.submit("entry-0", build_full_job("cancelled"))
    wait_until_placed(world, "cancelled")
    world.run(offset_ms)
    ticket = world.send_query(
        "entry-0", messages.QueryKind.CANCEL, specs.JobId("cancelled")
    )
    world.run(2000)
    assert world.verdicts[ticket].verdict is messages.Verdict.CANCELLED
    assert all(not worker.running for worker in world.workers.values())
    world.submit("entry-0", build_full_job("next"))
    world.run(MAX_WAIT_MS)
    return sum(len(worker.running) for worker in world.workers.values())


@pytest.mark.parametrize("seed", range(3))
def test_job_starts_after_one_that_was_cancelled_at_its_placement(
    seed: int,
) -> None:
    """Guards against tasks that never started and keep their capacity."""
    starts = {
        offset_ms: count_starts_after_cancel(seed, offset_ms)
        for offset_ms in range(0, 60, 5)
    }
    assert starts == dict.fromkeys(starts, AGENTS)
