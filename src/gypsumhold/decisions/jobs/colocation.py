"""Throttles best-effort runs by the tail latency of the serving tasks.

Serving tasks have a latency target. Best-effort runs use the CPU that the other
tasks of the worker leave idle, but the runs of some images slow the serving
tasks of some other images down.
"""

import datetime

from gypsumhold.decisions.jobs import interference, throttling
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, executor, policies, specs

EffectList = list[base_effects.Effect]

UNRANKED = -1
"""Rank of a best-effort run that the holder has not ranked yet."""

FULL_PERCENT = 100
"""Percent of full speed at which a run is not throttled."""


def adjust_throttling(
    state: executor.ExecutorState, now: datetime.timedelta
) -> EffectList:
    """Updates the allowances from the latest poll and adjusts the runs to them.

    Returns the throttle commands and, if there are any, a log line.
    """
    sample = interference.read_sample(state, now)
    before = state.last_sample
    if before is None:
        state.last_sample = sample
    elif now - before.taken_at >= interference.SAMPLE_INTERVAL:
        updated = interference.update_sums(state, before, sample)
        state.unreported_pairs |= updated
        state.last_sample = sample
    _drop_former_images(state)
    for serving in list_serving_images(state):
        _adjust_allowance(state, serving, sample, now)
    emitted = throttle_tasks(state)
    return [*emitted, _log_throttling(state, sample)] if emitted else []


def list_serving_images(state: executor.ExecutorState) -> list[specs.Image]:
    """Returns the images of the tasks with a latency target, sorted."""
    images = {
        local_run.command.image
        for local_run in state.active.values()
        if local_run.command is not None and local_run.command.target_latency_ms
    }
    return sorted(images)


def _drop_former_images(state: executor.ExecutorState) -> None:
    """Removes the images that no longer have serving tasks here."""
    for image in state.serving.keys() - set(list_serving_images(state)):
        del state.serving[image]


def _adjust_allowance(
    state: executor.ExecutorState,
    serving: specs.Image,
    sample: executor.Sample,
    now: datetime.timedelta,
) -> None:
    """Updates the allowance of one serving image from a sample."""
    serving_image = state.serving.get(serving)
    if serving_image is None:
        first = throttling.INITIAL_ALLOWANCE
        serving_image = executor.ServingImage(first, first)
        state.serving[serving] = serving_image
    # Without a reading, as for tasks that have just started, the headroom is
    # taken to be at the target.
    headroom = min(
        sample.headrooms.get(serving, {}).values(),
        default=throttling.TARGET_HEADROOM,
    )
    wanted = sum(
        demand.interference.get(serving, 0.0)
        for _, demand in _list_best_effort_runs(state)
    )
    taken = interference.estimate_taken(
        state.interference_estimates, serving, sample.cores
    )
    serving_image.allowance = state.policies.throttling.adjust(
        policies.ThrottleReading(
            serving_image.allowance,
            taken,
            wanted,
            headroom,
            serving_image.last_headroom,
        )
    )
    if _has_warming_task(state, serving, now):
        serving_image.allowance = 0.0
    available = max(0.0, headroom + taken - throttling.TARGET_HEADROOM)
    if serving_image.last_headroom is None:
        serving_image.mean_available = available
    serving_image.mean_available = throttling.smooth(
        serving_image.mean_available, available
    )
    serving_image.last_headroom = headroom
    _update_exhaustion(serving_image, headroom, now)


def _update_exhaustion(
    serving_image: executor.ServingImage,
    headroom: float,
    now: datetime.timedelta,
) -> None:
    """Updates whether the headroom of an image has been low for too long."""
    if headroom >= throttling.LOW_HEADROOM:
        serving_image.low_since = None
    elif serving_image.low_since is None:
        serving_image.low_since = now
    since = serving_image.low_since
    serving_image.exhausted = (
        since is not None and now - since >= throttling.EXHAUSTED_TIME
    )


def _has_warming_task(
    state: executor.ExecutorState,
    serving: specs.Image,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a task of an image is within its warm-up time."""
    return any(
        local_run.command is not None
        and local_run.command.target_latency_ms
        and local_run.command.image == serving
        and now < local_run.confirmed_at + throttling.WARM_UP
        for local_run in state.active.values()
    )


def _list_best_effort_runs(
    state: executor.ExecutorState,
) -> list[tuple[executor.LocalRun, throttling.Demand]]:
    """Returns the running best-effort runs, the highest priority first.

    Runs that the holder has not yet ranked come first, the others in its order.
    """
    priorities = {ref: rank for rank, ref in enumerate(state.deferred)}
    best_effort_runs = []
    for local_run in state.active.values():
        command = local_run.command
        if command is None or not command.best_effort:
            continue
        if local_run.state is executor.LocalState.RUNNING:
            best_effort_runs.append(
                (local_run, _build_demand(state, command.image, local_run))
            )
    return sorted(
        best_effort_runs,
        key=lambda item: priorities.get(item[0].ref, UNRANKED),
    )


def _build_demand(
    state: executor.ExecutorState,
    best_effort: specs.Image,
    local_run: executor.LocalRun,
) -> throttling.Demand:
    """Returns the demand of a best-effort run at full speed.

    The run counts as taking headroom from the images that it slows down and
    from all images whose headroom is exhausted.
    """
    assert local_run.command is not None
    cpu_millis = local_run.command.cpu_millis
    cores = {best_effort: cpu_millis / interference.CORE_MILLIS}
    return throttling.Demand(
        {
            serving: interference.estimate_taken(
                state.interference_estimates, serving, cores
            )
            for serving, serving_image in state.serving.items()
            if serving_image.exhausted
            or interference.interferes(
                state.interference_estimates, serving, best_effort
            )
        },
        cpu_millis,
    )


def _estimate_idle_cpu(state: executor.ExecutorState) -> int:
    """Returns the CPU that best-effort runs may use, in thousandths of a core.

    Serving tasks are expected to use only a part of their requests.
    """
    if state.worker is None:
        return 0
    idle = state.worker.cpu_millis * (1 - throttling.CPU_RESERVE)
    for local_run in state.active.values():
        command = local_run.command
        if command is None or command.best_effort:
            continue
        used = (
            throttling.SERVING_CPU_SHARE if command.target_latency_ms else 1.0
        )
        idle -= command.cpu_millis * used
    return max(0, int(idle))


def must_delay_start(
    state: executor.ExecutorState,
    local_run: executor.LocalRun,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a best-effort run must not be started yet.

    That is the case for at most `throttling.MAX_START_DELAY`, while a serving
    image that the run slows down has hardly any allowance. A run without which
    its job has none does not wait: the holder has waited for it already.
    """
    command = local_run.command
    if (
        command is None
        or command.only_run
        or now >= local_run.received_at + throttling.MAX_START_DELAY
    ):
        return False
    return command.best_effort and any(
        serving_image.allowance < throttling.MIN_ALLOWANCE
        and interference.interferes(
            state.interference_estimates, serving, command.image
        )
        for serving, serving_image in state.serving.items()
    )


def throttle_tasks(state: executor.ExecutorState) -> EffectList:
    """Sets the speed of each best-effort run by the allowances and idle CPU.

    Returns a throttle command for each run whose speed changes.
    """
    worker = state.worker
    if worker is None:
        return []
    best_effort_runs = _list_best_effort_runs(state)
    allowances = {
        image: serving_image.allowance
        for image, serving_image in state.serving.items()
    }
    demands = [demand for _, demand in best_effort_runs]
    percents = throttling.compute_percents(
        allowances, _estimate_idle_cpu(state), demands
    )
    emitted: EffectList = []
    for (local_run, _), percent in zip(best_effort_runs, percents, strict=True):
        if local_run.throttle_percent == percent:
            continue
        local_run.throttle_percent = percent
        emitted.append(
            effects.ThrottleRun(worker, state.fence, local_run.ref, percent)
        )
    return emitted


def _log_throttling(
    state: executor.ExecutorState, sample: executor.Sample
) -> effects.Log:
    """Returns the log line of changed run speeds.

    It has the allowance, the least measured headroom and the estimated headroom
    that best-effort tasks take, for each serving image, and how many
    best-effort runs work at full speed, are slowed and are halted.
    """

    def describe(image: specs.Image) -> str:
        headroom = state.serving[image].last_headroom or 0.0
        taken = interference.estimate_taken(
            state.interference_estimates, image, sample.cores
        )
        return f"{image}: {headroom:.2f} taken {taken:.2f}"

    allowances = ", ".join(
        f"{image}: {serving_image.allowance:.2f}"
        for image, serving_image in state.serving.items()
    )
    headrooms = ", ".join(map(describe, state.serving))
    percents = [
        local_run.throttle_percent
        for local_run, _ in _list_best_effort_runs(state)
    ]
    full, halted = percents.count(FULL_PERCENT), percents.count(0)
    return effects.Log(
        "pace",
        state.options.instance,
        f"allowed {allowances or 'all'}",
        (
            ("headroom", headrooms),
            ("full", str(full)),
            ("slowed", str(len(percents) - full - halted)),
            ("halted", str(halted)),
        ),
    )
