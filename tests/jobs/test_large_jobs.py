"""Tests of jobs whose stored progress would exceed what the store accepts.

Pattern: a job with many hundreds of tasks, or many wide jobs that change at
once. A transaction that is too large is refused each time, so the holder could
store nothing any more.
"""

import datetime

import msgspec
import pytest

from gypsumhold.adapters.jobs import codec
from gypsumhold.decisions.jobs import (
    batches,
    lifecycle,
    progress_records,
    record_sizes,
    validation,
)
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    messages,
    progress,
    records,
    runs,
    specs,
    storage,
)
from tests.jobs import builders, job_specs, store_fake, test_world
from tests.jobs import world as worlds

WIDE = 2500
JOBS = 60
NOW = datetime.timedelta(seconds=100)
RUN_TIME_MS = 60_000


def build_wide_job(name: str, widths: tuple[int, ...]) -> specs.JobSpec:
    """Returns a job whose tasks all fit onto the workers at the same time."""
    steps = tuple(
        specs.StepSpec(
            width,
            cpu_millis=1,
            memory_mb=1,
            estimate_ms=1000,
            after=(number - 1,) if number else (),
        )
        for number, width in enumerate(widths)
    )
    return job_specs.build_job_of(name, steps)


def list_states(world: worlds.World) -> set[messages.JobState]:
    return {record.state for record in world.store.progress.values()}


def place_all(
    job: progress.Job, checkpoint_chars: int, failed_runs: int = 0
) -> None:
    """Places each task of a job, with a checkpoint and some failed runs."""
    for step in job.steps:
        for task in step.tasks:
            task.state = records.TaskState.PLACED
            task.run = runs.RunNumber(failed_runs + 1)
            task.instance = ids.InstanceId("side-andina-c-31")
            task.worker_incarnation = runs.WorkerIncarnation(
                "i-9ce584d334", 10**12
            )
            task.checkpoint = runs.Checkpoint("c" * checkpoint_chars)
            task.failures = failed_runs
            task.failed_runs = set(map(runs.RunNumber, range(failed_runs)))


def add_job(spec: specs.JobSpec) -> progress.Job:
    """Returns a job in the memory of a holder."""
    holder_state = builders.build_holder(NOW).holder_state
    assert holder_state is not None
    job = lifecycle.add_job(holder_state, storage.JobRows(spec), NOW)
    assert job is not None
    return job


def list_checkpoints(record: records.ProgressRecord) -> list[str]:
    return [task.checkpoint for step in record.steps for task in step.tasks]


@pytest.mark.parametrize("checkpoint_chars", [100, 256, 4000, 70_000])
@pytest.mark.parametrize("tasks", [1, 20, 290])
def test_record_fits_whatever_the_checkpoints(
    tasks: int, checkpoint_chars: int
) -> None:
    """Guards against a row that the store refuses for its checkpoints."""
    job = add_job(build_wide_job("j", (tasks,)))
    place_all(job, checkpoint_chars)
    encoded = codec.encode(progress_records.build_record(job))
    assert len(encoded) <= store_fake.MAX_ROW_BYTES


def test_checkpoints_that_fit_are_stored() -> None:
    """Guards against work that is lost with the holder for no reason."""
    job = add_job(build_wide_job("j", (290,)))
    place_all(job, 16)
    assert all(list_checkpoints(progress_records.build_record(job)))


def test_waiting_tasks_keep_their_checkpoints_first() -> None:
    """Guards against the loss of checkpoints that no worker reports again."""
    job = add_job(build_wide_job("j", (200,)))
    place_all(job, 256)
    waiting = job.steps[0].tasks[:50]
    for task in waiting:
        task.state = records.TaskState.READY
    stored = list_checkpoints(progress_records.build_record(job))
    assert all(stored[:50])
    assert not any(stored[50:])


def test_record_fits_whatever_has_failed() -> None:
    """Guards against a row that grows with each failed run.

    The runs are left out then; the number of failures stays.
    """
    job = add_job(build_wide_job("j", (3000,)))
    for task in job.steps[0].tasks:
        task.run = runs.RunNumber(4)
        task.failures = 3
        task.failed_runs = {runs.RunNumber(run) for run in (1, 2, 3)}
    record = progress_records.build_record(job)
    assert len(codec.encode(record)) <= store_fake.MAX_ROW_BYTES
    assert {task.failures for task in record.steps[0].tasks} == {3}


def test_long_checkpoints_of_one_job_do_not_stop_the_others() -> None:
    """Guards against one job with which the holder can store nothing more."""
    world = worlds.World(1)
    for worker in world.workers.values():
        worker.checkpoint_chars = 400
        worker.memory_mb = 290_000
        worker.stuck = True
    world.run(3000)
    world.submit("entry-0", job_specs.build_job("long", (290, 3), 100))
    world.run(3000)
    first, *others = world.workers.values()
    first.stuck = False
    world.run(700)
    world.submit("entry-1", job_specs.build_job("narrow", (2, 2)))
    world.run(8000)
    narrow = world.store.progress[specs.JobId("narrow")]
    assert narrow.state is messages.JobState.COMPLETED
    for worker in others:
        worker.stuck = False
    world.run(RUN_TIME_MS)
    assert list_states(world) == {messages.JobState.COMPLETED}


def test_timed_job_with_many_due_tasks_goes_on() -> None:
    """Guards against a job that stops for the room that its tasks may need.

    All repetitions are due before the first one is done.
    """
    world = worlds.World(1, agents=6)
    world.run(3000)
    spec = build_wide_job("timed", (800,))
    spec = msgspec.structs.replace(
        spec, repetitions=5, first_run_ms=1, interval_ms=1
    )
    assert validation.check_job(spec) is None
    world.submit("entry-0", spec)
    world.run(2 * RUN_TIME_MS)
    assert list_states(world) == {messages.JobState.COMPLETED}
    assert len(world.oracle.started) == 5 * 800


def build_job_with_done_repetitions(done: int) -> progress.Job:
    """Returns a timed job of which the first repetitions are done."""
    spec = msgspec.structs.replace(
        build_wide_job("timed", (1,)),
        repetitions=done + 2,
        first_run_ms=1,
        interval_ms=1,
    )
    job = add_job(spec)
    for step in job.steps[:done]:
        for task in step.tasks:
            task.state = records.TaskState.DONE
            task.run = runs.RunNumber(1)
    return job


def test_budget_counts_a_gang_with_its_whole_step() -> None:
    """Guards against a row that a gang makes too large.

    Its tasks have runs by the time when they are taken from the budget.
    """
    gang = specs.StepSpec(300, 1, 1, gang=True)
    other = specs.StepSpec(300, 1, 1)
    job = add_job(job_specs.build_job_of("j", (gang, other)))
    room = 300 * record_sizes.PLACED_TASK_BYTES + 200
    budget = record_sizes.PlacementBudget(job, room)
    assert budget.allows(job.steps[0], 300)
    for task in job.steps[0].tasks:
        task.run = runs.RunNumber(1)
    budget.take(job.steps[0], 300)
    assert not budget.allows(job.steps[1])


def test_done_repetitions_take_no_room() -> None:
    """Guards against a timed job that stops after some thousand repetitions."""
    job = build_job_with_done_repetitions(5000)
    budget = record_sizes.PlacementBudget(job, store_fake.MAX_ROW_BYTES)
    assert budget.allows(job.steps[5000])
    record = progress_records.build_record(job)
    assert len(codec.encode(record)) <= record_sizes.estimate_record(job) + 100


def test_next_holder_knows_the_done_repetitions() -> None:
    """Guards against done repetitions that run again after a hand-over."""
    job = build_job_with_done_repetitions(400)
    job.steps[401].tasks[0].state = records.TaskState.DONE
    job.steps[401].tasks[0].run = runs.RunNumber(1)
    read = codec.decode(
        codec.encode(progress_records.build_record(job)), records.ProgressRecord
    ).unwrap()
    holder_state = builders.build_holder(NOW).holder_state
    assert holder_state is not None
    rows = storage.JobRows(job.spec, read)
    restored = lifecycle.add_job(holder_state, rows, NOW)
    assert restored is not None
    undone = [step.repetition for step in restored.steps if not step.is_done()]
    assert undone == [400]


def test_wide_job_does_not_stop_the_others() -> None:
    """Guards against a row of progress that the store refuses."""
    world = worlds.World(1)
    world.run(3000)
    wide = build_wide_job("wide", (WIDE, 3))
    assert validation.check_job(wide) is None
    world.submit("entry-0", wide)
    world.run(500)
    world.submit("entry-1", job_specs.build_job("narrow", (2, 2)))
    world.run(6000)
    narrow = world.store.progress[specs.JobId("narrow")]
    assert narrow.state is messages.JobState.COMPLETED
    world.run(RUN_TIME_MS)
    assert list_states(world) == {messages.JobState.COMPLETED}


def test_many_changed_jobs_are_stored_in_several_batches() -> None:
    """Guards against a transaction that the store refuses."""
    state = builders.build_holder(NOW)
    assert state.holder_state is not None
    for number in range(JOBS):
        spec = build_wide_job(f"j{number}", (290,))
        lifecycle.add_job(state.holder_state, storage.JobRows(spec), NOW)
        job = state.holder_state.jobs[spec.job_id]
        place_all(job, 16)
        lifecycle.mark_dirty(state.holder_state, job)
    (commit,) = [
        effect
        for effect in batches.commit_if_due(state, NOW)
        if isinstance(effect, effects.CommitBatch)
    ]
    size = sum(len(codec.encode(write.record)) for write in commit.batch.writes)
    assert 0 < size * 4 / 3 <= store_fake.MAX_TRANSACTION_BYTES
    written = len(commit.batch.writes)
    assert written + len(state.holder_state.dirty) == JOBS


@pytest.mark.parametrize("seed", range(3))
def test_next_holder_knows_the_done_steps_of_a_wide_job(seed: int) -> None:
    """Guards against done tasks that run again after a hand-over."""
    world = worlds.World(seed)
    world.run(3000)
    spec = build_wide_job("wide", (400, 400))
    world.submit("entry-0", spec)
    world.run(500)
    for _ in range(100):
        if has_compact_step(world.store.progress.get(spec.job_id)):
            break
        world.run(100)
    world.kill("entry-0", 60_000)
    world.kill("entry-1", 500)
    world.run(RUN_TIME_MS)
    test_world.check_all_ended(world)
    started = [ref.task for ref in world.oracle.started]
    first_step = {task for task in started if task.step == 0}
    assert len(first_step) == 400
    assert sum(task.step == 0 for task in started) == 400


def has_compact_step(record: records.ProgressRecord | None) -> bool:
    return record is not None and any(not step.tasks for step in record.steps)


def test_record_of_a_small_job_lists_its_done_tasks() -> None:
    """Guards against rows that a former version would run again."""
    holder_state = builders.build_holder(NOW).holder_state
    assert holder_state is not None
    spec = build_wide_job("small", (3,))
    job = lifecycle.add_job(holder_state, storage.JobRows(spec), NOW)
    assert job is not None
    for task in job.steps[0].tasks:
        task.state = records.TaskState.DONE
        task.run = runs.RunNumber(1)
    (step,) = progress_records.build_record(job).steps
    assert [task.state for task in step.tasks] == [records.TaskState.DONE] * 3
