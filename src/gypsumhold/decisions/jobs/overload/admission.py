"""Policies that accept or refuse submissions."""

import datetime

from gypsumhold.decisions.jobs import ordering
from gypsumhold.decisions.jobs.overload import shares
from gypsumhold.model.jobs import forecasts, policies, specs

MAX_AGE = datetime.timedelta(seconds=2)
"""Age from which a forecast is not used: four reads of the holder's row."""

RESUME_SHARE = 0.8
"""Share of the limit below which jobs of a kind are accepted again, so that a
wait near the limit does not refuse and accept by turns."""

MIN_RETRY_DELAY = datetime.timedelta(seconds=1)
MAX_RETRY_DELAY = datetime.timedelta(seconds=60)
"""What waits now tells little of the room after a minute."""

RETRY_SPREAD = 0.4
"""Range of retry delays, as a share of their mean."""

MILLISECOND = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta(0)


class AcceptAll(policies.AdmissionPolicy):
    """Baseline: accepts every job."""

    needs_forecast = False

    def decide(
        self, inputs: forecasts.AdmissionInputs
    ) -> forecasts.AdmissionDecision:
        """Accepts the job."""
        return forecasts.ACCEPTED


class RefuseUseless(policies.AdmissionPolicy):
    """Refuses jobs that would end too late to be of use to their callers.

    The limit is that of `ordering`: a multiple of the objective that the queue
    promises. Each kind of work has a floor. Without a fresh forecast every job
    is accepted, and so are long-running and scheduled jobs, whose ends are not
    awaited.
    """

    needs_forecast = True

    def decide(
        self, inputs: forecasts.AdmissionInputs
    ) -> forecasts.AdmissionDecision:
        """Decides from the forecast for jobs of this queue and size."""
        spec, forecast = inputs.spec, inputs.forecast
        if forecast is None or inputs.now - forecast.made_at > MAX_AGE:
            return forecasts.ACCEPTED
        queue = forecast.find_queue(spec.queue.name)
        is_awaited = not spec.repetitions and not any(
            step.long_running for step in spec.steps
        )
        if queue is None or not queue.sizes or not is_awaited:
            return forecasts.ACCEPTED
        size = _find_size(queue, measure_work(spec))
        key = forecasts.ShareKey(queue.queue, size)
        share = inputs.shares.get(key, forecasts.Share())
        path = measure_critical_path(spec)
        target = spec.queue.latency_target_ms * MILLISECOND
        limit = (path * spec.queue.stretch + target) * ordering.LATE_FACTOR
        expected = queue.sizes[size].delay_ms * MILLISECOND + path
        refusing = expected > limit * (RESUME_SHARE if share.refusing else 1.0)
        delay = None
        if refusing and not shares.needs_floor(share):
            spread = 1 + RETRY_SPREAD * (inputs.jitter - 0.5)
            excess = expected - limit * RESUME_SHARE
            delay = min(MAX_RETRY_DELAY, max(MIN_RETRY_DELAY, excess * spread))
        return forecasts.AdmissionDecision(
            delay, key, refusing, expected, limit
        )


def _find_size(queue: forecasts.QueueForecast, work: datetime.timedelta) -> int:
    """Returns the number of the size class of a job."""
    last = len(queue.sizes) - 1
    for number, size in enumerate(queue.sizes[:last]):
        if work <= size.max_work_ms * MILLISECOND:
            return number
    return last


def measure_work(spec: specs.JobSpec) -> datetime.timedelta:
    """Returns the declared core time of a job."""
    core_ms = sum(
        step.count * step.estimate_ms * step.cpu_millis / 1000
        for step in spec.steps
    )
    return core_ms * MILLISECOND


def measure_critical_path(spec: specs.JobSpec) -> datetime.timedelta:
    """Returns the declared duration of the longest chain of steps."""
    ends: list[datetime.timedelta] = []
    for step in spec.steps:
        start = max((ends[number] for number in step.after), default=ZERO)
        ends.append(start + step.estimate)
    return max(ends, default=ZERO)
