"""A server whose answers have no end."""

import contextlib
import socket
import threading

from gypsumhold.model import members
from tests.processes import crowd

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = b"X-Y: z\r\n" * 8192

STREAMS = {
    "interim answers": crowd.Stream(b"", b"HTTP/1.1 100 Go\r\n\r\n" * 4096),
    "status line": crowd.Stream(b"HTTP/1.1 200 "),
    "header line": crowd.Stream(HEAD + b"X: "),
    "header lines": crowd.Stream(HEAD, LINES),
    "declared body": crowd.Stream(HEAD + b"Content-Length: 9999999999\r\n\r\n"),
    "chunk-size line": crowd.Stream(CHUNKED + b"1;"),
    "declared chunk": crowd.Stream(CHUNKED + b"40000000\r\n"),
    "chunks": crowd.Stream(CHUNKED, b"1000\r\n" + b"a" * 0x1000 + b"\r\n"),
    "small chunks": crowd.Stream(CHUNKED, b"2\r\naa\r\n" * 8192),
    "trailer line": crowd.Stream(CHUNKED + b"0\r\nX: "),
    "trailer lines": crowd.Stream(CHUNKED + b"0\r\n", LINES),
}


class EndlessServer:
    """Answers the first request of each connection with a stream.

    Attributes:
        address: Where the server listens.
        refused: Number of answers that the client did not read to the end.
        completed: Number of answers that were sent as far as they go.
    """

    def __init__(
        self,
        stream: crowd.Stream,
        pause_s: float = 0,
        blocks: int | None = None,
    ) -> None:
        """Starts to listen.

        Args:
            stream: Bytes of each answer.
            pause_s: Pause after each block.
            blocks: Number of blocks; by default those of ENDLESS_BYTES.
        """
        self.refused = 0
        self.completed = 0
        self._stream = stream
        self._pause_s = pause_s
        self._blocks = blocks or crowd.ENDLESS_BYTES // len(stream.block)
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._listener = socket.create_server((crowd.HOST, 0))
        self.address = members.Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accepts no more connections and ends the answers."""
        self._closed.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def count_ended(self) -> int:
        """Returns the number of answers that have ended."""
        with self._lock:
            return self.refused + self.completed

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                peer = self._listener.accept()[0]
                threading.Thread(
                    target=self._answer, args=(peer,), daemon=True
                ).start()

    def _answer(self, peer: socket.socket) -> None:
        with peer:
            peer.settimeout(crowd.WAIT_S)
            try:
                if not peer.recv(65_536):
                    return
                self._send(peer)
            except OSError:
                with self._lock:
                    self.refused += 1
            else:
                with self._lock:
                    self.completed += 1

    def _send(self, peer: socket.socket) -> None:
        peer.sendall(self._stream.start)
        for _ in range(self._blocks):
            peer.sendall(self._stream.block)
            if self._closed.wait(self._pause_s):
                raise ConnectionAbortedError
