"""Routing policies: the choice of the instance for a dispatch."""

import datetime
import random
from collections.abc import Sequence

from gypsumhold.model import ids, membership, policies, requests, states

FAILURES_BEFORE_EXCLUSION = 3
"""Failed dispatches in a row after which an instance is excluded."""

INITIAL_EXCLUSION = datetime.timedelta(seconds=1)
"""Length of the first exclusion; doubles with each further failure."""

MAX_DOUBLINGS = 5
"""Limits the exclusion to 32 s, so that a repaired upstream is used again."""

MIN_LATENCY_S = 0.001
"""Lower bound of measured latencies; ratios of shorter ones are noise."""

TYPICAL_LATENCY_GAIN = 0.1
"""Weight of one answer in the typical latency of its kind of request. An answer
slower than the typical latency has a tenth of this weight."""

LATENCY_RATIO_GAIN = 0.3
"""Weight of one answer in the latency ratio of an instance."""

MAX_LATENCY_RATIO = 3.0
"""Largest ratio that one answer can contribute. Service times vary within a
kind, and one long request must not keep an instance out of use for long."""

LATENCY_RATIO_THRESHOLD = 1.5
"""Smallest latency ratio of an instance that raises its cost; smaller ones are
treated as noise."""

LATENCY_RATIO_HALF_LIFE = datetime.timedelta(seconds=3)
"""Time in which a latency ratio that is not measured again loses half of its
deviation from 1.0."""

REMOTE_PENALTY = 0.5
"""Load that is added to an instance of another data centre, in calls per free
slot."""


class RandomRouting(policies.RoutingPolicy):
    """Baseline: chooses any candidate with equal probability."""

    def choose(
        self,
        candidates: Sequence[membership.Member],
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns a random candidate."""
        return rng.choice(candidates) if candidates else None

    def estimate_cost(
        self,
        member: membership.Member,
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
    ) -> float:
        """Returns the same cost for all candidates."""
        return 0.0

    def observe(
        self,
        member: membership.Member,
        kind: ids.KindName,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Ignores the result."""


class PowerOfTwoChoices(policies.RoutingPolicy):
    """Chooses the better of two random candidates.

    The first of the two is from the local data centre if possible. The cost of
    a candidate is its load times its latency ratio, the ratio of its latency to
    the typical latency of the same kind of request. The ratio decays to 1.0, so
    that a slow instance is eventually tried again.
    """

    def __init__(self) -> None:
        self._typical_latency: dict[ids.KindName, float] = {}

    def choose(
        self,
        candidates: Sequence[membership.Member],
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns the candidate with the lower cost of two random ones."""
        if not candidates:
            return None
        local = [
            item
            for item in candidates
            if item.announcement.data_centre == data_centre
        ]
        first = rng.choice(local or candidates)
        others = [item for item in candidates if item is not first]
        second = rng.choice(others) if others else first
        return min(
            (first, second),
            key=lambda item: self.estimate_cost(item, data_centre, now),
        )

    def estimate_cost(
        self,
        member: membership.Member,
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
    ) -> float:
        """Returns the load of a candidate times its latency ratio."""
        latency_ratio = _decay_latency_ratio(member, now)
        is_slow = latency_ratio >= LATENCY_RATIO_THRESHOLD
        factor = latency_ratio if is_slow else 1.0
        return _estimate_load(member, data_centre) * factor

    def observe(
        self,
        member: membership.Member,
        kind: ids.KindName,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates the latency ratio and excludes instances that keep failing.

        A dispatch has failed if there was no reply or if its outcome is
        unknown; a refusal is no failure. The first dispatch after an exclusion
        serves as a probe: if it fails, the instance is excluded again for
        longer. Failures during an exclusion are of dispatches that were sent
        before it, and do not prolong it.
        """
        if reply is not None and reply.outcome is states.Outcome.COMPLETED:
            self._record_latency(member, kind, latency, now)
        has_failed = reply is None or (
            reply.outcome is states.Outcome.INDETERMINATE
        )
        if not has_failed:
            member.failures = 0
            return
        if now < member.excluded_until:
            return
        member.failures += 1
        excess = member.failures - FAILURES_BEFORE_EXCLUSION
        if excess >= 0:
            exclusion = INITIAL_EXCLUSION * 2 ** min(excess, MAX_DOUBLINGS)
            member.excluded_until = now + exclusion

    def _record_latency(
        self,
        member: membership.Member,
        kind: ids.KindName,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates the typical latency of the kind and the member's ratio.

        The typical latency is that of all instances. The ratio of an instance
        covers all kinds of requests.
        """
        seconds = max(latency.total_seconds(), MIN_LATENCY_S)
        typical = self._typical_latency.get(kind, seconds)
        # Slow answers raise the typical latency only slowly; otherwise a single
        # slow instance would soon count as normal.
        gain = (
            TYPICAL_LATENCY_GAIN
            if seconds < typical
            else TYPICAL_LATENCY_GAIN / 10
        )
        self._typical_latency[kind] = typical + gain * (seconds - typical)
        decayed = _decay_latency_ratio(member, now)
        ratio = min(MAX_LATENCY_RATIO, seconds / typical)
        member.latency_ratio = decayed + LATENCY_RATIO_GAIN * (ratio - decayed)
        member.latency_ratio_at = now


def _decay_latency_ratio(
    member: membership.Member, now: datetime.timedelta
) -> float:
    """Returns the latency ratio, decayed to 1.0 since its last update."""
    remaining_share = 0.5 ** (
        (now - member.latency_ratio_at) / LATENCY_RATIO_HALF_LIFE
    )
    return float(1.0 + (member.latency_ratio - 1.0) * remaining_share)


def _estimate_load(
    member: membership.Member, data_centre: ids.DataCentre
) -> float:
    """Returns the calls per free slot, plus a penalty for a remote instance.

    This entry's own calls in flight are counted besides the announced numbers,
    because an announcement is up to a second old and lacks the calls that were
    sent since then.
    """
    announced = member.announcement
    free = max(0, announced.free_slots - member.in_flight)
    load = (member.in_flight + announced.queued + 1) / (free + 1)
    is_remote = announced.data_centre != data_centre
    return load + (REMOTE_PENALTY if is_remote else 0.0)
