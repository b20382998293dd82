"""Tests of tasks that crash the workers that start them.

Pattern: one task of a job crashes each worker that starts it, milliseconds
after the start. The worker is back after some seconds, and whatever ran there
is lost. The task has to be found among those that had just started beside it,
and given up; nothing else may be given up, whatever else crashes.
"""

import collections
import dataclasses
import datetime

import pytest

from gypsumhold.model.jobs import messages, runs, specs
from tests.jobs import job_specs, nodes, test_handover
from tests.jobs import world as worlds

DEADLY = specs.JobId("deadly")

MAX_CRASHES = 3
"""Crashes after which a task is given up if nothing else is lost."""

COUNTED_CRASHES = 3
MAX_LATER_STARTS = 2
"""Starts that the platform allows after so many crashes under a task."""

SETTLE_MS = 30_000


def build_ref(job_id: str, index: int = 0) -> runs.TaskRef:
    return runs.TaskRef(specs.JobId(job_id), 0, 0, index)


def get_state(world: worlds.World, job_id: str) -> messages.JobState:
    return world.store.progress[specs.JobId(job_id)].state


def list_failed(world: worlds.World) -> set[str]:
    """Returns the jobs that are stored as failed."""
    return {
        job_id
        for job_id, record in world.store.progress.items()
        if record.state is messages.JobState.FAILED
    }


def count_starts(world: worlds.World) -> collections.Counter[runs.TaskRef]:
    return collections.Counter(ref.task for ref in world.oracle.started)


def check_deadly_starts(world: worlds.World) -> None:
    starts = count_starts(world)
    for task in world.deadly:
        crashes = [crash for crash in world.crashes if crash.task == task]
        for counted in crashes[COUNTED_CRASHES - 1 : COUNTED_CRASHES]:
            assert starts[task] - counted.starts <= MAX_LATER_STARTS, crashes


def submit_innocents(world: worlds.World, count: int) -> None:
    for number in range(count):
        spec = job_specs.build_job(f"j{number}", (3,))
        world.after(
            200 * number, lambda spec=spec: world.submit("entry-0", spec)
        )


def crash(world: worlds.World, instances: list[str], down_ms: float) -> None:
    """Crashes several workers at the same moment."""
    for name in instances:
        world.workers[name].restart(world.now_ms, down_ms)


def start_world(seed: int, agents: int = 6, entries: int = 2) -> worlds.World:
    world = worlds.World(seed, entries=entries, agents=agents)
    world.run(3000)
    return world


@pytest.mark.parametrize("seed", range(8))
def test_deadly_task_is_given_up(seed: int) -> None:
    """Guards against a task that crashes worker after worker for good."""
    world = start_world(seed)
    world.deadly.add(build_ref(DEADLY))
    submit_innocents(world, 12)
    world.after(
        500,
        lambda: world.submit("entry-0", job_specs.build_job(DEADLY, (4, 2))),
    )
    world.run(SETTLE_MS)
    assert list_failed(world) == {DEADLY}
    assert len(world.crashes) <= MAX_CRASHES
    instances = {crash.instance for crash in world.crashes}
    assert len(instances) == len(world.crashes)
    states = collections.Counter(
        record.state for record in world.store.progress.values()
    )
    assert states[messages.JobState.COMPLETED] == 12


@pytest.mark.parametrize("seed", range(8))
def test_several_deadly_tasks_are_given_up(seed: int) -> None:
    """Guards against deadly tasks that excuse one another."""
    world = start_world(seed, agents=8)
    names = [f"deadly{number}" for number in range(4)]
    for number, name in enumerate(names):
        world.deadly.add(build_ref(name))
        spec = job_specs.build_job(name, (3,))
        world.after(
            300 * (number // 2), lambda spec=spec: world.submit("entry-0", spec)
        )
    submit_innocents(world, 12)
    world.run(SETTLE_MS)
    assert list_failed(world) == set(names)
    check_deadly_starts(world)


@pytest.mark.parametrize("fills", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_deadly_long_running_task_is_given_up(seed: int, fills: bool) -> None:
    """Guards against a lasting task that is placed again without a limit."""
    world = start_world(seed)
    step = specs.StepSpec(
        3, 1000, 1000, estimate_ms=1000, long_running=not fills, fills=fills
    )
    world.deadly.add(build_ref(DEADLY, 1))
    submit_innocents(world, 6)
    world.submit("entry-0", job_specs.build_job_of(DEADLY, (step,)))
    world.run(SETTLE_MS)
    assert list_failed(world) == {DEADLY}
    assert len(world.crashes) <= MAX_CRASHES
    assert not any(worker.running for worker in world.workers.values())


@pytest.mark.parametrize("seed", range(4))
def test_deadly_gang_is_given_up(seed: int) -> None:
    """Guards against a gang whose tasks are each counted alone."""
    world = start_world(seed)
    step = specs.StepSpec(4, 3000, 1000, estimate_ms=1000, gang=True)
    world.deadly.add(build_ref(DEADLY, seed))
    submit_innocents(world, 6)
    world.submit("entry-0", job_specs.build_job_of(DEADLY, (step,)))
    world.run(SETTLE_MS)
    assert list_failed(world) == {DEADLY}
    check_deadly_starts(world)


@pytest.mark.parametrize("way", ["killed", "frozen", "store down"])
@pytest.mark.parametrize("seed", range(8))
def test_crashes_outlast_the_holder(seed: int, way: str) -> None:
    """Guards against crashes that are forgotten or counted twice."""
    world = start_world(seed, entries=3)
    world.deadly.add(build_ref(DEADLY))
    submit_innocents(world, 8)
    world.submit("entry-0", job_specs.build_job(DEADLY, (3,)))
    while not world.crashes:
        world.run(50)
    world.run(400 * seed)
    match way:
        case "killed":
            world.kill(test_handover.find_holder(world), 3000)
        case "frozen":
            world.freeze(test_handover.find_holder(world), 6000)
        case _:
            world.store_down = True
            world.after(4000, lambda: setattr(world, "store_down", False))
    world.run(SETTLE_MS + 10_000)
    assert list_failed(world) == {DEADLY}
    check_deadly_starts(world)


@pytest.mark.parametrize("seed", range(4))
def test_crashes_outlast_all_machines(seed: int) -> None:
    """Guards against a count that is lost with the memory of all processes."""
    world = start_world(seed)
    world.deadly.add(build_ref(DEADLY))
    world.submit("entry-0", job_specs.build_job(DEADLY, (3,)))
    while not world.crashes:
        world.run(50)
    world.run(nodes.DOWN_MS + 200)
    for name in world.nodes:
        world.kill(name, 2000 + world.random.uniform(0, 500))
    world.run(SETTLE_MS)
    assert list_failed(world) == {DEADLY}
    check_deadly_starts(world)


@pytest.mark.parametrize("seed", range(4))
def test_crash_behind_a_cut_counts(seed: int) -> None:
    """Guards against a crash that is taken for the cut that hides it."""
    world = start_world(seed)
    task = build_ref(DEADLY)
    world.deadly.add(task)

    def cut_crashed_agent() -> None:
        node = world.nodes[world.crashes[0].instance]
        node.cut = True
        world.after(12_000, lambda: setattr(node, "cut", False))

    world.submit("entry-0", job_specs.build_job(DEADLY, (3,)))
    while not world.crashes:
        world.run(5)
    cut_crashed_agent()
    world.run(SETTLE_MS)
    assert list_failed(world) == {DEADLY}
    check_deadly_starts(world)


@pytest.mark.parametrize("seed", range(4))
def test_failed_job_stays_failed_when_handed_in_again(seed: int) -> None:
    """Guards against a resubmission that crashes the workers anew."""
    world = start_world(seed)
    world.deadly.add(build_ref(DEADLY))
    spec = job_specs.build_job(DEADLY, (3,))
    world.submit("entry-0", spec)
    world.run(SETTLE_MS)
    starts = len(world.oracle.started)
    world.submit("entry-1", spec)
    world.run(5000)
    assert get_state(world, DEADLY) is messages.JobState.FAILED
    assert len(world.oracle.started) == starts


@pytest.mark.parametrize("seed", range(6))
def test_line_names_the_workers_that_crashed(seed: int) -> None:
    """Guards against a failed job whose cause no log line tells."""
    world = start_world(seed)
    world.deadly.add(build_ref(DEADLY))
    submit_innocents(world, 6)
    world.submit("entry-0", job_specs.build_job(DEADLY, (3,)))
    world.run(SETTLE_MS)
    lines = [
        line
        for _, _, line in world.log_lines
        if line.decision == "task-given-up"
    ]
    assert [line.subject for line in lines] == [DEADLY]
    inputs = dict(lines[0].inputs)
    assert inputs["task"] == str(build_ref(DEADLY))
    named = inputs["crashed"].split(",")
    assert [name.split("@")[0] for name in named] == [
        crash.instance for crash in world.crashes
    ]


# Crashes that are no task's fault.


@pytest.mark.parametrize("count", [1, 2, 3, 6])
@pytest.mark.parametrize("gap_ms", [300, 1500, 4000])
@pytest.mark.parametrize("seed", range(6))
def test_crashes_of_racks_and_fleets_fail_no_job(
    seed: int, gap_ms: int, count: int
) -> None:
    """Guards against innocent jobs that are given up after an outage."""
    world = start_world(seed)
    submit_innocents(world, 20)
    step = specs.StepSpec(6, 500, 500, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("lasting", (step,)))
    names = list(world.workers)
    for number in range(3):
        chosen = world.random.sample(names, count)
        world.after(
            1000 + number * gap_ms,
            lambda chosen=chosen: crash(world, chosen, 1200),
        )
    world.run(SETTLE_MS + 15_000)
    assert list_failed(world) == set()
    running = sum(len(worker.running) for worker in world.workers.values())
    assert running == step.count


@pytest.mark.parametrize("seed", range(6))
def test_flapping_worker_fails_no_job(seed: int) -> None:
    """Guards against tasks that are blamed for a worker that is broken."""
    world = start_world(seed, agents=3)
    submit_innocents(world, 30)
    for number in range(8):
        world.after(700 + 1700 * number, lambda: crash(world, ["agent-0"], 800))
    world.run(SETTLE_MS)
    assert list_failed(world) == set()


def build_wide_job(job_id: str, *, lasts: bool) -> specs.JobSpec:
    """Returns a job whose only task takes a whole worker."""
    step = specs.StepSpec(1, 8000, 100, estimate_ms=1000, long_running=lasts)
    return job_specs.build_job_of(job_id, (step,))


def find_started(world: worlds.World, job_id: str) -> str | None:
    """Returns the instance on which a task of the job runs."""
    for name, worker in world.workers.items():
        if any(task.job_id == job_id for task in worker.running):
            return name
    return None


def find_crashes_at_once(world: worlds.World) -> None:
    """Makes agents notice the crash of a worker within milliseconds.

    The connection of a waiting poll breaks when a worker crashes; the world
    answers the poll at its end instead.
    """
    for name in world.workers:
        state = world.nodes[name].state
        state.options = dataclasses.replace(
            state.options, poll_wait=datetime.timedelta(milliseconds=20)
        )


def crash_at_next_start(
    world: worlds.World, job_id: str, after_ms: float
) -> None:
    """Crashes the worker that next starts the task of a job."""
    while (name := find_started(world, job_id)) is None:
        world.run(5)
    world.run(after_ms)
    crash(world, [name], 2000)


@pytest.mark.parametrize("lasts", [False, True])
@pytest.mark.parametrize("seed", range(6))
def test_crash_of_a_worker_that_never_ran_the_task_is_no_evidence(
    seed: int, lasts: bool
) -> None:
    """Guards against a job that fails though its task was started once.

    A worker goes dark before it gets the start, and starts again; the worker
    that runs the task instead crashes soon afterwards.
    """
    world = start_world(seed)
    find_crashes_at_once(world)
    dark = world.nodes["agent-0"]
    dark.cut_worker = True
    names = [f"j{number}" for number in range(len(world.workers))]
    for name in names:
        world.submit("entry-0", build_wide_job(name, lasts=lasts))
    world.run(5200)
    begun = {ref.task.job_id for ref in world.oracle.started}
    held_up = [name for name in names if name not in begun]
    assert len(held_up) == 1
    dark.cut_worker = False
    crash(world, ["agent-0"], 300)
    crash_at_next_start(world, held_up[0], 100)
    world.run(SETTLE_MS)
    assert list_failed(world) == set()
    if lasts:
        running = sum(len(worker.running) for worker in world.workers.values())
        assert running == len(names)


@pytest.mark.parametrize("lasts", [False, True])
@pytest.mark.parametrize("after_ms", [20, 100, 300])
@pytest.mark.parametrize("seed", range(4))
def test_two_crashes_soon_after_starts_fail_no_job(
    seed: int, after_ms: float, lasts: bool
) -> None:
    """Guards against two crashes with another cause that count as proof."""
    world = start_world(seed)
    find_crashes_at_once(world)
    world.submit("entry-0", build_wide_job("twice", lasts=lasts))
    crash_at_next_start(world, "twice", after_ms)
    crash_at_next_start(world, "twice", after_ms)
    world.run(SETTLE_MS)
    assert list_failed(world) == set()
    if lasts:
        assert find_started(world, "twice") is not None
    else:
        assert get_state(world, "twice") is messages.JobState.COMPLETED


@pytest.mark.parametrize("seed", range(6))
def test_serving_tasks_are_not_suspected(seed: int) -> None:
    """Guards against serving tasks that are held back by their neighbours."""
    world = start_world(seed)
    step = specs.StepSpec(6, 500, 500, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("lasting", (step,)))
    world.run(4000)
    world.deadly.add(build_ref(DEADLY))
    world.submit("entry-0", job_specs.build_job(DEADLY, (3,)))
    world.run(SETTLE_MS)
    suspects = [
        name
        for _, _, line in world.log_lines
        if line.decision == "worker-crashed"
        for name in dict(line.inputs)["suspects"].split(",")
    ]
    assert suspects
    assert not any("lasting" in name for name in suspects)
    assert list_failed(world) == {DEADLY}


@pytest.mark.parametrize(
    "seed", (*range(20), 142, 164, 165, 217, 218, 300, 343, 382, 1091)
)
def test_deadly_tasks_and_faults(seed: int) -> None:
    """Guards against starts without a limit beside faults of all kinds."""
    world = start_world(seed, agents=5)
    world.faults = nodes.Faults(0.03, 0.03, 0.03)
    world.deadly.add(build_ref(DEADLY))
    submit_innocents(world, 12)
    world.submit("entry-0", job_specs.build_job(DEADLY, (3,)))
    for _ in range(3):
        at_ms = world.random.uniform(500, 12_000)
        names = list(world.workers)
        chosen = world.random.sample(names, world.random.randint(1, 3))
        world.after(at_ms, lambda chosen=chosen: crash(world, chosen, 1500))
    for _ in range(2):
        entry = f"entry-{world.random.randrange(2)}"
        world.after(
            world.random.uniform(500, 12_000),
            lambda entry=entry: world.kill(entry, 1500),
        )
    world.run(20_000)
    world.faults = nodes.NO_FAULTS
    world.run(SETTLE_MS)
    assert list_failed(world) == {DEADLY}
    check_deadly_starts(world)
    for job_id in world.store.jobs:
        assert get_state(world, job_id) in messages.FINAL_STATES


def test_run_found_by_a_new_agent_is_not_fresh() -> None:
    """Guards against serving tasks that warm up anew with their agent."""
    world = start_world(1)
    step = specs.StepSpec(6, 500, 500, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("lasting", (step,)))
    world.run(4000)
    for name in world.workers:
        world.kill(name, 500)
    world.run(2500)
    found = [
        local_run
        for name in world.workers
        for local_run in world.nodes[name].state.active.values()
    ]
    assert len(found) == step.count
    restarted_at = world.now_ms - 2500
    assert all(
        local_run.confirmed_at.total_seconds() * 1000 < restarted_at
        for local_run in found
    )
