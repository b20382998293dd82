"""Server of the processes' own protocol: one thread for each connection."""

import contextlib
import dataclasses
import datetime
import socket
import threading
import time

import logbook
from returns.result import Failure

from gypsumhold.adapters import framing, handshake, services, thrift_encoding
from gypsumhold.model import members

_log = logbook.Logger(__name__)
_BACKLOG = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Limits of a server.

    Attributes:
        max_connections: Connections at once; further ones are closed before
            the handshake, which their clients see as not sent.
        handshake_time: Limit of the handshake.
        transfer_time: Limit of the transfer of one message.
        idle_time: How long a connection may stay without a call.
        max_message: Longest message in bytes.
    """

    max_connections: int = 1024
    handshake_time: datetime.timedelta = datetime.timedelta(seconds=2)
    transfer_time: datetime.timedelta = datetime.timedelta(seconds=10)
    idle_time: datetime.timedelta = datetime.timedelta(seconds=120)
    max_message: int = thrift_encoding.MAX_MESSAGE_BYTES


@dataclasses.dataclass(slots=True)
class _Session:
    """One connection; `busy` from the arrival of a call to its reply."""

    connection: framing.Connection
    peer: str
    busy: bool = False


class PeerServer:
    """Serves one service on one address until `close`."""

    def __init__(
        self,
        address: members.Address,
        service: services.AgentService
        | services.EntryService
        | services.JobService,
        key: bytes,
        options: ServerOptions | None = None,
    ) -> None:
        """Binds the address and begins to serve.

        Raises:
            OSError: The address is in use or not of this machine.
        """
        self._options = options or ServerOptions()
        self._processor = services.build_processor(service)
        self._key = key
        self._lock = threading.Lock()
        self._threads: dict[threading.Thread, _Session] = {}
        self._closing = False
        self._listener = socket.create_server(
            (address.host, address.port), backlog=_BACKLOG
        )
        host, port = self._listener.getsockname()
        self.address = members.Address(host, port)
        self._acceptor = threading.Thread(
            target=self._accept, name="peer-acceptor", daemon=True
        )
        self._acceptor.start()

    def close(self, grace: datetime.timedelta) -> bool:
        """Stops accepting, ends idle connections and waits for calls.

        Returns:
            Whether every call in progress ended within `grace`; the
            connections of the others are cut.
        """
        with self._lock:
            self._closing = True
            sessions = list(self._threads.values())
        # Wakes the acceptor; fails if this is not the first close.
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
        left = self._cut_connections()
        if left:
            _log.warning("{} calls cut off at the close", left)
        return left == 0

    def _list_threads(self) -> list[threading.Thread]:
        with self._lock:
            return list(self._threads)

    def _cut_connections(self) -> int:
        with self._lock:
            for session in self._threads.values():
                session.connection.abort()
            return len(self._threads)

    def _accept(self) -> None:
        while not self._closing:
            try:
                sock, peer = self._listener.accept()
            except OSError as problem:
                if not self._closing:
                    self._pause_accepting(problem)
                continue
            self._begin(sock, f"{peer[0]}:{peer[1]}")

    def _pause_accepting(self, problem: OSError) -> None:
        # Without file descriptors accept fails at once; a pause keeps the
        # thread from spinning until connections end.
        _log.error("accept failed: {}", problem)
        time.sleep(0.1)

    def _begin(self, sock: socket.socket, peer: str) -> None:
        connection = framing.Connection(sock, self._options.max_message)
        session = _Session(connection, peer)
        thread = threading.Thread(
            target=self._run,
            args=(session,),
            name="peer-connection",
            daemon=True,
        )
        with self._lock:
            full = len(self._threads) >= self._options.max_connections
            if not full and not self._closing:
                self._threads[thread] = session
                thread.start()
                return
        connection.close()
        if full:
            _log.warning("connection of {} refused: too many", peer)

    def _run(self, session: _Session) -> None:
        peer = session.peer
        with contextlib.ExitStack() as stack:
            stack.callback(self._forget, threading.current_thread())
            stack.callback(session.connection.close)
            try:
                self._greet_and_serve(session)
            except framing.ConnectionFailed as problem:
                _log.debug("connection of {} ended: {}", peer, problem)
            # The library raises many types for malformed bytes.
            except Exception as problem:
                _log.warning("connection of {} closed: {}", peer, problem)

    def _forget(self, thread: threading.Thread) -> None:
        with self._lock:
            del self._threads[thread]

    def _greet_and_serve(self, session: _Session) -> None:
        deadline = framing.Deadline(self._options.handshake_time)
        greeted = handshake.authenticate_client(
            session.connection, self._key, deadline
        )
        if isinstance(greeted, Failure):
            _log.warning("{}: {}", session.peer, greeted.failure())
            return
        while not self._closing:
            self._serve_call(session)

    def _serve_call(self, session: _Session) -> None:
        connection = session.connection
        idle = framing.Deadline(self._options.idle_time)
        length = connection.read_length(idle)
        session.busy = True
        deadline = framing.Deadline(self._options.transfer_time)
        message = connection.read(length, deadline)
        writer = thrift_encoding.build_writer()
        reader = thrift_encoding.build_reader(
            message, self._options.max_message
        )
        self._processor.process(reader, writer)
        deadline = framing.Deadline(self._options.transfer_time)
        connection.write_message(
            thrift_encoding.get_written_bytes(writer), deadline
        )
        session.busy = False
