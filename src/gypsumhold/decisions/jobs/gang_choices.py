"""Choices of the workers for all tasks of a gang at once."""

from collections.abc import Sequence

from gypsumhold.decisions.jobs import capacity, choices, lifecycle
from gypsumhold.model.jobs import policies, progress


def choose_for_gang(
    policy: policies.PlacementPolicy,
    job: progress.Job,
    step: progress.Step,
    candidates: choices.Candidates,
    *,
    starved: bool,
) -> list[policies.Candidate]:
    """Returns a candidate for each task of a gang, or none at all.

    The placement policy is tried on copies of the candidates. A task of a
    colocated step goes to a rack already chosen if the policy chooses a
    candidate there, and to any rack otherwise.

    Args:
        policy: The placement policy.
        job: The job.
        step: The step whose tasks are the gang.
        candidates: Workers to choose from; they are not changed.
        starved: Whether the gang may go against the advice of the policy.
    """
    chosen: list[policies.Candidate] = []
    trials = dict(candidates)
    anywhere = choices.StepChoices(policy, job, step, trials)
    for index, task in enumerate(step.tasks):
        candidate = None
        if step.spec.colocated and chosen:
            same_rack = _select_racks(trials, chosen)
            in_rack = choices.StepChoices(policy, job, step, same_rack)
            candidate = _choose(in_rack, task, starved=starved)
        candidate = candidate or _choose(anywhere, task, starved=starved)
        if candidate is None:
            return []
        ref = lifecycle.build_task_ref(job, step, index)
        name = str(candidate.instance)
        trials[name] = anywhere.reserve_on_trial(candidate, ref)
        chosen.append(candidates[name])
    return chosen


def _select_racks(
    candidates: choices.Candidates, chosen: Sequence[policies.Candidate]
) -> choices.Candidates:
    """Returns the candidates in the racks of the chosen ones."""
    racks = {capacity.find_rack(candidate) for candidate in chosen}
    return {
        name: candidate
        for name, candidate in candidates.items()
        if capacity.find_rack(candidate) in racks
    }


def _choose(
    step_choices: choices.StepChoices, task: progress.Task, *, starved: bool
) -> policies.Candidate | None:
    """Chooses for one task; if starved, against the policy too."""
    candidate = step_choices.choose(task)
    if candidate is None and starved:
        return step_choices.choose_emptiest(task)
    return candidate
