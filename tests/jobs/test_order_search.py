"""Bounded part of the search over all orders of calls around restarts.

`python -m tests.jobs.order_search` walks further; its package tells what a step
is. An order that breaks a rule is printed with the failure.
"""

import pytest

from tests.jobs.order_search import (
    digests,
    reports,
    small_world,
    steps,
    walk,
    worker_link,
)

SHORT_PAUSES_MS = (300, 1500)
CALL_GIVEN_UP_MS = 1500
GRANT_ENDED_MS = 7500
SILENT_MS = 4000

SETTINGS = {
    "one restart": walk.Setting(
        5,
        steps.Limits(
            held_starts=2,
            restarts=1,
            pauses=1,
            pause_lengths_ms=SHORT_PAUSES_MS,
        ),
    ),
    "two restarts": walk.Setting(
        5,
        steps.Limits(
            held_starts=1,
            restarts=2,
            pauses=1,
            pause_lengths_ms=SHORT_PAUSES_MS,
        ),
    ),
    "capacity": walk.Setting(
        6, steps.Limits(held_starts=3, restarts=1, pauses=0), tasks=3
    ),
    "ends": walk.Setting(
        6,
        steps.Limits(
            held_starts=1,
            restarts=1,
            ends=1,
            pauses=2,
            pause_lengths_ms=(CALL_GIVEN_UP_MS,),
        ),
    ),
    "agent cut off": walk.Setting(
        6,
        steps.Limits(
            held_starts=1,
            restarts=1,
            agent_cuts=1,
            pauses=2,
            pause_lengths_ms=(GRANT_ENDED_MS,),
        ),
    ),
    "worker lost, with waits": walk.Setting(
        5,
        steps.Limits(
            held_starts=1,
            restarts=0,
            worker_losses=1,
            pauses=1,
            pause_lengths_ms=(SILENT_MS,),
        ),
        waits=True,
    ),
}


@pytest.mark.parametrize("name", SETTINGS)
def test_no_order_breaks_a_rule(name: str) -> None:
    """Guards against orders of calls that let a task run twice, or wait.

    A start is carried out by another incarnation than the one that it was meant
    for, which random seeds seldom bring about at the moment that matters.
    """
    setting = SETTINGS[name]
    levels = list(walk.walk(setting))
    found = walk.select_different(
        order for level in levels for order in level.found
    )
    texts = [reports.describe_order(order, setting) for order in found]
    assert not found, "\n" + "\n".join(texts)
    assert sum(level.misdirected for level in levels) > 0


def test_equal_worlds_have_equal_digests() -> None:
    """Guards against states that are walked twice, or taken for another.

    Worlds with equal digests have to go on equally.
    """
    world, other = (small_world.SmallWorld(2, 1, 1) for _ in range(2))
    for each in (world, other):
        each.run(steps.PAUSES_MS[0])
    first, second = world.workers
    world.restart_worker(first, worker_link.FIRST_HEARTBEAT_MS)
    world.restart_worker(second, worker_link.FIRST_HEARTBEAT_MS)
    other.restart_worker(second, worker_link.FIRST_HEARTBEAT_MS)
    assert digests.compute_digest(world, "") != digests.compute_digest(
        other, ""
    )
    other.restart_worker(first, worker_link.FIRST_HEARTBEAT_MS)
    for _ in range(2):
        check_digests_are_equal(world, other)
        world.run(steps.PAUSES_MS[1])
        other.run(steps.PAUSES_MS[1])
    check_digests_are_equal(world, other)


def check_digests_are_equal(
    world: small_world.SmallWorld, other: small_world.SmallWorld
) -> None:
    assert digests.compute_digest(world, "") == digests.compute_digest(
        other, ""
    )
