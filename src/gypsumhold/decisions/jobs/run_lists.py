"""Compares the runs that an agent knows with the lists of its worker."""

import datetime

from gypsumhold.decisions.jobs import commands
from gypsumhold.decisions.jobs.run_bounds import open_starts
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, executor, runs

EffectList = list[base_effects.Effect]

MAX_STOP_TIME = datetime.timedelta(seconds=2)
"""Longest time from the moment when a stopped run is no longer listed as
running until its end is listed."""

MAX_NUMBER_GAP = 1_000_000
"""Most numbers between a heartbeat or an end and those before it; one that is
further ahead is faulty."""


def reconcile(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Updates ends and runs from the worker's lists.

    Listed runs that the agent does not know are added without a command.
    """
    assert event.clock is not None
    emitted: EffectList = []
    emitted += _ignore_impossible_ends(state, event)
    for end in event.ends:
        if end.number in state.ignored_ends:
            continue
        _record_carried_out(state, end.ref, now)
        if end.number > state.acknowledged and end.number not in state.ends:
            state.ends[end.number] = end
            state.ends_listed_at[end.number] = now
            state.report_due = True
            if open_starts.must_keep_end(state, end.ref, now):
                state.late_ends[end.number] = end.ref
        state.active.pop(end.ref, None)
    listed = {row.ref: row for row in event.rows}
    for row in event.rows:
        local_run = state.active.get(row.ref)
        if local_run is None:
            local_run = executor.LocalRun(
                row.ref, None, executor.LocalState.RUNNING
            )
            state.active[row.ref] = local_run
            state.report_due = True
            emitted.append(_log_found_run(row))
        local_run.row = row
        local_run.unlisted_since = None
        if local_run.state is not executor.LocalState.RUNNING:
            open_starts.record_listed(state, row.ref, now)
            emitted += commands.confirm_start(state, local_run, now)
            emitted.append(_log_listed_start(row))
    for local_run in list(state.active.values()):
        if local_run.ref not in listed:
            emitted += _handle_missing_run(state, local_run, event, now)
    return emitted


def _record_carried_out(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    now: datetime.timedelta,
) -> None:
    """Records that a run has ended that had not been confirmed."""
    local_run = state.active.get(ref)
    if (
        local_run is not None
        and local_run.state is not executor.LocalState.RUNNING
    ):
        open_starts.record_listed(state, ref, now)


def _ignore_impossible_ends(
    state: executor.ExecutorState, event: events.WorkerPolled
) -> EffectList:
    """Ignores ends whose number is far above all before it.

    The holder acknowledges ends up to a number, so that such an end would hide
    all later ones.
    """
    listed = min((end.number for end in event.ends), default=0)
    limit = max(state.acknowledged, listed) + MAX_NUMBER_GAP
    emitted: EffectList = []
    for end in event.ends:
        if end.number <= limit or end.number in state.ignored_ends:
            continue
        state.ignored_ends.add(end.number)
        inputs = (("number", str(end.number)), ("task", str(end.ref.task)))
        emitted.append(
            effects.Log(
                "end-ignored", end.ref.task.job_id, "impossible number", inputs
            )
        )
    return emitted


def note_completeness(
    state: executor.ExecutorState, event: events.WorkerPolled
) -> EffectList:
    """Records whether the worker listed all ends; logs a change."""
    if state.ends_complete is event.is_complete:
        return []
    state.ends_complete = event.is_complete
    outcome = (
        "all ends listed" if event.is_complete else "more ends than listed"
    )
    inputs = (
        ("ends", str(len(event.ends))),
        ("acknowledged", str(state.acknowledged)),
    )
    return [
        effects.Log("worker", event.worker_incarnation.name, outcome, inputs)
    ]


def _log_listed_start(row: runs.RunRow) -> effects.Log:
    """Returns the line of a start that a poll confirms before its answer."""
    inputs = (
        ("task", str(row.ref.task)),
        ("run", str(row.ref.run)),
        ("by", "poll"),
    )
    return effects.Log("start", row.ref.task.job_id, "started", inputs)


def _log_found_run(row: runs.RunRow) -> effects.Log:
    inputs = (("task", str(row.ref.task)), ("run", str(row.ref.run)))
    return effects.Log("run-found", row.ref.task.job_id, "reported", inputs)


def _handle_missing_run(
    state: executor.ExecutorState,
    local_run: executor.LocalRun,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> EffectList:
    """Handles a run that the worker does not list.

    Its end may be among those that did not fit into an incomplete list.
    Otherwise a start in doubt is sent again or refused if the poll was sent
    after the doubt arose and had the fence that decides it. A running run has
    ended, and is dropped, if the poll was sent after its start was confirmed.
    While it is being stopped, it still holds its capacity until its end is
    listed. Runs in other states are left as they are.
    """
    assert event.clock is not None
    if local_run.state is executor.LocalState.IN_DOUBT:
        is_later = event.clock.sent_at >= local_run.doubted_at
        if not is_later or event.fence < local_run.fence:
            return []
        local_run.is_fenced = True
        if event.is_complete:
            return commands.decide_missing_start(state, local_run, now)
        return []
    if not event.is_complete:
        return []
    running = local_run.state is executor.LocalState.RUNNING
    if not running or event.clock.sent_at <= local_run.confirmed_at:
        return []
    if local_run.unlisted_since is None:
        local_run.unlisted_since = now
    stops_until = local_run.unlisted_since + MAX_STOP_TIME
    if not local_run.stop_sent or now >= stops_until:
        # The run has ended, and its end was acknowledged earlier.
        del state.active[local_run.ref]
    return []
