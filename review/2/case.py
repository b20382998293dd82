"""One job with long checkpoints keeps all jobs from going on."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

import system  # noqa: E402

SHORT_TASKS = 10
LONG_TASKS = 280
SHORT_MS = 4000
LONG_MS = 60_000
SAVED_CHARS = 256
FEW_SAVED_CHARS = 16
FINISH_S = 14
IDLE_S = 3
SMALL_WORK_MS = 200


def check(run):
    """Returns the jobs that are accepted and get no run."""
    saved = SAVED_CHARS if run.trouble else FEW_SAVED_CHARS
    common = {"cpu": 100, "memoryRequestMb": 64, "checkpointing": True}
    steps = [
        {"count": SHORT_TASKS, "estimatedMs": SHORT_MS, **common},
        {"count": LONG_TASKS, "estimatedMs": LONG_MS, **common},
    ]
    large = system.new_id()
    jobs = []
    work = {"savedChars": saved}
    if not run.submit(large, steps, [SHORT_MS, LONG_MS], work=work):
        raise system.SetupError("the job was not accepted")
    time.sleep(5)
    small = {"count": 2, "cpu": 100, "memoryRequestMb": 64}
    for _ in range(3):
        job = system.new_id()
        if run.submit(job, [small], SMALL_WORK_MS):
            jobs.append(job)
        time.sleep(1)
    time.sleep(FINISH_S)
    before = count_starts(run, jobs)
    time.sleep(IDLE_S)
    violations = []
    for job, starts in count_starts(run, jobs).items():
        state = run.read_state(job)
        if state != "completed" and starts == before[job]:
            violations.append(
                f"LOST {job} is {state} after {FINISH_S + IDLE_S} s; "
                f"{starts} starts, none for {IDLE_S} s"
            )
    return violations


def count_starts(run, jobs):
    """Returns the number of starts of each job."""
    starts = dict.fromkeys(jobs, 0)
    for event in run.read_events():
        job = event.get("task", "").split(".")[0]
        if event["what"] == "start" and job in starts:
            starts[job] += 1
    return starts


sys.exit(system.main(CASE, check))
