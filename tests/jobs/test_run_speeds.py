"""Tests of the log lines about runs that stand still."""

import datetime

from gypsumhold.decisions.jobs import estimates, lifecycle, run_speeds
from gypsumhold.model.jobs import effects, runs, scheduler
from tests.jobs import test_migrations

MILLISECOND = datetime.timedelta(milliseconds=1)
HALTED_SHARE = 0.0
FULL_SHARE = 1.0


def list_outcomes(shares: tuple[float, ...], interval_ms: int) -> list[str]:
    """Lists a run at these shares of full speed; returns what is logged."""
    fleet = test_migrations.Fleet()
    step = fleet.slow.steps[0]
    task = step.tasks[0]
    ref = lifecycle.build_task_ref(fleet.slow, step, 0)
    placed = scheduler.PlacedTask(fleet.slow, step, task)
    emitted = []
    for number, share in enumerate(shares):
        now = fleet.read_clock() + number * interval_ms * MILLISECOND
        usage = int(step.spec.cpu_millis * share)
        row = runs.RunRow(runs.RunRef(ref, task.run), usage=usage)
        estimates.measure_progress(step, task, row, now)
        emitted += run_speeds.log_change(ref, placed, now)
    assert all(isinstance(line, effects.Log) for line in emitted)
    return [getattr(line, "outcome", "") for line in emitted]


def test_one_line_for_each_change() -> None:
    """Guards against runs that stand still without a line in the log."""
    halted = (HALTED_SHARE,) * 30
    shares = (FULL_SHARE, *halted, FULL_SHARE, FULL_SHARE, *halted)
    assert list_outcomes(shares, 200) == ["halted", "works", "halted"]


def test_no_line_for_a_short_halt() -> None:
    """Guards against lines about each short throttling."""
    shares = (FULL_SHARE, HALTED_SHARE, HALTED_SHARE) * 5
    assert list_outcomes(shares, 300) == []
