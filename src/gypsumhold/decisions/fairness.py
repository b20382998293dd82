"""Order in which an agent's waiting calls get slots."""

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
"""Shares of the classes under contention; the last one is batch's floor."""

FIRST_COST_S = 0.05
"""Assumed service time in seconds before a group's calls were measured."""

COST_GAIN = 0.2
"""Weight of the latest service time in a group's estimate."""


class FirstComeFirstServed(policies.QueueDiscipline):
    """Baseline: one queue in order of arrival."""

    def __init__(self) -> None:
        self._calls: dict[requests.AttemptKey, policies.QueuedCall] = {}

    def push(self, call: policies.QueuedCall) -> None:
        """Adds a waiting call."""
        self._calls[call.key] = call

    def pop(self) -> policies.QueuedCall | None:
        """Takes out the oldest call."""
        if not self._calls:
            return None
        return self._calls.pop(next(iter(self._calls)))

    def remove(self, key: requests.AttemptKey) -> policies.QueuedCall | None:
        """Takes out a given call."""
        return self._calls.pop(key, None)

    def choose_victim(
        self, arriving: policies.QueuedCall
    ) -> policies.QueuedCall | None:
        """Never pushes a waiting call out."""
        return None

    def record_service_time(
        self, call: policies.QueuedCall, duration: datetime.timedelta
    ) -> None:
        """Learns nothing."""

    def pop_expired(self, now: datetime.timedelta) -> list[policies.QueuedCall]:
        """Takes out every call whose deadline has passed."""
        expired = [
            call for call in self._calls.values() if call.deadline <= now
        ]
        for call in expired:
            del self._calls[call.key]
        return expired

    def find_earliest(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a waiting call."""
        deadlines = (call.deadline for call in self._calls.values())
        return min(deadlines, default=None)

    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns how many calls wait."""
        if organisation is None:
            return len(self._calls)
        return sum(
            call.organisation == organisation for call in self._calls.values()
        )


@dataclasses.dataclass(slots=True)
class _Group:
    """Waiting calls of one organisation in one class.

    Attributes:
        weight: Share of the organisation within the class.
        passed: Virtual time: service received so far, divided by the weight.
        cost: Estimated service time of a call, in seconds.
        heap: Waiting calls by deadline; removed ones are skipped.
        waiting: How many calls really wait.
    """

    weight: int
    passed: float = 0.0
    cost: float = FIRST_COST_S
    heap: list[tuple[datetime.timedelta, int, requests.AttemptKey]] = (
        dataclasses.field(default_factory=list)
    )
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class _Level:
    """One class with its organisations."""

    weight: int
    passed: float = 0.0
    virtual: float = 0.0
    waiting: int = 0
    groups: dict[ids.OrganisationId, _Group] = dataclasses.field(
        default_factory=dict
    )


class WeightedFair(policies.QueueDiscipline):
    """Stride scheduling over classes, then organisations, then deadlines.

    What is shared is service time, not calls: each call is charged its
    estimated time when it starts and the difference when it ends. A class or
    organisation that was idle starts at the present virtual time, so that it
    neither saves up nor owes anything.
    """

    def __init__(self) -> None:
        self._calls: dict[requests.AttemptKey, policies.QueuedCall] = {}
        self._charged: dict[requests.AttemptKey, float] = {}
        self._levels = {
            item: _Level(weight) for item, weight in CLASS_WEIGHTS.items()
        }
        self._virtual = 0.0
        self._counter = itertools.count()

    def push(self, call: policies.QueuedCall) -> None:
        """Adds a waiting call."""
        level = self._levels[call.work_class]
        if not level.waiting:
            level.passed = max(level.passed, self._virtual)
        group = level.groups.get(call.organisation)
        if group is None:
            group = _Group(call.weight, level.virtual)
            level.groups[call.organisation] = group
        if not group.waiting:
            group.passed = max(group.passed, level.virtual)
        group.weight = call.weight
        item = (call.deadline, next(self._counter), call.key)
        heapq.heappush(group.heap, item)
        group.waiting += 1
        level.waiting += 1
        self._calls[call.key] = call

    def pop(self) -> policies.QueuedCall | None:
        """Takes out the call of the group that is furthest behind."""
        backlogged = [item for item in self._levels.values() if item.waiting]
        if not backlogged:
            return None
        level = min(backlogged, key=_get_level_pass)
        group = min(
            (item for item in level.groups.values() if item.waiting),
            key=_get_group_pass,
        )
        while group.heap[0][2] not in self._calls:
            heapq.heappop(group.heap)
        call = self._calls.pop(heapq.heappop(group.heap)[2])
        self._virtual = level.passed
        level.virtual = group.passed
        self._charged[call.key] = group.cost
        _charge(level, group, group.cost)
        group.waiting -= 1
        level.waiting -= 1
        return call

    def record_service_time(
        self, call: policies.QueuedCall, duration: datetime.timedelta
    ) -> None:
        """Corrects the charge of a call by its real service time."""
        charged = self._charged.pop(call.key, None)
        level = self._levels[call.work_class]
        group = level.groups.get(call.organisation)
        if charged is None or group is None:
            return
        actual = duration.total_seconds()
        _charge(level, group, actual - charged)
        group.cost += COST_GAIN * (actual - group.cost)

    def remove(self, key: requests.AttemptKey) -> policies.QueuedCall | None:
        """Takes out a given call."""
        call = self._calls.pop(key, None)
        if call is None:
            return None
        level = self._levels[call.work_class]
        level.waiting -= 1
        group = level.groups[call.organisation]
        group.waiting -= 1
        if not group.waiting:
            group.heap.clear()
        return call

    def choose_victim(
        self, arriving: policies.QueuedCall
    ) -> policies.QueuedCall | None:
        """Returns a waiting call of the group that exceeds its share most.

        None means that the arriving call's own group is the one, so the
        arriving call has to be refused.
        """
        own = (arriving.work_class, arriving.organisation)
        largest, key = 0.0, own
        for work_class, level in self._levels.items():
            for organisation, group in level.groups.items():
                excess = group.waiting / (group.weight * level.weight)
                if excess > largest:
                    largest, key = excess, (work_class, organisation)
        level = self._levels[arriving.work_class]
        own_group = level.groups.get(arriving.organisation)
        waiting = own_group.waiting if own_group else 0
        if (waiting + 1) / (arriving.weight * level.weight) >= largest:
            return None
        heap = self._levels[key[0]].groups[key[1]].heap
        live = [item for item in heap if item[2] in self._calls]
        return self._calls[max(live)[2]]

    def pop_expired(self, now: datetime.timedelta) -> list[policies.QueuedCall]:
        """Takes out every call whose deadline has passed."""
        expired = []
        for level in self._levels.values():
            for group in level.groups.values():
                while group.heap and self._is_past(group.heap[0], now):
                    call = self.remove(heapq.heappop(group.heap)[2])
                    if call is not None:
                        expired.append(call)
        return expired

    def _is_past(
        self,
        item: tuple[datetime.timedelta, int, requests.AttemptKey],
        now: datetime.timedelta,
    ) -> bool:
        return item[0] <= now or item[2] not in self._calls

    def find_earliest(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a waiting call."""
        heads = (
            group.heap[0][0]
            for level in self._levels.values()
            for group in level.groups.values()
            if group.waiting
        )
        return min(heads, default=None)

    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns how many calls wait."""
        if organisation is None:
            return len(self._calls)
        return sum(
            level.groups[organisation].waiting
            for level in self._levels.values()
            if organisation in level.groups
        )


def _charge(level: _Level, group: _Group, cost: float) -> None:
    level.passed += cost / level.weight
    group.passed += cost / group.weight


def _get_level_pass(level: _Level) -> float:
    return level.passed


def _get_group_pass(group: _Group) -> float:
    return group.passed
