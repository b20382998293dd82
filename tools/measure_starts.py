"""Measures task starts with a table limited to 300 transactions a second."""

import collections
import concurrent.futures
import dataclasses
import json
import time

import cluster
import cluster_settings
import load_stats
import measure_report
import measure_setup
import urllib3

WRITES_PER_S = 300
TASKS = 900
CALLERS = 180
"""Just below the number of threads of both entries. Each caller waits for its
commit, so this limits the rows that wait for a batch."""

ORGANISATIONS = 64
"""Enough organisations to spread over all 16 partitions."""

START_TIMEOUT_S = 25.0
CASES = {"one row each": 1, "group commit": 256}
Member = measure_setup.Member
Role = measure_setup.Role


@dataclasses.dataclass(frozen=True, slots=True)
class _TaskStarts:
    """Submission and start times of tasks, in seconds of CLOCK_BOOTTIME.

    Attributes:
        submitted: Submission time of each accepted task.
        started: Start time of each started task.
        other_answers: Counts of the statuses and exceptions of submissions
            that were not accepted.
    """

    submitted: dict[str, float]
    started: dict[str, float]
    other_answers: collections.Counter[str]

    @property
    def rate(self) -> float:
        """Starts a second between the first submission and the last start."""
        if not self.started:
            return float("nan")
        duration_s = max(self.started.values()) - min(self.submitted.values())
        return len(self.started) / duration_s

    def compute_latency(self, percent: float) -> float:
        """Returns a percentile of the time from submission to start, in ms."""
        latencies_ms = [
            (started_s - self.submitted[task_id]) * 1000
            for task_id, started_s in self.started.items()
            if task_id in self.submitted
        ]
        return load_stats.compute_percentile(latencies_ms, percent)


def _read_boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _submit_all(
    running: cluster.Cluster, other_answers: collections.Counter[str]
) -> dict[str, float]:
    """Submits all tasks concurrently.

    Args:
        running: The deployment.
        other_answers: Receives the counts of answers other than acceptance.

    Returns:
        Submission time of each accepted task, by task id.
    """
    http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=CALLERS)

    def submit(number: int) -> tuple[str, float] | None:
        url = running.get_callers_url(number % 2)
        body = {
            "organisation": f"org-{number % ORGANISATIONS}",
            "kind": "job",
            "payload": json.dumps({"run_ms": 60_000}),
        }
        submitted_s = _read_boot_time()
        try:
            response = http.request(
                "POST",
                f"{url}/gypsumhold/v1/tasks",
                body=json.dumps(body).encode(),
                headers={"Idempotency-Key": f"task-{number}"},
            )
        except urllib3.exceptions.HTTPError as problem:
            other_answers[type(problem).__name__] += 1
            return None
        if response.status == 201:
            return str(response.json()["task_id"]), submitted_s
        other_answers[f"status {response.status}"] += 1
        return None

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return dict(filter(None, pool.map(submit, range(TASKS))))


def _read_starts(running: cluster.Cluster) -> dict[str, float]:
    """Returns the start times that the workers recorded, by task id."""
    started: dict[str, float] = {}
    for member in running.list_members(Role.WORKER):
        for run in measure_setup.read_json(running, member, "/v1/seen")["runs"]:
            started[run["task_id"]] = run["started_ms"] / 1000
    return started


def _measure(batch_rows: int) -> _TaskStarts:
    """Submits all tasks and waits for their starts.

    Args:
        batch_rows: Largest number of rows that a holder commits together.
    """
    shape = cluster_settings.Shape(
        entries=2,
        agents=3,
        data_centres=1,
        cpu_millis=10**6,
        memory_mb=10**6,
        tuning=(("batch_rows", batch_rows),),
    )
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply_declarations(
            running,
            [measure_setup.build_task_template("job", 100, 100)],
            [
                measure_setup.build_organisation(f"org-{number}", ["job"])
                for number in range(ORGANISATIONS)
            ],
        )
        platform = Member(Role.PLATFORM)
        measure_setup.set_fault(running, platform, writes_per_s=WRITES_PER_S)
        give_up_at = time.monotonic() + START_TIMEOUT_S
        other_answers: collections.Counter[str] = collections.Counter()
        submitted = _submit_all(running, other_answers)
        started = _read_starts(running)
        while len(started) < len(submitted) and time.monotonic() < give_up_at:
            time.sleep(0.3)
            started = _read_starts(running)
        return _TaskStarts(submitted, started, other_answers)


def measure() -> measure_report.Report:
    """Measures both batch sizes and returns the report."""
    results = {name: _measure(count) for name, count in CASES.items()}
    rows = [
        [
            name,
            str(len(starts.submitted)),
            ", ".join(
                f"{count} {text}"
                for text, count in starts.other_answers.items()
            ),
            str(len(starts.started)),
            measure_report.format_number(starts.rate),
            measure_report.format_number(starts.compute_latency(50), 0),
            measure_report.format_number(starts.compute_latency(99), 0),
        ]
        for name, starts in results.items()
    ]
    single, grouped = results["one row each"], results["group commit"]
    rate_ratio = load_stats.compute_ratio(grouped.rate, single.rate)
    p50 = load_stats.compute_ratio(
        grouped.compute_latency(50), single.compute_latency(50)
    )
    p99 = load_stats.compute_ratio(
        grouped.compute_latency(99), single.compute_latency(99)
    )
    verdict = "better" if rate_ratio > 1 else "not better"
    plot = measure_report.BarChart(
        "starts",
        f"Task starts with {WRITES_PER_S} writes/s",
        "starts/s",
        list(results),
        {"starts/s": [starts.rate for starts in results.values()]},
    )
    return measure_report.Report(
        "starts",
        "Task starts",
        f"Two entries, 3 agents, a table that takes {WRITES_PER_S}"
        f" transactions a second in turn. {CALLERS} callers submit {TASKS}"
        f" tasks of {ORGANISATIONS} organisations; the time to the start"
        " counts from the submission to the worker's start.",
        [
            "batches",
            "accepted",
            "other answers",
            "started",
            "starts/s",
            "p50 to start ms",
            "p99 to start ms",
        ],
        rows,
        [
            f"Starts a second: group commit / one row = {rate_ratio:.2f}; group"
            f" commit is {verdict}.",
            f"Time to start: p50 {p50:.2f}, p99 {p99:.2f} of one row each.",
        ],
        (plot,),
    )
