"""Shares of organisations in the calls that may wait in an entry.

A waiting call occupies a thread. The number of waiting calls is limited by work
class, so that a flood of one class does not take the threads of the others. The
organisations share the limit of a class by weight, so that a flood of one of
them does not take all of it.
"""

import datetime
from collections.abc import Mapping

from gypsumhold.model import entry, ids, requests, states

ACTIVE_TIME = datetime.timedelta(seconds=5)
"""Time for which an organisation counts as active after its latest call."""

MAX_RESERVED = 0.5
"""Largest part of a class's limit that is reserved for other organisations.

A single busy organisation can use the rest, which is enough to keep all slots
in use.
"""


def admit(
    state: entry.EntryState,
    request: requests.Request,
    work_class: states.WorkClass,
    now: datetime.timedelta,
) -> bool:
    """Returns whether a call may wait, and records its arrival.

    An organisation may exceed its share as long as the unused shares of the
    other active organisations stay free. No more than `MAX_RESERVED` of the
    class's limit is kept free for them.
    """
    demands = state.demand[work_class]
    weight = state.configuration.organisations[request.organisation].weight
    own_demand = demands.setdefault(
        request.organisation, entry.Demand(weight, now)
    )
    own_demand.weight = weight
    own_demand.arrived_at = now
    if state.waiting[work_class] >= state.options.waiting_limits[work_class]:
        return False
    _remove_idle(state, work_class, now)
    return _is_within_share(state, demands, own_demand, work_class)


def may_wait(
    state: entry.EntryState,
    organisation: ids.OrganisationId,
    work_class: states.WorkClass,
) -> bool:
    """Returns whether a call might wait now, and records nothing.

    Organisations that have become idle since the last call still count.
    """
    if state.waiting[work_class] >= state.options.waiting_limits[work_class]:
        return False
    weight = state.configuration.organisations[organisation].weight
    demands = dict(state.demand[work_class])
    own_demand = demands.setdefault(
        organisation, entry.Demand(weight, datetime.timedelta(0))
    )
    return _is_within_share(state, demands, own_demand, work_class)


def _is_within_share(
    state: entry.EntryState,
    demands: Mapping[ids.OrganisationId, entry.Demand],
    own_demand: entry.Demand,
    work_class: states.WorkClass,
) -> bool:
    """Returns whether one more call leaves the shares of others free."""
    limit = state.options.waiting_limits[work_class]
    total = state.waiting[work_class]
    weight = own_demand.weight
    total_weight = sum(item.weight for item in demands.values())
    if own_demand.waiting < limit * weight / total_weight:
        return True
    reserved = sum(
        max(0.0, limit * item.weight / total_weight - item.waiting)
        for item in demands.values()
        if item is not own_demand
    )
    return total < limit - min(reserved, limit * MAX_RESERVED)


def _remove_idle(
    state: entry.EntryState,
    work_class: states.WorkClass,
    now: datetime.timedelta,
) -> None:
    """Removes organisations without waiting or recent calls."""
    demands = state.demand[work_class]
    idle = [
        name
        for name, item in demands.items()
        if not item.waiting and now - item.arrived_at > ACTIVE_TIME
    ]
    for name in idle:
        del demands[name]
