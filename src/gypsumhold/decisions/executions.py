"""Starts, lease renewals and reports of the tasks on an agent's worker."""

import datetime

from gypsumhold.model import (
    agent,
    effects,
    events,
    ids,
    resources,
    states,
    tasks,
    timers,
)

SYNC_TIMEOUT = datetime.timedelta(seconds=5)
"""How long the reply to a sync waits for the worker to fence unknown tasks."""

FINAL_STATES = {
    states.ExecutionState.SUCCEEDED,
    states.ExecutionState.FAILED,
    states.ExecutionState.EVICTED,
    states.ExecutionState.STOPPED,
    states.ExecutionState.REFUSED,
}
"""States of an execution that has ended."""

_START = timers.WorkerAction.START
_STOP = timers.WorkerAction.STOP


def compute_committed(state: agent.AgentState) -> resources.Resources:
    """Returns the resources committed to the upstream and to all tasks."""
    total = state.upstream.reserved if state.upstream else resources.NOTHING
    for execution in state.executions.values():
        total = total + execution.committed
    return total


def compute_free(state: agent.AgentState) -> resources.Resources:
    """Returns the resources that new tasks may use.

    Nothing is free until both the worker and the upstream have reported.
    """
    if state.capacity is None or state.upstream is None:
        return resources.NOTHING
    return state.capacity - compute_committed(state)


def handle_starts(
    state: agent.AgentState,
    event: events.StartsArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Accepts each start that fits and commits its resources, or refuses it.

    A repeated start is accepted again, and its command is sent again while the
    worker has not confirmed it.
    """
    emitted: list[effects.Effect] = []
    accepted = []
    for start in event.starts:
        is_accepted = _accept_start(state, start, now)
        accepted.append(is_accepted)
        existing = state.executions.get(start.task_id)
        if (
            is_accepted
            and existing is not None
            and existing.confirmed_at is None
        ):
            emitted.append(build_start_command(existing))
    return [effects.ReplyStarts(event.ticket, tuple(accepted)), *emitted]


def _accept_start(
    state: agent.AgentState, start: tasks.TaskStart, now: datetime.timedelta
) -> bool:
    existing = state.executions.get(start.task_id)
    if existing is not None and existing.start.epoch == start.epoch:
        return True
    if not _can_replace(start, existing) or not _is_startable(
        state, start, now
    ):
        return False
    required = _compute_required(state, start)
    if not required.fits_in(compute_free(state)):
        return False
    state.executions[start.task_id] = agent.Execution(
        start=start,
        state=states.ExecutionState.STARTING,
        committed=required,
        expires=start.expires,
    )
    return True


def _can_replace(
    start: tasks.TaskStart, existing: agent.Execution | None
) -> bool:
    """Returns whether a start may replace the existing execution of its task.

    A start with a higher epoch proves that the end of the previous placement
    was committed, so it also acknowledges that report.
    """
    if existing is None:
        return True
    return existing.state in FINAL_STATES and start.epoch > existing.start.epoch


def _is_startable(
    state: agent.AgentState, start: tasks.TaskStart, now: datetime.timedelta
) -> bool:
    is_leaving = state.draining or state.stopping
    if is_leaving or start.incarnation != state.options.incarnation:
        return False
    # The upstream reserves resources before any task, so its report has to be
    # known before tasks can be admitted.
    if state.capacity is None or state.upstream is None:
        return False
    fence = state.fences.get(start.task_id, ids.Epoch(0))
    return start.epoch > fence and start.expires > now


def _compute_required(
    state: agent.AgentState, start: tasks.TaskStart
) -> resources.Resources:
    """Returns the larger of the declared size and the measured peak usage."""
    assert state.capacity is not None
    peak_usage = state.peak_usage.get(start.kind, resources.NOTHING)
    required = start.declared.take_larger(peak_usage)
    # A kind whose peak usage exceeds the whole instance could never start.
    return required if required.fits_in(state.capacity) else start.declared


def build_start_command(execution: agent.Execution) -> effects.Effect:
    """Returns the command that starts a task; repeating it has no effect."""
    return effects.CommandWorker(
        execution.start.task_id,
        execution.start.epoch,
        _START,
        start=execution.start,
        expires=execution.expires,
    )


def build_command(
    execution: agent.Execution, action: timers.WorkerAction, share: int = 100
) -> effects.Effect:
    """Returns a command for a task on the worker.

    Args:
        execution: The task.
        action: Command to give; only RENEW carries the end of the lease.
        share: Percent of its processors that the task may use.
    """
    is_renewal = action is timers.WorkerAction.RENEW
    return effects.CommandWorker(
        execution.start.task_id,
        execution.start.epoch,
        action,
        expires=execution.expires if is_renewal else None,
        share=share,
    )


def end_execution(
    execution: agent.Execution,
    state: states.ExecutionState,
    result: str = "",
) -> None:
    """Marks an execution as ended and frees its resources.

    Its report is kept until the holder of the partition acknowledges it.
    """
    execution.state = state
    execution.result = result or execution.result
    execution.committed = resources.NOTHING


def handle_sync(
    state: agent.AgentState,
    event: events.SyncArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Renews leases, drops acknowledged reports and reports all tasks.

    The sync is refused if its holder epoch or its incarnation is stale, or if
    the worker has not reported yet. The reply is deferred while the worker has
    to fence unknown tasks.
    """
    sync = event.sync
    highest_epoch = state.holder_epochs.get(sync.partition, ids.Epoch(0))
    is_stale = sync.holder_epoch < highest_epoch
    if is_stale or sync.incarnation != state.options.incarnation:
        return [effects.ReplySync(event.ticket, tasks.SyncReply(False))]
    if state.capacity is None:
        # The running tasks are unknown until the worker has reported.
        return [effects.ReplySync(event.ticket, tasks.SyncReply(False))]
    state.holder_epochs[sync.partition] = sync.holder_epoch
    emitted: list[effects.Effect] = []
    for item in sync.acknowledged:
        emitted += _acknowledge_report(state, item)
    pending = agent.PendingSync(sync, set(), [], now + SYNC_TIMEOUT)
    for item in sync.items:
        emitted += _sync_item(state, item, pending, now)
    synced_ids = {item.task_id for item in sync.items}
    for task_id, execution in state.executions.items():
        is_in_partition = execution.start.partition == sync.partition
        if is_in_partition and task_id not in synced_ids:
            pending.reports.append(_build_report(execution))
    if not pending.unfenced_ids:
        return [*emitted, _build_sync_reply(event.ticket, pending)]
    state.syncs[event.ticket] = pending
    return emitted


def _acknowledge_report(
    state: agent.AgentState, item: tasks.SyncItem
) -> list[effects.Effect]:
    """Drops an ended execution and has the worker forget its task."""
    execution = state.executions.get(item.task_id)
    if execution is None or execution.start.epoch != item.epoch:
        return []
    if execution.state not in FINAL_STATES:
        return []
    del state.executions[item.task_id]
    raise_fence(state, item.task_id, item.epoch)
    return [build_command(execution, timers.WorkerAction.FORGET)]


def raise_fence(
    state: agent.AgentState, task_id: ids.TaskId, epoch: ids.Epoch
) -> None:
    """Refuses later starts of a task at this epoch or a lower one."""
    current = state.fences.get(task_id, ids.Epoch(0))
    state.fences[task_id] = max(current, epoch)


def _sync_item(
    state: agent.AgentState,
    item: tasks.SyncItem,
    pending: agent.PendingSync,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Stops the task of a sync item or renews its lease, and reports it."""
    execution = state.executions.get(item.task_id)
    if execution is None or execution.start.epoch != item.epoch:
        return _fence_unknown(state, item, pending)
    emitted: list[effects.Effect] = []
    if execution.state not in FINAL_STATES:
        if item.stop:
            emitted += request_stop(execution, evicting=False)
        elif item.expires > execution.expires:
            execution.expires = item.expires
            emitted.append(build_command(execution, timers.WorkerAction.RENEW))
    pending.reports.append(_build_report(execution))
    return emitted


def _fence_unknown(
    state: agent.AgentState,
    item: tasks.SyncItem,
    pending: agent.PendingSync,
) -> list[effects.Effect]:
    """Stops an unknown task on the worker before reporting it as unknown.

    A start command of an earlier agent process may still be in transit to the
    worker. Only the worker's own fence, which the stop command raises, prevents
    that start from taking effect.
    """
    raise_fence(state, item.task_id, item.epoch)
    pending.unfenced_ids.add(item.task_id)
    return [effects.CommandWorker(item.task_id, item.epoch, _STOP)]


def request_stop(
    execution: agent.Execution, evicting: bool
) -> list[effects.Effect]:
    """Marks a task as stopping and returns the command that stops it."""
    execution.evicting = evicting
    execution.state = states.ExecutionState.STOPPING
    return [build_command(execution, _STOP)]


def _build_report(execution: agent.Execution) -> tasks.TaskReport:
    return tasks.TaskReport(
        execution.start.task_id,
        execution.start.epoch,
        execution.state,
        execution.result,
        execution.checkpoint,
    )


def _build_sync_reply(
    ticket: ids.TicketId, pending: agent.PendingSync
) -> effects.Effect:
    reply = tasks.SyncReply(True, tuple(pending.reports))
    return effects.ReplySync(ticket, reply)


def complete_syncs(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Replies to the syncs for which the worker confirmed the last fence."""
    emitted: list[effects.Effect] = []
    for ticket, pending in list(state.syncs.items()):
        epochs = {item.task_id: item.epoch for item in pending.sync.items}
        if event.task_id not in pending.unfenced_ids:
            continue
        if event.epoch < epochs[event.task_id]:
            continue
        pending.unfenced_ids.discard(event.task_id)
        if event.accepted:
            pending.reports.append(
                tasks.TaskReport(
                    event.task_id,
                    epochs[event.task_id],
                    states.ExecutionState.UNKNOWN,
                )
            )
        # If the worker did not confirm the fence, the task is left out of the
        # reply, and the holder syncs it again.
        if not pending.unfenced_ids:
            del state.syncs[ticket]
            emitted.append(_build_sync_reply(ticket, pending))
    return emitted


def expire_syncs(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Replies to the syncs whose fences were not confirmed in time."""
    emitted: list[effects.Effect] = []
    for ticket, pending in list(state.syncs.items()):
        if pending.give_up_at <= now:
            del state.syncs[ticket]
            emitted.append(_build_sync_reply(ticket, pending))
    return emitted
