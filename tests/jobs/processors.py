"""Processors of simulated entries, on which events wait for each other.

A real entry applies one event at a time. On a small machine each takes a while,
so reports, plans and batches wait for each other. The costs are virtual time,
so that a run does not depend on the machine that simulates it.
"""

import collections
import dataclasses
from collections.abc import Sequence

from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import effects, events, messages


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Processor time of what an event contains and causes, in ms.

    Attributes:
        event: Any event.
        report: A report, beside its rows.
        row: A run or an end in a report.
        plan: A plan and its batch, beside their jobs and placements.
        open_job: An open job in a plan.
        placement: A placement in a plan.
        write: The record of a job in a batch.
        push: Directives that are sent to an agent, beside their commands.
        command: A command in directives.
    """

    event: float = 0.0
    report: float = 0.0
    row: float = 0.0
    plan: float = 0.0
    open_job: float = 0.0
    placement: float = 0.0
    write: float = 0.0
    push: float = 0.0
    command: float = 0.0

    def scale(self, factor: float) -> "Costs":
        """Returns the costs on a machine that is slower by a factor."""
        return Costs(
            **{
                name: amount * factor
                for name, amount in dataclasses.asdict(self).items()
            }
        )

    def measure_event(
        self,
        event: base_events.Event,
        emitted: Sequence[base_effects.Effect],
        open_jobs: int,
    ) -> float:
        """Returns the processor time of an event and of its effects."""
        spent = self.event
        if isinstance(event, events.ReportArrived):
            listed = len(event.report.rows) + len(event.report.ends)
            spent += self.report + listed * self.row
        return spent + sum(
            self._measure_effect(effect, open_jobs) for effect in emitted
        )

    def _measure_effect(
        self, effect: base_effects.Effect, open_jobs: int
    ) -> float:
        match effect:
            case effects.Log(decision="place"):
                return self.placement
            case effects.CommitBatch(batch=batch):
                # A plan comes right before its batch.
                jobs = open_jobs * self.open_job
                return self.plan + jobs + len(batch.writes) * self.write
            case effects.PushDirectives(directives=directives):
                return self.push + _count_commands(directives) * self.command
            case effects.ReplyReport(directives=directives):
                return _count_commands(directives) * self.command
        return 0.0


def _count_commands(directives: messages.Directives) -> int:
    return len(directives.starts) + len(directives.stops)


NO_COSTS = Costs()


@dataclasses.dataclass(slots=True)
class Processor:
    """The processor of one entry.

    Attributes:
        costs: What its events cost.
        waiting: Events that wait, in the order of their arrival.
        is_busy: Whether an event is being handled.
        busy_ms: Processor time used so far.
        longest_queue: Most events that waited at a time.
    """

    costs: Costs
    waiting: collections.deque[base_events.Event] = dataclasses.field(
        default_factory=collections.deque
    )
    is_busy: bool = False
    busy_ms: float = 0.0
    longest_queue: int = 0

    def reset(self) -> None:
        """Drops the events of a process that is gone."""
        self.waiting.clear()
        self.is_busy = False

    def queue(self, event: base_events.Event) -> None:
        self.waiting.append(event)
        self.longest_queue = max(self.longest_queue, len(self.waiting))
