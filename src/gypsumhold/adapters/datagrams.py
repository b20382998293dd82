"""Sends and receives announcements as authenticated UDP datagrams.

A datagram is an HMAC tag followed by the announcement in compact Thrift.
"""

import contextlib
import hashlib
import hmac
import socket
import threading
import time
from collections.abc import Callable, Iterable

import logbook
from returns.result import Failure, Result, Success

from gypsumhold.adapters import request_codec, thrift_encoding, thrift_fields
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import errors, members

_log = logbook.Logger(__name__)

TAG_BYTES = 16
"""Length of the tag: HMAC-SHA256 truncated to 128 bits.

The truncation saves 16 bytes in each datagram.
"""

_MAX_DATAGRAM_BYTES = 65_535
_ERROR_DELAY_S = 0.1

_LOG_INTERVAL_S = 10.0
"""Minimum interval between log lines on rejected datagrams, so that a sender
with a wrong key cannot fill the log."""


def _build_tag(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:TAG_BYTES]


def encode(announcement: members.Announcement, key: bytes) -> bytes:
    """Encodes an announcement as a datagram."""
    body = thrift_encoding.encode_struct(
        request_codec.encode_announcement(announcement)
    )
    return _build_tag(body, key) + body


def decode(
    datagram: bytes, key: bytes
) -> Result[members.Announcement, errors.Error]:
    """Verifies and decodes a datagram.

    The body is parsed only if the tag is valid.

    Returns:
        The announcement, or an error of kind UNAUTHORISED or DECODING.
    """
    tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    if not hmac.compare_digest(tag, _build_tag(body, key)):
        return Failure(
            errors.Error(
                errors.ErrorKind.UNAUTHORISED,
                "announcement with an invalid tag",
                "give every process of the deployment the same key",
            )
        )
    try:
        struct = thrift_encoding.decode_struct(ttypes.Announcement(), body)
    except ValueError as problem:
        return Failure(thrift_fields.build_decoding_error(problem))
    return request_codec.decode_announcement(struct)


class Sender:
    """Sends announcements from one socket; any thread may use it."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def send(
        self,
        announcement: members.Announcement,
        addresses: Iterable[members.Address],
    ) -> None:
        """Sends the announcement to each address; logs failures."""
        datagram = encode(announcement, self._key)
        for address in addresses:
            try:
                self._socket.sendto(datagram, (address.host, address.port))
            # An invalid host or port is no OSError, and a null character in
            # the host is a TypeError.
            except (OSError, ValueError, OverflowError, TypeError) as problem:
                _log.warning(
                    "cannot send the announcement to {}: {}", address, problem
                )

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


class Receiver:
    """Receives announcements on an address; only one thread may receive."""

    def __init__(self, address: members.Address, key: bytes) -> None:
        self._key = key
        self._closed = threading.Event()
        self._rejected = 0
        self._next_log_time = 0.0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind((address.host, address.port))
        except OSError:
            self._socket.close()
            raise
        host, port = self._socket.getsockname()
        self.address = members.Address(host, port)

    def receive(self) -> Result[members.Announcement, errors.Error] | None:
        """Waits for the next datagram.

        Returns:
            The announcement, an error, or None after `close`.
        """
        try:
            datagram = self._socket.recv(_MAX_DATAGRAM_BYTES)
        except OSError as problem:
            # Without the delay, `serve` would spin on a permanent error.
            if self._closed.wait(_ERROR_DELAY_S):
                return None
            return Failure(thrift_fields.build_decoding_error(problem))
        if self._closed.is_set():
            return None
        return decode(datagram, self._key)

    def serve(self, deliver: Callable[[members.Announcement], None]) -> None:
        """Passes announcements to `deliver` until `close`; logs errors."""
        while (received := self.receive()) is not None:
            match received:
                case Success(announcement):
                    deliver(announcement)
                case Failure(error):
                    self._count_rejected(error)

    def _count_rejected(self, error: errors.Error) -> None:
        """Counts a rejected datagram and logs the count at intervals."""
        self._rejected += 1
        if time.monotonic() >= self._next_log_time:
            _log.warning(
                "{} datagrams rejected; last error: {}",
                self._rejected,
                error,
            )
            self._rejected = 0
            self._next_log_time = time.monotonic() + _LOG_INTERVAL_S

    def close(self) -> None:
        """Ends a pending `receive` and closes the socket."""
        self._closed.set()
        with contextlib.suppress(OSError):
            # Raises ENOTCONN, but wakes the receiving thread all the same.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
