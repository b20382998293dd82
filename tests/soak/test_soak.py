"""A short soak test with a fixed seed; `make soak SEED=N` runs longer ones.

Guards against failures that only real processes, signals and sockets cause: a
task that runs twice, a worker over its capacity, or an accepted job that does
not complete.
"""

import pytest

from tests.soak import restarts, soak

SECONDS = 10.0
RESTART_SECONDS = 18.0
RESTART_SIZE = soak.Size(entries=2, agents=8)


@pytest.mark.parametrize("seed", (1,))
def test_short_soak(seed: int) -> None:
    assert soak.run_seed(seed, SECONDS) == []


@pytest.mark.parametrize("seed", (4,))
def test_short_play_of_restarts(seed: int) -> None:
    """Guards against calls that outlive the incarnation they were meant for."""
    options = restarts.Options(awaits_jobs=False)
    assert not restarts.play(seed, RESTART_SIZE, RESTART_SECONDS, options)
