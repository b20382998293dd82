"""Regression tests for faults under overload that measurements revealed."""

import dataclasses
import datetime
import random

import pytest

from gypsumhold.decisions import policy_sets, reducer, routing, shares
from gypsumhold.model import (
    agent,
    declarations,
    effects,
    entry,
    events,
    ids,
    members,
    membership,
    options,
    requests,
    resources,
    states,
)

MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
ADDRESS = members.Address("127.0.0.1", 1)
KIND = ids.KindName("tile")
ORGANISATIONS = tuple(
    declarations.Organisation(
        ids.OrganisationId(name),
        1,
        resources.NOTHING,
        64,
        {KIND: declarations.KindParameters()},
    )
    for name in ("a", "b")
)
CONFIGURATION = declarations.apply_change(
    declarations.EMPTY,
    declarations.Change(
        ids.ConfigVersion(1),
        (
            declarations.Template(
                KIND, states.WorkForm.REQUEST, states.WorkClass.URGENT
            ),
        ),
        ORGANISATIONS,
    ),
)
REPORT = members.UpstreamReport(
    ADDRESS, frozenset({KIND}), 1, 64, 0, frozenset()
)


def build_agent() -> agent.AgentState:
    agent_state = agent.AgentState(
        options.AgentOptions(
            *(ids.InstanceId("i"), ids.Incarnation(1), ADDRESS),
            *(ids.DataCentre("d"), ids.Region("r"), ids.Rack("k")),
        ),
        policy_sets.build_agent_policies(states.PolicyChoice.STANDARD),
        CONFIGURATION,
    )
    reducer.reduce(agent_state, events.UpstreamReported(REPORT), SECOND)
    return agent_state


def build_dispatch(
    name: str, remaining: datetime.timedelta
) -> requests.Dispatch:
    return requests.Dispatch(
        *(ids.RequestId(name), ids.Attempt(1), ids.Incarnation(1)),
        *(ORGANISATIONS[0].name, KIND, remaining, False, 1000 * SECOND),
        requests.Payload("GET", "/"),
    )


def list_types(emitted: effects.Effects) -> list[type]:
    return [type(item) for item in emitted]


def test_call_that_cannot_end_in_time_takes_no_slot() -> None:
    """Guards against slots used by calls that time out under overload."""
    state = build_agent()
    first_dispatch = build_dispatch("first", 9 * SECOND)
    reducer.reduce(state, events.DispatchArrived(first_dispatch), SECOND)
    late_dispatch = build_dispatch("late", 1050 * MILLISECOND)
    reducer.reduce(state, events.DispatchArrived(late_dispatch), SECOND)
    key = requests.AttemptKey(first_dispatch.request_id, first_dispatch.attempt)
    answered = events.UpstreamAnswered(key, requests.Answer(200))
    emitted = reducer.reduce(state, answered, 2 * SECOND)
    assert effects.CallUpstream not in list_types(emitted)
    reply = next(
        item.reply
        for item in emitted
        if isinstance(item, effects.ReplyDispatch)
        and item.owner.request_id == late_dispatch.request_id
    )
    assert reply.outcome is states.Outcome.NOT_RUN
    assert reply.reason is states.Reason.EXPIRED


@pytest.mark.parametrize(
    ("busy", "running", "free"),
    [
        (1, frozenset(), 1),
        (1, frozenset({requests.AttemptKey("first", 1)}), 0),
        (1, None, 0),
        (0, None, 1),
    ],
)
def test_abandoned_call_frees_its_slot_by_report(
    busy: int, running: frozenset[requests.AttemptKey] | None, free: int
) -> None:
    """Guards against idle slots and against slots that are used twice."""
    state = build_agent()
    first_dispatch = build_dispatch("first", 9 * SECOND)
    reducer.reduce(state, events.DispatchArrived(first_dispatch), SECOND)
    key = requests.AttemptKey(first_dispatch.request_id, first_dispatch.attempt)
    failed_event = events.UpstreamCallFailed(
        key, True, states.Reason.UPSTREAM_TIMEOUT
    )
    reducer.reduce(state, failed_event, 2 * SECOND)
    # Without the running attempts, one more report is needed, because an answer
    # may be in transit.
    for second in (3, 4, 5):
        report = dataclasses.replace(REPORT, busy=busy, running=running)
        reducer.reduce(state, events.UpstreamReported(report), second * SECOND)
    emitted = reducer.reduce(
        state,
        events.DispatchArrived(build_dispatch("next", SECOND)),
        5 * SECOND,
    )
    assert list_types(emitted).count(effects.CallUpstream) == free


def build_entry() -> entry.EntryState:
    return entry.EntryState(
        options.EntryOptions(
            *(ids.EntryId("e"), ids.Incarnation(1), ADDRESS),
            *(ids.DataCentre("d"), ids.Region("r")),
            waiting_limits=dict.fromkeys(states.WorkClass, 8),
        ),
        policy_sets.build_entry_policies(states.PolicyChoice.STANDARD),
        random.Random(1),
        configuration=CONFIGURATION,
    )


def admit(state: entry.EntryState, name: str, second: int) -> bool:
    request = requests.Request(
        *(ids.RequestId("x"), ids.OrganisationId(name), KIND, None, SECOND),
        *("", requests.Payload("GET", "/")),
    )
    urgent = states.WorkClass.URGENT
    is_admitted = shares.admit(state, request, urgent, second * SECOND)
    if is_admitted:
        state.waiting[urgent] += 1
        state.demand[urgent][request.organisation].waiting += 1
    return is_admitted


def test_flood_leaves_places_to_active_organisations() -> None:
    """Guards against a flood that fills all waiting places of a class."""
    state = build_entry()
    assert admit(state, "b", 1)
    assert [admit(state, "a", 1) for _ in range(8)] == [True] * 4 + [False] * 4
    assert [admit(state, "b", 2) for _ in range(4)] == [True] * 3 + [False]


def test_flood_may_use_unclaimed_places() -> None:
    """Guards against unused waiting places when one organisation is active."""
    state = build_entry()
    assert [admit(state, "a", 1) for _ in range(9)] == [True] * 8 + [False]


def test_failing_majority_stays_in_routing() -> None:
    """Guards against refusing all requests because most instances time out."""
    state = build_entry()
    state.partitions = {}
    for number in range(3):
        announcement = members.Announcement(
            *(ids.InstanceId(f"i{number}"), ids.Incarnation(1), 1),
            *(states.MemberState.SERVING, ADDRESS, ids.DataCentre("d")),
            *(ids.Region("r"), ids.Rack("k"), SECOND, frozenset({KIND})),
            *(8, 0, resources.NOTHING, resources.NOTHING),
            ids.ConfigVersion(1),
        )
        reducer.reduce(state, events.AnnouncementReceived(announcement), SECOND)
    for name in ("i0", "i1"):
        state.members[ids.InstanceId(name)].excluded_until = 9 * SECOND
    targets = set()
    for number in range(30):
        request = requests.Request(
            *(ids.RequestId(f"r{number}"), ORGANISATIONS[0].name, KIND),
            *(None, SECOND, "", requests.Payload("GET", "/")),
        )
        for item in reducer.reduce(state, events.CallArrived(request), SECOND):
            if isinstance(item, effects.SendDispatch):
                targets.add(state.calls[item.owner].target)
    assert targets == {"i0", "i1", "i2"}


def build_member(name: str) -> membership.Member:
    return membership.Member(
        members.Announcement(
            *(ids.InstanceId(name), ids.Incarnation(1), 1),
            *(states.MemberState.SERVING, ADDRESS, ids.DataCentre("d")),
            *(ids.Region("r"), ids.Rack("k"), SECOND, frozenset({KIND})),
            *(8, 0, resources.NOTHING, resources.NOTHING),
            ids.ConfigVersion(1),
        ),
        SECOND,
    )


def test_calls_in_flight_at_a_failure_do_not_prolong_the_exclusion() -> None:
    """Guards against a repaired upstream that is not used for half a minute.

    All calls in flight fail when an upstream breaks. Each of them doubled the
    exclusion, as if as many probes had failed.
    """
    member = build_member("broken")
    policy = routing.PowerOfTwoChoices()
    for _ in range(8):
        policy.observe(member, KIND, None, SECOND, SECOND)
    assert member.excluded_until == SECOND + routing.INITIAL_EXCLUSION
    probed_at = member.excluded_until
    policy.observe(member, KIND, None, MILLISECOND, probed_at)
    assert member.excluded_until == probed_at + 2 * routing.INITIAL_EXCLUSION


def test_slow_instance_is_avoided_and_tried_again() -> None:
    """Guards against a slow upstream that dominates tail latency.

    It also has to be tried again later, so that a recovered one is used.
    """
    slow_member, fast_member = build_member("slow"), build_member("fast")
    policy, rng = routing.PowerOfTwoChoices(), random.Random(1)
    completed = requests.DispatchReply(
        states.Outcome.COMPLETED, answer=requests.Answer(200)
    )
    for _ in range(5):
        policy.observe(fast_member, KIND, completed, 20 * MILLISECOND, SECOND)
        policy.observe(slow_member, KIND, completed, 320 * MILLISECOND, SECOND)
    data_centre = ids.DataCentre("d")
    chosen = [
        policy.choose((slow_member, fast_member), data_centre, SECOND, rng)
        for _ in range(20)
    ]
    assert chosen == [fast_member] * 20
    fast_member.in_flight = 4
    chosen_later = policy.choose(
        (slow_member, fast_member), data_centre, 40 * SECOND, rng
    )
    assert chosen_later is slow_member
