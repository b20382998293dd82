"""A loopback proxy that delays, resets, silences or cuts one way."""

import contextlib
import enum
import random
import socket
import struct
import threading
import time

from gypsumhold.model import members

CHUNK_BYTES = 1 << 16
DELAY_S = (0.02, 0.6)
CONNECT_S = 2.0
RESET = struct.pack("ii", 1, 0)
"""Closing a socket that lingers for no time resets the connection."""


class Cut(enum.Enum):
    """What the proxy does to everything that passes."""

    NOTHING = "nothing"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    """Bytes are swallowed both ways, and the connection stays open."""

    NO_REPLY = "no-reply"
    """Requests arrive and are acted on; what comes back is swallowed."""

    NO_REQUEST = "no-request"


class Proxy:
    """Forwards connections to `target`; `cut` may change at any time."""

    def __init__(self, target: members.Address, seed: int) -> None:
        self.cut = Cut.NOTHING
        self._target = target
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = members.Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Ends all connections and threads."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._close_open()

    def begin(self, cut: Cut) -> None:
        """Applies a cut to open and new connections."""
        self.cut = cut
        if cut is Cut.RESET:
            self._close_open()

    def _close_open(self) -> None:
        with self._lock:
            opened, self._open = self._open, set()
        for item in opened:
            _reset(item)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                # The target may be stopped, so a connection may take a while.
                threading.Thread(
                    target=self._begin, args=(near,), daemon=True
                ).start()

    def _begin(self, near: socket.socket) -> None:
        if self.cut is Cut.RESET:
            _reset(near)
            return
        try:
            far = socket.create_connection(
                (self._target.host, self._target.port), timeout=CONNECT_S
            )
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        with self._lock:
            self._open |= {near, far}
        for source, sink, asks in ((near, far, True), (far, near, False)):
            threading.Thread(
                target=self._copy, args=(source, sink, asks), daemon=True
            ).start()

    def _copy(
        self, source: socket.socket, sink: socket.socket, asks: bool
    ) -> None:
        silent = Cut.NO_REQUEST if asks else Cut.NO_REPLY
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                cut = self.cut
                if cut in (Cut.SILENCE, silent):
                    # A gap in the stream must not be followed by more bytes.
                    while source.recv(CHUNK_BYTES):
                        continue
                    break
                if cut is Cut.DELAY:
                    time.sleep(self._random.uniform(*DELAY_S))
                sink.sendall(data)
        with self._lock:
            self._open -= {source, sink}
        for item in (source, sink):
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
        source.close()


def _reset(item: socket.socket) -> None:
    with contextlib.suppress(OSError):
        item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        item.shutdown(socket.SHUT_RDWR)
        item.close()
