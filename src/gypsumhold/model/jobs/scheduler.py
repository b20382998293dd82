"""State of a scheduler: the role of an entry that places jobs."""

import dataclasses
import datetime
import enum
import random

from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    evacuations,
    forecasts,
    held_ends,
    locality,
    messages,
    policies,
    progress,
    records,
    runs,
    scheduler_options,
    specs,
    storage,
    waits,
    worker_lists,
)

ZERO = datetime.timedelta(0)


class Role(enum.Enum):
    """Role of a scheduler with respect to the queue.

    "The queue" stands for the jobs of all configured queues: one entry at a
    time holds them.
    """

    FOLLOWER = "follower"
    """Reads the holder's row, and takes the queue if the holder is gone."""

    TAKING = "taking"
    """Waits for the result of the write that takes the queue."""

    LOADING = "loading"
    """Has taken the queue and reads all jobs."""

    HOLDER = "holder"
    """Holds the queue and places tasks."""

    STOPPED = "stopped"


@dataclasses.dataclass(slots=True)
class Acknowledgement:
    """Acknowledges ends of runs up to `number` once `batch` is stored.

    Attributes:
        number: Highest number of the ends.
        batch: The batch; `progress.NOT_STORED` until it is built.
        change: Number of the latest change when the ends were applied. Every
            change up to it has to be stored first.
    """

    number: runs.EndNumber
    batch: int
    change: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedTask:
    """A placed task with its step and job."""

    job: progress.Job
    step: progress.Step
    task: progress.Task


@dataclasses.dataclass(frozen=True, slots=True)
class ProbationRun:
    """A run of a task under which workers have crashed."""

    placed: PlacedTask
    run: runs.RunNumber


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its worker, or that a silence hides.

    Attributes:
        placed: The task.
        run: Number of the run.
        worker_incarnation: The worker incarnation on which it was placed.
        age: As `progress.Task.age`.
        is_stored: Whether its placement was stored, so it may have started.
    """

    placed: PlacedTask
    run: runs.RunNumber
    worker_incarnation: runs.WorkerIncarnation
    age: datetime.timedelta | None
    is_stored: bool

    def has_begun(self) -> bool:
        """Tells whether the worker had confirmed the start of the run.

        A run that was only placed, or whose start command got no answer, may
        never have run there.
        """
        return self.age is not None


@dataclasses.dataclass(slots=True)
class AgentView:
    """The holder's view of one agent.

    Attributes:
        instance: Name of the agent's instance.
        report: The latest report.
        last_report_at: When the latest report arrived.
        starts_sent_by: When the agent had sent its latest start, by the latest
            report; later starts are those that it lists or is sent.
        heard_at: When the latest report arrived by which the worker was up:
            it answers, its incarnation is new, or a run has been confirmed;
            when the first one arrived if there is none.
        replaced_process: Process of the agent that reported before the present
            one; None if that is the first.
        worker_incarnation: Latest reported incarnation of the worker.
        sequence: Number of the latest directives.
        last_handled_end: Highest number among the handled ends of runs of the
            current worker incarnation.
        kept_ends: Handled ends as done that only the process that reported
            their late starts may acknowledge.
        deferred_ends: Ends up to that one that are not handled yet, as their
            runs may begin once more.
        acknowledgements: Acknowledgements that wait for a batch, in the order
            of their numbers.
        acknowledged: Highest number of an end that is stored.
        placed: Tasks that are placed on the instance.
        expected: Tasks that migrate to the instance; their capacity is
            reserved.
        failed_jobs: Jobs with a failed run here since the last success or
            quarantine.
        quarantines: Quarantines in a row without a success in between.
        quarantined_until: When the instance may get new runs again.
        stops_sent: Stops that were pushed since the latest report.
        interference_sums: Interference that the agent measured, by pair of
            images.
        candidate: Free capacity of the worker; None if something that it
            depends on has changed.
        loss: Latest loss of a worker incarnation that has not answered again.
        judged_losses: Losses in the latest report, whose runs were judged.
        latest_start_at: When a run was last placed here or first listed.
        probations: Runs here whose probation may not be over.
        reserved_until: Until when no run but one on probation starts here.
    """

    instance: ids.InstanceId
    report: messages.Report
    last_report_at: datetime.timedelta
    starts_sent_by: datetime.timedelta = ZERO
    heard_at: datetime.timedelta = ZERO
    replaced_process: ids.Incarnation | None = None
    worker_incarnation: runs.WorkerIncarnation = runs.NO_INCARNATION
    sequence: int = 0
    last_handled_end: runs.EndNumber = runs.EndNumber(0)
    kept_ends: dict[runs.EndNumber, held_ends.KeptEnd] = dataclasses.field(
        default_factory=dict
    )
    deferred_ends: set[runs.EndNumber] = dataclasses.field(default_factory=set)
    acknowledgements: list[Acknowledgement] = dataclasses.field(
        default_factory=list
    )
    acknowledged: runs.EndNumber = runs.EndNumber(0)
    placed: dict[runs.TaskRef, PlacedTask] = dataclasses.field(
        default_factory=dict
    )
    expected: dict[runs.TaskRef, PlacedTask] = dataclasses.field(
        default_factory=dict
    )
    failed_jobs: set[specs.JobId] = dataclasses.field(default_factory=set)
    quarantines: int = 0
    quarantined_until: datetime.timedelta = ZERO
    stops_sent: set[runs.RunRef] = dataclasses.field(default_factory=set)
    interference_sums: dict[runs.ImagePair, runs.InterferenceSums] = (
        dataclasses.field(default_factory=dict)
    )
    candidate: policies.Candidate | None = None
    loss: runs.WorkerLoss | None = None
    judged_losses: set[runs.WorkerIncarnation] = dataclasses.field(
        default_factory=set
    )
    latest_start_at: datetime.timedelta = ZERO
    reserved_until: datetime.timedelta = ZERO
    probations: list[ProbationRun] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Ticket:
    """A request that waits for its answer.

    Attributes:
        deadline: When the caller stops waiting.
        spec: The submitted job; None for a query.
        query: The query; None for a submission.
        in_doubt: Whether an earlier write of the submission may have been
            stored or may still be.
        attempts: Finished writes of the submission.
        cancelling: Whether the answer waits until the cancellation is stored.
        forwarded: Whether another entry forwarded the request to this one, or
            this one forwarded the submission; neither is forwarded again.
        refusal: Decision to refuse the job unless it turns out to be stored.
    """

    deadline: datetime.timedelta
    spec: specs.JobSpec | None = None
    query: messages.Query | None = None
    in_doubt: bool = False
    attempts: int = 0
    cancelling: bool = False
    forwarded: bool = False
    refusal: forecasts.AdmissionDecision | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingReport:
    """A report that arrived while this entry was taking the queue.

    Attributes:
        ticket: Ticket of the call, which waits for directives.
        report: The report.
    """

    ticket: ids.TicketId
    report: messages.Report


@dataclasses.dataclass(slots=True)
class HolderState:
    """State of a scheduler that holds the queue; discarded with its term.

    Attributes:
        term: Term of the holder.
        version: Version of the holder's row.
        next_batch: Number of the next batch.
        stored_batch: Number of the latest stored batch.
        in_flight: Batch that was sent and has no final result yet.
        sent_at: When the batch in flight was first sent.
        renewed_at: When the latest stored batch was first sent.
        term_started_at: When the term started.
        jobs: All jobs whose progress has not been deleted.
        left_out_jobs: Jobs with a row that could not be read or applied.
        dirty: Jobs whose progress changed since it was last in a batch, the
            oldest change first, with the number of that change.
        latest_change: Number of the latest change of a job.
        deleting_submissions: Jobs whose submissions are being deleted.
        deletable_progress: Jobs whose progress the next batches delete.
        agents: Agents by instance.
        orphans: Placed tasks by instance, for instances that have not
            reported in this term.
        lost_runs: Runs that were released without an end, by instance.
        open_jobs: Jobs whose tasks may still be placed.
        plan_due: Whether something that placement depends on has changed.
        migrations_due: Whether the next plan also looks for slow tasks.
        changed_instances: Instances whose directives have changed since the
            latest batch was built.
        batch_instances: Instances whose directives the batch in flight
            changes.
        next_read_version: Version from which the next read of changes
            continues.
        wall_offset_ms: Unix time minus the scheduler's clock.
        commit_attempts: Repeats of the batch in flight.
        force_batch: Whether a batch is due although no job changed, because
            acknowledgements have to wait for the batch after the one in
            flight.
        cautious_estimates: Headroom that one core of best-effort tasks
            takes from a serving image, by a cautious estimate.
        optimistic_estimates: The same by an optimistic estimate.
        load_failed: Whether a read of all jobs has failed in this term.
        releasing: Whether the next batch leaves the queue without a holder.
        replaced_live_holder: Whether the queue was taken from a holder that
            was still storing batches.
        clock_base_ms: Reading of the queue's clock when the term started.
        former_settled_ms: Watermark of settled starts in the former row.
        former_open_starts: Starts before it that the row names as open.
        unsettled_starts: Placed runs whose starts may be under way; some may
            have been settled since the latest batch was built.
        run_waits: How long jobs and long-running tasks have had no run.
        evacuation_knowledge: Whether the known evacuations may be outdated.
        evacuations_asked_at: When the pending read of the evacuations is sent
            at the earliest; one that was sent before ends no doubt.
        stored_unread_since: When the first batch was sent that was stored while
            the rows could not be read; None if they can be, or none was.
        near_waits: Tasks that wait for a near place; a gang is listed by its
            first task.
        worker_list: The platform's list of workers.
    """

    term: ids.Epoch
    version: ids.RowVersion
    term_started_at: datetime.timedelta
    renewed_at: datetime.timedelta
    next_batch: int = 1
    stored_batch: int = 0
    in_flight: storage.Batch | None = None
    sent_at: datetime.timedelta = ZERO
    jobs: dict[specs.JobId, progress.Job] = dataclasses.field(
        default_factory=dict
    )
    left_out_jobs: set[specs.JobId] = dataclasses.field(default_factory=set)
    dirty: dict[specs.JobId, int] = dataclasses.field(default_factory=dict)
    latest_change: int = 0
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
    lost_runs: dict[ids.InstanceId, dict[runs.TaskRef, LostRun]] = (
        dataclasses.field(default_factory=dict)
    )
    open_jobs: dict[specs.JobId, progress.Job] = dataclasses.field(
        default_factory=dict
    )
    plan_due: bool = True
    migrations_due: bool = False
    changed_instances: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )
    batch_instances: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )
    next_read_version: ids.RowVersion = ids.RowVersion(0)
    wall_offset_ms: int = 0
    commit_attempts: int = 0
    force_batch: bool = False
    load_failed: bool = False
    releasing: bool = False
    replaced_live_holder: bool = False
    clock_base_ms: records.QueueMs = records.QueueMs(0)
    former_settled_ms: records.QueueMs = records.QueueMs(0)
    former_open_starts: frozenset[runs.RunRef] = frozenset()
    unsettled_starts: dict[runs.RunRef, PlacedTask] = dataclasses.field(
        default_factory=dict
    )
    cautious_estimates: dict[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    optimistic_estimates: dict[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    run_waits: waits.RunWaits = dataclasses.field(
        default_factory=waits.RunWaits
    )
    evacuation_knowledge: evacuations.Knowledge = evacuations.Knowledge.CURRENT
    evacuations_asked_at: datetime.timedelta = ZERO
    stored_unread_since: datetime.timedelta | None = None
    near_waits: dict[runs.TaskRef, locality.NearWait] = dataclasses.field(
        default_factory=dict
    )
    worker_list: worker_lists.WorkerList = dataclasses.field(
        default_factory=worker_lists.WorkerList
    )


@dataclasses.dataclass(slots=True)
class SchedulerState:
    """State of one scheduler.

    Attributes:
        options: Options.
        policies: Policies of the scheduler.
        role: Role with respect to the queue.
        config: Queues in force; None until they are first read.
        holder_row: The holder's row as it was last read.
        holder_seen_at: Start of the takeover delay: when the row was first seen
            in this version, or a later failure to read it, to take the queue or
            to keep it.
        holder_state: Set while this scheduler loads or holds the queue.
        replacing_live_holder: Whether the latest write that takes the queue
            replaces a holder that was still storing batches.
        tickets: Requests that wait for their answer.
        registered: Whether the row that lets agents find this entry is stored.
        rng: Random number generator, for the jitter of polls.
        stopping: Whether the process was asked to stop.
        store_answered_at: When the store last answered a call.
        store_failing: Whether a call has failed since then.
        store_recovered_at: When the store first answered after failed calls.
        unable_term: Latest term whose holder said that it does not reach the
            store; 0 if none did.
        waiting_reports: Reports that arrived while this entry takes the queue
            or loads the jobs; they are answered afterwards.
        known_evacuations: Evacuations in force; None until they are first read.
        evacuations_known_at: Time before which every confirmed request is
            known; None until the evacuations are first read.
        config_asked_at: When the pending read of the configuration was sent at
            the earliest.
        forecast: Latest forecast, made here or read from the holder's row.
        shares: Recent submissions of queues that were short of room.
    """

    options: scheduler_options.SchedulerOptions
    policies: policies.SchedulerPolicies
    role: Role = Role.FOLLOWER
    config: specs.QueueConfig | None = None
    holder_row: storage.HolderRow | None = None
    holder_seen_at: datetime.timedelta = ZERO
    holder_state: HolderState | None = None
    replacing_live_holder: bool = False
    tickets: dict[ids.TicketId, Ticket] = dataclasses.field(
        default_factory=dict
    )
    registered: bool = False
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    stopping: bool = False
    store_answered_at: datetime.timedelta = ZERO
    store_failing: bool = False
    store_recovered_at: datetime.timedelta | None = None
    unable_term: ids.Epoch = ids.Epoch(0)
    waiting_reports: dict[ids.InstanceId, WaitingReport] = dataclasses.field(
        default_factory=dict
    )
    known_evacuations: evacuations.Evacuations | None = None
    evacuations_known_at: datetime.timedelta | None = None
    config_asked_at: datetime.timedelta = ZERO
    forecast: forecasts.Forecast | None = None
    shares: dict[forecasts.ShareKey, forecasts.Share] = dataclasses.field(
        default_factory=dict
    )

    def find_holder_address(self) -> members.Address | None:
        """Returns the address of the holder; None if unknown or this entry."""
        record = None if self.holder_row is None else self.holder_row.record
        if record is None or not record.holder:
            return None
        if record.holder == self.options.name:
            return None
        return record.endpoint.build_address()
