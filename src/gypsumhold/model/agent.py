"""State of an agent; only the reducer changes it."""

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
    """A dispatch that was accepted and has not ended."""

    dispatch: requests.Dispatch
    template: declarations.Template
    queued: policies.QueuedCall
    phase: states.DispatchPhase = states.DispatchPhase.QUEUED
    started_at: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedSlot:
    """A slot that an abandoned call may still hold in the upstream.

    Attributes:
        key: The call; None if a former agent started it.
        since: When the slot was held back.
        until: When no accepted call can still run.
    """

    key: requests.AttemptKey | None
    since: datetime.timedelta
    until: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """What became of an attempt; `reply` is None for a tombstone."""

    reply: requests.DispatchReply | None
    expires_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class Execution:
    """A task that was committed on the instance.

    Attributes:
        start: The start, with epoch and organisation.
        state: Where it stands.
        committed: Resources held for it; nothing once it ended.
        expires: End of the lease on CLOCK_BOOTTIME.
        result: Output or error text.
        checkpoint: Latest checkpoint.
        evicting: Whether it is being evicted rather than cancelled.
        throttled: Whether it was told to run slower.
        confirmed_at: When the worker first listed or accepted it.
        usage: Latest measured use.
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
    """A sync that waits until the worker has fenced unknown tasks."""

    sync: tasks.TaskSync
    waiting: set[ids.TaskId]
    reports: list[tasks.TaskReport]
    give_up_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class AgentState:
    """State of one agent.

    Attributes:
        options: Options from the settings.
        policies: Decisions that vary.
        configuration: Highest configuration received.
        upstream: Latest report of the upstream.
        upstream_report_at: When the latest upstream report arrived.
        previous_upstream_report_at: When the report before it arrived.
        calls: Accepted dispatches that have not ended.
        running: How many of them hold a slot.
        abandoned_slots: Slots that abandoned calls may still hold.
        attempt_records: Ended and fenced attempts.
        answer_bytes: Total body size of the answers in `attempt_records`.
        capacity: Resources of the worker, once it has answered.
        executions: Tasks on the worker, and ended ones not acknowledged.
        fences: Highest refused epoch of tasks that are not here.
        holder_epochs: Highest epoch of a holder seen, by partition.
        syncs: Syncs that wait for the worker.
        peak_usage: Largest measured usage of each kind of task.
        service_times: Short service time of each kind of request, in seconds.
        sequence: Number of the latest announcement.
        announced_far: Sequence of the latest one sent to all regions.
        draining: Whether new work is refused.
        stopping: Whether the process was asked to stop.
        stopped: Whether the end of all calls was reported.
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
