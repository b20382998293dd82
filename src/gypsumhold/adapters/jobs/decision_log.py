"""Writes the log of decisions without blocking the threads that decide."""

import contextlib
import queue
import sys
import threading
from typing import TextIO

import msgspec

from gypsumhold.model import clock as clocks
from gypsumhold.model.jobs import effects

MAX_QUEUED_LINES = 2000
"""Most lines that wait while the reader of the output is slow."""

CLOSE_TIMEOUT_S = 1.0
"""Longest wait for a slow reader of the output when the log is closed."""

_ENCODER = msgspec.json.Encoder()


class DecisionLog:
    """Writes one JSON object per line on a separate thread.

    A line is dropped if `MAX_QUEUED_LINES` lines already wait. The next line
    that is accepted gives the number of dropped lines in its field `dropped`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        source: str,
        stream: TextIO = sys.stdout,
    ) -> None:
        """Starts the thread; the caller has to call `close`.

        Args:
            clock: Clock that gives the time of each line.
            source: Name of the process, written in each line.
            stream: Output of the lines.
        """
        self._clock = clock
        self._source = source
        self._stream = stream
        self._waiting: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._write_waiting, name="decision-log", daemon=True
        )
        self._thread.start()

    def write(self, line: effects.Log) -> None:
        """Queues a line, or drops it if too many lines wait."""
        fields = {
            "time": self._clock.read_wall().isoformat(timespec="milliseconds"),
            "source": self._source,
            "decision": line.decision,
            "id": line.subject,
            "outcome": line.outcome,
            **dict(line.inputs),
        }
        if self._dropped:
            fields["dropped"] = str(self._dropped)
        try:
            self._waiting.put_nowait(_ENCODER.encode(fields))
        except queue.Full:
            self._dropped += 1
            return
        self._dropped = 0

    def close(self) -> None:
        """Ends the thread after the waiting lines.

        Waits up to `CLOSE_TIMEOUT_S`; lines that the reader of the output has
        not taken by then are lost.
        """
        with contextlib.suppress(queue.Full):
            self._waiting.put(None, timeout=CLOSE_TIMEOUT_S / 2)
            self._thread.join(CLOSE_TIMEOUT_S / 2)

    def _write_waiting(self) -> None:
        while (line := self._waiting.get()) is not None:
            self._stream.write(line.decode() + "\n")
            if self._waiting.empty():
                self._stream.flush()
