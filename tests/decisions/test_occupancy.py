"""Slots of abandoned calls in an agent."""

import datetime
import types

from gypsumhold.decisions import occupancy, policy_sets
from gypsumhold.model import agent, events, ids, members, options, states

ADDRESS = members.Address("127.0.0.1", 1)
SLOTS = 2


def build_state() -> agent.AgentState:
    return agent.AgentState(
        options.AgentOptions(
            instance=ids.InstanceId("instance-0"),
            incarnation=ids.Incarnation(1),
            address=ADDRESS,
            data_centre=ids.DataCentre("dc-0"),
            region=ids.Region("region-0"),
            rack=ids.Rack("rack-0"),
        ),
        policy_sets.build_agent_policies(states.PolicyChoice.STANDARD),
    )


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


def report(state: agent.AgentState, at: float, busy: int) -> None:
    told = members.UpstreamReport(ADDRESS, frozenset(), SLOTS, 64, busy)
    occupancy.handle_report(state, events.UpstreamReported(told), seconds(at))


def start(state: agent.AgentState, name: str, at: float) -> None:
    state.running += 1
    state.calls[name] = types.SimpleNamespace(
        phase=states.DispatchPhase.RUNNING, started_at=seconds(at)
    )


def end(state: agent.AgentState, name: str) -> None:
    state.running -= 1
    del state.calls[name]


def test_answer_under_way_frees_no_other_slot() -> None:
    """Guards against a slot that is given out while a call still holds it.

    The upstream has freed the slot of a call whose answer is still under way
    when its report arrives; the one busy slot is that of the abandoned call.
    """
    state = build_state()
    report(state, 0, busy=0)
    start(state, "abandoned", 0.1)
    start(state, "answered", 0.1)
    end(state, "abandoned")
    occupancy.add_abandoned_slots(state, [None], seconds(0.5))
    report(state, 1, busy=2)
    report(state, 2, busy=1)
    end(state, "answered")
    assert occupancy.count_free(state, seconds(2)) == 1
    report(state, 3, busy=1)
    assert occupancy.count_free(state, seconds(3)) == 1


def test_slot_is_freed_when_the_upstream_is_idle() -> None:
    """Guards against slots that stay taken after the upstream freed them."""
    state = build_state()
    report(state, 0, busy=0)
    occupancy.add_abandoned_slots(state, [None] * SLOTS, seconds(0.5))
    for at in (1, 2, 3):
        report(state, at, busy=0)
    assert occupancy.count_free(state, seconds(3)) == SLOTS


def test_predecessor_slots_are_freed() -> None:
    """Guards against slots that a new agent never frees."""
    state = build_state()
    report(state, 0, busy=SLOTS)
    assert occupancy.count_free(state, seconds(0)) == 0
    for at in (1, 2, 3):
        report(state, at, busy=0)
    assert occupancy.count_free(state, seconds(3)) == SLOTS
