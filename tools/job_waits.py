"""Tells from the logs of a played day when jobs had nothing running, and why.

A wait of a job begins when it is accepted, or when the log has the end of its
last run, and ends when the log has the start of the next one. While a job
waits, its next run is either not placed, or placed and not started. When the
worker listed an end is not logged, so that a wait may have begun earlier. A
start that a poll of the worker confirms before the command is answered is not
logged either: such a run counts as started when it was placed.

Usage:
  job_waits.py [options] [LOG...]
  job_waits.py --help

Options:
  --after=SECONDS  Count only what lies after this time of the day.
  --over=SECONDS   Print the waits that are at least this long [default: 1].
  --top=COUNT      Print at most this many waits [default: 30].
  --context        Also print what else was logged during each wait.

Times are seconds since the start of the traffic, as the bench writes them in
front of each line. Without LOG the lines are read from standard input. Needs
the sources on the path (PYTHONPATH=src).
"""

import collections
import dataclasses
import enum
import sys
from collections.abc import Iterable

import docopt
import log_files

from gypsumhold.adapters.jobs import log_lines
from gypsumhold.model.jobs import stories

LIMITS_S = (1.0, 1.5, 2.0, 2.5, 3.0)
"""Lengths of waits that the summary counts."""

CONTEXT_MARGIN_S = 1.0
"""How long before a wait a line is still printed with it."""

JOB_ENDS = frozenset({"job completed", "job failed"})
QUEUE_DECISIONS = frozenset(
    {
        "holder-unable",
        "history-lost",
        "jobs-loaded",
        "queue-lost",
        "store",
        "take-queue",
    }
)
"""Decisions that concern all jobs."""

HOLDER_DECISIONS = frozenset(
    {"place", "run-ended", "run-refused", "runs-lapsed"}
)
"""Decisions of the holder of the queue; those of a former one, which does not
know yet that it was replaced, change nothing."""

INSTANCE_DECISIONS = frozenset(
    {"agent", "holder", "holder-changed", "process", "push", "worker"}
)
"""Decisions that concern the jobs with a run on the instance."""


class Stage(enum.Enum):
    """What a job without a run waits for."""

    PLACEMENT = "unplaced"
    """None of its runs is placed."""

    START = "placed"
    """A run is placed and has not started."""


class RunState(enum.Enum):
    """State of the latest run of a task."""

    PLACED = "placed"
    STARTED = "started"


@dataclasses.dataclass(frozen=True, slots=True)
class TimedLine:
    """A line of the decision log and its time within the day."""

    at_s: float
    line: stories.LogLine


@dataclasses.dataclass(slots=True)
class Run:
    """The latest run of a task that is placed or has started."""

    number: str
    instance: str
    placed_at_s: float
    state: RunState = RunState.PLACED


@dataclasses.dataclass(slots=True)
class Wait:
    """A time in which a job had nothing running.

    Attributes:
        job_id: The job.
        cause: What left the job without a run.
        changes: The stages of the wait, each with its beginning.
        end_s: When a run started, or the job or the log ended.
        outcome: How the wait ended.
        instances: Where the former run was and the next ones were placed.
        placements: Number of runs placed meanwhile.
        refusals: Number of runs that were refused or lost meanwhile.
    """

    job_id: str
    cause: str
    changes: list[tuple[float, Stage]]
    end_s: float = 0.0
    outcome: str = ""
    instances: list[str] = dataclasses.field(default_factory=list)
    placements: int = 0
    refusals: int = 0

    def measure(self, after_s: float, stage: Stage | None = None) -> float:
        """Returns the time in a stage, or in all, that lies after `after_s`."""
        ends = [at_s for at_s, _ in self.changes[1:]] + [self.end_s]
        return sum(
            max(0.0, end_s - max(begin_s, after_s))
            for (begin_s, own), end_s in zip(self.changes, ends, strict=True)
            if stage in (None, own)
        )


@dataclasses.dataclass(slots=True)
class Job:
    """A job as the lines that were applied so far describe it."""

    job_id: str
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    wait: Wait | None = None
    ended: bool = False


@dataclasses.dataclass(slots=True)
class Day:
    """The jobs of a day and their waits.

    Attributes:
        unlogged_starts: Task and number of the runs that ended and whose start
            was not logged.
        holder: Instance that holds the queue; empty until that is logged.
        jobs: The jobs by id.
        waits: The waits that have ended.
    """

    unlogged_starts: frozenset[tuple[str, str]]
    holder: str = ""
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    waits: list[Wait] = dataclasses.field(default_factory=list)


def parse_lines(texts: Iterable[str]) -> list[TimedLine]:
    """Returns the lines of the decision log in the order of their times."""
    lines = []
    for text in texts:
        line = log_lines.parse_line(text)
        if line is not None:
            lines.append(TimedLine(float(text.split(maxsplit=1)[0]), line))
    return sorted(lines, key=lambda line: line.at_s)


def find_waits(lines: list[TimedLine]) -> list[Wait]:
    """Returns the waits of all jobs, also those that the log does not end."""
    day = Day(_find_unlogged_starts(lines))
    for timed_line in lines:
        _apply_line(day, timed_line.line, timed_line.at_s)
    for job in day.jobs.values():
        _end_wait(day, job, lines[-1].at_s, "not started")
    return day.waits


def _find_unlogged_starts(
    lines: list[TimedLine],
) -> frozenset[tuple[str, str]]:
    """Returns the task and number of each run that ended without a start."""
    started = set()
    ended = set()
    for timed_line in lines:
        line = timed_line.line
        if line.decision == "run-ended":
            ended.add((line.inputs["task"], line.inputs["run"]))
        elif line.decision == "start" and line.outcome == "started":
            started.add((line.inputs["task"], line.inputs["run"]))
    return frozenset(ended - started)


def _apply_line(day: Day, line: stories.LogLine, at_s: float) -> None:
    """Applies one line to the jobs that it is about."""
    if (line.decision, line.outcome) == ("take-queue", "taken"):
        day.holder = line.source
    is_former = day.holder not in ("", line.source)
    if line.decision in HOLDER_DECISIONS and is_former:
        return
    if line.decision == "runs-lapsed":
        _lose_runs(day, line, at_s)
        return
    is_accepted = (line.decision, line.outcome) == ("submit", "accepted")
    if line.subject not in day.jobs and (
        is_accepted or line.decision == "place"
    ):
        day.jobs[line.subject] = Job(line.subject)
        _begin_wait(day.jobs[line.subject], at_s, "accepted", "")
    job = day.jobs.get(line.subject)
    if job is None or job.ended:
        return
    if line.outcome in JOB_ENDS or line.decision == "cancel":
        job.ended = True
        _end_wait(day, job, at_s, line.outcome)
    elif line.decision == "place":
        _place_run(day, job, line, at_s)
    elif line.decision == "start" and line.outcome == "started":
        _start_run(day, job, line, at_s)
    elif line.decision in ("run-ended", "run-refused"):
        _end_run(job, line, at_s)


def _place_run(day: Day, job: Job, line: stories.LogLine, at_s: float) -> None:
    run = Run(line.inputs["run"], line.outcome, at_s)
    job.runs[line.inputs["task"]] = run
    if job.wait is not None:
        job.wait.placements += 1
        job.wait.instances.append(run.instance)
    _note_stage(job, at_s)
    if (line.inputs["task"], run.number) in day.unlogged_starts:
        run.state = RunState.STARTED
        _end_wait(day, job, at_s, "started, not logged")


def _start_run(day: Day, job: Job, line: stories.LogLine, at_s: float) -> None:
    """Ends the wait; lines of a placement may be missing."""
    number = line.inputs["run"]
    run = job.runs.setdefault(
        line.inputs["task"], Run(number, line.source, at_s)
    )
    if run.number == number:
        run.state = RunState.STARTED
        _end_wait(day, job, at_s, "started")


def _end_run(job: Job, line: stories.LogLine, at_s: float) -> None:
    """Removes the run that has ended or was refused, unless it is not known."""
    task = line.inputs["task"]
    run = job.runs.get(task)
    if run is None or run.number != line.inputs["run"]:
        return
    reason = line.inputs.get("end") or line.inputs.get("reason", "")
    _remove_run(job, task, at_s, f"{line.decision} {reason}")


def _lose_runs(day: Day, line: stories.LogLine, at_s: float) -> None:
    """Removes the runs that an instance has lost.

    The line has only their number; they are those that were placed first.
    """
    placed = [
        (run.placed_at_s, job, task)
        for job in day.jobs.values()
        for task, run in job.runs.items()
        if run.instance == line.subject and not job.ended
    ]
    placed.sort(key=lambda entry: entry[0])
    reason = f"runs-lapsed {line.inputs['reason']}"
    for _, job, task in placed[: int(line.inputs["runs"])]:
        _remove_run(job, task, at_s, reason)


def _remove_run(job: Job, task: str, at_s: float, cause: str) -> None:
    """Removes a run; the job waits from now on if no other one has started."""
    run = job.runs.pop(task)
    is_any_started = any(
        other.state is RunState.STARTED for other in job.runs.values()
    )
    if job.wait is not None:
        job.wait.refusals += 1
        _note_stage(job, at_s)
    elif not is_any_started:
        step = task.split(".")[2]
        _begin_wait(job, at_s, f"{cause}, step {step}", run.instance)


def _begin_wait(job: Job, at_s: float, cause: str, instance: str) -> None:
    job.wait = Wait(job.job_id, cause, [(at_s, _find_stage(job))])
    if instance:
        job.wait.instances.append(instance)


def _note_stage(job: Job, at_s: float) -> None:
    """Records a change of the stage of the present wait."""
    stage = _find_stage(job)
    if job.wait is not None and job.wait.changes[-1][1] is not stage:
        job.wait.changes.append((at_s, stage))


def _find_stage(job: Job) -> Stage:
    return Stage.START if job.runs else Stage.PLACEMENT


def _end_wait(day: Day, job: Job, at_s: float, outcome: str) -> None:
    wait = job.wait
    if wait is None:
        return
    job.wait = None
    wait.end_s = at_s
    wait.outcome = outcome
    day.waits.append(wait)


def describe_wait(wait: Wait, lines: list[TimedLine], after_s: float) -> str:
    """Returns one line about a wait.

    Placements of other jobs meanwhile tell whether plans were made.
    """
    begin_s = wait.changes[0][0]
    others = [
        timed_line.at_s
        for timed_line in lines
        if timed_line.line.decision == "place"
        and timed_line.line.subject != wait.job_id
        and begin_s <= timed_line.at_s <= wait.end_s
    ]
    stages = " ".join(
        f"{stage.value} {wait.measure(after_s, stage):.2f}" for stage in Stage
    )
    return (
        f"{wait.job_id} {begin_s:8.2f} {wait.measure(after_s):6.2f} s:"
        f" {stages}, {wait.cause} -> {wait.outcome};"
        f" {wait.placements} placed, {wait.refusals} refused or lost,"
        f" {len(others)} placements of others in {len(set(others))} plans"
    )


def describe_context(wait: Wait, lines: list[TimedLine]) -> list[str]:
    """Returns what concerned all jobs, or the job's instances, in a wait."""
    begin_s = wait.changes[0][0] - CONTEXT_MARGIN_S
    counts: collections.Counter[str] = collections.Counter()
    first_s: dict[str, float] = {}
    for timed_line in lines:
        line = timed_line.line
        if not begin_s <= timed_line.at_s <= wait.end_s:
            continue
        is_own = {line.source, line.subject} & set(wait.instances)
        if line.decision in QUEUE_DECISIONS or (
            line.decision in INSTANCE_DECISIONS and is_own
        ):
            text = f"{line.source} {line.decision} {line.outcome}"
            counts[text] += 1
            first_s.setdefault(text, timed_line.at_s)
    return [
        f"    {first_s[text]:8.2f} {text} ({count})"
        for text, count in counts.items()
    ]


def describe_lengths(waits: list[Wait], after_s: float) -> list[str]:
    """Returns a table that counts the waits by cause and length."""
    rows: dict[str, list[float]] = {}
    for wait in waits:
        rows.setdefault(wait.cause.split(",")[0], []).append(
            wait.measure(after_s)
        )
    rows["all"] = [length for lengths in rows.values() for length in lengths]
    heading = " ".join(f"{f'>= {limit} s':>9}" for limit in LIMITS_S)
    table = [f"{'cause':34} {'waits':>7} {heading} {'longest':>9}"]
    for cause, lengths in rows.items():
        counts = " ".join(
            f"{sum(length >= limit for length in lengths):9}"
            for limit in LIMITS_S
        )
        longest = max(lengths, default=0.0)
        table.append(f"{cause:34} {len(lengths):7} {counts} {longest:9.2f}")
    return table


def main() -> int:
    """Prints the waits and their lengths and returns the exit code."""
    arguments = docopt.docopt(__doc__)
    after_s = float(arguments["--after"] or "-inf")
    lines = parse_lines(log_files.read_lines(arguments["LOG"]))
    waits = [wait for wait in find_waits(lines) if wait.measure(after_s) > 0.0]
    waits.sort(key=lambda wait: wait.measure(after_s), reverse=True)
    for wait in waits[: int(arguments["--top"])]:
        if wait.measure(after_s) < float(arguments["--over"]):
            break
        print(describe_wait(wait, lines, after_s))
        if arguments["--context"]:
            print("\n".join(describe_context(wait, lines)))
    print("\n".join(describe_lengths(waits, after_s)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
