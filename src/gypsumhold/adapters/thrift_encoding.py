"""Thrift compact encoding in memory, accelerated and with limits."""

import itertools
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

try:
    from thrift.protocol import fastbinary
except ImportError:
    fastbinary = None

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest body of a request or answer."""

MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 1024 * 1024
"""Limit of one message: the largest body, its headers and the envelope."""

MAX_ITEMS = 100_000
"""Limit of one container. Above every list at the target size (31,000 batch
tasks in all), and small enough that a false length allocates under 1 MB."""


class Protocol(TCompactProtocol.TCompactProtocol):
    """Compact protocol over bytes in memory, accelerated where available.

    The library's accelerated class looks its module up in each constructor,
    which takes longer than the encoding of a small message.
    """

    def __init__(self, transport: Any, limit: int) -> None:
        super().__init__(transport, limit, MAX_ITEMS)
        if fastbinary is not None:
            self._fast_decode = fastbinary.decode_compact
            self._fast_encode = fastbinary.encode_compact


class CallProtocol(Protocol):
    """Numbers each call and refuses a reply with another number.

    The generated client numbers every call 0 and ignores the reply's number.
    """

    _numbers = itertools.count(1)

    def writeMessageBegin(  # noqa: N802
        self, name: str, type: int, seqid: int
    ) -> None:
        """Writes the envelope of a call."""
        self._number = next(self._numbers) & 0x7FFFFFFF
        super().writeMessageBegin(name, type, self._number)

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802
        """Reads the envelope of a reply."""
        name, kind, number = super().readMessageBegin()
        if number != self._number:
            raise ValueError(f"reply {number} to call {self._number}")
        return name, kind, number


def build_reader(message: bytes, limit: int) -> Protocol:
    """Returns a protocol that reads `message`."""
    return Protocol(TTransport.TMemoryBuffer(message), limit)


def build_writer() -> Protocol:
    """Returns a protocol that writes to memory; see `get_written_bytes`."""
    return Protocol(TTransport.TMemoryBuffer(), MAX_MESSAGE_BYTES)


def get_written_bytes(writer: Protocol) -> bytes:
    """Returns everything written to `writer`."""
    written: bytes = writer.trans.getvalue()
    return written


def dump_struct(struct: Any) -> bytes:
    """Returns the compact encoding of one struct."""
    writer = build_writer()
    struct.write(writer)
    return get_written_bytes(writer)


def load_struct(struct: Any, data: bytes) -> Any:
    """Fills `struct` from its compact encoding.

    Raises:
        ValueError: The bytes are no such struct, or bytes are left over.
    """
    reader = build_reader(data, len(data))
    try:
        struct.read(reader)
    # The decoder raises many types for bad bytes, TypeError among them.
    except Exception as problem:
        raise ValueError(str(problem)) from problem
    if reader.trans.cstringio_buf.read(1):
        raise ValueError("bytes are left over")
    return struct
