"""Random search over workers that restart under their names.

A call that names a worker is taken by whichever of its incarnations is up, also
seconds later. What the call carries then means something else there: a lease is
a reading of the former clock, an acknowledgement a number of the former ends.
"""

import random

import pytest

from gypsumhold.model.jobs import specs
from tests.jobs import job_specs, nodes
from tests.jobs import world as worlds

SHORT_MS = 400
LONG_MS = 12_000
ROUNDS = 6
ROUND_MS = 6000
DOWN_MS = (50, 300)
UNTIL_CUT_MS = (300, 1800)
CUT_MS = 10_000
SETTLE_MS = 60_000

HELD = nodes.Faults(held=0.3)
LATE = nodes.Faults(late=0.15)


class RestartWorld(worlds.World):
    """A world in which tasks work as long as they are estimated to."""

    def _draw_work_ms(self, task):
        return self.store.jobs[task.job_id].steps[task.step].estimate_ms


def submit_jobs(world: worlds.World, source: random.Random) -> None:
    """Submits jobs of short and of long tasks over all rounds."""
    for number in range(ROUNDS * 6):
        work_ms = LONG_MS if number % 3 == 0 else SHORT_MS
        step = specs.StepSpec(
            source.randint(1, 4), 1000, 100, estimate_ms=work_ms
        )
        spec = job_specs.build_job_of(f"j{number}", (step,))
        entry = f"entry-{source.randrange(2)}"
        world.after(
            source.uniform(0, ROUNDS * ROUND_MS),
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )


def restart_workers(world: worlds.World, source: random.Random) -> None:
    """Restarts half of the workers, and cuts some of them off soon after."""
    for name in source.sample(sorted(world.workers), len(world.workers) // 2):
        world.workers[name].restart(world.now_ms, source.uniform(*DOWN_MS))
        node = world.nodes[name]
        if source.random() < 0.75:
            world.after(
                source.uniform(*UNTIL_CUT_MS),
                lambda node=node: setattr(node, "cut_worker", True),
            )
            world.after(
                CUT_MS, lambda node=node: setattr(node, "cut_worker", False)
            )


def play(seed: int, faults: nodes.Faults) -> worlds.World:
    source = random.Random(seed)
    world = RestartWorld(seed, agents=6)
    world.run(3000)
    world.faults = faults
    submit_jobs(world, source)
    for number in range(ROUNDS):
        world.after(
            number * ROUND_MS + 3000, lambda: restart_workers(world, source)
        )
    world.run(ROUNDS * ROUND_MS + CUT_MS)
    world.faults = nodes.NO_FAULTS
    world.run(SETTLE_MS)
    return world


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("faults", [HELD, LATE], ids=["held", "late"])
def test_calls_for_a_former_life_start_nothing_twice(
    faults: nodes.Faults, seed: int
) -> None:
    """Guards against two runs of a task, one of them by an outlived lease."""
    world = play(seed, faults)
    assert not list_open(world)


def list_open(world: worlds.World) -> list[str]:
    return [
        str(job_id)
        for job_id, record in world.store.progress.items()
        if record.state.value not in ("completed", "failed", "cancelled")
    ]
