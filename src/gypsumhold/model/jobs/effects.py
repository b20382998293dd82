"""Effects of the schedulers and executors of the job subsystem.

Where a docstring names an event, the effect results in that event, also if it
fails.
"""

import dataclasses
import datetime

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    locality,
    messages,
    records,
    runs,
    specs,
    storage,
    waits,
)

# The owner of an effect is the ticket of the request whose thread runs it;
# effects without an owner run in a thread pool.
NO_OWNER = ""
NO_DELAY = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """A line of the decision log.

    Attributes:
        decision: Kind of the decision or observation.
        subject: Id of the job, run, instance or entry concerned.
        outcome: The result.
        inputs: Names and values that led to the result, with ages or versions.
        owner: Always empty; no thread waits for a log line.
    """

    decision: str
    subject: str
    outcome: str
    inputs: tuple[tuple[str, str], ...] = ()
    owner: str = NO_OWNER


# Measurements of a scheduler, for the metrics; nothing is carried out.


@dataclasses.dataclass(frozen=True, slots=True)
class MeasureWait:
    """Tells how long a job or a long-running task had no run.

    Attributes:
        stage: The stage that took the most time.
        duration: Time from the end of the latest run, or from when a task
            became ready, until the worker confirmed the next run.
        owner: Always empty.
    """

    stage: waits.WaitStage
    duration: datetime.timedelta
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class SampleWaits:
    """Tells how many jobs and long-running tasks have no run.

    Attributes:
        longest: Longest time for which one of them has had none.
        waiting: Number of them.
        owner: Always empty.
    """

    longest: datetime.timedelta
    waiting: int
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class MeasureNearWait:
    """Tells that a wait for a near place has begun or ended.

    Attributes:
        outcome: How it ended; None if it has begun.
        duration: How long it lasted; zero if it has begun.
        owner: Always empty.
    """

    outcome: locality.NearWaitOutcome | None
    duration: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


# Effects of a scheduler.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerQuery:
    """Answers a caller or another entry; the last effect of its ticket."""

    owner: ids.TicketId
    answer: messages.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyReport:
    """Answers an agent's report; the last effect of its ticket."""

    owner: ids.TicketId
    directives: messages.Directives


@dataclasses.dataclass(frozen=True, slots=True)
class FollowConfig:
    """After `delay`, waits for what the operator changes after version `after`.

    That is the queue configuration and the evacuations. Results in
    `ConfigRead`.
    """

    after: ids.RowVersion
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEvacuations:
    """After `delay`, reads all evacuations; results in `EvacuationsRead`.

    It is sent at `asked_at` or later.
    """

    term: ids.Epoch
    asked_at: datetime.timedelta
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ListWorkers:
    """Reads which workers the platform has up; results in `WorkersListed`.

    It is sent at `asked_at` or later.
    """

    term: ids.Epoch
    asked_at: datetime.timedelta
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class WriteJob:
    """Stores a submission after `delay` unless its job id is taken.

    Results in `JobWritten`.
    """

    owner: ids.TicketId
    spec: specs.JobSpec
    delay: datetime.timedelta = NO_DELAY


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJob:
    """Reads the rows of one job.

    Results in `JobRead`.
    """

    owner: ids.TicketId
    job_id: specs.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCancel:
    """Stores a cancellation after `delay`.

    Results in `CancelWritten`.
    """

    owner: ids.TicketId
    job_id: specs.JobId
    delay: datetime.timedelta = NO_DELAY


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardQuery:
    """Forwards a caller's query to the holder.

    Results in `QueryAnswered`.
    """

    owner: ids.TicketId
    address: members.Address
    query: messages.Query


@dataclasses.dataclass(frozen=True, slots=True)
class NotifyHolder:
    """Notifies the holder of a submission that was just stored.

    The holder finds the submission in the store as well, so nothing is repeated
    after a failure. Results in `HolderNotified`.
    """

    address: members.Address
    query: messages.Query
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHolder:
    """Reads the holder's row.

    Results in `HolderRead`.
    """

    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class TakeQueue:
    """Attempts to become the holder.

    Results in `QueueTaken`.

    Attributes:
        expected: Version that the holder's row must have.
        holder: New record of the holder.
        entry: New record of this entry.
    """

    expected: ids.RowVersion
    holder: records.HolderRecord
    entry: records.EntryRecord
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterEntry:
    """Stores where this entry receives reports.

    Results in `EntryRegistered`.
    """

    record: records.EntryRecord
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class LoadJobs:
    """Reads all jobs after `delay`.

    Results in `JobsLoaded`.
    """

    term: ids.Epoch
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteSubmissions:
    """Deletes the submissions of jobs whose retention time has passed.

    Results in `SubmissionsDeleted`.
    """

    term: ids.Epoch
    job_ids: tuple[specs.JobId, ...]
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class FollowJobs:
    """After `delay`, waits for new submissions and cancellations.

    Results in `JobsChanged`.

    Attributes:
        term: Term of the holder.
        after: Version above which rows are read.
        delay: Delay before the read.
    """

    term: ids.Epoch
    after: ids.RowVersion
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class CommitBatch:
    """Stores a batch after `delay`.

    Results in `BatchCommitted`.
    """

    batch: storage.Batch
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PushDirectives:
    """Sends directives to an agent without waiting for its report.

    Results in `DirectivesPushed`.
    """

    instance: ids.InstanceId
    address: members.Address
    directives: messages.Directives
    owner: str = NO_OWNER


# Effects of an executor.


@dataclasses.dataclass(frozen=True, slots=True)
class FollowEntries:
    """After `delay`, waits for registered entries above version `after`.

    Results in `EntriesChanged`.
    """

    after: ids.RowVersion
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Sends a report to an entry.

    Results in `ReportAnswered`.
    """

    address: members.Address
    report: messages.Report
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PollWorker:
    """Reads the worker's lists, extends the lease and acknowledges ends.

    Results in `WorkerPolled`.

    Attributes:
        worker: The worker to poll.
        fence: Fence of the call; the worker refuses calls with a lower fence
            than the highest that it has seen.
        acknowledged: The worker may discard ends up to this number.
        until_ms: New end of the lease on the worker's clock; None to leave
            the lease as it is.
        wait: How long the worker may wait for a run to end before it answers.
        delay: Delay before the call.
    """

    worker: runs.Worker
    fence: int
    acknowledged: runs.EndNumber
    until_ms: int | None
    wait: datetime.timedelta
    delay: datetime.timedelta = NO_DELAY
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Commands the worker to start a run.

    Results in `CommandAnswered`.

    Attributes:
        worker: The worker.
        fence: Fence of the call.
        command: The run to start.
        until_ms: End of the lease on the worker's clock.
        valid_until: End of the lease on the agent's clock; the command is not
            sent later. By then a new incarnation of the worker, whose clock
            starts anew, may have the same name.
    """

    worker: runs.Worker
    fence: int
    command: runs.StartCommand
    until_ms: int
    valid_until: datetime.timedelta
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Commands the worker to stop a run.

    Results in `CommandAnswered`.
    """

    worker: runs.Worker
    fence: int
    ref: runs.RunRef
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Commands the worker to limit a run to a percentage of its full speed.

    Results in `CommandAnswered`.
    """

    worker: runs.Worker
    fence: int
    ref: runs.RunRef
    throttle_percent: int
    owner: str = NO_OWNER


FinalEffect = AnswerQuery | ReplyReport

Effect = (
    Log
    | MeasureWait
    | SampleWaits
    | MeasureNearWait
    | AnswerQuery
    | ReplyReport
    | FollowConfig
    | ReadEvacuations
    | ListWorkers
    | WriteJob
    | ReadJob
    | WriteCancel
    | ForwardQuery
    | NotifyHolder
    | ReadHolder
    | TakeQueue
    | RegisterEntry
    | LoadJobs
    | DeleteSubmissions
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
