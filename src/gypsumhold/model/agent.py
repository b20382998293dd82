"""State of an agent. Only the reducer and its handlers change it."""

import dataclasses
import datetime

from gypsumhold.model import (
    declarations,
    ids,
    members,
    options,
    policies,
    requests,
    resources,
    states,
    tasks,
)


@dataclasses.dataclass(slots=True)
class AgentCall:
    """An accepted dispatch that has not ended.

    Attributes:
        dispatch: The dispatch as received.
        template: Template of its kind at the time of acceptance.
        queued: Its item in the queue.
        phase: Whether it is queued or running in the upstream.
        started_at: When it was sent to the upstream; zero while it is queued.
    """

    dispatch: requests.Dispatch
    template: declarations.Template
    queued: policies.QueuedCall
    phase: states.DispatchPhase = states.DispatchPhase.QUEUED
    started_at: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedSlot:
    """A slot that an abandoned call may still hold in the upstream.

    Attributes:
        key: Attempt that holds the slot; None if an earlier agent process
            started it.
        since: When the slot was reserved for the abandoned call.
        until: When the slot is released at the latest, because no accepted call
            can still be running.
    """

    key: requests.AttemptKey | None
    since: datetime.timedelta
    until: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Record of an ended or fenced attempt.

    Attributes:
        reply: Reply of the ended attempt; None for a tombstone, which fences an
            attempt that never arrived.
        expires_at: When the record may be dropped.
    """

    reply: requests.DispatchReply | None
    expires_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class Execution:
    """A task to which resources of the instance are or were committed.

    Attributes:
        start: Start message, with the epoch and the organisation.
        state: Current state.
        committed: Resources committed to it; nothing once it has ended.
        expires: End of the lease on CLOCK_BOOTTIME.
        result: Output or error text.
        checkpoint: Latest checkpoint.
        evicting: Whether an eviction has begun; it stays set after the end. A
            stop for another reason clears it.
        throttled: Whether interference control throttles it.
        confirmed_at: When the worker first listed or accepted it; None before.
        usage: Latest measured usage.
    """

    start: tasks.TaskStart
    state: states.ExecutionState
    committed: resources.Resources
    expires: datetime.timedelta
    result: str = ""
    checkpoint: ids.CheckpointRef | None = None
    evicting: bool = False
    throttled: bool = False
    confirmed_at: datetime.timedelta | None = None
    usage: resources.Resources = resources.NOTHING


@dataclasses.dataclass(slots=True)
class PendingSync:
    """A sync whose reply waits until the worker has fenced unknown tasks.

    Attributes:
        sync: The sync as received.
        unfenced_ids: Tasks whose fence the worker has not confirmed.
        reports: Reports collected for the reply.
        give_up_at: When the reply is sent without the missing fences.
    """

    sync: tasks.TaskSync
    unfenced_ids: set[ids.TaskId]
    reports: list[tasks.TaskReport]
    give_up_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class AgentState:
    """State of one agent.

    Attributes:
        options: Options from the settings.
        policies: Queue discipline and interference policy.
        configuration: Highest configuration version received.
        upstream: Latest report of the upstream; None before the first.
        upstream_report_at: When the latest upstream report arrived.
        previous_upstream_report_at: When the report before it arrived.
        calls: Accepted dispatches that have not ended.
        running: Number of these calls that are running in the upstream.
        abandoned_slots: Slots that abandoned calls may still hold.
        attempt_records: Ended and fenced attempts.
        answer_bytes: Total body size of the answers in `attempt_records`.
        capacity: Resources of the worker; None before its first report.
        executions: Tasks on the worker, and ended tasks whose report is not yet
            acknowledged.
        fences: Highest epoch at which starts of a task are refused, for tasks
            without an execution.
        holder_epochs: Highest holder epoch seen of each partition.
        syncs: Syncs that wait for the worker to confirm fences.
        peak_usage: Largest measured usage of each kind of task.
        service_times: Low percentile of the service times of each kind of
            request, in seconds.
        sequence: Sequence number of the latest announcement.
        draining: Whether a drain was requested, so that new work is refused.
        stopping: Whether a stop of the process was requested.
        stopped: Whether `Stopped` was emitted after the last call ended.
    """

    options: options.AgentOptions
    policies: policies.AgentPolicies
    configuration: declarations.Configuration = declarations.EMPTY
    upstream: members.UpstreamReport | None = None
    upstream_report_at: datetime.timedelta = datetime.timedelta(0)
    previous_upstream_report_at: datetime.timedelta = datetime.timedelta(0)
    calls: dict[requests.AttemptKey, AgentCall] = dataclasses.field(
        default_factory=dict
    )
    running: int = 0
    abandoned_slots: list[AbandonedSlot] = dataclasses.field(
        default_factory=list
    )
    attempt_records: dict[requests.AttemptKey, AttemptRecord] = (
        dataclasses.field(default_factory=dict)
    )
    answer_bytes: int = 0
    capacity: resources.Resources | None = None
    executions: dict[ids.TaskId, Execution] = dataclasses.field(
        default_factory=dict
    )
    fences: dict[ids.TaskId, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    holder_epochs: dict[ids.Partition, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    syncs: dict[ids.TicketId, PendingSync] = dataclasses.field(
        default_factory=dict
    )
    peak_usage: dict[ids.KindName, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    service_times: dict[ids.KindName, float] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    draining: bool = False
    stopping: bool = False
    stopped: bool = False
