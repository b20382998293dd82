"""Tests of the measurement tools' functions that need no processes."""

import math

import counters
import load
import load_stats
import measure_report
import pytest
import slopes_timing


@pytest.mark.parametrize(
    ("count", "percent", "expected"),
    [(100, 50, 50), (100, 99, 99), (1000, 99.9, 999), (1, 99, 1), (10, 99, 10)],
)
def test_percentiles_use_the_nearest_rank(
    count: int, percent: float, expected: int
) -> None:
    """Guards against reporting the maximum, or a rank below, as p99."""
    values = list(range(count, 0, -1))
    assert load_stats.compute_percentile(values, percent) == expected


def test_percentile_of_no_values_is_nan() -> None:
    """Guards against a latency of zero for a stream without answers."""
    assert math.isnan(load_stats.compute_percentile([], 99))


def test_refused_requests_count_as_offered_only() -> None:
    """Guards against fast refusals that improve the latency and the goodput."""
    samples = [
        load_stats.Sample(0.0, 0.200, True, "completed"),
        load_stats.Sample(0.5, 0.001, False, "not-run 503"),
    ]
    summary = load_stats.summarise(samples, 2.0)
    assert (summary.offered, summary.completed, summary.rate) == (2, 1, 0.5)
    assert (summary.goodput, summary.p50_ms) == (0.5, 200.0)


def test_slope_needs_two_sizes() -> None:
    """Guards against a slope that is fitted to points of only one size."""
    assert slopes_timing.fit_line([(1, 5), (3, 9)]) == slopes_timing.Line(3, 2)
    with pytest.raises(ValueError, match="two sizes"):
        slopes_timing.fit_line([(1, 5), (1, 9)])


def test_send_times_depend_on_the_seed_only() -> None:
    """Guards against comparing two policies under different traffic."""
    first = load.draw_send_times(50, 4, 7)
    assert first == load.draw_send_times(50, 4, 7)
    assert first != load.draw_send_times(50, 4, 8)
    assert 140 < len(first) < 260
    assert all(0 < at < 4 for at in first)


@pytest.mark.parametrize(
    ("ratio", "at_least", "verdict"),
    [(0.94, True, "missed"), (0.95, True, "met"), (0.96, False, "missed")],
)
def test_goals_are_lower_or_upper_limits(
    ratio: float, at_least: bool, verdict: str
) -> None:
    """Guards against a missed goal that the page reports as met."""
    text = measure_report.compare_with_goal("goodput", ratio, 0.95, at_least)
    assert text.endswith(f": {verdict}.")


@pytest.mark.parametrize(
    ("standard", "verdict"), [(9.0, "better"), (10.0, "not better")]
)
def test_policy_equal_to_its_baseline_is_not_better(
    standard: float, verdict: str
) -> None:
    """Guards against a policy reported as better that equals its baseline."""
    text = measure_report.compare_policies("p99", standard, 10.0)
    assert text.endswith(f"is {verdict}.")


def test_proc_files_are_read_in_their_units() -> None:
    """Guards against kB read as bytes, and nanoseconds as microseconds."""
    status = "VmPeak:\t 9 kB\nVmRSS:\t   2000 kB\n"
    assert counters.parse_memory(status) == pytest.approx(2.048)
    assert counters.parse_cpu_time("2500000000 17 3\n") == 2.5
