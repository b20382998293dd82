"""Reads the resource usage of processes and counts the bytes on sockets."""

import contextlib
import dataclasses
import pathlib
import socket
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
UDP_HEADER_BYTES = 28
"""Size of the IPv4 and UDP headers that precede the payload of a datagram."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_s: CPU time of its live threads since their start, in seconds.
        memory_mb: Resident memory, in units of 1,000,000 bytes.
    """

    cpu_s: float
    memory_mb: float


def parse_memory(text: str) -> float:
    """Returns VmRSS from /proc/PID/status in units of 1,000,000 bytes."""
    rss_line = next(
        line for line in text.splitlines() if line.startswith("VmRSS:")
    )
    return int(rss_line.split()[1]) * 1024 / 1e6


def parse_cpu_time(text: str) -> float:
    """Returns the CPU time from a schedstat file, in seconds."""
    return int(text.split(maxsplit=1)[0]) / 1e9


def read_usage(pid: int) -> Usage:
    """Returns the usage of a process.

    Threads that have ended are not counted; the measured processes keep their
    threads.
    """
    root = pathlib.Path("/proc") / str(pid)
    cpu_s = 0.0
    for task in (root / "task").iterdir():
        with contextlib.suppress(OSError):
            cpu_s += parse_cpu_time((task / "schedstat").read_text())
    return Usage(cpu_s, parse_memory((root / "status").read_text()))


class DatagramSink:
    """Receives datagrams on a loopback port and counts them and their bytes."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((HOST, 0))
        self.port: int = self._socket.getsockname()[1]
        self.datagrams = 0
        self.bytes = 0
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._receive)
        self._thread.start()

    def _receive(self) -> None:
        while not self._closed.is_set():
            length = len(self._socket.recv(CHUNK_BYTES))
            self.datagrams += 1
            self.bytes += length + UDP_HEADER_BYTES

    def close(self) -> None:
        """Stops the receiving thread and closes the socket."""
        self._closed.set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as wake_socket:
            wake_socket.sendto(b"", (HOST, self.port))
        self._thread.join()
        self._socket.close()


class CountingRelay:
    """Forwards TCP connections to a target and counts the bytes both ways.

    `target` is the port on loopback to connect to; set it before the first
    connection arrives.
    """

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
                client_side, _ = self._listener.accept()
                upstream_side = socket.create_connection((HOST, self.target))
            except OSError:
                return
            with self._lock:
                self._sockets += [client_side, upstream_side]
            for source, sink in (
                (client_side, upstream_side),
                (upstream_side, client_side),
            ):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                sink.sendall(chunk)
                with self._lock:
                    self.bytes += len(chunk)
            sink.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the listener and every connection."""
        with self._lock:
            for open_socket in self._sockets:
                with contextlib.suppress(OSError):
                    open_socket.shutdown(socket.SHUT_RDWR)
                open_socket.close()
