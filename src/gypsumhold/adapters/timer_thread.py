"""Timers that deliver events, served by one thread."""

import datetime
import heapq
import itertools
import threading
from collections.abc import Callable, Hashable

from gypsumhold.model import clock as clocks
from gypsumhold.model import events


class TimerThread:
    """Delivers the event of each timer when the timer is due.

    The thread sleeps until the next timer is due or a timer is set.
    """

    def __init__(
        self, clock: clocks.Clock, deliver: Callable[[events.Event], object]
    ) -> None:
        """Starts the thread.

        Args:
            clock: Clock whose monotonic time the timers use.
            deliver: Called with the event of each due timer; its result is
                ignored, and it must not raise.
        """
        self._clock = clock
        self._deliver = deliver
        self._condition = threading.Condition()
        self._numbers = itertools.count()
        self._heap: list[
            tuple[datetime.timedelta, int, Hashable, events.Event]
        ] = []
        # The number of the valid heap item of each key. A timer that is set
        # again leaves its former item in the heap, which is skipped when it
        # is due.
        self._valid_numbers: dict[Hashable, int] = {}
        self._closing = False
        self._thread = threading.Thread(
            target=self._work, name="timers", daemon=True
        )
        self._thread.start()

    def set(
        self, key: Hashable, delay: datetime.timedelta, event: events.Event
    ) -> None:
        """Delivers `event` after `delay`.

        A timer that is already set for `key` is replaced.
        """
        due = self._clock.read_monotonic() + delay
        number = next(self._numbers)
        with self._condition:
            self._valid_numbers[key] = number
            heapq.heappush(self._heap, (due, number, key, event))
            self._discard_replaced()
            if self._heap[0][1] == number:
                self._condition.notify()

    def _discard_replaced(self) -> None:
        """Rebuilds the heap once most of its items are no longer valid."""
        if len(self._heap) <= 2 * len(self._valid_numbers) + 64:
            return
        self._heap = [
            item
            for item in self._heap
            if self._valid_numbers.get(item[2]) == item[1]
        ]
        heapq.heapify(self._heap)

    def _work(self) -> None:
        """Delivers due events until the thread is closed."""
        while True:
            with self._condition:
                event = self._pop_due()
                while event is None and not self._closing:
                    self._condition.wait(self._compute_wait())
                    event = self._pop_due()
                if self._closing or event is None:
                    return
            self._deliver(event)

    def _pop_due(self) -> events.Event | None:
        """Removes and returns the event of the first due timer, if any."""
        now = self._clock.read_monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, number, key, event = heapq.heappop(self._heap)
            if self._valid_numbers.get(key) == number:
                del self._valid_numbers[key]
                return event
        return None

    def _compute_wait(self) -> float | None:
        """Returns the seconds until the next timer; None if none is set."""
        if not self._heap:
            return None
        remaining = self._heap[0][0] - self._clock.read_monotonic()
        return max(0.0, remaining.total_seconds())

    def close(self, timeout: float) -> None:
        """Ends the thread; the remaining timers do not fire.

        Args:
            timeout: Longest wait for the thread, in seconds.
        """
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(timeout)
