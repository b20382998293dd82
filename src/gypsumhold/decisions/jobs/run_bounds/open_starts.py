"""Owns the question until when a run may work that nothing confirms.

A start without an answer may be carried out until the longest call delay has
passed, by each incarnation of the worker that has not seen a higher fence. So
a list that lacks the run decides for one incarnation only, and a confirmed run
may have an earlier start that is still under way. What is known of the starts
of a run outlives its entry among the active runs: refusals, ends, capacity,
acknowledgements and reports all ask here.

The bound falls only by proof: an answer, a list that has the run while no other
start is open, or a list that was asked for after the last start could be
carried out.
"""

import datetime

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.decisions.jobs.run_bounds import leases
from gypsumhold.model.jobs import events, executor, messages, runs, sent_starts

NO_TIME = datetime.timedelta(0)

SEVERAL = 2
"""Stands for a number of starts of which one may be late if another is carried
out."""


def record_sent(
    state: executor.ExecutorState, command: runs.StartCommand
) -> None:
    """Records that a start with the present fence goes out.

    It is not sent after the present grant has ended.
    """
    starts = _get_or_add(state, command.ref, command)
    starts.pending[state.fence] = state.grant_end


def record_answer(
    state: executor.ExecutorState,
    event: events.CommandAnswered,
    now: datetime.timedelta,
    *,
    is_proof: bool,
) -> None:
    """Records the answer to a start, or that none came.

    Args:
        state: State of the executor.
        event: The answer, also one of a former incarnation.
        now: Current time.
        is_proof: Whether the answer tells what became of the start.
    """
    starts = state.open_starts.get(event.ref)
    if starts is None:
        return
    sent_by = starts.pending.pop(event.fence, None)
    if sent_by is None:
        return
    state.last_start_at = max(state.last_start_at, min(sent_by, now))
    if not is_proof:
        starts.unanswered += 1
        late_until = min(sent_by, now) + state.options.limits.max_call_delay
        starts.taken_until = max(starts.taken_until, late_until)
    elif not starts.count():
        del state.open_starts[event.ref]


def record_former(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    command: runs.StartCommand | None,
    *,
    is_late: bool = False,
) -> None:
    """Records that a former process of the agent may have sent a start.

    Args:
        state: State of the executor.
        ref: The run.
        command: Its start command, if it is known.
        is_late: Whether several starts may have been sent, so that one may be
            late although another was carried out.
    """
    starts = _get_or_add(state, ref, command)
    starts.former = SEVERAL if is_late else max(starts.former, 1)
    late_until = state.began_at + state.options.limits.max_call_delay
    starts.taken_until = max(starts.taken_until, late_until)


def record_listed(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    now: datetime.timedelta,
) -> None:
    """Records that an incarnation lists a run that had not been confirmed.

    If one start was open, it has been carried out; of several, any may be left.
    """
    starts = state.open_starts.get(ref)
    if starts is None or starts.count() > 1:
        return
    if starts.pending:
        state.last_start_at = now
    del state.open_starts[ref]


def settle(state: executor.ExecutorState, asked_at: datetime.timedelta) -> None:
    """Forgets the starts that nobody can carry out any more.

    The lists of the worker, which was asked then, tell which of them were.
    """
    for ref, starts in list(state.open_starts.items()):
        if asked_at >= _find_last_moment(state, starts):
            sent_by = max(starts.pending.values(), default=NO_TIME)
            state.last_start_at = max(state.last_start_at, sent_by)
            del state.open_starts[ref]


def may_work(
    state: executor.ExecutorState, ref: runs.RunRef, now: datetime.timedelta
) -> bool:
    """Tells whether an open start may begin a run, or keep it at work."""
    starts = state.open_starts.get(ref)
    return starts is not None and now < _compute_end(state, starts)


def must_keep_end(
    state: executor.ExecutorState, ref: runs.RunRef, now: datetime.timedelta
) -> bool:
    """Tells whether the worker has to list the end of a run for now.

    A later incarnation may begin the run once more, and only an end that was
    acknowledged counts: it is lost with its worker otherwise. That is not worth
    late acknowledgements after each restart of an agent, so starts of former
    processes don't count.
    """
    starts = state.open_starts.get(ref)
    if starts is None or not (starts.unanswered or starts.pending):
        return False
    return now < _compute_end(state, starts)


def list_open(
    state: executor.ExecutorState, now: datetime.timedelta
) -> list[runs.RunRef]:
    """Returns the runs that may work by an open start."""
    return [ref for ref in state.open_starts if may_work(state, ref, now)]


def list_late(
    state: executor.ExecutorState, now: datetime.timedelta
) -> tuple[messages.LateStart, ...]:
    """Returns the runs with starts that may be late, for a report.

    A run that is being started for the first time is not among them.
    """
    return tuple(
        messages.LateStart(
            ref,
            lifecycle.to_ms(end - now),
            must_keep_end(state, ref, now),
            _is_last_sent(state, ref, starts),
        )
        for ref, starts in state.open_starts.items()
        if starts.unanswered or starts.former or _has_other(state, ref, starts)
        if now < (end := _compute_end(state, starts))
    )


def measure_idle_ms(
    state: executor.ExecutorState, now: datetime.timedelta
) -> messages.IdleMs:
    """Returns for how long no start was sent, for a report.

    Former processes have sent none since this one began. One that awaits its
    answer may still be on its way out.
    """
    if any(starts.pending for starts in state.open_starts.values()):
        return 0
    idle = now - max(state.began_at, state.last_start_at)
    return min(max(lifecycle.to_ms(idle), 0), messages.MAX_IDLE_MS)


def record_command(
    state: executor.ExecutorState, command: runs.StartCommand
) -> None:
    """Records the command of a run of which only former processes knew it."""
    starts = state.open_starts.get(command.ref)
    if starts is not None and starts.command is None:
        starts.command = command


def list_commands(
    state: executor.ExecutorState, now: datetime.timedelta
) -> dict[runs.RunRef, runs.StartCommand]:
    """Returns the start commands of all runs that may work by an open start."""
    return {
        ref: starts.command
        for ref, starts in state.open_starts.items()
        if starts.command is not None and now < _compute_end(state, starts)
    }


def _is_last_sent(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    starts: sent_starts.OpenStarts,
) -> bool:
    """Tells whether no further start of a run is sent.

    That is so once the run is to be refused, and only held here meanwhile.
    """
    local_run = state.active.get(ref)
    if local_run is None or starts.pending:
        return False
    return local_run.withheld_refusal is not None


def _has_other(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    starts: sent_starts.OpenStarts,
) -> bool:
    """Tells whether a start awaits its answer beside that of a starting run."""
    local_run = state.active.get(ref)
    is_starting = local_run is not None and local_run.is_unanswered()
    return len(starts.pending) > is_starting


def _get_or_add(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    command: runs.StartCommand | None,
) -> sent_starts.OpenStarts:
    starts = state.open_starts.setdefault(ref, sent_starts.OpenStarts(command))
    if starts.command is None:
        starts.command = command
    return starts


def _find_last_moment(
    state: executor.ExecutorState, starts: sent_starts.OpenStarts
) -> datetime.timedelta:
    """Returns until when one of the starts may be carried out."""
    sent_by = max(starts.pending.values(), default=NO_TIME)
    late_until = sent_by + state.options.limits.max_call_delay
    return max(starts.taken_until, late_until if starts.pending else NO_TIME)


def _compute_end(
    state: executor.ExecutorState, starts: sent_starts.OpenStarts
) -> datetime.timedelta:
    """Returns until when a run by one of the starts may work, if unheard of."""
    longest = state.options.limits.measure_longest_lease()
    return _find_last_moment(state, starts) + longest + leases.EXPIRY_MARGIN
