"""The work of the entry that holds the queue, apart from its plans.

The holder reads all jobs after it has taken the queue, follows submissions and
cancellations, and has periodic work. It places the runs of an instance that
does not report to it only after every grant of the former holder has expired.
"""

import datetime

from gypsumhold.decisions.jobs import (
    interference,
    lifecycle,
    lost_workers,
    starvation,
    wait_logs,
    waits,
)
from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, timers
from gypsumhold.model.jobs import (
    effects,
    events,
    runs,
    scheduler,
    specs,
    storage,
)

ZERO = datetime.timedelta(0)

MAX_DELETED_SUBMISSIONS = 40
"""Most submissions deleted by one transaction; each has two rows."""

MAX_LISTED_TASKS = 12
"""Most tasks that a line of the log names."""

LOAD_RETRY_DELAY = datetime.timedelta(milliseconds=300)
FOLLOW_RETRY_DELAY = datetime.timedelta(milliseconds=200)

TICK_TIMER = timers.Timer(timers.TimerKind.HOLDER_TICK)
TICK_INTERVAL = datetime.timedelta(milliseconds=200)

EffectList = list[base_effects.Effect]


def handle_jobs_loaded(
    state: scheduler.SchedulerState,
    event: events.JobsLoaded,
    now: datetime.timedelta,
) -> EffectList:
    """Adds the loaded jobs and follows changes from there on.

    Called after a takeover, where it starts the scheduling, and during a term
    after a gap in the history of changes.
    """
    holder_state = state.holder_state
    if holder_state is None or event.term != holder_state.term:
        return []
    if event.loaded is None:
        holder_state.load_failed = True
        return [effects.LoadJobs(holder_state.term, LOAD_RETRY_DELAY)]
    holder_state.wall_offset_ms = event.wall_ms - lifecycle.to_ms(now)
    holder_state.left_out_jobs.update(event.loaded.unreadable)
    emitted: EffectList = []
    for rows in event.loaded.jobs:
        emitted += add_stored_job(holder_state, rows, now)
    # During a term, jobs are added and placed while the rows are being read, so
    # progress without a submission in the reply may belong to a new job.
    holder_state.deletable_progress.update(
        job_id
        for job_id in event.loaded.leftover_progress
        if job_id not in holder_state.jobs
    )
    holder_state.next_read_version = max(
        holder_state.next_read_version, event.loaded.version
    )
    if state.role is not scheduler.Role.HOLDER:
        emitted += waits.begin_at_takeover(holder_state, now)
    state.role = scheduler.Role.HOLDER
    inputs = (
        ("term", str(holder_state.term)),
        ("jobs", str(len(holder_state.jobs))),
        ("open", str(len(holder_state.open_jobs))),
        ("row_version", str(event.loaded.version)),
    )
    return [
        *emitted,
        effects.Log("jobs-loaded", state.options.name, "scheduling", inputs),
        effects.FollowJobs(holder_state.term, holder_state.next_read_version),
    ]


def add_stored_job(
    holder_state: scheduler.HolderState,
    rows: storage.JobRows,
    now: datetime.timedelta,
) -> EffectList:
    """Adds a job from its rows; leaves it out if that raises an exception.

    One faulty row must not keep the other jobs from being read.
    """
    spec = rows.spec
    job_id = specs.JobId("") if spec is None else spec.job_id
    try:
        lifecycle.add_job(holder_state, rows, now)
        if rows.cancelled and spec is not None:
            lifecycle.cancel_job(
                holder_state, holder_state.jobs[spec.job_id], now
            )
    except Exception as problem:
        holder_state.left_out_jobs.add(job_id)
        inputs = (("problem", repr(problem)),)
        return [effects.Log("job-left-out", job_id, "delete its row", inputs)]
    holder_state.left_out_jobs.discard(job_id)
    return []


def handle_jobs_changed(
    state: scheduler.SchedulerState,
    event: events.JobsChanged,
    now: datetime.timedelta,
) -> EffectList:
    """Applies new submissions and cancellations; requests the next ones."""
    holder_state = state.holder_state
    if holder_state is None or event.term != holder_state.term:
        return []
    changes = event.changes
    if changes is None:
        return [
            effects.FollowJobs(
                holder_state.term,
                holder_state.next_read_version,
                FOLLOW_RETRY_DELAY,
            )
        ]
    if changes.gap:
        log = effects.Log("history-lost", state.options.name, "read all jobs")
        return [log, effects.LoadJobs(holder_state.term)]
    holder_state.wall_offset_ms = event.wall_ms - lifecycle.to_ms(now)
    emitted: EffectList = []
    for spec in changes.submitted:
        emitted += add_stored_job(holder_state, storage.JobRows(spec), now)
    for job_id in changes.cancelled:
        job = holder_state.jobs.get(job_id)
        if job is not None:
            lifecycle.cancel_job(holder_state, job, now)
    holder_state.next_read_version = max(
        holder_state.next_read_version, changes.version
    )
    return [
        *emitted,
        effects.FollowJobs(holder_state.term, holder_state.next_read_version),
    ]


def handle_tick_timer(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Runs the periodic work of the holder.

    Releases the tasks of instances whose grants have expired, opens due
    repetitions, deletes old jobs and updates the interference estimates. While
    jobs are open, a plan becomes due, because some placements depend on time.
    """
    holder_state = state.holder_state
    if holder_state is None:
        return []
    emitted: EffectList = [base_effects.SetTimer(TICK_TIMER, TICK_INTERVAL)]
    if state.role is not scheduler.Role.HOLDER:
        return emitted
    if now >= expiries.compute_former_grant_expiry(state, holder_state):
        for instance in lifecycle.list_unreported_instances(holder_state):
            unheard = expiries.list_unheard_runs(
                state, holder_state, holder_state.orphans[instance], now
            )
            if unheard:
                emitted += release_tasks(
                    holder_state, instance, unheard, "unheard", now
                )
        for view in holder_state.agents.values():
            emitted += _release_silent_runs(state, holder_state, view, now)
    for job in list(holder_state.open_jobs.values()):
        if job.next_repetition < job.spec.repetitions:
            lifecycle.open_repetitions(holder_state, job, now)
    emitted += _delete_old_submissions(state, holder_state, now)
    combined = interference.sum_by_pair(
        view.interference_sums.values() for view in holder_state.agents.values()
    )
    holder_state.cautious_estimates = {
        pair: interference.estimate_cautious(sums.moment, sums.weight)
        for pair, sums in combined.items()
    }
    holder_state.optimistic_estimates = {
        pair: interference.estimate_optimistic(sums.moment, sums.weight)
        for pair, sums in combined.items()
    }
    holder_state.migrations_due = True
    holder_state.plan_due = holder_state.plan_due or bool(
        holder_state.open_jobs
    )
    return [*emitted, *wait_logs.sample(holder_state, now)]


def _release_silent_runs(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> EffectList:
    """Releases the tasks of an instance whose worker was not reported."""
    silent_runs = expiries.list_silent_runs(state, view, now)
    if not silent_runs:
        return []
    return release_tasks(
        holder_state, view.instance, silent_runs, "silent", now
    )


def release_tasks(
    holder_state: scheduler.HolderState,
    instance: ids.InstanceId,
    tasks: dict[runs.TaskRef, scheduler.PlacedTask],
    reason: str,
    now: datetime.timedelta,
) -> EffectList:
    """Releases tasks of an instance whose runs have certainly ended.

    The waits of their jobs count from before their loss became known.
    """
    log = effects.Log(
        "runs-lapsed",
        instance,
        "placed again",
        (
            ("reason", reason),
            ("runs", str(len(tasks))),
            ("tasks", ",".join(map(str, list(tasks)[:MAX_LISTED_TASKS]))),
        ),
    )
    lost_workers.remember(holder_state, instance, tasks)
    view = holder_state.agents.get(instance)
    released = dict(tasks)
    for ref, placed in released.items():
        lifecycle.release_task(holder_state, ref, placed)
    tasks.clear()
    emitted: EffectList = [log]
    for ref, placed in released.items():
        lost_at = _estimate_loss(view, placed, now)
        emitted += waits.begin_at_loss(
            holder_state, placed.job, ref, lost_at, now
        )
    return emitted


def _estimate_loss(
    view: scheduler.AgentView | None,
    placed: scheduler.PlacedTask,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Returns since when a run without a listed end counts as lost.

    That is when its worker was last known to answer, but no earlier than the
    longest delay of the placement policy before now: no more is needed for its
    job to be placed at once.
    """
    lost_at = placed.task.worker_reported_at
    loss = None if view is None else view.loss
    if loss and loss.incarnation == placed.task.worker_incarnation:
        lost_at = min(lost_at, loss.at)
    return max(lost_at, now - starvation.MAX_PLACEMENT_DELAY)


def _delete_old_submissions(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Deletes the submissions of jobs that ended before the retention time.

    Their progress is deleted in a later batch: the next holder would run a
    submission without progress again.
    """
    if holder_state.deleting_submissions:
        return []
    expired = [
        job_id
        for job_id, job in holder_state.jobs.items()
        if not job.is_open()
        and job_id not in holder_state.deletable_progress
        and now >= job.ended_at + state.options.retention
    ]
    if not expired:
        return []
    job_ids = tuple(expired[:MAX_DELETED_SUBMISSIONS])
    holder_state.deleting_submissions.update(job_ids)
    return [effects.DeleteSubmissions(holder_state.term, job_ids)]


def handle_submissions_deleted(
    state: scheduler.SchedulerState,
    event: events.SubmissionsDeleted,
    _now: datetime.timedelta,
) -> EffectList:
    """Lets the progress of jobs be deleted once their submissions are."""
    holder_state = state.holder_state
    if holder_state is None or event.term != holder_state.term:
        return []
    holder_state.deleting_submissions.clear()
    if event.result is storage.WriteResult.STORED:
        holder_state.deletable_progress.update(
            job_id
            for job_id in event.job_ids
            if job_id not in holder_state.open_jobs
        )
    return []
