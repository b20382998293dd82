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
  --kind KIND      `short`: holds of up to 1.5 s, tasks of up to 12 s. `single`
                   and `centre`: holds of up to 12 s, tasks of up to 60 s,
                   leases that lapse, and restarts of single workers or of whole
                   data centres. `late`: as `single`, and workers hold most
                   commands back before they restart. `absent`: as `late`, and
                   workers are down for up to 5 s, or for over 12 s
                   [default: short].
  --cut RULE       Calls that arrive during a cut are `dropped`, `delivered`
                   when it ends, or carried out but `unanswered`
                   [default: dropped].
  --early-errors   Callers of held commands get an error at once.
  --program-faults  Also kill and pause programs and break their connections.
  --new-names      Give a worker a new name at each restart.
  --launcher PATH  Launcher of the programs; that of this checkout by default.
"""

import contextlib
import dataclasses
import datetime
import pathlib
import sys
import tempfile

import docopt

from tests.soak import (
    event_logs,
    faults,
    orders,
    programs,
    restart_checks,
    restart_faults,
    restart_plays,
    restart_workers,
    soak,
    standins,
    traffic,
)

CENTRES = 3
BRIEF_SIZE = soak.Size(entries=2, agents=8)
BRIEF_SECONDS = 14.0
START_TIMEOUT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What a play runs.

    Attributes:
        launcher: Script that starts each program.
        kind: Which faults it has.
        cut_kind: What becomes of the calls that arrive during a cut.
        fails_held_commands: Whether callers of held commands get an error at
            once.
        has_program_faults: Whether the faults of `soak` are injected as well.
        new_names: Whether a worker gets a new name at each restart.
        awaits_jobs: Whether every accepted job has to end after the faults, if
            the kind of play asks for that.
    """

    launcher: pathlib.Path = programs.LAUNCHER
    kind: restart_plays.PlayKind = restart_plays.PlayKind.SHORT
    cut_kind: traffic.CutKind = traffic.CutKind.DROPPED
    fails_held_commands: bool = False
    has_program_faults: bool = False
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
        self._play = restart_plays.PLAYS[options.kind]
        self._traits = dataclasses.replace(
            self._play.build_traits(traffic.CUT_RULES[options.cut_kind]),
            fails_held_commands=options.fails_held_commands,
            new_names=options.new_names,
        )
        self._has_program_faults = options.has_program_faults
        self._awaits_jobs = options.awaits_jobs and self._play.awaits_jobs
        path = folder / "workers.log"
        file = stack.enter_context(path.open("w", encoding="utf-8"))
        self._log = event_logs.EventLog(file)
        self._restart_checker = restart_checks.RestartChecker(self._log)
        self._restart_workers: list[restart_workers.RestartWorker] = []
        super().__init__(seed, size, folder, stack, options.launcher)

    def _build_checker(self) -> standins.InvariantChecker:
        """Returns the checker of all workers."""
        return self._restart_checker

    def _build_worker(self, name: str, seed: int) -> standins.WorkerStandin:
        """Returns a worker that can be restarted and cut off."""
        zone = f"zone-{len(self._restart_workers) % CENTRES}"
        worker = restart_workers.RestartWorker(
            name, self._restart_checker, seed, self._traits, zone
        )
        self._restart_workers.append(worker)
        return worker

    def _build_faults(self) -> faults.Injector:
        """Returns the injector of the restarts, and of other faults if set."""
        restarts = self._play.build_faults(self.random, self._restart_workers)
        if not self._has_program_faults:
            return restarts
        return restart_faults.JointInjector((restarts, super()._build_faults()))

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

    def run(self, seconds: float) -> list[str]:
        """Runs the programs, and waits for the jobs if the play asks for it."""
        if self._awaits_jobs:
            problems = super().run(seconds)
        else:
            self.submit_jobs(seconds)
            problems = self.list_problems()
        with self._restart_checker.lock:
            for worker in self._restart_workers:
                worker.advance()
            self._log.write("play", event_logs.END_OF_PLAY)
        return problems

    def list_problems(self) -> list[str]:
        """Returns the problems, with the programs that have ended."""
        ended = [
            f"{program.name} has ended"
            for program in self.programs
            if program.process is None or program.process.poll() is not None
        ]
        return [*super().list_problems(), *ended]


def play(
    seed: int, size: soak.Size, seconds: float, options: Options
) -> list[str]:
    """Plays one seed and returns its problems.

    Prints the folder of the logs, and which orders of events came up.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"restarts-{seed}-"))
    print(f"seed {seed}: logs in {folder}", flush=True)
    with contextlib.ExitStack() as stack:
        run = RestartRun(seed, size, folder, stack, options)
        problems = run.run(seconds)
    for line in orders.count_orders(folder).describe():
        print(f"  {line}", flush=True)
    return problems


def play_briefly(seed: int) -> list[str]:
    """Plays late commands and restarts for 14 s, about 25 s in all."""
    options = Options(kind=restart_plays.PlayKind.LATE)
    return play(seed, BRIEF_SIZE, BRIEF_SECONDS, options)


def main() -> int:
    """Plays the seeds and returns the exit code: 1 if any had a problem."""
    arguments = docopt.docopt(__doc__)
    size = soak.Size(int(arguments["--entries"]), int(arguments["--agents"]))
    launcher = pathlib.Path(arguments["--launcher"] or programs.LAUNCHER)
    options = Options(
        launcher.resolve(),
        restart_plays.PlayKind(arguments["--kind"]),
        traffic.CutKind(arguments["--cut"]),
        arguments["--early-errors"],
        arguments["--program-faults"],
        arguments["--new-names"],
    )
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
