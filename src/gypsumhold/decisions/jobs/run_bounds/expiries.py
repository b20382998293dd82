"""When the holder counts runs as ended of which nobody tells an end.

An agent out of reach may let runs go on until its grant expires. What it could
not report may last longer: a start that nobody has confirmed may be under way,
and then be carried out late by an incarnation of the worker that nobody knows.
"""

import datetime
from collections.abc import Container

from gypsumhold.model.jobs import (
    held_ends,
    messages,
    progress,
    runs,
    scheduler,
)

GRANT_MARGIN = datetime.timedelta(milliseconds=300)
"""Allows for the drift between two clocks during a grant."""

MILLISECOND = datetime.timedelta(milliseconds=1)


def compute_former_grant_expiry(
    state: scheduler.SchedulerState, holder_state: scheduler.HolderState
) -> datetime.timedelta:
    """Returns when every grant of the former holder has expired."""
    # A worker incarnation that was heard just before the takeover may have
    # taken a late lease.
    longest = max(
        _measure_former_grant(state, holder_state),
        state.options.limits.measure_longest_lease(),
    )
    return holder_state.term_started_at + longest + GRANT_MARGIN


def compute_last_former_grant(
    state: scheduler.SchedulerState, holder_state: scheduler.HolderState
) -> datetime.timedelta:
    """Returns until when an agent may send starts for the former holder."""
    return holder_state.term_started_at + _measure_former_grant(
        state, holder_state
    )


def _measure_former_grant(
    state: scheduler.SchedulerState, holder_state: scheduler.HolderState
) -> datetime.timedelta:
    """Returns the time from the takeover until the former grants expire.

    The former holder may have issued grants for up to `grant_window` after the
    last change of the row, which was seen at least `takeover_delay` before the
    takeover unless the former holder was still active.
    """
    left = state.options.grant_window
    if not holder_state.replaced_live_holder:
        left -= state.options.takeover_delay
    return left + state.options.grant


def list_unheard_runs(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    orphans: dict[runs.TaskRef, scheduler.PlacedTask],
    now: datetime.timedelta,
) -> dict[runs.TaskRef, scheduler.PlacedTask]:
    """Returns the tasks of an instance unheard of whose runs have ended.

    The former grants have expired. An open start may have been sent until then,
    and be carried out late.
    """
    late_run = state.options.limits.measure_longest_late_run()
    longest = _measure_former_grant(state, holder_state) + late_run
    may_be_late = now < holder_state.term_started_at + longest + GRANT_MARGIN
    return {
        ref: placed
        for ref, placed in orphans.items()
        if not (placed.task.is_start_open and may_be_late)
    }


def record_report(
    view: scheduler.AgentView,
    listed: Container[runs.TaskRef],
    now: datetime.timedelta,
) -> None:
    """Records for the placed tasks until when their runs may go on.

    The agent keeps a run that it lists, whatever it knows of its worker.

    Args:
        view: The agent.
        listed: Tasks whose current run the latest report lists.
        now: Current time.
    """
    report = view.report
    lease_end = now + report.lease_left_ms * MILLISECOND
    for ref, placed in view.placed.items():
        task = placed.task
        is_on_worker = (
            report.worker is not None
            and task.worker_incarnation == report.worker.incarnation
        )
        if is_on_worker or ref in listed:
            task.worker_reported_at = now
            task.lease_ends_at = lease_end


def record_agent_restart(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> None:
    """Records for the open starts that the former process may have sent them.

    The new process sends them again, and its answer is no proof for the others.
    """
    late_run = state.options.limits.measure_longest_late_run()
    for placed in view.placed.values():
        task = placed.task
        if task.is_start_open:
            task.late_run_ends_at = now + late_run
        if task.is_start_open or task.former_senders:
            task.former_senders += 1


def is_former(
    holder_state: scheduler.HolderState,
    report: messages.Report,
    known: runs.WorkerIncarnation,
) -> bool:
    """Tells whether an incarnation ended before the one that a report names.

    An agent names the one that answers its polls. So if the report was sent in
    this term, every other one is former, whatever the clocks tell of their
    starts. A report that was sent before may be older than the placement.
    """
    worker = report.worker
    if worker is None or worker.incarnation == known:
        return False
    if report.term == holder_state.term:
        return True
    return known.started_ms < worker.incarnation.started_ms


def keep_former_starts(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> None:
    """Leaves a task with the worker that a former agent process may start on.

    Agent and worker have restarted. The present incarnation refuses that start,
    of which the new process knows nothing, but a later one may carry it out,
    also if another start of the run had been confirmed.
    """
    worker = view.report.worker
    assert worker is not None
    incarnation = worker.incarnation
    for ref, placed in view.placed.items():
        task = placed.task
        known = task.worker_incarnation
        if known.name != incarnation.name:
            continue
        if not is_former(holder_state, view.report, known):
            continue
        is_open = task.is_start_open and task.former_senders
        if is_open or (task.keeps_end and now < task.late_run_ends_at):
            task.worker_incarnation = incarnation
            task.is_start_open = True
            task.age = None
            run_ref = runs.RunRef(ref, task.run)
            holder_state.unsettled_starts[run_ref] = placed


def record_found_runs(
    view: scheduler.AgentView, listed: Container[runs.TaskRef]
) -> None:
    """Records that the worker lists runs that this process has not started.

    If only one former process may have sent a start, that was carried out.
    """
    for ref in view.report.found:
        placed = view.placed.get(ref.task)
        if placed is None or ref.task not in listed:
            continue
        if placed.task.former_senders == 1:
            placed.task.former_senders = 0


def list_late_starts(
    view: scheduler.AgentView, now: datetime.timedelta
) -> tuple[runs.RunRef, ...]:
    """Returns the runs of which another start may be late, though one began.

    The process that reported such a start last knows it.
    """
    known_to = (None, view.report.incarnation)
    return tuple(
        runs.RunRef(ref, placed.task.run)
        for ref, placed in view.placed.items()
        if placed.task.former_senders > 1
        or placed.task.late_start_reporter not in known_to
        if now < placed.task.late_run_ends_at
    )


def record_late_starts(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> None:
    """Records which placed runs may begin once more, by the latest report."""
    report = view.report
    reported = {start.ref: start for start in report.late_starts}
    for ref, placed in view.placed.items():
        task = placed.task
        start = reported.get(runs.RunRef(ref, task.run))
        if start is not None:
            ends_at = now + start.left_ms * MILLISECOND
            task.late_run_ends_at = max(task.late_run_ends_at, ends_at)
            if task.late_start_reporter in (None, report.incarnation):
                task.keeps_end = False
            task.keeps_end = task.keeps_end or start.keeps_end
            task.late_start_reporter = report.incarnation
            longest = state.options.limits.measure_longest_lease()
            task.starts_taken_until = (
                ends_at - longest if start.is_last else None
            )
        elif task.late_start_reporter == report.incarnation:
            task.late_start_reporter = None
            task.keeps_end = False
            task.starts_taken_until = None
            task.former_senders = 0


def may_begin_again(
    view: scheduler.AgentView, ref: runs.RunRef, now: datetime.timedelta
) -> bool:
    """Tells whether a placed run that has ended may begin once more."""
    placed = view.placed.get(ref.task)
    if placed is None or placed.task.run != ref.run:
        return False
    return placed.job.is_open() and may_be_late(placed.task, now)


def keep_end(view: scheduler.AgentView, row: runs.EndRow) -> None:
    """Keeps the end as done of a run that may begin again, if that is due."""
    task = view.placed[row.ref.task].task
    if task.keeps_end:
        view.kept_ends[row.number] = held_ends.KeptEnd(
            row.ref, task.late_start_reporter, task.late_run_ends_at
        )


def find_acknowledged(
    view: scheduler.AgentView, now: datetime.timedelta
) -> runs.EndNumber:
    """Returns the end up to which the present process may acknowledge.

    The process that reported the late start of a run keeps its end by itself;
    a later one knows nothing of it. Forgets the ends whose starts are settled.
    """
    late = {start.ref for start in view.report.late_starts if start.keeps_end}
    reporter = view.report.incarnation
    view.kept_ends = {
        number: kept
        for number, kept in view.kept_ends.items()
        if now < kept.until and (kept.ref in late or kept.reporter != reporter)
    }
    kept_numbers = [
        number
        for number, kept in view.kept_ends.items()
        if kept.reporter != reporter
    ]
    last = min([view.acknowledged, *(number - 1 for number in kept_numbers)])
    return runs.EndNumber(last)


def has_open_start(task: progress.Task) -> bool:
    """Tells whether some start of the current run may still be under way."""
    return task.is_start_open or _has_other_start(task)


def _has_other_start(task: progress.Task) -> bool:
    """Tells whether a start may be late although another was carried out."""
    return task.former_senders > 1 or task.late_start_reporter is not None


def may_be_late(task: progress.Task, now: datetime.timedelta) -> bool:
    """Tells whether another start of a run may be late, though one began."""
    return _has_other_start(task) and now < task.late_run_ends_at


def bound_last_start(
    state: scheduler.SchedulerState,
    report: messages.Report,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Returns by when an agent has sent its latest start, by a report.

    One that is on its way out is sent before the grant ends.
    """
    if not report.idle_ms:
        return now + state.options.grant
    return now - report.idle_ms * MILLISECOND


def may_process_start(view: scheduler.AgentView, task: progress.Task) -> bool:
    """Tells whether the present process of an agent may start a placed run.

    It may if it lists the run, or knows the worker, for which it is sent the
    start. Otherwise only its former processes can have sent one.
    """
    worker = view.report.worker
    if task.reported:
        return True
    return (
        worker is not None
        and worker.incarnation.name == task.worker_incarnation.name
    )


def list_silent_runs(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> dict[runs.TaskRef, scheduler.PlacedTask]:
    """Returns the placed tasks whose runs have ended without a report.

    An agent extends the leases of the worker incarnation that it reported. It
    may be silent, or not know the worker after a restart, or report another
    incarnation.
    """
    return {
        ref: placed
        for ref, placed in view.placed.items()
        if now >= _compute_expiry(state, view, placed.task) + GRANT_MARGIN
    }


def _compute_expiry(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    task: progress.Task,
) -> datetime.timedelta:
    """Returns when a run has ended if its agent reports no more.

    A run that its worker has confirmed ends with its lease. An open start may
    have been sent until the grant ended, but not after the latest start of an
    agent that does not know the run.
    """
    grant_end = task.worker_reported_at + state.options.grant
    if task.is_start_open:
        sent_by = grant_end
        if not may_process_start(view, task):
            sent_by = min(grant_end, view.starts_sent_by)
        late_run = state.options.limits.measure_longest_late_run()
        return max(grant_end, task.lease_ends_at, sent_by + late_run)
    return max(grant_end, task.lease_ends_at, task.late_run_ends_at)
