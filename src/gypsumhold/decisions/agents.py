"""Event handlers of an agent, and the announcements that it sends."""

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

REMOTE_ANNOUNCEMENT_RATIO = 10
"""One in this many announcements is sent to the other regions as well; sending
fewer there saves traffic between regions."""


def handle_start(
    state: agent.AgentState,
    event: events.AgentStarted,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Starts the announcements and the polls of the worker."""
    announce_timer = timers.Timer(timers.TimerKind.ANNOUNCE)
    return [
        effects.ReadWorker(now),
        *handle_announce_timer(state, announce_timer, now),
    ]


def build_announce_effect(
    state: agent.AgentState, now: datetime.timedelta, all_regions: bool = True
) -> effects.Effect:
    """Returns the effect that sends the next announcement."""
    state.sequence += 1
    return effects.Announce(_build_announcement(state, now), all_regions)


def _build_announcement(
    state: agent.AgentState, now: datetime.timedelta
) -> members.Announcement:
    agent_options = state.options
    usable = occupancy.is_usable(state, now)
    upstream = state.upstream
    kinds = upstream.kinds if upstream and usable else frozenset()
    unacknowledged = sum(
        item.state in executions.FINAL_STATES
        for item in state.executions.values()
    )
    return members.Announcement(
        instance=agent_options.instance,
        incarnation=agent_options.incarnation,
        sequence=state.sequence,
        state=_determine_state(state),
        address=agent_options.address,
        data_centre=agent_options.data_centre,
        region=agent_options.region,
        rack=agent_options.rack,
        clock=now,
        kinds=kinds,
        free_slots=occupancy.count_free_slots(state, now),
        queued=state.policies.queue.count(),
        capacity=state.capacity or resources.NOTHING,
        free=executions.compute_free(state),
        config_version=state.configuration.version,
        reports=unacknowledged,
    )


def _determine_state(state: agent.AgentState) -> states.MemberState:
    """Returns the member state to announce.

    The instance is joining until the worker and the upstream have reported and
    a configuration has arrived.
    """
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
    """Announces the instance and runs the other periodic work.

    Drops expired attempt records, answers expired syncs and fills free slots.
    """
    attempt_records.drop_expired(state, now)
    all_regions = state.sequence % REMOTE_ANNOUNCEMENT_RATIO == 0
    return [
        build_announce_effect(state, now, all_regions),
        effects.SetTimer(timer, state.options.announce_interval),
        *executions.expire_syncs(state, now),
        *admission.fill_slots(state, now),
    ]


def handle_worker_poll_timer(
    state: agent.AgentState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Polls the worker."""
    return [effects.ReadWorker(now)]


def handle_worker_report(
    state: agent.AgentState,
    event: events.WorkerReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies a worker report.

    Announces the instance at once if a task ended or this was the first report,
    so that the holder of the partition syncs without waiting for the next
    periodic announcement.
    """
    previous_count = _count_unacknowledged(state)
    is_first_report = state.capacity is None
    emitted = workers.handle_report(state, event, now)
    timer = timers.Timer(timers.TimerKind.WORKER_POLL)
    emitted.append(effects.SetTimer(timer, state.options.worker_poll))
    if _count_unacknowledged(state) > previous_count or (
        is_first_report and state.capacity
    ):
        emitted.append(build_announce_effect(state, now, all_regions=False))
    return emitted


def _count_unacknowledged(state: agent.AgentState) -> int:
    """Returns the number of ended tasks whose report is not acknowledged."""
    return sum(
        item.state in executions.FINAL_STATES
        for item in state.executions.values()
    )


def handle_worker_answer(
    state: agent.AgentState,
    event: events.WorkerAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the worker's answer to a command.

    Announces the instance at once if a task ended.
    """
    previous_count = _count_unacknowledged(state)
    emitted = workers.handle_answer(state, event, now)
    if _count_unacknowledged(state) > previous_count:
        emitted.append(build_announce_effect(state, now, all_regions=False))
    return emitted


def handle_upstream_report(
    state: agent.AgentState,
    event: events.UpstreamReported,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies an upstream report.

    Announces the instance at once if the upstream became usable or unusable.
    """
    was_usable = occupancy.is_usable(state, now)
    occupancy.handle_report(state, event, now)
    emitted = admission.fill_slots(state, now)
    if occupancy.is_usable(state, now) != was_usable:
        emitted.append(build_announce_effect(state, now))
    return emitted


def handle_config_push(
    state: agent.AgentState,
    event: events.ConfigPushed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Installs a pushed configuration if it is newer than the current one."""
    emitted: list[effects.Effect] = []
    if event.configuration.version > state.configuration.version:
        state.configuration = event.configuration
        emitted.append(build_announce_effect(state, now))
    version = state.configuration.version
    return [effects.ReplyConfig(event.ticket, version), *emitted]


def handle_changes_push(
    state: agent.AgentState,
    event: events.ChangesPushed,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the pushed changes that continue the current version.

    A change that would leave a gap in the version numbers is skipped; the reply
    carries the version reached.
    """
    previous_version = state.configuration.version
    for change in event.changes:
        if change.version == state.configuration.version + 1:
            state.configuration = declarations.apply_change(
                state.configuration, change
            )
    version = state.configuration.version
    emitted: list[effects.Effect] = [effects.ReplyConfig(event.ticket, version)]
    if version > previous_version:
        emitted.append(build_announce_effect(state, now))
    return emitted


def handle_drain_request(
    state: agent.AgentState,
    event: events.DrainRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Stops accepting work, announces that at once and evicts all tasks."""
    state.draining = True
    return [build_announce_effect(state, now), *workers.evict_all(state)]


def handle_stop_request(
    state: agent.AgentState,
    event: events.StopRequested,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Stops accepting work; the process stops once all accepted calls ended.

    Tasks keep running, and the next agent process on this instance adopts them.
    """
    state.stopping = True
    return [build_announce_effect(state, now), *admission.report_stopped(state)]


_TIMER_HANDLERS = {
    timers.TimerKind.ANNOUNCE: handle_announce_timer,
    timers.TimerKind.WORKER_POLL: handle_worker_poll_timer,
    timers.TimerKind.QUEUE: admission.handle_queue_timer,
}


def handle_timer(
    state: agent.AgentState,
    event: events.TimerFired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Calls the handler of the timer that fired."""
    return _TIMER_HANDLERS[event.timer.kind](state, event.timer, now)


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
