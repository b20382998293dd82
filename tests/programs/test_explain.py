"""Tests of `gypsumctl explain`: from the id of a job to its cause."""

import json
import pathlib

import pytest

from gypsumhold.adapters.jobs import log_lines
from gypsumhold.decisions.jobs import stories as story_decisions
from gypsumhold.model.jobs import specs, stories
from gypsumhold.programs import ctl, ctl_options

JOB = "5c0e7a21d94b36f8"
OTHER = "0000000000000001"


def write_line(
    ms: int, decision: str, outcome: str, job: str = JOB, **inputs: str
) -> str:
    fields = {
        "time": f"2026-03-05T11:05:{ms // 1000:02}.{ms % 1000:03}+00:00",
        "source": "front-a-1",
        "decision": decision,
        "id": job,
        "outcome": outcome,
        **inputs,
    }
    return json.dumps(fields)


ACCEPTED = write_line(0, "submit", "accepted", queue="q")
PLACED = write_line(4000, "place", "side-a-1", task=f"{JOB}.0.0.0")
STARTED = write_line(4100, "start", "started", task=f"{JOB}.0.0.0")
DONE = write_line(5000, "run-ended", "job completed", end="done")
CASES = {
    stories.Cause.UNKNOWN: [],
    stories.Cause.REFUSED: [write_line(0, "submit", "unavailable")],
    stories.Cause.UNANSWERED: [write_line(0, "submit", "unknown")],
    stories.Cause.NOT_PLACED: [ACCEPTED],
    stories.Cause.NOT_STARTED: [ACCEPTED, PLACED],
    stories.Cause.RUNNING: [ACCEPTED, PLACED, STARTED],
    stories.Cause.COMPLETED: [ACCEPTED, PLACED, STARTED, DONE],
    stories.Cause.CANCELLED: [
        ACCEPTED,
        PLACED,
        write_line(4500, "cancel", "storing"),
    ],
    stories.Cause.FAILED: [
        ACCEPTED,
        write_line(
            4000, "run-ended", "job running", end="failed", instance="side-a-1"
        ),
        write_line(
            5000, "run-ended", "job failed", end="failed", instance="side-b-2"
        ),
    ],
    stories.Cause.GIVEN_UP: [
        ACCEPTED,
        PLACED,
        STARTED,
        write_line(
            9000,
            "task-given-up",
            "job failed",
            task=f"{JOB}.0.0.0",
            crashed="side-a-1@1788285346928,side-b-2@1788285347785",
        ),
    ],
}


def explain(texts: list[str]) -> stories.Explanation:
    lines = log_lines.parse_lines(texts)
    story = story_decisions.tell_story(specs.JobId(JOB), lines)
    return story_decisions.explain(story)


@pytest.mark.parametrize("cause", stories.Cause, ids=lambda cause: cause.value)
def test_each_cause_is_found(cause: stories.Cause) -> None:
    noise = [
        "",
        "not JSON",
        "{broken",
        '{"level":"info"}',
        write_line(10, "submit", "unavailable", OTHER),
        "  12.5 front-a-1 " + write_line(20, "cancel", "storing", OTHER),
    ]
    assert explain([*noise, *reversed(CASES[cause])]).cause is cause


def test_wait_of_a_late_job_is_named_with_its_length() -> None:
    """Guards against an explanation that leaves the search to the reader."""
    summary = explain(CASES[stories.Cause.COMPLETED]).summary
    assert "waiting for a place (4.0 s)" in summary


def test_task_that_was_given_up_is_named_with_the_crashes() -> None:
    """Guards against a failed job whose owner learns no reason."""
    summary = explain(CASES[stories.Cause.GIVEN_UP]).summary
    assert f"{JOB}.0.0.0" in summary
    assert "side-a-1, side-b-2" in summary


def test_refusal_before_an_acceptance_is_not_the_cause() -> None:
    """Guards against a retried submission that is shown as refused."""
    refused = write_line(0, "submit", "unavailable")
    accepted = write_line(900, "submit", "accepted", queue="q")
    assert explain([refused, accepted]).cause is stories.Cause.NOT_PLACED


def test_lines_about_the_queue_belong_to_the_story() -> None:
    """Guards against a wait for a holder that the story does not show."""
    during = write_line(2000, "take-queue", "taken", "front-b-1")
    after = write_line(9000, "take-queue", "taken", "front-b-1")
    lines = log_lines.parse_lines([ACCEPTED, PLACED, during, after])
    story = story_decisions.tell_story(specs.JobId(JOB), lines)
    assert [line.decision for line in story.lines] == [
        "submit",
        "take-queue",
        "place",
    ]


def test_command_reads_several_files(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for name, texts in (("a", [ACCEPTED, DONE]), ("b", [STARTED, PLACED])):
        (tmp_path / name).write_text("\n".join(texts), encoding="utf-8")
    files = [str(tmp_path / name) for name in ("a", "b")]
    assert ctl.main(["explain", JOB, *files]) == ctl_options.ExitCode.DONE
    shown = capsys.readouterr().out.splitlines()
    assert len(shown) == 6
    assert shown[1].startswith("   +4.000 s  front-a-1")
    assert shown[4].startswith("completed: ")
    assert ctl.main(["explain", "--json", JOB, *files]) == 0
    document = json.loads(capsys.readouterr().out)
    assert document["cause"] == "completed"
    assert len(document["lines"]) == 4


def test_unknown_job_and_missing_file_have_their_exit_status(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "a").write_text(ACCEPTED, encoding="utf-8")
    path = str(tmp_path / "a")
    assert ctl.main(["explain", OTHER, path]) == ctl_options.ExitCode.REFUSED
    missing = str(tmp_path / "missing")
    status = ctl.main(["explain", JOB, missing])
    assert status == ctl_options.ExitCode.BAD_INPUT
    assert "cannot read" in capsys.readouterr().err
