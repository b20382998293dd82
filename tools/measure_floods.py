"""Floods of the least and of the most urgent class."""

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
"""More than the calls of one class that may wait in both entries."""

SECONDS = 5.0
DRAIN_S = 2.0
AIM = 0.95

RATES = {"urgent": 6.0, "standard": 6.0, "batch": 3.0}
"""Below the classes' shares of 40 requests/s: 24, 12 and 4."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Flood:
    """Class and deadline of a flood."""

    work_class: str
    deadline_ms: int


# About 2 s is what a full queue of the urgent class takes, so the shorter
# deadline ends while calls wait and the longer one does not.
PHASES = {
    "no flood": None,
    "batch flood": _Flood("batch", 2000),
    "urgent flood": _Flood("urgent", 2000),
    "urgent flood 4 s": _Flood("urgent", 4000),
}
Result = dict[str, load_stats.Summary]
FLOOD = "flood"


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    policy: str
    phase: str
    found: Result

    @property
    def slot_use(self) -> float:
        """Share of the slots' time that completed requests used."""
        total = sum(item.rate for item in self.found.values())
        return total / CAPACITY


def _build_streams(
    urls: Sequence[str], flood: _Flood | None
) -> list[load.Stream]:
    streams = [
        load.Stream(
            name,
            [
                measure_setup.caller(url, f"steady-{name}", name, 4000)
                for url in urls
            ],
            rate,
            threads=32,
        )
        for name, rate in RATES.items()
    ]
    if flood is not None:
        targets = [
            measure_setup.caller(
                url, "flooding", flood.work_class, flood.deadline_ms
            )
            for url in urls
        ]
        streams.append(load.Stream(FLOOD, targets, FLOOD_RATE, FLOOD_THREADS))
    return streams


def _measure(policy: str) -> list[_Run]:
    shape = cluster_settings.Shape(
        entries=2,
        agents=AGENTS,
        data_centres=1,
        kinds=tuple(RATES),
        slots=SLOTS,
        service_ms=SERVICE_MS,
        policies=policy,
    )
    runs = []
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply(
            running,
            [measure_setup.request_kind(name, name, 5000) for name in RATES],
            [
                measure_setup.organisation("flooding", list(RATES)),
                *(
                    measure_setup.organisation(f"steady-{name}", [name])
                    for name in RATES
                ),
            ],
        )
        urls = [running.get_callers_url(number) for number in (0, 1)]
        for phase, flood in PHASES.items():
            samples = load.run_streams(
                _build_streams(urls, flood), SECONDS, measure_setup.SEED
            )
            found = {
                name: load_stats.summarise(items, SECONDS)
                for name, items in samples.items()
            }
            runs.append(_Run(policy, phase, found))
            time.sleep(DRAIN_S)
    return runs


def _build_lines(runs: Sequence[_Run]) -> list[list[str]]:
    calm = {run.policy: run.found for run in runs if run.phase == "no flood"}
    lines = []
    for run in runs:
        for name, item in run.found.items():
            before = calm[run.policy].get(name)
            kept = (
                load_stats.compute_ratio(item.goodput, before.goodput)
                if before
                else float("nan")
            )
            lines.append(
                [
                    run.policy,
                    run.phase,
                    name,
                    str(item.offered),
                    str(item.completed),
                    measure_report.format_number(item.goodput, 2),
                    measure_report.format_number(kept, 2),
                    measure_report.format_number(item.p50_ms, 0),
                    measure_report.format_number(item.p99_ms, 0),
                    measure_report.format_number(run.slot_use, 2),
                    item.explanation,
                ]
            )
    return lines


def _build_conclusions(runs: Sequence[_Run]) -> list[str]:
    found = {(run.policy, run.phase): run for run in runs}
    said = []
    for phase in list(PHASES)[1:]:
        for name in RATES:
            kept, tails = {}, {}
            for policy in measure_setup.POLICIES:
                calm = found[policy, "no flood"].found[name]
                item = found[policy, phase].found[name]
                kept[policy] = load_stats.compute_ratio(
                    item.goodput, calm.goodput
                )
                tails[policy] = item.p99_ms
            aim = measure_report.judge(
                f"{phase}, steady {name}, goodput kept by standard",
                kept["standard"],
                AIM,
                True,
            )
            tail = measure_report.compare(
                "p99", tails["standard"], tails["baseline"]
            )
            said.append(f"{aim} Baseline keeps {kept['baseline']:.2f}. {tail}")
    return said


def measure() -> measure_report.Report:
    """Runs the measurement."""
    runs = [
        run for policy in measure_setup.POLICIES for run in _measure(policy)
    ]
    labels = [
        f"{phase}, {name}" for phase in list(PHASES)[1:] for name in RATES
    ]
    found = {(run.policy, run.phase): run.found for run in runs}
    plot = measure_report.Bars(
        "floods",
        "Goodput of the work inside its own share",
        "completed / offered",
        [
            label.replace(" flood", "\nflood").replace(", ", "\n")
            for label in labels
        ],
        {
            policy: [
                found[policy, phase][name].goodput
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
        _build_lines(runs),
        _build_conclusions(runs),
        (plot,),
    )
