"""Messages on a TCP connection: a length of 4 bytes, then the message.

Every operation has a deadline over the whole message, so that a peer that
sends or takes single bytes cannot hold a thread for longer.
"""

import contextlib
import datetime
import socket
import struct
import time
from typing import Self

from gypsumhold.model import members

_LENGTH = struct.Struct("!I")


class ConnectionFailed(Exception):
    """The connection broke, timed out, or carried an oversize length.

    Attributes:
        sent: Whether any byte of the message may have left this process.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class Deadline:
    """An instant up to which socket operations may wait."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        self._end = time.monotonic() + timeout.total_seconds()

    def get_remaining_seconds(self) -> float:
        """Returns the seconds that remain.

        Raises:
            TimeoutError: None remain.
        """
        remaining = self._end - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        return remaining

    def limit(self, timeout: datetime.timedelta) -> "Deadline":
        """Returns the earlier of this deadline and `timeout` from now."""
        other = Deadline(timeout)
        return other if other._end < self._end else self


class Connection:
    """A TCP connection that carries whole messages; not thread-safe."""

    def __init__(self, sock: socket.socket, max_message: int) -> None:
        self._socket = sock
        self._max_message = max_message
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def open(
        cls, address: members.Address, max_message: int, deadline: Deadline
    ) -> Self:
        """Connects to `address`.

        Raises:
            OSError: The peer does not answer in time.
        """
        sock = socket.create_connection(
            (address.host, address.port), deadline.get_remaining_seconds()
        )
        return cls(sock, max_message)

    def write(self, data: bytes, deadline: Deadline) -> None:
        """Writes `data` in whole.

        Raises:
            ConnectionFailed: The peer is gone or too slow.
        """
        rest = memoryview(data)
        try:
            while rest:
                self._socket.settimeout(deadline.get_remaining_seconds())
                rest = rest[self._socket.send(rest) :]
        except OSError as problem:
            sent = len(rest) < len(data)
            raise ConnectionFailed(f"write: {problem}", sent) from problem

    def read(self, size: int, deadline: Deadline) -> bytes:
        """Reads exactly `size` bytes.

        Raises:
            ConnectionFailed: The peer is gone or too slow.
        """
        buffer = bytearray(size)
        rest = memoryview(buffer)
        try:
            while rest:
                self._socket.settimeout(deadline.get_remaining_seconds())
                count = self._socket.recv_into(rest)
                if count == 0:
                    raise ConnectionFailed("read: closed by the peer")
                rest = rest[count:]
        except OSError as problem:
            raise ConnectionFailed(f"read: {problem}") from problem
        return bytes(buffer)

    def write_message(self, message: bytes, deadline: Deadline) -> None:
        """Writes one message.

        Raises:
            ConnectionFailed: The peer is gone or too slow, or the message is
                over the limit and nothing was written.
        """
        if len(message) > self._max_message:
            raise ConnectionFailed(f"message of {len(message)} bytes", False)
        self.write(_LENGTH.pack(len(message)) + message, deadline)

    def read_message(self, deadline: Deadline) -> bytes:
        """Reads one message.

        Raises:
            ConnectionFailed: The peer is gone or too slow, or names a length
                over the limit.
        """
        return self.read(self.read_length(deadline), deadline)

    def read_length(self, deadline: Deadline) -> int:
        """Reads the length of a message, which must be read next.

        Raises:
            ConnectionFailed: As for `read_message`.
        """
        length: int = _LENGTH.unpack(self.read(_LENGTH.size, deadline))[0]
        if length > self._max_message:
            raise ConnectionFailed(f"length {length} is over the limit")
        return length

    def is_idle(self) -> bool:
        """Tells whether an idle connection is open with nothing to read."""
        try:
            self._socket.settimeout(0)
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def stop_reading(self) -> None:
        """Ends a read that waits in another thread; writes still work."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Ends every operation that waits in another thread."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
