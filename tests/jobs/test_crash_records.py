"""Tests of stored crashes, and of the policies that judge them."""

import datetime

import msgspec
import pytest

from gypsumhold.adapters.jobs import codec
from gypsumhold.decisions.jobs import (
    lifecycle,
    progress_records,
    record_sizes,
    verdicts,
)
from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, records, runs, scheduler, storage
from tests.jobs import builders, job_specs

NOW = datetime.timedelta(seconds=1)
Evidence = runs.CrashEvidence


def build_crash(
    number: int, evidence: Evidence, *, began: bool = True
) -> runs.Crash:
    instance = ids.InstanceId(f"side-andina-{number}")
    return runs.Crash(instance, 1_788_285_346_928, evidence, began)


def build_record(tasks: int, crashes: int) -> records.ProgressRecord:
    task = records.TaskRecord(
        records.TaskState.PLACED,
        runs.RunNumber(3),
        0,
        ids.InstanceId("side-andina-c-3"),
        runs.WorkerIncarnation("i-c67ba972c0", 1_788_285_346_928),
        crashes=tuple(
            build_crash(number, Evidence.SHARED) for number in range(crashes)
        ),
    )
    step = records.StepRecord(0, 0, (task,) * tasks)
    return records.ProgressRecord(
        records.FORMAT, messages.JobState.RUNNING, (step,)
    )


def decode_record(data: bytes) -> records.ProgressRecord:
    return codec.decode(data, records.ProgressRecord).unwrap()


def build_holder_state() -> scheduler.HolderState:
    holder_state = builders.build_holder(NOW).holder_state
    assert holder_state is not None
    return holder_state


def test_row_of_a_former_version_is_read() -> None:
    """Guards against jobs that are left out after an update."""
    task = ["p", 2, 0, "side-a-1", ["i-1", 5], ""]
    old = msgspec.msgpack.encode([1, "running", [[0, 0, [task]]]])
    record = decode_record(old)
    assert record.steps[0].tasks[0].crashes == ()


def test_crashes_are_stored_and_read() -> None:
    """Guards against a count that the next holder does not have."""
    record = build_record(1, 2)
    read = decode_record(codec.encode(record))
    holder_state = build_holder_state()
    spec = job_specs.build_job("j", (1,))
    job = lifecycle.add_job(holder_state, storage.JobRows(spec, read), NOW)
    assert job is not None
    task = job.steps[0].tasks[0]
    assert task.crashes == record.steps[0].tasks[0].crashes
    assert task.excluded_instances == {"side-andina-0", "side-andina-1"}
    assert progress_records.build_record(job) == record


@pytest.mark.parametrize("tasks", [1, 40, 250])
@pytest.mark.parametrize("crashes", [0, 1, 5])
def test_size_of_crashes_is_bounded(tasks: int, crashes: int) -> None:
    """Guards against a row that the store refuses for its size."""
    holder_state = build_holder_state()
    spec = job_specs.build_job("j", (tasks,))
    record = build_record(tasks, crashes)
    job = lifecycle.add_job(holder_state, storage.JobRows(spec, record), NOW)
    assert job is not None
    encoded = codec.encode(progress_records.build_record(job))
    assert len(encoded) <= record_sizes.estimate_record(job)
    if tasks + tasks * crashes > record_sizes.LARGE_JOB_TASKS:
        assert record_sizes.is_large(job)


ALONE, SHARED, UNSURE = Evidence.ALONE, Evidence.SHARED, Evidence.UNSURE


@pytest.mark.parametrize(
    ("evidence", "gives_up"),
    [
        ((ALONE,), False),
        ((SHARED, ALONE), False),
        ((ALONE, ALONE), False),
        ((SHARED, ALONE, ALONE), True),
        ((UNSURE, ALONE, ALONE), True),
        ((UNSURE, UNSURE, ALONE), False),
        ((ALONE, ALONE, SHARED), True),
        ((SHARED, SHARED), False),
        ((SHARED, SHARED, SHARED), True),
        ((SHARED, SHARED, UNSURE), False),
        ((UNSURE,) * 4, False),
        ((UNSURE,) * 5, True),
    ],
)
def test_evidence_decides(
    evidence: tuple[Evidence, ...], gives_up: bool
) -> None:
    """Guards against a verdict that one more crash of a rack changes."""
    crashes = [
        build_crash(number, kind) for number, kind in enumerate(evidence)
    ]
    policy = verdicts.ByEvidence()
    assert policy.should_give_up(crashes) is gives_up


@pytest.mark.parametrize(
    ("begun", "others", "gives_up"),
    [(0, 9, False), (1, 4, False), (2, 3, False), (3, 1, False), (3, 2, True)],
)
def test_crash_without_a_run_is_no_evidence(
    begun: int, others: int, gives_up: bool
) -> None:
    """Guards against a task that is given up for workers it never ran on."""
    crashes = [build_crash(number, UNSURE) for number in range(begun)]
    crashes += [
        build_crash(begun + number, UNSURE, began=False)
        for number in range(others)
    ]
    policy = verdicts.ByEvidence()
    assert policy.should_give_up(crashes) is gives_up


def test_crash_of_a_former_version_is_no_evidence() -> None:
    """Guards against rows that do not say whether the run had begun."""
    crash = ["side-a-1", 5, "a"]
    task = ["p", 2, 0, "side-a-1", ["i-1", 5], "", [], [crash]]
    old = msgspec.msgpack.encode([1, "running", [[0, 0, [task]]]])
    read = decode_record(old).steps[0].tasks[0].crashes
    assert read == (
        runs.Crash(ids.InstanceId("side-a-1"), 5, ALONE, began=False),
    )


def test_one_faulty_instance_does_not_convict() -> None:
    """Guards against a task that is blamed for a worker that flaps."""
    crashes = [
        runs.Crash(ids.InstanceId("side-a-1"), number, ALONE, began=True)
        for number in range(3)
    ]
    assert not verdicts.ByEvidence().should_give_up(crashes)


def test_baseline_counts() -> None:
    crashes = [build_crash(number, UNSURE) for number in range(3)]
    policy = verdicts.CountCrashes(3)
    assert not policy.should_give_up(crashes[:2])
    assert policy.should_give_up(crashes)
