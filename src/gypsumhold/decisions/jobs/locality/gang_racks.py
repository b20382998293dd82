"""Chooses a rack on which the whole of a gang fits."""

from gypsumhold.decisions.jobs import capacity, choices, gang_choices
from gypsumhold.decisions.jobs.locality import distances, rack_forecasts
from gypsumhold.model import ids, resources
from gypsumhold.model.jobs import policies, progress


def choose_on_one_rack(
    policy: policies.PlacementPolicy,
    job: progress.Job,
    step: progress.Step,
    candidates: choices.Candidates,
) -> list[policies.Candidate]:
    """Returns candidates of one near rack for all tasks, or none at all.

    Of the racks with enough places, the one with the fewest is taken, so that
    larger ones are kept for larger gangs.

    Args:
        policy: The placement policy.
        job: The job.
        step: The step whose tasks are the gang.
        candidates: Workers to choose from; they are not changed.
    """
    places = _count_places(job, step, candidates)
    for rack in sorted(places, key=lambda rack: (places[rack], rack)):
        is_near = distances.are_near(step.spec, {rack})
        if places[rack] < len(step.tasks) or not is_near:
            continue
        on_rack = {
            name: candidate
            for name, candidate in candidates.items()
            if capacity.find_rack(candidate) == rack
        }
        chosen = gang_choices.choose_for_gang(
            policy, job, step, on_rack, starved=False
        )
        if chosen:
            return chosen
    return []


def _count_places(
    job: progress.Job, step: progress.Step, candidates: choices.Candidates
) -> dict[ids.Rack, int]:
    """Returns how many tasks of a step fit on each rack now."""
    places: dict[ids.Rack, int] = {}
    limit = step.spec.max_per_worker or len(step.tasks)
    for candidate in capacity.list_fitting(candidates.values(), job, step):
        # The CPU of best-effort tasks is left to the placement policy.
        room = resources.Resources(
            candidate.worker.cpu_millis
            if step.spec.fills
            else candidate.cpu_millis,
            candidate.memory_mb,
            candidate.accelerators,
        )
        rack = ids.Rack(capacity.find_rack(candidate))
        fitting = rack_forecasts.count_places(room, step.spec)
        places[rack] = places.get(rack, 0) + min(limit, fitting)
    return places
