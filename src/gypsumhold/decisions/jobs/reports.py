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

EffectList = list[base_effects.Effect]

MAX_REPORT_DELAY = datetime.timedelta(seconds=3)
"""A report is given up by its sender long before this."""

REFUSAL_QUARANTINE = datetime.timedelta(seconds=1)
"""How long a worker that refused a start gets no more."""


def handle_report_arrived(
    state: scheduler.SchedulerState,
    event: events.ReportArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Applies a report and answers it."""
    holder_state = state.holder_state
    report = event.report
    if holder_state is None or state.role is not scheduler.Role.HOLDER:
        return [
            effects.ReplyReport(event.ticket, _build_redirect(state, report))
        ]
    view = holder_state.agents.get(report.instance)
    if view is not None and _is_outdated(view, report, now):
        return [
            effects.ReplyReport(event.ticket, _build_redirect(state, report))
        ]
    emitted: EffectList = []
    if view is None:
        view = scheduler.AgentView(report.instance, report, now)
        holder_state.agents[report.instance] = view
        emitted.append(_log_agent(report, "joined"))
        holder_state.plan_due = True
    emitted += _apply(holder_state, view, report, now)
    reply = directives.build_directives(
        state, holder_state, view, now, answers=True
    )
    return [*emitted, effects.ReplyReport(event.ticket, reply)]


def _is_outdated(
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
    lately = now < view.last_report_at + MAX_REPORT_DELAY
    return report.incarnation < known.incarnation and lately


def _build_redirect(
    state: scheduler.SchedulerState, report: messages.Report
) -> messages.Directives:
    """Returns directives that only tell who holds the queue."""
    record = None if state.holder_row is None else state.holder_row.record
    term = ids.Epoch(0)
    endpoint = None
    if state.holder_state is None and record is not None and record.holder:
        term = record.term
        endpoint = record.endpoint
    return messages.Directives(
        term, "", endpoint, report.incarnation, 0, runs.NO_INCARNATION
    )


def _log_agent(report: messages.Report, outcome: str) -> effects.Log:
    worker = report.worker
    worker_incarnation = labels = "none"
    if worker is not None:
        worker_incarnation = (
            f"{worker.incarnation.name}@{worker.incarnation.started_ms}"
        )
        labels = ",".join(worker.labels)
    return effects.Log(
        "agent",
        report.instance,
        outcome,
        (
            ("incarnation", str(report.incarnation)),
            ("report", str(report.sequence)),
            ("worker", worker_incarnation),
            ("labels", labels),
        ),
    )


def _apply(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    report: messages.Report,
    now: datetime.timedelta,
) -> EffectList:
    emitted = _apply_worker_incarnation(holder_state, view, report)
    if _has_worker_changed(view.report, report):
        holder_state.plan_due = True
    if view.report.incarnation != report.incarnation:
        view.sequence = 0
    view.report = report
    view.last_report_at = now
    view.stops_sent.clear()
    for item in report.interference_sums:
        view.interference_sums[item.pair] = item
    _adopt_orphans(holder_state, view)
    emitted += _release_ended_runs(holder_state, view)
    for row in report.ends:
        if row.number > view.last_handled_end:
            view.last_handled_end = row.number
            emitted += lifecycle.handle_run_end(holder_state, view, row, now)
    _queue_acknowledgement(holder_state, view)
    for refused in report.refused:
        emitted += _handle_refusal(holder_state, view, refused, now)
    _apply_run_rows(holder_state, view, now)
    return emitted


def _apply_worker_incarnation(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    report: messages.Report,
) -> EffectList:
    """Starts the numbers of ends again with a new life of the worker."""
    new = report.worker
    if new is None or new.incarnation == view.worker_incarnation:
        return []
    view.worker_incarnation = new.incarnation
    view.last_handled_end = runs.EndNumber(0)
    view.acknowledged = runs.EndNumber(0)
    view.acknowledgements.clear()
    view.failed_jobs.clear()
    view.quarantines = 0
    holder_state.plan_due = True
    return [_log_agent(report, "new worker")]


def _has_worker_changed(old: messages.Report, new: messages.Report) -> bool:
    if old.answering != new.answering or old.worker is None:
        return True
    return new.worker is None or old.worker.state is not new.worker.state


def _adopt_orphans(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> None:
    for ref, placed in holder_state.orphans.pop(view.instance, {}).items():
        view.placed[ref] = placed


def _release_ended_runs(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> EffectList:
    """Takes off every run of which the report proves that it has ended."""
    report = view.report
    worker = report.worker
    running = {row.ref for row in report.rows}
    for ref, placed in view.placed.items():
        # A late order was carried out by a new life of the worker.
        if worker and runs.RunRef(ref, placed.task.run) in running:
            placed.task.worker_incarnation = worker.incarnation
    dead = {
        ref: placed
        for ref, placed in view.placed.items()
        if report.runs_expired
        or (
            worker is not None
            and placed.task.worker_incarnation.started_ms
            < worker.incarnation.started_ms
        )
    }
    # Ends that a worker listed before it was lost are still in the report.
    ended = {row.ref for row in report.ends}
    for ref, placed in list(dead.items()):
        if runs.RunRef(ref, placed.task.run) in ended:
            del dead[ref]
    if not dead:
        return []
    reason = "lapsed" if report.runs_expired else "new worker life"
    return holders.release_tasks(holder_state, view.instance, dead, reason)


def _queue_acknowledgement(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> None:
    waiting = view.acknowledgements
    latest = waiting[-1].number if waiting else view.acknowledged
    if view.last_handled_end <= latest:
        return
    batch = progress.NOT_STORED if holder_state.dirty else holder_state.stored
    if waiting or holder_state.in_flight is not None:
        batch = progress.NOT_STORED
    waiting.append(scheduler.Acknowledgement(view.last_handled_end, batch))
    if batch == progress.NOT_STORED and not holder_state.dirty:
        holder_state.force_batch = True


def _handle_refusal(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    refused: runs.RefusedRow,
    now: datetime.timedelta,
) -> EffectList:
    ref = refused.ref.task
    placed = view.placed.get(ref)
    if placed is None or placed.task.run != refused.ref.run:
        return []
    lifecycle.release_task(holder_state, ref, placed)
    if refused.reason is runs.Refusal.UNHEALTHY:
        view.quarantined_until = max(
            view.quarantined_until, now + REFUSAL_QUARANTINE
        )
    if refused.reason is not runs.Refusal.NO_CAPACITY:
        placed.task.excluded_instances.add(view.instance)
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


def _apply_run_rows(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> None:
    listed = {row.ref: row for row in view.report.rows}
    for ref, placed in view.placed.items():
        row = listed.get(runs.RunRef(ref, placed.task.run))
        placed.task.reported = row is not None
        if row is None:
            continue
        if row.checkpoint and row.checkpoint != placed.task.checkpoint:
            placed.task.checkpoint = row.checkpoint
        if row.percent > placed.task.percent:
            placed.task.percent = row.percent
            placed.task.progressed_at = now
