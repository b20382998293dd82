"""What a request handler reads from and writes to; neither waits."""

import socket
from typing import Any


class RequestReader:
    """Bytes of a client; the request handler reads one request of them.

    Attributes:
        data: All bytes that have arrived and were not released.
        bytes_read: Always 0; cheroot requires the attribute for statistics.
        closed: Whether the reader is closed; cheroot requires the attribute
            to stop a thread that is busy for longer than its timeout.
    """

    def __init__(self) -> None:
        self.closed = False
        self.data = bytearray()
        self.bytes_read = 0
        self._position = 0
        self._end = 0

    def merge_chunks(
        self, start: int, spans: list[tuple[int, int]], end: int
    ) -> int:
        """Replaces the chunks of a body by one, without trailers.

        Reading a body of many chunks takes time that grows with the square of
        their number.

        Args:
            start: Index of the first byte of the body.
            spans: Start and end of the data of each chunk.
            end: Index of the first byte after the body.

        Returns:
            Index of the first byte after the new body.
        """
        body = b"".join(bytes(self.data[first:last]) for first, last in spans)
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        merged = chunk + b"0\r\n\r\n"
        self.data[start:end] = merged
        return start + len(merged)

    def expose(self, end: int) -> None:
        """Lets the handler read the first `end` bytes."""
        self._position = 0
        self._end = min(end, len(self.data))

    def release(self) -> None:
        """Removes the bytes that were exposed."""
        del self.data[: self._end]
        self._position = self._end = 0

    def read(self, size: int | None = None) -> bytes:
        """Returns the next bytes, all that are left without `size`."""
        left = self._end - self._position
        count = left if size is None or size < 0 else min(size, left)
        return self._take(self._position + count)

    def readline(self, size: int | None = None) -> bytes:
        """Returns the rest of a line, at most `size` bytes of it."""
        end = self._end
        if size is not None and size >= 0:
            end = min(end, self._position + size)
        index = self.data.find(b"\n", self._position, end)
        return self._take(end if index < 0 else index + 1)

    def _take(self, end: int) -> bytes:
        with memoryview(self.data) as view:
            taken = bytes(view[self._position : end])
        self._position = end
        if end == self._end:
            # Large bodies are kept only once while they are handled.
            self.release()
        return taken

    def has_data(self) -> bool:
        """Returns False: what has arrived is scanned before it is read."""
        return False

    def close(self) -> None:
        """Releases the memory."""
        self.closed = True
        self.data = bytearray()
        self._position = self._end = 0


class ResponseWriter:
    """Writes what the socket takes at once and keeps the rest.

    Attributes:
        unsent: Bytes that the socket has not taken yet.
        bytes_written: Always 0; cheroot requires the attribute.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.unsent = bytearray()
        self.bytes_written = 0
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Writes bytes and returns their number; never blocks.

        Raises:
            OSError: The connection is broken.
        """
        sent = 0 if self.unsent else self._send(data)
        if sent < len(data):
            with memoryview(data) as view:
                self.unsent += view[sent:]
        return len(data)

    def send_more(self) -> None:
        """Sends what the socket takes of the unsent bytes.

        Raises:
            OSError: The connection is broken.
        """
        del self.unsent[: self._send(self.unsent)]

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0


def make_file(sock: socket.socket, mode: str, _size: int) -> Any:
    """Returns the stream of a socket in the form that cheroot calls for."""
    return RequestReader() if "r" in mode else ResponseWriter(sock)
