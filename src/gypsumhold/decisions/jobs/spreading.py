"""Policies that choose the worker of a task."""

from gypsumhold.decisions.jobs import capacity, interference
from gypsumhold.model.jobs import policies, progress, specs


class FirstFit(policies.PlacementPolicy):
    """Baseline: the first worker with enough free capacity."""

    def rank(
        self,
        step: progress.Step,
        candidate: policies.Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> policies.Rank | None:
        """Returns the same rank for all candidates."""
        return ()


class InterferenceAware(policies.PlacementPolicy):
    """Keeps best-effort tasks off workers whose serving tasks they slow down.

    Some best-effort images slow some serving images down and are throttled in
    return. A best-effort task therefore prefers a worker where it slows no
    serving task down, serving tasks are packed by image, and ordinary tasks
    take the smallest gap that fits. Each worker gets only as many best-effort
    tasks as can run at full speed.
    """

    def rank(
        self,
        step: progress.Step,
        candidate: policies.Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> policies.Rank | None:
        """Returns None where a best-effort task would not run at full speed."""
        if step.spec.fills and not can_host_best_effort(
            step, candidate, deferred=deferred
        ):
            return None
        return _rank_candidate(step, candidate)


def find_slowed_images(
    step: progress.Step, candidate: policies.Candidate
) -> list[specs.Image]:
    """Returns the serving images here that a best-effort task slows down."""
    best_effort = step.spec.image
    return [
        serving
        for serving in candidate.serving
        if interference.interferes(
            candidate.interference_estimates,
            serving,
            best_effort,
            interference.OPTIMISTIC_PRIOR,
        )
    ]


def can_host_best_effort(
    step: progress.Step,
    candidate: policies.Candidate,
    *,
    deferred: bool = False,
) -> bool:
    """Tells whether a best-effort task can run at full speed most of the time.

    Args:
        step: Step of the task.
        candidate: The worker and its free capacity.
        deferred: Whether the task gives way to others.
    """
    added_cores = step.spec.cpu_millis / interference.CORE_MILLIS
    if capacity.estimate_idle_cores(candidate, deferred=deferred) < added_cores:
        return False
    return all(
        _estimate_headroom_left(step, candidate, serving, deferred=deferred)
        >= 0
        for serving in find_slowed_images(step, candidate)
    )


def _estimate_headroom_left(
    step: progress.Step,
    candidate: policies.Candidate,
    serving: specs.Image,
    *,
    deferred: bool,
) -> float:
    """Returns the allowance that is left with one more best-effort task."""
    spec = step.spec
    cores = capacity.count_best_effort_cores(candidate, deferred=deferred)
    added_cores = spec.cpu_millis / interference.CORE_MILLIS
    cores[spec.image] = cores.get(spec.image, 0.0) + added_cores
    allowance = candidate.allowances.get(serving, 0.0)
    return allowance - interference.estimate_taken(
        candidate.interference_estimates,
        serving,
        cores,
        interference.OPTIMISTIC_PRIOR,
    )


def _rank_candidate(
    step: progress.Step, candidate: policies.Candidate
) -> policies.Rank:
    """Returns the rank of a candidate; the highest rank is chosen."""
    spec = step.spec
    on_data_rack = (
        bool(spec.data_rack) and capacity.find_rack(candidate) == spec.data_rack
    )
    has_serving = bool(candidate.serving)
    if spec.fills:
        slowed_images = find_slowed_images(step, candidate)
        headroom_left = min(
            (
                _estimate_headroom_left(
                    step, candidate, serving, deferred=False
                )
                for serving in slowed_images
            ),
            default=0.0,
        )
        # Workers without serving tasks are kept for best-effort tasks that fit
        # nowhere else.
        return (
            on_data_rack,
            not slowed_images,
            not candidate.awaited,
            has_serving,
            headroom_left,
            capacity.estimate_idle_cores(candidate),
        )
    if spec.target_latency_ms:
        # Packs serving tasks by image, so that best-effort tasks find workers
        # on which they slow no serving task down.
        has_image = spec.image in candidate.serving
        best_effort_cores = sum(candidate.best_effort_cores.values())
        return (
            on_data_rack,
            has_image,
            has_serving,
            -best_effort_cores,
            -candidate.cpu_millis,
        )
    # Takes the smallest gap that fits. Larger gaps are kept for serving tasks,
    # which otherwise spread to the workers of best-effort tasks. The smallest
    # ones are on a rack in demand, where tasks may wait for them.
    return (
        on_data_rack,
        not candidate.awaited,
        has_serving,
        -candidate.cpu_millis,
        candidate.memory_mb,
    )
