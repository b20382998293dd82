"""Shares of the calls that may wait in an entry.

A waiting call holds a thread, so a flood of one class must not take the threads
of the others, and a flood of one organisation must not take all of its class.
"""

import datetime

from gypsumhold.model import entry, requests, states

ACTIVE_TIME = datetime.timedelta(seconds=5)
"""How long an organisation counts as active after its latest call."""

MAX_RESERVED = 0.5
"""Largest part of a class that is held free for others, so that one busy
organisation can still keep all slots in use."""


def admit(
    state: entry.EntryState,
    request: requests.Request,
    work_class: states.WorkClass,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a call may wait, and notes its arrival.

    An organisation may go beyond its share as long as the shares of the other
    active ones stay free, up to half of the class.
    """
    demands = state.demand[work_class]
    weight = state.configuration.organisations[request.organisation].weight
    own = demands.setdefault(request.organisation, entry.Demand(weight, now))
    own.weight = weight
    own.arrived_at = now
    limit = state.options.waiting_limits[work_class]
    total = state.waiting[work_class]
    if total >= limit:
        return False
    _remove_idle(state, work_class, now)
    total_weight = sum(item.weight for item in demands.values())
    if own.waiting < limit * weight / total_weight:
        return True
    reserved = sum(
        max(0.0, limit * item.weight / total_weight - item.waiting)
        for item in demands.values()
        if item is not own
    )
    return total < limit - min(reserved, limit * MAX_RESERVED)


def _remove_idle(
    state: entry.EntryState,
    work_class: states.WorkClass,
    now: datetime.timedelta,
) -> None:
    demands = state.demand[work_class]
    idle = [
        name
        for name, item in demands.items()
        if not item.waiting and now - item.arrived_at > ACTIVE_TIME
    ]
    for name in idle:
        del demands[name]
