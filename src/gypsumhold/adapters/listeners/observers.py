"""Counts and logs the clients that a listener closed or refused."""

import abc
import collections
import threading
import time

import logbook

from gypsumhold.model import clients

_LOG = logbook.Logger("gypsumhold.listeners")

_LOG_INTERVAL_S = 10.0
"""Minimum interval between log lines of one listener, so that a crowd cannot
fill the log."""


class ClientObserver(abc.ABC):
    """Is told which clients a listener closed or refused."""

    @abc.abstractmethod
    def count_client(self, listener: str, reason: clients.Reason) -> None:
        """Counts a client that was closed or refused; called by any thread."""


class ClientLog:
    """Passes counts of one listener on, and logs them at intervals."""

    def __init__(self, listener: str, observer: ClientObserver | None) -> None:
        """Creates a log for a listener; `observer` may be None."""
        self._listener = listener
        self._observer = observer
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._next_log_time = 0.0

    def add(self, reason: clients.Reason, host: str) -> None:
        """Counts a client; ends of idle connections are left out."""
        if reason in clients.EXPECTED_REASONS:
            return
        if self._observer is not None:
            self._observer.count_client(self._listener, reason)
        with self._lock:
            self._counts[reason.value] += 1
            if time.monotonic() < self._next_log_time:
                return
            text = ", ".join(
                f"{name}: {count}" for name, count in self._counts.items()
            )
            self._counts.clear()
            self._next_log_time = time.monotonic() + _LOG_INTERVAL_S
        _LOG.warning(
            "listener {}: clients closed or refused: {}; the last one is {}",
            self._listener,
            text,
            host,
        )
