"""The command `explain`: the story of one job from log files."""

import contextlib
import fileinput
import json

from gypsumhold.adapters.jobs import log_lines
from gypsumhold.decisions.jobs import stories as story_decisions
from gypsumhold.model import errors
from gypsumhold.model.jobs import specs, stories
from gypsumhold.programs import ctl_answers, ctl_options

STANDARD_INPUT = "-"


def report_story(command: ctl_options.Explain, raw: bool) -> ctl_answers.Report:
    """Returns the story of a job and the cause of its end.

    The report is an error if a file cannot be read. Exit status 1 means that no
    line is about the job.
    """
    files = command.files or (STANDARD_INPUT,)
    try:
        with contextlib.closing(
            fileinput.input(files, encoding="utf-8", errors="replace")
        ) as texts:
            lines = list(log_lines.parse_lines(texts))
    except OSError as problem:
        return ctl_answers.report_error(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                f"cannot read {problem.filename}: {problem.strerror}",
                "check the name of the log file",
            )
        )
    job_id = specs.JobId(command.job_id)
    story = story_decisions.tell_story(job_id, lines)
    explanation = story_decisions.explain(story)
    code = ctl_options.ExitCode.DONE
    if explanation.cause is stories.Cause.UNKNOWN:
        code = ctl_options.ExitCode.REFUSED
    render = render_json if raw else render_text
    return ctl_answers.Report(render(story, explanation), code)


def render_text(story: stories.Story, explanation: stories.Explanation) -> str:
    """Returns one line for each decision, and the cause at the end."""
    rows = []
    previous = story.lines[0].at if story.lines else None
    for line in story.lines:
        assert previous is not None
        seconds = (line.at - previous).total_seconds()
        previous = line.at
        inputs = " ".join(
            f"{name}={value}" for name, value in line.inputs.items()
        )
        rows.append(
            f"{seconds:+9.3f} s  {line.source:22} {line.decision:12} "
            f"{line.outcome}  {inputs}".rstrip()
        )
    rows.append(f"{explanation.cause.value}: {explanation.summary}")
    rows.append(f"  {explanation.remedy}")
    return "\n".join(rows) + "\n"


def render_json(story: stories.Story, explanation: stories.Explanation) -> str:
    """Returns the story as one JSON document."""
    document = {
        "id": story.job_id,
        "cause": explanation.cause.value,
        "summary": explanation.summary,
        "remedy": explanation.remedy,
        "lines": [
            {
                "time": line.at.isoformat(),
                "source": line.source,
                "decision": line.decision,
                "id": line.subject,
                "outcome": line.outcome,
                "inputs": dict(line.inputs),
            }
            for line in story.lines
        ],
    }
    return json.dumps(document, indent=2) + "\n"
