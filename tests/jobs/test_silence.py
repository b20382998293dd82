"""Tests of processes that are silent for a while.

Pattern: an agent, a holder or a worker is only frozen, slow or cut off, and
its work goes on under its lease. Nothing may be started elsewhere or given up
before it is proved that the work has ended.
"""

import pytest

from gypsumhold.model.jobs import messages, runs, specs
from tests.jobs import job_specs
from tests.jobs import world as worlds

JOB = specs.JobId("j")
SERVING = specs.StepSpec(4, 1000, 1000, long_running=True)
SURVIVED_MS = (1000, 2500, 4500)
"""Silences that end before the lease, even after the latest report."""

ALL_MS = (*SURVIVED_MS, 7000, 9000, 15_000)


def start_serving(seed: int) -> worlds.World:
    world = worlds.World(seed)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of(JOB, (SERVING,)))
    world.run(1500)
    return world


def list_running(world: worlds.World) -> dict[runs.RunRef, str]:
    """Returns the worker of each run."""
    return {
        run.ref: worker.name
        for worker in world.workers.values()
        for run in worker.running.values()
    }


def silence(world: worlds.World, way: str, for_ms: int) -> None:
    """Makes one process silent in the given way for a while."""
    name = "agent-0" if "agent" in way else "entry-0"
    node = world.nodes[name]
    if "frozen" in way:
        world.freeze(name, for_ms)
        return
    attribute = {
        "agent cut off": "cut",
        "agent cut off from the store": "cut_store",
        "agent cut off from its worker": "cut_worker",
        "entry cut off": "cut",
        "entry cut off from the store": "cut_store",
    }[way]
    setattr(node, attribute, True)
    world.after(for_ms, lambda: setattr(node, attribute, False))


WAYS = (
    "agent frozen",
    "agent cut off",
    "agent cut off from the store",
    "agent cut off from its worker",
    "entry frozen",
    "entry cut off",
    "entry cut off from the store",
)


@pytest.mark.parametrize("for_ms", SURVIVED_MS)
@pytest.mark.parametrize("way", WAYS)
def test_work_goes_on_through_a_short_silence(way: str, for_ms: int) -> None:
    """Guards against work that is started elsewhere, or given up."""
    world = start_serving(seed=for_ms)
    before = list_running(world)
    assert len(before) == SERVING.count
    silence(world, way, for_ms)
    world.run(for_ms + 12_000)
    assert list_running(world) == before


@pytest.mark.parametrize("for_ms", ALL_MS)
@pytest.mark.parametrize("way", WAYS)
def test_work_is_replaced_only_after_proof(way: str, for_ms: int) -> None:
    """Guards against two runs of a task at a time, and against lost tasks.

    The oracle of the world raises if a task is started while it runs.
    """
    world = start_serving(seed=100 + for_ms)
    silence(world, way, for_ms)
    world.run(for_ms + 14_000)
    running = [ref.task for ref in list_running(world)]
    assert len(running) == len(set(running)) == SERVING.count


@pytest.mark.parametrize("for_ms", ALL_MS)
def test_end_that_is_reported_late_counts(for_ms: int) -> None:
    """Guards against finished work that is done again.

    The worker finishes the tasks while its agent is cut off from the holder.
    """
    world = worlds.World(for_ms)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job(JOB, (4,)))
    world.run(150)
    silence(world, "agent cut off", for_ms)
    world.run(for_ms + 20_000)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
