"""Tests of hand-overs of the queue in which both holders act for a moment.

Pattern: the holder is stopped, killed, frozen and woken, cut off, or replaced
by a larger entry, at every moment around the start of a job. Each task of the
job is ordered once, because nothing proves that a run was lost.
"""

import collections
import dataclasses
import datetime

import pytest

from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import directives
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    events,
    messages,
    records,
    scheduler,
    specs,
    storage,
)
from tests.jobs import builders, job_specs
from tests.jobs import world as worlds

JOB = specs.JobId("j")
OFFSETS_MS = range(0, 200, 10)
TASKS = (4, 4)
HAND_OVERS = ("stopped", "killed", "frozen", "cut off from the store")
FROZEN_MS = 6000
STEP_MS = 10
NOW = datetime.timedelta(seconds=100)

RELEASED_QUEUE_MS = 1500
"""A poll interval, two calls to the store and some jitter; the delay after
which a holder counts as dead is 2500 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """An attempt of an entry to take the queue."""

    entry: str
    at_ms: float


def find_takeover(world: worlds.World, after_ms: float) -> Takeover:
    """Runs the world until an entry tries to take the queue."""
    for _ in range(1000):
        for at_ms, name, line in world.log_lines:
            if line.decision == "take-queue" and at_ms > after_ms:
                return Takeover(name, at_ms)
        world.run(STEP_MS)
    raise AssertionError("nobody takes the queue")


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
    world.submit(other, job_specs.build_job(JOB, TASKS))
    world.run(offset_ms)
    hand_over(world, holder, way)
    world.run(25_000)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
    starts = collections.Counter(ref.task for ref in world.oracle.started)
    assert set(starts.values()) == {1}
    assert len(starts) == sum(TASKS)


def test_holder_that_releases_the_queue_grants_nothing() -> None:
    """Guards against grants that a successor does not wait for.

    It takes a released queue at once, though the former holder may not know
    for seconds that the release is stored.
    """
    state = builders.build_holder(NOW)
    assert state.holder_state is not None
    assert directives.may_grant(state, state.holder_state, NOW)
    state.holder_state.releasing = True
    assert not directives.may_grant(state, state.holder_state, NOW)


def build_holder_row(
    name: str, version: int, state: scheduler.SchedulerState
) -> storage.HolderRow:
    record = records.HolderRecord(
        records.FORMAT,
        ids.Epoch(version),
        name,
        state.options.incarnation,
        state.options.endpoint,
        0,
    )
    return storage.HolderRow(ids.RowVersion(version), record)


def test_lost_answer_to_a_takeover_forgets_no_live_holder() -> None:
    """Guards against runs that are placed again before their grants expire.

    The entry reads its own row after the lost answer, and takes the queue once
    more; the holder that it replaced may have granted until then.
    """
    state = builders.build_holder(NOW)
    state.role, state.holder_state = scheduler.Role.FOLLOWER, None
    live = build_holder_row("other", 5, state)
    state.unable_term = ids.Epoch(5)
    deliver(state, events.HolderRead(live))
    unknown = storage.HolderWrite(storage.WriteResult.UNKNOWN)
    deliver(state, events.QueueTaken(unknown))
    own = build_holder_row(state.options.name, 6, state)
    deliver(state, events.HolderRead(own))
    stored = storage.HolderWrite(storage.WriteResult.STORED, ids.RowVersion(7))
    deliver(state, events.QueueTaken(stored))
    assert state.holder_state is not None
    assert state.holder_state.replaced_live_holder


def deliver(state: scheduler.SchedulerState, event: events.Event) -> None:
    reducer.reduce(state, event, NOW)


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


@pytest.mark.parametrize("offset_ms", range(0, 400, 20))
def test_successor_that_stops_as_well_releases_the_queue(
    offset_ms: int,
) -> None:
    """Guards against a queue that nobody holds during a rolling restart.

    Pattern: entries are stopped in turn, so the successor gets its stop signal
    while it takes the queue or loads the jobs. A released queue is taken with
    the next poll, and not after the delay for a holder that died.
    """
    world = worlds.World(offset_ms, entries=3)
    world.run(4000)
    holder = find_holder(world)
    hand_over(world, holder, "stopped")
    taken = find_takeover(world, after_ms=world.now_ms)
    world.run(max(0.0, taken.at_ms + offset_ms - world.now_ms))
    hand_over(world, taken.entry, "stopped")
    world.run(RELEASED_QUEUE_MS)
    assert find_holder(world) not in (holder, taken.entry)
