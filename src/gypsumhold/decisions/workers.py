"""Reports and answers of the local worker, and evictions of its tasks."""

import datetime

from gypsumhold.decisions import executions
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

THROTTLED_CPU_PERCENT = 25
"""Share of its processors that a throttled task keeps, in percent."""

_ACTIVE_STATES = (
    states.ExecutionState.RUNNING,
    states.ExecutionState.THROTTLED,
    states.ExecutionState.CHECKPOINTING,
)
"""States in which a task counts towards memory usage and can be evicted."""

_WORKER_FINAL_STATES = {
    states.ExecutionState.SUCCEEDED,
    states.ExecutionState.FAILED,
    states.ExecutionState.STOPPED,
}
"""States in which the worker lists an ended task."""


def handle_report(
    state: agent.AgentState,
    event: events.WorkerReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Reconciles the executions with the tasks that the worker lists.

    Also evicts a task if memory is short, or all tasks during a drain, and
    throttles or evicts tasks that interfere with the service.
    """
    report = event.report
    if report is None:
        return []
    is_first_report = state.capacity is None
    state.capacity = report.capacity
    listed = {(item.task_id, item.epoch) for item in report.tasks}
    emitted: list[effects.Effect] = []
    for item in report.tasks:
        emitted += _handle_listed_task(state, item, is_first_report, now)
    for execution in list(state.executions.values()):
        if (execution.start.task_id, execution.start.epoch) not in listed:
            emitted += _handle_missing_task(execution, event.sent_at)
    if state.draining:
        # Tasks that were starting when the drain was requested.
        emitted += evict_all(state)
    emitted += relieve_memory_pressure(state)
    return [*emitted, *control_interference(state, now)]


def _handle_listed_task(
    state: agent.AgentState,
    item: tasks.WorkerTask,
    is_first_report: bool,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Updates the execution of a task that the worker lists.

    A task without an execution is adopted on the first report of the worker; on
    later ones it is stopped, or forgotten if it has ended. Stop and checkpoint
    commands are sent again with each report until the worker has carried them
    out.
    """
    execution = state.executions.get(item.task_id)
    if execution is None:
        if is_first_report:
            _adopt(state, item, now)
            return []
        return _remove_unknown_task(item)
    if execution.start.epoch != item.epoch:
        return []
    _confirm(execution, now)
    execution.checkpoint = item.checkpoint or execution.checkpoint
    _record_usage(state, execution, item.usage)
    if execution.state in executions.FINAL_STATES:
        return []
    if item.state in _WORKER_FINAL_STATES:
        _apply_end(execution, item)
        return []
    if execution.state is states.ExecutionState.STARTING:
        execution.state = states.ExecutionState.RUNNING
    if execution.state is states.ExecutionState.STOPPING:
        return executions.request_stop(execution, execution.evicting)
    if execution.state is states.ExecutionState.CHECKPOINTING:
        action = timers.WorkerAction.CHECKPOINT
        return [executions.build_command(execution, action)]
    return []


def _apply_end(execution: agent.Execution, item: tasks.WorkerTask) -> None:
    state = item.state
    if state is states.ExecutionState.STOPPED and execution.evicting:
        state = states.ExecutionState.EVICTED
    executions.end_execution(execution, state, item.result)


def _confirm(execution: agent.Execution, now: datetime.timedelta) -> None:
    if execution.confirmed_at is None:
        execution.confirmed_at = now


def _adopt(
    state: agent.AgentState, item: tasks.WorkerTask, now: datetime.timedelta
) -> None:
    """Adopts a task that an earlier agent process started."""
    has_ended = item.state in _WORKER_FINAL_STATES
    state.executions[item.task_id] = agent.Execution(
        start=item.start,
        state=item.state,
        committed=resources.NOTHING if has_ended else item.start.declared,
        expires=item.start.expires,
        result=item.result,
        checkpoint=item.checkpoint,
        throttled=item.state is states.ExecutionState.THROTTLED,
        confirmed_at=now,
    )


def _remove_unknown_task(item: tasks.WorkerTask) -> list[effects.Effect]:
    """Stops a task that has no execution; an ended one is forgotten instead."""
    action = (
        timers.WorkerAction.FORGET
        if item.state in _WORKER_FINAL_STATES
        else timers.WorkerAction.STOP
    )
    return [effects.CommandWorker(item.task_id, item.epoch, action)]


def _handle_missing_task(
    execution: agent.Execution, sent_at: datetime.timedelta
) -> list[effects.Effect]:
    """Handles an execution whose task the worker does not list.

    The start command is sent again while the worker has not confirmed it. A
    task that was confirmed after the poll was sent may be missing from the
    report.
    """
    if execution.state in executions.FINAL_STATES:
        return []
    if execution.confirmed_at is None:
        return [executions.build_start_command(execution)]
    if execution.confirmed_at >= sent_at:
        return []
    # The worker restarted and lost the task. The task is fenced nevertheless,
    # because a repeated start command may still be in transit.
    return executions.request_stop(execution, evicting=False)


def _record_usage(
    state: agent.AgentState,
    execution: agent.Execution,
    usage: resources.Resources,
) -> None:
    execution.usage = usage
    kind = execution.start.kind
    peak = state.peak_usage.get(kind, resources.NOTHING)
    state.peak_usage[kind] = peak.take_larger(usage)


def handle_answer(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's answer to a command.

    An answer to a stop also completes the syncs that wait for it as a fence.
    """
    execution = state.executions.get(event.task_id)
    emitted: list[effects.Effect] = []
    if event.action is timers.WorkerAction.STOP:
        emitted += executions.complete_syncs(state, event, now)
    if execution is None or execution.start.epoch != event.epoch:
        return emitted
    return [*emitted, *_ANSWER_HANDLERS[event.action](execution, event, now)]


def _handle_start_answer(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Marks a task as running, or as refused by the worker.

    If the call failed, the start command is repeated with the next report.
    """
    if execution.state is not states.ExecutionState.STARTING:
        return []
    if event.accepted:
        _confirm(execution, now)
        execution.state = states.ExecutionState.RUNNING
    elif event.accepted is False:
        executions.end_execution(execution, states.ExecutionState.REFUSED)
    return []


def _handle_stop_answer(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends a task that was being stopped.

    If the call failed or was refused, the stop command is repeated with the
    next report that lists the task.
    """
    if execution.state in executions.FINAL_STATES or not event.accepted:
        return []
    if execution.state is not states.ExecutionState.STOPPING:
        return []
    execution.checkpoint = event.checkpoint or execution.checkpoint
    end_state = (
        states.ExecutionState.EVICTED
        if execution.evicting
        else states.ExecutionState.STOPPED
    )
    executions.end_execution(execution, end_state)
    return []


def _handle_checkpoint_answer(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Stops a task that is being evicted, with or without a new checkpoint.

    If the call failed, the checkpoint command is repeated with the next report.
    """
    if execution.state is not states.ExecutionState.CHECKPOINTING:
        return []
    if event.accepted is None:
        return []
    execution.checkpoint = event.checkpoint or execution.checkpoint
    return executions.request_stop(execution, evicting=True)


def _ignore_answer(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    return []


_ANSWER_HANDLERS = {
    timers.WorkerAction.START: _handle_start_answer,
    timers.WorkerAction.RENEW: _ignore_answer,
    timers.WorkerAction.THROTTLE: _ignore_answer,
    timers.WorkerAction.CHECKPOINT: _handle_checkpoint_answer,
    timers.WorkerAction.STOP: _handle_stop_answer,
    timers.WorkerAction.FORGET: _ignore_answer,
}


def evict(execution: agent.Execution) -> list[effects.Effect]:
    """Starts an eviction by throttling and checkpointing the task.

    The task is stopped once the worker has answered the checkpoint command,
    even if it refused it. If the call fails, the command is repeated with the
    next report. A task that is starting, stopping or has ended is left alone.
    """
    if execution.state not in _ACTIVE_STATES:
        return []
    execution.evicting = True
    execution.state = states.ExecutionState.CHECKPOINTING
    return [
        executions.build_command(
            execution, timers.WorkerAction.THROTTLE, THROTTLED_CPU_PERCENT
        ),
        executions.build_command(execution, timers.WorkerAction.CHECKPOINT),
    ]


def evict_all(state: agent.AgentState) -> list[effects.Effect]:
    """Evicts every running task of an instance that is being drained.

    Tasks that are still starting are evicted with the next report of the
    worker.
    """
    emitted: list[effects.Effect] = []
    for execution in state.executions.values():
        emitted += evict(execution)
    return emitted


def relieve_memory_pressure(state: agent.AgentState) -> list[effects.Effect]:
    """Evicts the least urgent task if measured memory exceeds the capacity.

    Of several least urgent tasks the one that uses the most memory is evicted.
    No task is evicted while an evicted one is still listed here, that is, until
    the holder of its partition has acknowledged its end.

    Declared sizes are far from the real ones, and a shortage of memory, unlike
    one of processors, cannot be absorbed by running tasks more slowly.
    """
    assert state.capacity is not None
    reserved = state.upstream.reserved if state.upstream else resources.NOTHING
    active = [
        item
        for item in state.executions.values()
        if item.state in _ACTIVE_STATES
    ]
    used = reserved.memory_mb + sum(item.usage.memory_mb for item in active)
    is_evicting = any(item.evicting for item in state.executions.values())
    if used <= state.capacity.memory_mb or is_evicting or not active:
        return []
    class_order = list(states.WorkClass)
    victim = max(
        active,
        key=lambda item: (
            class_order.index(item.start.work_class),
            item.usage.memory_mb,
        ),
    )
    return evict(victim)


def control_interference(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Throttles or evicts the tasks that slow down the service."""
    running = [
        (task_id, item.start.kind, item.start.work_class)
        for task_id, item in state.executions.items()
        if item.state
        in (states.ExecutionState.RUNNING, states.ExecutionState.THROTTLED)
    ]
    throttled_ids = state.policies.interference.choose_throttled(running, now)
    emitted: list[effects.Effect] = []
    for task_id, _, _ in running:
        emitted += _set_throttle(
            state.executions[task_id], task_id in throttled_ids
        )
    throttled = [item for item in running if item[0] in throttled_ids]
    victim = state.policies.interference.choose_evicted(throttled, now)
    if victim is not None:
        emitted += evict(state.executions[ids.TaskId(victim)])
    return emitted


def _set_throttle(
    execution: agent.Execution, throttled: bool
) -> list[effects.Effect]:
    if execution.throttled == throttled:
        return []
    execution.throttled = throttled
    execution.state = (
        states.ExecutionState.THROTTLED
        if throttled
        else states.ExecutionState.RUNNING
    )
    share = THROTTLED_CPU_PERCENT if throttled else 100
    action = timers.WorkerAction.THROTTLE
    return [executions.build_command(execution, action, share)]
