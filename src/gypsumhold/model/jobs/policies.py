"""Interfaces of the policies of the job subsystem, and their inputs."""

import abc
import dataclasses
import datetime
from collections.abc import Collection, Mapping, Sequence
from typing import ClassVar

from gypsumhold.model import ids
from gypsumhold.model.jobs import forecasts, locality, progress, runs, specs


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker and its free capacity while a plan is made.

    Attributes:
        instance: Instance of the agent.
        worker: The worker.
        cpu_millis: CPU that no task reserves, in thousandths of a core.
        memory_mb: Memory that no task requests.
        accelerators: Accelerators that no task requests.
        running_millis: CPU that the runs reserve which the worker has begun,
            by the latest report.
        running_mb: Memory that these runs request.
        idle_millis: CPU that other tasks are expected to leave to best-effort
            tasks.
        serving: Number of tasks with a latency target, by image.
        allowances: Headroom that best-effort tasks may take from each of these
            images.
        best_effort_cores: Cores that best-effort tasks here request, by image.
        deferred_cores: The part of these cores that deferred tasks request.
        best_effort_millis: CPU that all best-effort tasks here are expected to
            use.
        deferred_millis: The part of this CPU that deferred tasks use.
        boosted_cores: The part of `best_effort_cores` of tasks that go before
            all other best-effort tasks here.
        interference_estimates: Headroom that one core of a best-effort image
            takes from a serving image, by an optimistic estimate.
        steps: Number of tasks here by job, repetition and step.
        on_probation: Whether a task is on probation here, so that no other may
            start.
        reserved: Whether only a task on probation may start here.
        quiet: Whether no task has started here for as long as a probation, and
            no suspect runs here that is not cleared.
        quarantined: Whether only tasks that fit on no other worker, or have
            waited too long, are placed here.
        awaited: Whether tasks wait for a place on this rack, so that tasks
            which are as fast elsewhere rather go there.
    """

    instance: ids.InstanceId
    worker: runs.Worker
    cpu_millis: int
    memory_mb: int
    accelerators: int
    running_millis: int = 0
    running_mb: int = 0
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
    boosted_cores: dict[specs.Image, float] = dataclasses.field(
        default_factory=dict
    )
    interference_estimates: Mapping[runs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )
    steps: dict[tuple[specs.JobId, int, int], int] = dataclasses.field(
        default_factory=dict
    )
    on_probation: bool = False
    reserved: bool = False
    quiet: bool = True
    quarantined: bool = False
    awaited: bool = False


class EstimatePolicy(abc.ABC):
    """Estimates how long tasks run at full speed."""

    @abc.abstractmethod
    def estimate_tasks(self, step: progress.Step) -> list[datetime.timedelta]:
        """Returns the whole run time of each task of a step, by index."""


class OrderingPolicy(abc.ABC):
    """Chooses the order in which jobs get free capacity."""

    @abc.abstractmethod
    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs in the order in which they are placed."""


Rank = tuple[float, ...]
"""Rank of a candidate for a task; the highest is best."""

Ranks = dict[ids.InstanceId, Rank | None]
"""Ranks by instance; None for candidates that the task may not go to."""


class PlacementPolicy(abc.ABC):
    """Chooses the worker of a task by a rank of each candidate."""

    @abc.abstractmethod
    def rank(
        self,
        step: progress.Step,
        candidate: Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> Rank | None:
        """Returns the rank of a candidate; None if a task may not go there.

        Args:
            step: Step of the task.
            candidate: A worker with enough free capacity.
            is_suspect: Whether a crash may be the fault of the task.
            deferred: Whether the task is best-effort and gives way to others.
        """

    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        candidates: Sequence[Candidate],
        *,
        deferred: bool = False,
        ranks: Ranks | None = None,
    ) -> Candidate | None:
        """Returns the first candidate of the highest rank.

        Returns None if the task has to wait.

        Args:
            step: Step of the task.
            task: The task.
            candidates: Workers with enough free capacity.
            deferred: Whether the task is best-effort and gives way to others.
            ranks: Known ranks, to which the missing ones are added.
        """
        known: Ranks = {} if ranks is None else ranks
        is_suspect = step.is_suspect(task)
        best: Candidate | None = None
        best_rank: Rank = ()
        for candidate in candidates:
            instance = candidate.instance
            if instance not in known:
                known[instance] = self.rank(
                    step, candidate, is_suspect=is_suspect, deferred=deferred
                )
            rank = known[instance]
            if rank is not None and (best is None or rank > best_rank):
                best, best_rank = candidate, rank
        return best


class LocalityPolicy(abc.ABC):
    """Decides how long a task waits for a place near its data or gang."""

    @abc.abstractmethod
    def decide(self, case: locality.NearPlaceCase) -> locality.PlaceDecision:
        """Decides between a wait and a place elsewhere.

        Args:
            case: A task, or a gang, that has no near place now.
        """


class CrashPolicy(abc.ABC):
    """Decides when a task is given up for the workers that crashed under it."""

    @abc.abstractmethod
    def should_give_up(self, crashes: Collection[runs.Crash]) -> bool:
        """Tells whether a task, or its gang, does not run again.

        Args:
            crashes: All its crashes that are known.
        """


class AdmissionPolicy(abc.ABC):
    """Decides which submissions are accepted."""

    needs_forecast: ClassVar[bool]
    """Whether the holder makes and publishes forecasts for the policy."""

    @abc.abstractmethod
    def decide(
        self, inputs: forecasts.AdmissionInputs
    ) -> forecasts.AdmissionDecision:
        """Decides whether a job is accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleReading:
    """Headroom of a serving image as measured by one poll of the worker.

    Headroom is the latency target over the tail latency.

    Attributes:
        allowance: Headroom that best-effort tasks may currently take.
        taken: Headroom that they are estimated to take.
        wanted: Headroom that they would take at full speed.
        headroom: Least headroom among the tasks of the image.
        last_headroom: The same at the previous reading; None if the image has
            only just started to serve on this worker.
    """

    allowance: float
    taken: float
    wanted: float
    headroom: float
    last_headroom: float | None


class ThrottlingPolicy(abc.ABC):
    """Chooses how much headroom best-effort tasks may take from an image."""

    @abc.abstractmethod
    def adjust(self, reading: ThrottleReading) -> float:
        """Returns the headroom that best-effort tasks may take from now on."""


@dataclasses.dataclass(slots=True)
class SchedulerPolicies:
    """Policies of a scheduler."""

    estimates: EstimatePolicy
    ordering: OrderingPolicy
    placement: PlacementPolicy
    admission: AdmissionPolicy
    crashes: CrashPolicy
    locality: LocalityPolicy


@dataclasses.dataclass(slots=True)
class ExecutorPolicies:
    """Policies of an executor."""

    throttling: ThrottlingPolicy
