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
    return max(0, limit - state.running - len(state.lingering))


def _drop_expired(state: agent.AgentState, now: datetime.timedelta) -> None:
    state.lingering = [item for item in state.lingering if item.until > now]


def add_lingering(
    state: agent.AgentState,
    keys: Iterable[requests.AttemptKey | None],
    now: datetime.timedelta,
) -> None:
    """Holds slots back that abandoned calls may still use."""
    until = now + state.options.max_deadline
    state.lingering += [agent.Lingering(key, now, until) for key in keys]


def is_usable(state: agent.AgentState, now: datetime.timedelta) -> bool:
    """Tells whether the upstream reports itself and welcomes work."""
    report = state.upstream
    silence = now - state.upstream_at
    return (
        report is not None
        and not report.draining
        and silence < state.options.upstream_silence
    )


def take_report(
    state: agent.AgentState,
    event: events.UpstreamReported,
    now: datetime.timedelta,
) -> None:
    """Applies the upstream's own count of busy slots."""
    report = event.report
    former, former_at = state.upstream, state.upstream_at
    if former is None:
        # Whatever is busy now was left by the agent's predecessor.
        add_lingering(state, _list_busy(report), now)
    elif former.address != report.address:
        state.lingering = []
    else:
        _release_lingering(state, report, former_at)
    state.upstream = report
    state.upstream_at = now


def _list_busy(
    report: members.UpstreamReport,
) -> list[requests.AttemptKey | None]:
    if report.running is not None and len(report.running) == report.busy:
        return list(report.running)
    return [None] * report.busy


def _release_lingering(
    state: agent.AgentState,
    report: members.UpstreamReport,
    former_at: datetime.timedelta,
) -> None:
    """Frees slots that the upstream no longer counts as busy.

    The report was built after the former one had arrived, so it may miss
    calls that were abandoned after that; these are kept.
    """
    old = [item for item in state.lingering if item.since < former_at]
    new = [item for item in state.lingering if item.since >= former_at]
    if report.running is not None:
        kept = [item for item in old if item.key in report.running]
    else:
        kept = _keep_counted(state, report, old, former_at)
    state.lingering = kept + new


def _keep_counted(
    state: agent.AgentState,
    report: members.UpstreamReport,
    old: list[agent.Lingering],
    former_at: datetime.timedelta,
) -> list[agent.Lingering]:
    """Keeps as many slots as the busy count leaves for abandoned calls.

    Calls that have run since before the former report are in the count.
    """
    counted = sum(
        call.phase is states.DispatchPhase.RUNNING
        and call.started_at < former_at
        for call in state.calls.values()
    )
    abandoned = min(len(old), max(0, report.busy - counted))
    return sorted(old, key=_get_end)[len(old) - abandoned :]


def _get_end(item: agent.Lingering) -> datetime.timedelta:
    return item.until
