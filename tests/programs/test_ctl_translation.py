"""Tests how gypsumctl translates arguments into calls and answers into text."""

import pathlib
from typing import Any

import docopt
import pytest
from syrupy.assertion import SnapshotAssertion

from gypsumhold.model import declarations, errors, ids
from gypsumhold.programs import (
    ctl,
    ctl_answers,
    ctl_calls,
    ctl_options,
    ctl_status,
)

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"
CONFIG_OPTION = "--config s.json"


def parse(command_line: str) -> Any:
    return ctl_options.read_options(
        docopt.docopt(ctl_options.USAGE, command_line.split())
    )


@pytest.mark.parametrize(
    "command_line",
    [
        f"history {CONFIG_OPTION}",
        f"history {CONFIG_OPTION} --limit 3",
        f"status {CONFIG_OPTION} --check",
        f"drain {CONFIG_OPTION} instance/1",
        f"retire {CONFIG_OPTION} instance-1",
        f"submit {CONFIG_OPTION} --organisation o --kind k --key a",
        f"submit {CONFIG_OPTION} --organisation o --kind k --key a --payload p"
        " --cpu-millis 500 --memory-mb 800",
        f"task {CONFIG_OPTION} --organisation o&x t?1",
        f"list {CONFIG_OPTION} --organisation o",
        f"cancel {CONFIG_OPTION} --organisation o t1",
        f"where {CONFIG_OPTION} --organisation o&x --kind k",
        f"diff {CONFIG_OPTION} a b",
        f"apply {CONFIG_OPTION} --comment c --author n --base 4 --prune a",
    ],
)
def test_arguments_become_one_call(
    command_line: str, snapshot: SnapshotAssertion
) -> None:
    """Guards against options that are lost and names that are not quoted."""
    options = parse(command_line).unwrap()
    assert (options.command, ctl_calls.build_call(options.command)) == snapshot


@pytest.mark.parametrize(
    "command_line",
    [
        "",
        "apply --config s.json a",
        "status",
        "validate",
        "history --config s.json --limit x",
        "history --config s.json --limit -1",
        "submit --config s.json --organisation o --kind k --key a"
        " --cpu-millis 5",
        "submit --config s.json --organisation o --kind k --key ä",
    ],
)
def test_bad_usage_exits_with_2(
    command_line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a call that is sent in spite of invalid arguments."""
    assert ctl.main(command_line.split()) == ctl_options.ExitCode.BAD_INPUT
    assert capsys.readouterr().err


def build_answer(
    status: int, document: Any, sent: bool = True
) -> ctl_answers.Answer:
    return ctl_answers.Answer("127.0.0.1:1", status, document, sent)


def build_error(message: str) -> dict[str, Any]:
    return {"error": {"kind": "k", "message": message, "remedy": "do this"}}


@pytest.mark.parametrize(
    "code, answer",
    [
        (0, build_answer(200, {"version": 8})),
        (1, build_answer(409, build_error("carol was first"))),
        (1, build_answer(401, build_error("token"))),
        (2, build_answer(400, build_error("not JSON"))),
        (3, build_answer(503, build_error("table"))),
        (3, build_answer(504, build_error("in doubt"))),
        (3, build_answer(502, "<html>")),
        (3, build_answer(0, "ReadTimeoutError")),
        (3, build_answer(0, "cannot connect", sent=False)),
        (3, build_answer(200, "not an entry")),
    ],
)
def test_answer_becomes_text_and_code(
    code: int, answer: ctl_answers.Answer, snapshot: SnapshotAssertion
) -> None:
    """Guards against an unknown result that exits like a refusal."""
    command = ctl_options.Apply(("f",), "c")
    report = ctl_answers.report_answer(command, answer, False)
    assert report.code == code
    assert report.text == snapshot


def test_retirement_is_complete_only_on_every_entry() -> None:
    """Guards against reporting success although one entry was not reached.

    The partitions of that entry would keep their leases on the instance.
    """
    command = ctl_options.Retire(ids.InstanceId("i"))
    done = build_answer(200, {"instance": "i", "retired": True})
    unreachable = build_answer(0, "cannot connect", sent=False)
    assert ctl_answers.report_retirement(command, [done], False).code == 0
    partial = ctl_answers.report_retirement(command, [done, unreachable], False)
    assert partial.code == 3
    assert "1 of 2" in partial.text


def build_status(
    entry: str, version: int, accepted: int | None, instance: dict[str, Any]
) -> ctl_answers.Answer:
    amounts = {"cpu_millis": 8, "memory_mb": 9, "accelerators": 1}
    member = {
        "name": "i0",
        "state": "serving",
        "data_centre": "dc",
        "rack": "r",
        "incarnation": 1,
        "config_version": version,
        "lagging": False,
        "free_slots": 2,
        "queued": 0,
        "capacity": amounts,
        "free": amounts,
        "age_ms": 500,
    }
    return build_answer(
        200,
        {
            "accepted_version": accepted,
            "entry": {
                "name": entry,
                "incarnation": 1,
                "config_version": version,
                "ready": True,
                "waiting": {"urgent": 1},
                "partitions_held": 1,
                "table_reachable": accepted is not None,
            },
            "instances": [member | instance],
            "partitions": [
                {"number": 2, "phase": "held", "epoch": 1}
                | {"queued": 3, "assigned": 4}
            ],
        },
    )


UNREACHABLE = build_answer(0, "cannot connect", sent=False)


@pytest.mark.parametrize(
    "code, answers",
    [
        (0, [build_status("e0", 5, 5, {}), build_status("e1", 5, None, {})]),
        (1, [build_status("e0", 5, 5, {}), build_status("e1", 4, None, {})]),
        (1, [build_status("e0", 5, 6, {}), UNREACHABLE]),
        (1, [build_status("e0", 5, 5, {"config_version": 4})]),
        # An older status of an instance, from another entry, is not a lag.
        (
            0,
            [
                build_status("e0", 5, 5, {"config_version": 4}),
                build_status("e1", 5, 5, {"config_version": 5}),
            ],
        ),
        (3, [build_status("e0", 5, 5, {}), UNREACHABLE]),
        (3, [UNREACHABLE]),
    ],
)
def test_status_check_finds_lag(
    code: int,
    answers: list[ctl_answers.Answer],
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against a lagging or unreachable member that passes the check."""
    command = ctl_options.Status(check=True)
    report = ctl_status.report_status(command, answers, False)
    assert report.code == code
    assert report.text == snapshot


def test_apply_sends_only_what_differs() -> None:
    """Guards against an apply that rewrites or deletes other objects."""
    files = [str(path) for path in sorted(EXAMPLES.glob("*.jsonc"))]
    desired = ctl.read_declarations(files).unwrap()
    current = declarations.apply_change(declarations.EMPTY, desired)
    command = ctl_options.Apply(tuple(files), "c")
    assert ctl_calls.build_apply(command, "n", current, desired) is None
    fewer = declarations.Change(
        current.version, desired.templates[1:], desired.organisations
    )
    assert ctl_calls.build_apply(command, "n", current, fewer) is None
    pruning = ctl_options.Apply(tuple(files), "c", prune=True)
    call = ctl_calls.build_apply(pruning, "n", current, fewer)
    assert call is not None and not call.idempotent
    assert call.document["put"] == {"templates": [], "organisations": []}
    assert call.document["delete"]["templates"] == [desired.templates[0].name]


def test_validate_is_offline(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against examples that are not valid declarations."""
    files = [str(path) for path in sorted(EXAMPLES.glob("*.jsonc"))]
    assert ctl.main(["validate", *files]) == 0
    assert "12 templates and 8 organisations" in capsys.readouterr().out
    assert ctl.main(["validate", "missing.jsonc"]) == 2


def test_error_report_names_the_remedy() -> None:
    """Guards against an error message without its remedy."""
    error = errors.Error(errors.ErrorKind.DECODING, "broken", "repair it")
    assert "repair it" in ctl_answers.report_error(error).text
