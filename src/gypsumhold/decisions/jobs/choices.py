"""Choices of a worker for the ready tasks of one step during a plan."""

from gypsumhold.decisions.jobs import capacity
from gypsumhold.model import ids
from gypsumhold.model.jobs import policies, progress, runs, waits

Candidates = dict[str, policies.Candidate]


class StepChoices:
    """Chooses workers for the tasks of one step.

    The tasks of a step are alike, so which candidates they fit on and how these
    rank is kept, and worked out again only for a candidate that has changed.
    """

    def __init__(
        self,
        policy: policies.PlacementPolicy,
        job: progress.Job,
        step: progress.Step,
        candidates: Candidates,
    ) -> None:
        """Begins the choices among `candidates`."""
        self._policy = policy
        self._job = job
        self._step = step
        self._candidates = candidates
        self._fitting = {
            candidate.instance: candidate
            for candidate in capacity.list_fitting(
                candidates.values(), job, step
            )
        }
        self._ranks: dict[tuple[bool, bool], policies.Ranks] = {}

    def update(self, candidate: policies.Candidate) -> None:
        """Updates what is kept of a candidate that has less to offer now."""
        instance = candidate.instance
        if not capacity.fits(candidate, self._job, self._step):
            self._fitting.pop(instance, None)
        for ranks in self._ranks.values():
            ranks.pop(instance, None)

    def reserve_on_trial(
        self, candidate: policies.Candidate, ref: runs.TaskRef
    ) -> policies.Candidate:
        """Replaces a candidate by a copy on which a task is placed."""
        trial = capacity.copy_candidate(candidate)
        capacity.reserve(trial, self._step, ref)
        if trial.instance in self._fitting:
            self._fitting[trial.instance] = trial
        self.update(trial)
        return trial

    def choose(
        self, task: progress.Task, *, late: bool = False
    ) -> policies.Candidate | None:
        """Lets the placement policy choose among the fitting candidates.

        A boosted task goes to the worker that was chosen for it: the policy
        counts the best-effort tasks there, which come after it.
        """
        fitting = self.list_fitting(task)
        targets = [
            candidate
            for candidate in fitting
            if candidate.instance == task.migration_target
        ]
        if targets and task.boosted_at is not None:
            return targets[0]
        return self._choose_among(task, targets, late) or self._choose_among(
            task, fitting, late
        )

    def _choose_among(
        self,
        task: progress.Task,
        candidates: list[policies.Candidate],
        late: bool,
    ) -> policies.Candidate | None:
        if not candidates:
            return None
        key = (self._step.is_suspect(task), late)
        ranks = self._ranks.setdefault(key, {})
        return self._policy.choose(
            self._step, task, candidates, deferred=late, ranks=ranks
        )

    def choose_emptiest(self, task: progress.Task) -> policies.Candidate | None:
        """Returns the emptiest fitting candidate, whatever the policy says."""
        fitting = self.list_fitting(task)
        if self._step.is_suspect(task):
            fitting = [candidate for candidate in fitting if candidate.quiet]
        return max(
            fitting,
            key=capacity.estimate_idle_cores,
            default=None,
        )

    def explain_miss(self, task: progress.Task) -> waits.WaitStage:
        """Returns why no candidate was chosen for a task."""
        if self.list_fitting(task):
            if self._step.is_suspect(task):
                return waits.WaitStage.PROBATION
            return waits.WaitStage.POLICY
        if self._fitting:
            return waits.WaitStage.EXCLUSION
        return waits.WaitStage.CAPACITY

    def list_fitting(self, task: progress.Task) -> list[policies.Candidate]:
        """Returns the candidates that a task fits on and is not excluded from.

        The exclusions are ignored once the task is excluded from every
        candidate that it fits on when empty, because it would never run
        otherwise.
        """
        excluded = task.excluded_instances
        fitting = list(self._fitting.values())
        if not excluded:
            return fitting
        not_excluded = [
            candidate
            for candidate in fitting
            if candidate.instance not in excluded
        ]
        if not_excluded or not fitting:
            return not_excluded
        return [] if self._has_untried(excluded) else fitting

    def _has_untried(self, excluded: set[ids.InstanceId]) -> bool:
        """Tells whether a task would fit on an empty worker not yet tried."""
        return any(
            candidate.instance not in excluded
            and capacity.fits_when_empty(candidate, self._job, self._step)
            for candidate in self._candidates.values()
        )
