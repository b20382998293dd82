"""Computes percentiles, rates and ratios of measured requests."""

import collections
import dataclasses
import math
from collections.abc import Sequence

MAX_FAILURES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request as measured by the sender.

    Attributes:
        due_s: Planned send time, in seconds after the start.
        latency_s: Time from `due_s` to the end of the answer, in seconds.
        completed: Whether the complete answer of the upstream arrived.
        outcome: Outcome header with the reason of a failure, or the name of
            the exception.
    """

    due_s: float
    latency_s: float
    completed: bool
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of one stream of requests.

    Attributes:
        offered: Number of requests that were due.
        completed: Number of requests with a complete answer.
        rate: Completed requests a second.
        p50_ms: Median latency of completed requests.
        p99_ms: 99th percentile of their latency.
        p999_ms: 99.9th percentile of their latency.
        failures: Most frequent outcomes of the other requests, with counts.
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


def compute_percentile(values: Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    # Without rounding, a floating-point error makes 99.9% of 1,000 values
    # rank 1,000 instead of 999.
    rank = math.ceil(round(percent / 100 * len(ordered), 9))
    return ordered[max(0, rank - 1)]


def summarise(samples: Sequence[Sample], seconds: float) -> Summary:
    """Returns the statistics of a stream that ran for `seconds`."""
    failures = collections.Counter(
        item.outcome for item in samples if not item.completed
    )
    latencies = [item.latency_s * 1000 for item in samples if item.completed]
    return Summary(
        offered=len(samples),
        completed=len(latencies),
        rate=len(latencies) / seconds,
        p50_ms=compute_percentile(latencies, 50),
        p99_ms=compute_percentile(latencies, 99),
        p999_ms=compute_percentile(latencies, 99.9),
        failures=tuple(failures.most_common(MAX_FAILURES)),
    )


def compute_ratio(value: float, reference: float) -> float:
    """Returns value / reference; NaN if the reference is 0."""
    return value / reference if reference else math.nan
