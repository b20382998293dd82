"""Control of tasks that slow the service beside them."""

import datetime
from collections.abc import Sequence

from gypsumhold.model import ids, policies, states


class NoInterferenceControl(policies.Interference):
    """Baseline: observes nothing and holds nothing back."""

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Learns nothing."""

    def choose_throttled(
        self,
        running: Sequence[tuple[ids.TaskId, ids.KindName, states.WorkClass]],
        now: datetime.timedelta,
    ) -> frozenset[ids.TaskId]:
        """Throttles nothing."""
        return frozenset()

    def choose_evicted(
        self,
        throttled: Sequence[tuple[ids.TaskId, ids.KindName, states.WorkClass]],
        now: datetime.timedelta,
    ) -> ids.TaskId | None:
        """Evicts nothing."""
        return None
