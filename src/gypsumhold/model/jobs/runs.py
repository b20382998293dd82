"""Runs of tasks: their names, ends and the workers that run them."""

import enum
from typing import NewType

import msgspec

from gypsumhold.model import ids
from gypsumhold.model.jobs import specs

RunNumber = NewType("RunNumber", int)
"""Numbers the starts of one task, from 1."""

EndNumber = NewType("EndNumber", int)
"""Numbers the ends that one life of a worker lists, from 1."""

Checkpoint = NewType("Checkpoint", str)
"""Saved progress of a task; empty if there is none."""


class TaskRef(msgspec.Struct, frozen=True, array_like=True):
    """Names one task.

    Attributes:
        job_id: The job.
        repetition: Counted from 0.
        step: Counted from 0.
        index: Counted from 0 within the step.
    """

    job_id: specs.JobId
    repetition: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.repetition}.{self.step}.{self.index}"


class RunRef(msgspec.Struct, frozen=True, array_like=True):
    """Names one run of a task."""

    task: TaskRef
    run: RunNumber


class RunEnd(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    """Its lease was not renewed in time."""

    GANG_ENDED = "broken"
    """Another member of its gang ended."""

    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not come in time."""


class Refusal(enum.Enum):
    """Why an ordered run was not started; it never will be."""

    DRAINING = "draining"
    NO_CAPACITY = "no-room"
    UNHEALTHY = "unhealthy"
    STALE = "stale"
    """The worker has seen a later run, or an end of this one."""

    UNANSWERED = "unanswered"
    """The order got no answer and was fenced off afterwards."""

    INVALID = "invalid"


class WorkerState(enum.Enum):
    """Whether a worker takes new runs."""

    READY = "ready"
    DRAINING = "draining"


class WorkerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """One life of a worker: everything it ran ends with it.

    Attributes:
        name: Name that the worker gives itself; may come again.
        started_ms: Unix milliseconds of its start.
    """

    name: str
    started_ms: int


NO_INCARNATION = WorkerIncarnation("", 0)


class Worker(msgspec.Struct, frozen=True, array_like=True):
    """What a worker says of itself."""

    incarnation: WorkerIncarnation
    pool: specs.PoolName
    address: str
    zone: ids.DataCentre
    state: WorkerState
    cpu_millis: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...] = ()
    sequence: int = 0
    drain_left_ms: int = 0


class RunRow(msgspec.Struct, frozen=True, array_like=True):
    """One running task as the worker lists it.

    Attributes:
        ref: The run.
        checkpoint: Latest saved progress.
        percent: Share of the work that is done; 100 for a task that lasts
            once it is at work.
        usage: Tail latency in milliseconds of a serving task, otherwise the
            cpu in use in thousandths of a core.
    """

    ref: RunRef
    checkpoint: Checkpoint = Checkpoint("")
    percent: int = 0
    usage: int = 0


class EndRow(msgspec.Struct, frozen=True, array_like=True):
    """One end as the worker lists it."""

    number: EndNumber
    ref: RunRef
    end: RunEnd
    checkpoint: Checkpoint = Checkpoint("")


class RefusedRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that was ordered and never started."""

    ref: RunRef
    reason: Refusal


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """A serving image and an image of fillers beside it."""

    serving: specs.Image
    best_effort: specs.Image


class InterferenceSums(msgspec.Struct, frozen=True, array_like=True):
    """How the fillers of one image move the headroom of a serving image.

    Headroom is the latency target over the tail latency; it falls about
    linearly with load. Sums of several workers may be added up.

    Attributes:
        pair: The two images.
        moment: Sum over readings of the change of headroom times the change
            of the cpu that the fillers used, in cores.
        weight: Sum of the squared changes of that cpu, in cores squared.
    """

    pair: ImagePair
    moment: float
    weight: float


class InterferenceEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Headroom that one core of fillers takes from a serving image."""

    pair: ImagePair
    per_core: float


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """Headroom that fillers may take from a serving image on one worker."""

    serving: specs.Image
    headroom: float


class StartCommand(msgspec.Struct, frozen=True, array_like=True):
    """Orders an agent to start a run, or tells it about one it has found."""

    ref: RunRef
    payload: str
    checkpoint: Checkpoint
    cpu_millis: int
    memory_mb: int
    accelerators: int
    best_effort: bool = False
    target_latency_ms: int = 0
    image: specs.Image = specs.Image("")
    ticket: str = ""
