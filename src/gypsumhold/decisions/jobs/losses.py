"""Keeps what an agent knows of the runs that were lost with its worker.

The holder may change, or miss a report, between the start of a run and the
crash of its worker. So the agent reports the runs that a lost incarnation had
just started, until the holder has stored the crash under them.
"""

import datetime
from collections.abc import Collection

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.model.jobs import executor, messages, runs

FRESH_TIME = datetime.timedelta(seconds=1)
"""Age up to which a run may have caused the crash of its worker. It counts up
to the worker's latest answer, and polls wait for one second."""

MAX_LOSSES = 8
"""Most losses that an agent keeps. Only a worker that flaps while no holder
answers has more."""

NO_TIME = datetime.timedelta(0)


def measure_age(
    state: executor.ExecutorState, local_run: executor.LocalRun
) -> datetime.timedelta | None:
    """Returns how long the worker had a run when it was last heard of.

    That is its latest answer, or the moment when it was found silent. None if
    it has not confirmed the start. A run that a former process started counts
    from the start of the clock.
    """
    is_running = local_run.state is executor.LocalState.RUNNING
    if not is_running or state.clock is None:
        return None
    until = state.clock.received_at + (state.silent_after or NO_TIME)
    return max(until - local_run.confirmed_at, NO_TIME)


def has_outlived_start(
    state: executor.ExecutorState, local_run: executor.LocalRun
) -> bool:
    """Tells whether a run was too old to have crashed its worker by its start.

    A run that was not confirmed may have begun just before the crash.
    """
    age = measure_age(state, local_run)
    if age is None:
        return False
    return age - (state.silent_after or NO_TIME) > FRESH_TIME


def build_row(
    state: executor.ExecutorState, local_run: executor.LocalRun
) -> runs.RunRow:
    """Returns the listing of a run with its age."""
    row = local_run.row or runs.RunRow(local_run.ref)
    age = measure_age(state, local_run)
    if age is None:
        return row
    return runs.RunRow(
        row.ref,
        row.checkpoint,
        row.progress_percent,
        row.usage,
        lifecycle.to_ms(age),
    )


def note_loss(state: executor.ExecutorState, later: runs.Worker) -> None:
    """Keeps the runs that a worker had just started when it was lost.

    A stray heartbeat may tell of an incarnation that does not exist. So losses
    are reported once the later incarnation has answered a poll, and dropped if
    the former one is heard again instead.

    Args:
        state: State of the executor, with the runs of the lost incarnation.
        later: The worker in its later incarnation.
    """
    state.losses = [
        loss for loss in state.losses if loss.incarnation != later.incarnation
    ]
    worker = state.worker
    if worker is None or state.worker_left:
        return
    if worker.state is runs.WorkerState.DRAINING:
        return
    rows = tuple(
        runs.RunRow(local_run.ref, age_ms=lifecycle.to_ms(age))
        for local_run in state.active.values()
        if (age := measure_age(state, local_run)) is not None
        and not has_outlived_start(state, local_run)
    )
    if not rows:
        return
    silent_after_ms = messages.UNKNOWN_SILENCE
    if state.silent_after is not None:
        silent_after_ms = lifecycle.to_ms(state.silent_after)
    state.losses.append(runs.LossRow(worker.incarnation, rows, silent_after_ms))
    del state.losses[:-MAX_LOSSES]


def forget_stored(
    state: executor.ExecutorState, stored: Collection[runs.WorkerIncarnation]
) -> None:
    """Drops the losses that the holder has stored."""
    state.losses = [
        loss for loss in state.losses if loss.incarnation not in stored
    ]
