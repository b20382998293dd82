"""One slow and one flapping upstream among several."""

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
FAULTY = {"none": (), "slow": ("slow",), "slow and flapping": ("slow", "flap")}
Member = measure_setup.Member
UPSTREAM = measure_setup.Role.UPSTREAM


def _flap(running: cluster.Cluster, stopping: threading.Event) -> None:
    """Lets an upstream break every second second's requests."""
    broken = True
    while not stopping.is_set():
        measure_setup.script(
            running,
            Member(UPSTREAM, 1),
            fault="answer-lost" if broken else "none",
        )
        broken = not broken
        stopping.wait(FLAP_S)
    measure_setup.script(running, Member(UPSTREAM, 1))


def _run_case(
    running: cluster.Cluster, faults: tuple[str, ...]
) -> load_stats.Summary:
    stopping = threading.Event()
    flapping = threading.Thread(target=_flap, args=(running, stopping))
    if "slow" in faults:
        measure_setup.script(
            running, Member(UPSTREAM, 0), fault="slow", slow_ms=SLOW_MS
        )
    if "flap" in faults:
        flapping.start()
    target = measure_setup.caller(
        running.get_callers_url(0), "one", "probe", DEADLINE_MS
    )
    stream = load.Stream("probe", [target], RATE, THREADS)
    try:
        samples = load.run_streams([stream], SECONDS, measure_setup.SEED)
    finally:
        stopping.set()
        if flapping.is_alive():
            flapping.join()
        measure_setup.script(running, Member(UPSTREAM, 0))
    return load_stats.summarise(samples["probe"], SECONDS)


def _measure(policy: str) -> dict[str, load_stats.Summary]:
    shape = cluster_settings.Shape(
        entries=1,
        agents=AGENTS,
        data_centres=1,
        kinds=("probe",),
        service_ms=SERVICE_MS,
        policies=policy,
    )
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply(
            running,
            [measure_setup.request_kind("probe", "urgent", DEADLINE_MS)],
            [measure_setup.organisation("one", ["probe"])],
        )
        return {
            name: _run_case(running, faults) for name, faults in FAULTY.items()
        }


def measure() -> measure_report.Report:
    """Runs the measurement."""
    found = {policy: _measure(policy) for policy in measure_setup.POLICIES}
    lines = [
        [
            policy,
            case,
            str(item.offered),
            str(item.offered - item.completed),
            measure_report.format_number(item.p50_ms),
            measure_report.format_number(item.p99_ms),
            measure_report.format_number(item.p999_ms),
            item.explanation,
        ]
        for policy, cases in found.items()
        for case, item in cases.items()
    ]
    conclusions = []
    for case in FAULTY:
        one, other = found["standard"][case], found["baseline"][case]
        conclusions += [
            measure_report.compare(
                f"Faults: {case}, p99", one.p99_ms, other.p99_ms
            ),
            measure_report.compare(
                f"Faults: {case}, p99.9", one.p999_ms, other.p999_ms
            ),
        ]
        lost = other.offered - other.completed
        if lost:
            conclusions.append(
                measure_report.compare(
                    f"Faults: {case}, requests without an answer",
                    one.offered - one.completed,
                    lost,
                )
            )
    plot = measure_report.Bars(
        "routing",
        "p99 with a slow and a flapping upstream among five",
        "p99, ms",
        list(FAULTY),
        {
            policy: [item.p99_ms for item in cases.values()]
            for policy, cases in found.items()
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
        lines,
        conclusions,
        (plot,),
    )
