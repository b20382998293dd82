"""Choices of a worker for one ready task of a plan."""

from gypsumhold.decisions.jobs import capacity
from gypsumhold.model.jobs import policies, progress, scheduler, waits


def choose_candidate(
    state: scheduler.SchedulerState,
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    candidates: dict[str, policies.Candidate],
    *,
    late: bool = False,
) -> policies.Candidate | None:
    """Lets the placement policy choose among the fitting candidates."""
    fitting = list_fitting(job, step, task, candidates)
    placement = state.policies.placement
    targets = [
        candidate
        for candidate in fitting
        if candidate.instance == task.migration_target
    ]
    return placement.choose(
        step, task, targets, deferred=late
    ) or placement.choose(step, task, fitting, deferred=late)


def choose_emptiest(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    candidates: dict[str, policies.Candidate],
) -> policies.Candidate | None:
    """Returns the emptiest fitting candidate, regardless of interference."""
    fitting = list_fitting(job, step, task, candidates)
    if step.is_suspect(task):
        fitting = [candidate for candidate in fitting if candidate.quiet]
    return max(
        fitting,
        key=capacity.estimate_idle_cores,
        default=None,
    )


def explain_miss(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    candidates: dict[str, policies.Candidate],
) -> waits.WaitStage:
    """Returns why no candidate was chosen for a task."""
    if list_fitting(job, step, task, candidates):
        if step.is_suspect(task):
            return waits.WaitStage.PROBATION
        return waits.WaitStage.POLICY
    if any(
        capacity.fits(candidate, job, step) for candidate in candidates.values()
    ):
        return waits.WaitStage.EXCLUSION
    return waits.WaitStage.CAPACITY


def list_fitting(
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
    candidates: dict[str, policies.Candidate],
) -> list[policies.Candidate]:
    """Returns the candidates that the task fits on and is not excluded from.

    The exclusions are ignored once the task is excluded from every candidate
    that it fits on when empty, because it would never run otherwise.
    """
    fitting = [
        candidate
        for candidate in candidates.values()
        if capacity.fits(candidate, job, step)
    ]
    not_excluded = [
        candidate
        for candidate in fitting
        if candidate.instance not in task.excluded_instances
    ]
    if not_excluded or not fitting:
        return not_excluded
    untried = [
        candidate
        for candidate in candidates.values()
        if candidate.instance not in task.excluded_instances
        and capacity.fits_when_empty(candidate, job, step)
    ]
    return [] if untried else fitting
