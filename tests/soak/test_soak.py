"""A short soak test with a fixed seed; `make soak SEED=N` runs longer ones.

Guards against failures that only real processes, signals and sockets cause: a
task that runs twice, a worker over its capacity, or an accepted job that does
not complete.
"""

import pytest

from tests.soak import soak

SECONDS = 10.0


@pytest.mark.parametrize("seed", (1,))
def test_short_soak(seed: int) -> None:
    assert soak.run_seed(seed, SECONDS) == []
