"""Tests of workers whose capacity shrinks and grows while they run.

Pattern: a worker loses processors, memory or accelerators beside running tasks,
and its next heartbeat says so. What runs goes on; nothing may be started that
does not fit beside it. The oracle of the world checks each start.
"""

import pytest

from gypsumhold.model import resources
from gypsumhold.model.jobs import effects, messages, specs
from tests.jobs import (
    job_specs,
    nodes,
    test_regressions,
    test_world,
    worker_link,
)
from tests.jobs import world as worlds

JOB = specs.JobId("j")
LATER = specs.JobId("later")
FULL = resources.Resources(8000, 64_000, 8)
NOTHING = resources.NOTHING
SHRUNK = {
    "cpu": resources.Resources(1500, 64_000, 8),
    "memory": resources.Resources(8000, 12_000, 8),
    "accelerators": resources.Resources(8000, 64_000, 1),
    "all": NOTHING,
}
CALL_MS = 10
"""Longest time for which a command is on the way to its worker."""

OFFSETS_MS = range(0, 160, 16)
"""Moments from the submission of a job to the answers to its starts."""

SOON_MS = 400
"""A report, a batch, a push and a start, with the time of each call."""

VARIED_MS = 18_000
SETTLE_MS = 40_000
STEP = specs.StepSpec(6, 1000, 8000, 1, estimate_ms=1000)
LASTING = specs.StepSpec(4, 1000, 8000, 1, long_running=True)


def build_world(seed: int, agents: int = 2) -> worlds.World:
    """Returns a world in which heartbeats tell of accelerators."""
    world = worlds.World(seed, agents=agents)
    for worker in world.workers.values():
        worker.accelerators = FULL.accelerators
    world.run(3000)
    world.oracle.resize_grace_ms = worker_link.HEARTBEAT_MS + CALL_MS
    return world


def resize(
    world: worlds.World, name: str, capacity: resources.Resources
) -> None:
    """Changes the capacity of a worker, which says so at once."""
    world.workers[name].resize(world.now_ms, capacity)
    world.deliver_heartbeat(name)
    world.oracle.resize_grace_ms = CALL_MS


def wait_for_plan(world: worlds.World) -> tuple[str, str]:
    """Runs the world until a plan; returns the worker it chose and another."""
    for _ in range(SOON_MS):
        world.run(1)
        for _, _, line in world.log_lines:
            if line.decision == "place":
                chosen = line.outcome
                other = next(name for name in world.workers if name != chosen)
                return chosen, other
    raise AssertionError("no plan was made")


def submit(
    world: worlds.World, job_id: specs.JobId, step: specs.StepSpec
) -> None:
    """Hands a job to an entry that holds the queue or follows its holder."""
    entry = next(
        name
        for name, node in world.nodes.items()
        if name.startswith("entry") and node.alive
    )
    world.submit(entry, job_specs.build_job_of(job_id, (step,)))


def count_lines(world: worlds.World, decision: str, outcome: str) -> int:
    return sum(
        line.decision == decision and line.outcome.startswith(outcome)
        for _, _, line in world.log_lines
    )


def count_refusals(world: worlds.World) -> int:
    return count_lines(world, "start", "refused: no-room")


def list_running(world: worlds.World, job_id: specs.JobId) -> list[str]:
    """Returns the worker of each running task of a job."""
    return [
        name
        for name, worker in world.workers.items()
        for task in worker.running
        if task.job_id == job_id
    ]


def check_completed(world: worlds.World, job_id: specs.JobId) -> None:
    state = world.store.progress[job_id].state
    assert state is messages.JobState.COMPLETED


def vary_capacity(
    world: worlds.World, name: str, shrunk: resources.Resources
) -> None:
    """Resizes a worker again and again; heartbeats tell of it in their turn."""
    is_over = world.now_ms >= VARIED_MS
    capacity = FULL if is_over else world.random.choice((FULL, shrunk))
    world.workers[name].resize(world.now_ms, capacity)
    if not is_over:
        world.after(
            world.random.uniform(300, 3000),
            lambda: vary_capacity(world, name, shrunk),
        )


def submit_series(world: worlds.World, count: int) -> None:
    for number in range(count):
        fills = world.random.random() < 0.3
        step = specs.StepSpec(
            world.random.randint(1, 6),
            world.random.choice((500, 2000)),
            world.random.choice((1000, 12_000)),
            0 if fills else world.random.choice((0, 1)),
            estimate_ms=1000,
            fills=fills,
            image=specs.Image("fill" if fills else ""),
        )
        spec = job_specs.build_job_of(f"j{number}", (step,))
        entry = f"entry-{world.random.randrange(2)}"
        world.after(
            world.random.uniform(0, 12_000),
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )


@pytest.mark.parametrize("resource", SHRUNK)
@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_a_capacity_that_changes(
    seed: int, resource: str
) -> None:
    """Guards against starts over a capacity that shrank (rule LIMIT)."""
    world = build_world(seed)
    for name in world.workers:
        vary_capacity(world, name, SHRUNK[resource])
    submit_series(world, 30)
    world.run(SETTLE_MS)
    test_world.check_all_ended(world)


@pytest.mark.parametrize("seed", range(20))
def test_faults_beside_changes_violate_no_capacity(seed: int) -> None:
    """Guards against starts over a capacity while processes are lost."""
    world = build_world(seed, agents=3)
    world.oracle.resize_grace_ms = 4100
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.0)
    for name in world.workers:
        vary_capacity(world, name, SHRUNK[world.random.choice(list(SHRUNK))])
    submit_series(world, 30)
    for name in list(world.nodes):
        at_ms = world.random.uniform(1000, 12_000)
        if world.random.random() < 0.5:
            world.after(at_ms, lambda name=name: world.kill(name, 800))
        else:
            world.after(at_ms, lambda name=name: world.freeze(name, 3000))
    world.run(20_000)
    world.faults = nodes.NO_FAULTS
    world.run(SETTLE_MS)
    test_world.check_all_ended(world)


@pytest.mark.parametrize("fault", ["", "lost", "late"])
@pytest.mark.parametrize("offset_ms", OFFSETS_MS)
def test_worker_that_shrinks_between_plan_and_start(
    offset_ms: int, fault: str
) -> None:
    """Guards against a run that no longer fits when its order is sent.

    The worker shrinks before or after the plan, the batch, the order and its
    answer, which may be lost or late.
    """
    world = build_world(offset_ms)
    submit(world, JOB, STEP)
    if fault:
        world.scripted_faults[effects.StartRun] = [fault]
    world.run(offset_ms)
    resize(world, "agent-0", NOTHING)
    started = len(list_running(world, JOB))
    world.run(SOON_MS)
    if not fault:
        assert started + len(list_running(world, JOB)) >= STEP.count
    assert count_refusals(world) <= STEP.count
    world.run(SETTLE_MS)
    check_completed(world, JOB)


@pytest.mark.parametrize("resource", SHRUNK)
@pytest.mark.parametrize("loss", ["", "entry", "agent-0", "both"])
def test_worker_that_shrank_below_what_runs_starts_nothing(
    loss: str, resource: str
) -> None:
    """Guards against capacity that is counted wrongly after a restart.

    The holder changes or the agent restarts, which finds runs whose requests
    it does not know.
    """
    world = build_world(len(loss), agents=1)
    submit(world, JOB, LASTING)
    world.run(1500)
    assert len(list_running(world, JOB)) == LASTING.count
    resize(world, "agent-0", SHRUNK[resource])
    if loss in ("entry", "both"):
        world.kill(test_regressions.find_holder(world).name, 800)
    if loss in ("agent-0", "both"):
        world.kill("agent-0", 700)
    world.run(200)
    submit(world, LATER, STEP)
    world.run(8000)
    assert not list_running(world, LATER)
    assert count_refusals(world) == 0
    assert len(list_running(world, JOB)) == LASTING.count
    resize(world, "agent-0", FULL)
    world.run(SETTLE_MS)
    check_completed(world, LATER)


def test_best_effort_run_is_not_ordered_on_an_overcommitted_worker() -> None:
    """Guards against a run that its worker refuses again and again.

    The holder counts no CPU for best-effort tasks, while the agent starts
    nothing on a worker whose reserved CPU exceeds what is left of it.
    """
    world = build_world(1, agents=1)
    submit(world, JOB, LASTING)
    world.run(1500)
    resize(world, "agent-0", SHRUNK["cpu"])
    best_effort = specs.StepSpec(
        1, 1000, 1000, estimate_ms=1000, fills=True, image=specs.Image("fill")
    )
    submit(world, LATER, best_effort)
    world.run(3000)
    assert not list_running(world, LATER)
    assert count_refusals(world) <= 1
    resize(world, "agent-0", FULL)
    world.run(SETTLE_MS)
    check_completed(world, LATER)


def test_best_effort_run_does_not_start_into_memory_that_is_gone() -> None:
    """Guards against best-effort runs that count only their CPU."""
    world = build_world(1, agents=1)
    submit(world, JOB, LASTING)
    world.run(1500)
    resize(world, "agent-0", resources.Resources(8000, 32_500, 8))
    best_effort = specs.StepSpec(
        1, 1000, 1000, estimate_ms=1000, fills=True, image=specs.Image("fill")
    )
    submit(world, LATER, best_effort)
    world.run(3000)
    assert not list_running(world, LATER)
    assert count_refusals(world) == 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("resource", SHRUNK)
def test_work_that_fitted_nowhere_starts_as_soon_as_a_worker_grows(
    resource: str, seed: int
) -> None:
    """Guards against lasting tasks that wait although they fit (rule LOST).

    A change of capacity was reported only with the next periodic report.
    """
    world = build_world(seed)
    for name in world.workers:
        resize(world, name, SHRUNK[resource])
    world.run(1500)
    step = specs.StepSpec(1, 4000, 20_000, 2, long_running=True)
    submit(world, JOB, step)
    world.run(6000 + 137 * seed)
    assert not list_running(world, JOB)
    resize(world, "agent-1", FULL)
    world.run(SOON_MS)
    assert list_running(world, JOB) == ["agent-1"]


@pytest.mark.parametrize("seed", range(5))
def test_refused_run_starts_elsewhere_at_once(seed: int) -> None:
    """Guards against a run that is ordered again where it does not fit.

    The worker shrinks when the plan has chosen it, and the agent alone knows.
    """
    world = build_world(seed)
    submit(world, JOB, LASTING)
    chosen, other = wait_for_plan(world)
    resize(world, chosen, NOTHING)
    world.run(SOON_MS)
    assert list_running(world, JOB) == [other] * LASTING.count
    assert 0 < count_refusals(world) <= LASTING.count
    resize(world, chosen, FULL)
    resize(world, other, NOTHING)
    submit(world, LATER, STEP)
    world.run(SOON_MS)
    assert list_running(world, LATER) == [chosen] * STEP.count


@pytest.mark.parametrize("resource", SHRUNK)
def test_change_of_capacity_is_logged_and_reported_at_once(
    resource: str,
) -> None:
    """Guards against a holder that plans with a capacity of a second ago."""
    world = build_world(3)
    resize(world, "agent-0", SHRUNK[resource])
    world.run(100)
    view = test_regressions.find_holder(world).state.holder_state.agents[
        "agent-0"
    ]
    worker = view.report.worker
    capacity = resources.Resources(
        worker.cpu_millis, worker.memory_mb, worker.accelerators
    )
    assert capacity == SHRUNK[resource]
    line = next(
        line
        for _, _, line in reversed(world.log_lines)
        if line.decision == "worker"
    )
    assert line.outcome == "resized"
    inputs = dict(line.inputs)
    assert inputs["cpu_millis"] == str(capacity.cpu_millis)
    assert inputs["memory_mb"] == str(capacity.memory_mb)
    assert inputs["accelerators"] == str(capacity.accelerators)
