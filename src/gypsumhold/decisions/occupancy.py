"""Accounting of the upstream's slots, including those of abandoned calls."""

import datetime
from collections.abc import Iterable

from gypsumhold.model import agent, events, members, requests, states


def count_free_slots(state: agent.AgentState, now: datetime.timedelta) -> int:
    """Returns the number of slots that are certainly free."""
    report = state.upstream
    if report is None:
        return 0
    # Each call occupies one slot and one connection.
    limit = min(report.slots, report.connections)
    _drop_expired_slots(state, now)
    return max(0, limit - state.running - len(state.abandoned_slots))


def _drop_expired_slots(
    state: agent.AgentState, now: datetime.timedelta
) -> None:
    state.abandoned_slots = [
        item for item in state.abandoned_slots if item.until > now
    ]


def add_abandoned_slots(
    state: agent.AgentState,
    keys: Iterable[requests.AttemptKey | None],
    now: datetime.timedelta,
) -> None:
    """Reserves slots that abandoned calls may still occupy in the upstream.

    A slot is released after the longest deadline at the latest, because no
    accepted call runs longer.
    """
    until = now + state.options.max_deadline
    state.abandoned_slots += [
        agent.AbandonedSlot(key, now, until) for key in keys
    ]


def is_usable(state: agent.AgentState, now: datetime.timedelta) -> bool:
    """Returns whether the upstream has reported recently and accepts work."""
    report = state.upstream
    report_age = now - state.upstream_report_at
    return (
        report is not None
        and not report.draining
        and report_age < state.options.upstream_silence
    )


def handle_report(
    state: agent.AgentState,
    event: events.UpstreamReported,
    now: datetime.timedelta,
) -> None:
    """Reconciles the abandoned slots with a report of the upstream."""
    report = event.report
    previous = state.upstream
    if previous is None:
        # Slots that are busy at the first report belong to calls of an earlier
        # agent process.
        add_abandoned_slots(state, _list_busy_attempts(report), now)
    elif previous.address != report.address:
        state.abandoned_slots = []
    elif report.running is not None:
        _reconcile_by_attempt(state, report.running)
    else:
        _reconcile_by_count(state, previous)
    state.upstream = report
    state.previous_upstream_report_at = state.upstream_report_at
    state.upstream_report_at = now


def _list_busy_attempts(
    report: members.UpstreamReport,
) -> list[requests.AttemptKey | None]:
    if report.running is not None and len(report.running) == report.busy:
        return list(report.running)
    return [None] * report.busy


def _reconcile_by_attempt(
    state: agent.AgentState, running: frozenset[requests.AttemptKey]
) -> None:
    """Releases slots of abandoned calls that the report does not list.

    The upstream built this report after the previous one had arrived here. A
    call that was abandoned after that may be missing from it, so its slot is
    kept until a later report.
    """
    state.abandoned_slots = [
        item
        for item in state.abandoned_slots
        if item.since >= state.upstream_report_at or item.key in running
    ]


def _reconcile_by_count(
    state: agent.AgentState, previous: members.UpstreamReport
) -> None:
    """Releases slots that the previous report does not count as busy.

    The upstream built the previous report after the one before that had arrived
    here. Calls that were already running at that time and are still running now
    are in its count of busy slots; the rest of the count may be abandoned
    calls. Calls that were abandoned after that time may be missing from the
    count, so their slots are kept. The latest report cannot be used for this: a
    call that is still running here may have freed its slot in the upstream
    already, with its answer in transit.
    """
    since = state.previous_upstream_report_at
    accounted = sum(
        call.phase is states.DispatchPhase.RUNNING and call.started_at < since
        for call in state.calls.values()
    )
    abandoned = max(0, previous.busy - accounted)
    old = [item for item in state.abandoned_slots if item.since <= since]
    new = [item for item in state.abandoned_slots if item.since > since]
    kept = sorted(old, key=_get_expiry)[len(old) - min(len(old), abandoned) :]
    state.abandoned_slots = kept + new


def _get_expiry(item: agent.AbandonedSlot) -> datetime.timedelta:
    return item.until
