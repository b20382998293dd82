"""The worker beside an agent: its reports, answers and evictions."""

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

THROTTLED_SHARE = 25
"""Percent of its processors that a throttled task keeps."""

_ACTIVE = (
    states.ExecutionState.RUNNING,
    states.ExecutionState.THROTTLED,
    states.ExecutionState.CHECKPOINTING,
)

_WORKER_ENDS = {
    states.ExecutionState.SUCCEEDED,
    states.ExecutionState.FAILED,
    states.ExecutionState.STOPPED,
}


def handle_report(
    state: agent.AgentState,
    event: events.WorkerReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Compares the worker's tasks with the executions."""
    report = event.report
    if report is None:
        return []
    first = state.capacity is None
    state.capacity = report.capacity
    listed = {(item.task_id, item.epoch) for item in report.tasks}
    made: list[effects.Effect] = []
    for item in report.tasks:
        made += _take_listed(state, item, first, now)
    for execution in list(state.executions.values()):
        if (execution.start.task_id, execution.start.epoch) not in listed:
            made += _take_missing(execution, event.sent_at)
    made += relieve_memory_pressure(state)
    return [*made, *control_interference(state, now)]


def _take_listed(
    state: agent.AgentState,
    item: tasks.WorkerTask,
    first: bool,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    execution = state.executions.get(item.task_id)
    if execution is None:
        if first:
            _adopt(state, item, now)
            return []
        return _remove_stray(item)
    if execution.start.epoch != item.epoch:
        return []
    _confirm(execution, now)
    execution.checkpoint = item.checkpoint or execution.checkpoint
    _learn(state, execution, item.usage)
    if execution.state in executions.FINAL_STATES:
        return []
    if item.state in _WORKER_ENDS:
        _take_end(execution, item)
        return []
    if execution.state is states.ExecutionState.STARTING:
        execution.state = states.ExecutionState.RUNNING
    if execution.state is states.ExecutionState.STOPPING:
        return executions.request_stop(execution, execution.evicting)
    if execution.state is states.ExecutionState.CHECKPOINTING:
        action = timers.WorkerAction.CHECKPOINT
        return [executions.build_command(execution, action)]
    return []


def _take_end(execution: agent.Execution, item: tasks.WorkerTask) -> None:
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
    """Takes over a task that the agent's predecessor started."""
    ended = item.state in _WORKER_ENDS
    state.executions[item.task_id] = agent.Execution(
        start=item.start,
        state=item.state,
        committed=resources.NOTHING if ended else item.start.declared,
        expires=item.start.expires,
        result=item.result,
        checkpoint=item.checkpoint,
        throttled=item.state is states.ExecutionState.THROTTLED,
        confirmed_at=now,
    )


def _remove_stray(item: tasks.WorkerTask) -> list[effects.Effect]:
    """Stops and clears a task that the agent did not commit."""
    action = (
        timers.WorkerAction.FORGET
        if item.state in _WORKER_ENDS
        else timers.WorkerAction.STOP
    )
    return [effects.CommandWorker(item.task_id, item.epoch, action)]


def _take_missing(
    execution: agent.Execution, sent_at: datetime.timedelta
) -> list[effects.Effect]:
    if execution.state in executions.FINAL_STATES:
        return []
    if execution.confirmed_at is None:
        return [executions.build_start_command(execution)]
    if execution.confirmed_at >= sent_at:
        return []
    # The worker restarted and lost the task. It is fenced all the same: a
    # repeated start command may still be under way.
    return executions.request_stop(execution, evicting=False)


def _learn(
    state: agent.AgentState,
    execution: agent.Execution,
    usage: resources.Resources,
) -> None:
    execution.usage = usage
    kind = execution.start.kind
    known = state.peak_usage.get(kind, resources.NOTHING)
    state.peak_usage[kind] = known.take_larger(usage)


def handle_answer(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's answer to a command."""
    execution = state.executions.get(event.task_id)
    made: list[effects.Effect] = []
    if event.action is timers.WorkerAction.STOP:
        made += executions.complete_syncs(state, event, now)
    if execution is None or execution.start.epoch != event.epoch:
        return made
    return [*made, *_ANSWERS[event.action](execution, event, now)]


def _take_start(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    if execution.state is not states.ExecutionState.STARTING:
        return []
    if event.accepted:
        _confirm(execution, now)
        execution.state = states.ExecutionState.RUNNING
    elif event.accepted is False:
        executions.end_execution(execution, states.ExecutionState.REFUSED)
    return []


def _take_stop(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    if execution.state in executions.FINAL_STATES or not event.accepted:
        return []
    if execution.state is not states.ExecutionState.STOPPING:
        return []
    execution.checkpoint = event.checkpoint or execution.checkpoint
    ended = (
        states.ExecutionState.EVICTED
        if execution.evicting
        else states.ExecutionState.STOPPED
    )
    executions.end_execution(execution, ended)
    return []


def _take_checkpoint(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    if execution.state is not states.ExecutionState.CHECKPOINTING:
        return []
    if event.accepted is None:
        return []
    execution.checkpoint = event.checkpoint or execution.checkpoint
    return executions.request_stop(execution, evicting=True)


def _ignore(
    execution: agent.Execution,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    return []


_ANSWERS = {
    timers.WorkerAction.START: _take_start,
    timers.WorkerAction.RENEW: _ignore,
    timers.WorkerAction.THROTTLE: _ignore,
    timers.WorkerAction.CHECKPOINT: _take_checkpoint,
    timers.WorkerAction.STOP: _take_stop,
    timers.WorkerAction.FORGET: _ignore,
}


def evict(execution: agent.Execution) -> list[effects.Effect]:
    """Begins an eviction: throttle and checkpoint; the stop follows."""
    if execution.state not in _ACTIVE:
        return []
    execution.evicting = True
    execution.state = states.ExecutionState.CHECKPOINTING
    return [
        executions.build_command(
            execution, timers.WorkerAction.THROTTLE, THROTTLED_SHARE
        ),
        executions.build_command(execution, timers.WorkerAction.CHECKPOINT),
    ]


def evict_all(state: agent.AgentState) -> list[effects.Effect]:
    """Evicts every task, for an instance that is being drained."""
    made: list[effects.Effect] = []
    for execution in state.executions.values():
        made += evict(execution)
    return made


def relieve_memory_pressure(state: agent.AgentState) -> list[effects.Effect]:
    """Evicts the least urgent task if measured memory exceeds the instance.

    Declared sizes are far off, and memory, unlike processors, cannot be
    shared by running slower.
    """
    assert state.capacity is not None
    reserved = state.upstream.reserved if state.upstream else resources.NOTHING
    active = [
        item for item in state.executions.values() if item.state in _ACTIVE
    ]
    used = reserved.memory_mb + sum(item.usage.memory_mb for item in active)
    leaving = any(item.evicting for item in state.executions.values())
    if used <= state.capacity.memory_mb or leaving or not active:
        return []
    order = list(states.WorkClass)
    victim = max(
        active,
        key=lambda item: (
            order.index(item.start.work_class),
            item.usage.memory_mb,
        ),
    )
    return evict(victim)


def control_interference(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Throttles or evicts tasks that slow the service."""
    running = [
        (task_id, item.start.kind, item.start.work_class)
        for task_id, item in state.executions.items()
        if item.state
        in (states.ExecutionState.RUNNING, states.ExecutionState.THROTTLED)
    ]
    chosen = state.policies.interference.choose_throttled(running, now)
    made: list[effects.Effect] = []
    for task_id, _, _ in running:
        made += _set_throttle(state.executions[task_id], task_id in chosen)
    throttled = [item for item in running if item[0] in chosen]
    victim = state.policies.interference.choose_evicted(throttled, now)
    if victim is not None:
        made += evict(state.executions[ids.TaskId(victim)])
    return made


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
    share = THROTTLED_SHARE if throttled else 100
    action = timers.WorkerAction.THROTTLE
    return [executions.build_command(execution, action, share)]
