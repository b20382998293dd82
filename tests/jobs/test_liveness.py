"""Random search for ready tasks that stay without a run although it is calm.

Guards against an open job of which nothing runs, and against a lasting task
that does not run, after every fault has passed. Beside the faults of
`test_world`, workers come back under the same or a new name, or with an earlier
start, or are lost for good, and all processes die together.

No wait may be longer than the constants of its stage allow, as the table in
`docs/platform.md` has them.
"""

import dataclasses
import enum
from collections.abc import Iterator

import pytest

from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model.jobs import (
    messages,
    progress,
    runs,
    scheduler,
    specs,
)
from tests.jobs import job_specs, nodes, test_world, wait_oracle
from tests.jobs import world as worlds

SEEDS = (*range(12), 30, 48, 78, 120)
FOREVER_MS = 1e9
FAULTS_MS = 18_000
CALM_MS = 34_000
"""Time for faults to pass, leases to lapse and short jobs to end."""

MAX_LOST_WORKERS = 2

SAMPLE_MS = 250
TAKEOVER_MS = 3300
MARGIN_MS = 300
"""Drift between two clocks during a grant or a lease."""

REPORT_MS = 1000
REPORT_TIMEOUT_MS = 2500
"""Time without a report after which the list of workers is read."""

LIST_INTERVAL_MS = 1000
CRASH_PROOF_MS = 4000
LONGEST_CALL_DELAY_MS = 12_000
LONGEST_LEASE_MS = 10_200
TIME_WITHOUT_RUN_MS = 3000
PLACEMENT_MS = 1700
"""What the limit of 3 s leaves for two batches and the start of a starved job,
which has waited for 1.3 s."""


class Stage(enum.Enum):
    """What a task without a run waits for, the longest wait last."""

    PLACEMENT = enum.auto()
    LOST_RUN = enum.auto()
    OPEN_START = enum.auto()


MAX_WAIT_MS = {
    Stage.PLACEMENT: TIME_WITHOUT_RUN_MS,
    Stage.LOST_RUN: REPORT_TIMEOUT_MS
    + LIST_INTERVAL_MS
    + CRASH_PROOF_MS
    + PLACEMENT_MS,
    Stage.OPEN_START: LONGEST_CALL_DELAY_MS
    + LIST_INTERVAL_MS
    + REPORT_MS
    + PLACEMENT_MS,
}
"""Longest wait with a holder where the platform lists the workers."""

MAX_UNLISTED_WAIT_MS = {
    Stage.PLACEMENT: TIME_WITHOUT_RUN_MS,
    Stage.LOST_RUN: LONGEST_LEASE_MS + MARGIN_MS + PLACEMENT_MS,
    Stage.OPEN_START: LONGEST_CALL_DELAY_MS
    + LONGEST_LEASE_MS
    + MARGIN_MS
    + REPORT_MS
    + PLACEMENT_MS,
}
"""The same where it does not: leases decide."""

Key = specs.JobId | runs.TaskRef


def build_lasting(world: worlds.World) -> tuple[specs.StepSpec, ...]:
    step = specs.StepSpec(
        world.random.randint(1, 3),
        1000,
        world.random.choice((1000, 5776)),
        estimate_ms=1000,
        long_running=True,
        max_per_worker=world.random.choice((0, 1)),
    )
    return (step,)


def build_best_effort(world: worlds.World) -> tuple[specs.StepSpec, ...]:
    return tuple(
        specs.StepSpec(
            world.random.randint(1, 8),
            world.random.choice((1000, 4000)),
            1000,
            estimate_ms=1500,
            after=(number - 1,) if number else (),
            checkpoints=True,
            fills=True,
        )
        for number in range(2)
    )


def build_short(world: worlds.World) -> tuple[specs.StepSpec, ...]:
    return tuple(
        specs.StepSpec(
            world.random.randint(1, 8),
            world.random.choice((500, 1000, 4000)),
            1000,
            estimate_ms=1000,
            after=(number - 1,) if number else (),
            max_per_worker=world.random.choice((0, 0, 1)),
        )
        for number in range(2)
    )


def submit_jobs(world: worlds.World) -> None:
    builders = (build_lasting, build_best_effort, build_short, build_short)
    for number in range(world.random.randint(8, 22)):
        steps = world.random.choice(builders)(world)
        spec = job_specs.build_job_of(f"j{number}", steps)
        entry = f"entry-{world.random.randrange(2)}"
        world.after(
            world.random.uniform(0, 9000),
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )


def restart_worker(world: worlds.World) -> None:
    """Restarts a worker; its agent may die with it."""
    name = world.random.choice(list(world.workers))
    worker = world.workers[name]
    worker.restart(world.now_ms, world.random.uniform(100, 6000))
    drawn = world.random.random()
    lost = sum(other.up_at_ms >= FOREVER_MS for other in world.workers.values())
    if drawn < 0.3:
        worker.name += "x"
    elif drawn < 0.45:
        worker.started_ms -= 2500
    elif drawn < 0.7 and lost < MAX_LOST_WORKERS:
        worker.up_at_ms = FOREVER_MS
    if world.random.random() < 0.5:
        world.kill(name, world.random.uniform(100, 3000))


def kill_all(world: worlds.World) -> None:
    for name in world.nodes:
        world.kill(name, world.random.uniform(200, 2500))


def inject_fault(world: worlds.World) -> None:
    drawn = world.random.random()
    if drawn < 0.4:
        restart_worker(world)
    elif drawn < 0.5:
        kill_all(world)
    else:
        test_world.inject_fault(world)


def list_running(world: worlds.World) -> list[runs.TaskRef]:
    running: list[runs.TaskRef] = []
    for worker in world.workers.values():
        if worker.up_at_ms <= world.now_ms:
            worker.advance(world.now_ms)
            running += worker.running
    return running


def list_waiting(world: worlds.World) -> list[specs.JobId]:
    """Returns the open jobs of which too little runs."""
    running = [ref.job_id for ref in list_running(world)]
    waiting = []
    for job_id, spec in world.store.jobs.items():
        record = world.store.progress.get(job_id)
        if record is not None and record.state in messages.FINAL_STATES:
            continue
        first = spec.steps[0]
        wanted = first.count if first.long_running else 1
        if running.count(job_id) < wanted:
            waiting.append(job_id)
    return waiting


def list_waiting_keys(world: worlds.World) -> Iterator[Key]:
    """Yields the open jobs without a run, and lasting tasks by themselves."""
    running = set(list_running(world))
    for job_id in list_waiting(world):
        step = world.store.jobs[job_id].steps[0]
        if not step.long_running:
            yield job_id
            continue
        for index in range(step.count):
            task = runs.TaskRef(job_id, 0, 0, index)
            if task not in running:
                yield task


def find_job(world: worlds.World, key: Key) -> progress.Job | None:
    """Returns the state of a job if some entry holds the queue and has it."""
    holders = [
        node.state.holder_state
        for node in world.nodes.values()
        if node.alive and not node.frozen
        if isinstance(node.state, scheduler.SchedulerState)
        if node.state.role is scheduler.Role.HOLDER
        if node.state.holder_state is not None
    ]
    if not holders:
        return None
    job_id = key.job_id if isinstance(key, runs.TaskRef) else key
    return max(holders, key=lambda holder: holder.term).jobs.get(job_id)


def find_task_stage(
    world: worlds.World, step: progress.Step, task: progress.Task
) -> Stage:
    if not task.is_placed():
        # A suspect may have to wait for the probation of others of the worker.
        is_suspect = step.is_suspect(task)
        return Stage.LOST_RUN if is_suspect else Stage.PLACEMENT
    if expiries.has_open_start(task):
        return Stage.OPEN_START
    worker = world.workers[task.instance]
    is_up = worker.up_at_ms <= world.now_ms
    if is_up and worker.name == task.worker_incarnation.name:
        return Stage.PLACEMENT
    return Stage.LOST_RUN


def find_stage(
    world: worlds.World, key: Key, *, has_room: bool
) -> Stage | None:
    """Returns the stage of a wait; the task that is due first decides.

    Without room, tasks that are not placed don't count.
    """
    job = find_job(world, key)
    if job is None:
        return Stage.PLACEMENT
    if isinstance(key, runs.TaskRef):
        step = job.find_step(key)
        return find_task_stage(world, step, step.tasks[key.index])
    stages = [
        find_task_stage(world, step, task)
        for step in job.steps
        if step.open
        for task in step.tasks
        if task.is_placed() or (has_room and not task.is_done())
    ]
    return min(stages, key=lambda stage: stage.value, default=None)


def is_calm(world: worlds.World) -> bool:
    """Tells whether all processes and links work; lost workers stay lost."""
    are_nodes_well = all(
        node.alive
        and not (node.frozen or node.cut or node.cut_store or node.cut_worker)
        for node in world.nodes.values()
    )
    are_workers_up = all(
        worker.up_at_ms <= world.now_ms or worker.up_at_ms >= FOREVER_MS
        for worker in world.workers.values()
    )
    return are_nodes_well and are_workers_up and not world.store_down


@dataclasses.dataclass(slots=True)
class Wait:
    """A time without a run after the last fault.

    Attributes:
        key: The job or lasting task.
        since_ms: First sample of the wait, or the end of the last fault.
        until_ms: First sample after the wait, or the latest one in it.
        stage: The longest stage that it went through.
        lacked_holder: Whether no entry had the job for some of the time.
    """

    key: Key
    since_ms: float
    until_ms: float
    stage: Stage = Stage.PLACEMENT
    lacked_holder: bool = False

    def is_too_long(self, *, lists_workers: bool) -> bool:
        bounds = MAX_WAIT_MS if lists_workers else MAX_UNLISTED_WAIT_MS
        bound_ms = bounds[self.stage] + SAMPLE_MS
        if self.lacked_holder:
            bound_ms += TAKEOVER_MS
        return self.until_ms - self.since_ms > bound_ms


def measure_waits(world: worlds.World, for_ms: int) -> list[Wait]:
    """Lets the world go on, and returns the waits after the last fault.

    The wait of a job without a placed task ends when the platform's rule, which
    `wait_oracle` has, sees no room for it.
    """
    checks = wait_oracle.WaitOracle(world.store, world.workers, world.oracle)
    pending: dict[Key, Wait] = {}
    waits: list[Wait] = []
    for _ in range(for_ms // SAMPLE_MS):
        world.run(SAMPLE_MS)
        if not is_calm(world):
            pending.clear()
            continue
        checks.sample(world.now_ms)
        keys = list(list_waiting_keys(world))
        for wait in pending.values():
            wait.until_ms = world.now_ms
        waits += [pending.pop(key) for key in pending.keys() - set(keys)]
        for key in keys:
            has_room = isinstance(key, runs.TaskRef) or key in checks.waits
            stage = find_stage(world, key, has_room=has_room)
            if stage is None:
                waits += [pending.pop(key)] if key in pending else []
                continue
            wait = pending.setdefault(
                key, Wait(key, world.now_ms, world.now_ms)
            )
            wait.lacked_holder |= find_job(world, key) is None
            if stage.value > wait.stage.value:
                wait.stage = stage
    return [*waits, *pending.values()]


def play_faults(seed: int, *, lists_workers: bool) -> worlds.World:
    """Returns a world at the end of its faults; some of them still last."""
    world = worlds.World(seed, agents=6, lists_workers=lists_workers)
    world.run(2500)
    world.faults = nodes.Faults(0.03, 0.03, 0.03, 0.04)
    submit_jobs(world)
    for _ in range(world.random.randint(4, 12)):
        world.after(
            world.random.uniform(500, 16_000), lambda: inject_fault(world)
        )
    world.after(16_000, lambda: kill_all(world))
    world.run(FAULTS_MS)
    world.faults = nodes.NO_FAULTS
    return world


@pytest.mark.parametrize("lists_workers", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_open_jobs_run_after_all_faults(seed: int, lists_workers: bool) -> None:
    """Guards against a job that waits for something that never comes.

    Also against one that waits for longer than the proof takes that it needs.
    """
    world = play_faults(seed, lists_workers=lists_workers)
    waits = measure_waits(world, CALM_MS)
    assert list_waiting(world) == []
    assert [
        wait for wait in waits if wait.is_too_long(lists_workers=lists_workers)
    ] == []
