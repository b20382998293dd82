"""Tests of when a holder that can't read the evacuations gives up the queue.

Agents hold all starts without recent evacuations. Another entry may be able to
read them, but each change of the holder interrupts the work of the queue.
"""

import pytest

from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, specs
from tests.jobs import large_world, test_evacuation_waits

LONG_MS = 20_000
"""Work of a task that runs through each outage."""

AFTERWARDS_MS = 6000.0


def read_term(world: large_world.LargeWorld) -> ids.Epoch:
    holder = test_evacuation_waits.find_holder(world)
    return holder.state.holder_state.term


def cut_entries(world: large_world.LargeWorld, *, is_cut: bool) -> None:
    """Lets the reads of the rows by all entries fail, or succeed again."""
    for name, node in world.nodes.items():
        node.cut_config = is_cut and name.startswith("entry")


def submit_long_job(world: large_world.LargeWorld) -> None:
    """Submits a job of one long task, and waits until it runs."""
    step = specs.StepSpec(1, 1000, 100, estimate_ms=LONG_MS)
    test_evacuation_waits.submit(world, step)
    world.run(1000)


def check_single_run(world: large_world.LargeWorld) -> None:
    """Checks that the long task ends with the run that it began with."""
    world.run(LONG_MS)
    record = world.store.progress[specs.JobId(test_evacuation_waits.WAITING)]
    assert record.state is messages.JobState.COMPLETED
    starts = [
        ref
        for worker in world.workers.values()
        for ref in (end.ref for end in worker.finished)
        if ref.task.job_id == test_evacuation_waits.WAITING
    ]
    assert [ref.run for ref in starts] == [1]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage_ms", [1500, 2600, 3400, 4200, 6000])
def test_outage_of_the_whole_store_changes_no_holder(
    seed: int, outage_ms: float
) -> None:
    """Guards against a handover that no entry can do better after.

    Batches fail as well, so nothing tells that only the rows are out of reach.
    """
    world = test_evacuation_waits.build_world(seed)
    submit_long_job(world)
    term = read_term(world)
    world.store_down = True
    world.run(outage_ms)
    world.store_down = False
    world.run(AFTERWARDS_MS)
    assert read_term(world) == term
    check_single_run(world)


@pytest.mark.parametrize("seed", range(3))
def test_short_outage_of_the_rows_changes_no_holder(seed: int) -> None:
    """Guards against a handover for reads that soon succeed again."""
    world = test_evacuation_waits.build_world(seed)
    term = read_term(world)
    test_evacuation_waits.fail_reads(world, 2500)
    assert read_term(world) == term


@pytest.mark.parametrize("seed", range(3))
def test_rows_that_no_entry_reads_change_the_holder_once(seed: int) -> None:
    """Guards against entries that hand the queue round, and lose runs by it."""
    world = test_evacuation_waits.build_world(seed)
    submit_long_job(world)
    term = read_term(world)
    cut_entries(world, is_cut=True)
    world.run(15_000)
    assert read_term(world) == term + 1
    cut_entries(world, is_cut=False)
    world.run(AFTERWARDS_MS)
    assert read_term(world) == term + 1
    check_single_run(world)


@pytest.mark.parametrize("seed", range(3))
def test_former_holder_leaves_the_queue_to_others(seed: int) -> None:
    """Guards against a holder that takes back the queue it has released."""
    world = test_evacuation_waits.build_world(seed)
    holder = test_evacuation_waits.find_holder(world)
    term = read_term(world)
    holder.cut_config = True
    world.run(12_000)
    assert test_evacuation_waits.find_holder(world) is not holder
    assert read_term(world) == term + 1
