"""Batch tasks that slow the service beside them."""

import concurrent.futures
import dataclasses
import json
import threading
import time

import cluster
import cluster_settings
import load
import load_stats
import measure_report
import measure_setup
import urllib3

AGENTS = 2
SERVICE_MS = 20
RATE = 60.0
THREADS = 64
QUIET_S = 4.0
BESIDE_S = 20.0
"""Throttling gets 10 s to help before an eviction, after some evidence."""

TASKS = 6
TASK_RUN_MS = 60_000
"""Longer than the measurement, so that the tasks run all the time."""

SLOWDOWN_PERCENT = 60
"""Added service time for each noisy task at its full share."""

THROTTLED_CPU_PERCENT = 0.25
COUPLING_S = 0.25
Member = measure_setup.Member
Role = measure_setup.Role


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    quiet: load_stats.Summary
    beside: load_stats.Summary
    work_s: float
    evictions: int


def find_noise(states: list[str]) -> float:
    """Returns how many tasks at their full share these states amount to."""
    throttled = THROTTLED_CPU_PERCENT * states.count("throttled")
    return states.count("running") + throttled


def find_slowdown(noise: float) -> int:
    """Returns the service time in percent beside this many tasks."""
    return round(100 + SLOWDOWN_PERCENT * noise)


def _couple(running: cluster.Cluster, stopping: threading.Event) -> float:
    """Slows each upstream by what runs on its worker.

    Returns:
        Work that the tasks did, in seconds at their full share.
    """
    work_s = 0.0
    last = time.monotonic()
    while not stopping.wait(COUPLING_S):
        now = time.monotonic()
        for number in range(AGENTS):
            worker = measure_setup.read_json(
                running, Member(Role.WORKER, number), "/v1/worker"
            )
            noise = find_noise([item["state"] for item in worker["tasks"]])
            work_s += noise * (now - last)
            measure_setup.script(
                running,
                Member(Role.UPSTREAM, number),
                service_percent=find_slowdown(noise),
            )
        last = now
    return work_s


def _submit(running: cluster.Cluster) -> None:
    http = urllib3.PoolManager(retries=False, timeout=10.0)
    for number in range(TASKS):
        body = {
            "organisation": "one",
            "kind": "noisy",
            "payload": json.dumps({"run_ms": TASK_RUN_MS}),
        }
        response = http.request(
            "POST",
            f"{running.get_callers_url(0)}/gypsumhold/v1/tasks",
            body=json.dumps(body).encode(),
            headers={"Idempotency-Key": f"noisy-{number}"},
        )
        if response.status != 201:
            raise RuntimeError(response.data.decode())


def _count_evictions(running: cluster.Cluster) -> int:
    """Returns the starts beyond the first one of each task."""
    starts = sum(
        len(measure_setup.read_json(running, member, "/v1/seen")["runs"])
        for member in running.list_members(Role.WORKER)
    )
    return max(0, starts - TASKS)


def _measure(policy: str) -> _Run:
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
            [
                measure_setup.request_kind("probe", "urgent", 4000),
                measure_setup.task_kind("noisy", 2000, 1000),
            ],
            [measure_setup.organisation("one", ["probe", "noisy"])],
        )
        target = measure_setup.caller(
            running.get_callers_url(0), "one", "probe", 4000
        )
        stream = load.Stream("probe", [target], RATE, THREADS)
        quiet = load.run_streams([stream], QUIET_S, measure_setup.SEED)
        stopping = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            coupling = pool.submit(_couple, running, stopping)
            try:
                _submit(running)
                beside = load.run_streams(
                    [stream], BESIDE_S, measure_setup.SEED + 1
                )
            finally:
                stopping.set()
            work_s = coupling.result()
        return _Run(
            load_stats.summarise(quiet["probe"], QUIET_S),
            load_stats.summarise(beside["probe"], BESIDE_S),
            work_s,
            _count_evictions(running),
        )


def measure() -> measure_report.Report:
    """Runs the measurement."""
    found = {policy: _measure(policy) for policy in measure_setup.POLICIES}
    lines = [
        [
            policy,
            measure_report.format_number(item.quiet.p99_ms),
            measure_report.format_number(item.beside.p50_ms),
            measure_report.format_number(item.beside.p99_ms),
            measure_report.format_number(
                load_stats.compute_ratio(item.beside.p99_ms, item.quiet.p99_ms),
                2,
            ),
            measure_report.format_number(item.work_s, 0),
            str(item.evictions),
        ]
        for policy, item in found.items()
    ]
    one, other = found["standard"], found["baseline"]
    plot = measure_report.Bars(
        "interference",
        "Service beside noisy tasks",
        "ms",
        ["p99 alone", "p50 beside tasks", "p99 beside tasks"],
        {
            policy: [item.quiet.p99_ms, item.beside.p50_ms, item.beside.p99_ms]
            for policy, item in found.items()
        },
    )
    work = load_stats.compute_ratio(one.work_s, other.work_s)
    return measure_report.Report(
        "interference",
        "Interference",
        f"One entry, {AGENTS} agents, service {SERVICE_MS} ms, {RATE:.0f}"
        f" requests/s; {TASKS} tasks that run all the time. Every"
        f" {COUPLING_S * 1000:.0f} ms the script adds {SLOWDOWN_PERCENT}% to"
        " an upstream's service time for each task on its worker, a quarter of"
        f" that for a throttled one. {QUIET_S:.0f} s alone, then"
        f" {BESIDE_S:.0f} s beside the tasks. A stand-in's slowdown is a"
        " model: it says how the control reacts, not how real tasks interfere.",
        [
            "policies",
            "p99 alone ms",
            "p50 beside ms",
            "p99 beside ms",
            "p99 beside / alone",
            "batch work, task s",
            "evictions",
        ],
        lines,
        [
            measure_report.compare(
                "p99 beside tasks", one.beside.p99_ms, other.beside.p99_ms
            ),
            measure_report.compare(
                "p50 beside tasks", one.beside.p50_ms, other.beside.p50_ms
            ),
            "Batch throughput: standard / baseline ="
            f" {measure_report.format_number(work, 2)}.",
            f"Evictions: {one.evictions} against {other.evictions}.",
        ],
        (plot,),
    )
