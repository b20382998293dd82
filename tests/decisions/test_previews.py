"""Tests that the preview of a request names the instances it may go to."""

import copy
import dataclasses
import datetime

from gypsumhold.decisions import previews
from gypsumhold.model import entry, ids, membership, states
from gypsumhold.model import previews as preview_model
from tests.decisions import test_overload

SECOND = datetime.timedelta(seconds=1)
NOW = 20 * SECOND
KIND = test_overload.KIND
ORGANISATION = test_overload.ORGANISATIONS[0].name
Obstacle = preview_model.MemberObstacle


def build_fleet() -> entry.EntryState:
    """Returns an entry with a busy and an idle instance, and others."""
    state = test_overload.build_entry()
    for name in ("busy", "idle", "draining", "excluded", "other", "silent"):
        member = test_overload.build_member(name)
        member.received_at = NOW
        state.members[member.instance] = member
    find(state, "busy").in_flight = 6
    find(state, "excluded").excluded_until = NOW + SECOND
    find(state, "silent").received_at = SECOND
    draining, other = find(state, "draining"), find(state, "other")
    draining.announcement = dataclasses.replace(
        draining.announcement, state=states.MemberState.DRAINING
    )
    other.announcement = dataclasses.replace(
        other.announcement, kinds=frozenset({ids.KindName("other")})
    )
    return state


def find(state: entry.EntryState, name: str) -> membership.Member:
    return state.members[ids.InstanceId(name)]


def test_candidates_come_by_cost_and_the_others_have_reasons() -> None:
    state = build_fleet()
    told = previews.preview_request(state, ORGANISATION, KIND, NOW)
    assert told.refusal is None
    assert [choice.instance for choice in told.candidates] == ["idle", "busy"]
    assert dict(told.excluded) == {
        Obstacle.OTHER_KINDS: ("other",),
        Obstacle.NOT_SERVING: ("draining",),
        Obstacle.SILENT: ("silent",),
        Obstacle.EXCLUDED: ("excluded",),
    }


def test_a_preview_does_not_count_as_demand() -> None:
    """Guards against a preview that takes part of the shares of callers."""
    state = build_fleet()
    demand = copy.deepcopy(state.demand)
    previews.preview_request(state, ORGANISATION, KIND, NOW)
    assert state.demand == demand
    assert not state.calls
    assert not any(state.waiting.values())


def test_refusals_are_told() -> None:
    state = build_fleet()
    stranger = ids.OrganisationId("stranger")
    told = previews.preview_request(state, stranger, KIND, NOW)
    assert told.refusal is states.Reason.UNKNOWN_ORGANISATION
    unknown = ids.KindName("unknown")
    told = previews.preview_request(state, ORGANISATION, unknown, NOW)
    assert told.refusal is states.Reason.UNKNOWN_KIND
    state.waiting[states.WorkClass.URGENT] = 8
    told = previews.preview_request(state, ORGANISATION, KIND, NOW)
    assert told.refusal is states.Reason.OVERLOADED
    state.waiting[states.WorkClass.URGENT] = 0
    state.members.clear()
    state.instances_by_kind = None
    told = previews.preview_request(state, ORGANISATION, KIND, NOW)
    assert told.refusal is states.Reason.NO_UPSTREAM
