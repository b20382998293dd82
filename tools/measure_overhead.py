"""Measures the overhead of entry and agent over a minimal proxy."""

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
MIN_RATE_RATIO = 0.5
MAX_MEDIAN_RATIO = 3.0
DEADLINE_MS = 10_000
Case = tuple[int, int, str]


@contextlib.contextmanager
def _run_bare_handler(upstream_url: str) -> Iterator[str]:
    """Runs bare_handler.py in front of an upstream and yields its base URL."""
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


def _measure(service_ms: int) -> dict[Case, load_stats.Summary]:
    """Measures both proxies with each number of clients.

    Returns:
        Statistics by service time, number of clients and name of the proxy.
    """
    shape = cluster_settings.Shape(
        entries=1,
        agents=1,
        data_centres=1,
        kinds=("probe",),
        slots=16,
        service_ms=service_ms,
    )
    summaries = {}
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
        with _run_bare_handler(running.get_upstream_url(0)) as bare:
            via_gypsumhold = measure_setup.build_target(
                running.get_callers_url(0), "one", "probe", DEADLINE_MS
            )
            targets = {
                "bare handler": load.Target(bare),
                "gypsumhold": via_gypsumhold,
            }
            for clients in CLIENTS:
                for name, target in targets.items():
                    load.run_closed_loop(target, clients, WARM_UP_S)
                    samples = load.run_closed_loop(target, clients, SECONDS)
                    summaries[service_ms, clients, name] = load_stats.summarise(
                        samples, SECONDS
                    )
    return summaries


def measure() -> measure_report.Report:
    """Measures all combinations and returns the report."""
    summaries: dict[Case, load_stats.Summary] = {}
    for service_ms in SERVICES_MS:
        summaries |= _measure(service_ms)
    rows, conclusions = [], []
    for (service_ms, clients, name), summary in summaries.items():
        bare = summaries[service_ms, clients, "bare handler"]
        rate = load_stats.compute_ratio(summary.rate, bare.rate)
        median = load_stats.compute_ratio(summary.p50_ms, bare.p50_ms)
        rows.append(
            [
                f"{service_ms} ms",
                str(clients),
                name,
                *(
                    measure_report.format_number(value)
                    for value in (summary.rate, summary.p50_ms, summary.p99_ms)
                ),
                measure_report.format_number(rate, 2),
                measure_report.format_number(median, 2),
                str(summary.offered - summary.completed),
            ]
        )
        if name != "bare handler":
            case = f"service {service_ms} ms, {clients} clients"
            conclusions += [
                measure_report.compare_with_goal(
                    f"{case}, throughput", rate, MIN_RATE_RATIO, True
                ),
                measure_report.compare_with_goal(
                    f"{case}, p50", median, MAX_MEDIAN_RATIO, False
                ),
            ]
    cases = [
        (service_ms, clients)
        for service_ms in SERVICES_MS
        for clients in CLIENTS
    ]
    plot = measure_report.BarChart(
        "overhead",
        "Median latency beside a bare handler",
        "p50, ms",
        [
            f"{service_ms} ms, {clients} clients"
            for service_ms, clients in cases
        ],
        {
            name: [
                summaries[service_ms, clients, name].p50_ms
                for service_ms, clients in cases
            ]
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
        rows,
        conclusions,
        (plot,),
    )
