"""A gang fails once, on a runner that fails all that it starts."""

import collections
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

import system  # noqa: E402

JOBS = 3
MEMBERS = 6
WORK_MS = 1000
MAX_ATTEMPTS = 3
LIMIT_S = 20


def check(run):
    """Returns the jobs that are shown as failed too early."""
    grey = find_busiest(run)
    if run.trouble:
        run.note(f"runner {grey} fails all that it starts")
    violations = []
    for _ in range(JOBS):
        violations += try_gang(run, [grey] if run.trouble else [])
    return violations


def find_busiest(run):
    """Returns the id of the runner that has started the most tasks."""
    starts = collections.Counter(
        event["runner"]
        for event in run.read_events()
        if event["what"] == "start"
    )
    return starts.most_common(1)[0][0]


def try_gang(run, fails_on):
    """Hands in a gang; returns a violation if it is given up too early."""
    job = system.new_id()
    step = {
        "count": MEMBERS,
        "cpu": 9000,
        "memoryRequestMb": 64,
        "estimatedMs": WORK_MS,
        "gang": True,
    }
    work = {"gang": MEMBERS, "failsOn": fails_on}
    if not run.submit(job, [step], WORK_MS, work=work):
        raise system.SetupError("the job was not accepted")
    deadline = time.monotonic() + LIMIT_S
    state = None
    while time.monotonic() < deadline and state not in ("completed", "failed"):
        time.sleep(0.2)
        state = run.read_state(job)
    failed_runs = {
        event["run"]
        for event in run.read_events()
        if event["what"] == "end"
        and event["how"] == "failed"
        and event["task"].startswith(job)
    }
    if state != "failed" or len(failed_runs) >= MAX_ATTEMPTS:
        return []
    return [
        f"LOST {job} is shown as failed; its gang, and each of its tasks, has "
        f"failed {len(failed_runs)} times, and maxAttempts is {MAX_ATTEMPTS}"
    ]


sys.exit(system.main(CASE, check))
