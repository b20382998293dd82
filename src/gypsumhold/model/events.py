"""Everything that can happen to a role: the reducer's input."""

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
    """The entry begins to run."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller's request has arrived in full."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchAnswered:
    """An agent gave its final word on an attempt."""

    request_id: ids.RequestId
    attempt: ids.Attempt
    reply: requests.DispatchReply


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchFailed:
    """A dispatch call broke or timed out.

    `sent` is false only if no byte of it can have reached the agent.
    """

    request_id: ids.RequestId
    attempt: ids.Attempt
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAnswered:
    """An agent said what became of an attempt; None if it did not answer."""

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
    """The table answered a read; `found` is None if it failed."""

    read: "ReadPurpose"
    found: tuple[rows.Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectStored:
    """The object store took an object, or it failed."""

    owner: ids.RequestId
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectLoaded:
    """The object store returned an object; None if it failed."""

    owner: ids.RequestId
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """An agent announced itself."""

    announcement: members.Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionArrived:
    """A task was submitted to this entry."""

    ticket: ids.TicketId
    submission: tasks.Submission
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCancelArrived:
    """A task is to be cancelled."""

    ticket: ids.TicketId
    organisation: ids.OrganisationId
    task_id: ids.TaskId
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The holder answered a forwarded operation; None if it was lost."""

    ticket: ids.TicketId
    result: states.SubmissionResult | None
    detail: str = ""
    task_id: ids.TaskId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartsAnswered:
    """An agent accepted or refused starts; None if the call was lost."""

    instance: ids.InstanceId
    starts: tuple[tasks.TaskStart, ...]
    accepted: tuple[bool, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class SyncAnswered:
    """An agent answered a sync; None if the call was lost."""

    instance: ids.InstanceId
    sync: tasks.TaskSync
    reply: tasks.SyncReply | None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyArrived:
    """An operator applies a change on top of `base`."""

    ticket: ids.TicketId
    base: ids.ConfigVersion
    change: declarations.Change


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPushAnswered:
    """A pushed configuration was taken, or the push was lost."""

    instance: ids.InstanceId
    version: ids.ConfigVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConfigRead:
    """A configuration that a peer has in force; None if the read failed."""

    configuration: declarations.Configuration | None


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRetired:
    """The platform confirms that an instance is gone for good."""

    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop; work in progress is finished first."""


# Events of an agent.


@dataclasses.dataclass(frozen=True, slots=True)
class AgentStarted:
    """The agent begins to run."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchArrived:
    """An entry dispatched an attempt."""

    dispatch: requests.Dispatch


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The upstream's whole answer arrived."""

    key: requests.AttemptKey
    answer: requests.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCallFailed:
    """A call to the upstream broke or timed out.

    `sent` is false only if no byte of it can have reached the upstream.
    """

    key: requests.AttemptKey
    sent: bool
    reason: states.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class CancelArrived:
    """An entry gives up an attempt or asks on behalf of a claim."""

    ticket: ids.TicketId
    cancel: requests.Cancel


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReported:
    """The upstream reported itself."""

    report: members.UpstreamReport


@dataclasses.dataclass(frozen=True, slots=True)
class StartsArrived:
    """A holder asks for tasks to be started."""

    ticket: ids.TicketId
    starts: tuple[tasks.TaskStart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncArrived:
    """A holder renews leases and compares views."""

    ticket: ids.TicketId
    sync: tasks.TaskSync


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReported:
    """The worker listed its tasks; None if it did not answer.

    `sent_at` is when the list was asked for; later starts may miss in it.
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
        accepted: None if the answer was lost; false if it was refused.
        checkpoint: Checkpoint after CHECKPOINT or STOP, if there is one.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    action: timers.WorkerAction
    accepted: bool | None
    checkpoint: ids.CheckpointRef | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPushed:
    """An entry sent a whole configuration."""

    ticket: ids.TicketId
    configuration: declarations.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesPushed:
    """An entry sent changes of the configuration, in order."""

    ticket: ids.TicketId
    changes: tuple[declarations.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """An operator or the platform wants the instance to be left alone."""


# Events of both.


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the reducer set is due."""

    timer: timers.Timer


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPurpose:
    """Why rows are read; comes back with them.

    Attributes:
        kind: What the answer is for.
        owner: Request or ticket that waits for it, if any.
        partition: Partition that is loaded, if any.
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
