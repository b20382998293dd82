"""Prints what the logs of a play tell of a task and of its workers, by time.

Usage:
  traces FOLDER TASK

Lines of other tasks are left out; those about restarts, cuts and leases of the
workers that had a run of the task are shown from its first placement on.
"""

import json
import pathlib
import sys

import docopt

from tests.soak import orders

WORKER_EVENTS = ("restart", "born", "cut off", "back in reach", "lapse")
FAULT_GRACE_S = 15.0
"""Time after the last line of the task for which its workers are shown."""


def list_trace(folder: pathlib.Path, task: str) -> list[orders.Line]:
    """Returns the lines about a task and its workers."""
    lines = orders.read_lines(folder)
    own = [line for line in lines if names_task(line, task)]
    if not own:
        return []
    workers = {line["source"] for line in own} | {
        line["outcome"].replace("agent-", "w-")
        for line in own
        if line["decision"] == "place"
    }
    first, last = orders.read_time(own[0]), orders.read_time(own[-1])
    return [
        line
        for line in lines
        if names_task(line, task)
        or (
            is_about_worker(line, workers)
            and first <= orders.read_time(line)
            and (orders.read_time(line) - last).total_seconds() < FAULT_GRACE_S
        )
    ]


def names_task(line: orders.Line, task: str) -> bool:
    """Tells whether a line names a task."""
    listed = f"{line.get('tasks', '')},{line.get('doubtful', '')}"
    parts = [part.split(":")[0] for part in listed.split(",")]
    return line.get("task") == task or task in parts


def is_about_worker(line: orders.Line, workers: set[str]) -> bool:
    """Tells whether a line is about the life of one of some workers."""
    if line["decision"] == "worker":
        return line["id"] in workers
    if line["decision"] in ("late call", *WORKER_EVENTS):
        is_start = line.get("path") == "/run-start"
        return line["source"] in workers and not is_start
    return False


def main() -> int:
    """Prints a trace."""
    arguments = docopt.docopt(__doc__)
    folder = pathlib.Path(arguments["FOLDER"])
    for line in list_trace(folder, arguments["TASK"]):
        rest = {
            name: value
            for name, value in line.items()
            if name not in ("time", "source", "decision", "outcome")
        }
        print(
            line["time"][11:23],
            line["source"],
            line["decision"],
            line.get("outcome", ""),
            json.dumps(rest),
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
