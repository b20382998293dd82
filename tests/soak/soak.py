"""Runs entries and agents as processes and injects random faults.

Usage:
  soak [options]

Options:
  --seed N     First seed [default: 1].
  --seconds S  Duration of the faults for each seed [default: 20].
  --count K    Number of seeds [default: 1].
  --entries E  Entries [default: 2].
  --agents A   Agents, each with a worker [default: 4].
"""

import contextlib
import dataclasses
import datetime
import json
import pathlib
import random
import sys
import tempfile
import time

import docopt
import urllib3

from tests.soak import faults, programs, proxies, standins

COMPLETION_TIMEOUT = datetime.timedelta(seconds=40)
CANCEL_SHARE = 0.08
"""Share of the accepted jobs that are cancelled."""

REFUSAL_STATUSES = (429, 503)
FINAL_STATES = ("completed", "failed", "cancelled")


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Number of entry and agent processes."""

    entries: int
    agents: int


SMALL = Size(entries=2, agents=4)


class SoakRun:
    """Runs the programs and injects faults for one seed.

    Attributes:
        launcher: Script that starts each program.
        accepted: Accepted jobs, each with whether its cancellation was
            requested.
        problems: Messages about violated guarantees.
    """

    def __init__(
        self,
        seed: int,
        size: Size,
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
        launcher: pathlib.Path = programs.LAUNCHER,
    ) -> None:
        self.launcher = launcher
        self.random = random.Random(seed)
        self.checker = self._build_checker()
        self.table = standins.TableStandin(seed, self.checker)
        stack.callback(self.table.close)
        self.workers: list[standins.WorkerStandin] = []
        self.programs: list[programs.Program] = []
        self.entries: list[str] = []
        self.accepted: dict[str, bool] = {}
        self.problems: list[str] = []
        self.pool = urllib3.PoolManager(retries=False, maxsize=4)
        for number in range(size.entries + size.agents):
            is_entry = number < size.entries
            self._add_program(number, seed, folder, stack, is_entry=is_entry)
        self.faults = self._build_faults()
        for program in self.programs:
            program.start()
            stack.callback(program.kill)

    def _build_checker(self) -> standins.InvariantChecker:
        """Returns the checker that all workers call."""
        return standins.InvariantChecker()

    def _build_worker(self, name: str, seed: int) -> standins.WorkerStandin:
        """Returns the worker of an agent."""
        return standins.WorkerStandin(name, self.checker, seed)

    def _build_faults(self) -> faults.Injector:
        """Returns the source of the faults of a run."""
        return faults.FaultInjector(
            self.random, self.programs, self.workers, self.table
        )

    def _add_program(
        self,
        number: int,
        seed: int,
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
        *,
        is_entry: bool,
    ) -> None:
        ports = programs.find_ports(4)
        role = "entry" if is_entry else "agent"
        store = proxies.Proxy(self.table.address, seed + number)
        program = programs.Program(
            f"{role}-{number}",
            role,
            folder,
            ports,
            store,
            seed + number,
            self.launcher,
        )
        stack.callback(program.close)
        self.programs.append(program)
        if is_entry:
            self.entries.append(f"127.0.0.1:{ports[0]}")
            return
        worker = self._build_worker(f"w-{number}", seed + number)
        stack.callback(worker.close)
        worker.start(f"127.0.0.1:{ports[0]}")
        self.workers.append(worker)

    def run(self, seconds: float) -> list[str]:
        """Submits jobs under faults, then checks that every accepted job ends.

        Returns:
            Messages about all violated guarantees.
        """
        self.submit_jobs(seconds)
        unfinished = self._wait_for_jobs()
        self.problems += [
            f"{job} is {state}" for job, state in unfinished.items()
        ]
        return self.list_problems()

    def list_problems(self) -> list[str]:
        """Returns the messages about violated guarantees so far."""
        return [*self.checker.problems, *self.problems]

    def submit_jobs(self, seconds: float) -> None:
        """Submits jobs under faults, and cancels some of them."""
        self._await_start()
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            job = f"{number:016x}"
            self._submit(job)
            if job in self.accepted and self.random.random() < CANCEL_SHARE:
                self._cancel(job)
            self.faults.update()
            time.sleep(self.random.uniform(0.05, 0.4))
        self.faults.end_all()
        print(f"{len(self.accepted)} of {number} jobs accepted", flush=True)
        if not self.accepted:
            self.problems.append("no job was accepted, so nothing was tested")

    def _await_start(self) -> None:
        """Waits until the programs are likely to run."""
        time.sleep(2.5)

    def _call(
        self,
        method: str,
        job: str,
        body: dict[str, object] | None = None,
        entry: str = "",
    ) -> tuple[int, dict[str, object]]:
        """Calls an entry, by default a random one; status 0 is no answer."""
        entry = entry or self.random.choice(self.entries)
        try:
            answer = self.pool.request(
                method,
                f"http://{entry}/q/{job}",
                body=None if body is None else json.dumps(body),
                headers={"Host": standins.HOST, "X-Deadline-Ms": "2000"},
                timeout=2.5,
            )
        except urllib3.exceptions.HTTPError:
            return 0, {}
        return answer.status, json.loads(answer.data or b"{}")

    def _submit(self, job: str) -> None:
        steps: list[dict[str, object]] = [
            {"count": self.random.randint(1, 4), "cpu": 1000},
            {"count": self.random.randint(1, 3), "cpu": 1000, "after": [0]},
        ]
        status, _ = self._call(
            "POST", job, {"specification": job, "steps": steps}
        )
        if status == 200:
            self.accepted[job] = False
        elif status in REFUSAL_STATUSES:
            self.checker.record_refused(job)

    def _cancel(self, job: str) -> None:
        status, _ = self._call("DELETE", job)
        self.accepted[job] = True
        if status == 200:
            self.checker.record_cancelled(job)

    def _wait_for_jobs(self) -> dict[str, object]:
        """Returns the jobs that did not end in time, with their states."""
        states: dict[str, object] = dict.fromkeys(self.accepted, "not queried")
        end = time.monotonic() + COMPLETION_TIMEOUT.total_seconds()
        while states and time.monotonic() < end:
            self.faults.end_all()
            for job in list(states):
                status, body = self._call("GET", job)
                states[job] = body.get("state", status)
                if states[job] in FINAL_STATES:
                    self._check_end(job, str(states.pop(job)))
            time.sleep(0.3)
        return states

    def _check_end(self, job: str, state: str) -> None:
        """Checks the final state of an accepted job."""
        allowed_states = ["completed"]
        if self.accepted[job]:
            allowed_states.append("cancelled")
        if state not in allowed_states:
            self.problems.append(f"{job} is {state}")
        elif state == "completed":
            self.checker.check_completed(job)


def run_seed(seed: int, seconds: float, size: Size = SMALL) -> list[str]:
    """Runs one seed and returns its problems; prints the folder of the logs."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with contextlib.ExitStack() as stack:
        problems = SoakRun(seed, size, folder, stack).run(seconds)
    if problems:
        print(f"seed {seed}: logs in {folder}")
    return problems


def main() -> int:
    """Runs the seeds and returns the exit code: 1 if any had a problem."""
    arguments = docopt.docopt(__doc__)
    first, count = int(arguments["--seed"]), int(arguments["--count"])
    size = Size(int(arguments["--entries"]), int(arguments["--agents"]))
    failures = 0
    for seed in range(first, first + count):
        problems = run_seed(seed, float(arguments["--seconds"]), size)
        print(f"seed {seed}: {problems or 'passed'}", flush=True)
        failures += bool(problems)
    return min(1, failures)


if __name__ == "__main__":
    sys.exit(main())
