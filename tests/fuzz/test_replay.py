"""Checks that the same events give the same effects and states."""

import collections
import copy
import dataclasses
import random

import pytest
import test_world
import world

from gypsumhold.decisions import reducer

# Leaves out the disruptions that change the interference policy of an agent:
# no event records them.
DISRUPTIONS = [
    item
    for item in test_world.Disruption
    if item not in (test_world.Disruption.EVICT, test_world.Disruption.THROTTLE)
]


def record_run(seed: int) -> world.World:
    """Returns a deployment after work, disruptions and repairs from a seed."""
    rng = random.Random(seed)
    machine = test_world.WorldMachine()
    deployment = machine.world
    for number in range(40):
        organisation = rng.choice(world.ORGANISATIONS)
        kind = rng.choice((world.ASK, world.PAY))
        machine.send_request(
            organisation, f"k{number % 5}", kind, b"", 200, "", 2, 0
        )
        machine.submit_succeeding(f"k{number}", organisation, 3000)
        deployment.advance(rng.random() * world.SECOND)
        machine.disrupt(
            pause=0 * world.SECOND,
            disruption=rng.choice(DISRUPTIONS),
            index=rng.randrange(3),
            other=number,
        )
        deployment.repair(rng.choice(list(world.Repair)))
    deployment.advance(20 * world.SECOND)
    return deployment


def render_state(state: reducer.State) -> str:
    """Returns a state as text, with its random source if it has one."""
    fields = {
        name: getattr(state, name)
        for name in state.__dataclass_fields__
        if name not in ("policies", "random")
    }
    source = getattr(state, "random", None)
    return f"{render_value(fields)} {source.getstate() if source else None}"


def render_value(value: object) -> str:
    """Returns a value as text, with the members of sets in a fixed order.

    Otherwise equal sets may differ in their order, which depends on the hash
    seed of the interpreter and on the order of the insertions.
    """
    if isinstance(value, (set, frozenset)):
        return f"set({sorted(map(render_value, value))})"
    if isinstance(value, dict):
        pairs = (
            f"{render_value(key)}: {render_value(item)}"
            for key, item in value.items()
        )
        return f"{{{', '.join(pairs)}}}"
    if isinstance(value, (list, tuple, collections.deque)):
        return f"{type(value).__name__}({', '.join(map(render_value, value))})"
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        rendered_fields = (
            f"{field.name}={render_value(getattr(value, field.name))}"
            for field in dataclasses.fields(value)
        )
        return f"{type(value).__name__}({', '.join(rendered_fields)})"
    return repr(value)


@pytest.mark.parametrize("seed", range(3))
def test_same_events_give_same_effects_and_states(seed: int) -> None:
    """Guards against reducers that depend on more than their events.

    Causes would be a system clock, an object shared by two states, or an order
    that depends on object identity.
    """
    deployment = record_run(seed)
    for process in deployment.processes.values():
        number = int(process.name[1:])
        rendered_states = []
        for _ in range(2):
            state = build_initial_state(process, number)
            for now, event, emitted in copy.deepcopy(process.transitions):
                assert reducer.reduce(state, event, now) == emitted
            rendered_states.append(render_state(state))
        assert process.transitions
        assert (
            rendered_states[0]
            == rendered_states[1]
            == render_state(process.state)
        )


def build_initial_state(process: world.Process, number: int) -> reducer.State:
    """Returns the state in which the present incarnation of a process began."""
    if process.name.startswith("e"):
        return world.build_entry(number, process.incarnation)
    return world.build_agent(
        number, process.incarnation, world.ControlledInterference()
    )
