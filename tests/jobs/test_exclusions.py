"""Tests of tasks that failed on the only workers with free capacity.

Pattern: serving tasks request nearly all capacity. A task fails, as all do now
and then, and is excluded from the worker on which it failed; the workers that
it has not tried stay full. It has to run where there is room.
"""

import pytest

from gypsumhold.model.jobs import runs, specs
from tests.jobs import job_specs, observations
from tests.jobs import world as worlds

FULL_MILLIS = 8000
TASK_MILLIS = 5000

MAX_WAIT_MS = 3000
"""Time without a run that the platform allows while there is capacity."""


def build_step(cpu_millis: int, *, long_running: bool) -> specs.StepSpec:
    return specs.StepSpec(
        1, cpu_millis, 100, estimate_ms=1000, long_running=long_running
    )


def fail_run(world: worlds.World, job: str) -> str:
    """Lets the running task of a job fail; returns where that was."""
    for name, worker in world.workers.items():
        for ref, run in worker.running.items():
            if ref.job_id == job:
                run.end = runs.RunEnd.FAILED
                run.finish_ms = world.now_ms
                return name
    raise AssertionError(f"{job} does not run")


@pytest.mark.parametrize("long_running", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_failed_task_runs_again_where_there_is_room(
    seed: int, long_running: bool
) -> None:
    """Guards against a task that waits for a worker that stays full."""
    world = worlds.World(seed, agents=2)
    world.run(3000)
    full = build_step(FULL_MILLIS, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("full", (full,)))
    world.run(500)
    step = build_step(TASK_MILLIS, long_running=long_running)
    world.submit("entry-0", job_specs.build_job_of("failing", (step,)))
    world.run(200)
    failed_on = fail_run(world, "failing")
    world.run(MAX_WAIT_MS)
    started = [
        ref for ref in world.oracle.started if ref.task.job_id == "failing"
    ]
    assert [ref.run for ref in started] == [1, 2]
    if long_running:
        assert observations.count_running(world, "failing") == 1
        assert observations.count_running(world, "full") == 1
    assert failed_on in world.workers


def test_failed_task_tries_another_worker_first() -> None:
    """Guards against attempts that are used up on one faulty worker."""
    world = worlds.World(1, agents=2)
    world.run(3000)
    step = build_step(TASK_MILLIS, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("failing", (step,)))
    world.run(500)
    failed_on = fail_run(world, "failing")
    world.run(1000)
    assert fail_run(world, "failing") != failed_on
