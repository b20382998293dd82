"""Previews: where a request would go now, and why. Nothing is sent."""

import datetime

from gypsumhold.decisions import dispatches, shares
from gypsumhold.model import entry, ids, membership, previews, states

MemberObstacle = previews.MemberObstacle


def preview_request(
    state: entry.EntryState,
    organisation: ids.OrganisationId,
    kind: ids.KindName,
    now: datetime.timedelta,
) -> previews.RequestPreview:
    """Returns what this entry would do with a request now."""
    name = state.options.entry
    refusal = _find_refusal(state, organisation, kind)
    if refusal is not None:
        return previews.RequestPreview(name, refusal)
    candidates: list[membership.Member] = dispatches.list_eligible(
        state, kind, now
    )
    eligible = {member.instance for member in candidates}
    excluded: dict[MemberObstacle, list[ids.InstanceId]] = {}
    for instance, member in sorted(state.members.items()):
        if instance not in eligible:
            obstacle = _find_obstacle(state, member, kind, now)
            excluded.setdefault(obstacle, []).append(instance)
    choices = [_describe(state, member, now) for member in candidates]
    choices.sort(key=lambda choice: (choice.cost, choice.instance))
    return previews.RequestPreview(
        name,
        None if choices else states.Reason.NO_UPSTREAM,
        tuple(choices),
        tuple(
            (obstacle, tuple(excluded[obstacle]))
            for obstacle in MemberObstacle
            if obstacle in excluded
        ),
    )


def _find_refusal(
    state: entry.EntryState,
    organisation: ids.OrganisationId,
    kind: ids.KindName,
) -> states.Reason | None:
    """Returns why a request would be refused before it is routed."""
    configuration = state.configuration
    if state.stopping:
        return states.Reason.STOPPING
    if not configuration.version:
        return states.Reason.NO_CONFIGURATION
    if organisation not in configuration.organisations:
        return states.Reason.UNKNOWN_ORGANISATION
    template = configuration.resolve(organisation, kind)
    if template is None or template.work is not states.WorkForm.REQUEST:
        return states.Reason.UNKNOWN_KIND
    if not shares.may_wait(state, organisation, template.work_class):
        return states.Reason.OVERLOADED
    return None


def _find_obstacle(
    state: entry.EntryState,
    member: membership.Member,
    kind: ids.KindName,
    now: datetime.timedelta,
) -> MemberObstacle:
    """Returns why an instance is not eligible."""
    if kind not in member.announcement.kinds:
        return MemberObstacle.OTHER_KINDS
    if member.announcement.state is not states.MemberState.SERVING:
        return MemberObstacle.NOT_SERVING
    if not dispatches.is_serving(state, member, now):
        return MemberObstacle.SILENT
    return MemberObstacle.EXCLUDED


def _describe(
    state: entry.EntryState, member: membership.Member, now: datetime.timedelta
) -> previews.MemberChoice:
    announced = member.announcement
    return previews.MemberChoice(
        member.instance,
        announced.data_centre,
        state.policies.routing.estimate_cost(
            member, state.options.data_centre, now
        ),
        announced.free_slots,
        announced.queued,
        member.in_flight,
    )
