"""Calls of simulated processes to the store, and the faults of these calls."""

from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, events, storage
from tests.jobs import deployment, job_specs, nodes, store_calls, virtual_time

FEED_MS = 40
CONFIG_WAIT_MS = 1000


class StoreLink(deployment.Deployment):
    """A deployment whose processes reach the store."""

    def _schedule_follow(
        self,
        node: nodes.Node,
        effect: effects.FollowJobs | effects.FollowEntries,
    ) -> None:
        delay = FEED_MS + virtual_time.to_ms(effect.delay)
        self.after(delay, self._unless_restarted(node, effect, self._follow))

    def _follow_config(
        self, node: nodes.Node, effect: effects.FollowConfig
    ) -> None:
        """Answers after the longest wait, whatever changes meanwhile."""
        wait_ms = 10 if effect.after == 0 else CONFIG_WAIT_MS
        retry_ms = virtual_time.to_ms(effect.delay)
        read = self._unless_restarted(node, effect, self._read_config)
        self.after(wait_ms + retry_ms, read)

    def _read_config(
        self, node: nodes.Node, effect: effects.FollowConfig
    ) -> None:
        if self.store_down or node.cut_store:
            failure = failure_events.build_failure_event(effect, started=False)
            self._schedule_event(node, 600, failure)
            return
        if node.cut_config:
            failure = failure_events.build_failure_event(effect, started=False)
            self._schedule_event(node, self._draw_latency(), failure)
            return
        read = events.ConfigRead(
            job_specs.CONFIG if effect.after == 0 else None,
            ids.RowVersion(max(1, self.store.version)),
            events.ReadResult.DONE,
            self.store.read_evacuations(effect.after),
        )
        self._schedule_event(node, 1, read)

    def _follow(self, node: nodes.Node, effect: Any) -> None:
        if self.store_down or node.cut_store:
            failure = failure_events.build_failure_event(effect, started=False)
            self._schedule_event(node, 500, failure)
            return
        if isinstance(effect, effects.FollowJobs):
            changes = self.store.follow(effect.after)
            read: events.Event = events.JobsChanged(
                effect.term, changes, int(self.now_ms)
            )
        else:
            entries = tuple(self.store.entries.values())
            version = ids.RowVersion(self.store.version)
            read = events.EntriesChanged(storage.EntryChanges(entries, version))
        self._schedule_event(node, self._draw_latency(), read)

    def _call_store(self, node: nodes.Node, effect: Any) -> None:
        retry_delay = virtual_time.to_ms(
            getattr(effect, "delay", effects.NO_DELAY)
        )
        delay = retry_delay + self._draw_latency()
        if self.store_down or node.cut_store:
            self._schedule_event(
                node,
                delay + 500,
                failure_events.build_failure_event(effect, True),
            )
            return
        fault = self._draw_fault(effect)
        if node.cut_config and isinstance(effect, effects.ReadEvacuations):
            fault = "refused"
        if fault == "refused":
            self._schedule_event(
                node, delay, failure_events.build_failure_event(effect, False)
            )
            return
        if fault in ("lost", "late"):
            late = self._draw_late_ms() if fault == "late" else 0
            self.after(
                delay + late,
                lambda: (
                    store_calls.apply(self.store, effect, self.now_ms) and None
                ),
            )
            self._schedule_event(
                node,
                delay + 1500,
                failure_events.build_failure_event(effect, True),
            )
            return
        incarnation = node.incarnation

        def apply_effect() -> None:
            event = self._apply_to_store(effect)
            self.after(
                self._draw_latency(),
                lambda: self._deliver_unless_restarted(
                    node, incarnation, event
                ),
            )

        self.after(delay, apply_effect)

    def _apply_to_store(self, effect: Any) -> Any:
        return store_calls.apply(self.store, effect, self.now_ms)
