"""Shares of organisations in the calls that may wait in an entry.

A waiting call occupies a thread. The number of waiting calls is limited by work
class, so that a flood of one class does not take the threads of the others. The
organisations share the limit of a class by weight, so that a flood of one of
them does not take all of it.
"""

import datetime

from gypsumhold.model import entry, requests, states

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
    limit = state.options.waiting_limits[work_class]
    total = state.waiting[work_class]
    if total >= limit:
        return False
    _remove_idle(state, work_class, now)
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
