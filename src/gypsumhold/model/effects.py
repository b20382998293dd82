"""Everything that a role can do: the reducer's output.

An effect with an `owner` is run by the thread that waits for that request or
ticket; the others are run by a small pool.
"""

import dataclasses
import datetime

from gypsumhold.model import (
    declarations,
    events,
    ids,
    members,
    requests,
    rows,
    states,
    tasks,
    timers,
)
from gypsumhold.model.jobs import effects as job_effects

NO_OWNER = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Fires a TimerFired event after `delay`."""

    timer: timers.Timer
    delay: datetime.timedelta
    owner: str = NO_OWNER


# Effects of an entry.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCall:
    """Ends a request; the caller gets `result`."""

    owner: ids.RequestId
    result: requests.Result


@dataclasses.dataclass(frozen=True, slots=True)
class SendDispatch:
    """Calls an agent and brings DispatchAnswered or DispatchFailed."""

    owner: ids.RequestId
    address: members.Address
    dispatch: requests.Dispatch


@dataclasses.dataclass(frozen=True, slots=True)
class SendCancel:
    """Calls an agent on a fresh connection; brings CancelAnswered."""

    owner: ids.RequestId
    address: members.Address
    cancel: requests.Cancel


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Sends a transaction to the table; brings CommitAnswered."""

    owner: str
    transaction: rows.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Reads the rows of a prefix in key order; brings RowsRead.

    Attributes:
        owner: Request or ticket that waits, if any.
        prefix: Common prefix of the keys.
        after: Only keys greater than this one.
        purpose: Comes back in the event.
    """

    owner: str
    prefix: str
    purpose: events.ReadPurpose
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreObject:
    """Puts an object into the object store; brings ObjectStored."""

    owner: ids.RequestId
    name: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObject:
    """Gets an object from the object store; brings ObjectLoaded."""

    owner: ids.RequestId
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTicket:
    """Ends an operation on a task or on the configuration."""

    owner: ids.TicketId
    result: states.SubmissionResult
    detail: str = ""
    task_id: ids.TaskId | None = None
    version: ids.ConfigVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardSubmission:
    """Passes a submission to the partition's holder; ForwardAnswered."""

    owner: ids.TicketId
    address: members.Address
    submission: tasks.Submission


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Passes a cancellation to the partition's holder; ForwardAnswered."""

    owner: ids.TicketId
    address: members.Address
    organisation: ids.OrganisationId
    task_id: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class SendStarts:
    """Asks an agent to start tasks; brings StartsAnswered."""

    instance: ids.InstanceId
    address: members.Address
    starts: tuple[tasks.TaskStart, ...]
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class SendSync:
    """Syncs with an agent; brings SyncAnswered."""

    instance: ids.InstanceId
    address: members.Address
    sync: tasks.TaskSync
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PushConfig:
    """Sends the configuration to an agent; brings ConfigPushAnswered."""

    instance: ids.InstanceId
    address: members.Address
    configuration: declarations.Configuration
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PushChanges:
    """Sends the changes that an agent lacks; brings ConfigPushAnswered."""

    instance: ids.InstanceId
    address: members.Address
    changes: tuple[declarations.Change, ...]
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPeerConfig:
    """Asks an agent for its configuration; brings PeerConfigRead."""

    address: members.Address
    owner: str = NO_OWNER


# Effects of an agent.


@dataclasses.dataclass(frozen=True, slots=True)
class CallUpstream:
    """Calls the upstream; brings UpstreamAnswered or UpstreamCallFailed.

    A `fresh` connection cannot be one that the upstream is just closing, so
    that a claimed attempt is not left in doubt without need.
    """

    owner: requests.AttemptKey
    address: members.Address
    timeout: datetime.timedelta
    payload: requests.Payload
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyDispatch:
    """Ends an attempt; the entry gets `reply`."""

    owner: requests.AttemptKey
    reply: requests.DispatchReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyCancel:
    """Answers a cancel."""

    owner: ids.TicketId
    reply: requests.CancelReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyStarts:
    """Answers starts; one flag for each, in order."""

    owner: ids.TicketId
    accepted: tuple[bool, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplySync:
    """Answers a sync."""

    owner: ids.TicketId
    reply: tasks.SyncReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyConfig:
    """Answers a configuration push with the version in force."""

    owner: ids.TicketId
    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True)
class CommandWorker:
    """Sends a command to the worker; brings WorkerAnswered.

    Attributes:
        task_id: The task.
        epoch: Epoch of the placement.
        action: The command.
        start: The whole start, only with START.
        expires: Lease end on CLOCK_BOOTTIME, with START and RENEW.
        share: Percent of its processors, with THROTTLE.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    action: timers.WorkerAction
    start: tasks.TaskStart | None = None
    expires: datetime.timedelta | None = None
    share: int = 100
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ReadWorker:
    """Lists the worker's tasks; brings WorkerReported with `sent_at`."""

    sent_at: datetime.timedelta
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Sends one datagram to the entries; `everywhere` includes far ones."""

    announcement: members.Announcement
    everywhere: bool
    owner: str = NO_OWNER


# Effects of both.


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Everything in progress has ended; the process may exit."""

    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log: what the reducer decided and about what."""

    text: str
    subject: str = ""
    owner: str = NO_OWNER


Effect = (
    SetTimer
    | AnswerCall
    | SendDispatch
    | SendCancel
    | Commit
    | ReadRows
    | StoreObject
    | LoadObject
    | AnswerTicket
    | ForwardSubmission
    | ForwardCancel
    | SendStarts
    | SendSync
    | PushConfig
    | PushChanges
    | ReadPeerConfig
    | CallUpstream
    | ReplyDispatch
    | ReplyCancel
    | ReplyStarts
    | ReplySync
    | ReplyConfig
    | CommandWorker
    | ReadWorker
    | Announce
    | Stopped
    | LogMessage
    | job_effects.Effect
)

Effects = tuple[Effect, ...]
