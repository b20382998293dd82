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
    membership,
    options,
    policies,
    requests,
    resources,
    rows,
    states,
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


class MessageKind(enum.StrEnum):
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


class Mending(enum.Enum):
    """What an operator or the platform puts right; in this order."""

    TABLE = 0
    LINKS = 1
    PAUSES = 2
    ENTRIES = 3
    AGENTS = 4
    INSTANCES = 5


class MessageFault(enum.StrEnum):
    """What goes wrong with one trip."""

    LOST = "lost"
    """It never arrives; its sender learns that, but not where it broke."""

    UNSENT = "unsent"
    """No byte of it leaves, and its sender knows."""

    ANSWER_LOST = "answer-lost"
    DELAYED = "delayed"
    TIMED_OUT = "late"
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
    timer_numbers: dict[timers.Timer, int] = dataclasses.field(
        default_factory=dict
    )
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
        effect: What the sender decided.
        arrive: What it does where it arrives.
        settled: Whether the sender has its event.
        begun: Whether it arrived or can no longer arrive.
        mute: Whether its answer will be lost.
        turn: Number of the valid arrival; a delayed trip gets another.
    """

    kind: MessageKind
    caller: Process
    life: int
    effect: effects.Effect
    arrive: Callable[["Trip"], None]
    settled: bool = False
    begun: bool = False
    mute: bool = False
    turn: int = 0

    def lose(self, sent: bool) -> events.Event | None:
        """Returns the sender's event of a loss."""
        build = _LOSSES.get(type(self.effect))
        return None if build is None else build(self.effect, sent)


class DemandInterference(policies.InterferencePolicy):
    """Throttles and evicts when the test says so."""

    def __init__(self) -> None:
        self.throttling = False
        self.pending_evictions = 0

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
        wanted = self.throttling or self.pending_evictions
        return frozenset(item[0] for item in running if wanted)

    def choose_evicted(
        self, throttled: object, now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Returns the first task for each demanded eviction."""
        if not self.pending_evictions or not throttled:
            return None
        self.pending_evictions -= 1
        return throttled[0][0]


class RandomPlacement(policies.PlacementPolicy):
    """Places anywhere with room, so that no check rests on the policy."""

    def choose(
        self,
        need: resources.Resources,
        candidates: object,
        source: random.Random,
    ) -> membership.Member | None:
        """Returns a random candidate with room."""
        fitting = [
            item for item in candidates if need.fits_in(item.count_free())
        ]
        return source.choice(fitting) if fitting else None


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
            routing.PowerOfTwoChoices(),
            retries.BudgetedRetries(),
            RandomPlacement(),
        ),
        random.Random(number * 1000 + life),
    )


def build_agent(
    number: int, life: int, policy: policies.InterferencePolicy
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
        self.planned_faults: list[
            tuple[MessageKind, MessageFault, datetime.timedelta]
        ] = []
        self.flying: dict[Trip, None] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.broken = False
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
        self.deliver(process, events.EntryStarted())

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
        self.deliver(process, events.AgentStarted())
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
            self._guard(run)
        self.now = end

    def _guard(self, run: Callable[[], None]) -> None:
        """Notes a failed check, after which the world makes no sense."""
        try:
            run()
        except BaseException:
            self.broken = True
            raise

    # Processes.

    def deliver(self, process: Process, event: events.Event) -> None:
        """Gives an event to a process, or keeps it while it is paused."""
        if not process.alive:
            return
        if process.paused:
            process.inbox.append(event)
            return
        self._guard(lambda: self._reduce(process, event))

    def _reduce(self, process: Process, event: events.Event) -> None:
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
        process.timer_numbers.clear()
        for trip in process.open.values():
            self._settle_later(trip, trip.lose(True))
        process.open.clear()
        for trip in list(self.flying):
            if trip.caller is process and trip.kind is MessageKind.UPSTREAM:
                del self.flying[trip]
                trip.begun = True
        self.oracle.see_death(process.name)

    def restart_entry(self, process: Process) -> None:
        """Starts an entry again under a higher incarnation."""
        number = self.entries.index(process)
        self._revive(process, build_entry(number, process.life + 1))
        self.deliver(process, events.EntryStarted())

    def restart_agent(self, instance: Instance) -> None:
        """Starts an agent again; its worker and upstream went on."""
        process = instance.agent
        number = int(process.name[1:])
        state = build_agent(number, process.life + 1, instance.policy)
        self._revive(process, state)
        self.deliver(process, events.AgentStarted())

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
                self.deliver(process, event)

        self.at(delay, run)

    def _set_timer(self, process: Process, effect: effects.SetTimer) -> None:
        number = next(self._numbers)
        process.timer_numbers[effect.timer] = number

        def run() -> None:
            if process.timer_numbers.get(effect.timer) == number:
                del process.timer_numbers[effect.timer]
                self.deliver(process, events.TimerFired(effect.timer))

        self.at(max(effect.delay, LATENCY), run)

    # Trips.

    def travel(
        self,
        kind: MessageKind,
        caller: Process,
        effect: effects.Effect,
        arrive: Callable[[Trip], None],
        limit: datetime.timedelta,
    ) -> None:
        """Sends a trip under the next scripted mishap of its kind."""
        trip = Trip(kind, caller, caller.life, effect, arrive)
        self.flying[trip] = None
        self.at(limit, lambda: self._settle(trip, trip.lose(True)))
        self._arrive_later(trip, LATENCY)
        script = next(
            (item for item in self.planned_faults if item[0] is kind), None
        )
        if script is not None:
            self.planned_faults.remove(script)
            self.disturb(trip, script[1], script[2])

    def disturb(
        self, trip: Trip, mishap: MessageFault, delay: datetime.timedelta
    ) -> None:
        """Lets something happen to a trip that has not arrived."""
        if mishap in (
            MessageFault.LOST,
            MessageFault.UNSENT,
            MessageFault.TIMED_OUT,
        ):
            self._settle_later(
                trip, trip.lose(mishap is not MessageFault.UNSENT)
            )
        if mishap in (MessageFault.LOST, MessageFault.UNSENT):
            trip.turn = next(self._numbers)
            trip.begun = True
            del self.flying[trip]
        elif mishap in (MessageFault.DELAYED, MessageFault.TIMED_OUT):
            self._arrive_later(trip, delay)
        elif mishap is MessageFault.ANSWER_LOST:
            trip.mute = True
        elif trip.kind is MessageKind.ANNOUNCE:
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
            self.deliver(trip.caller, event)

    def _settle_later(self, trip: Trip, event: events.Event | None) -> None:
        self.at(LATENCY, lambda: self._settle(trip, event))

    def _answer(self, trip: Trip, event: events.Event) -> None:
        chosen = trip.lose(True) if trip.mute else event
        self._settle_later(trip, chosen)

    def _reply(self, process: Process, effect: effects.Effect) -> None:
        """Answers whoever called; a ticket of an operator goes out."""
        trip = process.open.pop(effect.owner, None)
        if trip is None:
            if isinstance(effect, effects.AnswerTicket):
                self.oracle.see_ticket(process.name, effect)
        elif self._is_cut(trip.caller, process):
            self._settle_later(trip, trip.lose(True))
        else:
            answer = _ANSWERS[type(trip.effect)]
            self._answer(trip, answer(trip.effect, effect))

    def _is_cut(self, one: Process, other: Process) -> bool:
        return bool(
            {(one.name, other.name), (other.name, one.name)} & self.cut_links
        )

    def _call_peer(self, caller: Process, effect: effects.Effect) -> None:
        kind, request = _REQUESTS[type(effect)]
        target = self.processes[effect.address]

        def arrive(trip: Trip) -> None:
            if self._is_cut(caller, target):
                self._settle_later(trip, trip.lose(True))
            elif not target.alive:
                # A refused connection: no byte was sent.
                self._settle_later(trip, trip.lose(False))
            else:
                ticket = ids.TicketId(f"t{next(self._numbers)}")
                event = request(effect, ticket)
                if isinstance(event, events.DispatchArrived):
                    ticket = _name_attempt(event.dispatch)
                target.open[ticket] = trip
                self.deliver(target, event)

        limit = PEER_LIMIT
        if isinstance(effect, effects.SendDispatch):
            limit = effect.dispatch.remaining + SECOND / 2
        self.travel(kind, caller, effect, arrive, limit)

    def _read_peer(
        self, caller: Process, effect: effects.ReadPeerConfig
    ) -> None:
        target = self.processes[effect.address]

        def arrive(trip: Trip) -> None:
            found = target.state.configuration if target.alive else None
            self._answer(trip, events.PeerConfigRead(found))

        self.travel(MessageKind.PUSH, caller, effect, arrive, PEER_LIMIT)

    def _commit(self, caller: Process, effect: effects.Commit) -> None:
        transaction = effect.transaction
        key = transaction.writes[0].key

        def arrive(trip: Trip) -> None:
            before = self.store.versions.get(key)
            answer = store.commit(self.store, transaction)
            if self.store.versions.get(key) != before:
                self.oracle.see_commit(transaction)
            event = events.CommitAnswered(transaction.operation, answer)
            self._answer(trip, event)

        self.travel(MessageKind.COMMIT, caller, effect, arrive, LOCAL_LIMIT)

    def _read(self, caller: Process, effect: effects.ReadRows) -> None:
        wanted = store.ReadRows(effect.prefix, effect.after, 10**6)

        def arrive(trip: Trip) -> None:
            answer = store.apply(self.store, wanted)
            refused = answer.delivery is store.Delivery.REFUSED
            found = None if refused else answer.found_rows
            self._answer(trip, events.RowsRead(effect.purpose, found))

        self.travel(MessageKind.READ, caller, effect, arrive, LOCAL_LIMIT)

    def _answer_call(
        self, process: Process, effect: effects.AnswerCall
    ) -> None:
        self.oracle.see_answer(effect.owner, effect.result)

    def _announce(self, caller: Process, effect: effects.Announce) -> None:
        event = events.AnnouncementReceived(effect.announcement)
        for target in self.entries:

            def arrive(trip: Trip, target: Process = target) -> None:
                if not self._is_cut(caller, target):
                    self.deliver(target, event)

            self.travel(
                MessageKind.ANNOUNCE, caller, effect, arrive, 3600 * SECOND
            )

    # Instances.

    def _find_instance(self, process: Process) -> Instance:
        return next(item for item in self.instances if item.agent is process)

    def _call_upstream(
        self, caller: Process, effect: effects.CallUpstream
    ) -> None:
        instance = self._find_instance(caller)
        key = effect.owner
        headers = (
            *effect.payload.headers,
            (upstream.REQUEST_HEADER, key.request_id),
            (upstream.ATTEMPT_HEADER, str(key.attempt)),
        )
        payload = dataclasses.replace(effect.payload, headers=headers)

        def arrive(trip: Trip) -> None:
            if trip.settled:
                return  # The agent has closed the connection.
            if not instance.upstream_alive:
                self._settle_later(trip, trip.lose(False))
                return
            life = instance.upstream_life
            plan = upstream.begin_request(instance.upstream, payload, LATENCY)
            self.oracle.see_run(caller.name, instance.upstream, key)
            if plan.break_point is not upstream.BreakPoint.NONE:
                self._settle_later(trip, trip.lose(True))

            def finish() -> None:
                if instance.upstream_life != life:
                    self._settle(trip, trip.lose(True))
                    return
                upstream.finish_request(instance.upstream, plan)
                self._answer(trip, events.UpstreamAnswered(key, plan.answer))

            self.at(plan.delay, finish)

        self.travel(
            MessageKind.UPSTREAM, caller, effect, arrive, effect.timeout
        )

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
        waiting = any(
            isinstance(item, events.UpstreamReported) for item in process.inbox
        )
        if instance.upstream_alive and not waiting:
            address = members.Address("10.0.0.3", 1)
            report = upstream.build_report(instance.upstream, address)
            self.deliver(process, events.UpstreamReported(report))

    def _command(self, caller: Process, effect: effects.CommandWorker) -> None:
        instance = self._find_instance(caller)
        life = instance.worker_life

        def arrive(trip: Trip) -> None:
            # A restart of the worker breaks its connections.
            if instance.worker_life != life:
                self._settle_later(trip, trip.lose(True))
                return
            before = len(instance.worker.runs)
            clock = self.now + caller.offset
            reply = worker.apply(instance.worker, clock, effect)
            self.oracle.see_commanded(instance.worker, effect)
            if len(instance.worker.runs) > before:
                self.oracle.see_start(caller.name, effect.start)
            if reply is not None:
                done = reply.result is worker.CommandResult.DONE
                event = events.WorkerAnswered(
                    effect.task_id,
                    effect.epoch,
                    effect.action,
                    done,
                    reply.checkpoint,
                )
                self._answer(trip, event)

        self.travel(MessageKind.COMMAND, caller, effect, arrive, LOCAL_LIMIT)

    def _list(self, caller: Process, effect: effects.ReadWorker) -> None:
        instance = self._find_instance(caller)

        def arrive(trip: Trip) -> None:
            clock = self.now + caller.offset
            report = worker.list_tasks(instance.worker, clock)
            if report is not None:
                event = events.WorkerReported(report, effect.sent_at)
                self._answer(trip, event)

        self.travel(MessageKind.LISTING, caller, effect, arrive, LOCAL_LIMIT)

    def restart_worker(self, instance: Instance) -> None:
        """Ends and forgets everything on a worker."""
        name, offset = instance.agent.name, instance.agent.offset
        self.oracle.see_worker_end(instance.worker, self.now + offset)
        instance.worker = worker.Worker(CAPACITY, fault=instance.worker.fault)
        instance.worker_life += 1
        self.oracle.see_worker(name, instance.worker, offset)

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
            self.deliver(process, events.InstanceRetired(name))

    def drain(self, instance: Instance) -> None:
        """Passes an operator's drain to the agent."""
        self.deliver(instance.agent, events.DrainRequested())

    def _stop(self, process: Process, effect: effects.Stopped) -> None:
        self.at(LATENCY, lambda: self.kill(process))

    def _ignore(self, process: Process, effect: effects.LogMessage) -> None:
        """Notes go to the log only."""

    # Repairs.

    def mend(self, mending: Mending) -> None:
        """Puts one kind of failure right; drained agents are replaced."""
        match mending:
            case Mending.TABLE:
                self.planned_faults.clear()
                store.set_fault(self.store, store.SetFault(store.Fault.NONE))
            case Mending.LINKS:
                self.cut_links.clear()
            case Mending.PAUSES:
                for process in self.processes.values():
                    self.resume(process)
            case Mending.ENTRIES:
                for process in self.entries:
                    if not process.alive or process.state.stopping:
                        self.kill(process)
                        self.restart_entry(process)
            case Mending.AGENTS:
                for instance in self.instances:
                    process = instance.agent
                    if not process.alive or process.state.draining:
                        self.kill(process)
                        self.restart_agent(instance)
            case Mending.INSTANCES:
                for instance in self.instances:
                    instance.worker.fault = worker.Fault.NONE
                    instance.upstream_alive = True
                    instance.upstream.draining = False
                    instance.policy.throttling = False
                    instance.policy.pending_evictions = 0

    def list_unfinished(self) -> list[object]:
        """Returns the work and the processes that are not up to date."""
        seen = self.oracle
        return [
            *(seen.sent[key] for key in seen.homes if key not in seen.results),
            *(
                key
                for key in seen.ticket_homes
                if seen.ticket_answers[key] is None
            ),
            *(
                row
                for row in seen.tasks.values()
                if row.state not in states.FINAL_TASK_STATES
            ),
            *(
                process.name
                for process in self.processes.values()
                if process.alive
                and process.state.configuration.version != len(seen.changes)
            ),
        ]


def _name_attempt(sent: requests.Dispatch) -> requests.AttemptKey:
    return requests.AttemptKey(sent.request_id, sent.attempt)


_REQUESTS: dict[type, tuple[MessageKind, Callable[..., events.Event]]] = {
    effects.SendDispatch: (
        MessageKind.DISPATCH,
        lambda sent, _: events.DispatchArrived(sent.dispatch),
    ),
    effects.SendCancel: (
        MessageKind.CANCEL,
        lambda sent, ticket: events.CancelArrived(ticket, sent.cancel),
    ),
    effects.SendStarts: (
        MessageKind.STARTS,
        lambda sent, ticket: events.StartsArrived(ticket, sent.starts),
    ),
    effects.SendSync: (
        MessageKind.SYNC,
        lambda sent, ticket: events.SyncArrived(ticket, sent.sync),
    ),
    effects.PushConfig: (
        MessageKind.PUSH,
        lambda sent, ticket: events.ConfigPushed(ticket, sent.configuration),
    ),
    effects.PushChanges: (
        MessageKind.PUSH,
        lambda sent, ticket: events.ChangesPushed(ticket, sent.changes),
    ),
    effects.ForwardSubmission: (
        MessageKind.FORWARD,
        lambda sent, ticket: events.SubmissionArrived(
            ticket, sent.submission, forwarded=True
        ),
    ),
    effects.ForwardCancel: (
        MessageKind.FORWARD,
        lambda sent, ticket: events.TaskCancelArrived(
            ticket, sent.organisation, sent.task_id, forwarded=True
        ),
    ),
}


def _answer_forward(
    sent: effects.ForwardSubmission | effects.ForwardCancel,
    made: effects.AnswerTicket,
) -> events.Event:
    return events.ForwardAnswered(
        sent.owner, made.result, made.detail, made.task_id
    )


_ANSWERS: dict[type, Callable[..., events.Event]] = {
    effects.SendDispatch: lambda sent, made: events.DispatchAnswered(
        sent.dispatch.request_id, sent.dispatch.attempt, made.reply
    ),
    effects.SendCancel: lambda sent, made: events.CancelAnswered(
        sent.owner, sent.cancel, made.reply
    ),
    effects.SendStarts: lambda sent, made: events.StartsAnswered(
        sent.instance, sent.starts, made.accepted
    ),
    effects.SendSync: lambda sent, made: events.SyncAnswered(
        sent.instance, sent.sync, made.reply
    ),
    effects.PushConfig: lambda sent, made: events.ConfigPushAnswered(
        sent.instance, made.version
    ),
    effects.PushChanges: lambda sent, made: events.ConfigPushAnswered(
        sent.instance, made.version
    ),
    effects.ForwardSubmission: _answer_forward,
    effects.ForwardCancel: _answer_forward,
}

_UNKNOWN = rows.CommitAnswer(states.CommitResult.UNKNOWN)
_UNAVAILABLE = rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
_LOSSES: dict[type, Callable[..., events.Event]] = {
    effects.SendDispatch: lambda sent, begun: events.DispatchFailed(
        sent.dispatch.request_id, sent.dispatch.attempt, begun
    ),
    effects.SendCancel: lambda sent, _: events.CancelAnswered(
        sent.owner, sent.cancel, None
    ),
    effects.SendStarts: lambda sent, _: events.StartsAnswered(
        sent.instance, sent.starts, None
    ),
    effects.SendSync: lambda sent, _: events.SyncAnswered(
        sent.instance, sent.sync, None
    ),
    effects.PushConfig: lambda sent, _: events.ConfigPushAnswered(
        sent.instance, None
    ),
    effects.PushChanges: lambda sent, _: events.ConfigPushAnswered(
        sent.instance, None
    ),
    effects.ReadPeerConfig: lambda sent, _: events.PeerConfigRead(None),
    effects.ForwardSubmission: lambda sent, _: events.ForwardAnswered(
        sent.owner, None
    ),
    effects.ForwardCancel: lambda sent, _: events.ForwardAnswered(
        sent.owner, None
    ),
    effects.Commit: lambda sent, begun: events.CommitAnswered(
        sent.transaction.operation, _UNKNOWN if begun else _UNAVAILABLE
    ),
    effects.ReadRows: lambda sent, _: events.RowsRead(sent.purpose, None),
    effects.CallUpstream: lambda sent, begun: events.UpstreamCallFailed(
        sent.owner, begun, states.Reason.UPSTREAM_FAILED
    ),
    effects.CommandWorker: lambda sent, _: events.WorkerAnswered(
        sent.task_id, sent.epoch, sent.action, None
    ),
    effects.ReadWorker: lambda sent, _: events.WorkerReported(
        None, sent.sent_at
    ),
}
_PERFORM: dict[type, Callable[..., None]] = {
    **dict.fromkeys(_REQUESTS, World._call_peer),
    effects.SetTimer: World._set_timer,
    effects.AnswerCall: World._answer_call,
    effects.Commit: World._commit,
    effects.ReadRows: World._read,
    effects.ReadPeerConfig: World._read_peer,
    effects.CallUpstream: World._call_upstream,
    effects.AnswerTicket: World._reply,
    effects.ReplyDispatch: World._reply,
    effects.ReplyCancel: World._reply,
    effects.ReplyStarts: World._reply,
    effects.ReplySync: World._reply,
    effects.ReplyConfig: World._reply,
    effects.CommandWorker: World._command,
    effects.ReadWorker: World._list,
    effects.Announce: World._announce,
    effects.Stopped: World._stop,
    effects.LogMessage: World._ignore,
}
