"""Requests through entry and agent beside a bare handler."""

import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator

import cluster
import cluster_settings
import load
import load_stats
import measure_report
import measure_setup
import urllib3

SECONDS = 2.0
CLIENTS = (1, 8)
SERVICES_MS = (0, 20)
WARM_UP_S = 0.5
AIM_RATE = 0.5
AIM_MEDIAN = 3.0
DEADLINE_MS = 10_000
Key = tuple[int, int, str]


@contextlib.contextmanager
def _serve_bare(upstream_url: str) -> Iterator[str]:
    port = cluster_settings.choose_port()
    process = subprocess.Popen(
        [
            sys.executable,
            str(cluster.ROOT / "tools" / "bare_handler.py"),
            str(port),
            upstream_url,
        ],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    url = f"http://{cluster_settings.HOST}:{port}"
    http = urllib3.PoolManager(retries=False, timeout=2.0)
    try:
        for _ in range(cluster.READY_ATTEMPTS):
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                http.request("POST", f"{url}/ready", body=b"")
                break
            time.sleep(cluster.READY_PAUSE_S)
        yield url
    finally:
        process.kill()
        process.wait()


def _measure(service_ms: int) -> dict[Key, load_stats.Summary]:
    shape = cluster_settings.Shape(
        entries=1,
        agents=1,
        data_centres=1,
        kinds=("probe",),
        slots=16,
        service_ms=service_ms,
    )
    found = {}
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply(
            running,
            [measure_setup.request_kind("probe", "urgent", DEADLINE_MS)],
            [measure_setup.organisation("one", ["probe"])],
        )
        with _serve_bare(running.get_upstream_url(0)) as bare:
            through = measure_setup.caller(
                running.get_callers_url(0), "one", "probe", DEADLINE_MS
            )
            targets = {"bare handler": load.Target(bare), "gypsumhold": through}
            for clients in CLIENTS:
                for name, target in targets.items():
                    load.run_closed_loop(target, clients, WARM_UP_S)
                    samples = load.run_closed_loop(target, clients, SECONDS)
                    found[service_ms, clients, name] = load_stats.summarise(
                        samples, SECONDS
                    )
    return found


def measure() -> measure_report.Report:
    """Runs the measurement."""
    found: dict[Key, load_stats.Summary] = {}
    for service_ms in SERVICES_MS:
        found |= _measure(service_ms)
    lines, conclusions = [], []
    for (service_ms, clients, name), item in found.items():
        bare = found[service_ms, clients, "bare handler"]
        rate = load_stats.compute_ratio(item.rate, bare.rate)
        median = load_stats.compute_ratio(item.p50_ms, bare.p50_ms)
        lines.append(
            [
                f"{service_ms} ms",
                str(clients),
                name,
                *(
                    measure_report.format_number(value)
                    for value in (item.rate, item.p50_ms, item.p99_ms)
                ),
                measure_report.format_number(rate, 2),
                measure_report.format_number(median, 2),
                str(item.offered - item.completed),
            ]
        )
        if name != "bare handler":
            case = f"service {service_ms} ms, {clients} clients"
            conclusions += [
                measure_report.judge(
                    f"{case}, throughput", rate, AIM_RATE, True
                ),
                measure_report.judge(f"{case}, p50", median, AIM_MEDIAN, False),
            ]
    cases = [(ms, count) for ms in SERVICES_MS for count in CLIENTS]
    plot = measure_report.Bars(
        "overhead",
        "Median latency beside a bare handler",
        "p50, ms",
        [f"{ms} ms, {count} clients" for ms, count in cases],
        {
            name: [found[ms, count, name].p50_ms for ms, count in cases]
            for name in ("bare handler", "gypsumhold")
        },
    )
    return measure_report.Report(
        "overhead",
        "Requests beside a bare handler",
        "One entry, one agent, one upstream; closed loops of 1 and 8 clients"
        f" for {SECONDS:.0f} s each. The bare handler is a CherryPy handler"
        " that passes the request to the same upstream over pooled"
        " connections.",
        [
            "service",
            "clients",
            "through",
            "requests/s",
            "p50 ms",
            "p99 ms",
            "rate / bare",
            "p50 / bare",
            "failed",
        ],
        lines,
        conclusions,
        (plot,),
    )
