"""State transitions of jobs, steps and tasks."""

import datetime

from gypsumhold.decisions.jobs import progress_records, repetitions
from gypsumhold.decisions.jobs.run_bounds import settled_starts
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    messages,
    progress,
    records,
    runs,
    scheduler,
    specs,
    storage,
)

# Upper bound on the age that a newly added job is given. Ages come from the
# wall clock of another process, which may differ from the local one.
MAX_AGE = datetime.timedelta(seconds=60)
ZERO = datetime.timedelta(0)


def add_job(
    holder_state: scheduler.HolderState,
    rows: storage.JobRows,
    now: datetime.timedelta,
) -> progress.Job | None:
    """Adds a job to the memory of the holder.

    Its stored progress and cancellation are applied. A job that has ended is
    added too; an open one is also listed in `open_jobs`, and its due
    repetitions are opened. Adding a job makes a planning pass due.

    Returns:
        The new job, or None if `rows` has no submission or the job is already
        in memory.

    Raises:
        ValueError: The progress does not fit the submission. The state of the
            holder is unchanged.
    """
    spec = rows.spec
    if spec is None:
        return None
    replaces_ended_job = rows.progress is None and _is_being_deleted(
        holder_state, spec.job_id
    )
    if spec.job_id in holder_state.jobs and not replaces_ended_job:
        return None
    # The job is registered once it is complete: of a record that cannot be
    # applied, no part is left that could be stored in place of the record.
    job = progress.Job(spec, now - _compute_age(holder_state, spec, now))
    if rows.progress is not None:
        progress_records.restore_progress(job, rows.progress, now)
    if job.is_open():
        open_repetitions(holder_state, job, now)
    _register_job(holder_state, job)
    if replaces_ended_job:
        # The progress of the ended job may still be stored.
        holder_state.deletable_progress.discard(spec.job_id)
        mark_dirty(holder_state, job)
    if rows.cancelled:
        cancel_job(holder_state, job, now)
    holder_state.run_waits.touched.add(spec.job_id)
    holder_state.plan_due = True
    return job


def _register_job(
    holder_state: scheduler.HolderState, job: progress.Job
) -> None:
    """Adds a job to the holder's state.

    Its placed tasks become orphans of their instances until these report.
    """
    job_id = job.spec.job_id
    holder_state.jobs[job_id] = job
    if not job.is_open():
        return
    holder_state.open_jobs[job_id] = job
    for step in job.steps:
        for index, task in enumerate(step.tasks):
            if task.is_placed():
                ref = build_task_ref(job, step, index)
                orphans = holder_state.orphans.setdefault(task.instance, {})
                orphans[ref] = scheduler.PlacedTask(job, step, task)
                settled_starts.restore(holder_state, orphans[ref], ref)


def _is_being_deleted(
    holder_state: scheduler.HolderState, job_id: specs.JobId
) -> bool:
    """Tells whether an ended job is being deleted; its id may be used again."""
    batch = holder_state.in_flight
    return (
        job_id in holder_state.deleting_submissions
        or job_id in holder_state.deletable_progress
        or (batch is not None and job_id in batch.removed_progress)
    )


def remove_job(
    holder_state: scheduler.HolderState, job_id: specs.JobId
) -> None:
    """Removes a job whose progress was deleted, unless its id is used again."""
    job = holder_state.jobs.get(job_id)
    if job is not None and not job.is_open():
        del holder_state.jobs[job_id]
        holder_state.dirty.pop(job_id, None)


def _compute_age(
    holder_state: scheduler.HolderState,
    spec: specs.JobSpec,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the time since the submission, between 0 and `MAX_AGE`."""
    wall_ms = to_ms(now) + holder_state.wall_offset_ms
    age = datetime.timedelta(milliseconds=wall_ms - spec.submitted_ms)
    return min(max(age, datetime.timedelta(0)), MAX_AGE)


def to_ms(time: datetime.timedelta) -> int:
    """Converts a time to whole milliseconds, rounded down."""
    return time // datetime.timedelta(milliseconds=1)


def build_task_ref(
    job: progress.Job, step: progress.Step, index: int
) -> runs.TaskRef:
    """Returns the reference to the task with this index within its step."""
    return runs.TaskRef(job.spec.job_id, step.repetition, step.number, index)


def open_repetitions(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> None:
    """Adds the steps of every repetition that is due, and opens steps."""
    spec = job.spec
    wall_ms = to_ms(now) + holder_state.wall_offset_ms
    while job.next_repetition < max(1, spec.repetitions):
        due_ms = spec.first_run_ms + job.next_repetition * spec.interval_ms
        if spec.repetitions and due_ms > wall_ms:
            break
        repetitions.add_repetition(job)
        holder_state.run_waits.touched.add(spec.job_id)
        holder_state.plan_due = True
    repetitions.open_steps(job)


def place_task(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    placed: scheduler.PlacedTask,
    ref: runs.TaskRef,
    now: datetime.timedelta,
) -> None:
    """Assigns the next run of a task to the instance of `view`.

    The run is sent to the agent only after the batch that records the
    placement is stored.
    """
    worker = view.report.worker
    assert worker is not None
    task = placed.task
    task.state = records.TaskState.PLACED
    task.run = runs.RunNumber(task.run + 1)
    task.instance = view.instance
    task.worker_incarnation = worker.incarnation
    task.batch = progress.NOT_STORED
    task.is_start_open = True
    task.reported = False
    task.listed_at = task.age = None
    task.boosted_at = now if task.migrating and task.boosted_at else None
    task.migration_target = None
    task.blocked_since = None
    task.speed_share = 1.0
    task.slow_since = task.halted_since = task.halt_logged_since = None
    task.reading = None
    task.progress_percent = 0
    task.placed_at = task.progressed_at = now
    settled_starts.record_placement(holder_state, placed, ref, now)
    task.worker_reported_at = now
    task.lease_ends_at = task.late_run_ends_at = ZERO
    task.late_start_reporter = None
    task.keeps_end = False
    task.starts_taken_until = None
    task.former_senders = 0
    view.placed[ref] = placed
    view.latest_start_at = now
    if placed.step.is_suspect(task):
        view.probations.append(scheduler.ProbationRun(placed, task.run))
    holder_state.changed_instances.add(view.instance)
    placed.job.unstored_placements.append(task)
    if placed.job.state is messages.JobState.QUEUED:
        placed.job.state = messages.JobState.RUNNING
    mark_dirty(holder_state, placed.job)


def mark_dirty(holder_state: scheduler.HolderState, job: progress.Job) -> None:
    """Schedules the progress of a job for the next batch."""
    holder_state.latest_change += 1
    holder_state.dirty.setdefault(job.spec.job_id, holder_state.latest_change)
    holder_state.run_waits.touched.add(job.spec.job_id)


def release_task(
    holder_state: scheduler.HolderState,
    ref: runs.TaskRef,
    placed: scheduler.PlacedTask,
) -> None:
    """Removes a task from its instance.

    The task becomes ready again, or is closed if its job has ended; a task that
    is done by the end of another run of its gang stays done. The next
    directives stop the other runs of a gang.
    """
    view = holder_state.agents.get(placed.task.instance)
    if view is not None:
        view.placed.pop(ref, None)
        view.candidate = None
    holder_state.changed_instances.add(placed.task.instance)
    _drop_reservation(holder_state, ref, placed.task)
    orphans = holder_state.orphans.get(placed.task.instance)
    if orphans is not None:
        orphans.pop(ref, None)
    is_open = placed.job.is_open()
    if not placed.task.is_done():
        placed.task.state = (
            records.TaskState.READY if is_open else records.TaskState.CLOSED
        )
    placed.task.reported = False
    if placed.step.spec.gang:
        holder_state.changed_instances.update(
            task.instance for task in placed.step.tasks if task.is_placed()
        )
    holder_state.plan_due = True
    mark_dirty(holder_state, placed.job)


def _drop_reservation(
    holder_state: scheduler.HolderState, ref: runs.TaskRef, task: progress.Task
) -> None:
    """Gives back the capacity that is reserved for a migrating task."""
    if task.migration_target is None:
        return
    view = holder_state.agents.get(task.migration_target)
    if view is not None and view.expected.pop(ref, None) is not None:
        view.candidate = None


def cancel_job(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> None:
    """Closes a job as cancelled, unless it has already ended."""
    if job.is_open():
        close_job(holder_state, job, messages.JobState.CANCELLED, now)


def close_job(
    holder_state: scheduler.HolderState,
    job: progress.Job,
    state: messages.JobState,
    now: datetime.timedelta,
) -> None:
    """Ends a job; the next directives stop the runs that are left."""
    job.state = state
    job.ended_at = now
    holder_state.open_jobs.pop(job.spec.job_id, None)
    for step in job.steps:
        for task in step.tasks:
            if task.state is records.TaskState.READY:
                task.state = records.TaskState.CLOSED
            elif task.is_placed():
                holder_state.changed_instances.add(task.instance)
    holder_state.plan_due = True
    mark_dirty(holder_state, job)


def list_unreported_instances(
    holder_state: scheduler.HolderState,
) -> list[ids.InstanceId]:
    """Returns the instances with orphans: placed tasks, no report this term."""
    return [name for name, tasks in holder_state.orphans.items() if tasks]
