"""Tells the story of a job from lines of the decision logs.

The lines are the events of a reducer whose state is the story.
"""

import datetime
from collections.abc import Callable, Iterable, Mapping

from gypsumhold.model.jobs import specs, stories

SECOND = datetime.timedelta(seconds=1)

CONTEXT = frozenset(
    {"take-queue", "jobs-loaded", "queue-lost", "holder-unable", "history-lost"}
)
"""Decisions on the queue as a whole; they may explain a wait of any job."""

DONE = "done"
FAILED = "failed"

Cause = stories.Cause


def tell_story(
    job_id: specs.JobId, lines: Iterable[stories.LogLine]
) -> stories.Story:
    """Returns the story of a job from lines in any order.

    Lines about the queue belong to it from its first to its last own line.
    """
    story = stories.Story(job_id)
    relevant = [
        line
        for line in lines
        if line.subject == job_id or line.decision in CONTEXT
    ]
    own = [line.at for line in relevant if line.subject == job_id]
    for line in sorted(relevant, key=lambda line: line.at):
        if own and min(own) <= line.at <= max(own):
            _apply_line(story, line)
    return story


def _apply_line(story: stories.Story, line: stories.LogLine) -> None:
    story.lines.append(line)
    handler = _HANDLERS.get(line.decision)
    if handler is not None and line.subject == story.job_id:
        handler(story, line)


def _handle_submit(story: stories.Story, line: stories.LogLine) -> None:
    if line.outcome == "passed on":
        return
    if line.outcome == "accepted":
        story.accepted_at = story.accepted_at or line.at
        return
    story.is_unanswered = line.outcome == "unknown"
    story.refusal = "" if story.is_unanswered else line.outcome


def _handle_place(story: stories.Story, line: stories.LogLine) -> None:
    story.first_placed_at = story.first_placed_at or line.at


def _handle_start(story: stories.Story, line: stories.LogLine) -> None:
    if line.outcome == "started":
        story.first_started_at = story.first_started_at or line.at


def _handle_cancel(story: stories.Story, line: stories.LogLine) -> None:
    story.is_cancelled = True
    story.ended_at = story.ended_at or line.at


def _handle_run_ended(story: stories.Story, line: stories.LogLine) -> None:
    end = line.inputs.get("end", "")
    if end == FAILED:
        story.failed_on.append(line.inputs.get("instance", ""))
    elif end != DONE:
        story.lost_runs += 1
    if line.outcome in ("job completed", "job failed"):
        story.ended_at = line.at
        story.is_failed = line.outcome == "job failed"


def _handle_given_up(story: stories.Story, line: stories.LogLine) -> None:
    story.ended_at = line.at
    story.is_failed = True
    story.crashed_under = line.inputs.get("task", "")
    crashes = line.inputs.get("crashed", "").split(",")
    story.crashed = [crash.partition("@")[0] for crash in crashes]


def _handle_run_refused(story: stories.Story, line: stories.LogLine) -> None:
    story.refused_runs += 1


_HANDLERS: Mapping[str, Callable[[stories.Story, stories.LogLine], None]] = {
    "submit": _handle_submit,
    "place": _handle_place,
    "start": _handle_start,
    "cancel": _handle_cancel,
    "run-ended": _handle_run_ended,
    "run-refused": _handle_run_refused,
    "task-given-up": _handle_given_up,
}


def explain(story: stories.Story) -> stories.Explanation:
    """Returns the cause of the end of a job, or of its wait."""
    cause = _find_cause(story)
    summary, remedy = _EXPLAINERS[cause](story)
    return stories.Explanation(cause, summary, remedy)


def _find_cause(story: stories.Story) -> stories.Cause:
    if not story.lines:
        return Cause.UNKNOWN
    if story.is_cancelled:
        return Cause.CANCELLED
    if story.crashed_under:
        return Cause.GIVEN_UP
    if story.ended_at is not None:
        return Cause.FAILED if story.is_failed else Cause.COMPLETED
    if story.first_started_at is not None:
        return Cause.RUNNING
    if story.first_placed_at is not None:
        return Cause.NOT_STARTED
    if story.accepted_at is not None:
        return Cause.NOT_PLACED
    return Cause.UNANSWERED if story.is_unanswered else Cause.REFUSED


def _explain_unknown(story: stories.Story) -> tuple[str, str]:
    return (
        "no line of these logs is about the job",
        "add the logs of all entries, and check the id",
    )


def _explain_refused(story: stories.Story) -> tuple[str, str]:
    return (
        f"the job was refused ({story.refusal}) and never ran",
        "look for store lines of that entry; the caller may submit it again",
    )


def _explain_unanswered(story: stories.Story) -> tuple[str, str]:
    return (
        "the store gave no answer, so the job may have been stored",
        "the caller may submit it again under the same id",
    )


def _explain_cancelled(story: stories.Story) -> tuple[str, str]:
    return ("the job was cancelled by its caller", "nothing is wrong")


def _explain_failed(story: stories.Story) -> tuple[str, str]:
    instances = sorted(set(story.failed_on))
    summary = f"{len(story.failed_on)} runs failed on {', '.join(instances)}"
    if len(instances) == 1:
        return (summary, "look for failures of other jobs on that instance")
    return (summary, "the job itself is at fault if each instance is sound")


def _explain_given_up(story: stories.Story) -> tuple[str, str]:
    return (
        f"task {story.crashed_under} was given up, because the workers on "
        f"{', '.join(story.crashed)} crashed as it started",
        "the task itself is at fault; worker-crashed lines tell what else "
        "had just started on these workers",
    )


def _explain_completed(story: stories.Story) -> tuple[str, str]:
    name, duration = max(
        _measure_phases(story).items(), key=lambda item: item[1]
    )
    summary = (
        f"the job completed; most of its time went into {name} "
        f"({duration / SECOND:.1f} s)"
    )
    return (summary, _describe_repeats(story))


def _explain_not_placed(story: stories.Story) -> tuple[str, str]:
    return (
        "the job was accepted and no task of it has been placed",
        "look for take-queue and jobs-loaded, then for full workers",
    )


def _explain_not_started(story: stories.Story) -> tuple[str, str]:
    return (
        "tasks have been placed and none has started",
        "look for push, holder and worker lines of their instances",
    )


def _explain_running(story: stories.Story) -> tuple[str, str]:
    return ("the job is still running", _describe_repeats(story))


_EXPLAINERS: Mapping[
    stories.Cause, Callable[[stories.Story], tuple[str, str]]
] = {
    Cause.UNKNOWN: _explain_unknown,
    Cause.REFUSED: _explain_refused,
    Cause.UNANSWERED: _explain_unanswered,
    Cause.CANCELLED: _explain_cancelled,
    Cause.FAILED: _explain_failed,
    Cause.GIVEN_UP: _explain_given_up,
    Cause.COMPLETED: _explain_completed,
    Cause.NOT_PLACED: _explain_not_placed,
    Cause.NOT_STARTED: _explain_not_started,
    Cause.RUNNING: _explain_running,
}


def _measure_phases(story: stories.Story) -> dict[str, datetime.timedelta]:
    """Returns the durations of the phases of an ended job.

    A phase whose begin is not in the logs is left out.
    """
    moments = (
        ("waiting for a place", story.accepted_at, story.first_placed_at),
        ("starting", story.first_placed_at, story.first_started_at),
        ("running", story.first_started_at, story.ended_at),
    )
    phases = {
        name: end - begin
        for name, begin, end in moments
        if begin is not None and end is not None
    }
    return phases or {"phases that these logs do not show": 0 * SECOND}


def _describe_repeats(story: stories.Story) -> str:
    """Describes the runs that were repeated, or says that there are none."""
    counts = {
        "failed": len(story.failed_on),
        "lost, stopped or moved": story.lost_runs,
        "refused by a worker": story.refused_runs,
    }
    repeats = [f"{number} {name}" for name, number in counts.items() if number]
    if not repeats:
        return "no run was repeated"
    return f"runs that were repeated: {', '.join(repeats)}"
