"""Choice of the instance for a task."""

import random
from collections.abc import Sequence

from gypsumhold.model import policies, resources, roster


class FirstFit(policies.Placement):
    """Baseline: the first candidate with room."""

    def choose(
        self,
        need: resources.Resources,
        candidates: Sequence[roster.Member],
        source: random.Random,
    ) -> roster.Member | None:
        """Returns the first candidate with room."""
        return next(
            (item for item in candidates if need.fits_in(item.count_free())),
            None,
        )


class LeastLoaded(policies.Placement):
    """Spreads tasks by the free share of processors and memory."""

    def choose(
        self,
        need: resources.Resources,
        candidates: Sequence[roster.Member],
        source: random.Random,
    ) -> roster.Member | None:
        """Returns the candidate with the largest free share that fits."""
        fitting = [
            item for item in candidates if need.fits_in(item.count_free())
        ]
        return max(fitting, key=_estimate_room, default=None)


def _estimate_room(member: roster.Member) -> float:
    free = member.count_free()
    size = member.announcement.capacity
    return min(
        free.cpu_millis / max(1, size.cpu_millis),
        free.memory_mb / max(1, size.memory_mb),
    )
