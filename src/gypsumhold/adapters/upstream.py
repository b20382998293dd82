"""Client for the upstream on the instance of an agent.

A request is sent at most once. It is sent unchanged, except that its hop-by-hop
headers are removed and its id and the number of the attempt are added.
"""

import abc
import threading
import time
from typing import Any

import urllib3
import urllib3.exceptions
import urllib3.util

from gypsumhold.adapters import headers, reply_reader
from gypsumhold.model import (
    effects,
    events,
    members,
    replies,
    requests,
    states,
)

# A local upstream that does not accept a connection within this time is
# overloaded or stopped.
CONNECT_TIMEOUT_S = 2.0

FRAMING_FACTOR = 8
"""Most bytes of framing for each byte of a body; chunks of one byte need 5."""

# urllib3 adds these headers if they are absent; SKIP_HEADER prevents that.
_DEFAULT_HEADERS = ("accept-encoding", "user-agent")

# Errors before anything is sent: no connection could be opened, or none was
# free.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class IncompleteAnswerError(Exception):
    """The response is truncated or has no verifiable length."""


class Upstream(abc.ABC):
    """Sends requests to an upstream."""

    @abc.abstractmethod
    def call(
        self, effect: effects.CallUpstream
    ) -> events.UpstreamAnswered | events.UpstreamCallFailed:
        """Sends a request, once, and waits for the complete response."""


class _RequestHeaders(urllib3.HTTPHeaderDict):
    """The headers of a request together with its exact target.

    urllib3 normalises the target that is passed to it, but passes the headers
    to the connection unchanged. Therefore the headers carry the target.
    """

    target = "/"

    def copy(self) -> "_RequestHeaders":
        """Returns a copy with the same target."""
        copied = super().copy()
        copied.target = self.target
        return copied


class _Connection(reply_reader.Connection):
    """A connection that sends the target of `_RequestHeaders`."""

    def request(  # type: ignore[override]
        self, method: str, url: str, **options: Any
    ) -> None:
        """Sends a request; `url` is replaced by the target in the headers."""
        super().request(method, options["headers"].target, **options)


class _Pool(urllib3.HTTPConnectionPool):
    """A pool of connections that send the exact request target."""

    ConnectionCls = _Connection  # type: ignore[assignment]


class HttpUpstream(Upstream):
    """Calls the upstream over HTTP/1.1 with persistent connections."""

    def __init__(self, connections: int, max_body_bytes: int) -> None:
        """Creates the client.

        Args:
            connections: Maximum number of connections. The admission of the
                agent already keeps the calls below the limit of the upstream;
                this limit is a second guard.
            max_body_bytes: Limit on the size of a response body.
        """
        self._connections = connections
        self._pending = reply_reader.PendingReplies(
            replies.ReplyLimits(
                max_body_bytes=max_body_bytes,
                max_framing_bytes=FRAMING_FACTOR * max_body_bytes,
                max_pending_bytes=connections * max_body_bytes,
            )
        )
        self._lock = threading.Lock()
        self._address: members.Address | None = None
        self._pool: _Pool | None = None

    def call(
        self, effect: effects.CallUpstream
    ) -> events.UpstreamAnswered | events.UpstreamCallFailed:
        """Sends a request, once, and waits for the complete response."""
        deadline = time.monotonic() + effect.timeout.total_seconds()
        try:
            answer = self._exchange(effect, deadline)
        except _NOT_SENT_ERRORS:
            return events.UpstreamCallFailed(
                effect.owner, False, states.Reason.UPSTREAM_FAILED
            )
        except (urllib3.exceptions.TimeoutError, TimeoutError):
            return events.UpstreamCallFailed(
                effect.owner, True, states.Reason.UPSTREAM_TIMEOUT
            )
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            ValueError,
            IncompleteAnswerError,
        ):
            # This includes an idle connection that the upstream closed while
            # the request was written, since it may have read the request.
            return events.UpstreamCallFailed(
                effect.owner, True, states.Reason.UPSTREAM_FAILED
            )
        return events.UpstreamAnswered(effect.owner, answer)

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            if self._pool is not None:
                self._pool.close()

    def _find_pool(self, address: members.Address) -> _Pool:
        """Returns the pool for an address; closes that of an earlier one."""
        with self._lock:
            if self._pool is None or address != self._address:
                if self._pool is not None:
                    self._pool.close()
                self._address = address
                self._pool = _Pool(
                    address.host,
                    address.port,
                    maxsize=self._connections,
                    block=True,
                    pending=self._pending,
                )
            return self._pool

    def _exchange(
        self, effect: effects.CallUpstream, deadline: float
    ) -> requests.Answer:
        """Sends a request over the pool, or over a new connection if `fresh`.

        Args:
            effect: The request.
            deadline: Monotonic time, in seconds, until which the call may last.

        Returns:
            The complete response.
        """
        if not effect.fresh:
            return self._exchange_over(
                self._find_pool(effect.address), effect, deadline
            )
        address = effect.address
        with _Pool(
            address.host, address.port, maxsize=1, pending=self._pending
        ) as new_pool:
            return self._exchange_over(new_pool, effect, deadline)

    def _exchange_over(
        self, pool: _Pool, effect: effects.CallUpstream, deadline: float
    ) -> requests.Answer:
        payload = effect.payload
        seconds = max(0.001, deadline - time.monotonic())
        response = pool.urlopen(
            payload.method,
            "/",
            body=payload.body or None,
            headers=_build_headers(effect),
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(CONNECT_TIMEOUT_S, seconds), total=seconds
            ),
            # The stub says int; the queue underneath accepts a float.
            pool_timeout=min(CONNECT_TIMEOUT_S, seconds),  # type: ignore[arg-type]
            preload_content=False,
            decode_content=False,
        )
        try:
            body = _read_body(payload.method, response)
        except BaseException:
            # The next call must not read the rest of this response.
            response.close()
            raise
        finally:
            response.release_conn()
        forwarded = headers.drop_hop_by_hop(tuple(response.headers.items()))
        return requests.Answer(response.status, forwarded, body)


def _read_body(method: str, response: urllib3.BaseHTTPResponse) -> bytes:
    """Returns the complete body of a response.

    Raises:
        IncompleteAnswerError: The end of the body cannot be verified.
        OSError, urllib3.exceptions.HTTPError: The body exceeds a limit, or the
            connection failed.
    """
    if response.status < 200:
        raise IncompleteAnswerError("the response ended with an interim status")
    if method == "HEAD" or response.status in (204, 304):
        return b""
    has_length = "Content-Length" in response.headers
    if not has_length and not getattr(response, "chunked", False):
        # Only the end of the connection would mark the end of the body, and
        # a crash of the upstream ends the connection as well.
        raise IncompleteAnswerError("the response has no length")
    return reply_reader.read_body(response)


def _build_headers(effect: effects.CallUpstream) -> _RequestHeaders:
    """Returns the end-to-end headers with the request id and the attempt."""
    request_headers = _RequestHeaders()
    forwarded = headers.drop_hop_by_hop(
        effect.payload.headers, (headers.REQUEST_ID, headers.ATTEMPT)
    )
    for name, value in forwarded:
        request_headers.add(name, value)
    for name in _DEFAULT_HEADERS:
        if name not in request_headers:
            request_headers[name] = urllib3.util.SKIP_HEADER
    request_headers[headers.REQUEST_ID] = effect.owner.request_id
    request_headers[headers.ATTEMPT] = str(effect.owner.attempt)
    request_headers.target = effect.payload.target
    return request_headers
