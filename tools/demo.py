"""Runs a small deployment, kills some of its processes and checks all results.

The exit status is 0 only if every request and task ended in exactly one known
result, no request that is not repeatable ran twice, and no request that was
answered as not run ran.
"""

import collections
import concurrent.futures
import json
import os
import re
import sys
import threading
import time
from collections.abc import Iterable
from typing import Any

import cluster
import cluster_settings
import demo_caller
import urllib3

DECLARATIONS = cluster.ROOT / "examples" / "arrebol.jsonc"
THREADS = 8
REQUESTS = 320
TASKS = 36
TASK_RUN_MS = 300
CONFIG_ATTEMPTS = 30
# Time in which callers repeat calls; it covers the lease of a partition (10 s)
# whose holder was killed.
BUDGET_S = 45

KINDS = (
    ("taller-quilla", "sketch-cleanup", True),
    ("imprenta-cordillera", "plate-render", False),
    ("archivo-andino", "sketch-tile", True),
    ("taller-quilla", "plate-render", False),
    ("archivo-andino", "thumbnail-refresh", True),
)
TASK_ORGANISATIONS = ("taller-quilla", "archivo-andino")


class Progress:
    """Counts the requests that have ended; a thread can wait for a count."""

    def __init__(self) -> None:
        self._count = 0
        self._changed = threading.Condition()

    def count(self, _: object) -> None:
        """Counts one request; called when its future is done."""
        with self._changed:
            self._count += 1
            self._changed.notify_all()

    def wait_for(self, count: int, timeout_s: float) -> bool:
        """Waits until `count` requests have ended or the timeout is over.

        Returns:
            Whether that many requests have ended.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count >= count, timeout_s
            )


def build_requests() -> list[demo_caller.DemoRequest]:
    """Returns the requests of the demo, with the kinds in turn."""
    return [
        demo_caller.DemoRequest(number, *KINDS[number % len(KINDS)])
        for number in range(REQUESTS)
    ]


def run_ctl(running: cluster.Cluster, *arguments: str) -> str:
    """Runs gypsumctl, prints the command with its output and returns stdout.

    Raises:
        cluster.NotReadyError: The exit status was not 0.
    """
    process = running.run_ctl(*arguments)
    print(
        f"$ gypsumctl {' '.join(arguments)}\n{process.stdout}{process.stderr}"
    )
    if process.returncode != 0:
        raise cluster.NotReadyError(
            f"gypsumctl {arguments[0]} exited with {process.returncode}"
        )
    return process.stdout


def apply_declarations(running: cluster.Cluster) -> None:
    """Applies the declarations and waits until all processes use them.

    Raises:
        cluster.NotReadyError: They were refused, or are not in force after
            CONFIG_ATTEMPTS attempts.
    """
    run_ctl(
        running,
        "apply",
        "--comment",
        "declarations of the demo",
        "--author",
        "demo",
        os.path.relpath(DECLARATIONS),
    )
    for role in (cluster_settings.Role.ENTRY, cluster_settings.Role.AGENT):
        for member in running.list_members(role):
            running.wait_ready(member)
    for _ in range(CONFIG_ATTEMPTS):
        process = running.run_ctl("status", "--check", "--json")
        if process.returncode == 0 and count_serving_instances(
            process.stdout
        ) == len(running.list_members(cluster_settings.Role.AGENT)):
            run_ctl(running, "status")
            return
        demo_caller.PAUSE.wait(demo_caller.PAUSE_S)
    raise cluster.NotReadyError(
        f"the configuration is not in force everywhere:\n{process.stdout}"
    )


def count_serving_instances(text: str) -> int:
    """Returns the smallest number of serving instances that an entry reports.

    Args:
        text: JSON output of `gypsumctl status`.
    """
    counts = [
        sum(
            instance["state"] == "serving"
            for instance in report["answer"]["instances"]
        )
        for report in json.loads(text)
    ]
    return int(min(counts))


def kill_and_restart_members(
    running: cluster.Cluster, progress: Progress
) -> None:
    """Kills an agent and an entry while requests run, then restarts both."""
    agent = cluster_settings.Member(cluster_settings.Role.AGENT, 1)
    entry = cluster_settings.Member(cluster_settings.Role.ENTRY, 1)
    progress.wait_for(REQUESTS // 4, timeout_s=20)
    print(f"kill {agent}")
    running.kill(agent)
    progress.wait_for(REQUESTS // 2, timeout_s=10)
    print(f"kill {entry}")
    running.kill(entry)
    print(f"restart {agent}")
    running.restart(agent)
    print(f"restart {entry}")
    running.restart(entry)


def wait_tasks(
    caller: demo_caller.Caller, task_ids: Iterable[str]
) -> dict[str, demo_caller.FinalResult]:
    """Waits until every task has ended or the caller's time is over.

    Returns:
        The final state of each task; UNKNOWN for a task that has not ended.
    """
    wanted = set(task_ids)
    final_results: dict[str, demo_caller.FinalResult] = {}
    for _ in caller.count_attempts():
        final_results = {
            name: demo_caller.FinalResult(state)
            for name, state in caller.list_tasks(TASK_ORGANISATIONS).items()
            if name in wanted and state in demo_caller.FINAL_STATES
        }
        if final_results.keys() == wanted:
            break
        demo_caller.PAUSE.wait(demo_caller.PAUSE_S)
    return {
        name: final_results.get(name, demo_caller.FinalResult.UNKNOWN)
        for name in wanted
    }


def count_runs(running: cluster.Cluster) -> collections.Counter[str]:
    """Returns how many times the upstreams ran each call, by its path."""
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    runs: collections.Counter[str] = collections.Counter()
    for member in running.list_members(cluster_settings.Role.UPSTREAM):
        url = f"{running.get_upstream_url(member.index)}/v1/seen"
        document = http.request("GET", url).json()
        for record in _find_first_list(document):
            # Each record is one run, and its path may occur in several fields,
            # so the set counts it once.
            runs.update(set(re.findall(r"/demo/\d+/\d+", json.dumps(record))))
    return runs


def _find_first_list(document: Any) -> list[Any]:
    """Returns a list as it is, or the first list in the values of an object."""
    if isinstance(document, list):
        return document
    return next(
        (value for value in document.values() if isinstance(value, list)), []
    )


def find_violations(
    call_results: Iterable[demo_caller.CallResult],
    tasks: dict[str, demo_caller.FinalResult],
    submitted: int,
    runs: collections.Counter[str],
) -> list[str]:
    """Returns one line for each violated guarantee.

    Args:
        call_results: Results of all requests.
        tasks: Final states by task id.
        submitted: Number of accepted submissions.
        runs: Number of runs of each call, by its path.
    """
    violations: list[str] = []
    for call_result in call_results:
        name = (
            f"request {call_result.request.number} ({call_result.request.kind})"
        )
        count = runs[call_result.path]
        if call_result.result is demo_caller.FinalResult.UNKNOWN:
            violations.append(f"{name} has no known result")
        if call_result.result is demo_caller.FinalResult.NOT_RUN and count:
            violations.append(f"{name} was answered as not run but ran")
        if (
            call_result.result is demo_caller.FinalResult.COMPLETED
            and not count
        ):
            violations.append(f"{name} was completed but no upstream ran it")
        if not call_result.request.repeatable and count > 1:
            violations.append(f"{name} is not repeatable but ran {count} times")
        if not call_result.body_matches:
            violations.append(f"{name} received the answer to another request")
    if submitted < TASKS:
        violations.append(f"{TASKS - submitted} tasks were never accepted")
    if len(tasks) < submitted:
        violations.append("two submissions received the same task id")
    violations += [
        f"task {name} has not ended"
        for name, result in sorted(tasks.items())
        if result is demo_caller.FinalResult.UNKNOWN
    ]
    return violations


def print_outcomes(
    call_results: Iterable[demo_caller.CallResult],
    tasks: dict[str, demo_caller.FinalResult],
) -> None:
    """Prints how many requests and tasks of each kind had each result."""
    counts = collections.Counter(
        (call_result.request.kind, str(call_result.result))
        for call_result in call_results
    )
    counts.update(("archive-watch", str(state)) for state in tasks.values())
    print(f"{'kind':<20}{'result':<16}{'count':>6}")
    for (kind, result), count in sorted(counts.items()):
        print(f"{kind:<20}{result:<16}{count:>6}")


def run_demo(running: cluster.Cluster) -> list[str]:
    """Runs the demo and returns one line for each violated guarantee."""
    apply_declarations(running)
    caller = demo_caller.Caller(
        [
            running.get_callers_url(member.index)
            for member in running.list_members(cluster_settings.Role.ENTRY)
        ],
        time.monotonic() + BUDGET_S,
    )
    progress = Progress()
    with concurrent.futures.ThreadPoolExecutor(THREADS + 2) as pool:
        submissions = [
            pool.submit(
                caller.submit,
                number,
                TASK_ORGANISATIONS[number % len(TASK_ORGANISATIONS)],
                "archive-watch",
                json.dumps({"run_ms": TASK_RUN_MS}),
            )
            for number in range(TASKS)
        ]
        calls = [
            pool.submit(caller.run, request) for request in build_requests()
        ]
        for call in calls:
            call.add_done_callback(progress.count)
        kill_and_restart_members(running, progress)
        call_results = [call.result() for call in calls]
        task_ids = [submission.result() for submission in submissions]
    accepted = [task_id for task_id in task_ids if task_id is not None]
    tasks = wait_tasks(caller, accepted)
    print_outcomes(call_results, tasks)
    return find_violations(
        call_results, tasks, len(accepted), count_runs(running)
    )


def main() -> int:
    """Runs the demo and returns the exit status."""
    started = time.monotonic()
    kinds = tuple(sorted({kind for _, kind, _ in KINDS}))
    try:
        with cluster.Cluster(
            cluster_settings.Shape(kinds=kinds, service_ms=100)
        ) as running:
            violations = run_demo(running)
    except cluster.NotReadyError as problem:
        violations = [str(problem)]
    print(f"took {time.monotonic() - started:.1f} s")
    for violation in violations:
        print(f"violation: {violation}")
    if not violations:
        print("every request and task ended in exactly one known result")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
