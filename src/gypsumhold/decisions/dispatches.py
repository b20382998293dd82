"""Steps that all requests of an entry share: target, dispatch, end."""

import datetime

from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    requests,
    roster,
    states,
    timers,
)

RETRY_AFTER = datetime.timedelta(seconds=1)
"""Pause that callers are told after a refusal; longer than a suspicion."""

DISPATCH_GRACE = datetime.timedelta(milliseconds=500)
"""How long after the deadline an agent's own verdict is still awaited."""

SAMPLE_SIZE = 32
"""Instances that are looked at for one request, so that its cost does not
grow with their number; about two of them are in each of 13 data centres."""

VALIDITY_MARGIN = datetime.timedelta(seconds=5)
"""Time beyond the deadline in which a delayed dispatch is still accepted."""


def is_serving(
    state: entry.EntryState, member: roster.Member, now: datetime.timedelta
) -> bool:
    """Tells whether an instance may be given new work."""
    return (
        member.announcement.state is states.MemberState.SERVING
        and now - member.received_at < state.options.suspect_after
    )


def choose_target(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> roster.Member | None:
    """Returns the instance for the next attempt, untried ones first."""
    candidates = _list_candidates(state, call.template.name, now)
    untried = [
        item for item in candidates if item.instance not in call.tried_instances
    ]
    return state.policies.routing.choose(
        untried or candidates, state.options.data_centre, now, state.random
    )


def _list_candidates(
    state: entry.EntryState, kind: ids.KindName, now: datetime.timedelta
) -> list[roster.Member]:
    """Returns eligible instances; of many, those in a random sample."""
    if state.instances_by_kind is None:
        state.instances_by_kind = _index_by_kind(state)
    servers = state.instances_by_kind.get(kind, [])
    if len(servers) > SAMPLE_SIZE:
        sample = state.random.sample(servers, SAMPLE_SIZE)
        found = _select_eligible(state, sample, now)
        if found:
            return found
    return _select_eligible(state, servers, now)


def _index_by_kind(
    state: entry.EntryState,
) -> dict[ids.KindName, list[roster.Member]]:
    index: dict[ids.KindName, list[roster.Member]] = {}
    for member in state.members.values():
        for kind in sorted(member.announcement.kinds):
            index.setdefault(kind, []).append(member)
    return index


def _select_eligible(
    state: entry.EntryState,
    servers: list[roster.Member],
    now: datetime.timedelta,
) -> list[roster.Member]:
    serving = [item for item in servers if is_serving(state, item, now)]
    trusted = [item for item in serving if item.excluded_until <= now]
    # If most instances fail, leaving them all out would only overload the
    # rest; then the failures say more about the load than about them.
    return trusted if 2 * len(trusted) >= len(serving) else serving


def set_target(
    state: entry.EntryState,
    call: entry.Call,
    member: roster.Member,
    now: datetime.timedelta,
) -> None:
    """Makes `member` the target of the call's next attempt."""
    call.attempt = ids.Attempt(call.attempt + 1)
    call.target = member.instance
    call.target_incarnation = member.announcement.incarnation
    # The instance's clock was read before its announcement arrived here, so
    # this instant is never later there than the entry believes.
    elapsed = call.deadline + VALIDITY_MARGIN - member.received_at
    call.valid_until = member.announcement.clock + elapsed


def send_dispatch(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends the attempt that `set_target` has prepared."""
    assert call.target is not None
    member = state.members[call.target]
    member.in_flight += 1
    call.phase = states.CallPhase.DISPATCHED
    call.sent_at = now
    request = call.request
    dispatch = requests.Dispatch(
        request_id=request.request_id,
        attempt=call.attempt,
        incarnation=call.target_incarnation,
        organisation=request.organisation,
        kind=request.kind,
        remaining=call.deadline - now,
        keep_answer=not call.template.repeatable,
        valid_until=call.valid_until,
        payload=request.payload,
    )
    return [effects.SendDispatch(request.request_id, member.address, dispatch)]


def send_cancel(
    state: entry.EntryState, call: entry.Call
) -> list[effects.Effect]:
    """Asks the target what became of the latest attempt and fences it."""
    assert call.target is not None
    call.phase = states.CallPhase.CANCELLING
    cancel = requests.Cancel(
        request_id=call.request.request_id,
        attempt=call.attempt,
        incarnation=call.target_incarnation,
        remove_queued=True,
        valid_until=call.valid_until,
    )
    member = state.members[call.target]
    return [effects.SendCancel(call.request.request_id, member.address, cancel)]


def pause_call(
    call: entry.Call,
    phase: states.CallPhase,
    delay: datetime.timedelta,
) -> list[effects.Effect]:
    """Lets the call pause; its timer brings it back."""
    call.phase = phase
    timer = timers.Timer(timers.TimerKind.CALL, call.request.request_id)
    return [effects.SetTimer(timer, delay, call.request.request_id)]


def finish_call(
    state: entry.EntryState, call: entry.Call, result: requests.Result
) -> list[effects.Effect]:
    """Ends a call; a run that is not excluded is never called *not run*."""
    if result.outcome is states.Outcome.NOT_RUN and call.may_have_run:
        result = requests.Result(states.Outcome.INDETERMINATE, result.reason)
    request_id = call.request.request_id
    del state.calls[request_id]
    state.waiting[call.template.work_class] -= 1
    demand = state.demand[call.template.work_class]
    demand[call.request.organisation].waiting -= 1
    answer = effects.AnswerCall(request_id, result)
    return [answer, *report_stopped(state)]


def build_refusal(
    reason: states.Reason,
    retry_after: datetime.timedelta = datetime.timedelta(0),
) -> requests.Result:
    """Returns the result of a request that certainly did not run."""
    return requests.Result(
        states.Outcome.NOT_RUN, reason, retry_after=retry_after
    )


def report_stopped(state: entry.EntryState) -> list[effects.Effect]:
    """Reports the end of all work, once, after a stop was requested."""
    if not state.stopping or state.stopped or state.calls:
        return []
    held = (states.PartitionPhase.HELD, states.PartitionPhase.TAKING)
    if any(item.phase in held for item in state.partitions.values()):
        return []
    state.stopped = True
    return [effects.Stopped()]


def record_dispatch_end(
    state: entry.EntryState,
    call: entry.Call,
    reply: requests.DispatchReply | None,
    now: datetime.timedelta,
) -> None:
    """Counts the end of the call's dispatch for routing."""
    assert call.target is not None
    member = state.members.get(call.target)
    if member is None:
        return
    member.in_flight = max(0, member.in_flight - 1)
    state.policies.routing.observe(
        member, call.template.name, reply, now - call.sent_at, now
    )


def is_awaited(
    call: entry.Call,
    event: events.DispatchAnswered | events.DispatchFailed,
) -> bool:
    """Tells whether an event concerns the attempt that is awaited.

    A whole answer is still welcome while its cancellation is under way.
    """
    awaiting = (states.CallPhase.DISPATCHED, states.CallPhase.CANCELLING)
    return call.phase in awaiting and call.attempt == event.attempt
