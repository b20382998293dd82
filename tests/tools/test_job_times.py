"""Tests of the tool that tells where the time of jobs goes."""

import datetime
import json

import job_times

SECOND = datetime.timedelta(seconds=1)
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
Phase = job_times.Phase


def build_line(seconds: float, decision: str, outcome: str, **rest: str) -> str:
    at = START + seconds * SECOND
    fields = {
        "time": at.isoformat(),
        "decision": decision,
        "id": "j",
        "outcome": outcome,
        **rest,
    }
    return f"  {seconds:.4f} front-1 {json.dumps(fields)}\n"


def build_run(
    index: int, times: tuple[float, float, float], *, last: bool = False
) -> list[str]:
    """Returns the lines of a run that is placed, started and done."""
    placed, started, ended = times
    task = f"j.0.0.{index}"
    outcome = "job completed" if last else "job running"
    return [
        build_line(placed, "place", "side-1", task=task, run="1"),
        build_line(started, "start", "started", task=task, run="1"),
        build_line(ended, "run-ended", outcome, task=task, run="1", end="done"),
    ]


def test_time_is_divided_by_phases() -> None:
    """Guards against a table that blames waiting for what is slow work."""
    lines = [build_line(0, "submit", "accepted", queue="q"), "no object\n"]
    for index in range(8):
        lines += build_run(index, (2, 3, 6))
    lines += build_run(8, (2, 3, 10), last=True)
    (job,) = job_times.read_jobs(lines)
    assert job_times.divide_time(job) == {
        Phase.UNPLACED: 2 * SECOND,
        Phase.STARTING: SECOND,
        Phase.WORKING: 3 * SECOND,
        Phase.TAIL: 4 * SECOND,
    }
    assert job.measure_span() == 10 * SECOND


def test_stopped_runs_count_as_repeated() -> None:
    """Guards against migrations whose cost is not seen."""
    lines = [
        build_line(0, "submit", "accepted", queue="q"),
        *build_run(0, (0, 0, 5))[:2],
        build_line(
            4,
            "run-ended",
            "job running",
            task="j.0.0.0",
            run="1",
            end="stopped",
        ),
    ]
    (job,) = job_times.read_jobs(lines)
    assert job.measure_repeated() == 4 * SECOND
    assert job.ended_at is None
