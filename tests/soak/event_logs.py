"""Log of the workers of a play, in the format of the programs' logs."""

import datetime
import json
import threading
import time
from typing import TextIO

from gypsumhold.model.jobs import runs

END_OF_PLAY = "end of play"


class EventLog:
    """Writes what happens to the workers, with the wall-clock time."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._lock = threading.Lock()

    def write(
        self,
        worker: str,
        event: str,
        *,
        at_ms: float | None = None,
        **inputs: object,
    ) -> None:
        """Writes one line about a worker.

        Args:
            worker: Name of the worker.
            event: What happened.
            at_ms: When it happened on the monotonic clock; now by default.
            **inputs: Further fields of the line.
        """
        now = datetime.datetime.now(datetime.UTC)
        if at_ms is not None:
            age_ms = time.monotonic() * 1000 - at_ms
            now -= datetime.timedelta(milliseconds=age_ms)
        line = {
            "time": now.isoformat(timespec="milliseconds"),
            "source": worker,
            "decision": event,
            **inputs,
        }
        with self._lock:
            self._file.write(json.dumps(line, default=str) + "\n")


def format_time(moment: datetime.datetime) -> str:
    """Returns the time of day in UTC, in milliseconds."""
    return moment.strftime("%H:%M:%S.%f")[:-3]


def format_run(ref: runs.RunRef) -> str:
    """Returns the task and the number of a run."""
    return f"{ref.task} run {ref.run}"


def describe_run(ref: runs.RunRef) -> dict[str, str]:
    """Returns the fields of a line about a run."""
    return {"task": str(ref.task), "run": str(ref.run)}
