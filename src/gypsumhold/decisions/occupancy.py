"""Slots of the upstream: who may hold them, including abandoned calls."""

import datetime

from gypsumhold.model import agent, events, members, states


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
    state: agent.AgentState, count: int, now: datetime.timedelta
) -> None:
    """Holds slots back that abandoned calls may still use."""
    until = now + state.options.max_deadline
    item = agent.Lingering(now, until)
    state.lingering += [item] * count


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
    former = state.upstream
    if former is None:
        # Whatever is busy now was left by the agent's predecessor.
        add_lingering(state, report.busy, now)
    elif former.address != report.address:
        state.lingering = []
    else:
        _release_lingering(state, former)
    state.upstream = report
    state.upstream_before = state.upstream_at
    state.upstream_at = now


def _release_lingering(
    state: agent.AgentState, report: members.UpstreamReport
) -> None:
    """Frees slots that the latest report but one does not count as busy.

    That report was built after the one before it had arrived. Calls that have
    run since before then, and still run one report later, are in its count;
    what is left may be abandoned calls. Those that were abandoned after that
    may be missing from it. The latest report itself says too little: a call
    that runs here may have freed its slot there, with its answer under way.
    """
    since = state.upstream_before
    counted = sum(
        call.phase is states.DispatchPhase.RUNNING and call.started_at < since
        for call in state.calls.values()
    )
    abandoned = max(0, report.busy - counted)
    old = [item for item in state.lingering if item.since <= since]
    new = [item for item in state.lingering if item.since > since]
    kept = sorted(old, key=_get_end)[len(old) - min(len(old), abandoned) :]
    state.lingering = kept + new


def _get_end(item: agent.Lingering) -> datetime.timedelta:
    return item.until
