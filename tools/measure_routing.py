"""Measures routing with one slow and one flapping upstream among several."""

import threading

import cluster
import cluster_settings
import load
import load_stats
import measure_report
import measure_setup

AGENTS = 5
SERVICE_MS = 20
SLOW_MS = 300
RATE = 100.0
THREADS = 64
SECONDS = 8.0
FLAP_S = 1.0
DEADLINE_MS = 4000
FAULTS = {"none": (), "slow": ("slow",), "slow and flapping": ("slow", "flap")}
Member = measure_setup.Member
UPSTREAM = measure_setup.Role.UPSTREAM


def _flap(running: cluster.Cluster, stopping: threading.Event) -> None:
    """Makes an upstream break the connections of all requests now and then.

    The fault starts and ends in turn every FLAP_S until `stopping` is set.
    """
    is_broken = True
    while not stopping.is_set():
        measure_setup.set_fault(
            running,
            Member(UPSTREAM, 1),
            fault="answer-lost" if is_broken else "none",
        )
        is_broken = not is_broken
        stopping.wait(FLAP_S)
    measure_setup.set_fault(running, Member(UPSTREAM, 1))


def _run_case(
    running: cluster.Cluster, faults: tuple[str, ...]
) -> load_stats.Summary:
    """Runs the stream of requests while some faults are active."""
    stopping = threading.Event()
    flapping = threading.Thread(target=_flap, args=(running, stopping))
    if "slow" in faults:
        measure_setup.set_fault(
            running, Member(UPSTREAM, 0), fault="slow", slow_ms=SLOW_MS
        )
    if "flap" in faults:
        flapping.start()
    target = measure_setup.build_target(
        running.get_callers_url(0), "one", "probe", DEADLINE_MS
    )
    stream = load.Stream("probe", [target], RATE, THREADS)
    try:
        samples = load.run_streams([stream], SECONDS, measure_setup.SEED)
    finally:
        stopping.set()
        if flapping.is_alive():
            flapping.join()
        measure_setup.set_fault(running, Member(UPSTREAM, 0))
    return load_stats.summarise(samples["probe"], SECONDS)


def _measure(policy: str) -> dict[str, load_stats.Summary]:
    """Returns the statistics of each combination of faults."""
    shape = cluster_settings.Shape(
        entries=1,
        agents=AGENTS,
        data_centres=1,
        kinds=("probe",),
        service_ms=SERVICE_MS,
        policies=policy,
    )
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply_declarations(
            running,
            [
                measure_setup.build_request_template(
                    "probe", "urgent", DEADLINE_MS
                )
            ],
            [measure_setup.build_organisation("one", ["probe"])],
        )
        return {
            name: _run_case(running, faults) for name, faults in FAULTS.items()
        }


def measure() -> measure_report.Report:
    """Measures both policy sets and returns the report."""
    summaries = {policy: _measure(policy) for policy in measure_setup.POLICIES}
    rows = [
        [
            policy,
            case,
            str(summary.offered),
            str(summary.offered - summary.completed),
            measure_report.format_number(summary.p50_ms),
            measure_report.format_number(summary.p99_ms),
            measure_report.format_number(summary.p999_ms),
            summary.explanation,
        ]
        for policy, cases in summaries.items()
        for case, summary in cases.items()
    ]
    conclusions = []
    for case in FAULTS:
        standard, baseline = (
            summaries["standard"][case],
            summaries["baseline"][case],
        )
        conclusions += [
            measure_report.compare_policies(
                f"Faults: {case}, p99", standard.p99_ms, baseline.p99_ms
            ),
            measure_report.compare_policies(
                f"Faults: {case}, p99.9", standard.p999_ms, baseline.p999_ms
            ),
        ]
        unanswered = baseline.offered - baseline.completed
        if unanswered:
            conclusions.append(
                measure_report.compare_policies(
                    f"Faults: {case}, requests without an answer",
                    standard.offered - standard.completed,
                    unanswered,
                )
            )
    plot = measure_report.BarChart(
        "routing",
        "p99 with a slow and a flapping upstream among five",
        "p99, ms",
        list(FAULTS),
        {
            policy: [summary.p99_ms for summary in cases.values()]
            for policy, cases in summaries.items()
        },
    )
    return measure_report.Report(
        "routing",
        "Slow and flapping upstreams",
        f"One entry, {AGENTS} agents of 8 slots, service {SERVICE_MS} ms,"
        f" {RATE:.0f} requests/s for {SECONDS:.0f} s. The slow upstream takes"
        f" {SLOW_MS} ms more; the flapping one breaks the connection of every"
        " request in every second second. Requests are repeatable.",
        [
            "policies",
            "faults",
            "offered",
            "no answer",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "failures",
        ],
        rows,
        conclusions,
        (plot,),
    )
