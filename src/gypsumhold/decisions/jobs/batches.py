"""Group commit: one transaction stores the progress of many jobs."""

import dataclasses
import datetime
import math

from gypsumhold.decisions.jobs import (
    directives,
    elections,
    evacuations,
    lifecycle,
    plans,
    progress_records,
    record_sizes,
    starvation,
    store_health,
)
from gypsumhold.decisions.jobs.overload import forecasts
from gypsumhold.decisions.jobs.run_bounds import settled_starts
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

MAX_BATCH_JOBS = 80
"""Most jobs in one batch; the store accepts 100 entries per transaction."""

MAX_LOADING_TIME = datetime.timedelta(seconds=10)
"""How long an entry that loads the jobs renews its row. Runs lose their leases
meanwhile, so an entry that needs longer leaves the queue to another one."""

RETRY_DELAY = datetime.timedelta(milliseconds=100)
MAX_RETRY_DELAY = datetime.timedelta(milliseconds=500)


def commit_if_due(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Makes a plan if one is due, and sends the next batch if one is due.

    Only one batch is in flight at a time. Without changes a batch is due after
    `renew_interval`, to renew the holder's row, also while the jobs are loaded.
    """
    holder_state = state.holder_state
    if holder_state is None:
        return []
    is_holder = state.role is scheduler.Role.HOLDER
    if not (
        is_holder
        or holder_state.releasing
        or _may_renew_while_loading(state, holder_state, now)
    ):
        return []
    if holder_state.in_flight is not None:
        return []
    emitted: EffectList = []
    if is_holder and holder_state.plan_due and not holder_state.releasing:
        holder_state.plan_due = False
        emitted += plans.place_ready_tasks(state, holder_state, now)
    has_changes = (
        holder_state.dirty
        or holder_state.deletable_progress
        or holder_state.force_batch
        or holder_state.releasing
    )
    if (
        not has_changes
        and now < holder_state.renewed_at + state.options.renew_interval
    ):
        return emitted
    forecasts.refresh(state, holder_state, now)
    holder_state.sent_at = now
    batch = _build_batch(state, holder_state, now)
    holder_state.in_flight = batch
    holder_state.commit_attempts = 0
    return [*emitted, effects.CommitBatch(batch)]


def _may_renew_while_loading(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> bool:
    """Tells whether an entry that still loads the jobs renews its row.

    Otherwise the entries would take the queue from each other for good where
    loading takes longer than the takeover delay. An entry whose read has failed
    leaves the queue to another one before the grants of the agents expire.
    """
    return (
        state.role is scheduler.Role.LOADING
        and not holder_state.load_failed
        and now < holder_state.term_started_at + MAX_LOADING_TIME
    )


def _build_batch(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> storage.Batch:
    """Returns the next batch and removes its changes from the pending ones."""
    number = holder_state.next_batch
    holder_state.next_batch += 1
    changed = starvation.order_changed_jobs(holder_state)[:MAX_BATCH_JOBS]
    jobs = record_sizes.choose_storable_jobs(
        [holder_state.jobs[job_id] for job_id in changed],
        state.options.row_bytes,
    )
    writes = []
    for job in jobs:
        job_id = job.spec.job_id
        del holder_state.dirty[job_id]
        for position, task in enumerate(job.unstored_placements):
            task.batch = number
            task.is_first_of_batch = position == 0
        job.unstored_placements.clear()
        job.batch = number
        writes.append(
            storage.ProgressWrite(
                job_id,
                progress_records.build_record(job, state.options.row_bytes),
            )
        )
    removed = sorted(holder_state.deletable_progress)[
        : MAX_BATCH_JOBS - len(jobs)
    ]
    holder_state.deletable_progress.difference_update(removed)
    holder_state.force_batch = False
    holder_state.batch_instances |= holder_state.changed_instances
    holder_state.changed_instances.clear()
    _assign_acknowledgements(holder_state, number)
    settled = settled_starts.compute_settled(holder_state, now)
    record = records.HolderRecord(
        records.FORMAT,
        holder_state.term,
        "" if holder_state.releasing else state.options.name,
        state.options.incarnation,
        state.options.endpoint,
        number,
        state.options.cores,
        *forecasts.describe(state, holder_state.sent_at),
        clock_ms=settled_starts.read_clock_ms(holder_state, now),
        settled_ms=settled.before_ms,
        open_starts=settled.open,
    )
    return storage.Batch(
        holder_state.version, record, tuple(writes), tuple(removed)
    )


def _assign_acknowledgements(
    holder_state: scheduler.HolderState, number: int
) -> None:
    """Assigns acknowledgements that have no batch yet to this one.

    An end is acknowledged only after its effect on its job is stored, so no job
    with a change that is as old may be left for a later batch.
    """
    oldest_left = next(iter(holder_state.dirty.values()), math.inf)
    for view in holder_state.agents.values():
        for acknowledgement in view.acknowledgements:
            if acknowledgement.change >= oldest_left:
                break
            if acknowledgement.batch == progress.NOT_STORED:
                acknowledgement.batch = number


def handle_batch_committed(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the result of the batch in flight.

    A batch whose result is unknown is sent again.
    """
    emitted = store_health.record_write_result(state, event.write.result, now)
    return [*emitted, *_apply_result(state, event, now)]


def _apply_result(
    state: scheduler.SchedulerState,
    event: events.BatchCommitted,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the result of a batch, unless it is not the batch in flight."""
    holder_state = state.holder_state
    if holder_state is None or holder_state.in_flight is None:
        return []
    batch = holder_state.in_flight
    if event.term != holder_state.term or event.batch != batch.holder.batch:
        return []
    if event.write.result is storage.WriteResult.STORED:
        return _apply_stored(state, holder_state, event.write, now)
    current_row = event.write.current_row
    if event.write.result is storage.WriteResult.CONFLICT:
        # The row may have been written by an earlier attempt of this batch.
        if current_row is not None and current_row.record == batch.holder:
            return _apply_stored(
                state,
                holder_state,
                storage.HolderWrite(
                    storage.WriteResult.STORED, current_row.version
                ),
                now,
            )
        rebased_batch = _rebase_batch(holder_state, batch, current_row)
        if rebased_batch is not None:
            holder_state.in_flight = rebased_batch
            return [effects.CommitBatch(rebased_batch)]
        return elections.handle_queue_lost(state, current_row, now)
    # Repeat the same transaction until its result is known.
    holder_state.commit_attempts += 1
    delay = min(RETRY_DELAY * holder_state.commit_attempts, MAX_RETRY_DELAY)
    return [effects.CommitBatch(batch, delay)]


def _rebase_batch(
    holder_state: scheduler.HolderState,
    batch: storage.Batch,
    current_row: storage.HolderRow | None,
) -> storage.Batch | None:
    """Returns the batch for the current row, if this holder wrote that row.

    The reply to a transaction has the newest version in the store, which may be
    that of a later transaction of another process. The next batch then expects
    a version that the row does not have, and conflicts with the row that this
    holder wrote last.
    """
    record = None if current_row is None else current_row.record
    if current_row is None or record is None:
        return None
    rebased = dataclasses.replace(batch, expected=current_row.version)
    own_record = batch.holder
    is_same_term = (record.term, record.incarnation) == (
        own_record.term,
        own_record.incarnation,
    )
    return rebased if is_same_term and record.batch < own_record.batch else None


def _apply_stored(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    write: storage.HolderWrite,
    now: datetime.timedelta,
) -> EffectList:
    """Applies a stored batch: answers cancellations, sends directives.

    If the batch released the queue, the term ends instead.
    """
    batch = holder_state.in_flight
    assert batch is not None
    if not batch.holder.holder:
        if state.stopping:
            return _end_term(state)
        row = storage.HolderRow(write.version, batch.holder)
        return elections.handle_queue_lost(state, row, now)
    holder_state.in_flight = None
    holder_state.version = write.version
    holder_state.stored_batch = batch.holder.batch
    unconfirmed_time = now - holder_state.renewed_at
    holder_state.renewed_at = holder_state.sent_at
    if not holder_state.commit_attempts:
        # An outage tells nothing about the batches after it.
        starvation.note_batch_time(holder_state, now - holder_state.sent_at)
    for progress_write in batch.writes:
        job = holder_state.jobs.get(progress_write.job_id)
        if job is not None:
            job.stored_state = progress_write.record.state
            holder_state.run_waits.touched.add(progress_write.job_id)
    for job_id in batch.removed_progress:
        lifecycle.remove_job(holder_state, job_id)
    emitted = evacuations.read_after_gap(
        state, holder_state, unconfirmed_time, now
    )
    emitted += evacuations.release_if_unreadable(state, holder_state)
    for ticket_id, ticket in list(state.tickets.items()):
        emitted += _answer_cancellation(state, holder_state, ticket_id, ticket)
    return [*emitted, *_push_changes(state, holder_state, now)]


def _push_changes(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Sends directives to the agents for which the stored batch changed any.

    Agents with changes that did not fit into the batch are looked at again
    after the next one.
    """
    emitted: EffectList = []
    for instance in sorted(holder_state.batch_instances):
        view = holder_state.agents.get(instance)
        if view is None:
            continue
        emitted += directives.push_directives(state, holder_state, view, now)
        if directives.has_unstored_changes(holder_state, view):
            holder_state.changed_instances.add(instance)
    holder_state.batch_instances.clear()
    return emitted


def _end_term(state: scheduler.SchedulerState) -> EffectList:
    """Ends the term after the batch that released the queue is stored."""
    state.holder_state = None
    state.role = scheduler.Role.STOPPED
    log = effects.Log("queue-lost", state.options.name, "given up")
    return [log, base_effects.Stopped()]


def _answer_cancellation(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    ticket_id: ids.TicketId,
    ticket: scheduler.Ticket,
) -> EffectList:
    """Answers a waiting cancellation once the end of its job is stored."""
    if not ticket.cancelling or ticket.query is None:
        return []
    job = holder_state.jobs.get(ticket.query.job_id)
    if job is None or not job.is_end_stored():
        return []
    del state.tickets[ticket_id]
    answer = messages.Answer(messages.Verdict.CANCELLED)
    return [effects.AnswerQuery(ticket_id, answer)]
