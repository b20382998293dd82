"""A worker as state plus a pure `apply`; the clock is passed in.

It starts whatever it is given, whether it fits or not. Progress, ends of tasks
and lapses of leases are worked out when the state is next looked at, with the
instant at which they were due, so no timer is needed.
"""

import dataclasses
import datetime
import enum
import json

from gypsumhold.model import effects, ids, resources, states, tasks, timers

NOTHING = datetime.timedelta(0)
MILLISECOND = datetime.timedelta(milliseconds=1)
DEFAULT_RUN = datetime.timedelta(seconds=1)
"""Run time of a task whose payload names none."""

MAX_RUN_MS = 10**11
"""About three years; longer runs would overflow the arithmetic of instants."""

USAGE_LAG = datetime.timedelta(seconds=1)
"""Age of the measurements that the worker reports."""

LAPSED = "lease lapsed"
BROKEN = "worker fails every task"


class Fault(enum.StrEnum):
    """What goes wrong on the worker."""

    NONE = "none"
    FAIL_ALL = "fail-all"
    """Every task that is started fails at once."""

    SLOW = "slow"
    """Commands take effect; answers are delayed."""

    SILENT = "silent"
    """Nothing takes effect and nothing is answered."""

    ANSWER_LOST = "answer-lost"
    """Commands take effect and are not answered."""


class CommandResult(enum.Enum):
    """Answer to a command."""

    DONE = "done"
    STALE = "stale"
    UNKNOWN_TASK = "unknown-task"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the worker says to a command."""

    result: CommandResult
    checkpoint: ids.CheckpointRef | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a task does, read from its payload."""

    run: datetime.timedelta = DEFAULT_RUN
    fail: bool = False
    cpu_millis: int | None = None
    memory_mb: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start, for tests that count executions.

    Attributes:
        task_id: The task.
        epoch: Epoch of the placement.
        started: Instant of the start on CLOCK_BOOTTIME.
        ended: Instant of the end; None while it runs.
    """

    task_id: ids.TaskId
    epoch: ids.Epoch
    started: datetime.timedelta
    ended: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True)
class Task:
    """A task that the worker lists.

    Attributes:
        start: The start command as it was given.
        work: What the task does.
        run: Index of its record in `Worker.runs`.
        expires: End of the lease on CLOCK_BOOTTIME.
        updated: Instant up to which `progress` is worked out.
        progress: Run time that is done.
        state: RUNNING, THROTTLED, SUCCEEDED, FAILED or STOPPED.
        share: Percent of its processors.
        result: Output or error text once it ended.
        checkpoint: Latest checkpoint.
        measured: Instants from which on a percentage of processors was used.
    """

    start: tasks.TaskStart
    work: Work
    run: int
    expires: datetime.timedelta
    updated: datetime.timedelta
    progress: datetime.timedelta
    state: states.ExecutionState = states.ExecutionState.RUNNING
    share: int = 100
    result: str = ""
    checkpoint: ids.CheckpointRef | None = None
    measured: list[tuple[datetime.timedelta, int]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class Worker:
    """State of a worker.

    Attributes:
        capacity: What it claims to have; it enforces no limit.
        tasks: Tasks that are listed, ended ones included.
        fences: Highest epoch of each task that may not be started any more.
        runs: Every start, in order.
        fault: What goes wrong.
    """

    capacity: resources.Resources
    tasks: dict[ids.TaskId, Task] = dataclasses.field(default_factory=dict)
    fences: dict[ids.TaskId, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    runs: list[Run] = dataclasses.field(default_factory=list)
    fault: Fault = Fault.NONE


_ACTIVE = frozenset(
    {states.ExecutionState.RUNNING, states.ExecutionState.THROTTLED}
)


def apply(
    worker: Worker, now: datetime.timedelta, command: effects.CommandWorker
) -> Answer | None:
    """Runs a command at `now`; None if the answer is lost."""
    advance(worker, now)
    if worker.fault is Fault.SILENT:
        return None
    answer = _run_command(worker, now, command)
    return None if worker.fault is Fault.ANSWER_LOST else answer


def list_tasks(
    worker: Worker, now: datetime.timedelta
) -> tasks.WorkerReport | None:
    """Lists the tasks at `now`; None if the answer is lost."""
    advance(worker, now)
    if worker.fault in (Fault.SILENT, Fault.ANSWER_LOST):
        return None
    listed = (_describe(task, now) for task in worker.tasks.values())
    return tasks.WorkerReport(worker.capacity, tuple(listed))


def advance(worker: Worker, now: datetime.timedelta) -> None:
    """Brings every active task to `now`."""
    for task in worker.tasks.values():
        if task.state in _ACTIVE:
            _advance_task(worker, task, now)


def read_work(payload: str) -> Work:
    """Reads a payload; one that is not understood gets a default run."""
    try:
        raw = json.loads(payload or "{}")
        return Work(
            run=min(max(0, int(raw.get("run_ms", 1000))), MAX_RUN_MS)
            * MILLISECOND,
            fail=bool(raw.get("fail", False)),
            cpu_millis=_read_amount(raw.get("cpu_millis")),
            memory_mb=_read_amount(raw.get("memory_mb")),
        )
    except (
        ValueError,
        TypeError,
        AttributeError,
        ArithmeticError,
        RecursionError,
    ):
        return Work()


def _read_amount(raw: object) -> int | None:
    return raw if isinstance(raw, int) and raw >= 0 else None


def _advance_task(worker: Worker, task: Task, now: datetime.timedelta) -> None:
    left = max(NOTHING, task.work.run - task.progress)
    due = task.updated + left * 100 / task.share
    if due <= min(now, task.expires):
        _finish(worker, task, due)
    elif task.expires <= now:
        _move_progress(task, task.expires)
        _end(worker, task, task.expires, states.ExecutionState.STOPPED, LAPSED)
    else:
        _move_progress(task, now)


def _move_progress(task: Task, instant: datetime.timedelta) -> None:
    elapsed = max(NOTHING, instant - task.updated)
    task.progress += elapsed * task.share / 100
    task.updated = max(task.updated, instant)


def _finish(worker: Worker, task: Task, due: datetime.timedelta) -> None:
    task.progress = task.work.run
    if task.work.fail:
        _end(worker, task, due, states.ExecutionState.FAILED, "task failed")
    else:
        _end(worker, task, due, states.ExecutionState.SUCCEEDED, "done")


def _end(
    worker: Worker,
    task: Task,
    instant: datetime.timedelta,
    state: states.ExecutionState,
    result: str,
) -> None:
    task.state = state
    task.result = result
    task.updated = instant
    task.measured.append((instant, 0))
    record = worker.runs[task.run]
    worker.runs[task.run] = dataclasses.replace(record, ended=instant)


def _run_command(
    worker: Worker, now: datetime.timedelta, command: effects.CommandWorker
) -> Answer:
    task = worker.tasks.get(command.task_id)
    if command.action is timers.WorkerAction.START:
        return _start(worker, now, command, task)
    if task is not None and command.epoch < task.start.epoch:
        return Answer(CommandResult.STALE)
    if command.action is timers.WorkerAction.STOP:
        return _stop(worker, now, command, task)
    if task is None or command.epoch > task.start.epoch:
        return Answer(CommandResult.UNKNOWN_TASK)
    if command.action is timers.WorkerAction.FORGET:
        return _forget(worker, command, task)
    if task.state in _ACTIVE:
        _adjust(task, now, command)
    return Answer(CommandResult.DONE, task.checkpoint)


def _start(
    worker: Worker,
    now: datetime.timedelta,
    command: effects.CommandWorker,
    task: Task | None,
) -> Answer:
    start = command.start
    if start is None or command.epoch <= worker.fences.get(command.task_id, -1):
        return Answer(CommandResult.STALE)
    if task is not None and command.epoch <= task.start.epoch:
        same = command.epoch == task.start.epoch
        return Answer(CommandResult.DONE if same else CommandResult.STALE)
    expires = start.expires if command.expires is None else command.expires
    if expires <= now:
        return Answer(CommandResult.STALE)
    if task is not None and task.state in _ACTIVE:
        _end(worker, task, now, states.ExecutionState.STOPPED, "replaced")
    _begin(worker, now, start, expires)
    return Answer(CommandResult.DONE)


def _begin(
    worker: Worker,
    now: datetime.timedelta,
    start: tasks.TaskStart,
    expires: datetime.timedelta,
) -> None:
    task = Task(
        start=start,
        work=read_work(start.payload),
        run=len(worker.runs),
        expires=expires,
        updated=now,
        progress=_read_progress(start.checkpoint),
        checkpoint=start.checkpoint,
        measured=[(now, 100)],
    )
    worker.runs.append(Run(start.task_id, start.epoch, now))
    worker.tasks[start.task_id] = task
    if worker.fault is Fault.FAIL_ALL:
        _end(worker, task, now, states.ExecutionState.FAILED, BROKEN)


def _stop(
    worker: Worker,
    now: datetime.timedelta,
    command: effects.CommandWorker,
    task: Task | None,
) -> Answer:
    _fence(worker, command)
    if task is None:
        return Answer(CommandResult.DONE)
    if task.state in _ACTIVE:
        task.checkpoint = _write_checkpoint(task)
        _end(worker, task, now, states.ExecutionState.STOPPED, "stopped")
    return Answer(CommandResult.DONE, task.checkpoint)


def _forget(
    worker: Worker, command: effects.CommandWorker, task: Task
) -> Answer:
    if task.state in _ACTIVE:
        return Answer(CommandResult.STALE)
    _fence(worker, command)
    del worker.tasks[command.task_id]
    return Answer(CommandResult.DONE)


def _fence(worker: Worker, command: effects.CommandWorker) -> None:
    before = worker.fences.get(command.task_id, command.epoch)
    worker.fences[command.task_id] = max(before, command.epoch)


def _adjust(
    task: Task, now: datetime.timedelta, command: effects.CommandWorker
) -> None:
    match command.action:
        case timers.WorkerAction.RENEW if command.expires is not None:
            # Renewals may arrive out of order; an older one changes nothing.
            task.expires = max(task.expires, command.expires)
        case timers.WorkerAction.THROTTLE:
            task.share = min(100, max(1, command.share))
            task.measured.append((now, task.share))
            task.state = (
                states.ExecutionState.RUNNING
                if task.share == 100
                else states.ExecutionState.THROTTLED
            )
        case timers.WorkerAction.CHECKPOINT:
            task.checkpoint = _write_checkpoint(task)


def _write_checkpoint(task: Task) -> ids.CheckpointRef:
    done = task.progress // MILLISECOND
    return ids.CheckpointRef(
        f"checkpoint/{task.start.task_id}/{task.start.epoch}/{done}"
    )


def _read_progress(checkpoint: ids.CheckpointRef | None) -> datetime.timedelta:
    done = (checkpoint or "").rpartition("/")[2]
    if not done.isdecimal() or len(done) > len(str(MAX_RUN_MS)):
        return NOTHING
    return int(done) * MILLISECOND


def _describe(task: Task, now: datetime.timedelta) -> tasks.WorkerTask:
    return tasks.WorkerTask(
        task_id=task.start.task_id,
        epoch=task.start.epoch,
        state=task.state,
        result=task.result,
        checkpoint=task.checkpoint,
        usage=_measure(task, now - USAGE_LAG),
        start=task.start,
    )


def _measure(task: Task, instant: datetime.timedelta) -> resources.Resources:
    share = 0
    for since, percent in task.measured:
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
