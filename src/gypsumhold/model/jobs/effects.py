"""Everything that the roles of the job subsystem can do."""

import dataclasses
import datetime

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import messages, records, runs, specs, storage

NO_OWNER = ""
NO_PAUSE = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """One line of the log.

    Attributes:
        decision: What was decided or what the process now believes.
        subject: Id of the job, run, instance or entry.
        outcome: The result.
        inputs: What decided it, with ages or versions.
        owner: Never set; a line has no waiting thread.
    """

    decision: str
    subject: str
    outcome: str
    inputs: tuple[tuple[str, str], ...] = ()
    owner: str = NO_OWNER


# Effects of a scheduler.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerQuery:
    """Answers a caller or another entry; final for its ticket."""

    owner: ids.TicketId
    answer: messages.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyReport:
    """Answers an agent; final for its ticket."""

    owner: ids.TicketId
    directives: messages.Directives


@dataclasses.dataclass(frozen=True, slots=True)
class FollowConfig:
    """Reads the queues; waits for a version above `after`."""

    after: ids.RowVersion
    pause: datetime.timedelta = NO_PAUSE
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class WriteJob:
    """Stores a submission after `pause`, unless the job is stored."""

    owner: ids.TicketId
    spec: specs.JobSpec
    pause: datetime.timedelta = NO_PAUSE


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJob:
    """Reads the rows of one job."""

    owner: ids.TicketId
    job_id: specs.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCancel:
    """Stores a cancellation after `pause`."""

    owner: ids.TicketId
    job_id: specs.JobId
    pause: datetime.timedelta = NO_PAUSE


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardQuery:
    """Asks the holder for a waiting caller."""

    owner: ids.TicketId
    address: members.Address
    query: messages.Query


@dataclasses.dataclass(frozen=True, slots=True)
class TellHolder:
    """Tells the holder of a submission that was just stored."""

    address: members.Address
    query: messages.Query
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHolder:
    """Reads the holder's row."""

    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class TakeHolder:
    """Tries to become the holder."""

    expected: ids.RowVersion
    holder: records.HolderRecord
    entry: records.EntryRecord
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterEntry:
    """Stores where this entry takes reports."""

    record: records.EntryRecord
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class LoadJobs:
    """Reads all jobs after `pause`."""

    term: ids.Epoch
    pause: datetime.timedelta = NO_PAUSE
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveJobs:
    """Deletes the submissions of jobs that ended long ago."""

    term: ids.Epoch
    job_ids: tuple[specs.JobId, ...]
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class FollowJobs:
    """Reads submissions and cancellations above a version."""

    term: ids.Epoch
    after: ids.RowVersion
    pause: datetime.timedelta = NO_PAUSE
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class CommitBatch:
    """Stores a batch after `pause`."""

    batch: storage.Batch
    pause: datetime.timedelta = NO_PAUSE
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PushDirectives:
    """Sends directives to an agent unasked."""

    instance: ids.InstanceId
    address: members.Address
    directives: messages.Directives
    owner: str = NO_OWNER


# Effects of an executor.


@dataclasses.dataclass(frozen=True, slots=True)
class FollowEntries:
    """Reads the registered entries above a version."""

    after: ids.RowVersion
    pause: datetime.timedelta = NO_PAUSE
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Reports to an entry."""

    address: members.Address
    report: messages.Report
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PollWorker:
    """Reads the worker's lists, extends its lease, acknowledges ends.

    Attributes:
        worker: Who is asked.
        fence: Fence of the call.
        acknowledged: Ends up to this one may be forgotten.
        until_ms: New end of the lease on the worker's clock; None to only
            look.
        wait: How long the worker may wait for an end before it answers.
        pause: Delay before the call.
    """

    worker: runs.Worker
    fence: int
    acknowledged: runs.EndNumber
    until_ms: int | None
    wait: datetime.timedelta
    pause: datetime.timedelta = NO_PAUSE
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Orders the worker to start a run."""

    worker: runs.Worker
    fence: int
    command: runs.StartCommand
    until_ms: int
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Orders the worker to end a run."""

    worker: runs.Worker
    fence: int
    ref: runs.RunRef
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Lets a run work at `percent` of full speed."""

    worker: runs.Worker
    fence: int
    ref: runs.RunRef
    percent: int
    owner: str = NO_OWNER


FinalEffect = AnswerQuery | ReplyReport

Effect = (
    Log
    | AnswerQuery
    | ReplyReport
    | FollowConfig
    | WriteJob
    | ReadJob
    | WriteCancel
    | ForwardQuery
    | TellHolder
    | ReadHolder
    | TakeHolder
    | RegisterEntry
    | LoadJobs
    | RemoveJobs
    | FollowJobs
    | CommitBatch
    | PushDirectives
    | FollowEntries
    | SendReport
    | PollWorker
    | StartRun
    | StopRun
    | ThrottleRun
)
CommandEffect = StartRun | StopRun | ThrottleRun
