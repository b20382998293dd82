"""A job is given up after two crashes of runners, though it ran once."""

import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

import system  # noqa: E402

JOBS = 11
WORK_MS = 800
SILENT_S = 5.2
CRASH_AFTER_S = 0.1
DOWN_S = 2.0
LIMIT_S = 15
SETTLE_S = 8


def check(run):
    """Returns the jobs that are shown as failed.

    Each job has one task, so wide that one fits on a runner. One runner has
    gone dark and starts again after 5.2 s. The job that was to run there is
    started elsewhere then, and that runner crashes 0.1 s later.
    """
    dark = run.agents[0]
    if run.trouble:
        dark.runner.send_signal(signal.SIGSTOP)
        run.note(f"runner {dark.runner_id} goes dark")
    dark_at = time.monotonic()
    step = {"count": 1, "cpu": 20_000, "memoryRequestMb": 64}
    step["estimatedMs"] = WORK_MS
    jobs = [system.new_id() for _ in range(JOBS)]
    for job in jobs:
        if not run.submit(job, [step], WORK_MS):
            raise system.SetupError("a job was not accepted")
    if run.trouble:
        crash_twice(run, jobs, dark, dark_at)
    time.sleep(SETTLE_S)
    return [
        violation
        for job in jobs
        if run.read_state(job) == "failed"
        for violation in [describe(run, job)]
    ]


def crash_twice(run, jobs, dark, dark_at):
    """Restarts the dark runner; crashes the one that starts its task next."""
    time.sleep(max(0, dark_at + SILENT_S - time.monotonic()))
    begun = {event["task"].split(".")[0] for event in list_starts(run)}
    held_up = [job for job in jobs if job not in begun]
    run.note(f"not begun: {held_up}")
    dark.crash_runner()
    dark.start_runner()
    deadline = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline:
        for start in list_starts(run):
            if start["task"].split(".")[0] in held_up:
                crash(run, start)
                return
        time.sleep(0.01)


def crash(run, start):
    """Crashes the runner of a start, and starts its next lifetime."""
    time.sleep(max(0, start["at"] + CRASH_AFTER_S - time.monotonic()))
    agent = next(a for a in run.agents if a.runner_id == start["runner"])
    agent.crash_runner()
    time.sleep(DOWN_S)
    agent.start_runner()


def list_starts(run):
    return [event for event in run.read_events() if event["what"] == "start"]


def describe(run, job):
    """Describes the runs of a job that is shown as failed."""
    events = [e for e in run.read_events() if e.get("task", "")[:16] == job]
    starts = sum(event["what"] == "start" for event in events)
    ends = [event["how"] for event in events if event["what"] == "end"]
    return (
        f"LOST {job} is shown as failed; runners have started its task "
        f"{starts} times, and the ends that they listed are {ends}"
    )


sys.exit(system.main(CASE, check))
