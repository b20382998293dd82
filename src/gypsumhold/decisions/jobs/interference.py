"""Learns which images of fillers slow which serving tasks down.

Tail latency grows without bound as a worker fills up, but headroom (target over
tail latency) falls about linearly with load. So the change of headroom from one
reading to the next, against the change of the cpu that one image of fillers
used, tells what a core of that image takes from each image that serves beside
it. The load of the serving tasks changes as well; that averages out over
readings and workers.
"""

import datetime
import math
import statistics
from collections.abc import Iterable, Mapping

from gypsumhold.model.jobs import executor, runs, specs

PRIOR = 0.1
"""Headroom per core that an unknown pair of images is taken to need."""

OPTIMISTIC_PRIOR = 0.04
"""Headroom per core that an unknown pair is hoped to need."""

PRIOR_WEIGHT = 12.0
"""Weight of the prior in cores squared; serving load moves headroom as well, so
the first few readings say little."""

LEAST = 0.004
"""Headroom per core below which images are not told apart."""

UNCERTAINTY = 0.15
"""Added to an estimate, over the root of its weight: an image is taken to slow
others down until readings show that it does not."""

NEGLIGIBLE = 0.04
"""Headroom per core below which a filler does not slow an image down."""

LEAST_SHARE = 0.25
"""Share of a change of cpu that an image must make to be told by it."""

LEAST_CHANGE = 0.7
"""Smallest change of cpu in cores that says something."""

SAMPLE_INTERVAL = datetime.timedelta(milliseconds=500)
"""Least time between two readings that are compared; each covers about that
long."""

MOST_HEADROOM = 4.0
"""Readings above this differ by the rounding of small latencies."""

CORE_MILLIS = 1000
SECOND = datetime.timedelta(seconds=1)

Estimates = Mapping[runs.ImagePair, float]
"""Headroom that one core of a filling image takes from a serving image."""


def read_sample(
    state: executor.ExecutorState, now: datetime.timedelta
) -> executor.Sample:
    """Returns the readings of the latest look."""
    headrooms: dict[specs.Image, dict[runs.RunRef, float]] = {}
    cores: dict[specs.Image, float] = {}
    for local in state.active.values():
        row, command = local.row, local.command
        if row is None or command is None:
            continue
        if command.target_latency_ms and row.usage > 0:
            headroom = min(command.target_latency_ms / row.usage, MOST_HEADROOM)
            headrooms.setdefault(command.image, {})[local.ref] = headroom
        elif command.best_effort:
            used = row.usage / CORE_MILLIS
            cores[command.image] = cores.get(command.image, 0.0) + used
    return executor.Sample(now, headrooms, cores)


def update_sums(
    state: executor.ExecutorState,
    before: executor.Sample,
    after: executor.Sample,
) -> set[runs.ImagePair]:
    """Adds the difference of two readings; returns what it told about.

    Where several images changed, each is given what the others are not known
    to have caused. While no filler changes, the change of headroom is that of
    the serving load, which goes on for a while.
    """
    seconds = (after.at - before.at) / SECOND
    changes = _measure_changes(before.cores, after.cores)
    total = sum(map(abs, changes.values()))
    told: set[runs.ImagePair] = set()
    for image, known in state.serving.items():
        moved = _measure_move(
            before.headrooms.get(image, {}), after.headrooms.get(image, {})
        )
        if moved is None:
            continue
        if total < LEAST_CHANGE:
            known.drift = moved / seconds
            continue
        rest = moved - known.drift * seconds
        rest += estimate_taken(state.interference_estimates, image, changes)
        known.drift /= 2
        for filler, change in changes.items():
            if abs(change) < max(LEAST_CHANGE, LEAST_SHARE * total):
                continue
            pair = runs.ImagePair(image, filler)
            own = state.interference_estimates.get(pair, PRIOR) * change
            state.interference_sums[pair] = _add(
                state.interference_sums.get(
                    pair, runs.InterferenceSums(pair, 0.0, 0.0)
                ),
                rest - own,
                change,
            )
            told.add(pair)
    return told


def _add(
    known: runs.InterferenceSums, moved: float, change: float
) -> runs.InterferenceSums:
    return runs.InterferenceSums(
        known.pair,
        known.moment + moved * change,
        known.weight + change * change,
    )


def _measure_move(
    before: Mapping[runs.RunRef, float], after: Mapping[runs.RunRef, float]
) -> float | None:
    """Returns the change of headroom of the tasks that both readings have."""
    shared = before.keys() & after.keys()
    if not shared:
        return None
    # The median leaves out a task whose own load jumped.
    return statistics.median(after[ref] - before[ref] for ref in shared)


def _measure_changes(
    before: Mapping[specs.Image, float], after: Mapping[specs.Image, float]
) -> dict[specs.Image, float]:
    return {
        image: after.get(image, 0.0) - before.get(image, 0.0)
        for image in before.keys() | after.keys()
    }


def sum_by_pair(
    measured: Iterable[Iterable[runs.InterferenceSums]],
) -> dict[runs.ImagePair, runs.InterferenceSums]:
    """Adds up what all agents measured of each pair."""
    moments: dict[runs.ImagePair, float] = {}
    weights: dict[runs.ImagePair, float] = {}
    for interference_sums in measured:
        for item in interference_sums:
            pair = item.pair
            moments[pair] = moments.get(pair, 0.0) + item.moment
            weights[pair] = weights.get(pair, 0.0) + item.weight
    return {
        pair: runs.InterferenceSums(pair, moment, weights[pair])
        for pair, moment in moments.items()
    }


def estimate_cautious(moment: float, weight: float) -> float:
    """Returns the headroom that one core takes, at a cautious estimate.

    Fillers are paced by it.
    """
    whole = weight + PRIOR_WEIGHT
    found = max(LEAST, (PRIOR * PRIOR_WEIGHT - moment) / whole)
    return found + UNCERTAINTY / math.sqrt(whole)


def estimate_optimistic(moment: float, weight: float) -> float:
    """Returns the headroom that one core takes, at a hopeful estimate.

    Fillers are placed by it: a pair is only learnt where both run.
    """
    whole = weight + PRIOR_WEIGHT
    return max(LEAST, (OPTIMISTIC_PRIOR * PRIOR_WEIGHT - moment) / whole)


def estimate_taken(
    known: Estimates,
    serving: specs.Image,
    cores: Mapping[specs.Image, float],
    unknown: float = PRIOR,
) -> float:
    """Returns the headroom that fillers take from one serving image.

    Args:
        known: What is known of pairs of images.
        serving: The image that serves.
        cores: Cpu of the fillers by their image.
        unknown: What is taken for a pair that is not known.
    """
    return sum(
        known.get(runs.ImagePair(serving, filler), unknown) * used
        for filler, used in cores.items()
    )


def interferes(
    known: Estimates,
    serving: specs.Image,
    filler: specs.Image,
    unknown: float = PRIOR,
) -> bool:
    """Tells whether fillers of an image slow a serving image down."""
    return known.get(runs.ImagePair(serving, filler), unknown) >= NEGLIGIBLE
