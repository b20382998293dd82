"""Tests of ready tasks that stay without a run although workers are free.

Pattern: the holder waits for something that never comes, and nothing ends the
wait. After every fault has passed, each open job has to end or to run.
"""

import msgspec
import pytest

from gypsumhold.model.jobs import effects, events, messages, runs, specs
from tests.jobs import job_specs, nodes, observations
from tests.jobs import world as worlds

FOREVER_MS = 1e9
MAX_LAPSE_MS = 16_000
"""Time in which a lease lapses and a task is placed and started again."""

MAX_WAIT_MS = 5000
"""Time without a run that callers accept while there is capacity."""


def find_instance(world: worlds.World, job: str) -> str:
    """Returns the instance on which a task of a job runs."""
    for name, worker in world.workers.items():
        worker.advance(world.now_ms)
        if any(ref.job_id == job for ref in worker.running):
            return name
    raise AssertionError(f"{job} does not run")


def build_lasting(count: int = 1) -> specs.StepSpec:
    return specs.StepSpec(
        count, 2000, 5000, estimate_ms=1000, long_running=True
    )


@pytest.mark.parametrize("holder_dies", [False, True])
def test_task_runs_again_if_worker_and_agent_were_lost(
    holder_dies: bool,
) -> None:
    """Guards against a task that stays placed on a worker that is gone.

    The process that knew the worker's leases has died too.
    """
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of("j", (build_lasting(),)))
    world.run(1000)
    name = find_instance(world, "j")
    world.workers[name].restart(world.now_ms, FOREVER_MS)
    world.kill(name, 300)
    if holder_dies:
        world.kill("entry-0", 500)
        world.kill("entry-1", 500)
    world.run(MAX_LAPSE_MS)
    assert observations.count_running(world, "j") == 1


def test_task_runs_again_if_the_clock_of_the_worker_went_back() -> None:
    """Guards against a task that waits for a life of a worker that is over.

    The machine lost power, and its clock was behind when it came back.
    """
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of("j", (build_lasting(),)))
    world.run(1000)
    name = find_instance(world, "j")
    worker = world.workers[name]
    worker.restart(world.now_ms, 500)
    worker.started_ms -= 3000
    world.kill(name, 300)
    world.run(MAX_LAPSE_MS)
    assert observations.count_running(world, "j") == 1


def test_lasting_task_runs_beside_many_best_effort_jobs() -> None:
    """Guards against a plan that ends before it gets to a lasting task.

    Many best-effort jobs find no idle CPU, while the memory and the CPU that
    the lasting task requests are free.
    """
    world = worlds.World(1, agents=4)
    world.run(3000)
    lasting = job_specs.build_job_of("lasting", (build_lasting(2),))
    queue = msgspec.structs.replace(job_specs.QUEUE, priority=1)
    world.submit("entry-0", msgspec.structs.replace(lasting, queue=queue))
    world.run(1000)
    assert observations.count_running(world, "lasting") == 2
    for worker in world.workers.values():
        worker.stuck = True
    filling = specs.StepSpec(2, 8000, 100, estimate_ms=30_000, fills=True)
    for number in range(50):
        spec = job_specs.build_job_of(f"filling-{number}", (filling,))
        world.submit("entry-0", spec)
    world.run(4000)
    name = find_instance(world, "lasting")
    worker = world.workers[name]
    run = next(
        run for ref, run in worker.running.items() if ref.job_id == "lasting"
    )
    worker.end_run(run, runs.RunEnd.FAILED)
    world.run(MAX_WAIT_MS)
    assert observations.count_running(world, "lasting") == 2


def test_done_gang_stays_done_if_a_worker_is_lost_then() -> None:
    """Guards against a task of a done gang that becomes ready again.

    The other tasks are done, so that the gang is never placed again.
    """
    world = worlds.World(1)
    world.run(3000)
    gang = specs.StepSpec(2, 8000, 100, estimate_ms=1000, gang=True)
    after = specs.StepSpec(1, 1000, 100, estimate_ms=1000, after=(0,))
    world.submit("entry-0", job_specs.build_job_of("j", (gang, after)))
    world.run(250)
    first, second = (
        worker for worker in world.workers.values() if worker.running
    )
    first.stuck = second.stuck = True
    (run,) = first.running.values()
    first.end_run(run, runs.RunEnd.DONE)
    world.run(50)
    second.restart(world.now_ms, 500)
    first.stuck = second.stuck = False
    world.run(MAX_LAPSE_MS)
    job = world.store.progress[specs.JobId("j")]
    assert job.state is messages.JobState.COMPLETED


def test_queue_is_loaded_from_a_slow_store() -> None:
    """Guards against entries that take a queue from each other for good.

    Each reads the jobs for longer than the row of the holder may be unchanged.
    """
    world = worlds.World(1, entries=3)
    world.pauses_ms[effects.LoadJobs] = lambda: 4000.0
    world.run(500)
    world.submit("entry-0", job_specs.build_job("j", (1,)))
    world.run(20_000)
    assert [ref.task.job_id for ref in world.oracle.started] == ["j"]


@pytest.mark.parametrize("long_running", [False, True])
def test_job_runs_although_other_jobs_failed_on_every_worker(
    long_running: bool,
) -> None:
    """Guards against a job that waits until all workers leave quarantine.

    Jobs that cannot be done have failed on each of them.
    """
    world = worlds.World(1)
    world.run(3000)
    world.faults = nodes.Faults(failing=1.0)
    for number in range(30):
        spec = job_specs.build_job(f"failing-{number}", (2,))
        world.submit("entry-0", spec)
    world.run(4100)
    world.faults = nodes.NO_FAULTS
    step = specs.StepSpec(
        1, 1000, 1000, estimate_ms=1000, long_running=long_running
    )
    world.submit("entry-0", job_specs.build_job_of("j", (step,)))
    world.run(MAX_WAIT_MS)
    started = {ref.task.job_id for ref in world.oracle.started}
    assert "j" in started


def test_worker_that_did_not_leave_gets_tasks() -> None:
    """Guards against a worker that is taken to have left for good.

    The notice of its former life, under the same name, arrives late.
    """
    world = worlds.World(1, agents=1)
    world.run(3000)
    (worker,) = world.workers.values()
    worker.restart(world.now_ms, 200)
    world.run(3000)
    left = events.WorkerLeft(worker.name)
    world.deliver(world.nodes["agent-0"], left)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of("j", (build_lasting(),)))
    world.run(MAX_WAIT_MS)
    assert observations.count_running(world, "j") == 1


@pytest.mark.parametrize("seed", range(6))
def test_late_notice_of_a_former_life_ends_no_runs(seed: int) -> None:
    """Guards against two runs of a task whose worker did not leave."""
    world = worlds.World(seed, agents=2)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of("j", (build_lasting(),)))
    world.run(1000)
    name = find_instance(world, "j")
    left = events.WorkerLeft(world.workers[name].name)
    world.deliver(world.nodes[name], left)
    world.run(MAX_LAPSE_MS)
    assert observations.count_running(world, "j") == 1


def test_worker_with_an_earlier_start_gets_tasks() -> None:
    """Guards against a worker that its agent ignores for good.

    The clock of its machine went back before it restarted.
    """
    world = worlds.World(1, agents=1)
    world.run(3000)
    (worker,) = world.workers.values()
    worker.restart(world.now_ms, 200)
    worker.started_ms -= 3000
    world.run(MAX_LAPSE_MS)
    world.submit("entry-0", job_specs.build_job_of("j", (build_lasting(),)))
    world.run(MAX_WAIT_MS)
    assert observations.count_running(world, "j") == 1
