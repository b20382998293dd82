"""Calls of the processes of a small deployment to the store."""

import functools
from typing import Any

from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    storage,
)
from tests.jobs import (
    job_specs,
    store_calls,
    store_fake,
    virtual_time,
)
from tests.jobs.order_search import processes

FEED_MS = 1000.0
ENTRY_FEED_MS = 200.0


class StoreLink(processes.Processes):
    """Processes that reach the store.

    Attributes:
        store: The store.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = store_fake.FakeStore()

    def _call_store(self, name: str, effect: Any) -> None:
        delay = virtual_time.to_ms(getattr(effect, "delay", effects.NO_DELAY))
        if isinstance(effect, effects.FollowJobs):
            delay += FEED_MS
        elif isinstance(effect, effects.FollowEntries):
            delay += ENTRY_FEED_MS
        elif isinstance(effect, effects.FollowConfig) and effect.after:
            delay += FEED_MS
        incarnation = self.processes[name].incarnation
        self.after(
            delay + processes.LATENCY_MS,
            functools.partial(self.reach_store, name, incarnation, effect),
        )

    def reach_store(self, name: str, incarnation: int, effect: Any) -> None:
        node = self.processes[name]
        if node.incarnation != incarnation:
            return
        if node.cut_store:
            self._fail(name, processes.ANSWER_TIMEOUT_MS, effect)
            return
        self._answer(name, processes.LATENCY_MS, self._use_store(effect))

    def _use_store(self, effect: Any) -> Any:
        wall_ms = processes.WALL_OFFSET_MS + int(self.now_ms)
        match effect:
            case effects.FollowConfig():
                return events.ConfigRead(
                    job_specs.CONFIG if effect.after == 0 else None,
                    ids.RowVersion(max(1, self.store.version)),
                    events.ReadResult.DONE,
                    self.store.read_evacuations(effect.after),
                )
            case effects.FollowJobs():
                changes = self.store.follow(effect.after)
                return events.JobsChanged(effect.term, changes, wall_ms)
            case effects.FollowEntries():
                entries = tuple(self.store.entries.values())
                version = ids.RowVersion(self.store.version)
                return events.EntriesChanged(
                    storage.EntryChanges(entries, version)
                )
        return store_calls.apply(self.store, effect, wall_ms)
