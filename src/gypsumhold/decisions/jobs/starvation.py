"""Owns the limit on the time that no run of a job, or lasting task, works.

Every part on the way to a run asks here whether a job has waited for too long:
plans place such a job first and anywhere, batches store it first, and its agent
starts it at once. A job of which all runs are halted gets one of them to work
(`boosts`). `waits` follows the waits.
"""

import datetime
from collections.abc import Iterable

from gypsumhold.model.jobs import (
    messages,
    progress,
    runs,
    scheduler,
    specs,
    waits,
)

MAX_TIME_WITHOUT_RUN = datetime.timedelta(seconds=3)
"""Longest time that a job may be without a run while workers have room."""

START_TIME = datetime.timedelta(milliseconds=700)
"""Time for a stored start to reach its agent, to be carried out and to be
reported. If it takes longer, another task of the job is placed elsewhere."""

LOST_CALL_TIME = datetime.timedelta(seconds=1)
"""Time until a start command whose answer is lost counts as in doubt, or until
the answer to a report repeats a start whose push was lost."""

HALTED_DELAY = datetime.timedelta(milliseconds=600)
"""Time without a run that works after which a job of which all runs are halted
gets one of them to work. A report tells of the halt up to a second late, and
it takes about as long to go on elsewhere."""

BOOST_TIME = datetime.timedelta(milliseconds=1500)
"""Time in which a boosted run has to work: the next report of its agent brings
it the new order, and its worker tells the speed of the last half second."""

MAX_PLACEMENT_DELAY = MAX_TIME_WITHOUT_RUN - START_TIME - LOST_CALL_TIME
"""Longest time without a run after which a job gets one wherever there is
capacity, regardless of the placement policy."""

FIRST_RUN_SHARE = 0.25
"""Share of the time until a job is starved after which its first run goes
before further runs of other jobs. A slow plan takes longer than that."""

BATCHES_BEFORE_START = 2
"""Batches that may pass before a start is sent: the one in flight, before which
no plan is made, and the one with the placement."""

BATCH_TIME_WEIGHT = 0.25
"""Weight of the latest batch in the mean time of a batch that gets shorter."""

URGENT_PER_OTHER = 3
"""Jobs without a run that go into a batch for each other job. The others must
not starve: ends are acknowledged in the order of the changes."""


def note_batch_time(
    holder_state: scheduler.HolderState, batch_time: datetime.timedelta
) -> None:
    """Updates the time that a batch takes; a longer one counts at once."""
    run_waits = holder_state.run_waits
    mean = run_waits.batch_time
    run_waits.batch_time = max(
        batch_time, mean + (batch_time - mean) * BATCH_TIME_WEIGHT
    )


def note_placement(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> None:
    """Records that a task of a job is placed, so that a run is expected."""
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    if wait is not None:
        wait.placed_at = now


def is_starved(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a job has been without a run for too long."""
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    return wait is not None and _is_long(holder_state, wait, now)


def is_long_running_starved(
    holder_state: scheduler.HolderState,
    ref: runs.TaskRef,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a long-running task has been without a run for too long."""
    wait = holder_state.run_waits.tasks.get(ref)
    return wait is not None and _is_long(holder_state, wait, now)


def is_halted(holder_state: scheduler.HolderState, job: progress.Job) -> bool:
    """Tells whether a job waits, and has no more than runs that are halted."""
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    return wait is not None and wait.stage is waits.WaitStage.HALTED


def must_work(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a job has to lose work so that one of its runs works.

    A start elsewhere would come too late if it waited any longer.
    """
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    if wait is None:
        return False
    return wait.measure(now) >= MAX_TIME_WITHOUT_RUN - START_TIME


def order_boosts(
    halted: Iterable[progress.Job], now: datetime.timedelta
) -> list[progress.Job]:
    """Returns the halted jobs for which a boost is due.

    The one for which none was looked for the longest comes first, so that jobs
    that no worker lets work do not keep the others from their turn.
    """
    due = [job for job in halted if now >= job.boost_due_at]
    return sorted(due, key=lambda job: job.boost_tried_at)


def must_know_start(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> bool:
    """Tells whether the next regular report would tell too late of a start.

    Until the holder knows of it, the job counts as waiting. Once it is starved,
    another task of it is placed against the policy.
    """
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    if wait is None:
        return False
    left = _compute_placement_delay(holder_state) - wait.measure(now)
    return left <= messages.REPORT_INTERVAL


def is_first_run_due(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a first run of a job goes before further runs of others.

    Until then the order of the policy keeps urgent jobs on time.
    """
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    if wait is None:
        return False
    delay = _compute_placement_delay(holder_state) * FIRST_RUN_SHARE
    return wait.measure(now) >= delay


def find_first_run_deadline(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Returns until when a job without a run may wait for a better worker.

    From then on its first run is due. The wait of a job that has just been
    added has not begun yet; it counts from now.
    """
    wait = holder_state.run_waits.jobs.get(job.spec.job_id)
    since = now if wait is None else wait.since
    return since + _compute_placement_delay(holder_state) * FIRST_RUN_SHARE


def list_starved_jobs(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> list[progress.Job]:
    """Returns the jobs that need a run at once, the longest wait first."""
    starved = [
        wait
        for wait in holder_state.run_waits.jobs.values()
        if wait.job_id in holder_state.open_jobs
        and _is_long(holder_state, wait, now)
        and not _is_start_expected(holder_state, wait, now)
    ]
    return [
        holder_state.open_jobs[wait.job_id]
        for wait in sorted(starved, key=lambda wait: wait.since)
    ]


def order_changed_jobs(
    holder_state: scheduler.HolderState,
) -> list[specs.JobId]:
    """Returns the jobs to store, those that wait for a start before others.

    Those without a run that have a placement to store come by the length of
    their waits, and after a few of them the job with the oldest change.
    """
    since: dict[specs.JobId, datetime.timedelta] = {}
    for wait in holder_state.run_waits.list_all():
        job = holder_state.open_jobs.get(wait.job_id)
        if wait.job_id not in holder_state.dirty or job is None:
            continue
        if job.unstored_placements:
            earlier = since.get(wait.job_id, wait.since)
            since[wait.job_id] = min(earlier, wait.since)
    urgent = sorted(since, key=lambda job_id: since[job_id])
    others = [job_id for job_id in holder_state.dirty if job_id not in since]
    ordered: list[specs.JobId] = []
    for position, job_id in enumerate(others):
        start = position * URGENT_PER_OTHER
        ordered += urgent[start : start + URGENT_PER_OTHER]
        ordered.append(job_id)
    return [*ordered, *urgent[len(others) * URGENT_PER_OTHER :]]


def _is_long(
    holder_state: scheduler.HolderState,
    wait: waits.RunWait,
    now: datetime.timedelta,
) -> bool:
    delay = _compute_placement_delay(holder_state)
    if wait.stage is waits.WaitStage.HALTED:
        delay = min(delay, HALTED_DELAY)
    return wait.measure(now) >= delay


def _compute_placement_delay(
    holder_state: scheduler.HolderState,
) -> datetime.timedelta:
    """Returns the time without a run after which a job is placed anywhere.

    What is left of the limit has to suffice for the batches and the start.
    """
    rest = holder_state.run_waits.batch_time * BATCHES_BEFORE_START
    left = MAX_TIME_WITHOUT_RUN - START_TIME - rest
    return max(min(left, MAX_PLACEMENT_DELAY), waits.ZERO)


def _is_start_expected(
    holder_state: scheduler.HolderState,
    wait: waits.RunWait,
    now: datetime.timedelta,
) -> bool:
    """Tells whether the latest placement may still lead to a run in time."""
    if wait.placed_at is None or wait.stage not in waits.PLACED_STAGES:
        return False
    time = holder_state.run_waits.batch_time + START_TIME
    return now < wait.placed_at + time
