"""Measures CPU time and memory of single operations; performs no I/O."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence

ROUNDS = 6
"""Number of rounds. The fastest one counts, because other work on the machine
only adds time."""

ROUND_S = 0.04
MAX_CALLS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Measurement of one operation at one size.

    Attributes:
        operation: Name of the operation.
        size: Value of the quantity that varies.
        unit: Name of that quantity.
        microseconds: CPU time of one operation; None if not measured.
        bytes: Bytes on the wire or in memory; None if not measured.
    """

    operation: str
    size: int
    unit: str
    microseconds: float | None = None
    bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted to measured points."""

    intercept: float
    slope: float


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the least-squares line of points.

    Args:
        points: Pairs of a size and a value, of at least two different sizes.

    Raises:
        ValueError: The points have fewer than two different sizes.
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError("a slope needs at least two sizes")
    slope, intercept = statistics.linear_regression(
        [size for size, _ in points], [value for _, value in points]
    )
    return Line(intercept, slope)


def time_batch(
    prepare: Callable[[int], Sequence[Callable[[], object]]], calls: int
) -> float:
    """Returns the CPU time of one call of an operation that changes state.

    Args:
        prepare: Called before each round, outside the measured time, with the
            number of calls; returns that many calls of the operation.
        calls: Number of calls in a round.

    Returns:
        Mean CPU time of a call in the fastest round, in microseconds.
    """
    best_us = float("inf")
    for _ in range(ROUNDS):
        prepared_calls = prepare(calls)
        gc.collect()
        gc.disable()
        started = time.thread_time_ns()
        for call in prepared_calls:
            call()
        spent_ns = time.thread_time_ns() - started
        gc.enable()
        best_us = min(best_us, spent_ns / len(prepared_calls) / 1000)
    return best_us


def time_call(action: Callable[[], object]) -> float:
    """Returns the CPU time of a call that can be repeated, in microseconds.

    The number of calls in a round is chosen to take about ROUND_S.
    """
    started = time.thread_time_ns()
    action()
    call_s = max(1, time.thread_time_ns() - started) / 1e9
    calls = max(1, min(MAX_CALLS, int(ROUND_S / call_s)))
    return time_batch(lambda count: [action] * count, calls)


def measure_memory(build: Callable[[], object]) -> int:
    """Returns the size in bytes of the object that `build` returns.

    Counts the memory that tracemalloc attributes to Python objects, without
    the interpreter's own arenas and thread stacks.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return after - before


def measure_growth(
    build: Callable[[int], object], small: int, large: int
) -> float:
    """Returns the bytes that one more item takes.

    Args:
        build: Builds an object with a number of items.
        small: Smaller number of items to measure.
        large: Larger number of items to measure.
    """
    build(1)
    line = fit_line(
        [
            (small, measure_memory(lambda: build(small))),
            (large, measure_memory(lambda: build(large))),
        ]
    )
    return line.slope


def render_table(points: Iterable[Point]) -> str:
    """Returns the points as a Markdown table."""
    lines = [
        "| operation | size | processor time | bytes |",
        "|---|---:|---:|---:|",
    ]
    for point in points:
        cpu_time = (
            ""
            if point.microseconds is None
            else f"{point.microseconds:,.1f} µs"
        )
        byte_count = "" if point.bytes is None else f"{point.bytes:,}"
        size = f"{point.size:,} {point.unit}"
        lines.append(
            f"| {point.operation} | {size} | {cpu_time} | {byte_count} |"
        )
    return "\n".join(lines)


def render_slopes(points: Iterable[Point]) -> str:
    """Returns the fitted line of each operation as a Markdown table.

    Operations measured at only one size are left out.
    """
    points_by_operation: dict[tuple[str, str], list[Point]] = {}
    for point in points:
        points_by_operation.setdefault(
            (point.operation, point.unit), []
        ).append(point)
    lines = [
        "| operation | fixed | for each | slope |",
        "|---|---:|---|---:|",
    ]
    for (operation, unit), operation_points in points_by_operation.items():
        for value_unit, values in (
            (
                "µs",
                [
                    (point.size, point.microseconds)
                    for point in operation_points
                ],
            ),
            (
                "bytes",
                [(point.size, point.bytes) for point in operation_points],
            ),
        ):
            measured = [
                (float(size), float(value))
                for size, value in values
                if value is not None
            ]
            if len({size for size, _ in measured}) < 2:
                continue
            line = fit_line(measured)
            lines.append(
                f"| {operation} | {line.intercept:,.1f} {value_unit} | {unit}"
                f" | {line.slope:,.3f} {value_unit} |"
            )
    return "\n".join(lines)
