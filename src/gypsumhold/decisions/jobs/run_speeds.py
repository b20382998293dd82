"""Tells in the log when a run stops working and when it works again.

A run hardly works while it is throttled to next to nothing, or while its worker
is that slow. The line names the run, which the lines about the throttling of a
worker do not.
"""

import datetime

from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, runs, scheduler

LOGGED_HALT = datetime.timedelta(seconds=1)
"""Shortest time without work that the log tells about."""

EffectList = list[base_effects.Effect]


def log_change(
    ref: runs.TaskRef, placed: scheduler.PlacedTask, now: datetime.timedelta
) -> EffectList:
    """Returns a line if a listed run has stopped working or works again.

    There is one line for each such change, so a run that stands still writes no
    more lines. Tasks that run until their job is cancelled report no CPU use.
    """
    if placed.step.spec.long_running:
        return []
    task = placed.task
    if task.halted_since is None:
        logged_since, task.halt_logged_since = task.halt_logged_since, None
        if logged_since is None:
            return []
        return [_build_line(ref, placed, "works", now - logged_since)]
    halted = now - task.halted_since
    if task.halt_logged_since is not None or halted < LOGGED_HALT:
        return []
    task.halt_logged_since = task.halted_since
    return [_build_line(ref, placed, "halted", halted)]


def _build_line(
    ref: runs.TaskRef,
    placed: scheduler.PlacedTask,
    outcome: str,
    halted: datetime.timedelta,
) -> effects.Log:
    task = placed.task
    halted_ms = halted // datetime.timedelta(milliseconds=1)
    inputs = (
        ("task", str(ref)),
        ("run", str(task.run)),
        ("instance", task.instance),
        ("speed", f"{task.speed_share:.2f}"),
        ("percent", str(task.progress_percent)),
        ("halted_ms", str(halted_ms)),
        ("gives_way", str(placed.job.gives_way).lower()),
    )
    return effects.Log("speed", ref.job_id, outcome, inputs)
