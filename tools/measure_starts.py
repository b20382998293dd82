"""Task starts against a table that takes 300 transactions a second."""

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
"""Just below the threads of both entries. Each caller waits for its commit, so
this bounds the rows that wait for a batch."""

ORGANISATIONS = 64
"""Enough to spread over all 16 partitions."""

LIMIT_S = 25.0
CASES = {"one row each": 1, "group commit": 256}
Member = measure_setup.Member
Role = measure_setup.Role


@dataclasses.dataclass(frozen=True, slots=True)
class _Starts:
    """Submission and start of each task, in seconds of CLOCK_BOOTTIME."""

    submitted: dict[str, float]
    started: dict[str, float]
    others: collections.Counter[str]

    @property
    def rate(self) -> float:
        """Starts a second, from the first submission to the last start."""
        if not self.started:
            return float("nan")
        spent = max(self.started.values()) - min(self.submitted.values())
        return len(self.started) / spent

    def find_latency(self, percent: float) -> float:
        """Returns a percentile of the time to the start, in ms."""
        spent = [
            (at - self.submitted[name]) * 1000
            for name, at in self.started.items()
            if name in self.submitted
        ]
        return load_stats.compute_percentile(spent, percent)


def _read_boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _submit_all(
    running: cluster.Cluster, others: collections.Counter[str]
) -> dict[str, float]:
    """Returns accepted tasks; counts what else was answered in `others`."""
    http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=CALLERS)

    def submit(number: int) -> tuple[str, float] | None:
        url = running.get_callers_url(number % 2)
        body = {
            "organisation": f"org-{number % ORGANISATIONS}",
            "kind": "job",
            "payload": json.dumps({"run_ms": 60_000}),
        }
        begun = _read_boot_time()
        try:
            response = http.request(
                "POST",
                f"{url}/gypsumhold/v1/tasks",
                body=json.dumps(body).encode(),
                headers={"Idempotency-Key": f"task-{number}"},
            )
        except urllib3.exceptions.HTTPError as problem:
            others[type(problem).__name__] += 1
            return None
        if response.status == 201:
            return str(response.json()["task_id"]), begun
        others[f"status {response.status}"] += 1
        return None

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return dict(filter(None, pool.map(submit, range(TASKS))))


def _read_starts(running: cluster.Cluster) -> dict[str, float]:
    started: dict[str, float] = {}
    for member in running.list_members(Role.WORKER):
        for run in measure_setup.read_json(running, member, "/v1/seen")["runs"]:
            started[run["task_id"]] = run["started_ms"] / 1000
    return started


def _measure(batch_rows: int) -> _Starts:
    shape = cluster_settings.Shape(
        entries=2,
        agents=3,
        data_centres=1,
        cpu_millis=10**6,
        memory_mb=10**6,
        tuning=(("batch_rows", batch_rows),),
    )
    with measure_setup.run_cluster(shape) as running:
        measure_setup.apply(
            running,
            [measure_setup.task_kind("job", 100, 100)],
            [
                measure_setup.organisation(f"org-{number}", ["job"])
                for number in range(ORGANISATIONS)
            ],
        )
        platform = Member(Role.PLATFORM)
        measure_setup.script(running, platform, writes_per_s=WRITES_PER_S)
        end = time.monotonic() + LIMIT_S
        others: collections.Counter[str] = collections.Counter()
        submitted = _submit_all(running, others)
        started = _read_starts(running)
        while len(started) < len(submitted) and time.monotonic() < end:
            time.sleep(0.3)
            started = _read_starts(running)
        return _Starts(submitted, started, others)


def measure() -> measure_report.Report:
    """Runs the measurement."""
    found = {name: _measure(count) for name, count in CASES.items()}
    lines = [
        [
            name,
            str(len(item.submitted)),
            ", ".join(f"{count} {text}" for text, count in item.others.items()),
            str(len(item.started)),
            measure_report.format_number(item.rate),
            measure_report.format_number(item.find_latency(50), 0),
            measure_report.format_number(item.find_latency(99), 0),
        ]
        for name, item in found.items()
    ]
    single, grouped = found["one row each"], found["group commit"]
    rate = load_stats.compute_ratio(grouped.rate, single.rate)
    median = load_stats.compute_ratio(
        grouped.find_latency(50), single.find_latency(50)
    )
    tail = load_stats.compute_ratio(
        grouped.find_latency(99), single.find_latency(99)
    )
    word = "better" if rate > 1 else "not better"
    plot = measure_report.Bars(
        "starts",
        f"Task starts with {WRITES_PER_S} writes/s",
        "starts/s",
        list(found),
        {"starts/s": [item.rate for item in found.values()]},
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
        lines,
        [
            f"Starts a second: group commit / one row = {rate:.2f}; group"
            f" commit is {word}.",
            f"Time to start: p50 {median:.2f}, p99 {tail:.2f} of one row each.",
        ],
        (plot,),
    )
