"""Steps shared by all requests: choice of target, dispatch, cancel, end."""

import datetime

from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    membership,
    requests,
    states,
    timers,
)

RETRY_AFTER = datetime.timedelta(seconds=1)
"""Time after which the caller may repeat a refused request.

It is shorter than the default of `suspect_after`, so a repeated request may be
sent to an instance that has become silent but is not yet suspected.
"""

DISPATCH_GRACE = datetime.timedelta(milliseconds=500)
"""Time after the deadline in which the agent's own reply is still awaited."""

SAMPLE_SIZE = 32
"""Instances considered for one request.

The limit keeps the cost of a request independent of the number of instances.
With 13 data centres, a sample holds about two instances of each.
"""

VALIDITY_MARGIN = datetime.timedelta(seconds=5)
"""Time after the deadline in which the agent still accepts the dispatch."""


def is_serving(
    state: entry.EntryState, member: membership.Member, now: datetime.timedelta
) -> bool:
    """Returns whether an instance may receive new work.

    It must announce that it serves, and its latest announcement must be recent.
    """
    return (
        member.announcement.state is states.MemberState.SERVING
        and now - member.received_at < state.options.suspect_after
    )


def choose_target(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> membership.Member | None:
    """Returns the instance for the next attempt; None if there is none.

    Instances that the call has not tried yet are preferred.
    """
    candidates = _list_candidates(state, call.template.name, now)
    untried = [
        item for item in candidates if item.instance not in call.tried_instances
    ]
    return state.policies.routing.choose(
        untried or candidates, state.options.data_centre, now, state.random
    )


def _list_candidates(
    state: entry.EntryState, kind: ids.KindName, now: datetime.timedelta
) -> list[membership.Member]:
    """Returns the eligible instances for a kind of request.

    If many instances offer the kind, only a random sample is considered, unless
    the sample has no eligible one.
    """
    instances = _list_instances(state, kind)
    if len(instances) > SAMPLE_SIZE:
        sample = state.random.sample(instances, SAMPLE_SIZE)
        eligible = _select_eligible(state, sample, now)
        if eligible:
            return eligible
    return _select_eligible(state, instances, now)


def list_eligible(
    state: entry.EntryState, kind: ids.KindName, now: datetime.timedelta
) -> list[membership.Member]:
    """Returns all eligible instances for a kind of request, not a sample."""
    return _select_eligible(state, _list_instances(state, kind), now)


def _list_instances(
    state: entry.EntryState, kind: ids.KindName
) -> list[membership.Member]:
    """Returns the instances that announce a kind of request."""
    if state.instances_by_kind is None:
        state.instances_by_kind = _index_by_kind(state)
    return state.instances_by_kind.get(kind, [])


def _index_by_kind(
    state: entry.EntryState,
) -> dict[ids.KindName, list[membership.Member]]:
    """Groups the members by the kinds of request that they announce."""
    index: dict[ids.KindName, list[membership.Member]] = {}
    for member in state.members.values():
        for kind in sorted(member.announcement.kinds):
            index.setdefault(kind, []).append(member)
    return index


def _select_eligible(
    state: entry.EntryState,
    instances: list[membership.Member],
    now: datetime.timedelta,
) -> list[membership.Member]:
    """Returns the serving members without those excluded after failures."""
    serving = [item for item in instances if is_serving(state, item, now)]
    not_excluded = [item for item in serving if item.excluded_until <= now]
    # If most instances are excluded, the cause is probably the load. Routing
    # everything to the rest would overload those too.
    return not_excluded if 2 * len(not_excluded) >= len(serving) else serving


def set_target(
    state: entry.EntryState,
    call: entry.Call,
    member: membership.Member,
    now: datetime.timedelta,
) -> None:
    """Begins the call's next attempt, with `member` as its target."""
    call.attempt = ids.Attempt(call.attempt + 1)
    call.target = member.instance
    call.target_incarnation = member.announcement.incarnation
    # The announced clock was read before the announcement arrived here, so
    # the dispatch never stays valid longer than this entry assumes.
    valid_for = call.deadline + VALIDITY_MARGIN - member.received_at
    call.valid_until = member.announcement.clock + valid_for


def send_dispatch(
    state: entry.EntryState, call: entry.Call, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends the attempt that `set_target` prepared."""
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
    """Cancels the latest attempt at its target and asks for its outcome.

    The agent removes the attempt from its queue and fences it, so that a
    delayed dispatch is refused.
    """
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
    """Pauses the call in `phase`; `calls.resume_call` continues it."""
    call.phase = phase
    timer = timers.Timer(timers.TimerKind.CALL, call.request.request_id)
    return [effects.SetTimer(timer, delay, call.request.request_id)]


def finish_call(
    state: entry.EntryState, call: entry.Call, result: requests.Result
) -> list[effects.Effect]:
    """Ends a call and answers the caller.

    The outcome *not run* becomes *indeterminate* if some attempt may have run.
    """
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
    """Returns the result for a request that has certainly not run."""
    return requests.Result(
        states.Outcome.NOT_RUN, reason, retry_after=retry_after
    )


def report_stopped(state: entry.EntryState) -> list[effects.Effect]:
    """Emits `Stopped` once, when a stopping entry has no work left.

    No call may be left, and no partition may be in the phase HELD or TAKING. A
    partition whose tasks are still being read does not delay `Stopped`.
    """
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
    """Reports the end of the call's dispatch to the routing policy.

    `reply` is None if the dispatch call failed.
    """
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
    """Returns whether an event belongs to the attempt that the call awaits.

    A reply that arrives while the attempt is being cancelled still counts.
    """
    awaiting = (states.CallPhase.DISPATCHED, states.CallPhase.CANCELLING)
    return call.phase in awaiting and call.attempt == event.attempt
