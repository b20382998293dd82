"""Proxy between the entries and one agent that cuts connections on request."""

import contextlib
import dataclasses
import enum
import socket
import threading

import cluster_settings

from gypsumhold.adapters import datagrams
from gypsumhold.model import members

KEY = cluster_settings.DEPLOYMENT_KEY.encode()
CHUNK_BYTES = 1 << 20
CANCEL_MARKER = b"cancel"
"""Name of the call in the messages that cancel an attempt."""


class CutPoint(enum.Enum):
    """Point of a call at which a connection with the marker is cut, once."""

    NOWHERE = "nowhere"
    BEFORE_CALL = "before-call"
    """The data with the marker is not forwarded to the agent."""

    IN_CALL = "in-call"
    """Half of the data is forwarded to the agent."""

    AFTER_CALL = "after-call"
    """All of the data is forwarded to the agent."""

    IN_REPLY = "in-reply"
    """Half of the reply with the marker is forwarded to the entry."""


@dataclasses.dataclass(slots=True)
class _ScheduledCut:
    """The next cut.

    Attributes:
        marker: Bytes that select the connection.
        cut: Point at which the connection is cut.
        isolate: Whether to end all other connections and refuse new ones
            after the cut.
        cut_cancel: Whether to cut the next cancel as well, before it reaches
            the agent.
    """

    marker: bytes = b""
    cut: CutPoint = CutPoint.NOWHERE
    isolate: bool = False
    cut_cancel: bool = False


class Forwarder:
    """Forwards Thrift connections to an agent, and its announcements.

    Announcements are forwarded with the address of the forwarder in place of
    the agent's, so that entries call the agent through the forwarder.

    Args:
        agent: Address at which the agent listens.
        entries: Addresses at which the entries receive announcements.
    """

    def __init__(
        self, agent: members.Address, entries: tuple[members.Address, ...]
    ) -> None:
        self._agent = agent
        self._entries = entries
        self._lock = threading.Lock()
        self._scheduled = _ScheduledCut()
        self._isolated = False
        self.cut_done = threading.Event()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = members.Address(*self._listener.getsockname())
        self._sender = datagrams.Sender(KEY)
        self._receiver = datagrams.Receiver(
            members.Address("127.0.0.1", 0), KEY
        )
        self.announcements = self._receiver.address
        for target in (self._accept_connections, self._forward_announcements):
            threading.Thread(target=target, daemon=True).start()

    def schedule_cut(
        self,
        marker: str,
        cut: CutPoint,
        isolate: bool = False,
        cut_cancel: bool = False,
    ) -> None:
        """Schedules a cut of the first connection that carries the marker.

        Connections are accepted again after an earlier isolation.
        """
        with self._lock:
            self._scheduled = _ScheduledCut(
                marker.encode(), cut, isolate, cut_cancel
            )
            self._isolated = False
            self.cut_done.clear()

    def close(self) -> None:
        """Closes all connections, which ends their threads."""
        self._receiver.close()
        self._sender.close()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            for connection in self._open:
                _shut(connection)

    def _forward_announcements(self) -> None:
        self._receiver.serve(
            lambda announcement: self._sender.send(
                dataclasses.replace(announcement, address=self.address),
                self._entries,
            )
        )

    def _accept_connections(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller_socket, _ = self._listener.accept()
                self._connect(caller_socket)

    def _connect(self, caller_socket: socket.socket) -> None:
        """Connects a caller to the agent and copies both directions."""
        try:
            if self._isolated:
                raise ConnectionError
            agent_socket = socket.create_connection(
                (self._agent.host, self._agent.port), timeout=2
            )
        except OSError:
            caller_socket.close()
            return
        agent_socket.settimeout(None)
        with self._lock:
            self._open |= {caller_socket, agent_socket}
        requests, replies = (
            (caller_socket, agent_socket, True),
            (agent_socket, caller_socket, False),
        )
        for direction in (requests, replies):
            threading.Thread(
                target=self._copy, args=direction, daemon=True
            ).start()

    def _copy(
        self, source: socket.socket, target: socket.socket, is_request: bool
    ) -> None:
        """Copies data in one direction until the end or a cut."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                position = self._find_cut(data, is_request)
                target.sendall(data if position is None else data[:position])
                if position is not None:
                    self._complete_cut()
                    break
        _shut(source)
        _shut(target)
        with self._lock:
            self._open -= {source}
        source.close()

    def _complete_cut(self) -> None:
        """Ends the other connections if the cut isolates the agent."""
        with self._lock:
            for connection in self._open if self._isolated else ():
                _shut(connection)
        self.cut_done.set()

    def _find_cut(self, data: bytes, is_request: bool) -> int | None:
        """Returns the number of bytes to forward before the cut, or None.

        A cut that is due is removed from the schedule, or replaced by that of
        the next cancel.
        """
        with self._lock:
            scheduled = self._scheduled
            is_due = (
                scheduled.cut is not CutPoint.NOWHERE
                and scheduled.marker in data
            )
            if not is_due or is_request == (scheduled.cut is CutPoint.IN_REPLY):
                return None
            self._scheduled = (
                _ScheduledCut(CANCEL_MARKER, CutPoint.BEFORE_CALL)
                if scheduled.cut_cancel
                else _ScheduledCut()
            )
            self._isolated = scheduled.isolate
        return {
            CutPoint.BEFORE_CALL: 0,
            CutPoint.AFTER_CALL: len(data),
        }.get(scheduled.cut, len(data) // 2)


def _shut(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
