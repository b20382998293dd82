"""Election of the entry that holds the queue.

One entry at a time holds the queue, which stands for the jobs of all configured
queues, and places their tasks. The holder rewrites its row with each batch. An
entry that sees the row unchanged for `takeover_delay` replaces it by a row with
its own name and a higher term, on condition that the row is still the same.
From then on the conditional writes of the former holder fail.

A holder that lost the store tells the entries that notify it of submissions,
which have just reached the store; one of them takes the queue at once.

The work of the holder grows with the fleet, and entries run on instances of
different sizes. So an entry with several times the processor capacity of the
holder takes the queue from it, and a smaller entry lets larger ones go first.
"""

import datetime

from gypsumhold.decisions.jobs import (
    evacuations,
    holders,
    lifecycle,
    store_health,
)
from gypsumhold.decisions.jobs.overload import forecasts
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, timers
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    records,
    scheduler,
    storage,
)

ZERO = datetime.timedelta(0)

LARGER_FACTOR = 1.5
"""Ratio of processor capacities from which one entry counts as larger."""

SMALLER_ENTRY_DELAY = datetime.timedelta(milliseconds=1000)
"""How long an entry leaves a free queue to entries as large as its former
holder; longer than two polls of the holder's row."""

TAKEOVER_SPREAD = datetime.timedelta(milliseconds=80)
"""Time over which the entries spread their attempts to take the queue, so that
most of them see that another one has it."""

POLL_TIMER = timers.Timer(timers.TimerKind.HOLDER_POLL)
REGISTER_TIMER = timers.Timer(timers.TimerKind.REGISTER)
REGISTER_RETRY_DELAY = datetime.timedelta(seconds=1)

EffectList = list[base_effects.Effect]


def handle_started(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Starts to read the configuration and the holder's row, and registers."""
    state.config_asked_at = now
    return [
        effects.FollowConfig(ids.RowVersion(0)),
        effects.ReadHolder(),
        _build_registration(state),
    ]


def _build_registration(
    state: scheduler.SchedulerState,
) -> effects.RegisterEntry:
    """Returns the write that lets agents find this entry."""
    return effects.RegisterEntry(
        records.EntryRecord(
            records.FORMAT, state.options.name, state.options.endpoint
        )
    )


def retry_registration(state: scheduler.SchedulerState) -> EffectList:
    """Repeats the registration of this entry if it has not succeeded."""
    return [] if state.registered else [_build_registration(state)]


def handle_entry_registered(
    state: scheduler.SchedulerState, event: events.EntryRegistered
) -> EffectList:
    """Records the result of a registration; schedules a retry if it failed."""
    state.registered = event.result is storage.WriteResult.STORED
    if state.registered:
        return []
    return [base_effects.SetTimer(REGISTER_TIMER, REGISTER_RETRY_DELAY)]


def handle_poll_timer(state: scheduler.SchedulerState) -> EffectList:
    """Reads the holder's row if this scheduler is a follower."""
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    return [effects.ReadHolder()]


def _schedule_poll(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Sets the timer of the next read, with jitter of 20 percent.

    The read comes earlier if the queue can be taken by then.
    """
    jitter = 0.8 + 0.4 * state.rng.random()
    delay = state.options.poll_interval * jitter
    record = None if state.holder_row is None else state.holder_row.record
    if record is not None:
        takeover_delay = _compute_takeover_delay(state, record, now)
        due_at = state.holder_seen_at + takeover_delay
        spread = TAKEOVER_SPREAD * state.rng.random()
        if due_at > now:
            delay = min(delay, due_at + spread - now)
    return [base_effects.SetTimer(POLL_TIMER, delay)]


def handle_holder_read(
    state: scheduler.SchedulerState,
    event: events.HolderRead,
    now: datetime.timedelta,
) -> EffectList:
    """Records the holder's row; tries to take a queue without a live holder."""
    emitted = store_health.record_call(state, event.row is not None, now)
    return [*emitted, *_apply_holder_read(state, event, now)]


def _apply_holder_read(
    state: scheduler.SchedulerState,
    event: events.HolderRead,
    now: datetime.timedelta,
) -> EffectList:
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    row = event.row
    if row is None:
        # While the store does not answer, an unchanged row does not show that
        # the holder is gone: restart the takeover delay.
        state.holder_seen_at = now
        return _schedule_poll(state, now)
    emitted: EffectList = []
    if state.holder_row is None or row.version != state.holder_row.version:
        emitted += _log_holder_change(state, row)
        state.holder_seen_at = now
        forecasts.receive(state, row.record, now)
    state.holder_row = row
    free = _is_queue_free(state, row, now)
    if not _is_own_row(state, row):
        # Behind a row that cannot be read there may be a live holder. If the
        # row was written by a takeover of this process whose answer was lost,
        # the holder that it replaced still counts.
        state.replacing_live_holder = _is_row_unreadable(row) or (
            not free
            and not evacuations.are_outdated(state, now)
            and (_is_holder_small(state, row) or _is_holder_unable(state, row))
        )
    if not free and not state.replacing_live_holder:
        return [*emitted, *_schedule_poll(state, now)]
    return [*emitted, *_take_queue(state, row, now)]


def _log_holder_change(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> EffectList:
    old = None if state.holder_row is None else state.holder_row.record
    new = row.record
    if new is None or (old is not None and old.term == new.term):
        return []
    inputs = (("term", str(new.term)), ("row_version", str(row.version)))
    return [effects.Log("holder-changed", new.holder, "followed", inputs)]


def _is_queue_free(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> bool:
    """Tells whether the queue has no holder, or one that seems to be gone.

    An entry that is much smaller than the last holder waits a little longer.
    """
    record = row.record
    if record is None:
        return True
    delay = _compute_takeover_delay(state, record, now)
    return now >= state.holder_seen_at + delay


def _compute_takeover_delay(
    state: scheduler.SchedulerState,
    record: records.HolderRecord,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Returns how long the row of a holder must stay unchanged."""
    # An earlier incarnation of this entry may have held the queue.
    is_released = record.holder in {"", state.options.name}
    # An entry that can't read the evacuations would place nothing.
    is_free = is_released and not evacuations.are_outdated(state, now)
    delay = ZERO if is_free else state.options.takeover_delay
    if record.cores >= state.options.cores * LARGER_FACTOR:
        delay += SMALLER_ENTRY_DELAY
    return delay


def _is_own_row(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> bool:
    """Tells whether this process wrote the holder's row."""
    record = row.record
    return record is not None and (record.holder, record.incarnation) == (
        state.options.name,
        state.options.incarnation,
    )


def _is_row_unreadable(row: storage.HolderRow) -> bool:
    """Tells whether the holder's row exists but names no holder."""
    return row.record is None and row.version > 0


def _choose_term(row: storage.HolderRow | None) -> ids.Epoch:
    """Returns the term that follows the one of a row.

    If the row cannot be read, the term follows all that it may have had: no
    term exceeds the version of its row.
    """
    if row is None:
        return ids.Epoch(1)
    former = row.version if row.record is None else row.record.term
    return ids.Epoch(former + 1)


def _read_former_clock(row: storage.HolderRow | None) -> records.QueueMs:
    """Returns the queue's clock in a row; the next holder goes on from it."""
    record = None if row is None else row.record
    return records.QueueMs(0) if record is None else record.clock_ms


def _read_settled_starts(
    row: storage.HolderRow | None,
) -> records.SettledStarts:
    """Returns which starts are settled by a row."""
    record = None if row is None else row.record
    if record is None:
        return records.SettledStarts()
    return records.SettledStarts(record.settled_ms, record.open_starts)


def _is_holder_small(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> bool:
    """Tells whether this entry is larger than the holder."""
    record = row.record
    return (
        record is not None
        and record.cores > 0
        and state.options.cores >= record.cores * LARGER_FACTOR
    )


def _is_holder_unable(
    state: scheduler.SchedulerState, row: storage.HolderRow
) -> bool:
    """Tells whether the holder has said that it does not reach the store."""
    return row.record is not None and row.record.term == state.unable_term


def handle_holder_notified(
    state: scheduler.SchedulerState,
    event: events.HolderNotified,
    now: datetime.timedelta,
) -> EffectList:
    """Takes the queue from a holder that does not reach the store.

    Such a holder lives, but it can neither place anything nor release the
    queue. An entry that is much smaller leaves it to others, and one that has
    just lost the store as well lets the holder recover.
    """
    answer, row = event.answer, state.holder_row
    if answer is None or answer.verdict is not messages.Verdict.UNAVAILABLE:
        return []
    if state.role is not scheduler.Role.FOLLOWER or state.stopping:
        return []
    if row is None or row.record is None:
        return []
    if event.address != row.record.endpoint.build_address():
        return []
    if row.record.cores >= state.options.cores * LARGER_FACTOR:
        return []
    if not store_health.is_store_reliable(state, now):
        return []
    state.unable_term = row.record.term
    inputs = (("term", str(row.record.term)),)
    log = effects.Log("holder-unable", row.record.holder, "told so", inputs)
    return [log, effects.ReadHolder()]


def _take_queue(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> EffectList:
    """Returns the conditional write that makes this entry the holder."""
    term = _choose_term(row)
    options = state.options
    state.role = scheduler.Role.TAKING
    settled = _read_settled_starts(row)
    holder = records.HolderRecord(
        records.FORMAT,
        term,
        options.name,
        options.incarnation,
        options.endpoint,
        0,
        options.cores,
        clock_ms=_read_former_clock(row),
        settled_ms=settled.before_ms,
        open_starts=settled.open,
    )
    entry = records.EntryRecord(
        records.FORMAT, options.name, options.endpoint, True, term
    )
    age = lifecycle.to_ms(now - state.holder_seen_at)
    inputs = (
        ("term", str(term)),
        ("unchanged_ms", str(age)),
        ("cores", str(options.cores)),
        (
            "former_cores",
            "none" if row.record is None else str(row.record.cores),
        ),
    )
    return [
        effects.Log("take-queue", options.name, "tried", inputs),
        effects.TakeQueue(row.version, holder, entry),
    ]


def handle_queue_taken(
    state: scheduler.SchedulerState,
    event: events.QueueTaken,
    now: datetime.timedelta,
) -> EffectList:
    """Loads the jobs after a successful takeover, or follows again."""
    if state.role is not scheduler.Role.TAKING:
        return []
    write = event.write
    if write.result is not storage.WriteResult.STORED:
        outcome = f"not taken: {write.result.value}"
        log = effects.Log("take-queue", state.options.name, outcome)
        if state.stopping:
            return [log, *stop_following(state)]
        # After an unknown result the next read of the row shows the holder.
        state.role = scheduler.Role.FOLLOWER
        state.holder_seen_at = now
        return [log, *_schedule_poll(state, now)]
    term = _choose_term(state.holder_row)
    state.role = scheduler.Role.LOADING
    settled = _read_settled_starts(state.holder_row)
    state.holder_state = scheduler.HolderState(
        term,
        write.version,
        now,
        now,
        replaced_live_holder=state.replacing_live_holder,
        clock_base_ms=_read_former_clock(state.holder_row),
        former_settled_ms=settled.before_ms,
        former_open_starts=frozenset(settled.open),
    )
    log = effects.Log(
        "take-queue", state.options.name, "taken", (("term", str(term)),)
    )
    if state.stopping:
        # The queue was taken after the stop signal; the next batch releases it.
        state.holder_state.releasing = True
        return [log]
    return [
        log,
        *evacuations.begin_term(state, state.holder_state, now),
        effects.LoadJobs(term),
        base_effects.SetTimer(holders.TICK_TIMER, holders.TICK_INTERVAL),
    ]


def handle_queue_lost(
    state: scheduler.SchedulerState,
    current_row: storage.HolderRow | None,
    now: datetime.timedelta,
) -> EffectList:
    """Follows again after another entry has taken the queue.

    Callers that wait for a stored cancellation get an unknown result.
    """
    holder_state = state.holder_state
    assert holder_state is not None
    state.holder_state = None
    state.role = scheduler.Role.FOLLOWER
    state.holder_row = current_row
    state.holder_seen_at = now
    record = None if current_row is None else current_row.record
    name = "" if record is None else record.holder
    log = effects.Log(
        "queue-lost", name, "following", (("term", str(holder_state.term)),)
    )
    emitted: EffectList = [log]
    emitted += (
        stop_following(state) if state.stopping else _schedule_poll(state, now)
    )
    for ticket_id, ticket in list(state.tickets.items()):
        if ticket.cancelling:
            del state.tickets[ticket_id]
            unknown = messages.Answer(messages.Verdict.UNKNOWN)
            emitted.append(effects.AnswerQuery(ticket_id, unknown))
    return emitted


def stop_following(state: scheduler.SchedulerState) -> EffectList:
    """Stops a scheduler that does not hold the queue."""
    state.role = scheduler.Role.STOPPED
    return [base_effects.Stopped()]
