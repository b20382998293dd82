"""State of an entry, which only the reducer changes."""

import dataclasses
import datetime
import random

from gypsumhold.model import (
    declarations,
    ids,
    membership,
    options,
    policies,
    requests,
    resources,
    rows,
    states,
)

NEVER = datetime.timedelta.min


@dataclasses.dataclass(slots=True)
class Call:
    """A request whose caller waits for its answer in this entry.

    Attributes:
        request: The request.
        template: Template of its kind, with the organisation's overrides.
        deadline: Instant by which the caller expects its answer.
        phase: Progress of the request.
        attempt: Number of the latest attempt; 0 before the first.
        target: Instance of the latest attempt.
        target_incarnation: Incarnation of the target's agent.
        valid_until: Instant on the target's clock after which the agent
            refuses the dispatch.
        sent_at: When the dispatch was sent.
        tried_instances: Targets of the attempts that have ended.
        may_have_run: Whether some attempt may have run.
        reason: Why the latest attempt ended.
        transaction: Claim transaction in flight.
        claim: Latest known row of the claim.
        claim_seen_at: When that version of the claim was first seen.
        claim_read: Whether the claim was read because there was no target.
        result: Result that is being recorded in the claim.
    """

    request: requests.Request
    template: declarations.Template
    deadline: datetime.timedelta
    phase: states.CallPhase = states.CallPhase.ADMITTED
    attempt: ids.Attempt = ids.Attempt(0)
    target: ids.InstanceId | None = None
    target_incarnation: ids.Incarnation = ids.Incarnation(0)
    valid_until: datetime.timedelta = datetime.timedelta(0)
    sent_at: datetime.timedelta = datetime.timedelta(0)
    tried_instances: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )
    may_have_run: bool = False
    reason: states.Reason = states.Reason.NONE
    transaction: rows.Transaction | None = None
    claim: rows.Row | None = None
    claim_seen_at: datetime.timedelta = datetime.timedelta(0)
    claim_read: bool = False
    result: requests.Result | None = None


@dataclasses.dataclass(slots=True)
class Demand:
    """Calls of one organisation in one work class.

    Attributes:
        weight: Weight of the organisation.
        arrived_at: When its latest call arrived, admitted or not.
        waiting: Number of its calls that wait.
    """

    weight: int
    arrived_at: datetime.timedelta
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """A task that has not ended, as kept by the holder of its partition.

    Attributes:
        row: Committed row; of a new task, the row to be inserted.
        pending: Next row, not committed yet.
        granted_until: End of the latest granted lease on the entry's clock.
        started: Whether the agent has confirmed the current placement.
        reported_by: Instance whose report is acknowledged once `pending` is
            committed.
    """

    row: rows.TaskRow
    pending: rows.TaskRow | None = None
    granted_until: datetime.timedelta = datetime.timedelta(0)
    started: bool = False
    reported_by: ids.InstanceId | None = None

    @property
    def is_new(self) -> bool:
        """Whether the insertion of the task is not committed yet."""
        return self.row is self.pending


@dataclasses.dataclass(frozen=True, slots=True)
class BatchTicket:
    """A caller that is answered once the change of a task is committed."""

    ticket: ids.TicketId
    task_id: ids.TaskId


@dataclasses.dataclass(slots=True)
class Batch:
    """The transaction of a partition that is in flight.

    Attributes:
        transaction: The transaction, which is sent again unchanged until its
            result is known.
        changed: Tasks whose pending row it writes.
        tickets: Callers to answer after the commit.
        sent_at: When it was first sent.
        release: Whether it releases the partition.
    """

    transaction: rows.Transaction
    changed: tuple[ids.TaskId, ...]
    tickets: tuple[BatchTicket, ...]
    sent_at: datetime.timedelta
    release: bool = False


@dataclasses.dataclass(slots=True)
class PartitionState:
    """One partition of the task queue.

    Attributes:
        number: Number of the partition.
        phase: Whether this entry observes, takes over or holds it.
        row: Latest known row, None if there is none.
        version: Version of that row.
        unchanged_since: When the first read that returned this version was
            sent, counted anew after a failed read; None after a failed read.
        confirmed_at: When the last confirmed write was sent.
        recovered_at: When the first write after a failure was confirmed; zero
            before the first failure, and the largest timedelta while a write is
            in doubt.
        taken_at: When the takeover was confirmed.
        releasing: Whether it is being released to an entry below its share.
        batch: Transaction in flight.
        tasks: Tasks that have not ended.
        ended: Ids of tasks that have ended.
        queue: Queued tasks in order of arrival, by work class.
        dirty: Tasks with a pending row that is not in a batch yet.
        tickets: Callers whose change is not in a batch yet.
        usage: Resources of assigned tasks by organisation.
    """

    number: ids.Partition
    phase: states.PartitionPhase = states.PartitionPhase.OBSERVED
    row: rows.PartitionRow | None = None
    version: ids.RowVersion = ids.RowVersion(0)
    unchanged_since: datetime.timedelta | None = None
    confirmed_at: datetime.timedelta = datetime.timedelta(0)
    recovered_at: datetime.timedelta = datetime.timedelta(0)
    taken_at: datetime.timedelta = datetime.timedelta(0)
    releasing: bool = False
    batch: Batch | None = None
    tasks: dict[ids.TaskId, TaskRecord] = dataclasses.field(
        default_factory=dict
    )
    ended: set[ids.TaskId] = dataclasses.field(default_factory=set)
    queue: dict[states.WorkClass, dict[ids.TaskId, None]] = dataclasses.field(
        default_factory=lambda: {item: {} for item in states.WorkClass}
    )
    dirty: dict[ids.TaskId, None] = dataclasses.field(default_factory=dict)
    tickets: list[BatchTicket] = dataclasses.field(default_factory=list)
    usage: dict[ids.OrganisationId, resources.Resources] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Purpose and subject of a transaction in flight.

    The subject is a request, a partition, an entry or the operation itself,
    depending on the kind.
    """

    kind: states.OperationKind
    subject: str


@dataclasses.dataclass(slots=True)
class PendingRecord:
    """A claim's result that is written after the caller was answered."""

    transaction: rows.Transaction
    give_up_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class ApplyOperation:
    """A change of the configuration whose transaction is in flight."""

    ticket: ids.TicketId
    change: declarations.Change
    transaction: rows.Transaction
    give_up_at: datetime.timedelta
    in_doubt: bool = False
    """Whether the transaction may have taken effect without an answer."""


@dataclasses.dataclass(slots=True)
class EntryState:
    """State of one entry.

    Attributes:
        options: Options from the settings.
        policies: Interchangeable policies.
        random: Seeded generator for all random choices.
        started_at: When the entry started.
        configuration: Latest accepted configuration that is known.
        candidate: Configuration built from the declared objects; put in force
            if the head is unchanged when it is read again.
        changes: Latest changes, pushed instead of the whole configuration.
        members: Instances that have announced themselves.
        instances_by_kind: Index of the members by the kinds that they serve;
            None if it has to be rebuilt.
        calls: Requests whose callers wait here.
        waiting: Number of those by work class.
        demand: Waiting calls and latest arrival by work class and
            organisation.
        operations: Transactions in flight.
        pending_records: Results of answered calls still to be recorded.
        applies: Configuration changes in flight.
        partitions: All partitions of the task queue.
        handover_requests: Entries that request partitions: version of the
            row and when that version was first read. The first known version
            of a request is recorded as expired.
        handover_requested_at: When this entry last wrote its own request.
        counter: Number of the latest operation id.
        table_failed_at: When the table last failed to answer.
        reading_peer: Whether the configuration of an agent is being read.
        stopping: Whether the process has been asked to stop.
        stopped: Whether the end of all work has been reported.
    """

    options: options.EntryOptions
    policies: policies.EntryPolicies
    random: random.Random
    started_at: datetime.timedelta = datetime.timedelta(0)
    configuration: declarations.Configuration = declarations.EMPTY
    candidate: declarations.Configuration | None = None
    changes: list[declarations.Change] = dataclasses.field(default_factory=list)
    members: dict[ids.InstanceId, membership.Member] = dataclasses.field(
        default_factory=dict
    )
    instances_by_kind: dict[ids.KindName, list[membership.Member]] | None = None
    calls: dict[ids.RequestId, Call] = dataclasses.field(default_factory=dict)
    waiting: dict[states.WorkClass, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(states.WorkClass, 0)
    )
    demand: dict[states.WorkClass, dict[ids.OrganisationId, Demand]] = (
        dataclasses.field(
            default_factory=lambda: {item: {} for item in states.WorkClass}
        )
    )
    operations: dict[ids.OperationId, Operation] = dataclasses.field(
        default_factory=dict
    )
    pending_records: dict[ids.OperationId, PendingRecord] = dataclasses.field(
        default_factory=dict
    )
    applies: dict[ids.OperationId, ApplyOperation] = dataclasses.field(
        default_factory=dict
    )
    partitions: dict[ids.Partition, PartitionState] = dataclasses.field(
        default_factory=dict
    )
    handover_requests: dict[
        ids.EntryId, tuple[ids.RowVersion, datetime.timedelta]
    ] = dataclasses.field(default_factory=dict)
    handover_requested_at: datetime.timedelta = NEVER
    counter: int = 0
    table_failed_at: datetime.timedelta = NEVER
    reading_peer: bool = False
    stopping: bool = False
    stopped: bool = False

    def next_operation(self) -> ids.OperationId:
        """Returns a new operation id, unique over entries and incarnations."""
        self.counter += 1
        own = self.options
        return ids.OperationId(f"{own.entry}:{own.incarnation}:{self.counter}")
