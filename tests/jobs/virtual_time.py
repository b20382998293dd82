"""A virtual clock that runs scheduled actions in the order of their times."""

import datetime
import heapq
import itertools
from collections.abc import Callable


class VirtualTime:
    """A clock that advances from one scheduled action to the next.

    Attributes:
        now_ms: The time.
        scheduled: Time, number and action of what is scheduled, as a heap.
        numbers: Unique numbers; they order actions of the same time.
    """

    def __init__(self) -> None:
        self.now_ms = 1000.0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        entry = (self.now_ms + delay_ms, next(self.numbers), action)
        heapq.heappush(self.scheduled, entry)

    def run(self, for_ms: float) -> None:
        end = self.now_ms + for_ms
        while self.scheduled and self.scheduled[0][0] <= end:
            due_ms, _, action = heapq.heappop(self.scheduled)
            self.now_ms = max(self.now_ms, due_ms)
            action()
        self.now_ms = end

    def read_clock(self) -> datetime.timedelta:
        return datetime.timedelta(milliseconds=self.now_ms)


def to_ms(time: datetime.timedelta) -> float:
    return time / datetime.timedelta(milliseconds=1)
