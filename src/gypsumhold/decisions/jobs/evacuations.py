"""Evacuations of data centres in an entry.

The operator's rows in the store are the state. Every entry follows them, and
the one that takes the queue reads them again before it places anything: what
it knew may be older than the evacuations that its predecessor obeyed.
"""

import datetime

from gypsumhold.decisions.jobs import received_evacuations
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    evacuations,
    events,
    runs,
    scheduler,
)
from gypsumhold.model.jobs.evacuations import Knowledge

EffectList = list[base_effects.Effect]

READ_RETRY_DELAY = datetime.timedelta(milliseconds=200)


def begin_term(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Reads the evacuations at the begin of a term; nothing is placed before.

    Where the platform sets no time for evacuations, the rows are followed like
    the configuration and no read is waited for.
    """
    if state.options.evacuation_time is None:
        return []
    holder_state.evacuation_knowledge = Knowledge.UNREAD
    return [_build_read(holder_state, now)]


def read_after_gap(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    unconfirmed_time: datetime.timedelta,
    now: datetime.timedelta,
) -> EffectList:
    """Reads the evacuations again if no batch was stored for long.

    The holder may have been paused, and what it follows may be late. As long
    as it could not issue grants, it has told agents of no evacuations.

    Args:
        state: State of the scheduler.
        holder_state: State of the held queue.
        unconfirmed_time: Time from sending the batch before until the latest
            one was known to be stored.
        now: Current time.
    """
    if state.options.evacuation_time is None:
        return []
    if unconfirmed_time <= state.options.grant_window:
        return []
    if holder_state.evacuation_knowledge is Knowledge.CURRENT:
        holder_state.evacuation_knowledge = Knowledge.IN_DOUBT
    return [_build_read(holder_state, now)]


def _build_read(
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
    delay: datetime.timedelta = effects.NO_DELAY,
) -> effects.ReadEvacuations:
    """Returns a read that alone, or one sent after it, ends the doubt."""
    asked_at = now + delay
    holder_state.evacuations_asked_at = asked_at
    return effects.ReadEvacuations(holder_state.term, asked_at, delay)


def handle_evacuations_read(
    state: scheduler.SchedulerState,
    event: events.EvacuationsRead,
    now: datetime.timedelta,
) -> EffectList:
    """Applies a read of all evacuations, or repeats the latest if it failed.

    One that was sent before the latest gap does not end the doubt.
    """
    holder_state = state.holder_state
    if holder_state is None or event.term != holder_state.term:
        return []
    is_known = holder_state.evacuation_knowledge is Knowledge.CURRENT
    if event.changes is None:
        is_latest = event.asked_at == holder_state.evacuations_asked_at
        if is_known or not is_latest:
            return []
        return [_build_read(holder_state, now, READ_RETRY_DELAY)]
    if event.asked_at >= holder_state.evacuations_asked_at:
        holder_state.evacuation_knowledge = Knowledge.CURRENT
        holder_state.plan_due = True
    record_read(state, event.asked_at)
    return apply_changes(state, event.changes)


def record_read(
    state: scheduler.SchedulerState, asked_at: datetime.timedelta
) -> None:
    """Records that all requests confirmed before `asked_at` are known."""
    former = state.evacuations_known_at
    state.evacuations_known_at = max(asked_at, former or asked_at)


def apply_changes(
    state: scheduler.SchedulerState,
    changes: evacuations.EvacuationChanges,
) -> EffectList:
    """Puts requested evacuations in force and ends those taken back.

    Two reads may be under way at a time, so one that is older than what is
    known is ignored.
    """
    known = state.known_evacuations
    if known is not None and changes.version < known.version:
        return []
    former = set() if known is None else set(known.data_centres)
    kept = set() if changes.is_complete else former
    evacuated = {name for name in kept if changes.evacuated.get(name, True)}
    evacuated.update(name for name, asked in changes.evacuated.items() if asked)
    state.known_evacuations = evacuations.Evacuations(
        changes.version, tuple(sorted(evacuated))
    )
    if evacuated != former and state.holder_state is not None:
        state.holder_state.plan_due = True
    return [
        *_log_changes(evacuated - former, "in force", changes.version),
        *_log_changes(former - evacuated, "taken back", changes.version),
    ]


def _log_changes(
    data_centres: set[ids.DataCentre], outcome: str, version: ids.RowVersion
) -> EffectList:
    inputs = (("row_version", str(version)),)
    return [
        effects.Log("evacuation", name, outcome, inputs)
        for name in sorted(data_centres)
    ]


def are_outdated(
    state: scheduler.SchedulerState, at: datetime.timedelta
) -> bool:
    """Tells whether the latest read of this entry is too old to tell agents."""
    if state.options.evacuation_time is None:
        return False
    known_at = state.evacuations_known_at
    return (
        known_at is None or at >= known_at + received_evacuations.HOLDER_DELAY
    )


def release_if_unreadable(
    state: scheduler.SchedulerState, holder_state: scheduler.HolderState
) -> EffectList:
    """Releases the queue if batches are stored but the rows can't be read.

    It does so once agents hold all starts: another entry may be able to read
    the rows. A holder that has not read them in its term keeps the queue, as
    its predecessor may have released it for the same reason. Called for each
    stored batch.
    """
    limit = state.options.evacuation_time
    if limit is None:
        return []
    sent_at = holder_state.sent_at
    is_unread = holder_state.evacuation_knowledge is Knowledge.UNREAD
    if is_unread or not are_outdated(state, sent_at):
        holder_state.stored_unread_since = None
        return []
    since = holder_state.stored_unread_since
    if since is None:
        holder_state.stored_unread_since = sent_at
        return []
    validity = received_evacuations.measure_validity(limit)
    if sent_at < since + validity or holder_state.releasing:
        return []
    holder_state.releasing = True
    inputs = (("term", str(holder_state.term)),)
    return [
        effects.Log(
            "release-queue", state.options.name, "evacuations unread", inputs
        )
    ]


def is_evacuated(state: scheduler.SchedulerState, worker: runs.Worker) -> bool:
    """Tells whether the data centre of a worker is evacuated."""
    known = state.known_evacuations
    return known is not None and worker.zone in known.data_centres


def build_notice(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
    *,
    may_grant: bool,
) -> evacuations.Evacuations | None:
    """Returns what the holder tells agents; None if it may be outdated.

    That is so before the rows are read in its term, while the holder may not
    issue grants, and once its latest successful read is too old: the reads may
    fail while batches are stored. Agents then go by what they have heard
    before.
    """
    if state.options.evacuation_time is None:
        return state.known_evacuations
    known_at = state.evacuations_known_at
    if known_at is None or now >= known_at + received_evacuations.HOLDER_DELAY:
        return None
    if holder_state.evacuation_knowledge is not Knowledge.CURRENT:
        return None
    return state.known_evacuations if may_grant else None
