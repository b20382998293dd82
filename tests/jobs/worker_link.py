"""Calls of simulated agents to their workers, and crashes of the workers."""

import datetime
import random
from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.model.jobs import effects, events, runs
from tests.jobs import (
    deployment,
    nodes,
    virtual_time,
    worker_calls,
    worker_fake,
)

HEARTBEAT_MS = 1100
HELD_MS = (0, 1500)
ANSWER_TIMEOUT_MS = 1000
LIST_MS = (1, 300)


class WorkerLink(deployment.Deployment):
    """A deployment whose agents reach their workers.

    Attributes:
        deadly: Tasks that crash each worker that starts them.
        crashes: The crashes of workers under these tasks.
        list_random: Source of the random times of the list of workers, apart
            from the others: a read changes no other choice.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.deadly: set[runs.TaskRef] = set()
        self.crashes: list[nodes.Crash] = []
        self.list_random = random.Random(seed)

    def _send_heartbeat(self, name: str) -> None:
        is_cut = self.nodes[name].cut_worker
        if self.workers[name].up_at_ms <= self.now_ms and not is_cut:
            self._send_heartbeat_now(name)
        self.after(HEARTBEAT_MS, lambda: self._send_heartbeat(name))

    def _send_heartbeat_now(self, name: str) -> None:
        held = self.faults.held
        if not held or self.random.random() >= held:
            self.deliver_heartbeat(name)
            return
        heartbeat = events.HeartbeatReceived(self.workers[name].describe())
        node = self.nodes[name]
        self.after(
            self.random.uniform(*HELD_MS),
            lambda: self.deliver(node, heartbeat),
        )

    def deliver_heartbeat(self, name: str) -> None:
        heartbeat = events.HeartbeatReceived(self.workers[name].describe())
        self.deliver(self.nodes[name], heartbeat)

    def _list_workers(
        self, node: nodes.Node, effect: effects.ListWorkers
    ) -> None:
        """Answers with the workers that are up when the call arrives.

        Those that are cut off are listed. A process that does not reach the
        store does not reach the list either.
        """
        scripted = self.scripted_faults.get(effects.ListWorkers)
        is_lost = self.list_random.random() < self.faults.lost
        if scripted:
            is_lost = scripted.pop(0) == "lost"
        if is_lost or self.store_down or node.cut_store:
            failure = failure_events.build_failure_event(effect, True)
            self._schedule_event(node, ANSWER_TIMEOUT_MS, failure)
            return
        read = self._unless_restarted(node, effect, self._read_list)
        self.after(self.list_random.uniform(*LIST_MS), read)

    def _read_list(self, node: nodes.Node, effect: effects.ListWorkers) -> None:
        up = frozenset(
            runs.WorkerName(worker.name)
            for worker in self.workers.values()
            if worker.up_at_ms <= self.now_ms
        )
        listed = events.WorkersListed(effect.term, effect.asked_at, up)
        delay_ms = self.list_random.uniform(*LIST_MS)
        self._schedule_event(node, delay_ms, listed)

    def _call_worker(self, node: nodes.Node, effect: Any) -> None:
        fault = self._draw_fault(effect)
        delay = self.random.uniform(1, 7)
        if node.cut_worker:
            self._schedule_event(
                node, 1000, failure_events.build_failure_event(effect, True)
            )
            return
        if fault == "refused":
            fault = "done"
        if (
            isinstance(effect, effects.StartRun)
            and self.read_clock() >= effect.valid_until
        ):
            expired = events.CommandAnswered(
                effect.worker.incarnation,
                events.CommandKind.START,
                effect.command.ref,
                effect.fence,
                events.CommandResult.LATE,
            )
            self._schedule_event(node, 1, expired)
            return
        incarnation = node.incarnation
        if fault == "late":
            late = self._draw_late_ms()
            sent_ms = self.now_ms
            self.after(
                late,
                lambda: self._deliver_late_to_worker(node, effect, sent_ms),
            )
            self._schedule_event(
                node, 1000, failure_events.build_failure_event(effect, True)
            )
            return

        if fault == "held":
            self._hold_call_back(node, effect)
            return

        def apply_effect() -> None:
            if not self._is_addressed(node, effect):
                failure = failure_events.build_failure_event(effect, True)
                self._schedule_event(node, 50, failure)
                return
            event = self._deliver_to_worker(node, effect)
            if fault == "lost":
                event = failure_events.build_failure_event(effect, True)
            wait = 1000.0 if fault == "lost" else delay
            if isinstance(effect, effects.PollWorker):
                wait += virtual_time.to_ms(effect.wait) / 2
            self.after(
                wait,
                lambda: self._deliver_unless_restarted(
                    node, incarnation, event
                ),
            )

        retry_delay = virtual_time.to_ms(
            getattr(effect, "delay", effects.NO_DELAY)
        )
        self.after(retry_delay + delay, apply_effect)

    def _hold_call_back(self, node: nodes.Node, effect: Any) -> None:
        """Delivers a call after a while; the agent may have given it up."""
        sent_ms = self.now_ms
        held_ms = self.random.uniform(*HELD_MS)
        if held_ms >= ANSWER_TIMEOUT_MS:
            self.after(
                held_ms,
                lambda: self._deliver_late_to_worker(node, effect, sent_ms),
            )
            failure = failure_events.build_failure_event(effect, True)
            self._schedule_event(node, ANSWER_TIMEOUT_MS, failure)
            return
        incarnation = node.incarnation

        def answer() -> None:
            if self._is_addressed(node, effect):
                event = self._deliver_to_worker(node, effect, sent_ms)
            else:
                event = failure_events.build_failure_event(effect, True)
            if node.cut_worker:
                event = failure_events.build_failure_event(effect, True)
            self._deliver_unless_restarted(node, incarnation, event)

        self.after(held_ms, answer)

    def _deliver_late_to_worker(
        self, node: nodes.Node, effect: Any, sent_ms: float
    ) -> None:
        if self._is_addressed(node, effect):
            self._deliver_to_worker(node, effect, sent_ms)

    def _is_addressed(self, node: nodes.Node, effect: Any) -> bool:
        """Tells whether a worker with the name that a call has is up.

        Any of its incarnations takes the call: they share the name.
        """
        worker = self.workers[node.name]
        is_named = worker.name == effect.worker.incarnation.name
        return is_named and worker.up_at_ms <= self.now_ms

    def _deliver_to_worker(
        self, node: nodes.Node, effect: Any, sent_ms: float | None = None
    ) -> Any:
        worker = self.workers[node.name]
        worker.advance(self.now_ms)
        now = self.read_clock()
        sent_at = (
            now if sent_ms is None else datetime.timedelta(milliseconds=sent_ms)
        )
        clock = events.WorkerClock(worker.read_clock(self.now_ms), sent_at, now)
        if isinstance(effect, effects.PollWorker):
            listed = list(worker.ends)
            result = worker.poll(effect, self.now_ms)
            self.oracle.check_discarded_ends(worker, listed, self.now_ms)
            return worker_calls.build_poll_answer(worker, effect, result, clock)
        if isinstance(effect, effects.StartRun):
            result = self._start(worker, effect, sent_ms)
        elif isinstance(effect, effects.StopRun):
            result = worker.stop(effect, self.now_ms)
        else:
            result = worker.throttle(effect, self.now_ms)
        return worker_calls.build_command_answer(effect, result, clock)

    def _start(
        self,
        worker: worker_fake.FakeWorker,
        effect: effects.StartRun,
        sent_ms: float | None,
    ) -> events.CommandResult:
        ref = effect.command.ref
        finish_ms = self.now_ms + self._draw_work_ms(ref.task)
        failed = self.random.random() < self.faults.failing
        end = runs.RunEnd.FAILED if failed else runs.RunEnd.DONE
        already_running = ref.task in worker.running
        result = worker.start(effect, self.now_ms, finish_ms, end)
        if result is events.CommandResult.DONE and not already_running:
            self.oracle.check_start(
                worker, effect.command, self.now_ms, sent_ms
            )
            if ref.task in self.deadly:
                self.after(
                    nodes.CRASH_DELAY_MS, lambda: self._crash_under(worker, ref)
                )
        return result

    def _crash_under(
        self, worker: worker_fake.FakeWorker, ref: runs.RunRef
    ) -> None:
        """Crashes a worker unless the deadly run is gone."""
        run = worker.running.get(ref.task)
        if run is None or run.ref != ref:
            return
        name = next(
            name for name, other in self.workers.items() if other is worker
        )
        starts = sum(
            started.task == ref.task for started in self.oracle.started
        )
        self.crashes.append(nodes.Crash(ref.task, name, self.now_ms, starts))
        worker.restart(self.now_ms, nodes.DOWN_MS)
        step = self.store.jobs[ref.task.job_id].steps[ref.task.step]
        if step.gang:
            self._break_gang(ref)
            # Starts that were under way leave runs without their gang.
            self.after(nodes.GANG_TIMEOUT_MS, lambda: self._break_gang(ref))

    def _break_gang(self, lost: runs.RunRef) -> None:
        for worker in self.workers.values():
            worker.break_gang(lost)

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        step = self.store.jobs[task.job_id].steps[task.step]
        if step.long_running:
            return worker_fake.LASTING_MS
        return self.random.uniform(300, 2500)
