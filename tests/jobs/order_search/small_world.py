"""A small deployment in virtual time that can be copied at any moment.

All that is scheduled is data: bound methods and their arguments. So the whole
deployment can be pickled, and an order of steps continued from the copy.
"""

import dataclasses
import datetime
import functools
import math
import random
from collections.abc import Callable
from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    runs,
    scheduler,
    scheduler_options,
    specs,
)
from tests.jobs import (
    job_specs,
    nodes,
    store_calls,
    store_fake,
    virtual_time,
    worker_calls,
    worker_fake,
)
from tests.jobs.order_search import rules

BEGIN_MS = 10_000_000_000.0
"""Far above any duration, so that a digest tells times from durations."""

WALL_OFFSET_MS = 1_700_000_000_000
UPTIME_MS = 3_000_000_000.0
"""Reading of the workers' clocks at the begin, far above any later one."""

LATENCY_MS = 1.0
ANSWER_TIMEOUT_MS = 1000.0
PEER_TIMEOUT_MS = 1300.0
FEED_MS = 1000.0
ENTRY_FEED_MS = 200.0
HEARTBEAT_MS = 1100.0
FIRST_HEARTBEAT_MS = 100.0
PROCESS_RESTART_MS = 100.0
MAX_CALL_DELAY_MS = 12_000.0
AGE_MS = 60_000.0
"""Time for which all processes have run when a search begins."""

WORK_MS = 15_000
JOB = specs.JobId("j")


class FixedRandom(random.Random):
    """A source without randomness, so that equal states go on equally."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _k: int, /) -> int:
        return 0

    def __reduce__(self) -> tuple[type, tuple[()]]:
        return (FixedRandom, ())


class Counter:
    """Unique numbers that can be pickled."""

    def __init__(self) -> None:
        self.last = 0

    def __next__(self) -> int:
        self.last += 1
        return self.last


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


@dataclasses.dataclass(frozen=True, slots=True)
class Trap:
    """The next call that is to be held: its type, and its sender if any."""

    kind: type
    node: str | None


class SmallWorld(virtual_time.VirtualTime):
    """Entries, and agents with a worker each, around one queue.

    Attributes:
        processes: Processes by name.
        workers: Workers by the name of their agent.
        store: The store.
        rules: Checks what the workers do.
        held: Calls under way, in the order in which they were sent.
        trap: The next call to hold or, for a report, to lose.
        waiting_polls: Polls that workers answer later, by name of the agent.
        reports: Sender, its incarnation, effect and time of reports under way.
        heartbeats: Number of the next heartbeat, by name of the agent.
        misdirected_starts: Number of held starts that another incarnation than
            the one that they were meant for has carried out.
        journal: Lines about what happened; None unless they are wanted.
    """

    def __init__(self, agents: int, entries: int, tasks: int) -> None:
        super().__init__()
        self.now_ms = BEGIN_MS
        self.numbers = Counter()  # type: ignore[assignment]
        self.processes: dict[str, nodes.Node] = {}
        self.workers: dict[str, worker_fake.FakeWorker] = {}
        self.store = store_fake.FakeStore()
        self.rules = rules.Rules(self.workers, self.store)
        self.held: list[HeldCall] = []
        self.trap: Trap | None = None
        self.waiting_polls: dict[str, list[WaitingPoll]] = {}
        self.reports: dict[
            str, tuple[str, int, effects.SendReport, datetime.timedelta]
        ] = {}
        self.heartbeats: dict[str, int] = {}
        self.misdirected_starts = 0
        self.journal: list[str] | None = None
        for number in range(entries):
            self._add_process(f"entry-{number}", number)
            self.run(5000)
        for number in range(agents):
            name = f"agent-{number}"
            worker = worker_fake.FakeWorker(
                f"w-{number}", WALL_OFFSET_MS + int(BEGIN_MS), rate=0.98
            )
            worker.up_at_ms = BEGIN_MS - UPTIME_MS / worker.rate
            self.workers[name] = worker
            self.waiting_polls[name] = []
            self._add_process(name, 100 + number)
            self._send_heartbeat(name)
        self.run(AGE_MS)
        self._submit(tasks)

    def _submit(self, tasks: int) -> None:
        cpu_millis = 8000 if tasks > 1 else 1000
        step = specs.StepSpec(tasks, cpu_millis, 100, estimate_ms=WORK_MS)
        spec = job_specs.build_job_of(JOB, (step,))
        wait = datetime.timedelta(seconds=3)
        submitted = events.SubmitArrived(ids.TicketId("s"), spec, wait)
        self.deliver("entry-0", submitted)

    # Processes.

    def _add_process(self, name: str, number: int) -> None:
        address = members.Address("10.0.0.1", 1000 + number)
        self.processes[name] = nodes.Node(name, address, None)
        self._start_process(name)

    def _start_process(self, name: str) -> None:
        node = self.processes[name]
        node.alive = True
        node.incarnation += 1
        node.timers.clear()
        endpoint = messages.Endpoint(node.address.host, node.address.port)
        incarnation = ids.Incarnation(WALL_OFFSET_MS + int(self.now_ms))
        if name.startswith("entry"):
            node.state = scheduler.SchedulerState(
                scheduler_options.SchedulerOptions(name, incarnation, endpoint),
                policy_sets.build_scheduler_policies(),
                rng=FixedRandom(),
            )
            self.deliver(name, events.SchedulerStarted())
        else:
            node.state = executor.ExecutorState(
                executor.ExecutorOptions(
                    ids.InstanceId(name), incarnation, endpoint
                ),
                policy_sets.build_executor_policies(),
            )
            self.deliver(name, events.ExecutorStarted())

    def restart_process(self, name: str) -> None:
        self.kill_process(name)
        self.after(
            PROCESS_RESTART_MS, functools.partial(self._start_process, name)
        )

    def kill_process(self, name: str) -> None:
        node = self.processes[name]
        node.alive = False
        node.incarnation += 1

    def find_holder(self) -> str | None:
        """Returns the name of the entry that holds the queue, if any."""
        for name, node in self.processes.items():
            is_entry = isinstance(node.state, scheduler.SchedulerState)
            if is_entry and node.alive and node.state.holder_state is not None:
                return name
        return None

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
            self.journal.append(line)

    # Effects.

    def _perform(self, name: str, effect: base_effects.Effect) -> None:
        performers: dict[type, Callable[[str, Any], None]] = {
            base_effects.SetTimer: self._set_timer,
            effects.Log: self._log,
            effects.ReplyReport: self._reply_report,
            effects.SendReport: self._send_report,
            effects.PushDirectives: self._push,
            effects.PollWorker: self._call_worker,
            effects.StartRun: self._call_worker,
            effects.StopRun: self._call_worker,
            effects.ThrottleRun: self._call_worker,
        }
        if isinstance(
            effect,
            effects.AnswerQuery
            | effects.MeasureWait
            | effects.SampleWaits
            | effects.MeasureNearWait
            | base_effects.Stopped,
        ):
            return
        performers.get(type(effect), self._call_store)(name, effect)

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

    # The store.

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
            delay + LATENCY_MS,
            functools.partial(self.reach_store, name, incarnation, effect),
        )

    def reach_store(self, name: str, incarnation: int, effect: Any) -> None:
        node = self.processes[name]
        if node.incarnation != incarnation:
            return
        if node.cut_store:
            self._fail(name, ANSWER_TIMEOUT_MS, effect)
            return
        self._answer(name, LATENCY_MS, self._use_store(effect))

    def _use_store(self, effect: Any) -> Any:
        wall_ms = WALL_OFFSET_MS + int(self.now_ms)
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
                    store_calls.storage.EntryChanges(entries, version)
                )
        return store_calls.apply(self.store, effect, wall_ms)

    # Calls between processes.

    def _find_process(self, address: members.Address) -> str:
        return next(
            name
            for name, node in self.processes.items()
            if node.address == address
        )

    def _is_reachable(self, sender: str, receiver: str) -> bool:
        node, target = self.processes[sender], self.processes[receiver]
        return target.alive and not node.cut and not target.cut

    def _send_report(self, name: str, effect: effects.SendReport) -> None:
        target = self._find_process(effect.address)
        if self._is_trapped(name, effect):
            self.note(f"{name}: its report is lost")
            self._fail(name, PEER_TIMEOUT_MS, effect)
            return
        if not self._is_reachable(name, target):
            self._fail(name, PEER_TIMEOUT_MS, effect)
            return
        ticket = f"{name}/{effect.report.sequence % 2}"
        incarnation = self.processes[name].incarnation
        sent_at = self.read_clock()
        self.reports[ticket] = (name, incarnation, effect, sent_at)
        self.after(
            LATENCY_MS,
            functools.partial(self.report, ticket, target, effect.report),
        )
        self.after(
            PEER_TIMEOUT_MS, functools.partial(self.give_up, ticket, sent_at)
        )

    def report(self, ticket: str, target: str, report: messages.Report) -> None:
        arrived = events.ReportArrived(
            ids.TicketId(ticket), report, self.read_clock()
        )
        self.deliver(target, arrived)

    def _reply_report(self, _name: str, effect: effects.ReplyReport) -> None:
        waiting = self.reports.pop(effect.owner, None)
        if waiting is None:
            return
        name, incarnation, sent, sent_at = waiting
        answer = events.ReportAnswered(
            sent.address, sent.report.sequence, sent_at, effect.directives
        )
        self.after(
            LATENCY_MS,
            functools.partial(
                self.deliver_unless_restarted, name, incarnation, answer
            ),
        )

    def give_up(self, ticket: str, sent_at: datetime.timedelta) -> None:
        waiting = self.reports.get(ticket)
        if waiting is None or waiting[3] != sent_at:
            return
        del self.reports[ticket]
        name, incarnation, sent, _ = waiting
        failure = failure_events.build_failure_event(sent, started=True)
        self.deliver_unless_restarted(name, incarnation, failure)

    def _push(self, name: str, effect: effects.PushDirectives) -> None:
        target = self._find_process(effect.address)
        if not self._is_reachable(name, target):
            self._fail(name, PEER_TIMEOUT_MS, effect)
            return
        arrived = events.DirectivesArrived(effect.directives)
        self.after(LATENCY_MS, functools.partial(self.deliver, target, arrived))
        pushed = events.DirectivesPushed(effect.instance, True)
        self._answer(name, 2 * LATENCY_MS, pushed)

    # Calls to workers.

    def _is_trapped(self, name: str, effect: Any) -> bool:
        """Tells whether this is the call to hold, which disarms the trap."""
        trap = self.trap
        if trap is None or not isinstance(effect, trap.kind):
            return False
        if trap.node not in (None, name):
            return False
        self.trap = None
        return True

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
            self._fail(name, ANSWER_TIMEOUT_MS, effect)
            return
        if self._is_trapped(name, effect):
            self.held.append(HeldCall(name, effect, self.now_ms))
            self.note(f"{name}: {describe_call(effect)} is held")
            self._fail(name, ANSWER_TIMEOUT_MS, effect)
            return
        self.after(
            LATENCY_MS,
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
            LATENCY_MS,
            functools.partial(
                self.deliver_unless_restarted, name, incarnation, answer
            ),
        )

    def _read_worker_clock(
        self, name: str, sent_at: datetime.timedelta
    ) -> events.WorkerClock:
        reading = self.workers[name].read_clock(self.now_ms)
        received_at = self.read_clock() + datetime.timedelta(
            milliseconds=LATENCY_MS
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
        delay_ms = LATENCY_MS
        if self.processes[poll.node].cut_worker:
            event = failure_events.build_failure_event(poll.effect, True)
            delay_ms = ANSWER_TIMEOUT_MS
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

    # Workers.

    def _send_heartbeat(self, name: str) -> None:
        if not self.processes[name].cut_worker:
            heartbeat = events.HeartbeatReceived(self.workers[name].describe())
            self.after(
                LATENCY_MS, functools.partial(self.deliver, name, heartbeat)
            )
        number = next(self.numbers)
        self.heartbeats[name] = number
        self.after(HEARTBEAT_MS, functools.partial(self.beat, name, number))

    def beat(self, name: str, number: int) -> None:
        if self.heartbeats[name] == number:
            self._send_heartbeat(name)

    def restart_worker(self, name: str, heartbeat_ms: float) -> None:
        """Begins the next incarnation, whose first heartbeat is sent later."""
        self.workers[name].restart(self.now_ms, 0)
        for poll in self.waiting_polls[name]:
            # The connection ends with the incarnation.
            failure = failure_events.build_failure_event(poll.effect, True)
            self.after(
                LATENCY_MS,
                functools.partial(
                    self.deliver_unless_restarted,
                    name,
                    poll.incarnation,
                    failure,
                ),
            )
        self.waiting_polls[name].clear()
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
