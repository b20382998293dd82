"""State of a scheduler: the role of an entry for jobs."""

import dataclasses
import datetime
import enum
import random

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    messages,
    policies,
    progress,
    runs,
    specs,
    storage,
)

ZERO = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerOptions:
    """Options of a scheduler.

    Attributes:
        name: Name of the entry.
        incarnation: Life of the process.
        endpoint: Where the entry answers agents and other entries.
        grant: How long an agent's runs may go on after a report.
        grant_window: How long a holder grants after its last stored batch.
        takeover_delay: Silence of the holder's row before another entry
            takes over.
        renew_interval: Longest pause between two batches.
        poll_interval: Pause between reads of the holder's row.
        report_timeout: Silence of an agent before it gets no new runs.
        retention: How long ended jobs are kept.
        seed: Seed of the random numbers.
    """

    name: str
    incarnation: ids.Incarnation
    endpoint: messages.Endpoint
    grant: datetime.timedelta = datetime.timedelta(seconds=7)
    grant_window: datetime.timedelta = datetime.timedelta(seconds=4)
    takeover_delay: datetime.timedelta = datetime.timedelta(milliseconds=2500)
    renew_interval: datetime.timedelta = datetime.timedelta(milliseconds=700)
    poll_interval: datetime.timedelta = datetime.timedelta(milliseconds=700)
    report_timeout: datetime.timedelta = datetime.timedelta(milliseconds=2500)
    retention: datetime.timedelta = datetime.timedelta(seconds=180)
    seed: int = 0


class Role(enum.Enum):
    """What the scheduler does for the queue."""

    FOLLOWER = "follower"
    TAKING = "taking"
    LOADING = "loading"
    HOLDER = "holder"
    STOPPED = "stopped"


@dataclasses.dataclass(slots=True)
class Acknowledgement:
    """Ends up to `number` are stored once `batch` is."""

    number: runs.EndNumber
    batch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedTask:
    """A task together with where it belongs."""

    job: progress.Job
    step: progress.Step
    task: progress.Task


@dataclasses.dataclass(slots=True)
class AgentView:
    """What the holder knows of one agent.

    Attributes:
        instance: Name of its instance.
        report: Its latest report.
        last_report_at: When the latest report arrived.
        life: Latest life of the worker that was reported.
        sequence: Number of the latest directives.
        last_handled_end: Highest end that was taken in, of the present life.
        acknowledgements: Ends that wait for their batch.
        acknowledged: Highest end that is stored.
        placed: Tasks that are placed here.
        failed_jobs: Jobs with a failed run here since the last success.
        quarantines: Rests in a row without a success between them.
        quarantined_until: Until when it gets no new runs.
        stops_sent: Stops that were sent since the latest report.
        influences: What the agent measured of pairs of images.
    """

    instance: ids.InstanceId
    report: messages.Report
    last_report_at: datetime.timedelta
    life: runs.WorkerLife = runs.NO_LIFE
    sequence: int = 0
    last_handled_end: runs.EndNumber = runs.EndNumber(0)
    acknowledgements: list[Acknowledgement] = dataclasses.field(
        default_factory=list
    )
    acknowledged: runs.EndNumber = runs.EndNumber(0)
    placed: dict[runs.TaskRef, PlacedTask] = dataclasses.field(
        default_factory=dict
    )
    failed_jobs: set[specs.JobId] = dataclasses.field(default_factory=set)
    quarantines: int = 0
    quarantined_until: datetime.timedelta = ZERO
    stops_sent: set[runs.RunRef] = dataclasses.field(default_factory=set)
    influences: dict[runs.ImagePair, runs.Influence] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Ticket:
    """A caller that waits.

    Attributes:
        deadline: When it stops to wait.
        spec: Submission, for a caller that hands a job in.
        query: Question, for a caller that asks.
        in_doubt: Whether an earlier try may have been or may be stored.
        attempts: Tries so far.
        cancelling: Whether the answer waits for a stored cancellation.
        forwarded: Whether another entry asks, or was asked; it is not asked
            again.
    """

    deadline: datetime.timedelta
    spec: specs.JobSpec | None = None
    query: messages.Query | None = None
    in_doubt: bool = False
    attempts: int = 0
    cancelling: bool = False
    forwarded: bool = False


@dataclasses.dataclass(slots=True)
class HolderState:
    """What exists only while this scheduler holds the queue.

    Attributes:
        term: Term of the holder.
        version: Version of the holder's row.
        batch: Number of the batch that is next or under way.
        stored: Highest stored batch.
        in_flight: Batch that is under way.
        sent_at: When the batch under way was first sent.
        renewed_at: When the latest stored batch was sent.
        term_started_at: When the term began.
        jobs: All jobs that are not yet removed.
        dirty: Jobs whose progress changed since the last batch.
        deleting_submissions: Jobs whose submissions are being deleted.
        deletable_progress: Jobs whose progress is to be deleted.
        agents: Agents by instance.
        orphans: Tasks that were placed on instances that have not reported
            in this term.
        open_jobs: Jobs of which tasks may still be placed.
        plan_due: Whether something changed that placement depends on.
        next_read_version: Where the next read of submissions continues.
        wall_offset_ms: Unix time less the scheduler's clock.
        commit_attempts: Tries of the batch that is under way.
        force_batch: Whether a batch is due though no job changed, because
            ends wait for one that is under way.
        cautious_interference: Headroom that a core of fillers takes from a
            serving image, cautiously.
        expected_interference: The same, hopefully.
        releasing: Whether the next batch leaves the queue without a holder.
    """

    term: ids.Epoch
    version: ids.RowVersion
    term_started_at: datetime.timedelta
    renewed_at: datetime.timedelta
    batch: int = 1
    stored: int = 0
    in_flight: storage.Batch | None = None
    sent_at: datetime.timedelta = ZERO
    jobs: dict[specs.JobId, progress.Job] = dataclasses.field(
        default_factory=dict
    )
    dirty: set[specs.JobId] = dataclasses.field(default_factory=set)
    deleting_submissions: set[specs.JobId] = dataclasses.field(
        default_factory=set
    )
    deletable_progress: set[specs.JobId] = dataclasses.field(
        default_factory=set
    )
    agents: dict[ids.InstanceId, AgentView] = dataclasses.field(
        default_factory=dict
    )
    orphans: dict[ids.InstanceId, dict[runs.TaskRef, PlacedTask]] = (
        dataclasses.field(default_factory=dict)
    )
    open_jobs: dict[specs.JobId, progress.Job] = dataclasses.field(
        default_factory=dict
    )
    plan_due: bool = True
    next_read_version: ids.RowVersion = ids.RowVersion(0)
    wall_offset_ms: int = 0
    commit_attempts: int = 0
    force_batch: bool = False
    releasing: bool = False
    cautious_interference: dict[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    expected_interference: dict[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class SchedulerState:
    """State of one scheduler.

    Attributes:
        options: Options.
        policies: Decisions that vary.
        role: What it does for the queue.
        config: Queues in force; None until the first was read.
        holder_row: The holder's row as it was last read.
        holder_seen_at: When the row was first seen in this version.
        holder_state: Set while this scheduler holds the queue or loads it.
        tickets: Waiting callers.
        registered: Whether agents can find this entry.
        source: Source of random numbers.
        stopping: Whether the process was asked to stop.
        store_answered_at: When the store last answered a call.
        store_failing: Whether a call has failed since.
    """

    options: SchedulerOptions
    policies: policies.SchedulerPolicies
    role: Role = Role.FOLLOWER
    config: specs.QueueConfig | None = None
    holder_row: storage.HolderRow | None = None
    holder_seen_at: datetime.timedelta = ZERO
    holder_state: HolderState | None = None
    tickets: dict[ids.TicketId, Ticket] = dataclasses.field(
        default_factory=dict
    )
    registered: bool = False
    source: random.Random = dataclasses.field(default_factory=random.Random)
    stopping: bool = False
    store_answered_at: datetime.timedelta = ZERO
    store_failing: bool = False

    def find_holder_address(self) -> members.Address | None:
        """Returns where another entry that holds the queue answers."""
        record = None if self.holder_row is None else self.holder_row.record
        if record is None or not record.holder:
            return None
        if record.holder == self.options.name:
            return None
        return record.endpoint.build_address()
