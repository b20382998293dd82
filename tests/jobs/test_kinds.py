"""Tests of each kind of step in a simulation without faults."""

import dataclasses

import pytest

from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, specs
from tests.jobs import job_specs
from tests.jobs import world as worlds

BASE = {"cpu_millis": 1000, "memory_mb": 100, "estimate_ms": 500}


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A step and the expected result of its first placements.

    Attributes:
        name: Name of the case.
        step: The step.
        max_on_one_worker: Most tasks on one worker.
        placed: Number of placed tasks.
    """

    name: str
    step: specs.StepSpec
    max_on_one_worker: int
    placed: int


CASES = (
    Case("plain", specs.StepSpec(6, **BASE), 6, 6),
    Case("spread", specs.StepSpec(4, max_per_worker=1, **BASE), 1, 4),
    Case("label", specs.StepSpec(2, label="a", **BASE), 2, 2),
    Case("no such label", specs.StepSpec(2, label="zz", **BASE), 2, 0),
    Case("gang", specs.StepSpec(5, gang=True, **BASE), 5, 5),
    Case("too large a gang", specs.StepSpec(40, gang=True, **BASE), 40, 0),
    Case("best effort", specs.StepSpec(3, fills=True, image="i", **BASE), 3, 3),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_placements(case: Case) -> None:
    world = worlds.World(5)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of("j", (case.step,)))
    world.run(150)
    placements = [
        line.outcome
        for _, _, line in world.log_lines
        if line.decision == "place"
    ]
    assert len(placements) == case.placed
    counts = [placements.count(name) for name in set(placements)]
    assert max(counts, default=0) <= case.max_on_one_worker


def test_repetitions_start_when_they_are_due_and_not_before() -> None:
    """Guards against starts before the time of a repetition (rule ORDER)."""
    world = worlds.World(6)
    world.run(3000)
    spec = job_specs.build_job_of("j", (specs.StepSpec(1, **BASE),))
    first_ms = int(world.now_ms) + 2000
    repeated = specs.JobSpec(
        spec.job_id,
        spec.queue,
        spec.payload,
        spec.steps,
        int(world.now_ms),
        repetitions=2,
        first_run_ms=first_ms,
        interval_ms=3000,
    )
    world.submit("entry-0", repeated)
    world.run(12_000)
    starts = [
        started_ms
        for started_ms, _, line in world.log_lines
        if line.decision == "start" and line.outcome == "started"
    ]
    assert len(starts) == 2
    for number, started_ms in enumerate(starts):
        assert 0 <= started_ms - (first_ms + 3000 * number) < 1000
    record = world.store.progress[specs.JobId("j")]
    assert record.state is messages.JobState.COMPLETED


def test_serving_tasks_start_again_however_they_end() -> None:
    """Guards against serving tasks that stay down once failed (rule LOST)."""
    world = worlds.World(7)
    world.run(3000)
    step = specs.StepSpec(3, long_running=True, target_latency_ms=20, **BASE)
    world.submit("entry-0", job_specs.build_job_of("j", (step,)))
    world.run(500)
    for worker in world.workers.values():
        for run in worker.running.values():
            run.finish_ms = world.now_ms
    world.run(3000)
    running = sum(len(worker.running) for worker in world.workers.values())
    assert running == 3
    record = world.store.progress[specs.JobId("j")]
    assert record.state is messages.JobState.RUNNING


def test_draining_worker_gets_no_new_runs() -> None:
    """Guards against starts on a draining worker (rule DRAIN).

    No start may come later than the drain time after the heartbeat.
    """
    world = worlds.World(13)
    world.run(3000)
    draining = world.workers["agent-0"]
    draining.draining = True
    world.run(1300)
    for number in range(8):
        spec = job_specs.build_job(f"j{number}", (4,))
        world.submit(f"entry-{number % 2}", spec)
        world.run(500)
        assert not draining.running
    world.run(8000)
    states = {record.state for record in world.store.progress.values()}
    assert states == {messages.JobState.COMPLETED}


def test_advised_queue_is_refused_at_once() -> None:
    """Guards against endless attempts to start tasks of an advised queue.

    Workers refuse these starts, since they carry no ticket.
    """
    world = worlds.World(8)
    world.run(3000)
    spec = job_specs.build_job_of("j", (specs.StepSpec(1, **BASE),))
    queue = specs.Queue(
        spec.queue.name, "host", "/q/", spec.queue.pool, advised=True
    )
    advised = specs.JobSpec(spec.job_id, queue, "", spec.steps, 0)
    ticket = world.submit("entry-0", advised)
    assert world.verdicts[ticket].verdict is messages.Verdict.UNAVAILABLE
    assert ids.TicketId(ticket) not in world.nodes["entry-0"].state.tickets
