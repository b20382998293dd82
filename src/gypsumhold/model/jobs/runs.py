"""Runs of tasks, their ends, the workers that run them and interference."""

import dataclasses
import datetime
import enum
from typing import Annotated, NewType

import msgspec

from gypsumhold.model import ids, resources
from gypsumhold.model.jobs import specs

MAX_MEASURED = 1e15

Measured = Annotated[float, msgspec.Meta(ge=-MAX_MEASURED, le=MAX_MEASURED)]
"""A finite number; decoding refuses others, which no comparison orders."""

RunNumber = NewType("RunNumber", int)
"""Number of a run among the runs of one task, from 1."""

EndNumber = NewType("EndNumber", int)
"""Number of an end among those of one worker incarnation, from 1."""

Checkpoint = NewType("Checkpoint", str)
"""Reference to the saved progress of a task; empty if there is none."""


class TaskRef(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one task.

    Attributes:
        job_id: The job.
        repetition: Number of the repetition, from 0.
        step: Number of the step, from 0.
        index: Number of the task within the step, from 0.
    """

    job_id: specs.JobId
    repetition: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.repetition}.{self.step}.{self.index}"


class RunRef(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one run of a task."""

    task: TaskRef
    run: RunNumber


class RunEnd(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    """The lease was not renewed in time."""

    GANG_ENDED = "broken"
    """Another run of the gang ended."""

    GANG_INCOMPLETE = "alone"
    """The other runs of the gang did not start in time."""


class Refusal(enum.Enum):
    """Reason why a run was not started; the same run never starts later."""

    DRAINING = "draining"
    NO_CAPACITY = "no-room"
    UNHEALTHY = "unhealthy"
    STALE = "stale"
    """The worker has seen a later run of the task, or the end of this one."""

    UNANSWERED = "unanswered"
    """The start command got no answer and a newer fence now blocks it."""

    INVALID = "invalid"

    EVACUATED = "evacuated"
    """The data centre of the worker is evacuated.

    Agents report `NO_CAPACITY` instead, as holders of former versions can't
    decode this. It is kept for the reports of agents that sent it.
    """


class WorkerState(enum.Enum):
    """Whether a worker accepts new runs."""

    READY = "ready"
    DRAINING = "draining"


WorkerName = NewType("WorkerName", str)
"""Name of a worker; its incarnations may share one."""


class WorkerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a worker process; its runs end with it.

    Attributes:
        name: Name of the worker; a later incarnation may have the same.
        started_ms: Start of the process in Unix milliseconds.
    """

    name: str
    started_ms: int


NO_INCARNATION = WorkerIncarnation("", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoss:
    """When a worker stopped answering, or its agent stopped reporting.

    Attributes:
        incarnation: The worker incarnation that was lost.
        at: When the holder learned of it, or the latest report before.
        announced: Whether the worker had announced its end.
        on_probation: Whether a task was on probation there, which may explain
            the loss.
        silent_after: Time from its latest answer until its agent found it
            silent; None if not known.
    """

    incarnation: WorkerIncarnation
    at: datetime.timedelta
    announced: bool
    on_probation: bool
    silent_after: datetime.timedelta | None = None


class Worker(msgspec.Struct, frozen=True, array_like=True):
    """A worker as described by its latest heartbeat.

    Its capacity may change while it runs.

    Attributes:
        incarnation: Incarnation of the worker process.
        pool: Pool that the worker belongs to.
        address: HOST:PORT at which the worker takes calls.
        zone: Data centre of the worker.
        state: Whether the worker accepts new runs.
        cpu_millis: CPU capacity in thousandths of a core.
        memory_mb: Memory capacity in MB.
        accelerators: Number of accelerators.
        labels: Rack and kinds of the worker.
        sequence: Number of the heartbeat.
        drain_left_ms: Remaining time of a drain.
    """

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

    @property
    def capacity(self) -> resources.Resources:
        """The whole capacity, also what runs hold."""
        return resources.Resources(
            self.cpu_millis, self.memory_mb, self.accelerators
        )


class CrashEvidence(enum.Enum):
    """How much the crash of a worker says about a task that ran there."""

    ALONE = "a"
    """The worker crashed at once after the start of the task; no other task had
    just started there, and no other worker was lost at the time."""

    SHARED = "s"
    """The task had started there shortly before, and others may have, too."""

    UNSURE = "u"
    """Other workers were lost at the time, or the start of the run is not
    known."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a worker under a task.

    Attributes:
        instance: Instance of the worker.
        started_ms: Start of the worker process in Unix milliseconds; together
            they identify the crash.
        evidence: How much the crash says about the task.
        began: Whether the worker had confirmed the start of the run; False in
            rows of former versions, which do not say.
        in_outage: Whether most of the fleet was lost at the time. Such a crash
            counts, but does not put the task on probation.
    """

    instance: ids.InstanceId
    started_ms: int
    evidence: CrashEvidence
    began: bool = False
    in_outage: bool = False


UNKNOWN_AGE = -1
"""Stands for the age of a run of which the worker has not said that it runs."""

UNKNOWN_USAGE = -1
"""Stands for the usage of a run that its worker lists without one."""

MAX_SPAN_MS = 10**12

SpanMs = Annotated[int, msgspec.Meta(ge=-1, le=MAX_SPAN_MS)]
"""A time between two events, or -1 if it is not known; decoding refuses numbers
that are no duration."""


class RunRow(msgspec.Struct, frozen=True, array_like=True):
    """A run in the worker's list of running tasks.

    Attributes:
        ref: The run.
        checkpoint: Latest saved progress.
        progress_percent: Percent of the work that is done; 100 for a
            long-running task once it is up.
        usage: Tail latency in milliseconds of a serving task, otherwise the
            CPU in use in thousandths of a core; `UNKNOWN_USAGE` if the worker
            does not tell.
        age_ms: Time from the confirmed start of the run until the worker last
            answered or was found silent; `UNKNOWN_AGE` if the start is not
            confirmed.
    """

    ref: RunRef
    checkpoint: Checkpoint = Checkpoint("")
    progress_percent: int = 0
    usage: int = UNKNOWN_USAGE
    age_ms: SpanMs = UNKNOWN_AGE


class LossRow(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a worker that ended without announcing it.

    Attributes:
        incarnation: The lost incarnation.
        rows: Runs that it had just started, with their ages.
        silent_after_ms: Time from its latest answer until it was found to be
            silent; -1 if a later incarnation was heard before.
    """

    incarnation: WorkerIncarnation
    rows: tuple[RunRow, ...]
    silent_after_ms: SpanMs


class EndRow(msgspec.Struct, frozen=True, array_like=True):
    """A run in the worker's list of ended runs.

    Attributes:
        number: Number of the end, from 1 in each incarnation of the worker.
        ref: The run.
        end: How it ended.
        checkpoint: Latest saved progress.
        age_ms: Time from the poll that listed the end first until the report
            that contains this row was sent.
    """

    number: EndNumber
    ref: RunRef
    end: RunEnd
    checkpoint: Checkpoint = Checkpoint("")
    age_ms: int = 0


class RefusedRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that the holder requested and that never starts."""

    ref: RunRef
    reason: Refusal


class ImagePair(msgspec.Struct, frozen=True, array_like=True):
    """A serving image and the image of best-effort tasks beside it."""

    serving: specs.Image
    best_effort: specs.Image


class InterferenceSums(msgspec.Struct, frozen=True, array_like=True):
    """Least-squares sums of how best-effort tasks change serving headroom.

    Headroom is the latency target divided by the tail latency; it falls about
    linearly with load. The sums of several workers can be added.

    Attributes:
        pair: The two images.
        moment: Sum over samples of the change of headroom times the change of
            the CPU that the best-effort tasks used, in cores.
        weight: Sum of the squared changes of that CPU, in cores squared.
    """

    pair: ImagePair
    moment: Measured
    weight: Measured


class InterferenceEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Estimated interference of a best-effort image with a serving image.

    Attributes:
        pair: The two images.
        per_core: Headroom that one core of best-effort tasks takes.
    """

    pair: ImagePair
    per_core: Measured


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """Headroom that best-effort tasks may take from an image on one worker."""

    serving: specs.Image
    headroom: Measured


class StartCommand(msgspec.Struct, frozen=True, array_like=True):
    """Everything needed to start a run.

    The holder also sends it for a run that the agent found on the worker, so
    that the agent knows its request.

    Attributes:
        ref: The run.
        payload: Payload of the job.
        checkpoint: Saved progress to continue from; empty to start anew.
        cpu_millis: Requested CPU in thousandths of a core.
        memory_mb: Requested memory in MB.
        accelerators: Requested accelerators.
        best_effort: Whether the run uses only CPU that others leave unused.
        target_latency_ms: Latency target of a serving task; 0 for others.
        image: Image of the task, by which interference is estimated.
        ticket: Ticket of an advised queue; always empty, as none is requested.
        only_run: Whether nothing else of the job is placed, so that the start
            must not wait for an allowance.
        reported_at_once: Whether the agent reports the start as soon as the
            worker has confirmed it.
    """

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
    only_run: bool = False
    reported_at_once: bool = False
