"""Interference policies: throttle or evict tasks that slow down the service."""

import dataclasses
import datetime
import math
from collections.abc import Sequence

from gypsumhold.model import ids, policies, states

GAIN = 0.1
"""Weight of one request in each moving average."""

PRIOR_REQUESTS = 30
"""Number of requests at which a slowdown estimate counts half; with fewer it is
shrunk further towards zero."""

THROTTLE_ABOVE = math.log(1.5)
"""Slowdown, as a logarithm, above which tasks of a kind are throttled."""

RELEASE_BELOW = math.log(1.15)
"""Slowdown, as a logarithm, below which a throttled task is released."""

MIN_CHANGE_INTERVAL = datetime.timedelta(seconds=20)
"""Shortest time between two throttling changes of one task, which prevents
oscillation."""

EVICT_AFTER = datetime.timedelta(seconds=10)
"""Time for which a task has to be throttled before it may be evicted, so that
throttling can take effect first."""

EVICTION_INTERVAL = datetime.timedelta(seconds=30)
"""Shortest time between two evictions; the eviction budget of one instance."""

RunningTask = tuple[ids.TaskId, ids.KindName, states.WorkClass]


class NoInterferenceControl(policies.InterferencePolicy):
    """Baseline: never throttles or evicts a task."""

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Ignores the latency."""

    def choose_throttled(
        self, running: Sequence[RunningTask], now: datetime.timedelta
    ) -> frozenset[ids.TaskId]:
        """Returns no task."""
        return frozenset()

    def choose_evicted(
        self, throttled: Sequence[RunningTask], now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Returns None."""
        return None


@dataclasses.dataclass(slots=True)
class _Slowdown:
    """Estimated slowdown of one service by one kind of task.

    Attributes:
        value: Slowdown as a logarithm; never negative.
        requests: Number of requests behind the estimate.
    """

    value: float = 0.0
    requests: int = 0

    def shrink(self) -> float:
        """Returns the slowdown, shrunk towards zero while requests are few."""
        return self.value * self.requests / (self.requests + PRIOR_REQUESTS)


@dataclasses.dataclass(slots=True)
class _ServiceLatency:
    """Moving averages of the logarithm of one service's latency in seconds.

    Attributes:
        base: Latency without interfering tasks.
        recent: Latency of the recent requests.
        requests: Number of requests observed.
    """

    base: float
    recent: float
    requests: int = 1


class PairwiseInterferenceControl(policies.InterferencePolicy):
    """Estimates the slowdown of each service by each kind of task.

    The model predicts the logarithm of a request's latency as the base latency
    of the service plus the slowdowns of the task kinds that run at the same
    time. The prediction error is distributed evenly over these slowdowns. Tasks
    of kinds with a high slowdown are throttled; a throttled task is evicted
    only if a service stays slow.
    """

    def __init__(self) -> None:
        self._services: dict[ids.KindName, _ServiceLatency] = {}
        self._slowdowns: dict[tuple[ids.KindName, ids.KindName], _Slowdown] = {}
        self._changed_at: dict[ids.TaskId, datetime.timedelta] = {}
        self._throttled_ids: frozenset[ids.TaskId] = frozenset()
        self._evicted_at = datetime.timedelta.min

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Updates the estimates with the latency of one request."""
        value = math.log(max(latency.total_seconds(), 1e-6))
        service_latency = self._services.get(service)
        if service_latency is None:
            service_latency = _ServiceLatency(value, value)
            self._services[service] = service_latency
        service_latency.requests += 1
        service_latency.recent += GAIN * (value - service_latency.recent)
        kinds = sorted(set(running))
        estimates = [
            self._slowdowns.setdefault((service, kind), _Slowdown())
            for kind in kinds
        ]
        error = (
            value - service_latency.base - sum(item.value for item in estimates)
        )
        for item in estimates:
            item.requests += 1
            item.value = max(0.0, item.value + GAIN * error / len(estimates))
        # While tasks run, the base latency is updated only by answers that are
        # faster than predicted; a slow one may be due to the tasks.
        if not estimates or error < 0:
            service_latency.base += GAIN * error

    def _estimate_slowdown(self, kind: ids.KindName) -> float:
        slowdowns = (
            estimate.shrink()
            for (_, other), estimate in self._slowdowns.items()
            if other == kind
        )
        return max(slowdowns, default=0.0)

    def choose_throttled(
        self, running: Sequence[RunningTask], now: datetime.timedelta
    ) -> frozenset[ids.TaskId]:
        """Returns the running tasks that are to be throttled from now on.

        A task is added if the slowdown of its kind is high and removed if it is
        low. Urgent tasks are never throttled.
        """
        running_ids = {task_id for task_id, _, _ in running}
        self._changed_at = {
            task_id: changed_at
            for task_id, changed_at in self._changed_at.items()
            if task_id in running_ids
        }
        throttled_ids = {
            item for item in self._throttled_ids if item in running_ids
        }
        for task_id, kind, work_class in running:
            if work_class is states.WorkClass.URGENT:
                continue
            if (
                now - self._changed_at.get(task_id, -MIN_CHANGE_INTERVAL)
                < MIN_CHANGE_INTERVAL
            ):
                continue
            slowdown = self._estimate_slowdown(kind)
            if task_id not in throttled_ids and slowdown > THROTTLE_ABOVE:
                throttled_ids.add(task_id)
                self._changed_at[task_id] = now
            elif task_id in throttled_ids and slowdown < RELEASE_BELOW:
                throttled_ids.discard(task_id)
                self._changed_at[task_id] = now
        self._throttled_ids = frozenset(throttled_ids)
        return self._throttled_ids

    def choose_evicted(
        self, throttled: Sequence[RunningTask], now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Returns the throttled task with the highest slowdown, or None.

        A task is returned only if some service is still slow, the task has been
        throttled long enough, and no other eviction happened recently. The time
        of this eviction is recorded.
        """
        if not throttled or now - EVICTION_INTERVAL < self._evicted_at:
            return None
        is_slow = any(
            item.recent - item.base > THROTTLE_ABOVE
            for item in self._services.values()
        )
        eligible = [
            item
            for item in throttled
            if now - self._changed_at.get(item[0], now) >= EVICT_AFTER
        ]
        if not is_slow or not eligible:
            return None
        self._evicted_at = now
        worst = max(eligible, key=lambda item: self._estimate_slowdown(item[1]))
        return worst[0]
