"""Processes of a simulated deployment: their events, faults and timers.

What the effects of a process do is left to the subclasses.
"""

import abc
import random
from collections.abc import Callable
from typing import Any

from gypsumhold.decisions import reducer
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model import members
from tests.jobs import nodes, oracle, store_fake, virtual_time, worker_fake


class Deployment(virtual_time.VirtualTime, abc.ABC):
    """Processes, workers and a store in virtual time.

    Attributes:
        random: Source of all random choices.
        faults: Probabilities of faults.
        scripted_faults: Faults of the next calls, by type of effect.
        pauses_ms: Pause before an effect is performed, by type of effect.
        delivers_to_frozen: Whether messages reach a frozen process once it
            goes on, as over an open connection, and its threads handle them in
            any order.
        store_down: Whether no process reaches the store.
        store: The store.
        nodes: Processes by name.
        nodes_by_address: Processes by address.
        workers: Workers by the name of their agent.
        oracle: Checks the invariants.
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.faults = nodes.NO_FAULTS
        self.scripted_faults: dict[type, list[str]] = {}
        self.pauses_ms: dict[type, Callable[[], float]] = {}
        self.delivers_to_frozen = False
        self.store_down = False
        self.store = store_fake.FakeStore()
        self.nodes: dict[str, nodes.Node] = {}
        self.nodes_by_address: dict[members.Address, nodes.Node] = {}
        self.workers: dict[str, worker_fake.FakeWorker] = {}
        self.oracle = oracle.Oracle(self.store, self.workers)

    @abc.abstractmethod
    def _start_process(self, node: nodes.Node) -> None:
        """Starts a process with a new state."""

    @abc.abstractmethod
    def _perform_now(
        self, node: nodes.Node, effect: base_effects.Effect
    ) -> None:
        """Performs an effect of a process."""

    @abc.abstractmethod
    def _draw_late_ms(self) -> float:
        """Returns by how much a call is carried out late."""

    # Faults of processes.

    def kill(self, name: str, down_ms: float) -> None:
        node = self.nodes[name]
        node.alive = False
        node.incarnation += 1
        self.after(down_ms, lambda: self._start_process(node))

    def freeze(self, name: str, for_ms: float) -> None:
        node = self.nodes[name]
        node.frozen = True
        self.after(for_ms, lambda: self._unfreeze(node))

    def _unfreeze(self, node: nodes.Node) -> None:
        node.frozen = False
        if node.name in self.workers:
            name = self.workers[node.name].name
            self.oracle.unfrozen_ms[name] = self.now_ms
        actions, node.backlog = node.backlog, []
        if self.delivers_to_frozen:
            self.random.shuffle(actions)
        for action in actions:
            action()

    # Events and effects.

    def deliver(self, node: nodes.Node, event: base_events.Event) -> None:
        if not node.alive:
            return
        if node.frozen:
            incarnation = node.incarnation
            node.backlog.append(
                lambda: self._deliver_unless_restarted(node, incarnation, event)
            )
            return
        emitted = reducer.reduce(node.state, event, self.read_clock())
        for effect in emitted:
            self._perform(node, effect)

    def _deliver_unless_restarted(
        self, node: nodes.Node, incarnation: int, event: base_events.Event
    ) -> None:
        if node.incarnation == incarnation:
            self.deliver(node, event)

    def _schedule_event(
        self, node: nodes.Node, delay_ms: float, event: base_events.Event | None
    ) -> None:
        incarnation = node.incarnation
        if event is not None:
            self.after(
                delay_ms,
                lambda: self._deliver_unless_restarted(
                    node, incarnation, event
                ),
            )

    def _perform(self, node: nodes.Node, effect: base_effects.Effect) -> None:
        draw_pause = self.pauses_ms.get(type(effect))
        pause_ms = 0.0 if draw_pause is None else draw_pause()
        if pause_ms:
            perform = self._unless_restarted(node, effect, self._perform_now)
            self.after(pause_ms, perform)
            return
        self._perform_now(node, effect)

    def _unless_restarted(
        self,
        node: nodes.Node,
        effect: Any,
        action: Callable[[nodes.Node, Any], None],
    ) -> Callable[[], None]:
        incarnation = node.incarnation
        return lambda: (
            action(node, effect) if node.incarnation == incarnation else None
        )

    def _set_timer(
        self, node: nodes.Node, effect: base_effects.SetTimer
    ) -> None:
        number = next(self.numbers)
        node.timers[effect.timer] = number

        def fire() -> None:
            if node.timers.get(effect.timer) == number:
                self.deliver(node, base_events.TimerFired(effect.timer))

        self.after(virtual_time.to_ms(effect.delay), fire)

    # Faults of calls.

    def _draw_latency(self) -> float:
        return self.random.uniform(2, 30)

    def _draw_fault(self, effect: Any) -> str:
        scripted = self.scripted_faults.get(type(effect))
        if scripted:
            return scripted.pop(0)
        drawn = self.random.random()
        for name in ("lost", "late", "held", "refused"):
            probability = getattr(self.faults, name)
            if drawn < probability:
                return name
            drawn -= probability
        return "done"
