"""Builds the events for calls that a fake worker has taken."""

from typing import Any

from gypsumhold.model.jobs import effects, events
from tests.jobs import worker_fake


def build_poll_answer(
    worker: worker_fake.FakeWorker,
    effect: effects.PollWorker,
    result: events.CommandResult,
    clock: events.WorkerClock,
) -> events.WorkerPolled:
    """Returns the answer to a poll, with the lists as they are now."""
    ends = worker.list_ends()
    return events.WorkerPolled(
        effect.worker.incarnation,
        effect.fence,
        result,
        clock,
        worker.started_ms,
        worker.list_runs(),
        ends,
        len(ends) < worker.max_listed_ends,
        effect.until_ms,
        effect.acknowledged,
    )


def build_command_answer(
    effect: Any, result: events.CommandResult, clock: events.WorkerClock
) -> events.CommandAnswered:
    """Returns the answer to a call that starts, stops or throttles a run."""
    until_ms = None
    if isinstance(effect, effects.StartRun):
        until_ms = effect.until_ms
        kind, ref = events.CommandKind.START, effect.command.ref
    elif isinstance(effect, effects.StopRun):
        kind, ref = events.CommandKind.STOP, effect.ref
    else:
        kind, ref = events.CommandKind.THROTTLE, effect.ref
    return events.CommandAnswered(
        effect.worker.incarnation,
        kind,
        ref,
        effect.fence,
        result,
        clock,
        until_ms,
    )
