"""Typed errors, each with a message and a remedy."""

import dataclasses
import enum


class ErrorKind(enum.StrEnum):
    """Errors that a user or another process can cause or encounter."""

    BAD_HEADER = "bad-header"
    BAD_BODY = "bad-body"
    BAD_SETTING = "bad-setting"
    BAD_DECLARATION = "bad-declaration"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_TASK = "unknown-task"
    UNKNOWN_INSTANCE = "unknown-instance"
    UNAUTHORISED = "unauthorised"
    VERSION_CONFLICT = "version-conflict"
    PORT_IN_USE = "port-in-use"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PEER_UNAVAILABLE = "peer-unavailable"
    PEER_REFUSED = "peer-refused"
    DECODING = "decoding"


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """A failure, as it is shown to a user.

    Attributes:
        kind: Kind of the error.
        message: Description of the failure.
        remedy: Advice on how to resolve it.
    """

    kind: ErrorKind
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.kind}: {self.message} ({self.remedy})"
