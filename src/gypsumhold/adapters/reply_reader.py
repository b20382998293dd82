"""Connections that read each reply within the limits of its peer.

The bytes of a reply are counted as they arrive, below the parsers of the
library: these read interim replies and trailers for as long as they come, and
the timeout of a socket bounds the wait for the next bytes only.
"""

import functools
import http.client
import io
import socket
import threading
import time
from typing import Any, ClassVar

import urllib3

from gypsumhold.decisions import replies as decisions
from gypsumhold.model import replies

READ_BYTES = 64 * 1024


class ReplyRefusedError(OSError):
    """Raised if a reply exceeds a limit.

    Attributes:
        refusal: The limit.
    """

    def __init__(self, refusal: replies.Refusal) -> None:
        super().__init__(f"the reply exceeds the limit {refusal.value}")
        self.refusal = refusal


class PendingReplies:
    """Limits of one peer, and the replies that are being read from it."""

    def __init__(self, limits: replies.ReplyLimits) -> None:
        """Starts without replies."""
        self._limits = limits
        self._lock = threading.Lock()
        self._bytes = 0

    def check(self, progress: replies.ReplyProgress) -> None:
        """Checks a reply.

        Raises:
            ReplyRefusedError: It exceeds a limit.
        """
        refusal = decisions.find_refusal(self._limits, progress, self._bytes)
        if refusal is not None:
            raise ReplyRefusedError(refusal)

    def add(self, progress: replies.ReplyProgress, size: int) -> None:
        """Counts bytes of a body, and checks the reply.

        Raises:
            ReplyRefusedError: It exceeds a limit.
        """
        progress.body += size
        with self._lock:
            self._bytes += size
        self.check(progress)

    def remove(self, progress: replies.ReplyProgress) -> None:
        """Removes the body of a reply that is no longer being read."""
        with self._lock:
            self._bytes -= progress.body


class _Source(io.RawIOBase):
    """Receives the bytes of one reply from a socket until a deadline."""

    def __init__(
        self, peer: socket.socket, pending: PendingReplies, deadline: float
    ) -> None:
        self.progress = replies.ReplyProgress()
        self._peer = peer
        self._pending = pending
        self._deadline = deadline
        self._stream = peer.makefile("rb", buffering=0)

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receives some bytes.

        Raises:
            ReplyRefusedError: The reply exceeds a limit.
            TimeoutError: The deadline has passed.
        """
        remaining = self._deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the reply is not complete at its deadline")
        timeout = self._peer.gettimeout()
        if timeout is None or remaining < timeout:
            self._peer.settimeout(remaining)
        count = self._stream.readinto(buffer)
        self.progress.received += count or 0
        self._pending.check(self.progress)
        return count

    def close(self) -> None:
        """Closes the stream of the socket."""
        self._stream.close()
        super().close()


class _Response(http.client.HTTPResponse):
    """A response that is read through a `_Source`."""

    def __init__(
        self, sock: socket.socket, *args: Any, source: _Source, **options: Any
    ) -> None:
        super().__init__(sock, *args, **options)
        self.fp.close()
        self.fp = io.BufferedReader(source)
        self._progress = source.progress

    def begin(self) -> None:
        """Reads the head."""
        super().begin()
        self._progress.head = self._progress.received


class Connection(urllib3.connection.HTTPConnection):
    """A connection that reads replies within limits.

    Attributes:
        timeouts_per_reply: How many times the timeout of one read a whole
            reply may take.
        progress: How much of the latest reply has been read.
    """

    timeouts_per_reply: ClassVar[float] = 1
    # Declared as a class by the library, which only calls it.
    response_class: Any

    def __init__(
        self, *args: Any, pending: PendingReplies, **options: Any
    ) -> None:
        """Creates a connection that is opened by its first request."""
        super().__init__(*args, **options)
        self.pending = pending
        self.progress = replies.ReplyProgress()

    # The types of this method differ between the two base classes, so that only
    # Any fits both.
    def getresponse(self) -> Any:
        """Reads the head of a reply; returns a `urllib3.HTTPResponse`."""
        timeout = self.timeout or 0.0
        source = _Source(
            self.sock,
            self.pending,
            time.monotonic() + timeout * self.timeouts_per_reply,
        )
        self.progress = source.progress
        self.response_class = functools.partial(_Response, source=source)
        return super().getresponse()


def read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Returns the body of a response of a `Connection`.

    The response is closed if the body cannot be read.

    Raises:
        OSError, urllib3.exceptions.HTTPError: The body exceeds a limit, or the
            connection failed.
    """
    connection = response.connection
    assert isinstance(connection, Connection)
    # Chunks of a few bytes would take many times their size as objects. The
    # value of this buffer is not copied, unlike that of a bytearray.
    body = io.BytesIO()
    try:
        for part in response.stream(READ_BYTES, decode_content=False):
            connection.pending.add(connection.progress, len(part))
            body.write(part)
        return body.getvalue()
    except BaseException:
        # The next call must not read the rest of this response.
        response.close()
        # The traceback still holds the buffer after the body has left the sum.
        body.close()
        raise
    finally:
        connection.pending.remove(connection.progress)
