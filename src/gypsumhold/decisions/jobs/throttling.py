"""How much headroom fillers may take from serving tasks."""

import dataclasses
import datetime
from collections.abc import Mapping, Sequence

from gypsumhold.model.jobs import policies, specs

LOW_HEADROOM = 1.1
"""Headroom below which fillers stand still."""

TARGET_HEADROOM = 1.5
"""Headroom that fillers leave to serving tasks.

Readings cover the last half second, in which the load of a serving task may
take a quarter of its headroom.
"""

GROWTH = 0.6
"""Part of the spare headroom that is handed out at one reading."""

MAX_STEP = 0.2
"""Most headroom that is added at one reading; the pressure of an image is not
known well before it has run."""

SPARE = 0.6
"""Headroom that may be allowed beyond what the present fillers want."""

FIRST_ALLOWED = 0.3
"""Headroom that is allowed when a task begins to serve."""

YOUNG_TIME = datetime.timedelta(milliseconds=1500)
"""Time after the start of a serving task in which fillers that slow it down
stand still: its tail is not known yet."""

STRAIN_TIME = datetime.timedelta(milliseconds=250)
"""How long an image may have hardly any headroom before every filler stands
still, also those that are not known to slow it down."""

UNLIMITED = 1000.0
"""Headroom that no filler can take."""

SERVING_CPU_SHARE = 0.6
"""Part of its request that a serving task uses at most times."""

CPU_RESERVE = 0.06
"""Part of a worker's cpu that is kept from fillers; serving tasks slow down
sharply once all of it is in use."""

LEAST_ALLOWED = 0.04
"""Allowance below which no further filler is started; it runs at full speed
until its first pace has reached the worker."""

LONGEST_WAIT = datetime.timedelta(milliseconds=700)
"""How long a filler waits for an allowance before it is started all the same;
a job may not be left without a run."""

MEAN_WEIGHT = 0.04
"""Weight of the latest reading in the mean that is reported."""


class NeverThrottle(policies.Throttling):
    """Baseline: fillers always run at full speed."""

    def adjust(self, reading: policies.ThrottleReading) -> float:
        """Returns no limit."""
        return UNLIMITED


class ThrottleByTailLatency(policies.Throttling):
    """Keeps the headroom of serving tasks near a target.

    What fillers may take is what they take now and what is left above the
    target, so an error in their estimated pressure is corrected by the next
    readings. A falling headroom is taken to fall on.
    """

    def adjust(self, reading: policies.ThrottleReading) -> float:
        """Returns the new allowance."""
        headroom = reading.headroom
        if reading.last_headroom is None:
            return min(reading.allowed, FIRST_ALLOWED)
        if headroom < LOW_HEADROOM:
            return 0.0
        trend = min(0.0, headroom - reading.last_headroom)
        spare = headroom + trend - TARGET_HEADROOM
        if spare < 0:
            return max(0.0, min(reading.allowed, reading.taken) + spare)
        most = reading.wanted + SPARE
        step = min(MAX_STEP, spare * GROWTH)
        return min(most, reading.taken + step)


def smooth(mean: float, whole: float) -> float:
    """Returns the mean of what fillers may take after one more reading.

    Serving load swings faster than tasks run, so placement goes by the mean.
    """
    return mean + MEAN_WEIGHT * (whole - mean)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What one filler takes at full speed.

    Attributes:
        interference: Headroom that it takes from serving images.
        cpu_millis: Cpu that it uses.
    """

    interference: Mapping[specs.Image, float]
    cpu_millis: int


def share(
    allowed: Mapping[specs.Image, float],
    idle_millis: int,
    demands: Sequence[Demand],
) -> list[int]:
    """Returns the percent of full speed for each filler, in their order.

    The first ones run at full speed as far as the allowances and the idle cpu
    go: jobs that finish one after the other finish earlier than all of them
    at once.
    """
    percents = []
    idle = float(idle_millis)
    left = dict(allowed)
    for demand in demands:
        part = _divide(idle, demand.cpu_millis)
        for serving, pressure in demand.interference.items():
            part = min(part, _divide(left[serving], pressure))
        percents.append(int(part * 100))
        idle -= demand.cpu_millis * part
        for serving, pressure in demand.interference.items():
            left[serving] -= pressure * part
    return percents


def _divide(left: float, wanted: float) -> float:
    return 1.0 if wanted <= left else max(0.0, left / wanted)
