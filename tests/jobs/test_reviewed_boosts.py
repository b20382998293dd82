"""Tests of faults that a review of boosted runs found.

Pattern: a job of which nothing works is given a way to work that is not
carried out, is never followed up, or keeps others from theirs.
"""

import datetime

import msgspec
import pytest

from gypsumhold.decisions.jobs import (
    estimates,
    lifecycle,
    plans,
    run_ends,
    starvation,
    waits,
)
from gypsumhold.model.jobs import progress, runs, scheduler
from tests.jobs import test_boosts, test_migrations

SECOND = datetime.timedelta(seconds=1)
STEP = test_migrations.STEP
TICK = SECOND / 5
PLANS = 40
MAX_MOVES = 2
HOPELESS_JOBS = 100
LISTINGS = ((84, 0), (160, 0), (975, 14), (1191, 14), (4900, 14))
"""Age in milliseconds and progress of a run, as a played day had them."""


class MovingFleet(test_boosts.HaltedFleet):
    """A fleet with a clock that can be advanced without its nodes."""

    def __init__(self) -> None:
        self.offset = datetime.timedelta(0)
        super().__init__()

    def read_clock(self) -> datetime.timedelta:
        return super().read_clock() + self.offset

    def advance(self, time: datetime.timedelta) -> None:
        self.offset += time
        for view in self.holder_state.agents.values():
            view.last_report_at = self.read_clock()

    def allow(self, view: scheduler.AgentView, headroom: float) -> None:
        """Lets an agent report what serving tasks leave to others."""
        allowance = runs.Allowance(test_migrations.SERVING, headroom)
        view.report = msgspec.structs.replace(
            view.report, allowances=(allowance,)
        )
        view.candidate = None

    def fill_with_late_jobs(self, view: scheduler.AgentView) -> None:
        """Places a task of a late job that works."""
        number = len(self.holder_state.open_jobs)
        other = self.add_job(f"other {number}", STEP)
        other.submitted_at -= 100 * SECOND
        place_at(self, other, 0, view, halted=False)

    def stop_and_start(self) -> None:
        """Ends the run of the moving task, and starts it where it is placed."""
        ref = lifecycle.build_task_ref(self.slow, self.slow.steps[0], 0)
        view = self.holder_state.agents[self.task.instance]
        end = runs.EndRow(
            runs.EndNumber(1),
            runs.RunRef(ref, self.task.run),
            runs.RunEnd.STOPPED,
        )
        run_ends.handle_run_end(self.holder_state, view, end, self.read_clock())
        self.advance(TICK)
        self.make_plan()
        self.advance(TICK)
        self.task.reported = True

    def report_halted(self) -> None:
        """Lists the run of the slow job as halted since its start."""
        task = self.task
        ref = lifecycle.build_task_ref(self.slow, self.slow.steps[0], 0)
        now = self.read_clock()
        task.age = now - task.placed_at
        row = runs.RunRow(
            runs.RunRef(ref, task.run),
            usage=0,
            age_ms=lifecycle.to_ms(task.age),
        )
        estimates.measure_progress(self.slow.steps[0], task, row, now)
        self.update_waits()


def place_at(
    fleet: test_boosts.HaltedFleet,
    job: progress.Job,
    index: int,
    view: scheduler.AgentView,
    *,
    halted: bool,
) -> progress.Task:
    """Places a task of the first step and lists its run, working or halted."""
    step = job.steps[0]
    task = step.tasks[index]
    ref = lifecycle.build_task_ref(job, step, index)
    placed = scheduler.PlacedTask(job, step, task)
    now = fleet.read_clock()
    lifecycle.place_task(fleet.holder_state, view, placed, ref, now)
    task.batch = 0
    task.reported = True
    task.age = 3 * SECOND
    if halted:
        task.speed_share = 0.0
        task.slow_since = task.halted_since = now - 3 * SECOND
    view.candidate = None
    return task


def test_moved_run_goes_to_the_chosen_worker() -> None:
    """Guards against a boosted run that is placed where it stood still.

    Runs that it goes before fill the chosen worker, so that the placement
    policy takes it for full.
    """
    fleet = test_boosts.HaltedFleet()
    for number in range(2):
        other = fleet.add_job(f"working {number}", STEP)
        place_at(fleet, other, 0, fleet.free, halted=False)
    assert fleet.list_targets() == [fleet.free.instance]
    fleet.end_slow_run()
    fleet.make_plan()
    assert fleet.task.instance == fleet.free.instance


def test_gang_with_one_halted_run_is_boosted() -> None:
    """Guards against a gang that stands still as one of its runs is halted."""
    step = msgspec.structs.replace(
        STEP, image=test_boosts.HARMLESS, gang=True, count=2, cpu_millis=3000
    )
    fleet = test_boosts.HaltedFleet()
    pair = runs.ImagePair(test_migrations.SERVING, test_boosts.HARMLESS)
    fleet.holder_state.optimistic_estimates = {pair: 0.0}
    gang = fleet.add_job("gang", step)
    place_at(fleet, gang, 0, fleet.busy, halted=True)
    place_at(fleet, gang, 1, fleet.free, halted=False)
    other = fleet.add_job("other", STEP)
    place_at(fleet, other, 0, fleet.busy, halted=False)
    fleet.holder_state.run_waits.touched.add(gang.spec.job_id)
    waits.update(fleet.holder_state, fleet.read_clock())
    assert starvation.is_halted(fleet.holder_state, gang)


def test_jobs_that_cannot_work_leave_boosts_to_others() -> None:
    """Guards against a halted job that no plan comes to.

    A plan looks at a few halted jobs, those with the longest waits first, and
    at each of them again after some time.
    """
    fleet = MovingFleet()
    for _ in range(4):
        fleet.fill_with_late_job()
    hopeless = msgspec.structs.replace(STEP, label="no such worker")
    for number in range(HOPELESS_JOBS):
        job = fleet.add_job(f"hopeless {number}", hopeless)
        task = place_at(fleet, job, 0, fleet.busy, halted=True)
        task.halted_since = fleet.read_clock() - 10 * SECOND
        fleet.holder_state.run_waits.touched.add(job.spec.job_id)
    waits.update(fleet.holder_state, fleet.read_clock())
    for _ in range(PLANS):
        fleet.advance(TICK)
        fleet.make_plan()
    assert fleet.task.boosted_at is not None


def test_use_of_one_run_is_not_promised_to_two_jobs() -> None:
    """Guards against a boost in place that can't help, as others come first.

    Two halted jobs counted on the CPU that one run of a third one used, and the
    second of them stood still until the next look at it.
    """
    fleet = MovingFleet()
    fleet.allow(fleet.busy, 9.0)
    working = fleet.add_job("working", STEP)
    place_at(fleet, working, 0, fleet.busy, halted=False).speed_share = 0.5
    small = msgspec.structs.replace(STEP, cpu_millis=STEP.cpu_millis // 5)
    first = fleet.add_job("first", small)
    task = place_at(fleet, first, 0, fleet.busy, halted=True)
    task.halted_since = fleet.read_clock() - 5 * SECOND
    fleet.holder_state.run_waits.touched.add(first.spec.job_id)
    fleet.update_waits()
    assert fleet.list_targets() == [fleet.busy.instance, fleet.free.instance]


def test_job_without_a_way_to_work_is_looked_at_again_at_once() -> None:
    """Guards against a wait for the effect of a boost that was not made.

    A worker that lets the job work may be free a moment later.
    """
    fleet = MovingFleet()
    fleet.fill_free_worker()
    assert fleet.list_boosts() == []
    fleet.advance(TICK)
    fleet.allow(fleet.free, 3.0)
    assert fleet.list_targets() == [fleet.free.instance]


def test_boosted_run_that_stands_still_gives_its_share_back() -> None:
    """Guards against halted runs that keep all other jobs from a boost."""
    fleet = test_boosts.HaltedFleet()
    stuck = fleet.add_job("stuck", STEP)
    task = place_at(fleet, stuck, 0, fleet.busy, halted=True)
    task.boosted_at = fleet.read_clock() - 10 * SECOND
    fleet.busy.candidate = None
    assert fleet.list_boosts() != []


def test_slow_boosted_run_goes_to_an_idle_worker() -> None:
    """Guards against a boost that keeps a run on a worker that slows it down.

    Without a boost the run of a job on time leaves such a worker.
    """
    fleet = test_migrations.Fleet()
    fleet.report_speed(0.15, times=3)
    task = fleet.slow.steps[0].tasks[0]
    task.boosted_at = fleet.read_clock() - 3 * SECOND
    moves = [log for log in fleet.make_plan() if log.decision == "move"]
    assert moves


def test_run_that_works_nowhere_is_not_moved_all_the_time() -> None:
    """Guards against a task that is moved to and fro between two workers.

    Both are expected to let it work, and neither does. A moved run counts as
    working for a second, so that its next wait does not know of the move.
    """
    fleet = MovingFleet()
    fleet.allow(fleet.busy, 3.0)
    for view in (fleet.busy, fleet.free):
        fleet.fill_with_late_jobs(view)
    moves = 0
    for _ in range(PLANS):
        fleet.advance(TICK)
        moves += len(fleet.list_boosts())
        if fleet.task.migrating:
            fleet.stop_and_start()
        fleet.report_halted()
    assert moves <= MAX_MOVES


def test_ready_task_is_not_left_on_its_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a chosen ready task that is not placed, as a gang is.

    It keeps its target and its boost, and no capacity is reserved there.
    """
    monkeypatch.setattr(plans, "MAX_PLACEMENTS", 1)
    monkeypatch.setattr(plans, "MIN_FURTHER_RUNS", 0)
    fleet = test_boosts.HaltedFleet()
    for _ in range(4):
        fleet.fill_with_late_job()
    ordinary = msgspec.structs.replace(STEP, fills=False, cpu_millis=500)
    gang = msgspec.structs.replace(ordinary, gang=True, count=2)
    specs = fleet.slow.spec.steps
    fleet.slow.spec = msgspec.structs.replace(
        fleet.slow.spec, steps=(*specs, gang, ordinary)
    )
    for spec in (gang, ordinary):
        tasks = [progress.Task() for _ in range(spec.count)]
        number = len(fleet.slow.steps)
        fleet.slow.steps.append(
            progress.Step(spec, 0, number, tasks, open=True)
        )
    fleet.list_boosts()
    task = fleet.slow.steps[-1].tasks[0]
    assert task.is_placed() or not task.migrating


def test_slow_lasting_run_is_migrated() -> None:
    """Guards against a best-effort run that lasts and stands still for good."""
    step = msgspec.structs.replace(STEP, long_running=True)
    fleet = test_migrations.Fleet(step)
    fleet.report_speed(0.0, times=3)
    assert [log for log in fleet.make_plan() if log.decision == "move"]


def test_first_run_that_works_between_two_listings_is_measured() -> None:
    """Guards against a halted run that is never moved, as it ends at once.

    A run works at full speed until it is throttled for the first time. Its
    usage is that of the last half second, in which it stood still.
    """
    fleet = test_migrations.Fleet()
    step = fleet.slow.steps[0]
    task = step.tasks[0]
    ref = runs.RunRef(lifecycle.build_task_ref(fleet.slow, step, 0), task.run)
    begin = fleet.read_clock() - 5 * SECOND
    task.reported = True
    task.progress_percent = 14
    for age_ms, percent in LISTINGS:
        row = runs.RunRow(ref, progress_percent=percent, usage=0, age_ms=age_ms)
        at = begin + age_ms * SECOND / 1000
        task.age = age_ms * SECOND / 1000
        estimates.measure_progress(step, task, row, at)
    assert [log for log in fleet.make_plan() if log.decision == "move"]
