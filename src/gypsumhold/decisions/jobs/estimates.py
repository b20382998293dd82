"""Estimates of how long tasks and jobs run at full speed.

Callers declare one rough run time per step. A few tasks take several times as
long as the rest of their step, and whole steps are off by a common factor, so
the learned estimates follow the progress that workers report.
"""

import datetime
import statistics

from gypsumhold.model.jobs import policies, progress, records, runs

MIN_MEASURED_PERCENT = 8
"""Progress within one run from which the run time of a task is measured."""

DECLARED_WEIGHT = 1.0
"""Weight of the declared run time, in measured tasks."""

SLOW_SHARE = 0.6
"""Share of full speed below which a task counts as slow."""

HALTED_SHARE = 0.1
"""Share of full speed below which a task counts as halted."""

MAX_MEASURED_INTERVAL = datetime.timedelta(seconds=2)
"""Longest time between two listings of a run over which its CPU use counts as
constant."""

PERCENT = 100

MILLISECOND = datetime.timedelta(milliseconds=1)


class DeclaredEstimates(policies.EstimatePolicy):
    """Baseline: every task takes the time that its step declares."""

    def estimate_tasks(self, step: progress.Step) -> list[datetime.timedelta]:
        """Returns the declared run time for each task."""
        return [step.spec.estimate] * len(step.tasks)


class LearnedEstimates(policies.EstimatePolicy):
    """Corrects declared run times by the measured progress of the tasks.

    The run time of a task that has been measured is its own. The other tasks
    of its step are taken to run as long as the median of the measured ones,
    shrunk towards the declared time while few were measured.
    """

    def estimate_tasks(self, step: progress.Step) -> list[datetime.timedelta]:
        """Returns the measured or expected run time of each task."""
        typical = _estimate_typical(step)
        return [
            typical if task.measured_time is None else task.measured_time
            for task in step.tasks
        ]


class EstimatesOfOneMoment(policies.EstimatePolicy):
    """Keeps the estimates of another policy, while no progress is reported."""

    def __init__(self, policy: policies.EstimatePolicy) -> None:
        """Creates a policy that asks `policy` once about each step."""
        self._policy = policy
        self._known: dict[int, list[datetime.timedelta]] = {}

    def estimate_tasks(self, step: progress.Step) -> list[datetime.timedelta]:
        """Returns the run times that the other policy gave first."""
        known = self._known.get(id(step))
        if known is None:
            known = self._policy.estimate_tasks(step)
            self._known[id(step)] = known
        return known


def _estimate_typical(step: progress.Step) -> datetime.timedelta:
    """Returns the run time of a typical task of a step."""
    measured = [
        task.measured_time
        for task in step.tasks
        if task.measured_time is not None
    ]
    if not measured:
        return step.spec.estimate
    total = step.spec.estimate * DECLARED_WEIGHT
    total += statistics.median_low(measured) * len(measured)
    return total / (DECLARED_WEIGHT + len(measured))


def estimate_task(
    step: progress.Step, task: progress.Task, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the whole run time of one task."""
    run_times = policy.estimate_tasks(step)
    index = next(i for i, item in enumerate(step.tasks) if item is task)
    return run_times[index]


def measure_progress(
    step: progress.Step,
    task: progress.Task,
    row: runs.RunRow,
    now: datetime.timedelta,
) -> None:
    """Updates the speed and the run time of a task from a listing of its run.

    The time at full speed is the CPU time used over the requested CPU, so a
    throttled run counts as far as it was allowed to work. Away from its data
    or gang a task takes longer by a factor, which the run time leaves out. A
    run that is listed without its usage counts as working at full speed, and so
    does a serving one, whose usage is a latency.
    """
    if step.spec.target_latency_ms:
        return
    share = 1.0
    if row.usage != runs.UNKNOWN_USAGE:
        share = min(1.0, row.usage / max(1, step.spec.cpu_millis))
    task.speed_share = share
    task.slow_since = _find_begin(task.slow_since, share < SLOW_SHARE, now)
    task.halted_since = _find_begin(
        task.halted_since, share < HALTED_SHARE, now
    )
    reading = task.reading
    if _may_resume(task, row):
        task.reading = None
        return
    if reading is None or row.progress_percent < reading.first_percent:
        percent = row.progress_percent
        task.reading = progress.ProgressReading(percent, percent, now)
        return
    interval = min(now - reading.read_at, MAX_MEASURED_INTERVAL)
    reading.worked += interval * share
    reading.read_at = now
    if share < HALTED_SHARE:
        # It worked in between, for a time that no listing tells.
        risen = row.progress_percent - reading.last_percent
        reading.first_percent += max(0, risen)
    reading.last_percent = row.progress_percent
    percent = row.progress_percent - reading.first_percent
    if percent >= MIN_MEASURED_PERCENT:
        measured_time = reading.worked * (PERCENT / percent)
        task.measured_time = measured_time / task.slowdown


def _may_resume(task: progress.Task, row: runs.RunRow) -> bool:
    """Tells whether a run may still have to resume from its checkpoint.

    Until then it is listed without the progress that was made before.
    """
    is_new = 0 <= row.age_ms < progress.MEASURED_TIME / MILLISECOND
    return is_new and task.run > 1


def _find_begin(
    since: datetime.timedelta | None, applies: bool, now: datetime.timedelta
) -> datetime.timedelta | None:
    """Returns since when something applies; None if it does not."""
    if not applies:
        return None
    return now if since is None else since


def estimate_critical_path(
    job: progress.Job, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the estimated duration of the longest chain of dependent steps.

    The longest task of each step counts. One repetition is considered.
    """
    return _sum_longest_chain(
        job,
        [_estimate_longest(job, number, policy) for number in _numbers(job)],
    )


def estimate_remaining_time(
    job: progress.Job, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the estimated duration of the rest of the critical path."""
    return _sum_longest_chain(
        job,
        [_estimate_remaining(job, number, policy) for number in _numbers(job)],
    )


def estimate_remaining_work(
    job: progress.Job, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the estimated core time of all tasks that are not done."""
    work = datetime.timedelta(0)
    for step in job.steps:
        cores = max(1, step.spec.cpu_millis) / progress.CORE_MILLIS
        remaining = _list_remaining(step, policy)
        work += sum(remaining, datetime.timedelta(0)) * cores
    return work


def estimate_work(
    job: progress.Job, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the estimated core time of all tasks, also of those done."""
    work = datetime.timedelta(0)
    for step in job.steps:
        cores = max(1, step.spec.cpu_millis) / progress.CORE_MILLIS
        work += sum(policy.estimate_tasks(step), datetime.timedelta(0)) * cores
    return work


def _list_remaining(
    step: progress.Step, policy: policies.EstimatePolicy
) -> list[datetime.timedelta]:
    """Returns the remaining run times of the tasks that are not done.

    Those that are placed count as slow as they are there.
    """
    return [
        run_time * estimate_left(task) * get_slowdown(task)
        for task, run_time in zip(
            step.tasks, policy.estimate_tasks(step), strict=True
        )
        if task.state is not records.TaskState.DONE
    ]


def estimate_left(task: progress.Task) -> float:
    """Returns the share of a task that is left, by its latest progress."""
    return 1 - task.progress_percent / PERCENT


def get_slowdown(task: progress.Task) -> float:
    """Returns the factor on the run time of a task where it is placed."""
    return task.slowdown if task.is_placed() else 1.0


def _numbers(job: progress.Job) -> range:
    return range(len(job.spec.steps))


def _list_repetitions(job: progress.Job, number: int) -> list[progress.Step]:
    """Returns the step with this number of every repetition that is due."""
    return job.steps[number :: len(job.spec.steps)]


def _estimate_longest(
    job: progress.Job, number: int, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the run time of the longest task of a step."""
    return max(
        (
            run_time
            for step in _list_repetitions(job, number)
            for run_time in policy.estimate_tasks(step)
        ),
        default=job.spec.steps[number].estimate,
    )


def _estimate_remaining(
    job: progress.Job, number: int, policy: policies.EstimatePolicy
) -> datetime.timedelta:
    """Returns the longest remaining run time among the tasks of a step."""
    steps = _list_repetitions(job, number)
    if not steps:
        return job.spec.steps[number].estimate
    return max(
        (
            remaining
            for step in steps
            for remaining in _list_remaining(step, policy)
        ),
        default=datetime.timedelta(0),
    )


def _sum_longest_chain(
    job: progress.Job, durations: list[datetime.timedelta]
) -> datetime.timedelta:
    """Returns the longest sum of durations along the dependencies."""
    ends: list[datetime.timedelta] = []
    for step, duration in zip(job.spec.steps, durations, strict=True):
        start = max(
            (ends[number] for number in step.after),
            default=datetime.timedelta(0),
        )
        ends.append(start + duration)
    return max(ends, default=datetime.timedelta(0))
