"""Jobs, steps and tasks as the holder of the queue keeps them in memory."""

import dataclasses
import datetime
import sys

from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, records, runs, specs

ZERO = datetime.timedelta(0)

CORE_MILLIS = 1000
"""Thousandths of a core in a core."""

MEASURED_TIME = datetime.timedelta(seconds=1)
"""Age from which the speed of a run is known: its worker tells it for the last
half second, and the run resumes from its checkpoint before."""

NOT_STORED = sys.maxsize
"""Stands for the number of a batch that has not been built yet; the number of
a stored batch never reaches it."""


@dataclasses.dataclass(slots=True)
class ProgressReading:
    """Progress of the current run of a task since it was first listed.

    Attributes:
        first_percent: Progress at that listing, and all that was made since
            without a measured use.
        last_percent: Progress when the run was last listed.
        read_at: When the run was last listed.
        worked: Time that it has worked since, in terms of full speed.
    """

    first_percent: int
    last_percent: int
    read_at: datetime.timedelta
    worked: datetime.timedelta = ZERO


@dataclasses.dataclass(slots=True)
class Task:
    """One task.

    Attributes:
        state: State of the task.
        run: Number of the latest run; 0 if there was none.
        failures: Number of failed runs.
        failed_runs: The failed runs, so that none is counted twice.
        instance: Instance of the latest placement.
        worker_incarnation: Incarnation of the worker of the latest placement.
        checkpoint: Latest saved progress.
        batch: Number of the batch that stores the latest placement.
        is_start_open: Whether no report has told that the worker has started
            the run; of a run that a former holder placed, whether that may be.
        placed_ms: When the run was placed, on the queue's clock.
        late_run_ends_at: When the run ends if another start of it, also one
            of a former process of the agent, is carried out late.
        late_start_reporter: Process of the agent that was the last to report
            such a start; None if it has settled them.
        keeps_end: Whether the end of the run as done is not to be acknowledged
            while such a start may be carried out.
        starts_taken_until: Until when a start of the run may be carried out, as
            that process sends no further one; None if it may.
        former_senders: How many former processes of the agent may have sent a
            start of the run. Each counts for one start, though it may have sent
            a second one that no report told of.
        reported: Whether the latest report of the agent lists the run.
        worker_reported_at: When the agent last reported the worker incarnation
            of the latest placement; only then is its lease extended.
        lease_ends_at: When the run ends, if it has begun and its agent sends no
            further lease, as last reported.
        listed_at: When a report first listed the current run; None if none
            has. After a takeover, reports to the former holder do not count.
        age: How long the worker had run it at most, as last reported; None if
            that is not known.
        placed_at: When the task was placed.
        progress_percent: Highest reported progress of the run.
        progressed_at: When the progress last rose.
        reading: Progress of the current run; None before its first listing.
        measured_time: Run time of the whole task at full speed near its data
            or gang, extrapolated from its progress; None if it has made too
            little.
        slowdown: Factor on the run time where it is placed.
        speed_share: Share of full speed at which the run was last listed.
        slow_since: Since when the run has been listed as slow; None if it was
            fast at its latest listing.
        halted_since: Since when the run has been listed as hardly working;
            None if it worked at its latest listing.
        halt_logged_since: `halted_since` as the log tells of it; None if its
            latest line tells that the run works, or there is none.
        boosted_at: When the run was put before all other best-effort runs of
            its worker, as nothing of its job worked; None if it was not.
        halted_on: Instances on which it was halted and left by a boost.
        migration_target: Instance on which the task continues once its run has
            been stopped; None if it stays where it is.
        excluded_instances: Instances on which the task failed or was refused.
        refused_by: Instance that refused the latest run; empty if none did.
        is_only_run: Whether nothing else of the job was placed at the latest
            placement, so that the agent starts the run without delay.
        is_first_of_batch: Whether `batch` has no earlier placement of its job,
            so that this start is the one to tell of soon.
        crashes: Crashes of workers that may be its fault, in the order in
            which they became known.
        blocked_since: Since when plans have found no worker for the task
            although it is ready; None if the latest plan found one.
    """

    state: records.TaskState = records.TaskState.READY
    run: runs.RunNumber = runs.RunNumber(0)
    failures: int = 0
    failed_runs: set[runs.RunNumber] = dataclasses.field(default_factory=set)
    instance: ids.InstanceId = ids.InstanceId("")
    worker_incarnation: runs.WorkerIncarnation = runs.NO_INCARNATION
    checkpoint: runs.Checkpoint = runs.Checkpoint("")
    batch: int = NOT_STORED
    is_start_open: bool = False
    placed_ms: records.QueueMs = records.NEVER_PLACED
    reported: bool = False
    worker_reported_at: datetime.timedelta = ZERO
    lease_ends_at: datetime.timedelta = ZERO
    late_run_ends_at: datetime.timedelta = ZERO
    late_start_reporter: ids.Incarnation | None = None
    keeps_end: bool = False
    starts_taken_until: datetime.timedelta | None = None
    former_senders: int = 0
    listed_at: datetime.timedelta | None = None
    age: datetime.timedelta | None = None
    placed_at: datetime.timedelta = ZERO
    progress_percent: int = 0
    progressed_at: datetime.timedelta = ZERO
    reading: ProgressReading | None = None
    measured_time: datetime.timedelta | None = None
    slowdown: float = 1.0
    speed_share: float = 1.0
    slow_since: datetime.timedelta | None = None
    halted_since: datetime.timedelta | None = None
    halt_logged_since: datetime.timedelta | None = None
    boosted_at: datetime.timedelta | None = None
    halted_on: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    migration_target: ids.InstanceId | None = None
    excluded_instances: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )
    refused_by: ids.InstanceId = ids.InstanceId("")
    is_only_run: bool = False
    is_first_of_batch: bool = False
    crashes: tuple[runs.Crash, ...] = ()
    blocked_since: datetime.timedelta | None = None

    @property
    def migrating(self) -> bool:
        """Returns whether the task is on its way to another instance."""
        return self.migration_target is not None

    def is_suspect(self) -> bool:
        """Tells whether a crash outside of an outage may be its fault."""
        return any(not crash.in_outage for crash in self.crashes)

    def is_done(self) -> bool:
        """Tells whether a run of the task has completed it."""
        return self.state is records.TaskState.DONE

    def is_placed(self) -> bool:
        """Tells whether a run is assigned to an instance."""
        return self.state is records.TaskState.PLACED

    def is_running(self) -> bool:
        """Tells whether the worker has confirmed the run, by the last report.

        An agent also lists runs that it has not started yet, without an age. A
        run that is stopped for a migration does not count.
        """
        return (
            self.is_placed()
            and self.reported
            and self.age is not None
            and self.migration_target is None
        )

    def is_working(self) -> bool:
        """Tells whether the run gets on, as far as its worker has told.

        What a worker tells of the first second of a run covers the time before
        it, and what the run needs to resume from its checkpoint.
        """
        if not self.is_running():
            return False
        return self.halted_since is None or self.is_new()

    def is_new(self) -> bool:
        """Tells whether the speed of the run is not known yet."""
        return self.age is not None and self.age < MEASURED_TIME


@dataclasses.dataclass(slots=True)
class Step:
    """All tasks of one step of one repetition.

    Attributes:
        spec: The step as it was submitted.
        repetition: Counted from 0.
        number: Number of the step within the job, counted from 0.
        tasks: Tasks by index.
        open: Whether the steps that this one waits for are done.
    """

    spec: specs.StepSpec
    repetition: int
    number: int
    tasks: list[Task]
    open: bool = False

    def list_unit(self, task: Task) -> list[Task]:
        """Returns the tasks that start and end with a task, and itself."""
        return self.tasks if self.spec.gang else [task]

    def is_suspect(self, task: Task) -> bool:
        """Tells whether a crash may be the fault of a task or its gang."""
        return any(other.is_suspect() for other in self.list_unit(task))

    def has_suspects(self) -> bool:
        """Tells whether a crash may be the fault of one of the tasks."""
        return any(task.is_suspect() for task in self.tasks)

    def was_placed(self) -> bool:
        """Tells whether a task was ever placed, whether or not it ran."""
        return any(task.run for task in self.tasks)

    def is_done(self) -> bool:
        """Tells whether every task is done."""
        return all(task.state is records.TaskState.DONE for task in self.tasks)

    def lacks_gang_member(self) -> bool:
        """Tells whether this is a gang in which a task has no run.

        Its runs cannot work, and it only starts again as a whole.
        """
        return self.spec.gang and any(
            task.state is records.TaskState.READY for task in self.tasks
        )

    def has_halted_member(self) -> bool:
        """Tells whether this is a gang that waits for a halted run."""
        return self.spec.gang and any(
            task.is_running() and not task.is_working() for task in self.tasks
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a job can still achieve, by the estimates of a moment.

    Attributes:
        made_at: When the estimates were made.
        due_at: When the job has to end to meet its objective.
        useful_until: When the job has to end to be of use at all.
        remaining_time: Duration of the rest of its critical path.
        work: Core time of all its tasks.
        remaining_work: Core time of all its tasks that are not done.
    """

    made_at: datetime.timedelta
    due_at: datetime.timedelta
    useful_until: datetime.timedelta
    remaining_time: datetime.timedelta
    work: datetime.timedelta
    remaining_work: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class StepKinds:
    """Which kinds of steps a job has.

    Attributes:
        best_effort: Whether it has best-effort steps.
        long_running: Whether it has steps that run until it is cancelled.
        gang: Whether it has gangs.
    """

    best_effort: bool
    long_running: bool
    gang: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetAside:
    """A job that is left out of plans for a time, as one has failed for it.

    Attributes:
        problem: The latest exception.
        delay: Time for which the job is left out after it.
        until: When a plan looks at the job again.
    """

    problem: str
    delay: datetime.timedelta
    until: datetime.timedelta


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted job.

    Attributes:
        spec: The job as it was submitted.
        submitted_at: Estimated time of the submission on the clock of the
            holder.
        state: State that callers see once `batch` is stored.
        stored_state: State that is stored; callers see this one.
        has_begun: Whether a worker has confirmed a run of a task, or listed the
            end of one. Until then the job counts as waiting; a task that is
            only placed may never start.
        batch: Number of the latest batch that includes the job.
        steps: Steps of the repetitions that are due, in order.
        next_repetition: First repetition that is not yet due.
        unstored_placements: Tasks whose latest placement is in no batch yet.
        ended_at: When the job reached a final state.
        outlook: Latest estimates; None before the first.
        gives_way: Whether its best-effort tasks gave way to those of other
            jobs when the latest plan was made.
        expected_return: Value of finishing it over the work that it still
            took when the latest plan was made; best-effort tasks of jobs
            with a higher one work first.
        set_aside: How long plans leave the job out, as the latest one that
            looked at it failed; None if that one did not fail.
        boost_tried_at: When a way to get one of its halted runs to work was
            last looked for.
        boost_due_at: When it is looked for again; not before a run that was
            boosted has had the time to work.
        working_task: A task that worked when it was last looked for one.
        kinds: Kinds of steps that the job has.
    """

    spec: specs.JobSpec
    submitted_at: datetime.timedelta
    state: messages.JobState = messages.JobState.QUEUED
    stored_state: messages.JobState = messages.JobState.QUEUED
    has_begun: bool = False
    batch: int = 0
    steps: list[Step] = dataclasses.field(default_factory=list)
    next_repetition: int = 0
    unstored_placements: list[Task] = dataclasses.field(default_factory=list)
    ended_at: datetime.timedelta = ZERO
    outlook: Outlook | None = None
    gives_way: bool = False
    expected_return: float = 1.0
    set_aside: SetAside | None = None
    boost_tried_at: datetime.timedelta = ZERO
    boost_due_at: datetime.timedelta = ZERO
    working_task: Task | None = None
    kinds: StepKinds = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Works out what does not change while the job is known."""
        self.kinds = StepKinds(
            any(step.fills for step in self.spec.steps),
            any(step.long_running for step in self.spec.steps),
            any(step.gang for step in self.spec.steps),
        )

    def is_open(self) -> bool:
        """Tells whether the job has not ended, so its tasks may be placed."""
        return self.state not in messages.FINAL_STATES

    def is_set_aside(self, now: datetime.timedelta) -> bool:
        """Tells whether plans leave the job out at present."""
        return self.set_aside is not None and now < self.set_aside.until

    def is_end_stored(self) -> bool:
        """Tells whether a final state is stored, so callers may see it."""
        return self.stored_state in messages.FINAL_STATES

    def has_best_effort_steps(self) -> bool:
        """Tells whether some of the steps have best-effort tasks."""
        return self.kinds.best_effort

    def has_gangs(self) -> bool:
        """Tells whether some of the steps are gangs."""
        return self.kinds.gang

    def has_placed_task(self) -> bool:
        """Tells whether some task is placed, although it may not run yet."""
        return any(
            task.is_placed() for step in self.steps for task in step.tasks
        )

    def is_long_running(self) -> bool:
        """Tells whether some of the steps run until the job is cancelled."""
        return self.kinds.long_running

    def is_migrating(self) -> bool:
        """Tells whether a task is on its way to another instance."""
        return any(task.migrating for step in self.steps for task in step.tasks)

    def find_task(self, ref: runs.TaskRef) -> Task | None:
        """Returns a task, or None if it does not exist or is not due yet."""
        number = ref.repetition * len(self.spec.steps) + ref.step
        if not 0 <= number < len(self.steps):
            return None
        tasks = self.steps[number].tasks
        return tasks[ref.index] if 0 <= ref.index < len(tasks) else None

    def find_step(self, ref: runs.TaskRef) -> Step:
        """Returns the step of an existing task."""
        return self.steps[ref.repetition * len(self.spec.steps) + ref.step]
