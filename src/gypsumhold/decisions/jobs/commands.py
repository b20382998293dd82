"""Starts, stops and pace of the runs on one worker."""

import datetime

from gypsumhold.decisions.jobs import colocation, leases
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, executor, runs

Made = list[base_effects.Effect]

FENCE_JUMP = 600_000
"""Added to a fence that the worker calls too low: a former process may have
used higher ones, since its clock was ahead."""

_REFUSALS = {
    events.CommandResult.STALE: runs.Refusal.STALE,
    events.CommandResult.NO_CAPACITY: runs.Refusal.NO_CAPACITY,
    events.CommandResult.UNHEALTHY: runs.Refusal.UNHEALTHY,
    events.CommandResult.INVALID: runs.Refusal.INVALID,
}


def refuse(
    state: executor.ExecutorState, ref: runs.RunRef, reason: runs.Refusal
) -> Made:
    """Decides that an ordered run never starts."""
    state.active.pop(ref, None)
    state.refused[ref] = reason
    state.report_due = True
    return [
        effects.Log(
            "start",
            ref.task.job_id,
            f"refused: {reason.value}",
            (("task", str(ref.task)), ("run", str(ref.run))),
        )
    ]


def start_waiting(
    state: executor.ExecutorState, now: datetime.timedelta
) -> Made:
    """Orders every waiting run that the lease and the room allow."""
    made: Made = []
    worker = state.worker
    waiting = [
        local
        for local in state.active.values()
        if local.state is executor.LocalState.WAITING
    ]
    if worker is None or not waiting or not state.polled:
        return made
    if worker.state is runs.WorkerState.DRAINING or state.left:
        for local in waiting:
            made += refuse(state, local.ref, runs.Refusal.DRAINING)
        return made
    until_ms = leases.compute_lease_end(state, now)
    if until_ms is None or not leases.has_start_margin(state, now):
        return made
    if any(local.command is None for local in state.active.values()):
        # What a former process has left is not known yet.
        return made
    for local in waiting:
        if colocation.must_wait(state, local, now):
            continue
        made += _start(state, worker, local, until_ms)
    return made


def _start(
    state: executor.ExecutorState,
    worker: runs.Worker,
    local: executor.LocalRun,
    until_ms: int,
) -> Made:
    assert local.command is not None
    if not _has_room(state, worker, local.command):
        return refuse(state, local.ref, runs.Refusal.NO_CAPACITY)
    local.state = executor.LocalState.STARTING
    local.fence = state.fence
    leases.record_lease_sent(state, until_ms)
    return [effects.StartRun(worker, state.fence, local.command, until_ms)]


def _has_room(
    state: executor.ExecutorState,
    worker: runs.Worker,
    command: runs.StartCommand,
) -> bool:
    """Tells whether a run fits beside all that may be running."""
    cpu = 0 if command.best_effort else command.cpu_millis
    memory = command.memory_mb
    accelerators = command.accelerators
    for local in state.active.values():
        known = local.command
        if known is None or local.state is executor.LocalState.WAITING:
            continue
        cpu += 0 if known.best_effort else known.cpu_millis
        memory += known.memory_mb
        accelerators += known.accelerators
    return (
        cpu <= worker.cpu_millis
        and memory <= worker.memory_mb
        and accelerators <= worker.accelerators
    )


def stop(state: executor.ExecutorState, ref: runs.RunRef) -> Made:
    """Ends a run that the holder does not want."""
    local = state.active.get(ref)
    worker = state.worker
    if local is None or worker is None or local.stop_sent:
        return []
    if local.state is executor.LocalState.WAITING:
        return refuse(state, ref, runs.Refusal.STALE)
    local.stop_sent = True
    return [
        effects.Log(
            "stop",
            ref.task.job_id,
            "ordered",
            (("task", str(ref.task)), ("run", str(ref.run))),
        ),
        effects.StopRun(worker, state.fence, ref),
    ]


def handle_command_answer(
    state: executor.ExecutorState,
    event: events.CommandAnswered,
    now: datetime.timedelta,
) -> Made:
    """Applies the worker's answer to an order."""
    if (
        state.worker is None
        or event.worker_incarnation != state.worker.incarnation
    ):
        return []
    note_clock(state, event.clock)
    if event.result is events.CommandResult.FENCED:
        state.fence = max(state.fence, event.fence + FENCE_JUMP)
    local = state.active.get(event.ref)
    if local is None:
        return []
    match event.kind:
        case events.CommandKind.START:
            return _note_started(state, event, local, now)
        case events.CommandKind.STOP:
            if event.result is not events.CommandResult.DONE:
                local.stop_sent = False
        case events.CommandKind.THROTTLE:
            if event.result is not events.CommandResult.DONE:
                local.percent = -1
    return []


def note_clock(
    state: executor.ExecutorState, clock: events.WorkerClock | None
) -> None:
    """Keeps the latest reading; answers on two channels may cross."""
    if clock is None:
        return
    if state.clock is None or clock.clock_ms >= state.clock.clock_ms:
        state.clock = clock


def _note_started(
    state: executor.ExecutorState,
    event: events.CommandAnswered,
    local: executor.LocalRun,
    now: datetime.timedelta,
) -> Made:
    if local.state is not executor.LocalState.STARTING:
        return []
    result = event.result
    if result is events.CommandResult.DONE:
        local.state = executor.LocalState.RUNNING
        local.confirmed_at = now
        return [_log_start(event, "started"), *colocation.throttle_tasks(state)]
    if result is events.CommandResult.UNANSWERED:
        # A look under a higher fence shows whether it runs; a late copy of
        # this order is refused by that fence.
        state.fence += 1
        local.state = executor.LocalState.IN_DOUBT
        local.fence = state.fence
        return [_log_start(event, "doubtful")]
    if result in _REFUSALS:
        return refuse(state, local.ref, _REFUSALS[result])
    # Too late, fenced, or another life: it is ordered again if still wanted.
    local.state = executor.LocalState.WAITING
    made: Made = [_log_start(event, f"again: {result.value}")]
    if result is events.CommandResult.FENCED:
        made += start_waiting(state, now)
    return made


def _log_start(event: events.CommandAnswered, outcome: str) -> effects.Log:
    ref = event.ref
    return effects.Log(
        "start",
        ref.task.job_id,
        outcome,
        (
            ("task", str(ref.task)),
            ("run", str(ref.run)),
            ("fence", str(event.fence)),
        ),
    )
