"""Tells in the log and the metrics about jobs and tasks without a run."""

import datetime

from gypsumhold.decisions.jobs import lifecycle, starvation
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, scheduler, waits

EffectList = list[base_effects.Effect]

LOGGED_WAIT = datetime.timedelta(seconds=1)
"""Shortest wait that the log tells about."""

MAX_LINES_PER_TICK = 20
"""Most lines between two ticks about waits within the limit, so that a full
fleet, in which all jobs wait, does not flood the log."""


def sample(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> EffectList:
    """Returns metrics of the present waits, and log lines of the long ones.

    Each wait is logged once it is long and once it exceeds the limit, the
    longest waits first. Lines beyond `MAX_LINES_PER_TICK` follow later.
    """
    run_waits = holder_state.run_waits
    run_waits.lines_left = MAX_LINES_PER_TICK
    present = run_waits.list_all()
    longest = max((wait.measure(now) for wait in present), default=waits.ZERO)
    emitted: EffectList = [effects.SampleWaits(longest, len(present))]
    for wait in sorted(present, key=lambda wait: wait.since):
        waited = wait.measure(now)
        if waited < LOGGED_WAIT:
            break
        if _is_overdue(wait, now) and not wait.is_overdue_logged:
            wait.is_logged = wait.is_overdue_logged = True
            emitted += log_wait(holder_state, wait, "overdue", now)
        elif not wait.is_logged and run_waits.lines_left:
            wait.is_logged = True
            emitted += log_wait(holder_state, wait, "no run", now)
    return emitted


def _is_overdue(wait: waits.RunWait, now: datetime.timedelta) -> bool:
    return wait.measure(now) >= starvation.MAX_TIME_WITHOUT_RUN


def log_wait(
    holder_state: scheduler.HolderState,
    wait: waits.RunWait,
    outcome: str,
    now: datetime.timedelta,
) -> EffectList:
    """Returns the log line of a wait, unless there were too many.

    None is left out of a wait without a run that exceeds the limit.
    """
    run_waits = holder_state.run_waits
    is_halted = wait.stage is waits.WaitStage.HALTED
    if is_halted or not _is_overdue(wait, now):
        if not run_waits.lines_left:
            run_waits.lines_dropped += 1
            return []
        run_waits.lines_left -= 1
    inputs = [
        ("waited_ms", str(lifecycle.to_ms(wait.measure(now)))),
        ("stage", wait.stage.value),
        *(
            (f"{stage.name.lower()}_ms", str(lifecycle.to_ms(time)))
            for stage, time in wait.list_spent(now).items()
            if time
        ),
    ]
    if wait.task is not None:
        inputs.insert(0, ("task", str(wait.task)))
    if run_waits.lines_dropped:
        inputs.append(("left_out", str(run_waits.lines_dropped)))
        run_waits.lines_dropped = 0
    return [effects.Log("wait", wait.job_id, outcome, tuple(inputs))]
