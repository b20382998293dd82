"""Decision lines: bounded in number, and written without blocking."""

import queue
import sys
import threading
from typing import TextIO

import msgspec

from gypsumhold.model import clock as clocks
from gypsumhold.model.jobs import effects

MAX_WAITING = 2000
"""Lines that may wait for a slow reader of the output."""

_ENCODER = msgspec.json.Encoder()


class DecisionLog:
    """Writes one JSON object a line from a thread of its own.

    A line that finds no room is dropped and counted; the next line that is
    written tells how many.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        source: str,
        stream: TextIO = sys.stdout,
    ) -> None:
        """Starts the thread; the caller has to call `close`.

        Args:
            clock: Tells the time of each line.
            source: Name of the process.
            stream: Where lines are written.
        """
        self._clock = clock
        self._source = source
        self._stream = stream
        self._waiting: queue.Queue[bytes | None] = queue.Queue(MAX_WAITING)
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._work, name="decision-log", daemon=True
        )
        self._thread.start()

    def write(self, line: effects.Log) -> None:
        """Queues a line, or drops it if too many wait."""
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
        """Writes what waits and ends the thread."""
        self._waiting.put(None)
        self._thread.join(1)

    def _work(self) -> None:
        while (line := self._waiting.get()) is not None:
            self._stream.write(line.decode() + "\n")
            if self._waiting.empty():
                self._stream.flush()
