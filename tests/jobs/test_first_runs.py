"""Tests of the order in which a plan places first runs and further ones.

Pattern: jobs with many tasks a step come first in the order of the policy, and
behind them is a job of which nothing runs. Each placement takes time in the
plan, the batch and the push, and a plan ends after so many.
"""

import datetime

import msgspec
import pytest

from gypsumhold.decisions.jobs import (
    batches,
    directives,
    lifecycle,
    plans,
    waits,
)
from gypsumhold.model.jobs import (
    effects,
    progress,
    scheduler,
    specs,
    storage,
)
from tests.jobs import job_specs, large_world, test_regressions, wait_search

AGENTS = 10
SECOND = datetime.timedelta(seconds=1)

DUE_WAIT = 0.8 * SECOND
"""Wait after which a first run is due, though its job is not starved yet."""

SHORT_WAIT = 0.2 * SECOND

START_MS = 4000.0
"""Time until a holder places tasks."""

BATCH_MS = 300.0
"""Time that a slow store takes for a batch beside its call."""

JUDGED_MS = 6000.0

LATER_JOBS = 260
"""Jobs behind wide ones, each of which needs a run of its own."""

WIDE_STEP = specs.StepSpec(100, 500, 100, estimate_ms=1000)
"""More tasks than a plan places."""

LATER_STEP = specs.StepSpec(1, 500, 100, estimate_ms=9000)
"""It may end later, so the policy places it after a wide step."""


class Fleet:
    """A holder of a site of empty workers."""

    def __init__(self) -> None:
        self.world = large_world.LargeWorld(1, AGENTS)
        self.world.run(START_MS)
        self.state: scheduler.SchedulerState = test_regressions.find_holder(
            self.world
        ).state
        assert self.state.holder_state is not None
        self.holder_state = self.state.holder_state

    def add_job(
        self,
        name: str,
        *steps: specs.StepSpec,
        waited: datetime.timedelta = DUE_WAIT,
    ) -> progress.Job:
        """Adds a job that has had no run for a time."""
        now = self.world.read_clock()
        submitted_ms = lifecycle.to_ms(now) + self.holder_state.wall_offset_ms
        spec = msgspec.structs.replace(
            job_specs.build_job_of(name, steps), submitted_ms=submitted_ms
        )
        rows = storage.JobRows(spec)
        job = lifecycle.add_job(self.holder_state, rows, now)
        assert job is not None
        waits.update(self.holder_state, now)
        self.holder_state.run_waits.jobs[job.spec.job_id].since = now - waited
        return job

    def fill(self, share: float) -> None:
        """Places tasks that take a share of the capacity of each worker."""
        step = specs.StepSpec(
            AGENTS, int(large_world.WORKER_MILLIS * share), 100
        )
        job = self.add_job("filler", step)
        views = self.holder_state.agents.values()
        for index, view in enumerate(views):
            ref = lifecycle.build_task_ref(job, job.steps[0], index)
            placed = scheduler.PlacedTask(
                job, job.steps[0], job.steps[0].tasks[index]
            )
            lifecycle.place_task(
                self.holder_state, view, placed, ref, self.world.read_clock()
            )
            view.candidate = None

    def make_plan(self) -> list[str]:
        """Makes a plan; returns the job of each placement, in their order."""
        emitted = plans.place_ready_tasks(
            self.state, self.holder_state, self.world.read_clock()
        )
        return [
            str(effect.subject)
            for effect in emitted
            if isinstance(effect, effects.Log) and effect.decision == "place"
        ]


def test_each_job_gets_a_run_before_any_gets_a_second() -> None:
    """Guards against a job that waits until others have their whole width."""
    fleet = Fleet()
    fleet.add_job("wide", WIDE_STEP)
    fleet.add_job("later", LATER_STEP)
    assert fleet.make_plan()[:3] == ["wide", "later", "wide"]


def test_order_of_the_policy_holds_for_jobs_that_have_just_come() -> None:
    """Guards against urgent jobs that are late for first runs of others."""
    fleet = Fleet()
    fleet.add_job("wide", WIDE_STEP, waited=SHORT_WAIT)
    fleet.add_job("later", LATER_STEP, waited=SHORT_WAIT)
    assert set(fleet.make_plan()) == {"wide"}


def test_gang_starts_before_the_widths_of_others() -> None:
    """Guards against a gang of which a first run alone is placed."""
    fleet = Fleet()
    fleet.add_job("wide", WIDE_STEP)
    gang = specs.StepSpec(4, 500, 100, estimate_ms=9000, gang=True)
    fleet.add_job("gang", gang)
    assert fleet.make_plan()[:6] == ["wide", *["gang"] * 4, "wide"]


def test_longest_wait_goes_first_among_starved_jobs() -> None:
    """Guards against a job near the limit that waits for those behind it."""
    fleet = Fleet()
    fleet.add_job("wide", WIDE_STEP)
    fleet.add_job("waiting", LATER_STEP, waited=2 * SECOND)
    fleet.add_job("longest", LATER_STEP, waited=2.5 * SECOND)
    assert fleet.make_plan()[:3] == ["longest", "waiting", "wide"]


def test_widths_go_on_beside_many_first_runs() -> None:
    """Guards against jobs that all go on with one run each and end late."""
    fleet = Fleet()
    fleet.add_job("wide", WIDE_STEP)
    for number in range(2 * plans.MAX_FIRST_RUNS):
        fleet.add_job(f"later-{number}", LATER_STEP)
    placed = fleet.make_plan()
    assert placed.count("wide") > plans.MIN_FURTHER_RUNS
    assert len(placed) <= plans.MAX_PLACEMENTS + plans.MIN_FURTHER_RUNS


def test_job_that_fits_nowhere_is_tried_once_in_a_plan() -> None:
    """Guards against misses that count twice and end a plan too early.

    Only those of best-effort tasks count.
    """
    fleet = Fleet()
    too_large = specs.StepSpec(
        1, 2 * large_world.WORKER_MILLIS, 100, fills=True
    )
    for number in range(plans.MISSES_BEFORE_SKIP - 1):
        fleet.add_job(f"large-{number}", too_large)
    wide_step = msgspec.structs.replace(WIDE_STEP, fills=True)
    wide = fleet.add_job("wide", wide_step)
    assert len(fleet.make_plan()) == plans.MAX_PLACEMENTS
    assert any(task.is_placed() for task in wide.steps[0].tasks)


def test_ordinary_task_of_a_job_with_best_effort_ones_is_not_skipped() -> None:
    """Guards against a task with room that waits for misses of others.

    Its job has best-effort tasks too, none of which is ready yet.
    """
    fleet = Fleet()
    too_large = specs.StepSpec(
        1, 2 * large_world.WORKER_MILLIS, 100, estimate_ms=50, fills=True
    )
    for number in range(plans.MISSES_BEFORE_SKIP):
        fleet.add_job(f"large-{number:02}", too_large)
    first = specs.StepSpec(1, 500, 100, estimate_ms=9000)
    second = specs.StepSpec(
        1, 500, 100, estimate_ms=9000, after=(0,), fills=True
    )
    fleet.add_job("later", first, second)
    assert fleet.make_plan() == ["later"]


def test_starved_jobs_that_fit_nowhere_make_no_plan_due() -> None:
    """Guards against a plan at each event while nothing can be placed."""
    fleet = Fleet()
    add_starved_jobs_that_fit_nowhere(fleet)
    assert fleet.make_plan() == []
    assert not fleet.holder_state.plan_due


def test_starved_job_is_placed_behind_others_that_fit_nowhere() -> None:
    """Guards against a job that gets no run while the same others are tried.

    It has a placed task whose start does not come, and the plan ends before it
    in the order of the policy.
    """
    fleet = Fleet()
    add_starved_jobs_that_fit_nowhere(fleet)
    step = msgspec.structs.replace(LATER_STEP, count=2)
    job = fleet.add_job("waiting", step)
    placed = scheduler.PlacedTask(job, job.steps[0], job.steps[0].tasks[0])
    now = fleet.world.read_clock()
    lifecycle.place_task(
        fleet.holder_state,
        next(iter(fleet.holder_state.agents.values())),
        placed,
        lifecycle.build_task_ref(job, job.steps[0], 0),
        now,
    )
    for number in range(3):
        fleet.add_job(f"wide-{number}", WIDE_STEP)
    waits.update(fleet.holder_state, now)
    wait = fleet.holder_state.run_waits.jobs[specs.JobId("waiting")]
    wait.since = now - 2 * SECOND
    assert fleet.make_plan()[0] == "waiting"


def add_starved_jobs_that_fit_nowhere(fleet: Fleet) -> None:
    """Adds more of them than a plan places starved jobs."""
    too_large = specs.StepSpec(1, 2 * large_world.WORKER_MILLIS, 100)
    for number in range(plans.MAX_STARVED_JOBS + 1):
        fleet.add_job(f"large-{number}", too_large)
    now = fleet.world.read_clock()
    waits.update(fleet.holder_state, now)
    for wait in fleet.holder_state.run_waits.jobs.values():
        wait.since = now - 5 * SECOND
    fleet.holder_state.plan_due = False


@pytest.mark.parametrize(("gang", "expected"), [(False, 1), (True, 20)])
def test_only_what_ends_a_wait_starts_without_delay(
    gang: bool, expected: int
) -> None:
    """Guards against many best-effort runs that slow serving tasks at once.

    Agents hold these back for a while, but for the first one of a starved job.
    A gang does not run before all of its tasks have started.
    """
    fleet = Fleet()
    step = specs.StepSpec(20, 500, 100, estimate_ms=1000, fills=True, gang=gang)
    fleet.add_job("waiting", step)
    now = fleet.world.read_clock()
    waits.update(fleet.holder_state, now)
    wait = fleet.holder_state.run_waits.jobs[specs.JobId("waiting")]
    wait.since = now - 2 * SECOND
    fleet.make_plan()
    batch = batches._build_batch(fleet.state, fleet.holder_state, now)
    fleet.holder_state.stored_batch = batch.holder.batch
    starts = [
        command
        for view in fleet.holder_state.agents.values()
        for command in directives.build_directives(
            fleet.state, fleet.holder_state, view, now, is_answer=False
        ).starts
    ]
    assert len(starts) == 20
    assert sum(command.only_run for command in starts) == expected


@pytest.mark.parametrize(
    ("used_share", "expected"), [(0.4, "later"), (0.8, "wide")]
)
def test_first_runs_go_first_only_while_there_is_room(
    used_share: float, expected: str
) -> None:
    """Guards against urgent jobs that are late for first runs of others.

    A job without a run has to get one only while under half of the fleet is in
    use. Beyond, the order is that of the policy alone.
    """
    fleet = Fleet()
    fleet.fill(used_share)
    fleet.add_job("wide", WIDE_STEP)
    fleet.add_job("later", LATER_STEP)
    assert fleet.make_plan()[:2] == ["wide", expected]


def test_no_job_waits_too_long_while_wide_ones_are_being_placed() -> None:
    """Guards against first runs that wait for the plans of wide steps.

    All tasks have room. Those of the wide jobs, which come first, take about as
    many plans as fit into the time that a job may wait.
    """
    world = large_world.LargeWorld(1, AGENTS)
    world.run(START_MS)
    world.pauses_ms[effects.CommitBatch] = lambda: BATCH_MS
    wide = specs.StepSpec(50, 200, 100, estimate_ms=1000)
    later = msgspec.structs.replace(LATER_STEP, cpu_millis=100)
    for number in range(10):
        wait_search.submit(
            world, job_specs.build_job_of(f"wide-{number}", (wide,))
        )
    for number in range(LATER_JOBS):
        wait_search.submit(
            world, job_specs.build_job_of(f"later-{number}", (later,))
        )
    world.judge(JUDGED_MS, lambda: False)
    assert len(world.oracle.started) >= LATER_JOBS
    assert world.waits.violations == {}
