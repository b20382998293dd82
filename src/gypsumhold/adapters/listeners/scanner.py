"""Finds the end of an HTTP request in the bytes that have arrived.

The scanner does not check a request. It only tells when a thread can parse it
without waiting for more bytes, and keeps each part of it within a limit.
"""

import dataclasses
import enum
import re

MAX_HEADER_BYTES = 65_536
MAX_LINE_BYTES = 8192
"""Longest line of a chunked body: the size of a chunk, or a trailer."""

MAX_FRAMING_BYTES = 65_536
FRAMING_SHARE = 64
"""A chunked body may have one byte of framing for this many bytes of data,
besides MAX_FRAMING_BYTES. Decoding a body of tiny chunks takes long."""

_HEAD_END = b"\r\n\r\n"
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_FIELDS = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect):[ \t]*([^\r\n]*)", re.I
)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")


class Progress(enum.Enum):
    """How far a request has arrived."""

    INCOMPLETE = enum.auto()
    COMPLETE = enum.auto()
    REFUSED = enum.auto()
    """The request is malformed, too large or of a kind that is not accepted,
    whatever follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a listener accepts.

    Attributes:
        max_body_bytes: Largest size of a body.
        accepts_chunks: Whether a body may be chunked.
    """

    max_body_bytes: int
    accepts_chunks: bool = False


class Scanner:
    """Scans one request; a new one is needed for the next request.

    Attributes:
        end: Index of the first byte after the request, once it is complete.
        head_end: Index of the first byte after the headers.
        spans: Start and end of the data of each chunk.
        is_chunked: Whether the body is chunked.
        awaits_continue: Whether the client waits for a provisional answer
            before it sends the body.
    """

    def __init__(self, limits: RequestLimits) -> None:
        self.end = 0
        self.head_end = 0
        self.spans: list[tuple[int, int]] = []
        self.is_chunked = False
        self.awaits_continue = False
        self._limits = limits
        self._searched = 0
        self._has_head = False
        self._in_trailers = False
        self._framing = 0
        self._body = 0

    def advance(self, data: bytearray) -> Progress:
        """Scans the bytes that were added to `data` since the last call."""
        if not self._has_head:
            progress = self._scan_head(data)
            if progress is not Progress.INCOMPLETE or not self._has_head:
                return progress
        if self.is_chunked:
            return self._scan_chunks(data)
        if len(data) >= self.end:
            return Progress.COMPLETE
        return Progress.INCOMPLETE

    def _scan_head(self, data: bytearray) -> Progress:
        start = max(0, self._searched - len(_HEAD_END) + 1)
        index = data.find(_HEAD_END, start)
        if index < 0:
            self._searched = len(data)
            if len(data) > MAX_HEADER_BYTES or _BARE_LINE_FEED.search(
                data, start
            ):
                return Progress.REFUSED
            return Progress.INCOMPLETE
        self.end = self.head_end = index + len(_HEAD_END)
        if self.end > MAX_HEADER_BYTES:
            return Progress.REFUSED
        self._has_head = True
        return self._read_fields(_FIELDS.findall(data, 0, index + 2))

    def _read_fields(self, fields: list[tuple[bytes, bytes]]) -> Progress:
        """Reads the header fields that tell where the body ends."""
        framing = []
        for name, value in fields:
            if name.lower() != b"expect":
                framing.append((name.lower(), value.strip(b" \t")))
            elif value.strip(b" \t").lower() == b"100-continue":
                self.awaits_continue = True
        if not framing:
            return Progress.INCOMPLETE
        name, value = framing[0]
        if len(framing) > 1:
            return Progress.REFUSED
        if name == b"transfer-encoding":
            self.is_chunked = True
            self._searched = self.end
            is_accepted = (
                self._limits.accepts_chunks and value.lower() == b"chunked"
            )
            return Progress.INCOMPLETE if is_accepted else Progress.REFUSED
        if not value.isdigit() or len(value) > len(str(2**63)):
            return Progress.REFUSED
        if int(value) > self._limits.max_body_bytes:
            return Progress.REFUSED
        self.end += int(value)
        return Progress.INCOMPLETE

    def _scan_chunks(self, data: bytearray) -> Progress:
        """Scans a chunked body from `_searched`, the start of a line."""
        while self._searched <= len(data):
            start = self._searched
            if data[start - 2 : start] != b"\r\n":
                # Neither a line nor the data of a chunk ended here.
                return Progress.REFUSED
            line_end = data.find(b"\n", start, start + MAX_LINE_BYTES)
            if line_end < 0:
                if len(data) - start >= MAX_LINE_BYTES:
                    return Progress.REFUSED
                return Progress.INCOMPLETE
            self._searched = line_end + 1
            self._framing += self._searched - start
            line = bytes(data[start : self._searched])
            if self._in_trailers:
                if line == b"\r\n":
                    self.end = self._searched
                    return Progress.COMPLETE
            elif not self._start_chunk(line):
                return Progress.REFUSED
            if self._framing > self._get_max_framing():
                return Progress.REFUSED
        return Progress.INCOMPLETE

    def _start_chunk(self, line: bytes) -> bool:
        """Returns whether a line that gives the size of a chunk is accepted."""
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            return False
        size = int(match[1], 16)
        self._body += size
        if size == 0:
            self._in_trailers = True
            return True
        self.spans.append((self._searched, self._searched + size))
        self._searched += size + len(b"\r\n")
        self._framing += len(b"\r\n")
        return self._body <= self._limits.max_body_bytes

    def _get_max_framing(self) -> int:
        return MAX_FRAMING_BYTES + self._body // FRAMING_SHARE
