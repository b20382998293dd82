"""Choices of workers for the ready tasks of one job during a plan."""

from gypsumhold.decisions.jobs import capacity, choices
from gypsumhold.model.jobs import policies, progress


class JobChoices:
    """Chooses workers for the tasks of one job.

    Which candidates a step may use, and the choices among them, are kept for
    the other tasks of the step.
    """

    def __init__(
        self,
        policy: policies.PlacementPolicy,
        job: progress.Job,
        candidates: choices.Candidates,
    ) -> None:
        """Begins the choices among `candidates`."""
        self._policy = policy
        self._job = job
        self._candidates = candidates
        self._usable_by_step: dict[tuple[int, bool], choices.Candidates] = {}
        self._choices: dict[tuple[int, int], choices.StepChoices] = {}

    def get_usable(
        self, step: progress.Step, *, starved: bool
    ) -> choices.Candidates:
        """Returns the candidates for the tasks of a step.

        Args:
            step: The step.
            starved: Whether the job has been without a run for too long.
        """
        key = (id(step), starved)
        if key not in self._usable_by_step:
            candidates = self._candidates
            if not starved:
                candidates = capacity.select_sound(candidates, self._job, step)
            elif not step.spec.gang and not step.has_suspects():
                candidates = self._select_responsive(candidates)
            self._usable_by_step[key] = candidates
        return self._usable_by_step[key]

    def _select_responsive(
        self, candidates: choices.Candidates
    ) -> choices.Candidates:
        """Returns the candidates on which no start of the job is overdue.

        A starved job has no run, so its placed tasks have not started in time.
        """
        overdue = {
            str(task.instance)
            for step in self._job.steps
            if step.open
            for task in step.tasks
            if task.is_placed() and not task.is_running()
        }
        if not overdue:
            return candidates
        return {
            name: candidate
            for name, candidate in candidates.items()
            if name not in overdue
        }

    def get_step_choices(
        self, step: progress.Step, usable: choices.Candidates
    ) -> choices.StepChoices:
        """Returns the choices for the tasks of a step among candidates."""
        key = (id(step), id(usable))
        if key not in self._choices:
            self._choices[key] = choices.StepChoices(
                self._policy, self._job, step, usable
            )
        return self._choices[key]

    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        usable: choices.Candidates,
        *,
        urgent: bool,
    ) -> policies.Candidate | None:
        """Lets the policy choose; an urgent task may go against its advice.

        Workers on which the task has failed or was refused are left out.
        """
        step_choices = self.get_step_choices(step, usable)
        candidate = step_choices.choose(task, late=self._job.gives_way)
        if candidate is None and urgent:
            return step_choices.choose_emptiest(task)
        return candidate

    def update(self, candidate: policies.Candidate) -> None:
        """Updates what is kept of a candidate that has less to offer now."""
        for step_choices in self._choices.values():
            step_choices.update(candidate)

    def clear(self) -> None:
        """Drops the choices, after a change that `update` does not cover."""
        self._choices.clear()
