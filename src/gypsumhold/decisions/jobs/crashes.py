"""Finds the tasks that may have crashed a worker, and gives them up.

A crash is proved by a later incarnation of the worker on the same instance
after one that did not announce its end. A silence alone proves none: the worker
may be cut off, and its work may go on. Only runs that had just started are
suspected. If most of the fleet was lost at the time, a crash counts only under
a run that had begun, and puts no task on probation.
"""

import datetime

from gypsumhold.decisions.jobs import (
    lifecycle,
    losses,
    lost_workers,
    probations,
    verdicts,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, messages, runs, scheduler

EffectList = list[base_effects.Effect]
LostRuns = lost_workers.LostRuns
Evidence = runs.CrashEvidence

NO_TIME = datetime.timedelta(0)

QUICK_CRASH_TIME = datetime.timedelta(milliseconds=200)
"""Age of a run up to which the crash of its worker is hardly a coincidence."""

MIN_START_GAP = probations.PROBATION_TIME / 2
"""Time after the start of one run at which another counts as alone. Starts and
their confirmations take some of the time that the probation keeps apart."""

OUTAGE_WINDOW = datetime.timedelta(seconds=1)
"""Time within which losses of several workers may have one cause."""

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
    is_noted = view.loss is not None and view.loss.incarnation == former
    if not is_new and report.answering:
        holder_state.lost_runs.pop(view.instance, None)
        if is_noted:
            view.loss = None
        return
    if is_noted:
        return
    known = view.report.worker
    is_draining = known is not None and known.state is runs.WorkerState.DRAINING
    # Runs that end with the first silence ended with an announced shutdown;
    # after a crash, the lease has to run out first.
    announced = is_draining or (report.runs_ended and not is_new)
    at = view.last_report_at if is_new else now
    view.loss = runs.WorkerLoss(
        former,
        at,
        announced,
        probations.has_pending(view, at),
        _read_silence(report, former),
    )


def _read_silence(
    report: messages.Report, incarnation: runs.WorkerIncarnation
) -> datetime.timedelta | None:
    """Returns how long after its latest answer a worker was found silent."""
    silent_after_ms = report.silent_after_ms
    for loss in report.losses:
        if loss.incarnation == incarnation:
            silent_after_ms = loss.silent_after_ms
    if silent_after_ms == messages.UNKNOWN_SILENCE:
        return None
    return datetime.timedelta(milliseconds=silent_after_ms)


def judge_crashes(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> EffectList:
    """Judges the crashes of former worker incarnations that became known."""
    if view.report.worker is None:
        return []
    emitted: EffectList = []
    for lost_worker in lost_workers.take(holder_state, view):
        emitted += _judge_crash(state, holder_state, view, lost_worker, now)
    return emitted


def _judge_crash(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    lost_worker: lost_workers.LostWorker,
    now: datetime.timedelta,
) -> EffectList:
    """Suspects the runs that a worker had just started when it crashed.

    A task is given up, and its job fails, once the policy finds that no other
    cause is left.
    """
    lost_runs = lost_worker.lost_runs
    loss = view.loss
    if loss is not None and loss.incarnation != lost_worker.incarnation:
        # This holder has not seen the loss, only what the agent kept of it.
        loss = None
    if loss is not None and loss.announced:
        return []
    others = _list_other_losses(state, holder_state, view, loss, now)
    is_outage = loss is None or _is_outage(holder_state, others)
    suspects = _list_suspects(lost_runs, loss, is_outage=is_outage)
    outcome = "outage" if is_outage else "suspected"
    emitted = [_log_crash(view, lost_runs, suspects, outcome)]
    is_explained = not is_outage and all(
        other.loss is not None and other.loss.on_probation for other in others
    )
    for ref, suspect in suspects.items():
        evidence = Evidence.UNSURE
        if loss is not None and is_explained and suspect.has_begun():
            evidence = _weigh(suspect, suspects, loss)
        crash = runs.Crash(
            view.instance,
            suspect.worker_incarnation.started_ms,
            evidence,
            suspect.has_begun(),
            is_outage and not suspect.placed.task.is_suspect(),
        )
        if not _record_crash(holder_state, suspect.placed, crash):
            continue
        emitted += _give_up_if_due(
            state, holder_state, ref, suspect.placed, now
        )
    return emitted


def clear_suspicion(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    placed: scheduler.PlacedTask,
) -> None:
    """Forgets the crashes of a task that runs on without another one."""
    task = placed.task
    is_old = task.age is not None and task.age > losses.FRESH_TIME
    if task.crashes and is_old and view.report.answering:
        task.crashes = ()
        lifecycle.mark_dirty(holder_state, placed.job)


def _list_suspects(
    lost_runs: LostRuns,
    loss: runs.WorkerLoss | None,
    *,
    is_outage: bool,
) -> LostRuns:
    """Returns the runs that may have crashed their worker.

    In an outage, which the holder may not have seen itself, only the runs count
    that are known to have begun, or whose tasks are suspected already.
    """
    return {
        ref: lost_run
        for ref, lost_run in lost_runs.items()
        if lost_run.placed.job.is_open()
        and not lost_run.placed.task.is_done()
        and (
            not is_outage
            or lost_run.has_begun()
            or lost_run.placed.task.is_suspect()
        )
        and (loss is None or _is_fresh(lost_run, loss))
    }


def _is_fresh(lost_run: scheduler.LostRun, loss: runs.WorkerLoss) -> bool:
    """Tells whether a run had just started when its worker was lost."""
    if lost_run.age is None:
        return lost_run.is_stored
    return lost_run.age - (loss.silent_after or NO_TIME) <= losses.FRESH_TIME


def _list_other_losses(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    loss: runs.WorkerLoss | None,
    now: datetime.timedelta,
) -> list[scheduler.AgentView]:
    """Returns the agents that lost their worker at about the same moment."""
    if loss is None:
        return []
    lost = []
    for other in holder_state.agents.values():
        other_loss = other.loss
        at = None
        if other_loss is not None and not other_loss.announced:
            at = other_loss.at
        if now >= other.last_report_at + state.options.report_timeout:
            at = other.last_report_at
        is_near = at is not None and abs(at - loss.at) <= OUTAGE_WINDOW
        if is_near and other is not view:
            lost.append(other)
    return lost


def _is_outage(
    holder_state: scheduler.HolderState, others: list[scheduler.AgentView]
) -> bool:
    """Tells whether most of the fleet was lost at the same time."""
    lost = len(others) + 1
    return bool(others) and lost * 2 > len(holder_state.agents)


def _weigh(
    suspect: scheduler.LostRun, suspects: LostRuns, loss: runs.WorkerLoss
) -> runs.CrashEvidence:
    """Returns how much a crash says about one of its suspects."""
    if suspect.age is None or loss.silent_after is None:
        return Evidence.SHARED
    if suspect.age > QUICK_CRASH_TIME:
        return Evidence.SHARED
    unit = suspect.placed.step.list_unit(suspect.placed.task)
    least_age = suspect.age + MIN_START_GAP
    is_alone = all(
        other.age is not None and other.age >= least_age
        for other in suspects.values()
        if all(other.placed.task is not task for task in unit)
    )
    return Evidence.ALONE if is_alone else Evidence.SHARED


def _record_crash(
    holder_state: scheduler.HolderState,
    placed: scheduler.PlacedTask,
    crash: runs.Crash,
) -> bool:
    """Adds a crash to a task; returns False if the task has it already.

    A run that had begun there may be in no report.
    """
    task = placed.task
    if crash.began:
        placed.job.has_begun = True
    identity = (crash.instance, crash.started_ms)
    if identity in {(old.instance, old.started_ms) for old in task.crashes}:
        return False
    task.crashes = _limit_crashes((*task.crashes, crash))
    task.excluded_instances.add(crash.instance)
    lifecycle.mark_dirty(holder_state, placed.job)
    return True


def _limit_crashes(crashes: tuple[runs.Crash, ...]) -> tuple[runs.Crash, ...]:
    """Drops the oldest crash under a run that had not begun if there are many.

    Those that are left suffice for the verdict, and the stored record of the
    task stays small.
    """
    not_begun = [crash for crash in crashes if not crash.began]
    if len(crashes) <= verdicts.MAX_CRASHES or not not_begun:
        return crashes
    return tuple(crash for crash in crashes if crash is not not_begun[0])


def _give_up_if_due(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    ref: runs.TaskRef,
    placed: scheduler.PlacedTask,
    now: datetime.timedelta,
) -> EffectList:
    """Fails the job of a task if the policy gives the task up."""
    crashes = _collect_crashes(placed)
    gives_up = state.policies.crashes.should_give_up(crashes.values())
    if not gives_up or not placed.job.is_open():
        return []
    failed = messages.JobState.FAILED
    lifecycle.close_job(holder_state, placed.job, failed, now)
    named = (f"{instance}@{started}" for instance, started in crashes)
    inputs = (("task", str(ref)), ("crashed", ",".join(named)))
    return [effects.Log("task-given-up", ref.job_id, "job failed", inputs)]


def _collect_crashes(
    placed: scheduler.PlacedTask,
) -> dict[tuple[ids.InstanceId, int], runs.Crash]:
    """Returns the crashes under a task or its gang by their identity.

    One crash may have taken several tasks of a gang, some of which may not have
    begun.
    """
    crashes = [
        crash
        for task in placed.step.list_unit(placed.task)
        for crash in task.crashes
    ]
    crashes.sort(key=lambda crash: crash.began)
    return {(crash.instance, crash.started_ms): crash for crash in crashes}


def _log_crash(
    view: scheduler.AgentView,
    lost_runs: LostRuns,
    suspects: LostRuns,
    outcome: str,
) -> base_effects.Effect:
    named = [
        f"{ref}:{suspect.run}"
        for ref, suspect in sorted(
            suspects.items(), key=lambda item: str(item[0])
        )
    ]
    worker = next(iter(lost_runs.values())).worker_incarnation
    inputs = (
        ("worker", f"{worker.name}@{worker.started_ms}"),
        ("runs", str(len(lost_runs))),
        ("started", str(len(suspects))),
        ("suspects", ",".join(named[:MAX_LOGGED_RUNS])),
    )
    return effects.Log("worker-crashed", view.instance, outcome, inputs)
