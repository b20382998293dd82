"""Life cycle of a request in an entry: admission, attempts, retries, end.

Requests that run at most once are claimed (`claims`) before each attempt, and
their result is recorded (`results`) before the caller is answered, unless the
table fails.
"""

import datetime

from gypsumhold.decisions import claims, dispatches, results, shares
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    requests,
    states,
    timers,
)

RECHECK_DELAY = datetime.timedelta(milliseconds=250)
"""Delay before an agent is asked again about an attempt that still runs."""

_LOAD_INDEPENDENT_REFUSALS = {
    # These refusals do not depend on load, so another instance is tried at
    # once, without backoff.
    states.Reason.STALE_INCARNATION,
    states.Reason.DRAINING,
    states.Reason.TOMBSTONED,
}


def handle_call(
    state: entry.EntryState,
    event: events.CallArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Validates a new request and sends its first attempt or writes its claim.

    A request that is refused is answered at once and leaves no state behind.
    """
    request = event.request
    refusal = _check_request(state, request, now)
    if refusal is not None:
        result = claims.qualify_refusal(state, request, refusal)
        return [effects.AnswerCall(request.request_id, result)]
    template = state.configuration.resolve(request.organisation, request.kind)
    assert template is not None
    call = entry.Call(
        request=request,
        template=template,
        deadline=now + min(request.remaining, template.timeout),
    )
    state.calls[request.request_id] = call
    state.waiting[template.work_class] += 1
    state.demand[template.work_class][request.organisation].waiting += 1
    state.policies.retries.count_call()
    if template.repeatable:
        return _send_next_attempt(state, call, now)
    return claims.begin_claim(state, call, now)


def _check_request(
    state: entry.EntryState,
    request: requests.Request,
    now: datetime.timedelta,
) -> requests.Result | None:
    """Returns the refusal of a new request, or None if it is admitted."""
    if state.stopping:
        return dispatches.build_refusal(
            states.Reason.STOPPING, dispatches.RETRY_AFTER
        )
    if not state.configuration.version:
        return dispatches.build_refusal(
            states.Reason.NO_CONFIGURATION, dispatches.RETRY_AFTER
        )
    if request.organisation not in state.configuration.organisations:
        return dispatches.build_refusal(states.Reason.UNKNOWN_ORGANISATION)
    template = state.configuration.resolve(request.organisation, request.kind)
    if template is None or template.work is not states.WorkForm.REQUEST:
        return dispatches.build_refusal(states.Reason.UNKNOWN_KIND)
    if request.remaining <= datetime.timedelta(0):
        return dispatches.build_refusal(states.Reason.EXPIRED)
    if not template.repeatable and request.key is None:
        return dispatches.build_refusal(states.Reason.KEY_REQUIRED)
    if not shares.admit(state, request, template.work_class, now):
        return dispatches.build_refusal(
            states.Reason.OVERLOADED, dispatches.RETRY_AFTER
        )
    return None


def _send_next_attempt(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Makes the next attempt, or ends the call if no attempt is possible.

    None is possible after the deadline or if no instance can take the call.
    """
    if now >= call.deadline:
        return _conclude(
            state, call, dispatches.build_refusal(states.Reason.EXPIRED), now
        )
    member = dispatches.choose_target(state, call, now)
    if member is None:
        reason = call.reason
        if reason is states.Reason.NONE:
            reason = states.Reason.NO_UPSTREAM
        result = dispatches.build_refusal(reason, dispatches.RETRY_AFTER)
        return _conclude(state, call, result, now)
    if not call.template.repeatable:
        return claims.claim_attempt(state, call, member, now)
    dispatches.set_target(state, call, member, now)
    return dispatches.send_dispatch(state, call, now)


def _conclude(
    state: entry.EntryState,
    call: entry.Call,
    result: requests.Result,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends the call; a claimed one is answered after its claim is updated."""
    if call.template.repeatable:
        return dispatches.finish_call(state, call, result)
    return results.record_result(state, call, result, now)


def _retry_or_conclude(
    state: entry.EntryState,
    call: entry.Call,
    result: requests.Result,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Handles an attempt that ended without an answer from the upstream.

    The call ends if its work may have run and is not repeatable, if the
    attempts are used up, or if the retry policy allows no further one.
    """
    assert call.target is not None
    call.tried_instances.add(call.target)
    call.reason = result.reason
    may_have_run = result.outcome is not states.Outcome.NOT_RUN
    if may_have_run and not call.template.repeatable:
        return _conclude(state, call, result, now)
    if call.attempt >= state.options.max_attempts:
        return _conclude(state, call, result, now)
    if result.reason in _LOAD_INDEPENDENT_REFUSALS:
        return _send_next_attempt(state, call, now)
    delay = state.policies.retries.plan(
        result.reason, call.attempt, call.deadline - now, state.random
    )
    if delay is None:
        return _conclude(state, call, result, now)
    if not delay:
        return _send_next_attempt(state, call, now)
    return dispatches.pause_call(call, states.CallPhase.WAITING_RETRY, delay)


def handle_reply(
    state: entry.EntryState,
    event: events.DispatchAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies an agent's reply to the attempt that the call awaits."""
    call = state.calls.get(event.request_id)
    if call is None or not dispatches.is_awaited(call, event):
        return []
    if call.phase is states.CallPhase.DISPATCHED:
        dispatches.record_dispatch_end(state, call, event.reply, now)
    return _apply_reply(state, call, event.reply, now)


def _apply_reply(
    state: entry.EntryState,
    call: entry.Call,
    reply: requests.DispatchReply,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends the call if the attempt completed; otherwise considers a retry."""
    result = requests.Result(
        reply.outcome, reply.reason, reply.answer, reply.retry_after
    )
    if reply.outcome is states.Outcome.COMPLETED:
        return _conclude(state, call, result, now)
    if reply.outcome is not states.Outcome.NOT_RUN:
        call.may_have_run = True
    return _retry_or_conclude(state, call, result, now)


def handle_dispatch_failure(
    state: entry.EntryState,
    event: events.DispatchFailed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Handles a dispatch call that broke or timed out.

    If no byte was sent, the work has certainly not run, and the call is retried
    or ends. Otherwise the attempt is cancelled at its agent, which is asked for
    the outcome; if the instance is no longer a member, the outcome is
    indeterminate. An event for a call that no longer waits for this dispatch is
    ignored.
    """
    call = state.calls.get(event.request_id)
    if call is None or not dispatches.is_awaited(call, event):
        return []
    if call.phase is not states.CallPhase.DISPATCHED:
        return []
    dispatches.record_dispatch_end(state, call, None, now)
    if event.sent:
        return _ask_target(state, call, now)
    result = dispatches.build_refusal(
        states.Reason.AGENT_LOST, dispatches.RETRY_AFTER
    )
    return _retry_or_conclude(state, call, result, now)


def handle_cancel_answer(
    state: entry.EntryState,
    event: events.CancelAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the answer to a cancel of the latest attempt.

    If the call probes the claim of another call, `claims` handles the answer.

    An attempt that the agent never received or removed from its queue has not
    run. One that still runs is asked about again until shortly after the
    deadline. In all other cases without a final reply the outcome is unknown.
    """
    call = state.calls.get(event.owner)
    if call is None:
        return []
    if call.phase is states.CallPhase.PROBING:
        return claims.handle_probe_answer(state, call, event, now)
    is_current_attempt = event.cancel.attempt == call.attempt
    if call.phase is not states.CallPhase.CANCELLING or not is_current_attempt:
        return []
    reply = event.reply
    if reply is None:
        return _handle_unknown_outcome(
            state, call, states.Reason.AGENT_LOST, now
        )
    if reply.answer is states.CancelAnswer.RUNNING:
        if now + RECHECK_DELAY >= call.deadline + dispatches.DISPATCH_GRACE:
            return _handle_unknown_outcome(
                state, call, states.Reason.UPSTREAM_TIMEOUT, now
            )
        return dispatches.pause_call(
            call, states.CallPhase.CANCELLING, RECHECK_DELAY
        )
    if reply.answer is states.CancelAnswer.FINISHED and reply.reply:
        return _apply_reply(state, call, reply.reply, now)
    if reply.answer in (
        states.CancelAnswer.NEVER_SEEN,
        states.CancelAnswer.REMOVED,
    ):
        result = dispatches.build_refusal(
            states.Reason.AGENT_LOST, dispatches.RETRY_AFTER
        )
        return _retry_or_conclude(state, call, result, now)
    return _handle_unknown_outcome(
        state, call, states.Reason.INCARNATION_GONE, now
    )


def _ask_target(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Asks the target for the outcome of the attempt.

    The outcome of an attempt at a retired instance cannot be found out.
    """
    if call.target not in state.members:
        return _handle_unknown_outcome(
            state, call, states.Reason.INCARNATION_GONE, now
        )
    return dispatches.send_cancel(state, call)


def _handle_unknown_outcome(
    state: entry.EntryState,
    call: entry.Call,
    reason: states.Reason,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Handles an attempt that may have run with an unknown outcome."""
    call.may_have_run = True
    result = requests.Result(states.Outcome.INDETERMINATE, reason)
    return _retry_or_conclude(state, call, result, now)


def resume_call(
    state: entry.EntryState,
    timer: timers.Timer,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Continues a call when the timer of its pause fires."""
    call = state.calls.get(ids.RequestId(timer.subject))
    if call is None:
        return []
    if call.phase is states.CallPhase.WAITING_RETRY:
        return _send_next_attempt(state, call, now)
    if call.phase is states.CallPhase.CANCELLING:
        return _ask_target(state, call, now)
    return claims.resume_claim(state, call, now)
