"""Estimates which best-effort images slow which serving images down.

Tail latency grows without bound as a worker fills up, but headroom (target
over tail latency) falls about linearly with load. A least-squares fit of the
changes of headroom between samples to the changes of the CPU that a best-effort
image used therefore gives the headroom that one core of that image takes from a
serving image on the same worker. The load of the serving tasks changes as well;
that averages out over samples and workers.
"""

import datetime
import math
import statistics
from collections.abc import Iterable, Mapping

from gypsumhold.model.jobs import executor, runs, specs

PRIOR = 0.1
"""Headroom per core that a pair without measurements is assumed to cost."""

OPTIMISTIC_PRIOR = 0.04
"""The same for placement, which is optimistic so that new pairs run
together and are measured."""

PRIOR_WEIGHT = 12.0
"""Weight of the prior in cores squared; serving load moves headroom as well, so
the first few samples say little."""

MIN_PER_CORE = 0.004
"""Headroom per core below which images are not told apart."""

UNCERTAINTY = 0.15
"""Added to a cautious estimate after division by the root of its weight: an
image is assumed to slow others down until samples show that it does not."""

NEGLIGIBLE = 0.04
"""Headroom per core below which a pair does not count as interfering."""

MIN_CPU_SHARE = 0.25
"""Least share of the total change of CPU that an image must have for a sample
to count for it."""

MIN_CPU_CHANGE = 0.7
"""Least change of CPU, in cores, for which a sample counts."""

SAMPLE_INTERVAL = datetime.timedelta(milliseconds=500)
"""Least time between two samples; each reading of the worker covers about that
long."""

MAX_HEADROOM = 4.0
"""Headroom is capped here; above, readings differ mostly by the rounding of
small latencies."""

CORE_MILLIS = 1000
SECOND = datetime.timedelta(seconds=1)

Estimates = Mapping[runs.ImagePair, float]
"""Headroom that one core of a best-effort image takes from a serving image."""


def read_sample(
    state: executor.ExecutorState, now: datetime.timedelta
) -> executor.Sample:
    """Returns the readings of the latest poll."""
    headrooms: dict[specs.Image, dict[runs.RunRef, float]] = {}
    cores: dict[specs.Image, float] = {}
    for local_run in state.active.values():
        row, command = local_run.row, local_run.command
        if row is None or command is None:
            continue
        if command.target_latency_ms and row.usage > 0:
            headroom = min(command.target_latency_ms / row.usage, MAX_HEADROOM)
            headrooms.setdefault(command.image, {})[local_run.ref] = headroom
        elif command.best_effort and row.usage >= 0:
            used = row.usage / CORE_MILLIS
            cores[command.image] = cores.get(command.image, 0.0) + used
    return executor.Sample(now, headrooms, cores)


def update_sums(
    state: executor.ExecutorState,
    before: executor.Sample,
    after: executor.Sample,
) -> set[runs.ImagePair]:
    """Adds the difference of two samples to the interference sums.

    Where the CPU of several images changed, each is attributed the change of
    headroom that the estimates of the others do not explain. While the
    best-effort CPU hardly changes, the change of headroom is due to the serving
    load; it is kept as a drift, which later samples subtract, halving it each
    time.

    Returns:
        The pairs whose sums changed.
    """
    seconds = (after.taken_at - before.taken_at) / SECOND
    changes = _measure_cpu_changes(before.cores, after.cores)
    total = sum(map(abs, changes.values()))
    updated: set[runs.ImagePair] = set()
    for image, serving_image in state.serving.items():
        headroom_change = _measure_headroom_change(
            before.headrooms.get(image, {}), after.headrooms.get(image, {})
        )
        if headroom_change is None:
            continue
        if total < MIN_CPU_CHANGE:
            serving_image.drift = headroom_change / seconds
            continue
        unexplained = headroom_change - serving_image.drift * seconds
        unexplained += estimate_taken(
            state.interference_estimates, image, changes
        )
        serving_image.drift /= 2
        for best_effort, change in changes.items():
            if abs(change) < max(MIN_CPU_CHANGE, MIN_CPU_SHARE * total):
                continue
            pair = runs.ImagePair(image, best_effort)
            expected = state.interference_estimates.get(pair, PRIOR) * change
            state.interference_sums[pair] = _add_sample(
                state.interference_sums.get(
                    pair, runs.InterferenceSums(pair, 0.0, 0.0)
                ),
                unexplained - expected,
                change,
            )
            updated.add(pair)
    return updated


def _add_sample(
    known: runs.InterferenceSums, headroom_change: float, change: float
) -> runs.InterferenceSums:
    return runs.InterferenceSums(
        known.pair,
        known.moment + headroom_change * change,
        known.weight + change * change,
    )


def _measure_headroom_change(
    before: Mapping[runs.RunRef, float], after: Mapping[runs.RunRef, float]
) -> float | None:
    """Returns the median change of headroom of the tasks in both samples.

    None if there are no such tasks. The samples are of one serving image; a
    fall of its headroom is negative.
    """
    common = before.keys() & after.keys()
    if not common:
        return None
    # The median leaves out a task whose own load jumped.
    return statistics.median(after[ref] - before[ref] for ref in common)


def _measure_cpu_changes(
    before: Mapping[specs.Image, float], after: Mapping[specs.Image, float]
) -> dict[specs.Image, float]:
    return {
        image: after.get(image, 0.0) - before.get(image, 0.0)
        for image in before.keys() | after.keys()
    }


def sum_by_pair(
    reports: Iterable[Iterable[runs.InterferenceSums]],
) -> dict[runs.ImagePair, runs.InterferenceSums]:
    """Adds the sums that all agents reported, by pair of images."""
    moments: dict[runs.ImagePair, float] = {}
    weights: dict[runs.ImagePair, float] = {}
    for reported in reports:
        for item in reported:
            pair = item.pair
            moments[pair] = moments.get(pair, 0.0) + item.moment
            weights[pair] = weights.get(pair, 0.0) + item.weight
    return {
        pair: runs.InterferenceSums(pair, moment, weights[pair])
        for pair, moment in moments.items()
    }


def estimate_cautious(moment: float, weight: float) -> float:
    """Returns a cautious estimate of the headroom that one core takes.

    Best-effort runs are throttled by it.
    """
    total_weight = weight + PRIOR_WEIGHT
    expected = max(MIN_PER_CORE, (PRIOR * PRIOR_WEIGHT - moment) / total_weight)
    return expected + UNCERTAINTY / math.sqrt(total_weight)


def estimate_optimistic(moment: float, weight: float) -> float:
    """Returns an optimistic estimate of the headroom that one core takes.

    Best-effort tasks are placed by it, since a pair can only be measured on a
    worker that runs both images.
    """
    total_weight = weight + PRIOR_WEIGHT
    return max(
        MIN_PER_CORE, (OPTIMISTIC_PRIOR * PRIOR_WEIGHT - moment) / total_weight
    )


def estimate_taken(
    estimates: Estimates,
    serving: specs.Image,
    cores: Mapping[specs.Image, float],
    default: float = PRIOR,
) -> float:
    """Returns the headroom that best-effort tasks take from a serving image.

    Args:
        estimates: Estimated headroom per core by pair of images.
        serving: The serving image.
        cores: CPU of the best-effort tasks in cores, by image.
        default: Headroom per core of a pair without an estimate.
    """
    return sum(
        estimates.get(runs.ImagePair(serving, best_effort), default) * used
        for best_effort, used in cores.items()
    )


def interferes(
    estimates: Estimates,
    serving: specs.Image,
    best_effort: specs.Image,
    default: float = PRIOR,
) -> bool:
    """Tells whether a best-effort image slows a serving image down."""
    return (
        estimates.get(runs.ImagePair(serving, best_effort), default)
        >= NEGLIGIBLE
    )
