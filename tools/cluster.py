"""Runs a small deployment as processes on loopback, for the demo and tests."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import types
from collections.abc import Callable

import cluster_settings
import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_ATTEMPTS = 100
READY_PAUSE_S = 0.1
STOP_TIMEOUT_S = 10.0


# A process starts after those that it needs at its start.
START_ORDER = (
    cluster_settings.Role.PLATFORM,
    cluster_settings.Role.WORKER,
    cluster_settings.Role.AGENT,
    cluster_settings.Role.UPSTREAM,
    cluster_settings.Role.ENTRY,
)
_MODULES = {
    cluster_settings.Role.ENTRY: ("gypsumhold.programs.entry",),
    cluster_settings.Role.AGENT: ("gypsumhold.programs.agent",),
    cluster_settings.Role.PLATFORM: ("gypsumhold_standin.program", "platform"),
    cluster_settings.Role.WORKER: ("gypsumhold_standin.program", "worker"),
    cluster_settings.Role.UPSTREAM: ("gypsumhold_standin.program", "upstream"),
}


class NotReadyError(Exception):
    """A process did not become ready; the message has the end of its log."""


class Cluster:
    """A deployment on loopback; a context manager that ends every process.

    Args:
        shape: Size of the deployment.
        directory: Where settings and logs go; None uses a temporary directory
            that is removed at the end.
        revise: Changes the planned settings before they are written.
    """

    def __init__(
        self,
        shape: cluster_settings.Shape,
        directory: pathlib.Path | None = None,
        revise: Callable[[cluster_settings.Plan], None] = lambda _: None,
    ) -> None:
        self._directory = directory
        self._stack = contextlib.ExitStack()
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self._processes: dict[
            cluster_settings.Member, subprocess.Popen[bytes]
        ] = {}
        self._plan = cluster_settings.plan_settings(shape)
        revise(self._plan)
        self._pause = threading.Event()

    def __enter__(self) -> "Cluster":
        with self._stack:
            if self._directory is None:
                name = self._stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="gypsumhold-")
                )
                self._directory = pathlib.Path(name)
            # The processes end before their directory is removed.
            self._stack.callback(self._end_all)
            self._write_settings()
            for role in START_ORDER:
                members = self.list_members(role)
                for member in members:
                    self.start(member)
                # Entries and agents are ready only after the first change of
                # the configuration; here they only have to listen.
                for member in members:
                    self._wait_status(member, frozenset({200, 503}))
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        problem: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stack.close()

    def list_members(
        self, role: cluster_settings.Role
    ) -> list[cluster_settings.Member]:
        """Returns the members of a role."""
        return [item for item in self._plan.health if item.role is role]

    def get_callers_url(self, index: int) -> str:
        """Returns the base URL of an entry's caller listener."""
        return self._plan.callers[index].url

    def get_upstream_url(self, index: int) -> str:
        """Returns the base URL of an upstream stand-in."""
        return self.get_health_url(
            cluster_settings.Member(cluster_settings.Role.UPSTREAM, index)
        )

    def get_health_url(self, member: cluster_settings.Member) -> str:
        """Returns the base URL at which a process answers `/health`."""
        return self._plan.health[member].url

    def is_running(self, member: cluster_settings.Member) -> bool:
        """Tells whether a process has not ended; a frozen one has not."""
        return self._processes[member].poll() is None

    def get_pid(self, member: cluster_settings.Member) -> int:
        """Returns the process id of a member."""
        return self._processes[member].pid

    @property
    def ctl_settings(self) -> pathlib.Path:
        """Settings file of gypsumctl."""
        return self._name_file("ctl.json")

    def _name_file(self, name: str) -> pathlib.Path:
        if self._directory is None:
            raise RuntimeError("enter the cluster first")
        return self._directory / name

    def _write_settings(self) -> None:
        for name, document in self._plan.documents.items():
            self._name_file(name).write_text(json.dumps(document, indent=2))

    def start(self, member: cluster_settings.Member) -> None:
        """Starts a process without waiting for it."""
        environment = dict(os.environ)
        environment["PYTHONPATH"] = str(ROOT / "src")
        with self._name_file(f"{member}.log").open("ab") as log:
            self._processes[member] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    *_MODULES[member.role],
                    "--config",
                    str(self._name_file(f"{member}.json")),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def wait_ready(self, member: cluster_settings.Member) -> None:
        """Waits until the health route of a process answers 200.

        Raises:
            NotReadyError: The process ended, or it is not ready after
                READY_ATTEMPTS attempts.
        """
        self._wait_status(member, frozenset({200}))

    def _wait_status(
        self, member: cluster_settings.Member, wanted: frozenset[int]
    ) -> None:
        url = f"{self._plan.health[member].url}/health"
        last = "no answer"
        for _ in range(READY_ATTEMPTS):
            if self._processes[member].poll() is not None:
                last = "the process has ended"
                break
            try:
                response = self._http.request("GET", url)
            except urllib3.exceptions.HTTPError as problem:
                last = type(problem).__name__
            else:
                if response.status in wanted:
                    return
                last = f"status {response.status}"
            self._pause.wait(READY_PAUSE_S)
        raise NotReadyError(
            f"{member} is not ready: {last}\n{self.read_log(member)}"
        )

    def read_log(
        self, member: cluster_settings.Member, count: int = 2000
    ) -> str:
        """Returns the end of a process's log, in characters."""
        path = self._name_file(f"{member}.log")
        return path.read_text(errors="replace")[-count:]

    def _send(
        self, member: cluster_settings.Member, number: signal.Signals
    ) -> None:
        self._processes[member].send_signal(number)

    def kill(self, member: cluster_settings.Member) -> None:
        """Ends a process with SIGKILL."""
        self._send(member, signal.SIGKILL)
        self._processes[member].wait(STOP_TIMEOUT_S)

    def freeze(self, member: cluster_settings.Member) -> None:
        """Stops a process with SIGSTOP, as a long pause would."""
        self._send(member, signal.SIGSTOP)

    def thaw(self, member: cluster_settings.Member) -> None:
        """Lets a frozen process continue."""
        self._send(member, signal.SIGCONT)

    def stop(self, member: cluster_settings.Member) -> int:
        """Stops a process with SIGTERM and returns its exit status."""
        self._send(member, signal.SIGTERM)
        return self._processes[member].wait(STOP_TIMEOUT_S)

    def restart(self, member: cluster_settings.Member) -> None:
        """Starts a process again and waits until it is ready."""
        if self._processes[member].poll() is None:
            self.kill(member)
        self.start(member)
        self.wait_ready(member)

    def _end_all(self) -> None:
        """Ends every process; SIGKILL also ends frozen ones."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs gypsumctl with the settings of this deployment."""
        environment = dict(os.environ)
        environment["PYTHONPATH"] = str(ROOT / "src")
        command, *rest = arguments
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "gypsumhold.programs.ctl",
                command,
                "--config",
                str(self.ctl_settings),
                *rest,
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
            env=environment,
        )
