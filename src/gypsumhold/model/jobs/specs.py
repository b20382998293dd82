"""Jobs as callers submit them, and the queues that accept them."""

import datetime
from typing import NewType

import msgspec

from gypsumhold.model import ids

JobId = NewType("JobId", str)
QueueName = NewType("QueueName", str)
Image = NewType("Image", str)
"""Name of a program; tasks of one image behave alike."""

PoolName = NewType("PoolName", str)
"""Name of the group of workers that run the tasks of a queue."""


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: `count` equal tasks.

    Attributes:
        count: Number of tasks.
        cpu_millis: CPU request of one task in thousandths of a core.
        memory_mb: Memory request of one task.
        accelerators: Accelerator request of one task.
        estimate_ms: The caller's rough estimate of the duration of a task.
        after: Numbers of the steps that have to be done first.
        checkpoints: Whether tasks save their progress.
        gang: Whether the tasks only work while all of them run.
        colocated: Whether the tasks are slower on more than one rack.
        label: Label that the worker must have; empty for any worker.
        data_rack: Rack where tasks run fastest; empty if there is none.
        max_per_worker: Most tasks of this step on one worker; 0 for no limit.
        speculative: Whether copies of a task may run in parallel.
        long_running: Whether tasks run until the job is cancelled.
        image: Name of the program.
        target_latency_ms: Tail latency that a serving task has to meet; 0 for
            other tasks.
        fills: Whether the tasks are best-effort: they only use CPU time that
            other tasks leave unused.
        may_miss: Number of tasks that the scheduler may evict at a time.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    colocated: bool = False
    label: str = ""
    data_rack: ids.Rack = ids.Rack("")
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: Image = Image("")
    target_latency_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def estimate(self) -> datetime.timedelta:
        """Returns the declared run time of a task."""
        return datetime.timedelta(milliseconds=self.estimate_ms)


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A queue of jobs as the configuration declares it.

    Attributes:
        name: Name of the queue.
        host: Host that callers use for the queue.
        prefix: Path prefix that callers use for the queue.
        pool: Group of workers that run the tasks.
        priority: 0 is the most urgent.
        max_attempts: Number of failed runs of one task that fails the job.
        stretch: Factor on the critical path of a job; see
            `latency_target_ms`.
        latency_target_ms: A job is on time if it takes at most its critical
            path times `stretch` plus this time.
        advised: Whether an external service chooses the workers of a step.
    """

    name: QueueName
    host: str
    prefix: str
    pool: PoolName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_ms: int = 0
    advised: bool = False


class QueueConfig(msgspec.Struct, frozen=True):
    """All queues of one version of the configuration."""

    version: ids.ConfigVersion
    queues: tuple[Queue, ...]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was submitted.

    Attributes:
        job_id: Id that the caller chose.
        queue: The queue as declared when the job was submitted.
        payload: Opaque text that is passed to the worker.
        steps: Steps, at least one.
        submitted_ms: Unix milliseconds of the submission, by the clock of the
            entry that received it.
        repetitions: How often the steps run; 0 for once, immediately.
        first_run_ms: Unix milliseconds of the first repetition.
        interval_ms: Time between repetitions.
    """

    job_id: JobId
    queue: Queue
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_ms: int
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0
