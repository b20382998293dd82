"""Gets a run to work of a job of which all runs stand still.

Best-effort runs are halted beside serving tasks that need their headroom, and
behind runs of other jobs; any run may hang with its worker. A boosted run goes
before all other best-effort runs of its worker, until it ends. Where even that
does not let it work, the task goes to the worker where it works best. Serving
tasks keep their headroom in any case.
"""

import dataclasses
import enum
from collections.abc import Iterator

from gypsumhold.decisions.jobs import (
    capacity,
    estimates,
    interference,
    job_placements,
    lifecycle,
    migrations,
    spreading,
    starvation,
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

MIN_CORES = 0.1
"""Least cores that a task is taken to request."""

MAX_BOOSTED_SHARE = 0.1
"""Share of the CPU of the fleet that boosted runs may request. Jobs that are
worth more for their work come first with the rest."""


class OptionKind(enum.Enum):
    """What is done with a task so that it works."""

    IN_PLACE = "in place"
    """Its run goes before the other best-effort runs of its worker."""

    ANOTHER_TASK = "another task"
    """It is ready and starts."""

    MOVE = "move"
    """Its run is stopped and goes on elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A way to get a task to work.

    Attributes:
        step: Step of the task.
        index: Index of the task in the step.
        candidate: Worker on which it is to run.
        share: Expected share of full speed there.
        kind: What is done with the task.
    """

    step: progress.Step
    index: int
    candidate: policies.Candidate
    share: float
    kind: OptionKind

    @property
    def task(self) -> progress.Task:
        """Returns the task."""
        return self.step.tasks[self.index]


def choose(plan: job_placements.Plan, job: progress.Job) -> Option | None:
    """Returns the way by which a task of a halted job is expected to work best.

    None if there is none, or while boosted runs have their share of the fleet.
    """
    if not _has_share_left(plan, job):
        return None
    in_place = max(
        _list_in_place(plan, job), key=lambda option: option.share, default=None
    )
    if in_place is not None and in_place.share >= GOOD_SHARE:
        return in_place
    elsewhere = max(
        _list_elsewhere(plan, job), key=_rank_elsewhere, default=None
    )
    share = 0.0 if in_place is None else in_place.share
    if elsewhere is not None and elsewhere.share >= share + MIN_GAIN_SHARE:
        return elsewhere
    return in_place if share > 0 else None


def apply(
    plan: job_placements.Plan, job: progress.Job, option: Option
) -> EffectList:
    """Boosts a task.

    A halted run goes on where it is, or is stopped to go on elsewhere. A ready
    task is left to this plan to place; `withdraw` takes it back.
    """
    emitted: EffectList = [_log(plan, job, option)]
    if option.kind is OptionKind.IN_PLACE:
        _boost_in_place(plan, option)
        return emitted
    task = option.task
    task.boosted_at = plan.now
    if option.kind is OptionKind.ANOTHER_TASK:
        task.migration_target = option.candidate.instance
    else:
        task.halted_on.add(task.instance)
        ref = lifecycle.build_task_ref(job, option.step, option.index)
        placed = scheduler.PlacedTask(job, option.step, task)
        emitted.append(
            migrations.start_migration(
                plan.holder_state, placed, ref, option.candidate
            )
        )
    capacity.add_boosted(option.candidate, option.step.spec)
    return emitted


def withdraw(option: Option) -> None:
    """Takes a boost back of a ready task that was not placed."""
    if not option.task.is_placed():
        option.task.boosted_at = option.task.migration_target = None


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


def _list_in_place(
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
        yield Option(step, index, candidate, share, OptionKind.IN_PLACE)


def _measure_use_by_others(
    plan: job_placements.Plan, task: progress.Task
) -> float:
    """Returns the CPU that a task can take from best-effort runs beside it.

    Those that are boosted, or whose speed is not known yet, give none up. What
    runs that were boosted a moment ago will take is left out: it can't be
    promised to several jobs. In thousandths of a core.
    """
    view = plan.holder_state.agents[task.instance]
    used = 0.0
    for placed in view.placed.values():
        other, cpu_millis = placed.task, placed.step.spec.cpu_millis
        if not placed.step.spec.fills or other is task:
            continue
        if other.boosted_at is None:
            if other.is_working() and not other.is_new():
                used += cpu_millis * other.speed_share
        elif (
            not other.is_working()
            and plan.now < other.boosted_at + starvation.BOOST_TIME
        ):
            used -= cpu_millis
    return max(0.0, used)


def _list_elsewhere(
    plan: job_placements.Plan, job: progress.Job
) -> Iterator[Option]:
    """Yields what can be done on other workers.

    That is the first ready task of each step, and the movable halted task of
    each step that has made the most progress.
    """
    chosen: dict[tuple[int, OptionKind], tuple[progress.Step, int]] = {}
    for step in job.steps:
        ready = _find_ready(step)
        if ready is not None:
            chosen[id(step), OptionKind.ANOTHER_TASK] = step, ready
    for step, index in _list_halted(job):
        if not _may_move(plan, job, step, step.tasks[index]):
            continue
        key = id(step), OptionKind.MOVE
        known = chosen.setdefault(key, (step, index))
        best = step.tasks[known[1]].progress_percent
        if step.tasks[index].progress_percent > best:
            chosen[key] = step, index
    for (_, kind), (step, index) in chosen.items():
        for candidate in _list_targets(plan, job, step, index):
            share = estimate_share(step, candidate)
            yield Option(step, index, candidate, share, kind)


def _find_ready(step: progress.Step) -> int | None:
    """Returns the first ready task of a step that may start on its own."""
    if not step.open or step.spec.gang or step.spec.long_running:
        return None
    for index, task in enumerate(step.tasks):
        if task.state is records.TaskState.READY and not task.is_suspect():
            return index
    return None


def _may_move(
    plan: job_placements.Plan,
    job: progress.Job,
    step: progress.Step,
    task: progress.Task,
) -> bool:
    """Tells whether a halted run may be stopped to go on elsewhere.

    One that can't resume has to be halted for as long as it worked, so that
    it loses no more time by starting anew than it has lost by waiting. It does
    not have to if the job would break its limit until then, but for a task that
    was moved before: it might be started anew again and again.
    """
    if step.spec.gang or task.halted_since is None or task.is_suspect():
        return False
    if step.spec.checkpoints:
        return True
    must_work = starvation.must_work(plan.holder_state, job, plan.now)
    if must_work and not task.halted_on:
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
    share = min(1.0, max(0.0, idle) / max(cores, MIN_CORES))
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


def _rank_elsewhere(option: Option) -> tuple[float, bool, bool, float]:
    """Returns the rank of an option elsewhere; the highest is best.

    At the same speed, a ready task goes before one that has to be stopped, and
    a worker that slows nobody down and has idle CPU before others.
    """
    candidate = option.candidate
    return (
        option.share,
        option.kind is OptionKind.ANOTHER_TASK,
        not spreading.find_slowed_images(option.step, candidate),
        capacity.estimate_idle_cores(candidate, deferred=True),
    )


def _boost_in_place(plan: job_placements.Plan, option: Option) -> None:
    """Boosts a halted run, or its whole gang, where it is."""
    for task in option.step.list_unit(option.task):
        if not task.is_placed():
            continue
        task.boosted_at = plan.now
        candidate = plan.candidates.get(str(task.instance))
        if candidate is not None:
            capacity.add_boosted(candidate, option.step.spec)


def _log(
    plan: job_placements.Plan, job: progress.Job, option: Option
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
    return effects.Log("boost", job.spec.job_id, option.kind.value, inputs)
