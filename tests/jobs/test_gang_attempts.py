"""Tests of what counts as a failed run of a gang.

The tasks of a gang share the number of each run. As many of them may end as
failed in one run as were on a faulty worker, and their ends may come in any
order, from several agents, twice, or after the gang was released.
"""

import datetime
from collections.abc import Sequence

import pytest

from gypsumhold.decisions.jobs import lifecycle, progress_records, run_ends
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    messages,
    progress,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from tests.jobs import builders, job_specs

NOW = datetime.timedelta(seconds=10)
JOB = specs.JobId("gang")
MEMBERS = 6
MAX_ATTEMPTS = job_specs.QUEUE.max_attempts

DONE = runs.RunEnd.DONE
FAILED = runs.RunEnd.FAILED
STOPPED = runs.RunEnd.STOPPED
BROKEN = runs.RunEnd.GANG_ENDED
ALONE = runs.RunEnd.GANG_INCOMPLETE

Ends = Sequence[tuple[int, runs.RunEnd]]


class Gang:
    """A holder whose only job is a gang on two instances."""

    def __init__(self, record: records.ProgressRecord | None = None) -> None:
        state = builders.build_holder(NOW).holder_state
        assert state is not None
        self.holder_state = state
        self.views = [
            self._add_view(f"agent-{number}", number) for number in range(2)
        ]
        self.numbers = [0, 0]
        step = specs.StepSpec(MEMBERS, 100, 100, gang=True)
        spec = job_specs.build_job_of(JOB, (step,))
        job = lifecycle.add_job(state, storage.JobRows(spec, record), NOW)
        assert job is not None
        self.job: progress.Job = job

    def _add_view(self, name: str, number: int) -> scheduler.AgentView:
        worker = builders.build_worker(runs.WorkerIncarnation(f"i-{number}", 1))
        report = messages.Report(
            ids.InstanceId(name),
            ids.Incarnation(1),
            1,
            messages.Endpoint("10.0.0.1", 1),
            worker,
            ids.Epoch(1),
        )
        view = scheduler.AgentView(report.instance, report, NOW)
        self.holder_state.agents[report.instance] = view
        return view

    def build_ref(self, index: int) -> runs.TaskRef:
        return runs.TaskRef(JOB, 0, 0, index)

    def place(self) -> None:
        """Places each task; the first three are on the first instance."""
        for index, task in enumerate(self.job.steps[0].tasks):
            assert task.state is records.TaskState.READY
            lifecycle.place_task(
                self.holder_state,
                self._find_view(index),
                scheduler.PlacedTask(self.job, self.job.steps[0], task),
                self.build_ref(index),
                NOW,
            )

    def _find_view(self, index: int) -> scheduler.AgentView:
        return self.views[0 if index < MEMBERS // 2 else 1]

    def release(self) -> None:
        """Releases all tasks without an end, as after a lapsed grant."""
        for index, task in enumerate(self.job.steps[0].tasks):
            placed = scheduler.PlacedTask(self.job, self.job.steps[0], task)
            lifecycle.release_task(
                self.holder_state, self.build_ref(index), placed
            )

    def end(self, run: int, ends: Ends) -> None:
        """Reports ends of one run, each by the agent of its instance."""
        for index, how in ends:
            view = self._find_view(index)
            self.numbers[self.views.index(view)] += 1
            row = runs.EndRow(
                runs.EndNumber(self.numbers[self.views.index(view)]),
                runs.RunRef(self.build_ref(index), runs.RunNumber(run)),
                how,
            )
            run_ends.handle_run_end(self.holder_state, view, row, NOW)

    def fail_run(self, run: int) -> None:
        self.place()
        self.end(run, FAILED_RUN)


FAILED_RUN: Ends = [
    (0, FAILED),
    (4, BROKEN),
    (1, FAILED),
    (3, STOPPED),
    (2, FAILED),
    (5, BROKEN),
]


@pytest.mark.parametrize(
    "order",
    [(0, 1, 2, 3, 4, 5), (5, 4, 3, 2, 1, 0), (4, 0, 5, 1, 3, 2)],
    ids=str,
)
def test_gang_has_all_its_attempts(order: tuple[int, ...]) -> None:
    """Guards against a gang that is given up after one failed run.

    Each task that failed in it counted as an attempt.
    """
    gang = Gang()
    ends = dict(FAILED_RUN)
    for run in range(1, MAX_ATTEMPTS):
        gang.place()
        gang.end(run, [(index, ends[index]) for index in order])
        assert gang.job.is_open()
    gang.place()
    gang.end(MAX_ATTEMPTS, [(index, ends[index]) for index in order])
    assert gang.job.state is messages.JobState.FAILED


@pytest.mark.parametrize("how", [BROKEN, ALONE, STOPPED])
def test_ends_without_a_failure_are_no_attempt(how: runs.RunEnd) -> None:
    """Guards against a gang that is given up for what befell its tasks."""
    gang = Gang()
    for run in range(1, 3 * MAX_ATTEMPTS):
        gang.place()
        gang.end(run, [(index, how) for index in range(MEMBERS)])
    assert gang.job.is_open()


def test_failures_of_a_released_run_count_once() -> None:
    """Guards against a gang that has more attempts than it may have.

    The ends of a run arrive after the gang was released, twice, and together
    with those of the run after it.
    """
    gang = Gang()
    gang.place()
    gang.release()
    gang.place()
    gang.end(1, [(0, FAILED), (1, FAILED)])
    gang.end(1, [(0, FAILED)])
    assert gang.job.is_open()
    gang.end(2, FAILED_RUN)
    assert gang.job.is_open()
    gang.fail_run(3)
    assert gang.job.state is messages.JobState.FAILED


def test_released_run_that_was_done_completes_the_gang() -> None:
    """Guards against a gang that is done and runs again."""
    gang = Gang()
    gang.place()
    gang.release()
    gang.place()
    gang.end(1, [(4, DONE)])
    assert gang.job.state is messages.JobState.COMPLETED
    assert all(not view.placed for view in gang.views)


def test_attempts_outlast_the_holder() -> None:
    """Guards against a next holder that counts a run anew, or again."""
    gang = Gang()
    gang.place()
    gang.end(1, [(0, FAILED), (4, BROKEN)])
    gang = Gang(progress_records.build_record(gang.job))
    gang.end(1, [(0, FAILED), (1, FAILED), (2, FAILED)])
    gang.end(1, [(3, STOPPED), (5, BROKEN)])
    gang.release()
    gang.fail_run(2)
    assert gang.job.is_open()
    gang.fail_run(3)
    assert gang.job.state is messages.JobState.FAILED


def test_rows_of_a_former_version_keep_their_attempts() -> None:
    """Guards against rows that count failures without naming the runs."""
    task = records.TaskRecord(
        records.TaskState.READY, runs.RunNumber(2), failures=2
    )
    step = records.StepRecord(0, 0, (task,) * MEMBERS)
    record = records.ProgressRecord(
        records.FORMAT, messages.JobState.RUNNING, (step,)
    )
    gang = Gang(record)
    gang.fail_run(3)
    assert gang.job.state is messages.JobState.FAILED


def test_gang_avoids_the_instance_on_which_it_failed() -> None:
    """Guards against attempts that are used up on one faulty worker."""
    gang = Gang()
    gang.fail_run(1)
    assert all(
        "agent-0" in task.excluded_instances for task in gang.job.steps[0].tasks
    )


def test_failed_gang_is_one_failure_of_its_instance() -> None:
    """Guards against a quarantine for the failures of one gang."""
    gang = Gang()
    gang.fail_run(1)
    assert gang.views[0].failed_jobs == {JOB}
    assert gang.views[0].quarantines == 0
