"""Tests which replies are refused while they are read."""

import pytest

from gypsumhold.decisions import replies as decisions
from gypsumhold.model import replies

LIMITS = replies.ReplyLimits(
    max_head_bytes=100,
    max_body_bytes=1000,
    max_framing_bytes=50,
    max_pending_bytes=1500,
)
MOST_FRAMING = 50 + decisions.READ_AHEAD_BYTES
Progress = replies.ReplyProgress

CASES = {
    "largest head": (Progress(100), 0, None),
    "head too large": (Progress(101), 0, replies.Refusal.HEAD_BYTES),
    "largest body": (Progress(1100, 100, 1000), 1500, None),
    "body too large": (
        Progress(1101, 100, 1001),
        1001,
        replies.Refusal.BODY_BYTES,
    ),
    "too much of all replies": (
        Progress(200, 100, 100),
        1501,
        replies.Refusal.PENDING_BYTES,
    ),
    "most framing": (Progress(110 + MOST_FRAMING, 100, 10), 10, None),
    "too much framing": (
        Progress(111 + MOST_FRAMING, 100, 10),
        10,
        replies.Refusal.FRAMING_BYTES,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_refusal(name: str) -> None:
    """Guards each limit, and a reply that is exactly within it."""
    progress, pending_bytes, expected = CASES[name]
    assert decisions.find_refusal(LIMITS, progress, pending_bytes) is expected
