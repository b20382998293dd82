"""Forecasts of the waits of new jobs, made by the holder of the queue.

The holder publishes its latest forecast in its row, which the other entries
read twice a second anyway.
"""

import datetime
from collections.abc import Iterable, Sequence

from gypsumhold.decisions.jobs import ordering
from gypsumhold.model.jobs import (
    forecasts,
    policies,
    progress,
    records,
    scheduler,
)

INTERVAL = datetime.timedelta(milliseconds=400)
"""How long a forecast is used by its holder; it walks all open jobs."""

SHORTAGE_FACTOR = 1.25
"""Ratio of the CPU that open steps want to the CPU that they get from which a
queue is short of room; starts and ends of runs leave some unused."""

SIZE_QUANTILES = (0.5, 0.9, 1.0)
"""Shares of the open jobs of a queue up to which its size classes reach. The
largest tenth has a class, and so a floor, of its own."""

MAX_MS = 10**12
"""Longest time and largest work that a forecast tells, in ms. Larger numbers of
a row are not sound, and some make no duration."""

MILLISECOND = datetime.timedelta(milliseconds=1)


def refresh(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> None:
    """Makes a new forecast if the policy wants any and the last one is old.

    A new holder makes none while agents may not have reported to it yet: the
    room that their runs get would be missing.
    """
    if not state.policies.admission.needs_forecast:
        return
    if now < holder_state.term_started_at + state.options.grant:
        return
    latest = state.forecast
    if (
        latest is not None
        and latest.term == holder_state.term
        and latest.made_at <= now < latest.made_at + INTERVAL
    ):
        return
    queues = forecast_queues(
        holder_state.open_jobs.values(), now, state.policies.estimates
    )
    state.forecast = forecasts.Forecast(holder_state.term, now, queues)


def describe(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> tuple[int, tuple[forecasts.QueueForecast, ...]]:
    """Returns the age in ms and the content of the forecast for the row.

    Without a forecast of the present term the age is negative.
    """
    forecast, holder_state = state.forecast, state.holder_state
    if (
        forecast is None
        or holder_state is None
        or forecast.term != holder_state.term
    ):
        return records.NO_FORECAST, ()
    age_ms = max(0, (now - forecast.made_at) // MILLISECOND)
    return min(MAX_MS, age_ms), forecast.queues


def receive(
    state: scheduler.SchedulerState,
    record: records.HolderRecord | None,
    now: datetime.timedelta,
) -> None:
    """Takes the forecast of a holder's row that has just been seen changed.

    Ages are durations, so the clocks of entries need not agree. A row of a new
    holder without a forecast drops that of the former holder.
    """
    if record is None or not _is_sound(record):
        state.forecast = None
        return
    made_at = now - record.forecast_age_ms * MILLISECOND
    state.forecast = forecasts.Forecast(record.term, made_at, record.forecast)


def _is_sound(record: records.HolderRecord) -> bool:
    """Tells whether a row has a forecast with possible numbers only."""
    numbers = [record.forecast_age_ms]
    for queue in record.forecast:
        for size in queue.sizes:
            numbers += (size.max_work_ms, size.delay_ms)
    return all(0 <= number <= MAX_MS for number in numbers)


def forecast_queues(
    jobs: Iterable[progress.Job],
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> tuple[forecasts.QueueForecast, ...]:
    """Returns the forecasts of the queues that are short of room."""
    by_queue: dict[str, list[progress.Job]] = {}
    for job in jobs:
        if not (job.set_aside or job.is_long_running() or job.spec.repetitions):
            by_queue.setdefault(job.spec.queue.name, []).append(job)
    found = []
    for name in sorted(by_queue):
        queue = _forecast_queue(by_queue[name], now, policy)
        if queue is not None:
            found.append(queue)
    return tuple(found)


def _forecast_queue(
    jobs: Sequence[progress.Job],
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> forecasts.QueueForecast | None:
    """Returns the forecast of a queue; None if it has room."""
    wanted = sum(map(_measure_wanted_cores, jobs))
    used = sum(map(_measure_used_cores, jobs))
    if not used or wanted <= used * SHORTAGE_FACTOR:
        return None
    outlooks = [ordering.refresh_outlook(job, now, policy) for job in jobs]
    works = sorted(outlook.work for outlook in outlooks)
    sizes = []
    for share in SIZE_QUANTILES:
        bound = works[max(0, round(len(works) * share) - 1)]
        # Of best-effort jobs, those with the least remaining work go first,
        # and jobs that are too late to be useful give way to all others.
        ahead = sum(
            (
                outlook.remaining_work
                for outlook in outlooks
                if outlook.remaining_work <= bound
                and now + outlook.remaining_time <= outlook.useful_until
            ),
            datetime.timedelta(0),
        )
        sizes.append(
            forecasts.SizeForecast(
                min(MAX_MS, bound // MILLISECOND),
                min(MAX_MS, int(ahead / MILLISECOND / used)),
            )
        )
    return forecasts.QueueForecast(jobs[0].spec.queue.name, tuple(sizes))


def _measure_wanted_cores(job: progress.Job) -> float:
    """Returns the cores on which all tasks that may run would run."""
    return sum(
        step.spec.cpu_millis / progress.CORE_MILLIS
        for step in job.steps
        if step.open
        for task in step.tasks
        if task.is_placed() or task.state is records.TaskState.READY
    )


def _measure_used_cores(job: progress.Job) -> float:
    """Returns the cores that the running tasks get.

    Ordinary tasks have the CPU that they request; best-effort tasks may be
    throttled.
    """
    return sum(
        step.spec.cpu_millis
        / progress.CORE_MILLIS
        * (task.speed_share if step.spec.fills else 1.0)
        for step in job.steps
        if step.open
        for task in step.tasks
        if task.is_running()
    )
