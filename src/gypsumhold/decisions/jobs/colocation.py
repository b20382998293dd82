"""Paces the fillers on one worker by the tails of its serving tasks."""

import datetime

from gypsumhold.decisions.jobs import interference, throttling
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, executor, policies, specs

Made = list[base_effects.Effect]


def adjust_throttling(
    state: executor.ExecutorState, now: datetime.timedelta
) -> Made:
    """Chooses the fillers' allowances from the latest tail latencies."""
    sample = interference.read_sample(state, now)
    before = state.sample
    if before is None:
        state.sample = sample
    elif now - before.at >= interference.SAMPLE_INTERVAL:
        told = interference.update_sums(state, before, sample)
        state.unreported |= told
        state.sample = sample
    _forget_left(state)
    for serving in list_serving(state):
        _adjust(state, serving, sample, now)
    made = throttle_tasks(state)
    return [*made, _log(state, sample)] if made else []


def list_serving(state: executor.ExecutorState) -> list[specs.Image]:
    """Returns the images of tasks with a latency target."""
    images = {
        local.command.image
        for local in state.active.values()
        if local.command is not None and local.command.target_latency_ms
    }
    return sorted(images)


def _forget_left(state: executor.ExecutorState) -> None:
    for gone in state.serving.keys() - set(list_serving(state)):
        del state.serving[gone]


def _adjust(
    state: executor.ExecutorState,
    serving: specs.Image,
    sample: executor.Sample,
    now: datetime.timedelta,
) -> None:
    known = state.serving.get(serving)
    if known is None:
        first = throttling.FIRST_ALLOWED
        known = executor.Headroom(first, first)
        state.serving[serving] = known
    # Tasks that have only just started have no reading yet.
    headroom = min(
        sample.headrooms.get(serving, {}).values(),
        default=throttling.TARGET_HEADROOM,
    )
    wanted = sum(
        demand.interference.get(serving, 0.0)
        for _, demand in _list_fillers(state)
    )
    taken = interference.estimate_taken(
        state.interference_estimates, serving, sample.cores
    )
    known.allowed = state.policies.throttling.adjust(
        policies.ThrottleReading(
            known.allowed, taken, wanted, headroom, known.latest
        )
    )
    if _is_young(state, serving, now):
        known.allowed = 0.0
    whole = max(0.0, headroom + taken - throttling.TARGET_HEADROOM)
    if known.latest is None:
        known.mean_allowed = whole
    known.mean_allowed = throttling.smooth(known.mean_allowed, whole)
    known.latest = headroom
    _note_strain(known, headroom, now)


def _note_strain(
    known: executor.Headroom, headroom: float, now: datetime.timedelta
) -> None:
    if headroom >= throttling.LOW_HEADROOM:
        known.low_since = None
    elif known.low_since is None:
        known.low_since = now
    since = known.low_since
    known.strained = since is not None and now - since >= throttling.STRAIN_TIME


def _is_young(
    state: executor.ExecutorState,
    serving: specs.Image,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a task of an image has only just started."""
    return any(
        local.command is not None
        and local.command.target_latency_ms
        and local.command.image == serving
        and now < local.confirmed_at + throttling.YOUNG_TIME
        for local in state.active.values()
    )


def _list_fillers(
    state: executor.ExecutorState,
) -> list[tuple[executor.LocalRun, throttling.Demand]]:
    """Returns the running fillers, those that run at full speed first in front.

    Jobs that are late anyway give way. Otherwise the first that started goes
    first, so what was placed early is done early and nothing waits for good.
    """
    fillers = []
    for local in state.active.values():
        command = local.command
        if command is None or not command.best_effort:
            continue
        if local.state is executor.LocalState.RUNNING:
            fillers.append((local, _build_demand(state, command.image, local)))
    return sorted(fillers, key=lambda item: item[0].ref in state.deferred)


def _build_demand(
    state: executor.ExecutorState,
    filler: specs.Image,
    local: executor.LocalRun,
) -> throttling.Demand:
    assert local.command is not None
    cpu_millis = local.command.cpu_millis
    cores = {filler: cpu_millis / interference.CORE_MILLIS}
    return throttling.Demand(
        {
            serving: interference.estimate_taken(
                state.interference_estimates, serving, cores
            )
            for serving, known in state.serving.items()
            if known.strained
            or interference.interferes(
                state.interference_estimates, serving, filler
            )
        },
        cpu_millis,
    )


def _measure_idle(state: executor.ExecutorState) -> int:
    """Returns the cpu that tasks other than fillers leave unused."""
    if state.worker is None:
        return 0
    idle = state.worker.cpu_millis * (1 - throttling.CPU_RESERVE)
    for local in state.active.values():
        command = local.command
        if command is None or command.best_effort:
            continue
        used = (
            throttling.SERVING_CPU_SHARE if command.target_latency_ms else 1.0
        )
        idle -= command.cpu_millis * used
    return max(0, int(idle))


def must_wait(
    state: executor.ExecutorState,
    local: executor.LocalRun,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a filler would slow an image that has nothing to spare."""
    command = local.command
    if command is None or now >= local.received_at + throttling.LONGEST_WAIT:
        return False
    return command.best_effort and any(
        known.allowed < throttling.LEAST_ALLOWED
        and interference.interferes(
            state.interference_estimates, serving, command.image
        )
        for serving, known in state.serving.items()
    )


def throttle_tasks(state: executor.ExecutorState) -> Made:
    """Brings every filling task to the pace that its share allows."""
    worker = state.worker
    if worker is None:
        return []
    fillers = _list_fillers(state)
    allowed = {image: it.allowed for image, it in state.serving.items()}
    demands = [demand for _, demand in fillers]
    percents = throttling.share(allowed, _measure_idle(state), demands)
    made: Made = []
    for (local, _), percent in zip(fillers, percents, strict=True):
        if local.percent == percent:
            continue
        local.percent = percent
        made.append(
            effects.ThrottleRun(worker, state.fence, local.ref, percent)
        )
    return made


def _log(state: executor.ExecutorState, sample: executor.Sample) -> effects.Log:
    def show(image: specs.Image) -> str:
        headroom = state.serving[image].latest or 0.0
        taken = interference.estimate_taken(
            state.interference_estimates, image, sample.cores
        )
        return f"{image}: {headroom:.2f} taken {taken:.2f}"

    allowed = ", ".join(
        f"{image}: {it.allowed:.2f}" for image, it in state.serving.items()
    )
    headrooms = ", ".join(map(show, state.serving))
    return effects.Log(
        "pace",
        state.options.instance,
        f"allowed {allowed or 'all'}",
        (("headroom", headrooms),),
    )
