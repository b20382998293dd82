"""Gets a run to work of a job of which all runs stand still.

Best-effort runs are halted beside serving tasks that need their headroom, and
behind runs of other jobs; any run may hang with its worker. A boosted run goes
before all other best-effort runs of its worker, until it ends. Where even that
does not let it work, the task goes to the worker where it works best. Serving
tasks keep their headroom in any case.
"""

import dataclasses
from collections.abc import Iterator

from gypsumhold.decisions.jobs import (
    capacity,
    estimates,
    interference,
    job_placements,
    lifecycle,
    migrations,
    spreading,
)
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import (
    effects,
    policies,
    progress,
    records,
    scheduler,
    specs,
)

EffectList = list[base_effects.Effect]

GOOD_SHARE = 0.5
"""Share of full speed from which a run is not moved to a better worker."""

MIN_GAIN_SHARE = 0.1
"""Least share of full speed that a run has to gain by a move."""

MAX_BOOSTED_SHARE = 0.1
"""Share of the CPU of the fleet that boosted runs may request. Jobs that are
worth more for their work come first with the rest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A way to get a task to work.

    Attributes:
        step: Step of the task.
        index: Index of the task in the step.
        candidate: Worker on which it is to run.
        share: Expected share of full speed there.
        is_move: Whether a run has to be stopped for it.
    """

    step: progress.Step
    index: int
    candidate: policies.Candidate
    share: float
    is_move: bool

    @property
    def task(self) -> progress.Task:
        """Returns the task."""
        return self.step.tasks[self.index]


def boost(plan: job_placements.Plan, job: progress.Job) -> EffectList:
    """Boosts the task of a halted job that is expected to work best.

    Nothing is done while boosted runs have their share of the fleet. A ready
    task is left to this plan to place, on the worker that was chosen.
    """
    if not _has_share_left(plan, job):
        return []
    here = max(
        _list_present(plan, job), key=lambda option: option.share, default=None
    )
    if here is not None and here.share >= GOOD_SHARE:
        return _boost_in_place(plan, job, here)
    there = max(_list_others(plan, job), key=_rank_other, default=None)
    share_here = 0.0 if here is None else here.share
    if there is not None and there.share >= share_here + MIN_GAIN_SHARE:
        return _boost_elsewhere(plan, job, there)
    if here is not None and here.share > 0:
        return _boost_in_place(plan, job, here)
    return []


def _has_share_left(plan: job_placements.Plan, job: progress.Job) -> bool:
    """Tells whether boosted runs of other jobs leave some of their share."""
    candidates = plan.candidates.values()
    fleet_millis = sum(item.worker.cpu_millis for item in candidates)
    cores = sum(sum(item.boosted_cores.values()) for item in candidates)
    boosted_millis = cores * interference.CORE_MILLIS
    boosted_millis -= sum(
        step.spec.cpu_millis
        for step in job.steps
        if step.open and step.spec.fills
        for task in step.tasks
        if task.is_working() and task.boosted_at is not None
    )
    return boosted_millis < fleet_millis * MAX_BOOSTED_SHARE


def _list_halted(job: progress.Job) -> Iterator[tuple[progress.Step, int]]:
    """Yields the tasks of a job whose runs are halted."""
    for step in job.steps:
        if not step.open or step.spec.long_running:
            continue
        for index, task in enumerate(step.tasks):
            if task.is_running() and not task.is_working():
                yield step, index


def _list_present(
    plan: job_placements.Plan, job: progress.Job
) -> Iterator[Option]:
    """Yields the halted best-effort runs that a boost may get to work.

    One gets no more than what the best-effort runs there use now that would
    come after it. One that was boosted and is still halted gets nothing.
    """
    for step, index in _list_halted(job):
        task = step.tasks[index]
        candidate = plan.candidates.get(str(task.instance))
        if not step.spec.fills or candidate is None or task.boosted_at:
            continue
        used_millis = _measure_use_by_others(plan, task)
        share = min(
            estimate_share(step, candidate),
            used_millis / max(1, step.spec.cpu_millis),
        )
        yield Option(step, index, candidate, share, is_move=False)


def _measure_use_by_others(
    plan: job_placements.Plan, task: progress.Task
) -> float:
    """Returns the CPU that other best-effort runs beside a task use.

    Those that are boosted, or whose speed is not known yet, do not count; in
    thousandths of a core.
    """
    view = plan.holder_state.agents[task.instance]
    return sum(
        placed.step.spec.cpu_millis * placed.task.speed_share
        for placed in view.placed.values()
        if placed.step.spec.fills
        and placed.task is not task
        and placed.task.boosted_at is None
        and placed.task.is_working()
        and not placed.task.is_new()
    )


def _list_others(
    plan: job_placements.Plan, job: progress.Job
) -> Iterator[Option]:
    """Yields what can be done on other workers.

    That is the first ready task of each step, and the movable halted task of
    each step that has made the most progress.
    """
    chosen: dict[tuple[int, bool], tuple[progress.Step, int]] = {}
    for step in job.steps:
        ready = _find_ready(step)
        if ready is not None:
            chosen[id(step), False] = step, ready
    for step, index in _list_halted(job):
        if not _may_move(plan, step, step.tasks[index]):
            continue
        known = chosen.setdefault((id(step), True), (step, index))
        best = step.tasks[known[1]].progress_percent
        if step.tasks[index].progress_percent > best:
            chosen[id(step), True] = step, index
    for (_, is_move), (step, index) in chosen.items():
        for candidate in _list_targets(plan, job, step, index):
            share = estimate_share(step, candidate)
            yield Option(step, index, candidate, share, is_move)


def _find_ready(step: progress.Step) -> int | None:
    """Returns the first ready task of a step that may start on its own."""
    if not step.open or step.spec.gang or step.spec.long_running:
        return None
    for index, task in enumerate(step.tasks):
        if task.state is records.TaskState.READY and not task.is_suspect():
            return index
    return None


def _may_move(
    plan: job_placements.Plan, step: progress.Step, task: progress.Task
) -> bool:
    """Tells whether a halted run may be stopped to go on elsewhere.

    One that can't resume has to be halted for as long as it worked, so that
    it loses no more time by starting anew than it has lost by waiting.
    """
    if step.spec.gang or task.halted_since is None or task.is_suspect():
        return False
    if step.spec.checkpoints:
        return True
    policy = plan.state.policies.estimates
    worked = estimates.estimate_task(step, task, policy)
    worked *= task.progress_percent / estimates.PERCENT
    return plan.now >= task.halted_since + worked


def _list_targets(
    plan: job_placements.Plan,
    job: progress.Job,
    step: progress.Step,
    index: int,
) -> Iterator[policies.Candidate]:
    """Yields the sound workers that have room for a task.

    Not the one on which it runs, nor one on which it failed or was halted.
    """
    task = step.tasks[index]
    excluded = task.excluded_instances | task.halted_on
    if task.is_placed():
        excluded.add(task.instance)
    usable = capacity.select_sound(plan.candidates, job, step).values()
    for candidate in capacity.list_fitting(usable, job, step):
        if candidate.instance not in excluded:
            yield candidate


def estimate_share(step: progress.Step, candidate: policies.Candidate) -> float:
    """Returns the share of full speed of a boosted task on a worker.

    Only the boosted runs there come before it. An ordinary task has the CPU
    that it requests.
    """
    spec = step.spec
    if not spec.fills:
        return 1.0
    cores = spec.cpu_millis / interference.CORE_MILLIS
    idle = candidate.idle_millis / interference.CORE_MILLIS
    idle -= sum(candidate.boosted_cores.values())
    share = min(1.0, max(0.0, idle) / max(cores, MIN_GAIN_SHARE))
    for serving in spreading.find_slowed_images(step, candidate):
        left = candidate.allowances.get(serving, 0.0)
        left -= _estimate_taken(candidate, serving, candidate.boosted_cores)
        wanted = _estimate_taken(candidate, serving, {spec.image: cores})
        share = min(share, max(0.0, left) / max(wanted, interference.PRIOR))
    return share


def _estimate_taken(
    candidate: policies.Candidate,
    serving: specs.Image,
    cores: dict[specs.Image, float],
) -> float:
    return interference.estimate_taken(
        candidate.interference_estimates,
        serving,
        cores,
        interference.OPTIMISTIC_PRIOR,
    )


def _rank_other(option: Option) -> tuple[float, bool, bool, float]:
    """Returns the rank of an option elsewhere; the highest is best.

    At the same speed, a ready task goes before one that has to be stopped, and
    a worker that slows nobody down and has idle CPU before others.
    """
    candidate = option.candidate
    return (
        option.share,
        not option.is_move,
        not spreading.find_slowed_images(option.step, candidate),
        capacity.estimate_idle_cores(candidate, deferred=True),
    )


def _boost_in_place(
    plan: job_placements.Plan, job: progress.Job, option: Option
) -> EffectList:
    """Boosts a halted run, or its whole gang, where it is."""
    for task in option.step.list_unit(option.task):
        if not task.is_placed():
            continue
        task.boosted_at = plan.now
        candidate = plan.candidates.get(str(task.instance))
        if candidate is not None:
            capacity.add_boosted(candidate, option.step.spec)
    return [_log(plan, job, option, "in place")]


def _boost_elsewhere(
    plan: job_placements.Plan, job: progress.Job, option: Option
) -> EffectList:
    """Lets a task start on the chosen worker, once its run has stopped."""
    task = option.task
    ref = lifecycle.build_task_ref(job, option.step, option.index)
    placed = scheduler.PlacedTask(job, option.step, task)
    emitted: EffectList = [
        _log(plan, job, option, "move" if option.is_move else "another task")
    ]
    task.boosted_at = plan.now
    if option.is_move:
        task.halted_on.add(task.instance)
        emitted.append(
            migrations.start_migration(
                plan.holder_state, placed, ref, option.candidate
            )
        )
    else:
        task.migration_target = option.candidate.instance
    capacity.add_boosted(option.candidate, option.step.spec)
    return emitted


def _log(
    plan: job_placements.Plan,
    job: progress.Job,
    option: Option,
    outcome: str,
) -> base_effects.Effect:
    """Returns the line of an act for a job of which nothing works."""
    wait = plan.holder_state.run_waits.jobs[job.spec.job_id]
    ref = lifecycle.build_task_ref(job, option.step, option.index)
    inputs = (
        ("task", str(ref)),
        ("to", option.candidate.instance),
        ("expected", f"{option.share:.2f}"),
        ("percent", str(option.task.progress_percent)),
        ("waited_ms", str(lifecycle.to_ms(wait.measure(plan.now)))),
    )
    return effects.Log("boost", job.spec.job_id, outcome, inputs)
