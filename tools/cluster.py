"""Runs a small deployment as local processes, for the demo and the tests."""

import contextlib
import itertools
import json
import os
import pathlib
import queue
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

MAX_PROCESSOR_WAIT_S = 60.0
"""Longest time without a processor that a starting process may have beside its
attempts. A start takes 1.1 s of processor time, of which a machine with a load
average of 20 to 30 has given less than that within 10 s."""

STOP_TIMEOUT_S = 10.0

_USER_TIME, _SYSTEM_TIME = 11, 12
"""Positions in `/proc/PID/stat`, counted after the name of the program."""

_WAIT_TIME = 1
"""Position in `/proc/PID/schedstat` of the time in a run queue."""

_NANOSECONDS_PER_S = 1_000_000_000


# Each role starts after the roles that it depends on at startup.
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
    """A process did not become ready; the message ends with its last output."""


class NotStoppedError(Exception):
    """A process did not stop on SIGSTOP."""


def _wait_for_stop(pid: int) -> int | None:
    """Waits until all threads of a child have stopped, or until it exits.

    The child can still be waited for afterwards.

    Returns:
        The kind of the change, such as `os.CLD_STOPPED`; None if the exit of
        the child was already waited for.
    """
    options = os.WSTOPPED | os.WEXITED | os.WNOWAIT
    try:
        change = os.waitid(os.P_PID, pid, options)
    except ChildProcessError:
        return None
    return change.si_code if change else None


class Cluster:
    """A deployment on loopback, as a context manager.

    Entering starts every process; leaving kills the processes that still run.

    Args:
        shape: Size of the deployment.
        directory: Directory for settings files and logs; None uses a temporary
            directory that is removed on exit.
        revise: Called with the planned settings before they are written, and
            may change them.
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
                temporary = self._stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="gypsumhold-")
                )
                self._directory = pathlib.Path(temporary)
            # Registered after the directory, so that the processes are killed
            # before the directory is removed.
            self._stack.callback(self._kill_all)
            self._write_settings()
            for role in START_ORDER:
                members = self.list_members(role)
                for member in members:
                    self.start(member)
                # Entries and agents answer 503 until they have received a
                # configuration; at this point they only have to listen.
                for member in members:
                    self._wait_for_status(member, frozenset({200, 503}))
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        problem: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._stack.close()

    def list_members(
        self, role: cluster_settings.Role
    ) -> list[cluster_settings.Member]:
        """Returns the processes that have a role."""
        return [member for member in self._plan.health if member.role is role]

    def get_callers_url(self, index: int) -> str:
        """Returns the base URL of an entry's caller listener."""
        return self._plan.callers[index].url

    def get_upstream_url(self, index: int) -> str:
        """Returns the base URL of an upstream stand-in."""
        return self.get_health_url(
            cluster_settings.Member(cluster_settings.Role.UPSTREAM, index)
        )

    def get_health_url(self, member: cluster_settings.Member) -> str:
        """Returns the base URL of the listener that serves `/health`."""
        return self._plan.health[member].url

    def is_running(self, member: cluster_settings.Member) -> bool:
        """Returns whether a process has not exited; a frozen one has not."""
        return self._processes[member].poll() is None

    def get_pid(self, member: cluster_settings.Member) -> int:
        """Returns the id of a process."""
        return self._processes[member].pid

    @property
    def ctl_settings(self) -> pathlib.Path:
        """Path of the settings file of gypsumctl."""
        return self._get_path("ctl.json")

    def _get_path(self, file_name: str) -> pathlib.Path:
        if self._directory is None:
            raise RuntimeError(
                "the cluster has no directory until it is entered"
            )
        return self._directory / file_name

    def _write_settings(self) -> None:
        for file_name, document in self._plan.documents.items():
            self._get_path(file_name).write_text(json.dumps(document, indent=2))

    def start(self, member: cluster_settings.Member) -> None:
        """Starts a process without waiting until it is ready."""
        environment = dict(os.environ)
        environment["PYTHONPATH"] = str(ROOT / "src")
        with self._get_path(f"{member}.log").open("ab") as log:
            self._processes[member] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    *_MODULES[member.role],
                    "--config",
                    str(self._get_path(f"{member}.json")),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def wait_ready(self, member: cluster_settings.Member) -> None:
        """Waits until the health route of a process answers 200.

        Raises:
            NotReadyError: The process exited, or it was not ready after
                READY_ATTEMPTS attempts. Those for whose time it waited for a
                processor do not count.
        """
        self._wait_for_status(member, frozenset({200}))

    def _wait_for_status(
        self, member: cluster_settings.Member, accepted: frozenset[int]
    ) -> None:
        url = f"{self._plan.health[member].url}/health"
        last_result = "no answer"
        waited_s = self._read_processor_wait_s(member)
        for attempt in itertools.count():
            lacked_s = self._read_processor_wait_s(member) - waited_s
            lacked_s = min(lacked_s, MAX_PROCESSOR_WAIT_S)
            if attempt >= READY_ATTEMPTS + lacked_s / READY_PAUSE_S:
                break
            if self._processes[member].poll() is not None:
                last_result = "the process has exited"
                break
            try:
                response = self._http.request("GET", url)
            except urllib3.exceptions.HTTPError as problem:
                last_result = type(problem).__name__
            else:
                if response.status in accepted:
                    return
                last_result = f"status {response.status}"
            self._pause.wait(READY_PAUSE_S)
        raise NotReadyError(
            f"{member} is not ready: {last_result}"
            f" ({self._describe_load(member)})\n{self.read_log(member)}"
        )

    def _read_processor_wait_s(self, member: cluster_settings.Member) -> float:
        """Returns how long a process could run and had no processor.

        That is the time of its first thread, which imports its modules; 0 if
        the kernel does not tell it.
        """
        path = pathlib.Path(f"/proc/{self.get_pid(member)}/schedstat")
        try:
            fields = path.read_text().split()
        except OSError:
            return 0.0
        return int(fields[_WAIT_TIME]) / _NANOSECONDS_PER_S

    def _describe_load(self, member: cluster_settings.Member) -> str:
        """Returns the processor time of a process and the load average.

        They tell a process that gets no processor from one that waits.
        """
        load = f"load average {os.getloadavg()[0]:.1f}"
        try:
            status = pathlib.Path(f"/proc/{self.get_pid(member)}/stat")
            fields = status.read_text().rpartition(")")[2].split()
        except OSError:
            return load
        ticks = sum(map(int, fields[_USER_TIME : _SYSTEM_TIME + 1]))
        used_s = ticks / os.sysconf("SC_CLK_TCK")
        return f"{used_s:.2f} s of processor time, {load}"

    def read_log(
        self, member: cluster_settings.Member, max_characters: int = 2000
    ) -> str:
        """Returns at most the last `max_characters` of a process's log."""
        path = self._get_path(f"{member}.log")
        return path.read_text(errors="replace")[-max_characters:]

    def _send_signal(
        self, member: cluster_settings.Member, signal_number: signal.Signals
    ) -> None:
        self._processes[member].send_signal(signal_number)

    def kill(self, member: cluster_settings.Member) -> None:
        """Kills a process with SIGKILL and waits until it has exited."""
        self._send_signal(member, signal.SIGKILL)
        self._processes[member].wait(STOP_TIMEOUT_S)

    def freeze(self, member: cluster_settings.Member) -> None:
        """Suspends a process with SIGSTOP, to simulate a long pause.

        Waits until all threads of the process have stopped, because those that
        still run after the signal may answer further requests.

        Raises:
            NotStoppedError: The process has exited, or it has not stopped
                after STOP_TIMEOUT_S.
        """
        self._send_signal(member, signal.SIGSTOP)
        pid = self.get_pid(member)
        changes: queue.SimpleQueue[int | None] = queue.SimpleQueue()
        # waitid has no timeout. After one, the thread ends when the process
        # stops or is killed.
        threading.Thread(
            target=lambda: changes.put(_wait_for_stop(pid)), daemon=True
        ).start()
        try:
            change = changes.get(timeout=STOP_TIMEOUT_S)
        except queue.Empty:
            raise NotStoppedError(
                f"{member} has not stopped after {STOP_TIMEOUT_S} s"
                f" ({self._describe_load(member)})"
            ) from None
        if change != os.CLD_STOPPED:
            raise NotStoppedError(f"{member} has exited")

    def thaw(self, member: cluster_settings.Member) -> None:
        """Resumes a frozen process with SIGCONT."""
        self._send_signal(member, signal.SIGCONT)

    def stop(self, member: cluster_settings.Member) -> int:
        """Terminates a process with SIGTERM and returns its exit status."""
        self._send_signal(member, signal.SIGTERM)
        return self._processes[member].wait(STOP_TIMEOUT_S)

    def restart(self, member: cluster_settings.Member) -> None:
        """Restarts a process, killing it if it runs, until it is ready."""
        if self._processes[member].poll() is None:
            self.kill(member)
        self.start(member)
        self.wait_ready(member)

    def _kill_all(self) -> None:
        """Kills every process; SIGKILL works on frozen ones too."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs a gypsumctl command with the settings of this deployment.

        Args:
            arguments: The command, then its options and operands.
        """
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
