"""Control of tasks that slow the service beside them."""

import dataclasses
import datetime
import math
from collections.abc import Sequence

from gypsumhold.model import ids, policies, states

GAIN = 0.1
"""Weight of one request in an estimate."""

PRIOR_REQUESTS = 30
"""Evidence at which an estimate counts half; before that it is shrunk."""

HARM_HIGH = math.log(1.5)
"""Slowdown, as a logarithm, above which a kind of task is throttled."""

HARM_LOW = math.log(1.15)
"""Slowdown below which a throttled kind is let go again."""

HOLD_TIME = datetime.timedelta(seconds=20)
"""Shortest time between changes for one task, against oscillation."""

EVICT_AFTER = datetime.timedelta(seconds=10)
"""Time that throttling gets to help before a task is evicted."""

EVICTION_PAUSE = datetime.timedelta(seconds=30)
"""Time between evictions: the budget of one instance."""

RunningTask = tuple[ids.TaskId, ids.KindName, states.WorkClass]


class NoInterferenceControl(policies.InterferencePolicy):
    """Baseline: observes nothing and holds nothing back."""

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Learns nothing."""

    def choose_throttled(
        self, running: Sequence[RunningTask], now: datetime.timedelta
    ) -> frozenset[ids.TaskId]:
        """Throttles nothing."""
        return frozenset()

    def choose_evicted(
        self, throttled: Sequence[RunningTask], now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Evicts nothing."""
        return None


@dataclasses.dataclass(slots=True)
class _Effect:
    """Estimated slowdown of one service by one kind of task."""

    value: float = 0.0
    requests: int = 0

    def shrink(self) -> float:
        """Returns the estimate, drawn to no effect while evidence is thin."""
        return self.value * self.requests / (self.requests + PRIOR_REQUESTS)


@dataclasses.dataclass(slots=True)
class _Service:
    """Latency of one service, as logarithms of seconds."""

    base: float
    recent: float
    requests: int = 1


class PairwiseInterferenceControl(policies.InterferencePolicy):
    """Learns the slowdown of each pair of service and task kind.

    The logarithm of a request's latency is explained by the service's base
    and the sum of the effects of the kinds that run beside it; the error is
    spread over them. The worst kind is throttled first. Only if the service
    stays slow is a throttled task evicted.
    """

    def __init__(self) -> None:
        self._services: dict[ids.KindName, _Service] = {}
        self._effects: dict[tuple[ids.KindName, ids.KindName], _Effect] = {}
        self._changed: dict[ids.TaskId, datetime.timedelta] = {}
        self._throttled: frozenset[ids.TaskId] = frozenset()
        self._evicted_at = datetime.timedelta.min

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Learns the latency of one request beside the running kinds."""
        value = math.log(max(latency.total_seconds(), 1e-6))
        known = self._services.get(service)
        if known is None:
            known = _Service(value, value)
            self._services[service] = known
        known.requests += 1
        known.recent += GAIN * (value - known.recent)
        kinds = sorted(set(running))
        found = [
            self._effects.setdefault((service, kind), _Effect())
            for kind in kinds
        ]
        error = value - known.base - sum(item.value for item in found)
        for item in found:
            item.requests += 1
            item.value = max(0.0, item.value + GAIN * error / len(found))
        # Beside tasks only a faster answer than expected tells of the base.
        if not found or error < 0:
            known.base += GAIN * error

    def _estimate_harm(self, kind: ids.KindName) -> float:
        harms = (
            effect.shrink()
            for (_, other), effect in self._effects.items()
            if other == kind
        )
        return max(harms, default=0.0)

    def choose_throttled(
        self, running: Sequence[RunningTask], now: datetime.timedelta
    ) -> frozenset[ids.TaskId]:
        """Returns the tasks of harmful kinds, the worst kind first."""
        present = {task_id for task_id, _, _ in running}
        self._changed = {
            task_id: at
            for task_id, at in self._changed.items()
            if task_id in present
        }
        chosen = {item for item in self._throttled if item in present}
        for task_id, kind, work_class in running:
            if work_class is states.WorkClass.URGENT:
                continue
            if now - self._changed.get(task_id, -HOLD_TIME) < HOLD_TIME:
                continue
            harm = self._estimate_harm(kind)
            if task_id not in chosen and harm > HARM_HIGH:
                chosen.add(task_id)
                self._changed[task_id] = now
            elif task_id in chosen and harm < HARM_LOW:
                chosen.discard(task_id)
                self._changed[task_id] = now
        self._throttled = frozenset(chosen)
        return self._throttled

    def choose_evicted(
        self, throttled: Sequence[RunningTask], now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Returns the worst task if throttling has not helped."""
        if not throttled or now - EVICTION_PAUSE < self._evicted_at:
            return None
        slow = any(
            item.recent - item.base > HARM_HIGH
            for item in self._services.values()
        )
        waited = [
            item
            for item in throttled
            if now - self._changed.get(item[0], now) >= EVICT_AFTER
        ]
        if not slow or not waited:
            return None
        self._evicted_at = now
        worst = max(waited, key=lambda item: self._estimate_harm(item[1]))
        return worst[0]
