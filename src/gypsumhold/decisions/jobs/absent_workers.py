"""Asks the platform for its list of workers, and places what they had again.

The list is read only while a worker with placed tasks does not answer.
"""

import datetime

from gypsumhold.decisions.jobs import holders
from gypsumhold.decisions.jobs.run_bounds import absences
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, events, runs, scheduler

EffectList = list[base_effects.Effect]

MAX_LIST_TIME = datetime.timedelta(seconds=2)
"""Longest time from a request to its answer for a list that still counts."""

LIST_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two reads of the list while a worker does not answer."""


def ask_if_due(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Reads the list if a worker with placed tasks does not answer."""
    holder_state = state.holder_state
    is_holder = state.role is scheduler.Role.HOLDER
    if holder_state is None or not is_holder or not state.options.lists_workers:
        return []
    worker_list = holder_state.worker_list
    if worker_list.is_pending or now < worker_list.due_at:
        return []
    if not absences.list_unheard_workers(state, holder_state, now):
        worker_list.absences.clear()
        return []
    worker_list.is_pending = True
    return [effects.ListWorkers(holder_state.term, now)]


def handle_workers_listed(
    state: scheduler.SchedulerState,
    event: events.WorkersListed,
    now: datetime.timedelta,
) -> EffectList:
    """Releases the tasks whose runs have ended, as their worker has."""
    holder_state = state.holder_state
    if holder_state is None or event.term != holder_state.term:
        return []
    worker_list = holder_state.worker_list
    worker_list.is_pending = False
    worker_list.due_at = event.asked_at + LIST_INTERVAL
    if event.up is None or now > event.asked_at + MAX_LIST_TIME:
        return [effects.Log("worker-list", state.options.name, "no answer")]
    missing = absences.find_missing(state, holder_state, event.up, now)
    if missing is not None:
        return [effects.Log("worker-list", missing, "incomplete")]
    unheard = absences.list_unheard_workers(state, holder_state, now)
    emitted: EffectList = [
        _log_absence(name, event, now)
        for name in sorted(
            absences.record_absences(holder_state, event, unheard)
        )
    ]
    ended: list[tuple[ids.InstanceId, absences.PlacedTasks]] = list(
        absences.list_ended_runs(state, holder_state, now)
    )
    for instance, tasks in ended:
        emitted += holders.release_tasks(
            holder_state, instance, tasks, "worker not listed", now
        )
    return emitted


def _log_absence(
    name: runs.WorkerName,
    event: events.WorkersListed,
    now: datetime.timedelta,
) -> effects.Log:
    age_ms = (now - event.asked_at) // datetime.timedelta(milliseconds=1)
    listed = "0" if event.up is None else str(len(event.up))
    inputs = (("age_ms", str(age_ms)), ("listed", listed))
    return effects.Log("worker-list", name, "not up", inputs)
