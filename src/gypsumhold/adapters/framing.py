"""Reads and writes length-prefixed messages on TCP connections.

A message follows its length, a big-endian integer of 4 bytes. Each operation
has a deadline for the whole message, so that a peer that sends or receives
byte by byte cannot block a thread for longer.
"""

import contextlib
import datetime
import math
import select
import socket
import struct
import time
from typing import Self

from gypsumhold.model import members

_LENGTH = struct.Struct("!I")
_MIN_READ = 16_384
"""Bytes that one system call asks for, so that it mostly gets the length of a
message together with its content."""

_MAX_READ = 262_144


class ConnectionFailedError(Exception):
    """Raised if a connection is closed or times out, or a message is too long.

    Attributes:
        sent: Whether a byte of the message may have left this process.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class Deadline:
    """The time at which socket operations stop waiting."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        self._end = time.monotonic() + timeout.total_seconds()

    def get_remaining_seconds(self) -> float:
        """Returns the seconds until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        remaining = self._end - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        return remaining

    def check(self) -> None:
        """Raises TimeoutError if the deadline has passed."""
        self.get_remaining_seconds()

    def limit(self, timeout: datetime.timedelta) -> "Deadline":
        """Returns this deadline or `timeout` from now, whichever is earlier."""
        other = Deadline(timeout)
        return other if other._end < self._end else self


def _wait(poller: select.poll, deadline: Deadline) -> None:
    """Waits until a socket is ready, or raises TimeoutError."""
    timeout_ms = math.ceil(deadline.get_remaining_seconds() * 1000)
    if not poller.poll(timeout_ms):
        raise TimeoutError("timed out")


class Connection:
    """A TCP connection for length-prefixed messages; not thread-safe."""

    def __init__(self, sock: socket.socket, max_message: int) -> None:
        self._socket = sock
        self._max_message = max_message
        self._received = bytearray()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Waits of its own, instead of the timeouts of the socket, save a system
        # call in each operation.
        sock.setblocking(False)
        self._readable = select.poll()
        self._readable.register(sock, select.POLLIN)
        self._writable = select.poll()
        self._writable.register(sock, select.POLLOUT)

    @classmethod
    def open(
        cls, address: members.Address, max_message: int, deadline: Deadline
    ) -> Self:
        """Connects to `address`.

        Raises:
            OSError: The peer refuses the connection or does not answer in time.
            ConnectionFailedError: The address is invalid.
        """
        try:
            sock = socket.create_connection(
                (address.host, address.port), deadline.get_remaining_seconds()
            )
        # A host that is no name, or a port that fits no machine word.
        except (ValueError, OverflowError) as problem:
            raise ConnectionFailedError(f"connect: {problem}") from problem
        return cls(sock, max_message)

    def write(self, data: bytes, deadline: Deadline) -> None:
        """Writes all of `data`.

        Raises:
            ConnectionFailedError: The connection was closed or timed out.
        """
        unsent = memoryview(data)
        try:
            while unsent:
                deadline.check()
                try:
                    unsent = unsent[self._socket.send(unsent) :]
                except BlockingIOError:
                    _wait(self._writable, deadline)
        except OSError as problem:
            sent = len(unsent) < len(data)
            raise ConnectionFailedError(f"write: {problem}", sent) from problem

    def read(self, size: int, deadline: Deadline) -> bytes:
        """Reads exactly `size` bytes.

        Raises:
            ConnectionFailedError: The connection was closed or timed out.
        """
        # The buffer grows with what has arrived: a peer that announces a long
        # message and sends nothing takes no memory.
        while len(self._received) < size:
            self._receive(max(size - len(self._received), _MIN_READ), deadline)
        data = bytes(self._received[:size])
        del self._received[:size]
        return data

    def _receive(self, size: int, deadline: Deadline) -> None:
        """Waits for bytes and appends at most `size` of them to the buffer."""
        try:
            _wait(self._readable, deadline)
            data = self._socket.recv(min(size, _MAX_READ))
        except BlockingIOError:
            return
        except OSError as problem:
            raise ConnectionFailedError(f"read: {problem}") from problem
        if not data:
            raise ConnectionFailedError("read: closed by the peer")
        self._received += data

    def write_message(self, message: bytes, deadline: Deadline) -> None:
        """Writes one message.

        Raises:
            ConnectionFailedError: The connection was closed or timed out, or
                the message is over the limit and nothing was written.
        """
        if len(message) > self._max_message:
            raise ConnectionFailedError(
                f"message of {len(message)} bytes is over the limit", False
            )
        self.write(_LENGTH.pack(len(message)) + message, deadline)

    def read_message(self, deadline: Deadline) -> bytes:
        """Reads one message.

        Raises:
            ConnectionFailedError: The connection was closed or timed out, or
                the length is over the limit.
        """
        return self.read(self.read_length(deadline), deadline)

    def read_length(self, deadline: Deadline) -> int:
        """Reads the length prefix of the next message.

        The caller has to `read` that many bytes before the next message.

        Raises:
            ConnectionFailedError: As for `read_message`.
        """
        length: int = _LENGTH.unpack(self.read(_LENGTH.size, deadline))[0]
        if length > self._max_message:
            raise ConnectionFailedError(f"length {length} is over the limit")
        return length

    def is_idle(self) -> bool:
        """Returns whether the connection is open and has no data to read."""
        if self._received:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def stop_reading(self) -> None:
        """Makes a pending read in another thread fail; writes still work."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Makes all pending operations in other threads fail."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
