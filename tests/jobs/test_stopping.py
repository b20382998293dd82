"""Tests of room that runs hold while they are being stopped.

Pattern: tasks are stopped, and work that fits only beside none of them waits
for their room. The oracle of the world checks each start.
"""

import pytest

from gypsumhold.model import resources
from gypsumhold.model.jobs import events, messages, specs
from tests.jobs import job_specs, test_regressions, test_resizing

JOB = test_resizing.JOB
GANG_STOP_MS = 1500
"""A periodic report, which lists runs that have started, and such calls. The
runs of a gang give up after 3000 ms."""

STOP_MS = 2000
LONG_STOP_MS = 9000
"""Long enough for another entry to take the queue meanwhile."""


@pytest.mark.parametrize("is_holder_lost", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_runs_that_are_being_stopped_still_count(
    seed: int, is_holder_lost: bool
) -> None:
    """Guards against starts into room that is not free yet (rule LIMIT).

    A holder that reads a cancelled job does not know where its tasks ran, and
    asked the same worker again and again for runs that did not fit.
    """
    world = test_resizing.build_world(seed, agents=1)
    worker = world.workers["agent-0"]
    worker.stop_ms = LONG_STOP_MS if is_holder_lost else STOP_MS
    full_step = specs.StepSpec(8, 1000, 8000, 1, long_running=True)
    test_resizing.submit(world, JOB, full_step)
    world.run(1500)
    holder = test_regressions.find_holder(world).name
    world.send_query(holder, messages.QueryKind.CANCEL, JOB)
    world.run(100)
    if is_holder_lost:
        world.kill(holder, LONG_STOP_MS)
    test_resizing.submit(world, test_resizing.LATER, test_resizing.STEP)
    world.run(worker.stop_ms - 500)
    assert not test_resizing.list_running(world, test_resizing.LATER)
    assert test_resizing.count_refusals(world) <= test_resizing.STEP.count
    world.run(test_resizing.SETTLE_MS)
    test_resizing.check_completed(world, test_resizing.LATER)


@pytest.mark.parametrize("seed", range(4))
def test_gang_does_not_wait_for_a_member_that_was_refused(seed: int) -> None:
    """Guards against a gang that waits until its runs give up (rule GANG).

    The member whose worker shrank was refused, and could only start again with
    all the others, which waited for it.
    """
    world = test_resizing.build_world(seed)
    for worker in world.workers.values():
        worker.stuck = True
    gang = specs.StepSpec(8, 1500, 1000, estimate_ms=1000, gang=True)
    test_resizing.submit(world, JOB, gang)
    chosen, _ = test_resizing.wait_for_plan(world)
    test_resizing.resize(world, chosen, resources.Resources(4000, 64_000, 8))
    world.run(GANG_STOP_MS)
    assert test_resizing.count_refusals(world) > 0
    assert not test_resizing.list_running(world, JOB)
    test_resizing.resize(world, chosen, test_resizing.FULL)
    world.run(test_resizing.SOON_MS)
    assert len(test_resizing.list_running(world, JOB)) == gang.count
    numbers = {
        run.ref.run
        for worker in world.workers.values()
        for run in worker.running.values()
    }
    assert len(numbers) == 1


@pytest.mark.parametrize("seed", range(4))
def test_stopped_run_counts_until_its_end_is_listed(seed: int) -> None:
    """Guards against starts into room that is not free yet (rule LIMIT).

    The worker no longer lists a run as running once it is being stopped, and
    the next holder does not know where the tasks of a closed job ran.
    """
    world = test_resizing.build_world(seed, agents=1)
    worker = world.workers["agent-0"]
    worker.stop_ms = 1800
    worker.hides_stopping = True
    full_step = specs.StepSpec(8, 1000, 8000, 1, long_running=True)
    test_resizing.submit(world, JOB, full_step)
    world.run(1500)
    holder = test_regressions.find_holder(world)
    world.send_query(holder.name, messages.QueryKind.CANCEL, JOB)
    world.run(150)
    world.deliver(holder, events.SchedulerStopping())
    world.run(20)
    other = next(name for name in ("entry-0", "entry-1") if name != holder.name)
    world.submit(
        other,
        job_specs.build_job_of(test_resizing.LATER, (test_resizing.STEP,)),
    )
    world.run(test_resizing.SETTLE_MS)
    test_resizing.check_completed(world, test_resizing.LATER)
