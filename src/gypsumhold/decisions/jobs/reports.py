"""Handles the reports of agents in the holder of the queue."""

import datetime

from gypsumhold.decisions.jobs import (
    crashes,
    directives,
    holders,
    lifecycle,
    listed_runs,
    run_ends,
)
from gypsumhold.decisions.jobs.run_bounds import expiries
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
ListedRuns = dict[runs.TaskRef, runs.RunRow]

MAX_REPORT_DELAY = datetime.timedelta(seconds=3)
"""Longest time that a report may be in transit; its sender gives up long before
that."""

REFUSAL_QUARANTINE = datetime.timedelta(seconds=1)
"""How long an instance gets no new runs after its unhealthy worker refused
one."""


MAX_HELD_ENDS = 32
"""Ends in a report up to which those of jobs that were left out are kept. The
worker lists a few hundred at a time, and the agent reports all of them."""

_PASSING_REFUSALS = (runs.Refusal.NO_CAPACITY, runs.Refusal.EVACUATED)
"""Refusals that say nothing against a later run of the task on the instance,
unless it refuses the next one too: it has less room than its reports tell."""

_UNDECIDED_ROLES = (scheduler.Role.TAKING, scheduler.Role.LOADING)


def handle_report_arrived(
    state: scheduler.SchedulerState,
    event: events.ReportArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Applies a report and answers it with directives.

    An entry that does not hold the queue redirects the agent to the holder. An
    outdated report is not applied. While this entry takes the queue or loads
    the jobs, the report waits for its answer: a redirected agent would report
    to other entries, which may be lost.
    """
    holder_state = state.holder_state
    report = event.report
    if state.role in _UNDECIDED_ROLES and not state.stopping:
        waiting = scheduler.WaitingReport(event.ticket, report)
        state.waiting_reports[report.instance] = waiting
        return []
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
        view = scheduler.AgentView(report.instance, report, now, heard_at=now)
        holder_state.agents[report.instance] = view
        emitted.append(_log_agent(report, "joined"))
        holder_state.plan_due = True
    emitted += _apply_report(state, holder_state, view, event, now)
    reply = directives.build_directives(
        state, holder_state, view, now, is_answer=True
    )
    return [*emitted, effects.ReplyReport(event.ticket, reply)]


def answer_waiting_reports(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> EffectList:
    """Answers the reports that waited, once the role of this entry is known."""
    if state.role in _UNDECIDED_ROLES:
        return []
    waiting_reports = list(state.waiting_reports.values())
    state.waiting_reports.clear()
    emitted: EffectList = []
    for waiting in waiting_reports:
        event = events.ReportArrived(waiting.ticket, waiting.report)
        emitted += handle_report_arrived(state, event, now)
    return emitted


def _is_outdated(
    view: scheduler.AgentView,
    report: messages.Report,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a report is older than the latest one of its instance.

    A lower incarnation comes from a delayed report of a former process, or from
    a new process on an instance whose clock was set back. In the second case
    the former process has stopped reporting, so the report is accepted after
    `MAX_REPORT_DELAY`, and later ones of the former process are outdated.
    """
    previous = view.report
    if report.incarnation == previous.incarnation:
        return report.sequence <= previous.sequence
    if report.incarnation == view.replaced_process:
        return True
    is_recent = now < view.last_report_at + MAX_REPORT_DELAY
    return report.incarnation < previous.incarnation and is_recent


def _build_redirect(
    state: scheduler.SchedulerState, report: messages.Report
) -> messages.Directives:
    """Returns directives that contain no more than the address of the holder.

    The address is missing if it is unknown or this entry is the holder.
    """
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


def _apply_report(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    event: events.ReportArrived,
    now: datetime.timedelta,
) -> EffectList:
    """Applies a report to the view of its agent."""
    report = event.report
    received_at = now if event.received_at is None else event.received_at
    crashes.note_loss(holder_state, view, report, now)
    emitted = _apply_worker_incarnation(holder_state, view, report, now)
    if _has_worker_changed(view.report, report):
        holder_state.plan_due = True
    if view.report.incarnation != report.incarnation:
        view.replaced_process = view.report.incarnation
        view.sequence = 0
        expiries.record_agent_restart(state, view, now)
    view.report = report
    view.last_report_at = now
    view.starts_sent_by = expiries.bound_last_start(state, report, now)
    if report.worker is not None and report.answering:
        view.heard_at = now
    view.candidate = None
    view.stops_sent.clear()
    for sums in report.interference_sums:
        view.interference_sums[sums.pair] = sums
    _adopt_orphans(holder_state, view)
    listed = _index_listed_runs(view)
    emitted += _release_ended_runs(holder_state, view, listed, now)
    expiries.record_report(view, listed, now)
    expiries.record_found_runs(view, listed)
    expiries.record_late_starts(state, view, now)
    emitted += crashes.judge_crashes(state, holder_state, view, now)
    for row in _take_new_ends(view, now):
        age = datetime.timedelta(milliseconds=row.age_ms)
        emitted += run_ends.handle_run_end(
            holder_state, view, row, now, received_at - age
        )
    _queue_acknowledgement(holder_state, view)
    for refused in report.refused:
        emitted += _handle_refusal(holder_state, view, refused, now)
    slowdown = state.options.off_rack_slowdown
    emitted += listed_runs.apply_rows(holder_state, view, listed, slowdown, now)
    return emitted


def _take_new_ends(
    view: scheduler.AgentView, now: datetime.timedelta
) -> list[runs.EndRow]:
    """Returns the ends of the latest report that are to be handled now.

    The task of a run that may begin once more keeps its place until it can't:
    it must not run elsewhere. Its end is handled then, unless its task is done.
    """
    taken = []
    for row in sorted(view.report.ends, key=lambda row: row.number):
        is_new = row.number > view.last_handled_end
        if not is_new and row.number not in view.deferred_ends:
            continue
        view.last_handled_end = max(view.last_handled_end, row.number)
        view.deferred_ends.discard(row.number)
        if expiries.may_begin_again(view, row.ref, now):
            if row.end is not runs.RunEnd.DONE:
                view.deferred_ends.add(row.number)
                continue
            expiries.keep_end(view, row)
        taken.append(row)
    return taken


def _index_listed_runs(view: scheduler.AgentView) -> ListedRuns:
    """Returns the rows of the latest report that list current runs."""
    listed: ListedRuns = {}
    for row in view.report.rows:
        task_ref = row.ref.task
        placed = view.placed.get(task_ref)
        if placed is not None and placed.task.run == row.ref.run:
            listed[task_ref] = row
    return listed


def _apply_worker_incarnation(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    report: messages.Report,
    now: datetime.timedelta,
) -> EffectList:
    """Resets the numbers of ends if the report has a new worker incarnation."""
    worker = report.worker
    if worker is None or worker.incarnation == view.worker_incarnation:
        return []
    view.worker_incarnation = worker.incarnation
    view.heard_at = now
    view.last_handled_end = runs.EndNumber(0)
    view.acknowledged = runs.EndNumber(0)
    view.acknowledgements.clear()
    view.deferred_ends.clear()
    view.kept_ends.clear()
    view.failed_jobs.clear()
    view.quarantines = 0
    holder_state.plan_due = True
    return [_log_agent(report, "new worker")]


def _has_worker_changed(old: messages.Report, new: messages.Report) -> bool:
    """Tells whether the worker, or the connection to it, has changed."""
    if old.answering != new.answering or old.worker is None:
        return True
    if new.worker is None or old.worker.state is not new.worker.state:
        return True
    return old.worker.capacity != new.worker.capacity


def _adopt_orphans(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> None:
    """Moves the orphans of an instance that has reported to its view."""
    for ref, placed in holder_state.orphans.pop(view.instance, {}).items():
        view.placed[ref] = placed


def _release_ended_runs(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    listed: ListedRuns,
    now: datetime.timedelta,
) -> EffectList:
    """Releases every run that has ended according to the report.

    These are all runs that it does not list if it says that they have ended,
    and otherwise the runs of earlier incarnations of the worker.
    """
    report = view.report
    worker = report.worker
    if worker is not None:
        for ref in listed:
            # A delayed command was carried out by a newer worker incarnation.
            view.placed[ref].task.worker_incarnation = worker.incarnation
        expiries.keep_former_starts(holder_state, view, now)
    ended_runs = {
        ref: placed
        for ref, placed in view.placed.items()
        if _has_ended(
            holder_state, report, placed.task, is_listed=ref in listed
        )
    }
    if not ended_runs:
        return []
    # Ends that the worker listed before it was lost are still in the report
    # and are handled one by one.
    reported_ends = {row.ref for row in report.ends}
    for ref, placed in list(ended_runs.items()):
        if runs.RunRef(ref, placed.task.run) in reported_ends:
            del ended_runs[ref]
    if not ended_runs:
        return []
    reason = "lapsed" if report.runs_ended else "new worker life"
    return holders.release_tasks(
        holder_state, view.instance, ended_runs, reason, now
    )


def _has_ended(
    holder_state: scheduler.HolderState,
    report: messages.Report,
    task: progress.Task,
    *,
    is_listed: bool,
) -> bool:
    """Tells whether a placed run has ended, by a report without its end.

    A late report may be of a former incarnation of the worker, and tells
    nothing of the runs of later ones.
    """
    worker = report.worker
    if worker is not None and worker.incarnation != task.worker_incarnation:
        return expiries.is_former(holder_state, report, task.worker_incarnation)
    return report.runs_ended and not is_listed


def _queue_acknowledgement(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> None:
    """Schedules the acknowledgement of the handled ends.

    It is due at once if everything that was handled is stored, and otherwise
    after the next batch.
    """
    pending = view.acknowledgements
    latest_number = pending[-1].number if pending else view.acknowledged
    number = _find_last_applied_end(holder_state, view)
    if number <= latest_number:
        return
    batch = (
        progress.NOT_STORED if holder_state.dirty else holder_state.stored_batch
    )
    if pending or holder_state.in_flight is not None:
        batch = progress.NOT_STORED
    pending.append(
        scheduler.Acknowledgement(number, batch, holder_state.latest_change)
    )
    holder_state.changed_instances.add(view.instance)
    if batch == progress.NOT_STORED and not holder_state.dirty:
        holder_state.force_batch = True


def _find_last_applied_end(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> runs.EndNumber:
    """Returns the number up to which the handled ends may be acknowledged.

    The end of a run whose job was left out has no effect yet. The worker keeps
    it for a holder that can apply the job's record, as long as it lists few. So
    it does with the end of a run that may begin once more.
    """
    ends = view.report.ends
    held = list(view.deferred_ends)
    if holder_state.left_out_jobs and len(ends) <= MAX_HELD_ENDS:
        held += [
            row.number
            for row in ends
            if row.ref.task.job_id in holder_state.left_out_jobs
        ]
    return runs.EndNumber(min([view.last_handled_end + 1, *held]) - 1)


def _handle_refusal(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    refused: runs.RefusedRow,
    now: datetime.timedelta,
) -> EffectList:
    """Releases a task whose run the worker refused to start."""
    ref = refused.ref.task
    placed = view.placed.get(ref)
    if placed is None or placed.task.run != refused.ref.run:
        return []
    lifecycle.release_task(holder_state, ref, placed)
    if refused.reason is runs.Refusal.UNHEALTHY:
        view.quarantined_until = max(
            view.quarantined_until, now + REFUSAL_QUARANTINE
        )
    is_repeated = placed.task.refused_by == view.instance
    placed.task.refused_by = view.instance
    if is_repeated or refused.reason not in _PASSING_REFUSALS:
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
