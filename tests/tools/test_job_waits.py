"""Tests of the tool that tells when jobs had nothing running."""

import json

import job_waits

Stage = job_waits.Stage


def build_line(
    seconds: float, decision: str, subject: str, outcome: str, **rest: str
) -> str:
    fields = {
        "time": "2026-01-01T00:00:00+00:00",
        "source": "front-1",
        "decision": decision,
        "id": subject,
        "outcome": outcome,
        **rest,
    }
    return f"  {seconds:.4f} front-1 {json.dumps(fields)}\n"


def build_place(seconds: float, task: str, run: str = "1") -> str:
    job_id = task.partition(".")[0]
    return build_line(seconds, "place", job_id, "side-1", task=task, run=run)


def build_start(seconds: float, task: str, run: str = "1") -> str:
    job_id = task.partition(".")[0]
    return build_line(seconds, "start", job_id, "started", task=task, run=run)


def build_end(
    seconds: float, task: str, outcome: str = "job running", run: str = "1"
) -> str:
    job_id = task.partition(".")[0]
    return build_line(
        seconds, "run-ended", job_id, outcome, task=task, run=run, end="done"
    )


def find_waits(texts: list[str]) -> list[job_waits.Wait]:
    return job_waits.find_waits(job_waits.parse_lines(texts))


def test_wait_between_steps_is_divided_by_stages() -> None:
    """Guards against a table that blames the start for a late placement."""
    lines = [
        build_line(0, "submit", "j", "accepted", queue="q"),
        build_place(1, "j.0.0.0"),
        build_start(2, "j.0.0.0"),
        build_end(5, "j.0.0.0"),
        build_place(6.5, "j.0.1.0"),
        build_start(7, "j.0.1.0"),
        build_end(9, "j.0.1.0", "job completed"),
    ]
    first, second = find_waits(lines)
    assert (first.cause, first.measure(0)) == ("accepted", 2)
    assert second.cause == "run-ended done, step 0"
    assert second.measure(0, Stage.PLACEMENT) == 1.5
    assert second.measure(0, Stage.START) == 0.5
    assert second.outcome == "started"


def test_job_with_another_run_does_not_wait() -> None:
    """Guards against waits of single tasks that count as waits of jobs."""
    lines = [
        build_place(0, "j.0.0.0"),
        build_place(0, "j.0.0.1"),
        build_start(0, "j.0.0.0"),
        build_start(0, "j.0.0.1"),
        build_end(1, "j.0.0.0"),
        build_end(4, "j.0.0.1"),
    ]
    last = build_place(5, "other.0.0.0")
    _, wait, _ = find_waits([*lines, last])
    assert wait.changes == [(4, Stage.PLACEMENT)]
    assert wait.outcome == "not started"


def test_refused_run_leaves_the_wait_open() -> None:
    """Guards against a refusal that hides how long a job has waited."""
    refusal = {"task": "j.0.0.0", "run": "1", "reason": "no-room"}
    lines = [
        build_place(0, "j.0.0.0"),
        build_line(1, "run-refused", "j", "placed again", **refusal),
        build_place(2, "j.0.0.0", run="2"),
        build_start(3, "j.0.0.0", run="2"),
    ]
    (wait,) = find_waits(lines)
    assert wait.measure(0) == 3
    assert wait.measure(0, Stage.PLACEMENT) == 1
    assert (wait.placements, wait.refusals) == (2, 1)


def test_run_without_a_logged_start_counts_as_started() -> None:
    """Guards against waits where only the line of the start is missing."""
    lines = [
        build_place(0, "j.0.0.0"),
        build_end(4, "j.0.0.0", "job completed"),
    ]
    (wait,) = find_waits(lines)
    assert (wait.measure(0), wait.outcome) == (0, "started, not logged")


def test_lost_runs_are_those_placed_first() -> None:
    """Guards against a lost worker whose next runs count as lost, too."""
    lapse = {"reason": "new worker life", "runs": "1"}
    lines = [
        build_place(0, "j.0.0.0"),
        build_start(0, "j.0.0.0"),
        build_place(1, "k.0.0.0"),
        build_start(1, "k.0.0.0"),
        build_line(2, "runs-lapsed", "side-1", "placed again", **lapse),
        build_line(3, "cancel", "k", "storing"),
    ]
    waits = {wait.job_id: wait for wait in find_waits(lines) if wait.end_s > 1}
    assert list(waits) == ["j"]
    assert waits["j"].cause == "runs-lapsed new worker life, step 0"


def test_decisions_of_a_former_holder_change_nothing() -> None:
    """Guards against waits that only a holder without the queue believes in."""
    lapse = {"reason": "silent", "runs": "1"}
    lines = [
        build_place(0, "j.0.0.0"),
        build_start(0, "j.0.0.0"),
        build_line(1, "take-queue", "front-2", "taken", source="front-2"),
        build_line(2, "runs-lapsed", "side-1", "placed again", **lapse),
    ]
    (wait,) = find_waits(lines)
    assert wait.outcome == "started"


def test_only_the_time_after_the_traffic_counts() -> None:
    """Guards against waits that began in the traffic and count in full."""
    lines = [
        build_place(30, "j.0.0.0"),
        build_start(36, "j.0.0.0"),
        build_end(38, "j.0.0.0", "job completed"),
    ]
    (wait,) = find_waits(lines)
    assert wait.measure(34) == 2
    assert job_waits.describe_lengths([wait], 34)[-1].split() == [
        "all", "1", "1", "1", "1", "0", "0", "2.00",
    ]  # fmt: skip


def test_context_has_the_queue_and_the_own_instances() -> None:
    """Guards against a wait whose lost holder or worker is not shown."""
    lines = job_waits.parse_lines(
        [
            build_line(0, "take-queue", "front-2", "taken"),
            build_line(1, "worker", "side-2", "silent"),
            build_line(1, "agent", "side-1", "joined"),
            build_place(1, "j.0.0.0"),
            build_start(2, "j.0.0.0"),
        ]
    )
    (wait,) = job_waits.find_waits(lines)
    context = job_waits.describe_context(wait, lines)
    assert [text.split(maxsplit=1)[1] for text in context] == [
        "front-1 take-queue taken (1)",
        "front-1 agent joined (1)",
    ]
