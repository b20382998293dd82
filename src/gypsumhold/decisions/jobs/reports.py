"""What the holder learns from the report of an agent."""

import datetime

from gypsumhold.decisions.jobs import directives, holders, lifecycle
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    progress,
    runs,
    scheduler,
)

Made = list[base_effects.Effect]

OVERTAKEN_TIME = datetime.timedelta(seconds=3)
"""A report is given up by its sender long before this."""

REFUSED_REST = datetime.timedelta(seconds=1)
"""How long a worker that refused a start gets no more."""


def take(
    state: scheduler.SchedulerState,
    event: events.ReportArrived,
    now: datetime.timedelta,
) -> Made:
    """Applies a report and answers it."""
    holding = state.holding
    report = event.report
    if holding is None or state.role is not scheduler.Role.HOLDER:
        return [effects.ReplyReport(event.ticket, _redirect(state, report))]
    view = holding.agents.get(report.instance)
    if view is not None and _is_old(view, report, now):
        return [effects.ReplyReport(event.ticket, _redirect(state, report))]
    made: Made = []
    if view is None:
        view = scheduler.AgentView(report.instance, report, now)
        holding.agents[report.instance] = view
        made.append(_log_agent(report, "joined"))
        holding.plan_due = True
    made += _apply(holding, view, report, now)
    reply = directives.build(state, holding, view, now, answers=True)
    return [*made, effects.ReplyReport(event.ticket, reply)]


def _is_old(
    view: scheduler.AgentView,
    report: messages.Report,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a report was overtaken by one that is known.

    A lower incarnation is a late report of a former process, or a new process
    on an instance whose clock went back; the former one is silent then.
    """
    known = view.report
    if report.incarnation == known.incarnation:
        return report.sequence <= known.sequence
    lately = now < view.heard_at + OVERTAKEN_TIME
    return report.incarnation < known.incarnation and lately


def _redirect(
    state: scheduler.SchedulerState, report: messages.Report
) -> messages.Directives:
    """Returns directives that only tell who holds the queue."""
    record = None if state.holder is None else state.holder.record
    term = ids.Epoch(0)
    endpoint = None
    if state.holding is None and record is not None and record.holder:
        term = record.term
        endpoint = record.endpoint
    return messages.Directives(
        term, "", endpoint, report.incarnation, 0, runs.NO_LIFE
    )


def _log_agent(report: messages.Report, outcome: str) -> effects.Log:
    worker = report.worker
    life = labels = "none"
    if worker is not None:
        life = f"{worker.life.name}@{worker.life.born_ms}"
        labels = ",".join(worker.labels)
    return effects.Log(
        "agent",
        report.instance,
        outcome,
        (
            ("incarnation", str(report.incarnation)),
            ("report", str(report.sequence)),
            ("worker", life),
            ("labels", labels),
        ),
    )


def _apply(
    holding: scheduler.Holding,
    view: scheduler.AgentView,
    report: messages.Report,
    now: datetime.timedelta,
) -> Made:
    made = _note_life(holding, view, report)
    if _has_changed(view.report, report):
        holding.plan_due = True
    if view.report.incarnation != report.incarnation:
        view.sequence = 0
    view.report = report
    view.heard_at = now
    view.stops_sent.clear()
    for item in report.influences:
        view.influences[item.pair] = item
    _adopt_orphans(holding, view)
    made += _drop_dead(holding, view)
    for row in report.ends:
        if row.number > view.noted:
            view.noted = row.number
            made += lifecycle.end_run(holding, view, row, now)
    _queue_acknowledgement(holding, view)
    for refused in report.refused:
        made += _refuse(holding, view, refused, now)
    _note_running(holding, view, now)
    return made


def _note_life(
    holding: scheduler.Holding,
    view: scheduler.AgentView,
    report: messages.Report,
) -> Made:
    """Starts the numbers of ends again with a new life of the worker."""
    new = report.worker
    if new is None or new.life == view.life:
        return []
    view.life = new.life
    view.noted = runs.EndNumber(0)
    view.acknowledged = runs.EndNumber(0)
    view.acknowledgements.clear()
    view.struck_jobs.clear()
    view.rests = 0
    holding.plan_due = True
    return [_log_agent(report, "new worker")]


def _has_changed(old: messages.Report, new: messages.Report) -> bool:
    if old.answering != new.answering or old.worker is None:
        return True
    return new.worker is None or old.worker.state is not new.worker.state


def _adopt_orphans(
    holding: scheduler.Holding, view: scheduler.AgentView
) -> None:
    for ref, placed in holding.orphans.pop(view.instance, {}).items():
        view.placed[ref] = placed


def _drop_dead(holding: scheduler.Holding, view: scheduler.AgentView) -> Made:
    """Takes off every run of which the report proves that it has ended."""
    report = view.report
    worker = report.worker
    running = {row.ref for row in report.rows}
    for ref, placed in view.placed.items():
        # A late order was carried out by a new life of the worker.
        if worker and runs.RunRef(ref, placed.task.run) in running:
            placed.task.life = worker.life
    dead = {
        ref: placed
        for ref, placed in view.placed.items()
        if report.lapsed
        or (
            worker is not None
            and placed.task.life.born_ms < worker.life.born_ms
        )
    }
    # Ends that a worker listed before it was lost are still in the report.
    ended = {row.ref for row in report.ends}
    for ref, placed in list(dead.items()):
        if runs.RunRef(ref, placed.task.run) in ended:
            del dead[ref]
    if not dead:
        return []
    reason = "lapsed" if report.lapsed else "new worker life"
    return holders.release_all(holding, view.instance, dead, reason)


def _queue_acknowledgement(
    holding: scheduler.Holding, view: scheduler.AgentView
) -> None:
    waiting = view.acknowledgements
    latest = waiting[-1].number if waiting else view.acknowledged
    if view.noted <= latest:
        return
    batch = progress.NOT_STORED if holding.dirty else holding.stored
    if waiting or holding.in_flight is not None:
        batch = progress.NOT_STORED
    waiting.append(scheduler.Acknowledgement(view.noted, batch))
    if batch == progress.NOT_STORED and not holding.dirty:
        holding.force_batch = True


def _refuse(
    holding: scheduler.Holding,
    view: scheduler.AgentView,
    refused: runs.RefusedRow,
    now: datetime.timedelta,
) -> Made:
    ref = refused.ref.task
    placed = view.placed.get(ref)
    if placed is None or placed.task.run != refused.ref.run:
        return []
    lifecycle.release(holding, ref, placed)
    if refused.reason is runs.Refusal.UNHEALTHY:
        view.resting_until = max(view.resting_until, now + REFUSED_REST)
    if refused.reason is not runs.Refusal.NO_ROOM:
        placed.task.avoid.add(view.instance)
    return [
        effects.Log(
            "run-refused",
            ref.job_id,
            "placed again",
            (
                ("task", str(ref)),
                ("run", str(refused.ref.run)),
                ("instance", view.instance),
                ("reason", refused.reason.value),
            ),
        )
    ]


def _note_running(
    holding: scheduler.Holding,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> None:
    listed = {row.ref: row for row in view.report.rows}
    for ref, placed in view.placed.items():
        row = listed.get(runs.RunRef(ref, placed.task.run))
        placed.task.listed = row is not None
        if row is None:
            continue
        if row.checkpoint and row.checkpoint != placed.task.checkpoint:
            placed.task.checkpoint = row.checkpoint
        if row.percent > placed.task.percent:
            placed.task.percent = row.percent
            placed.task.moved_at = now
