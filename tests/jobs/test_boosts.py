"""Tests of jobs of which all runs stand still.

Pattern: after a loss of power the tasks of late jobs run again beside serving
tasks and behind other best-effort tasks, which keep them halted for as long as
they run, while less than half of the fleet is in use.
"""

import datetime

import msgspec
import pytest

from gypsumhold.decisions.jobs import (
    capacity,
    directives,
    lifecycle,
    starvation,
    waits,
)
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, progress, runs, specs
from tests.jobs import test_migrations

STEP = test_migrations.STEP
SECOND = datetime.timedelta(seconds=1)
HALTED_S = 3
HARMLESS = specs.Image("harmless")


class HaltedFleet(test_migrations.Fleet):
    """A fleet in which the only run of the late slow job is halted."""

    def __init__(
        self,
        step: specs.StepSpec = STEP,
        percent: int = 5,
        halted_s: int = HALTED_S,
    ) -> None:
        super().__init__(step)
        test_migrations.make_late(self)
        self.task = self.slow.steps[0].tasks[0]
        self.task.age = halted_s * SECOND
        self.task.progress_percent = percent
        self.report_speed(0.0, times=halted_s, percent=percent)
        self.update_waits()

    def update_waits(self) -> None:
        self.holder_state.run_waits.touched.add(self.slow.spec.job_id)
        waits.update(self.holder_state, self.read_clock())

    def fill_with_late_job(self) -> progress.Job:
        """Places a best-effort task of a late job on the free worker."""
        number = len(self.holder_state.open_jobs)
        other = self.add_job(f"other {number}", STEP)
        other.submitted_at -= 100 * SECOND
        self.place(other, self.free)
        return other

    def place_working(self, job: progress.Job) -> None:
        """Places a task that works at full speed beside the slow one."""
        self.place(job, self.busy)
        task = job.steps[0].tasks[0]
        task.reported = True
        task.age = HALTED_S * SECOND

    def list_boosts(self) -> list[effects.Log]:
        return [log for log in self.make_plan() if log.decision == "boost"]

    def list_targets(self) -> list[str]:
        return [dict(log.inputs)["to"] for log in self.list_boosts()]


def test_job_whose_only_run_is_halted_is_starved() -> None:
    """Guards against a run that does not work and counts as a run."""
    fleet = HaltedFleet()
    now = fleet.read_clock()
    assert starvation.is_starved(fleet.holder_state, fleet.slow, now)
    assert fleet.slow in starvation.list_starved_jobs(fleet.holder_state, now)


def test_job_whose_run_works_is_not_starved() -> None:
    """Guards against jobs that get a second run while the first one works."""
    fleet = HaltedFleet()
    fleet.report_speed(0.2, times=0)
    fleet.update_waits()
    now = fleet.read_clock()
    assert not starvation.is_starved(fleet.holder_state, fleet.slow, now)


def test_wait_counts_from_the_last_run_that_worked() -> None:
    """Guards against a job that is starved as soon as a run of it ends."""
    fleet = HaltedFleet()
    fleet.holder_state.run_waits.jobs.clear()
    now = fleet.read_clock()
    ended_at = now - SECOND / 2
    waits.begin_at_end(fleet.holder_state, fleet.slow, ended_at, now)
    wait = fleet.holder_state.run_waits.jobs[fleet.slow.spec.job_id]
    assert wait.since == ended_at
    assert not starvation.is_starved(fleet.holder_state, fleet.slow, now)


def test_new_run_counts_as_working() -> None:
    """Guards against runs taken for halted before their speed is known."""
    fleet = HaltedFleet()
    fleet.task.age = SECOND / 2
    fleet.update_waits()
    now = fleet.read_clock()
    assert not starvation.is_starved(fleet.holder_state, fleet.slow, now)


def test_equally_long_waits_have_one_order() -> None:
    """Guards against an order of starved jobs that depends on the hash seed.

    Which of two jobs gets the better worker was then drawn anew in each
    process, and a seed of a search broke the limit in some processes only.
    """
    fleet = HaltedFleet()
    names = [f"job {number}" for number in range(8)]
    for name in reversed(names):
        job = fleet.add_job(name, STEP)
        fleet.holder_state.run_waits.touched.add(job.spec.job_id)
    fleet.update_waits()
    later = fleet.read_clock() + starvation.MAX_TIME_WITHOUT_RUN
    starved = starvation.list_starved_jobs(fleet.holder_state, later)
    assert [job.spec.job_id for job in starved] == ["slow", *names]


def test_halted_run_goes_where_late_jobs_use_the_cpu() -> None:
    """Guards against a job that stands still as no worker is empty.

    Tasks of late jobs on the other worker give way to the only run of this one.
    """
    fleet = HaltedFleet()
    for _ in range(4):
        fleet.fill_with_late_job()
    assert fleet.list_targets() == [fleet.free.instance]
    assert fleet.task.migration_target == fleet.free.instance


def test_run_behind_other_best_effort_runs_is_boosted_in_place() -> None:
    """Guards against a move where an earlier turn on the worker suffices."""
    step = msgspec.structs.replace(STEP, image=HARMLESS)
    fleet = HaltedFleet(step)
    pair = runs.ImagePair(test_migrations.SERVING, HARMLESS)
    fleet.holder_state.optimistic_estimates = {pair: 0.0}
    early = fleet.add_job("early", step)
    fleet.place_working(early)
    assert fleet.list_targets() == [fleet.busy.instance]
    assert not fleet.task.migrating
    early.expected_return = 10.0 * fleet.slow.expected_return
    message = directives.build_directives(
        fleet.state,
        fleet.holder_state,
        fleet.busy,
        fleet.read_clock(),
        is_answer=True,
    )
    assert message.deferred is not None
    assert message.deferred[0].task.job_id == fleet.slow.spec.job_id


@pytest.mark.parametrize(("halted_s", "moves"), [(2, False), (5, True)])
def test_run_that_cannot_resume_moves_once_waiting_cost_as_much(
    halted_s: int, moves: bool
) -> None:
    """Guards against a run without checkpoints that is halted for good.

    It starts anew after it has stood still for as long as it had worked.
    """
    step = msgspec.structs.replace(STEP, checkpoints=False)
    fleet = HaltedFleet(step, percent=60, halted_s=halted_s)
    fleet.list_boosts()
    assert fleet.task.migrating is moves


def test_run_that_cannot_resume_moves_before_the_limit() -> None:
    """Guards against a job that waits longer the more its run has done.

    Standing still for as long as the run had worked may take longer than a job
    may be without a run that works.
    """
    step = msgspec.structs.replace(STEP, checkpoints=False)
    fleet = HaltedFleet(step, percent=95)
    assert fleet.list_targets() == [fleet.free.instance]
    assert fleet.task.migrating


def test_moved_run_that_cannot_resume_waits_for_what_it_lost() -> None:
    """Guards against a task that starts anew so often that it never ends."""
    step = msgspec.structs.replace(STEP, checkpoints=False)
    fleet = HaltedFleet(step, percent=95)
    fleet.task.halted_on.add(ids.InstanceId("another worker"))
    assert fleet.list_boosts() == []


def test_halted_ordinary_run_goes_elsewhere() -> None:
    """Guards against an ordinary task that hangs with its worker."""
    fleet = HaltedFleet(msgspec.structs.replace(STEP, fills=False))
    assert fleet.list_targets() == [fleet.free.instance]


def test_no_boost_where_it_cannot_work() -> None:
    """Guards against moves to workers without headroom or idle CPU."""
    fleet = HaltedFleet()
    fleet.fill_free_worker()
    assert fleet.list_boosts() == []
    assert not fleet.task.migrating


def test_ready_task_starts_instead_of_a_move() -> None:
    """Guards against a run that is stopped although another task is ready."""
    fleet = HaltedFleet(msgspec.structs.replace(STEP, count=2))
    ready = fleet.slow.steps[0].tasks[1]
    for _ in range(4):
        fleet.fill_with_late_job()
    assert fleet.list_targets() == [fleet.free.instance]
    assert ready.is_placed()
    assert ready.instance == fleet.free.instance
    assert ready.boosted_at is not None
    assert not fleet.task.migrating


def test_boosted_run_moves_if_it_is_still_halted() -> None:
    """Guards against a boost that does not help and is never followed up."""
    fleet = HaltedFleet()
    fleet.task.boosted_at = fleet.read_clock() - 2 * SECOND
    assert fleet.list_targets() == [fleet.free.instance]


def test_run_that_nothing_goes_before_is_not_boosted_in_place() -> None:
    """Guards against a boost where serving tasks alone halt the run."""
    fleet = HaltedFleet()
    fleet.fill_free_worker()
    assert fleet.list_boosts() == []


def test_boost_is_not_repeated_at_once() -> None:
    """Guards against moves before an earlier boost shows."""
    step = msgspec.structs.replace(STEP, image=HARMLESS)
    fleet = HaltedFleet(step)
    pair = runs.ImagePair(test_migrations.SERVING, HARMLESS)
    fleet.holder_state.optimistic_estimates = {pair: 0.0}
    fleet.place_working(fleet.add_job("early", step))
    assert len(fleet.list_boosts()) == 1
    assert fleet.list_boosts() == []


def test_boosted_runs_have_a_share_of_the_fleet() -> None:
    """Guards against late jobs that take the CPU of all others."""
    fleet = HaltedFleet()
    candidates = capacity.build_candidates(
        fleet.state, fleet.holder_state, fleet.read_clock()
    )
    boosted = fleet.add_job("boosted", STEP)
    fleet.place(boosted, fleet.free)
    boosted.steps[0].tasks[0].boosted_at = fleet.read_clock()
    assert sum(item.worker.cpu_millis for item in candidates.values()) < (
        10 * STEP.cpu_millis
    )
    assert fleet.list_boosts() == []


def test_move_keeps_the_boost() -> None:
    """Guards against a task that loses its turn on the way."""
    fleet = HaltedFleet()
    assert fleet.list_targets() == [fleet.free.instance]
    fleet.end_slow_run()
    fleet.make_plan()
    assert fleet.task.instance == fleet.free.instance
    assert fleet.task.boosted_at is not None
    ref = lifecycle.build_task_ref(fleet.slow, fleet.slow.steps[0], 0)
    assert ref in fleet.free.placed


def test_halted_job_gets_no_run_anywhere_in_a_full_fleet() -> None:
    """Guards against halted jobs that start against the placement policy.

    In a full fleet that would fill workers with runs that stand still too.
    """
    fleet = HaltedFleet(msgspec.structs.replace(STEP, count=2))
    fleet.fill_free_worker()
    for number, view in enumerate((fleet.busy, fleet.free)):
        worker = view.report.worker
        assert worker is not None
        large = msgspec.structs.replace(
            STEP, cpu_millis=100, memory_mb=worker.memory_mb * 4 // 5
        )
        job = fleet.add_job(f"large {number}", large)
        fleet.place(job, view)
        ref = lifecycle.build_task_ref(job, job.steps[0], 0)
        row = runs.RunRow(runs.RunRef(ref, job.steps[0].tasks[0].run), age_ms=1)
        view.report = msgspec.structs.replace(view.report, rows=(row,))
    fleet.make_plan()
    assert not fleet.slow.steps[0].tasks[1].is_placed()
