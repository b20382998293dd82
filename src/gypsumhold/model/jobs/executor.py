"""State of an executor, the job role of an agent.

An executor starts, stops and throttles runs on the worker beside the agent, as
the holder of the queue directs, and reports the state of the worker.
"""

import dataclasses
import datetime
import enum

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    evacuations,
    events,
    messages,
    policies,
    records,
    runs,
    sent_starts,
    specs,
    worker_limits,
)

ZERO = datetime.timedelta(0)

MAX_REPEATED_STARTS = 4
"""How often a start without an answer is sent again. A worker that answers
polls and no starts keeps the task until the last one can't be carried out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorOptions:
    """Options of an executor.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the process; also the first fence.
        endpoint: Where the executor receives directives.
        report_interval: Longest pause between two reports.
        poll_wait: How long the worker may wait for a run to end before it
            answers a poll.
        serving_poll_wait: The same while a task with a latency target runs,
            whose best-effort neighbours have to be throttled in time.
        start_margin: Least remaining lease with which a run is started.
        retry_delay: Delay after a failed call to the worker.
        limits: Limits of the worker and of the calls to it.
        evacuation_time: Within what time after its request an evacuation of a
            data centre is obeyed; None if the platform sets none.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    endpoint: messages.Endpoint
    report_interval: datetime.timedelta = messages.REPORT_INTERVAL
    poll_wait: datetime.timedelta = datetime.timedelta(milliseconds=1000)
    serving_poll_wait: datetime.timedelta = datetime.timedelta(milliseconds=300)
    start_margin: datetime.timedelta = datetime.timedelta(milliseconds=1500)
    retry_delay: datetime.timedelta = datetime.timedelta(milliseconds=200)
    limits: worker_limits.WorkerLimits = worker_limits.WorkerLimits()
    evacuation_time: datetime.timedelta | None = None


class LocalState(enum.Enum):
    """State of a run on the worker, as far as the agent can tell."""

    WAITING = "waiting"
    """Requested by the holder; no start command has been sent."""

    STARTING = "starting"
    """The start command has been sent and is unanswered."""

    IN_DOUBT = "doubtful"
    """Whether the run was started is not known; a later poll decides."""

    RUNNING = "running"


class HoldReason(enum.Enum):
    """Why a requested run is not started yet."""

    NOT_POLLED = "worker not polled"
    NO_LEASE = "no lease"
    SHORT_LEASE = "lease too short"
    UNKNOWN_REQUEST = "run without a known request"
    LATENCY = "latency of serving tasks"
    ACKNOWLEDGEMENT = "acknowledgement of ends"
    EARLIER_START = "earlier start may be taken"
    EVACUATION = "evacuation"
    EVACUATION_UNKNOWN = "evacuations not known"


@dataclasses.dataclass(slots=True)
class LocalRun:
    """A run that the holder requested or that a poll found.

    Attributes:
        ref: The run.
        command: The start command; None for a run that a poll found, until
            the holder sends its command.
        state: State on the worker.
        received_at: When the request to start it arrived.
        hold: Why it was not started when that was last tried; None if it was.
        logged_hold: The reason that was last logged.
        sequence: Sequence, in the present term, of the directives that
            requested it; 0 if they were of a former term.
        first_report: Number of the first report that listed it; None if none
            has. All later ones list it as well.
        row: The worker's latest listing of the run.
        fence: Least fence of a poll that decides a start in doubt.
        doubted_at: Since when the start is in doubt; only a poll that was sent
            later decides.
        starts_left: How often a start without an answer is sent again.
        is_fenced: Whether this worker incarnation has answered a poll whose
            fence makes it refuse the start in doubt from then on.
        refusal: Why the run is refused if no list of such a poll has it.
        confirmed_at: When the start was confirmed.
        stop_sent: Whether a stop command is unanswered or was carried out.
        withheld_refusal: Why it is not started any more; it is refused once
            no start of it can be carried out. None if it may be started.
        unlisted_since: Since when the worker has no longer listed the run as
            running; None if it lists it.
        throttle_percent: Percent of full speed that was last commanded; -1 if
            unknown, so that the next throttling sends it again.
    """

    ref: runs.RunRef
    command: runs.StartCommand | None
    state: LocalState
    received_at: datetime.timedelta = ZERO
    hold: HoldReason | None = None
    logged_hold: HoldReason | None = None
    sequence: int = 0
    first_report: int | None = None
    row: runs.RunRow | None = None
    fence: int = 0
    doubted_at: datetime.timedelta = ZERO
    starts_left: int = MAX_REPEATED_STARTS
    is_fenced: bool = False
    refusal: runs.Refusal = runs.Refusal.UNANSWERED
    confirmed_at: datetime.timedelta = ZERO
    stop_sent: bool = False
    withheld_refusal: runs.Refusal | None = None
    unlisted_since: datetime.timedelta | None = None
    throttle_percent: int = 100

    def was_repeated(self) -> bool:
        """Tells whether a start without an answer was sent again."""
        return self.starts_left < MAX_REPEATED_STARTS

    def is_unanswered(self) -> bool:
        """Tells whether the start was sent and nothing tells what became of it.

        Any incarnation of the worker may still carry it out.
        """
        if self.state is LocalState.IN_DOUBT:
            return self.refusal is runs.Refusal.UNANSWERED
        return self.state is LocalState.STARTING


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Readings of one poll.

    Attributes:
        taken_at: When the poll was answered.
        headrooms: Headroom of each serving task, by image.
        cores: CPU in cores that the best-effort tasks of each image use.
    """

    taken_at: datetime.timedelta
    headrooms: dict[specs.Image, dict[runs.RunRef, float]]
    cores: dict[specs.Image, float]


@dataclasses.dataclass(slots=True)
class ServingImage:
    """Headroom of one image that has tasks with a latency target here.

    Attributes:
        allowance: Headroom that best-effort tasks may take from the image.
        mean_available: Mean over the last seconds of the headroom that
            best-effort tasks could take, whether or not any ran. Not a mean of
            `allowance`, which depends on the tasks that run.
        last_headroom: Least headroom of its tasks at the last poll.
        drift: Change of headroom per second due to the load of the tasks.
        low_since: When its headroom fell below `throttling.LOW_HEADROOM`;
            None if it is above.
        exhausted: Whether the headroom has been low for
            `throttling.EXHAUSTED_TIME`.
    """

    allowance: float
    mean_available: float
    last_headroom: float | None = None
    drift: float = 0.0
    low_since: datetime.timedelta | None = None
    exhausted: bool = False


@dataclasses.dataclass(slots=True)
class ExecutorState:
    """State of one executor.

    Attributes:
        options: Options.
        policies: Policies of the executor.
        worker: The worker beside the agent, by its latest heartbeat.
        clock: Latest reading of the worker's clock.
        odd_since: Since when the readings do not fit earlier ones, so that a
            lease that is computed from them may last for any time; None if
            they fit.
        steady_clock: The latest reading before that; None if they fit.
        polled: Whether the current worker incarnation has answered a poll.
        ends_complete: Whether the latest poll listed all ends. Otherwise a run
            that the agent does not know may have ended.
        poll_pending: Whether a poll of the present incarnation is unanswered.
        fence: Fence of the next call; raised by a start in doubt, a new worker
            incarnation or a call that the worker refused for its fence.
        first_fence: Fence of the first poll of the present incarnation.
        active: Runs that were requested or found and have not ended.
        open_starts: Starts that may still be carried out, by run; a run may
            have ended, or be confirmed by another start.
        ends: Ends that the holder has not acknowledged.
        ends_listed_at: When the worker first listed each of these ends.
        late_ends: Runs of the ends that were listed while a start of the same
            run was open; they are not acknowledged until it can't be carried
            out.
        ignored_ends: Numbers of ends that cannot be right.
        refused: Runs that never start; kept until the holder has answered a
            report that lists them.
        acknowledged: Highest end of this worker incarnation that the holder
            has stored.
        discarded: Highest end that the worker may have discarded, by its answer
            to a poll that acknowledged it.
        accepted_fence: Highest fence of a call that the known incarnation of
            the worker has accepted; 0 if it has accepted none.
        was_fence_refused: Whether the worker refused a fence since it last
            answered a poll.
        withheld_since: Since when no poll may acknowledge the ends that the
            worker lists; None if there are none, or one may.
        doubted_at: Since when it is in doubt which incarnation answers, as the
            clock of an answer did not fit; None if it is not.
        grant_end: Until when the holder lets runs of the current worker
            incarnation continue, on the agent's clock.
        term: Highest term seen.
        confirmed_term: Highest term whose holder has sent directives.
        sequence: Highest sequence of directives seen in that term.
        holder: Where reports are sent; None if the holder is unknown.
        entries: Registered entries by name.
        entries_version: Version from which the next read of entries continues.
        next_entry: Index of the entry to report to while there is no holder.
        report_number: Number of the latest report.
        report_pending: Whether a report is unanswered.
        next_report_at: When the next regular report is due.
        report_due: Whether something changed since the latest report.
        serving: State of each image that has serving tasks here.
        deferred: Best-effort runs in the order in which they get idle CPU and
            headroom; those that are not named come first.
        last_sample: Readings with which the next sample is compared.
        interference_sums: Interference measured on this worker.
        unreported_pairs: Pairs whose latest sums the holder does not have.
        reported_sums: Interference sums in the unanswered report.
        interference_estimates: Headroom that one core of a best-effort image
            takes from a serving image, as estimated from the measurements of
            all agents.
        answering: Whether the worker answered the latest poll.
        absent_at: When the platform's list was last asked for that lacked a
            worker of this name; zero if none did.
        silent_after: Time from its latest answer until the poll that found it
            silent; None if it answers or has answered nothing.
        other_life_ms: Start of the other incarnation that answered a poll of
            the known one last; 0 if none has since that answered or was heard.
        worker_left: Whether the worker announced that it shuts down.
        drains_since: When the present incarnation was first heard to drain;
            None if it was not.
        has_drained: Whether it had drained for long enough when it announced
            that it shuts down, so that the notice is its own.
        runs_expire_at: When every run that has begun has certainly ended
            unless the lease is extended.
        former_runs_expire_at: When every run has ended that a call of a former
            process of the agent may have begun or kept.
        began_at: When this process began, after all calls of former ones.
        last_start_at: When the latest start that was answered, or counts as
            unanswered, had been sent; zero before there is one.
        former_starts: Runs whose start a former process may have sent, by the
            first answer of each holder to a report; None before there is one,
            as it may be any run then.
        former_starts_term: Term of the latest holder whose answer they have.
        reported_refusals: Refusals in the unanswered report.
        losses: Lost incarnations of the worker, oldest first, until the holder
            has stored the crashes under their runs.
        received_evacuations: What holders have told about evacuations.
    """

    options: ExecutorOptions
    policies: policies.ExecutorPolicies
    worker: runs.Worker | None = None
    clock: events.WorkerClock | None = None
    odd_since: datetime.timedelta | None = None
    steady_clock: events.WorkerClock | None = None
    polled: bool = False
    ends_complete: bool = True
    poll_pending: bool = False
    fence: int = 0
    first_fence: int = 0
    active: dict[runs.RunRef, LocalRun] = dataclasses.field(
        default_factory=dict
    )
    open_starts: dict[runs.RunRef, sent_starts.OpenStarts] = dataclasses.field(
        default_factory=dict
    )
    ends: dict[runs.EndNumber, runs.EndRow] = dataclasses.field(
        default_factory=dict
    )
    ends_listed_at: dict[runs.EndNumber, datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )
    late_ends: dict[runs.EndNumber, runs.RunRef] = dataclasses.field(
        default_factory=dict
    )
    ignored_ends: set[runs.EndNumber] = dataclasses.field(default_factory=set)
    refused: dict[runs.RunRef, runs.Refusal] = dataclasses.field(
        default_factory=dict
    )
    acknowledged: runs.EndNumber = runs.EndNumber(0)
    discarded: runs.EndNumber = runs.EndNumber(0)
    accepted_fence: int = 0
    was_fence_refused: bool = False
    withheld_since: datetime.timedelta | None = None
    doubted_at: datetime.timedelta | None = None
    grant_end: datetime.timedelta = ZERO
    term: ids.Epoch = ids.Epoch(0)
    confirmed_term: ids.Epoch = ids.Epoch(0)
    sequence: int = 0
    holder: members.Address | None = None
    entries: dict[str, records.EntryRecord] = dataclasses.field(
        default_factory=dict
    )
    entries_version: ids.RowVersion = ids.RowVersion(0)
    next_entry: int = 0
    report_number: int = 0
    report_pending: bool = False
    next_report_at: datetime.timedelta = ZERO
    report_due: bool = False
    serving: dict[specs.Image, ServingImage] = dataclasses.field(
        default_factory=dict
    )
    deferred: tuple[runs.RunRef, ...] = ()
    last_sample: Sample | None = None
    interference_sums: dict[runs.ImagePair, runs.InterferenceSums] = (
        dataclasses.field(default_factory=dict)
    )
    unreported_pairs: set[runs.ImagePair] = dataclasses.field(
        default_factory=set
    )
    reported_sums: tuple[runs.InterferenceSums, ...] = ()
    interference_estimates: dict[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    answering: bool = True
    absent_at: datetime.timedelta = ZERO
    silent_after: datetime.timedelta | None = None
    other_life_ms: int = 0
    worker_left: bool = False
    drains_since: datetime.timedelta | None = None
    has_drained: bool = False
    runs_expire_at: datetime.timedelta = ZERO
    former_runs_expire_at: datetime.timedelta = ZERO
    began_at: datetime.timedelta = ZERO
    last_start_at: datetime.timedelta = ZERO
    former_starts: frozenset[runs.RunRef] | None = None
    former_starts_term: ids.Epoch = ids.Epoch(0)
    reported_refusals: tuple[runs.RunRef, ...] = ()
    losses: list[runs.LossRow] = dataclasses.field(default_factory=list)
    received_evacuations: evacuations.ReceivedEvacuations = dataclasses.field(
        default_factory=evacuations.ReceivedEvacuations
    )
