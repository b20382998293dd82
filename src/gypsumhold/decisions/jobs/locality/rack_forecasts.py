"""Forecasts of the places that become free on a rack."""

import datetime
import sys
from collections.abc import Iterable, Iterator

from gypsumhold.decisions.jobs import (
    capacity,
    estimates,
    interference,
    spreading,
)
from gypsumhold.model import ids, resources
from gypsumhold.model.jobs import (
    locality,
    policies,
    progress,
    scheduler,
    specs,
)

MIN_SPEED_SHARE = 0.05
"""Least share of full speed that is assumed of a throttled task."""


def forecast_rack(
    holder_state: scheduler.HolderState,
    candidates: Iterable[policies.Candidate],
    rack: ids.Rack,
    placed: scheduler.PlacedTask,
    *,
    policy: policies.EstimatePolicy,
    now: datetime.timedelta,
) -> locality.RackForecast:
    """Returns when workers of a rack are expected to have room for a task.

    Workers that take no task, or not this one, are left out: so are those on
    which a best-effort task would slow serving tasks down.

    Args:
        holder_state: State of the held queue.
        candidates: Workers that may get new runs.
        rack: The rack.
        placed: The task, with its step and job.
        policy: Estimates of run times.
        now: Current time.
    """
    free = 0
    openings: list[locality.Opening] = []
    for candidate in candidates:
        if capacity.find_rack(candidate) != rack:
            continue
        if not _is_usable(candidate, placed):
            continue
        view = holder_state.agents[candidate.instance]
        most = _limit_places(candidate, placed)
        room = _measure_room(candidate, placed)
        places = min(most, count_places(room, placed.step.spec))
        free += places
        for end, released in _list_ends(view, policy, now):
            room += released
            found = min(most, count_places(room, placed.step.spec))
            if found > places:
                openings += [locality.Opening(end, view.last_report_at)] * (
                    found - places
                )
                places = found
    openings.sort(key=lambda opening: opening.opens_at)
    return locality.RackForecast(rack, free, tuple(openings))


def _is_usable(
    candidate: policies.Candidate, placed: scheduler.PlacedTask
) -> bool:
    """Tells whether a worker would take the task if it had room."""
    return (
        not candidate.quarantined
        and not candidate.reserved
        and not candidate.on_probation
        and candidate.instance not in placed.task.excluded_instances
        and capacity.fits_when_empty(candidate, placed.job, placed.step)
        and not (
            placed.step.spec.fills
            and spreading.find_slowed_images(placed.step, candidate)
        )
    )


def _limit_places(
    candidate: policies.Candidate, placed: scheduler.PlacedTask
) -> int:
    """Returns how many more tasks of the step a worker may take at most."""
    step = placed.step
    limit = step.spec.max_per_worker
    if not limit:
        return sys.maxsize
    key = (placed.job.spec.job_id, step.repetition, step.number)
    return max(0, limit - candidate.steps.get(key, 0))


def _measure_room(
    candidate: policies.Candidate, placed: scheduler.PlacedTask
) -> resources.Resources:
    """Returns the free capacity; for best-effort tasks, the idle CPU."""
    cpu_millis = candidate.cpu_millis
    if placed.step.spec.fills:
        idle_cores = capacity.estimate_idle_cores(
            candidate, deferred=placed.job.gives_way
        )
        cpu_millis = int(idle_cores * interference.CORE_MILLIS)
    return resources.Resources(
        cpu_millis, candidate.memory_mb, candidate.accelerators
    )


def count_places(room: resources.Resources, spec: specs.StepSpec) -> int:
    """Returns how many tasks of a step fit into some free capacity."""
    fitting = [
        available // requested
        for available, requested in (
            (room.cpu_millis, spec.cpu_millis),
            (room.memory_mb, spec.memory_mb),
            (room.accelerators, spec.accelerators),
        )
        if requested
    ]
    return max(0, min(fitting, default=spec.count))


def _list_ends(
    view: scheduler.AgentView,
    policy: policies.EstimatePolicy,
    now: datetime.timedelta,
) -> list[tuple[datetime.timedelta, resources.Resources]]:
    """Returns when tasks of a worker end and what they release, in order."""
    return sorted(_iterate_ends(view, policy, now), key=lambda item: item[0])


def _iterate_ends(
    view: scheduler.AgentView,
    policy: policies.EstimatePolicy,
    now: datetime.timedelta,
) -> Iterator[tuple[datetime.timedelta, resources.Resources]]:
    for ref, placed in view.placed.items():
        spec = placed.step.spec
        if spec.long_running or placed.step.lacks_gang_member():
            continue
        run_time = policy.estimate_tasks(placed.step)[ref.index]
        # Only best-effort tasks are throttled.
        speed = placed.task.speed_share if spec.fills else 1.0
        end = estimate_end(placed.task, run_time, now, speed)
        released = resources.Resources(
            spec.cpu_millis, spec.memory_mb, spec.accelerators
        )
        yield end, released


def estimate_end(
    task: progress.Task,
    run_time: datetime.timedelta,
    now: datetime.timedelta,
    speed: float = 1.0,
) -> datetime.timedelta:
    """Returns when a placed task is expected to end.

    A task that is overdue is expected to take as long again: the longer it has
    taken, the less its estimate says.

    Args:
        task: The task.
        run_time: Its estimated run time at full speed.
        now: Current time.
        speed: Share of full speed at which it runs.
    """
    left = run_time * estimates.estimate_left(task) * task.slowdown
    left /= max(speed, MIN_SPEED_SHARE)
    expected_end = task.progressed_at + left
    if expected_end >= now:
        return expected_end
    return now + (now - expected_end)
