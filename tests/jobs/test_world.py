"""Random search over the job subsystem with faults between all processes.

Guards against a task that runs twice, a step that starts too early, a worker
over its capacity, an end that is discarded before it is stored, and an
accepted job that never ends.
"""

import pytest

from gypsumhold.model.jobs import messages, specs
from tests.jobs import job_specs, nodes
from tests.jobs import world as worlds

SEEDS = range(30)
QUIET_MS = 40_000


def submit_jobs(world: worlds.World, count: int, prefix: str) -> None:
    for number in range(count):
        entry = f"entry-{world.random.randrange(2)}"
        widths = tuple(
            world.random.randint(1, 5)
            for _ in range(world.random.randint(1, 3))
        )
        spec = job_specs.build_job(f"{prefix}{number}", widths)
        world.after(
            world.random.uniform(0, 6000),
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )


def inject_fault(world: worlds.World) -> None:
    drawn = world.random.random()
    names = list(world.nodes)
    name = world.random.choice(names)
    node = world.nodes[name]
    duration_ms = world.random.uniform(500, 9000)
    if drawn < 0.25:
        world.kill(name, world.random.uniform(200, 4000))
    elif drawn < 0.45:
        world.freeze(name, duration_ms)
    elif drawn < 0.6:
        node.cut = True
        world.after(duration_ms, lambda: setattr(node, "cut", False))
    elif drawn < 0.75:
        node.cut_store = True
        world.after(duration_ms, lambda: setattr(node, "cut_store", False))
    elif drawn < 0.85:
        world.store_down = True
        world.after(duration_ms, lambda: setattr(world, "store_down", False))
    else:
        worker = world.random.choice(list(world.workers.values()))
        worker.restart(world.now_ms, world.random.uniform(100, 3000))


def check_all_ended(world: worlds.World) -> None:
    for job_id in world.store.jobs:
        record = world.store.progress.get(job_id)
        assert record is not None, job_id
        assert record.state in messages.FINAL_STATES, (job_id, record)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_job_completes_without_faults(seed: int) -> None:
    world = worlds.World(seed)
    world.run(3000)
    submit_jobs(world, 12, "j")
    world.run(QUIET_MS)
    check_all_ended(world)
    states = {record.state for record in world.store.progress.values()}
    assert states == {messages.JobState.COMPLETED}


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_violate_no_invariant(seed: int) -> None:
    world = worlds.World(seed)
    world.run(2000)
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.05)
    submit_jobs(world, 12, "j")
    for _ in range(6):
        world.after(
            world.random.uniform(500, 15_000), lambda: inject_fault(world)
        )
    world.run(20_000)
    world.faults = nodes.NO_FAULTS
    world.run(QUIET_MS)
    check_all_ended(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancelled_jobs_stop(seed: int) -> None:
    world = worlds.World(seed)
    world.run(3000)
    spec = job_specs.build_job("j", (4, 4))
    world.submit("entry-0", spec)
    world.run(world.random.uniform(100, 900))
    ticket = world.send_query(
        f"entry-{seed % 2}", messages.QueryKind.CANCEL, specs.JobId("j")
    )
    world.run(1000)
    assert world.verdicts[ticket].verdict is messages.Verdict.CANCELLED
    world.run(1500)
    running = [
        run for worker in world.workers.values() for run in worker.running
    ]
    assert running == []
