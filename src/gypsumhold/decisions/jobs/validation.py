"""Checks submitted jobs before they are stored.

A stored job is read by every later holder of the queue, so a value with which
no plan can be made has to be refused at the submission.
"""

from gypsumhold.model import errors
from gypsumhold.model.jobs import specs

MAX_PAYLOAD_BYTES = 4000

MAX_TASKS = 100_000
"""Most tasks of a job, over all of its repetitions."""

MAX_REPETITION_TASKS = 3000
"""Most tasks of a job in one repetition; their progress is stored in one
row."""

MAX_SPEC_BYTES = 60_000
"""Most bytes of a whole job; it is stored in one row."""

STEP_BYTES = 100
"""Most bytes of the numbers of one step."""

DEPENDENCY_BYTES = 5
"""Most bytes of the number of a step before it."""

MAX_GANG_TASKS = 300
"""Most tasks of a gang, which are all placed at the same time."""

MAX_AMOUNT = 10**9
"""Largest value of a resource, a count or a latency of a step."""

MAX_ESTIMATE_MS = 30 * 24 * 3600 * 1000
"""Longest run time that a task may declare, in milliseconds."""

MAX_TIME_MS = 253_402_300_799_000
"""Latest time of a repetition, and longest interval, in milliseconds: the end
of the year 9999 in Unix time."""


def check_job(spec: specs.JobSpec) -> errors.Error | None:
    """Returns an error for one problem of a job, or None if it is valid."""
    problem = _find_problem(spec)
    if problem is None:
        return None
    return errors.Error(
        errors.ErrorKind.BAD_BODY, problem, "correct the job and send it again"
    )


def _find_problem(spec: specs.JobSpec) -> str | None:
    """Describes the first problem of a job; None if there is none."""
    if not spec.steps:
        return "a job needs at least one step"
    for number, step in enumerate(spec.steps):
        problem = _find_step_problem(step, number)
        if problem is not None:
            return f"step {number} {problem}"
    return _find_time_problem(spec) or _find_size_problem(spec)


def _find_time_problem(spec: specs.JobSpec) -> str | None:
    """Describes the first problem of the repetitions; None if there is none."""
    if not 0 <= spec.repetitions <= MAX_TASKS:
        return f"repetitions must be between 0 and {MAX_TASKS}"
    if not 0 <= spec.first_run_ms <= MAX_TIME_MS:
        return f"the first run must be between 0 and {MAX_TIME_MS} ms"
    if not 0 <= spec.interval_ms <= MAX_TIME_MS:
        return f"the interval must be between 0 and {MAX_TIME_MS} ms"
    return None


def _find_size_problem(spec: specs.JobSpec) -> str | None:
    """Describes in what way a job is too large; None if it is not."""
    tasks = sum(step.count for step in spec.steps)
    if tasks > MAX_REPETITION_TASKS:
        return f"the steps may have at most {MAX_REPETITION_TASKS} tasks"
    if tasks * spec.repetitions > MAX_TASKS:
        return f"a job may have at most {MAX_TASKS} tasks"
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"the specification may have at most {MAX_PAYLOAD_BYTES} bytes"
    if _estimate_spec(spec) > MAX_SPEC_BYTES:
        return f"the steps may have at most {MAX_SPEC_BYTES} bytes"
    return None


def _estimate_spec(spec: specs.JobSpec) -> int:
    """Returns the most bytes that the submission takes when it is stored."""
    size = len(spec.payload.encode())
    for step in spec.steps:
        texts = (step.image, step.label, step.data_rack)
        size += STEP_BYTES + DEPENDENCY_BYTES * len(step.after)
        size += sum(len(text.encode()) for text in texts)
    return size


def _find_step_problem(step: specs.StepSpec, number: int) -> str | None:
    """Describes the first problem of a step; None if there is none."""
    if step.count < 1:
        return "needs at least one task"
    if step.gang and step.count > MAX_GANG_TASKS:
        return f"is a gang of more than {MAX_GANG_TASKS} tasks"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "depends on a step that is not before it"
    if not 0 <= step.estimate_ms <= MAX_ESTIMATE_MS:
        return f"must declare a run time of 0 to {MAX_ESTIMATE_MS} ms"
    amounts = (
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.max_per_worker,
        step.target_latency_ms,
        step.may_miss,
    )
    if any(not 0 <= amount <= MAX_AMOUNT for amount in amounts):
        return f"has an amount that is not between 0 and {MAX_AMOUNT}"
    return None
