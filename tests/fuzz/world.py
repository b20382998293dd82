"""An in-memory deployment in virtual time: every message is a trip.

The world runs entries and agents as bare reducer states. Their effects travel
as trips that can be lost, delayed or duplicated where the transport could do
so. Nothing here judges; the oracle is told what the fakes see.
"""

import dataclasses
import datetime
import enum
import heapq
import itertools
import random
from collections.abc import Callable, Hashable

import oracle

from gypsumhold.decisions import (
    fairness,
    placement,
    reducer,
    retries,
    routing,
)
from gypsumhold.model import (
    agent,
    declarations,
    effects,
    entry,
    events,
    ids,
    members,
    options,
    policies,
    requests,
    resources,
    rows,
    states,
    tasks,
    timers,
)
from gypsumhold_standin import store, upstream, worker

LATENCY = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
PEER_LIMIT = 5 * SECOND
LOCAL_LIMIT = 2 * SECOND
MAX_DEADLINE = 10 * SECOND
SLOTS = 2
CAPACITY = resources.Resources(1000, 1000, 1)
RESERVED = resources.Resources(300, 300, 0)
DECLARED = resources.Resources(300, 300, 0)
ASK = ids.KindName("ask")
PAY = ids.KindName("pay")
BATCH = ids.KindName("batch")
ONCE = ids.KindName("once")
# The two names fall into different partitions of two.
ORGANISATIONS = (ids.OrganisationId("alpha"), ids.OrganisationId("bravo"))


class Kind(enum.StrEnum):
    """What a trip carries."""

    DISPATCH = "dispatch"
    CANCEL = "cancel"
    STARTS = "starts"
    SYNC = "sync"
    FORWARD = "forward"
    PUSH = "push"
    COMMIT = "commit"
    READ = "read"
    UPSTREAM = "upstream"
    COMMAND = "command"
    LISTING = "listing"
    ANNOUNCE = "announce"


class Mishap(enum.StrEnum):
    """What goes wrong with one trip."""

    LOST = "lost"
    """It never arrives; its sender learns that, but not where it broke."""

    UNSENT = "unsent"
    """No byte of it leaves, and its sender knows."""

    ANSWER_LOST = "answer-lost"
    DELAYED = "delayed"
    LATE = "late"
    """Its sender gives up at once; it arrives after a delay all the same."""

    DUPLICATED = "duplicated"


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """One entry or agent; `life` counts its starts."""

    name: str
    address: members.Address
    offset: datetime.timedelta
    state: reducer.State
    life: int = 1
    alive: bool = True
    paused: bool = False
    inbox: list[events.Event] = dataclasses.field(default_factory=list)
    due: dict[timers.Timer, int] = dataclasses.field(default_factory=dict)
    open: dict[Hashable, "Trip"] = dataclasses.field(default_factory=dict)
    tape: list[tuple[datetime.timedelta, events.Event, effects.Effects]] = (
        dataclasses.field(default_factory=list)
    )


@dataclasses.dataclass(slots=True, eq=False)
class Trip:
    """One message with its answer.

    Attributes:
        kind: What it carries.
        caller: Sender; only the life that sent it gets the answer.
        life: Life of the sender.
        arrive: What it does where it arrives.
        lose: Builds the sender's event of a loss; the flag is `sent`.
        answer: Builds the sender's event of an answer.
        settled: Whether the sender has its event.
        begun: Whether it arrived or can no longer arrive.
        mute: Whether its answer will be lost.
        turn: Number of the valid arrival; a delayed trip gets another.
    """

    kind: Kind
    caller: Process
    life: int
    arrive: Callable[["Trip"], None]
    lose: Callable[[bool], events.Event | None]
    answer: Callable[..., events.Event] | None = None
    settled: bool = False
    begun: bool = False
    mute: bool = False
    turn: int = 0


class DemandInterference(policies.Interference):
    """Throttles and evicts when the test says so."""

    def __init__(self) -> None:
        self.throttling = False
        self.evictions = 0

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: object,
    ) -> None:
        """Learns nothing."""

    def choose_throttled(
        self, running: object, now: datetime.timedelta
    ) -> frozenset[ids.TaskId]:
        """Returns all tasks while throttling is on."""
        wanted = self.throttling or self.evictions
        return frozenset(item[0] for item in running if wanted)

    def choose_evicted(
        self, throttled: object, now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Returns the first task for each demanded eviction."""
        if not self.evictions or not throttled:
            return None
        self.evictions -= 1
        return throttled[0][0]


@dataclasses.dataclass(slots=True, eq=False)
class Instance:
    """One machine: agent, worker, upstream and a clock that never stops."""

    agent: Process
    worker: worker.Worker
    upstream: upstream.Upstream
    policy: DemandInterference
    worker_life: int = 1
    upstream_life: int = 1
    upstream_alive: bool = True
    gone: bool = False


def build_entry(number: int, life: int) -> entry.EntryState:
    """Returns the state of a fresh entry."""
    return entry.EntryState(
        options.EntryOptions(
            entry=ids.EntryId(f"e{number}"),
            incarnation=ids.Incarnation(life),
            address=members.Address("10.0.0.1", 100 + number),
            data_centre=ids.DataCentre(f"dc{number}"),
            region=ids.Region("r"),
            partitions=2,
            max_deadline=MAX_DEADLINE,
            forget_after=20 * SECOND,
        ),
        policies.EntryPolicies(
            routing.TwoChoices(),
            retries.BudgetedRetries(),
            placement.LeastLoaded(),
        ),
        random.Random(number * 1000 + life),
    )


def build_agent(
    number: int, life: int, policy: policies.Interference
) -> agent.AgentState:
    """Returns the state of a fresh agent."""
    return agent.AgentState(
        options.AgentOptions(
            instance=ids.InstanceId(f"a{number}"),
            incarnation=ids.Incarnation(life),
            address=members.Address("10.0.0.2", 200 + number),
            data_centre=ids.DataCentre(f"dc{number % 2}"),
            region=ids.Region("r"),
            rack=ids.Rack("k"),
            max_deadline=MAX_DEADLINE,
        ),
        policies.AgentPolicies(fairness.FirstComeFirstServed(), policy),
    )


def build_organisation(
    name: ids.OrganisationId, weight: int
) -> declarations.Organisation:
    """Returns an organisation that may use every kind."""
    kinds = {
        kind: declarations.KindParameters() for kind in (ASK, PAY, BATCH, ONCE)
    }
    quota = resources.Resources(1500, 1500, 4)
    return declarations.Organisation(name, weight, quota, 16, kinds)


def _build_templates() -> tuple[declarations.Template, ...]:
    request, task = states.WorkForm.REQUEST, states.WorkForm.TASK
    urgent, batch = states.WorkClass.URGENT, states.WorkClass.BATCH
    lease = 30 * SECOND
    return (
        declarations.Template(ASK, request, urgent, True, 8 * SECOND),
        declarations.Template(PAY, request, urgent, False, 8 * SECOND),
        declarations.Template(
            BATCH, task, batch, True, SECOND, DECLARED, lease, 2
        ),
        declarations.Template(
            ONCE, task, batch, False, SECOND, DECLARED, lease, 2
        ),
    )


class World:
    """Entries, instances and the table, driven by virtual time."""

    def __init__(self, entries: int = 2, instances: int = 3) -> None:
        self.now = datetime.timedelta(0)
        self.store = store.Store()
        self.oracle = oracle.Oracle()
        self.scripts: list[tuple[Kind, Mishap, datetime.timedelta]] = []
        self.flying: dict[Trip, None] = {}
        self.cut: set[tuple[str, str]] = set()
        self.entries: list[Process] = []
        self.instances: list[Instance] = []
        self.processes: dict[members.Address, Process] = {}
        self._heap: list[
            tuple[datetime.timedelta, int, Callable[[], None]]
        ] = []
        self._numbers = itertools.count(1)
        self._names = itertools.count()
        self._write_first_configuration()
        for number in range(entries):
            self._add_entry(number)
        for _ in range(instances):
            self.add_instance()

    # Set-up.

    def _write_first_configuration(self) -> None:
        change = declarations.Change(
            ids.ConfigVersion(1),
            templates=_build_templates(),
            organisations=tuple(
                build_organisation(name, 1) for name in ORGANISATIONS
            ),
            author="set-up",
        )
        values: list[tuple[ids.RowKey, rows.RowValue]] = [
            (rows.HEAD_KEY, rows.HeadRow(change.version)),
            (rows.name_change_row(change.version), rows.ChangeRow(change)),
        ]
        for template in change.templates:
            key = rows.name_object_row(template)
            values.append((key, rows.TemplateRow(template)))
        for organisation in change.organisations:
            key = rows.name_object_row(organisation)
            values.append((key, rows.OrganisationRow(organisation)))
        writes = tuple(rows.Write(key, value) for key, value in values)
        transaction = rows.Transaction(ids.OperationId("set-up"), (), writes)
        store.commit(self.store, transaction)
        self.oracle.see_commit(transaction)

    def _add_entry(self, number: int) -> None:
        state = build_entry(number, 1)
        offset = (number + 1) * 1000 * SECOND
        process = Process(f"e{number}", state.options.address, offset, state)
        self.entries.append(process)
        self.processes[process.address] = process
        self.feed(process, events.EntryStarted())

    def add_instance(self) -> None:
        """Adds an instance under a new name."""
        number = next(self._names)
        policy = DemandInterference()
        state = build_agent(number, 1, policy)
        offset = (number + 1) * 77 * SECOND
        process = Process(f"a{number}", state.options.address, offset, state)
        served = upstream.Options(
            frozenset({ASK, PAY}), SLOTS, SLOTS, reserved=RESERVED, seed=number
        )
        instance = Instance(
            process,
            worker.Worker(CAPACITY),
            upstream.build_upstream(served),
            policy,
        )
        self.instances.append(instance)
        self.processes[process.address] = process
        self.oracle.see_worker(process.name, instance.worker, offset)
        self.feed(process, events.AgentStarted())
        self._report_upstream(instance)

    # Time.

    def at(self, delay: datetime.timedelta, run: Callable[[], None]) -> None:
        """Runs something after a delay."""
        item = (self.now + delay, next(self._numbers), run)
        heapq.heappush(self._heap, item)

    def advance(self, delay: datetime.timedelta) -> None:
        """Lets time pass with everything that is due."""
        end = self.now + delay
        while self._heap and self._heap[0][0] <= end:
            self.now, _, run = heapq.heappop(self._heap)
            run()
        self.now = end

    # Processes.

    def feed(self, process: Process, event: events.Event) -> None:
        """Gives an event to a process, or keeps it while it is paused."""
        if not process.alive:
            return
        if process.paused:
            process.inbox.append(event)
            return
        now = self.now + process.offset
        self.oracle.see_event(process.name, event)
        made = reducer.reduce(process.state, event, now)
        process.tape.append((now, event, made))
        self.oracle.see_state(process.name, process.life, process.state)
        for effect in made:
            _PERFORM[type(effect)](self, process, effect)

    def kill(self, process: Process) -> None:
        """Ends a process; calls into it break, its timers are gone."""
        process.alive = False
        process.paused = False
        process.inbox.clear()
        process.due.clear()
        for trip in process.open.values():
            self._settle_later(trip, trip.lose(True))
        process.open.clear()
        for trip in list(self.flying):
            if trip.caller is process and trip.kind is Kind.UPSTREAM:
                del self.flying[trip]
                trip.begun = True
        self.oracle.see_death(process.name)

    def revive_entry(self, process: Process) -> None:
        """Starts an entry again under a higher incarnation."""
        number = self.entries.index(process)
        self._revive(process, build_entry(number, process.life + 1))
        self.feed(process, events.EntryStarted())

    def revive_agent(self, instance: Instance) -> None:
        """Starts an agent again; its worker and upstream went on."""
        process = instance.agent
        number = int(process.name[1:])
        state = build_agent(number, process.life + 1, instance.policy)
        self._revive(process, state)
        self.feed(process, events.AgentStarted())

    def _revive(self, process: Process, state: reducer.State) -> None:
        process.state = state
        process.life += 1
        process.alive = True
        process.tape = []

    def resume(self, process: Process) -> None:
        """Ends a pause; the queued events follow one another."""
        process.paused = False
        waiting, process.inbox = process.inbox, []
        for number, event in enumerate(waiting):
            self._feed_later(process, event, LATENCY * number)

    def _feed_later(
        self, process: Process, event: events.Event, delay: datetime.timedelta
    ) -> None:
        life = process.life

        def run() -> None:
            if process.life == life:
                self.feed(process, event)

        self.at(delay, run)

    def _set_timer(self, process: Process, effect: effects.SetTimer) -> None:
        number = next(self._numbers)
        process.due[effect.timer] = number

        def run() -> None:
            if process.due.get(effect.timer) == number:
                del process.due[effect.timer]
                self.feed(process, events.TimerFired(effect.timer))

        self.at(max(effect.delay, LATENCY), run)

    # Trips.

    def travel(self, trip: Trip, limit: datetime.timedelta) -> None:
        """Sends a trip under the next scripted mishap of its kind."""
        script = next(
            (item for item in self.scripts if item[0] is trip.kind), None
        )
        self.flying[trip] = None
        self.at(limit, lambda: self._settle(trip, trip.lose(True)))
        self._arrive_later(trip, LATENCY)
        if script is not None:
            self.scripts.remove(script)
            self.disturb(trip, script[1], script[2])

    def disturb(
        self, trip: Trip, mishap: Mishap, delay: datetime.timedelta
    ) -> None:
        """Lets something happen to a trip that has not arrived."""
        if mishap in (Mishap.LOST, Mishap.UNSENT, Mishap.LATE):
            self._settle_later(trip, trip.lose(mishap is not Mishap.UNSENT))
        if mishap in (Mishap.LOST, Mishap.UNSENT):
            trip.turn = next(self._numbers)
            trip.begun = True
            del self.flying[trip]
        elif mishap in (Mishap.DELAYED, Mishap.LATE):
            self._arrive_later(trip, delay)
        elif mishap is Mishap.ANSWER_LOST:
            trip.mute = True
        elif trip.kind is Kind.ANNOUNCE:
            self.at(delay, lambda: trip.arrive(trip))

    def _arrive_later(self, trip: Trip, delay: datetime.timedelta) -> None:
        trip.turn = turn = next(self._numbers)

        def run() -> None:
            if trip.turn == turn and not trip.begun:
                trip.begun = True
                del self.flying[trip]
                trip.arrive(trip)

        self.at(delay, run)

    def _settle(self, trip: Trip, event: events.Event | None) -> None:
        if trip.settled:
            return
        trip.settled = True
        if event is not None and trip.caller.life == trip.life:
            self.feed(trip.caller, event)

    def _settle_later(self, trip: Trip, event: events.Event | None) -> None:
        self.at(LATENCY, lambda: self._settle(trip, event))

    def _answer(self, trip: Trip, event: events.Event) -> None:
        chosen = trip.lose(True) if trip.mute else event
        self._settle_later(trip, chosen)

    def _reply(self, process: Process, owner: Hashable, *found: object) -> None:
        trip = process.open.pop(owner, None)
        if trip is None:
            return
        assert trip.answer is not None
        if self._is_cut(trip.caller, process):
            self._settle_later(trip, trip.lose(True))
        else:
            self._answer(trip, trip.answer(*found))

    def _is_cut(self, one: Process, other: Process) -> bool:
        return bool({(one.name, other.name), (other.name, one.name)} & self.cut)

    def _call_peer(
        self,
        kind: Kind,
        caller: Process,
        address: members.Address,
        request: Callable[[ids.TicketId], tuple[Hashable, events.Event]],
        lose: Callable[[bool], events.Event],
        answer: Callable[..., events.Event],
        limit: datetime.timedelta = PEER_LIMIT,
    ) -> None:
        target = self.processes[address]

        def arrive(trip: Trip) -> None:
            if self._is_cut(caller, target):
                self._settle_later(trip, trip.lose(True))
                return
            if not target.alive:
                # A refused connection: no byte was sent.
                self._settle_later(trip, trip.lose(False))
                return
            ticket = ids.TicketId(f"t{next(self._numbers)}")
            owner, event = request(ticket)
            target.open[owner] = trip
            self.feed(target, event)

        trip = Trip(kind, caller, caller.life, arrive, lose, answer)
        self.travel(trip, limit)

    # Effects of an entry.

    def _dispatch(self, caller: Process, effect: effects.SendDispatch) -> None:
        sent = effect.dispatch
        key = requests.AttemptKey(sent.request_id, sent.attempt)

        self._call_peer(
            Kind.DISPATCH,
            caller,
            effect.address,
            lambda _: (key, events.DispatchArrived(sent)),
            lambda was: events.DispatchLost(sent.request_id, sent.attempt, was),
            lambda reply: events.DispatchAnswered(
                sent.request_id, sent.attempt, reply
            ),
            sent.remaining + SECOND / 2,
        )

    def _cancel(self, caller: Process, effect: effects.SendCancel) -> None:
        def answer(reply: requests.CancelReply | None) -> events.Event:
            return events.CancelAnswered(effect.owner, effect.cancel, reply)

        self._call_peer(
            Kind.CANCEL,
            caller,
            effect.address,
            lambda ticket: (
                ticket,
                events.CancelArrived(ticket, effect.cancel),
            ),
            lambda _: answer(None),
            answer,
        )

    def _commit(self, caller: Process, effect: effects.Commit) -> None:
        transaction = effect.transaction
        operation = transaction.operation

        def arrive(trip: Trip) -> None:
            key = transaction.writes[0].key
            before = self.store.versions.get(key)
            answer = store.commit(self.store, transaction)
            if self.store.versions.get(key) != before:
                self.oracle.see_commit(transaction)
            self._answer(trip, events.CommitAnswered(operation, answer))

        def lose(sent: bool) -> events.Event:
            result = states.CommitResult
            answer = rows.CommitAnswer(
                result.UNKNOWN if sent else result.UNAVAILABLE
            )
            return events.CommitAnswered(operation, answer)

        trip = Trip(Kind.COMMIT, caller, caller.life, arrive, lose)
        self.travel(trip, LOCAL_LIMIT)

    def _read(self, caller: Process, effect: effects.ReadRows) -> None:
        wanted = store.ReadRows(effect.prefix, effect.after, 10**6)

        def arrive(trip: Trip) -> None:
            answer = store.apply(self.store, wanted)
            refused = answer.delivery is store.Delivery.REFUSED
            found = None if refused else answer.found
            self._answer(trip, events.RowsRead(effect.purpose, found))

        def lose(_: bool) -> events.Event:
            return events.RowsRead(effect.purpose, None)

        trip = Trip(Kind.READ, caller, caller.life, arrive, lose)
        self.travel(trip, LOCAL_LIMIT)

    def _answer_ticket(
        self, process: Process, effect: effects.AnswerTicket
    ) -> None:
        if effect.owner in process.open:
            found = (effect.result, effect.detail, effect.task_id)
            self._reply(process, effect.owner, *found)
        else:
            self.oracle.see_ticket(process.name, effect)

    def _forward(
        self,
        caller: Process,
        effect: effects.ForwardSubmission | effects.ForwardCancel,
    ) -> None:
        def request(ticket: ids.TicketId) -> tuple[Hashable, events.Event]:
            if isinstance(effect, effects.ForwardSubmission):
                return ticket, events.SubmissionArrived(
                    ticket, effect.submission, forwarded=True
                )
            return ticket, events.TaskCancelArrived(
                ticket, effect.organisation, effect.task_id, forwarded=True
            )

        self._call_peer(
            Kind.FORWARD,
            caller,
            effect.address,
            request,
            lambda _: events.ForwardAnswered(effect.owner, None),
            lambda result, detail, task_id: events.ForwardAnswered(
                effect.owner, result, detail, task_id
            ),
        )

    def _send_starts(self, caller: Process, effect: effects.SendStarts) -> None:
        def answer(accepted: tuple[bool, ...] | None) -> events.Event:
            return events.StartsAnswered(
                effect.instance, effect.starts, accepted
            )

        self._call_peer(
            Kind.STARTS,
            caller,
            effect.address,
            lambda ticket: (
                ticket,
                events.StartsArrived(ticket, effect.starts),
            ),
            lambda _: answer(None),
            answer,
        )

    def _send_sync(self, caller: Process, effect: effects.SendSync) -> None:
        def answer(reply: tasks.SyncReply | None) -> events.Event:
            return events.SyncAnswered(effect.instance, effect.sync, reply)

        self._call_peer(
            Kind.SYNC,
            caller,
            effect.address,
            lambda ticket: (ticket, events.SyncArrived(ticket, effect.sync)),
            lambda _: answer(None),
            answer,
        )

    def _push(self, caller: Process, effect: effects.PushConfig) -> None:
        def answer(version: ids.ConfigVersion | None) -> events.Event:
            return events.ConfigPushAnswered(effect.instance, version)

        self._call_peer(
            Kind.PUSH,
            caller,
            effect.address,
            lambda ticket: (
                ticket,
                events.ConfigPushed(ticket, effect.configuration),
            ),
            lambda _: answer(None),
            answer,
        )

    def _push_changes(
        self, caller: Process, effect: effects.PushChanges
    ) -> None:
        def answer(version: ids.ConfigVersion | None) -> events.Event:
            return events.ConfigPushAnswered(effect.instance, version)

        self._call_peer(
            Kind.PUSH,
            caller,
            effect.address,
            lambda ticket: (
                ticket,
                events.ChangesPushed(ticket, effect.changes),
            ),
            lambda _: answer(None),
            answer,
        )

    def _read_peer(
        self, caller: Process, effect: effects.ReadPeerConfig
    ) -> None:
        target = self.processes[effect.address]

        def arrive(trip: Trip) -> None:
            found = target.state.configuration if target.alive else None
            self._answer(trip, events.PeerConfigRead(found))

        trip = Trip(
            Kind.PUSH,
            caller,
            caller.life,
            arrive,
            lambda _: events.PeerConfigRead(None),
        )
        self.travel(trip, PEER_LIMIT)

    def _answer_call(
        self, process: Process, effect: effects.AnswerCall
    ) -> None:
        self.oracle.see_answer(effect.owner, effect.result)

    # Effects of an agent.

    def _find_instance(self, process: Process) -> Instance:
        return next(item for item in self.instances if item.agent is process)

    def _call_upstream(
        self, caller: Process, effect: effects.CallUpstream
    ) -> None:
        instance = self._find_instance(caller)
        key = effect.owner
        failed = states.Reason.UPSTREAM_FAILED

        def arrive(trip: Trip) -> None:
            if trip.settled:
                return  # The agent has closed the connection.
            if not instance.upstream_alive:
                self._settle_later(trip, trip.lose(False))
                return
            payload = effect.payload
            headers = (
                *payload.headers,
                (upstream.REQUEST_HEADER, key.request_id),
                (upstream.ATTEMPT_HEADER, str(key.attempt)),
            )
            payload = dataclasses.replace(payload, headers=headers)
            plan = upstream.begin(
                instance.upstream, payload, datetime.timedelta(0)
            )
            self.oracle.see_run(caller.name, instance.upstream, key)
            life = instance.upstream_life
            if plan.breaks is not upstream.Break.NONE:
                self._settle_later(trip, trip.lose(True))

            def finish() -> None:
                if instance.upstream_life != life:
                    self._settle(trip, trip.lose(True))
                    return
                upstream.finish(instance.upstream)
                answer = events.UpstreamAnswered(key, plan.answer)
                self._answer(trip, answer)

            self.at(plan.delay, finish)

        def lose(sent: bool) -> events.Event:
            return events.UpstreamLost(key, sent, failed)

        trip = Trip(Kind.UPSTREAM, caller, caller.life, arrive, lose)
        self.travel(trip, effect.timeout)

    def restart_upstream(self, instance: Instance) -> None:
        """Breaks all calls of an upstream; it starts again idle."""
        instance.upstream_life += 1
        instance.upstream.busy = 0

    def _report_upstream(self, instance: Instance) -> None:
        """Reports each second, but not before the former report arrived."""
        if instance.gone:
            return
        process = instance.agent
        self.at(SECOND, lambda: self._report_upstream(instance))
        if not instance.upstream_alive or not process.alive:
            return
        if process.paused and any(
            isinstance(item, events.UpstreamReported) for item in process.inbox
        ):
            return
        report = upstream.build_report(
            instance.upstream, members.Address("10.0.0.3", 1)
        )
        self.feed(process, events.UpstreamReported(report))

    def _command(self, caller: Process, effect: effects.CommandWorker) -> None:
        instance = self._find_instance(caller)
        life = instance.worker_life

        def answer(accepted: bool | None, found: object = None) -> events.Event:
            return events.WorkerAnswered(
                effect.task_id, effect.epoch, effect.action, accepted, found
            )

        def arrive(trip: Trip) -> None:
            # A restart of the worker breaks its connections.
            if instance.gone or instance.worker_life != life:
                self._settle_later(trip, trip.lose(True))
                return
            before = len(instance.worker.runs)
            clock = self.now + caller.offset
            reply = worker.apply(instance.worker, clock, effect)
            if len(instance.worker.runs) > before:
                assert effect.start is not None
                self.oracle.see_start(caller.name, effect.start)
            if reply is not None:
                done = reply.verdict is worker.Verdict.DONE
                self._answer(trip, answer(done, reply.checkpoint))

        trip = Trip(
            Kind.COMMAND, caller, caller.life, arrive, lambda _: answer(None)
        )
        self.travel(trip, LOCAL_LIMIT)

    def _list(self, caller: Process, effect: effects.ReadWorker) -> None:
        instance = self._find_instance(caller)

        def answer(report: tasks.WorkerReport | None) -> events.Event:
            return events.WorkerReported(report, effect.sent_at)

        def arrive(trip: Trip) -> None:
            clock = self.now + caller.offset
            report = worker.list_tasks(instance.worker, clock)
            if report is not None:
                self._answer(trip, answer(report))

        trip = Trip(
            Kind.LISTING, caller, caller.life, arrive, lambda _: answer(None)
        )
        self.travel(trip, LOCAL_LIMIT)

    def restart_worker(self, instance: Instance) -> None:
        """Ends and forgets everything on a worker."""
        clock = self.now + instance.agent.offset
        fresh = worker.Worker(CAPACITY, fault=instance.worker.fault)
        self.oracle.see_worker_end(instance.worker, clock)
        instance.worker = fresh
        instance.worker_life += 1
        name, offset = instance.agent.name, instance.agent.offset
        self.oracle.see_worker(name, fresh, offset)

    def retire(self, instance: Instance) -> None:
        """Takes an instance away for good and tells every entry."""
        instance.gone = True
        self.kill(instance.agent)
        self.restart_worker(instance)
        self.restart_upstream(instance)
        instance.upstream_alive = False
        self.instances.remove(instance)
        name = ids.InstanceId(instance.agent.name)
        for process in self.entries:
            self.feed(process, events.InstanceRetired(name))

    def drain(self, instance: Instance) -> None:
        """Passes an operator's drain to the agent."""
        self.feed(instance.agent, events.DrainRequested())

    def heal(self) -> None:
        """Mends everything; drained agents are replaced."""
        self.scripts.clear()
        self.cut.clear()
        store.set_fault(self.store, store.SetFault(store.Fault.NONE))
        for process in self.entries:
            if process.paused:
                self.resume(process)
        self.advance(SECOND)
        for process in self.entries:
            if not process.alive or process.state.stopping:
                self.kill(process)
                self.revive_entry(process)
        for instance in self.instances:
            self._heal_instance(instance)

    def _heal_instance(self, instance: Instance) -> None:
        process = instance.agent
        if process.paused:
            self.resume(process)
            self.advance(SECOND)
        if not process.alive or process.state.draining:
            self.kill(process)
            self.revive_agent(instance)
        instance.worker.fault = worker.Fault.NONE
        instance.upstream_alive = True
        instance.upstream.draining = False
        instance.policy.throttling = False
        instance.policy.evictions = 0

    def list_unfinished(self) -> list[object]:
        """Returns the work and the processes that are not up to date."""
        seen = self.oracle
        left: list[object] = [
            seen.sent[key] for key in seen.homes if key not in seen.results
        ]
        left += [key for key in seen.ticket_homes if seen.tickets[key] is None]
        left += [
            row
            for row in seen.tasks.values()
            if row.state not in states.FINAL_TASK_STATES
        ]
        left += [
            process.name
            for process in self.processes.values()
            if process.alive
            and process.state.configuration.version != len(seen.changes)
        ]
        return left

    def _announce(self, caller: Process, effect: effects.Announce) -> None:
        event = events.AnnouncementReceived(effect.announcement)
        for target in self.entries:

            def arrive(trip: Trip, target: Process = target) -> None:
                if not self._is_cut(caller, target):
                    self.feed(target, event)

            trip = Trip(
                Kind.ANNOUNCE, caller, caller.life, arrive, lambda _: None
            )
            self.travel(trip, 3600 * SECOND)

    def _reply_starts(
        self, process: Process, effect: effects.ReplyStarts
    ) -> None:
        self._reply(process, effect.owner, effect.accepted)

    def _reply_other(
        self,
        process: Process,
        effect: effects.ReplyDispatch | effects.ReplyCancel | effects.ReplySync,
    ) -> None:
        self._reply(process, effect.owner, effect.reply)

    def _reply_config(
        self, process: Process, effect: effects.ReplyConfig
    ) -> None:
        self._reply(process, effect.owner, effect.version)

    def _stop(self, process: Process, effect: effects.Stopped) -> None:
        self.at(LATENCY, lambda: self.kill(process))

    def _ignore(self, process: Process, effect: effects.Note) -> None:
        """Notes go to the log only."""


_PERFORM: dict[type, Callable[..., None]] = {
    effects.SetTimer: World._set_timer,
    effects.AnswerCall: World._answer_call,
    effects.SendDispatch: World._dispatch,
    effects.SendCancel: World._cancel,
    effects.Commit: World._commit,
    effects.ReadRows: World._read,
    effects.AnswerTicket: World._answer_ticket,
    effects.ForwardSubmission: World._forward,
    effects.ForwardCancel: World._forward,
    effects.SendStarts: World._send_starts,
    effects.SendSync: World._send_sync,
    effects.PushConfig: World._push,
    effects.PushChanges: World._push_changes,
    effects.ReadPeerConfig: World._read_peer,
    effects.CallUpstream: World._call_upstream,
    effects.ReplyDispatch: World._reply_other,
    effects.ReplyCancel: World._reply_other,
    effects.ReplyStarts: World._reply_starts,
    effects.ReplySync: World._reply_other,
    effects.ReplyConfig: World._reply_config,
    effects.CommandWorker: World._command,
    effects.ReadWorker: World._list,
    effects.Announce: World._announce,
    effects.Stopped: World._stop,
    effects.Note: World._ignore,
}
