"""Events of the schedulers and executors of the job subsystem."""

import dataclasses
import datetime
import enum

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import evacuations, messages, runs, specs, storage

# Events of a scheduler (the role of an entry).


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerStarted:
    """The scheduler was started."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRead:
    """A read of the queue configuration and the evacuations ended.

    Attributes:
        config: The newest configuration; None if there is no new one.
        version: Version from which the next read continues.
        result: Result of the read.
        evacuation_changes: What the read tells about evacuations; None if it
            failed.
    """

    config: specs.QueueConfig | None
    version: ids.RowVersion
    result: "ReadResult"
    evacuation_changes: evacuations.EvacuationChanges | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """A read of all evacuations ended.

    Attributes:
        term: Term in which the read was started.
        asked_at: As `effects.ReadEvacuations.asked_at`.
        changes: The evacuations; None if the read failed.
    """

    term: ids.Epoch
    asked_at: datetime.timedelta
    changes: evacuations.EvacuationChanges | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkersListed:
    """A read of the workers that are up ended.

    Attributes:
        term: Term in which the read was started.
        asked_at: As `effects.ListWorkers.asked_at`.
        up: Names of all workers that are up; None if the read failed.
    """

    term: ids.Epoch
    asked_at: datetime.timedelta
    up: frozenset[runs.WorkerName] | None


class ReadResult(enum.Enum):
    """Result of a read of changes."""

    DONE = "done"
    FAILED = "lost"
    GAP = "gap"
    """The changes are no longer kept; everything has to be read again."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitArrived:
    """A caller submitted a job and waits for `remaining` at most."""

    ticket: ids.TicketId
    spec: specs.JobSpec
    remaining: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class JobWritten:
    """An attempt to store a submission ended."""

    ticket: ids.TicketId
    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller, or another entry for a caller, sent a query.

    Attributes:
        ticket: Identifies the query until it is answered.
        query: The query.
        remaining: How long the sender waits for the answer.
        forwarded: Whether another entry forwarded the query.
    """

    ticket: ids.TicketId
    query: messages.Query
    remaining: datetime.timedelta
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAnswered:
    """The call that forwarded a query ended; `answer` is None on failure."""

    ticket: ids.TicketId
    answer: messages.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobRead:
    """A read of the rows of a job ended; `rows` is None on failure."""

    ticket: ids.TicketId
    rows: storage.JobRows | None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWritten:
    """An attempt to store a cancellation ended."""

    ticket: ids.TicketId
    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class HolderNotified:
    """The holder was notified of a submission.

    Attributes:
        address: Address of the holder.
        answer: Its answer; None if the call failed.
    """

    address: members.Address
    answer: messages.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class HolderRead:
    """A read of the holder's row ended; `row` is None on failure."""

    row: storage.HolderRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class QueueTaken:
    """An attempt to become the holder ended."""

    write: storage.HolderWrite


@dataclasses.dataclass(frozen=True, slots=True)
class JobsLoaded:
    """A read of all jobs ended.

    Attributes:
        term: Term in which the read was started.
        loaded: The jobs; None if the read failed.
        wall_ms: Unix time of the answer in milliseconds.
    """

    term: ids.Epoch
    loaded: storage.LoadedJobs | None
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionsDeleted:
    """An attempt to delete submissions ended."""

    term: ids.Epoch
    job_ids: tuple[specs.JobId, ...]
    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class JobsChanged:
    """A read of new submissions and cancellations ended.

    Attributes:
        term: Term in which the read was started.
        changes: The changes; None if the read failed.
        wall_ms: Unix time of the answer in milliseconds.
    """

    term: ids.Epoch
    changes: storage.JobChanges | None
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCommitted:
    """An attempt to store a batch ended.

    Attributes:
        term: Term in which the batch was built.
        batch: Number of the batch.
        write: Result of the transaction.
    """

    term: ids.Epoch
    batch: int
    write: storage.HolderWrite


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRegistered:
    """An attempt to register this entry ended."""

    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class ReportArrived:
    """An agent sent a report and waits for directives.

    Attributes:
        ticket: Names the call of the agent.
        report: The report.
        received_at: When it reached the process, which may have been busy
            since; None if that is not known.
    """

    ticket: ids.TicketId
    report: messages.Report
    received_at: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DirectivesPushed:
    """A push of directives ended; `received` tells whether it was confirmed."""

    instance: ids.InstanceId
    received: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerStopping:
    """The process was asked to stop."""


# Events of an executor (the role of an agent).


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorStarted:
    """The executor was started."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat of the worker beside the agent arrived."""

    worker: runs.Worker


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """The worker announced that it shuts down."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """A read of registered entries ended; `changes` is None on failure."""

    changes: storage.EntryChanges | None


@dataclasses.dataclass(frozen=True, slots=True)
class DirectivesArrived:
    """Directives arrived that answer no report."""

    directives: messages.Directives


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAnswered:
    """A call that sent a report ended.

    Attributes:
        address: Where the report was sent.
        sequence: Number of the report.
        sent_at: Reading of the agent's clock before the call.
        directives: The answer; None if the call failed.
    """

    address: members.Address
    sequence: int
    sent_at: datetime.timedelta
    directives: messages.Directives | None


class CommandResult(enum.Enum):
    """Result of a poll of, or a command to, a worker."""

    DONE = "done"
    FENCED = "fenced"
    """The worker has seen a higher fence; nothing was done."""

    STALE = "stale"
    LATE = "late"
    """The lease in the command had expired; nothing was done."""

    NO_CAPACITY = "no-room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other-life"
    NOT_SENT = "not-sent"
    """The connection was refused; the call is never carried out."""

    UNANSWERED = "unanswered"
    """No answer; the command may have been or may still be carried out."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerClock:
    """A reading of the worker's clock.

    Attributes:
        clock_ms: The reading in milliseconds.
        sent_at: Reading of the agent's clock before the call.
        received_at: Reading of the agent's clock after the answer.
    """

    clock_ms: int
    sent_at: datetime.timedelta
    received_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerPolled:
    """A poll of the worker ended.

    Attributes:
        worker_incarnation: Incarnation that was polled.
        fence: Fence of the call.
        result: Result of the call.
        clock: Reading of the worker's clock; None if the poll failed.
        started_ms: Start of the incarnation that answered, in Unix
            milliseconds.
        rows: Running tasks.
        ends: Ends of runs that are not acknowledged.
        is_complete: Whether `ends` has all of them. A worker lists so many at
            most; a run that neither list has may then have ended.
        until_ms: End of the lease that the call carried; None if it carried
            none.
        acknowledged: Ends up to this one were acknowledged by the call.
    """

    worker_incarnation: runs.WorkerIncarnation
    fence: int
    result: CommandResult
    clock: WorkerClock | None = None
    started_ms: int = 0
    rows: tuple[runs.RunRow, ...] = ()
    ends: tuple[runs.EndRow, ...] = ()
    is_complete: bool = True
    until_ms: int | None = None
    acknowledged: runs.EndNumber = runs.EndNumber(0)


@dataclasses.dataclass(frozen=True, slots=True)
class CommandAnswered:
    """A call to start, stop or throttle a run ended.

    Attributes:
        worker_incarnation: Incarnation that was called.
        kind: Kind of the command.
        ref: The run.
        fence: Fence of the call.
        result: Result of the call.
        clock: Reading of the worker's clock, if the answer carried one.
        until_ms: End of the lease that the call carried; None if it carried
            none.
    """

    worker_incarnation: runs.WorkerIncarnation
    kind: "CommandKind"
    ref: runs.RunRef
    fence: int
    result: CommandResult
    clock: WorkerClock | None = None
    until_ms: int | None = None


class CommandKind(enum.Enum):
    """Kind of a command to a worker, for one run."""

    START = "start"
    STOP = "stop"
    THROTTLE = "pace"


Event = (
    SchedulerStarted
    | ConfigRead
    | EvacuationsRead
    | WorkersListed
    | SubmitArrived
    | JobWritten
    | QueryArrived
    | QueryAnswered
    | JobRead
    | CancelWritten
    | HolderNotified
    | HolderRead
    | QueueTaken
    | JobsLoaded
    | SubmissionsDeleted
    | JobsChanged
    | BatchCommitted
    | EntryRegistered
    | ReportArrived
    | DirectivesPushed
    | SchedulerStopping
    | ExecutorStarted
    | HeartbeatReceived
    | WorkerLeft
    | EntriesChanged
    | DirectivesArrived
    | ReportAnswered
    | WorkerPolled
    | CommandAnswered
)
