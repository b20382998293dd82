"""Processes of a small deployment that can be copied at any moment.

All that is scheduled is data: bound methods and their arguments. So the whole
deployment can be pickled, and an order of steps continued from the copy.
"""

import abc
import dataclasses
import functools
import heapq
from collections.abc import Callable
from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.decisions import reducer
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import (
    effects,
)
from tests.jobs import (
    nodes,
    virtual_time,
)

BEGIN_MS = 10_000_000_000.0
"""Far above any duration, so that a digest tells times from durations."""

WALL_OFFSET_MS = 1_700_000_000_000
LATENCY_MS = 1.0
ANSWER_TIMEOUT_MS = 1000.0


class Counter:
    """Unique numbers that can be pickled."""

    def __init__(self) -> None:
        self.last = 0

    def __next__(self) -> int:
        self.last += 1
        return self.last


@dataclasses.dataclass(frozen=True, slots=True)
class Trap:
    """The next call that is to be held.

    Attributes:
        kind: Its type.
        node: Who sends it; None for anyone.
        acknowledges: Whether it has to be a poll that acknowledges ends.
    """

    kind: type
    node: str | None
    acknowledges: bool = False


def find_receiver(action: functools.partial[None]) -> str:
    """Returns who is concerned by a scheduled action."""
    name = action.func.__name__
    receiver = action.args[1] if name == "report" else action.args[0]
    return f"store {receiver}" if name == "reach_store" else receiver


class Processes(virtual_time.VirtualTime, abc.ABC):
    """Processes with their timers, in virtual time.

    Attributes:
        processes: Processes by name.
        trap: The next call to hold or, for a report, to lose.
        journal: Lines about what happened; None unless they are wanted.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = BEGIN_MS
        self.numbers = Counter()
        self.processes: dict[str, nodes.Node] = {}
        self.trap: Trap | None = None
        self.journal: list[str] | None = None

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules a call of a method, whose arguments name the receiver.

        At one moment, receivers act by name, and not in the order in which
        their actions were scheduled. So faults at one moment can be exchanged.
        """
        assert isinstance(action, functools.partial)
        key = (find_receiver(action), next(self.numbers))
        entry: Any = (self.now_ms + delay_ms, key, action)
        heapq.heappush(self.scheduled, entry)

    @abc.abstractmethod
    def _perform(self, name: str, effect: base_effects.Effect) -> None:
        """Performs an effect of a process."""

    def deliver(self, name: str, event: Any) -> None:
        node = self.processes[name]
        if not node.alive:
            return
        for effect in reducer.reduce(node.state, event, self.read_clock()):
            self._perform(name, effect)

    def deliver_unless_restarted(
        self, name: str, incarnation: int, event: base_events.Event | None
    ) -> None:
        if (
            event is not None
            and self.processes[name].incarnation == incarnation
        ):
            self.deliver(name, event)

    def _answer(self, name: str, delay_ms: float, event: Any) -> None:
        incarnation = self.processes[name].incarnation
        self.after(
            delay_ms,
            functools.partial(
                self.deliver_unless_restarted, name, incarnation, event
            ),
        )

    def _fail(self, name: str, delay_ms: float, effect: Any) -> None:
        failure = failure_events.build_failure_event(effect, started=True)
        self._answer(name, delay_ms, failure)

    def fire(self, name: str, timer: Any, number: int) -> None:
        if self.processes[name].timers.get(timer) == number:
            self.deliver(name, base_events.TimerFired(timer))

    def note(self, line: str) -> None:
        """Adds a line to the journal, if one is wanted."""
        if self.journal is not None:
            self.journal.append(f"{(self.now_ms - BEGIN_MS) / 1000:.3f} {line}")

    def _set_timer(self, name: str, effect: base_effects.SetTimer) -> None:
        number = next(self.numbers)
        self.processes[name].timers[effect.timer] = number
        self.after(
            virtual_time.to_ms(effect.delay),
            functools.partial(self.fire, name, effect.timer, number),
        )

    def _log(self, name: str, effect: effects.Log) -> None:
        inputs = " ".join(f"{key}={value}" for key, value in effect.inputs)
        self.note(
            f"{name}: {effect.decision} {effect.subject} {effect.outcome}"
            f" {inputs}"
        )

    def _is_trapped(self, name: str, effect: Any) -> bool:
        """Tells whether this is the call to hold, which disarms the trap."""
        trap = self.trap
        if trap is None or trap.node not in (None, name):
            return False
        if trap.acknowledges and not getattr(effect, "acknowledged", 0):
            return False
        if not isinstance(effect, trap.kind):
            return False
        self.trap = None
        return True
