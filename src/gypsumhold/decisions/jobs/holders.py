"""Election of the entry that holds the queue, and the holder's periodic work.

One entry at a time holds the queue, which stands for the jobs of all configured
queues, and places their tasks. The holder rewrites its row with each batch. An
entry that sees the row unchanged for `takeover_delay` replaces it by a row with
its own name and a higher term, on condition that the row is still the same.
From then on the conditional writes of the former holder fail.

The work of the holder grows with the fleet, and entries run on instances of
different sizes. So an entry with several times the processor capacity of the
holder takes the queue from it, and a smaller entry lets larger ones go first.

The new holder places the runs of an instance that does not report again only
after every grant of the former holder has expired.
"""

import datetime

from gypsumhold.decisions.jobs import interference, lifecycle, store_health
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, timers
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    records,
    runs,
    scheduler,
    storage,
)

ZERO = datetime.timedelta(0)

MAX_DELETED_SUBMISSIONS = 40
"""Most submissions deleted by one transaction; each has two rows."""

LOAD_RETRY_DELAY = datetime.timedelta(milliseconds=300)
FOLLOW_RETRY_DELAY = datetime.timedelta(milliseconds=200)

GRANT_MARGIN = datetime.timedelta(milliseconds=300)
"""Allows for the drift between two clocks during a grant."""

LARGER_FACTOR = 1.5
"""Ratio of processor capacities from which one entry counts as larger."""

SMALLER_ENTRY_DELAY = datetime.timedelta(milliseconds=1000)
"""How long an entry leaves a free queue to entries as large as its former
holder; longer than two polls of the holder's row."""

POLL_TIMER = timers.Timer(timers.TimerKind.HOLDER_POLL)
TICK_TIMER = timers.Timer(timers.TimerKind.HOLDER_TICK)
REGISTER_TIMER = timers.Timer(timers.TimerKind.REGISTER)
TICK_INTERVAL = datetime.timedelta(milliseconds=200)
REGISTER_RETRY_DELAY = datetime.timedelta(seconds=1)

EffectList = list[base_effects.Effect]


def handle_started(
    state: scheduler.SchedulerState, _now: datetime.timedelta
) -> EffectList:
    """Starts to read the configuration and the holder's row, and registers."""
    return [
        effects.FollowConfig(ids.RowVersion(0)),
        effects.ReadHolder(),
        _build_registration(state),
    ]


def _build_registration(
    state: scheduler.SchedulerState,
) -> effects.RegisterEntry:
    """Returns the write that lets agents find this entry."""
    return effects.RegisterEntry(
        records.EntryRecord(
            records.FORMAT, state.options.name, state.options.endpoint
        )
    )


def retry_registration(state: scheduler.SchedulerState) -> EffectList:
    """Repeats the registration of this entry if it has not succeeded."""
    return [] if state.registered else [_build_registration(state)]


def handle_entry_registered(
    state: scheduler.SchedulerState, event: events.EntryRegistered
) -> EffectList:
    """Records the result of a registration; schedules a retry if it failed."""
    state.registered = event.result is storage.WriteResult.STORED
    if state.registered:
        return []
    return [base_effects.SetTimer(REGISTER_TIMER, REGISTER_RETRY_DELAY)]


def handle_poll_timer(state: scheduler.SchedulerState) -> EffectList:
    """Reads the holder's row if this scheduler is a follower."""
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    return [effects.ReadHolder()]


def _schedule_poll(state: scheduler.SchedulerState) -> EffectList:
    """Sets the timer of the next read, with jitter of 20 percent."""
    jitter = 0.8 + 0.4 * state.rng.random()
    return [
        base_effects.SetTimer(POLL_TIMER, state.options.poll_interval * jitter)
    ]


def handle_holder_read(
    state: scheduler.SchedulerState,
    event: events.HolderRead,
    now: datetime.timedelta,
) -> EffectList:
    """Records the holder's row; tries to take a queue without a live holder."""
    emitted = store_health.record_call(state, event.row is not None, now)
    return [*emitted, *_apply_holder_read(state, event, now)]


def _apply_holder_read(
    state: scheduler.SchedulerState,
    event: events.HolderRead,
    now: datetime.timedelta,
) -> EffectList:
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    row = event.row
    if row is None:
        # While the store does not answer, an unchanged row does not show that
        # the holder is gone: restart the takeover delay.
        state.holder_seen_at = now
        return _schedule_poll(state)
    emitted: EffectList = []
    if state.holder_row is None or row.version != state.holder_row.version:
        emitted += _log_holder_change(state, row)
        state.holder_seen_at = now
    state.holder_row = row
    free = _is_queue_free(state, row, now)
    state.replacing_live_holder = not free and _is_holder_small(state, row)
    if not free and not state.replacing_live_holder:
        return [*emitted, *_schedule_poll(state)]
    return [*emitted, *_take_queue(state, row, now)]


def _log_holder_change(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> EffectList:
    old = None if state.holder_row is None else state.holder_row.record
    new = row.record
    if new is None or (old is not None and old.term == new.term):
        return []
    inputs = (("term", str(new.term)), ("row_version", str(row.version)))
    return [effects.Log("holder-changed", new.holder, "followed", inputs)]


def _is_queue_free(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> bool:
    """Tells whether the queue has no holder, or one that seems to be gone.

    An entry that is much smaller than the last holder waits a little longer.
    """
    record = row.record
    if record is None:
        return True
    # An earlier incarnation of this entry may have held the queue.
    is_released = record.holder in {"", state.options.name}
    delay = ZERO if is_released else state.options.takeover_delay
    if record.cores >= state.options.cores * LARGER_FACTOR:
        delay += SMALLER_ENTRY_DELAY
    return now >= state.holder_seen_at + delay


def _is_holder_small(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> bool:
    """Tells whether this entry is larger than the holder."""
    record = row.record
    return (
        record is not None
        and record.cores > 0
        and state.options.cores >= record.cores * LARGER_FACTOR
    )


def _take_queue(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> EffectList:
    """Returns the conditional write that makes this entry the holder."""
    term = ids.Epoch(1 if row.record is None else row.record.term + 1)
    options = state.options
    state.role = scheduler.Role.TAKING
    holder = records.HolderRecord(
        records.FORMAT,
        term,
        options.name,
        options.incarnation,
        options.endpoint,
        0,
        options.cores,
    )
    entry = records.EntryRecord(
        records.FORMAT, options.name, options.endpoint, True, term
    )
    age = lifecycle.to_ms(now - state.holder_seen_at)
    inputs = (
        ("term", str(term)),
        ("unchanged_ms", str(age)),
        ("cores", str(options.cores)),
        (
            "former_cores",
            "none" if row.record is None else str(row.record.cores),
        ),
    )
    return [
        effects.Log("take-queue", options.name, "tried", inputs),
        effects.TakeQueue(row.version, holder, entry),
    ]


def handle_queue_taken(
    state: scheduler.SchedulerState,
    event: events.QueueTaken,
    now: datetime.timedelta,
) -> EffectList:
    """Loads the jobs after a successful takeover, or follows again."""
    if state.role is not scheduler.Role.TAKING:
        return []
    write = event.write
    if write.result is not storage.WriteResult.STORED:
        # After an unknown result the next read of the row shows the holder.
        state.role = scheduler.Role.FOLLOWER
        state.holder_seen_at = now
        outcome = f"not taken: {write.result.value}"
        log = effects.Log("take-queue", state.options.name, outcome)
        return [log, *_schedule_poll(state)]
    former = None if state.holder_row is None else state.holder_row.record
    term = ids.Epoch(1 if former is None else former.term + 1)
    state.role = scheduler.Role.LOADING
    state.holder_state = scheduler.HolderState(
        term,
        write.version,
        now,
        now,
        replaced_live_holder=state.replacing_live_holder,
    )
    log = effects.Log(
        "take-queue", state.options.name, "taken", (("term", str(term)),)
    )
    return [
        log,
        effects.LoadJobs(term),
        base_effects.SetTimer(TICK_TIMER, TICK_INTERVAL),
    ]


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
        return [effects.LoadJobs(holder_state.term, LOAD_RETRY_DELAY)]
    holder_state.wall_offset_ms = event.wall_ms - lifecycle.to_ms(now)
    emitted: EffectList = []
    for rows in event.loaded.jobs:
        emitted += _add_stored_job(holder_state, rows, now)
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


def _add_stored_job(
    holder_state: scheduler.HolderState,
    rows: storage.JobRows,
    now: datetime.timedelta,
) -> EffectList:
    """Adds a job from its rows; leaves it out if that raises an exception.

    One faulty row must not keep the other jobs from being read.
    """
    spec = rows.spec
    try:
        lifecycle.add_job(holder_state, rows, now)
        if rows.cancelled and spec is not None:
            lifecycle.cancel_job(
                holder_state, holder_state.jobs[spec.job_id], now
            )
    except Exception as problem:
        job_id = "" if spec is None else spec.job_id
        inputs = (("problem", repr(problem)),)
        return [effects.Log("job-left-out", job_id, "delete its row", inputs)]
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
        emitted += _add_stored_job(holder_state, storage.JobRows(spec), now)
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


def handle_queue_lost(
    state: scheduler.SchedulerState,
    current_row: storage.HolderRow | None,
    now: datetime.timedelta,
) -> EffectList:
    """Follows again after another entry has taken the queue.

    Callers that wait for a stored cancellation get an unknown result.
    """
    holder_state = state.holder_state
    assert holder_state is not None
    state.holder_state = None
    state.role = scheduler.Role.FOLLOWER
    state.holder_row = current_row
    state.holder_seen_at = now
    record = None if current_row is None else current_row.record
    name = "" if record is None else record.holder
    log = effects.Log(
        "queue-lost", name, "following", (("term", str(holder_state.term)),)
    )
    emitted: EffectList = [log, *_schedule_poll(state)]
    for ticket_id, ticket in list(state.tickets.items()):
        if ticket.cancelling:
            del state.tickets[ticket_id]
            unknown = messages.Answer(messages.Verdict.UNKNOWN)
            emitted.append(effects.AnswerQuery(ticket_id, unknown))
    return emitted


def compute_former_grant_expiry(
    state: scheduler.SchedulerState, holder_state: scheduler.HolderState
) -> datetime.timedelta:
    """Returns when every grant of the former holder has expired."""
    options = state.options
    # The former holder may have issued grants for up to `grant_window` after
    # the last change of the row, which was seen at least `takeover_delay`
    # before the takeover unless the former holder was still active.
    left = options.grant_window
    if not holder_state.replaced_live_holder:
        left -= options.takeover_delay
    return holder_state.term_started_at + left + options.grant + GRANT_MARGIN


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
    if now >= compute_former_grant_expiry(state, holder_state):
        for instance in lifecycle.list_unreported_instances(holder_state):
            emitted += release_tasks(
                holder_state,
                instance,
                holder_state.orphans[instance],
                "unheard",
            )
    for view in list(holder_state.agents.values()):
        grant_expiry = view.last_report_at + state.options.grant + GRANT_MARGIN
        if (
            now >= grant_expiry
            and now >= compute_former_grant_expiry(state, holder_state)
            and view.placed
        ):
            emitted += release_tasks(
                holder_state, view.instance, view.placed, "silent"
            )
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
    return emitted


def release_tasks(
    holder_state: scheduler.HolderState,
    instance: ids.InstanceId,
    tasks: dict[runs.TaskRef, scheduler.PlacedTask],
    reason: str,
) -> EffectList:
    """Releases tasks of an instance whose runs have certainly ended."""
    log = effects.Log(
        "runs-lapsed",
        instance,
        "placed again",
        (
            ("reason", reason),
            ("runs", str(len(tasks))),
        ),
    )
    for ref, placed in list(tasks.items()):
        lifecycle.release_task(holder_state, ref, placed)
    tasks.clear()
    return [log]


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
        holder_state.deletable_progress.update(event.job_ids)
    return []
