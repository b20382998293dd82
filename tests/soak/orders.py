"""Counts from the logs of a play which orders of events came up in it.

An order is what a second run of a task needs: a start that another incarnation
carries out, a run that goes on although the holder or its agent counts it as
ended, or a lease that lapses. A play without any of them tests nothing.

Usage:
  orders FOLDER
"""

import collections
import dataclasses
import datetime
import json
import pathlib
import sys

import docopt

from tests.soak import event_logs

Line = dict[str, str]
NOT_LISTED = "worker not listed"
"""Reason of the holder for releases by the list of machines."""

RunKey = tuple[str, str]
"""Task and number of a run, as in the logs."""

TOLERANCE_MS = 20.0
"""Times in the logs of two processes that are this close are not compared."""


@dataclasses.dataclass(slots=True)
class Span:
    """The time for which a worker had a run.

    Attributes:
        worker: The worker.
        key: The run.
        began_at: When it began.
        ended_at: When it ended; the end of the play if it went on.
        end: How it ended.
    """

    worker: str
    key: RunKey
    began_at: datetime.datetime
    ended_at: datetime.datetime
    end: str = "goes on"


@dataclasses.dataclass(frozen=True, slots=True)
class Outlived:
    """A run that worked after it was counted as ended.

    Attributes:
        span: The run.
        believed_at: When it was counted as ended.
        believer: The program that did so.
        reason: Why it did so.
    """

    span: Span
    believed_at: datetime.datetime
    believer: str
    reason: str

    def measure_ms(self) -> float:
        """Returns for how long the run worked after that."""
        since = max(self.believed_at, self.span.began_at)
        return to_ms(self.span.ended_at - since)

    def began_later(self) -> bool:
        """Tells whether the run began only after that."""
        return self.span.began_at > self.believed_at

    def __str__(self) -> str:
        task, run = self.span.key
        began = "began later" if self.began_later() else "went on"
        return (
            f"{task} run {run} on {self.span.worker}: counted as ended at"
            f" {event_logs.format_time(self.believed_at)} by {self.believer}"
            f" ({self.reason}), {began}, worked for {self.measure_ms():.0f} ms"
            f" after that until {self.span.end}"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """The orders that came up in a play.

    Attributes:
        late_starts: Starts that reached another incarnation, whether or not it
            began the run.
        begun: Those of them that began a run.
        lapsed_leases: Leases that lapsed while runs had them.
        lapsed_runs: Runs that ended so.
        outlived: Runs that worked after they were counted as ended.
        absent_runs: Runs that the holder released as the list of machines did
            not have their worker as up.
    """

    late_starts: int
    begun: int
    lapsed_leases: int
    lapsed_runs: int
    outlived: list[Outlived]
    absent_runs: int

    def describe(self) -> list[str]:
        """Returns lines for a reader."""
        if not (self.late_starts or self.outlived or self.lapsed_leases):
            return ["orders: none came up, so this play shows nothing"]
        longest_ms = max((run.measure_ms() for run in self.outlived), default=0)
        summary = (
            f"orders: {self.late_starts} starts reached another incarnation"
            f" ({self.begun} began a run), {len(self.outlived)} runs outlived"
            f" their end in the books (longest {longest_ms:.0f} ms),"
            f" {self.lapsed_leases} leases lapsed with {self.lapsed_runs} runs,"
            f" {self.absent_runs} runs released by the list of machines"
        )
        return [summary, *(f"  {run}" for run in self.outlived)]


def to_ms(duration: datetime.timedelta) -> float:
    """Returns a duration in milliseconds."""
    return duration / datetime.timedelta(milliseconds=1)


def read_time(line: Line) -> datetime.datetime:
    """Returns the time of a line."""
    return datetime.datetime.fromisoformat(line["time"])


def read_lines(folder: pathlib.Path) -> list[Line]:
    """Returns the lines of all logs of a play until its end, by time."""
    lines: list[Line] = []
    for path in folder.glob("*.log"):
        for text in path.read_text(encoding="utf-8").splitlines():
            # Programs also log other output, and the last line may be cut.
            if '"decision"' in text and text.endswith("}"):
                lines.append(json.loads(text))
    lines.sort(key=read_time)
    decisions = [line["decision"] for line in lines]
    if event_logs.END_OF_PLAY in decisions:
        del lines[decisions.index(event_logs.END_OF_PLAY) + 1 :]
    return lines


def list_spans(lines: list[Line]) -> list[Span]:
    """Returns the time for which each run was on each worker."""
    spans: list[Span] = []
    current: dict[tuple[str, RunKey], Span] = {}
    last_at = read_time(lines[-1])
    for line in lines:
        if line["decision"] == "start" and "outcome" not in line:
            key = (line["task"], line["run"])
            span = Span(line["source"], key, read_time(line), last_at)
            spans.append(span)
            current[line["source"], key] = span
        elif line["decision"] == "end":
            key = (line["task"], line["run"])
            span = current.pop((line["source"], key))
            span.ended_at, span.end = read_time(line), line["end"]
    return spans


def list_releases(lines: list[Line]) -> dict[RunKey, Line]:
    """Returns for each run the first line that counts it as ended.

    The holder's news of an end that the worker has listed are not among them.
    """
    released: dict[RunKey, Line] = {}
    placed: dict[str, list[tuple[str, str]]] = collections.defaultdict(list)
    for line in lines:
        match line["decision"]:
            case "place":
                task = line["task"]
                for _, run in placed[task]:
                    reason = f"run {line['run']} placed"
                    released.setdefault((task, run), {**line, "reason": reason})
                placed[task].append((line["outcome"], line["run"]))
            case "runs-lapsed":
                for task in filter(None, line["tasks"].split(",")):
                    if placed[task] and placed[task][-1][0] == line["id"]:
                        released.setdefault((task, placed[task][-1][1]), line)
            case "start" if line.get("outcome", "").startswith("refused"):
                key = (line["task"], line["run"])
                released.setdefault(key, {**line, "reason": line["outcome"]})
    return released


def list_outlived(lines: list[Line]) -> list[Outlived]:
    """Returns the runs that worked after they were counted as ended."""
    released = list_releases(lines)
    outlived: list[Outlived] = []
    for span in list_spans(lines):
        line = released.get(span.key)
        if line is None:
            continue
        run = Outlived(span, read_time(line), line["source"], line["reason"])
        if run.measure_ms() > TOLERANCE_MS:
            outlived.append(run)
    return outlived


def count_late_starts(lines: list[Line]) -> tuple[int, int]:
    """Returns how many starts another incarnation took, and began."""
    late_starts = [
        line
        for line in lines
        if line["decision"] == "late call" and line["path"] == "/run-start"
    ]
    spans = {(span.worker, span.key): span for span in list_spans(lines)}
    begun = 0
    for line in late_starts:
        span = spans.get((line["source"], (line["task"], line["run"])))
        if span is not None and line["status"] == 200:
            age_ms = to_ms(read_time(line) - span.began_at)
            begun += abs(age_ms) <= TOLERANCE_MS
    return len(late_starts), begun


def count_orders(folder: pathlib.Path) -> Orders:
    """Returns the orders that came up in the play with a folder of logs."""
    lines = read_lines(folder)
    late_starts, begun = count_late_starts(lines)
    lapses = [line for line in lines if line["decision"] == "lapse"]
    lapsed_runs = sum(int(line["runs"]) for line in lapses)
    absent_runs = sum(
        int(line["runs"])
        for line in lines
        if line["decision"] == "runs-lapsed" and line["reason"] == NOT_LISTED
    )
    return Orders(
        late_starts,
        begun,
        len(lapses),
        lapsed_runs,
        list_outlived(lines),
        absent_runs,
    )


def main() -> int:
    """Prints the orders of a play."""
    folder = pathlib.Path(docopt.docopt(__doc__)["FOLDER"])
    print("\n".join(count_orders(folder).describe()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
