"""Tests of hand-overs of the queue in which both holders act for a moment.

Pattern: the holder is stopped, killed, frozen and woken, cut off, or replaced
by a larger entry, at every moment around the start of a job. Each task of the
job is ordered once, because nothing proves that a run was lost.
"""

import collections

import pytest

from gypsumhold.model.jobs import events, messages, scheduler, specs
from tests.jobs import world as worlds

JOB = specs.JobId("j")
OFFSETS_MS = range(0, 200, 10)
TASKS = (4, 4)
HAND_OVERS = ("stopped", "killed", "frozen", "cut off from the store")
FROZEN_MS = 6000


def find_holder(world: worlds.World) -> str:
    return next(
        node.name
        for node in world.nodes.values()
        if isinstance(node.state, scheduler.SchedulerState)
        and node.state.role is scheduler.Role.HOLDER
    )


def hand_over(world: worlds.World, holder: str, way: str) -> None:
    node = world.nodes[holder]
    match way:
        case "stopped":
            world.deliver(node, events.SchedulerStopping())
            world.after(3000, lambda: world.kill(holder, 500))
        case "killed":
            world.kill(holder, 1000)
        case "frozen":
            world.freeze(holder, FROZEN_MS)
        case _:
            node.cut_store = True
            world.after(FROZEN_MS, lambda: setattr(node, "cut_store", False))


@pytest.mark.parametrize("offset_ms", OFFSETS_MS)
@pytest.mark.parametrize("way", HAND_OVERS)
def test_tasks_are_ordered_once(way: str, offset_ms: int) -> None:
    """Guards against orders that go out twice around a hand-over."""
    world = worlds.World(offset_ms)
    world.run(4000)
    holder = find_holder(world)
    other = next(
        name
        for name in world.nodes
        if name.startswith("entry") and name != holder
    )
    # The other entry stores the job, so that it is accepted in any case.
    world.submit(other, worlds.build_job(JOB, TASKS))
    world.run(offset_ms)
    hand_over(world, holder, way)
    world.run(25_000)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
    starts = collections.Counter(ref.task for ref in world.oracle.started)
    assert set(starts.values()) == {1}
    assert len(starts) == sum(TASKS)


@pytest.mark.parametrize("offset_ms", OFFSETS_MS)
def test_former_holder_stores_nothing(offset_ms: int) -> None:
    """Guards against two entries that both take themselves for the holder.

    A frozen holder wakes after another entry has taken the queue.
    """
    world = worlds.World(offset_ms)
    world.run(4000 + offset_ms)
    former = find_holder(world)
    world.freeze(former, FROZEN_MS)
    world.run(FROZEN_MS + 1500)
    holders = [
        node.name
        for node in world.nodes.values()
        if isinstance(node.state, scheduler.SchedulerState)
        and node.state.role is scheduler.Role.HOLDER
    ]
    assert len(holders) == 1
    assert holders[0] != former
