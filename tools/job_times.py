"""Tells from the logs of a played day where the time of jobs goes.

The time of a job from its acceptance to its end is divided by what its tasks
do at each moment. Times of a day whose logs are incomplete are left out.

Usage:
  job_times.py [--queue=NAME] [--plot=FILE] [LOG...]
  job_times.py --help

Options:
  --queue=NAME  Only jobs of this queue, one line for each job.
  --plot=FILE   Also write a bar chart of the queues.

Without LOG the lines are read from standard input. Needs the sources on the
path (PYTHONPATH=src).
"""

import collections
import dataclasses
import datetime
import enum
import statistics
import sys
from collections.abc import Iterable

import docopt
import log_files
import matplotlib.pyplot as plt

from gypsumhold.adapters.jobs import log_lines
from gypsumhold.model.jobs import stories

TAIL_SHARE = 0.25
"""Share of the tasks of a step below which the step waits for its last ones."""

SECOND = datetime.timedelta(seconds=1)
ENDED = ("job completed", "job failed")


class Phase(enum.Enum):
    """What the tasks of a job do at a moment."""

    UNPLACED = "unplaced"
    """None is placed: the job waits for capacity or for its turn."""

    STARTING = "starting"
    """Some are placed and none has started."""

    WORKING = "working"
    """At least a quarter of the tasks of a step run."""

    TAIL = "last tasks"
    """Fewer run: the job waits for the last tasks of a step."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task; times are None until they are logged."""

    step: int
    index: int
    placed_at: datetime.datetime
    started_at: datetime.datetime | None = None
    ended_at: datetime.datetime | None = None
    done: bool = False


@dataclasses.dataclass(slots=True)
class Job:
    """A job as its log lines describe it."""

    job_id: str
    queue: str
    accepted_at: datetime.datetime
    ended_at: datetime.datetime | None = None
    runs: dict[tuple[str, str], Run] = dataclasses.field(default_factory=dict)

    def measure_span(self) -> datetime.timedelta:
        """Returns the time from the acceptance to the end."""
        assert self.ended_at is not None
        return self.ended_at - self.accepted_at

    def measure_repeated(self) -> datetime.timedelta:
        """Returns the run time of all runs that did not complete a task."""
        return sum(
            (
                run.ended_at - run.started_at
                for run in self.runs.values()
                if run.started_at and run.ended_at and not run.done
            ),
            datetime.timedelta(0),
        )


def read_jobs(lines: Iterable[str]) -> list[Job]:
    """Returns the jobs whose acceptance was logged."""
    jobs: dict[str, Job] = {}
    for line in log_lines.parse_lines(lines):
        _apply_line(jobs, line)
    return list(jobs.values())


def _apply_line(jobs: dict[str, Job], line: stories.LogLine) -> None:
    at, fields = line.at, line.inputs
    if line.decision == "submit" and line.outcome == "accepted":
        job_id = line.subject
        jobs.setdefault(job_id, Job(job_id, fields["queue"], at))
        return
    job = jobs.get(line.subject)
    if job is None or "task" not in fields:
        return
    key = (fields["task"], fields.get("run", ""))
    _, _, step, index = fields["task"].split(".")
    if line.decision == "place":
        job.runs[key] = Run(int(step), int(index), at)
    elif line.decision == "start" and line.outcome == "started":
        if key in job.runs:
            job.runs[key].started_at = at
    elif line.decision == "run-ended":
        if key in job.runs:
            job.runs[key].ended_at = at
            job.runs[key].done = fields["end"] == "done"
        if line.outcome in ENDED:
            job.ended_at = at


def divide_time(job: Job) -> dict[Phase, datetime.timedelta]:
    """Divides the time of an ended job by the phases of its tasks."""
    assert job.ended_at is not None
    runs = list(job.runs.values())
    moments = {job.accepted_at, job.ended_at}
    for run in runs:
        moments.update(
            at
            for at in (run.placed_at, run.started_at, run.ended_at)
            if at is not None and job.accepted_at < at < job.ended_at
        )
    widths = collections.Counter(
        step for step, _ in {(run.step, run.index) for run in runs}
    )
    times = dict.fromkeys(Phase, datetime.timedelta(0))
    ordered = sorted(moments)
    for start, end in zip(ordered, ordered[1:], strict=False):
        times[_find_phase(runs, widths, start)] += end - start
    return times


def _find_phase(
    runs: list[Run], widths: collections.Counter[int], at: datetime.datetime
) -> Phase:
    """Returns the phase of a job from `at` on, until its next change."""
    placed = [
        run
        for run in runs
        if run.placed_at <= at and (run.ended_at is None or at < run.ended_at)
    ]
    running = collections.Counter(
        run.step for run in placed if run.started_at and run.started_at <= at
    )
    if not placed:
        return Phase.UNPLACED
    if not running:
        return Phase.STARTING
    if any(
        count >= TAIL_SHARE * widths[step] for step, count in running.items()
    ):
        return Phase.WORKING
    return Phase.TAIL


def describe(name: str, jobs: list[Job]) -> str:
    """Returns one line with the mean times of ended jobs, in seconds."""
    ended = [job for job in jobs if job.ended_at is not None]
    if not ended:
        return f"{name:18} {len(jobs):5} {0:5}"
    divided = [divide_time(job) for job in ended]
    means = [
        statistics.fmean(times[phase] / SECOND for times in divided)
        for phase in Phase
    ]
    spans = [job.measure_span() / SECOND for job in ended]
    repeated = statistics.fmean(
        job.measure_repeated() / SECOND for job in ended
    )
    numbers = [statistics.median(spans), *means, repeated]
    columns = " ".join(f"{number:10.2f}" for number in numbers)
    return f"{name:18} {len(jobs):5} {len(ended):5} {columns}"


def build_header() -> str:
    """Returns the heading of the table."""
    names = ["median", *(phase.value for phase in Phase), "repeated"]
    columns = " ".join(f"{name:>10}" for name in names)
    return f"{'queue or job':18} {'jobs':>5} {'ended':>5} {columns}"


def plot(queues: dict[str, list[Job]], path: str) -> None:
    """Writes a bar chart of the mean time in each phase, by queue."""
    figure, axes = plt.subplots()
    left = dict.fromkeys(queues, 0.0)
    for phase in Phase:
        lengths = {}
        for name, jobs in queues.items():
            ended = [job for job in jobs if job.ended_at is not None]
            lengths[name] = statistics.fmean(
                [divide_time(job)[phase] / SECOND for job in ended] or [0.0]
            )
        axes.barh(
            list(queues),
            list(lengths.values()),
            left=list(left.values()),
            label=phase.value,
        )
        left = {name: left[name] + lengths[name] for name in queues}
    axes.set_xlabel("mean time of an ended job in seconds")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def main() -> int:
    """Prints the table and returns the exit code."""
    arguments = docopt.docopt(__doc__)
    jobs = read_jobs(log_files.read_lines(arguments["LOG"]))
    queues: dict[str, list[Job]] = {}
    for job in jobs:
        queues.setdefault(job.queue, []).append(job)
    print(build_header())
    queue = arguments["--queue"]
    if queue is None:
        for name, queue_jobs in sorted(queues.items()):
            print(describe(name, queue_jobs))
    else:
        for job in queues.get(queue, []):
            print(describe(job.job_id, [job]))
    if arguments["--plot"]:
        plot(queues, arguments["--plot"])
    return 0


if __name__ == "__main__":
    sys.exit(main())
