"""Text of the command `where`: where a request or a job would go now."""

from collections.abc import Iterable, Mapping
from typing import Any

from gypsumhold.programs import ctl_tables

MAX_LISTED_INSTANCES = 5
"""Excluded instances that a line names; the others are counted."""


def render_request(document: Any) -> str:
    """Returns the text about a request."""
    lines = []
    candidates = document["candidates"]
    if document["refusal"] is None:
        best = candidates[0]["instance"]
        lines.append(f"{document['entry']} would send it; least cost: {best}\n")
    else:
        lines.append(
            f"{document['entry']} would refuse it: {document['refusal']}\n"
        )
    columns = (
        "instance",
        "data_centre",
        "cost",
        "free_slots",
        "queued",
        "in_flight",
    )
    if candidates:
        lines.append(_format_rows(columns, candidates))
    return "".join([*lines, *_list_excluded(document["excluded"])])


def render_job(document: Any) -> str:
    """Returns the text about a job."""
    if document["accepted"]:
        before = document["jobs_before"]
        lines = [f"accepted; {before} jobs would be placed before it\n"]
    else:
        seconds = document["retry_after_ms"] / 1000
        lines = [f"refused for now; come back in {seconds:.0f} s\n"]
    lines.append(f"oldest report: {document['oldest_report_ms']} ms\n")
    for step in document["steps"]:
        lines += _list_step(step)
    return "".join(lines)


def _list_step(step: Mapping[str, Any]) -> list[str]:
    lines = [f"step {step['step']}, {step['tasks']} tasks: {step['verdict']}\n"]
    columns = ("instance", "rack", "tasks", "free_millis", "free_mb")
    if step["chosen"]:
        lines.append(_format_rows(columns, step["chosen"]))
    if step["runners_up"]:
        lines.append("runners-up:\n")
        lines.append(_format_rows(columns, step["runners_up"]))
    return [*lines, *_list_excluded(step["excluded"])]


def _format_rows(
    columns: tuple[str, ...], rows: Iterable[Mapping[str, Any]]
) -> str:
    return ctl_tables.format_table(
        columns, ([row[column] for column in columns] for row in rows)
    )


def _list_excluded(excluded: Iterable[Mapping[str, Any]]) -> list[str]:
    """Returns a line for each reason."""
    lines = []
    for group in excluded:
        instances = group["instances"]
        named = ", ".join(instances[:MAX_LISTED_INSTANCES])
        others = len(instances) - MAX_LISTED_INSTANCES
        suffix = f" and {others} more" if others > 0 else ""
        lines.append(f"not on {named}{suffix}: {group['reason']}\n")
    return lines
