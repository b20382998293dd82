"""Jobs whose runs stand still beside serving tasks, in a fleet with room.

The workers have speeds here: they throttle best-effort runs, and a run that is
throttled to nothing doesn't keep its job from waiting.
"""

import dataclasses

import pytest

from tests.jobs import wait_search

AGENTS = 20
STANDING = wait_search.Setting("slowing", agents=AGENTS, speeds=True)
HARMLESS = wait_search.Setting(
    "slowing", agents=AGENTS, speeds=True, interference=0.0
)
"""The same jobs, beside serving tasks that they don't slow down."""

SEEDS = (1, 5, 7, 14)

LONG_TASKS = dataclasses.replace(STANDING, load="slowing-long")
LONG_SEEDS = (4, 5, 7, 10)

LOST = wait_search.Setting(
    "slowing",
    agents=AGENTS,
    power_loss=True,
    store_down_ms=3000.0,
    speeds=True,
    lost_ends_count=True,
)
"""The store fails until all lose power: steps are done that nobody knows of."""

LOST_SEEDS = (0, 21)


@pytest.mark.parametrize("seed", SEEDS)
def test_something_of_each_job_works(seed: int) -> None:
    """Guards against a job that counts as running while it stands still."""
    world = wait_search.play(seed, STANDING)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}


@pytest.mark.parametrize("seed", LONG_SEEDS)
def test_something_of_each_job_with_long_tasks_works(seed: int) -> None:
    """Guards against a run that stands still where it was boosted or moved."""
    world = wait_search.play(seed, LONG_TASKS)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_that_slow_nobody_down_work(seed: int) -> None:
    """Guards against a model in which jobs stand still whatever is decided."""
    world = wait_search.play(seed, HARMLESS)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}


@pytest.mark.parametrize("seed", LOST_SEEDS)
def test_something_works_after_ends_were_lost(seed: int) -> None:
    """Guards against a step that waits for a second run which stands still."""
    world = wait_search.play(seed, LOST)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}


@pytest.mark.parametrize("seed", LOST_SEEDS)
def test_second_runs_that_slow_nobody_down_end_in_time(seed: int) -> None:
    """Guards against a model that leaves no time for the second runs."""
    harmless = dataclasses.replace(LOST, interference=0.0)
    world = wait_search.play(seed, harmless)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}
