"""Enumerates the order of the calls around a hand-over of the queue.

Pattern: the next calls of holder, successor and agent after a hand-over are
each carried out at once, after the other side has had time to act, or only
after every permission has run out. All combinations are played, so the order of
these calls is not left to chance. `ENUMERATED_CALLS` sets how many calls are
enumerated; each further one multiplies the runs by three.
"""

import collections
import itertools
import os
from collections.abc import Callable, Iterator

import pytest

from gypsumhold.model.jobs import effects, messages, specs
from tests.jobs import job_specs, test_handover
from tests.jobs import world as worlds

ENUMERATED_CALLS = int(os.environ.get("ENUMERATED_CALLS", "3"))

NOW_MS = 0
SOON_MS = 1200
"""Longer than a poll of the holder's row and than a call of a peer."""

EXPIRED_MS = 8200
"""Longer than the delay of a takeover plus the window of grants; also longer
than the time for which the platform carries out late commands."""

DELAYS_MS = (NOW_MS, SOON_MS, EXPIRED_MS)

STORE_CALLS = (effects.CommitBatch, effects.TakeQueue, effects.LoadJobs)
ORDERS = (effects.PushDirectives, effects.SendReport, effects.StartRun)
SETTLE_MS = 40_000
JOB = specs.JobId("j")


def list_delays() -> list[tuple[int, ...]]:
    """Returns all delays of the enumerated calls, but for that of no delay."""
    combinations = itertools.product(DELAYS_MS, repeat=ENUMERATED_CALLS)
    return [delays for delays in combinations if any(delays)]


def delay_calls(
    world: worlds.World, kinds: tuple[type, ...], delays: tuple[int, ...]
) -> None:
    """Delays the next calls of these kinds, in the order of their effects."""
    left: Iterator[int] = iter(delays)

    def draw() -> float:
        return next(left, NOW_MS)

    pause: Callable[[], float] = draw
    for kind in kinds:
        world.pauses_ms[kind] = pause


@pytest.mark.parametrize("delays", list_delays(), ids=str)
@pytest.mark.parametrize("kinds", [STORE_CALLS, ORDERS], ids=["store", "order"])
@pytest.mark.parametrize("way", ["stopped", "frozen"])
def test_each_order_goes_out_once(
    way: str, kinds: tuple[type, ...], delays: tuple[int, ...]
) -> None:
    """Guards against a holder and its successor that both act for a moment.

    The oracle raises if a task runs in two places, or starts without a stored
    placement. A run that lapsed with its grant may be started again.
    """
    world = worlds.World(7)
    world.run(4000)
    holder = test_handover.find_holder(world)
    other = next(
        name
        for name in world.nodes
        if name.startswith("entry") and name != holder
    )
    world.submit(other, job_specs.build_job(JOB, (3, 2)))
    world.run(60)
    delay_calls(world, kinds, delays)
    test_handover.hand_over(world, holder, way)
    world.run(SETTLE_MS)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
    check_no_run_was_ordered_twice(world)


def check_no_run_was_ordered_twice(world: worlds.World) -> None:
    starts = collections.Counter(world.oracle.started)
    assert set(starts.values()) == {1}
