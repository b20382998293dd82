"""Tells a successor which starts may be open, without a write for each start.

The holder's row has a watermark on the clock of the queue, which goes on from
holder to holder: every start that was placed before it has been confirmed, but
for those that the row names. The record of a task has when it was placed. So
after the loss of the holder, only the named tasks and those that were placed
later may have a start that is under way.
"""

import datetime

from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model.jobs import records, runs, scheduler

MILLISECOND = datetime.timedelta(milliseconds=1)

MAX_NAMED_STARTS = 64
"""Most starts that a row names, about 2 KB. A start without an answer is open
for 12 s, in which hundreds of others begin."""


def read_clock_ms(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> records.QueueMs:
    """Returns the reading of the queue's clock, which runs while it is held."""
    passed_ms = (now - holder_state.term_started_at) // MILLISECOND
    return records.QueueMs(holder_state.clock_base_ms + passed_ms)


def record_placement(
    holder_state: scheduler.HolderState,
    placed: scheduler.PlacedTask,
    ref: runs.TaskRef,
    now: datetime.timedelta,
) -> None:
    """Records that the present run of a task was placed."""
    placed.task.placed_ms = read_clock_ms(holder_state, now)
    run_ref = runs.RunRef(ref, placed.task.run)
    holder_state.unsettled_starts[run_ref] = placed


def restore(
    holder_state: scheduler.HolderState,
    placed: scheduler.PlacedTask,
    ref: runs.TaskRef,
) -> None:
    """Judges the start of a task that a former holder placed."""
    run_ref = runs.RunRef(ref, placed.task.run)
    is_later = placed.task.placed_ms >= holder_state.former_settled_ms
    if is_later or run_ref in holder_state.former_open_starts:
        placed.task.is_start_open = True
        holder_state.unsettled_starts[run_ref] = placed


def compute_settled(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> records.SettledStarts:
    """Returns the watermark and the named starts; forgets the settled ones.

    The oldest starts are named, as they would hold the watermark back most.
    """
    unsettled = {
        ref: placed
        for ref, placed in holder_state.unsettled_starts.items()
        if _is_unsettled(placed, ref, now)
    }
    holder_state.unsettled_starts = unsettled
    oldest_first = sorted(
        unsettled, key=lambda ref: unsettled[ref].task.placed_ms
    )
    named = oldest_first[:MAX_NAMED_STARTS]
    settled_ms = read_clock_ms(holder_state, now)
    if len(unsettled) > MAX_NAMED_STARTS:
        first_unnamed = unsettled[oldest_first[MAX_NAMED_STARTS]].task
        settled_ms = min(settled_ms, first_unnamed.placed_ms)
    return records.SettledStarts(settled_ms, tuple(named))


def _is_unsettled(
    placed: scheduler.PlacedTask, ref: runs.RunRef, now: datetime.timedelta
) -> bool:
    """Tells whether a start of a placed run may still be carried out."""
    task = placed.task
    if task.run != ref.run or not task.is_placed():
        return False
    return task.is_start_open or expiries.may_be_late(task, now)
