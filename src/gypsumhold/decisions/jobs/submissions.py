"""Handles submissions: stores, forwards or refuses them.

An entry that cannot reach the store forwards a submission to the holder of the
queue. Both insert the same row on condition that it is absent, so a submission
that both store is still stored only once.
"""

import datetime

from gypsumhold.decisions.jobs import holders, lifecycle, store_health
from gypsumhold.decisions.jobs.overload import shares
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    forecasts,
    messages,
    scheduler,
    specs,
    storage,
)

EffectList = list[base_effects.Effect]

RETRY_DELAY = datetime.timedelta(milliseconds=80)
MAX_REFUSED_ATTEMPTS = 5
"""Failed writes, none of them in doubt, after which the caller has to retry."""

RETRY_AFTER_S = 1


def handle_submission(
    state: scheduler.SchedulerState,
    event: events.SubmitArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Stores, forwards or refuses a job; accepts one that is in memory.

    A job that another entry forwards, or that this entry would forward because
    it cannot reach the store, is not refused.
    """
    spec = event.spec
    holder_state = state.holder_state
    if holder_state is not None and spec.job_id in holder_state.jobs:
        return [_accept(event.ticket)]
    if spec.queue.advised:
        # Starts of its tasks need tickets of an external service, whose calls
        # are not implemented yet.
        log = effects.Log("submit", spec.job_id, "refused: advised queue")
        return [log, _answer(event.ticket, messages.Verdict.UNAVAILABLE)]
    deadline = now + event.remaining
    ticket = scheduler.Ticket(deadline, spec=spec)
    state.tickets[event.ticket] = ticket
    if store_health.is_store_unreachable(state, now):
        return _forward(state, event.ticket, ticket) or _give_up(
            state, event.ticket, ticket, "store lost"
        )
    policy = state.policies.admission
    jitter = state.rng.random() if policy.needs_forecast else 0.0
    decision = policy.decide(
        forecasts.AdmissionInputs(
            spec, state.forecast, now, state.shares, jitter
        )
    )
    if decision.retry_delay is None:
        shares.record(state.shares, decision, accepted=True)
        return [effects.WriteJob(event.ticket, spec)]
    # An earlier attempt may have stored the job, and a stored job runs.
    ticket.refusal = decision
    return [effects.ReadJob(event.ticket, spec.job_id)]


def handle_job_read(
    state: scheduler.SchedulerState,
    event: events.JobRead,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> EffectList:
    """Refuses a job as decided, unless it is stored or that is not known."""
    spec, decision = ticket.spec, ticket.refusal
    assert spec is not None
    assert decision is not None
    ticket.refusal = None
    is_refused = event.rows is not None and event.rows.spec is None
    shares.record(state.shares, decision, accepted=not is_refused)
    if event.rows is None:
        return [effects.WriteJob(event.ticket, spec)]
    del state.tickets[event.ticket]
    if not is_refused:
        return [_accept(event.ticket)]
    return _refuse(state, event.ticket, spec, decision, now)


def handle_forwarded_submission(
    state: scheduler.SchedulerState,
    event: events.QueryArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Stores a job for another entry that could not store it."""
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
    state: scheduler.SchedulerState,
    ticket_id: ids.TicketId,
    spec: specs.JobSpec,
    decision: forecasts.AdmissionDecision,
    now: datetime.timedelta,
) -> EffectList:
    """Refuses a job that would end too late; logs the inputs."""
    assert decision.retry_delay is not None
    assert decision.key is not None
    retry_after_s = max(1, round(decision.retry_delay.total_seconds()))
    answer = messages.Answer(
        messages.Verdict.OVERLOADED, retry_after_s=retry_after_s
    )
    share = state.shares[decision.key]
    forecast = state.forecast
    age = datetime.timedelta(0) if forecast is None else now - forecast.made_at
    inputs = (
        ("queue", spec.queue.name),
        ("size", str(decision.key.size)),
        ("expected_ms", str(lifecycle.to_ms(decision.expected))),
        ("limit_ms", str(lifecycle.to_ms(decision.limit))),
        ("forecast_ms", str(lifecycle.to_ms(age))),
        ("accepted", f"{share.accepted:.0f}"),
        ("asked", f"{share.asked:.0f}"),
        ("retry_after_s", str(retry_after_s)),
    )
    log = effects.Log("submit", spec.job_id, "refused: overloaded", inputs)
    return [log, effects.AnswerQuery(ticket_id, answer)]


def _forward(
    state: scheduler.SchedulerState,
    ticket_id: ids.TicketId,
    ticket: scheduler.Ticket,
) -> EffectList:
    """Forwards a submission to the holder of the queue.

    Returns:
        No effects if the holder is unknown or the submission was forwarded
        before.
    """
    spec = ticket.spec
    address = state.find_holder_address()
    if spec is None or address is None or ticket.forwarded:
        return []
    ticket.forwarded = True
    query = messages.Query(messages.QueryKind.SUBMIT, spec.job_id, spec=spec)
    log = effects.Log(
        "submit", spec.job_id, "passed on", (("holder", str(address)),)
    )
    return [log, effects.ForwardQuery(ticket_id, address, query)]


def handle_submission_answered(
    state: scheduler.SchedulerState,
    event: events.QueryAnswered,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the holder's answer to a forwarded submission."""
    assert ticket.spec is not None
    verdict = None if event.answer is None else event.answer.verdict
    if verdict is messages.Verdict.ACCEPTED:
        del state.tickets[event.ticket]
        inputs = (("queue", ticket.spec.queue.name), ("by", "holder"))
        log = effects.Log("submit", ticket.spec.job_id, "accepted", inputs)
        return [log, _accept(event.ticket)]
    if verdict in (None, messages.Verdict.UNKNOWN):
        # The holder may have stored the job, or may still store it.
        ticket.in_doubt = True
    if store_health.is_store_unreachable(state, now) or now >= ticket.deadline:
        return _give_up(state, event.ticket, ticket, "holder did not store it")
    return [effects.WriteJob(event.ticket, ticket.spec)]


def handle_job_written(
    state: scheduler.SchedulerState,
    event: events.JobWritten,
    now: datetime.timedelta,
) -> EffectList:
    """Handles the result of writing a submitted job.

    The submission is accepted if the job was stored or a job with its id
    already exists. If the write failed or its result is unknown, the submission
    is forwarded to the holder, once and only if one is known; if it is not
    forwarded, the write is repeated after a delay. If no repetition is allowed
    (time or attempts used up, store unreachable), the client is answered that
    the job was not stored, or that this is unknown.
    """
    emitted = store_health.record_write_result(state, event.result, now)
    ticket = state.tickets.get(event.ticket)
    if ticket is None or ticket.spec is None:
        return emitted
    ticket.attempts += 1
    if event.result in store_health.ANSWERED_RESULTS:
        return [*emitted, *_confirm(state, event, ticket, now)]
    if event.result is storage.WriteResult.UNKNOWN:
        ticket.in_doubt = True
    forwarded = _forward(state, event.ticket, ticket)
    if forwarded:
        return [*emitted, *forwarded]
    is_refused = ticket.attempts >= MAX_REFUSED_ATTEMPTS and not ticket.in_doubt
    is_unreachable = store_health.is_store_unreachable(state, now)
    if (
        now + RETRY_DELAY < ticket.deadline
        and not is_refused
        and not is_unreachable
    ):
        retry = effects.WriteJob(event.ticket, ticket.spec, RETRY_DELAY)
        return [*emitted, retry]
    reason = event.result.value
    return [*emitted, *_give_up(state, event.ticket, ticket, reason)]


def _give_up(
    state: scheduler.SchedulerState,
    ticket_id: ids.TicketId,
    ticket: scheduler.Ticket,
    reason: str,
) -> EffectList:
    """Ends a submission whose job could not be stored.

    The answer is `UNAVAILABLE` if the job was certainly not stored, `UNKNOWN`
    if an earlier write or the holder may have stored it or still may.
    """
    assert ticket.spec is not None
    del state.tickets[ticket_id]
    verdict = messages.Verdict.UNAVAILABLE
    if ticket.in_doubt:
        verdict = messages.Verdict.UNKNOWN
    inputs = (("tries", str(ticket.attempts)), ("last", reason))
    log = effects.Log("submit", ticket.spec.job_id, verdict.value, inputs)
    return [log, _answer(ticket_id, verdict)]


def _confirm(
    state: scheduler.SchedulerState,
    event: events.JobWritten,
    ticket: scheduler.Ticket,
    now: datetime.timedelta,
) -> EffectList:
    """Accepts a stored job, and adds it to memory or notifies the holder."""
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
        # The stored job with this id may be from an earlier submission and
        # differ from this one.
        return emitted
    if state.role is scheduler.Role.HOLDER and state.holder_state is not None:
        rows = storage.JobRows(spec)
        emitted += holders.add_stored_job(state.holder_state, rows, now)
    elif (address := state.find_holder_address()) is not None:
        query = messages.Query(
            messages.QueryKind.ACCEPTED, spec.job_id, spec=spec
        )
        emitted.append(effects.NotifyHolder(address, query))
    return emitted
