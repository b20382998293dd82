"""Server of the Thrift protocol, with one thread for each connection."""

import contextlib
import dataclasses
import datetime
import socket
import threading
import time

import logbook
from returns.result import Failure

from gypsumhold.adapters import framing, handshake, services, thrift_encoding
from gypsumhold.adapters.listeners import observers
from gypsumhold.model import clients, members

_log = logbook.Logger(__name__)
_BACKLOG = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Limits of a server.

    Attributes:
        max_connections: Maximum number of open connections. Further ones are
            closed before the handshake, so that their clients know that the
            call was not sent.
        max_pending_handshakes: Maximum number of connections whose handshake is
            not completed. Further ones wait until a handshake ends or has taken
            `min_handshake_time`, so that clients without the key can keep the
            others waiting, but not for ever.
        min_handshake_time: Time after which a handshake may be given up for
            another connection.
        handshake_timeout: Longest duration of the handshake.
        transfer_timeout: Longest time to read or write one message.
        idle_time: Time without a call after which a connection is closed.
        max_message: Maximum size of a message in bytes.
    """

    max_connections: int = 1024
    max_pending_handshakes: int = 64
    min_handshake_time: datetime.timedelta = datetime.timedelta(seconds=1)
    handshake_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    transfer_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    idle_time: datetime.timedelta = datetime.timedelta(seconds=120)
    max_message: int = thrift_encoding.MAX_MESSAGE_BYTES


@dataclasses.dataclass(slots=True)
class _Session:
    """A connection of a client.

    `busy` is set from the arrival of a call until its reply is written.
    `is_pending` is set until the handshake is completed or given up.
    """

    connection: framing.Connection
    peer: str
    started: float
    busy: bool = False
    is_pending: bool = True


class PeerServer:
    """Serves a service on an address until `close` is called."""

    def __init__(
        self,
        address: members.Address,
        service: services.AgentService
        | services.EntryService
        | services.JobService,
        key: bytes,
        options: ServerOptions | None = None,
        observer: observers.ClientObserver | None = None,
    ) -> None:
        """Binds the address and starts to serve.

        Args:
            address: Address to listen on.
            service: Service that handles the calls.
            key: Key of the deployment.
            options: Limits of the server.
            observer: Counts the clients that were closed.

        Raises:
            OSError: The address is in use or does not belong to this host.
        """
        self._options = options or ServerOptions()
        self._processor = services.build_processor(service)
        self._key = key
        self._log = observers.ClientLog("peers", observer)
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._sessions: dict[threading.Thread, _Session] = {}
        self._closing = False
        self._listener = socket.create_server(
            (address.host, address.port), backlog=_BACKLOG
        )
        host, port = self._listener.getsockname()
        self.address = members.Address(host, port)
        self._acceptor = threading.Thread(
            target=self._accept_connections, name="peer-acceptor", daemon=True
        )
        self._acceptor.start()

    def close(self, grace: datetime.timedelta) -> bool:
        """Stops accepting calls and waits for those in progress.

        Idle connections are closed at once; connections whose call is still in
        progress after `grace` are aborted.

        Returns:
            Whether every call in progress completed within `grace`.
        """
        with self._lock:
            self._closing = True
            self._changed.notify_all()
            sessions = list(self._sessions.values())
        # Wakes the accepting thread; raises OSError on a second close.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._acceptor.join()
        self._listener.close()
        for session in sessions:
            if not session.busy:
                session.connection.stop_reading()
        end = time.monotonic() + grace.total_seconds()
        for thread in self._list_threads():
            thread.join(max(0.0, end - time.monotonic()))
        aborted = self._abort_connections()
        if aborted:
            _log.warning(
                "aborted {} calls that were in progress at the close", aborted
            )
        return aborted == 0

    def _list_threads(self) -> list[threading.Thread]:
        with self._lock:
            return list(self._sessions)

    def _abort_connections(self) -> int:
        """Aborts all connections and returns their number."""
        with self._lock:
            for session in self._sessions.values():
                session.connection.abort()
            return len(self._sessions)

    def _accept_connections(self) -> None:
        while not self._closing:
            self._wait_for_handshakes()
            try:
                sock, peer = self._listener.accept()
            except OSError as problem:
                if not self._closing:
                    self._pause_accepting(problem)
                continue
            self._start_session(sock, f"{peer[0]}:{peer[1]}")

    def _pause_accepting(self, problem: OSError) -> None:
        # While no file descriptor is free, accept fails immediately; without a
        # pause the thread would spin until a connection is closed.
        _log.error("cannot accept a connection: {}", problem)
        time.sleep(0.1)

    def _start_session(self, sock: socket.socket, peer: str) -> None:
        """Serves a connection in a new thread, or closes it.

        The connection is closed if the server is closing or already has the
        maximum number of connections. `peer` names the client in the log.
        """
        connection = framing.Connection(sock, self._options.max_message)
        session = _Session(connection, peer, time.monotonic())
        thread = threading.Thread(
            target=self._run_session,
            args=(session,),
            name="peer-connection",
            daemon=True,
        )
        with self._lock:
            full = len(self._sessions) >= self._options.max_connections
            if not full and not self._closing:
                self._sessions[thread] = session
                try:
                    thread.start()
                    return
                except RuntimeError as problem:
                    _log.error("cannot start a thread: {}", problem)
                    del self._sessions[thread]
        connection.close()
        if full:
            self._log.add(clients.Reason.CONNECTIONS, peer)

    def _wait_for_handshakes(self) -> None:
        """Waits while too many handshakes are in progress.

        Gives up the oldest one if it takes too long.
        """
        patience = self._options.min_handshake_time.total_seconds()
        with self._lock:
            while not self._closing:
                pending = [
                    session
                    for session in self._sessions.values()
                    if session.is_pending
                ]
                if len(pending) < self._options.max_pending_handshakes:
                    return
                oldest = pending[0]
                remaining = oldest.started + patience - time.monotonic()
                if remaining <= 0:
                    oldest.is_pending = False
                    oldest.connection.abort()
                    self._log.add(clients.Reason.HANDSHAKE, oldest.peer)
                    return
                self._changed.wait(remaining)

    def _end_handshake(self, session: _Session) -> None:
        with self._lock:
            session.is_pending = False
            self._changed.notify_all()

    def _run_session(self, session: _Session) -> None:
        peer = session.peer
        with contextlib.ExitStack() as stack:
            stack.callback(self._remove_session, threading.current_thread())
            stack.callback(session.connection.close)
            try:
                self._authenticate_and_serve(session)
            except framing.ConnectionFailedError as problem:
                _log.debug("connection of {} ended: {}", peer, problem)
            # The library raises various exceptions for invalid bytes.
            except Exception as problem:
                _log.warning(
                    "connection of {} closed after an error: {}", peer, problem
                )

    def _remove_session(self, thread: threading.Thread) -> None:
        with self._lock:
            del self._sessions[thread]
            self._changed.notify_all()

    def _authenticate_and_serve(self, session: _Session) -> None:
        deadline = framing.Deadline(self._options.handshake_timeout)
        authenticated = handshake.authenticate_client(
            session.connection, self._key, deadline
        )
        if isinstance(authenticated, Failure):
            _log.warning(
                "connection of {} refused: {}",
                session.peer,
                authenticated.failure(),
            )
            return
        self._end_handshake(session)
        while not self._closing:
            self._serve_call(session)

    def _serve_call(self, session: _Session) -> None:
        connection = session.connection
        idle = framing.Deadline(self._options.idle_time)
        length = connection.read_length(idle)
        session.busy = True
        deadline = framing.Deadline(self._options.transfer_timeout)
        message = connection.read(length, deadline)
        writer = thrift_encoding.build_writer()
        reader = thrift_encoding.build_reader(
            message, self._options.max_message
        )
        self._processor.process(reader, writer)
        deadline = framing.Deadline(self._options.transfer_timeout)
        connection.write_message(
            thrift_encoding.get_written_bytes(writer), deadline
        )
        session.busy = False
