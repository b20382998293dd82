"""The room on workers while a plan is made."""

import dataclasses
import datetime

from gypsumhold.decisions.jobs import ordering, pacing, pressures
from gypsumhold.model.jobs import policies, progress, runs, scheduler, specs

LEAST_USE_PERCENT = 40
"""Percent of its request that a filler counts with while it stands still."""

RACK_PREFIX = "r"
"""Labels of racks begin so; the others name the kind of the worker."""


def build_rooms(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    now: datetime.timedelta,
) -> dict[str, policies.Room]:
    """Returns the room on every instance that may be given runs now."""
    rooms = {}
    for view in holding.agents.values():
        if _is_usable(state, view, now):
            rooms[str(view.instance)] = _build_room(view, holding.expected, now)
    return rooms


def _is_usable(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> bool:
    report = view.report
    return (
        report.worker is not None
        and report.worker.state is runs.WorkerState.READY
        and report.answering
        and not report.lapsed
        and now < view.heard_at + state.options.silence
        and now >= view.resting_until
    )


def _build_room(
    view: scheduler.AgentView,
    known: pressures.Known,
    now: datetime.timedelta,
) -> policies.Room:
    worker = view.report.worker
    assert worker is not None
    room = policies.Room(
        view.instance,
        worker,
        worker.cpu_millis,
        worker.memory_mb,
        worker.accelerators,
        idle_millis=int(worker.cpu_millis * (1 - pacing.RESERVE)),
        allowed={it.serving: it.headroom for it in view.report.allowed},
        known=known,
    )
    usages = {row.ref: row.usage for row in view.report.rows}
    for ref, placed in view.placed.items():
        late = placed.step.spec.fills and ordering.is_late(placed.job, now)
        usage = usages.get(runs.RunRef(ref, placed.task.run))
        fill(room, placed.step, ref, yields=late, usage=usage)
    return room


def fill(
    room: policies.Room,
    step: progress.Step,
    ref: runs.TaskRef,
    *,
    yields: bool = False,
    usage: int | None = None,
) -> None:
    """Takes the request of one task from a room.

    Args:
        room: The room.
        step: Step of the task.
        ref: Name of the task.
        yields: Whether it is a filler that gives way to others.
        usage: Cpu that it was last seen to use; None if it is not at work.
    """
    spec = step.spec
    room.memory_mb -= spec.memory_mb
    room.accelerators -= spec.accelerators
    if spec.fills:
        used = spec.cpu_millis
        if usage is not None:
            # A filler that stands still leaves its cpu to those that slow
            # nobody down, but it may go on at any time.
            used = max(usage, spec.cpu_millis * LEAST_USE_PERCENT // 100)
        _add_cores(room.fillers, spec)
        room.filler_millis += used
        if yields:
            _add_cores(room.yielding, spec)
            room.yielding_millis += used
    else:
        room.cpu_millis -= spec.cpu_millis
        serves = bool(spec.target_latency_ms)
        share = pacing.SERVING_USE if serves else 1.0
        room.idle_millis -= int(spec.cpu_millis * share)
    if spec.target_latency_ms:
        room.serving[spec.image] = room.serving.get(spec.image, 0) + 1
    key = (ref.job_id, ref.repetition, ref.step)
    room.steps[key] = room.steps.get(key, 0) + 1


def _add_cores(cores: dict[specs.Image, float], spec: specs.StepSpec) -> None:
    used = spec.cpu_millis / pressures.CORE_MILLIS
    cores[spec.image] = cores.get(spec.image, 0.0) + used


def measure_fillers(
    room: policies.Room, *, yields: bool = False
) -> dict[specs.Image, float]:
    """Returns the cores of the fillers that one more filler runs beside.

    Args:
        room: The room.
        yields: Whether the further one gives way to others.
    """
    if yields:
        return dict(room.fillers)
    return {
        image: cores - room.yielding.get(image, 0.0)
        for image, cores in room.fillers.items()
    }


def measure_idle(room: policies.Room, *, yields: bool = False) -> float:
    """Returns the cores that are left to one more filler."""
    used = room.filler_millis
    if not yields:
        used -= room.yielding_millis
    return (room.idle_millis - used) / pressures.CORE_MILLIS


def fits(room: policies.Room, job: progress.Job, step: progress.Step) -> bool:
    """Tells whether a task of a step may run in a room."""
    spec = step.spec
    if room.worker.pool != job.spec.queue.pool:
        return False
    if spec.label and spec.label not in room.worker.labels:
        return False
    if not spec.fills and spec.cpu_millis > room.cpu_millis:
        return False
    if spec.memory_mb > room.memory_mb:
        return False
    if spec.accelerators > room.accelerators:
        return False
    key = (job.spec.job_id, step.repetition, step.number)
    limit = spec.max_per_worker
    return not limit or room.steps.get(key, 0) < limit


def could_fit(
    room: policies.Room, job: progress.Job, step: progress.Step
) -> bool:
    """Tells whether a task of a step fits on a worker when it is empty."""
    spec, worker = step.spec, room.worker
    return (
        worker.pool == job.spec.queue.pool
        and (not spec.label or spec.label in worker.labels)
        and spec.cpu_millis <= worker.cpu_millis
        and spec.memory_mb <= worker.memory_mb
        and spec.accelerators <= worker.accelerators
    )


def copy(room: policies.Room) -> policies.Room:
    """Returns a room that can be filled on trial."""
    return dataclasses.replace(
        room,
        steps=dict(room.steps),
        serving=dict(room.serving),
        fillers=dict(room.fillers),
        yielding=dict(room.yielding),
    )


def read_rack(room: policies.Room) -> str:
    """Returns the rack of a worker, or an empty text."""
    for label in room.worker.labels:
        if label.startswith(RACK_PREFIX) and "-" in label:
            return label
    return ""
