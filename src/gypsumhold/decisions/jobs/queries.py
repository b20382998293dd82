"""Handles queries of callers and of other entries."""

import datetime

from gypsumhold.decisions.jobs import (
    holders,
    lifecycle,
    store_health,
    submissions,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    scheduler,
    specs,
    storage,
)

EffectList = list[base_effects.Effect]

RETRY_DELAY = datetime.timedelta(milliseconds=80)
RETRY_AFTER_S = 1


def find_queue(
    config: specs.QueueConfig | None, host: str, path: str
) -> specs.Queue | None:
    """Returns the queue with the longest prefix that `path` begins with."""
    if config is None:
        return None
    fitting = [
        queue
        for queue in config.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(fitting, key=lambda queue: len(queue.prefix), default=None)


def handle_query(
    state: scheduler.SchedulerState,
    event: events.QueryArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Answers a query as the holder, forwards it, or reads the store."""
    if event.query.kind is messages.QueryKind.SUBMIT:
        return submissions.handle_forwarded_submission(state, event, now)
    deadline = now + event.remaining
    ticket = scheduler.Ticket(
        deadline, query=event.query, forwarded=event.forwarded
    )
    holder_state = state.holder_state
    if holder_state is not None and state.role is scheduler.Role.HOLDER:
        return _answer_as_holder(state, holder_state, event, ticket, now)
    if event.forwarded:
        return _answer(event.ticket, messages.Verdict.NOT_HOLDER)
    state.tickets[event.ticket] = ticket
    address = state.find_holder_address()
    if address is not None:
        return [effects.ForwardQuery(event.ticket, address, event.query)]
    return _read_job(state, event.ticket, ticket)


def _answer(
    ticket: ids.TicketId,
    verdict: messages.Verdict,
    visible_state: messages.JobState | None = None,
    waiting: int = 0,
) -> EffectList:
    retry = RETRY_AFTER_S if verdict is messages.Verdict.UNAVAILABLE else 0
    answer = messages.Answer(verdict, visible_state, waiting, retry)
    return [effects.AnswerQuery(ticket, answer)]


def _answer_as_holder(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    event: events.QueryArrived,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> EffectList:
    """Answers a query from memory, or reads a job that is not in memory.

    A cancellation is confirmed only once it is stored; otherwise it could be
    lost with the holder after its confirmation.
    """
    query = event.query
    if query.kind is messages.QueryKind.WAITING:
        waiting = sum(
            job.spec.queue.name == query.queue and not job.has_begun
            for job in holder_state.open_jobs.values()
        )
        return _answer(event.ticket, messages.Verdict.WAITING, waiting=waiting)
    if query.kind is messages.QueryKind.ACCEPTED:
        emitted: EffectList = []
        if query.job_id not in holder_state.left_out_jobs:
            # Progress that cannot be read would be lost if the job began anew.
            rows = storage.JobRows(query.spec)
            emitted += holders.add_stored_job(holder_state, rows, now)
        verdict = messages.Verdict.ACCEPTED
        if store_health.is_store_unreachable(state, now):
            # The entry that notifies this one has just reached the store.
            verdict = messages.Verdict.UNAVAILABLE
        return [*emitted, *_answer(event.ticket, verdict)]
    job = holder_state.jobs.get(query.job_id)
    if job is None:
        # Another entry may have just accepted the job.
        state.tickets[event.ticket] = ticket
        return _read_job(state, event.ticket, ticket)
    if query.kind is messages.QueryKind.STATE:
        return _answer(event.ticket, messages.Verdict.STATE, job.stored_state)
    if job.is_end_stored():
        return _answer(event.ticket, messages.Verdict.CANCELLED)
    ticket.cancelling = True
    state.tickets[event.ticket] = ticket
    lifecycle.cancel_job(holder_state, job, now)
    log = effects.Log(
        "cancel", query.job_id, "storing", (("state", job.stored_state.value),)
    )
    return [log]


def _read_job(
    state: scheduler.SchedulerState,
    ticket_id: ids.TicketId,
    ticket: scheduler.Ticket,
) -> EffectList:
    """Reads the rows of a job.

    A query for the number of waiting jobs is refused: only the holder has it,
    in memory.
    """
    query = ticket.query
    assert query is not None
    if query.kind is messages.QueryKind.WAITING:
        del state.tickets[ticket_id]
        return _answer(ticket_id, messages.Verdict.UNAVAILABLE)
    return [effects.ReadJob(ticket_id, query.job_id)]


def handle_query_answered(
    state: scheduler.SchedulerState,
    event: events.QueryAnswered,
    now: datetime.timedelta,
) -> EffectList:
    """Handles the end of a call that forwarded a query or submission.

    The holder's answer to a query goes to the caller. If the holder gave none
    or could not serve the query, this entry reads the store.
    """
    ticket = state.tickets.get(event.ticket)
    if ticket is None:
        return []
    if ticket.spec is not None:
        return submissions.handle_submission_answered(state, event, ticket, now)
    answer = event.answer
    failed_verdicts = (
        messages.Verdict.NOT_HOLDER,
        messages.Verdict.NOT_SENT,
        messages.Verdict.UNAVAILABLE,
    )
    if answer is not None and answer.verdict not in failed_verdicts:
        del state.tickets[event.ticket]
        return [effects.AnswerQuery(event.ticket, answer)]
    return _read_job(state, event.ticket, ticket)


def handle_job_read(
    state: scheduler.SchedulerState,
    event: events.JobRead,
    now: datetime.timedelta,
) -> EffectList:
    """Answers a query from the rows of a job, or stores its cancellation."""
    waiting = state.tickets.get(event.ticket)
    if waiting is not None and waiting.refusal is not None:
        return submissions.handle_job_read(state, event, waiting, now)
    ticket = state.tickets.pop(event.ticket, None)
    if ticket is None or ticket.query is None:
        return []
    rows = event.rows
    if rows is None:
        return _answer(event.ticket, messages.Verdict.UNAVAILABLE)
    if rows.spec is None:
        return _answer(event.ticket, messages.Verdict.NO_SUCH_JOB)
    emitted: EffectList = []
    if state.holder_state is not None and state.role is scheduler.Role.HOLDER:
        emitted += holders.add_stored_job(state.holder_state, rows, now)
    if ticket.query.kind is messages.QueryKind.STATE:
        visible_state = _get_visible_state(rows)
        answer = _answer(event.ticket, messages.Verdict.STATE, visible_state)
        return [*emitted, *answer]
    state.tickets[event.ticket] = ticket
    ticket.attempts = 0
    write = effects.WriteCancel(event.ticket, ticket.query.job_id)
    return [*emitted, write]


def _get_visible_state(rows: storage.JobRows) -> messages.JobState:
    """Returns the state of a job that callers see."""
    visible_state = messages.JobState.QUEUED
    if rows.progress is not None:
        visible_state = rows.progress.state
    if rows.cancelled and visible_state not in messages.FINAL_STATES:
        return messages.JobState.CANCELLED
    return visible_state


def handle_cancel_written(
    state: scheduler.SchedulerState,
    event: events.CancelWritten,
    now: datetime.timedelta,
) -> EffectList:
    """Answers a cancellation that this entry wrote, or repeats the write."""
    emitted = store_health.record_write_result(state, event.result, now)
    return [*emitted, *_apply_cancel_result(state, event, now)]


def _apply_cancel_result(
    state: scheduler.SchedulerState,
    event: events.CancelWritten,
    now: datetime.timedelta,
) -> EffectList:
    ticket = state.tickets.get(event.ticket)
    if ticket is None or ticket.query is None:
        return []
    if event.result is storage.WriteResult.STORED:
        del state.tickets[event.ticket]
        _cancel_in_memory(state, ticket.query.job_id, now)
        log = effects.Log("cancel", ticket.query.job_id, "stored")
        return [log, *_answer(event.ticket, messages.Verdict.CANCELLED)]
    if now + RETRY_DELAY < ticket.deadline:
        return [
            effects.WriteCancel(event.ticket, ticket.query.job_id, RETRY_DELAY)
        ]
    del state.tickets[event.ticket]
    return _answer(event.ticket, messages.Verdict.UNKNOWN)


def _cancel_in_memory(
    state: scheduler.SchedulerState,
    job_id: specs.JobId,
    now: datetime.timedelta,
) -> None:
    """Cancels the job in memory if this entry holds the queue."""
    holder_state = state.holder_state
    if holder_state is None or job_id not in holder_state.jobs:
        return
    lifecycle.cancel_job(holder_state, holder_state.jobs[job_id], now)
