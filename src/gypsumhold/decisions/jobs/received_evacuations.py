"""Evacuations of data centres in an agent.

The holder tells them with its directives. An agent whose data centre is
evacuated starts nothing more. One that has heard from no holder for too long
starts nothing either, as an evacuation may have been requested meanwhile.
"""

import datetime

from gypsumhold.model.jobs import evacuations, executor, messages

HOLDER_DELAY = datetime.timedelta(milliseconds=2400)
"""Age of the holder's latest successful read, counted from when it was sent, at
which the holder tells agents nothing more. Two reads in a row that each wait
for a second stay below it, with 200 ms for each answer."""

START_DELAY = datetime.timedelta(milliseconds=100)
"""Time within which a start command reaches the worker."""

MIN_VALIDITY = 2 * messages.REPORT_INTERVAL
"""Least time for which an answer of the holder lets an agent start runs; the
regular reports are that frequent, and one of them may be lost."""


def receive(
    state: executor.ExecutorState,
    notice: evacuations.Evacuations | None,
    report_sent_at: datetime.timedelta | None,
) -> None:
    """Keeps the evacuations that came with directives, if none is newer.

    Args:
        state: State of the executor.
        notice: What the holder sent; None if it knows none for certain.
        report_sent_at: When the report was sent that the directives answer;
            None if they answer none.
    """
    if notice is None:
        return
    received = state.received_evacuations
    if received.latest is None or notice.version > received.latest.version:
        received.latest = notice
    if report_sent_at is not None:
        former = received.confirmed_at
        received.confirmed_at = max(report_sent_at, former or report_sent_at)


def is_evacuated(state: executor.ExecutorState) -> bool:
    """Tells whether the data centre of the worker is evacuated."""
    latest = state.received_evacuations.latest
    if latest is None or state.worker is None:
        return False
    return state.worker.zone in latest.data_centres


def is_outdated(state: executor.ExecutorState, now: datetime.timedelta) -> bool:
    """Tells whether an unknown evacuation may have to be obeyed by now."""
    limit = state.options.evacuation_time
    if limit is None:
        return False
    confirmed_at = state.received_evacuations.confirmed_at
    return confirmed_at is None or now >= confirmed_at + measure_validity(limit)


def measure_validity(limit: datetime.timedelta) -> datetime.timedelta:
    """Returns for how long an answer of the holder lets an agent start runs.

    Args:
        limit: Time after which an agent that hears nothing has to obey.
    """
    return max(limit - HOLDER_DELAY - START_DELAY, MIN_VALIDITY)
