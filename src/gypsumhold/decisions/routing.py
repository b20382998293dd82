"""Routing of dispatches to instances."""

import datetime
import random
from collections.abc import Sequence

from gypsumhold.model import ids, policies, requests, roster, states

EXCLUDE_AFTER = 3
"""Lost or broken dispatches in a row after which an instance is left out."""

FIRST_PAUSE = datetime.timedelta(seconds=1)
"""First pause of an excluded instance; doubles with each further failure."""

MAX_DOUBLINGS = 5
"""Limits the pause to 32 s, so that a mended upstream returns."""

FAR_PENALTY = 0.5
"""Added load of another data centre, in shares of an instance's slots."""


class RandomRouting(policies.Routing):
    """Baseline: any candidate, with equal chance."""

    def choose(
        self,
        candidates: Sequence[roster.Member],
        data_centre: ids.DataCentre,
        source: random.Random,
    ) -> roster.Member | None:
        """Returns a random candidate."""
        return source.choice(candidates) if candidates else None

    def observe(
        self,
        member: roster.Member,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Learns nothing."""


class TwoChoices(policies.Routing):
    """Takes the less loaded of two random candidates, near ones first."""

    def choose(
        self,
        candidates: Sequence[roster.Member],
        data_centre: ids.DataCentre,
        source: random.Random,
    ) -> roster.Member | None:
        """Returns the better of two candidates."""
        if not candidates:
            return None
        near = [
            item
            for item in candidates
            if item.announcement.data_centre == data_centre
        ]
        first = source.choice(near or candidates)
        second = source.choice(candidates)
        return min(
            (first, second),
            key=lambda item: _estimate_load(item, data_centre),
        )

    def observe(
        self,
        member: roster.Member,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Leaves failing instances out; the next call is the probe."""
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


def _estimate_load(member: roster.Member, data_centre: ids.DataCentre) -> float:
    """Estimates the load; fresh in-flight counts go before the report.

    The report is up to a second old, so calls that were sent since then are
    only visible in this entry's own count.
    """
    announced = member.announcement
    free = max(0, announced.free_slots - member.in_flight)
    load = (member.in_flight + announced.queued + 1) / (free + 1)
    far = announced.data_centre != data_centre
    return load + (FAR_PENALTY if far else 0.0)
