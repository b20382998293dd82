"""Finds the runs that were on a worker when it crashed.

A crash is proved by a later incarnation of the worker on the same instance
after one that did not announce its end. A silence alone proves none: the worker
may be cut off, and its work may go on.
"""

import datetime

from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, messages, runs, scheduler

EffectList = list[base_effects.Effect]
LostRuns = dict[runs.TaskRef, scheduler.LostRun]

FRESH_TIME = datetime.timedelta(seconds=2)
"""Age up to which a run may have caused the crash of its worker. Calls to a
worker time out after one second, so a crash may be noticed that late."""

MAX_LOGGED_RUNS = 12
"""Most runs that one log line names."""


def note_loss(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    report: messages.Report,
    now: datetime.timedelta,
) -> None:
    """Notes whether a report, not yet applied, shows the loss of a worker.

    The loss is forgotten if the same incarnation answers again: then there was
    a cut, and not a crash.
    """
    former = view.worker_incarnation
    if former == runs.NO_INCARNATION:
        return
    worker = report.worker
    is_new = worker is not None and worker.incarnation != former
    if not is_new and report.answering:
        view.loss = None
        holder_state.lost_runs.pop(view.instance, None)
        return
    if view.loss is not None and view.loss.incarnation == former:
        return
    known = view.report.worker
    is_draining = known is not None and known.state is runs.WorkerState.DRAINING
    # Runs that end with the first silence ended with an announced shutdown;
    # after a crash, the lease has to run out first.
    announced = is_draining or (report.runs_ended and not is_new)
    at = view.last_report_at if is_new else now
    view.loss = scheduler.WorkerLoss(former, at, announced)


def remember_runs(
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
            task.listed_at,
            is_stored=task.batch <= holder_state.stored_batch,
            is_restored=not task.batch,
        )


def judge_crash(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> EffectList:
    """Logs which runs a worker had just started when it crashed."""
    lost_runs = _take_lost_runs(holder_state, view)
    loss = view.loss
    if not lost_runs or loss is None or loss.announced:
        return []
    suspects = {
        ref: lost_run
        for ref, lost_run in lost_runs.items()
        if _is_fresh(lost_run, loss)
    }
    return [_log_crash(view, loss, lost_runs, suspects)]


def _take_lost_runs(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> LostRuns:
    """Returns the lost runs of former worker incarnations; forgets them."""
    worker = view.report.worker
    kept = holder_state.lost_runs.get(view.instance)
    if not kept or worker is None:
        return {}
    taken = {
        ref: lost_run
        for ref, lost_run in kept.items()
        if lost_run.worker_incarnation.started_ms
        < worker.incarnation.started_ms
    }
    for ref in taken:
        del kept[ref]
    return taken


def _is_fresh(lost_run: scheduler.LostRun, loss: scheduler.WorkerLoss) -> bool:
    """Tells whether a run had just started when its worker was lost."""
    if lost_run.listed_at is None:
        return lost_run.is_stored
    return loss.at - lost_run.listed_at <= FRESH_TIME


def _log_crash(
    view: scheduler.AgentView,
    loss: scheduler.WorkerLoss,
    lost_runs: LostRuns,
    suspects: LostRuns,
) -> base_effects.Effect:
    named = [
        f"{ref}:{lost_run.run}"
        for ref, lost_run in sorted(
            suspects.items(), key=lambda item: str(item[0])
        )
    ]
    inputs = (
        ("worker", f"{loss.incarnation.name}@{loss.incarnation.started_ms}"),
        ("runs", str(len(lost_runs))),
        ("started", str(len(suspects))),
        ("suspects", ",".join(named[:MAX_LOGGED_RUNS])),
    )
    return effects.Log("worker-crashed", view.instance, "noted", inputs)
