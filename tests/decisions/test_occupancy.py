"""Accounting of the slots of abandoned calls in an agent."""

import datetime
import types

from gypsumhold.decisions import occupancy, policy_sets
from gypsumhold.model import agent, events, ids, members, options, states

ADDRESS = members.Address("127.0.0.1", 1)
SLOTS = 2


def build_agent() -> agent.AgentState:
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


def to_timedelta(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


def feed_report(state: agent.AgentState, second: float, busy: int) -> None:
    upstream_report = members.UpstreamReport(
        ADDRESS, frozenset(), SLOTS, 64, busy
    )
    occupancy.handle_report(
        state, events.UpstreamReported(upstream_report), to_timedelta(second)
    )


def start_call(state: agent.AgentState, name: str, second: float) -> None:
    state.running += 1
    state.calls[name] = types.SimpleNamespace(
        phase=states.DispatchPhase.RUNNING, started_at=to_timedelta(second)
    )


def end_call(state: agent.AgentState, name: str) -> None:
    state.running -= 1
    del state.calls[name]


def test_answer_in_transit_frees_no_other_slot() -> None:
    """Guards against reusing a slot that an abandoned call still holds.

    When the report arrives, the upstream has already freed the slot of a call
    whose answer is still in transit. The one busy slot in the report belongs to
    the abandoned call.
    """
    state = build_agent()
    feed_report(state, 0, busy=0)
    start_call(state, "abandoned", 0.1)
    start_call(state, "answered", 0.1)
    end_call(state, "abandoned")
    occupancy.add_abandoned_slots(state, [None], to_timedelta(0.5))
    feed_report(state, 1, busy=2)
    feed_report(state, 2, busy=1)
    end_call(state, "answered")
    assert occupancy.count_free_slots(state, to_timedelta(2)) == 1
    feed_report(state, 3, busy=1)
    assert occupancy.count_free_slots(state, to_timedelta(3)) == 1


def test_slot_is_freed_when_the_upstream_is_idle() -> None:
    """Guards against slots that stay reserved after the upstream freed them."""
    state = build_agent()
    feed_report(state, 0, busy=0)
    occupancy.add_abandoned_slots(state, [None] * SLOTS, to_timedelta(0.5))
    for second in (1, 2, 3):
        feed_report(state, second, busy=0)
    assert occupancy.count_free_slots(state, to_timedelta(3)) == SLOTS


def test_slots_of_an_earlier_agent_process_are_freed() -> None:
    """Guards against slots of an earlier agent process that are never freed."""
    state = build_agent()
    feed_report(state, 0, busy=SLOTS)
    assert occupancy.count_free_slots(state, to_timedelta(0)) == 0
    for second in (1, 2, 3):
        feed_report(state, second, busy=0)
    assert occupancy.count_free_slots(state, to_timedelta(3)) == SLOTS
