"""Tests of run time estimates under steps with stragglers.

Pattern: in a job of many tasks, a few take several times the declared time.
The objective of the job follows from its longest task, which nobody declared.
"""

import datetime

import pytest

from gypsumhold.decisions.jobs import estimates, ordering
from gypsumhold.model.jobs import policies, progress, records, runs, specs

SECOND = datetime.timedelta(seconds=1)
DECLARED = 3 * SECOND
STRAGGLER = 18 * SECOND
CPU_MILLIS = 7000


def build_job(tasks: int = 8) -> progress.Job:
    step_spec = specs.StepSpec(
        tasks,
        CPU_MILLIS,
        1000,
        estimate_ms=int(DECLARED.total_seconds() * 1000),
        fills=True,
        image=specs.Image("study"),
    )
    queue = specs.Queue(
        specs.QueueName("q"),
        "host",
        "/q/",
        specs.PoolName("pool"),
        stretch=2.0,
        latency_target_ms=1000,
    )
    spec = specs.JobSpec(specs.JobId("job"), queue, "", (step_spec,), 0)
    job = progress.Job(spec, datetime.timedelta(0))
    step = progress.Step(
        step_spec, 0, 0, [progress.Task() for _ in range(tasks)], True
    )
    job.steps.append(step)
    return job


def work_on(
    step: progress.Step,
    task: progress.Task,
    run_time: datetime.timedelta,
    until: datetime.timedelta,
    speed: float = 1.0,
) -> None:
    """Reports the progress of a task once a second."""
    for second in range(int(until / SECOND) + 1):
        now = second * SECOND
        percent = min(100, int(100 * speed * (now / run_time)))
        row = runs.RunRow(
            runs.RunRef(
                runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
            ),
            progress_percent=percent,
            usage=int(CPU_MILLIS * speed),
        )
        estimates.measure_progress(step, task, row, now)
        task.progress_percent = percent
        if percent == 100:
            task.state = records.TaskState.DONE
            return


def run_until(job: progress.Job, now: datetime.timedelta) -> None:
    """Runs one straggler beside tasks that take the declared time."""
    step = job.steps[0]
    for index, task in enumerate(step.tasks):
        work_on(step, task, DECLARED if index else STRAGGLER, now)


def test_job_with_a_straggler_is_not_given_up() -> None:
    """Guards against a job that gives way while its last task still runs.

    By the declared time it had missed its objective at 7 s, so its straggler
    was halted in favour of every other job.
    """
    job = build_job()
    now = 8 * SECOND
    run_until(job, now)
    assert ordering.is_late(job, now, estimates.DeclaredEstimates())
    job.outlook = None
    assert not ordering.is_late(job, now, estimates.LearnedEstimates())


def test_objective_follows_the_longest_task() -> None:
    job = build_job()
    run_until(job, 8 * SECOND)
    objective = ordering.compute_objective(job, estimates.LearnedEstimates())
    exact = STRAGGLER * 2 + SECOND
    assert abs(objective - exact) < exact * 0.1


def test_throttled_time_does_not_count_as_work() -> None:
    """Guards against a throttled task that is taken for a long one."""
    job = build_job(tasks=1)
    step = job.steps[0]
    work_on(step, step.tasks[0], DECLARED, 5 * SECOND, speed=0.25)
    measured = step.tasks[0].measured_time
    assert measured is not None
    assert abs(measured - DECLARED) < DECLARED * 0.2


def test_unmeasured_tasks_follow_the_typical_one() -> None:
    """Guards against estimates that are off by a factor for a whole step.

    The error of the learned estimates is a fraction of that of the declared.
    """
    job = build_job()
    step = job.steps[0]
    actual = 2.2 * DECLARED
    for task in step.tasks[:5]:
        work_on(step, task, actual, 3 * SECOND)
    errors = {
        type(policy): abs(policy.estimate_tasks(step)[-1] - actual)
        for policy in (
            estimates.DeclaredEstimates(),
            estimates.LearnedEstimates(),
        )
    }
    learned_error = errors[estimates.LearnedEstimates]
    assert learned_error < 0.35 * errors[estimates.DeclaredEstimates]


@pytest.mark.parametrize(
    "policy", [estimates.DeclaredEstimates(), estimates.LearnedEstimates()]
)
def test_without_progress_the_declared_time_holds(
    policy: policies.EstimatePolicy,
) -> None:
    job = build_job()
    assert estimates.estimate_critical_path(job, policy) == DECLARED
    assert estimates.estimate_remaining_time(job, policy) == DECLARED


def test_new_run_is_measured_from_its_checkpoint() -> None:
    """Guards against work of an earlier run counted as done in no time."""
    job = build_job(tasks=1)
    step = job.steps[0]
    task = step.tasks[0]
    row = runs.RunRow(
        runs.RunRef(
            runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(2)
        ),
        progress_percent=60,
        usage=CPU_MILLIS,
    )
    estimates.measure_progress(step, task, row, SECOND)
    assert task.measured_time is None


def test_restored_progress_is_not_work_of_the_run() -> None:
    """Guards against a run time measured from progress that was restored.

    A run is listed with no progress until it has resumed from its checkpoint.
    """
    job = build_job(tasks=1)
    step = job.steps[0]
    task = step.tasks[0]
    ref = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(2)
    )
    task.run = ref.run
    for age_ms, percent, usage in (
        (20, 0, 0),
        (1020, 86, CPU_MILLIS // 10),
        (2020, 86, 0),
        (3020, 86, 0),
    ):
        row = runs.RunRow(
            ref, progress_percent=percent, usage=usage, age_ms=age_ms
        )
        now = datetime.timedelta(milliseconds=age_ms)
        estimates.measure_progress(step, task, row, now)
    assert task.measured_time is None


def test_progress_between_readings_without_use_is_not_measured() -> None:
    """Guards against a run time of nothing for a run that was halted later.

    It worked before its worker was first asked for the use of the last half
    second, and was halted then.
    """
    job = build_job(tasks=1)
    step = job.steps[0]
    task = step.tasks[0]
    ref = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
    )
    for second, percent in enumerate((0, 14, 14, 14)):
        row = runs.RunRow(ref, progress_percent=percent, usage=0)
        estimates.measure_progress(step, task, row, second * SECOND)
        task.progress_percent = percent
    assert task.measured_time is None


def test_run_without_a_usage_counts_as_working() -> None:
    """Guards against runs taken for halted where workers tell no usage."""
    job = build_job(tasks=1)
    step = job.steps[0]
    task = step.tasks[0]
    ref = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
    )
    for second in range(3):
        row = runs.RunRow(ref, progress_percent=10 * second)
        estimates.measure_progress(step, task, row, second * SECOND)
    assert task.halted_since is None
    assert task.speed_share == 1.0
    assert task.measured_time == 10 * SECOND
