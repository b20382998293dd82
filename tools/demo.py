"""Runs a small deployment, breaks parts of it and checks every result.

Exits with 0 only if every request and task ended in exactly one known result,
no request that is not repeatable ran twice, and nothing that was answered as
not run did run.
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
# Covers the lease of a partition (10 s) whose holder was killed.
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
    """Lets the main thread wait until some requests have ended."""

    def __init__(self) -> None:
        self._ended = 0
        self._changed = threading.Condition()

    def count(self, _: object) -> None:
        """Counts one ended request."""
        with self._changed:
            self._ended += 1
            self._changed.notify_all()

    def wait_for(self, number: int, timeout_s: float) -> bool:
        """Waits until `number` requests have ended."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._ended >= number, timeout_s
            )


def build_works() -> list[demo_caller.Work]:
    """Returns the requests of the demo."""
    return [
        demo_caller.Work(number, *KINDS[number % len(KINDS)])
        for number in range(REQUESTS)
    ]


def run_ctl(running: cluster.Cluster, *arguments: str) -> str:
    """Runs gypsumctl and prints what an operator sees.

    Raises:
        cluster.NotReadyError: It did not exit with 0.
    """
    done = running.run_ctl(*arguments)
    print(f"$ gypsumctl {' '.join(arguments)}\n{done.stdout}{done.stderr}")
    if done.returncode != 0:
        raise cluster.NotReadyError(
            f"gypsumctl {arguments[0]} exited with {done.returncode}"
        )
    return done.stdout


def apply_declarations(running: cluster.Cluster) -> None:
    """Applies the declarations and waits until they are in force."""
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
        done = running.run_ctl("status", "--check", "--json")
        if done.returncode == 0 and count_serving(done.stdout) == len(
            running.list_members(cluster_settings.Role.AGENT)
        ):
            run_ctl(running, "status")
            return
        demo_caller.PAUSE.wait(demo_caller.PAUSE_S)
    raise cluster.NotReadyError(
        f"the configuration is not in force everywhere:\n{done.stdout}"
    )


def count_serving(text: str) -> int:
    """Returns the fewest serving instances that any entry reports."""
    counts = [
        sum(
            instance["state"] == "serving"
            for instance in report["answer"]["instances"]
        )
        for report in json.loads(text)
    ]
    return int(min(counts))


def break_members(running: cluster.Cluster, progress: Progress) -> None:
    """Kills an agent and an entry in the middle and restarts them."""
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
) -> dict[str, demo_caller.Ending]:
    """Waits until every task has ended."""
    wanted = set(task_ids)
    ended: dict[str, demo_caller.Ending] = {}
    for _ in caller.count_attempts():
        ended = {
            name: demo_caller.Ending(state)
            for name, state in caller.list_tasks(TASK_ORGANISATIONS).items()
            if name in wanted and state in demo_caller.FINAL_STATES
        }
        if ended.keys() == wanted:
            break
        demo_caller.PAUSE.wait(demo_caller.PAUSE_S)
    return {
        name: ended.get(name, demo_caller.Ending.UNKNOWN) for name in wanted
    }


def read_runs(running: cluster.Cluster) -> collections.Counter[str]:
    """Returns how often the upstreams ran each call, by its path."""
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    runs: collections.Counter[str] = collections.Counter()
    for member in running.list_members(cluster_settings.Role.UPSTREAM):
        url = f"{running.get_upstream_url(member.index)}/v1/seen"
        document = http.request("GET", url).json()
        for record in _find_records(document):
            # Each record is one run; its path may occur in several fields.
            runs.update(set(re.findall(r"/demo/\d+/\d+", json.dumps(record))))
    return runs


def _find_records(document: Any) -> list[Any]:
    if isinstance(document, list):
        return document
    return next(
        (value for value in document.values() if isinstance(value, list)), []
    )


def find_violations(
    ended: Iterable[demo_caller.Ended],
    tasks: dict[str, demo_caller.Ending],
    submitted: int,
    runs: collections.Counter[str],
) -> list[str]:
    """Returns one line for each broken promise."""
    found: list[str] = []
    for item in ended:
        name = f"request {item.work.number} ({item.work.kind})"
        count = runs[item.token]
        if item.ending is demo_caller.Ending.UNKNOWN:
            found.append(f"{name} has no known result")
        if item.ending is demo_caller.Ending.NOT_RUN and count:
            found.append(f"{name} was answered as not run but ran")
        if item.ending is demo_caller.Ending.COMPLETED and not count:
            found.append(f"{name} was answered but no upstream ran it")
        if not item.work.repeatable and count > 1:
            found.append(f"{name} is not repeatable but ran {count} times")
        if not item.answered:
            found.append(f"{name} got the answer to another request")
    if submitted < TASKS:
        found.append(f"{TASKS - submitted} tasks were never accepted")
    if len(tasks) < submitted:
        found.append("two submissions were given the same task id")
    found += [
        f"task {name} has not ended"
        for name, ending in sorted(tasks.items())
        if ending is demo_caller.Ending.UNKNOWN
    ]
    return found


def print_outcomes(
    ended: Iterable[demo_caller.Ended], tasks: dict[str, demo_caller.Ending]
) -> None:
    """Prints how many requests and tasks ended in each way."""
    counts = collections.Counter(
        (item.work.kind, str(item.ending)) for item in ended
    )
    counts.update(("archive-watch", str(state)) for state in tasks.values())
    print(f"{'kind':<20}{'result':<16}{'count':>6}")
    for (kind, result), count in sorted(counts.items()):
        print(f"{kind:<20}{result:<16}{count:>6}")


def run_demo(running: cluster.Cluster) -> list[str]:
    """Runs the demo and returns the broken promises."""
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
        calls = [pool.submit(caller.run, work) for work in build_works()]
        for call in calls:
            call.add_done_callback(progress.count)
        break_members(running, progress)
        ended = [call.result() for call in calls]
        task_ids = [item.result() for item in submissions]
    accepted = [name for name in task_ids if name is not None]
    tasks = wait_tasks(caller, accepted)
    print_outcomes(ended, tasks)
    return find_violations(ended, tasks, len(accepted), read_runs(running))


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
    for line in violations:
        print(f"violation: {line}")
    if not violations:
        print("every request and task ended in exactly one known result")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
