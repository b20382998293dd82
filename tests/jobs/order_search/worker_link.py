"""Calls of the agents of a small deployment to their workers."""

import dataclasses
import datetime
import functools
import math
from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.model.jobs import (
    effects,
    events,
    runs,
)
from tests.jobs import (
    virtual_time,
    worker_calls,
    worker_fake,
)
from tests.jobs.order_search import processes, rules, store_link

UPTIME_MS = 3_000_000_000.0
"""Reading of the workers' clocks at the begin, far above any later one."""

CLOCK_RATE = 0.98
HEARTBEAT_MS = 1100.0
FIRST_HEARTBEAT_MS = 100.0
MAX_CALL_DELAY_MS = 12_000.0

DOWN_UNTIL_MS = 10 * processes.BEGIN_MS
"""When a lost worker is up again, unless a step brings it back before."""


@dataclasses.dataclass(slots=True)
class WaitingPoll:
    """A poll that a worker has taken and answers when a run ends."""

    number: int
    node: str
    incarnation: int
    effect: effects.PollWorker
    result: events.CommandResult
    sent_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCall:
    """A call that got no answer and may still be carried out."""

    node: str
    effect: Any
    sent_ms: float


class WorkerLink(store_link.StoreLink):
    """Processes that reach their workers.

    Attributes:
        workers: Workers by the name of their agent.
        rules: Checks what the workers do.
        held: Calls under way, in the order in which they were sent.
        waiting_polls: Polls that workers answer later, by name of the agent.
        heartbeats: Number of the next heartbeat, by name of the agent.
        misdirected_starts: Number of held starts that another incarnation than
            the one that they were meant for has carried out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.workers: dict[str, worker_fake.FakeWorker] = {}
        self.rules = rules.Rules(self.workers, self.store)
        self.held: list[HeldCall] = []
        self.waiting_polls: dict[str, list[WaitingPoll]] = {}
        self.heartbeats: dict[str, int] = {}
        self.misdirected_starts = 0

    def _add_worker(self, name: str, number: int) -> None:
        worker = worker_fake.FakeWorker(
            f"w-{number}",
            processes.WALL_OFFSET_MS + int(processes.BEGIN_MS),
            rate=CLOCK_RATE,
        )
        worker.up_at_ms = processes.BEGIN_MS - UPTIME_MS / worker.rate
        self.workers[name] = worker
        self.waiting_polls[name] = []

    def _call_worker(self, name: str, effect: Any) -> None:
        delay = virtual_time.to_ms(getattr(effect, "delay", effects.NO_DELAY))
        incarnation = self.processes[name].incarnation
        self.after(
            delay, functools.partial(self.send_call, name, incarnation, effect)
        )

    def send_call(self, name: str, incarnation: int, effect: Any) -> None:
        node = self.processes[name]
        if node.incarnation != incarnation:
            return
        if node.cut_worker:
            self._fail(name, processes.ANSWER_TIMEOUT_MS, effect)
            return
        if self._is_trapped(name, effect):
            self.held.append(HeldCall(name, effect, self.now_ms))
            self.note(f"{name}: {describe_call(effect)} is held")
            self._fail(name, processes.ANSWER_TIMEOUT_MS, effect)
            return
        self.after(
            processes.LATENCY_MS,
            functools.partial(
                self.reach_worker, name, incarnation, effect, self.read_clock()
            ),
        )

    def reach_worker(
        self,
        name: str,
        incarnation: int,
        effect: Any,
        sent_at: datetime.timedelta,
    ) -> None:
        """Lets the worker take a call, and answer it to this process."""
        worker = self.workers[name]
        if not self.is_up(name):
            failure = failure_events.build_failure_event(effect, True)
            self.after(
                processes.ANSWER_TIMEOUT_MS,
                functools.partial(
                    self.deliver_unless_restarted, name, incarnation, failure
                ),
            )
            return
        result = self.carry_out(name, effect)
        if isinstance(effect, effects.PollWorker):
            number = next(self.numbers)
            poll = WaitingPoll(
                number, name, incarnation, effect, result, sent_at
            )
            self.waiting_polls[name].append(poll)
            is_at_once = worker.ends or result is not events.CommandResult.DONE
            wait = 0.0 if is_at_once else virtual_time.to_ms(effect.wait)
            self.after(wait, functools.partial(self.end_poll, name, number))
            return
        answer = worker_calls.build_command_answer(
            effect, result, self._read_worker_clock(name, sent_at)
        )
        self.after(
            processes.LATENCY_MS,
            functools.partial(
                self.deliver_unless_restarted, name, incarnation, answer
            ),
        )

    def is_up(self, name: str) -> bool:
        """Tells whether the worker of an agent is up, cut off or not."""
        return self.workers[name].up_at_ms <= self.now_ms

    def _list_workers(self, name: str, effect: effects.ListWorkers) -> None:
        incarnation = self.processes[name].incarnation
        self.after(
            processes.LATENCY_MS,
            functools.partial(self.read_list, name, incarnation, effect),
        )

    def read_list(
        self, name: str, incarnation: int, effect: effects.ListWorkers
    ) -> None:
        """Answers with the workers that are up; those cut off are listed."""
        node = self.processes[name]
        if node.incarnation != incarnation:
            return
        if node.cut_store:
            self._fail(name, processes.ANSWER_TIMEOUT_MS, effect)
            return
        up = frozenset(
            runs.WorkerName(worker.name)
            for agent, worker in self.workers.items()
            if self.is_up(agent)
        )
        listed = events.WorkersListed(effect.term, effect.asked_at, up)
        self._answer(name, processes.LATENCY_MS, listed)

    def _read_worker_clock(
        self, name: str, sent_at: datetime.timedelta
    ) -> events.WorkerClock:
        reading = self.workers[name].read_clock(self.now_ms)
        received_at = self.read_clock() + datetime.timedelta(
            milliseconds=processes.LATENCY_MS
        )
        return events.WorkerClock(reading, sent_at, received_at)

    def end_poll(self, name: str, number: int) -> None:
        """Answers a waiting poll, unless that was done before."""
        for poll in self.waiting_polls[name]:
            if poll.number == number:
                self.waiting_polls[name].remove(poll)
                self._answer_poll(poll)
                return

    def _answer_poll(self, poll: WaitingPoll) -> None:
        worker = self.workers[poll.node]
        worker.advance(self.now_ms)
        answer = worker_calls.build_poll_answer(
            worker,
            poll.effect,
            poll.result,
            self._read_worker_clock(poll.node, poll.sent_at),
        )
        event: Any = answer
        delay_ms = processes.LATENCY_MS
        if self.processes[poll.node].cut_worker:
            event = failure_events.build_failure_event(poll.effect, True)
            delay_ms = processes.ANSWER_TIMEOUT_MS
        self.after(
            delay_ms,
            functools.partial(
                self.deliver_unless_restarted,
                poll.node,
                poll.incarnation,
                event,
            ),
        )

    def carry_out_held(self, index: int) -> None:
        """Lets the worker that is up take a call that is under way."""
        call = self.held.pop(index)
        result = self.carry_out(call.node, call.effect)
        is_start = isinstance(call.effect, effects.StartRun)
        meant_for = call.effect.worker.incarnation.started_ms
        is_other = meant_for != self.workers[call.node].started_ms
        if is_start and is_other and result is events.CommandResult.DONE:
            self.misdirected_starts += 1

    def carry_out(self, name: str, effect: Any) -> events.CommandResult:
        """Lets the worker that is up take a call now."""
        worker = self.workers[name]
        worker.advance(self.now_ms)
        match effect:
            case effects.PollWorker():
                before = list(worker.ends)
                result = worker.poll(effect, self.now_ms)
                self.rules.check_discarded(worker, before)
                return result
            case effects.StartRun():
                return self._start(worker, effect)
            case effects.StopRun():
                return worker.stop(effect, self.now_ms)
        return worker.throttle(effect, self.now_ms)

    def _start(
        self, worker: worker_fake.FakeWorker, effect: effects.StartRun
    ) -> events.CommandResult:
        ref = effect.command.ref
        known = worker.running.get(ref.task)
        result = worker.start(effect, self.now_ms, math.inf, runs.RunEnd.DONE)
        self.note(
            f"{worker.name}: start of {describe_run(ref)}: {result.value}"
        )
        is_known = known is not None and known.ref == ref
        if result is events.CommandResult.DONE and not is_known:
            self.rules.check_start(worker, ref, self.now_ms)
        return result

    def _send_heartbeat(self, name: str) -> None:
        if not self.processes[name].cut_worker:
            heartbeat = events.HeartbeatReceived(self.workers[name].describe())
            self.after(
                processes.LATENCY_MS,
                functools.partial(self.deliver, name, heartbeat),
            )
        number = next(self.numbers)
        self.heartbeats[name] = number
        self.after(HEARTBEAT_MS, functools.partial(self.beat, name, number))

    def beat(self, name: str, number: int) -> None:
        if self.heartbeats[name] == number:
            self._send_heartbeat(name)

    def restart_worker(self, name: str, heartbeat_ms: float) -> None:
        """Begins the next incarnation, whose first heartbeat is sent later."""
        self.lose_worker(name)
        self.bring_back_worker(name, heartbeat_ms)

    def lose_worker(self, name: str) -> None:
        """Ends an incarnation; the next one is not up before it is brought."""
        self.workers[name].restart(self.now_ms, DOWN_UNTIL_MS - self.now_ms)
        for poll in self.waiting_polls[name]:
            # The connection ends with the incarnation.
            failure = failure_events.build_failure_event(poll.effect, True)
            self.after(
                processes.LATENCY_MS,
                functools.partial(
                    self.deliver_unless_restarted,
                    name,
                    poll.incarnation,
                    failure,
                ),
            )
        self.waiting_polls[name].clear()
        self.heartbeats[name] = next(self.numbers)

    def bring_back_worker(self, name: str, heartbeat_ms: float) -> None:
        """Brings up the next incarnation of a lost worker."""
        self.workers[name].up_at_ms = self.now_ms
        number = next(self.numbers)
        self.heartbeats[name] = number
        self.after(heartbeat_ms, functools.partial(self.beat, name, number))

    def end_run(self, name: str, task: runs.TaskRef, end: runs.RunEnd) -> None:
        """Lets a run finish; the worker answers its waiting polls."""
        worker = self.workers[name]
        worker.end_run(worker.running[task], end)
        for poll in list(self.waiting_polls[name]):
            self.end_poll(name, poll.number)

    def drop_expired_calls(self) -> None:
        """Drops the held calls that are no longer carried out."""
        self.held = [
            call
            for call in self.held
            if self.now_ms - call.sent_ms <= MAX_CALL_DELAY_MS
        ]


def describe_run(ref: runs.RunRef) -> str:
    return f"task {ref.task.index} run {ref.run}"


def describe_call(effect: Any) -> str:
    """Returns what a call to a worker asks for."""
    match effect:
        case effects.StartRun():
            return f"start of {describe_run(effect.command.ref)}"
        case effects.StopRun():
            return f"stop of {describe_run(effect.ref)}"
        case effects.PollWorker():
            return f"poll, acknowledging {effect.acknowledged}"
    return type(effect).__name__
