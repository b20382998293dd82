"""Decides whether a reply that is being read exceeds a limit."""

from gypsumhold.model import replies

READ_AHEAD_BYTES = 128 * 1024
"""Most bytes that have arrived before they are parsed: those of one read of the
body, and of one buffer."""


def find_refusal(
    limits: replies.ReplyLimits,
    progress: replies.ReplyProgress,
    pending_bytes: int,
) -> replies.Refusal | None:
    """Returns the limit that a reply exceeds, or None.

    Args:
        limits: Limits on the replies of its peer.
        progress: How much of the reply has been read.
        pending_bytes: Bodies of all replies of the peer that are being read.
    """
    if progress.head is None:
        if progress.received > limits.max_head_bytes:
            return replies.Refusal.HEAD_BYTES
        return None
    if progress.body > limits.max_body_bytes:
        return replies.Refusal.BODY_BYTES
    if pending_bytes > limits.max_pending_bytes:
        return replies.Refusal.PENDING_BYTES
    framing = progress.received - progress.head - progress.body
    if framing > limits.max_framing_bytes + READ_AHEAD_BYTES:
        return replies.Refusal.FRAMING_BYTES
    return None
