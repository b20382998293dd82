"""Collects the runs that ended with an incarnation of their worker.

The holder remembers those that it released without an end. The agent reports
those that the worker had just started, which a former holder may have placed.
"""

import dataclasses
import datetime

from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model import ids
from gypsumhold.model.jobs import runs, scheduler, specs

LostRuns = dict[runs.TaskRef, scheduler.LostRun]


@dataclasses.dataclass(frozen=True, slots=True)
class LostWorker:
    """A former incarnation of a worker, with the runs that ended with it."""

    incarnation: runs.WorkerIncarnation
    lost_runs: LostRuns


def remember(
    holder_state: scheduler.HolderState,
    instance: ids.InstanceId,
    tasks: dict[runs.TaskRef, scheduler.PlacedTask],
) -> None:
    """Keeps runs that are about to be released without an end."""
    lost_runs = holder_state.lost_runs.setdefault(instance, {})
    for ref, placed in tasks.items():
        task = placed.task
        lost_runs[ref] = scheduler.LostRun(
            placed,
            task.run,
            task.worker_incarnation,
            task.age,
            task.batch <= holder_state.stored_batch,
        )


def take(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> list[LostWorker]:
    """Returns the lost workers that the latest report makes known, in order.

    Their runs are forgotten. What the agent reports of a run replaces what the
    holder remembered: it is newer.
    """
    by_incarnation = _take_remembered(holder_state, view)
    for loss in view.report.losses:
        if loss.incarnation in view.judged_losses:
            continue
        for row in loss.rows:
            lost_run = _find_lost_run(holder_state, loss, row)
            if lost_run is not None:
                lost_runs = by_incarnation.setdefault(loss.incarnation, {})
                lost_runs[row.ref.task] = lost_run
    view.judged_losses = {loss.incarnation for loss in view.report.losses}
    return [
        LostWorker(incarnation, lost_runs)
        for incarnation, lost_runs in sorted(
            by_incarnation.items(), key=lambda item: item[0].started_ms
        )
    ]


def _take_remembered(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> dict[runs.WorkerIncarnation, LostRuns]:
    """Returns the remembered runs of former incarnations; forgets them."""
    worker = view.report.worker
    if worker is None:
        return {}
    remembered = holder_state.lost_runs.get(view.instance, {})
    taken: dict[runs.WorkerIncarnation, LostRuns] = {}
    for ref, lost_run in list(remembered.items()):
        incarnation = lost_run.worker_incarnation
        if expiries.is_former(holder_state, view.report, incarnation):
            taken.setdefault(incarnation, {})[ref] = remembered.pop(ref)
    return taken


def _find_lost_run(
    holder_state: scheduler.HolderState, loss: runs.LossRow, row: runs.RunRow
) -> scheduler.LostRun | None:
    """Returns a reported lost run; None if its task is not known."""
    ref = row.ref.task
    job = holder_state.jobs.get(ref.job_id)
    task = None if job is None else job.find_task(ref)
    if job is None or task is None or row.ref.run > task.run:
        return None
    return scheduler.LostRun(
        scheduler.PlacedTask(job, job.find_step(ref), task),
        row.ref.run,
        loss.incarnation,
        datetime.timedelta(milliseconds=row.age_ms),
        True,
    )


def list_stored(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> tuple[runs.WorkerIncarnation, ...]:
    """Returns the reported losses that the agent need not report again."""
    return tuple(
        loss.incarnation
        for loss in view.report.losses
        if loss.incarnation in view.judged_losses
        and all(
            _is_stored(holder_state, row.ref.task.job_id) for row in loss.rows
        )
    )


def _is_stored(
    holder_state: scheduler.HolderState, job_id: specs.JobId
) -> bool:
    """Tells whether everything that is known of a job is stored."""
    job = holder_state.jobs.get(job_id)
    if job is None:
        return True
    is_written = job_id not in holder_state.dirty
    return is_written and job.batch <= holder_state.stored_batch
