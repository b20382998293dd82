"""Routing of dispatches to instances."""

import datetime
import random
from collections.abc import Sequence

from gypsumhold.model import ids, membership, policies, requests, states

EXCLUDE_AFTER = 3
"""Lost or broken dispatches in a row after which an instance is left out."""

FIRST_PAUSE = datetime.timedelta(seconds=1)
"""First pause of an excluded instance; doubles with each further failure."""

MAX_DOUBLINGS = 5
"""Limits the pause to 32 s, so that a mended upstream returns."""

MIN_LATENCY_S = 0.001
"""Shorter latencies are noise and would make ratios meaningless."""

USUAL_GAIN = 0.1
"""Weight of one answer in the usual latency of a kind."""

SLOWNESS_GAIN = 0.3
"""Weight of one answer in an instance's slowness."""

MAX_SLOWNESS = 3.0
"""Largest slowness that one answer can show; service times within a kind vary,
and one long request must not keep an instance out for long."""

MIN_SLOWNESS = 1.5
"""Slowness below this is taken as noise."""

SLOWNESS_HALF_LIFE = datetime.timedelta(seconds=3)
"""Time in which half of a slowness that is not measured again is forgotten."""

FAR_PENALTY = 0.5
"""Added load of another data centre, in shares of an instance's slots."""


class RandomRouting(policies.RoutingPolicy):
    """Baseline: any candidate, with equal chance."""

    def choose(
        self,
        candidates: Sequence[membership.Member],
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
        source: random.Random,
    ) -> membership.Member | None:
        """Returns a random candidate."""
        return source.choice(candidates) if candidates else None

    def observe(
        self,
        member: membership.Member,
        kind: ids.KindName,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Learns nothing."""


class PowerOfTwoChoices(policies.RoutingPolicy):
    """Takes the better of two random candidates, near ones first.

    The load is weighed by how slow an instance is beside the usual latency of
    each kind. The measured slowness fades, so that a slow instance is tried
    again.
    """

    def __init__(self) -> None:
        self._usual: dict[ids.KindName, float] = {}

    def choose(
        self,
        candidates: Sequence[membership.Member],
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
        source: random.Random,
    ) -> membership.Member | None:
        """Returns the better of two candidates."""
        if not candidates:
            return None
        near = [
            item
            for item in candidates
            if item.announcement.data_centre == data_centre
        ]
        first = source.choice(near or candidates)
        others = [item for item in candidates if item is not first]
        second = source.choice(others) if others else first
        return min(
            (first, second),
            key=lambda item: _estimate_cost(item, data_centre, now),
        )

    def observe(
        self,
        member: membership.Member,
        kind: ids.KindName,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Leaves failing instances out; the next call is the probe."""
        if reply is not None and reply.outcome is states.Outcome.COMPLETED:
            self._note_latency(member, kind, latency, now)
        failed = reply is None or (
            reply.outcome is states.Outcome.INDETERMINATE
        )
        if not failed:
            member.failures = 0
            return
        member.failures += 1
        excess = member.failures - EXCLUDE_AFTER
        if excess >= 0:
            pause = FIRST_PAUSE * 2 ** min(excess, MAX_DOUBLINGS)
            member.excluded_until = now + pause

    def _note_latency(
        self,
        member: membership.Member,
        kind: ids.KindName,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        seconds = max(latency.total_seconds(), MIN_LATENCY_S)
        usual = self._usual.get(kind, seconds)
        # Slow answers raise the usual latency little, so that one slow
        # instance does not pass for normal.
        gain = USUAL_GAIN if seconds < usual else USUAL_GAIN / 10
        self._usual[kind] = usual + gain * (seconds - usual)
        faded = _fade(member, now)
        ratio = min(MAX_SLOWNESS, seconds / usual)
        member.latency_ratio = faded + SLOWNESS_GAIN * (ratio - faded)
        member.latency_ratio_at = now


def _fade(member: membership.Member, now: datetime.timedelta) -> float:
    """Returns the slowness, drawn to normal by the time since it was seen."""
    share = 0.5 ** ((now - member.latency_ratio_at) / SLOWNESS_HALF_LIFE)
    return float(1.0 + (member.latency_ratio - 1.0) * share)


def _estimate_cost(
    member: membership.Member,
    data_centre: ids.DataCentre,
    now: datetime.timedelta,
) -> float:
    latency_ratio = _fade(member, now)
    weight = latency_ratio if latency_ratio >= MIN_SLOWNESS else 1.0
    return _estimate_load(member, data_centre) * weight


def _estimate_load(
    member: membership.Member, data_centre: ids.DataCentre
) -> float:
    """Estimates the load; fresh in-flight counts go before the report.

    The report is up to a second old, so calls that were sent since then are
    only visible in this entry's own count.
    """
    announced = member.announcement
    free = max(0, announced.free_slots - member.in_flight)
    load = (member.in_flight + announced.queued + 1) / (free + 1)
    far = announced.data_centre != data_centre
    return load + (FAR_PENALTY if far else 0.0)
