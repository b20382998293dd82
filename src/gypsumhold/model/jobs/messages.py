"""Messages between the processes of the job subsystem."""

import enum

import msgspec

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import runs, specs


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """Where a process answers the others."""

    host: str
    port: int

    def build_address(self) -> members.Address:
        """Returns the address."""
        return members.Address(self.host, self.port)


class Report(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What an agent tells the holder of the queue.

    Attributes:
        instance: Name of the agent's instance.
        incarnation: Life of the agent's process.
        sequence: Rises with each report of one incarnation.
        endpoint: Where the agent takes directives.
        worker: The worker beside the agent; None until it has reported.
        term: Highest term that the agent has seen.
        rows: Every run that the agent has been ordered or has found.
        unknown: Runs that it has found and was never told of.
        ends: Ends that are not yet acknowledged.
        refused: Ordered runs that never started.
        allowed: Headroom that fillers may take on average from each image
            that serves here.
        influences: What the agent measured of pairs of images, as far as the
            holder does not know it yet.
        answering: Whether the worker answers the agent.
        runs_expired: Whether every earlier run has certainly ended, because its
            lease is over or the worker has left.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    endpoint: Endpoint
    worker: runs.Worker | None
    term: ids.Epoch
    rows: tuple[runs.RunRow, ...] = ()
    unknown: tuple[runs.RunRef, ...] = ()
    ends: tuple[runs.EndRow, ...] = ()
    refused: tuple[runs.RefusedRow, ...] = ()
    allowed: tuple[runs.Allowance, ...] = ()
    influences: tuple[runs.Influence, ...] = ()
    answering: bool = True
    runs_expired: bool = False


class Directives(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What the holder of the queue wants from an agent.

    Attributes:
        term: Term of the sender; an agent follows the highest.
        holder: Name of the sender, empty if it does not hold the queue.
        endpoint: Where reports go from now on; None if unknown.
        incarnation: Life of the agent that this is meant for.
        sequence: Rises with each message of a term to one agent.
        life: Life of the worker that this is meant for.
        grant_ms: How long runs may go on, counted from when the report was
            sent; 0 in messages that answer no report.
        acknowledged: Ends up to this one are stored.
        starts: Runs that the report does not list.
        stops: Runs that have to end.
        found: Orders of the runs that the agent did not know.
        pressures: What all agents together measured of the images that run
            on the agent's worker.
        deferred: Fillers that give way to others, because their jobs are late;
            None in messages that answer no report.
    """

    term: ids.Epoch
    holder: str
    endpoint: Endpoint | None
    incarnation: ids.Incarnation
    sequence: int
    life: runs.WorkerLife
    grant_ms: int = 0
    acknowledged: runs.EndNumber = runs.EndNumber(0)
    starts: tuple[runs.StartOrder, ...] = ()
    stops: tuple[runs.RunRef, ...] = ()
    found: tuple[runs.StartOrder, ...] = ()
    pressures: tuple[runs.Pressure, ...] = ()
    deferred: tuple[runs.RunRef, ...] | None = None


class Received(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answers directives that were sent unasked."""


class Question(enum.Enum):
    """What one entry asks the holder of the queue."""

    STATE = "state"
    CANCEL = "cancel"
    WAITING = "waiting"
    ACCEPTED = "accepted"
    SUBMIT = "submit"
    """Another entry can't store the job of a caller."""


class Query(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A caller's question that reached another entry.

    Attributes:
        question: What is asked.
        job_id: The job; empty for a question about a queue.
        queue: The queue; empty for a question about a job.
        spec: The job, for `ACCEPTED` (just stored) and `SUBMIT`.
    """

    question: Question
    job_id: specs.JobId = specs.JobId("")
    queue: specs.QueueName = specs.QueueName("")
    spec: specs.JobSpec | None = None


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class Verdict(enum.Enum):
    """Result of a caller's request about jobs."""

    ACCEPTED = "accepted"
    OVERLOADED = "overloaded"
    """Not accepted; never runs."""

    UNAVAILABLE = "unavailable"
    """Not accepted; never runs."""

    UNKNOWN = "unknown"
    """May have been accepted or cancelled; ask again."""

    STATE = "state"
    WAITING = "waiting"
    CANCELLED = "cancelled"
    NO_SUCH_JOB = "no-such-job"
    NOT_HOLDER = "not-holder"
    NOT_SENT = "not-sent"
    """The holder was not reached, so it has seen nothing of the query."""


class Answer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answers a query."""

    verdict: Verdict
    state: JobState | None = None
    waiting: int = 0
    retry_after_s: int = 0


Message = Report | Directives | Received | Query | Answer
