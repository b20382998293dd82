"""Who holds the queue: one entry, by a conditional write that raises a term.

The holder rewrites its row with each batch. An entry that sees the row
unchanged for a while writes its own name under the condition that the row is
still the same, so a replaced holder can store nothing more. How long runs may
go on under the former holder is waited out before they are placed again.
"""

import datetime

from gypsumhold.decisions.jobs import contact, lifecycle, pressures
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

MAX_REMOVED = 40
"""Jobs that are deleted at a time; two rows each in one transaction."""

LOAD_RETRY = datetime.timedelta(milliseconds=300)
FOLLOW_RETRY = datetime.timedelta(milliseconds=200)
GRANT_MARGIN = datetime.timedelta(milliseconds=300)
"""Covers the different rates of two clocks over a grant."""

POLL = timers.Timer(timers.TimerKind.HOLDER_POLL)
TICK = timers.Timer(timers.TimerKind.HOLDER_TICK)
REGISTER = timers.Timer(timers.TimerKind.REGISTER)
TICK_TIME = datetime.timedelta(milliseconds=200)
REGISTER_RETRY = datetime.timedelta(seconds=1)

Made = list[base_effects.Effect]


def start(state: scheduler.SchedulerState, _now: datetime.timedelta) -> Made:
    """Begins to follow the configuration and the holder."""
    return [
        effects.FollowConfig(ids.RowVersion(0)),
        effects.ReadHolder(),
        _register(state),
    ]


def _register(state: scheduler.SchedulerState) -> effects.RegisterEntry:
    return effects.RegisterEntry(
        records.EntryRecord(
            records.FORMAT, state.options.name, state.options.endpoint
        )
    )


def register_again(state: scheduler.SchedulerState) -> Made:
    """Tries again to store where this entry answers."""
    return [] if state.registered else [_register(state)]


def note_registered(
    state: scheduler.SchedulerState, event: events.EntryRegistered
) -> Made:
    """Applies the answer to a registration."""
    state.registered = event.result is storage.WriteResult.STORED
    if state.registered:
        return []
    return [base_effects.SetTimer(REGISTER, REGISTER_RETRY)]


def poll(state: scheduler.SchedulerState) -> Made:
    """Reads the holder's row unless this scheduler holds the queue."""
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    return [effects.ReadHolder()]


def _poll_later(state: scheduler.SchedulerState) -> Made:
    jitter = 0.8 + 0.4 * state.source.random()
    return [base_effects.SetTimer(POLL, state.options.poll_time * jitter)]


def note_read(
    state: scheduler.SchedulerState,
    event: events.HolderRead,
    now: datetime.timedelta,
) -> Made:
    """Takes over if nobody holds the queue."""
    made = contact.note_call(state, event.row is not None, now)
    return [*made, *_apply_read(state, event, now)]


def _apply_read(
    state: scheduler.SchedulerState,
    event: events.HolderRead,
    now: datetime.timedelta,
) -> Made:
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    row = event.row
    if row is None:
        # Nothing is known of the holder while the store does not answer.
        state.holder_seen_at = now
        return _poll_later(state)
    made: Made = []
    if state.holder is None or row.version != state.holder.version:
        made += _note_change(state, row)
        state.holder_seen_at = now
    state.holder = row
    if not _is_free(state, row, now):
        return [*made, *_poll_later(state)]
    return [*made, *_take(state, row, now)]


def _note_change(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> Made:
    old = None if state.holder is None else state.holder.record
    new = row.record
    if new is None or (old is not None and old.term == new.term):
        return []
    inputs = (("term", str(new.term)), ("row_version", str(row.version)))
    return [effects.Log("holder-changed", new.holder, "followed", inputs)]


def _is_free(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> bool:
    record = row.record
    if record is None or not record.holder:
        return True
    if record.holder == state.options.name:
        # A former life of this process held it.
        return True
    return now >= state.holder_seen_at + state.options.suspect_time


def _take(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> Made:
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
    )
    entry = records.EntryRecord(
        records.FORMAT, options.name, options.endpoint, True, term
    )
    age = lifecycle.to_ms(now - state.holder_seen_at)
    inputs = (("term", str(term)), ("unchanged_ms", str(age)))
    return [
        effects.Log("take-queue", options.name, "tried", inputs),
        effects.TakeHolder(row.version, holder, entry),
    ]


def note_taken(
    state: scheduler.SchedulerState,
    event: events.HolderTaken,
    now: datetime.timedelta,
) -> Made:
    """Loads the jobs after a successful takeover."""
    if state.role is not scheduler.Role.TAKING:
        return []
    write = event.write
    if write.result is not storage.WriteResult.STORED:
        # After an unknown result the row tells who holds the queue.
        state.role = scheduler.Role.FOLLOWER
        state.holder_seen_at = now
        outcome = f"not taken: {write.result.value}"
        log = effects.Log("take-queue", state.options.name, outcome)
        return [log, *_poll_later(state)]
    former = None if state.holder is None else state.holder.record
    term = ids.Epoch(1 if former is None else former.term + 1)
    state.role = scheduler.Role.LOADING
    state.holding = scheduler.Holding(term, write.version, now, now)
    log = effects.Log(
        "take-queue", state.options.name, "taken", (("term", str(term)),)
    )
    return [
        log,
        effects.LoadJobs(term),
        base_effects.SetTimer(TICK, TICK_TIME),
    ]


def note_loaded(
    state: scheduler.SchedulerState,
    event: events.JobsLoaded,
    now: datetime.timedelta,
) -> Made:
    """Begins to schedule, or takes in what a gap in the history hid."""
    holding = state.holding
    if holding is None or event.term != holding.term:
        return []
    if event.loaded is None:
        return [effects.LoadJobs(holding.term, LOAD_RETRY)]
    holding.wall_offset_ms = event.wall_ms - lifecycle.to_ms(now)
    for rows in event.loaded.jobs:
        spec = rows.spec
        lifecycle.add_job(holding, rows, now)
        if rows.cancelled and spec is not None:
            lifecycle.cancel(holding, holding.jobs[spec.job_id], now)
    # While the queue is held, jobs come and are placed during the reads.
    holding.removed.update(
        job_id for job_id in event.loaded.orphans if job_id not in holding.jobs
    )
    holding.intake_version = max(holding.intake_version, event.loaded.version)
    state.role = scheduler.Role.HOLDER
    inputs = (
        ("term", str(holding.term)),
        ("jobs", str(len(holding.jobs))),
        ("open", str(len(holding.open_jobs))),
        ("row_version", str(event.loaded.version)),
    )
    return [
        effects.Log("jobs-loaded", state.options.name, "scheduling", inputs),
        effects.FollowJobs(holding.term, holding.intake_version),
    ]


def note_changes(
    state: scheduler.SchedulerState,
    event: events.JobsChanged,
    now: datetime.timedelta,
) -> Made:
    """Takes in submissions and cancellations, and reads on."""
    holding = state.holding
    if holding is None or event.term != holding.term:
        return []
    changes = event.changes
    if changes is None:
        return [
            effects.FollowJobs(
                holding.term, holding.intake_version, FOLLOW_RETRY
            )
        ]
    if changes.gap:
        log = effects.Log("history-lost", state.options.name, "read all jobs")
        return [log, effects.LoadJobs(holding.term)]
    holding.wall_offset_ms = event.wall_ms - lifecycle.to_ms(now)
    for spec in changes.submitted:
        lifecycle.add_job(holding, storage.JobRows(spec), now)
    for job_id in changes.cancelled:
        job = holding.jobs.get(job_id)
        if job is not None:
            lifecycle.cancel(holding, job, now)
    holding.intake_version = max(holding.intake_version, changes.version)
    return [effects.FollowJobs(holding.term, holding.intake_version)]


def lose(
    state: scheduler.SchedulerState,
    present: storage.HolderRow | None,
    now: datetime.timedelta,
) -> Made:
    """Gives everything up after another entry took the queue over."""
    holding = state.holding
    assert holding is not None
    state.holding = None
    state.role = scheduler.Role.FOLLOWER
    state.holder = present
    state.holder_seen_at = now
    record = None if present is None else present.record
    name = "" if record is None else record.holder
    log = effects.Log(
        "queue-lost", name, "following", (("term", str(holding.term)),)
    )
    made: Made = [log, *_poll_later(state)]
    for ticket, waiting in list(state.tickets.items()):
        if waiting.cancelling:
            del state.tickets[ticket]
            unknown = messages.Answer(messages.Verdict.UNKNOWN)
            made.append(effects.AnswerQuery(ticket, unknown))
    return made


def find_lapse(
    state: scheduler.SchedulerState, holding: scheduler.Holding
) -> datetime.timedelta:
    """Returns when everything granted by the former holder has lapsed."""
    options = state.options
    # The former holder may have gone on granting for `hold_time` after the
    # row was last seen to change, `suspect_time` before the takeover.
    left = options.hold_time - options.suspect_time
    return holding.began_at + left + options.grant + GRANT_MARGIN


def tick(state: scheduler.SchedulerState, now: datetime.timedelta) -> Made:
    """Takes runs off instances whose grants have lapsed; opens repetitions."""
    holding = state.holding
    if holding is None:
        return []
    made: Made = [base_effects.SetTimer(TICK, TICK_TIME)]
    if state.role is not scheduler.Role.HOLDER:
        return made
    if now >= find_lapse(state, holding):
        for name in lifecycle.list_unheard(holding):
            made += release_all(holding, name, holding.orphans[name], "unheard")
    for view in list(holding.agents.values()):
        lapse = view.heard_at + state.options.grant + GRANT_MARGIN
        if now >= lapse and now >= find_lapse(state, holding) and view.placed:
            made += release_all(holding, view.instance, view.placed, "silent")
    for job in list(holding.open_jobs.values()):
        if job.next_repetition < job.spec.repetitions:
            lifecycle.open_repetitions(holding, job, now)
    made += _remove_old(state, holding, now)
    combined = pressures.combine(
        view.influences.values() for view in holding.agents.values()
    )
    holding.pressures = {
        pair: pressures.estimate(it.moment, it.weight)
        for pair, it in combined.items()
    }
    holding.expected = {
        pair: pressures.expect(it.moment, it.weight)
        for pair, it in combined.items()
    }
    holding.plan_due = holding.plan_due or bool(holding.open_jobs)
    return made


def release_all(
    holding: scheduler.Holding,
    name: ids.InstanceId,
    tasks: dict[runs.TaskRef, scheduler.Placed],
    reason: str,
) -> Made:
    """Takes every run off an instance whose runs have certainly ended."""
    log = effects.Log(
        "runs-lapsed",
        name,
        "placed again",
        (
            ("reason", reason),
            ("runs", str(len(tasks))),
        ),
    )
    for ref, placed in list(tasks.items()):
        lifecycle.release(holding, ref, placed)
    tasks.clear()
    return [log]


def _remove_old(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    now: datetime.timedelta,
) -> Made:
    """Deletes the submissions of jobs that ended long ago.

    Their progress goes only after that: a submission without progress would
    begin anew.
    """
    if holding.removing:
        return []
    old = [
        job_id
        for job_id, job in holding.jobs.items()
        if not job.is_open()
        and job_id not in holding.removed
        and now >= job.ended_at + state.options.retention
    ]
    if not old:
        return []
    chosen = tuple(old[:MAX_REMOVED])
    holding.removing.update(chosen)
    return [effects.RemoveJobs(holding.term, chosen)]


def note_removed(
    state: scheduler.SchedulerState,
    event: events.JobsRemoved,
    _now: datetime.timedelta,
) -> Made:
    """Deletes the progress of jobs whose submissions are gone."""
    holding = state.holding
    if holding is None or event.term != holding.term:
        return []
    holding.removing.clear()
    if event.result is storage.WriteResult.STORED:
        holding.removed.update(event.job_ids)
    return []
