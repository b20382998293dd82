"""Policies that order jobs by what they can still achieve."""

import datetime
from collections.abc import Sequence

from gypsumhold.decisions.jobs import estimates
from gypsumhold.model.jobs import policies, progress

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still useful."""


def compute_objective(
    job: progress.Job, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the time from its submission in which a job should end."""
    queue = job.spec.queue
    target = datetime.timedelta(milliseconds=queue.latency_target_ms)
    critical_path = estimates.estimate_critical_path(job, policy)
    return critical_path * queue.stretch + target


def is_late(
    job: progress.Job,
    now: datetime.timedelta,
    policy: policies.EstimatePolicy,
) -> bool:
    """Tells whether a job is estimated to miss its objective."""
    expected_end = now + estimates.estimate_remaining_time(job, policy)
    return expected_end > job.submitted_at + compute_objective(job, policy)


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
        objective = compute_objective(job, self._estimates)
        remaining = estimates.estimate_remaining_time(job, self._estimates)
        expected_end = now + remaining
        lateness = 2
        if expected_end <= job.submitted_at + objective:
            lateness = 0
        elif expected_end <= job.submitted_at + objective * LATE_FACTOR:
            lateness = 1
        priority = job.spec.queue.priority
        if job.has_best_effort_steps():
            # CPU for best-effort tasks is scarce. Under overload, earliest
            # deadline first would make every job late, so the job with the
            # least remaining work goes first.
            work = estimates.estimate_remaining_work(job, self._estimates)
            return (lateness, priority, work)
        return (lateness, priority, job.submitted_at + objective)
