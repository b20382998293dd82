"""Takes submissions: stores them, passes them on, or refuses them at once.

An entry that the store does not answer passes a submission on to the holder of
the queue. Both insert the same row under the condition that it is absent, so
it does no harm if both succeed.
"""

import datetime

from gypsumhold.decisions.jobs import lifecycle, store_health
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

RETRY_PAUSE = datetime.timedelta(milliseconds=80)
MAX_REFUSED_ATTEMPTS = 5
"""Refusals by the store before the caller is told to come back."""

RETRY_AFTER_S = 1


def handle_submission(
    state: scheduler.SchedulerState,
    event: events.SubmitArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Stores a job, or refuses it at once."""
    spec = event.spec
    holder_state = state.holder_state
    if holder_state is not None and spec.job_id in holder_state.jobs:
        return [_accept(event.ticket)]
    if holder_state is not None and state.role is scheduler.Role.HOLDER:
        pause = state.policies.admission.choose_retry(
            spec, list(holder_state.open_jobs.values())
        )
        if pause is not None:
            return _refuse(event, pause, len(holder_state.open_jobs))
    if spec.queue.advised:
        # Its starts need tickets of an outside service, which is not asked yet.
        log = effects.Log("submit", spec.job_id, "refused: advised queue")
        return [log, _answer(event.ticket, messages.Verdict.UNAVAILABLE)]
    deadline = now + event.remaining
    ticket = scheduler.Ticket(deadline, spec=spec)
    state.tickets[event.ticket] = ticket
    if store_health.is_store_unreachable(state, now):
        return _forward(state, event.ticket, ticket) or _give_up(
            state, event.ticket, ticket, "store lost"
        )
    return [effects.WriteJob(event.ticket, spec)]


def handle_forwarded_submission(
    state: scheduler.SchedulerState,
    event: events.QueryArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Stores a job that another entry could not store."""
    spec = event.query.spec
    if spec is None or state.role is not scheduler.Role.HOLDER:
        return [_answer(event.ticket, messages.Verdict.NOT_HOLDER)]
    if store_health.is_store_unreachable(state, now):
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
) -> EffectList:
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


def _forward(
    state: scheduler.SchedulerState,
    name: ids.TicketId,
    ticket: scheduler.Ticket,
) -> EffectList:
    """Asks the holder to store a job; nothing if it was asked already."""
    spec = ticket.spec
    address = state.find_holder_address()
    if spec is None or address is None or ticket.forwarded:
        return []
    ticket.forwarded = True
    query = messages.Query(messages.Question.SUBMIT, spec.job_id, spec=spec)
    log = effects.Log(
        "submit", spec.job_id, "passed on", (("holder", str(address)),)
    )
    return [log, effects.ForwardQuery(name, address, query)]


def handle_forward_answered(
    state: scheduler.SchedulerState,
    event: events.QueryAnswered,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> EffectList:
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
        ticket.in_doubt = True
    if store_health.is_store_unreachable(state, now) or now >= ticket.deadline:
        return _give_up(state, event.ticket, ticket, "holder did not store it")
    return [effects.WriteJob(event.ticket, ticket.spec)]


def handle_job_written(
    state: scheduler.SchedulerState,
    event: events.JobWritten,
    now: datetime.timedelta,
) -> EffectList:
    """Answers a submission, or tries again."""
    emitted = store_health.record_write_result(state, event.result, now)
    ticket = state.tickets.get(event.ticket)
    if ticket is None or ticket.spec is None:
        return emitted
    ticket.attempts += 1
    if event.result in store_health.ANSWERED_RESULTS:
        return [*emitted, *_confirm(state, event, ticket, now)]
    if event.result is storage.WriteResult.UNKNOWN:
        ticket.in_doubt = True
    passed_on = _forward(state, event.ticket, ticket)
    if passed_on:
        return [*emitted, *passed_on]
    refused = ticket.attempts >= MAX_REFUSED_ATTEMPTS and not ticket.in_doubt
    lost = store_health.is_store_unreachable(state, now)
    if now + RETRY_PAUSE < ticket.deadline and not refused and not lost:
        again = effects.WriteJob(event.ticket, ticket.spec, RETRY_PAUSE)
        return [*emitted, again]
    why = event.result.value
    return [*emitted, *_give_up(state, event.ticket, ticket, why)]


def _give_up(
    state: scheduler.SchedulerState,
    name: ids.TicketId,
    ticket: scheduler.Ticket,
    why: str,
) -> EffectList:
    """Refuses a job that was certainly not stored, or says that it may be."""
    assert ticket.spec is not None
    del state.tickets[name]
    verdict = messages.Verdict.UNAVAILABLE
    if ticket.in_doubt:
        verdict = messages.Verdict.UNKNOWN
    inputs = (("tries", str(ticket.attempts)), ("last", why))
    log = effects.Log("submit", ticket.spec.job_id, verdict.value, inputs)
    return [log, _answer(name, verdict)]


def _confirm(
    state: scheduler.SchedulerState,
    event: events.JobWritten,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> EffectList:
    del state.tickets[event.ticket]
    spec: specs.JobSpec | None = ticket.spec
    assert spec is not None
    inputs = (
        ("queue", spec.queue.name),
        ("steps", str(len(spec.steps))),
        ("tries", str(ticket.attempts)),
    )
    emitted: EffectList = [
        effects.Log("submit", spec.job_id, "accepted", inputs),
        _accept(event.ticket),
    ]
    if event.result is storage.WriteResult.CONFLICT:
        # An earlier submission of the same id may have been another one.
        return emitted
    if state.role is scheduler.Role.HOLDER and state.holder_state is not None:
        lifecycle.add_job(state.holder_state, storage.JobRows(spec), now)
    elif (address := state.find_holder_address()) is not None:
        query = messages.Query(
            messages.Question.ACCEPTED, spec.job_id, spec=spec
        )
        emitted.append(effects.TellHolder(address, query))
    return emitted
