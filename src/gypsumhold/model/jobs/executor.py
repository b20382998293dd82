"""State of an executor: the role of an agent for jobs."""

import dataclasses
import datetime
import enum

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    events,
    messages,
    policies,
    records,
    runs,
    specs,
)

ZERO = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorOptions:
    """Options of an executor.

    Attributes:
        instance: Name of the instance.
        incarnation: Life of the process; also the first fence.
        endpoint: Where the executor takes directives.
        report_time: Longest pause between two reports.
        max_lease: Longest time that a lease of a former process may go on.
        serving_poll_wait: The same beside tasks that have to be paced.
        poll_wait: How long a worker may wait for an end before it lists.
        clock_slack: Share by which the worker's clock may run slow.
        start_margin: Least lease that is left when a start is ordered.
        retry_time: Pause after a call that failed.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    endpoint: messages.Endpoint
    report_time: datetime.timedelta = datetime.timedelta(seconds=1)
    max_lease: datetime.timedelta = datetime.timedelta(milliseconds=10500)
    poll_wait: datetime.timedelta = datetime.timedelta(milliseconds=1000)
    serving_poll_wait: datetime.timedelta = datetime.timedelta(milliseconds=300)
    clock_slack: float = 0.02
    start_margin: datetime.timedelta = datetime.timedelta(milliseconds=1500)
    retry_time: datetime.timedelta = datetime.timedelta(milliseconds=200)


class LocalState(enum.Enum):
    """Where a run stands on the worker."""

    WAITING = "waiting"
    """Ordered by the holder; no call has gone out."""

    STARTING = "starting"
    IN_DOUBT = "doubtful"
    """The start got no answer; a look under a newer fence decides."""

    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class LocalRun:
    """A run that the agent was ordered to start or has found.

    Attributes:
        ref: The run.
        command: Its order; None for a run that was found.
        state: Where it stands.
        received_at: When the holder ordered it.
        row: How the worker listed it last.
        fence: Fence that a look must carry to decide a doubtful start.
        confirmed_at: When the start was confirmed.
        stop_sent: Whether a stop is under way.
        percent: Pace that was ordered last.
    """

    ref: runs.RunRef
    command: runs.StartCommand | None
    state: LocalState
    received_at: datetime.timedelta = ZERO
    row: runs.RunRow | None = None
    fence: int = 0
    confirmed_at: datetime.timedelta = ZERO
    stop_sent: bool = False
    percent: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Readings of one look.

    Attributes:
        at: When it was taken.
        headrooms: Headroom of each serving task, by image.
        cores: Cpu in use by the fillers of each image.
    """

    at: datetime.timedelta
    headrooms: dict[specs.Image, dict[runs.RunRef, float]]
    cores: dict[specs.Image, float]


@dataclasses.dataclass(slots=True)
class Headroom:
    """What is known of one image that serves on the worker.

    Attributes:
        allowed: Headroom that fillers may take from it.
        mean_allowed: What fillers could take on average over the last
            seconds, also if none ran.
        latest: Least headroom of its tasks at the last look.
        drift: Change of headroom a second by the load of the tasks.
        low_since: Since when it has had hardly any headroom.
        strained: Whether that has been for too long.
    """

    allowed: float
    mean_allowed: float
    latest: float | None = None
    drift: float = 0.0
    low_since: datetime.timedelta | None = None
    strained: bool = False


@dataclasses.dataclass(slots=True)
class ExecutorState:
    """State of one executor.

    Attributes:
        options: Options.
        policies: Decisions that vary.
        worker: The worker beside the agent.
        clock: Latest reading of the worker's clock.
        polled: Whether the present life's lists were read once.
        poll_pending: Whether a look is under way.
        fence: Fence of the next call; rises after each doubtful one.
        active: Runs that were ordered or found, by name.
        ends: Ends that are not acknowledged.
        refused: Runs that never started, until they are reported.
        acknowledged: Highest acknowledged end of this life.
        lease_end: Until when runs may go on.
        term: Highest term seen.
        sequence: Highest directives seen of that term.
        holder: Where reports go.
        entries: Registered entries by name.
        entries_version: Where the next read of the entries continues.
        next_entry: Which entry is asked next without a holder.
        report_number: Number of the latest report.
        report_sent: Whether a report is under way.
        report_due: Whether there is news since the latest report.
        serving: What is known of each image that serves here.
        deferred: Fillers of jobs that are late; the others go first.
        sample: What the last look showed, for the next difference.
        interference_sums: What was measured of pairs of images on this worker.
        unreported: Pairs that the holder does not know the latest of.
        reported_sums: Influences in the report that is under way.
        interference_estimates: Headroom that one core of a best-effort image
            takes from a serving image, as estimated from the measurements of
            all agents.
        answering: Whether the worker answered the latest look.
        left: Whether the worker said that it ends.
        runs_expire_at: When everything that was ordered has certainly ended if
            the lease is not extended.
        reported_refusals: Refusals in the report that is under way.
    """

    options: ExecutorOptions
    policies: policies.ExecutorPolicies
    worker: runs.Worker | None = None
    clock: events.WorkerClock | None = None
    polled: bool = False
    poll_pending: bool = False
    fence: int = 0
    active: dict[runs.RunRef, LocalRun] = dataclasses.field(
        default_factory=dict
    )
    ends: dict[runs.EndNumber, runs.EndRow] = dataclasses.field(
        default_factory=dict
    )
    refused: dict[runs.RunRef, runs.Refusal] = dataclasses.field(
        default_factory=dict
    )
    acknowledged: runs.EndNumber = runs.EndNumber(0)
    lease_end: datetime.timedelta = ZERO
    term: ids.Epoch = ids.Epoch(0)
    sequence: int = 0
    holder: members.Address | None = None
    entries: dict[str, records.EntryRecord] = dataclasses.field(
        default_factory=dict
    )
    entries_version: ids.RowVersion = ids.RowVersion(0)
    next_entry: int = 0
    report_number: int = 0
    report_sent: bool = False
    report_due: bool = False
    serving: dict[specs.Image, Headroom] = dataclasses.field(
        default_factory=dict
    )
    deferred: frozenset[runs.RunRef] = frozenset()
    sample: Sample | None = None
    interference_sums: dict[runs.ImagePair, runs.InterferenceSums] = (
        dataclasses.field(default_factory=dict)
    )
    unreported: set[runs.ImagePair] = dataclasses.field(default_factory=set)
    reported_sums: tuple[runs.InterferenceSums, ...] = ()
    interference_estimates: dict[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    answering: bool = True
    left: bool = False
    runs_expire_at: datetime.timedelta = ZERO
    reported_refusals: tuple[runs.RunRef, ...] = ()
