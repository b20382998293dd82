"""Reports to the holder of the queue, and its directives."""

import datetime

from gypsumhold.decisions.jobs import commands, leases, worker_polls
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, members, timers
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    records,
    runs,
)

Made = list[base_effects.Effect]

REPORT = timers.Timer(timers.TimerKind.REPORT)
FOLLOW_RETRY = datetime.timedelta(milliseconds=500)
STILL = datetime.timedelta(0)


def start(state: executor.ExecutorState, now: datetime.timedelta) -> Made:
    """Begins to follow the entries and to report."""
    state.fence = state.options.incarnation
    state.runs_expire_at = now + state.options.max_lease
    return [
        effects.FollowEntries(ids.RowVersion(0)),
        base_effects.SetTimer(REPORT, state.options.report_time),
    ]


def handle_entries_changed(
    state: executor.ExecutorState,
    event: events.EntriesChanged,
    now: datetime.timedelta,
) -> Made:
    """Learns of entries and of a new holder."""
    changes = event.changes
    if changes is None:
        return [effects.FollowEntries(state.entries_version, FOLLOW_RETRY)]
    state.entries_version = changes.version
    made: Made = []
    for record in changes.entries:
        if not record.holds:
            state.entries[record.name] = record
        elif record.term > state.term:
            made += _follow(state, record)
    if state.holder is None or made:
        state.report_due = True
    return [*made, effects.FollowEntries(state.entries_version)]


def _follow(state: executor.ExecutorState, record: records.EntryRecord) -> Made:
    state.term = record.term
    state.sequence = 0
    state.unreported = set(state.interference_sums)
    state.holder = record.endpoint.build_address()
    inputs = (("term", str(record.term)),)
    return [effects.Log("holder-changed", record.name, "followed", inputs)]


def fire(state: executor.ExecutorState, now: datetime.timedelta) -> Made:
    """Reports at least once in a while."""
    state.report_due = True
    made: Made = [base_effects.SetTimer(REPORT, state.options.report_time)]
    if state.worker is not None:
        made += worker_polls.poll_worker(state, now)
    return made


def flush(state: executor.ExecutorState, now: datetime.timedelta) -> Made:
    """Sends a report if one is due and none is under way."""
    if not state.report_due or state.report_sent:
        return []
    address = _choose_address(state)
    if address is None:
        return []
    state.report_due = False
    state.report_sent = True
    state.report_number += 1
    return [effects.SendReport(address, _build(state, now))]


def _choose_address(
    state: executor.ExecutorState,
) -> members.Address | None:
    if state.holder is not None:
        return state.holder
    names = sorted(state.entries)
    if not names:
        return None
    name = names[state.next_entry % len(names)]
    return state.entries[name].endpoint.build_address()


def _build(
    state: executor.ExecutorState, now: datetime.timedelta
) -> messages.Report:
    lapsed = leases.has_expired(state, now)
    state.reported_refusals = tuple(state.refused)
    state.reported_sums = tuple(
        state.interference_sums[pair]
        for pair in sorted(state.unreported, key=str)
    )
    return messages.Report(
        state.options.instance,
        state.options.incarnation,
        state.report_number,
        state.options.endpoint,
        state.worker if state.polled else None,
        state.term,
        tuple(
            local.row or runs.RunRow(local.ref)
            for local in state.active.values()
        ),
        tuple(
            local.ref
            for local in state.active.values()
            if local.command is None
        ),
        tuple(state.ends.values()),
        tuple(
            runs.RefusedRow(ref, reason)
            for ref, reason in state.refused.items()
        ),
        tuple(
            runs.Allowance(image, known.mean_allowed)
            for image, known in state.serving.items()
        ),
        state.reported_sums,
        state.answering and state.polled and not state.left,
        lapsed,
    )


def handle_report_answer(
    state: executor.ExecutorState,
    event: events.ReportAnswered,
    now: datetime.timedelta,
) -> Made:
    """Applies the answer to a report."""
    state.report_sent = False
    if event.directives is None:
        # Another entry may know who holds the queue now.
        made: Made = []
        if state.holder is not None:
            made.append(effects.Log("holder", str(event.address), "no answer"))
        state.holder = None
        state.next_entry += 1
        return made
    holder = event.directives.holder
    made = apply(state, event.directives, now, event.sent_at)
    if holder and event.directives.term >= state.term:
        for ref in state.reported_refusals:
            state.refused.pop(ref, None)
        for item in state.reported_sums:
            if state.interference_sums[item.pair] is item:
                state.unreported.discard(item.pair)
    return made


def apply(
    state: executor.ExecutorState,
    wanted: messages.Directives,
    now: datetime.timedelta,
    sent_at: datetime.timedelta | None = None,
) -> Made:
    """Does what the holder wants, unless a later word is known."""
    if wanted.incarnation != state.options.incarnation:
        return []
    if not wanted.holder:
        return _redirect(state, wanted)
    if wanted.term < state.term or wanted.endpoint is None:
        return []
    made: Made = []
    if wanted.term > state.term or state.holder is None:
        newer = wanted.term > state.term
        state.term = wanted.term
        if newer:
            state.sequence = 0
            state.unreported = set(state.interference_sums)
        state.holder = wanted.endpoint.build_address()
        inputs = (("term", str(wanted.term)),)
        made.append(
            effects.Log("holder-changed", wanted.holder, "followed", inputs)
        )
    if sent_at is not None and wanted.grant_ms:
        grant = datetime.timedelta(milliseconds=wanted.grant_ms)
        state.lease_end = max(state.lease_end, sent_at + grant)
    if (
        state.worker is None
        or wanted.worker_incarnation != state.worker.incarnation
    ):
        return made
    _acknowledge(state, wanted.acknowledged)
    if wanted.sequence <= state.sequence:
        return made
    state.sequence = wanted.sequence
    return [*made, *_follow_orders(state, wanted, now)]


def _follow_orders(
    state: executor.ExecutorState,
    wanted: messages.Directives,
    now: datetime.timedelta,
) -> Made:
    made: Made = []
    for estimate in wanted.interference_estimates:
        state.interference_estimates[estimate.pair] = estimate.per_core
    if wanted.deferred is not None:
        state.deferred = frozenset(wanted.deferred)
    for command in wanted.found:
        local = state.active.get(command.ref)
        if local is not None and local.command is None:
            local.command = command
            local.percent = -1
    for ref in wanted.stops:
        made += commands.stop(state, ref)
    for command in wanted.starts:
        made += _take(state, command, now)
    return [*made, *commands.start_waiting(state, now)]


def _redirect(
    state: executor.ExecutorState, wanted: messages.Directives
) -> Made:
    if wanted.endpoint is not None and wanted.term >= state.term:
        state.holder = wanted.endpoint.build_address()
    else:
        state.holder = None
        state.next_entry += 1
    return []


def _acknowledge(state: executor.ExecutorState, number: runs.EndNumber) -> None:
    state.acknowledged = max(state.acknowledged, number)
    for known in list(state.ends):
        if known <= state.acknowledged:
            del state.ends[known]


def _take(
    state: executor.ExecutorState,
    command: runs.StartCommand,
    now: datetime.timedelta,
) -> Made:
    if command.ref in state.active or command.ref in state.refused:
        return []
    if any(end.ref == command.ref for end in state.ends.values()):
        return []
    worker = state.worker
    assert worker is not None
    if worker.state is runs.WorkerState.DRAINING or state.left:
        return commands.refuse(state, command.ref, runs.Refusal.DRAINING)
    if not state.answering:
        return commands.refuse(state, command.ref, runs.Refusal.UNHEALTHY)
    state.active[command.ref] = executor.LocalRun(
        command.ref, command, executor.LocalState.WAITING, received_at=now
    )
    return []
