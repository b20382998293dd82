"""Messages of the task path."""

import dataclasses
import datetime

from gypsumhold.model import ids, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A task as an operator or caller submits it.

    Attributes:
        organisation: Who pays for it.
        kind: Name of a task template.
        key: Idempotency key; the task id is derived from it.
        payload: Opaque text handed to the worker.
        declared: Declared size; None takes the template's.
    """

    organisation: ids.OrganisationId
    kind: ids.KindName
    key: ids.IdempotencyKey
    payload: str = ""
    declared: resources.Resources | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStart:
    """Asks an agent to run a task.

    Attributes:
        task_id: The task.
        epoch: Fencing number of this placement.
        partition: Partition of the task queue.
        incarnation: Agent's incarnation that the holder means.
        organisation: Who pays for it.
        kind: Name of the template.
        work_class: Urgency.
        declared: Resources to commit.
        expires: End of the lease on the instance's CLOCK_BOOTTIME.
        payload: Opaque text for the worker.
        checkpoint: Where to resume, if it was evicted before.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    partition: ids.Partition
    incarnation: ids.Incarnation
    organisation: ids.OrganisationId
    kind: ids.KindName
    work_class: states.WorkClass
    declared: resources.Resources
    expires: datetime.timedelta
    payload: str
    checkpoint: ids.CheckpointRef | None


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """What an agent says of one placement of a task."""

    task_id: ids.TaskId
    epoch: ids.Epoch
    state: states.ExecutionState
    result: str = ""
    checkpoint: ids.CheckpointRef | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SyncItem:
    """A placement that the holder believes to be at the agent."""

    task_id: ids.TaskId
    epoch: ids.Epoch
    expires: datetime.timedelta
    stop: bool = False
    """Whether the task was cancelled and has to be stopped."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSync:
    """Renews leases, compares views and acknowledges reports.

    Attributes:
        partition: Partition that the holder speaks for.
        holder_epoch: Epoch of the holder; an older one is refused.
        incarnation: Agent's incarnation that the holder means.
        items: Every placement of the partition at this agent.
        acknowledged: Reports that are committed and may be forgotten.
    """

    partition: ids.Partition
    holder_epoch: ids.Epoch
    incarnation: ids.Incarnation
    items: tuple[SyncItem, ...]
    acknowledged: tuple[SyncItem, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SyncReply:
    """Answer to a sync; `accepted` is false for a stale holder or agent."""

    accepted: bool
    reports: tuple[TaskReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerTask:
    """One task as the worker lists it.

    Attributes:
        task_id: The task.
        epoch: Epoch under which it was started.
        state: RUNNING, THROTTLED, SUCCEEDED, FAILED, or STOPPED.
        result: Output or error text once it ended.
        checkpoint: Latest checkpoint.
        usage: Measured use; lags behind.
        start: The start that the worker was given, to adopt the task.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    state: states.ExecutionState
    result: str
    checkpoint: ids.CheckpointRef | None
    usage: resources.Resources
    start: TaskStart


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """All tasks of a worker and its capacity."""

    capacity: resources.Resources
    tasks: tuple[WorkerTask, ...]
