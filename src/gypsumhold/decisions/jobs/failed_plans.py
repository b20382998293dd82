"""Sets jobs aside for which a plan failed, each time for longer."""

import datetime

from gypsumhold.decisions.jobs import lifecycle, ready_tasks, waits
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, progress, scheduler
from gypsumhold.model.jobs.waits import WaitStage

FIRST_DELAY = datetime.timedelta(milliseconds=250)
"""Time until a plan looks again at a job for which one failed. What failed may
have been about one moment, and no job may be without a run for long."""

MAX_DELAY = datetime.timedelta(seconds=2)
"""Longest such time; each failure in a row doubles it. Once the cause is gone,
this and the start of a run stay below `starvation.MAX_TIME_WITHOUT_RUN`."""


def set_aside(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    problem: Exception,
    now: datetime.timedelta,
) -> list[base_effects.Effect]:
    """Leaves a job out of plans for a time, so that others can be placed.

    Tasks that were placed already go on. A job that fails each time has a line
    in the log only while the delay grows, and for each other problem.

    Returns:
        The log line, if there is one.
    """
    former = job.set_aside
    delay = FIRST_DELAY if former is None else former.delay * 2
    delay = min(delay, MAX_DELAY)
    job.set_aside = progress.SetAside(repr(problem), delay, now + delay)
    _note_obstacles(holder_state, job)
    if former is not None and (former.problem, former.delay) == (
        job.set_aside.problem,
        delay,
    ):
        return []
    inputs = (
        ("problem", job.set_aside.problem),
        ("again_ms", str(lifecycle.to_ms(delay))),
    )
    return [
        effects.Log("job-set-aside", job.spec.job_id, "planned later", inputs)
    ]


def _note_obstacles(
    holder_state: scheduler.HolderState, job: progress.Job
) -> None:
    """Records why the job and its long-running tasks wait."""
    waits.note_obstacle(holder_state, job, WaitStage.SET_ASIDE)
    for step, index in ready_tasks.iterate_ready_tasks(job):
        if step.spec.long_running:
            ref = lifecycle.build_task_ref(job, step, index)
            waits.note_obstacle(holder_state, job, WaitStage.SET_ASIDE, ref)
