"""Serves what has arrived when a listener stops."""

import os
import threading
import time
from typing import Any

import logbook

from gypsumhold.adapters import connection_filter
from gypsumhold.adapters.listeners import connections, managers
from gypsumhold.model import clients

_LOG = logbook.Logger("gypsumhold.web")

# Longest wait for the next connection that was being opened during the close.
FINAL_ACCEPT_TIMEOUT_S = 0.02

# Longest wait for the request on a connection accepted during the close.
FINAL_READ_TIMEOUT_S = 1


class DrainingManager(managers.ConnectionManager):
    """Serves the requests that have already arrived when the server stops."""

    def stop(self) -> None:
        """Ends the selector loop, then serves the waiting connections.

        cheroot closes its sockets about 10 ms after it last polled them. It
        would reset a connection or request that arrives in between, and the
        caller could not tell whether the request ran.
        """
        self._stop_requested = True
        os.eventfd_write(self._wake_descriptor, 1)
        super().stop()
        # The thread of the selector has ended its loop.
        self._selector_thread = threading.get_ident()
        server = self.server
        try:
            connection_filter.drop_new_connections(server.socket)
        except OSError as problem:
            _LOG.info("new connections cannot be held back: {}", problem)
        accepted = []
        for _ in range(server.request_queue_size):
            conn = self._accept_last()
            if conn is None:
                break
            accepted.append(conn)
            with self._lock:
                self._accept(conn)
        if self._accepts:
            self._selector.unregister(server.socket.fileno())
        server.socket.close()
        server.socket = None
        self._poll(0)
        self._serve_last(accepted)
        with self._lock:
            self._stopped = True

    def _accept_last(self) -> Any:
        """Returns the next waiting connection, or None."""
        self.server.socket.settimeout(FINAL_ACCEPT_TIMEOUT_S)
        return self._from_server_socket(self.server.socket)

    def _serve_last(self, accepted: list[connections.Connection]) -> None:
        """Receives the requests and sends the answers that are under way."""
        read_end = time.monotonic() + FINAL_READ_TIMEOUT_S
        write_end = time.monotonic() + managers.FINAL_WRITE_TIMEOUT_S
        while (now := time.monotonic()) < write_end:
            with self._lock:
                phases = {
                    client.phase for client in self._state.clients.values()
                }
                is_reading = clients.Phase.READING in phases or any(
                    self._is_idle(conn) for conn in accepted
                )
            is_reading = is_reading and now < read_end
            if not is_reading and clients.Phase.WRITING not in phases:
                return
            self._poll(0.05)

    def _is_idle(self, conn: connections.Connection) -> bool:
        client = self._state.clients.get(conn.number)
        return client is not None and client.phase is clients.Phase.IDLE
