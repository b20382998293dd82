"""Sends reports to the holder of the queue and takes their answers."""

import datetime

import msgspec

from gypsumhold.decisions.jobs import (
    lifecycle,
    losses,
    received_directives,
    report_timers,
    starts,
    worker_polls,
)
from gypsumhold.decisions.jobs.run_bounds import leases, open_starts
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    records,
    runs,
)

EffectList = list[base_effects.Effect]

ENTRIES_RETRY_DELAY = datetime.timedelta(milliseconds=500)


def start(state: executor.ExecutorState, now: datetime.timedelta) -> EffectList:
    """Starts to read the registered entries and to report."""
    state.fence = state.options.incarnation
    leases.record_process_start(state, now)
    return [
        effects.FollowEntries(ids.RowVersion(0)),
        *report_timers.begin_interval(state, now),
    ]


def handle_entries_changed(
    state: executor.ExecutorState,
    event: events.EntriesChanged,
    now: datetime.timedelta,
) -> EffectList:
    """Stores registered entries and follows the holder of a newer term."""
    changes = event.changes
    if changes is None:
        return [
            effects.FollowEntries(state.entries_version, ENTRIES_RETRY_DELAY)
        ]
    state.entries_version = changes.version
    emitted: EffectList = []
    for record in changes.entries:
        if not record.holds:
            state.entries[record.name] = record
        elif record.term > state.term:
            emitted += _follow_holder(state, record)
    if state.holder is None or emitted:
        state.report_due = True
    return [*emitted, effects.FollowEntries(state.entries_version)]


def _follow_holder(
    state: executor.ExecutorState, record: records.EntryRecord
) -> EffectList:
    """Follows the holder of a newer term; all sums are reported to it again."""
    received_directives.begin_term(
        state, record.term, record.endpoint.build_address()
    )
    inputs = (("term", str(record.term)),)
    return [effects.Log("holder-changed", record.name, "followed", inputs)]


def handle_report_timer(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Makes a report due, even if nothing changed, and polls the worker."""
    state.report_due = True
    emitted = report_timers.begin_interval(state, now)
    if state.worker is not None:
        emitted += worker_polls.poll_worker(state, now)
    return [*emitted, *starts.log_held_runs(state, now)]


def send_due_report(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Sends a report if one is due and none is unanswered."""
    if not state.report_due or state.report_pending:
        return []
    address = _choose_address(state)
    if address is None:
        return []
    state.report_due = False
    state.report_pending = True
    state.report_number += 1
    return [
        effects.SendReport(address, _build_report(state, now)),
        *report_timers.begin_interval(state, now),
    ]


def _choose_address(
    state: executor.ExecutorState,
) -> members.Address | None:
    """Returns the address to which the next report is sent.

    That is the holder or, while the holder is unknown, the registered entries
    in turn. None if no entry is registered.
    """
    if state.holder is not None:
        return state.holder
    names = sorted(state.entries)
    if not names:
        return None
    name = names[state.next_entry % len(names)]
    return state.entries[name].endpoint.build_address()


def _build_report(
    state: executor.ExecutorState, now: datetime.timedelta
) -> messages.Report:
    """Builds a report; records which runs, refusals and sums it contains."""
    for local_run in state.active.values():
        if local_run.first_report is None:
            local_run.first_report = state.report_number
    runs_ended = leases.have_leases_expired(state, now)
    state.reported_refusals = tuple(state.refused)
    state.reported_sums = tuple(
        state.interference_sums[pair]
        for pair in sorted(state.unreported_pairs, key=str)
    )
    return messages.Report(
        state.options.instance,
        state.options.incarnation,
        state.report_number,
        state.options.endpoint,
        state.worker if state.polled else None,
        state.term,
        tuple(
            losses.build_row(state, local_run)
            for local_run in state.active.values()
        ),
        tuple(
            local_run.ref
            for local_run in state.active.values()
            if local_run.command is None
        ),
        tuple(
            _build_end_row(state, number, now) for number in sorted(state.ends)
        ),
        tuple(
            runs.RefusedRow(ref, reason)
            for ref, reason in state.refused.items()
        ),
        tuple(
            runs.Allowance(image, serving_image.mean_available)
            for image, serving_image in state.serving.items()
        ),
        state.reported_sums,
        state.answering and state.polled and not state.worker_left,
        runs_ended,
        messages.UNKNOWN_SILENCE
        if state.silent_after is None
        else lifecycle.to_ms(state.silent_after),
        tuple(state.losses) if state.polled else (),
        leases.measure_lease_ms(state, now),
        open_starts.list_late(state, now),
        open_starts.measure_idle_ms(state, now),
    )


def _build_end_row(
    state: executor.ExecutorState,
    number: runs.EndNumber,
    now: datetime.timedelta,
) -> runs.EndRow:
    """Returns an end with the time since the worker first listed it."""
    age_ms = lifecycle.to_ms(now - state.ends_listed_at[number])
    return msgspec.structs.replace(state.ends[number], age_ms=age_ms)


def handle_report_answer(
    state: executor.ExecutorState,
    event: events.ReportAnswered,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the directives that answer a report.

    If the call failed, the next report goes to another entry, unless a newer
    term has begun meanwhile.
    """
    is_latest = event.sequence == state.report_number
    is_current = is_latest and state.report_pending
    if is_current:
        state.report_pending = False
    if event.directives is None:
        return _handle_lost_report(state, event.address) if is_current else []
    holder = event.directives.holder
    if not holder and not is_current:
        return []
    answered = received_directives.AnsweredReport(event.sequence, event.sent_at)
    emitted = received_directives.handle_directives(
        state, event.directives, now, answered
    )
    if holder and is_latest and event.directives.term >= state.term:
        for ref in state.reported_refusals:
            state.refused.pop(ref, None)
        for item in state.reported_sums:
            if state.interference_sums[item.pair] is item:
                state.unreported_pairs.discard(item.pair)
    return emitted


def _handle_lost_report(
    state: executor.ExecutorState, address: members.Address
) -> EffectList:
    """Lets the next report go to another entry.

    That entry may have the address of the current holder. A term of which only
    a row was read is forgotten: its holder may not exist.
    """
    emitted: EffectList = []
    state.term = state.confirmed_term
    if state.holder is not None:
        emitted.append(effects.Log("holder", str(address), "no answer"))
    state.holder = None
    state.next_entry += 1
    return emitted
