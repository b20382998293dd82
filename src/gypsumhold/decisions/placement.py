"""Choice of the instance for a task."""

import random
from collections.abc import Sequence

from gypsumhold.model import membership, policies, resources

SAMPLE_SIZE = 24
"""Instances that are looked at for one task, so that its cost does not grow
with their number."""


class FirstFit(policies.PlacementPolicy):
    """Baseline: the first candidate with room."""

    def choose(
        self,
        need: resources.Resources,
        candidates: Sequence[membership.Member],
        source: random.Random,
    ) -> membership.Member | None:
        """Returns the first candidate with room."""
        return next(
            (item for item in candidates if need.fits_in(item.count_free())),
            None,
        )


class LeastLoaded(policies.PlacementPolicy):
    """Spreads tasks by the free share of processors and memory."""

    def choose(
        self,
        need: resources.Resources,
        candidates: Sequence[membership.Member],
        source: random.Random,
    ) -> membership.Member | None:
        """Returns the candidate with the largest free share that fits.

        Of many candidates a random sample is looked at first.
        """
        looked_at = candidates
        if len(candidates) > SAMPLE_SIZE:
            looked_at = source.sample(candidates, SAMPLE_SIZE)
        return _find_roomiest(need, looked_at) or (
            _find_roomiest(need, candidates)
            if looked_at is not candidates
            else None
        )


def _find_roomiest(
    need: resources.Resources, candidates: Sequence[membership.Member]
) -> membership.Member | None:
    fitting = [item for item in candidates if need.fits_in(item.count_free())]
    return max(fitting, key=_estimate_room, default=None)


def _estimate_room(member: membership.Member) -> float:
    free = member.count_free()
    size = member.announcement.capacity
    return min(
        free.cpu_millis / max(1, size.cpu_millis),
        free.memory_mb / max(1, size.memory_mb),
    )
