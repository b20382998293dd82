"""Timers: one thread that sleeps until the next one is due."""

import datetime
import heapq
import itertools
import threading
from collections.abc import Callable, Hashable

from gypsumhold.model import clock as clocks
from gypsumhold.model import events


class TimerThread:
    """Delivers events at the times that were set for them."""

    def __init__(
        self, clock: clocks.Clock, deliver: Callable[[events.Event], None]
    ) -> None:
        """Starts the thread.

        Args:
            clock: Clock that due times are measured on.
            deliver: Takes each event that is due; does not raise.
        """
        self._clock = clock
        self._deliver = deliver
        self._condition = threading.Condition()
        self._numbers = itertools.count()
        self._heap: list[
            tuple[datetime.timedelta, int, Hashable, events.Event]
        ] = []
        # The number of the valid heap item of each key; a moved timer leaves
        # its former item behind, which is skipped when it surfaces.
        self._valid: dict[Hashable, int] = {}
        self._closing = False
        self._thread = threading.Thread(
            target=self._work, name="timers", daemon=True
        )
        self._thread.start()

    def set(
        self, key: Hashable, delay: datetime.timedelta, event: events.Event
    ) -> None:
        """Delivers `event` after `delay`; the same key moves the timer."""
        due = self._clock.read_monotonic() + delay
        number = next(self._numbers)
        with self._condition:
            self._valid[key] = number
            heapq.heappush(self._heap, (due, number, key, event))
            self._discard_moved()
            if self._heap[0][1] == number:
                self._condition.notify()

    def _discard_moved(self) -> None:
        """Rebuilds the heap once most of its items belong to moved timers."""
        if len(self._heap) <= 2 * len(self._valid) + 64:
            return
        self._heap = [
            item for item in self._heap if self._valid.get(item[2]) == item[1]
        ]
        heapq.heapify(self._heap)

    def _work(self) -> None:
        while True:
            with self._condition:
                event = self._take_due()
                while event is None and not self._closing:
                    self._condition.wait(self._measure_pause())
                    event = self._take_due()
                if self._closing or event is None:
                    return
            self._deliver(event)

    def _take_due(self) -> events.Event | None:
        now = self._clock.read_monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, number, key, event = heapq.heappop(self._heap)
            if self._valid.get(key) == number:
                del self._valid[key]
                return event
        return None

    def _measure_pause(self) -> float | None:
        if not self._heap:
            return None
        pause = self._heap[0][0] - self._clock.read_monotonic()
        return max(0.0, pause.total_seconds())

    def close(self, timeout: float) -> None:
        """Ends the thread; timers that are not due are dropped."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(timeout)
