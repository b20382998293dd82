"""Header lines of forwarded HTTP messages."""

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

# Headers of RFC 9110, section 7.6.1, and Expect, which the first hop answers.
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
    """Returns the values of all lines named `name`, in order.

    Names are compared without regard to case.
    """
    lower_name = name.lower()
    return [value for other, value in headers if other.lower() == lower_name]


def drop_hop_by_hop(headers: Headers, others: Iterable[str] = ()) -> Headers:
    """Returns the end-to-end header lines.

    Args:
        headers: All header lines of a message.
        others: Names of more headers to remove.

    Returns:
        The lines that are neither hop-by-hop, nor listed in a Connection
        header, nor in `others`.
    """
    dropped = HOP_BY_HOP | {name.lower() for name in others}
    for value in list_values(headers, "connection"):
        dropped |= {name.strip().lower() for name in value.split(",")}
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
