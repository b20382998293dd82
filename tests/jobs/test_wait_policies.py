"""Tests of the decision how long a wait for a near place pays.

Guards against waits that cost more than the distance, that outlast the limits,
or that rest on news that is too old.
"""

import dataclasses
import datetime
from typing import Any

import pytest

from gypsumhold.decisions.jobs.locality import (
    near_waits,
    rack_forecasts,
    wait_policies,
)
from gypsumhold.model import ids, resources
from gypsumhold.model.jobs import locality, progress, specs

SECOND = datetime.timedelta(seconds=1)
NOW = 100 * SECOND
RACK = ids.Rack("r1-0")
POLICY = wait_policies.WeighWait()


def build_case(
    *opens_in: float, report_age: float = 0.0, **changes: Any
) -> locality.NearPlaceCase:
    """Returns a case of a job that is late elsewhere only.

    Its task takes 2 s near and 4 s elsewhere.

    Args:
        opens_in: Times until near places open, in seconds.
        report_age: Age of the reports, in seconds.
        changes: Fields that are different.
    """
    openings = tuple(
        locality.Opening(NOW + time * SECOND, NOW - report_age * SECOND)
        for time in opens_in
    )
    case = locality.NearPlaceCase(
        now=NOW,
        off_rack_slowdown=2.0,
        work=2 * SECOND,
        forecast=locality.RackForecast(RACK, 0, openings),
        places_ahead=0,
        turnover=datetime.timedelta(0),
        slack=1.99 * SECOND,
        is_contended=False,
    )
    return dataclasses.replace(case, **changes)


def waits(case: locality.NearPlaceCase) -> bool:
    return POLICY.decide(case).choice is locality.PlaceChoice.WAIT


def test_baseline_never_waits() -> None:
    decision = wait_policies.TakeAnywhere().decide(build_case(0.01))
    assert decision.choice is locality.PlaceChoice.ELSEWHERE


@pytest.mark.parametrize(("opens_in", "expected"), [(1.9, True), (2.0, False)])
def test_wait_is_shorter_than_the_loss(opens_in: float, expected: bool) -> None:
    assert waits(build_case(opens_in)) is expected


def test_nothing_waits_where_distance_costs_nothing() -> None:
    """Guards against waits in a deployment that names no factor."""
    assert not waits(build_case(0.0, 0.1, off_rack_slowdown=1.0))


def test_rack_without_openings_is_not_waited_for() -> None:
    assert not waits(build_case())


def test_places_of_tasks_ahead_are_not_counted_on() -> None:
    assert waits(build_case(0.5, 1.0, places_ahead=1))
    assert not waits(build_case(0.5, 3.0, places_ahead=1))
    assert not waits(build_case(0.5, 1.0, places_ahead=2))


def test_age_of_the_report_counts_as_a_delay() -> None:
    assert waits(build_case(1.2, report_age=0.5))
    assert not waits(build_case(1.2, report_age=0.9))


def test_worker_that_missed_a_report_is_not_counted_on() -> None:
    """Guards against a wait for a place on a worker that may be lost."""
    long = {"work": 20 * SECOND, "slack": 5 * SECOND}
    assert waits(build_case(0.1, report_age=1.9, **long))
    assert not waits(build_case(0.1, report_age=2.0, **long))


def test_wait_does_not_grow_with_new_forecasts() -> None:
    """Guards against a task that waits on while each forecast is soon."""
    first = POLICY.decide(build_case(1.0))
    later = build_case(2.5, now=NOW + 1.5 * SECOND, began_at=NOW)
    assert first.until == NOW + 1.99 * SECOND
    assert not waits(later)


def test_limit_without_a_run_ends_a_wait() -> None:
    """Guards against a job that has no run for the sake of its data."""
    limit = NOW + 0.3 * SECOND
    assert POLICY.decide(build_case(0.2, latest_start_at=limit)).until == limit
    assert not waits(build_case(0.4, latest_start_at=limit))


def test_job_that_is_on_time_elsewhere_waits_for_others_only() -> None:
    """Guards against a wait that costs an objective and gains nothing.

    What the task takes longer elsewhere only matters to others then, and only
    if they find no capacity.
    """
    on_time = {"slack": 10 * SECOND}
    assert not waits(build_case(0.5, **on_time))
    assert waits(build_case(0.5, is_contended=True, **on_time))
    assert not waits(build_case(2.0, is_contended=True, **on_time))


def test_wait_ends_once_the_job_is_late_anyway() -> None:
    """Guards against waits that gain nothing for their job.

    One of its tasks may have gone elsewhere, or its estimates have grown.
    """
    assert not waits(build_case(0.7, slack=0.6 * SECOND))
    assert not waits(build_case(0.1, slack=-SECOND))
    assert waits(build_case(0.1, slack=-SECOND, is_contended=True))


def test_task_that_does_not_hold_up_its_step_waits_for_others_only() -> None:
    """Guards against near places that are taken for no one's good.

    Another task of the step runs elsewhere already, and ends as late.
    """
    held_up = {"step_ends_at": NOW + 4 * SECOND}
    assert build_case(**held_up).job_loss == datetime.timedelta(0)
    assert not waits(build_case(0.5, **held_up))
    assert waits(build_case(0.5, is_contended=True, **held_up))


def test_wait_leaves_the_time_to_be_on_time_elsewhere() -> None:
    case = build_case(0.5, slack=2.4 * SECOND, is_contended=True)
    assert not waits(case)
    case = build_case(0.3, slack=2.4 * SECOND, is_contended=True)
    assert POLICY.decide(case).until == NOW + 0.4 * SECOND


def test_end_of_an_overdue_task_moves_on() -> None:
    """Guards against a place that is expected at once for ever."""
    task = progress.Task(progressed_at=NOW - 5 * SECOND)
    assert rack_forecasts.estimate_end(task, 8 * SECOND, NOW) == (
        NOW + 3 * SECOND
    )
    assert rack_forecasts.estimate_end(task, 3 * SECOND, NOW) == (
        NOW + 2 * SECOND
    )
    task.slowdown = 2.0
    assert rack_forecasts.estimate_end(task, 8 * SECOND, NOW) == (
        NOW + 11 * SECOND
    )


def test_claims_of_other_sizes_count_by_what_they_take() -> None:
    spec = specs.StepSpec(1, 2000, 1000)
    claimed = resources.Resources(5000, 1000, 0)
    assert near_waits.count_claims(claimed, spec) == 3
    assert near_waits.count_claims(resources.NOTHING, spec) == 0


def test_places_are_bounded_by_each_resource() -> None:
    spec = specs.StepSpec(9, 2000, 1000)
    assert (
        rack_forecasts.count_places(resources.Resources(9000, 3500, 0), spec)
        == 3
    )
    assert (
        rack_forecasts.count_places(resources.Resources(-500, 3500, 0), spec)
        == 0
    )
