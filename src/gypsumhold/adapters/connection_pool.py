"""Authenticated client connections, kept per address while idle."""

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
        max_idle: Idle connections to one address at most.
        idle_time: How long an idle connection is kept. It has to be shorter
            than the server's, so that the client closes first.
        opening_time: Limit of the connect and the handshake together.
        max_message: Longest message in bytes.
    """

    max_idle: int = 16
    idle_time: datetime.timedelta = datetime.timedelta(seconds=30)
    opening_time: datetime.timedelta = datetime.timedelta(seconds=2)
    max_message: int = thrift_encoding.MAX_MESSAGE_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    connection: framing.Connection
    since: float


class ConnectionPool:
    """Opens, keeps and closes connections; any thread may use it.

    Close it after use; it owns one thread, which sleeps until the oldest
    idle connection is due.
    """

    def __init__(self, key: bytes, options: PoolOptions) -> None:
        self._key = key
        self._options = options
        self._idle_seconds = options.idle_time.total_seconds()
        self._changed = threading.Condition()
        self._idle: dict[members.Address, collections.deque[_Idle]] = {}
        self._closed = False
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
        """Returns an idle connection, or a new one after its handshake.

        Idle connections that the peer has closed are dropped.
        """
        while not fresh and (found := self._take_idle(address)) is not None:
            if found.is_idle():
                return Success(found)
            found.close()
        try:
            return self._open(address, deadline)
        except (OSError, framing.ConnectionFailed) as problem:
            return Failure(
                errors.Error(
                    errors.ErrorKind.PEER_UNAVAILABLE,
                    f"no connection to {address}: {problem}",
                    "check that the peer runs and can be reached",
                )
            )

    def release(
        self, address: members.Address, connection: framing.Connection
    ) -> None:
        """Keeps a connection without a call in progress for later."""
        with self._changed:
            kept = self._idle.setdefault(address, collections.deque())
            if not self._closed and len(kept) < self._options.max_idle:
                kept.append(_Idle(connection, time.monotonic()))
                self._changed.notify()
                return
        connection.close()

    def close(self) -> None:
        """Closes the idle connections; others close when given back."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._reaper.join()

    def _take_idle(self, address: members.Address) -> framing.Connection | None:
        with self._changed:
            kept = self._idle.get(address)
            # The latest one is the least likely to be closed by the peer.
            return kept.pop().connection if kept else None

    def _open(
        self, address: members.Address, deadline: framing.Deadline
    ) -> Result[framing.Connection, errors.Error]:
        limit = deadline.limit(self._options.opening_time)
        connection = framing.Connection.open(
            address, self._options.max_message, limit
        )
        try:
            greeted = handshake.authenticate_server(
                connection, self._key, limit
            )
        except BaseException:
            connection.close()
            raise
        if isinstance(greeted, Failure):
            connection.close()
        return greeted.map(lambda _: connection)

    def _reap(self) -> None:
        while True:
            with self._changed:
                due = self._collect_due()
                if not due and not self._closed:
                    self._changed.wait(self._find_pause())
                    continue
            for connection in due:
                connection.close()
            if self._closed:
                return

    def _collect_due(self) -> list[framing.Connection]:
        limit = time.monotonic() - self._idle_seconds
        due = []
        for address, kept in list(self._idle.items()):
            while kept and (self._closed or kept[0].since <= limit):
                due.append(kept.popleft().connection)
            if not kept:
                del self._idle[address]
        return due

    def _find_pause(self) -> float | None:
        oldest = [kept[0].since for kept in self._idle.values()]
        if not oldest:
            return None
        return max(0.0, min(oldest) + self._idle_seconds - time.monotonic())
