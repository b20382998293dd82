"""Settings of the limits on connections and on what arrives over them."""

import dataclasses
import datetime
from typing import Annotated

import pydantic

from gypsumhold.model import clients, replies

Milliseconds = Annotated[int, pydantic.Field(ge=1)]
Count = Annotated[int, pydantic.Field(ge=1)]

SMALL_CONNECTIONS = 256
"""Most connections of a listener for operators, workers, readiness or metrics.

With 2048 of callers and 1024 of peers, a process stays below 3,800 sockets.
"""

SMALL_BYTES = 4 * 1024 * 1024
"""Most bytes of the requests, and of the unread answers, of such a listener.

All listeners of a process together stay within the memory of an instance.
"""


class Settings(pydantic.BaseModel):
    """Base of all settings: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ClientSettings(Settings):
    """Limits on the clients of each listener; see `clients.ClientLimits`.

    The listeners for operators, workers, readiness and metrics allow fewer
    connections, see `build_small`.
    """

    max_connections: Count = 2048
    max_connections_per_host: Count = 1024
    max_request_bytes: Count = 16_777_216
    max_unsent_bytes: Count = 16_777_216
    request_time_ms: Milliseconds = 30_000
    response_time_ms: Milliseconds = 30_000
    max_pending_handshakes: Count = 64

    def build(self) -> clients.ClientLimits:
        """Returns the limits of the listener for callers."""
        return clients.ClientLimits(
            self.max_connections,
            self.max_connections_per_host,
            self.max_request_bytes,
            self.max_unsent_bytes,
            datetime.timedelta(milliseconds=self.request_time_ms),
            datetime.timedelta(milliseconds=self.response_time_ms),
        )

    def build_small(self) -> clients.ClientLimits:
        """Returns the limits of a listener that has few clients."""
        return dataclasses.replace(
            self.build(),
            max_connections=min(self.max_connections, SMALL_CONNECTIONS),
            max_connections_per_host=min(
                self.max_connections_per_host, SMALL_CONNECTIONS
            ),
            max_request_bytes=min(self.max_request_bytes, SMALL_BYTES),
            max_unsent_bytes=min(self.max_unsent_bytes, SMALL_BYTES),
        )


class ReplySettings(Settings):
    """Limits on what this process reads from each service of the platform.

    See `replies.ReplyLimits`.
    """

    max_body_bytes: Count = 16_777_216
    max_pending_bytes: Count = 33_554_432

    def build(self) -> replies.ReplyLimits:
        """Returns the limits."""
        return replies.ReplyLimits(
            max_body_bytes=self.max_body_bytes,
            max_pending_bytes=max(self.max_pending_bytes, self.max_body_bytes),
        )
