"""Messages between the processes of the job subsystem."""

import datetime
import enum
import re
from typing import Annotated

import msgspec

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import evacuations, runs, specs

MAX_GRANT_MS = 60_000
GrantMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_GRANT_MS)]

MAX_LEASE_MS = 120_000
LeaseMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_LEASE_MS)]

MAX_IDLE_MS = 3_600_000
"""Longest idle time that an agent tells, in ms; what happened before does not
matter any more."""
IdleMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_IDLE_MS)]

NOT_ABSENT = -1
"""Stands for a worker that the platform's latest list has, or that no list was
asked for."""

MAX_HOST_LENGTH = 253
HOST_PATTERN = (
    r"\A(?:[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*"
    r"|[0-9A-Fa-f]*:[0-9A-Fa-f:]+)\Z"
)
"""A name or an IPv4 address, in labels of 1 to 63 characters; or IPv6."""

Host = Annotated[
    str, msgspec.Meta(pattern=HOST_PATTERN, max_length=MAX_HOST_LENGTH)
]
Port = Annotated[int, msgspec.Meta(ge=members.MIN_PORT, le=members.MAX_PORT)]


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """Encoded address at which a process answers other processes.

    Decoding refuses a host or a port that no call can reach.
    """

    host: Host
    port: Port

    def build_address(self) -> members.Address:
        """Returns the endpoint as an address."""
        return members.Address(self.host, self.port)


def is_reachable(host: str, port: int) -> bool:
    """Tells whether an endpoint may have this host and this port."""
    is_host = len(host) <= MAX_HOST_LENGTH and re.search(HOST_PATTERN, host)
    return bool(is_host) and members.MIN_PORT <= port <= members.MAX_PORT


class LateStart(msgspec.Struct, frozen=True, array_like=True):
    """A run of which a start got no answer, and may be carried out late.

    Attributes:
        ref: The run; it may have ended, or be confirmed by another start.
        left_ms: How long a run by that start may go on if nobody hears of it.
        keeps_end: Whether the end of the run as done must not be acknowledged
            meanwhile.
        is_last: Whether this process sends no further start of the run.
    """

    ref: runs.RunRef
    left_ms: LeaseMs
    keeps_end: bool = False
    is_last: bool = False


REPORT_INTERVAL = datetime.timedelta(seconds=1)
"""Longest pause between two reports of an agent."""

UNKNOWN_SILENCE = -1
"""Stands for a silence that did not begin or whose begin is not known."""


class Report(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report of an agent to the holder of the queue.

    Attributes:
        instance: Name of the agent's instance.
        incarnation: Incarnation of the agent's process.
        sequence: Rises with each report of one incarnation.
        endpoint: Where the agent receives directives.
        worker: The worker beside the agent; None until its current incarnation
            has answered a poll.
        term: Highest term that the agent has seen.
        rows: Every run that the holder requested or that the agent found on
            the worker, unless it has ended or was refused.
        found: Runs that the agent found on the worker without a command to
            start them.
        ends: Ends that are not yet acknowledged.
        refused: Requested runs that were not started and never start later.
        allowances: `ServingImage.mean_available` of each image that serves
            here: the mean headroom that best-effort tasks may take from it.
        interference_sums: Interference measured by the agent, for the pairs of
            images whose sums the holder does not have yet.
        answering: Whether the worker answers the agent; False also before the
            first answer to a poll and once the worker shuts down.
        runs_ended: Whether every run that `rows` does not have has certainly
            ended, because its lease has expired or the worker has left.
        silent_after_ms: Time from the latest answer of the worker until it was
            found to be silent; `UNKNOWN_SILENCE` if it is not.
        losses: Former incarnations of the worker that were lost with runs that
            they had just started, until the holder has stored these crashes.
        lease_left_ms: How long runs that have begun may go on if the agent
            sends no further lease.
        late_starts: Runs with starts that may be carried out late.
        idle_ms: For how long no process of the agent has sent a start; 0 if one
            may be on its way out, or the agent does not tell.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    endpoint: Endpoint
    worker: runs.Worker | None
    term: ids.Epoch
    rows: tuple[runs.RunRow, ...] = ()
    found: tuple[runs.RunRef, ...] = ()
    ends: tuple[runs.EndRow, ...] = ()
    refused: tuple[runs.RefusedRow, ...] = ()
    allowances: tuple[runs.Allowance, ...] = ()
    interference_sums: tuple[runs.InterferenceSums, ...] = ()
    answering: bool = True
    runs_ended: bool = False
    silent_after_ms: runs.SpanMs = UNKNOWN_SILENCE
    losses: tuple[runs.LossRow, ...] = ()
    lease_left_ms: LeaseMs = 0
    late_starts: tuple[LateStart, ...] = ()
    idle_ms: IdleMs = 0


class Directives(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Instructions of the holder of the queue to an agent.

    Attributes:
        term: Term of the sender; an agent follows the highest.
        holder: Name of the sender; empty if it does not hold the queue.
        endpoint: Where the agent sends further reports; None if unknown.
        incarnation: Incarnation of the agent that the directives are for.
        sequence: Rises with each message of a term to one agent.
        worker_incarnation: Incarnation of the worker that the directives are
            for.
        grant_ms: How long runs may continue, counted from when the report was
            sent; 0 in messages that answer no report.
        acknowledged: Ends up to this one are stored.
        starts: Commands for runs to start: placed runs that the report does
            not list.
        stops: Runs to stop.
        found: Commands of the runs that the report lists as `found`.
        interference_estimates: Estimates for the images that run on the
            agent's worker, from the measurements of all agents.
        deferred: Best-effort runs that give way to those before them and to
            those that are not named; None in messages that answer no report.
        withdrawn: Placed runs that the report does not list and that are not to
            run any more; the agent refuses those that it does not know.
        stored_losses: Reported losses of which everything that the holder
            records is stored.
        evacuation_notice: Evacuations of data centres; None if those that the
            sender knows may be outdated.
        late_starts: Placed runs of which former processes of the agent may
            have sent several starts, so that one may be late although another
            was carried out.
        absent_ms: How long ago the platform's list was asked for that did not
            have the worker; `NOT_ABSENT` if there is none.
    """

    term: ids.Epoch
    holder: str
    endpoint: Endpoint | None
    incarnation: ids.Incarnation
    sequence: int
    worker_incarnation: runs.WorkerIncarnation
    grant_ms: GrantMs = 0
    acknowledged: runs.EndNumber = runs.EndNumber(0)
    starts: tuple[runs.StartCommand, ...] = ()
    stops: tuple[runs.RunRef, ...] = ()
    found: tuple[runs.StartCommand, ...] = ()
    interference_estimates: tuple[runs.InterferenceEstimate, ...] = ()
    deferred: tuple[runs.RunRef, ...] | None = None
    withdrawn: tuple[runs.RunRef, ...] = ()
    stored_losses: tuple[runs.WorkerIncarnation, ...] = ()
    evacuation_notice: evacuations.Evacuations | None = None
    late_starts: tuple[runs.RunRef, ...] = ()
    absent_ms: runs.SpanMs = NOT_ABSENT


class Received(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Confirms directives that were sent without a report."""


class QueryKind(enum.Enum):
    """Kind of a query."""

    STATE = "state"
    CANCEL = "cancel"
    WAITING = "waiting"
    """Asks how many jobs of a queue are waiting."""

    ACCEPTED = "accepted"
    """Tells the holder that another entry has just stored a job."""

    SUBMIT = "submit"
    """Asks the holder to store a job that another entry could not store."""


class Query(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A query about a job or a queue, as entries forward it to the holder.

    Attributes:
        kind: Kind of the query.
        job_id: The job; empty for a query about a queue.
        queue: The queue; empty for a query about a job.
        spec: The submission, for `ACCEPTED` and `SUBMIT`.
    """

    kind: QueryKind
    job_id: specs.JobId = specs.JobId("")
    queue: specs.QueueName = specs.QueueName("")
    spec: specs.JobSpec | None = None


class JobState(enum.Enum):
    """State of a job that callers see."""

    QUEUED = "queued"
    """No task has been placed yet."""

    RUNNING = "running"
    """A task has been placed; whether a run has begun is another question."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
"""A tuple, as it is searched often and the hash of an enum is slow."""


class Verdict(enum.Enum):
    """Result of a caller's request about jobs."""

    ACCEPTED = "accepted"
    OVERLOADED = "overloaded"
    """The job was not accepted, because too much is queued; it never runs."""

    UNAVAILABLE = "unavailable"
    """The request was not carried out; a submitted job never runs."""

    UNKNOWN = "unknown"
    """The job may have been accepted or cancelled; the caller has to retry."""

    STATE = "state"
    WAITING = "waiting"
    CANCELLED = "cancelled"
    NO_SUCH_JOB = "no-such-job"
    NOT_HOLDER = "not-holder"
    """The entry to which the query was forwarded does not hold the queue."""

    NOT_SENT = "not-sent"
    """The holder was not reached, so it has not seen the query."""


class Answer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer to a query or a submission.

    Attributes:
        verdict: Result of the request.
        state: State of the job, for the verdict `STATE`.
        waiting: Number of jobs of which no run has begun, for the verdict
            `WAITING`.
        retry_after_s: Seconds before the caller should retry; 0 for no advice.
    """

    verdict: Verdict
    state: JobState | None = None
    waiting: int = 0
    retry_after_s: int = 0


Message = Report | Directives | Received | Query | Answer
