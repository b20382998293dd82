"""Tests of what the holder does for jobs that have been without a run for long.

Guards against parts on the way to a run that wait for what was lost, or that
let other jobs go first without an end.
"""

import datetime

import pytest

from gypsumhold.model.jobs import effects, runs, scheduler, specs
from tests.jobs import job_specs, large_world
from tests.jobs import world as worlds

BATCH_MS = 300.0
MAX_WAIT_MS = 3000.0
"""Time without a run that the platform allows while there is capacity."""

LONG_WORK_MS = 60_000.0

MAX_START_MS = 1000.0
"""Time in which each agent reports to a new holder, which then has no reason
left to delay a job."""


def serve_everywhere(world: worlds.World) -> None:
    """Runs serving tasks that leave best-effort tasks hardly any CPU."""
    step = specs.StepSpec(
        len(world.workers),
        7500,
        1000,
        estimate_ms=1000,
        long_running=True,
        max_per_worker=1,
        target_latency_ms=50,
        image=specs.Image("serving"),
    )
    world.submit("entry-0", job_specs.build_job_of("serving", (step,)))
    world.run(2000)


def test_another_task_runs_if_the_first_does_not_begin() -> None:
    """Guards against a job that counts as served by a run that never begins.

    Its tasks are placed one at a time, and the agent of the first one is paused
    when the start is on its way.
    """
    world = worlds.World(3, agents=3)
    world.run(3000)
    serve_everywhere(world)
    step = specs.StepSpec(4, 4000, 1000, estimate_ms=1000, fills=True)
    world.submit("entry-0", job_specs.build_job_of("job", (step,)))
    while not any(
        line.decision == "place" and line.subject == "job"
        for _, _, line in world.log_lines
    ):
        world.run(5)
    first = next(
        line.outcome
        for _, _, line in world.log_lines
        if line.decision == "place" and line.subject == "job"
    )
    world.freeze(first, 6000)
    placed_ms = world.now_ms
    started: set[str] = set()
    while "job" not in started and world.now_ms < placed_ms + 5000:
        world.run(20)
        started = {str(ref.task.job_id) for ref in world.oracle.started}
    assert world.now_ms - placed_ms <= MAX_WAIT_MS


@pytest.mark.parametrize("seed", [3, 4, 5, 6])
def test_another_task_goes_to_another_worker(seed: int) -> None:
    """Guards against tasks that follow each other to an agent that is paused.

    The policy prefers its worker, which has most CPU idle.
    """
    world = worlds.World(seed, agents=3)
    large = world.workers["agent-1"]
    large.cpu_millis *= 4
    large.memory_mb *= 4
    world.run(3000)
    serve_everywhere(world)
    step = specs.StepSpec(4, 4000, 1000, estimate_ms=1000, fills=True)
    submitted_ms = world.now_ms
    world.submit("entry-0", job_specs.build_job_of("job", (step,)))
    while not list_placed(world):
        world.run(5)
    world.freeze(list_placed(world)[0], 6000)
    while len(list_placed(world)) < 2 and world.now_ms < submitted_ms + 6000:
        world.run(5)
    first, second = list_placed(world)
    assert first != second
    while "job" not in list_running(world):
        world.run(5)
    assert world.now_ms - submitted_ms <= MAX_WAIT_MS


def list_placed(world: worlds.World) -> list[str]:
    """Returns the instances on which tasks of the job were placed so far."""
    return [
        line.outcome
        for _, _, line in world.log_lines
        if line.decision == "place" and line.subject == "job"
    ]


def test_refused_start_does_not_renew_the_wait() -> None:
    """Guards against a wait that begins anew once an agent lists the run.

    The agent lists runs that it has not started. The worker refuses this one,
    and the policy delays its next placement.
    """
    world = worlds.World(3, agents=3)
    world.run(3000)
    serve_everywhere(world)
    step = specs.StepSpec(1, 4000, 1000, estimate_ms=1000, fills=True)
    # The start waits on its way for so long that a report lists the run.
    world.pauses_ms[effects.StartRun] = lambda: 600.0
    for worker in world.workers.values():
        worker.refuses_starts = True
    submitted_ms = world.now_ms
    world.submit("entry-0", job_specs.build_job_of("job", (step,)))
    while not any(
        line.decision == "run-refused" for _, _, line in world.log_lines
    ):
        world.run(10)
    for worker in world.workers.values():
        worker.refuses_starts = False
    del world.pauses_ms[effects.StartRun]
    started: set[str] = set()
    while "job" not in started and world.now_ms < submitted_ms + 6000:
        world.run(20)
        started = {str(ref.task.job_id) for ref in world.oracle.started}
    assert world.now_ms - submitted_ms <= MAX_WAIT_MS


def find_holder(world: worlds.World) -> str:
    return next(
        node.name
        for node in world.nodes.values()
        if isinstance(node.state, scheduler.SchedulerState)
        and node.state.role is scheduler.Role.HOLDER
    )


def run_until_step_ends(world: worlds.World) -> float:
    """Runs a job's first step until its last run ends; returns when it did.

    The policy delays the second step, which is best-effort.
    """
    serve_everywhere(world)
    first = specs.StepSpec(1, 100, 100, estimate_ms=1000)
    second = specs.StepSpec(
        1, 4000, 1000, estimate_ms=1000, after=(0,), fills=True
    )
    world.submit("entry-0", job_specs.build_job_of("job", (first, second)))
    while not any(ref.task.job_id == "job" for ref in world.oracle.started):
        world.run(5)
    while list_running(world) >= {"job"}:
        world.run(5)
    return world.now_ms


def list_running(world: worlds.World) -> set[str]:
    for worker in world.workers.values():
        worker.advance(world.now_ms)
    return {
        str(ref.job_id)
        for worker in world.workers.values()
        for ref in worker.running
    }


def measure_wait(world: worlds.World, ended_ms: float) -> float:
    """Returns the time from the end of the first step to the next start."""
    while "job" not in list_running(world) and world.now_ms < ended_ms + 8000:
        world.run(5)
    return world.now_ms - ended_ms


def test_lost_report_of_an_end_counts_as_waiting() -> None:
    """Guards against a wait that begins only once the end is reported."""
    world = worlds.World(3, agents=3)
    world.run(3000)
    ended_ms = run_until_step_ends(world)
    world.scripted_faults[effects.SendReport] = ["late"] * len(world.workers)
    assert measure_wait(world, ended_ms) <= MAX_WAIT_MS


def test_start_without_an_answer_does_not_renew_the_wait() -> None:
    """Guards against a second delay after a start that is in doubt."""
    world = worlds.World(3, agents=3)
    world.run(3000)
    ended_ms = run_until_step_ends(world)
    world.scripted_faults[effects.StartRun] = ["late"]
    assert measure_wait(world, ended_ms) <= MAX_WAIT_MS


def test_ends_are_acknowledged_while_many_jobs_change() -> None:
    """Guards against workers whose list of ends fills up.

    More jobs change during each batch than it can store, so some changed job is
    always left over.
    """
    world = large_world.LargeWorld(1, 10)
    world.run(4000)
    world.pauses_ms[effects.CommitBatch] = lambda: BATCH_MS
    for number in range(150):
        step = specs.StepSpec(40, 30, 10, estimate_ms=8000)
        world.submit(
            "entry-0", job_specs.build_job_of(f"job-{number}", (step,))
        )
    world.run(9000)
    listed: dict[tuple[str, int], float] = {}
    longest = datetime.timedelta(0)
    for _ in range(100):
        world.run(50)
        present = {
            (name, end.number)
            for name, worker in world.workers.items()
            for end in worker.ends
        }
        listed = {key: listed.get(key, world.now_ms) for key in sorted(present)}
        oldest_ms = min(listed.values(), default=world.now_ms)
        age = datetime.timedelta(milliseconds=world.now_ms - oldest_ms)
        longest = max(longest, age)
    assert world.oracle.started
    assert longest <= datetime.timedelta(milliseconds=MAX_WAIT_MS)


def test_next_holder_does_not_renew_the_wait() -> None:
    """Guards against a holder that delays jobs which waited under another one.

    The new holder has to wait for reports only, so the job starts as soon as a
    loaded plan is stored: the delay of the policy is over.
    """
    world = worlds.World(3, agents=3)
    world.run(3000)
    run_until_step_ends(world)
    world.run(300)
    assert "job" not in list_running(world)
    world.kill(find_holder(world), 60_000)
    while not any(
        line.decision == "jobs-loaded" and at_ms > world.now_ms - 10
        for at_ms, _, line in world.log_lines
    ):
        world.run(5)
    loaded_ms = world.now_ms
    while "job" not in list_running(world) and world.now_ms < loaded_ms + 8000:
        world.run(5)
    assert world.now_ms - loaded_ms <= MAX_START_MS


class LongRunWorld(worlds.World):
    """A world in which each run goes on until its worker is lost."""

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        return LONG_WORK_MS


@pytest.mark.parametrize("down_ms", [0.0, 300.0, 700.0, 1000.0, 1500.0])
@pytest.mark.parametrize("seed", [3, 4, 5, 6])
def test_lost_worker_does_not_renew_the_wait(seed: int, down_ms: float) -> None:
    """Guards against a wait that begins only once a loss is reported.

    A worker is lost with the only run of a job. Its agent reports the next
    incarnation up to two seconds later, and the policy delays the placement.
    """
    world = LongRunWorld(seed, agents=4)
    world.run(3000)
    serve_everywhere(world)
    step = specs.StepSpec(1, 4000, 1000, estimate_ms=60_000, fills=True)
    world.submit("entry-0", job_specs.build_job_of("job", (step,)))
    while "job" not in list_running(world):
        world.run(5)
    # Older runs are not suspected of the crash, and need no quiet worker.
    world.run(2500)
    name = next(
        name
        for name, worker in world.workers.items()
        if any(ref.job_id == "job" for ref in worker.running)
    )
    lost_ms = world.now_ms
    world.workers[name].restart(lost_ms, down_ms)
    assert measure_wait(world, lost_ms) <= MAX_WAIT_MS
