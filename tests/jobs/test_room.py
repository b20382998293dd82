"""Tests that a plan has room for a starved job while the workers have.

The rule that no job may be without a run goes by what workers run. A plan goes
by what is placed, which is more: starts that are under way, and runs that the
agents have yet to stop. Each test has a job that the rule counts as waiting,
behind a wide one that takes all that is not placed.
"""

import datetime
from collections.abc import Callable

import msgspec
import pytest

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.model.jobs import messages, progress, runs, scheduler, specs
from tests.jobs import (
    large_world,
    test_first_runs,
    wait_oracle,
    worker_fake,
)

PLACED_SHARE = 0.9
"""Share of each worker that is placed in each test."""

STARVED_WAIT = datetime.timedelta(seconds=2)

AGE_MS = 500
"""Age of what runs."""

WIDE_STEP = specs.StepSpec(100, 1600, 6250, estimate_ms=1000)
"""Two tasks take what is left of a worker."""

LATE_STEP = specs.StepSpec(1, 1600, 6250, estimate_ms=9000)
"""It may end later, so the policy places it after the wide step."""


class FullFleet(test_first_runs.Fleet):
    """A fleet of which nearly all is placed.

    Attributes:
        filler: A job that has a placed task on each worker.
    """

    def __init__(
        self, share: float = PLACED_SHARE, *, fills: bool = False
    ) -> None:
        """Places a share of each worker; by memory if it is best-effort."""
        super().__init__()
        self.filler = self.add_job("filler", build_filler(share, fills=fills))
        step = self.filler.steps[0]
        for index, view in enumerate(self.holder_state.agents.values()):
            placed = scheduler.PlacedTask(self.filler, step, step.tasks[index])
            ref = lifecycle.build_task_ref(self.filler, step, index)
            now = self.world.read_clock()
            lifecycle.place_task(self.holder_state, view, placed, ref, now)
            view.candidate = None

    def list_rows(self, age_ms: int = runs.UNKNOWN_AGE) -> None:
        """Lets the latest report of each agent list its run."""
        for view in self.holder_state.agents.values():
            rows = tuple(
                runs.RunRow(runs.RunRef(ref, placed.task.run), age_ms=age_ms)
                for ref, placed in view.placed.items()
            )
            view.report = msgspec.structs.replace(view.report, rows=rows)

    def start_runs(self) -> None:
        """Lets each worker run what is placed on it, and report it."""
        self.list_rows(AGE_MS)
        for view in self.holder_state.agents.values():
            worker = self.world.workers[str(view.instance)]
            for ref, placed in view.placed.items():
                spec = placed.step.spec
                worker.running[ref] = worker_fake.FakeRun(
                    runs.RunRef(ref, placed.task.run),
                    self.world.now_ms + AGE_MS,
                    runs.RunEnd.DONE,
                    0 if spec.fills else spec.cpu_millis,
                    spec.memory_mb,
                )

    def add_waiting_job(self) -> progress.Job:
        """Adds a starved job behind a wide one."""
        self.add_job("wide", WIDE_STEP)
        return self.add_job("waiting", LATE_STEP, waited=STARVED_WAIT)

    def has_room(self, job: progress.Job) -> bool:
        """Tells whether the rule counts a job as waiting."""
        room = wait_oracle._Room(list(self.world.workers.values()))
        is_half_free = room.measure_used_share() < wait_oracle.MAX_USED_SHARE
        return is_half_free and room.has_for(job.spec, 0)


def build_filler(share: float, *, fills: bool) -> specs.StepSpec:
    step = specs.StepSpec(
        test_first_runs.AGENTS, int(large_world.WORKER_MILLIS * share), 100
    )
    if not fills:
        return step
    return msgspec.structs.replace(
        step, memory_mb=int(large_world.WORKER_MB * share), fills=True
    )


def close_filler(fleet: FullFleet) -> None:
    """Ends the job, so that its runs are former ones."""
    fleet.list_rows()
    lifecycle.close_job(
        fleet.holder_state,
        fleet.filler,
        messages.JobState.CANCELLED,
        fleet.world.read_clock(),
    )
    for view in fleet.holder_state.agents.values():
        view.placed.clear()


@pytest.mark.parametrize(
    "prepare",
    [
        pytest.param(lambda _: None, id="not listed"),
        pytest.param(FullFleet.list_rows, id="listed and not started"),
        pytest.param(close_filler, id="former and not started"),
    ],
)
@pytest.mark.parametrize("fills", [False, True])
def test_starved_job_is_placed_while_little_runs(
    prepare: Callable[[FullFleet], None], *, fills: bool
) -> None:
    """Guards against a job that waits while others take each gap first.

    Where runs are short, nearly all of a fleet may be placed and less than half
    of it run at any time.
    """
    fleet = FullFleet(fills=fills)
    prepare(fleet)
    job = fleet.add_waiting_job()
    assert fleet.has_room(job)
    assert "waiting" in fleet.make_plan()


def test_order_of_the_policy_holds_while_most_runs() -> None:
    """Guards against urgent jobs that are late for first runs of late ones."""
    fleet = FullFleet()
    fleet.start_runs()
    job = fleet.add_waiting_job()
    assert not fleet.has_room(job)
    assert set(fleet.make_plan()) == {"wide"}
