"""Life cycle of dispatches in an agent: admission, queue, slots and reply."""

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
"""Delay that a refused sender is asked to wait before its next attempt."""

SERVICE_TIME_GAIN_ABOVE = 0.02
SERVICE_TIME_GAIN_BELOW = 0.2
"""Weights of a service time above and below the estimate for its kind.

The ratio makes the estimate converge near the tenth percentile, so that a call
that might still end in time is rarely dropped.
"""

ESTIMATE_DECAY = 0.98
"""Factor applied to the estimate at each call that is dropped because of it."""


def handle_dispatch(
    state: agent.AgentState,
    event: events.DispatchArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Queues a dispatch or refuses it.

    A repeated dispatch of a known attempt gets that attempt's reply and never
    runs a second time.
    """
    dispatch = event.dispatch
    key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
    known_reply = attempt_records.find_reply(state, key)
    if known_reply is not None:
        return [effects.ReplyDispatch(key, known_reply)]
    template = state.configuration.resolve(dispatch.organisation, dispatch.kind)
    reason = _find_refusal_reason(state, dispatch, template, now)
    if reason is not states.Reason.NONE or template is None:
        return [_refuse_dispatch(state, key, dispatch, reason)]
    organisation = state.configuration.organisations[dispatch.organisation]
    queued = policies.QueuedCall(
        key=key,
        organisation=dispatch.organisation,
        work_class=template.work_class,
        weight=organisation.weight,
        deadline=now + dispatch.remaining,
        queued_at=now,
    )
    emitted: list[effects.Effect] = []
    if state.policies.queue.count() >= state.options.queue_limit:
        victim = state.policies.queue.choose_victim(queued)
        if victim is None:
            return [
                _refuse_dispatch(state, key, dispatch, states.Reason.OVERLOADED)
            ]
        state.policies.queue.remove(victim.key)
        emitted.append(
            _end_without_running(state, victim.key, states.Reason.OVERLOADED)
        )
    state.calls[key] = agent.AgentCall(dispatch, template, queued)
    state.policies.queue.push(queued)
    return [*emitted, *fill_slots(state, now)]


def _find_refusal_reason(
    state: agent.AgentState,
    dispatch: requests.Dispatch,
    template: declarations.Template | None,
    now: datetime.timedelta,
) -> states.Reason:
    """Returns why a dispatch is refused, or NONE if it may be queued."""
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
    has_expired = now >= dispatch.valid_until
    if has_expired or dispatch.remaining <= datetime.timedelta(0):
        return states.Reason.EXPIRED
    return _check_queue_limit(state, dispatch)


def _check_queue_limit(
    state: agent.AgentState, dispatch: requests.Dispatch
) -> states.Reason:
    """Returns OVERLOADED if the queue of the organisation is full, or NONE."""
    organisation = state.configuration.organisations[dispatch.organisation]
    waiting = state.policies.queue.count(dispatch.organisation)
    is_full = waiting >= organisation.queue_limit
    return states.Reason.OVERLOADED if is_full else states.Reason.NONE


def _refuse_dispatch(
    state: agent.AgentState,
    key: requests.AttemptKey,
    dispatch: requests.Dispatch,
    reason: states.Reason,
) -> effects.Effect:
    """Returns the refusal of a dispatch that was not queued.

    The refusal of a claimed attempt is recorded, so that a repeated dispatch or
    a cancel gets the same reply. A dispatch for another incarnation is refused
    without a record.
    """
    reply = requests.DispatchReply(
        states.Outcome.NOT_RUN, reason, retry_after=RETRY_AFTER
    )
    if dispatch.keep_answer and reason is not states.Reason.STALE_INCARNATION:
        attempt_records.record_reply(state, dispatch, reply)
    return effects.ReplyDispatch(key, reply)


def fill_slots(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Starts queued calls while slots are free.

    Ends the calls that have expired or are expected to miss their deadline, and
    all queued calls if the upstream is draining. Also sets the timer for the
    next expiry, and emits `Stopped` once a stopping agent has no call left.
    """
    emitted: list[effects.Effect] = []
    for expired in state.policies.queue.pop_expired(now):
        emitted.append(
            _end_without_running(state, expired.key, states.Reason.EXPIRED)
        )
    if state.upstream is not None and state.upstream.draining:
        return [*emitted, *_refuse_queued_calls(state), *report_stopped(state)]
    while state.policies.queue.count() and occupancy.count_free_slots(
        state, now
    ):
        queued = state.policies.queue.pop()
        if queued is None:
            break
        if _would_exceed_deadline(state, queued, now):
            emitted.append(
                _end_without_running(state, queued.key, states.Reason.EXPIRED)
            )
        else:
            emitted.append(_call_upstream(state, queued.key, now))
    return [*emitted, *_set_queue_timer(state, now), *report_stopped(state)]


def _refuse_queued_calls(state: agent.AgentState) -> list[effects.Effect]:
    """Refuses all queued calls, because a draining upstream accepts none."""
    queued_keys = [
        key
        for key, call in state.calls.items()
        if call.phase is states.DispatchPhase.QUEUED
    ]
    for key in queued_keys:
        state.policies.queue.remove(key)
    return [
        _end_without_running(state, key, states.Reason.DRAINING)
        for key in queued_keys
    ]


def _would_exceed_deadline(
    state: agent.AgentState,
    queued: policies.QueuedCall,
    now: datetime.timedelta,
) -> bool:
    """Returns whether a call is expected to miss its deadline if it starts now.

    If so, the estimated service time is lowered a little.

    Under overload the calls with the earliest deadlines are those that cannot
    be completed in time. Running them would waste slots, and their outcome
    would be in doubt when the deadline passes.
    """
    kind = state.calls[queued.key].template.name
    expected = state.service_times.get(kind, 0.0)
    if (queued.deadline - now).total_seconds() >= expected:
        return False
    # Dropped calls yield no measurements; without this decay the estimate would
    # never fall again.
    state.service_times[kind] = expected * ESTIMATE_DECAY
    return True


def _update_service_time(
    state: agent.AgentState, call: agent.AgentCall, now: datetime.timedelta
) -> None:
    """Updates the low percentile of the service times of the call's kind."""
    kind = call.template.name
    measured = (now - call.started_at).total_seconds()
    expected = state.service_times.get(kind, measured)
    gain = (
        SERVICE_TIME_GAIN_ABOVE
        if measured > expected
        else SERVICE_TIME_GAIN_BELOW
    )
    state.service_times[kind] = expected + gain * (measured - expected)


def _set_queue_timer(
    state: agent.AgentState, now: datetime.timedelta
) -> list[effects.Effect]:
    earliest = state.policies.queue.find_earliest_deadline()
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


def _end_without_running(
    state: agent.AgentState,
    key: requests.AttemptKey,
    reason: states.Reason,
) -> effects.Effect:
    """Ends a call that was removed from the queue before it ran."""
    call = state.calls.pop(key)
    reply = requests.DispatchReply(
        states.Outcome.NOT_RUN, reason, retry_after=RETRY_AFTER
    )
    attempt_records.record_reply(state, call.dispatch, reply)
    return effects.ReplyDispatch(key, reply)


def handle_queue_timer(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Drops queued calls that have expired and fills free slots."""
    return fill_slots(state, now)


def handle_upstream_answer(
    state: agent.AgentState,
    event: events.UpstreamAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Forwards the complete answer of the upstream and frees the slot."""
    call = state.calls.get(event.key)
    if call is None or call.phase is not states.DispatchPhase.RUNNING:
        return []
    _update_service_time(state, call, now)
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
    return _end_running_call(state, event.key, reply, now)


def _end_running_call(
    state: agent.AgentState,
    key: requests.AttemptKey,
    reply: requests.DispatchReply,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends a call that was running and starts queued ones in its place."""
    call = state.calls.pop(key)
    state.running -= 1
    state.policies.queue.record_service_time(call.queued, now - call.started_at)
    attempt_records.record_reply(state, call.dispatch, reply)
    reply_effect = effects.ReplyDispatch(key, reply)
    return [reply_effect, *fill_slots(state, now)]


def handle_upstream_failure(
    state: agent.AgentState,
    event: events.UpstreamCallFailed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Ends a call that failed without a complete answer.

    If the request was sent, the outcome is in doubt and the upstream may still
    be running the call, so its slot is kept as abandoned.
    """
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
    return _end_running_call(state, event.key, reply, now)


def handle_cancel(
    state: agent.AgentState,
    event: events.CancelArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Replies with the state of an attempt; fences one that never arrived."""
    cancel = event.cancel
    key = requests.AttemptKey(cancel.request_id, cancel.attempt)
    if cancel.incarnation != state.options.incarnation:
        return [_reply_cancel(event, states.CancelAnswer.STALE_INCARNATION)]
    record = state.attempt_records.get(key)
    if record is not None and record.reply is not None:
        reply = requests.CancelReply(states.CancelAnswer.FINISHED, record.reply)
        return [effects.ReplyCancel(event.ticket, reply)]
    if record is not None:
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
    """Removes a queued call if the cancel asks for it; others keep running."""
    is_queued = call.phase is states.DispatchPhase.QUEUED
    if not is_queued or not event.cancel.remove_queued:
        return [_reply_cancel(event, states.CancelAnswer.RUNNING)]
    state.policies.queue.remove(key)
    return [
        _end_without_running(state, key, states.Reason.CANCELLED),
        _reply_cancel(event, states.CancelAnswer.REMOVED),
        *report_stopped(state),
    ]


def _reply_cancel(
    event: events.CancelArrived, answer: states.CancelAnswer
) -> effects.Effect:
    return effects.ReplyCancel(event.ticket, requests.CancelReply(answer))


def report_stopped(state: agent.AgentState) -> list[effects.Effect]:
    """Emits `Stopped` once, when a stop was requested and no call is left."""
    if not state.stopping or state.stopped or state.calls:
        return []
    state.stopped = True
    return [effects.Stopped()]
