"""Group commit: one transaction stores the changes of many jobs."""

import dataclasses
import datetime

from gypsumhold.decisions.jobs import (
    contact,
    directives,
    holders,
    lifecycle,
    moves,
    plans,
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

Made = list[base_effects.Effect]

MAX_ROWS = 80
"""Jobs in one batch; the store takes 100 entries a transaction."""

RETRY_PAUSE = datetime.timedelta(milliseconds=100)
MAX_RETRY_PAUSE = datetime.timedelta(milliseconds=500)


def advance(state: scheduler.SchedulerState, now: datetime.timedelta) -> Made:
    """Sends the next batch if none is under way and there is need for it."""
    holding = state.holding
    if holding is None or state.role is not scheduler.Role.HOLDER:
        return []
    if holding.in_flight is not None:
        return []
    made: Made = []
    if holding.plan_due and not holding.giving_up:
        holding.plan_due = False
        made += plans.plan(state, holding, now)
        made += moves.move_still(state, holding, now)
    changed = (
        holding.dirty
        or holding.removed
        or holding.force_batch
        or holding.giving_up
    )
    if not changed and now < holding.renewed_at + state.options.renew_time:
        return made
    batch = _build(state, holding)
    holding.in_flight = batch
    holding.sent_at = now
    holding.commit_tries = 0
    return [*made, effects.CommitBatch(batch)]


def _build(
    state: scheduler.SchedulerState, holding: scheduler.Holding
) -> storage.Batch:
    number = holding.batch
    holding.batch += 1
    chosen = sorted(holding.dirty)[:MAX_ROWS]
    writes = []
    for job_id in chosen:
        holding.dirty.discard(job_id)
        job = holding.jobs[job_id]
        for task in job.fresh:
            task.batch = number
        job.fresh.clear()
        job.batch = number
        writes.append(
            storage.ProgressWrite(job_id, lifecycle.build_record(job))
        )
    removed = sorted(holding.removed)[: MAX_ROWS - len(chosen)]
    holding.removed.difference_update(removed)
    holding.force_batch = False
    if not holding.dirty:
        _number_acknowledgements(holding, number)
    record = records.HolderRecord(
        records.FORMAT,
        holding.term,
        "" if holding.giving_up else state.options.name,
        state.options.incarnation,
        state.options.endpoint,
        number,
    )
    return storage.Batch(holding.version, record, tuple(writes), tuple(removed))


def _number_acknowledgements(holding: scheduler.Holding, number: int) -> None:
    for view in holding.agents.values():
        for waiting in view.acknowledgements:
            if waiting.batch == progress.NOT_STORED:
                waiting.batch = number


def settle(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> Made:
    """Applies the answer to a batch."""
    made = contact.note_store(state, event.write.result, now)
    return [*made, *_apply(state, event, now)]


def _apply(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> Made:
    holding = state.holding
    if holding is None or holding.in_flight is None:
        return []
    batch = holding.in_flight
    if event.term != holding.term or event.batch != batch.holder.batch:
        return []
    if event.write.result is storage.WriteResult.STORED:
        return _store(state, holding, event.write, now)
    present = event.write.present
    if event.write.result is storage.WriteResult.CONFLICT:
        # A repeat meets the row that its own first copy has written.
        if present is not None and present.record == batch.holder:
            return _store(
                state,
                holding,
                storage.HolderWrite(
                    storage.WriteResult.STORED, present.version
                ),
                now,
            )
        former = _find_former(holding, batch, present)
        if former is not None:
            holding.in_flight = former
            return [effects.CommitBatch(former)]
        return holders.lose(state, present, now)
    # The same transaction again, until it is known what became of it.
    holding.commit_tries += 1
    pause = min(RETRY_PAUSE * holding.commit_tries, MAX_RETRY_PAUSE)
    return [effects.CommitBatch(batch, pause)]


def _find_former(
    holding: scheduler.Holding,
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


def _store(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    write: storage.HolderWrite,
    now: datetime.timedelta,
) -> Made:
    batch = holding.in_flight
    assert batch is not None
    if not batch.holder.holder:
        return _leave(state)
    holding.in_flight = None
    holding.version = write.version
    holding.stored = batch.holder.batch
    holding.renewed_at = holding.sent_at
    for put in batch.writes:
        job = holding.jobs.get(put.job_id)
        if job is not None:
            job.shown = put.record.state
    for job_id in batch.removed:
        holding.jobs.pop(job_id, None)
    made: Made = []
    for ticket, waiting in list(state.tickets.items()):
        made += _answer_cancel(state, holding, ticket, waiting)
    for view in holding.agents.values():
        made += directives.push(state, holding, view, now)
    return made


def _leave(state: scheduler.SchedulerState) -> Made:
    """Ends the term after the batch that gave the queue up."""
    state.holding = None
    state.role = scheduler.Role.STOPPED
    log = effects.Log("queue-lost", state.options.name, "given up")
    return [log, base_effects.Stopped()]


def _answer_cancel(
    state: scheduler.SchedulerState,
    holding: scheduler.Holding,
    ticket: ids.TicketId,
    waiting: scheduler.Ticket,
) -> Made:
    if not waiting.cancelling or waiting.query is None:
        return []
    job = holding.jobs.get(waiting.query.job_id)
    if job is None or not job.is_end_stored():
        return []
    del state.tickets[ticket]
    answer = messages.Answer(messages.Verdict.CANCELLED)
    return [effects.AnswerQuery(ticket, answer)]
