"""Tests of which entry holds the queue when entries differ in size.

Pattern: few large and many small front instances. A small one that holds the
queue of a large fleet is too slow to answer agents, and nothing is placed.
"""

import datetime

import pytest

from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, scheduler, scheduler_options
from tests.jobs import nodes, test_world
from tests.jobs import world as worlds

SMALL_FIRST = {"entry-0": 0.5, "entry-1": 2.15}
TWO_LARGE = {"entry-0": 0.5, "entry-1": 2.15, "entry-2": 2.15}


def list_holders(world: worlds.World) -> list[str]:
    return [
        node.name
        for node in world.nodes.values()
        if node.alive
        and isinstance(node.state, scheduler.SchedulerState)
        and node.state.role is scheduler.Role.HOLDER
    ]


def count_takeovers(world: worlds.World) -> int:
    return sum(
        line.decision == "take-queue" and line.outcome == "taken"
        for _, _, line in world.log_lines
    )


@pytest.mark.parametrize("seed", range(6))
def test_larger_entry_holds_the_queue(seed: int) -> None:
    """Guards against a small entry that keeps the queue it took first."""
    world = worlds.World(seed, entry_cores=SMALL_FIRST)
    world.run(5000)
    assert list_holders(world) == ["entry-1"]
    test_world.submit_jobs(world, 8, "j")
    world.run(test_world.QUIET_MS)
    test_world.check_all_ended(world)


@pytest.mark.parametrize("seed", range(6))
def test_larger_entry_replaces_a_large_holder_that_died(seed: int) -> None:
    """Guards against a small entry that is first to see the holder gone."""
    world = worlds.World(seed, entries=3, entry_cores=TWO_LARGE)
    world.run(5000)
    (former,) = list_holders(world)
    takeovers = count_takeovers(world)
    world.kill(former, 60_000)
    world.run(6000)
    (holder,) = list_holders(world)
    assert TWO_LARGE[holder] == TWO_LARGE[former]
    assert count_takeovers(world) == takeovers + 1


@pytest.mark.parametrize("seed", range(6))
def test_small_entry_takes_over_when_no_large_one_lives(seed: int) -> None:
    world = worlds.World(seed, entry_cores=SMALL_FIRST)
    world.run(5000)
    world.kill("entry-1", 60_000)
    world.run(7000)
    assert list_holders(world) == ["entry-0"]


def test_entries_of_one_size_do_not_take_turns() -> None:
    world = worlds.World(3, entries=3)
    world.run(5000)
    takeovers = count_takeovers(world)
    test_world.submit_jobs(world, 8, "j")
    world.run(test_world.QUIET_MS)
    assert count_takeovers(world) == takeovers


def test_runs_of_a_replaced_live_holder_may_last_a_whole_grant() -> None:
    """Guards against a run that is placed again while its grant still holds.

    A replaced holder that was storing batches could grant until its grant
    window ended, longer than one whose row had been unchanged.
    """
    options = scheduler_options.SchedulerOptions(
        "entry", ids.Incarnation(1), messages.Endpoint("10.0.0.1", 1000)
    )
    state = scheduler.SchedulerState(
        options, policy_sets.build_scheduler_policies()
    )
    held = scheduler.HolderState(
        ids.Epoch(2),
        ids.RowVersion(2),
        datetime.timedelta(0),
        datetime.timedelta(0),
        replaced_live_holder=True,
    )
    expiry = expiries.compute_former_grant_expiry(state, held)
    assert expiry >= options.grant_window + options.grant


@pytest.mark.parametrize("seed", range(100, 120))
def test_faults_violate_no_invariant_between_sizes(seed: int) -> None:
    """Searches for two holders that both act around a hand-over."""
    world = worlds.World(seed, entries=3, entry_cores=TWO_LARGE)
    world.run(2000)
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.05)
    test_world.submit_jobs(world, 12, "j")
    for _ in range(6):
        world.after(
            world.random.uniform(500, 15_000),
            lambda: test_world.inject_fault(world),
        )
    world.run(20_000)
    world.faults = nodes.NO_FAULTS
    world.run(test_world.QUIET_MS)
    test_world.check_all_ended(world)
