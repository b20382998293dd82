"""Which job gets room first."""

import datetime
from collections.abc import Sequence

from gypsumhold.model.jobs import policies, progress, records

CORE_MILLIS = 1000

LATE_FACTOR = 3.0
"""Multiple of the objective up to which a late job is still of use."""


def estimate_critical_path(job: progress.Job) -> datetime.timedelta:
    """Returns the estimated longest chain of steps of one repetition."""
    ends: list[int] = []
    for step in job.spec.steps:
        before = max((ends[number] for number in step.after), default=0)
        ends.append(before + step.estimate_ms)
    return datetime.timedelta(milliseconds=max(ends, default=0))


def compute_objective(job: progress.Job) -> datetime.timedelta:
    """Returns how long the job may take from its submission."""
    queue = job.spec.queue
    target = datetime.timedelta(milliseconds=queue.latency_target_ms)
    return estimate_critical_path(job) * queue.stretch + target


def estimate_remaining_time(job: progress.Job) -> datetime.timedelta:
    """Returns the estimated longest chain of what is not done."""
    width = len(job.spec.steps)
    ends: list[float] = []
    for number, spec in enumerate(job.spec.steps):
        before = max((ends[other] for other in spec.after), default=0.0)
        left = max(
            (
                _measure_unfinished_share(step)
                for step in job.steps[number::width]
            ),
            default=1.0,
        )
        ends.append(before + left * spec.estimate_ms)
    return datetime.timedelta(milliseconds=max(ends, default=0.0))


def _measure_unfinished_share(step: progress.Step) -> float:
    """Returns the largest part of a task of a step that is not done."""
    return max(
        (
            1 - task.percent / 100
            for task in step.tasks
            if task.state is not records.TaskState.DONE
        ),
        default=0.0,
    )


def is_late(job: progress.Job, now: datetime.timedelta) -> bool:
    """Tells whether a job can't meet its objective any more."""
    return now + estimate_remaining_time(
        job
    ) > job.submitted_at + compute_objective(job)


def estimate_remaining_work(job: progress.Job) -> datetime.timedelta:
    """Returns the estimated time of one core for all that is not done."""
    work = sum(
        step.spec.estimate_ms * max(1, step.spec.cpu_millis)
        for step in job.steps
        for task in step.tasks
        if task.state is not records.TaskState.DONE
    )
    return datetime.timedelta(milliseconds=work / CORE_MILLIS)


class FirstComeFirstServed(policies.Ordering):
    """Baseline: oldest first."""

    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs by their arrival."""
        return sorted(jobs, key=lambda job: job.submitted_at)


class ByObjective(policies.Ordering):
    """Jobs that can still be on time, by priority and least slack.

    A job that would be late anyway gives way to one that need not be, and one
    that is too late to be of use to both.
    """

    def sort(
        self, jobs: Sequence[progress.Job], now: datetime.timedelta
    ) -> list[progress.Job]:
        """Returns the jobs in the order in which they get room."""
        return sorted(jobs, key=lambda job: self._rank(job, now))

    def _rank(
        self, job: progress.Job, now: datetime.timedelta
    ) -> tuple[int, int, datetime.timedelta]:
        lasts = any(step.long_running for step in job.spec.steps)
        if lasts:
            return (0, job.spec.queue.priority, job.submitted_at)
        objective = compute_objective(job)
        finish = now + estimate_remaining_time(job)
        useful = 2
        if finish <= job.submitted_at + objective:
            useful = 0
        elif finish <= job.submitted_at + objective * LATE_FACTOR:
            useful = 1
        priority = job.spec.queue.priority
        if any(step.fills for step in job.spec.steps):
            # What fillers get is short, and the earliest deadline first makes
            # every job late under overload.
            return (useful, priority, estimate_remaining_work(job))
        return (useful, priority, job.submitted_at + objective)
