"""Header lines of HTTP messages that pass through."""

from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

ORGANISATION = "gypsumhold-organisation"
KIND = "gypsumhold-kind"
DEADLINE = "gypsumhold-deadline-ms"
IDEMPOTENCY_KEY = "idempotency-key"
REQUEST_ID = "Gypsumhold-Request-Id"
ATTEMPT = "Gypsumhold-Attempt"
OUTCOME = "Gypsumhold-Outcome"
REASON = "Gypsumhold-Reason"

# RFC 9110, section 7.6.1, with Expect, which is answered by the first hop.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def list_values(headers: Headers, name: str) -> list[str]:
    """Returns the values of all lines named `name`, in order."""
    wanted = name.lower()
    return [value for own, value in headers if own.lower() == wanted]


def drop_hop_by_hop(headers: Headers, others: Iterable[str] = ()) -> Headers:
    """Returns the end-to-end lines.

    Args:
        headers: All lines of a message.
        others: Names of further lines to leave out.

    Returns:
        The lines that are neither hop-by-hop, nor named by a Connection line,
        nor in `others`.
    """
    dropped = HOP_BY_HOP | {name.lower() for name in others}
    for value in list_values(headers, "connection"):
        dropped |= {name.strip().lower() for name in value.split(",")}
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
