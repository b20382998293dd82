"""Decides which polls acknowledge ends to the worker.

An acknowledgement is a number of the ends of one incarnation, and a later one
under the same name may take it: an end of a start that it has taken as well
would then be discarded unseen. So no poll carries an acknowledgement while a
start has no answer, unless the known incarnation refuses it by its fence, and a
start that is sent later has a higher fence: whoever has taken it refuses the
earlier poll. A start of a former process of the agent has a lower fence, so
acknowledgements wait for it.
"""

import datetime

from gypsumhold.decisions.jobs.run_bounds import open_starts
from gypsumhold.model.jobs import events, executor, runs

NO_END = runs.EndNumber(0)

MAX_WITHHELD_TIME = datetime.timedelta(seconds=3)
"""Time after which no further start is sent until an acknowledgement has gone
out; otherwise starts that overlap could hold it back for long. The platform
expects acknowledgements within 4 s."""

FORMER_START_WAIT = datetime.timedelta(seconds=2)
"""Time since its start for which a process waits for starts of a former one.
With the time that a restart takes, it stays below the same 4 s."""


def choose(
    state: executor.ExecutorState, now: datetime.timedelta
) -> runs.EndNumber:
    """Returns the end up to which the next poll acknowledges; 0 for none."""
    if not _is_due(state, now) or is_withheld(state, now):
        return NO_END
    return _find_last_acknowledged(state, now)


def is_withheld(state: executor.ExecutorState, now: datetime.timedelta) -> bool:
    """Tells whether the worker lists ends that no poll may acknowledge yet."""
    if not _is_due(state, now):
        return False
    return not _is_safe(state) or _may_former_start_arrive(state, now)


def record_sent(
    state: executor.ExecutorState,
    acknowledged: runs.EndNumber,
    now: datetime.timedelta,
) -> None:
    """Records what a poll with the present fence carries.

    An acknowledgement raises the fence of all calls that follow.
    """
    if acknowledged:
        state.fence += 1
    if not _is_due(state, now) or _is_safe(state):
        state.withheld_since = None
    elif state.withheld_since is None:
        state.withheld_since = now


def must_starts_wait(
    state: executor.ExecutorState, now: datetime.timedelta
) -> bool:
    """Tells whether starts wait so that an acknowledgement can go out."""
    since = state.withheld_since
    return since is not None and now >= since + MAX_WITHHELD_TIME


def record_taken(
    state: executor.ExecutorState, event: events.WorkerPolled
) -> None:
    """Records what the worker has discarded, by its answer to a poll."""
    if event.acknowledged:
        state.discarded = max(state.discarded, event.acknowledged)
    elif any(end.number <= state.discarded for end in event.ends):
        state.discarded = NO_END


def _is_due(state: executor.ExecutorState, now: datetime.timedelta) -> bool:
    return _find_last_acknowledged(state, now) > state.discarded


def _find_last_acknowledged(
    state: executor.ExecutorState, now: datetime.timedelta
) -> runs.EndNumber:
    """Returns the last end that the worker may discard.

    It keeps the end of a run that a later incarnation may begin once more,
    unless it has more ends than it lists: only acknowledgements make room.
    """
    if not state.ends_complete:
        return state.acknowledged
    late = [
        number
        for number, ref in state.late_ends.items()
        if open_starts.must_keep_end(state, ref, now)
    ]
    return runs.EndNumber(min([state.acknowledged, *(n - 1 for n in late)]))


def _may_former_start_arrive(
    state: executor.ExecutorState, now: datetime.timedelta
) -> bool:
    """Tells whether a start of a former process may still be under way.

    It is waited for briefly, and not while the worker has more ends than it
    lists: only acknowledgements make room for the others.
    """
    if not state.ends_complete or state.former_starts == frozenset():
        return False
    return now < state.began_at + FORMER_START_WAIT


def _is_safe(state: executor.ExecutorState) -> bool:
    """Tells whether no start of this process can be on an unknown incarnation.

    Further starts wait while that is not so for long.
    """
    if not state.answering or state.doubted_at is not None:
        return False
    return not any(
        local_run.is_unanswered() and not local_run.is_fenced
        for local_run in state.active.values()
    )
