"""Limits the headroom that best-effort runs take from serving tasks.

Headroom is the latency target divided by the tail latency.
"""

import dataclasses
import datetime
from collections.abc import Mapping, Sequence

from gypsumhold.model.jobs import policies, specs

LOW_HEADROOM = 1.1
"""Headroom below which best-effort runs that slow the image down are halted."""

TARGET_HEADROOM = 1.5
"""Headroom that best-effort runs leave to serving tasks.

Readings cover the last half second, in which the load of a serving task may
take a quarter of its headroom.
"""

GROWTH = 0.6
"""Fraction of the spare headroom that is granted at one reading."""

MAX_STEP = 0.2
"""Most headroom that is added at one reading; an image's interference is not
known well before it has run."""

SPARE_ALLOWANCE = 0.6
"""Headroom that may be allowed beyond the needs of the present runs."""

INITIAL_ALLOWANCE = 0.3
"""Headroom that is allowed when a task begins to serve."""

WARM_UP = datetime.timedelta(milliseconds=1500)
"""Time after the start of a serving task in which best-effort runs that slow
it down are halted, because its tail latency is not known yet."""

EXHAUSTED_TIME = datetime.timedelta(milliseconds=250)
"""Time of low headroom after which all best-effort runs are throttled for an
image, even those that are not estimated to slow it down."""

UNLIMITED = 1000.0
"""An allowance that no set of best-effort runs can use up."""

SERVING_CPU_SHARE = 0.6
"""Fraction of its CPU request that a serving task is expected to use."""

CPU_RESERVE = 0.06
"""Part of a worker's CPU kept from best-effort runs; serving tasks slow down
sharply once all of it is in use."""

MIN_ALLOWANCE = 0.04
"""Allowance below which no best-effort run is started; a new run works at full
speed until its first throttle command reaches the worker."""

MAX_START_DELAY = datetime.timedelta(milliseconds=700)
"""How long a best-effort run waits for an allowance before it starts anyway."""

MEAN_WEIGHT = 0.04
"""Weight of the latest reading in the mean that is reported."""


class NeverThrottle(policies.ThrottlingPolicy):
    """Baseline policy: best-effort runs always work at full speed."""

    def adjust(self, reading: policies.ThrottleReading) -> float:
        """Returns an unlimited allowance."""
        return UNLIMITED


class ThrottleByTailLatency(policies.ThrottlingPolicy):
    """Keeps the headroom of serving tasks near a target.

    The allowance is the headroom that best-effort runs take now plus a part of
    the headroom above the target, so later readings correct an error in the
    estimated interference. A falling headroom is assumed to keep falling.
    """

    def adjust(self, reading: policies.ThrottleReading) -> float:
        """Returns the new allowance."""
        headroom = reading.headroom
        if reading.last_headroom is None:
            return min(reading.allowance, INITIAL_ALLOWANCE)
        if headroom < LOW_HEADROOM:
            return 0.0
        trend = min(0.0, headroom - reading.last_headroom)
        spare = headroom + trend - TARGET_HEADROOM
        if spare < 0:
            return max(0.0, min(reading.allowance, reading.taken) + spare)
        maximum = reading.wanted + SPARE_ALLOWANCE
        step = min(MAX_STEP, spare * GROWTH)
        return min(maximum, reading.taken + step)


def smooth(mean: float, available: float) -> float:
    """Returns the mean available headroom after one more reading.

    Serving load varies faster than tasks finish, so placement uses the mean.
    """
    return mean + MEAN_WEIGHT * (available - mean)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one best-effort run at full speed.

    Attributes:
        interference: Headroom that it takes from each serving image.
        cpu_millis: CPU that it uses, in thousandths of a core.
    """

    interference: Mapping[specs.Image, float]
    cpu_millis: int


def compute_percents(
    allowances: Mapping[specs.Image, float],
    idle_millis: int,
    demands: Sequence[Demand],
) -> list[int]:
    """Returns the percent of full speed for each run, in the given order.

    The first runs get full speed as far as allowances and idle CPU suffice:
    jobs that run one after another finish earlier on average than jobs that
    share the capacity.

    Args:
        allowances: Headroom that may be taken from each serving image.
        idle_millis: CPU that may be used, in thousandths of a core.
        demands: Demands of the runs by falling priority.
    """
    percents = []
    idle = float(idle_millis)
    left = dict(allowances)
    for demand in demands:
        fraction = _limit_fraction(idle, demand.cpu_millis)
        for serving, headroom in demand.interference.items():
            fraction = min(fraction, _limit_fraction(left[serving], headroom))
        percents.append(int(fraction * 100))
        idle -= demand.cpu_millis * fraction
        for serving, headroom in demand.interference.items():
            left[serving] -= headroom * fraction
    return percents


def _limit_fraction(left: float, wanted: float) -> float:
    return 1.0 if wanted <= left else max(0.0, left / wanted)
