"""Tests of jobs that have nothing running while the fleet has room.

Pattern: what a job waits for lies in the holder, and no part of it knows how
long the job has had no run. Each test has one job in whose way one cause is.
"""

import math

import msgspec
import pytest

from gypsumhold.model.jobs import effects, specs
from tests.jobs import job_specs, large_world, worker_fake

START_MS = 4000.0
"""Time until a holder places tasks."""

BATCH_MS = 300.0
"""Time that a slow store takes for a batch beside its call."""

JUDGED_MS = 6000.0

MAX_PLAN_MS = 700.0
"""Time for a start; a job that lacks no capacity waits for nothing else."""

AGENTS = 10

NEARLY_A_WORKER = 29_500
"""CPU request that a worker with a serving task has not idle, in millis."""

WAITING = "waiting"
"""The job that is judged; its name is behind those of the others."""


def build_world(seed: int = 1, agents: int = AGENTS) -> large_world.LargeWorld:
    """Returns a world in which a holder has been elected."""
    world = large_world.LargeWorld(seed, agents)
    world.run(START_MS)
    return world


def submit_chain(
    world: large_world.LargeWorld, name: str, *steps: specs.StepSpec
) -> None:
    """Submits a job whose steps run one after another."""
    chain = tuple(
        specs.StepSpec(
            step.count,
            step.cpu_millis,
            step.memory_mb,
            estimate_ms=step.estimate_ms,
            after=(number - 1,) if number else (),
        )
        for number, step in enumerate(steps)
    )
    world.submit("entry-0", job_specs.build_job_of(name, chain))


def submit_waiting_job(world: large_world.LargeWorld) -> None:
    """Submits the job that has no run once its first step is ended."""
    first = specs.StepSpec(1, 1000, 100, estimate_ms=60_000)
    second = specs.StepSpec(1, 1000, 100, estimate_ms=1000)
    submit_chain(world, WAITING, first, second)


def list_runs(world: large_world.LargeWorld) -> list[worker_fake.FakeRun]:
    """Returns the runs of the job that is judged."""
    return [
        run
        for worker in world.workers.values()
        for run in worker.running.values()
        if run.ref.task.job_id == WAITING
    ]


def end_first_step(world: large_world.LargeWorld) -> None:
    (run,) = list_runs(world)
    run.finish_ms = world.now_ms


def judge_wait(world: large_world.LargeWorld) -> None:
    """Ends the first step and checks the wait for the second one."""
    end_first_step(world)
    world.judge(JUDGED_MS, lambda: False)
    assert world.waits.violations == {}


def test_job_is_placed_while_many_others_change() -> None:
    """Guards against a plan that ends before it has looked at a waiting job.

    The ends of a hundred other jobs make more than sixty of them change during
    each batch, which is the number at which a plan stops.
    """
    world = build_world()
    submit_waiting_job(world)
    for number in range(100):
        other = specs.StepSpec(24, 30, 10, estimate_ms=8000)
        submit_chain(world, f"other-{number}", other)
    world.run(4000)
    world.pauses_ms[effects.CommitBatch] = lambda: BATCH_MS
    world.run(3000)
    judge_wait(world)


def test_job_is_stored_while_large_records_change() -> None:
    """Guards against a placement that other jobs keep out of each batch.

    A batch has room for about nine records of the largest size, and the changed
    jobs are stored in the order of their names.
    """
    world = build_world()
    for worker in world.workers.values():
        worker.checkpoint_chars = 3000
    submit_waiting_job(world)
    for number in range(20):
        large = specs.StepSpec(40, 200, 10, estimate_ms=8000, checkpoints=True)
        submit_chain(world, f"large-{number:02}", large)
    world.run(4000)
    world.pauses_ms[effects.CommitBatch] = lambda: BATCH_MS
    world.run(3000)
    judge_wait(world)


def submit_best_effort_job(
    world: large_world.LargeWorld, second: specs.StepSpec
) -> None:
    """Submits a job whose second step has best-effort tasks."""
    first = specs.StepSpec(1, 1000, 100, estimate_ms=60_000)
    second = msgspec.structs.replace(second, after=(0,), fills=True)
    world.submit("entry-0", job_specs.build_job_of(WAITING, (first, second)))


def serve_on_workers(world: large_world.LargeWorld, workers: int) -> None:
    """Starts a serving task on each of some workers.

    It leaves too little idle for a best-effort task of `NEARLY_A_WORKER`.
    """
    step = specs.StepSpec(
        workers,
        2000,
        1000,
        estimate_ms=1000,
        long_running=True,
        max_per_worker=1,
        image=specs.Image("serving"),
        target_latency_ms=50,
    )
    world.submit("entry-0", job_specs.build_job_of("serving", (step,)))
    world.run(1500)


def test_refused_best_effort_job_runs_elsewhere() -> None:
    """Guards against a starved job that is refused by one worker for ever.

    Only the worker that refuses all starts is free of serving tasks, and the
    policy prefers it whenever the exclusions of the task are dropped.
    """
    world = build_world(agents=4)
    serve_on_workers(world, 3)
    submit_best_effort_job(
        world, specs.StepSpec(1, NEARLY_A_WORKER, 1000, estimate_ms=1000)
    )
    world.run(1500)
    for worker in world.workers.values():
        images = {run.ref.task.job_id for run in worker.running.values()}
        worker.refuses_starts = "serving" not in images
    judge_wait(world)


@pytest.mark.parametrize("cpu_millis", [1000, 20_000])
def test_job_runs_beside_a_worker_with_less_room_than_it_tells(
    cpu_millis: int,
) -> None:
    """Guards against a job that is sent to the same worker again and again.

    The worker refuses all starts for want of capacity, which says nothing
    against a later run there, and the policy prefers the fullest worker.
    """
    world = build_world(agents=4)
    filler = specs.StepSpec(1, 10_000, 1000, estimate_ms=60_000)
    submit_chain(world, "filler", filler)
    first = specs.StepSpec(1, 1000, 100, estimate_ms=60_000)
    second = specs.StepSpec(1, cpu_millis, 100, estimate_ms=1000)
    submit_chain(world, WAITING, first, second)
    world.run(1500)
    for worker in world.workers.values():
        jobs = {run.ref.task.job_id for run in worker.running.values()}
        worker.lacks_room = "filler" in jobs
    judge_wait(world)


def test_starved_best_effort_gang_runs() -> None:
    """Guards against a gang that the placement policy delays for ever.

    Other starved jobs get a run wherever there is capacity.
    """
    world = build_world(agents=4)
    serve_on_workers(world, 4)
    submit_best_effort_job(
        world,
        specs.StepSpec(2, NEARLY_A_WORKER, 1000, estimate_ms=1000, gang=True),
    )
    world.run(1500)
    judge_wait(world)


def test_jobs_without_capacity_do_not_hold_up_others() -> None:
    """Guards against a plan that skips jobs because others find no worker.

    Sixty jobs need the workers of one rack, which is full. The job that is
    judged may run anywhere, and is late, so that it comes after them.
    """
    world = build_world()
    short = specs.StepSpec(1, 1000, 100, estimate_ms=500)
    submit_chain(world, WAITING, short, short)
    world.run(200)
    (first,) = list_runs(world)
    first.finish_ms = math.inf
    step = specs.StepSpec(1, 20_000, 100, estimate_ms=60_000, label="r1-0")
    for number in range(60):
        world.submit(
            "entry-0", job_specs.build_job_of(f"other-{number}", (step,))
        )
    world.run(10_000)
    end_first_step(world)
    world.judge(JUDGED_MS, lambda: False)
    wait = world.waits.longest.get(specs.JobId(WAITING))
    assert wait is None or wait.measure_ms() <= MAX_PLAN_MS
