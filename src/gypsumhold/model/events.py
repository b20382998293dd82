"""Events of entries and agents, the input of the reducer."""

import dataclasses
import datetime

from gypsumhold.model import (
    declarations,
    ids,
    members,
    requests,
    rows,
    states,
    tasks,
    timers,
)
from gypsumhold.model.jobs import events as job_events

# Events of an entry.


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStarted:
    """The entry has started."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallArrived:
    """A complete request from a caller has arrived."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchAnswered:
    """An agent replied to the dispatch of an attempt."""

    request_id: ids.RequestId
    attempt: ids.Attempt
    reply: requests.DispatchReply


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchFailed:
    """A dispatch call failed or timed out.

    `sent` is false only if no byte of it can have reached the agent.
    """

    request_id: ids.RequestId
    attempt: ids.Attempt
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAnswered:
    """An agent answered a cancel; `reply` is None if the call failed."""

    owner: ids.RequestId
    cancel: requests.Cancel
    reply: requests.CancelReply | None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The table answered a transaction."""

    operation: ids.OperationId
    answer: rows.CommitAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """A read of the table has ended; `found` is None if it failed."""

    purpose: "ReadPurpose"
    found: tuple[rows.Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectStored:
    """The write of an object to the object store succeeded or failed."""

    owner: ids.RequestId
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectLoaded:
    """A read of the object store has ended; `body` is None if it failed."""

    owner: ids.RequestId
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """An announcement of an agent has arrived."""

    announcement: members.Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionArrived:
    """A task was submitted to this entry.

    `forwarded` is true if another entry forwarded the submission.
    """

    ticket: ids.TicketId
    submission: tasks.Submission
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCancelArrived:
    """The cancellation of a task was requested at this entry.

    `forwarded` is true if another entry forwarded the request.
    """

    ticket: ids.TicketId
    organisation: ids.OrganisationId
    task_id: ids.TaskId
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """A forwarded operation has ended; `result` is None if the call failed."""

    ticket: ids.TicketId
    result: states.SubmissionResult | None
    detail: str = ""
    task_id: ids.TaskId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartsAnswered:
    """An agent answered starts; `accepted` is None if the call failed."""

    instance: ids.InstanceId
    starts: tuple[tasks.TaskStart, ...]
    accepted: tuple[bool, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class SyncAnswered:
    """An agent answered a sync; `reply` is None if the call failed."""

    instance: ids.InstanceId
    sync: tasks.TaskSync
    reply: tasks.SyncReply | None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyArrived:
    """An operator submitted a change that is based on version `base`."""

    ticket: ids.TicketId
    base: ids.ConfigVersion
    change: declarations.Change


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPushAnswered:
    """An agent answered a push; `version` is None if the call failed."""

    instance: ids.InstanceId
    version: ids.ConfigVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConfigRead:
    """The read of an agent's configuration has ended; None if it failed."""

    configuration: declarations.Configuration | None


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRetired:
    """The platform confirmed that an instance is gone for good."""

    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop once the work in progress has ended."""


# Events of an agent.


@dataclasses.dataclass(frozen=True, slots=True)
class AgentStarted:
    """The agent has started."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchArrived:
    """The dispatch of an attempt has arrived from an entry."""

    dispatch: requests.Dispatch


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The complete answer of the upstream has arrived."""

    key: requests.AttemptKey
    answer: requests.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCallFailed:
    """A call to the upstream failed or timed out.

    `sent` is false only if no byte of it can have reached the upstream.
    """

    key: requests.AttemptKey
    sent: bool
    reason: states.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class CancelArrived:
    """An entry cancels an attempt or asks for its outcome for a claim."""

    ticket: ids.TicketId
    cancel: requests.Cancel


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReported:
    """A report of the upstream has arrived."""

    report: members.UpstreamReport


@dataclasses.dataclass(frozen=True, slots=True)
class StartsArrived:
    """A holder of a partition requested the start of tasks."""

    ticket: ids.TicketId
    starts: tuple[tasks.TaskStart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncArrived:
    """A holder of a partition sent a sync, which also renews leases."""

    ticket: ids.TicketId
    sync: tasks.TaskSync


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReported:
    """The worker listed its tasks; `report` is None if the call failed.

    `sent_at` is when the list was requested. Tasks started after that may be
    missing from it.
    """

    report: tasks.WorkerReport | None
    sent_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """The worker answered a command.

    Attributes:
        task_id: The task.
        epoch: Epoch of the command.
        action: The command.
        accepted: Whether the worker accepted it; None if the call failed.
        checkpoint: Checkpoint after CHECKPOINT or STOP, if there is one.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    action: timers.WorkerAction
    accepted: bool | None
    checkpoint: ids.CheckpointRef | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPushed:
    """An entry pushed a complete configuration."""

    ticket: ids.TicketId
    configuration: declarations.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesPushed:
    """An entry pushed changes of the configuration, in order of version."""

    ticket: ids.TicketId
    changes: tuple[declarations.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """An operator or the platform requested the drain of the instance."""


# Events of entries and agents, and the types they share.


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the reducer has set is due."""

    timer: timers.Timer


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPurpose:
    """Purpose of a read, which is returned in its `RowsRead` event.

    Attributes:
        kind: Purpose; selects the handler.
        owner: Request or ticket that waits for the rows, if any. For a read of
            declared objects, the version of the head.
        partition: Partition whose tasks are loaded, if any.
        sent_at: When the read was requested.
    """

    kind: timers.ReadKind
    owner: str = ""
    partition: ids.Partition = ids.Partition(0)
    sent_at: datetime.timedelta = datetime.timedelta(0)


Event = (
    EntryStarted
    | CallArrived
    | DispatchAnswered
    | DispatchFailed
    | CancelAnswered
    | CommitAnswered
    | RowsRead
    | ObjectStored
    | ObjectLoaded
    | AnnouncementReceived
    | SubmissionArrived
    | TaskCancelArrived
    | ForwardAnswered
    | StartsAnswered
    | SyncAnswered
    | ApplyArrived
    | ConfigPushAnswered
    | PeerConfigRead
    | InstanceRetired
    | StopRequested
    | AgentStarted
    | DispatchArrived
    | UpstreamAnswered
    | UpstreamCallFailed
    | CancelArrived
    | UpstreamReported
    | StartsArrived
    | SyncArrived
    | WorkerReported
    | WorkerAnswered
    | ConfigPushed
    | ChangesPushed
    | DrainRequested
    | TimerFired
    | job_events.Event
)
