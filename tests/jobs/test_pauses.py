"""Tests of processes that pause between a check and the act that it permits.

Pattern: a process checks a lease, a grant, a condition or a deadline, then
pauses for seconds, and acts when the permission has run out. Each act carries
an absolute time, a term, a fence or a version with which it does no harm.
"""

import pytest

from gypsumhold.model.jobs import effects
from tests.jobs import test_world
from tests.jobs import world as worlds

PAUSED_SHARE = 0.2
MAX_PAUSE_MS = 9000
SEEDS = range(6)
EFFECTS = (
    effects.StartRun,
    effects.StopRun,
    effects.PollWorker,
    effects.SendReport,
    effects.PushDirectives,
    effects.CommitBatch,
    effects.TakeQueue,
    effects.WriteJob,
    effects.WriteCancel,
    effects.LoadJobs,
)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", EFFECTS, ids=lambda kind: kind.__name__)
def test_pause_before_an_act_does_no_harm(kind: type, seed: int) -> None:
    """Guards against an act under a lease or term that has run out.

    The oracle of the world checks every start; all jobs end afterwards.
    """
    world = worlds.World(seed)

    def draw_pause_ms() -> float:
        if world.random.random() >= PAUSED_SHARE:
            return 0.0
        return world.random.uniform(500, MAX_PAUSE_MS)

    world.run(3000)
    world.pauses_ms[kind] = draw_pause_ms
    test_world.submit_jobs(world, 8, "j")
    for _ in range(3):
        world.after(
            world.random.uniform(500, 12_000),
            lambda: test_world.inject_fault(world),
        )
    world.run(18_000)
    world.pauses_ms.clear()
    world.run(test_world.QUIET_MS)
    test_world.check_all_ended(world)
