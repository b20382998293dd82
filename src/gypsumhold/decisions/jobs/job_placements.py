"""Places the ready tasks of one job during a plan."""

import dataclasses
import datetime

from gypsumhold.decisions.jobs import (
    capacity,
    choices,
    evacuation_waits,
    gang_choices,
    job_choices,
    lifecycle,
    probations,
    ready_tasks,
    record_sizes,
    starvation,
    unmet_requests,
    waits,
)
from gypsumhold.decisions.jobs.locality import (
    distances,
    gang_racks,
    near_waits,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    policies,
    progress,
    records,
    runs,
    scheduler,
)
from gypsumhold.model.jobs.waits import WaitStage

EffectList = list[base_effects.Effect]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the placements of one plan have in common.

    Attributes:
        state: State of the scheduler.
        holder_state: State of the held queue.
        candidates: Workers with their free capacity, by instance.
        now: When the plan is made.
        near: The waits for near places.
        unmet: Requests for which no candidate has capacity.
    """

    state: scheduler.SchedulerState
    holder_state: scheduler.HolderState
    candidates: choices.Candidates
    now: datetime.timedelta
    near: near_waits.NearPlaces
    unmet: unmet_requests.UnmetRequests


@dataclasses.dataclass(slots=True)
class Placement:
    """What became of the ready tasks of one job.

    Attributes:
        emitted: The log lines of the placements.
        placed: Number of placed tasks.
        misses: Number of best-effort tasks without a candidate.
    """

    emitted: EffectList = dataclasses.field(default_factory=list)
    placed: int = 0
    misses: int = 0


def place_tasks(
    plan: Plan,
    job: progress.Job,
    placement: Placement,
    most: int,
    *,
    starved: bool,
) -> None:
    """Places the ready tasks of one job as far as the capacity allows.

    A starved job gets one task placed regardless of the placement policy, and
    a migrating task is placed in any case.

    Args:
        plan: The plan.
        job: The job.
        placement: Records what is placed.
        most: Number of tasks after which no further task or gang is placed.
        starved: Whether the job has been without a run for too long.
    """
    _JobPlacement(plan, job, placement, starved).place_tasks(most)


class _JobPlacement:
    """Places the ready tasks of one job."""

    def __init__(
        self,
        plan: Plan,
        job: progress.Job,
        placement: Placement,
        starved: bool,
    ) -> None:
        self._placement = placement
        self._plan = plan
        self._job = job
        self._starved = starved
        self._had_placed_task: bool | None = None
        self._gang_obstacle = WaitStage.GANG
        self._skipped_steps: dict[int, WaitStage] = {}
        self._choices = job_choices.JobChoices(
            plan.state.policies.placement, job, plan.candidates
        )
        self._budget = record_sizes.PlacementBudget(
            job, plan.state.options.row_bytes
        )

    def place_tasks(self, most: int) -> None:
        """Places ready tasks until so many are placed."""
        for step, index in list(ready_tasks.iterate_ready_tasks(self._job)):
            if self._placement.placed >= most:
                break
            if id(step) in self._skipped_steps:
                self._note_skipped(step, index)
                continue
            if self._is_unmet(step, index):
                self._skipped_steps[id(step)] = WaitStage.CAPACITY
            obstacle = self._find_obstacle(step, index)
            if obstacle is not None:
                self._note_obstacle(step, index, obstacle)
            elif step.spec.gang:
                self._place_gang_once(step, index)
            else:
                self._place_single_task(step, index)

    def _find_obstacle(
        self, step: progress.Step, index: int
    ) -> WaitStage | None:
        """Returns why no worker is looked for; None if one is."""
        if not self._budget.allows(step):
            return WaitStage.ROW_SIZE
        if not probations.may_start(step, index, self._plan.candidates):
            return WaitStage.PROBATION
        return self._skipped_steps.get(id(step))

    def _is_unmet(self, step: progress.Step, index: int) -> bool:
        """Tells whether it is known that no candidate has capacity.

        A task that migrates has its own capacity reserved.
        """
        if step.spec.gang or step.tasks[index].migrating:
            return False
        usable = self._choices.get_usable(step, starved=self._starved)
        is_any_usable = usable is self._plan.candidates
        return is_any_usable and self._plan.unmet.covers(self._job, step)

    def _note_obstacle(
        self, step: progress.Step, index: int, obstacle: WaitStage
    ) -> None:
        """Records why a ready task was not placed."""
        task_ref: runs.TaskRef | None = None
        if step.spec.long_running:
            task_ref = lifecycle.build_task_ref(self._job, step, index)
        waits.note_obstacle(
            self._plan.holder_state, self._job, obstacle, task_ref
        )

    def _note_skipped(self, step: progress.Step, index: int) -> None:
        """Records why a task of a skipped step waits, if its wait counts."""
        if step.spec.long_running:
            self._note_obstacle(step, index, self._skipped_steps[id(step)])

    def _place_gang_once(self, step: progress.Step, index: int) -> None:
        """Places a gang if all of its tasks fit; its other tasks are skipped.

        Args:
            step: Step of the gang.
            index: Its first ready task.
        """
        usable = self._choices.get_usable(step, starved=self._starved)
        self._skipped_steps[id(step)] = WaitStage.GANG
        self._gang_obstacle = WaitStage.GANG
        if not self._budget.allows(step, len(step.tasks)):
            self._note_obstacle(step, index, WaitStage.ROW_SIZE)
            return
        placements = self._place_gang(step, usable)
        may_run_anywhere = self._starved and not step.is_suspect(step.tasks[0])
        if not placements and may_run_anywhere:
            for task in step.tasks:
                task.excluded_instances.clear()
            placements = self._place_gang(step, usable)
        if placements:
            self._starved = False
        self._placement.emitted += placements
        self._budget.take(step, len(placements))
        if not placements:
            self._reserve_worker(step, step.tasks[index])
            self._note_obstacle(step, index, self._gang_obstacle)

    def _place_single_task(self, step: progress.Step, index: int) -> None:
        """Places one task that is not of a gang, if a worker has room."""
        task = step.tasks[index]
        usable = self._choices.get_usable(step, starved=self._starved)
        is_suspect = step.is_suspect(task)
        # A task that was stopped for a migration had a worker before.
        is_urgent = self._starved or task.migrating
        candidate = self._choices.choose(step, task, usable, urgent=is_urgent)
        if candidate is None and (
            (self._starved and not is_suspect) or self._is_blocked(step, index)
        ):
            # No other worker has room: it may run anywhere.
            task.excluded_instances.clear()
            usable = self._plan.candidates
            candidate = self._choices.choose(
                step, task, usable, urgent=is_urgent
            )
        if candidate is None:
            self._handle_miss(step, index, usable)
            return
        if not is_urgent and self._waits_for_rack(step, index, candidate):
            self._note_obstacle(step, index, WaitStage.NEAR_PLACE)
            return
        self._starved = False
        task.is_only_run = not self._has_other_run()
        self._budget.take(step)
        self._placement.emitted.append(self._place_task(step, index, candidate))

    def _has_other_run(self) -> bool:
        """Tells whether a task of the job was placed earlier."""
        if self._placement.placed:
            return True
        if self._had_placed_task is None:
            self._had_placed_task = self._job.has_placed_task()
        return self._had_placed_task

    def _waits_for_rack(
        self, step: progress.Step, index: int, candidate: policies.Candidate
    ) -> bool:
        """Tells whether a task waits for a rack instead of a candidate."""
        task, near = step.tasks[index], self._plan.near
        if not near.prefers_rack(step, task):
            return False
        if distances.are_near(step.spec, distances.list_racks([candidate])):
            return False
        ref = lifecycle.build_task_ref(self._job, step, index)
        placed = scheduler.PlacedTask(self._job, step, task)
        return near.weigh_task(placed, ref)

    def _handle_miss(
        self, step: progress.Step, index: int, usable: choices.Candidates
    ) -> None:
        """Records that no candidate was chosen for a task."""
        task = step.tasks[index]
        self._reserve_worker(step, task)
        step_choices = self._choices.get_step_choices(step, usable)
        obstacle = step_choices.explain_miss(task)
        is_any_usable = usable is self._plan.candidates
        if obstacle is WaitStage.CAPACITY and is_any_usable:
            self._plan.unmet.add(self._job, step)
        if obstacle is WaitStage.CAPACITY and evacuation_waits.is_obstacle(
            self._plan.state,
            self._plan.holder_state,
            self._job,
            step,
            self._plan.candidates,
        ):
            obstacle = WaitStage.EVACUATION
        if waits.is_waiting(self._plan.holder_state, self._job):
            self._note_obstacle(step, index, obstacle)
        self._placement.misses += step.spec.fills and not step.is_suspect(task)
        task.blocked_since = task.blocked_since or self._plan.now
        # Where a task without exclusions finds no candidate, the other tasks of
        # its step find none either.
        if not task.excluded_instances:
            self._skipped_steps[id(step)] = obstacle

    def _reserve_worker(self, step: progress.Step, task: progress.Task) -> None:
        """Keeps a worker free for a task if it is a suspect."""
        if not step.is_suspect(task):
            return
        plan = self._plan
        step_choices = self._choices.get_step_choices(step, plan.candidates)
        probations.reserve_worker(
            plan.holder_state,
            plan.candidates,
            step_choices.list_fitting(task),
            plan.now,
        )
        # Which worker is reserved shows only in the candidates.
        self._choices.clear()

    def _is_blocked(self, step: progress.Step, index: int) -> bool:
        """Tells whether a task has had no worker for too long.

        This is for long-running tasks and for those under which workers
        crashed. Tasks of other kinds wait while the rest of their job runs, so
        that their attempts are not used up on the same workers.
        """
        task = step.tasks[index]
        holder_state, now = self._plan.holder_state, self._plan.now
        if step.spec.long_running:
            ref = lifecycle.build_task_ref(self._job, step, index)
            return starvation.is_long_running_starved(holder_state, ref, now)
        return (
            step.is_suspect(task)
            and task.blocked_since is not None
            and now - task.blocked_since >= starvation.MAX_PLACEMENT_DELAY
        )

    def _place_task(
        self, step: progress.Step, index: int, candidate: policies.Candidate
    ) -> base_effects.Effect:
        """Places a task and reserves its capacity; returns the log line."""
        job, now = self._job, self._plan.now
        ref = lifecycle.build_task_ref(job, step, index)
        task = step.tasks[index]
        free_millis = candidate.cpu_millis
        capacity.reserve(candidate, step, ref, deferred=job.gives_way)
        probations.record_start(candidate, step, task)
        self._choices.update(candidate)
        view = self._plan.holder_state.agents[candidate.instance]
        placed = scheduler.PlacedTask(job, step, task)
        lifecycle.place_task(self._plan.holder_state, view, placed, ref, now)
        starvation.note_placement(self._plan.holder_state, job, now)
        if not step.spec.gang:
            racks = distances.list_racks([candidate])
            self._plan.near.note_placement(ref, step.spec, racks)
            self._plan.near.measure_slowdown(step, [task])
        self._placement.placed += 1
        filler_cores = sum(candidate.best_effort_cores.values())
        return effects.Log(
            "place",
            job.spec.job_id,
            str(candidate.instance),
            (
                ("task", str(ref)),
                ("run", str(task.run)),
                ("free_millis", str(free_millis)),
                ("filler_cores", f"{filler_cores:.1f}"),
                ("report_ms", str(lifecycle.to_ms(now - view.last_report_at))),
            ),
        )

    def _place_gang(
        self, step: progress.Step, candidates: choices.Candidates
    ) -> EffectList:
        """Places all tasks of a gang with the same run number, or none of them.

        Nothing is placed unless every task is ready and a candidate is chosen
        for each. All tasks start from the same checkpoint.

        Returns:
            A log line for each placed task; no effects if none was placed.
        """
        ready = records.TaskState.READY
        if any(task.state is not ready for task in step.tasks):
            return []
        chosen = self._choose_for_gang(step, candidates)
        if not chosen:
            return []
        ref = lifecycle.build_task_ref(self._job, step, 0)
        racks = distances.list_racks(chosen)
        self._plan.near.note_placement(ref, step.spec, racks)
        highest_run = max(task.run for task in step.tasks)
        saved = next(
            (task.checkpoint for task in step.tasks if task.checkpoint), None
        )
        emitted = []
        for index, candidate in enumerate(chosen):
            step.tasks[index].run = highest_run
            if saved is not None:
                step.tasks[index].checkpoint = saved
            emitted.append(self._place_task(step, index, candidate))
        self._plan.near.measure_slowdown(step, step.tasks)
        return emitted

    def _choose_for_gang(
        self, step: progress.Step, candidates: choices.Candidates
    ) -> list[policies.Candidate]:
        """Returns a candidate for each task of a gang, or none at all.

        A gang that is faster on one rack takes one on which all of it fits. If
        there is none, it waits for one or is split.
        """
        placement = self._plan.state.policies.placement
        near, job = self._plan.near, self._job
        task = step.tasks[0]
        is_migrating = any(member.migrating for member in step.tasks)
        prefers_rack = near.prefers_rack(step, task) and not is_migrating
        if prefers_rack:
            chosen = gang_racks.choose_on_one_rack(
                placement, job, step, candidates
            )
            if chosen:
                return chosen
        chosen = gang_choices.choose_for_gang(
            placement, job, step, candidates, starved=self._starved
        )
        if not (prefers_rack and chosen) or self._starved:
            return chosen
        if distances.are_near(step.spec, distances.list_racks(chosen)):
            return chosen
        ref = lifecycle.build_task_ref(job, step, 0)
        placed = scheduler.PlacedTask(job, step, task)
        if not near.weigh_gang(placed, ref):
            return chosen
        self._gang_obstacle = WaitStage.NEAR_PLACE
        return []
