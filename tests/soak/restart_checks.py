"""Checks that no task runs twice while workers restart and are cut off."""

import dataclasses
import datetime
import enum
import time

from gypsumhold.model.jobs import runs
from tests.soak import event_logs, standins


class ViolationKind(enum.Enum):
    """How a start violates the guarantee that a task runs once."""

    TWICE = "is running too, on"
    DONE = "was done and acknowledged before, on"
    UNSEEN = "was done before, and is acknowledged now, on"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A start that had to be omitted.

    Attributes:
        kind: What it violates.
        at: When it was found: at the start, or at the acknowledgement.
        ref: The run that was started.
        worker: Worker on which it was started.
        earlier: The earlier run of the same task.
        earlier_worker: Worker of the earlier run.
        is_cut: Whether the worker of the earlier run is cut off.
        overlap_ms: How long both run if neither is stopped.
    """

    kind: ViolationKind
    at: datetime.datetime
    ref: runs.RunRef
    worker: str
    earlier: runs.RunRef
    earlier_worker: str
    is_cut: bool
    overlap_ms: float = 0.0

    def __str__(self) -> str:
        reach = "cut off" if self.is_cut else "in reach"
        time_of_day = event_logs.format_time(self.at)
        return (
            f"{time_of_day} {event_logs.format_run(self.ref)} on {self.worker}:"
            f" run {self.earlier.run} {self.kind.value} {self.earlier_worker}"
            f" ({reach}, together for {self.overlap_ms:.0f} ms)"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DoneEnd:
    """The end of a run as done.

    Attributes:
        worker: Worker that lists the end.
        born_ms: Start of the incarnation that lists it.
        number: Number of the end among those of the incarnation.
        ref: The run.
    """

    worker: str
    born_ms: int
    number: runs.EndNumber
    ref: runs.RunRef


class RestartChecker(standins.InvariantChecker):
    """Collects the starts of tasks that run or that are done.

    A start after an end as done is a violation once that end is acknowledged,
    however soon, unless the lease of its worker has expired in between.

    Attributes:
        violations: All violations.
        log: Log of the events of the workers.
    """

    def __init__(self, log: event_logs.EventLog) -> None:
        super().__init__()
        self.violations: list[Violation] = []
        self.log = log
        self._done: dict[runs.TaskRef, set[DoneEnd]] = {}
        self._noted: dict[runs.TaskRef, DoneEnd] = {}
        self._later_starts: dict[DoneEnd, list[tuple[str, runs.RunRef]]] = {}

    def record_ends(self, worker: standins.WorkerStandin) -> None:
        """Records the ends as done that a worker lists."""
        super().record_ends(worker)
        for done in list_done(worker):
            self._done.setdefault(done.ref.task, set()).add(done)

    def record_noted(
        self, worker: standins.WorkerStandin, last_seen: int
    ) -> None:
        """Records acknowledged ends, and checks the starts that came after."""
        super().record_noted(worker, last_seen)
        for done in list_done(worker):
            if worker.lapsed_end < done.number <= last_seen:
                self._noted.setdefault(done.ref.task, done)
                for name, ref in self._later_starts.pop(done, []):
                    self._add_start_after(ViolationKind.UNSEEN, name, ref, done)

    def check_start(
        self, started: standins.WorkerStandin, ref: runs.RunRef
    ) -> None:
        """Logs a start and checks it."""
        run = event_logs.describe_run(ref)
        self.log.write(started.fake.name, "start", **run)
        super().check_start(started, ref)

    def report_second_run(
        self,
        started: standins.WorkerStandin,
        ref: runs.RunRef,
        other: standins.WorkerStandin,
    ) -> None:
        """Adds a start while another worker runs the same task."""
        earlier = other.fake.running[ref.task]
        end_ms = min(earlier.finish_ms, other.find_lease_end())
        violation = Violation(
            ViolationKind.TWICE,
            datetime.datetime.now(datetime.UTC),
            ref,
            started.fake.name,
            earlier.ref,
            other.fake.name,
            self._is_cut(other.fake.name),
            end_ms - time.monotonic() * 1000,
        )
        self._add(violation)

    def check_not_done(
        self, started: standins.WorkerStandin, ref: runs.RunRef
    ) -> None:
        """Checks a start against the ends as done that were acknowledged.

        An end that is not acknowledged yet may be so later.
        """
        name = started.fake.name
        noted = self._noted.get(ref.task)
        if noted is not None:
            self._add_start_after(ViolationKind.DONE, name, ref, noted)
            return
        for done in self._done.get(ref.task, set()):
            self._later_starts.setdefault(done, []).append((name, ref))

    def _add_start_after(
        self, kind: ViolationKind, name: str, ref: runs.RunRef, done: DoneEnd
    ) -> None:
        """Adds a start of a task after an end of it as done."""
        violation = Violation(
            kind,
            datetime.datetime.now(datetime.UTC),
            ref,
            name,
            done.ref,
            done.worker,
            self._is_cut(done.worker),
        )
        self._add(violation)

    def _add(self, violation: Violation) -> None:
        """Adds a violation to the list, the problems and the log."""
        self.violations.append(violation)
        self.problems.append(str(violation))
        run = event_logs.describe_run(violation.ref)
        text = str(violation)
        self.log.write(violation.worker, "violation", **run, text=text)

    def _is_cut(self, name: str) -> bool:
        """Tells whether the worker with a name is cut off."""
        return any(
            worker.is_cut()
            for worker in self.workers
            if worker.fake.name == name
        )


def list_done(worker: standins.WorkerStandin) -> list[DoneEnd]:
    """Returns the ends as done that a worker lists."""
    fake = worker.fake
    return [
        DoneEnd(fake.name, fake.started_ms, row.number, row.ref)
        for row in fake.ends
        if row.end is runs.RunEnd.DONE
    ]
