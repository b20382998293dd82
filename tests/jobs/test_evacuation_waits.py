"""Tests of how long a job has no run because evacuations have to be obeyed.

Pattern: what is not known for certain holds starts back, and the limit on the
time without a run knows nothing of it. Each test asks the oracle of that rule.
"""

import datetime
from collections.abc import Sequence

import pytest

from gypsumhold.model.jobs import effects, specs
from tests.jobs import job_specs, large_world, nodes, wait_oracle

EVACUATION_TIME = datetime.timedelta(seconds=5)
AGENTS = 4
START_MS = 4000.0
"""Time until a holder places tasks."""

JUDGED_MS = 30_000.0
SUBMISSION_MS = 50.0
"""Time between two submissions of short jobs."""

WAITING = "waiting"
"""The job that is judged."""

NEAR, FAR = "near", "far"

SHORT = specs.StepSpec(1, 1000, 100, estimate_ms=1000)


def build_world(seed: int) -> large_world.LargeWorld:
    """Returns a world with a holder and two workers in each data centre."""
    world = large_world.LargeWorld(
        seed, AGENTS, evacuation_time=EVACUATION_TIME
    )
    for number, worker in enumerate(world.workers.values()):
        worker.zone = NEAR if number < AGENTS // 2 else FAR
    world.run(START_MS)
    return world


def evacuate(
    world: large_world.LargeWorld, name: str, *, is_evacuated: bool = True
) -> None:
    world.store.evacuate(name, is_evacuated=is_evacuated)
    if is_evacuated:
        world.oracle.evacuated_ms.setdefault(name, world.now_ms)
    else:
        world.oracle.evacuated_ms.pop(name, None)


def submit(world: large_world.LargeWorld, *steps: specs.StepSpec) -> None:
    world.submit("entry-0", job_specs.build_job_of(WAITING, steps))


def find_holder(world: large_world.LargeWorld) -> nodes.Node:
    (holder,) = (
        node
        for node in world.nodes.values()
        if node.alive and getattr(node.state, "holder_state", None) is not None
    )
    return holder


def measure_wait(world: large_world.LargeWorld) -> float:
    """Judges until the job has run; returns its longest wait in ms."""
    world.judge(JUDGED_MS, lambda: False)
    wait = world.waits.longest.get(specs.JobId(WAITING))
    return 0.0 if wait is None else wait.measure_ms()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "faults", [("lost",), ("refused",), ("refused", "refused")]
)
def test_new_holder_whose_read_fails(seed: int, faults: Sequence[str]) -> None:
    """Guards against a takeover that one lost read stretches over the limit.

    The first step of the job ends while no one holds the queue.
    """
    world = build_world(seed)
    first = specs.StepSpec(1, 1000, 100, estimate_ms=2500)
    second = specs.StepSpec(1, 1000, 100, estimate_ms=9000, after=(0,))
    submit(world, first, second)
    world.run(1000)
    world.scripted_faults[effects.ReadEvacuations] = list(faults)
    world.kill(find_holder(world).name, 20_000)
    world.run(wait_oracle.CALM_MS)
    assert measure_wait(world) <= wait_oracle.MAX_WAIT_MS


@pytest.mark.parametrize("seed", range(3))
def test_starts_go_on_soon_after_reads_have_failed(seed: int) -> None:
    """Guards against starts that are held for long after the reads succeed.

    Agents hold them from 4.9 s after the latest read at most.
    """
    world = build_world(seed)
    fail_reads(world, 4600)
    assert world.waits.longest
    assert world.waits.violations == {}


def test_reads_fail_for_long() -> None:
    """Guards against jobs without a run while batches are stored.

    Only the operator's rows can't be read.
    """
    world = build_world(0)
    fail_reads(world, 8000)
    assert world.waits.violations == {}


def fail_reads(world: large_world.LargeWorld, failed_ms: float) -> None:
    """Lets the holder's reads of the rows fail for a time, and judges."""
    holder = find_holder(world)
    holder.cut_config = True
    world.after(failed_ms, lambda: setattr(holder, "cut_config", False))
    for number in range(int(failed_ms / SUBMISSION_MS)):
        spec = job_specs.build_job_of(f"{WAITING}-{number}", (SHORT,))
        world.after(
            number * SUBMISSION_MS,
            lambda spec=spec: world.submit("entry-0", spec),
        )
    world.judge(JUDGED_MS, lambda: False)


def test_start_that_a_former_process_may_have_sent() -> None:
    """Guards against a task that is held here while it could run elsewhere.

    Its agent restarts before the worker has taken the start, and starts nothing
    more as its data centre is evacuated. No other task of the job is ready.
    """
    world = build_world(1)
    evacuate(world, FAR)
    world.run(2500)
    world.pauses_ms[effects.StartRun] = lambda: 400.0
    submit(world, SHORT)
    world.run(300)
    evacuate(world, FAR, is_evacuated=False)
    evacuate(world, NEAR)
    for name, worker in world.workers.items():
        if worker.zone == NEAR:
            world.kill(name, 500)
    world.run(500 + wait_oracle.CALM_MS)
    assert measure_wait(world) <= wait_oracle.MAX_WAIT_MS
