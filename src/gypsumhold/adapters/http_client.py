"""An HTTP client for the services of the platform, with typed results.

The retries and redirects of the library are off, since only the code that uses
this module knows which calls may be repeated.
"""

import dataclasses
import datetime
import enum
import json
import threading
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import logbook
import urllib3
from returns.result import Failure, Result, Success

from gypsumhold.adapters import reply_reader
from gypsumhold.model import members, replies

_LOG = logbook.Logger("gypsumhold.http_client")

TIMEOUTS_PER_REPLY = 10
"""How many times the longest wait for the next bytes a reply may take. A reply
that arrives in small pieces would otherwise hold its thread for ever."""

NO_WAIT = datetime.timedelta(0)
BODYLESS_STATUSES = frozenset({204, 304})


class CallFailure(enum.Enum):
    """Why a call has no reply."""

    NOT_SENT = "not-sent"
    """The connection was refused, so the peer did not receive the call."""

    UNKNOWN = "unknown"
    """The peer may have received and carried out the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply; the length of the body has been checked."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallOptions:
    """Limits of the calls to one peer.

    Attributes:
        address: Address of the peer.
        connect_timeout: Longest wait for a connection.
        read_timeout: Longest wait for the next bytes of a reply.
        connections: Maximum number of connections kept open for reuse.
        limits: Limits on the replies.
    """

    address: members.Address
    connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    read_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    connections: int = 16
    limits: replies.ReplyLimits = replies.ReplyLimits()


class _Connection(reply_reader.Connection):
    timeouts_per_reply = TIMEOUTS_PER_REPLY


class _Pool(urllib3.HTTPConnectionPool):
    """A pool of connections that read replies within limits."""

    ConnectionCls = _Connection


class HttpClient:
    """Calls one peer over a pool of connections; safe for several threads."""

    def __init__(self, options: CallOptions) -> None:
        """Creates a client without connections.

        Raises:
            ValueError: The host is empty or has characters that no host has.
        """
        self._options = options
        self._lock = threading.Lock()
        self._pending = reply_reader.PendingReplies(options.limits)
        self._pool = self._build_pool()

    def call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        wait: datetime.timedelta = NO_WAIT,
        read_timeout: datetime.timedelta | None = None,
        headers: Mapping[str, str] = MappingProxyType({}),
    ) -> Result[Reply, CallFailure]:
        """Sends one request, once, and reads the whole reply.

        Args:
            method: HTTP method.
            target: Path and query.
            body: JSON body, if any.
            wait: How long the peer may delay the reply on purpose, as in a
                long poll.
            read_timeout: Longest wait for the next bytes, in addition to
                `wait`; by default that of the options.
            headers: Additional headers.

        Returns:
            The reply, whatever its status, or the reason why there is none.
        """
        pool = self._pool
        result = self._call(
            pool,
            method,
            target,
            body,
            timeout=wait + (read_timeout or self._options.read_timeout),
            headers=headers,
        )
        if isinstance(result, Failure):
            self._replace_pool(pool)
        return result

    def _replace_pool(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Closes the open connections after a failed call.

        If the peer does not answer on one connection, the others have usually
        failed as well.
        """
        with self._lock:
            if self._pool is not pool:
                return
            self._pool = self._build_pool()
        pool.close()

    def _build_pool(self) -> _Pool:
        return _Pool(
            self._options.address.host,
            self._options.address.port,
            maxsize=self._options.connections,
            block=False,
            retries=False,
            pending=self._pending,
        )

    def _call(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        target: str,
        body: bytes | None,
        *,
        timeout: datetime.timedelta,
        headers: Mapping[str, str],
    ) -> Result[Reply, CallFailure]:
        limits = urllib3.Timeout(
            connect=self._options.connect_timeout.total_seconds(),
            read=timeout.total_seconds(),
        )
        try:
            response = pool.urlopen(
                method,
                target,
                body=body,
                headers={"Content-Type": "application/json", **headers},
                timeout=limits,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            return _read_reply(response)
        except urllib3.exceptions.NewConnectionError as problem:
            refused = isinstance(problem.__cause__, ConnectionRefusedError)
            return Failure(
                CallFailure.NOT_SENT if refused else CallFailure.UNKNOWN
            )
        # An invalid host or port is no OSError.
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            ValueError,
            OverflowError,
        ) as problem:
            _LOG.info("call to {} failed: {}", self._options.address, problem)
            return Failure(CallFailure.UNKNOWN)

    def call_json(
        self, method: str, target: str, document: dict[str, Any]
    ) -> Result[Reply, CallFailure]:
        """Sends a JSON document and reads the whole reply, as `call` does."""
        return self.call(method, target, json.dumps(document).encode())

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()


def _read_reply(
    response: urllib3.BaseHTTPResponse,
) -> Result[Reply, CallFailure]:
    if not _has_length(response):
        response.close()
        return Failure(CallFailure.UNKNOWN)
    body = reply_reader.read_body(response)
    response.release_conn()
    return Success(Reply(response.status, body))


def _has_length(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether the end of the body can be verified."""
    # http.client accepts a truncated header section as complete, and takes a
    # body without a valid length to end with the connection. In both cases the
    # reply may be incomplete.
    return (
        response.status in BODYLESS_STATUSES
        or response.headers.get("content-length", "").isdecimal()
        or response.headers.get("transfer-encoding", "").lower() == "chunked"
    )
