"""Policies that order jobs by what they can still achieve."""

import datetime
from collections.abc import Iterable, Mapping, Sequence

from gypsumhold.decisions.jobs import estimates
from gypsumhold.model.jobs import policies, progress, specs

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still useful."""

LATE_VALUE = 0.15
"""Value of a job that is late, as a share of its value on time."""

USELESS_VALUE = 0.03
"""The same for a job that is too late to be useful; its caller still waits."""

FIXED_SHARE = 0.3
"""Share of the value of a typical job of a queue that does not depend on the
work. The rest grows with the work, so a small job is worth more for its work
than a large one."""

MIN_WORK = datetime.timedelta(milliseconds=100)
"""Least remaining work that is assumed, in core time."""

OUTLOOK_INTERVAL = datetime.timedelta(milliseconds=400)
"""How long the estimates of a job are used; plans come more often, and each
estimate walks all tasks of the job."""


TypicalWork = Mapping[specs.QueueName, datetime.timedelta]
"""Work of a typical job of each queue, in core time."""


def compute_objective(
    job: progress.Job, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the time from its submission in which a job should end."""
    queue = job.spec.queue
    target = datetime.timedelta(milliseconds=queue.latency_target_ms)
    critical_path = estimates.estimate_critical_path(job, policy)
    return critical_path * queue.stretch + target


def refresh_outlook(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> progress.Outlook:
    """Returns the estimates of a job, made anew if they are too old."""
    outlook = job.outlook
    if outlook is None or not (
        outlook.made_at <= now < outlook.made_at + OUTLOOK_INTERVAL
    ):
        outlook = _make_outlook(job, now, policy)
        job.outlook = outlook
    return outlook


def _make_outlook(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> progress.Outlook:
    policy = estimates.EstimatesOfOneMoment(policy)
    objective = compute_objective(job, policy)
    return progress.Outlook(
        now,
        job.submitted_at + objective,
        job.submitted_at + objective * LATE_FACTOR,
        estimates.estimate_remaining_time(job, policy),
        estimates.estimate_work(job, policy),
        estimates.estimate_remaining_work(job, policy),
    )


def measure_typical_work(
    jobs: Iterable[progress.Job],
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> TypicalWork:
    """Returns the mean estimated work of the jobs of each queue."""
    works: dict[specs.QueueName, list[datetime.timedelta]] = {}
    for job in jobs:
        work = refresh_outlook(job, now, policy).work
        works.setdefault(job.spec.queue.name, []).append(work)
    return {
        # Dividing first keeps sums of very large estimates in range.
        queue: sum((work / len(known) for work in known), datetime.timedelta(0))
        for queue, known in works.items()
    }


def is_late(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> bool:
    """Tells whether a job is estimated to miss its objective."""
    outlook = refresh_outlook(job, now, policy)
    return now + outlook.remaining_time > outlook.due_at


def estimate_return(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
    typical_work: TypicalWork | None = None,
) -> float:
    """Returns the value of finishing a job over the work that it still takes.

    A typical job that is on time and not yet begun has a return of 1. It is
    higher for smaller jobs, and rises with what is done, so that a late job
    with little left comes before a larger one that has just arrived.

    Args:
        job: The job.
        now: Current time.
        policy: Estimates of run times.
        typical_work: Work of typical jobs; a job of a queue that is not in it
            counts as typical itself.
    """
    outlook = refresh_outlook(job, now, policy)
    typical = (typical_work or {}).get(job.spec.queue.name, outlook.work)
    expected_end = now + outlook.remaining_time
    value = 1.0
    if expected_end > outlook.useful_until:
        value = USELESS_VALUE
    elif expected_end > outlook.due_at:
        value = LATE_VALUE
    weight = outlook.work * (1 - FIXED_SHARE) + typical * FIXED_SHARE
    return value * (weight / max(outlook.remaining_work, MIN_WORK))


def gives_way(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
    typical_work: TypicalWork | None = None,
) -> bool:
    """Tells whether a job gives way to a typical one that has just arrived."""
    return estimate_return(job, now, policy, typical_work) < 1.0


class FirstComeFirstServed(policies.OrderingPolicy):
    """Baseline: the oldest job first."""

    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs by the time of their submission."""
        return sorted(jobs, key=lambda job: job.submitted_at)


class ByObjective(policies.OrderingPolicy):
    """Orders jobs by whether they can be on time, priority and deadline.

    A job that will be late gives way to one that can still be on time, and a
    job that is too late to be useful gives way to both, unless it has
    best-effort tasks and is nearly done.
    """

    def __init__(self, policy: policies.EstimatePolicy) -> None:
        """Creates an order that goes by the run times of `policy`."""
        self._estimates = policy

    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs in the order in which they are placed."""
        typical_work = measure_typical_work(
            (job for job in jobs if job.has_best_effort_steps()),
            now,
            self._estimates,
        )
        return sorted(jobs, key=lambda job: self._rank(job, now, typical_work))

    def _rank(
        self,
        job: progress.Job,
        now: datetime.timedelta,
        typical_work: TypicalWork,
    ) -> tuple[int, int, datetime.timedelta]:
        """Returns the sort key of a job; long-running jobs are never late."""
        if job.is_long_running():
            return (0, job.spec.queue.priority, job.submitted_at)
        if job.has_best_effort_steps():
            return self._rank_best_effort(job, now, typical_work)
        outlook = refresh_outlook(job, now, self._estimates)
        expected_end = now + outlook.remaining_time
        lateness = 2
        if expected_end <= outlook.due_at:
            lateness = 0
        elif expected_end <= outlook.useful_until:
            lateness = 1
        return (lateness, job.spec.queue.priority, outlook.due_at)

    def _rank_best_effort(
        self,
        job: progress.Job,
        now: datetime.timedelta,
        typical_work: TypicalWork,
    ) -> tuple[int, int, datetime.timedelta]:
        """Returns the sort key of a job with best-effort tasks.

        CPU for them is scarce. Under overload, earliest deadline first would
        make every job late, so the job with the least remaining work goes
        first among those whose completion is worth it.
        """
        outlook = refresh_outlook(job, now, self._estimates)
        later = int(gives_way(job, now, self._estimates, typical_work))
        return (later, job.spec.queue.priority, outlook.remaining_work)
