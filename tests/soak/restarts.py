"""Searches for two runs of a task while workers restart and are cut off.

Workers restart under their names, and calls that were meant for the former
incarnation are held back and taken by the next one. Some of the workers are cut
off soon after. The entries and agents are real processes.

Usage:
  restarts [options]

Options:
  --seed N         First seed [default: 1].
  --seconds S      Duration of the faults for each seed [default: 50].
  --count K        Number of seeds [default: 1].
  --entries E      Entries [default: 3].
  --agents A       Agents, each with a worker [default: 11].
  --new-names      Give a worker a new name at each restart.
  --launcher PATH  Launcher of the programs; that of this checkout by default.
"""

import contextlib
import dataclasses
import datetime
import enum
import pathlib
import random
import sys
import tempfile
import threading
import time
from typing import Any, TextIO

import docopt
import msgspec

from gypsumhold.adapters import http_routes
from gypsumhold.model.jobs import runs, specs
from tests.jobs import worker_fake
from tests.soak import faults, programs, soak, standins

HELD_SHARE = 0.3
"""Share of the calls and heartbeats that are held back."""

MAX_HELD_S = 1.5
SHORT_MS = 400
LONG_MS = 12_000
LONG_JOB_INTERVAL = 3
"""The tasks of the first step of every third job are long."""

FIRST_RESTART_S = 3.0
RESTART_INTERVAL_S = 6.0
DOWN_MS = (50.0, 300.0)
MAX_RESTARTED = 4
UNTIL_CUT_S = (0.6, 1.8)
CUT_DURATION_S = 10.0
SERVED_CALLS = 32
"""Calls that a worker serves at a time, with those held back or unanswered."""

START_TIMEOUT = datetime.timedelta(seconds=30)
NEVER = float("-inf")


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
        return (
            f"{format_time(self.at)} {format_run(self.ref)} on {self.worker}:"
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


class EventLog:
    """Writes what happens to the workers, with the wall-clock time."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._lock = threading.Lock()

    def write(self, worker: str, text: str) -> None:
        """Writes one line about a worker."""
        now = datetime.datetime.now(datetime.UTC)
        with self._lock:
            self._file.write(f"{format_time(now)} {worker} {text}\n")


class RestartChecker(standins.InvariantChecker):
    """Collects the starts of tasks that run or that are done.

    A start after an end as done is a violation once that end is acknowledged,
    however soon, unless the lease of its worker has expired in between.

    Attributes:
        violations: All violations.
        log: Log of the events of the workers.
    """

    def __init__(self, log: EventLog) -> None:
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
        self.log.write(started.fake.name, f"starts {format_run(ref)}")
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
        self.log.write(violation.worker, f"violation: {violation}")

    def _is_cut(self, name: str) -> bool:
        """Tells whether the worker with a name is cut off."""
        return any(
            isinstance(worker, RestartWorker) and worker.is_cut()
            for worker in self.workers
            if worker.fake.name == name
        )


class RestartWorker(standins.WorkerStandin):
    """A worker that holds calls and heartbeats back and can be cut off.

    Attributes:
        held_share: Share of the calls and heartbeats that are held back.
    """

    threads = SERVED_CALLS

    def __init__(
        self, name: str, checker: RestartChecker, seed: int, *, new_names: bool
    ) -> None:
        self.held_share = HELD_SHARE
        self._new_names = new_names
        self._first_name = name
        self._log = checker.log
        self._lives = 1
        self._logged_ends = 0
        self._cut_from = self._cut_until = NEVER
        self._delays = random.Random(seed)
        super().__init__(name, checker, seed)

    def is_cut(self) -> bool:
        """Tells whether the worker can't be reached."""
        return self._cut_from <= time.monotonic() < self._cut_until

    def cut(self, delay_s: float) -> None:
        """Cuts the worker off after a delay; its runs go on."""
        self._cut_from = time.monotonic() + delay_s
        self._cut_until = self._cut_from + CUT_DURATION_S
        self._log.write(self.fake.name, f"will be cut off in {delay_s:.3f} s")

    def end_faults(self) -> None:
        """Ends the cut, and holds nothing back any more."""
        self.held_share = 0.0
        self._cut_from = self._cut_until = NEVER

    def restart(self, down_ms: float = standins.DOWN_MS) -> None:
        """Starts the next incarnation, under a new name if that is set."""
        with self._checker.lock:
            refs = [format_run(run.ref) for run in self.fake.running.values()]
            self._log.write(self.fake.name, f"restarts, ends {refs}")
        super().restart(down_ms)
        with self._checker.lock:
            self.fake.started_ms = int(time.time() * 1000 + down_ms)
            self.fake.heartbeats = 0
            self._lives += 1
            if self._new_names:
                self.fake.name = f"{self._first_name}-{self._lives}"
            self._log.write(
                self.fake.name,
                f"is born {self.fake.started_ms}, up in {down_ms:.0f} ms",
            )

    def advance(self) -> float:
        """Ends the runs that are over and logs them; returns the time."""
        now_ms = super().advance()
        for row in self.fake.finished[self._logged_ends :]:
            run = format_run(row.ref)
            self._log.write(self.fake.name, f"ends {run}: {row.end.value}")
        self._logged_ends = len(self.fake.finished)
        return now_ms

    def _draw_hold_s(self) -> float:
        """Returns for how long the next message is held back."""
        if self._delays.random() >= self.held_share:
            return 0.0
        return self._delays.uniform(0.0, MAX_HELD_S)

    def _send_heartbeat(self, url: str, body: bytes) -> None:
        """Sends a heartbeat, possibly after later ones."""
        if self.is_cut():
            return
        hold_s = self._draw_hold_s()
        if not hold_s:
            super()._send_heartbeat(url, body)
            return
        timer = threading.Timer(hold_s, super()._send_heartbeat, (url, body))
        timer.daemon = True
        timer.start()

    def answer(
        self, request: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Carries out a call, possibly late and on another incarnation.

        A cut drops the calls that arrive during it. Those that were held back
        before are carried out, but their answers are dropped.
        """
        body: Any = msgspec.json.decode(request.body)
        if self.is_cut():
            return self._leave_unanswered()
        arrival_life = self._lives
        self._stopped.wait(self._draw_hold_s())
        life = self._lives
        self._wait_for_ends(request.read_path(), body)
        if self._lives != life:
            # A process that ends closes the connections of its callers.
            return http_routes.HttpResponse(503)
        clock_ms = self.fake.read_clock(time.monotonic() * 1000)
        latest_ms = clock_ms + worker_fake.MAX_HOLD_MS
        response = self._carry_out(request, body)
        is_late = life != arrival_life or (body.get("untilMs") or 0) > latest_ms
        if is_late and response.status != 503:
            self._log_late_call(request.read_path(), body, clock_ms, response)
        return self._leave_unanswered() if self.is_cut() else response

    def _log_late_call(
        self,
        path: str,
        body: Any,
        clock_ms: int,
        response: http_routes.HttpResponse,
    ) -> None:
        """Logs a call that was meant for a former incarnation."""
        names = ("task", "run", "untilMs", "lastSeen", "fencingToken")
        fields = [f"{name}={body[name]}" for name in names if name in body]
        reach = "cut off" if self.is_cut() else "in reach"
        self._log.write(
            self.fake.name,
            f"late call {path} {' '.join(fields)} at clock {clock_ms}"
            f" ({reach}): {response.status}",
        )

    def _leave_unanswered(self) -> http_routes.HttpResponse:
        """Waits until the caller has given up."""
        self._stopped.wait(standins.SILENCE_DURATION_S)
        return http_routes.HttpResponse(503)

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        """Returns how long a run of a task lasts."""
        return choose_work_ms(task.job_id, task.step)


class RestartInjector(faults.Injector):
    """Restarts some workers again and again, and cuts most of them off."""

    def __init__(
        self, generator: random.Random, workers: list[standins.WorkerStandin]
    ) -> None:
        self._random = generator
        self._workers = [
            worker for worker in workers if isinstance(worker, RestartWorker)
        ]
        self._next_restarts = NEVER

    def update(self) -> None:
        """Restarts some workers if that is due."""
        now = time.monotonic()
        if self._next_restarts == NEVER:
            self._next_restarts = now + FIRST_RESTART_S
        if now >= self._next_restarts:
            self._next_restarts = now + RESTART_INTERVAL_S
            self._restart_workers()

    def _restart_workers(self) -> None:
        """Restarts workers that are in reach, and cuts off all but one."""
        reachable = [worker for worker in self._workers if not worker.is_cut()]
        limit = min(MAX_RESTARTED, len(self._workers) // 2, len(reachable))
        chosen = self._random.sample(reachable, limit)
        for worker in chosen:
            worker.restart(self._random.uniform(*DOWN_MS))
        for worker in chosen[1:]:
            worker.cut(self._random.uniform(*UNTIL_CUT_S))

    def end_all(self) -> None:
        """Lets all workers answer at once."""
        for worker in self._workers:
            worker.end_faults()


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What a play runs.

    Attributes:
        launcher: Script that starts each program.
        new_names: Whether a worker gets a new name at each restart.
        awaits_jobs: Whether every accepted job has to end after the faults.
    """

    launcher: pathlib.Path = programs.LAUNCHER
    new_names: bool = False
    awaits_jobs: bool = True


class RestartRun(soak.SoakRun):
    """Runs the programs while workers restart and are cut off."""

    def __init__(
        self,
        seed: int,
        size: soak.Size,
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
        options: Options,
    ) -> None:
        self._new_names = options.new_names
        path = folder / "workers.log"
        file = stack.enter_context(path.open("w", encoding="utf-8"))
        self._restart_checker = RestartChecker(EventLog(file))
        super().__init__(seed, size, folder, stack, options.launcher)

    def _build_checker(self) -> standins.InvariantChecker:
        """Returns the checker of all workers."""
        return self._restart_checker

    def _build_worker(self, name: str, seed: int) -> standins.WorkerStandin:
        """Returns a worker that can be restarted and cut off."""
        return RestartWorker(
            name, self._restart_checker, seed, new_names=self._new_names
        )

    def _build_faults(self) -> faults.Injector:
        """Returns the injector of the restarts."""
        return RestartInjector(self.random, self.workers)

    def _await_start(self) -> None:
        """Waits until all entries answer."""
        if not standins.wait_until(START_TIMEOUT, self._are_entries_ready):
            self.problems.append("an entry does not answer")

    def _are_entries_ready(self) -> bool:
        """Tells whether every entry knows the queue."""
        return all(
            self._call("GET", "", entry=entry)[0] == 200
            for entry in self.entries
        )

    def list_problems(self) -> list[str]:
        """Returns the problems, with the programs that have ended."""
        ended = [
            f"{program.name} has ended"
            for program in self.programs
            if program.process is None or program.process.poll() is not None
        ]
        return [*super().list_problems(), *ended]


def format_time(moment: datetime.datetime) -> str:
    """Returns the time of day in UTC, in milliseconds."""
    return moment.strftime("%H:%M:%S.%f")[:-3]


def format_run(ref: runs.RunRef) -> str:
    """Returns the task and the number of a run."""
    return f"{ref.task} run {ref.run}"


def list_done(worker: standins.WorkerStandin) -> list[DoneEnd]:
    """Returns the ends as done that a worker lists."""
    fake = worker.fake
    return [
        DoneEnd(fake.name, fake.started_ms, row.number, row.ref)
        for row in fake.ends
        if row.end is runs.RunEnd.DONE
    ]


def choose_work_ms(job_id: specs.JobId, step: int) -> int:
    """Returns how long each task of a step lasts."""
    is_long = step == 0 and int(job_id, 16) % LONG_JOB_INTERVAL == 0
    return LONG_MS if is_long else SHORT_MS


def play(
    seed: int, size: soak.Size, seconds: float, options: Options
) -> list[str]:
    """Plays one seed and returns its problems; prints the folder of logs."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"restarts-{seed}-"))
    print(f"seed {seed}: logs in {folder}", flush=True)
    with contextlib.ExitStack() as stack:
        run = RestartRun(seed, size, folder, stack, options)
        if options.awaits_jobs:
            return run.run(seconds)
        run.submit_jobs(seconds)
        return run.list_problems()


def main() -> int:
    """Plays the seeds and returns the exit code: 1 if any had a problem."""
    arguments = docopt.docopt(__doc__)
    size = soak.Size(int(arguments["--entries"]), int(arguments["--agents"]))
    launcher = pathlib.Path(arguments["--launcher"] or programs.LAUNCHER)
    options = Options(launcher.resolve(), arguments["--new-names"])
    first, failures = int(arguments["--seed"]), 0
    for seed in range(first, first + int(arguments["--count"])):
        problems = play(seed, size, float(arguments["--seconds"]), options)
        for problem in problems:
            print(f"  {problem}")
        print(f"seed {seed}: {len(problems)} problems", flush=True)
        failures += bool(problems)
    return min(1, failures)


if __name__ == "__main__":
    sys.exit(main())
