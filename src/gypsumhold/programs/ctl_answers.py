"""Translates the answers of entries into text and an exit status."""

import dataclasses
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from gypsumhold.model import errors
from gypsumhold.programs import ctl_options, ctl_previews, ctl_tables

REFUSALS = frozenset({401, 403, 404, 405, 409, 422})
BAD_INPUTS = frozenset({400, 413})


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of one entry to a call, or why there is none.

    Attributes:
        entry: Address of the entry.
        status: HTTP status; 0 if there was no answer.
        document: Decoded JSON body, or the reason for the missing answer.
        sent: False only if no byte of the call can have reached the entry.
    """

    entry: str
    status: int
    document: Any
    sent: bool = True

    @property
    def succeeded(self) -> bool:
        """Whether the entry carried the call out."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Output and exit status of a command.

    Attributes:
        text: Text to print.
        code: Exit status.
        is_error: Whether the text goes to stderr.
    """

    text: str
    code: ctl_options.ExitCode = ctl_options.ExitCode.DONE
    is_error: bool = False


def report_error(
    error: errors.Error,
    code: ctl_options.ExitCode = ctl_options.ExitCode.BAD_INPUT,
) -> Report:
    """Returns the report of a typed error."""
    return _report_problem(error.message, error.remedy, code)


def _report_problem(
    message: str, remedy: str, code: ctl_options.ExitCode
) -> Report:
    return Report(f"error: {message}\n  {remedy}\n", code, True)


def _choose_code(status: int) -> ctl_options.ExitCode:
    if 200 <= status < 300:
        return ctl_options.ExitCode.DONE
    if status in REFUSALS:
        return ctl_options.ExitCode.REFUSED
    if status in BAD_INPUTS:
        return ctl_options.ExitCode.BAD_INPUT
    return ctl_options.ExitCode.UNKNOWN


def _report_failure(answer: Answer) -> Report:
    code = _choose_code(answer.status)
    if answer.status == 0:
        remedy = (
            "the call may have taken effect; check before you repeat it"
            if answer.sent
            else "check the addresses in the settings, and that the entry runs"
        )
        return _report_problem(
            f"no answer from {answer.entry}: {answer.document}", remedy, code
        )
    match answer.document:
        case {"error": {"message": message, "remedy": remedy}}:
            return _report_problem(message, remedy, code)
    return _report_problem(
        f"{answer.entry} answered with status {answer.status}",
        "check that the address belongs to an entry",
        code,
    )


def _describe_change(change: Mapping[str, Any]) -> str:
    parts = [
        f"{sign}{object_type} {name}"
        for sign, object_type, names in (
            (
                "",
                "template",
                [template["name"] for template in change["templates"]],
            ),
            (
                "",
                "organisation",
                [
                    organisation["name"]
                    for organisation in change["organisations"]
                ],
            ),
            ("-", "template", change["deleted_templates"]),
            ("-", "organisation", change["deleted_organisations"]),
        )
        for name in names
    ]
    return ", ".join(parts)


def _render_history(document: Any) -> str:
    lines = []
    for change in document["changes"]:
        lines.append(
            f"{change['version']}  {change['time']}  {change['author']}\n"
            f"    {change['comment']}\n"
            f"    {_describe_change(change)}\n"
        )
    return "".join(lines) or "no changes\n"


def _render_task(document: Any) -> str:
    if not isinstance(document, Mapping):
        return f"{document}\n"
    return "".join(
        f"{key}: "
        + (value if isinstance(value, str) else json.dumps(value))
        + "\n"
        for key, value in document.items()
    )


def _render_list(document: Any) -> str:
    columns = ("task_id", "kind", "state", "instance", "result")
    return ctl_tables.format_table(
        columns,
        (
            tuple(str(task.get(column) or "-")[:60] for column in columns)
            for task in document["tasks"]
        ),
    )


_RENDERERS: dict[type, Callable[[Any], str]] = {
    ctl_options.Apply: lambda body: f"applied as version {body['version']}\n",
    ctl_options.History: _render_history,
    ctl_options.Drain: lambda body: f"{body['instance']} takes no new work\n",
    ctl_options.Submit: lambda body: f"{body['task_id']}\n",
    ctl_options.ShowTask: _render_task,
    ctl_options.ListTasks: _render_list,
    ctl_options.PreviewRequest: ctl_previews.render_request,
    ctl_options.PreviewJob: ctl_previews.render_job,
    ctl_options.Cancel: lambda _: "cancelled, unless it had ended before\n",
}


def report_answer(
    command: ctl_options.Command, answer: Answer, raw: bool
) -> Report:
    """Returns the report of a command that one entry answered."""
    if raw and answer.status:
        return render_json(answer.document, _choose_code(answer.status))
    if not answer.succeeded:
        return _report_failure(answer)
    try:
        return Report(_RENDERERS[type(command)](answer.document))
    except (KeyError, TypeError, AttributeError):
        return _report_problem(
            f"cannot read the answer of {answer.entry}",
            "use the same version of gypsumctl and of the entry, or --json",
            ctl_options.ExitCode.UNKNOWN,
        )


def report_retirement(
    command: ctl_options.Retire, answers: Sequence[Answer], raw: bool
) -> Report:
    """Returns the report of a retirement, which is sent to every entry."""
    if raw:
        return report_raw(answers)
    failed = [answer for answer in answers if not answer.succeeded]
    if not failed:
        return Report(f"{command.instance} is retired on every entry\n")
    reports = [_report_failure(answer) for answer in failed]
    text = "".join(report.text for report in reports)
    return Report(
        f"{text}retired on {len(answers) - len(failed)} of {len(answers)} "
        "entries; it is safe to repeat the command\n",
        max(report.code for report in reports),
        True,
    )


def render_json(
    document: Any, code: ctl_options.ExitCode = ctl_options.ExitCode.DONE
) -> Report:
    """Returns a report that prints a document as JSON."""
    return Report(json.dumps(document, ensure_ascii=False) + "\n", code)


def report_raw(answers: Sequence[Answer]) -> Report:
    """Returns a report that prints the answers of all entries as JSON."""
    return render_json(
        [
            {
                "entry": answer.entry,
                "status": answer.status,
                "answer": answer.document,
            }
            for answer in answers
        ],
        max(_choose_code(answer.status) for answer in answers),
    )
