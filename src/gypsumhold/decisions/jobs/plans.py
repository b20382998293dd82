"""Places tasks on workers: which job first, and where."""

import datetime
from collections.abc import Iterator

from gypsumhold.decisions.jobs import capacity, lifecycle, ordering
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    policies,
    progress,
    records,
    scheduler,
)

Made = list[base_effects.Effect]

MAX_JOBS = 60
"""Jobs that one plan may change; keeps a batch within one transaction."""

STARVED_TIME = datetime.timedelta(milliseconds=1800)
"""Time without a run after which a job gets one that policy would delay."""

MISSES_BEFORE_SKIP = 40
"""Tasks without room after which a plan only looks at jobs that have waited for
a run for long."""


def plan(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    now: datetime.timedelta,
) -> Made:
    """Places what is ready as far as there is room."""
    rooms = capacity.build_rooms(state, holding, now)
    if not rooms:
        return []
    made: Made = []
    jobs = state.policies.ordering.sort(
        [job for job in holding.open_jobs.values() if _has_ready(job)], now
    )
    misses = 0
    for job in jobs:
        starved = _is_starved(job, now)
        if len(holding.dirty) >= MAX_JOBS:
            holding.plan_due = True
            break
        if misses >= MISSES_BEFORE_SKIP and not starved:
            continue
        placed, missed = _place_job(
            state, holding, job, rooms, starved=starved, now=now
        )
        made += placed
        misses += missed
    return made


def _has_ready(job: progress.Job) -> bool:
    return any(True for _ in _list_ready(job))


def _list_ready(job: progress.Job) -> Iterator[tuple[progress.Step, int]]:
    for step in job.steps:
        if not step.open:
            continue
        for index, task in enumerate(step.tasks):
            if task.state is records.TaskState.READY:
                yield step, index


def _place_job(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    job: progress.Job,
    rooms: dict[str, policies.Room],
    *,
    starved: bool,
    now: datetime.timedelta,
) -> tuple[Made, int]:
    made: Made = []
    misses = 0
    full: set[int] = set()
    late = ordering.is_late(job, now)
    for step, index in list(_list_ready(job)):
        if id(step) in full:
            continue
        if step.spec.gang:
            full.add(id(step))
            made += _place_gang(state, holding, job, step, rooms=rooms, now=now)
            continue
        task = step.tasks[index]
        room = _choose(state, job, step, task, rooms, late=late)
        if room is None and starved:
            room = _choose_any(job, step, task, rooms)
            starved = False
        if room is None:
            misses += 1
            if not step.tasks[index].avoid:
                full.add(id(step))
            continue
        made.append(_place(holding, job, step, index, room=room, now=now))
    return made, misses


def _is_starved(job: progress.Job, now: datetime.timedelta) -> bool:
    """Tells whether nothing of a job has run for a while."""
    if any(task.is_placed() for step in job.steps for task in step.tasks):
        job.starved_since = None
        return False
    if job.starved_since is None:
        job.starved_since = now
    return now - job.starved_since >= STARVED_TIME


def _choose_any(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    rooms: dict[str, policies.Room],
) -> policies.Room | None:
    """Returns the emptiest room with capacity, whoever is slowed down."""
    fitting = _list_fitting(job, step, task, rooms)
    return max(
        fitting,
        key=capacity.measure_idle,
        default=None,
    )


def _list_fitting(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    rooms: dict[str, policies.Room],
) -> list[policies.Room]:
    """Returns the rooms with capacity on which the task has not failed.

    A task that has failed wherever it could run at all is tried again rather
    than never.
    """
    fitting = [
        room for room in rooms.values() if capacity.fits(room, job, step)
    ]
    fresh = [room for room in fitting if room.instance not in task.avoid]
    if fresh or not fitting:
        return fresh
    left = [
        room
        for room in rooms.values()
        if room.instance not in task.avoid
        and capacity.could_fit(room, job, step)
    ]
    return [] if left else fitting


def _choose(
    state: scheduler.SchedulerState,
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    rooms: dict[str, policies.Room],
    *,
    late: bool = False,
) -> policies.Room | None:
    fitting = _list_fitting(job, step, task, rooms)
    return state.policies.placement.choose(step, task, fitting, yields=late)


def _place(
    holding: scheduler.Holding,
    job: progress.Job,
    step: progress.Step,
    index: int,
    *,
    room: policies.Room,
    now: datetime.timedelta,
) -> base_effects.Effect:
    ref = lifecycle.build_ref(job, step, index)
    task = step.tasks[index]
    free = room.cpu_millis
    capacity.fill(room, step, ref, yields=ordering.is_late(job, now))
    view = holding.agents[room.instance]
    lifecycle.place(holding, view, scheduler.Placed(job, step, task), ref, now)
    return effects.Log(
        "place",
        job.spec.job_id,
        str(room.instance),
        (
            ("task", str(ref)),
            ("run", str(task.run)),
            ("free_millis", str(free)),
            ("filler_cores", f"{sum(room.fillers.values()):.1f}"),
            ("report_ms", str(lifecycle.to_ms(now - view.heard_at))),
        ),
    )


def _place_gang(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    job: progress.Job,
    step: progress.Step,
    *,
    rooms: dict[str, policies.Room],
    now: datetime.timedelta,
) -> Made:
    """Places all tasks of a gang with one run number, or none."""
    ready = records.TaskState.READY
    if any(task.state is not ready for task in step.tasks):
        return []
    chosen: list[policies.Room] = []
    trial = {name: capacity.copy(room) for name, room in rooms.items()}
    for index, task in enumerate(step.tasks):
        racks = {capacity.read_rack(room) for room in chosen}
        usable = trial
        if step.spec.colocated and racks:
            near = {
                n: r for n, r in trial.items() if capacity.read_rack(r) in racks
            }
            usable = near if _choose(state, job, step, task, near) else trial
        room = _choose(state, job, step, task, usable)
        if room is None:
            return []
        capacity.fill(room, step, lifecycle.build_ref(job, step, index))
        chosen.append(rooms[str(room.instance)])
    highest = max(task.run for task in step.tasks)
    saved = next((t.checkpoint for t in step.tasks if t.checkpoint), None)
    made = []
    for index, room in enumerate(chosen):
        step.tasks[index].run = highest
        if saved is not None:
            step.tasks[index].checkpoint = saved
        made.append(_place(holding, job, step, index, room=room, now=now))
    return made
