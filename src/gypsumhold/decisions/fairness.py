"""Queue disciplines: the order in which queued calls of an agent get slots."""

import dataclasses
import datetime
import heapq
import itertools

from gypsumhold.model import ids, policies, requests, states

CLASS_WEIGHTS = {
    states.WorkClass.URGENT: 12,
    states.WorkClass.STANDARD: 6,
    states.WorkClass.BATCH: 2,
}
"""Weights of the classes under contention. The weight of batch work guarantees
it a minimum share."""

INITIAL_COST_S = 0.05
"""Service time in seconds that is assumed until calls have been measured."""

COST_GAIN = 0.2
"""Weight of the latest service time in the cost estimate."""


class FirstComeFirstServed(policies.QueueDiscipline):
    """Baseline: serves calls in the order of their arrival."""

    def __init__(self) -> None:
        self._calls: dict[requests.AttemptKey, policies.QueuedCall] = {}

    def push(self, call: policies.QueuedCall) -> None:
        """Queues a call."""
        self._calls[call.key] = call

    def pop(self) -> policies.QueuedCall | None:
        """Removes and returns the oldest call."""
        if not self._calls:
            return None
        return self._calls.pop(next(iter(self._calls)))

    def remove(self, key: requests.AttemptKey) -> policies.QueuedCall | None:
        """Removes and returns a call; returns None if it is not queued."""
        return self._calls.pop(key, None)

    def choose_victim(
        self, arriving: policies.QueuedCall
    ) -> policies.QueuedCall | None:
        """Returns None: queued calls are never displaced."""
        return None

    def record_service_time(
        self, call: policies.QueuedCall, duration: datetime.timedelta
    ) -> None:
        """Ignores the service time."""

    def pop_expired(self, now: datetime.timedelta) -> list[policies.QueuedCall]:
        """Removes and returns every call whose deadline has passed."""
        expired = [
            call for call in self._calls.values() if call.deadline <= now
        ]
        for call in expired:
            del self._calls[call.key]
        return expired

    def find_earliest_deadline(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a queued call, or None."""
        deadlines = (call.deadline for call in self._calls.values())
        return min(deadlines, default=None)

    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns the number of queued calls, of one organisation or in all."""
        if organisation is None:
            return len(self._calls)
        return sum(
            call.organisation == organisation for call in self._calls.values()
        )


@dataclasses.dataclass(slots=True)
class _OrganisationQueue:
    """Queued calls of one organisation in one class.

    Attributes:
        weight: Weight of the organisation within the class.
        pass_value: Service time received so far, in seconds, divided by the
            weight. The queue with the lowest value is served next.
        cost: Estimated service time of a call, in seconds.
        heap: Queued calls by deadline. Items of removed calls stay in it and
            are skipped.
        waiting: Number of queued calls, without the removed ones.
    """

    weight: int
    pass_value: float = 0.0
    cost: float = INITIAL_COST_S
    heap: list[tuple[datetime.timedelta, int, requests.AttemptKey]] = (
        dataclasses.field(default_factory=list)
    )
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class _ClassQueue:
    """Queued calls of one class, by organisation.

    Attributes:
        weight: Weight of the class.
        pass_value: Service time received so far, in seconds, divided by the
            weight.
        global_pass: Pass value of the organisation that was served last.
        waiting: Number of queued calls.
        organisations: Queue of each organisation that has ever queued a call.
    """

    weight: int
    pass_value: float = 0.0
    global_pass: float = 0.0
    waiting: int = 0
    organisations: dict[ids.OrganisationId, _OrganisationQueue] = (
        dataclasses.field(default_factory=dict)
    )


class WeightedFair(policies.QueueDiscipline):
    """Stride scheduling by class, then organisation, then earliest deadline.

    Service time is shared rather than the number of calls: each call is charged
    its estimated service time when it starts and the difference to the measured
    one when it ends. A class or organisation that was idle rejoins with at
    least the current global pass, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self._calls: dict[requests.AttemptKey, policies.QueuedCall] = {}
        self._charged_costs: dict[requests.AttemptKey, float] = {}
        self._class_queues = {
            item: _ClassQueue(weight) for item, weight in CLASS_WEIGHTS.items()
        }
        self._global_pass = 0.0
        self._counter = itertools.count()

    def push(self, call: policies.QueuedCall) -> None:
        """Queues a call."""
        class_queue = self._class_queues[call.work_class]
        if not class_queue.waiting:
            class_queue.pass_value = max(
                class_queue.pass_value, self._global_pass
            )
        queue = class_queue.organisations.get(call.organisation)
        if queue is None:
            queue = _OrganisationQueue(call.weight, class_queue.global_pass)
            class_queue.organisations[call.organisation] = queue
        if not queue.waiting:
            queue.pass_value = max(queue.pass_value, class_queue.global_pass)
        queue.weight = call.weight
        item = (call.deadline, next(self._counter), call.key)
        heapq.heappush(queue.heap, item)
        queue.waiting += 1
        class_queue.waiting += 1
        self._calls[call.key] = call

    def pop(self) -> policies.QueuedCall | None:
        """Removes and returns the next call to run.

        It has the earliest deadline in the organisation with the lowest pass
        value, within the class with the lowest pass value.
        """
        backlogged = [
            item for item in self._class_queues.values() if item.waiting
        ]
        if not backlogged:
            return None
        class_queue = min(backlogged, key=_get_class_pass)
        queue = min(
            (
                item
                for item in class_queue.organisations.values()
                if item.waiting
            ),
            key=_get_organisation_pass,
        )
        while queue.heap[0][2] not in self._calls:
            heapq.heappop(queue.heap)
        call = self._calls.pop(heapq.heappop(queue.heap)[2])
        self._global_pass = class_queue.pass_value
        class_queue.global_pass = queue.pass_value
        self._charged_costs[call.key] = queue.cost
        _charge(class_queue, queue, queue.cost)
        queue.waiting -= 1
        class_queue.waiting -= 1
        return call

    def record_service_time(
        self, call: policies.QueuedCall, duration: datetime.timedelta
    ) -> None:
        """Corrects the estimated charge of a call to its measured time."""
        charged_cost = self._charged_costs.pop(call.key, None)
        class_queue = self._class_queues[call.work_class]
        queue = class_queue.organisations.get(call.organisation)
        if charged_cost is None or queue is None:
            return
        measured = duration.total_seconds()
        _charge(class_queue, queue, measured - charged_cost)
        queue.cost += COST_GAIN * (measured - queue.cost)

    def remove(self, key: requests.AttemptKey) -> policies.QueuedCall | None:
        """Removes and returns a call; returns None if it is not queued."""
        call = self._calls.pop(key, None)
        if call is None:
            return None
        class_queue = self._class_queues[call.work_class]
        class_queue.waiting -= 1
        queue = class_queue.organisations[call.organisation]
        queue.waiting -= 1
        if not queue.waiting:
            queue.heap.clear()
        return call

    def choose_victim(
        self, arriving: policies.QueuedCall
    ) -> policies.QueuedCall | None:
        """Returns a call of the organisation that exceeds its share the most.

        Of its queued calls the one with the latest deadline is chosen. Returns
        None if the organisation of the arriving call would exceed its share the
        most with this call, so that the arriving call has to be refused.
        """
        own_key = (arriving.work_class, arriving.organisation)
        largest_overuse, key = 0.0, own_key
        for work_class, class_queue in self._class_queues.items():
            for organisation, queue in class_queue.organisations.items():
                overuse = queue.waiting / (queue.weight * class_queue.weight)
                if overuse > largest_overuse:
                    largest_overuse, key = overuse, (work_class, organisation)
        class_queue = self._class_queues[arriving.work_class]
        own_queue = class_queue.organisations.get(arriving.organisation)
        waiting = own_queue.waiting if own_queue else 0
        if (waiting + 1) / (
            arriving.weight * class_queue.weight
        ) >= largest_overuse:
            return None
        heap = self._class_queues[key[0]].organisations[key[1]].heap
        waiting_items = [item for item in heap if item[2] in self._calls]
        return self._calls[max(waiting_items)[2]]

    def pop_expired(self, now: datetime.timedelta) -> list[policies.QueuedCall]:
        """Removes and returns every call whose deadline has passed."""
        expired = []
        for class_queue in self._class_queues.values():
            for queue in class_queue.organisations.values():
                while queue.heap and self._is_expired_or_removed(
                    queue.heap[0], now
                ):
                    call = self.remove(heapq.heappop(queue.heap)[2])
                    if call is not None:
                        expired.append(call)
        return expired

    def _is_expired_or_removed(
        self,
        item: tuple[datetime.timedelta, int, requests.AttemptKey],
        now: datetime.timedelta,
    ) -> bool:
        return item[0] <= now or item[2] not in self._calls

    def find_earliest_deadline(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a queued call, or None."""
        earliest_deadlines = (
            queue.heap[0][0]
            for class_queue in self._class_queues.values()
            for queue in class_queue.organisations.values()
            if queue.waiting
        )
        return min(earliest_deadlines, default=None)

    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns the number of queued calls, of one organisation or in all."""
        if organisation is None:
            return len(self._calls)
        return sum(
            class_queue.organisations[organisation].waiting
            for class_queue in self._class_queues.values()
            if organisation in class_queue.organisations
        )


def _charge(
    class_queue: _ClassQueue,
    queue: _OrganisationQueue,
    cost: float,
) -> None:
    class_queue.pass_value += cost / class_queue.weight
    queue.pass_value += cost / queue.weight


def _get_class_pass(class_queue: _ClassQueue) -> float:
    return class_queue.pass_value


def _get_organisation_pass(queue: _OrganisationQueue) -> float:
    return queue.pass_value
