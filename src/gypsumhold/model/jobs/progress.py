"""Jobs, steps and tasks in the memory of the holder of the queue."""

import dataclasses
import datetime
import sys

from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, records, runs, specs

ZERO = datetime.timedelta(0)

NOT_STORED = sys.maxsize
"""Number of a batch that has not been built yet."""


@dataclasses.dataclass(slots=True)
class Task:
    """One task.

    Attributes:
        state: Where it stands.
        run: Number of its latest run; 0 if it has not run.
        failures: Runs that ended failed.
        instance: Instance of the latest placement.
        life: Life of the worker of the latest placement.
        checkpoint: Latest saved progress.
        batch: Batch that stores the latest placement.
        reported: Whether the agent has reported the run.
        placed_at: When it was placed.
        percent: Latest reported progress.
        progressed_at: When the progress was last seen to rise.
        migrating: Whether it is being stopped to run elsewhere.
        excluded_instances: Instances on which it failed or was refused.
    """

    state: records.TaskState = records.TaskState.READY
    run: runs.RunNumber = runs.RunNumber(0)
    failures: int = 0
    instance: ids.InstanceId = ids.InstanceId("")
    life: runs.WorkerLife = runs.NO_LIFE
    checkpoint: runs.Checkpoint = runs.Checkpoint("")
    batch: int = NOT_STORED
    reported: bool = False
    placed_at: datetime.timedelta = ZERO
    percent: int = 0
    progressed_at: datetime.timedelta = ZERO
    migrating: bool = False
    excluded_instances: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )

    def is_placed(self) -> bool:
        """Tells whether a run is ordered or at work."""
        return self.state is records.TaskState.PLACED


@dataclasses.dataclass(slots=True)
class Step:
    """All tasks of one step of one repetition.

    Attributes:
        spec: The step.
        repetition: Counted from 0.
        number: Counted from 0.
        tasks: One for each index.
        open: Whether the steps before it are done.
    """

    spec: specs.StepSpec
    repetition: int
    number: int
    tasks: list[Task]
    open: bool = False

    def is_done(self) -> bool:
        """Tells whether every task is done."""
        return all(task.state is records.TaskState.DONE for task in self.tasks)


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted job.

    Attributes:
        spec: The submission.
        submitted_at: When the holder learned of it, less its age then.
        state: State that callers see once `batch` is stored.
        stored_state: State that is stored.
        batch: Batch that stores the latest change of the state.
        steps: Steps of the repetitions that are due, in order.
        next_repetition: First repetition that is not yet due.
        unstored_placements: Placements that no batch stores yet.
        ended_at: When it reached a final state.
        starved_since: Since when no task of it has been placed.
    """

    spec: specs.JobSpec
    submitted_at: datetime.timedelta
    state: messages.JobState = messages.JobState.QUEUED
    stored_state: messages.JobState = messages.JobState.QUEUED
    batch: int = 0
    steps: list[Step] = dataclasses.field(default_factory=list)
    next_repetition: int = 0
    unstored_placements: list[Task] = dataclasses.field(default_factory=list)
    ended_at: datetime.timedelta = ZERO
    starved_since: datetime.timedelta | None = None

    def is_open(self) -> bool:
        """Tells whether tasks of the job may still be placed."""
        return self.state not in messages.FINAL_STATES

    def is_end_stored(self) -> bool:
        """Tells whether a caller may be told that the job has ended."""
        return self.stored_state in messages.FINAL_STATES

    def find_task(self, ref: runs.TaskRef) -> Task | None:
        """Returns a task, or None if it does not exist (yet)."""
        number = ref.repetition * len(self.spec.steps) + ref.step
        if not 0 <= number < len(self.steps):
            return None
        tasks = self.steps[number].tasks
        return tasks[ref.index] if 0 <= ref.index < len(tasks) else None

    def find_step(self, ref: runs.TaskRef) -> Step:
        """Returns the step of a task that exists."""
        return self.steps[ref.repetition * len(self.spec.steps) + ref.step]
