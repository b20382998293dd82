"""Counters that are read when the metrics are collected.

Adding to an instrument of the metrics library costs more processor time than
most events, and a holder counts hundreds of decisions a second.
"""

import threading
from collections import Counter
from collections.abc import Iterable, Mapping

from opentelemetry import metrics as api


class LabelCounter:
    """Counts by the value of one label; safe for concurrent use."""

    def __init__(
        self, meter: api.Meter, name: str, label: str, description: str
    ) -> None:
        """Registers the counter.

        Args:
            meter: Meter that collects the counts.
            name: Name of the metric.
            label: Name of the label.
            description: What is counted.
        """
        self._label = label
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        meter.create_observable_counter(
            name, callbacks=[self._collect], description=description
        )

    def add(self, counts: Mapping[str, int]) -> None:
        """Adds counts by the value of the label."""
        with self._lock:
            self._counts.update(counts)

    def _collect(self, _: api.CallbackOptions) -> Iterable[api.Observation]:
        with self._lock:
            counts = dict(self._counts)
        return [
            api.Observation(count, {self._label: value})
            for value, count in counts.items()
        ]
