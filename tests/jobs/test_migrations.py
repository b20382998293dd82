"""Tests of best-effort tasks that are throttled beside serving tasks.

Pattern: a flood of large jobs fills the free workers, so that some tasks start
beside serving tasks that they slow down, and are throttled there until their
job is late. When a free worker has capacity again, the throttled tasks go
there, before tasks of jobs that come behind theirs.
"""

import datetime

import msgspec
import pytest

from gypsumhold.decisions.jobs import (
    capacity,
    directives,
    estimates,
    lifecycle,
    plans,
    run_ends,
)
from gypsumhold.model.jobs import (
    effects,
    progress,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from tests.jobs import job_specs, test_regressions
from tests.jobs import world as worlds

SERVING = specs.Image("serve")
HEAVY = specs.Image("heavy")
PAIR = runs.ImagePair(SERVING, HEAVY)
SECOND = datetime.timedelta(seconds=1)
STEP = specs.StepSpec(
    1,
    7000,
    1000,
    estimate_ms=6000,
    image=HEAVY,
    fills=True,
    checkpoints=True,
)


class Fleet:
    """A holder with a worker that serves and a free one."""

    def __init__(self, step: specs.StepSpec = STEP) -> None:
        self.world = worlds.World(1, agents=2)
        self.world.run(3000)
        self.node = test_regressions.find_holder(self.world)
        self.state: scheduler.SchedulerState = self.node.state
        assert self.state.holder_state is not None
        self.holder_state = self.state.holder_state
        self.busy, self.free = self.holder_state.agents.values()
        serving = specs.StepSpec(
            1,
            1000,
            1000,
            long_running=True,
            image=SERVING,
            target_latency_ms=18,
        )
        self.place(self.add_job("serving", serving), self.busy)
        self.holder_state.optimistic_estimates = {PAIR: 0.3}
        self.slow = self.add_job("slow", step)
        self.place(self.slow, self.busy)

    def fill_free_worker(self) -> None:
        """Places a serving task, which has no headroom left, beside it."""
        serving = specs.StepSpec(
            1,
            1000,
            1000,
            long_running=True,
            image=SERVING,
            target_latency_ms=18,
        )
        self.place(self.add_job("more serving", serving), self.free)

    def read_clock(self) -> datetime.timedelta:
        return self.world.read_clock()

    def add_job(self, name: str, step: specs.StepSpec) -> progress.Job:
        spec = job_specs.build_job_of(name, (step,))
        now = self.read_clock()
        submitted_ms = lifecycle.to_ms(now) + self.holder_state.wall_offset_ms
        spec = msgspec.structs.replace(spec, submitted_ms=submitted_ms)
        job = lifecycle.add_job(self.holder_state, storage.JobRows(spec), now)
        assert job is not None
        return job

    def place(self, job: progress.Job, view: scheduler.AgentView) -> None:
        step = job.steps[0]
        ref = lifecycle.build_task_ref(job, step, 0)
        placed = scheduler.PlacedTask(job, step, step.tasks[0])
        lifecycle.place_task(
            self.holder_state, view, placed, ref, self.read_clock()
        )
        view.candidate = None

    def report_speed(
        self, share: float, times: int = 1, percent: int = 5
    ) -> None:
        """Lists the run of the slow job each second, for so many seconds."""
        task = self.slow.steps[0].tasks[0]
        ref = lifecycle.build_task_ref(self.slow, self.slow.steps[0], 0)
        task.reported = True
        row = runs.RunRow(
            runs.RunRef(ref, task.run),
            progress_percent=percent,
            usage=int(STEP.cpu_millis * share),
        )
        now = self.read_clock()
        for ago in range(times, -1, -1):
            at = now - ago * SECOND
            estimates.measure_progress(self.slow.steps[0], task, row, at)

    def make_plan(self) -> list[effects.Log]:
        self.holder_state.migrations_due = True
        emitted = plans.place_ready_tasks(
            self.state, self.holder_state, self.read_clock()
        )
        return [effect for effect in emitted if isinstance(effect, effects.Log)]

    def end_slow_run(self) -> None:
        task = self.slow.steps[0].tasks[0]
        ref = lifecycle.build_task_ref(self.slow, self.slow.steps[0], 0)
        end = runs.EndRow(
            runs.EndNumber(1), runs.RunRef(ref, task.run), runs.RunEnd.STOPPED
        )
        run_ends.handle_run_end(
            self.holder_state, self.busy, end, self.read_clock()
        )


def test_throttled_task_goes_to_a_free_worker() -> None:
    """Guards against a job that is late because one task stays halted."""
    fleet = Fleet()
    fleet.report_speed(0.1)
    moves = [log for log in fleet.make_plan() if log.decision == "move"]
    assert [dict(log.inputs)["to"] for log in moves] == [fleet.free.instance]
    fleet.end_slow_run()
    fleet.make_plan()
    task = fleet.slow.steps[0].tasks[0]
    assert task.state is records.TaskState.PLACED
    assert task.instance == fleet.free.instance
    assert not task.migrating
    assert fleet.free.expected == {}


def test_capacity_is_reserved_for_a_migrating_task() -> None:
    """Guards against later tasks that take the capacity in the meantime."""
    fleet = Fleet()
    fleet.report_speed(0.1)
    fleet.make_plan()
    later = fleet.add_job("later", msgspec.structs.replace(STEP, count=2))
    fleet.make_plan()
    assert all(
        task.instance != fleet.free.instance for task in later.steps[0].tasks
    )
    candidates = capacity.build_candidates(
        fleet.state, fleet.holder_state, fleet.read_clock()
    )
    assert candidates[str(fleet.free.instance)].best_effort_cores == {
        HEAVY: 7.0
    }


@pytest.mark.parametrize("share", [0.7, 1.0])
def test_fast_task_stays(share: float) -> None:
    """Guards against migrations that cost more than they bring."""
    fleet = Fleet()
    fleet.report_speed(share)
    assert not any(log.decision == "move" for log in fleet.make_plan())


def make_late(fleet: Fleet) -> None:
    """Makes the slow job so late that it gives way to others."""
    fleet.slow.submitted_at -= 100 * SECOND


def list_moves(fleet: Fleet) -> list[effects.Log]:
    return [log for log in fleet.make_plan() if log.decision == "move"]


@pytest.mark.parametrize("share", [0.0, 0.09])
def test_halted_task_of_a_late_job_goes_to_an_idle_worker(
    share: float,
) -> None:
    """Guards against a job that stands still while a worker is idle.

    Its only task is halted beside serving tasks for as long as these serve.
    """
    fleet = Fleet()
    make_late(fleet)
    fleet.report_speed(share, times=2)
    moves = list_moves(fleet)
    assert fleet.slow.gives_way
    assert [dict(log.inputs)["to"] for log in moves] == [fleet.free.instance]


@pytest.mark.parametrize("share", [0.1, 0.5])
def test_working_task_of_a_late_job_stays(share: float) -> None:
    """Guards against tasks of late jobs that are moved while they work."""
    fleet = Fleet()
    make_late(fleet)
    fleet.report_speed(share, times=2)
    assert not list_moves(fleet)
    assert fleet.slow.gives_way


def test_task_of_a_late_job_that_was_halted_for_a_moment_stays() -> None:
    """Guards against tasks that work and are moved for a short pause."""
    fleet = Fleet()
    make_late(fleet)
    fleet.report_speed(0.5, times=4)
    fleet.report_speed(0.0, times=0)
    assert not list_moves(fleet)
    assert fleet.slow.gives_way


@pytest.mark.parametrize("percent", [5, 60])
def test_task_of_a_late_job_that_cannot_resume_stays(percent: int) -> None:
    """Guards against a task that starts anew each time and never ends."""
    step = msgspec.structs.replace(STEP, checkpoints=False)
    fleet = Fleet(step)
    make_late(fleet)
    fleet.slow.steps[0].tasks[0].progress_percent = percent
    fleet.report_speed(0.0, times=2, percent=percent)
    assert bool(list_moves(fleet)) is (percent < 8)
    assert fleet.slow.gives_way


def test_task_of_a_late_job_stays_for_some_time() -> None:
    """Guards against tasks that are moved again and again.

    The tasks of a late job give way to others wherever they run.
    """
    fleet = Fleet()
    make_late(fleet)
    fleet.report_speed(0.0)
    assert not list_moves(fleet)
    assert fleet.slow.gives_way


def test_task_of_a_late_job_stays_where_others_use_the_cpu() -> None:
    """Guards against late jobs that move into the place of one another.

    Other jobs are placed as if the tasks of late jobs were not there.
    """
    fleet = Fleet()
    make_late(fleet)
    other = fleet.add_job("other", STEP)
    other.submitted_at -= 100 * SECOND
    fleet.place(other, fleet.free)
    fleet.report_speed(0.0, times=2)
    assert not list_moves(fleet)
    assert fleet.slow.gives_way
    assert other.gives_way


def test_small_job_works_before_a_large_one_placed_earlier() -> None:
    """Guards against large jobs that halt small ones until these are late."""
    fleet = Fleet()
    small = fleet.add_job(
        "small", msgspec.structs.replace(STEP, estimate_ms=900)
    )
    fleet.place(small, fleet.busy)
    fleet.make_plan()
    directive = directives.build_directives(
        fleet.state,
        fleet.holder_state,
        fleet.busy,
        fleet.read_clock(),
        is_answer=True,
    )
    assert directive.deferred is not None
    assert [str(ref.task.job_id) for ref in directive.deferred] == [
        "small",
        "slow",
    ]


def test_stopped_task_starts_again_although_its_target_is_full() -> None:
    """Guards against a job without any run while there is room (rule LOST).

    It was running before it was stopped, so it must not wait for a worker on
    which it slows nobody down.
    """
    fleet = Fleet()
    fleet.report_speed(0.1)
    fleet.make_plan()
    fleet.fill_free_worker()
    fleet.end_slow_run()
    fleet.make_plan()
    assert fleet.slow.steps[0].tasks[0].state is records.TaskState.PLACED


def test_reservation_ends_with_a_job_that_is_cancelled() -> None:
    """Guards against capacity that stays reserved for ever."""
    fleet = Fleet()
    fleet.report_speed(0.1)
    fleet.make_plan()
    lifecycle.cancel_job(fleet.holder_state, fleet.slow, fleet.read_clock())
    fleet.end_slow_run()
    assert fleet.free.expected == {}


def test_reserved_capacity_that_is_gone_is_not_waited_for() -> None:
    """Guards against a task without a run while another worker has room.

    Its target shrinks while the task is being stopped (rules LIMIT and LOST).
    """
    fleet = Fleet()
    fleet.report_speed(0.1)
    fleet.make_plan()
    report = fleet.free.report
    assert report.worker is not None
    fleet.free.report = msgspec.structs.replace(
        report, worker=msgspec.structs.replace(report.worker, memory_mb=500)
    )
    fleet.free.candidate = None
    fleet.end_slow_run()
    fleet.make_plan()
    task = fleet.slow.steps[0].tasks[0]
    assert task.state is records.TaskState.PLACED
    assert task.instance == fleet.busy.instance
    assert fleet.free.expected == {}
