"""Starts the runs that the holder requested, as lease and capacity allow."""

import datetime

from gypsumhold.decisions.jobs import (
    colocation,
    received_evacuations,
    refusals,
)
from gypsumhold.decisions.jobs.run_bounds import (
    acknowledgements,
    leases,
    open_starts,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, executor, runs

EffectList = list[base_effects.Effect]

LOGGED_HOLD = datetime.timedelta(milliseconds=800)
"""Time for which a run is held until the log tells about it."""

MILLISECOND = datetime.timedelta(milliseconds=1)


def start_waiting_runs(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Starts the waiting runs for which lease and capacity suffice.

    Runs that do not fit, those that the holder has stopped, and all waiting
    runs while the worker drains or its data centre is evacuated, are refused;
    those that an earlier start may begin, only once it no longer can. Nothing
    starts before the worker was polled, or while it has runs whose requests the
    holder has not yet sent.
    """
    emitted: EffectList = []
    worker = state.worker
    waiting = list_waiting_runs(state)
    if worker is None or not waiting:
        return emitted
    is_known = state.polled and state.doubted_at is None
    if not is_known or not state.answering:
        return _hold(waiting, executor.HoldReason.NOT_POLLED)
    if worker.state is runs.WorkerState.DRAINING or state.worker_left:
        return _refuse_waiting(state, waiting, runs.Refusal.DRAINING, now)
    for local_run in waiting:
        if local_run.withheld_refusal is not None:
            refusal = local_run.withheld_refusal
            emitted += refusals.refuse_run(state, local_run.ref, refusal, now)
    waiting = [
        local_run for local_run in waiting if local_run.withheld_refusal is None
    ]
    if received_evacuations.is_evacuated(state):
        refusal = runs.Refusal.EVACUATED
        return [*emitted, *_refuse_waiting(state, waiting, refusal, now)]
    until_ms = leases.compute_lease_end(state, now)
    if until_ms is None:
        return [*emitted, *_hold(waiting, executor.HoldReason.NO_LEASE)]
    obstacle = _find_hold_reason(state, now)
    if obstacle is not None:
        return [*emitted, *_hold(waiting, obstacle)]
    for local_run in waiting:
        if colocation.must_delay_start(state, local_run, now):
            local_run.hold = executor.HoldReason.LATENCY
            continue
        local_run.hold = None
        emitted += _start_run(state, worker, local_run, until_ms, now)
    return emitted


def _find_hold_reason(
    state: executor.ExecutorState, now: datetime.timedelta
) -> executor.HoldReason | None:
    """Returns why an agent with a lease starts no run; None if it may."""
    if not leases.has_start_margin(state, now):
        return executor.HoldReason.SHORT_LEASE
    if received_evacuations.is_outdated(state, now):
        return executor.HoldReason.EVACUATION_UNKNOWN
    if any(local_run.command is None for local_run in state.active.values()):
        # The requests of runs that a former process started are unknown, so
        # the free capacity is unknown too.
        return executor.HoldReason.UNKNOWN_REQUEST
    if acknowledgements.must_starts_wait(state, now):
        return executor.HoldReason.ACKNOWLEDGEMENT
    return None


def list_waiting_runs(
    state: executor.ExecutorState,
) -> list[executor.LocalRun]:
    """Returns the runs whose start is yet to be sent, or sent again."""
    return [
        local_run
        for local_run in state.active.values()
        if local_run.state is executor.LocalState.WAITING
    ]


def _refuse_waiting(
    state: executor.ExecutorState,
    waiting: list[executor.LocalRun],
    refusal: runs.Refusal,
    now: datetime.timedelta,
) -> EffectList:
    """Refuses runs that are not to start here, so that they start elsewhere."""
    emitted: EffectList = []
    for local_run in waiting:
        emitted += refusals.refuse_run(state, local_run.ref, refusal, now)
    return emitted


def _hold(
    waiting: list[executor.LocalRun], reason: executor.HoldReason
) -> EffectList:
    """Records why runs are not started; returns no effects."""
    for local_run in waiting:
        local_run.hold = reason
    return []


def log_held_runs(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Returns a log line for each run that has not been started for long.

    There is one line for each reason.
    """
    emitted: EffectList = []
    for local_run in list_waiting_runs(state):
        waited = now - local_run.received_at
        is_logged = local_run.hold is local_run.logged_hold
        if waited < LOGGED_HOLD or local_run.hold is None or is_logged:
            continue
        local_run.logged_hold = local_run.hold
        ref = local_run.ref
        inputs = (
            ("task", str(ref.task)),
            ("run", str(ref.run)),
            ("reason", local_run.hold.value),
            ("waited_ms", str(waited // MILLISECOND)),
        )
        emitted.append(effects.Log("start", ref.task.job_id, "held", inputs))
    return emitted


def _start_run(
    state: executor.ExecutorState,
    worker: runs.Worker,
    local_run: executor.LocalRun,
    until_ms: int,
    now: datetime.timedelta,
) -> EffectList:
    """Sends the start command of a run, or refuses a run that does not fit."""
    assert local_run.command is not None
    if not _has_free_capacity(state, worker, local_run.command, now):
        refusal = runs.Refusal.NO_CAPACITY
        return refusals.refuse_run(state, local_run.ref, refusal, now)
    local_run.state = executor.LocalState.STARTING
    local_run.fence = state.fence
    open_starts.record_sent(state, local_run.command)
    leases.record_lease_sent(state, until_ms)
    return [
        effects.StartRun(
            worker,
            state.fence,
            local_run.command,
            until_ms,
            state.grant_end,
        )
    ]


def _has_free_capacity(
    state: executor.ExecutorState,
    worker: runs.Worker,
    command: runs.StartCommand,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a run fits beside all runs that may be on the worker.

    The next incarnation may carry out any open start, also of a run that has
    ended on the present one. Best-effort runs reserve no CPU.
    """
    others = open_starts.list_commands(state, now)
    for local_run in state.active.values():
        is_waiting = local_run.state is executor.LocalState.WAITING
        if local_run.command is not None and not is_waiting:
            others[local_run.ref] = local_run.command
    others.pop(command.ref, None)
    cpu = 0 if command.best_effort else command.cpu_millis
    memory = command.memory_mb
    accelerators = command.accelerators
    for held in others.values():
        cpu += 0 if held.best_effort else held.cpu_millis
        memory += held.memory_mb
        accelerators += held.accelerators
    return (
        cpu <= worker.cpu_millis
        and memory <= worker.memory_mb
        and accelerators <= worker.accelerators
    )
