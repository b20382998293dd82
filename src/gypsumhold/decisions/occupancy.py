"""Slots of the upstream: who may hold them, including abandoned calls."""

import datetime
from collections.abc import Iterable

from gypsumhold.model import agent, events, members, requests, states


def count_free(state: agent.AgentState, now: datetime.timedelta) -> int:
    """Returns the slots that certainly nobody holds."""
    report = state.upstream
    if report is None:
        return 0
    # A call holds one slot and one connection.
    limit = min(report.slots, report.connections)
    _drop_expired(state, now)
    return max(0, limit - state.running - len(state.abandoned_slots))


def _drop_expired(state: agent.AgentState, now: datetime.timedelta) -> None:
    state.abandoned_slots = [
        item for item in state.abandoned_slots if item.until > now
    ]


def add_abandoned_slots(
    state: agent.AgentState,
    keys: Iterable[requests.AttemptKey | None],
    now: datetime.timedelta,
) -> None:
    """Holds slots back that abandoned calls may still use."""
    until = now + state.options.max_deadline
    state.abandoned_slots += [
        agent.AbandonedSlot(key, now, until) for key in keys
    ]


def is_usable(state: agent.AgentState, now: datetime.timedelta) -> bool:
    """Tells whether the upstream reports itself and welcomes work."""
    report = state.upstream
    silence = now - state.upstream_report_at
    return (
        report is not None
        and not report.draining
        and silence < state.options.upstream_silence
    )


def handle_report(
    state: agent.AgentState,
    event: events.UpstreamReported,
    now: datetime.timedelta,
) -> None:
    """Applies the upstream's own count of busy slots."""
    report = event.report
    former = state.upstream
    if former is None:
        # Whatever is busy now was left by the agent's predecessor.
        add_abandoned_slots(state, _list_busy(report), now)
    elif former.address != report.address:
        state.abandoned_slots = []
    elif report.running is not None:
        _keep_named(state, report.running)
    else:
        _keep_counted(state, former)
    state.upstream = report
    state.previous_upstream_report_at = state.upstream_report_at
    state.upstream_report_at = now


def _list_busy(
    report: members.UpstreamReport,
) -> list[requests.AttemptKey | None]:
    if report.running is not None and len(report.running) == report.busy:
        return list(report.running)
    return [None] * report.busy


def _keep_named(
    state: agent.AgentState, running: frozenset[requests.AttemptKey]
) -> None:
    """Frees slots of abandoned calls that the upstream does not name.

    The report was built after the former one had arrived, so it may miss
    calls that were abandoned after that; these are kept.
    """
    state.abandoned_slots = [
        item
        for item in state.abandoned_slots
        if item.since >= state.upstream_report_at or item.key in running
    ]


def _keep_counted(
    state: agent.AgentState, report: members.UpstreamReport
) -> None:
    """Frees slots that the latest report but one does not count as busy.

    That report was built after the one before it had arrived. Calls that have
    run since before then, and still run one report later, are in its count;
    what is left may be abandoned calls. Those that were abandoned after that
    may be missing from it. The latest report itself says too little: a call
    that runs here may have freed its slot there, with its answer under way.
    """
    since = state.previous_upstream_report_at
    counted = sum(
        call.phase is states.DispatchPhase.RUNNING and call.started_at < since
        for call in state.calls.values()
    )
    abandoned = max(0, report.busy - counted)
    old = [item for item in state.abandoned_slots if item.since <= since]
    new = [item for item in state.abandoned_slots if item.since > since]
    kept = sorted(old, key=_get_end)[len(old) - min(len(old), abandoned) :]
    state.abandoned_slots = kept + new


def _get_end(item: agent.AbandonedSlot) -> datetime.timedelta:
    return item.until
