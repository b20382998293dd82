"""Tracks the state of the local worker from its heartbeats and poll answers.

A poll reads the worker's lists of running and ended tasks, extends the lease
and acknowledges ends. One poll is always pending while a worker is known.
"""

import datetime

from gypsumhold.decisions.jobs import (
    colocation,
    commands,
    refusals,
    run_lists,
    starts,
    worker_logs,
)
from gypsumhold.decisions.jobs.run_bounds import (
    acknowledgements,
    incarnations,
    leases,
    open_starts,
    worker_clocks,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, executor, runs

EffectList = list[base_effects.Effect]

UNACKNOWLEDGED_END_DELAY = datetime.timedelta(milliseconds=100)
"""Delay between polls while the worker lists ends that no poll acknowledges;
the worker then answers without waiting."""

NO_WAIT = datetime.timedelta(0)


def handle_heartbeat(
    state: executor.ExecutorState,
    event: events.HeartbeatReceived,
    now: datetime.timedelta,
) -> EffectList:
    """Stores the worker that a heartbeat describes and polls it.

    Heartbeats that are older than the latest one are ignored, unless the
    latest one is of an incarnation that fails polls and has no runs left: a
    stray heartbeat must not hide the worker that runs. Nor must one whose
    number is far too high.
    """
    new = event.worker
    old = state.worker
    if old is not None and _is_late(state, old, new, now):
        return []
    emitted: EffectList = []
    if old is None or new.incarnation != old.incarnation:
        emitted += incarnations.begin(state, new, now)
    else:
        emitted += _handle_changes(state, old, new)
    if state.worker_left:
        # A worker that has left sends no heartbeats: the notice was that of
        # its former incarnation, under the same name.
        state.worker_left = False
        state.report_due = True
        emitted.append(worker_logs.log_worker(new, "did not leave"))
    state.worker = new
    _note_draining(state, new, now)
    emitted += poll_worker(state, now)
    return [*emitted, *starts.start_waiting_runs(state, now)]


def _note_draining(
    state: executor.ExecutorState,
    worker: runs.Worker,
    now: datetime.timedelta,
) -> None:
    if worker.state is not runs.WorkerState.DRAINING:
        state.drains_since = None
    elif state.drains_since is None:
        state.drains_since = now


def _is_late(
    state: executor.ExecutorState,
    old: runs.Worker,
    new: runs.Worker,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a heartbeat is older than the one that is known.

    An incarnation that has answered a poll of the known one is up after it,
    also if a clock that was set back gives it an earlier start.
    """
    if new.incarnation == old.incarnation:
        return 0 <= old.sequence - new.sequence <= run_lists.MAX_NUMBER_GAP
    if new.incarnation.started_ms == state.other_life_ms:
        return False
    is_older = new.incarnation.started_ms < old.incarnation.started_ms
    return is_older and _may_be_running(state, now)


def _may_be_running(
    state: executor.ExecutorState, now: datetime.timedelta
) -> bool:
    """Tells whether the known worker answers, or may have runs although not.

    One that has never answered a poll has none that the agent started.
    """
    if state.answering:
        return True
    return state.polled and not leases.have_leases_expired(state, now)


def _handle_changes(
    state: executor.ExecutorState, old: runs.Worker, new: runs.Worker
) -> EffectList:
    """Reports a changed state or capacity at once, so that plans consider it.

    What runs on a worker that has shrunk goes on.
    """
    emitted: EffectList = []
    if new.state is not old.state:
        emitted.append(worker_logs.log_worker(new, new.state.value))
    if new.capacity != old.capacity:
        amounts = (
            ("cpu_millis", str(new.cpu_millis)),
            ("memory_mb", str(new.memory_mb)),
            ("accelerators", str(new.accelerators)),
        )
        emitted.append(worker_logs.log_worker(new, "resized", amounts))
    if emitted:
        state.report_due = True
    return emitted


def handle_worker_left(
    state: executor.ExecutorState,
    event: events.WorkerLeft,
    now: datetime.timedelta,
) -> EffectList:
    """Records that the worker announces its end, which ends all its runs."""
    worker = state.worker
    if worker is None or worker.incarnation.name != event.name:
        return []
    leases.record_departure(state, now)
    state.report_due = True
    details = (("has_drained", str(state.has_drained)),)
    return [worker_logs.log_worker(worker, "left", details)]


def poll_worker(
    state: executor.ExecutorState,
    now: datetime.timedelta,
    delay: datetime.timedelta = NO_WAIT,
) -> EffectList:
    """Polls the worker unless a poll is pending.

    The poll extends the lease as far as the holder's grant allows, except while
    the worker is silent or shuts down.
    """
    worker = state.worker
    if worker is None or state.poll_pending:
        return []
    state.poll_pending = True
    until_ms = None
    if state.answering and not state.worker_left:
        until_ms = leases.compute_lease_end(state, now)
    if until_ms is not None:
        leases.record_lease_sent(state, until_ms)
    fence = state.fence
    acknowledged = acknowledgements.choose(state, now)
    acknowledgements.record_sent(state, acknowledged, now)
    return [
        effects.PollWorker(
            worker,
            fence,
            acknowledged,
            until_ms,
            _choose_poll_wait(state),
            delay,
        )
    ]


def _choose_poll_wait(state: executor.ExecutorState) -> datetime.timedelta:
    """Returns how long the worker may wait for an end before it answers.

    The worker answers at once while it was silent, ends are unacknowledged or a
    start is in doubt, and sooner while serving tasks run.
    """
    if not state.answering or not state.polled or state.ends:
        return NO_WAIT
    local_runs = state.active.values()
    if any(run.state is executor.LocalState.IN_DOUBT for run in local_runs):
        return NO_WAIT
    if colocation.list_serving_images(state):
        return state.options.serving_poll_wait
    return state.options.poll_wait


def handle_poll_answer(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Reconciles the state with the worker's lists and polls again."""
    worker = state.worker
    leases.record_lease_taken(state, event.until_ms, event.clock)
    if worker is None or event.worker_incarnation != worker.incarnation:
        return []
    if event.fence < state.first_fence:
        # Another incarnation was believed in since this poll was sent.
        return []
    state.poll_pending = False
    if event.result is events.CommandResult.FENCED:
        return _handle_fenced_poll(state, event, now)
    if event.clock is None or event.started_ms != worker.incarnation.started_ms:
        emitted = _log_failed_poll(state, event, now)
        emitted += _handle_failed_poll(state, event, now)
        return [*emitted, *poll_worker(state, now, state.options.retry_delay)]
    emitted = []
    if not state.answering:
        emitted.append(worker_logs.log_worker(worker, "answers again"))
    state.answering = True
    state.other_life_ms = 0
    commands.record_accepted_fence(state, event.fence)
    state.silent_after = None
    _end_doubt(state, event.clock)
    acknowledgements.record_taken(state, event)
    if not worker_clocks.fits(state, event.clock):
        emitted.append(worker_logs.log_odd_clock(event, state.clock))
    worker_clocks.record(state, event.clock)
    emitted += run_lists.reconcile(state, event, now)
    if event.is_complete:
        open_starts.settle(state, event.clock.sent_at)
    emitted += run_lists.note_completeness(state, event)
    if not state.polled:
        leases.record_first_contact(state, event.clock)
        state.report_due = True
        emitted.append(worker_logs.log_first_lists(event))
    state.polled = True
    emitted += starts.start_waiting_runs(state, now)
    emitted += colocation.adjust_throttling(state, now)
    emitted += poll_worker(state, now, _choose_delay(state, now))
    # This poll may carry the acknowledgement for which runs have waited.
    return [*emitted, *starts.start_waiting_runs(state, now)]


def _handle_fenced_poll(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Polls again after the worker refused the fence of a poll."""
    commands.raise_refused_fence(state, event.fence)
    return poll_worker(state, now, state.options.retry_delay)


def _end_doubt(
    state: executor.ExecutorState, clock: events.WorkerClock
) -> None:
    """Ends the doubt about the incarnation if a later call was answered."""
    doubted_at = state.doubted_at
    if doubted_at is not None and clock.sent_at > doubted_at:
        state.doubted_at = None


def _choose_delay(
    state: executor.ExecutorState, now: datetime.timedelta
) -> datetime.timedelta:
    """Returns the delay of the next poll of a worker that answers."""
    if acknowledgements.choose(state, now):
        return NO_WAIT
    if state.ends or acknowledgements.is_withheld(state, now):
        return UNACKNOWLEDGED_END_DELAY
    return NO_WAIT


def _log_failed_poll(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Logs that another incarnation answered, and the begin of a silence."""
    emitted: EffectList = []
    if event.clock is not None and event.started_ms != state.other_life_ms:
        state.other_life_ms = event.started_ms
        emitted.append(worker_logs.log_other_life(event))
    if state.answering:
        inputs = (
            ("result", event.result.value),
            *worker_logs.describe_open_runs(state, now),
        )
        name = event.worker_incarnation.name
        emitted.append(effects.Log("worker", name, "silent", inputs))
    return emitted


def _handle_failed_poll(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Marks the worker as silent and refuses the runs that wait for a start.

    Those of which an earlier start may be under way are in doubt instead. The
    other runs are dropped once they have certainly ended.
    """
    emitted: EffectList = []
    if state.answering:
        # A later incarnation that takes the next poll refuses the calls that
        # were sent before, also if no heartbeat has told of it yet.
        state.fence += 1
        state.report_due = True
        if state.clock is not None:
            state.silent_after = now - state.clock.received_at
    state.answering = False
    for local_run in starts.list_waiting_runs(state):
        if open_starts.may_work(state, local_run.ref, now):
            incarnations.doubt_again(state, local_run, now)
        else:
            emitted += refusals.refuse_run(
                state, local_run.ref, runs.Refusal.UNHEALTHY, now
            )
    return [*emitted, *_drop_ended_runs(state, event, now)]


def _drop_ended_runs(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Drops the runs of a silent worker that have certainly ended.

    A worker that answers again has none of them.
    """
    if not leases.have_leases_expired(state, now):
        return []
    ended = [
        local_run.ref
        for local_run in state.active.values()
        if not open_starts.may_work(state, local_run.ref, now)
    ]
    if not ended:
        return []
    inputs = worker_logs.describe_open_runs(state, now)
    for ref in ended:
        del state.active[ref]
    state.report_due = True
    name = event.worker_incarnation.name
    return [effects.Log("worker", name, "lease lapsed", inputs)]
