"""Decisions of the job subsystem that vary."""

import abc
import dataclasses
import datetime
from collections.abc import Mapping, Sequence

from gypsumhold.model import ids
from gypsumhold.model.jobs import progress, runs, specs


@dataclasses.dataclass(slots=True)
class Candidate:
    """What one worker has left while a plan is made.

    Attributes:
        instance: Instance of the agent.
        worker: The worker.
        rack: Rack of the worker, from its labels.
        cpu_millis: Not requested by tasks that reserve cpu.
        memory_mb: Not requested by any task.
        accelerators: Not requested by any task.
        idle_millis: Cpu that other tasks are expected to leave to fillers.
        serving: Tasks with a latency target, by image.
        allowances: Headroom that fillers may take from each of these images.
        best_effort_cores: Cores that fillers here ask for, by image.
        deferred_cores: Cores of fillers that give way to others, by image.
        best_effort_millis: Cpu that all fillers here are expected to use.
        deferred_millis: The part of it of those that give way.
        interference: Headroom that a core of fillers takes from an image.
        steps: Tasks of each step that are here.
    """

    instance: ids.InstanceId
    worker: runs.Worker
    cpu_millis: int
    memory_mb: int
    accelerators: int
    idle_millis: int = 0
    serving: dict[specs.Image, int] = dataclasses.field(default_factory=dict)
    allowances: dict[specs.Image, float] = dataclasses.field(
        default_factory=dict
    )
    best_effort_cores: dict[specs.Image, float] = dataclasses.field(
        default_factory=dict
    )
    deferred_cores: dict[specs.Image, float] = dataclasses.field(
        default_factory=dict
    )
    best_effort_millis: int = 0
    deferred_millis: int = 0
    interference: Mapping[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    steps: dict[tuple[specs.JobId, int, int], int] = dataclasses.field(
        default_factory=dict
    )


class Ordering(abc.ABC):
    """Chooses which job gets room first."""

    @abc.abstractmethod
    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs, the one to be served first in front."""


class Placement(abc.ABC):
    """Chooses the worker of a task."""

    @abc.abstractmethod
    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        candidates: Sequence[Candidate],
        *,
        deferred: bool = False,
    ) -> Candidate | None:
        """Returns a room that the task fits into, or None to wait.

        Args:
            step: Step of the task.
            task: The task.
            candidates: Workers with enough free capacity.
            deferred: Whether it is a filler that gives way to others.
        """


class Admission(abc.ABC):
    """Decides which submissions are taken."""

    @abc.abstractmethod
    def choose_retry(
        self, spec: specs.JobSpec, jobs: Sequence[progress.Job]
    ) -> datetime.timedelta | None:
        """Returns when a refused caller should come back, or None to accept."""


@dataclasses.dataclass(frozen=True, slots=True)
class PaceReading:
    """What one look at a worker shows of a serving image and the fillers.

    Headroom is the latency target over the tail latency.

    Attributes:
        allowed: Headroom that fillers may take at present.
        taken: Headroom that they are estimated to take.
        wanted: What they would take at full speed.
        headroom: Least headroom among the tasks of the image.
        last_headroom: The same at the last reading; None if the image has
            only just begun to serve here.
    """

    allowed: float
    taken: float
    wanted: float
    headroom: float
    last_headroom: float | None


class Pacing(abc.ABC):
    """Chooses how much headroom fillers may take from a serving image."""

    @abc.abstractmethod
    def adjust(self, reading: PaceReading) -> float:
        """Returns the new allowance."""


@dataclasses.dataclass(slots=True)
class SchedulerPolicies:
    """Policies of a scheduler."""

    ordering: Ordering
    placement: Placement
    admission: Admission


@dataclasses.dataclass(slots=True)
class ExecutorPolicies:
    """Policies of an executor."""

    pacing: Pacing
