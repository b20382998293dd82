"""Tasks on an agent's worker: starts, leases, reports."""

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

SYNC_LIMIT = datetime.timedelta(seconds=5)
"""How long a sync waits for the worker to fence unknown tasks."""

FINAL_STATES = {
    states.ExecutionState.SUCCEEDED,
    states.ExecutionState.FAILED,
    states.ExecutionState.EVICTED,
    states.ExecutionState.STOPPED,
    states.ExecutionState.REFUSED,
}

_START = timers.WorkerAction.START
_STOP = timers.WorkerAction.STOP


def count_committed(state: agent.AgentState) -> resources.Resources:
    """Returns what the upstream and all tasks hold."""
    total = state.upstream.reserved if state.upstream else resources.NOTHING
    for execution in state.executions.values():
        total = total + execution.committed
    return total


def count_free(state: agent.AgentState) -> resources.Resources:
    """Returns what new tasks may use; nothing before both have reported."""
    if state.capacity is None or state.upstream is None:
        return resources.NOTHING
    return state.capacity - count_committed(state)


def handle_starts(
    state: agent.AgentState,
    event: events.StartsArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Commits resources for each start or refuses it."""
    made: list[effects.Effect] = []
    accepted = []
    for start in event.starts:
        taken = _accept_start(state, start, now)
        accepted.append(taken)
        known = state.executions.get(start.task_id)
        if taken and known is not None and known.confirmed_at is None:
            made.append(build_start_command(known))
    return [effects.ReplyStarts(event.ticket, tuple(accepted)), *made]


def _accept_start(
    state: agent.AgentState, start: tasks.TaskStart, now: datetime.timedelta
) -> bool:
    known = state.executions.get(start.task_id)
    if known is not None and known.start.epoch == start.epoch:
        return True
    if not _supersedes(start, known) or not _is_startable(state, start, now):
        return False
    need = _compute_need(state, start)
    if not need.fits_in(count_free(state)):
        return False
    state.executions[start.task_id] = agent.Execution(
        start=start,
        state=states.ExecutionState.STARTING,
        committed=need,
        expires=start.expires,
    )
    return True


def _supersedes(start: tasks.TaskStart, known: agent.Execution | None) -> bool:
    """Tells whether a start may replace what the agent has of the task.

    A start with a higher epoch shows that the end of the former placement was
    committed, so it also acknowledges that report.
    """
    if known is None:
        return True
    return known.state in FINAL_STATES and start.epoch > known.start.epoch


def _is_startable(
    state: agent.AgentState, start: tasks.TaskStart, now: datetime.timedelta
) -> bool:
    leaving = state.draining or state.stopping
    if leaving or start.incarnation != state.options.incarnation:
        return False
    # The reservation of the upstream is committed first, so it has to be known.
    if state.capacity is None or state.upstream is None:
        return False
    fence = state.fences.get(start.task_id, ids.Epoch(0))
    return start.epoch > fence and start.expires > now


def _compute_need(
    state: agent.AgentState, start: tasks.TaskStart
) -> resources.Resources:
    """Returns the larger of the declared and the learned size."""
    assert state.capacity is not None
    peak_usage = state.peak_usage.get(start.kind, resources.NOTHING)
    need = start.declared.take_larger(peak_usage)
    # A kind whose learned use exceeds the whole instance could never start.
    return need if need.fits_in(state.capacity) else start.declared


def build_start_command(execution: agent.Execution) -> effects.Effect:
    """Gives the worker a task; a repeat is harmless."""
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
    """Returns a command for a task on the worker."""
    renewing = action is timers.WorkerAction.RENEW
    return effects.CommandWorker(
        execution.start.task_id,
        execution.start.epoch,
        action,
        expires=execution.expires if renewing else None,
        share=share,
    )


def end_execution(
    execution: agent.Execution,
    state: states.ExecutionState,
    result: str = "",
) -> None:
    """Ends an execution; its report waits for the holder."""
    execution.state = state
    execution.result = result or execution.result
    execution.committed = resources.NOTHING


def handle_sync(
    state: agent.AgentState,
    event: events.SyncArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Renews leases, drops acknowledged reports and reports all tasks."""
    sync = event.sync
    seen = state.holder_epochs.get(sync.partition, ids.Epoch(0))
    stale = sync.holder_epoch < seen
    if stale or sync.incarnation != state.options.incarnation:
        return [effects.ReplySync(event.ticket, tasks.SyncReply(False))]
    if state.capacity is None:
        # What runs is unknown until the worker has been read.
        return [effects.ReplySync(event.ticket, tasks.SyncReply(False))]
    state.holder_epochs[sync.partition] = sync.holder_epoch
    made: list[effects.Effect] = []
    for item in sync.acknowledged:
        made += _forget(state, item)
    pending = agent.PendingSync(sync, set(), [], now + SYNC_LIMIT)
    for item in sync.items:
        made += _compare(state, item, pending, now)
    named = {item.task_id for item in sync.items}
    for task_id, execution in state.executions.items():
        own = execution.start.partition == sync.partition
        if own and task_id not in named:
            pending.reports.append(_report(execution))
    if not pending.waiting:
        return [*made, _reply_sync(event.ticket, pending)]
    state.syncs[event.ticket] = pending
    return made


def _forget(
    state: agent.AgentState, item: tasks.SyncItem
) -> list[effects.Effect]:
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
    """Refuses any later start at this epoch or a lower one."""
    known = state.fences.get(task_id, ids.Epoch(0))
    state.fences[task_id] = max(known, epoch)


def _compare(
    state: agent.AgentState,
    item: tasks.SyncItem,
    pending: agent.PendingSync,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    execution = state.executions.get(item.task_id)
    if execution is None or execution.start.epoch != item.epoch:
        return _fence_unknown(state, item, pending)
    made: list[effects.Effect] = []
    if execution.state not in FINAL_STATES:
        if item.stop:
            made += request_stop(execution, evicting=False)
        elif item.expires > execution.expires:
            execution.expires = item.expires
            made.append(build_command(execution, timers.WorkerAction.RENEW))
    pending.reports.append(_report(execution))
    return made


def _fence_unknown(
    state: agent.AgentState,
    item: tasks.SyncItem,
    pending: agent.PendingSync,
) -> list[effects.Effect]:
    """Has the worker fence a task before it is reported as unknown.

    A start command of a former agent process may still be under way to the
    worker; only the worker's own fence makes it harmless.
    """
    raise_fence(state, item.task_id, item.epoch)
    pending.waiting.add(item.task_id)
    return [effects.CommandWorker(item.task_id, item.epoch, _STOP)]


def request_stop(
    execution: agent.Execution, evicting: bool
) -> list[effects.Effect]:
    """Has the worker stop a task."""
    execution.evicting = evicting
    execution.state = states.ExecutionState.STOPPING
    return [build_command(execution, _STOP)]


def _report(execution: agent.Execution) -> tasks.TaskReport:
    return tasks.TaskReport(
        execution.start.task_id,
        execution.start.epoch,
        execution.state,
        execution.result,
        execution.checkpoint,
    )


def _reply_sync(
    ticket: ids.TicketId, pending: agent.PendingSync
) -> effects.Effect:
    reply = tasks.SyncReply(True, tuple(pending.reports))
    return effects.ReplySync(ticket, reply)


def complete_syncs(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Completes syncs that waited for a fence."""
    made: list[effects.Effect] = []
    for ticket, pending in list(state.syncs.items()):
        epochs = {item.task_id: item.epoch for item in pending.sync.items}
        if event.task_id not in pending.waiting:
            continue
        if event.epoch < epochs[event.task_id]:
            continue
        pending.waiting.discard(event.task_id)
        if event.accepted:
            pending.reports.append(
                tasks.TaskReport(
                    event.task_id,
                    epochs[event.task_id],
                    states.ExecutionState.UNKNOWN,
                )
            )
        # Without the worker's word nothing is said about the task, and the
        # holder asks again.
        if not pending.waiting:
            del state.syncs[ticket]
            made.append(_reply_sync(ticket, pending))
    return made


def expire_syncs(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Answers syncs whose fences the worker does not confirm in time."""
    made: list[effects.Effect] = []
    for ticket, pending in list(state.syncs.items()):
        if pending.give_up_at <= now:
            del state.syncs[ticket]
            made.append(_reply_sync(ticket, pending))
    return made
