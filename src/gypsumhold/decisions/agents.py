"""Which decision handles which event of an agent; its announcements."""

import datetime
from collections.abc import Callable

from gypsumhold.decisions import (
    admission,
    attempt_records,
    executions,
    occupancy,
    workers,
)
from gypsumhold.model import (
    agent,
    declarations,
    effects,
    events,
    members,
    resources,
    states,
    timers,
)

FAR_EVERY = 10
"""Announcements to other regions: one in this many, to save traffic."""


def handle_start(
    state: agent.AgentState,
    event: events.AgentStarted,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Begins to announce the instance and to read the worker."""
    announce = timers.Timer(timers.TimerKind.ANNOUNCE)
    return [
        effects.ReadWorker(now),
        *handle_announce_timer(state, announce, now),
    ]


def announce_now(
    state: agent.AgentState, now: datetime.timedelta, everywhere: bool = True
) -> effects.Effect:
    """Builds the next announcement."""
    state.sequence += 1
    return effects.Announce(_build_announcement(state, now), everywhere)


def _build_announcement(
    state: agent.AgentState, now: datetime.timedelta
) -> members.Announcement:
    own = state.options
    usable = occupancy.is_usable(state, now)
    upstream = state.upstream
    kinds = upstream.kinds if upstream and usable else frozenset()
    waiting = sum(
        item.state in executions.FINAL_STATES
        for item in state.executions.values()
    )
    return members.Announcement(
        instance=own.instance,
        incarnation=own.incarnation,
        sequence=state.sequence,
        state=_find_state(state),
        address=own.address,
        data_centre=own.data_centre,
        region=own.region,
        rack=own.rack,
        clock=now,
        kinds=kinds,
        free_slots=occupancy.count_free(state, now),
        queued=state.policies.queue.count(),
        capacity=state.capacity or resources.NOTHING,
        free=executions.count_free(state),
        config_version=state.configuration.version,
        reports=waiting,
    )


def _find_state(state: agent.AgentState) -> states.MemberState:
    if state.draining or state.stopping:
        return states.MemberState.DRAINING
    if state.capacity is None or state.upstream is None:
        return states.MemberState.JOINING
    if not state.configuration.version:
        return states.MemberState.JOINING
    return states.MemberState.SERVING


def handle_announce_timer(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Announces the instance and does what is due each second."""
    attempt_records.drop_expired(state, now)
    everywhere = state.sequence % FAR_EVERY == 0
    return [
        announce_now(state, now, everywhere),
        effects.SetTimer(timer, state.options.announce_interval),
        *executions.expire_syncs(state, now),
        *admission.fill_slots(state, now),
    ]


def handle_worker_poll_timer(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the worker again."""
    return [effects.ReadWorker(now)]


def handle_worker_report(
    state: agent.AgentState,
    event: events.WorkerReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's report and announces new results at once."""
    before = _count_ended(state)
    first = state.capacity is None
    made = workers.handle_report(state, event, now)
    timer = timers.Timer(timers.TimerKind.WORKER_POLL)
    made.append(effects.SetTimer(timer, state.options.worker_poll))
    if _count_ended(state) > before or (first and state.capacity):
        made.append(announce_now(state, now, everywhere=False))
    return made


def _count_ended(state: agent.AgentState) -> int:
    return sum(
        item.state in executions.FINAL_STATES
        for item in state.executions.values()
    )


def handle_worker_answer(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's answer and announces new results at once."""
    before = _count_ended(state)
    made = workers.handle_answer(state, event, now)
    if _count_ended(state) > before:
        made.append(announce_now(state, now, everywhere=False))
    return made


def handle_upstream_report(
    state: agent.AgentState,
    event: events.UpstreamReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the upstream's report; a change is announced at once."""
    before = occupancy.is_usable(state, now)
    occupancy.handle_report(state, event, now)
    made = admission.fill_slots(state, now)
    if occupancy.is_usable(state, now) != before:
        made.append(announce_now(state, now))
    return made


def handle_config_push(
    state: agent.AgentState,
    event: events.ConfigPushed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Takes a newer configuration; an older one is ignored."""
    made: list[effects.Effect] = []
    if event.configuration.version > state.configuration.version:
        state.configuration = event.configuration
        made.append(announce_now(state, now))
    version = state.configuration.version
    return [effects.ReplyConfig(event.ticket, version), *made]


def handle_changes_push(
    state: agent.AgentState,
    event: events.ChangesPushed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the changes that follow the version in force without a gap."""
    before = state.configuration.version
    for change in event.changes:
        if change.version == state.configuration.version + 1:
            state.configuration = declarations.apply_change(
                state.configuration, change
            )
    version = state.configuration.version
    made: list[effects.Effect] = [effects.ReplyConfig(event.ticket, version)]
    if version > before:
        made.append(announce_now(state, now))
    return made


def handle_drain_request(
    state: agent.AgentState,
    event: events.DrainRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Refuses new work, says so at once and evicts the tasks."""
    state.draining = True
    return [announce_now(state, now), *workers.evict_all(state)]


def handle_stop_request(
    state: agent.AgentState,
    event: events.StopRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Refuses new work and ends once the accepted calls have ended.

    Tasks run on: the next agent on this instance adopts them.
    """
    state.stopping = True
    return [announce_now(state, now), *admission.report_stopped(state)]


_TIMERS = {
    timers.TimerKind.ANNOUNCE: handle_announce_timer,
    timers.TimerKind.WORKER_POLL: handle_worker_poll_timer,
    timers.TimerKind.QUEUE: admission.handle_queue_timer,
}


def handle_timer(
    state: agent.AgentState,
    event: events.TimerFired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Hands a due timer to whoever set it."""
    return _TIMERS[event.timer.kind](state, event.timer, now)


HANDLERS: dict[type, Callable[..., list[effects.Effect]]] = {
    events.AgentStarted: handle_start,
    events.StopRequested: handle_stop_request,
    events.DrainRequested: handle_drain_request,
    events.DispatchArrived: admission.handle_dispatch,
    events.UpstreamAnswered: admission.handle_upstream_answer,
    events.UpstreamCallFailed: admission.handle_upstream_failure,
    events.CancelArrived: admission.handle_cancel,
    events.UpstreamReported: handle_upstream_report,
    events.StartsArrived: executions.handle_starts,
    events.SyncArrived: executions.handle_sync,
    events.WorkerReported: handle_worker_report,
    events.WorkerAnswered: handle_worker_answer,
    events.ConfigPushed: handle_config_push,
    events.ChangesPushed: handle_changes_push,
    events.TimerFired: handle_timer,
}
