"""Placement policies: the choice of the instance for a task."""

import random
from collections.abc import Sequence

from gypsumhold.model import membership, policies, resources

SAMPLE_SIZE = 24
"""Number of instances that are considered for one task. Sampling keeps the cost
of a placement independent of the number of instances."""


class FirstFit(policies.PlacementPolicy):
    """Baseline: chooses the first candidate with enough free resources."""

    def choose(
        self,
        required: resources.Resources,
        candidates: Sequence[membership.Member],
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns the first candidate with enough free resources, or None."""
        return next(
            (
                item
                for item in candidates
                if required.fits_in(item.compute_free())
            ),
            None,
        )


class LeastLoaded(policies.PlacementPolicy):
    """Chooses the instance with the largest free share of its capacity.

    The free share is the smaller one of processors and memory.
    """

    def choose(
        self,
        required: resources.Resources,
        candidates: Sequence[membership.Member],
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns the least loaded candidate with enough free resources.

        Returns None if there is none. Of many candidates a random sample is
        considered first, and all of them only if none of the sample has enough.
        """
        considered = candidates
        if len(candidates) > SAMPLE_SIZE:
            considered = rng.sample(candidates, SAMPLE_SIZE)
        return _find_least_loaded(required, considered) or (
            _find_least_loaded(required, candidates)
            if considered is not candidates
            else None
        )


def _find_least_loaded(
    required: resources.Resources, candidates: Sequence[membership.Member]
) -> membership.Member | None:
    fitting = [
        item for item in candidates if required.fits_in(item.compute_free())
    ]
    return max(fitting, key=_compute_free_share, default=None)


def _compute_free_share(member: membership.Member) -> float:
    free = member.compute_free()
    total = member.announcement.capacity
    return min(
        free.cpu_millis / max(1, total.cpu_millis),
        free.memory_mb / max(1, total.memory_mb),
    )
