"""What a plan would do with a job that has not been submitted."""

import dataclasses
import datetime
import enum

from gypsumhold.model import ids


class WorkerObstacle(enum.Enum):
    """Why a worker takes no task of a step."""

    NO_WORKER = "its agent knows no worker"
    DRAINING = "draining"
    EVACUATED = "its data centre is evacuated"
    EVACUATIONS_UNREAD = "the holder has not read the evacuations yet"
    SILENT = "does not answer its agent"
    LEASES_EXPIRED = "its leases have expired"
    NO_REPORT = "no recent report of its agent"
    POOL = "another pool"
    LABEL = "lacks the required label"
    CPU = "not enough free CPU"
    MEMORY = "not enough free memory"
    ACCELERATORS = "not enough free accelerators"
    STEP_LIMIT = "as many tasks of the step as the step allows"
    PROBATION = "a task on probation"
    RESERVED = "reserved for a task on probation"
    QUARANTINE = "in quarantine after failed runs"
    POLICY = "against the placement policy"


class StepVerdict(enum.Enum):
    """What a plan would do with a step now."""

    PLACED = "placed"
    PARTLY_PLACED = "partly placed"
    WAITS_FOR_WORKER = "waits for a worker"
    WAITS_FOR_STEPS = "waits for earlier steps"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChoice:
    """A worker that tasks of a step may go to.

    Attributes:
        instance: Instance of the worker.
        rack: Rack of the worker; empty if unknown.
        free_millis: CPU that no task reserves, in thousandths of a core.
        free_mb: Memory that no task requests, in MB.
        tasks: Number of tasks of the step that would be placed there.
    """

    instance: ids.InstanceId
    rack: str
    free_millis: int
    free_mb: int
    tasks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StepPreview:
    """What a plan would do with one step.

    Attributes:
        number: Number of the step, from 0.
        verdict: What would become of its tasks.
        tasks: Number of its tasks.
        chosen: Workers that would get tasks, the first choice first.
        runners_up: Next best workers for the first task, the best first.
        excluded: Workers that take no task of the step, by the reason.
    """

    number: int
    verdict: StepVerdict
    tasks: int
    chosen: tuple[WorkerChoice, ...] = ()
    runners_up: tuple[WorkerChoice, ...] = ()
    excluded: tuple[tuple[WorkerObstacle, tuple[ids.InstanceId, ...]], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JobPreview:
    """What would become of a job that was submitted now.

    Attributes:
        term: Term of the holder that answers.
        retry_delay: Delay after which a caller may submit it again, if it would
            be refused for now; None if it would be accepted.
        jobs_before: Number of open jobs that a plan would place before it.
        oldest_report: Age of the oldest report among the usable workers; what
            has changed since then is not considered.
        steps: The steps, in order.
    """

    term: ids.Epoch
    retry_delay: datetime.timedelta | None
    jobs_before: int
    oldest_report: datetime.timedelta
    steps: tuple[StepPreview, ...]
