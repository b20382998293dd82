"""Policies that order jobs, and the time estimates that they use."""

import datetime
from collections.abc import Sequence

from gypsumhold.model.jobs import policies, progress, records

CORE_MILLIS = 1000

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is still useful."""


def estimate_critical_path(job: progress.Job) -> datetime.timedelta:
    """Returns the estimated duration of the longest chain of dependent steps.

    One repetition of the job is considered.
    """
    end_times: list[int] = []
    for step in job.spec.steps:
        start = max((end_times[number] for number in step.after), default=0)
        end_times.append(start + step.estimate_ms)
    return datetime.timedelta(milliseconds=max(end_times, default=0))


def compute_objective(job: progress.Job) -> datetime.timedelta:
    """Returns the time from its submission in which a job should end."""
    queue = job.spec.queue
    target = datetime.timedelta(milliseconds=queue.latency_target_ms)
    return estimate_critical_path(job) * queue.stretch + target


def estimate_remaining_time(job: progress.Job) -> datetime.timedelta:
    """Returns the estimated duration of the rest of the critical path."""
    steps_per_repetition = len(job.spec.steps)
    end_times: list[float] = []
    for number, spec in enumerate(job.spec.steps):
        start = max((end_times[other] for other in spec.after), default=0.0)
        share = max(
            (
                _compute_unfinished_share(step)
                for step in job.steps[number::steps_per_repetition]
            ),
            default=1.0,
        )
        end_times.append(start + share * spec.estimate_ms)
    return datetime.timedelta(milliseconds=max(end_times, default=0.0))


def _compute_unfinished_share(step: progress.Step) -> float:
    """Returns the largest unfinished share among the tasks of a step."""
    return max(
        (
            1 - task.progress_percent / 100
            for task in step.tasks
            if task.state is not records.TaskState.DONE
        ),
        default=0.0,
    )


def is_late(job: progress.Job, now: datetime.timedelta) -> bool:
    """Tells whether a job is estimated to miss its objective."""
    return now + estimate_remaining_time(
        job
    ) > job.submitted_at + compute_objective(job)


def estimate_remaining_work(job: progress.Job) -> datetime.timedelta:
    """Returns the estimated core time of all tasks that are not done."""
    millicore_ms = sum(
        step.spec.estimate_ms * max(1, step.spec.cpu_millis)
        for step in job.steps
        for task in step.tasks
        if task.state is not records.TaskState.DONE
    )
    return datetime.timedelta(milliseconds=millicore_ms / CORE_MILLIS)


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
        objective = compute_objective(job)
        expected_end = now + estimate_remaining_time(job)
        lateness = 2
        if expected_end <= job.submitted_at + objective:
            lateness = 0
        elif expected_end <= job.submitted_at + objective * LATE_FACTOR:
            lateness = 1
        priority = job.spec.queue.priority
        if any(step.fills for step in job.spec.steps):
            # CPU for best-effort tasks is scarce. Under overload, earliest
            # deadline first would make every job late, so the job with the
            # least remaining work goes first.
            return (lateness, priority, estimate_remaining_work(job))
        return (lateness, priority, job.submitted_at + objective)
