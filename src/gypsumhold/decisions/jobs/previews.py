"""Previews: where the tasks of a job would go now, and why.

The decisions are those of a plan, made on trial: nothing is reserved, stored or
sent. Only the entry that holds the queue can tell.
"""

import dataclasses
import datetime
from collections.abc import Iterable

from gypsumhold.decisions.jobs import (
    capacity,
    choices,
    gang_choices,
    lifecycle,
    ready_tasks,
    repetitions,
)
from gypsumhold.decisions.jobs.locality import gang_racks, near_waits
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    forecasts,
    policies,
    previews,
    progress,
    scheduler,
    specs,
)

MEAN_JITTER = 0.5
"""Stands for the random number that spreads retry delays."""

MAX_RUNNERS_UP = 3
"""Runners-up that a preview names for a step."""

WorkerObstacle = previews.WorkerObstacle


def preview_job(
    state: scheduler.SchedulerState,
    spec: specs.JobSpec,
    now: datetime.timedelta,
) -> previews.JobPreview | None:
    """Returns what a plan would do with a job that was submitted now.

    Timed jobs are treated as if their first repetition was due.

    Args:
        state: State of the scheduler.
        spec: The job; it passes the checks of submissions.
        now: Current time.

    Returns:
        The preview, or None if this entry does not hold the queue.
    """
    holder_state = state.holder_state
    if holder_state is None or state.role is not scheduler.Role.HOLDER:
        return None
    job = progress.Job(spec, now)
    repetitions.add_repetition(job)
    repetitions.open_steps(job)
    candidates = capacity.build_candidates(state, holder_state, now)
    context = _PreviewContext(state, holder_state, candidates, now)
    reports = [
        now - holder_state.agents[candidate.instance].last_report_at
        for candidate in candidates.values()
    ]
    return previews.JobPreview(
        holder_state.term,
        _decide_admission(state, spec, now).retry_delay,
        _count_jobs_before(state, holder_state, job, now),
        max(reports, default=datetime.timedelta(0)),
        tuple(_StepTrial(context, job, step).preview() for step in job.steps),
    )


def _decide_admission(
    state: scheduler.SchedulerState,
    spec: specs.JobSpec,
    now: datetime.timedelta,
) -> forecasts.AdmissionDecision:
    """Returns the decision about a submission, with the mean retry delay."""
    return state.policies.admission.decide(
        forecasts.AdmissionInputs(
            spec, state.forecast, now, state.shares, MEAN_JITTER
        )
    )


def _count_jobs_before(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    job: progress.Job,
    now: datetime.timedelta,
) -> int:
    """Returns how many jobs with a ready task the policy places earlier."""
    waiting = [
        other
        for other in holder_state.open_jobs.values()
        if not other.set_aside and ready_tasks.has_ready_task(other)
    ]
    return state.policies.ordering.sort([*waiting, job], now).index(job)


@dataclasses.dataclass(frozen=True, slots=True)
class _PreviewContext:
    """What the trials of all steps have in common.

    Attributes:
        state: State of the scheduler.
        holder_state: State of the held queue.
        candidates: Workers with their free capacity, by instance.
        now: Current time.
    """

    state: scheduler.SchedulerState
    holder_state: scheduler.HolderState
    candidates: choices.Candidates
    now: datetime.timedelta


class _StepTrial:
    """Places the tasks of one step on copies of the candidates."""

    def __init__(
        self, context: _PreviewContext, job: progress.Job, step: progress.Step
    ) -> None:
        self._context = context
        self._job = job
        self._step = step
        self._usable = capacity.select_sound(context.candidates, job, step)

    def preview(self) -> previews.StepPreview:
        """Returns what a plan would do with the step."""
        step, tasks = self._step, len(self._step.tasks)
        excluded = self._list_excluded()
        if not step.open:
            verdict = previews.StepVerdict.WAITS_FOR_STEPS
            return previews.StepPreview(
                step.number, verdict, tasks, excluded=excluded
            )
        chosen = self._choose_all()
        return previews.StepPreview(
            step.number,
            _judge(tasks, len(chosen)),
            tasks,
            self._count_by_worker(chosen),
            self._list_runners_up({item.instance for item in chosen}),
            excluded,
        )

    def _choose_all(self) -> list[policies.Candidate]:
        """Returns the candidates of the tasks until one finds none."""
        policy, job, step = (
            self._context.state.policies.placement,
            self._job,
            self._step,
        )
        if step.spec.gang:
            on_one_rack: list[policies.Candidate] = []
            if near_waits.is_faster_near(step.spec, self._get_slowdown()):
                on_one_rack = gang_racks.choose_on_one_rack(
                    policy, job, step, self._usable
                )
            return on_one_rack or gang_choices.choose_for_gang(
                policy, job, step, self._usable, starved=False
            )
        trials = choices.StepChoices(policy, job, step, dict(self._usable))
        chosen = []
        for index, task in enumerate(step.tasks):
            candidate = trials.choose(task)
            if candidate is None:
                break
            ref = lifecycle.build_task_ref(job, step, index)
            trials.reserve_on_trial(candidate, ref)
            chosen.append(self._context.candidates[str(candidate.instance)])
        return chosen

    def _get_slowdown(self) -> float:
        return self._context.state.options.off_rack_slowdown

    def _count_by_worker(
        self, chosen: Iterable[policies.Candidate]
    ) -> tuple[previews.WorkerChoice, ...]:
        """Returns the chosen workers with the number of their tasks."""
        counts: dict[ids.InstanceId, int] = {}
        for candidate in chosen:
            counts[candidate.instance] = counts.get(candidate.instance, 0) + 1
        return tuple(
            _describe(self._context.candidates[str(instance)], count)
            for instance, count in counts.items()
        )

    def _list_runners_up(
        self, chosen: set[ids.InstanceId]
    ) -> tuple[previews.WorkerChoice, ...]:
        """Returns the best workers for the first task that got none."""
        ranked = [
            (rank, candidate)
            for candidate in capacity.list_fitting(
                self._usable.values(), self._job, self._step
            )
            if candidate.instance not in chosen
            and (rank := self._rank(candidate)) is not None
        ]
        ranked.sort(key=lambda item: item[0], reverse=True)
        return tuple(
            _describe(candidate) for _, candidate in ranked[:MAX_RUNNERS_UP]
        )

    def _rank(self, candidate: policies.Candidate) -> policies.Rank | None:
        return self._context.state.policies.placement.rank(
            self._step, candidate, is_suspect=False, deferred=False
        )

    def _list_excluded(
        self,
    ) -> tuple[tuple[WorkerObstacle, tuple[ids.InstanceId, ...]], ...]:
        """Returns the workers that take no task of the step, by the reason."""
        excluded: dict[WorkerObstacle, list[ids.InstanceId]] = {}
        for instance, view in sorted(self._context.holder_state.agents.items()):
            obstacle = self._find_obstacle(view)
            if obstacle is not None:
                excluded.setdefault(obstacle, []).append(instance)
        return tuple(
            (obstacle, tuple(excluded[obstacle]))
            for obstacle in WorkerObstacle
            if obstacle in excluded
        )

    def _find_obstacle(
        self, view: scheduler.AgentView
    ) -> WorkerObstacle | None:
        """Returns why a worker takes no task of the step; None if it may."""
        obstacle = capacity.find_worker_obstacle(
            self._context.state, view, self._context.now
        )
        if obstacle is not None:
            return obstacle
        candidate = self._context.candidates.get(str(view.instance))
        if candidate is None:
            # A new holder places nothing before it has read the evacuations.
            return WorkerObstacle.EVACUATIONS_UNREAD
        obstacle = capacity.find_misfit(candidate, self._job, self._step)
        if obstacle is not None:
            return obstacle
        if str(view.instance) not in self._usable:
            return WorkerObstacle.QUARANTINE
        return WorkerObstacle.POLICY if self._rank(candidate) is None else None


def _judge(tasks: int, chosen: int) -> previews.StepVerdict:
    if not chosen:
        return previews.StepVerdict.WAITS_FOR_WORKER
    if chosen < tasks:
        return previews.StepVerdict.PARTLY_PLACED
    return previews.StepVerdict.PLACED


def _describe(
    candidate: policies.Candidate, tasks: int = 0
) -> previews.WorkerChoice:
    return previews.WorkerChoice(
        candidate.instance,
        capacity.find_rack(candidate),
        candidate.cpu_millis,
        candidate.memory_mb,
        tasks,
    )
