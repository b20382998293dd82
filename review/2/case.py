"""Many tasks of one runner end while the store is down."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

import system  # noqa: E402

JOBS = 4
TASKS = 290
WORK_MS = 12_000
DOWN_S = 4.2
SETTLE_S = 3


def check(run):
    """Returns the starts after a run of the same task has ended `done`."""
    jobs = [system.new_id() for _ in range(JOBS)]
    step = {"count": TASKS, "cpu": 20, "memoryRequestMb": 20}
    step["estimatedMs"] = WORK_MS
    for job in jobs:
        if not run.submit(job, [step], WORK_MS):
            raise system.SetupError("a job was not accepted")
    run.wait(30, lambda: count(run, jobs, "start") >= JOBS * TASKS)
    run.note(f"{count(run, jobs, 'start')} of {JOBS * TASKS} tasks started")
    run.wait(30, lambda: count(run, jobs, "end") >= 1)
    if run.trouble:
        run.note(f"the store answers 503 for {DOWN_S} s")
        run.store.down = True
    time.sleep(DOWN_S)
    run.store.down = False
    run.note("the store answers again")
    run.wait(30, lambda: all(run.read_state(j) == "completed" for j in jobs))
    time.sleep(SETTLE_S)
    return find_starts_after_done(run.read_events())


def count(run, jobs, what):
    """Returns how many events of a kind the tasks of some jobs had."""
    return sum(
        event["what"] == what and event["task"].split(".")[0] in jobs
        for event in run.read_events()
        if "task" in event
    )


def find_starts_after_done(events):
    """Returns the starts after a run of the task that has ended `done`.

    An end counts if it is taken note of, then or later, unless the lease of
    its runner has lapsed between the two.
    """
    done, violations = {}, []
    for event in events:
        if event["what"] == "end" and event["how"] == "done":
            if is_noted(event, events):
                done.setdefault(event["task"], event)
        if event["what"] == "start" and event["task"] in done:
            former = done[event["task"]]
            violations.append(
                f"TWICE {event['task']}: run {event['run']} started on "
                f"{event['runner']}, {event['at'] - former['at']:.2f} s after "
                f"run {former['run']} had ended done on {former['runner']}"
            )
    return violations


def is_noted(end, events):
    """Tells whether `lastSeen` reached an end before a lapse of the lease."""
    for event in events:
        if event["runner"] != end["runner"] or event["at"] < end["at"]:
            continue
        if event["what"] in {"lapse", "down"}:
            return False
        if event["what"] == "noted" and event["number"] >= end["number"]:
            return True
    return False


sys.exit(system.main(CASE, check))
