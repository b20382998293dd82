"""Builds directives from the placed tasks and the latest report of an agent."""

import datetime

from gypsumhold.decisions.jobs import (
    evacuations,
    lifecycle,
    lost_workers,
    starvation,
)
from gypsumhold.decisions.jobs.run_bounds import absences, expiries
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    messages,
    progress,
    runs,
    scheduler,
    specs,
)

NO_CHECKPOINT = runs.Checkpoint("")


def may_grant(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> bool:
    """Tells whether the holder may issue grants.

    It may do so until `grant_window` after its last stored batch was sent. A
    successor may have taken the queue by then; it places the runs of an
    instance that does not report again only after all these grants have
    expired. It takes a released queue at once, so there are no grants while
    the queue is being released.
    """
    if holder_state.releasing:
        return False
    return now < holder_state.renewed_at + state.options.grant_window


def build_directives(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
    is_answer: bool,
) -> messages.Directives:
    """Returns the directives for an agent.

    Args:
        state: State of the scheduler.
        holder_state: State of the held queue.
        view: The agent.
        now: Current time.
        is_answer: Whether the directives answer a report; only then may they
            extend the grant.
    """
    view.sequence += 1
    _acknowledge_stored_ends(holder_state, view)
    report = view.report
    worker_incarnation = (
        runs.NO_INCARNATION
        if report.worker is None
        else report.worker.incarnation
    )
    grant_ms = 0
    if is_answer and may_grant(state, holder_state, now):
        grant_ms = lifecycle.to_ms(state.options.grant)
    return messages.Directives(
        holder_state.term,
        state.options.name,
        state.options.endpoint,
        report.incarnation,
        view.sequence,
        worker_incarnation,
        grant_ms,
        expiries.find_acknowledged(view, now),
        _list_starts(holder_state, view, worker_incarnation, now),
        _list_stops(view),
        _list_found_commands(holder_state, view),
        _list_interference(holder_state, view),
        _list_deferred(view, now) if is_answer else None,
        _list_withdrawn(view),
        lost_workers.list_stored(holder_state, view),
        evacuations.build_notice(
            state,
            holder_state,
            now,
            may_grant=may_grant(state, holder_state, now),
        ),
        expiries.list_late_starts(view, now),
        absences.measure_absence_ms(holder_state, view, now),
    )


def _list_interference(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> tuple[runs.InterferenceEstimate, ...]:
    """Returns the interference estimates for the images on the instance."""
    steps = [placed.step.spec for placed in view.placed.values()]
    serving = {spec.image for spec in steps if spec.target_latency_ms}
    best_effort = {spec.image for spec in steps if spec.fills}
    return tuple(
        runs.InterferenceEstimate(pair, per_core)
        for pair, per_core in holder_state.cautious_estimates.items()
        if pair.serving in serving and pair.best_effort in best_effort
    )


def _list_deferred(
    view: scheduler.AgentView, now: datetime.timedelta
) -> tuple[runs.RunRef, ...]:
    """Returns the best-effort runs by the falling return of their jobs.

    Boosted runs come first.
    """
    best_effort = [
        (ref, placed)
        for ref, placed in view.placed.items()
        if placed.step.spec.fills
    ]
    best_effort.sort(
        key=lambda item: (
            item[1].task.boosted_at is None,
            -item[1].job.expected_return,
        )
    )
    return tuple(
        runs.RunRef(ref, placed.task.run) for ref, placed in best_effort
    )


def _acknowledge_stored_ends(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> None:
    """Acknowledges the ends whose batch is stored."""
    pending = view.acknowledgements
    while pending and pending[0].batch <= holder_state.stored_batch:
        view.acknowledged = pending.pop(0).number


def _list_starts(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    worker_incarnation: runs.WorkerIncarnation,
    now: datetime.timedelta,
) -> tuple[runs.StartCommand, ...]:
    """Returns commands for the stored placements that the report lacks."""
    return tuple(
        build_start_command(
            ref,
            placed,
            must_start_at_once=_ends_wait(placed)
            and starvation.is_starved(holder_state, placed.job, now),
            must_report_at_once=placed.task.is_first_of_batch
            and starvation.must_know_start(holder_state, placed.job, now),
        )
        for ref, placed in view.placed.items()
        if not placed.task.reported
        and placed.task.is_placed()
        and placed.task.batch <= holder_state.stored_batch
        and placed.task.worker_incarnation == worker_incarnation
        and placed.job.is_open()
    )


def _ends_wait(placed: scheduler.PlacedTask) -> bool:
    """Tells whether a start is the one that is to end the wait of its job.

    A gang waits until all of its tasks have started.
    """
    return placed.task.is_first_of_batch or placed.step.spec.gang


def build_start_command(
    ref: runs.TaskRef,
    placed: scheduler.PlacedTask,
    *,
    must_start_at_once: bool = False,
    must_report_at_once: bool = False,
) -> runs.StartCommand:
    """Returns the command to start the current run of a task."""
    return _build_command(
        runs.RunRef(ref, placed.task.run),
        placed.job,
        placed.step.spec,
        placed.task.checkpoint,
        only_run=placed.task.is_only_run or must_start_at_once,
        reported_at_once=must_report_at_once,
    )


def _build_command(
    ref: runs.RunRef,
    job: progress.Job,
    spec: specs.StepSpec,
    checkpoint: runs.Checkpoint,
    *,
    only_run: bool = False,
    reported_at_once: bool = False,
) -> runs.StartCommand:
    return runs.StartCommand(
        ref,
        job.spec.payload,
        checkpoint,
        spec.cpu_millis,
        spec.memory_mb,
        spec.accelerators,
        spec.fills,
        spec.target_latency_ms,
        spec.image,
        only_run=only_run,
        reported_at_once=reported_at_once,
    )


def _should_run(view: scheduler.AgentView, ref: runs.RunRef) -> bool:
    """Tells whether a reported run is to continue."""
    placed = view.placed.get(ref.task)
    if placed is None or placed.task.run != ref.run:
        return False
    if placed.task.migration_target is not None or not placed.job.is_open():
        return False
    return not (placed.step.spec.gang and placed.step.lacks_gang_member())


def _list_stops(view: scheduler.AgentView) -> tuple[runs.RunRef, ...]:
    """Returns the reported runs that have to stop."""
    return tuple(
        [row.ref for row in view.report.rows if not _should_run(view, row.ref)]
    )


def _list_withdrawn(
    view: scheduler.AgentView,
) -> tuple[runs.RunRef, ...]:
    """Returns the placed runs that are not to run and that no report lists.

    Their start command may be under way or not sent at all. They keep their
    capacity until the agent has refused them.
    """
    return tuple(
        ref
        for ref, placed in _list_unreported(view)
        if not (placed.task.is_placed() and _should_run(view, ref))
    )


def _list_unreported(
    view: scheduler.AgentView,
) -> list[tuple[runs.RunRef, scheduler.PlacedTask]]:
    """Returns the placed runs that the latest report does not list."""
    return [
        (runs.RunRef(ref, placed.task.run), placed)
        for ref, placed in view.placed.items()
        if not placed.task.reported
    ]


def _list_found_commands(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> tuple[runs.StartCommand, ...]:
    """Returns the commands of runs that the agent found on its worker.

    Also of those that are to stop: until their requests are known, the agent
    starts nothing, as it does not know what capacity is left.
    """
    commands = []
    for ref in view.report.found:
        job = holder_state.jobs.get(ref.task.job_id)
        if job is None or not 0 <= ref.task.step < len(job.spec.steps):
            continue
        task = job.find_task(ref.task)
        is_current = task is not None and task.run == ref.run
        checkpoint = task.checkpoint if task and is_current else NO_CHECKPOINT
        spec = job.spec.steps[ref.task.step]
        commands.append(_build_command(ref, job, spec, checkpoint))
    return tuple(commands)


def push_directives(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> list[base_effects.Effect]:
    """Sends new directives to an agent without waiting for its next report.

    New are the starts and acknowledgements that the latest batch stored, and
    the stops and withdrawals that were not sent yet. Returns no effect if there
    are none.
    """
    worker_incarnation = (
        view.report.worker.incarnation
        if view.report.worker
        else runs.NO_INCARNATION
    )
    has_starts = any(
        placed.task.batch == holder_state.stored_batch
        and not placed.task.reported
        and placed.task.worker_incarnation == worker_incarnation
        for placed in view.placed.values()
    )
    unwanted = {*_list_stops(view), *_list_withdrawn(view)}
    new_stops = unwanted - view.stops_sent
    pending = view.acknowledgements
    has_ends = bool(pending) and pending[0].batch <= holder_state.stored_batch
    if not has_starts and not has_ends and not new_stops:
        return []
    view.stops_sent.update(new_stops)
    message = build_directives(state, holder_state, view, now, is_answer=False)
    address = view.report.endpoint.build_address()
    return [effects.PushDirectives(view.instance, address, message)]


def has_unstored_changes(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> bool:
    """Tells whether a later batch stores starts or ends for an agent."""
    stored = holder_state.stored_batch
    pending = view.acknowledgements
    if pending and pending[-1].batch > stored:
        return True
    return any(
        placed.task.is_placed() and placed.task.batch > stored
        for placed in view.placed.values()
    )
