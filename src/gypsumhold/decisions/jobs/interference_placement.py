"""Where a task runs."""

from collections.abc import Sequence

from gypsumhold.decisions.jobs import capacity, interference
from gypsumhold.model.jobs import policies, progress, specs


class FirstFit(policies.Placement):
    """Baseline: the first worker with room."""

    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        candidates: Sequence[policies.Candidate],
        *,
        deferred: bool = False,
    ) -> policies.Candidate | None:
        """Returns the first room."""
        return candidates[0] if candidates else None


class InterferenceAware(policies.Placement):
    """Keeps fillers and serving tasks on different workers where it can.

    Some fillers slow some serving tasks down and are paced for that. So a
    filler goes first where it slows nobody down, serving tasks are packed by
    their image, and ordinary tasks fill their workers up. Each worker gets
    only as many fillers as can run at full speed.
    """

    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        candidates: Sequence[policies.Candidate],
        *,
        deferred: bool = False,
    ) -> policies.Candidate | None:
        """Returns the best room, or None if the task has to wait."""
        if step.spec.fills:
            candidates = [
                candidate
                for candidate in candidates
                if can_host_best_effort(step, candidate, deferred=deferred)
            ]
        if not candidates:
            return None
        return max(
            candidates, key=lambda candidate: _rank_candidate(step, candidate)
        )


def find_slowed_images(
    step: progress.Step, candidate: policies.Candidate
) -> list[specs.Image]:
    """Returns the serving images that a filler would slow down here."""
    filler = step.spec.image
    return [
        serving
        for serving in candidate.serving
        if interference.interferes(
            candidate.interference,
            serving,
            filler,
            interference.OPTIMISTIC_PRIOR,
        )
    ]


def can_host_best_effort(
    step: progress.Step,
    candidate: policies.Candidate,
    *,
    deferred: bool = False,
) -> bool:
    """Tells whether a filler can run at full speed at most times.

    Args:
        step: Step of the filler.
        candidate: The worker and its free capacity.
        deferred: Whether it gives way to others.
    """
    more = step.spec.cpu_millis / interference.CORE_MILLIS
    if capacity.measure_idle_cores(candidate, deferred=deferred) < more:
        return False
    return all(
        _measure_headroom_left(step, candidate, serving, deferred=deferred) >= 0
        for serving in find_slowed_images(step, candidate)
    )


def _measure_headroom_left(
    step: progress.Step,
    candidate: policies.Candidate,
    serving: specs.Image,
    *,
    deferred: bool,
) -> float:
    """Returns the headroom left to others beside one more filler."""
    spec = step.spec
    cores = capacity.count_best_effort_cores(candidate, deferred=deferred)
    more = spec.cpu_millis / interference.CORE_MILLIS
    cores[spec.image] = cores.get(spec.image, 0.0) + more
    allowed = candidate.allowances.get(serving, 0.0)
    return allowed - interference.estimate_taken(
        candidate.interference, serving, cores, interference.OPTIMISTIC_PRIOR
    )


def _rank_candidate(
    step: progress.Step, candidate: policies.Candidate
) -> tuple[float, ...]:
    spec = step.spec
    near = (
        bool(spec.data_rack) and capacity.find_rack(candidate) == spec.data_rack
    )
    serves = bool(candidate.serving)
    idle = capacity.measure_idle_cores(candidate)
    if spec.fills:
        slowed = find_slowed_images(step, candidate)
        left = min(
            (
                _measure_headroom_left(step, candidate, serving, deferred=False)
                for serving in slowed
            ),
            default=0.0,
        )
        # Workers without serving tasks are left to fillers that fit nowhere
        # else.
        return (near, not slowed, serves, left, idle)
    if spec.target_latency_ms:
        # Images of one kind together, so that fillers find workers on which
        # they slow nobody down.
        same = spec.image in candidate.serving
        best_effort_cores = sum(candidate.best_effort_cores.values())
        return (near, same, serves, -best_effort_cores, -candidate.cpu_millis)
    # The smallest gap that fits: larger ones are kept for serving tasks,
    # which otherwise spread to the workers of the fillers.
    return (near, serves, -candidate.cpu_millis, candidate.memory_mb)
