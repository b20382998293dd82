"""Free capacity of workers while a plan is made."""

import dataclasses
import datetime
from collections.abc import Iterable, Sequence

from gypsumhold.decisions.jobs import (
    evacuations,
    interference,
    probations,
    throttling,
)
from gypsumhold.model import ids
from gypsumhold.model.jobs import policies, progress, runs, scheduler, specs
from gypsumhold.model.jobs.evacuations import Knowledge
from gypsumhold.model.jobs.previews import WorkerObstacle

MIN_USE_PERCENT = 40
"""A running best-effort task counts as using at least this percent of its CPU
request."""

MIN_SOUND_SHARE = 0.5
"""Least share of the usable instances that are not in quarantine; quarantines
are ignored below it."""

RACK_PREFIX = "r"
"""Prefix of rack labels, which also contain a hyphen; the other labels name
the kind of the worker."""


def build_candidates(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> dict[str, policies.Candidate]:
    """Returns the free capacity of each instance that may get new runs.

    The candidates are kept between plans: a plan reserves what it places, and
    the capacity is counted anew only where something else has changed.
    """
    candidates: dict[str, policies.Candidate] = {}
    if holder_state.evacuation_knowledge is Knowledge.UNREAD:
        return candidates
    usable = [
        view
        for view in holder_state.agents.values()
        if _is_usable(state, view, now)
    ]
    quarantined = _list_quarantined(usable, now)
    for view in usable:
        if view.candidate is None:
            view.candidate = _build_candidate(holder_state, view)
        view.candidate.quarantined = view.instance in quarantined
        view.candidate.interference_estimates = (
            holder_state.optimistic_estimates
        )
        probations.refresh(view, view.candidate, now)
        candidates[str(view.instance)] = view.candidate
    return candidates


def _list_quarantined(
    usable: Sequence[scheduler.AgentView], now: datetime.timedelta
) -> set[ids.InstanceId]:
    """Returns the usable instances that are in quarantine.

    Where jobs fail on most workers, the jobs are at fault: the quarantines are
    ignored, so that other jobs need not wait for their end.
    """
    quarantined = {
        view.instance for view in usable if now < view.quarantined_until
    }
    sound = len(usable) - len(quarantined)
    return quarantined if sound >= len(usable) * MIN_SOUND_SHARE else set()


def has_quarantine(candidates: dict[str, policies.Candidate]) -> bool:
    """Tells whether a candidate is in quarantine."""
    return any(candidate.quarantined for candidate in candidates.values())


def select_sound(
    candidates: dict[str, policies.Candidate],
    job: progress.Job,
    step: progress.Step,
) -> dict[str, policies.Candidate]:
    """Returns the candidates that are not in quarantine.

    Returns all if none of these has the capacity for a task even when empty.
    """
    if not has_quarantine(candidates):
        return candidates
    sound = {
        name: candidate
        for name, candidate in candidates.items()
        if not candidate.quarantined
    }
    if any(fits_when_empty(item, job, step) for item in sound.values()):
        return sound
    return candidates


def _is_usable(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> bool:
    """Tells whether an instance may get new runs, apart from a quarantine."""
    return find_worker_obstacle(state, view, now) is None


def find_worker_obstacle(
    state: scheduler.SchedulerState,
    view: scheduler.AgentView,
    now: datetime.timedelta,
) -> WorkerObstacle | None:
    """Returns why an instance gets no new runs, apart from a quarantine."""
    report = view.report
    if report.worker is None:
        return WorkerObstacle.NO_WORKER
    if report.worker.state is not runs.WorkerState.READY:
        return WorkerObstacle.DRAINING
    if evacuations.is_evacuated(state, report.worker):
        return WorkerObstacle.EVACUATED
    if not report.answering:
        return WorkerObstacle.SILENT
    if report.runs_ended:
        return WorkerObstacle.LEASES_EXPIRED
    if now >= view.last_report_at + state.options.report_timeout:
        return WorkerObstacle.NO_REPORT
    return None


def _build_candidate(
    holder_state: scheduler.HolderState, view: scheduler.AgentView
) -> policies.Candidate:
    """Returns the capacity of a worker minus that of its placed tasks.

    Runs that the worker still lists although they are no longer placed there
    hold their capacity until they have ended, and those that may begin once
    more by a late start until they can't.
    """
    worker = view.report.worker
    assert worker is not None
    candidate = policies.Candidate(
        view.instance,
        worker,
        worker.cpu_millis,
        worker.memory_mb,
        worker.accelerators,
        idle_millis=int(worker.cpu_millis * (1 - throttling.CPU_RESERVE)),
        allowances={
            allowance.serving: allowance.headroom
            for allowance in view.report.allowances
        },
    )
    rows = {row.ref: row for row in view.report.rows}
    for ref, placed in view.placed.items():
        late = placed.step.spec.fills and placed.job.gives_way
        row = rows.get(runs.RunRef(ref, placed.task.run))
        usage = None if row is None else _read_usage(row)
        reserve(candidate, placed.step, ref, deferred=late, usage=usage)
        _count_boosted(candidate, placed)
        if row is not None:
            _count_running(candidate, placed.step.spec, row)
    for ref, placed in view.expected.items():
        reserve(candidate, placed.step, ref, deferred=placed.job.gives_way)
        _count_boosted(candidate, placed)
    for row in view.report.rows:
        if not _is_placed(view, row.ref):
            _reserve_former_run(holder_state, candidate, row)
    for start in view.report.late_starts:
        if start.ref not in rows and not _is_placed(view, start.ref):
            _reserve_former_run(holder_state, candidate, runs.RunRow(start.ref))
    return candidate


def _is_placed(view: scheduler.AgentView, ref: runs.RunRef) -> bool:
    """Tells whether a run is the present one of a task placed at an agent."""
    placed = view.placed.get(ref.task)
    return placed is not None and placed.task.run == ref.run


def _reserve_former_run(
    holder_state: scheduler.HolderState,
    candidate: policies.Candidate,
    row: runs.RunRow,
) -> None:
    """Subtracts the request of a run that was released, if its job is known.

    A holder that has read a closed job does not know where its tasks ran.
    """
    ref = row.ref.task
    job = holder_state.jobs.get(ref.job_id)
    if job is None or not 0 <= ref.step < len(job.spec.steps):
        return
    spec = job.spec.steps[ref.step]
    step = progress.Step(spec, ref.repetition, ref.step, [])
    reserve(candidate, step, ref, usage=_read_usage(row))
    _count_running(candidate, spec, row)


def _count_boosted(
    candidate: policies.Candidate, placed: scheduler.PlacedTask
) -> None:
    """Counts a boosted task, but for one that stands still all the same."""
    task = placed.task
    stands_still = task.is_running() and not task.is_working()
    if task.boosted_at is not None and not stands_still:
        add_boosted(candidate, placed.step.spec)


def add_boosted(candidate: policies.Candidate, spec: specs.StepSpec) -> None:
    """Counts a task that goes before all other best-effort tasks."""
    if spec.fills:
        _add_cores(candidate.boosted_cores, spec)


def _read_usage(row: runs.RunRow) -> int | None:
    """Returns the CPU that a listed run uses; None if that is not known."""
    return None if row.usage == runs.UNKNOWN_USAGE else row.usage


def _count_running(
    candidate: policies.Candidate, spec: specs.StepSpec, row: runs.RunRow
) -> None:
    """Adds the request of a listed run if the worker has begun it."""
    if row.age_ms == runs.UNKNOWN_AGE:
        return
    candidate.running_millis += 0 if spec.fills else spec.cpu_millis
    candidate.running_mb += spec.memory_mb


def reserve(
    candidate: policies.Candidate,
    step: progress.Step,
    ref: runs.TaskRef,
    *,
    deferred: bool = False,
    usage: int | None = None,
) -> None:
    """Subtracts the request of one task from the free capacity.

    Args:
        candidate: The worker and its free capacity.
        step: Step of the task.
        ref: Reference to the task.
        deferred: Whether the task is best-effort and gives way to others.
        usage: CPU that the task was last reported to use, in thousandths of a
            core; None if it is not running.
    """
    spec = step.spec
    candidate.memory_mb -= spec.memory_mb
    candidate.accelerators -= spec.accelerators
    if spec.fills:
        used_millis = spec.cpu_millis
        if usage is not None:
            # A throttled best-effort task leaves CPU to tasks that slow no
            # serving task down, but it may speed up at any time.
            used_millis = max(usage, spec.cpu_millis * MIN_USE_PERCENT // 100)
        _add_cores(candidate.best_effort_cores, spec)
        candidate.best_effort_millis += used_millis
        if deferred:
            _add_cores(candidate.deferred_cores, spec)
            candidate.deferred_millis += used_millis
    else:
        candidate.cpu_millis -= spec.cpu_millis
        serves = bool(spec.target_latency_ms)
        share = throttling.SERVING_CPU_SHARE if serves else 1.0
        candidate.idle_millis -= int(spec.cpu_millis * share)
    if spec.target_latency_ms:
        candidate.serving[spec.image] = candidate.serving.get(spec.image, 0) + 1
    key = (ref.job_id, ref.repetition, ref.step)
    candidate.steps[key] = candidate.steps.get(key, 0) + 1


def _add_cores(cores: dict[specs.Image, float], spec: specs.StepSpec) -> None:
    """Adds the requested cores of one task to the sum of its image."""
    requested = spec.cpu_millis / interference.CORE_MILLIS
    cores[spec.image] = cores.get(spec.image, 0.0) + requested


def count_best_effort_cores(
    candidate: policies.Candidate, *, deferred: bool = False
) -> dict[specs.Image, float]:
    """Returns the cores by image that compete with one more best-effort task.

    Args:
        candidate: The worker and its free capacity.
        deferred: Whether the additional task gives way to others.
    """
    if deferred:
        return dict(candidate.best_effort_cores)
    return {
        image: cores - candidate.deferred_cores.get(image, 0.0)
        for image, cores in candidate.best_effort_cores.items()
    }


def estimate_idle_cores(
    candidate: policies.Candidate, *, deferred: bool = False
) -> float:
    """Returns the cores that are expected to be left for a best-effort task."""
    used_millis = candidate.best_effort_millis
    if not deferred:
        used_millis -= candidate.deferred_millis
    return (candidate.idle_millis - used_millis) / interference.CORE_MILLIS


def fits(
    candidate: policies.Candidate, job: progress.Job, step: progress.Step
) -> bool:
    """Tells whether a task of a step may run in the free capacity."""
    return bool(list_fitting([candidate], job, step))


def list_fitting(
    candidates: Iterable[policies.Candidate],
    job: progress.Job,
    step: progress.Step,
) -> list[policies.Candidate]:
    """Returns the candidates in whose free capacity a task of a step may run.

    A worker that has shrunk may have less CPU than its tasks reserve. It then
    starts no best-effort task either, though that reserves none.
    """
    spec = step.spec
    pool, label = job.spec.queue.pool, spec.label
    reserved_millis = 0 if spec.fills else spec.cpu_millis
    memory_mb, accelerators = spec.memory_mb, spec.accelerators
    key = (job.spec.job_id, step.repetition, step.number)
    limit = spec.max_per_worker
    return [
        candidate
        for candidate in candidates
        if reserved_millis <= candidate.cpu_millis
        and memory_mb <= candidate.memory_mb
        and accelerators <= candidate.accelerators
        and candidate.worker.pool == pool
        and not candidate.on_probation
        and (not label or label in candidate.worker.labels)
        and (not limit or candidate.steps.get(key, 0) < limit)
        and (not candidate.reserved or step.has_suspects())
    ]


def find_misfit(
    candidate: policies.Candidate, job: progress.Job, step: progress.Step
) -> WorkerObstacle | None:
    """Returns why `list_fitting` leaves a candidate out; None if it does not.

    `list_fitting` is asked for each step of each plan, so it does not work out
    the reasons.
    """
    spec, worker = step.spec, candidate.worker
    key = (job.spec.job_id, step.repetition, step.number)
    limit = spec.max_per_worker
    obstacles = {
        WorkerObstacle.POOL: worker.pool != job.spec.queue.pool,
        WorkerObstacle.LABEL: spec.label and spec.label not in worker.labels,
        WorkerObstacle.CPU: candidate.cpu_millis
        < (0 if spec.fills else spec.cpu_millis),
        WorkerObstacle.MEMORY: candidate.memory_mb < spec.memory_mb,
        WorkerObstacle.ACCELERATORS: candidate.accelerators < spec.accelerators,
        WorkerObstacle.STEP_LIMIT: limit
        and candidate.steps.get(key, 0) >= limit,
        WorkerObstacle.PROBATION: candidate.on_probation,
        WorkerObstacle.RESERVED: candidate.reserved and not step.has_suspects(),
    }
    return next((name for name, applies in obstacles.items() if applies), None)


def fits_when_empty(
    candidate: policies.Candidate, job: progress.Job, step: progress.Step
) -> bool:
    """Tells whether a task of a step would fit if the candidate were empty."""
    return is_large_enough(candidate.worker, job, step)


def is_large_enough(
    worker: runs.Worker, job: progress.Job, step: progress.Step
) -> bool:
    """Tells whether a worker could run a task of a step if it were empty."""
    spec = step.spec
    return (
        worker.pool == job.spec.queue.pool
        and (not spec.label or spec.label in worker.labels)
        and spec.cpu_millis <= worker.cpu_millis
        and spec.memory_mb <= worker.memory_mb
        and spec.accelerators <= worker.accelerators
    )


def copy_candidate(candidate: policies.Candidate) -> policies.Candidate:
    """Returns a copy on which tasks can be placed on trial."""
    return dataclasses.replace(
        candidate,
        steps=dict(candidate.steps),
        serving=dict(candidate.serving),
        best_effort_cores=dict(candidate.best_effort_cores),
        deferred_cores=dict(candidate.deferred_cores),
        boosted_cores=dict(candidate.boosted_cores),
    )


def find_rack(candidate: policies.Candidate) -> str:
    """Returns the rack label of a worker, or an empty string."""
    return find_rack_label(candidate.worker.labels)


def find_rack_label(labels: Iterable[str]) -> str:
    """Returns the label that names a rack, or an empty string."""
    for label in labels:
        if label.startswith(RACK_PREFIX) and "-" in label:
            return label
    return ""
