"""Jobs whose runs stand still beside serving tasks, in a fleet with room.

The workers have speeds here: they throttle best-effort runs, and a run that is
throttled to nothing doesn't keep its job from waiting.
"""

import pytest

from tests.jobs import wait_search

AGENTS = 20
STANDING = wait_search.Setting("slowing", agents=AGENTS, speeds=True)
HARMLESS = wait_search.Setting(
    "slowing", agents=AGENTS, speeds=True, interference=0.0
)
"""The same jobs, beside serving tasks that they don't slow down."""

SEEDS = (4, 5, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_something_of_each_job_works(seed: int) -> None:
    """Guards against a job that counts as running while it stands still."""
    world = wait_search.play(seed, STANDING)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_that_slow_nobody_down_work(seed: int) -> None:
    """Guards against a model in which jobs stand still whatever is decided."""
    world = wait_search.play(seed, HARMLESS)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}
