"""A packet filter that keeps new connections away from a listening socket.

Closing a listening socket resets the connections that wait to be accepted. A
listener that stops therefore first drops the packets that open connections,
then accepts what has arrived, and only then closes. A dropped packet is sent
again by the operating system of the caller, which by then is refused or
reaches the next process, so that it knows that its request did not run.
"""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
"""Socket option of Linux, which the module `socket` does not define."""

TCP_FLAGS_OFFSET = 13
"""Offset in bytes of the flags in a TCP header."""

ACK_FLAG = 0x10

# Operation codes of the classic BPF instruction set.
_LOAD_BYTE = 0x30
_JUMP_IF_SET = 0x45
_RETURN = 0x06

_ACCEPT_PACKET = 0xFFFFFFFF
_DROP_PACKET = 0


def _build_instruction(
    code: int, operand: int, skip_if_true: int = 0, skip_if_false: int = 0
) -> bytes:
    """Returns one instruction in the layout of `struct sock_filter`."""
    return struct.pack("=HBBI", code, skip_if_true, skip_if_false, operand)


# Only the first packet of a connection has no acknowledgement.
_PROGRAM = (
    _build_instruction(_LOAD_BYTE, TCP_FLAGS_OFFSET),
    _build_instruction(_JUMP_IF_SET, ACK_FLAG, skip_if_false=1),
    _build_instruction(_RETURN, _ACCEPT_PACKET),
    _build_instruction(_RETURN, _DROP_PACKET),
)


def drop_new_connections(listening: socket.socket) -> None:
    """Makes the kernel drop the packets that open connections.

    Established connections, and those that are being established, are not
    affected.

    Raises:
        OSError: The operating system has no such filter.
    """
    program = ctypes.create_string_buffer(b"".join(_PROGRAM))
    reference = struct.pack("@HP", len(_PROGRAM), ctypes.addressof(program))
    listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, reference)
