"""Tests that the holder's work follows what changes and not the fleet's size.

Pattern: hundreds of workers of which each event concerns one or two. The holder
counted the capacity of every worker anew in each plan and looked for new
directives of every agent after each batch.
"""

import pytest

from gypsumhold.decisions.jobs import capacity
from gypsumhold.model.jobs import effects, scheduler
from tests.jobs import job_specs, nodes, test_regressions, test_world
from tests.jobs import world as worlds

AGENTS = 60


class CountingWorld(worlds.World):
    """A world that counts the directives that the holder pushes."""

    pushes = 0

    def _call_peer(self, node: nodes.Node, effect: object) -> None:
        self.pushes += isinstance(effect, effects.PushDirectives)
        super()._call_peer(node, effect)


def find_holder_state(world: worlds.World) -> scheduler.HolderState:
    state = test_regressions.find_holder(world).state
    assert state.holder_state is not None
    return state.holder_state


def test_a_batch_is_pushed_to_the_agents_that_it_concerns() -> None:
    world = CountingWorld(1, agents=AGENTS)
    world.run(9000)
    before = world.pushes
    world.submit("entry-0", job_specs.build_job("j", (2,)))
    world.run(10_000)
    test_world.check_all_ended(world)
    assert world.pushes - before <= 6


def test_unchanged_capacity_is_counted_once() -> None:
    world = worlds.World(1, agents=AGENTS)
    world.run(9000)
    node = test_regressions.find_holder(world)
    holder_state = find_holder_state(world)
    now = world.read_clock()
    first = capacity.build_candidates(node.state, holder_state, now)
    second = capacity.build_candidates(node.state, holder_state, now)
    assert len(first) == AGENTS
    assert all(second[name] is first[name] for name in first)


@pytest.mark.parametrize("seed", range(12))
def test_kept_capacity_is_that_of_the_placed_tasks(seed: int) -> None:
    """Guards against capacity that stays reserved, or is given away twice.

    The kept counts are compared with new ones while workers, agents and
    entries fail and jobs come and go.
    """
    world = worlds.World(seed)
    world.run(3000)
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.05)
    test_world.submit_jobs(world, 20, "j")
    for _ in range(4):
        world.after(
            world.random.uniform(500, 9000),
            lambda: test_world.inject_fault(world),
        )
    compared = 0
    for _ in range(150):
        world.run(100)
        for node in world.nodes.values():
            compared += compare_candidates(node)
    assert compared > 20


def compare_candidates(node: nodes.Node) -> int:
    """Compares the kept candidates of a holder; returns how many it has."""
    state = node.state
    if not isinstance(state, scheduler.SchedulerState):
        return 0
    holder_state = state.holder_state
    if holder_state is None:
        return 0
    views = [view for view in holder_state.agents.values() if view.candidate]
    for view in views:
        kept = view.candidate
        assert kept is not None
        view.candidate = None
        capacity.build_candidates(state, holder_state, view.last_report_at)
        if view.candidate is not None:
            assert kept.cpu_millis == view.candidate.cpu_millis
            assert kept.memory_mb == view.candidate.memory_mb
            assert {k: n for k, n in kept.steps.items() if n} == {
                k: n for k, n in view.candidate.steps.items() if n
            }
        view.candidate = kept
    return len(views)
