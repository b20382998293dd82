"""Tests of how soon ends are acknowledged after a rolling restart of agents.

Guards against processes that withhold acknowledgements for long because starts
of the former ones may still be under way.
"""

import pytest

from gypsumhold.model.jobs import runs, specs
from tests.jobs import job_specs
from tests.jobs import world as worlds

ACK_TIMEOUT_MS = 4000
"""Time after which the platform counts an end as not acknowledged."""

MAX_LATE_SHARE = 0.02
"""The platform bears a fifth."""

AGENTS = 6
CORES = 8
LOAD = 0.8
WARM_UP_MS = 3000
PLAYED_MS = 50_000
SUBMIT_INTERVAL_MS = 250
FIRST_RESTART_MS = 8000
ROUND_MS = 18_000
RESTART_INTERVAL_MS = 1500
DOWN_MS = 1500
STEP_MS = 100


def submit_jobs(world: worlds.World, work_ms: int) -> None:
    """Lets jobs come that use most of the workers."""
    tasks = LOAD * AGENTS * CORES * SUBMIT_INTERVAL_MS / work_ms
    step = specs.StepSpec(max(1, int(tasks)), 1000, 100, estimate_ms=work_ms)
    for number in range(PLAYED_MS // SUBMIT_INTERVAL_MS):
        spec = job_specs.build_job_of(f"j{number}", (step,))
        world.after(
            number * SUBMIT_INTERVAL_MS,
            lambda spec=spec: world.submit("entry-0", spec),
        )


def restart_agents(world: worlds.World, rounds: int) -> None:
    """Lets all agents be killed one after the other, in each round."""
    for index, name in enumerate(sorted(world.workers)):
        for number in range(rounds):
            at_ms = FIRST_RESTART_MS + number * ROUND_MS
            world.after(
                at_ms + index * RESTART_INTERVAL_MS,
                lambda name=name: world.kill(name, DOWN_MS),
            )


def list_ends(
    world: worlds.World,
) -> set[tuple[str, int, runs.EndNumber]]:
    return {
        (name, worker.started_ms, end.number)
        for name, worker in world.workers.items()
        for end in worker.ends
    }


@pytest.mark.parametrize("rounds", [1, 2])
@pytest.mark.parametrize("work_ms", [1000, 3000])
@pytest.mark.parametrize("seed", range(2))
def test_ends_are_acknowledged_in_time_after_a_rolling_restart(
    seed: int, work_ms: int, rounds: int
) -> None:
    world = worlds.World(seed, entries=3, agents=AGENTS)
    world.run(WARM_UP_MS)
    submit_jobs(world, work_ms)
    restart_agents(world, rounds)
    listed_ms: dict[tuple[str, int, runs.EndNumber], float] = {}
    waits_ms: list[float] = []
    while world.now_ms < WARM_UP_MS + PLAYED_MS:
        world.run(STEP_MS)
        present = list_ends(world)
        for end in present:
            listed_ms.setdefault(end, world.now_ms)
        for end in set(listed_ms) - present:
            waits_ms.append(world.now_ms - listed_ms.pop(end))
    late = sum(wait_ms > ACK_TIMEOUT_MS for wait_ms in waits_ms)
    assert late <= MAX_LATE_SHARE * len(waits_ms)
