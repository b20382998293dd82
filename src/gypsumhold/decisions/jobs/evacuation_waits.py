"""Tells which jobs have no run because data centres are evacuated."""

from collections.abc import Iterable

from gypsumhold.decisions.jobs import capacity, evacuations, waits
from gypsumhold.model.jobs import policies, progress, scheduler
from gypsumhold.model.jobs.waits import WaitStage


def is_obstacle(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    job: progress.Job,
    step: progress.Step,
    candidates: dict[str, policies.Candidate],
) -> bool:
    """Tells whether only evacuated workers could run a task when empty."""
    if (
        state.known_evacuations is None
        or not state.known_evacuations.data_centres
    ):
        return False
    if any(
        capacity.fits_when_empty(candidate, job, step)
        for candidate in candidates.values()
    ):
        return False
    return any(
        view.report.worker is not None
        and evacuations.is_evacuated(state, view.report.worker)
        and capacity.is_large_enough(view.report.worker, job, step)
        for view in holder_state.agents.values()
    )


def note_without_candidates(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    jobs: Iterable[progress.Job],
) -> None:
    """Notes why jobs wait while a plan has no worker that may get runs."""
    if (
        state.known_evacuations is None
        or not state.known_evacuations.data_centres
    ):
        return
    for job in jobs:
        if any(
            is_obstacle(state, holder_state, job, step, {})
            for step in job.steps
        ):
            waits.note_obstacle(holder_state, job, WaitStage.EVACUATION)
