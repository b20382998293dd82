"""Measures the service of steady callers while one class is flooded."""

import dataclasses
import time
from collections.abc import Sequence

import cluster_settings
import load
import load_stats
import measure_report
import measure_setup

AGENTS = 2
SLOTS = 2
SERVICE_MS = 100
CAPACITY = AGENTS * SLOTS * 1000 / SERVICE_MS
FLOOD_RATE = 10 * CAPACITY
FLOOD_THREADS = 110
"""More than the number of calls of one class that both entries let wait."""

SECONDS = 5.0
DRAIN_S = 2.0
MIN_GOODPUT_KEPT = 0.95

RATES = {"urgent": 6.0, "standard": 6.0, "batch": 3.0}
"""Steady rate of each class, in requests/s.

Each rate is below the share of its class in the 40 requests/s of the upstreams:
24 for urgent, 12 for standard and 4 for batch.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Flood:
    """Class and deadline of the requests of a flood."""

    work_class: str
    deadline_ms: int


# Serving a full queue of the urgent class takes about 2 s, so a deadline of 2 s
# passes while calls wait and a deadline of 4 s does not.
PHASES = {
    "no flood": None,
    "batch flood": _Flood("batch", 2000),
    "urgent flood": _Flood("urgent", 2000),
    "urgent flood 4 s": _Flood("urgent", 4000),
}
Summaries = dict[str, load_stats.Summary]
FLOOD = "flood"


@dataclasses.dataclass(frozen=True, slots=True)
class _PhaseResult:
    """Statistics of each stream in one phase under one policy set."""

    policy: str
    phase: str
    summaries: Summaries

    @property
    def slot_use(self) -> float:
        """Share of the slot time that completed requests used."""
        total = sum(summary.rate for summary in self.summaries.values())
        return total / CAPACITY


def _build_streams(
    urls: Sequence[str], flood: _Flood | None
) -> list[load.Stream]:
    streams = [
        load.Stream(
            name,
            [
                measure_setup.build_target(url, f"steady-{name}", name, 4000)
                for url in urls
            ],
            rate,
            threads=32,
        )
        for name, rate in RATES.items()
    ]
    if flood is not None:
        targets = [
            measure_setup.build_target(
                url, "flooding", flood.work_class, flood.deadline_ms
            )
            for url in urls
        ]
        streams.append(load.Stream(FLOOD, targets, FLOOD_RATE, FLOOD_THREADS))
    return streams


def _measure(policy: str) -> list[_PhaseResult]:
    """Runs all phases on one deployment."""
    shape = cluster_settings.Shape(
        entries=2,
        agents=AGENTS,
        data_centres=1,
        kinds=tuple(RATES),
        slots=SLOTS,
        service_ms=SERVICE_MS,
        policies=policy,
    )
    results = []
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply_declarations(
            running,
            [
                measure_setup.build_request_template(name, name, 5000)
                for name in RATES
            ],
            [
                measure_setup.build_organisation("flooding", list(RATES)),
                *(
                    measure_setup.build_organisation(f"steady-{name}", [name])
                    for name in RATES
                ),
            ],
        )
        urls = [running.get_callers_url(number) for number in (0, 1)]
        for phase, flood in PHASES.items():
            samples = load.run_streams(
                _build_streams(urls, flood), SECONDS, measure_setup.SEED
            )
            summaries = {
                name: load_stats.summarise(stream_samples, SECONDS)
                for name, stream_samples in samples.items()
            }
            results.append(_PhaseResult(policy, phase, summaries))
            time.sleep(DRAIN_S)
    return results


def _build_rows(results: Sequence[_PhaseResult]) -> list[list[str]]:
    """Returns one row for each stream of each phase."""
    without_flood = {
        result.policy: result.summaries
        for result in results
        if result.phase == "no flood"
    }
    rows = []
    for result in results:
        for name, summary in result.summaries.items():
            reference = without_flood[result.policy].get(name)
            kept = (
                load_stats.compute_ratio(summary.goodput, reference.goodput)
                if reference
                else float("nan")
            )
            rows.append(
                [
                    result.policy,
                    result.phase,
                    name,
                    str(summary.offered),
                    str(summary.completed),
                    measure_report.format_number(summary.goodput, 2),
                    measure_report.format_number(kept, 2),
                    measure_report.format_number(summary.p50_ms, 0),
                    measure_report.format_number(summary.p99_ms, 0),
                    measure_report.format_number(result.slot_use, 2),
                    summary.explanation,
                ]
            )
    return rows


def _build_conclusions(results: Sequence[_PhaseResult]) -> list[str]:
    """Returns an item for each steady stream in each phase with a flood."""
    by_phase = {(result.policy, result.phase): result for result in results}
    conclusions = []
    for phase in list(PHASES)[1:]:
        for name in RATES:
            kept, p99_ms = {}, {}
            for policy in measure_setup.POLICIES:
                without_flood = by_phase[policy, "no flood"].summaries[name]
                summary = by_phase[policy, phase].summaries[name]
                kept[policy] = load_stats.compute_ratio(
                    summary.goodput, without_flood.goodput
                )
                p99_ms[policy] = summary.p99_ms
            verdict = measure_report.compare_with_goal(
                f"{phase}, steady {name}, goodput kept by standard",
                kept["standard"],
                MIN_GOODPUT_KEPT,
                True,
            )
            p99 = measure_report.compare_policies(
                "p99", p99_ms["standard"], p99_ms["baseline"]
            )
            conclusions.append(
                f"{verdict} Baseline keeps {kept['baseline']:.2f}. {p99}"
            )
    return conclusions


def measure() -> measure_report.Report:
    """Measures all phases with both policy sets and returns the report."""
    results = [
        result
        for policy in measure_setup.POLICIES
        for result in _measure(policy)
    ]
    labels = [
        f"{phase}, {name}" for phase in list(PHASES)[1:] for name in RATES
    ]
    summaries = {
        (result.policy, result.phase): result.summaries for result in results
    }
    plot = measure_report.BarChart(
        "floods",
        "Goodput of the work inside its own share",
        "completed / offered",
        [
            label.replace(" flood", "\nflood").replace(", ", "\n")
            for label in labels
        ],
        {
            policy: [
                summaries[policy, phase][name].goodput
                for phase in list(PHASES)[1:]
                for name in RATES
            ]
            for policy in measure_setup.POLICIES
        },
    )
    return measure_report.Report(
        "floods",
        "Floods",
        f"Two entries, {AGENTS} agents of {SLOTS} slots, service {SERVICE_MS}"
        f" ms: {CAPACITY:.0f} requests/s. One organisation offers up to"
        f" {FLOOD_RATE:.0f} requests/s of one class with {FLOOD_THREADS}"
        " callers; three others offer 6, 6 and 3 requests/s, inside their"
        f" shares. {SECONDS:.0f} s a phase. Callers of a flood give"
        " it 2 s, in the last phase 4 s; the others give 4 s. *Kept* is"
        " goodput over goodput without the flood. Slot use counts answers"
        " after the end of a phase too, so it may exceed 1.",
        [
            "policies",
            "phase",
            "class",
            "offered",
            "completed",
            "goodput",
            "kept",
            "p50 ms",
            "p99 ms",
            "slot use",
            "failures",
        ],
        _build_rows(results),
        _build_conclusions(results),
        (plot,),
    )
