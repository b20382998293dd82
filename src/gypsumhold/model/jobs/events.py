"""Everything that can happen to the roles of the job subsystem."""

import dataclasses
import datetime
import enum

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import messages, runs, specs, storage

# Events of a scheduler (the role of an entry).


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerStarted:
    """The scheduler begins to run."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRead:
    """A read of the configuration ended.

    Attributes:
        config: The newest configuration, if there was a new one.
        version: Where the next read continues.
        result: How the read ended.
    """

    config: specs.QueueConfig | None
    version: ids.RowVersion
    result: "ReadResult"


class ReadResult(enum.Enum):
    """How a read that follows changes ended."""

    DONE = "done"
    LOST = "lost"
    GAP = "gap"
    """The history is gone; everything has to be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitArrived:
    """A caller hands a job in and waits for `remaining` at most."""

    ticket: ids.TicketId
    spec: specs.JobSpec
    remaining: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class JobWritten:
    """A try to store a submission ended."""

    ticket: ids.TicketId
    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller, or another entry for one, asks about a job or a queue."""

    ticket: ids.TicketId
    query: messages.Query
    remaining: datetime.timedelta
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAnswered:
    """The holder answered a forwarded query; None if it did not."""

    ticket: ids.TicketId
    answer: messages.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobRead:
    """The rows of a job were read; None if the read failed."""

    ticket: ids.TicketId
    rows: storage.JobRows | None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWritten:
    """A try to store a cancellation ended."""

    ticket: ids.TicketId
    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class HolderRead:
    """The holder's row was read; None if the read failed."""

    row: storage.HolderRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class HolderTaken:
    """A try to become the holder ended."""

    write: storage.HolderWrite


@dataclasses.dataclass(frozen=True, slots=True)
class JobsLoaded:
    """All jobs were read, at `wall_ms` (Unix); None if the read failed."""

    term: ids.Epoch
    loaded: storage.LoadedJobs | None
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobsRemoved:
    """A try to delete submissions ended."""

    term: ids.Epoch
    job_ids: tuple[specs.JobId, ...]
    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class JobsChanged:
    """What came since was read, at `wall_ms` (Unix); None if that failed."""

    term: ids.Epoch
    changes: storage.JobChanges | None
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCommitted:
    """A try to store a batch ended."""

    term: ids.Epoch
    batch: int
    write: storage.HolderWrite


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRegistered:
    """A try to register this entry ended."""

    result: storage.WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class ReportArrived:
    """An agent reported and waits for directives."""

    ticket: ids.TicketId
    report: messages.Report


@dataclasses.dataclass(frozen=True, slots=True)
class DirectivesPushed:
    """Directives were sent; `received` tells whether an answer came."""

    instance: ids.InstanceId
    received: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerStopping:
    """The process was asked to stop."""


# Events of an executor (the role of an agent).


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorStarted:
    """The executor begins to run."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The worker beside the agent reported about itself."""

    worker: runs.Worker


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """The worker said that it ends."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Registered entries were read; None if the read failed."""

    changes: storage.EntryChanges | None


@dataclasses.dataclass(frozen=True, slots=True)
class DirectivesArrived:
    """The holder sent directives unasked."""

    directives: messages.Directives


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAnswered:
    """A report was answered; None if it was not.

    `sent_at` is the agent's clock before the report went out.
    """

    address: members.Address
    sequence: int
    sent_at: datetime.timedelta
    directives: messages.Directives | None


class CommandResult(enum.Enum):
    """How a worker answered an order."""

    DONE = "done"
    FENCED = "fenced"
    """A higher fence was seen before; nothing was done."""

    STALE = "stale"
    LATE = "late"
    """The lease in the order had ended; nothing was done."""

    NO_CAPACITY = "no-room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other-life"
    UNANSWERED = "unanswered"
    """The order may have been carried out, or may be later."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerClock:
    """A reading of the worker's clock.

    Attributes:
        clock_ms: The reading.
        sent_at: The agent's clock before the call.
        received_at: The agent's clock after the answer.
    """

    clock_ms: int
    sent_at: datetime.timedelta
    received_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerPolled:
    """The worker's lists were read; `clock` is None if that failed.

    Attributes:
        worker_incarnation: Life that was asked.
        fence: Fence that the call carried.
        result: How the call ended.
        clock: The worker's clock.
        started_ms: Start of the life that answered.
        rows: What runs.
        ends: Ends that are not acknowledged.
    """

    worker_incarnation: runs.WorkerIncarnation
    fence: int
    result: CommandResult
    clock: WorkerClock | None = None
    started_ms: int = 0
    rows: tuple[runs.RunRow, ...] = ()
    ends: tuple[runs.EndRow, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CommandAnswered:
    """A start, a stop or a change of pace was answered."""

    worker_incarnation: runs.WorkerIncarnation
    kind: "CommandKind"
    ref: runs.RunRef
    fence: int
    result: CommandResult
    clock: WorkerClock | None = None


class CommandKind(enum.Enum):
    """Orders for one run."""

    START = "start"
    STOP = "stop"
    THROTTLE = "pace"


Event = (
    SchedulerStarted
    | ConfigRead
    | SubmitArrived
    | JobWritten
    | QueryArrived
    | QueryAnswered
    | JobRead
    | CancelWritten
    | HolderRead
    | HolderTaken
    | JobsLoaded
    | JobsRemoved
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
