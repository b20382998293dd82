"""Tests of best-effort jobs that lose their last run while others wait too.

Pattern: serving tasks on every worker leave best-effort tasks hardly any CPU,
many late best-effort jobs wait, and each gets one run at a time. The holder is
busy or the store slow, so that each batch takes a while.
"""

import random

import msgspec
import pytest

from gypsumhold.model.jobs import effects, messages, specs
from tests.jobs import job_specs
from tests.jobs import world as worlds

AGENTS = 10
JOBS = 30
WORKER_MILLIS = 32_000
BATCH_MS = 300.0

SAMPLE_MS = 20.0

FINAL_OUTCOMES = {f"job {state.value}" for state in messages.FINAL_STATES}

MAX_WAIT_MS = 3000
"""Time without a run that the platform allows while there is capacity."""


def build_best_effort_job(number: int, source: random.Random) -> specs.JobSpec:
    first = specs.StepSpec(
        source.randint(5, 30),
        3500,
        3000,
        estimate_ms=source.choice((300, 2000, 9000)),
        fills=True,
        checkpoints=True,
        image=specs.Image(f"best-effort-{number % 7}"),
    )
    second = msgspec.structs.replace(first, after=(0,))
    return job_specs.build_job_of(f"job-{number:02}", (first, second))


def build_serving_job() -> specs.JobSpec:
    step = specs.StepSpec(
        AGENTS * 3,
        6000,
        6000,
        estimate_ms=1000,
        long_running=True,
        target_latency_ms=50,
        image=specs.Image("serving"),
    )
    return job_specs.build_job_of("serving", (step,))


def list_running(world: worlds.World) -> set[str]:
    """Returns the jobs of which some task runs on a worker."""
    for worker in world.workers.values():
        worker.advance(world.now_ms)
    return {
        ref.job_id
        for worker in world.workers.values()
        for ref in worker.running
    }


def measure_waits(world: worlds.World, for_ms: float) -> dict[str, float]:
    """Returns the longest time without a run of each job, in ms.

    It counts from when the holder learned of the end that left the job without
    a run to the next start on a worker.
    """
    waiting_since: dict[str, float] = {}
    longest: dict[str, float] = {}
    until_ms = world.now_ms + for_ms
    while world.now_ms < until_ms:
        handled = len(world.log_lines)
        world.run(SAMPLE_MS)
        for at_ms, _, line in world.log_lines[handled:]:
            if line.decision == "run-ended":
                waiting_since.setdefault(line.subject, at_ms)
            if line.outcome in FINAL_OUTCOMES:
                del waiting_since[line.subject]
        for job in list_running(world) & waiting_since.keys():
            wait = world.now_ms - waiting_since.pop(job)
            longest[job] = max(wait, longest.get(job, 0.0))
    return longest


@pytest.mark.parametrize("seed", range(3))
def test_job_that_lost_its_last_run_gets_another_in_time(seed: int) -> None:
    """Guards against waits of the holder and the agent that add up.

    Each of them alone ends in time.
    """
    world = worlds.World(seed, agents=AGENTS)
    for worker in world.workers.values():
        worker.cpu_millis = WORKER_MILLIS
    world.run(3000)
    world.submit("entry-0", build_serving_job())
    world.run(3000)
    world.pauses_ms[effects.CommitBatch] = lambda: BATCH_MS
    source = random.Random(seed)
    for number in range(JOBS):
        world.submit("entry-0", build_best_effort_job(number, source))
        world.run(50)
    waits = measure_waits(world, 20_000)
    assert len(waits) == JOBS
    assert {
        job: wait for job, wait in waits.items() if wait > MAX_WAIT_MS
    } == {}
