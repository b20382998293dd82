"""Times and sizes of single operations, without I/O of their own."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence

ROUNDS = 6
"""The fastest round is taken: other work on the machine only adds time."""

ROUND_S = 0.04
MAX_CALLS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measured operation at one size.

    Attributes:
        operation: What was measured.
        size: Value of the quantity that varies.
        unit: Name of that quantity.
        microseconds: Processor time of one operation; None if not measured.
        bytes: Bytes on the wire or in memory; None if there are none.
    """

    operation: str
    size: int
    unit: str
    microseconds: float | None = None
    bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    intercept: float
    slope: float


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the least-squares line through at least two points.

    Raises:
        ValueError: Fewer than two different sizes.
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
    """Returns the processor time of one call in microseconds.

    `prepare` builds `calls` calls outside the measured time; it is used for
    operations that change state and cannot simply be repeated.
    """
    best = float("inf")
    for _ in range(ROUNDS):
        ready = prepare(calls)
        gc.collect()
        gc.disable()
        started = time.thread_time_ns()
        for call in ready:
            call()
        spent = time.thread_time_ns() - started
        gc.enable()
        best = min(best, spent / len(ready) / 1000)
    return best


def time_call(action: Callable[[], object]) -> float:
    """Returns the processor time of a repeatable call in microseconds."""
    started = time.thread_time_ns()
    action()
    once = max(1, time.thread_time_ns() - started) / 1e9
    calls = max(1, min(MAX_CALLS, int(ROUND_S / once)))
    return time_batch(lambda count: [action] * count, calls)


def measure_memory(build: Callable[[], object]) -> int:
    """Returns the bytes that what `build` returns keeps allocated.

    Counted by tracemalloc: Python objects, without the interpreter's own
    arenas and thread stacks.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return after - before


def measure_growth(
    build: Callable[[int], object], small: int, large: int
) -> float:
    """Returns the bytes of one more item, from two sizes."""
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
        spent = (
            ""
            if point.microseconds is None
            else f"{point.microseconds:,.1f} µs"
        )
        volume = "" if point.bytes is None else f"{point.bytes:,}"
        size = f"{point.size:,} {point.unit}"
        lines.append(f"| {point.operation} | {size} | {spent} | {volume} |")
    return "\n".join(lines)


def render_slopes(points: Iterable[Point]) -> str:
    """Returns the line through the sizes of each operation, as Markdown."""
    groups: dict[tuple[str, str], list[Point]] = {}
    for point in points:
        groups.setdefault((point.operation, point.unit), []).append(point)
    lines = [
        "| operation | fixed | for each | slope |",
        "|---|---:|---|---:|",
    ]
    for (operation, unit), group in groups.items():
        for name, values in (
            ("µs", [(item.size, item.microseconds) for item in group]),
            ("bytes", [(item.size, item.bytes) for item in group]),
        ):
            known = [
                (float(size), float(value))
                for size, value in values
                if value is not None
            ]
            if len({size for size, _ in known}) < 2:
                continue
            line = fit_line(known)
            lines.append(
                f"| {operation} | {line.intercept:,.1f} {name} | {unit}"
                f" | {line.slope:,.3f} {name} |"
            )
    return "\n".join(lines)
