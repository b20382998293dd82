"""Loopback proxy that can delay, drop or reset what it forwards."""

import contextlib
import enum
import random
import socket
import struct
import threading
import time

from gypsumhold.model import members

CHUNK_BYTES = 1 << 16
DELAY_S = (0.02, 0.6)
CONNECT_S = 2.0
RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with zero seconds, with which a close sends a reset."""


class ProxyFault(enum.Enum):
    """Fault that affects all data that passes the proxy."""

    NOTHING = "nothing"
    DELAY = "delay"
    """Data is delayed by random times."""

    RESET = "reset"
    """Connections are reset."""

    SILENCE = "silence"
    """Data is dropped in both directions, and connections stay open."""

    NO_REPLY = "no-reply"
    """Requests arrive and take effect, but the replies are dropped."""

    NO_REQUEST = "no-request"
    """Requests are dropped; replies to earlier ones still arrive."""


class Proxy:
    """Forwards connections to `target`; the fault may change at any time."""

    def __init__(self, target: members.Address, seed: int) -> None:
        self.fault = ProxyFault.NOTHING
        self._target = target
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = members.Address(*self._listener.getsockname())
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def close(self) -> None:
        """Closes all connections, which ends their threads."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._close_open()

    def set_fault(self, fault: ProxyFault) -> None:
        """Sets the fault of open and new connections."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            self._close_open()

    def _close_open(self) -> None:
        with self._lock:
            closing, self._open = self._open, set()
        for connection in closing:
            _reset(connection)

    def _accept_connections(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller_socket, _ = self._listener.accept()
                # The target may be paused, so connecting to it may take long.
                threading.Thread(
                    target=self._connect, args=(caller_socket,), daemon=True
                ).start()

    def _connect(self, caller_socket: socket.socket) -> None:
        """Connects a caller to the target and copies both directions."""
        if self.fault is ProxyFault.RESET:
            _reset(caller_socket)
            return
        try:
            target_socket = socket.create_connection(
                (self._target.host, self._target.port), timeout=CONNECT_S
            )
        except OSError:
            _reset(caller_socket)
            return
        target_socket.settimeout(None)
        with self._lock:
            self._open |= {caller_socket, target_socket}
        for source, sink, is_request in (
            (caller_socket, target_socket, True),
            (target_socket, caller_socket, False),
        ):
            threading.Thread(
                target=self._copy, args=(source, sink, is_request), daemon=True
            ).start()

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_request: bool
    ) -> None:
        """Copies data in one direction under the current fault."""
        silent_fault = (
            ProxyFault.NO_REQUEST if is_request else ProxyFault.NO_REPLY
        )
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                fault = self.fault
                if fault in (ProxyFault.SILENCE, silent_fault):
                    # After dropped data, later data must be dropped as well.
                    while source.recv(CHUNK_BYTES):
                        continue
                    break
                if fault is ProxyFault.DELAY:
                    time.sleep(self._random.uniform(*DELAY_S))
                sink.sendall(data)
        with self._lock:
            self._open -= {source, sink}
        for connection in (source, sink):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        source.close()


def _reset(connection: socket.socket) -> None:
    """Closes a connection with a reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
