"""Sits between entries and one agent and cuts their connections."""

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


class Cut(enum.Enum):
    """Where a connection is cut, once, when it carries the marker."""

    NOWHERE = "nowhere"
    BEFORE_CALL = "before-call"
    IN_CALL = "in-call"
    AFTER_CALL = "after-call"
    IN_REPLY = "in-reply"


@dataclasses.dataclass(slots=True)
class _Plan:
    """The next cut and whether new connections are refused after it."""

    marker: bytes = b""
    cut: Cut = Cut.NOWHERE
    isolate: bool = False


class Forwarder:
    """Forwards Thrift connections to an agent, and its announcements.

    Announcements are sent on with the forwarder's own address in place of the
    agent's, so that entries call the agent through it.

    Args:
        agent: Where the agent listens.
        entries: Where the entries receive announcements.
    """

    def __init__(
        self, agent: members.Address, entries: tuple[members.Address, ...]
    ) -> None:
        self._agent = agent
        self._entries = entries
        self._lock = threading.Lock()
        self._plan = _Plan()
        self._isolated = False
        self.happened = threading.Event()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = members.Address(*self._listener.getsockname())
        self._sender = datagrams.Sender(KEY)
        self._receiver = datagrams.Receiver(
            members.Address("127.0.0.1", 0), KEY
        )
        self.announcements = self._receiver.address
        for target in (self._accept, self._announce):
            threading.Thread(target=target, daemon=True).start()

    def plan(self, marker: str, cut: Cut, isolate: bool = False) -> None:
        """Cuts the first connection that carries the marker."""
        with self._lock:
            self._plan = _Plan(marker.encode(), cut, isolate)
            self._isolated = False
            self.happened.clear()

    def close(self) -> None:
        """Ends all connections and threads."""
        self._receiver.close()
        self._sender.close()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            for item in self._open:
                _shut(item)

    def _announce(self) -> None:
        self._receiver.serve(
            lambda told: self._sender.send(
                dataclasses.replace(told, address=self.address), self._entries
            )
        )

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._begin(near)

    def _begin(self, near: socket.socket) -> None:
        try:
            if self._isolated:
                raise ConnectionError
            far = socket.create_connection(
                (self._agent.host, self._agent.port), timeout=2
            )
        except OSError:
            near.close()
            return
        far.settimeout(None)
        with self._lock:
            self._open |= {near, far}
        calls, replies = (near, far, True), (far, near, False)
        for way in (calls, replies):
            threading.Thread(target=self._copy, args=way, daemon=True).start()

    def _copy(
        self, source: socket.socket, target: socket.socket, calls: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                part = self._cut(data, calls)
                target.sendall(data if part is None else data[:part])
                if part is not None:
                    self._finish_cut()
                    break
        _shut(source)
        _shut(target)
        with self._lock:
            self._open -= {source}
        source.close()

    def _finish_cut(self) -> None:
        with self._lock:
            for item in self._open if self._isolated else ():
                _shut(item)
        self.happened.set()

    def _cut(self, data: bytes, calls: bool) -> int | None:
        """Returns after how many bytes to cut, or None."""
        with self._lock:
            plan = self._plan
            due = plan.cut is not Cut.NOWHERE and plan.marker in data
            if not due or calls == (plan.cut is Cut.IN_REPLY):
                return None
            self._plan = _Plan()
            self._isolated = plan.isolate
        return {
            Cut.BEFORE_CALL: 0,
            Cut.AFTER_CALL: len(data),
        }.get(plan.cut, len(data) // 2)


def _shut(item: socket.socket) -> None:
    with contextlib.suppress(OSError):
        item.shutdown(socket.SHUT_RDWR)
