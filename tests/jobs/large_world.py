"""A simulated deployment with many workers and entries of limited speed.

Beside what `world` simulates, entries have processors, a poll is answered as
soon as a run ends, and tasks run about as long as their step declares.
"""

import datetime
import random
from collections.abc import Callable
from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.decisions import reducer
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import effects, events, runs, scheduler
from tests.jobs import (
    nodes,
    processors,
    virtual_time,
    wait_oracle,
    worker_fake,
    worker_speeds,
)
from tests.jobs import world as worlds

WORKER_MILLIS = 32_000
WORKER_MB = 125_000
RACK_SIZE = 3

SAMPLE_MS = 50.0
MAX_POLL_STEP_MS = 150.0
ENTRIES_READ_MS = 400.0
"""Time between two reads of the entries by an agent."""

RUN_TIME_SPREAD = (0.6, 1.4)


class LargeWorld(worlds.World):
    """A world of a site: large workers, and entries that need time.

    Attributes:
        processors: Processors by name of the entry.
        waits: The oracle of waits; it has samples of the judged time only.
    """

    def __init__(
        self,
        seed: int,
        agents: int,
        costs: processors.Costs = processors.NO_COSTS,
        entries: int = 2,
        evacuation_time: datetime.timedelta | None = None,
        conditions: worker_speeds.Conditions | None = None,
    ) -> None:
        """Creates a site; its runs have speeds if conditions are given."""
        self.processors = {
            f"entry-{number}": processors.Processor(costs)
            for number in range(entries)
        }
        super().__init__(
            seed,
            entries=entries,
            agents=agents,
            evacuation_time=evacuation_time,
        )
        for number, worker in enumerate(self.workers.values()):
            worker.cpu_millis = WORKER_MILLIS
            worker.memory_mb = WORKER_MB
            worker.labels = ("a", f"r1-{number // RACK_SIZE}")
        if conditions is not None:
            self._set_speeds(random.Random(seed), conditions)
        self.waits = wait_oracle.WaitOracle(
            self.store, self.workers, self.oracle
        )

    def _set_speeds(
        self, source: random.Random, conditions: worker_speeds.Conditions
    ) -> None:
        for worker in self.workers.values():
            worker.work_model = worker_speeds.VaryingSpeeds(
                conditions.draw_machine(source), self._saves_progress
            )

    def _saves_progress(self, task: runs.TaskRef) -> bool:
        return self.store.jobs[task.job_id].steps[task.step].checkpoints

    # Processors.

    def _start_process(self, node: nodes.Node) -> None:
        if node.name in self.processors:
            self.processors[node.name].reset()
        super()._start_process(node)

    def deliver(self, node: nodes.Node, event: base_events.Event) -> None:
        processor = self.processors.get(node.name)
        if processor is None or not node.alive or node.frozen:
            super().deliver(node, event)
            return
        processor.queue(event)
        if not processor.is_busy:
            self._handle_next(node, processor)

    def _handle_next(
        self, node: nodes.Node, processor: processors.Processor
    ) -> None:
        """Handles the first waiting event; its effects follow when it ends."""
        processor.is_busy = bool(processor.waiting)
        if not processor.waiting:
            return
        event = processor.waiting.popleft()
        emitted = reducer.reduce(node.state, event, self.read_clock())
        spent_ms = processor.costs.measure_event(
            event, emitted, count_open_jobs(node)
        )
        processor.busy_ms += spent_ms
        incarnation = node.incarnation

        def finish() -> None:
            if node.incarnation != incarnation:
                return
            for effect in emitted:
                self._perform(node, effect)
            self._handle_next(node, processor)

        if spent_ms:
            self.after(spent_ms, finish)
        else:
            finish()

    # Agents.

    def _follow(self, node: nodes.Node, effect: Any) -> None:
        """Reads changes; agents, of which there are many, do so less often."""
        if isinstance(effect, effects.FollowEntries) and effect.after:
            read = self._unless_restarted(node, effect, super()._follow)
            self.after(ENTRIES_READ_MS, read)
            return
        super()._follow(node, effect)

    def _call_worker(self, node: nodes.Node, effect: Any) -> None:
        is_poll = isinstance(effect, effects.PollWorker)
        if not is_poll or not effect.wait or node.cut_worker:
            super()._call_worker(node, effect)
            return
        delay = self.random.uniform(1, 7)
        self.after(
            delay + virtual_time.to_ms(effect.delay),
            lambda: self._begin_poll(node, node.incarnation, effect),
        )

    def _reaches_worker(
        self, node: nodes.Node, incarnation: int, effect: effects.PollWorker
    ) -> bool:
        """Tells whether a poll goes on; if its worker is gone, it fails."""
        if node.incarnation != incarnation:
            return False
        is_addressed = self._is_addressed(node, effect)
        if not is_addressed:
            failure = failure_events.build_failure_event(effect, True)
            self._schedule_event(node, 50, failure)
        return is_addressed

    def _begin_poll(
        self, node: nodes.Node, incarnation: int, effect: effects.PollWorker
    ) -> None:
        """Carries a poll out, whose answer waits until a run ends."""
        if not self._reaches_worker(node, incarnation, effect):
            return
        polled = self._deliver_to_worker(node, effect)
        if polled.result is not events.CommandResult.DONE:
            self._schedule_event(node, 2, polled)
            return
        until_ms = self.now_ms + virtual_time.to_ms(effect.wait)
        self._answer_poll(node, incarnation, effect, polled, until_ms)

    def _answer_poll(
        self,
        node: nodes.Node,
        incarnation: int,
        effect: effects.PollWorker,
        polled: events.WorkerPolled,
        until_ms: float,
    ) -> None:
        if not self._reaches_worker(node, incarnation, effect):
            return
        worker = self.workers[node.name]
        worker.advance(self.now_ms)
        if not worker.ends and self.now_ms < until_ms:
            self.after(
                self._choose_poll_step(worker, until_ms),
                lambda: self._answer_poll(
                    node, incarnation, effect, polled, until_ms
                ),
            )
            return
        assert polled.clock is not None
        now = self.read_clock()
        clock_ms = worker.read_clock(self.now_ms)
        ends = worker.list_ends()
        answer = events.WorkerPolled(
            polled.worker_incarnation,
            polled.fence,
            polled.result,
            events.WorkerClock(clock_ms, polled.clock.sent_at, now),
            polled.started_ms,
            worker.list_runs(),
            ends,
            len(ends) < worker.max_listed_ends,
            polled.until_ms,
            polled.acknowledged,
        )
        self._schedule_event(node, self.random.uniform(1, 4), answer)

    def _choose_poll_step(
        self, worker: worker_fake.FakeWorker, until_ms: float
    ) -> float:
        """Returns the time until the worker is next looked at."""
        finishes = [
            worker.work_model.estimate_finish_ms(run, self.now_ms)
            for run in worker.running.values()
        ]
        next_ms = min((*finishes, until_ms, self.now_ms + MAX_POLL_STEP_MS))
        return max(1.0, next_ms - self.now_ms)

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        step = self.store.jobs[task.job_id].steps[task.step]
        if step.long_running:
            return worker_fake.LASTING_MS
        return step.estimate_ms * self.random.uniform(*RUN_TIME_SPREAD)

    # Judging.

    def judge(self, for_ms: float, until: Callable[[], bool]) -> None:
        """Runs on and samples the waits, until a condition or for a time."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms and not until():
            self.run(SAMPLE_MS)
            self.waits.sample(self.now_ms)


def count_open_jobs(node: nodes.Node) -> int:
    state = node.state
    if not isinstance(state, scheduler.SchedulerState):
        return 0
    return (
        0 if state.holder_state is None else len(state.holder_state.open_jobs)
    )
