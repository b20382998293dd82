"""Percentiles, rates and ratios of measured requests."""

import collections
import dataclasses
import math
from collections.abc import Sequence

SHOWN_FAILURES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request as its sender saw it.

    Attributes:
        due_s: When it was to be sent, in seconds after the start.
        latency_s: Time from `due_s` to the end of the answer.
        completed: Whether the upstream's whole answer came.
        outcome: Outcome header, or the name of the error.
    """

    due_s: float
    latency_s: float
    completed: bool
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Figures of one stream of requests.

    Attributes:
        offered: Requests that were due.
        completed: Requests with a whole answer.
        rate: Completed requests a second.
        p50_ms: Median latency of completed requests.
        p99_ms: 99th percentile.
        p999_ms: 99.9th percentile.
        failures: Most frequent outcomes of the others, with their numbers.
    """

    offered: int
    completed: int
    rate: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    failures: tuple[tuple[str, int], ...] = ()

    @property
    def goodput(self) -> float:
        """Share of the offered requests that were completed."""
        return self.completed / self.offered if self.offered else math.nan

    @property
    def explanation(self) -> str:
        """The most frequent failures as text."""
        return ", ".join(f"{count} {name}" for name, count in self.failures)


def find_percentile(values: Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    # Rounding keeps 99.9% of 1,000 from becoming rank 1,000 by float error.
    rank = math.ceil(round(percent / 100 * len(ordered), 9))
    return ordered[max(0, rank - 1)]


def summarise(samples: Sequence[Sample], seconds: float) -> Summary:
    """Returns the figures of a stream that was offered for `seconds`."""
    failures = collections.Counter(
        item.outcome for item in samples if not item.completed
    )
    latencies = [item.latency_s * 1000 for item in samples if item.completed]
    return Summary(
        offered=len(samples),
        completed=len(latencies),
        rate=len(latencies) / seconds,
        p50_ms=find_percentile(latencies, 50),
        p99_ms=find_percentile(latencies, 99),
        p999_ms=find_percentile(latencies, 99.9),
        failures=tuple(failures.most_common(SHOWN_FAILURES)),
    )


def compute_ratio(value: float, reference: float) -> float:
    """Returns value / reference; NaN if there is no reference."""
    return value / reference if reference else math.nan
