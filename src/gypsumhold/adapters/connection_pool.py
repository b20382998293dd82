"""A pool of authenticated client connections to peers.

Connections are kept open for reuse, by address, until they expire.
"""

import collections
import dataclasses
import datetime
import threading
import time

from returns.result import Failure, Result, Success

from gypsumhold.adapters import framing, handshake, thrift_encoding
from gypsumhold.model import errors, members


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOptions:
    """Limits of a pool.

    Attributes:
        max_idle: Maximum number of idle connections to one address.
        idle_time: How long an idle connection is kept. It has to be shorter
            than the idle time of the server, so that the client closes first.
        open_timeout: Limit for the connect and the handshake together.
        max_message: Limit on the size of a message, in bytes.
    """

    max_idle: int = 16
    idle_time: datetime.timedelta = datetime.timedelta(seconds=30)
    open_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    max_message: int = thrift_encoding.MAX_MESSAGE_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection without a call and the monotonic time of its release."""

    connection: framing.Connection
    released_at: float


class ConnectionPool:
    """Opens, reuses and closes connections; safe for several threads.

    The pool has to be closed after use. It owns one thread, which sleeps until
    the oldest idle connection expires and then closes it.
    """

    def __init__(self, key: bytes, options: PoolOptions) -> None:
        self._key = key
        self._options = options
        self._idle_seconds = options.idle_time.total_seconds()
        self._changed = threading.Condition()
        self._idle: dict[
            members.Address, collections.deque[_IdleConnection]
        ] = {}
        self._closed = False
        self._reaper_sleeps = False
        self._reaper = threading.Thread(
            target=self._reap, name="peer-reaper", daemon=True
        )
        self._reaper.start()

    def acquire(
        self,
        address: members.Address,
        deadline: framing.Deadline,
        fresh: bool = False,
    ) -> Result[framing.Connection, errors.Error]:
        """Returns an idle connection or opens a new one.

        Idle connections that the peer has closed are closed and skipped.

        Args:
            address: Address of the peer.
            deadline: Deadline of the call that needs the connection.
            fresh: Whether the connection has to be new.

        Returns:
            A connection whose handshake is done, or a PEER_UNAVAILABLE error
            or the error of the handshake.
        """
        while not fresh and (reused := self._pop_idle(address)) is not None:
            if reused.is_idle():
                return Success(reused)
            reused.close()
        try:
            return self._open(address, deadline)
        except (OSError, framing.ConnectionFailedError) as problem:
            return Failure(
                errors.Error(
                    errors.ErrorKind.PEER_UNAVAILABLE,
                    f"no connection to {address}: {problem}",
                    "check that the peer runs and is reachable",
                )
            )

    def release(
        self, address: members.Address, connection: framing.Connection
    ) -> None:
        """Returns a connection without a call in progress to the pool."""
        with self._changed:
            idle = self._idle.setdefault(address, collections.deque())
            if not self._closed and len(idle) < self._options.max_idle:
                idle.append(_IdleConnection(connection, time.monotonic()))
                # A reaper that waits for an expiry wakes early enough.
                if self._reaper_sleeps:
                    self._changed.notify()
                return
        connection.close()

    def close(self) -> None:
        """Closes the idle connections; those in use are closed on release."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._reaper.join()

    def _pop_idle(self, address: members.Address) -> framing.Connection | None:
        with self._changed:
            idle = self._idle.get(address)
            # The connection that was released last is the least likely to have
            # been closed by the peer.
            return idle.pop().connection if idle else None

    def _open(
        self, address: members.Address, deadline: framing.Deadline
    ) -> Result[framing.Connection, errors.Error]:
        open_deadline = deadline.limit(self._options.open_timeout)
        connection = framing.Connection.open(
            address, self._options.max_message, open_deadline
        )
        try:
            authenticated = handshake.authenticate_server(
                connection, self._key, open_deadline
            )
        except BaseException:
            connection.close()
            raise
        if isinstance(authenticated, Failure):
            connection.close()
        return authenticated.map(lambda _: connection)

    def _reap(self) -> None:
        """Closes expired connections until the pool is closed."""
        while True:
            with self._changed:
                expired = self._remove_expired()
                if not expired and not self._closed:
                    wait = self._compute_wait()
                    self._reaper_sleeps = wait is None
                    self._changed.wait(wait)
                    continue
            for connection in expired:
                connection.close()
            if self._closed:
                return

    def _remove_expired(self) -> list[framing.Connection]:
        """Removes and returns the expired connections; all of them at close."""
        cutoff = time.monotonic() - self._idle_seconds
        expired = []
        for address, idle in list(self._idle.items()):
            while idle and (self._closed or idle[0].released_at <= cutoff):
                expired.append(idle.popleft().connection)
            if not idle:
                del self._idle[address]
        return expired

    def _compute_wait(self) -> float | None:
        """Returns the seconds until the next expiry; None if none is idle."""
        oldest = [idle[0].released_at for idle in self._idle.values()]
        if not oldest:
            return None
        return max(0.0, min(oldest) + self._idle_seconds - time.monotonic())
