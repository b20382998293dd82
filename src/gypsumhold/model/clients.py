"""Connections of clients to one listener: limits, state, events and effects.

A listener tells the reducer what its connections do, and the reducer decides
which of them are closed or refused, so that no crowd of clients takes the
memory, the descriptors or the threads that other clients need.
"""

import collections
import dataclasses
import datetime
import enum
from typing import NewType

ClientHost = NewType("ClientHost", str)
"""IP address of a client, without its port."""

ConnectionId = NewType("ConnectionId", int)
"""Number of a connection of one listener; not used again."""


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    """The first byte of a request."""

    READING = enum.auto()
    """The rest of a request."""

    SERVING = enum.auto()
    """A thread that handles the request."""

    WRITING = enum.auto()
    """The client, which has not read the whole answer."""

    DISCARDING = enum.auto()
    """The rest of a refused request, which is read and discarded."""


class Reason(enum.StrEnum):
    """Why a connection was closed or its request refused.

    All but `MALFORMED` and `HANDSHAKE`, which the listeners themselves find,
    are limits of `ClientLimits`.
    """

    CONNECTIONS = "connections"
    HOST_CONNECTIONS = "host-connections"
    REQUEST_BYTES = "request-bytes"
    UNSENT_BYTES = "unsent-bytes"
    REQUEST_TIME = "request-time"
    RESPONSE_TIME = "response-time"
    IDLE_TIME = "idle-time"
    DISCARD_TIME = "discard-time"
    MALFORMED = "malformed"
    HANDSHAKE = "handshake"


SMALL_REQUEST_BYTES = 8192
"""Largest size of a request that is never refused for the sum of all sizes.

A job of a few steps has less than that.
"""

EXPECTED_REASONS = frozenset({Reason.IDLE_TIME, Reason.DISCARD_TIME})
"""Reasons that ordinary clients meet too."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of a listener on its clients.

    Attributes:
        max_connections: Largest number of open connections.
        max_connections_per_host: Largest number of them from one IP address.
        max_request_bytes: Largest sum of the bytes of all requests that are
            being received or handled.
        max_unsent_bytes: Largest sum of the bytes of all answers that clients
            have not read, and of the requests that arrived behind them.
        request_time: Longest time from the first byte of a request to its last.
        response_time: Longest time in which a client reads an answer.
        idle_time: Longest time without a request.
        discard_time: Longest time for which the rest of a refused request is
            read, so that the refusal reaches the client.
    """

    max_connections: int = 2048
    max_connections_per_host: int = 1024
    max_request_bytes: int = 16 * 1024 * 1024
    max_unsent_bytes: int = 16 * 1024 * 1024
    request_time: datetime.timedelta = datetime.timedelta(seconds=30)
    response_time: datetime.timedelta = datetime.timedelta(seconds=30)
    idle_time: datetime.timedelta = datetime.timedelta(seconds=10)
    discard_time: datetime.timedelta = datetime.timedelta(seconds=2)


@dataclasses.dataclass(slots=True)
class Client:
    """State of one connection.

    Attributes:
        host: IP address of the client.
        phase: What the connection waits for.
        since: Monotonic time at which the phase began.
        size: Bytes of the request. While an answer is not sent, its unsent
            bytes and those that have arrived of further requests.
    """

    host: ClientHost
    phase: Phase
    since: datetime.timedelta
    size: int = 0


@dataclasses.dataclass(slots=True)
class ClientState:
    """State of the connections of one listener.

    Attributes:
        limits: Limits of the listener.
        clients: Open connections.
        waiting: Connections of each host that no thread handles, the one that
            has waited longest first.
        host_counts: Number of connections of each host.
        request_bytes: Sum of the sizes of all requests.
        unsent_bytes: Sum of the sizes of all connections with an unsent
            answer.
    """

    limits: ClientLimits
    clients: dict[ConnectionId, Client] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[ClientHost, collections.OrderedDict[ConnectionId, None]] = (
        dataclasses.field(default_factory=dict)
    )
    host_counts: collections.Counter[ClientHost] = dataclasses.field(
        default_factory=collections.Counter
    )
    request_bytes: int = 0
    unsent_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A client has connected."""

    connection: ConnectionId
    host: ClientHost


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGrew:
    """More bytes of a request have arrived.

    Attributes:
        connection: Connection of the client.
        size: Bytes of the request so far.
        is_complete: Whether a thread can handle the request.
    """

    connection: ConnectionId
    size: int
    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerWritten:
    """An answer was written.

    Attributes:
        connection: Connection of the client.
        unsent: Bytes of the answer that wait until the client reads.
        buffered: Bytes of further requests that have arrived.
    """

    connection: ConnectionId
    unsent: int
    buffered: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DiscardStarted:
    """The connection ends; what the client still sends is discarded."""

    connection: ConnectionId


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection was closed."""

    connection: ConnectionId


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """It is time to look for connections that have waited too long."""


Event = (
    ConnectionOpened
    | RequestGrew
    | AnswerWritten
    | DiscardStarted
    | ConnectionClosed
    | TimePassed
)


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Closes a connection without an answer; results in `ConnectionClosed`."""

    connection: ConnectionId
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answers that the request has not run; results in `DiscardStarted`."""

    connection: ConnectionId
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ServeRequest:
    """Hands a request to a thread; results in `AnswerWritten`."""

    connection: ConnectionId


Effect = CloseConnection | RefuseRequest | ServeRequest
