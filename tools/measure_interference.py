"""Measures interference control: batch tasks that slow down an upstream."""

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
ALONE_S = 4.0
WITH_TASKS_S = 20.0
"""Interference control first collects evidence, then gives throttling 10 s to
take effect before it evicts a task."""

TASKS = 6
TASK_RUN_MS = 60_000
"""Longer than the measurement, so that the tasks run during all of it."""

SLOWDOWN_PERCENT = 60
"""Service time that each task at its full CPU share adds, in percent."""

THROTTLED_SHARE = 0.25
UPDATE_S = 0.25
"""Interval between updates of the upstreams' service times."""

Member = measure_setup.Member
Role = measure_setup.Role


@dataclasses.dataclass(frozen=True, slots=True)
class _RunResult:
    """Results of the measurement with one policy set.

    Attributes:
        alone: Statistics of the requests without tasks.
        with_tasks: Statistics of the requests while tasks run.
        work_s: Work of the tasks, in seconds at their full CPU share.
        evictions: Number of evictions.
    """

    alone: load_stats.Summary
    with_tasks: load_stats.Summary
    work_s: float
    evictions: int


def count_effective_tasks(states: list[str]) -> float:
    """Returns the number of tasks at full CPU share with the same effect.

    Args:
        states: States of the tasks of a worker; a throttled task counts as
            THROTTLED_SHARE of a running one, any other task as 0.
    """
    throttled = THROTTLED_SHARE * states.count("throttled")
    return states.count("running") + throttled


def compute_service_percent(effective_tasks: float) -> int:
    """Returns the service time of an upstream in percent of its usual one."""
    return round(100 + SLOWDOWN_PERCENT * effective_tasks)


def _apply_interference(
    running: cluster.Cluster, stopping: threading.Event
) -> float:
    """Sets each upstream's service time by the tasks on its worker.

    Updates the service times every UPDATE_S until `stopping` is
    set.

    Returns:
        Work that the tasks did, in seconds at their full CPU share.
    """
    work_s = 0.0
    updated_at = time.monotonic()
    while not stopping.wait(UPDATE_S):
        now = time.monotonic()
        for number in range(AGENTS):
            worker = measure_setup.read_json(
                running, Member(Role.WORKER, number), "/v1/worker"
            )
            effective_tasks = count_effective_tasks(
                [task["state"] for task in worker["tasks"]]
            )
            work_s += effective_tasks * (now - updated_at)
            measure_setup.set_fault(
                running,
                Member(Role.UPSTREAM, number),
                service_percent=compute_service_percent(effective_tasks),
            )
        updated_at = now
    return work_s


def _submit(running: cluster.Cluster) -> None:
    """Submits all tasks and raises an error if one is not accepted."""
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
    """Returns the number of starts beyond the first start of each task."""
    starts = sum(
        len(measure_setup.read_json(running, member, "/v1/seen")["runs"])
        for member in running.list_members(Role.WORKER)
    )
    return max(0, starts - TASKS)


def _measure(policy: str) -> _RunResult:
    """Measures requests without tasks, then with tasks, on one deployment."""
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
                measure_setup.build_request_template("probe", "urgent", 4000),
                measure_setup.build_task_template("noisy", 2000, 1000),
            ],
            [measure_setup.build_organisation("one", ["probe", "noisy"])],
        )
        target = measure_setup.build_target(
            running.get_callers_url(0), "one", "probe", 4000
        )
        stream = load.Stream("probe", [target], RATE, THREADS)
        alone = load.run_streams([stream], ALONE_S, measure_setup.SEED)
        stopping = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            interference = pool.submit(_apply_interference, running, stopping)
            try:
                _submit(running)
                with_tasks = load.run_streams(
                    [stream], WITH_TASKS_S, measure_setup.SEED + 1
                )
            finally:
                stopping.set()
            work_s = interference.result()
        return _RunResult(
            load_stats.summarise(alone["probe"], ALONE_S),
            load_stats.summarise(with_tasks["probe"], WITH_TASKS_S),
            work_s,
            _count_evictions(running),
        )


def measure() -> measure_report.Report:
    """Measures both policy sets and returns the report."""
    results = {policy: _measure(policy) for policy in measure_setup.POLICIES}
    rows = [
        [
            policy,
            measure_report.format_number(result.alone.p99_ms),
            measure_report.format_number(result.with_tasks.p50_ms),
            measure_report.format_number(result.with_tasks.p99_ms),
            measure_report.format_number(
                load_stats.compute_ratio(
                    result.with_tasks.p99_ms, result.alone.p99_ms
                ),
                2,
            ),
            measure_report.format_number(result.work_s, 0),
            str(result.evictions),
        ]
        for policy, result in results.items()
    ]
    standard, baseline = results["standard"], results["baseline"]
    plot = measure_report.BarChart(
        "interference",
        "Service beside noisy tasks",
        "ms",
        ["p99 alone", "p50 beside tasks", "p99 beside tasks"],
        {
            policy: [
                result.alone.p99_ms,
                result.with_tasks.p50_ms,
                result.with_tasks.p99_ms,
            ]
            for policy, result in results.items()
        },
    )
    work = load_stats.compute_ratio(standard.work_s, baseline.work_s)
    return measure_report.Report(
        "interference",
        "Interference",
        f"One entry, {AGENTS} agents, service {SERVICE_MS} ms, {RATE:.0f}"
        f" requests/s; {TASKS} tasks that run all the time. Every"
        f" {UPDATE_S * 1000:.0f} ms the script adds {SLOWDOWN_PERCENT}% to"
        " an upstream's service time for each task on its worker, a quarter of"
        f" that for a throttled one. {ALONE_S:.0f} s alone, then"
        f" {WITH_TASKS_S:.0f} s beside the tasks. A stand-in's slowdown is a"
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
        rows,
        [
            measure_report.compare_policies(
                "p99 beside tasks",
                standard.with_tasks.p99_ms,
                baseline.with_tasks.p99_ms,
            ),
            measure_report.compare_policies(
                "p50 beside tasks",
                standard.with_tasks.p50_ms,
                baseline.with_tasks.p50_ms,
            ),
            "Batch throughput: standard / baseline ="
            f" {measure_report.format_number(work, 2)}.",
            f"Evictions: {standard.evictions} against {baseline.evictions}.",
        ],
        (plot,),
    )
