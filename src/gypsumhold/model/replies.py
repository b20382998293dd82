"""Limits on the replies that this process reads, and why one is refused."""

import dataclasses
import enum

MEBIBYTE = 1024 * 1024


class Refusal(enum.Enum):
    """Which limit a reply exceeds."""

    HEAD_BYTES = "head-bytes"
    BODY_BYTES = "body-bytes"
    FRAMING_BYTES = "framing-bytes"
    PENDING_BYTES = "pending-bytes"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Limits on the replies of one peer.

    Attributes:
        max_head_bytes: Status lines and headers, with those of interim replies.
        max_body_bytes: Body of one reply.
        max_framing_bytes: Sizes of its chunks, and trailers.
        max_pending_bytes: Bodies of all replies that are being read.
    """

    max_head_bytes: int = MEBIBYTE
    max_body_bytes: int = 16 * MEBIBYTE
    max_framing_bytes: int = 4 * MEBIBYTE
    max_pending_bytes: int = 32 * MEBIBYTE


@dataclasses.dataclass(slots=True)
class ReplyProgress:
    """How much of one reply has been read.

    Attributes:
        received: Bytes that have arrived, some of which may not be parsed.
        head: Bytes that had arrived when the head was parsed; None before.
        body: Bytes of the body without its framing.
    """

    received: int = 0
    head: int | None = None
    body: int = 0
