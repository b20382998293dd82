"""Effects of entries and agents, the output of the reducer.

An effect with an `owner` is carried out by the thread that waits for that
request or ticket; all others are carried out by bounded thread pools. Where a
docstring names an event, the effect results in that event.
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
    """Sets a timer; results in `TimerFired` after `delay`."""

    timer: timers.Timer
    delay: datetime.timedelta
    owner: str = NO_OWNER


# Effects of an entry.


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answers the caller of a request with `result`."""

    owner: ids.RequestId
    result: requests.Result


@dataclasses.dataclass(frozen=True, slots=True)
class SendDispatch:
    """Dispatches an attempt to an agent.

    Results in `DispatchAnswered` or `DispatchFailed`.
    """

    owner: ids.RequestId
    address: members.Address
    dispatch: requests.Dispatch


@dataclasses.dataclass(frozen=True, slots=True)
class SendCancel:
    """Sends a cancel to an agent on a new connection.

    Results in `CancelAnswered`.
    """

    owner: ids.RequestId
    address: members.Address
    cancel: requests.Cancel


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Sends a transaction to the table; results in `CommitAnswered`."""

    owner: str
    transaction: rows.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Reads the rows with a key prefix in key order; results in `RowsRead`.

    Attributes:
        owner: Request or ticket that waits for the rows, if any.
        prefix: Common prefix of the keys.
        purpose: Purpose of the read, returned in the event.
        after: Only rows with keys greater than this one are read.
    """

    owner: str
    prefix: str
    purpose: events.ReadPurpose
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreObject:
    """Writes an object to the object store; results in `ObjectStored`."""

    owner: ids.RequestId
    name: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObject:
    """Reads an object from the object store; results in `ObjectLoaded`."""

    owner: ids.RequestId
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTicket:
    """Answers the caller of an operation on a task or the configuration."""

    owner: ids.TicketId
    result: states.SubmissionResult
    detail: str = ""
    task_id: ids.TaskId | None = None
    version: ids.ConfigVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardSubmission:
    """Forwards a submission to the holder; results in `ForwardAnswered`."""

    owner: ids.TicketId
    address: members.Address
    submission: tasks.Submission


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCancel:
    """Forwards a cancellation to the holder; results in `ForwardAnswered`."""

    owner: ids.TicketId
    address: members.Address
    organisation: ids.OrganisationId
    task_id: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class SendStarts:
    """Requests an agent to start tasks; results in `StartsAnswered`."""

    instance: ids.InstanceId
    address: members.Address
    starts: tuple[tasks.TaskStart, ...]
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class SendSync:
    """Sends a sync to an agent; results in `SyncAnswered`."""

    instance: ids.InstanceId
    address: members.Address
    sync: tasks.TaskSync
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PushConfig:
    """Pushes the configuration to an agent.

    Results in `ConfigPushAnswered`.
    """

    instance: ids.InstanceId
    address: members.Address
    configuration: declarations.Configuration
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class PushChanges:
    """Pushes the changes that an agent lacks.

    Results in `ConfigPushAnswered`.
    """

    instance: ids.InstanceId
    address: members.Address
    changes: tuple[declarations.Change, ...]
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPeerConfig:
    """Reads the configuration of an agent; results in `PeerConfigRead`."""

    address: members.Address
    owner: str = NO_OWNER


# Effects of an agent.


@dataclasses.dataclass(frozen=True, slots=True)
class CallUpstream:
    """Sends a request to the upstream.

    Results in `UpstreamAnswered` or `UpstreamCallFailed`. With `fresh` a new
    connection is used: the upstream may just be closing an idle one, which
    would leave a claimed attempt in doubt needlessly.
    """

    owner: requests.AttemptKey
    address: members.Address
    timeout: datetime.timedelta
    payload: requests.Payload
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyDispatch:
    """Replies to the dispatch of an attempt."""

    owner: requests.AttemptKey
    reply: requests.DispatchReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyCancel:
    """Replies to a cancel."""

    owner: ids.TicketId
    reply: requests.CancelReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyStarts:
    """Replies to starts, with one flag for each of them in order."""

    owner: ids.TicketId
    accepted: tuple[bool, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplySync:
    """Replies to a sync."""

    owner: ids.TicketId
    reply: tasks.SyncReply


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyConfig:
    """Replies to a configuration push with the version in force."""

    owner: ids.TicketId
    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True)
class CommandWorker:
    """Sends a command to the worker; results in `WorkerAnswered`.

    Attributes:
        task_id: The task.
        epoch: Epoch of the placement.
        action: The command.
        start: The start request; only with START.
        expires: End of the lease on CLOCK_BOOTTIME, with START and RENEW.
        share: Percentage of its processors that the task may use, with
            THROTTLE.
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
    """Polls the worker for its tasks; results in `WorkerReported`."""

    sent_at: datetime.timedelta
    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Sends an announcement to entries as a datagram.

    It is sent to the entries of all regions if `all_regions` is true, and to
    those of the agent's own region otherwise.
    """

    announcement: members.Announcement
    all_regions: bool
    owner: str = NO_OWNER


# Effects of entries and agents.


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Reports that all work has ended, so that the process may exit."""

    owner: str = NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class LogMessage:
    """Writes a decision of the reducer to the log.

    `subject` names the object that the decision concerns.
    """

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
