"""Seeded search for jobs that stay without a run although there is capacity.

Guards against stages that each take their share of the 3 s that the platform
allows. `wait_search` plays more seeds, and other loads.
"""

import pytest

from tests.jobs import wait_search

SLOW_STORE = wait_search.Setting("rush", agents=20, store_ms=300.0)
"""Many short steps, and batches that take up to 0.6 s."""

SLOW_HOLDER = wait_search.Setting(
    "crowd", agents=30, slowness=3.0, store_ms=50.0
)
"""Many best-effort jobs, and a holder on a third of a core."""


@pytest.mark.parametrize("seed", range(3))
def test_no_job_stays_without_a_run(seed: int) -> None:
    """Guards against jobs that wait because too few change with each batch."""
    world = wait_search.play(seed, SLOW_STORE)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}


def test_no_best_effort_job_stays_without_a_run() -> None:
    """Guards against jobs that lose each short run while the holder is busy.

    Most of their tasks are delayed, so a job has one run at a time.
    """
    world = wait_search.play(0, SLOW_HOLDER)
    assert wait_search.list_open_jobs(world) == []
    assert world.waits.violations == {}
