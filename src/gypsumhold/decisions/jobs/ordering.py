"""Policies that order jobs by what they can still achieve."""

import datetime
from collections.abc import Sequence

from gypsumhold.decisions.jobs import estimates
from gypsumhold.model.jobs import policies, progress

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still useful."""


OUTLOOK_INTERVAL = datetime.timedelta(milliseconds=400)
"""How long the estimates of a job are used; plans come more often, and each
estimate walks all tasks of the job."""


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
    objective = compute_objective(job, policy)
    return progress.Outlook(
        now,
        job.submitted_at + objective,
        job.submitted_at + objective * LATE_FACTOR,
        estimates.estimate_remaining_time(job, policy),
        estimates.estimate_remaining_work(job, policy),
    )


def is_late(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> bool:
    """Tells whether a job is estimated to miss its objective."""
    outlook = refresh_outlook(job, now, policy)
    return now + outlook.remaining_time > outlook.due_at


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
    job that is too late to be useful gives way to both.
    """

    def __init__(self, policy: policies.EstimatePolicy) -> None:
        """Creates an order that goes by the run times of `policy`."""
        self._estimates = policy

    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs in the order in which they are placed."""
        return sorted(jobs, key=lambda job: self._rank(job, now))

    def _rank(
        self, job: progress.Job, now: datetime.timedelta
    ) -> tuple[int, int, datetime.timedelta]:
        """Returns the sort key of a job; long-running jobs are never late."""
        is_long_running = any(step.long_running for step in job.spec.steps)
        if is_long_running:
            return (0, job.spec.queue.priority, job.submitted_at)
        outlook = refresh_outlook(job, now, self._estimates)
        expected_end = now + outlook.remaining_time
        lateness = 2
        if expected_end <= outlook.due_at:
            lateness = 0
        elif expected_end <= outlook.useful_until:
            lateness = 1
        priority = job.spec.queue.priority
        if job.has_best_effort_steps():
            # CPU for best-effort tasks is scarce. Under overload, earliest
            # deadline first would make every job late, so the job with the
            # least remaining work goes first.
            return (lateness, priority, outlook.remaining_work)
        return (lateness, priority, outlook.due_at)
