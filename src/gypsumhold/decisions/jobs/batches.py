"""Group commit: one transaction stores the changes of many jobs."""

import dataclasses
import datetime

from gypsumhold.decisions.jobs import (
    directives,
    holders,
    lifecycle,
    migrations,
    plans,
    store_health,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    progress,
    records,
    scheduler,
    storage,
)

EffectList = list[base_effects.Effect]

MAX_ROWS = 80
"""Jobs in one batch; the store takes 100 entries a transaction."""

RETRY_PAUSE = datetime.timedelta(milliseconds=100)
MAX_RETRY_PAUSE = datetime.timedelta(milliseconds=500)


def commit_if_due(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Sends the next batch if none is under way and there is need for it."""
    holder_state = state.holder_state
    if holder_state is None or state.role is not scheduler.Role.HOLDER:
        return []
    if holder_state.in_flight is not None:
        return []
    emitted: EffectList = []
    if holder_state.plan_due and not holder_state.releasing:
        holder_state.plan_due = False
        emitted += plans.place_ready_tasks(state, holder_state, now)
        emitted += migrations.migrate_stalled_tasks(state, holder_state, now)
    changed = (
        holder_state.dirty
        or holder_state.deletable_progress
        or holder_state.force_batch
        or holder_state.releasing
    )
    if (
        not changed
        and now < holder_state.renewed_at + state.options.renew_interval
    ):
        return emitted
    batch = _build_batch(state, holder_state)
    holder_state.in_flight = batch
    holder_state.sent_at = now
    holder_state.commit_attempts = 0
    return [*emitted, effects.CommitBatch(batch)]


def _build_batch(
    state: scheduler.SchedulerState, holder_state: scheduler.HolderState
) -> storage.Batch:
    number = holder_state.batch
    holder_state.batch += 1
    chosen = sorted(holder_state.dirty)[:MAX_ROWS]
    writes = []
    for job_id in chosen:
        holder_state.dirty.discard(job_id)
        job = holder_state.jobs[job_id]
        for task in job.unstored_placements:
            task.batch = number
        job.unstored_placements.clear()
        job.batch = number
        writes.append(
            storage.ProgressWrite(job_id, lifecycle.build_record(job))
        )
    removed = sorted(holder_state.deletable_progress)[: MAX_ROWS - len(chosen)]
    holder_state.deletable_progress.difference_update(removed)
    holder_state.force_batch = False
    if not holder_state.dirty:
        _assign_acknowledgements(holder_state, number)
    record = records.HolderRecord(
        records.FORMAT,
        holder_state.term,
        "" if holder_state.releasing else state.options.name,
        state.options.incarnation,
        state.options.endpoint,
        number,
    )
    return storage.Batch(
        holder_state.version, record, tuple(writes), tuple(removed)
    )


def _assign_acknowledgements(
    holder_state: scheduler.HolderState, number: int
) -> None:
    for view in holder_state.agents.values():
        for waiting in view.acknowledgements:
            if waiting.batch == progress.NOT_STORED:
                waiting.batch = number


def handle_batch_committed(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the answer to a batch."""
    emitted = store_health.record_write_result(state, event.write.result, now)
    return [*emitted, *_apply_result(state, event, now)]


def _apply_result(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> EffectList:
    holder_state = state.holder_state
    if holder_state is None or holder_state.in_flight is None:
        return []
    batch = holder_state.in_flight
    if event.term != holder_state.term or event.batch != batch.holder.batch:
        return []
    if event.write.result is storage.WriteResult.STORED:
        return _apply_stored(state, holder_state, event.write, now)
    present = event.write.present
    if event.write.result is storage.WriteResult.CONFLICT:
        # A repeat meets the row that its own first copy has written.
        if present is not None and present.record == batch.holder:
            return _apply_stored(
                state,
                holder_state,
                storage.HolderWrite(
                    storage.WriteResult.STORED, present.version
                ),
                now,
            )
        former = _rebase_batch(holder_state, batch, present)
        if former is not None:
            holder_state.in_flight = former
            return [effects.CommitBatch(former)]
        return holders.handle_queue_lost(state, present, now)
    # The same transaction again, until it is known what became of it.
    holder_state.commit_attempts += 1
    pause = min(RETRY_PAUSE * holder_state.commit_attempts, MAX_RETRY_PAUSE)
    return [effects.CommitBatch(batch, pause)]


def _rebase_batch(
    holder_state: scheduler.HolderState,
    batch: storage.Batch,
    present: storage.HolderRow | None,
) -> storage.Batch | None:
    """Returns the batch on the present version of our own former row.

    The answer to a transaction tells the newest version in the store, which may
    be that of somebody else's later transaction.
    """
    record = None if present is None else present.record
    if present is None or record is None:
        return None
    ours = dataclasses.replace(batch, expected=present.version)
    mine = batch.holder
    same = (record.term, record.incarnation) == (mine.term, mine.incarnation)
    return ours if same and record.batch < mine.batch else None


def _apply_stored(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    write: storage.HolderWrite,
    now: datetime.timedelta,
) -> EffectList:
    batch = holder_state.in_flight
    assert batch is not None
    if not batch.holder.holder:
        return _end_term(state)
    holder_state.in_flight = None
    holder_state.version = write.version
    holder_state.stored = batch.holder.batch
    holder_state.renewed_at = holder_state.sent_at
    for put in batch.writes:
        job = holder_state.jobs.get(put.job_id)
        if job is not None:
            job.stored_state = put.record.state
    for job_id in batch.removed:
        holder_state.jobs.pop(job_id, None)
    emitted: EffectList = []
    for ticket, waiting in list(state.tickets.items()):
        emitted += _answer_cancellation(state, holder_state, ticket, waiting)
    for view in holder_state.agents.values():
        emitted += directives.push_directives(state, holder_state, view, now)
    return emitted


def _end_term(state: scheduler.SchedulerState) -> EffectList:
    """Ends the term after the batch that gave the queue up."""
    state.holder_state = None
    state.role = scheduler.Role.STOPPED
    log = effects.Log("queue-lost", state.options.name, "given up")
    return [log, base_effects.Stopped()]


def _answer_cancellation(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    ticket: ids.TicketId,
    waiting: scheduler.Ticket,
) -> EffectList:
    if not waiting.cancelling or waiting.query is None:
        return []
    job = holder_state.jobs.get(waiting.query.job_id)
    if job is None or not job.is_end_stored():
        return []
    del state.tickets[ticket]
    answer = messages.Answer(messages.Verdict.CANCELLED)
    return [effects.AnswerQuery(ticket, answer)]
