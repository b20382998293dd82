"""Encodes and decodes Thrift structs in memory with size limits.

Uses the compact protocol, in C where the extension is installed.
"""

import itertools
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

try:
    from thrift.protocol import fastbinary
except ImportError:
    fastbinary = None

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of the body of a request or answer."""

MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 1024 * 1024
"""Maximum size of a message: the largest body, its headers and the envelope."""

MAX_ITEMS = 100_000
"""Maximum length of a list, set or map in a message.

The longest list at the target size has 31,000 batch tasks; a forged length
within the limit allocates less than 1 MB.
"""


class Protocol(TCompactProtocol.TCompactProtocol):
    """Compact protocol over bytes in memory, in C where available.

    The accelerated protocol class of the library imports the C extension in
    every constructor call, which takes longer than encoding a small message.
    """

    def __init__(self, transport: Any, limit: int) -> None:
        super().__init__(transport, limit, MAX_ITEMS)
        if fastbinary is not None:
            self._fast_decode = fastbinary.decode_compact
            self._fast_encode = fastbinary.encode_compact


class CallProtocol(Protocol):
    """Sets a sequence number on each call and verifies it in the reply.

    The generated client uses the number 0 for every call and ignores the
    number of the reply.
    """

    _sequence_numbers = itertools.count(1)

    def writeMessageBegin(  # noqa: N802
        self, name: str, type: int, seqid: int
    ) -> None:
        """Writes the envelope of a call with the next sequence number."""
        self._number = next(self._sequence_numbers) & 0x7FFFFFFF
        super().writeMessageBegin(name, type, self._number)

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802
        """Reads the envelope of a reply.

        Raises:
            ValueError: The reply belongs to another call.
        """
        name, kind, number = super().readMessageBegin()
        if number != self._number:
            raise ValueError(
                f"reply has number {number}, but the call has {self._number}"
            )
        return name, kind, number


def build_reader(message: bytes, limit: int) -> Protocol:
    """Returns a protocol that reads `message`, of at most `limit` bytes."""
    return Protocol(TTransport.TMemoryBuffer(message), limit)


def build_writer() -> Protocol:
    """Returns a protocol that writes to memory.

    `get_written_bytes` returns the result.
    """
    return Protocol(TTransport.TMemoryBuffer(), MAX_MESSAGE_BYTES)


def get_written_bytes(writer: Protocol) -> bytes:
    """Returns the bytes written to `writer`."""
    written: bytes = writer.trans.getvalue()
    return written


def encode_struct(struct: Any) -> bytes:
    """Encodes a struct in the compact protocol."""
    writer = build_writer()
    struct.write(writer)
    return get_written_bytes(writer)


def decode_struct(struct: Any, data: bytes) -> Any:
    """Decodes `data` into `struct` and returns it.

    Raises:
        ValueError: `data` is not a valid encoding, or bytes follow it.
    """
    reader = build_reader(data, len(data))
    try:
        struct.read(reader)
    # The decoder raises various exceptions for invalid bytes, such as
    # TypeError.
    except Exception as problem:
        raise ValueError(str(problem)) from problem
    if reader.trans.cstringio_buf.read(1):
        raise ValueError("unexpected bytes after the struct")
    return struct
