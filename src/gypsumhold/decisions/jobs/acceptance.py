"""Takes submissions: stores them, passes them on, or refuses them at once.

An entry that the store does not answer passes a submission on to the holder of
the queue. Both insert the same row under the condition that it is absent, so
it does no harm if both succeed.
"""

import datetime

from gypsumhold.decisions.jobs import contact, lifecycle
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

Made = list[base_effects.Effect]

WRITE_PAUSE = datetime.timedelta(milliseconds=80)
MAX_REFUSED_TRIES = 5
"""Refusals by the store before the caller is told to come back."""

RETRY_AFTER_S = 1


def submit(
    state: scheduler.SchedulerState,
    event: events.SubmitArrived,
    now: datetime.timedelta,
) -> Made:
    """Stores a job, or refuses it at once."""
    spec = event.spec
    holding = state.holding
    if holding is not None and spec.job_id in holding.jobs:
        return [_accept(event.ticket)]
    if holding is not None and state.role is scheduler.Role.HOLDER:
        pause = state.policies.admission.choose_retry(
            spec, list(holding.open_jobs.values())
        )
        if pause is not None:
            return _refuse(event, pause, len(holding.open_jobs))
    if spec.queue.advised:
        # Its starts need tickets of an outside service, which is not asked yet.
        log = effects.Log("submit", spec.job_id, "refused: advised queue")
        return [log, _answer(event.ticket, messages.Verdict.UNAVAILABLE)]
    deadline = now + event.remaining
    ticket = scheduler.Ticket(deadline, spec=spec)
    state.tickets[event.ticket] = ticket
    if contact.is_store_lost(state, now):
        return _pass_on(state, event.ticket, ticket) or _give_up(
            state, event.ticket, ticket, "store lost"
        )
    return [effects.WriteJob(event.ticket, spec)]


def take_passed_on(
    state: scheduler.SchedulerState,
    event: events.QueryArrived,
    now: datetime.timedelta,
) -> Made:
    """Stores a job that another entry could not store."""
    spec = event.query.spec
    if spec is None or state.role is not scheduler.Role.HOLDER:
        return [_answer(event.ticket, messages.Verdict.NOT_HOLDER)]
    if contact.is_store_lost(state, now):
        return [_answer(event.ticket, messages.Verdict.UNAVAILABLE)]
    deadline = now + event.remaining
    state.tickets[event.ticket] = scheduler.Ticket(
        deadline, spec=spec, forwarded=True
    )
    return [effects.WriteJob(event.ticket, spec)]


def _accept(ticket: ids.TicketId) -> effects.AnswerQuery:
    return _answer(ticket, messages.Verdict.ACCEPTED)


def _answer(
    ticket: ids.TicketId, verdict: messages.Verdict
) -> effects.AnswerQuery:
    retry = RETRY_AFTER_S if verdict is messages.Verdict.UNAVAILABLE else 0
    return effects.AnswerQuery(
        ticket, messages.Answer(verdict, retry_after_s=retry)
    )


def _refuse(
    event: events.SubmitArrived, pause: datetime.timedelta, open_jobs: int
) -> Made:
    answer = messages.Answer(
        messages.Verdict.OVERLOADED,
        retry_after_s=max(1, round(pause.total_seconds())),
    )
    log = effects.Log(
        "submit",
        event.spec.job_id,
        "refused: overloaded",
        (("queue", event.spec.queue.name), ("open_jobs", str(open_jobs))),
    )
    return [log, effects.AnswerQuery(event.ticket, answer)]


def _pass_on(
    state: scheduler.SchedulerState,
    name: ids.TicketId,
    ticket: scheduler.Ticket,
) -> Made:
    """Asks the holder to store a job; nothing if it was asked already."""
    spec = ticket.spec
    address = state.find_holder()
    if spec is None or address is None or ticket.forwarded:
        return []
    ticket.forwarded = True
    query = messages.Query(messages.Question.SUBMIT, spec.job_id, spec=spec)
    log = effects.Log(
        "submit", spec.job_id, "passed on", (("holder", str(address)),)
    )
    return [log, effects.ForwardQuery(name, address, query)]


def note_passed_on(
    state: scheduler.SchedulerState,
    event: events.QueryAnswered,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> Made:
    """Applies the holder's answer to a submission that was passed on."""
    assert ticket.spec is not None
    verdict = None if event.answer is None else event.answer.verdict
    if verdict is messages.Verdict.ACCEPTED:
        del state.tickets[event.ticket]
        inputs = (("queue", ticket.spec.queue.name), ("by", "holder"))
        log = effects.Log("submit", ticket.spec.job_id, "accepted", inputs)
        return [log, _accept(event.ticket)]
    if verdict in (None, messages.Verdict.UNKNOWN):
        # The holder may have stored it, or may still do so.
        ticket.doubtful = True
    if contact.is_store_lost(state, now) or now >= ticket.deadline:
        return _give_up(state, event.ticket, ticket, "holder did not store it")
    return [effects.WriteJob(event.ticket, ticket.spec)]


def note_written(
    state: scheduler.SchedulerState,
    event: events.JobWritten,
    now: datetime.timedelta,
) -> Made:
    """Answers a submission, or tries again."""
    made = contact.note_store(state, event.result, now)
    ticket = state.tickets.get(event.ticket)
    if ticket is None or ticket.spec is None:
        return made
    ticket.tries += 1
    if event.result in contact.ANSWERED:
        return [*made, *_finish(state, event, ticket, now)]
    if event.result is storage.WriteResult.UNKNOWN:
        ticket.doubtful = True
    passed_on = _pass_on(state, event.ticket, ticket)
    if passed_on:
        return [*made, *passed_on]
    refused = ticket.tries >= MAX_REFUSED_TRIES and not ticket.doubtful
    lost = contact.is_store_lost(state, now)
    if now + WRITE_PAUSE < ticket.deadline and not refused and not lost:
        again = effects.WriteJob(event.ticket, ticket.spec, WRITE_PAUSE)
        return [*made, again]
    why = event.result.value
    return [*made, *_give_up(state, event.ticket, ticket, why)]


def _give_up(
    state: scheduler.SchedulerState,
    name: ids.TicketId,
    ticket: scheduler.Ticket,
    why: str,
) -> Made:
    """Refuses a job that was certainly not stored, or says that it may be."""
    assert ticket.spec is not None
    del state.tickets[name]
    verdict = messages.Verdict.UNAVAILABLE
    if ticket.doubtful:
        verdict = messages.Verdict.UNKNOWN
    inputs = (("tries", str(ticket.tries)), ("last", why))
    log = effects.Log("submit", ticket.spec.job_id, verdict.value, inputs)
    return [log, _answer(name, verdict)]


def _finish(
    state: scheduler.SchedulerState,
    event: events.JobWritten,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> Made:
    del state.tickets[event.ticket]
    spec: specs.JobSpec | None = ticket.spec
    assert spec is not None
    inputs = (
        ("queue", spec.queue.name),
        ("steps", str(len(spec.steps))),
        ("tries", str(ticket.tries)),
    )
    made: Made = [
        effects.Log("submit", spec.job_id, "accepted", inputs),
        _accept(event.ticket),
    ]
    if event.result is storage.WriteResult.CONFLICT:
        # An earlier submission of the same id may have been another one.
        return made
    if state.role is scheduler.Role.HOLDER and state.holding is not None:
        lifecycle.add_job(state.holding, storage.JobRows(spec), now)
    elif (address := state.find_holder()) is not None:
        query = messages.Query(
            messages.Question.ACCEPTED, spec.job_id, spec=spec
        )
        made.append(effects.TellHolder(address, query))
    return made
