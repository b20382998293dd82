"""Which decision handles which event of an agent; its announcements."""

import datetime
from collections.abc import Callable

from gypsumhold.decisions import (
    admission,
    executions,
    memories,
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


def start(
    state: agent.AgentState,
    event: events.AgentStarted,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Begins to announce the instance and to read the worker."""
    announce = timers.Timer(timers.TimerKind.ANNOUNCE)
    return [
        effects.ReadWorker(now),
        *fire_announce(state, announce, now),
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
        item.state in executions.ENDED for item in state.executions.values()
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


def fire_announce(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Announces the instance and does what is due each second."""
    memories.forget(state, now)
    everywhere = state.sequence % FAR_EVERY == 0
    return [
        announce_now(state, now, everywhere),
        effects.SetTimer(timer, state.options.announce_interval),
        *executions.expire_syncs(state, now),
        *admission.fill_slots(state, now),
    ]


def fire_worker_poll(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the worker again."""
    return [effects.ReadWorker(now)]


def take_worker_report(
    state: agent.AgentState,
    event: events.WorkerReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's report and announces new results at once."""
    before = _count_ended(state)
    first = state.capacity is None
    made = workers.take_report(state, event, now)
    timer = timers.Timer(timers.TimerKind.WORKER_POLL)
    made.append(effects.SetTimer(timer, state.options.worker_poll))
    if _count_ended(state) > before or (first and state.capacity):
        made.append(announce_now(state, now, everywhere=False))
    return made


def _count_ended(state: agent.AgentState) -> int:
    return sum(
        item.state in executions.ENDED for item in state.executions.values()
    )


def take_worker_answer(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's answer and announces new results at once."""
    before = _count_ended(state)
    made = workers.take_answer(state, event, now)
    if _count_ended(state) > before:
        made.append(announce_now(state, now, everywhere=False))
    return made


def take_upstream_report(
    state: agent.AgentState,
    event: events.UpstreamReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the upstream's report; a change is announced at once."""
    before = occupancy.is_usable(state, now)
    occupancy.take_report(state, event, now)
    made = admission.fill_slots(state, now)
    if occupancy.is_usable(state, now) != before:
        made.append(announce_now(state, now))
    return made


def take_configuration(
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


def take_changes(
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


def drain(
    state: agent.AgentState,
    event: events.DrainRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Refuses new work, says so at once and evicts the tasks."""
    state.draining = True
    return [announce_now(state, now), *workers.evict_all(state)]


def stop(
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
    timers.TimerKind.ANNOUNCE: fire_announce,
    timers.TimerKind.WORKER_POLL: fire_worker_poll,
    timers.TimerKind.QUEUE: admission.wake_queue,
}


def fire_timer(
    state: agent.AgentState,
    event: events.TimerFired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Hands a due timer to whoever set it."""
    return _TIMERS[event.timer.kind](state, event.timer, now)


HANDLERS: dict[type, Callable[..., list[effects.Effect]]] = {
    events.AgentStarted: start,
    events.StopRequested: stop,
    events.DrainRequested: drain,
    events.DispatchArrived: admission.take_dispatch,
    events.UpstreamAnswered: admission.take_answer,
    events.UpstreamCallFailed: admission.take_upstream_loss,
    events.CancelArrived: admission.take_cancel,
    events.UpstreamReported: take_upstream_report,
    events.StartsArrived: executions.take_starts,
    events.SyncArrived: executions.take_sync,
    events.WorkerReported: take_worker_report,
    events.WorkerAnswered: take_worker_answer,
    events.ConfigPushed: take_configuration,
    events.ChangesPushed: take_changes,
    events.TimerFired: fire_timer,
}
