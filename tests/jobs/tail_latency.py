"""A model of the tail latency of serving tasks beside best-effort runs.

Each pair of a serving and a best-effort image interferes to its own degree;
most pairs hardly interfere. Headroom, the latency target over the tail latency,
falls linearly with the load and with the cores that best-effort runs use.
"""

import dataclasses
import math
from collections.abc import Mapping

from gypsumhold.model.jobs import runs, specs

SENSITIVE = specs.Image("sensitive")
ROBUST = specs.Image("robust")
HEAVY = specs.Image("heavy")
LIGHT = specs.Image("light")
EXTREME = specs.Image("extreme")

Interference = Mapping[runs.ImagePair, float]
"""Headroom that one core of a best-effort image takes from a serving image."""

TRUE_INTERFERENCE: Interference = {
    runs.ImagePair(SENSITIVE, HEAVY): 0.2,
    runs.ImagePair(SENSITIVE, LIGHT): 0.01,
    runs.ImagePair(SENSITIVE, EXTREME): 0.6,
    runs.ImagePair(ROBUST, HEAVY): 0.01,
    runs.ImagePair(ROBUST, LIGHT): 0.01,
}

FULL_TURN = 2 * math.pi
"""Radians of one period of the load."""

FULL_HEADROOM = 4.5
"""Headroom of a serving task without load."""

MIN_HEADROOM = 0.05
"""Headroom at which the tail latency stops growing."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServingLoad:
    """Load of the serving tasks of a worker, which swings about a mean.

    Attributes:
        mean: Mean share of their requested CPU that the tasks use.
        swing: Largest deviation from the mean, as a share of it.
        radians_per_s: How fast it swings; a period is about ten seconds.
        phase: Where in the period the load begins, in radians.
    """

    mean: float = 0.42
    swing: float = 0.5
    radians_per_s: float = 0.63
    phase: float = 0.0

    def measure(self, now_s: float) -> float:
        """Returns the share of their requested CPU that the tasks use."""
        swung = math.sin(now_s * self.radians_per_s + self.phase)
        return self.mean * (1 + self.swing * swung)


def scale(interference: Interference, factor: float) -> Interference:
    """Returns the same pairs with this factor on what they take."""
    return {pair: factor * taken for pair, taken in interference.items()}


def compute_taken_headroom(
    interference: Interference,
    serving: specs.Image,
    cores: Mapping[specs.Image, float],
) -> float:
    """Returns what best-effort runs take from the headroom of an image.

    Args:
        interference: Headroom for each core; pairs that it lacks don't
            interfere.
        serving: The serving image.
        cores: CPU that best-effort runs use in cores, by image.
    """
    return sum(
        interference.get(runs.ImagePair(serving, image), 0.0) * used
        for image, used in cores.items()
    )


def compute_headroom(load: float, taken: float) -> float:
    """Returns the headroom at a load, beside best-effort runs."""
    return FULL_HEADROOM * (1 - load) - taken


def compute_tail_ms(target_ms: float, headroom: float) -> float:
    """Returns the tail latency of a task with this latency target."""
    return target_ms / max(MIN_HEADROOM, headroom)
