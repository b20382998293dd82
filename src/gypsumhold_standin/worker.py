"""Simulates a worker, without I/O; callers pass the current time.

The worker starts every task that it gets, even beyond its capacity. Progress,
ends of tasks and expiries of leases are computed when the state is next read
or changed, for the instant at which they were due, so no timer is needed.
"""

import dataclasses
import datetime
import enum
import json

from gypsumhold.model import effects, ids, resources, states, tasks, timers

ZERO = datetime.timedelta(0)
MILLISECOND = datetime.timedelta(milliseconds=1)
DEFAULT_RUN = datetime.timedelta(seconds=1)
"""Run time of a task whose payload states none."""

MAX_RUN_MS = 10**11
"""About three years; longer runs would overflow the arithmetic of instants."""

USAGE_LAG = datetime.timedelta(seconds=1)
"""Age of the resource usage that the worker reports."""

LEASE_EXPIRED = "lease lapsed"
SIMULATED_FAILURE = "worker fails every task"


class Fault(enum.StrEnum):
    """Fault that affects the worker."""

    NONE = "none"
    FAIL_ALL = "fail-all"
    """Every task that is started fails immediately."""

    SLOW = "slow"
    """Commands take effect, but their answers are delayed."""

    SILENT = "silent"
    """Commands have no effect, and no request is answered."""

    ANSWER_LOST = "answer-lost"
    """Commands take effect, but no request is answered."""


class CommandResult(enum.Enum):
    """Result of a command."""

    DONE = "done"
    STALE = "stale"
    UNKNOWN_TASK = "unknown-task"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a command: its result and the latest checkpoint."""

    result: CommandResult
    checkpoint: ids.CheckpointRef | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedWork:
    """Simulated behaviour of a task, read from its payload.

    Attributes:
        run_time: Run time at full speed.
        fails: Whether the task fails at its end.
        cpu_millis: CPU usage at full speed; None for the declared one.
        memory_mb: Memory usage; None for the declared one.
    """

    run_time: datetime.timedelta = DEFAULT_RUN
    fails: bool = False
    cpu_millis: int | None = None
    memory_mb: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Record of one start, for tests that count executions.

    Attributes:
        task_id: The task.
        epoch: Epoch of the placement.
        started: Instant of the start on CLOCK_BOOTTIME.
        ended: Instant of the end; None while the task runs.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    started: datetime.timedelta
    ended: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True)
class Task:
    """A task that the worker lists.

    Attributes:
        start: Start command of the task.
        work: Simulated behaviour of the task.
        run_index: Index of its record in `Worker.runs`.
        expires: End of the lease on CLOCK_BOOTTIME.
        updated: Instant up to which `progress` is computed.
        progress: Completed part of the run time.
        state: RUNNING, THROTTLED, SUCCEEDED, FAILED or STOPPED.
        share: Share of its CPU that the task may use, in percent.
        result: Output or error text of an ended task.
        checkpoint: Latest checkpoint.
        share_history: Instants at which the used share of the CPU changed, with
            the new percentage.
    """

    start: tasks.TaskStart
    work: SimulatedWork
    run_index: int
    expires: datetime.timedelta
    updated: datetime.timedelta
    progress: datetime.timedelta
    state: states.ExecutionState = states.ExecutionState.RUNNING
    share: int = 100
    result: str = ""
    checkpoint: ids.CheckpointRef | None = None
    share_history: list[tuple[datetime.timedelta, int]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class Worker:
    """State of a worker.

    Attributes:
        capacity: Capacity that it reports; no limit is enforced.
        tasks: Listed tasks, including ended ones.
        fences: Highest epoch of each task that may not start any more.
        runs: Record of every start, in order.
        fault: Fault that is simulated.
    """

    capacity: resources.Resources
    tasks: dict[ids.TaskId, Task] = dataclasses.field(default_factory=dict)
    fences: dict[ids.TaskId, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    runs: list[Run] = dataclasses.field(default_factory=list)
    fault: Fault = Fault.NONE


_ACTIVE_STATES = frozenset(
    {states.ExecutionState.RUNNING, states.ExecutionState.THROTTLED}
)


def apply(
    worker: Worker, now: datetime.timedelta, command: effects.CommandWorker
) -> Answer | None:
    """Executes a command at `now`.

    Returns:
        The answer; None if the fault loses it.
    """
    advance(worker, now)
    if worker.fault is Fault.SILENT:
        return None
    answer = _run_command(worker, now, command)
    return None if worker.fault is Fault.ANSWER_LOST else answer


def list_tasks(
    worker: Worker, now: datetime.timedelta
) -> tasks.WorkerReport | None:
    """Lists the tasks at `now`.

    Returns:
        The report; None if the fault loses it.
    """
    advance(worker, now)
    if worker.fault in (Fault.SILENT, Fault.ANSWER_LOST):
        return None
    listed_tasks = (
        _build_listed_task(task, now) for task in worker.tasks.values()
    )
    return tasks.WorkerReport(worker.capacity, tuple(listed_tasks))


def advance(worker: Worker, now: datetime.timedelta) -> None:
    """Updates every active task to `now`, ending those that were due."""
    for task in worker.tasks.values():
        if task.state in _ACTIVE_STATES:
            _advance_task(worker, task, now)


def parse_work(payload: str) -> SimulatedWork:
    """Parses a payload; a malformed one gets the default behaviour."""
    try:
        document = json.loads(payload or "{}")
        return SimulatedWork(
            run_time=min(max(0, int(document.get("run_ms", 1000))), MAX_RUN_MS)
            * MILLISECOND,
            fails=bool(document.get("fail", False)),
            cpu_millis=_parse_amount(document.get("cpu_millis")),
            memory_mb=_parse_amount(document.get("memory_mb")),
        )
    except (
        ValueError,
        TypeError,
        AttributeError,
        ArithmeticError,
        RecursionError,
    ):
        return SimulatedWork()


def _parse_amount(amount: object) -> int | None:
    """Returns an amount of a payload, or None if it is malformed."""
    return amount if isinstance(amount, int) and amount >= 0 else None


def _advance_task(worker: Worker, task: Task, now: datetime.timedelta) -> None:
    """Updates an active task to `now`; ends it if its work or lease ended."""
    remaining = max(ZERO, task.work.run_time - task.progress)
    end = task.updated + remaining * 100 / task.share
    if end <= min(now, task.expires):
        _complete_task(worker, task, end)
    elif task.expires <= now:
        _add_progress(task, task.expires)
        _end_task(
            worker,
            task,
            task.expires,
            states.ExecutionState.STOPPED,
            LEASE_EXPIRED,
        )
    else:
        _add_progress(task, now)


def _add_progress(task: Task, instant: datetime.timedelta) -> None:
    """Adds the progress up to an instant, at the present CPU share."""
    elapsed = max(ZERO, instant - task.updated)
    task.progress += elapsed * task.share / 100
    task.updated = max(task.updated, instant)


def _complete_task(worker: Worker, task: Task, end: datetime.timedelta) -> None:
    """Ends a task whose run time is over."""
    task.progress = task.work.run_time
    if task.work.fails:
        _end_task(
            worker, task, end, states.ExecutionState.FAILED, "task failed"
        )
    else:
        _end_task(worker, task, end, states.ExecutionState.SUCCEEDED, "done")


def _end_task(
    worker: Worker,
    task: Task,
    instant: datetime.timedelta,
    state: states.ExecutionState,
    result: str,
) -> None:
    """Records the end of a task."""
    task.state = state
    task.result = result
    task.updated = instant
    task.share_history.append((instant, 0))
    record = worker.runs[task.run_index]
    worker.runs[task.run_index] = dataclasses.replace(record, ended=instant)


def _run_command(
    worker: Worker, now: datetime.timedelta, command: effects.CommandWorker
) -> Answer:
    task = worker.tasks.get(command.task_id)
    if command.action is timers.WorkerAction.START:
        return _handle_start(worker, now, command, task)
    if task is not None and command.epoch < task.start.epoch:
        return Answer(CommandResult.STALE)
    if command.action is timers.WorkerAction.STOP:
        return _handle_stop(worker, now, command, task)
    if task is None or command.epoch > task.start.epoch:
        return Answer(CommandResult.UNKNOWN_TASK)
    if command.action is timers.WorkerAction.FORGET:
        return _handle_forget(worker, command, task)
    if task.state in _ACTIVE_STATES:
        _adjust_task(task, now, command)
    return Answer(CommandResult.DONE, task.checkpoint)


def _handle_start(
    worker: Worker,
    now: datetime.timedelta,
    command: effects.CommandWorker,
    task: Task | None,
) -> Answer:
    """Starts a task unless its epoch is stale or its lease has expired."""
    start = command.start
    if start is None or command.epoch <= worker.fences.get(command.task_id, -1):
        return Answer(CommandResult.STALE)
    if task is not None and command.epoch <= task.start.epoch:
        is_repeat = command.epoch == task.start.epoch
        return Answer(CommandResult.DONE if is_repeat else CommandResult.STALE)
    expires = start.expires if command.expires is None else command.expires
    if expires <= now:
        return Answer(CommandResult.STALE)
    if task is not None and task.state in _ACTIVE_STATES:
        _end_task(worker, task, now, states.ExecutionState.STOPPED, "replaced")
    _start_task(worker, now, start, expires)
    return Answer(CommandResult.DONE)


def _start_task(
    worker: Worker,
    now: datetime.timedelta,
    start: tasks.TaskStart,
    expires: datetime.timedelta,
) -> None:
    """Starts a task; it fails immediately under the fault FAIL_ALL."""
    task = Task(
        start=start,
        work=parse_work(start.payload),
        run_index=len(worker.runs),
        expires=expires,
        updated=now,
        progress=_parse_progress(start.checkpoint),
        checkpoint=start.checkpoint,
        share_history=[(now, 100)],
    )
    worker.runs.append(Run(start.task_id, start.epoch, now))
    worker.tasks[start.task_id] = task
    if worker.fault is Fault.FAIL_ALL:
        _end_task(
            worker, task, now, states.ExecutionState.FAILED, SIMULATED_FAILURE
        )


def _handle_stop(
    worker: Worker,
    now: datetime.timedelta,
    command: effects.CommandWorker,
    task: Task | None,
) -> Answer:
    """Stops a task with a checkpoint, and forbids later starts of its epoch."""
    _raise_fence(worker, command)
    if task is None:
        return Answer(CommandResult.DONE)
    if task.state in _ACTIVE_STATES:
        task.checkpoint = _write_checkpoint(task)
        _end_task(worker, task, now, states.ExecutionState.STOPPED, "stopped")
    return Answer(CommandResult.DONE, task.checkpoint)


def _handle_forget(
    worker: Worker, command: effects.CommandWorker, task: Task
) -> Answer:
    """Removes an ended task from the list."""
    if task.state in _ACTIVE_STATES:
        return Answer(CommandResult.STALE)
    _raise_fence(worker, command)
    del worker.tasks[command.task_id]
    return Answer(CommandResult.DONE)


def _raise_fence(worker: Worker, command: effects.CommandWorker) -> None:
    """Forbids starts of a task up to the epoch of the command."""
    former = worker.fences.get(command.task_id, command.epoch)
    worker.fences[command.task_id] = max(former, command.epoch)


def _adjust_task(
    task: Task, now: datetime.timedelta, command: effects.CommandWorker
) -> None:
    """Applies a renewal, a throttle or a checkpoint to an active task."""
    match command.action:
        case timers.WorkerAction.RENEW if command.expires is not None:
            # Renewals may arrive out of order; an older one has no effect.
            task.expires = max(task.expires, command.expires)
        case timers.WorkerAction.THROTTLE:
            task.share = min(100, max(1, command.share))
            task.share_history.append((now, task.share))
            task.state = (
                states.ExecutionState.RUNNING
                if task.share == 100
                else states.ExecutionState.THROTTLED
            )
        case timers.WorkerAction.CHECKPOINT:
            task.checkpoint = _write_checkpoint(task)


def _write_checkpoint(task: Task) -> ids.CheckpointRef:
    """Returns a checkpoint name that contains the progress."""
    progress_ms = task.progress // MILLISECOND
    return ids.CheckpointRef(
        f"checkpoint/{task.start.task_id}/{task.start.epoch}/{progress_ms}"
    )


def _parse_progress(checkpoint: ids.CheckpointRef | None) -> datetime.timedelta:
    """Returns the progress that the name of a checkpoint contains."""
    progress_ms = (checkpoint or "").rpartition("/")[2]
    if not progress_ms.isdecimal() or len(progress_ms) > len(str(MAX_RUN_MS)):
        return ZERO
    return int(progress_ms) * MILLISECOND


def _build_listed_task(task: Task, now: datetime.timedelta) -> tasks.WorkerTask:
    return tasks.WorkerTask(
        task_id=task.start.task_id,
        epoch=task.start.epoch,
        state=task.state,
        result=task.result,
        checkpoint=task.checkpoint,
        usage=_estimate_usage(task, now - USAGE_LAG),
        start=task.start,
    )


def _estimate_usage(
    task: Task, instant: datetime.timedelta
) -> resources.Resources:
    """Returns the usage of a task at an instant, by its CPU share then."""
    share = 0
    for since, percent in task.share_history:
        if since <= instant:
            share = percent
    if share == 0:
        return resources.NOTHING
    declared = task.start.declared
    cpu = task.work.cpu_millis
    memory = task.work.memory_mb
    return resources.Resources(
        (declared.cpu_millis if cpu is None else cpu) * share // 100,
        declared.memory_mb if memory is None else memory,
        declared.accelerators,
    )
