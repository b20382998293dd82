"""What the script reads of its own processes, and bytes that it counts."""

import contextlib
import dataclasses
import pathlib
import socket
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
UDP_HEADER_BYTES = 28
"""IPv4 and UDP headers, which a datagram adds to its payload."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far.

    Attributes:
        processor_s: Processor time of all its threads.
        memory_mb: Resident memory.
    """

    processor_s: float
    memory_mb: float


def parse_memory(text: str) -> float:
    """Returns VmRSS of /proc/PID/status in units of 1,000,000 bytes."""
    line = next(item for item in text.splitlines() if item.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024 / 1e6


def parse_run_time(text: str) -> float:
    """Returns the seconds on a processor of a schedstat file."""
    return int(text.split(maxsplit=1)[0]) / 1e9


def read_usage(pid: int) -> Usage:
    """Returns the usage of a process that this script started.

    Threads that ended before are not counted; the measured processes keep
    theirs.
    """
    root = pathlib.Path("/proc") / str(pid)
    spent = 0.0
    for task in (root / "task").iterdir():
        with contextlib.suppress(OSError):
            spent += parse_run_time((task / "schedstat").read_text())
    return Usage(spent, parse_memory((root / "status").read_text()))


class DatagramSink:
    """Counts datagrams on a port of loopback."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((HOST, 0))
        self.port: int = self._socket.getsockname()[1]
        self.datagrams = 0
        self.bytes = 0
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._count)
        self._thread.start()

    def _count(self) -> None:
        while not self._closed.is_set():
            length = len(self._socket.recv(CHUNK_BYTES))
            self.datagrams += 1
            self.bytes += length + UDP_HEADER_BYTES

    def close(self) -> None:
        """Ends the thread."""
        self._closed.set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as waker:
            waker.sendto(b"", (HOST, self.port))
        self._thread.join()
        self._socket.close()


class CountingRelay:
    """Passes TCP connections on and counts the bytes of both directions."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.target = 0
        self.bytes = 0
        self._lock = threading.Lock()
        self._sockets: list[socket.socket] = [self._listener]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection((HOST, self.target))
            except OSError:
                return
            with self._lock:
                self._sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass_on, args=(source, sink), daemon=True
                ).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                sink.sendall(chunk)
                with self._lock:
                    self.bytes += len(chunk)
            sink.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes every connection."""
        with self._lock:
            for item in self._sockets:
                with contextlib.suppress(OSError):
                    item.shutdown(socket.SHUT_RDWR)
                item.close()
