"""Tests of how fast work starts again after the holder of the queue is lost.

Pattern: the holder is cut off or frozen, as when a zone loses its links. Every
agent has a report under way to it, which only ends with its timeout.
"""

import collections

import pytest

from gypsumhold.model.jobs import messages, specs
from tests.jobs import job_specs, test_handover
from tests.jobs import world as worlds

JOIN_MS = 400
"""A change of the table, a call and some jitter. The timeout of a report to
the former holder is 1500 ms."""

MAX_UNCHANGED_MS = 2700
"""The delay after which a holder counts as dead, the time over which entries
spread their attempts, and one call to the store."""

RECOVERY_MS = 3800
"""That delay, a poll interval, the calls to the store and the reports."""

MAX_RUN_MS = 2600
"""The longest run of the fake workers, and its report."""

HANDED_OVER_MS = 2200
"""The time after which the store counts as unreachable, a failed call, the
pause between two submissions, and the calls of a takeover. A holder counts as
dead after 2500 ms."""

SETTLE_MS = 20_000

TAKEOVER = ("take-queue", "tried")
JOB = specs.JobId("j")


def lose_holder(world: worlds.World, way: str) -> str:
    """Loses the holder for good; returns its name."""
    holder = test_handover.find_holder(world)
    if way == "frozen":
        world.freeze(holder, 60_000)
        return holder
    world.nodes[holder].cut = True
    world.nodes[holder].cut_store = True
    return holder


def find_line_ms(world: worlds.World, decision: str, after_ms: float) -> float:
    """Returns the time of the last such line after a moment."""
    return max(
        at_ms
        for at_ms, _, line in world.log_lines
        if line.decision == decision and at_ms > after_ms
    )


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("way", ["cut off", "frozen"])
def test_agents_report_at_once_to_the_next_holder(way: str, seed: int) -> None:
    """Guards against agents that wait for their report to the former holder."""
    world = worlds.World(seed, entries=4, agents=6)
    world.run(4000 + 130 * seed)
    lost_ms = world.now_ms
    lose_holder(world, way)
    world.run(9000)
    loaded_ms = find_line_ms(world, "jobs-loaded", lost_ms)
    joined_ms = find_line_ms(world, "agent", lost_ms)
    assert joined_ms - loaded_ms < JOIN_MS


@pytest.mark.parametrize("seed", range(8))
def test_queue_of_a_lost_holder_is_taken_when_it_is_due(seed: int) -> None:
    """Guards against a takeover that waits for one more regular poll."""
    world = worlds.World(seed, entries=2)
    world.run(4000 + 130 * seed)
    lost_ms = world.now_ms
    lose_holder(world, "cut off")
    world.run(9000)
    (unchanged_ms,) = [
        int(dict(line.inputs)["unchanged_ms"])
        for at_ms, _, line in world.log_lines
        if at_ms > lost_ms and (line.decision, line.outcome) == TAKEOVER
    ]
    assert unchanged_ms < MAX_UNCHANGED_MS


@pytest.mark.parametrize("seed", range(4))
def test_late_failure_of_a_report_keeps_the_next_holder(seed: int) -> None:
    """Guards against a job that waits although a holder is known."""
    world = worlds.World(seed, entries=4, agents=3)
    world.run(4000)
    former = lose_holder(world, "cut off")
    entry = next(
        name
        for name in world.nodes
        if name.startswith("entry") and name != former
    )
    world.submit(entry, job_specs.build_job(JOB, (3,)))
    world.run(RECOVERY_MS + JOIN_MS + MAX_RUN_MS)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED


@pytest.mark.parametrize("seed", range(8))
def test_holder_without_the_store_hands_the_queue_over(seed: int) -> None:
    """Guards against a queue whose holder lives but cannot store anything.

    Pattern: the store turns one entry away, the holder; the others accept jobs.
    """
    world = worlds.World(seed, entries=3)
    world.run(4000 + 130 * seed)
    lost_ms = world.now_ms
    former = test_handover.find_holder(world)
    world.nodes[former].cut_store = True
    others = [
        name
        for name in world.nodes
        if name.startswith("entry") and name != former
    ]
    for number in range(20):
        spec = job_specs.build_job(f"j{number}", (2,))
        entry = others[number % len(others)]
        world.after(
            150 * number,
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )
    world.run(SETTLE_MS)
    loaded_ms = find_line_ms(world, "jobs-loaded", lost_ms)
    assert loaded_ms - lost_ms < HANDED_OVER_MS
    record = world.store.holder.record
    assert record is not None
    assert record.holder in others
    states = {record.state for record in world.store.progress.values()}
    assert states == {messages.JobState.COMPLETED}
    starts = collections.Counter(ref.task for ref in world.oracle.started)
    assert set(starts.values()) == {1}


def test_small_entry_leaves_the_queue_of_a_large_holder() -> None:
    """Guards against a hand-over that a larger entry soon undoes."""
    cores = {"entry-0": 2.0, "entry-1": 0.5}
    world = worlds.World(1, entries=2, entry_cores=cores)
    world.run(4000)
    world.nodes["entry-0"].cut_store = True
    for number in range(14):
        world.after(
            100 * number,
            lambda number=number: world.submit(
                "entry-1", job_specs.build_job(f"j{number}", (1,))
            ),
        )
    world.run(2400)
    assert test_handover.find_holder(world) == "entry-0"


@pytest.mark.parametrize("outage_ms", [1500, 2500, 4200])
@pytest.mark.parametrize("seed", range(4))
def test_holder_keeps_the_queue_after_an_outage_of_the_store(
    seed: int, outage_ms: int
) -> None:
    """Guards against a hand-over when the store comes back for everyone.

    Pattern: the store is silent for all entries. Those that reach it first
    accept jobs and notify the holder, whose own call has not yet ended. Agents
    learn of a next holder late, because their reads have to recover as well.
    """
    world = worlds.World(seed, entries=3)
    world.run(4000 + 130 * seed)
    holder = test_handover.find_holder(world)
    takeovers = count_takeovers(world)
    world.store_down = True
    world.run(outage_ms)
    world.store_down = False
    for number in range(12):
        entry = f"entry-{number % 3}"
        world.submit(entry, job_specs.build_job(f"j{number}", (2,)))
        world.run(100)
    world.run(SETTLE_MS)
    assert test_handover.find_holder(world) == holder
    assert count_takeovers(world) == takeovers
    states = {record.state for record in world.store.progress.values()}
    assert states == {messages.JobState.COMPLETED}


def count_takeovers(world: worlds.World) -> int:
    return sum(
        (line.decision, line.outcome) == TAKEOVER
        for _, _, line in world.log_lines
    )
