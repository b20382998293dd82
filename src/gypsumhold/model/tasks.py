"""Single tasks and the messages of entries, agents and workers about them."""

import dataclasses
import datetime

from gypsumhold.model import ids, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A task, as an operator or caller submits it.

    Attributes:
        organisation: Organisation that the task is charged to.
        kind: Name of a task template.
        key: Idempotency key, from which the task id is derived.
        payload: Opaque text for the worker.
        declared: Declared size; None means the size in the template.
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
        task_id: Id of the task.
        epoch: Fencing number of this placement.
        partition: Partition of the task queue.
        incarnation: Incarnation of the agent that the message is meant for.
        organisation: Organisation that the task is charged to.
        kind: Name of the template.
        work_class: Class of the work.
        declared: Declared size, which the agent commits at least.
        expires: End of the lease on the instance's CLOCK_BOOTTIME.
        payload: Opaque text for the worker.
        checkpoint: Checkpoint to resume from; None for a start from scratch.
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
    """State of one placement of a task, as its agent reports it."""

    task_id: ids.TaskId
    epoch: ids.Epoch
    state: states.ExecutionState
    result: str = ""
    checkpoint: ids.CheckpointRef | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SyncItem:
    """A placement that the holder has recorded for the agent."""

    task_id: ids.TaskId
    epoch: ids.Epoch
    expires: datetime.timedelta
    stop: bool = False
    """Whether the task was cancelled and has to be stopped."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSync:
    """Sync of a holder with an agent.

    Renews the leases of the placements, lets the agent report the state of its
    tasks, and acknowledges earlier reports.

    Attributes:
        partition: Partition whose placements are synced.
        holder_epoch: Epoch of the holder. The agent refuses an epoch lower than
            the highest it has seen.
        incarnation: Incarnation of the agent that the message is meant for.
        items: All placements of the partition on this instance.
        acknowledged: Placements whose end is committed, so that the agent may
            drop its report.
    """

    partition: ids.Partition
    holder_epoch: ids.Epoch
    incarnation: ids.Incarnation
    items: tuple[SyncItem, ...]
    acknowledged: tuple[SyncItem, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SyncReply:
    """Reply to a sync.

    Attributes:
        accepted: False if the holder epoch or the incarnation is stale, or if
            the worker has not reported to the agent yet.
        reports: States of the tasks of the partition.
    """

    accepted: bool
    reports: tuple[TaskReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerTask:
    """One task, as the worker lists it.

    Attributes:
        task_id: Id of the task.
        epoch: Epoch of the placement for which it was started.
        state: RUNNING, THROTTLED, SUCCEEDED, FAILED, or STOPPED.
        result: Output or error text after the end.
        checkpoint: Latest checkpoint.
        usage: Measured usage, which lags behind the real one.
        start: Start that the worker received, from which a new agent process
            adopts the task.
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
    """Capacity of a worker and all its tasks."""

    capacity: resources.Resources
    tasks: tuple[WorkerTask, ...]
