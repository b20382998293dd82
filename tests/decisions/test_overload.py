"""Decisions under overload that a measurement found to be wrong."""

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

MS = datetime.timedelta(milliseconds=1)
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
    found = agent.AgentState(
        options.AgentOptions(
            *(ids.InstanceId("i"), ids.Incarnation(1), ADDRESS),
            *(ids.DataCentre("d"), ids.Region("r"), ids.Rack("k")),
        ),
        policy_sets.build_agent_policies(states.PolicyChoice.STANDARD),
        CONFIGURATION,
    )
    reducer.reduce(found, events.UpstreamReported(REPORT), SECOND)
    return found


def build_dispatch(
    name: str, remaining: datetime.timedelta
) -> requests.Dispatch:
    return requests.Dispatch(
        *(ids.RequestId(name), ids.Attempt(1), ids.Incarnation(1)),
        *(ORGANISATIONS[0].name, KIND, remaining, False, 1000 * SECOND),
        requests.Payload("GET", "/"),
    )


def list_kinds(made: effects.Effects) -> list[type]:
    return [type(item) for item in made]


def test_call_that_cannot_end_in_time_takes_no_slot() -> None:
    """Guards against slots held by calls that time out under overload."""
    state = build_agent()
    first = build_dispatch("first", 9 * SECOND)
    reducer.reduce(state, events.DispatchArrived(first), SECOND)
    late = build_dispatch("late", 1050 * MS)
    reducer.reduce(state, events.DispatchArrived(late), SECOND)
    key = requests.AttemptKey(first.request_id, first.attempt)
    answered = events.UpstreamAnswered(key, requests.Answer(200))
    made = reducer.reduce(state, answered, 2 * SECOND)
    assert effects.CallUpstream not in list_kinds(made)
    reply = next(
        item.reply
        for item in made
        if isinstance(item, effects.ReplyDispatch)
        and item.owner.request_id == late.request_id
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
    """Guards against idle slots, and against slots that are used twice."""
    state = build_agent()
    first = build_dispatch("first", 9 * SECOND)
    reducer.reduce(state, events.DispatchArrived(first), SECOND)
    key = requests.AttemptKey(first.request_id, first.attempt)
    lost = events.UpstreamCallFailed(key, True, states.Reason.UPSTREAM_TIMEOUT)
    reducer.reduce(state, lost, 2 * SECOND)
    # Counts alone need one report more, since an answer may be under way.
    for second in (3, 4, 5):
        report = dataclasses.replace(REPORT, busy=busy, running=running)
        reducer.reduce(state, events.UpstreamReported(report), second * SECOND)
    made = reducer.reduce(
        state,
        events.DispatchArrived(build_dispatch("next", SECOND)),
        5 * SECOND,
    )
    assert list_kinds(made).count(effects.CallUpstream) == free


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
    taken = shares.admit(state, request, urgent, second * SECOND)
    if taken:
        state.waiting[urgent] += 1
        state.demand[urgent][request.organisation].waiting += 1
    return taken


def test_flood_leaves_places_to_active_organisations() -> None:
    """Guards against a flood that takes all waiting places of a class."""
    state = build_entry()
    assert admit(state, "b", 1)
    assert [admit(state, "a", 1) for _ in range(8)] == [True] * 4 + [False] * 4
    assert [admit(state, "b", 2) for _ in range(4)] == [True] * 3 + [False]


def test_flood_may_use_places_that_nobody_wants() -> None:
    """Guards against idle capacity beside a single busy organisation."""
    state = build_entry()
    assert [admit(state, "a", 1) for _ in range(9)] == [True] * 8 + [False]


def test_failing_majority_stays_in_routing() -> None:
    """Guards against refusing all work because most instances time out."""
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


def test_slow_instance_is_avoided_and_tried_again() -> None:
    """Guards against a slow upstream in the tail, and against losing it."""
    slow, fast = (
        membership.Member(
            members.Announcement(
                *(ids.InstanceId(name), ids.Incarnation(1), 1),
                *(states.MemberState.SERVING, ADDRESS, ids.DataCentre("d")),
                *(ids.Region("r"), ids.Rack("k"), SECOND, frozenset({KIND})),
                *(8, 0, resources.NOTHING, resources.NOTHING),
                ids.ConfigVersion(1),
            ),
            SECOND,
        )
        for name in ("slow", "fast")
    )
    policy, source = routing.PowerOfTwoChoices(), random.Random(1)
    done = requests.DispatchReply(
        states.Outcome.COMPLETED, answer=requests.Answer(200)
    )
    for _ in range(5):
        policy.observe(fast, KIND, done, 20 * MS, SECOND)
        policy.observe(slow, KIND, done, 320 * MS, SECOND)
    where = ids.DataCentre("d")
    chosen = [
        policy.choose((slow, fast), where, SECOND, source) for _ in range(20)
    ]
    assert chosen == [fast] * 20
    fast.in_flight = 4
    later = policy.choose((slow, fast), where, 40 * SECOND, source)
    assert later is slow
