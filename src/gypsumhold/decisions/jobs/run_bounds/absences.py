"""What the platform's list of workers proves about runs of which nobody tells.

A worker that is not listed as up has no runs at that moment. What had begun on
it before has ended for good. A start that is under way may still begin a run on
a later incarnation, which has the name again, until the longest call delay has
passed since it was sent. So a list that was asked for after that is proof for
open starts too.

A worker that is listed may be cut off and run on: then only leases tell.
"""

import datetime
from collections.abc import Iterator, Mapping

from gypsumhold.decisions.jobs import lifecycle, losses
from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    events,
    messages,
    progress,
    runs,
    scheduler,
    worker_lists,
)

CRASH_PROOF_TIME = datetime.timedelta(seconds=4)
"""How long runs that may have crashed their worker are kept for its next
incarnation, which proves the crash. Elsewhere they might crash another one."""

MILLISECOND = datetime.timedelta(milliseconds=1)

PlacedTasks = dict[runs.TaskRef, scheduler.PlacedTask]


def list_unheard_workers(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> set[runs.WorkerName]:
    """Returns the workers that have placed tasks and do not answer."""
    return {
        _read_name(placed.task)
        for _, tasks in _list_unheard_tasks(state, holder_state, now)
        for placed in tasks.values()
    }


def _list_unheard_tasks(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> Iterator[
    tuple[ids.InstanceId, Mapping[runs.TaskRef, scheduler.PlacedTask]]
]:
    """Yields the placed tasks of each instance whose worker is not heard of."""
    yield from holder_state.orphans.items()
    for instance, view in holder_state.agents.items():
        if view.placed and not _is_heard(state, view, now):
            yield instance, view.placed


def _is_heard(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a worker answers its agent, by a report that is recent."""
    is_recent = now < view.last_report_at + state.options.report_timeout
    report = view.report
    return is_recent and report.worker is not None and report.answering


def find_missing(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    up: frozenset[runs.WorkerName],
    now: datetime.timedelta,
) -> runs.WorkerName | None:
    """Returns a worker that answers but is not listed; None if there is none.

    The list is incomplete then, or the worker has just been lost. Its agent
    tells soon, and the next list is as good.
    """
    for view in holder_state.agents.values():
        worker = view.report.worker
        if worker is None or not _is_heard(state, view, now):
            continue
        name = runs.WorkerName(worker.incarnation.name)
        if name not in up:
            return name
    return None


def record_absences(
    holder_state: scheduler.HolderState,
    event: events.WorkersListed,
    unheard: set[runs.WorkerName],
) -> set[runs.WorkerName]:
    """Records which of these workers a list does not have.

    Returns:
        The workers that are missing for the first time.
    """
    assert event.up is not None
    former = holder_state.worker_list.absences
    absences: dict[runs.WorkerName, worker_lists.Absence] = {}
    for name in unheard - event.up:
        known = former.get(name)
        since = event.asked_at if known is None else known.since
        absences[name] = worker_lists.Absence(since, event.asked_at)
    holder_state.worker_list.absences = absences
    return absences.keys() - former.keys()


def list_ended_runs(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> Iterator[tuple[ids.InstanceId, PlacedTasks]]:
    """Yields the placed tasks whose runs have ended, by the latest list."""
    absences = holder_state.worker_list.absences
    if not absences:
        return
    for instance, tasks in _list_unheard_tasks(state, holder_state, now):
        view = holder_state.agents.get(instance)
        ended = {
            ref: placed
            for ref, placed in tasks.items()
            if (absence := absences.get(_read_name(placed.task))) is not None
            and _has_run_ended(state, holder_state, view, placed.task, absence)
        }
        if ended:
            yield instance, ended


def _has_run_ended(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView | None,
    task: progress.Task,
    absence: worker_lists.Absence,
) -> bool:
    """Tells whether a run has ended and can't begin any more."""
    heard_at = holder_state.term_started_at if view is None else view.heard_at
    if absence.asked_at < max(heard_at, task.placed_at):
        return False
    if expiries.has_open_start(task):
        late_until = _find_last_moment(state, holder_state, view, task)
        return absence.asked_at >= late_until
    if view is not None and _has_outlived_start(view, task):
        return True
    return absence.asked_at >= absence.since + CRASH_PROOF_TIME


def _has_outlived_start(view: scheduler.AgentView, task: progress.Task) -> bool:
    """Tells whether a run is too old to have crashed its worker."""
    if task.age is None:
        return False
    silence_ms = max(view.report.silent_after_ms, 0)
    return task.age - silence_ms * MILLISECOND > losses.FRESH_TIME


def _find_last_moment(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView | None,
    task: progress.Task,
) -> datetime.timedelta:
    """Returns when a start of a run can be carried out at the latest."""
    is_reported = (
        view is not None and task.late_start_reporter == view.report.incarnation
    )
    if is_reported and task.starts_taken_until and not task.former_senders:
        return task.starts_taken_until
    sent_by = _find_last_send(state, holder_state, view, task)
    late_until = sent_by + state.options.limits.max_call_delay
    return late_until + expiries.GRANT_MARGIN


def _find_last_send(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView | None,
    task: progress.Task,
) -> datetime.timedelta:
    """Returns when a start of a run can have been sent at the latest.

    An agent that does not know the run has sent none since its latest start.
    One that may know it sends none after its grant.
    """
    former_grant = expiries.compute_last_former_grant(state, holder_state)
    if view is None:
        return former_grant
    if not expiries.may_process_start(view, task):
        return view.starts_sent_by
    return max(view.last_report_at + state.options.grant, former_grant)


def measure_absence_ms(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> runs.SpanMs:
    """Returns the age of the list that lacks the worker of an agent."""
    worker = view.report.worker
    if worker is None or view.report.answering:
        return messages.NOT_ABSENT
    name = runs.WorkerName(worker.incarnation.name)
    absence = holder_state.worker_list.absences.get(name)
    if absence is None or absence.asked_at < view.heard_at:
        return messages.NOT_ABSENT
    if absence.asked_at < absence.since + CRASH_PROOF_TIME:
        return messages.NOT_ABSENT
    return min(lifecycle.to_ms(now - absence.asked_at), runs.MAX_SPAN_MS)


def _read_name(task: progress.Task) -> runs.WorkerName:
    return runs.WorkerName(task.worker_incarnation.name)
