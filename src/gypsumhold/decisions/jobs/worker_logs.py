"""Log lines about the worker beside an agent and its incarnations."""

import datetime
from collections.abc import Iterable

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.decisions.jobs.run_bounds import leases, open_starts
from gypsumhold.model.jobs import effects, events, executor, runs

UNKNOWN = "unknown"
NO_LEASE = "none"

Inputs = tuple[tuple[str, str], ...]


def log_worker(
    worker: runs.Worker, outcome: str, details: Inputs = ()
) -> effects.Log:
    """Returns the line of a change that a heartbeat or a notice tells."""
    inputs = (
        ("born_ms", str(worker.incarnation.started_ms)),
        ("heartbeat", str(worker.sequence)),
        *details,
    )
    return effects.Log("worker", worker.incarnation.name, outcome, inputs)


def log_new_life(
    state: executor.ExecutorState,
    worker: runs.Worker,
    now: datetime.timedelta,
) -> effects.Log:
    """Returns the line of a new incarnation, with what is open from before.

    Must be called while the state is that of the former incarnation.
    """
    former = UNKNOWN
    if state.worker is not None:
        former = str(state.worker.incarnation.started_ms)
    details = (
        ("former_born_ms", former),
        ("acknowledged", str(state.acknowledged)),
        *describe_open_runs(state, now),
    )
    return log_worker(worker, "new life", details)


def describe_open_runs(
    state: executor.ExecutorState, now: datetime.timedelta
) -> Inputs:
    """Returns which runs may be on the worker, and until when."""
    doubtful = [run.ref for run in state.active.values() if run.is_unanswered()]
    left_ms = lifecycle.to_ms(leases.measure_lease(state, now))
    return (
        ("runs", str(len(state.active))),
        ("doubtful", _list_runs(doubtful)),
        ("open_starts", _list_runs(open_starts.list_open(state, now))),
        ("runs_end_in_ms", str(left_ms)),
        ("fence", str(state.fence)),
    )


def _list_runs(refs: Iterable[runs.RunRef]) -> str:
    return ",".join(f"{ref.task}:{ref.run}" for ref in refs)


def log_first_lists(event: events.WorkerPolled) -> effects.Log:
    """Returns the line of the first answer of an incarnation to a poll."""
    assert event.clock is not None
    first_end = min((end.number for end in event.ends), default=0)
    inputs = (
        ("born_ms", str(event.started_ms)),
        ("clock_ms", str(event.clock.clock_ms)),
        ("fence", str(event.fence)),
        ("running", str(len(event.rows))),
        ("ended", str(len(event.ends))),
        ("first_end", str(first_end)),
    )
    return effects.Log(
        "worker", event.worker_incarnation.name, "first lists", inputs
    )


def log_other_life(event: events.WorkerPolled) -> effects.Log:
    """Returns the line of a poll that another incarnation has answered.

    That incarnation has taken the lease and the acknowledgement of the poll.
    """
    assert event.clock is not None
    until_ms = NO_LEASE if event.until_ms is None else str(event.until_ms)
    inputs = (
        ("born_ms", str(event.worker_incarnation.started_ms)),
        ("answered_born_ms", str(event.started_ms)),
        ("clock_ms", str(event.clock.clock_ms)),
        ("until_ms", until_ms),
        ("acknowledged", str(event.acknowledged)),
        ("fence", str(event.fence)),
        ("running", str(len(event.rows))),
        ("ended", str(len(event.ends))),
    )
    return effects.Log(
        "worker", event.worker_incarnation.name, "other life answered", inputs
    )


def log_odd_clock(
    event: events.WorkerPolled, known: events.WorkerClock | None
) -> effects.Log:
    """Returns the line of a poll whose clock does not fit the one before."""
    assert event.clock is not None
    inputs = (
        ("born_ms", str(event.started_ms)),
        ("clock_ms", str(event.clock.clock_ms)),
        ("known_clock_ms", _describe_clock(known)),
    )
    return effects.Log(
        "worker", event.worker_incarnation.name, "clock does not fit", inputs
    )


def _describe_clock(clock: events.WorkerClock | None) -> str:
    return UNKNOWN if clock is None else str(clock.clock_ms)


def log_other_clock(
    event: events.CommandAnswered, known: events.WorkerClock | None
) -> effects.Log:
    """Returns the line of a command that another incarnation may have taken."""
    assert event.clock is not None
    inputs = (
        ("born_ms", str(event.worker_incarnation.started_ms)),
        ("command", event.kind.value),
        ("task", str(event.ref.task)),
        ("run", str(event.ref.run)),
        ("clock_ms", str(event.clock.clock_ms)),
        ("known_clock_ms", _describe_clock(known)),
    )
    return effects.Log(
        "worker", event.worker_incarnation.name, "clock does not fit", inputs
    )
