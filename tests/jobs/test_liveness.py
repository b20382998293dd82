"""Random search for ready tasks that stay without a run although it is calm.

Guards against an open job of which nothing runs, and against a lasting task
that does not run, after every fault has passed. Beside the faults of
`test_world`, workers come back under the same or a new name, or with an earlier
start, or are lost for good, and all processes die together.
"""

import pytest

from gypsumhold.model.jobs import messages, runs, specs
from tests.jobs import job_specs, nodes, test_world
from tests.jobs import world as worlds

SEEDS = (*range(12), 30, 48, 78, 120)
FOREVER_MS = 1e9
FAULTS_MS = 18_000
CALM_MS = 34_000
"""Time for faults to pass, leases to lapse and short jobs to end."""

MAX_LOST_WORKERS = 2


def build_lasting(world: worlds.World) -> tuple[specs.StepSpec, ...]:
    step = specs.StepSpec(
        world.random.randint(1, 3),
        1000,
        world.random.choice((1000, 5776)),
        estimate_ms=1000,
        long_running=True,
        max_per_worker=world.random.choice((0, 1)),
    )
    return (step,)


def build_best_effort(world: worlds.World) -> tuple[specs.StepSpec, ...]:
    return tuple(
        specs.StepSpec(
            world.random.randint(1, 8),
            world.random.choice((1000, 4000)),
            1000,
            estimate_ms=1500,
            after=(number - 1,) if number else (),
            checkpoints=True,
            fills=True,
        )
        for number in range(2)
    )


def build_short(world: worlds.World) -> tuple[specs.StepSpec, ...]:
    return tuple(
        specs.StepSpec(
            world.random.randint(1, 8),
            world.random.choice((500, 1000, 4000)),
            1000,
            estimate_ms=1000,
            after=(number - 1,) if number else (),
            max_per_worker=world.random.choice((0, 0, 1)),
        )
        for number in range(2)
    )


def submit_jobs(world: worlds.World) -> None:
    builders = (build_lasting, build_best_effort, build_short, build_short)
    for number in range(world.random.randint(8, 22)):
        steps = world.random.choice(builders)(world)
        spec = job_specs.build_job_of(f"j{number}", steps)
        entry = f"entry-{world.random.randrange(2)}"
        world.after(
            world.random.uniform(0, 9000),
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )


def restart_worker(world: worlds.World) -> None:
    """Restarts a worker; its agent may die with it."""
    name = world.random.choice(list(world.workers))
    worker = world.workers[name]
    worker.restart(world.now_ms, world.random.uniform(100, 6000))
    drawn = world.random.random()
    lost = sum(other.up_at_ms >= FOREVER_MS for other in world.workers.values())
    if drawn < 0.3:
        worker.name += "x"
    elif drawn < 0.45:
        worker.started_ms -= 2500
    elif drawn < 0.7 and lost < MAX_LOST_WORKERS:
        worker.up_at_ms = FOREVER_MS
    if world.random.random() < 0.5:
        world.kill(name, world.random.uniform(100, 3000))


def kill_all(world: worlds.World) -> None:
    for name in world.nodes:
        world.kill(name, world.random.uniform(200, 2500))


def inject_fault(world: worlds.World) -> None:
    drawn = world.random.random()
    if drawn < 0.4:
        restart_worker(world)
    elif drawn < 0.5:
        kill_all(world)
    else:
        test_world.inject_fault(world)


def list_running(world: worlds.World) -> list[runs.TaskRef]:
    running: list[runs.TaskRef] = []
    for worker in world.workers.values():
        if worker.up_at_ms <= world.now_ms:
            worker.advance(world.now_ms)
            running += worker.running
    return running


def list_waiting(world: worlds.World) -> list[specs.JobId]:
    """Returns the open jobs of which too little runs."""
    running = [ref.job_id for ref in list_running(world)]
    waiting = []
    for job_id, spec in world.store.jobs.items():
        record = world.store.progress.get(job_id)
        if record is not None and record.state in messages.FINAL_STATES:
            continue
        first = spec.steps[0]
        wanted = first.count if first.long_running else 1
        if running.count(job_id) < wanted:
            waiting.append(job_id)
    return waiting


@pytest.mark.parametrize("seed", SEEDS)
def test_open_jobs_run_after_all_faults(seed: int) -> None:
    """Guards against a job that waits for something that never comes."""
    world = worlds.World(seed, agents=6, lists_workers=True)
    world.run(2500)
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.04)
    submit_jobs(world)
    for _ in range(world.random.randint(4, 12)):
        world.after(
            world.random.uniform(500, 16_000), lambda: inject_fault(world)
        )
    world.after(16_000, lambda: kill_all(world))
    world.run(FAULTS_MS)
    world.faults = nodes.NO_FAULTS
    world.run(CALM_MS)
    assert list_waiting(world) == []
