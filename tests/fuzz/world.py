"""Simulates entries, agents, workers, upstreams and the table in virtual time.

Entries and agents are bare reducer states. Their effects become messages, which
tests may lose or delay, and duplicate if they are datagrams. The module checks
nothing itself: it reports the events and effects to the oracle, which does.
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
# Timeout of calls between entries and agents, except dispatches.
PEER_TIMEOUT = 5 * SECOND
# Timeout of calls to the table and to the worker.
LOCAL_TIMEOUT = 2 * SECOND
MAX_DEADLINE = 10 * SECOND
SLOTS = 2
CAPACITY = resources.Resources(1000, 1000, 1)
RESERVED = resources.Resources(300, 300, 0)
DECLARED = resources.Resources(300, 300, 0)
# Kinds of requests (ASK, PAY) and tasks (BATCH, ONCE); only ASK and BATCH are
# repeatable.
ASK = ids.KindName("ask")
PAY = ids.KindName("pay")
BATCH = ids.KindName("batch")
ONCE = ids.KindName("once")
# The names are in different partitions, of which there are two.
ORGANISATIONS = (ids.OrganisationId("alpha"), ids.OrganisationId("bravo"))


class MessageKind(enum.StrEnum):
    """Content of a message.

    COMMIT and READ go to the table, UPSTREAM to an upstream, COMMAND and
    LISTING to a worker; the others go to an entry or agent.
    """

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


class Repair(enum.Enum):
    """Repair by an operator or the platform; a full repair keeps this order."""

    TABLE = 0
    LINKS = 1
    PAUSES = 2
    ENTRIES = 3
    AGENTS = 4
    INSTANCES = 5


class MessageFault(enum.StrEnum):
    """Fault that affects one message."""

    LOST = "lost"
    """It does not arrive; its sender cannot exclude that it did."""

    UNSENT = "unsent"
    """No byte of it is sent, as its sender knows."""

    ANSWER_LOST = "answer-lost"
    """It arrives, but its sender sees a failed call."""

    DELAYED = "delayed"
    """It arrives after a delay."""

    TIMED_OUT = "late"
    """Its call fails at once, but it still arrives after a delay."""

    DUPLICATED = "duplicated"
    """It arrives a second time after a delay; affects announcements only."""


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """One entry or agent.

    Attributes:
        name: Name of the entry or of the agent's instance.
        address: Address at which the process takes calls.
        clock_offset: Time by which its clock is ahead of the virtual time.
        state: State of the reducer.
        incarnation: Number of its starts.
        alive: Whether the process runs.
        paused: Whether the process is paused.
        inbox: Events that wait until the pause ends.
        timer_numbers: Number of the latest setting of each timer that is set.
        pending_replies: Arrived messages that the process has not answered, by
            the ticket or attempt that its reply names.
        transitions: Instant, event and effects of each call of the reducer
            since the latest start, for replay.
    """

    name: str
    address: members.Address
    clock_offset: datetime.timedelta
    state: reducer.State
    incarnation: int = 1
    alive: bool = True
    paused: bool = False
    inbox: list[events.Event] = dataclasses.field(default_factory=list)
    timer_numbers: dict[timers.Timer, int] = dataclasses.field(
        default_factory=dict
    )
    pending_replies: dict[Hashable, "Message"] = dataclasses.field(
        default_factory=dict
    )
    transitions: list[
        tuple[datetime.timedelta, events.Event, effects.Effects]
    ] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class Message:
    """A message from a process, and the call that it belongs to.

    Attributes:
        kind: Content of the message.
        sender: Process that sent it.
        sender_incarnation: Incarnation of the sender; a later one does not get
            the answer.
        effect: Effect of the reducer that sends it.
        on_arrival: Called with the message when it arrives.
        completed: Whether the call has ended for its sender, with an answer or
            a failure.
        arrival_decided: Whether it has arrived or can no longer arrive.
        answer_lost: Whether its answer will be lost.
        arrival_number: Number of the scheduled arrival that is valid; a delay
            schedules another.
    """

    kind: MessageKind
    sender: Process
    sender_incarnation: int
    effect: effects.Effect
    on_arrival: Callable[["Message"], None]
    completed: bool = False
    arrival_decided: bool = False
    answer_lost: bool = False
    arrival_number: int = 0

    def build_failure_event(self, sent: bool) -> events.Event | None:
        """Returns the sender's event for a failed call, if it gets one.

        Args:
            sent: Whether a byte of the message may have been sent.
        """
        build = _FAILURE_EVENTS.get(type(self.effect))
        return None if build is None else build(self.effect, sent)


class ControlledInterference(policies.InterferencePolicy):
    """Throttles and evicts on request of a test.

    Attributes:
        throttling: Whether all tasks are throttled.
        pending_evictions: Number of evictions still to be made.
    """

    def __init__(self) -> None:
        self.throttling = False
        self.pending_evictions = 0

    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: object,
    ) -> None:
        """Ignores the latency."""

    def choose_throttled(
        self, running: object, now: datetime.timedelta
    ) -> frozenset[ids.TaskId]:
        """Returns all tasks while throttling is on or evictions are pending.

        Only a throttled task can be evicted.
        """
        throttles = self.throttling or self.pending_evictions
        return frozenset(item[0] for item in running if throttles)

    def choose_evicted(
        self, throttled: object, now: datetime.timedelta
    ) -> ids.TaskId | None:
        """Returns the first throttled task if an eviction is pending."""
        if not self.pending_evictions or not throttled:
            return None
        self.pending_evictions -= 1
        return throttled[0][0]


class RandomPlacement(policies.PlacementPolicy):
    """Places tasks at random, so that no invariant depends on the policy."""

    def choose(
        self,
        required: resources.Resources,
        candidates: object,
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns a random candidate with enough free capacity, or None."""
        fitting = [
            item for item in candidates if required.fits_in(item.compute_free())
        ]
        return rng.choice(fitting) if fitting else None


@dataclasses.dataclass(slots=True, eq=False)
class Instance:
    """One instance with its agent, worker and upstream.

    Attributes:
        agent: Process of the agent. Its clock is that of the instance, which
            goes on while the agent is down.
        worker: State of the worker.
        upstream: State of the upstream.
        policy: Interference policy of the agent; a test controls it.
        worker_incarnation: Number of starts of the worker.
        upstream_incarnation: Number of starts of the upstream.
        upstream_alive: Whether the upstream runs.
        retired: Whether the instance has been taken away for good.
    """

    agent: Process
    worker: worker.Worker
    upstream: upstream.Upstream
    policy: ControlledInterference
    worker_incarnation: int = 1
    upstream_incarnation: int = 1
    upstream_alive: bool = True
    retired: bool = False


def build_entry(number: int, incarnation: int) -> entry.EntryState:
    """Returns the state of an entry at its start."""
    return entry.EntryState(
        options.EntryOptions(
            entry=ids.EntryId(f"e{number}"),
            incarnation=ids.Incarnation(incarnation),
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
        random.Random(number * 1000 + incarnation),
    )


def build_agent(
    number: int, incarnation: int, policy: policies.InterferencePolicy
) -> agent.AgentState:
    """Returns the state of an agent at its start."""
    return agent.AgentState(
        options.AgentOptions(
            instance=ids.InstanceId(f"a{number}"),
            incarnation=ids.Incarnation(incarnation),
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
    """A small deployment: its processes, instances, table and virtual clock.

    Attributes:
        now: Present virtual time.
        store: State of the table.
        oracle: Checks the invariants.
        planned_faults: Kind, fault and delay; each affects the next message of
            its kind.
        in_flight: Messages that have not arrived, in the order in which they
            were sent.
        cut_links: Pairs of names of processes that cannot reach each other.
        check_failed: Whether a check or the code under test has raised an
            exception.
        entries: Entries, alive or not.
        instances: Instances that have not been retired.
        processes: All entries and agents by address, also of retired
            instances.
    """

    def __init__(self, entries: int = 2, instances: int = 3) -> None:
        self.now = datetime.timedelta(0)
        self.store = store.Store()
        self.oracle = oracle.Oracle()
        self.planned_faults: list[
            tuple[MessageKind, MessageFault, datetime.timedelta]
        ] = []
        self.in_flight: dict[Message, None] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.check_failed = False
        self.entries: list[Process] = []
        self.instances: list[Instance] = []
        self.processes: dict[members.Address, Process] = {}
        self._scheduled: list[
            tuple[datetime.timedelta, int, Callable[[], None]]
        ] = []
        self._numbers = itertools.count(1)
        self._instance_numbers = itertools.count()
        self._write_initial_configuration()
        for number in range(entries):
            self._add_entry(number)
        for _ in range(instances):
            self.add_instance()

    # Set-up.

    def _write_initial_configuration(self) -> None:
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
            (rows.build_change_key(change.version), rows.ChangeRow(change)),
        ]
        for template in change.templates:
            key = rows.build_object_key(template)
            values.append((key, rows.TemplateRow(template)))
        for organisation in change.organisations:
            key = rows.build_object_key(organisation)
            values.append((key, rows.OrganisationRow(organisation)))
        writes = tuple(rows.Write(key, value) for key, value in values)
        transaction = rows.Transaction(ids.OperationId("set-up"), (), writes)
        store.commit(self.store, transaction)
        self.oracle.check_commit(transaction)

    def _add_entry(self, number: int) -> None:
        state = build_entry(number, 1)
        clock_offset = (number + 1) * 1000 * SECOND
        process = Process(
            f"e{number}", state.options.address, clock_offset, state
        )
        self.entries.append(process)
        self.processes[process.address] = process
        self.deliver(process, events.EntryStarted())

    def add_instance(self) -> None:
        """Adds an instance under a name that was not used before."""
        number = next(self._instance_numbers)
        policy = ControlledInterference()
        state = build_agent(number, 1, policy)
        clock_offset = (number + 1) * 77 * SECOND
        process = Process(
            f"a{number}", state.options.address, clock_offset, state
        )
        upstream_options = upstream.Options(
            frozenset({ASK, PAY}), SLOTS, SLOTS, reserved=RESERVED, seed=number
        )
        instance = Instance(
            process,
            worker.Worker(CAPACITY),
            upstream.build_upstream(upstream_options),
            policy,
        )
        self.instances.append(instance)
        self.processes[process.address] = process
        self.oracle.add_worker(process.name, instance.worker, clock_offset)
        self.deliver(process, events.AgentStarted())
        self._report_upstream_periodically(instance)

    # Time.

    def after(
        self, delay: datetime.timedelta, action: Callable[[], None]
    ) -> None:
        """Schedules an action after a delay."""
        item = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._scheduled, item)

    def advance(self, delay: datetime.timedelta) -> None:
        """Advances the virtual time and runs the actions that fall due."""
        end = self.now + delay
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, action = heapq.heappop(self._scheduled)
            self._run_checked(action)
        self.now = end

    def _run_checked(self, action: Callable[[], None]) -> None:
        """Runs an action; sets `check_failed` if it raises an exception.

        The action is then incomplete, and the state may be inconsistent.
        """
        try:
            action()
        except BaseException:
            self.check_failed = True
            raise

    # Processes.

    def deliver(self, process: Process, event: events.Event) -> None:
        """Delivers an event to a process, or queues it during a pause.

        A process that is not alive does not get it.
        """
        if not process.alive:
            return
        if process.paused:
            process.inbox.append(event)
            return
        self._run_checked(lambda: self._reduce(process, event))

    def _reduce(self, process: Process, event: events.Event) -> None:
        """Applies an event and performs the effects that it results in."""
        now = self.now + process.clock_offset
        self.oracle.record_event(process.name, event)
        emitted = reducer.reduce(process.state, event, now)
        process.transitions.append((now, event, emitted))
        self.oracle.check_state(
            process.name, process.incarnation, process.state
        )
        for effect in emitted:
            _HANDLERS[type(effect)](self, process, effect)

    def kill(self, process: Process) -> None:
        """Ends a process; its timers are dropped and calls to it fail.

        Its own requests to an upstream that have not arrived are dropped too.
        """
        process.alive = False
        process.paused = False
        process.inbox.clear()
        process.timer_numbers.clear()
        for message in process.pending_replies.values():
            self._complete_later(message, message.build_failure_event(True))
        process.pending_replies.clear()
        for message in list(self.in_flight):
            if (
                message.sender is process
                and message.kind is MessageKind.UPSTREAM
            ):
                del self.in_flight[message]
                message.arrival_decided = True
        self.oracle.record_death(process.name)

    def restart_entry(self, process: Process) -> None:
        """Starts an entry again as its next incarnation."""
        number = self.entries.index(process)
        self._restart(process, build_entry(number, process.incarnation + 1))
        self.deliver(process, events.EntryStarted())

    def restart_agent(self, instance: Instance) -> None:
        """Starts an agent again; its worker and upstream are not affected."""
        process = instance.agent
        number = int(process.name[1:])
        state = build_agent(number, process.incarnation + 1, instance.policy)
        self._restart(process, state)
        self.deliver(process, events.AgentStarted())

    def _restart(self, process: Process, state: reducer.State) -> None:
        process.state = state
        process.incarnation += 1
        process.alive = True
        process.transitions = []

    def resume(self, process: Process) -> None:
        """Ends a pause and delivers the queued events one after the other."""
        process.paused = False
        queued_events, process.inbox = process.inbox, []
        for number, event in enumerate(queued_events):
            self._deliver_later(process, event, LATENCY * number)

    def _deliver_later(
        self, process: Process, event: events.Event, delay: datetime.timedelta
    ) -> None:
        """Delivers an event after a delay unless the process restarts first."""
        incarnation = process.incarnation

        def deliver() -> None:
            if process.incarnation == incarnation:
                self.deliver(process, event)

        self.after(delay, deliver)

    def _set_timer(self, process: Process, effect: effects.SetTimer) -> None:
        number = next(self._numbers)
        process.timer_numbers[effect.timer] = number

        def fire() -> None:
            if process.timer_numbers.get(effect.timer) == number:
                del process.timer_numbers[effect.timer]
                self.deliver(process, events.TimerFired(effect.timer))

        self.after(max(effect.delay, LATENCY), fire)

    # Messages.

    def send_message(
        self,
        kind: MessageKind,
        sender: Process,
        effect: effects.Effect,
        on_arrival: Callable[[Message], None],
        timeout: datetime.timedelta,
    ) -> None:
        """Sends a message; the next planned fault of its kind affects it.

        Args:
            kind: Content of the message.
            sender: Process that sends it.
            effect: Effect of the reducer that sends it.
            on_arrival: Called with the message when it arrives.
            timeout: Time after which the call fails for its sender.
        """
        message = Message(kind, sender, sender.incarnation, effect, on_arrival)
        self.in_flight[message] = None
        self.after(
            timeout,
            lambda: self._complete(message, message.build_failure_event(True)),
        )
        self._schedule_arrival(message, LATENCY)
        planned = next(
            (item for item in self.planned_faults if item[0] is kind), None
        )
        if planned is not None:
            self.planned_faults.remove(planned)
            self.inject_fault(message, planned[1], planned[2])

    def inject_fault(
        self, message: Message, fault: MessageFault, delay: datetime.timedelta
    ) -> None:
        """Makes a fault affect a message that has not arrived.

        Args:
            message: The message.
            fault: The fault.
            delay: Delay of the arrival, or of the second one if the message is
                duplicated; unused by other faults.
        """
        if fault in (
            MessageFault.LOST,
            MessageFault.UNSENT,
            MessageFault.TIMED_OUT,
        ):
            self._complete_later(
                message,
                message.build_failure_event(fault is not MessageFault.UNSENT),
            )
        if fault in (MessageFault.LOST, MessageFault.UNSENT):
            message.arrival_number = next(self._numbers)
            message.arrival_decided = True
            del self.in_flight[message]
        elif fault in (MessageFault.DELAYED, MessageFault.TIMED_OUT):
            self._schedule_arrival(message, delay)
        elif fault is MessageFault.ANSWER_LOST:
            message.answer_lost = True
        elif message.kind is MessageKind.ANNOUNCE:
            self.after(delay, lambda: message.on_arrival(message))

    def _schedule_arrival(
        self, message: Message, delay: datetime.timedelta
    ) -> None:
        """Replaces the scheduled arrival of a message."""
        message.arrival_number = arrival_number = next(self._numbers)

        def arrive() -> None:
            if (
                message.arrival_number == arrival_number
                and not message.arrival_decided
            ):
                message.arrival_decided = True
                del self.in_flight[message]
                message.on_arrival(message)

        self.after(delay, arrive)

    def _complete(self, message: Message, event: events.Event | None) -> None:
        """Ends a call with an event for its sender, unless it has ended."""
        if message.completed:
            return
        message.completed = True
        if (
            event is not None
            and message.sender.incarnation == message.sender_incarnation
        ):
            self.deliver(message.sender, event)

    def _complete_later(
        self, message: Message, event: events.Event | None
    ) -> None:
        """Ends a call after the latency of its answer or failure."""
        self.after(LATENCY, lambda: self._complete(message, event))

    def _send_answer(self, message: Message, event: events.Event) -> None:
        """Answers a message, or fails its call if the answer is to be lost."""
        received = (
            message.build_failure_event(True) if message.answer_lost else event
        )
        self._complete_later(message, received)

    def _reply(self, process: Process, effect: effects.Effect) -> None:
        """Answers the message to which a reply belongs.

        Without such a message, an answer to a ticket goes to the oracle, and
        any other reply is discarded.
        """
        message = process.pending_replies.pop(effect.owner, None)
        if message is None:
            if isinstance(effect, effects.AnswerTicket):
                self.oracle.check_ticket_answer(process.name, effect)
        elif self._is_cut(message.sender, process):
            self._complete_later(message, message.build_failure_event(True))
        else:
            build = _ANSWER_EVENTS[type(message.effect)]
            self._send_answer(message, build(message.effect, effect))

    def _is_cut(self, one: Process, other: Process) -> bool:
        """Returns whether two processes cannot reach each other."""
        return bool(
            {(one.name, other.name), (other.name, one.name)} & self.cut_links
        )

    def _call_peer(self, sender: Process, effect: effects.Effect) -> None:
        """Sends a call to an entry or agent."""
        kind, build = _ARRIVAL_EVENTS[type(effect)]
        target = self.processes[effect.address]

        def on_arrival(message: Message) -> None:
            if self._is_cut(sender, target):
                self._complete_later(message, message.build_failure_event(True))
            elif not target.alive:
                # The connection is refused, so that no byte is sent.
                self._complete_later(
                    message, message.build_failure_event(False)
                )
            else:
                ticket = ids.TicketId(f"t{next(self._numbers)}")
                event = build(effect, ticket)
                if isinstance(event, events.DispatchArrived):
                    ticket = _build_attempt_key(event.dispatch)
                target.pending_replies[ticket] = message
                self.deliver(target, event)

        timeout = PEER_TIMEOUT
        if isinstance(effect, effects.SendDispatch):
            timeout = effect.dispatch.remaining + SECOND / 2
        self.send_message(kind, sender, effect, on_arrival, timeout)

    def _read_peer_config(
        self, sender: Process, effect: effects.ReadPeerConfig
    ) -> None:
        """Reads the configuration of a peer; cut links do not affect it."""
        target = self.processes[effect.address]

        def on_arrival(message: Message) -> None:
            configuration = target.state.configuration if target.alive else None
            self._send_answer(message, events.PeerConfigRead(configuration))

        self.send_message(
            MessageKind.PUSH, sender, effect, on_arrival, PEER_TIMEOUT
        )

    def _commit(self, sender: Process, effect: effects.Commit) -> None:
        """Sends a transaction to the table.

        The oracle checks it if it changes the version of its first row.
        """
        transaction = effect.transaction
        key = transaction.writes[0].key

        def on_arrival(message: Message) -> None:
            version_before = self.store.versions.get(key)
            answer = store.commit(self.store, transaction)
            if self.store.versions.get(key) != version_before:
                self.oracle.check_commit(transaction)
            event = events.CommitAnswered(transaction.operation, answer)
            self._send_answer(message, event)

        self.send_message(
            MessageKind.COMMIT, sender, effect, on_arrival, LOCAL_TIMEOUT
        )

    def _read_rows(self, sender: Process, effect: effects.ReadRows) -> None:
        """Reads rows of the table; a slow table answers without delay too."""
        request = store.ReadRows(effect.prefix, effect.after, 10**6)

        def on_arrival(message: Message) -> None:
            answer = store.apply(self.store, request)
            refused = answer.delivery is store.Delivery.REFUSED
            read_rows = None if refused else answer.found_rows
            self._send_answer(
                message, events.RowsRead(effect.purpose, read_rows)
            )

        self.send_message(
            MessageKind.READ, sender, effect, on_arrival, LOCAL_TIMEOUT
        )

    def _answer_call(
        self, process: Process, effect: effects.AnswerCall
    ) -> None:
        self.oracle.check_result(effect.owner, effect.result)

    def _announce(self, sender: Process, effect: effects.Announce) -> None:
        """Sends an announcement to every entry as a datagram."""
        event = events.AnnouncementReceived(effect.announcement)
        for target in self.entries:

            def on_arrival(message: Message, target: Process = target) -> None:
                if not self._is_cut(sender, target):
                    self.deliver(target, event)

            self.send_message(
                MessageKind.ANNOUNCE, sender, effect, on_arrival, 3600 * SECOND
            )

    # Instances.

    def _find_instance(self, process: Process) -> Instance:
        """Returns the instance of an agent."""
        return next(item for item in self.instances if item.agent is process)

    def _call_upstream(
        self, sender: Process, effect: effects.CallUpstream
    ) -> None:
        """Sends a request to the upstream with its request id and attempt."""
        instance = self._find_instance(sender)
        key = effect.owner
        headers = (
            *effect.payload.headers,
            (upstream.REQUEST_HEADER, key.request_id),
            (upstream.ATTEMPT_HEADER, str(key.attempt)),
        )
        payload = dataclasses.replace(effect.payload, headers=headers)

        def on_arrival(message: Message) -> None:
            if message.completed:
                return  # The agent has closed the connection.
            if not instance.upstream_alive:
                self._complete_later(
                    message, message.build_failure_event(False)
                )
                return
            incarnation = instance.upstream_incarnation
            plan = upstream.begin_request(instance.upstream, payload, LATENCY)
            self.oracle.check_request_run(sender.name, instance.upstream, key)
            if plan.break_point is not upstream.BreakPoint.NONE:
                self._complete_later(message, message.build_failure_event(True))

            def finish() -> None:
                if instance.upstream_incarnation != incarnation:
                    self._complete(message, message.build_failure_event(True))
                    return
                upstream.finish_request(instance.upstream, plan)
                self._send_answer(
                    message, events.UpstreamAnswered(key, plan.answer)
                )

            self.after(plan.delay, finish)

        self.send_message(
            MessageKind.UPSTREAM, sender, effect, on_arrival, effect.timeout
        )

    def restart_upstream(self, instance: Instance) -> None:
        """Restarts an upstream; its running requests fail."""
        instance.upstream_incarnation += 1
        instance.upstream.busy = 0

    def _report_upstream_periodically(self, instance: Instance) -> None:
        """Reports the upstream to its agent every second.

        No report is sent while an earlier one waits in the agent's inbox.
        """
        if instance.retired:
            return
        process = instance.agent
        self.after(SECOND, lambda: self._report_upstream_periodically(instance))
        report_waits = any(
            isinstance(item, events.UpstreamReported) for item in process.inbox
        )
        if instance.upstream_alive and not report_waits:
            address = members.Address("10.0.0.3", 1)
            report = upstream.build_report(instance.upstream, address)
            self.deliver(process, events.UpstreamReported(report))

    def _command_worker(
        self, sender: Process, effect: effects.CommandWorker
    ) -> None:
        """Sends a command to the worker; the oracle checks starts."""
        instance = self._find_instance(sender)
        incarnation = instance.worker_incarnation

        def on_arrival(message: Message) -> None:
            # A restart of the worker breaks its connections.
            if instance.worker_incarnation != incarnation:
                self._complete_later(message, message.build_failure_event(True))
                return
            runs_before = len(instance.worker.runs)
            clock = self.now + sender.clock_offset
            reply = worker.apply(instance.worker, clock, effect)
            self.oracle.record_checkpoint(instance.worker, effect)
            if len(instance.worker.runs) > runs_before:
                self.oracle.check_start(sender.name, effect.start)
            if reply is not None:
                done = reply.result is worker.CommandResult.DONE
                event = events.WorkerAnswered(
                    effect.task_id,
                    effect.epoch,
                    effect.action,
                    done,
                    reply.checkpoint,
                )
                self._send_answer(message, event)

        self.send_message(
            MessageKind.COMMAND, sender, effect, on_arrival, LOCAL_TIMEOUT
        )

    def _list_tasks(self, sender: Process, effect: effects.ReadWorker) -> None:
        instance = self._find_instance(sender)

        def on_arrival(message: Message) -> None:
            clock = self.now + sender.clock_offset
            report = worker.list_tasks(instance.worker, clock)
            if report is not None:
                event = events.WorkerReported(report, effect.sent_at)
                self._send_answer(message, event)

        self.send_message(
            MessageKind.LISTING, sender, effect, on_arrival, LOCAL_TIMEOUT
        )

    def restart_worker(self, instance: Instance) -> None:
        """Restarts a worker; its tasks end, and its fences are lost."""
        name, clock_offset = instance.agent.name, instance.agent.clock_offset
        self.oracle.end_worker_runs(instance.worker, self.now + clock_offset)
        instance.worker = worker.Worker(CAPACITY, fault=instance.worker.fault)
        instance.worker_incarnation += 1
        self.oracle.add_worker(name, instance.worker, clock_offset)

    def retire(self, instance: Instance) -> None:
        """Removes an instance permanently and informs every entry."""
        instance.retired = True
        self.kill(instance.agent)
        self.restart_worker(instance)
        self.restart_upstream(instance)
        instance.upstream_alive = False
        self.instances.remove(instance)
        name = ids.InstanceId(instance.agent.name)
        for process in self.entries:
            self.deliver(process, events.InstanceRetired(name))

    def drain(self, instance: Instance) -> None:
        """Requests a drain of an instance, as an operator does."""
        self.deliver(instance.agent, events.DrainRequested())

    def _stop_process(self, process: Process, effect: effects.Stopped) -> None:
        """Ends a process that has stopped by itself."""
        self.after(LATENCY, lambda: self.kill(process))

    def _discard_log_message(
        self, process: Process, effect: effects.LogMessage
    ) -> None:
        """Discards a log message."""

    # Repairs.

    def repair(self, repair: Repair) -> None:
        """Makes a repair; restarts stopping entries and draining agents too."""
        match repair:
            case Repair.TABLE:
                self.planned_faults.clear()
                store.set_fault(self.store, store.SetFault(store.Fault.NONE))
            case Repair.LINKS:
                self.cut_links.clear()
            case Repair.PAUSES:
                for process in self.processes.values():
                    self.resume(process)
            case Repair.ENTRIES:
                for process in self.entries:
                    if not process.alive or process.state.stopping:
                        self.kill(process)
                        self.restart_entry(process)
            case Repair.AGENTS:
                for instance in self.instances:
                    process = instance.agent
                    if not process.alive or process.state.draining:
                        self.kill(process)
                        self.restart_agent(instance)
            case Repair.INSTANCES:
                for instance in self.instances:
                    instance.worker.fault = worker.Fault.NONE
                    instance.upstream_alive = True
                    instance.upstream.draining = False
                    instance.policy.throttling = False
                    instance.policy.pending_evictions = 0

    def list_unfinished(self) -> list[object]:
        """Returns the unfinished work and the processes that are out of date.

        These are the unanswered requests and tickets, the rows of tasks that
        have not ended, and the names of processes without the newest
        configuration.
        """
        facts = self.oracle
        return [
            *(
                facts.requests[key]
                for key in facts.request_entries
                if key not in facts.results
            ),
            *(
                key
                for key in facts.ticket_entries
                if facts.ticket_answers[key] is None
            ),
            *(
                row
                for row in facts.tasks.values()
                if row.state not in states.FINAL_TASK_STATES
            ),
            *(
                process.name
                for process in self.processes.values()
                if process.alive
                and process.state.configuration.version != len(facts.changes)
            ),
        ]


def _build_attempt_key(dispatch: requests.Dispatch) -> requests.AttemptKey:
    return requests.AttemptKey(dispatch.request_id, dispatch.attempt)


# Kind of the message, and the event that its target gets, for each effect that
# calls an entry or agent.
_ARRIVAL_EVENTS: dict[type, tuple[MessageKind, Callable[..., events.Event]]] = {
    effects.SendDispatch: (
        MessageKind.DISPATCH,
        lambda effect, _: events.DispatchArrived(effect.dispatch),
    ),
    effects.SendCancel: (
        MessageKind.CANCEL,
        lambda effect, ticket: events.CancelArrived(ticket, effect.cancel),
    ),
    effects.SendStarts: (
        MessageKind.STARTS,
        lambda effect, ticket: events.StartsArrived(ticket, effect.starts),
    ),
    effects.SendSync: (
        MessageKind.SYNC,
        lambda effect, ticket: events.SyncArrived(ticket, effect.sync),
    ),
    effects.PushConfig: (
        MessageKind.PUSH,
        lambda effect, ticket: events.ConfigPushed(
            ticket, effect.configuration
        ),
    ),
    effects.PushChanges: (
        MessageKind.PUSH,
        lambda effect, ticket: events.ChangesPushed(ticket, effect.changes),
    ),
    effects.ForwardSubmission: (
        MessageKind.FORWARD,
        lambda effect, ticket: events.SubmissionArrived(
            ticket, effect.submission, forwarded=True
        ),
    ),
    effects.ForwardCancel: (
        MessageKind.FORWARD,
        lambda effect, ticket: events.TaskCancelArrived(
            ticket, effect.organisation, effect.task_id, forwarded=True
        ),
    ),
}


def _build_forward_answered(
    effect: effects.ForwardSubmission | effects.ForwardCancel,
    reply: effects.AnswerTicket,
) -> events.Event:
    return events.ForwardAnswered(
        effect.owner, reply.result, reply.detail, reply.task_id
    )


# Event with which the sender of a call gets the reply, by its effect.
_ANSWER_EVENTS: dict[type, Callable[..., events.Event]] = {
    effects.SendDispatch: lambda effect, reply: events.DispatchAnswered(
        effect.dispatch.request_id, effect.dispatch.attempt, reply.reply
    ),
    effects.SendCancel: lambda effect, reply: events.CancelAnswered(
        effect.owner, effect.cancel, reply.reply
    ),
    effects.SendStarts: lambda effect, reply: events.StartsAnswered(
        effect.instance, effect.starts, reply.accepted
    ),
    effects.SendSync: lambda effect, reply: events.SyncAnswered(
        effect.instance, effect.sync, reply.reply
    ),
    effects.PushConfig: lambda effect, reply: events.ConfigPushAnswered(
        effect.instance, reply.version
    ),
    effects.PushChanges: lambda effect, reply: events.ConfigPushAnswered(
        effect.instance, reply.version
    ),
    effects.ForwardSubmission: _build_forward_answered,
    effects.ForwardCancel: _build_forward_answered,
}

_COMMIT_UNKNOWN = rows.CommitAnswer(states.CommitResult.UNKNOWN)
_COMMIT_UNAVAILABLE = rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
# Event with which the sender learns that its call failed, by its effect. The
# second argument tells whether a byte of it may have been sent.
_FAILURE_EVENTS: dict[type, Callable[..., events.Event]] = {
    effects.SendDispatch: lambda effect, sent: events.DispatchFailed(
        effect.dispatch.request_id, effect.dispatch.attempt, sent
    ),
    effects.SendCancel: lambda effect, _: events.CancelAnswered(
        effect.owner, effect.cancel, None
    ),
    effects.SendStarts: lambda effect, _: events.StartsAnswered(
        effect.instance, effect.starts, None
    ),
    effects.SendSync: lambda effect, _: events.SyncAnswered(
        effect.instance, effect.sync, None
    ),
    effects.PushConfig: lambda effect, _: events.ConfigPushAnswered(
        effect.instance, None
    ),
    effects.PushChanges: lambda effect, _: events.ConfigPushAnswered(
        effect.instance, None
    ),
    effects.ReadPeerConfig: lambda effect, _: events.PeerConfigRead(None),
    effects.ForwardSubmission: lambda effect, _: events.ForwardAnswered(
        effect.owner, None
    ),
    effects.ForwardCancel: lambda effect, _: events.ForwardAnswered(
        effect.owner, None
    ),
    effects.Commit: lambda effect, sent: events.CommitAnswered(
        effect.transaction.operation,
        _COMMIT_UNKNOWN if sent else _COMMIT_UNAVAILABLE,
    ),
    effects.ReadRows: lambda effect, _: events.RowsRead(effect.purpose, None),
    effects.CallUpstream: lambda effect, sent: events.UpstreamCallFailed(
        effect.owner, sent, states.Reason.UPSTREAM_FAILED
    ),
    effects.CommandWorker: lambda effect, _: events.WorkerAnswered(
        effect.task_id, effect.epoch, effect.action, None
    ),
    effects.ReadWorker: lambda effect, _: events.WorkerReported(
        None, effect.sent_at
    ),
}
# Method that performs each effect.
_HANDLERS: dict[type, Callable[..., None]] = {
    **dict.fromkeys(_ARRIVAL_EVENTS, World._call_peer),
    effects.SetTimer: World._set_timer,
    effects.AnswerCall: World._answer_call,
    effects.Commit: World._commit,
    effects.ReadRows: World._read_rows,
    effects.ReadPeerConfig: World._read_peer_config,
    effects.CallUpstream: World._call_upstream,
    effects.AnswerTicket: World._reply,
    effects.ReplyDispatch: World._reply,
    effects.ReplyCancel: World._reply,
    effects.ReplyStarts: World._reply,
    effects.ReplySync: World._reply,
    effects.ReplyConfig: World._reply,
    effects.CommandWorker: World._command_worker,
    effects.ReadWorker: World._list_tasks,
    effects.Announce: World._announce,
    effects.Stopped: World._stop_process,
    effects.LogMessage: World._discard_log_message,
}
