"""Dispatches in an agent: acceptance, queue, slots, memory of attempts."""

import datetime

from gypsumhold.decisions import attempt_records, occupancy
from gypsumhold.model import (
    agent,
    declarations,
    effects,
    events,
    policies,
    requests,
    states,
    timers,
)

RETRY_AFTER = datetime.timedelta(seconds=1)
"""Pause that is suggested after a refusal for load."""

GAIN_UP = 0.02
GAIN_DOWN = 0.2
"""Gains of the service time estimate; it settles near the tenth percentile,
so that a call that might end in time is rarely dropped."""

ESTIMATE_DECAY = 0.98
"""Factor for the estimate at each call that is dropped because of it."""


def handle_dispatch(
    state: agent.AgentState,
    event: events.DispatchArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Accepts a dispatch into the queue or refuses it."""
    dispatch = event.dispatch
    key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
    known = attempt_records.find_reply(state, key)
    if known is not None:
        return [effects.ReplyDispatch(key, known)]
    template = state.configuration.resolve(dispatch.organisation, dispatch.kind)
    reason = _find_refusal(state, dispatch, template, now)
    if reason is not states.Reason.NONE or template is None:
        return [_refuse(state, key, dispatch, reason)]
    organisation = state.configuration.organisations[dispatch.organisation]
    queued = policies.QueuedCall(
        key=key,
        organisation=dispatch.organisation,
        work_class=template.work_class,
        weight=organisation.weight,
        deadline=now + dispatch.remaining,
        arrived=now,
    )
    made: list[effects.Effect] = []
    if state.policies.queue.count() >= state.options.queue_limit:
        victim = state.policies.queue.choose_victim(queued)
        if victim is None:
            return [_refuse(state, key, dispatch, states.Reason.OVERLOADED)]
        state.policies.queue.remove(victim.key)
        made.append(_end_unrun(state, victim.key, states.Reason.OVERLOADED))
    state.calls[key] = agent.AgentCall(dispatch, template, queued)
    state.policies.queue.push(queued)
    return [*made, *fill_slots(state, now)]


def _find_refusal(
    state: agent.AgentState,
    dispatch: requests.Dispatch,
    template: declarations.Template | None,
    now: datetime.timedelta,
) -> states.Reason:
    if dispatch.incarnation != state.options.incarnation:
        return states.Reason.STALE_INCARNATION
    if state.draining or state.stopping:
        return states.Reason.DRAINING
    if not state.configuration.version:
        return states.Reason.NO_CONFIGURATION
    if template is None:
        return states.Reason.UNKNOWN_KIND
    if not occupancy.is_usable(state, now) or state.upstream is None:
        return states.Reason.NO_UPSTREAM
    if dispatch.kind not in state.upstream.kinds:
        return states.Reason.UNKNOWN_KIND
    late = now >= dispatch.valid_until
    if late or dispatch.remaining <= datetime.timedelta(0):
        return states.Reason.EXPIRED
    return _find_overload(state, dispatch)


def _find_overload(
    state: agent.AgentState, dispatch: requests.Dispatch
) -> states.Reason:
    organisation = state.configuration.organisations[dispatch.organisation]
    waiting = state.policies.queue.count(dispatch.organisation)
    full = waiting >= organisation.queue_limit
    return states.Reason.OVERLOADED if full else states.Reason.NONE


def _refuse(
    state: agent.AgentState,
    key: requests.AttemptKey,
    dispatch: requests.Dispatch,
    reason: states.Reason,
) -> effects.Effect:
    reply = requests.DispatchReply(
        states.Outcome.NOT_RUN, reason, retry_after=RETRY_AFTER
    )
    if dispatch.keep_answer and reason is not states.Reason.STALE_INCARNATION:
        attempt_records.record_reply(state, dispatch, reply)
    return effects.ReplyDispatch(key, reply)


def fill_slots(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Gives free slots to waiting calls; expired ones are dropped first."""
    made: list[effects.Effect] = []
    for expired in state.policies.queue.pop_expired(now):
        made.append(_end_unrun(state, expired.key, states.Reason.EXPIRED))
    if state.upstream is not None and state.upstream.draining:
        return [*made, *_refuse_waiting(state), *report_stopped(state)]
    while state.policies.queue.count() and occupancy.count_free(state, now):
        queued = state.policies.queue.pop()
        if queued is None:
            break
        if _is_futile(state, queued, now):
            made.append(_end_unrun(state, queued.key, states.Reason.EXPIRED))
        else:
            made.append(_call_upstream(state, queued.key, now))
    return [*made, *_set_queue_timer(state, now), *report_stopped(state)]


def _refuse_waiting(state: agent.AgentState) -> list[effects.Effect]:
    """Sends waiting calls back, so that an upstream that leaves gets none."""
    waiting = [
        key
        for key, call in state.calls.items()
        if call.phase is states.DispatchPhase.QUEUED
    ]
    for key in waiting:
        state.policies.queue.remove(key)
    return [_end_unrun(state, key, states.Reason.DRAINING) for key in waiting]


def _is_futile(
    state: agent.AgentState,
    queued: policies.QueuedCall,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a call would hold a slot beyond its deadline.

    Under overload the earliest deadlines are the ones that cannot be met.
    Running such calls would waste the slots and leave them in doubt.
    """
    kind = state.calls[queued.key].template.name
    expected = state.service_times.get(kind, 0.0)
    if (queued.deadline - now).total_seconds() >= expected:
        return False
    # The estimate has to come down again although nothing is measured.
    state.service_times[kind] = expected * ESTIMATE_DECAY
    return True


def _learn_service_time(
    state: agent.AgentState, call: agent.AgentCall, now: datetime.timedelta
) -> None:
    """Follows the short end of the service times of a kind."""
    kind = call.template.name
    actual = (now - call.started_at).total_seconds()
    expected = state.service_times.get(kind, actual)
    gain = GAIN_UP if actual > expected else GAIN_DOWN
    state.service_times[kind] = expected + gain * (actual - expected)


def _set_queue_timer(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    earliest = state.policies.queue.find_earliest()
    if earliest is None:
        return []
    timer = timers.Timer(timers.TimerKind.QUEUE)
    return [effects.SetTimer(timer, earliest - now)]


def _call_upstream(
    state: agent.AgentState,
    key: requests.AttemptKey,
    now: datetime.timedelta,
) -> effects.Effect:
    assert state.upstream is not None
    call = state.calls[key]
    call.phase = states.DispatchPhase.RUNNING
    call.started_at = now
    state.running += 1
    return effects.CallUpstream(
        key,
        state.upstream.address,
        call.queued.deadline - now,
        call.dispatch.payload,
        fresh=call.dispatch.keep_answer,
    )


def _end_unrun(
    state: agent.AgentState,
    key: requests.AttemptKey,
    reason: states.Reason,
) -> effects.Effect:
    call = state.calls.pop(key)
    reply = requests.DispatchReply(
        states.Outcome.NOT_RUN, reason, retry_after=RETRY_AFTER
    )
    attempt_records.record_reply(state, call.dispatch, reply)
    return effects.ReplyDispatch(key, reply)


def handle_queue_timer(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Drops expired calls."""
    return fill_slots(state, now)


def handle_upstream_answer(
    state: agent.AgentState,
    event: events.UpstreamAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Passes the upstream's whole answer on and frees the slot."""
    call = state.calls.get(event.key)
    if call is None or call.phase is not states.DispatchPhase.RUNNING:
        return []
    _learn_service_time(state, call, now)
    running = [
        item.start.kind
        for item in state.executions.values()
        if item.state is states.ExecutionState.RUNNING
    ]
    state.policies.interference.observe(
        call.template.name, now - call.started_at, running
    )
    reply = requests.DispatchReply(
        states.Outcome.COMPLETED, answer=event.answer
    )
    return _end_run(state, event.key, reply, now)


def _end_run(
    state: agent.AgentState,
    key: requests.AttemptKey,
    reply: requests.DispatchReply,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    call = state.calls.pop(key)
    state.running -= 1
    state.policies.queue.record_service_time(call.queued, now - call.started_at)
    attempt_records.record_reply(state, call.dispatch, reply)
    ended = effects.ReplyDispatch(key, reply)
    return [ended, *fill_slots(state, now)]


def handle_upstream_failure(
    state: agent.AgentState,
    event: events.UpstreamCallFailed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends a call whose answer is lost; its slot may stay in use."""
    call = state.calls.get(event.key)
    if call is None or call.phase is not states.DispatchPhase.RUNNING:
        return []
    if event.sent:
        occupancy.add_abandoned_slots(state, [event.key], now)
        reply = requests.DispatchReply(
            states.Outcome.INDETERMINATE, event.reason
        )
    else:
        reply = requests.DispatchReply(
            states.Outcome.NOT_RUN, event.reason, retry_after=RETRY_AFTER
        )
    return _end_run(state, event.key, reply, now)


def handle_cancel(
    state: agent.AgentState,
    event: events.CancelArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Says what became of an attempt and fences one that never came."""
    cancel = event.cancel
    key = requests.AttemptKey(cancel.request_id, cancel.attempt)
    if cancel.incarnation != state.options.incarnation:
        return [_reply_cancel(event, states.CancelAnswer.STALE_INCARNATION)]
    memory = state.attempt_records.get(key)
    if memory is not None and memory.reply is not None:
        reply = requests.CancelReply(states.CancelAnswer.FINISHED, memory.reply)
        return [effects.ReplyCancel(event.ticket, reply)]
    if memory is not None:
        return [_reply_cancel(event, states.CancelAnswer.NEVER_SEEN)]
    call = state.calls.get(key)
    if call is not None:
        return _cancel_call(state, event, key, call, now)
    return [_reply_cancel(event, attempt_records.fence(state, cancel, now))]


def _cancel_call(
    state: agent.AgentState,
    event: events.CancelArrived,
    key: requests.AttemptKey,
    call: agent.AgentCall,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    queued = call.phase is states.DispatchPhase.QUEUED
    if not queued or not event.cancel.remove_queued:
        return [_reply_cancel(event, states.CancelAnswer.RUNNING)]
    state.policies.queue.remove(key)
    return [
        _end_unrun(state, key, states.Reason.CANCELLED),
        _reply_cancel(event, states.CancelAnswer.REMOVED),
        *report_stopped(state),
    ]


def _reply_cancel(
    event: events.CancelArrived, answer: states.CancelAnswer
) -> effects.Effect:
    return effects.ReplyCancel(event.ticket, requests.CancelReply(answer))


def report_stopped(state: agent.AgentState) -> list[effects.Effect]:
    """Reports the end of all calls, once, after a stop was requested."""
    if not state.stopping or state.stopped or state.calls:
        return []
    state.stopped = True
    return [effects.Stopped()]
