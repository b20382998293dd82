"""Receives requests without blocking and hands complete ones to threads.

One thread receives the bytes of all clients and sends what clients were slow
to read. The threads of a listener only parse and answer requests that have
arrived, so that a client that sends or reads slowly holds none of them.
"""

import collections
import contextlib
import datetime
import itertools
import os
import selectors
import socket
import threading
import time
from typing import Any

import logbook
from cheroot import connections as cheroot_connections

from gypsumhold.adapters.listeners import connections, observers, scanner
from gypsumhold.decisions import reducer
from gypsumhold.model import clients

_LOG = logbook.Logger("gypsumhold.web")

RECEIVE_BYTES = 65_536
DISCARD_BYTES = 16 * 1024 * 1024
"""Most bytes of a refused request that are read and discarded.

Closing a socket with unread data resets the connection, so that the answer may
not arrive.
"""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Longest wait at the close for clients to read their answers.
FINAL_WRITE_TIMEOUT_S = 10


def _read_clock() -> datetime.timedelta:
    return datetime.timedelta(seconds=time.monotonic())


class ConnectionManager(cheroot_connections.ConnectionManager):
    """Carries out what the reducer decides about the connections.

    Any thread may hand a connection back or end it; it then registers or closes
    the socket itself, but leaves the effects to the thread of the selector.
    The lock covers the state, the registrations and the effects.
    """

    # The type stubs of cheroot lack these members.
    _selector: Any
    _from_server_socket: Any
    _stop_requested: bool

    def __init__(
        self,
        server: Any,
        limits: clients.ClientLimits,
        log: observers.ClientLog,
    ) -> None:
        super().__init__(server)
        self._state = clients.ClientState(limits)
        self._log = log
        self._lock = threading.RLock()
        self._numbers = itertools.count(1)
        self._open: dict[clients.ConnectionId, connections.Connection] = {}
        self._effects: collections.deque[clients.Effect] = collections.deque()
        self._wake_descriptor = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._selector.register(self._wake_descriptor, selectors.EVENT_READ)
        self._selector_thread: int | None = None
        self._accepts = True
        self._stopped = False

    def put(self, conn: Any) -> None:
        """Takes a connection back from a thread that has answered on it."""
        with self._lock:
            is_last = self._stopped or conn.is_closed
            if not is_last:
                self._take_back(conn)
        if is_last:
            self._flush(conn)

    def _take_back(self, conn: connections.Connection) -> None:
        """Waits for the next request, or for the client to read."""
        conn.is_served = False
        conn.rfile.release()
        conn.start_request()
        self._count_answer(conn)
        if conn.wfile.unsent:
            self._register(conn, selectors.EVENT_WRITE)
            return
        self._await_request(conn)

    def end(self, conn: connections.Connection) -> None:
        """Closes a connection after its answer; called by any thread."""
        with self._lock:
            is_last = self._stopped or conn.is_closed
            if not is_last:
                self._end(conn)
        if is_last:
            self._flush(conn)

    def _end(self, conn: connections.Connection) -> None:
        """Closes a connection once its client has read the answer."""
        conn.is_served = False
        conn.is_closing = True
        # No further request is answered.
        conn.rfile.close()
        if not conn.wfile.unsent and not conn.is_refused:
            self._close(conn)
            return
        self._count_answer(conn)
        if conn.wfile.unsent:
            self._register(conn, selectors.EVENT_WRITE)
        else:
            self._start_discarding(conn)

    def _count_answer(self, conn: connections.Connection) -> None:
        """Tells the reducer how much an answered connection holds."""
        self._dispatch(
            clients.AnswerWritten(
                conn.number, len(conn.wfile.unsent), len(conn.rfile.data)
            )
        )

    def _flush(self, conn: connections.Connection) -> None:
        """Sends the answer of a connection while the server stops.

        This waits for the client, so the lock must not be held: the other
        threads and the close would wait too.
        """
        if not conn.is_closed and conn.wfile.unsent:
            with contextlib.suppress(OSError):
                conn.socket.settimeout(FINAL_WRITE_TIMEOUT_S)
                conn.socket.sendall(conn.wfile.unsent)
        conn.close_socket()

    def _register(self, conn: connections.Connection, mask: int) -> None:
        self._selector.register(conn.socket.fileno(), mask, data=conn)

    def _unregister(self, conn: connections.Connection) -> None:
        # A connection that a thread handles is not registered.
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(conn.socket.fileno())

    def _dispatch(self, event: clients.Event) -> None:
        """Applies an event; the thread of the selector runs the effects."""
        emitted = reducer.reduce(self._state, event, _read_clock())
        if emitted:
            self._effects.extend(emitted)
            # The thread of the selector runs the effects before it waits.
            if threading.get_ident() != self._selector_thread:
                os.eventfd_write(self._wake_descriptor, 1)

    def _close(self, conn: connections.Connection) -> None:
        self._unregister(conn)
        if self._open.pop(conn.number, None) is not None:
            self._dispatch(clients.ConnectionClosed(conn.number))
        conn.close_socket()

    def _run(self, expiration_interval: float) -> None:
        """Serves the connections until a stop is requested."""
        self._selector_thread = threading.get_ident()
        next_check = time.monotonic() + expiration_interval
        while not self._stop_requested:
            self._poll(expiration_interval)
            if time.monotonic() >= next_check:
                with self._lock:
                    self._resume_accepting()
                    self._dispatch(clients.TimePassed())
                    self._run_effects()
                next_check = time.monotonic() + expiration_interval

    def _poll(self, timeout: float) -> None:
        """Waits for clients and serves those that are ready."""
        for descriptor, conn in self._selector.select(timeout=timeout):
            with self._lock:
                # A thread may have emitted effects on this connection. They
                # come first, so that a request that has arrived is handed over
                # before more bytes or the end of the stream are read.
                self._run_effects()
                if conn is self.server:
                    self._accept_new()
                elif conn is None:
                    os.eventfd_read(descriptor)
                else:
                    self._serve(conn)
                self._run_effects()

    def _accept_new(self) -> None:
        """Accepts a connection, or none for a while if that is impossible."""
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError as problem:
            # Without a free descriptor, each further attempt fails at once.
            _LOG.error("cannot accept a connection: {}", problem)
            self._selector.unregister(self.server.socket.fileno())
            self._accepts = False
            return
        if conn is not None:
            self._accept(conn)

    def _resume_accepting(self) -> None:
        if not self._accepts:
            self._accepts = True
            self._selector.register(
                self.server.socket.fileno(),
                selectors.EVENT_READ,
                data=self.server,
            )

    def _accept(self, conn: connections.Connection) -> None:
        """Starts to receive on a new connection."""
        conn.number = clients.ConnectionId(next(self._numbers))
        self._open[conn.number] = conn
        self._dispatch(
            clients.ConnectionOpened(
                conn.number, clients.ClientHost(conn.remote_addr or "")
            )
        )
        self._run_effects()
        if conn.is_closed:
            return
        # Most clients send the request together with the connection.
        self._receive(conn)
        self._run_effects()
        if not (conn.is_closed or conn.is_closing or conn.is_served):
            self._register(conn, selectors.EVENT_READ)

    def _serve(self, conn: connections.Connection) -> None:
        """Receives from a client, or sends to it."""
        if conn.is_closed or conn.is_served:
            # Changed by an earlier one of the events of the same poll.
            return
        try:
            if conn.wfile.unsent:
                self._send_rest(conn)
            elif conn.is_closing:
                self._discard(conn)
            else:
                self._receive(conn)
        except OSError:
            self._close(conn)

    def _receive(self, conn: connections.Connection) -> None:
        try:
            data = conn.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(conn)
            return
        conn.rfile.data += data
        self._scan(conn)

    def _await_request(self, conn: connections.Connection) -> None:
        """Waits for the next request, part of which may have arrived."""
        self._register(conn, selectors.EVENT_READ)
        if conn.rfile.data:
            self._scan(conn)

    def _scan(self, conn: connections.Connection) -> None:
        """Tells the reducer how much of a request has arrived."""
        progress = conn.scanner.advance(conn.rfile.data)
        conn.is_refused = progress is scanner.Progress.REFUSED
        self._dispatch(
            clients.RequestGrew(
                conn.number,
                len(conn.rfile.data),
                progress is not scanner.Progress.INCOMPLETE,
            )
        )
        if (
            progress is scanner.Progress.INCOMPLETE
            and conn.scanner.awaits_continue
            and not conn.has_continued
        ):
            conn.has_continued = True
            self._send_continue(conn)

    def _send_continue(self, conn: connections.Connection) -> None:
        """Asks for a body; ends a connection that does not take the answer."""
        with contextlib.suppress(OSError):
            conn.wfile.write(CONTINUE)
            if not conn.wfile.unsent:
                return
        self._close(conn)

    def _send_rest(self, conn: connections.Connection) -> None:
        """Sends more of an answer that the client was slow to read."""
        conn.wfile.send_more()
        if conn.wfile.unsent:
            self._count_answer(conn)
            return
        self._unregister(conn)
        if conn.is_closing and not conn.is_refused:
            self._close(conn)
        elif conn.is_closing:
            self._start_discarding(conn)
        else:
            self._count_answer(conn)
            self._await_request(conn)

    def _start_discarding(self, conn: connections.Connection) -> None:
        """Ends the answer, and discards what the client still sends."""
        self._dispatch(clients.DiscardStarted(conn.number))
        try:
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(conn)
            return
        self._register(conn, selectors.EVENT_READ)

    def _discard(self, conn: connections.Connection) -> None:
        data = conn.socket.recv(RECEIVE_BYTES)
        conn.discarded += len(data)
        if not data or conn.discarded > DISCARD_BYTES:
            self._close(conn)

    def _run_effects(self) -> None:
        """Carries out the effects that were emitted so far."""
        while self._effects:
            effect = self._effects.popleft()
            conn = self._open.get(effect.connection)
            if conn is None:
                continue
            match effect:
                case clients.ServeRequest():
                    self._hand_over(conn)
                case clients.RefuseRequest():
                    self._log.add(effect.reason, str(conn.remote_addr))
                    self._refuse(conn, effect.reason)
                case clients.CloseConnection():
                    self._log.add(effect.reason, str(conn.remote_addr))
                    self._close(conn)

    def _hand_over(self, conn: connections.Connection) -> None:
        """Lets a thread answer a request."""
        if conn.is_served or conn.is_closing:
            return
        self._unregister(conn)
        conn.is_served = True
        end = conn.scanner.end
        if conn.is_refused:
            end = len(conn.rfile.data)
            self._log.add(clients.Reason.MALFORMED, str(conn.remote_addr))
        elif conn.scanner.is_chunked:
            end = conn.rfile.merge_chunks(
                conn.scanner.head_end, conn.scanner.spans, end
            )
        conn.rfile.expose(end)
        self.server.process_conn(conn)

    def _refuse(
        self, conn: connections.Connection, reason: clients.Reason
    ) -> None:
        """Answers that a request has not run, and ends the connection."""
        self._unregister(conn)
        conn.is_refused = True
        conn.is_closing = True
        try:
            conn.wfile.write(self.server.render_refusal(reason))
        except OSError:
            self._close(conn)
            return
        self._end(conn)

    def close(self) -> None:
        """Closes the connections that no thread handles."""
        with self._lock:
            self._stopped = True
            for conn in list(self._open.values()):
                client = self._state.clients.get(conn.number)
                if client and client.phase is not clients.Phase.SERVING:
                    self._close(conn)
            self._selector.close()
            os.close(self._wake_descriptor)
            self._wake_descriptor = -1

    @property
    def _num_connections(self) -> int:
        """Number of open connections."""
        return len(self._open)
