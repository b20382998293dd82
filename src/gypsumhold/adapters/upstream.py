"""Calls to the upstream beside an agent."""

import abc
import threading
import time
from typing import Any

import urllib3
import urllib3.exceptions
import urllib3.util

from gypsumhold.adapters import headers
from gypsumhold.model import effects, events, members, requests, states

# A local upstream that does not accept within this time is overloaded or gone.
CONNECT_LIMIT_S = 2.0
CHUNK_BYTES = 65536

# urllib3 adds these lines unless they are given; SKIP_HEADER leaves them out.
_ADDED_BY_LIBRARY = ("accept-encoding", "user-agent")

# Nothing was written: no connection was made or none was free.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class IncompleteAnswerError(Exception):
    """The answer broke off, is too large or has no length to check."""


class Upstream(abc.ABC):
    """Runs requests."""

    @abc.abstractmethod
    def call(
        self, effect: effects.CallUpstream
    ) -> events.UpstreamAnswered | events.UpstreamCallFailed:
        """Calls the upstream once and waits for its whole answer."""


class _Lines(urllib3.HTTPHeaderDict):
    """Header lines with the exact request target.

    urllib3 normalises the target that it is given, so the exact one travels
    beside the lines, which reach the connection unchanged.
    """

    target = "/"

    def copy(self) -> "_Lines":
        """Returns a copy with the same target."""
        other = super().copy()
        other.target = self.target
        return other


class _Connection(urllib3.connection.HTTPConnection):
    def request(  # type: ignore[override]
        self, method: str, url: str, **options: Any
    ) -> None:
        """Sends a request with the target that its lines carry."""
        super().request(method, options["headers"].target, **options)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection  # type: ignore[assignment]


class HttpUpstream(Upstream):
    """The upstream over HTTP/1.1 with kept connections."""

    def __init__(self, connections: int, max_body_bytes: int) -> None:
        """Stores the limits.

        Args:
            connections: Connections at most. The agent's admission holds calls
                below the upstream's own limit; this one is a second guard.
            max_body_bytes: Longest answer that is read.
        """
        self._connections = connections
        self._max_body_bytes = max_body_bytes
        self._lock = threading.Lock()
        self._address: members.Address | None = None
        self._pool: _Pool | None = None

    def call(
        self, effect: effects.CallUpstream
    ) -> events.UpstreamAnswered | events.UpstreamCallFailed:
        """Calls the upstream once and waits for its whole answer."""
        end = time.monotonic() + effect.timeout.total_seconds()
        try:
            answer = self._exchange(effect, end)
        except _NOT_SENT:
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
            # This includes a kept connection that the upstream closed while
            # the request was written: it may have read the request.
            return events.UpstreamCallFailed(
                effect.owner, True, states.Reason.UPSTREAM_FAILED
            )
        return events.UpstreamAnswered(effect.owner, answer)

    def close(self) -> None:
        """Closes the kept connections."""
        with self._lock:
            if self._pool is not None:
                self._pool.close()

    def _find_pool(self, address: members.Address) -> _Pool:
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
                )
            return self._pool

    def _exchange(
        self, effect: effects.CallUpstream, end: float
    ) -> requests.Answer:
        if not effect.fresh:
            return self._exchange_over(
                self._find_pool(effect.address), effect, end
            )
        address = effect.address
        with _Pool(address.host, address.port, maxsize=1) as single:
            return self._exchange_over(single, effect, end)

    def _exchange_over(
        self, pool: _Pool, effect: effects.CallUpstream, end: float
    ) -> requests.Answer:
        payload = effect.payload
        seconds = max(0.001, end - time.monotonic())
        response = pool.urlopen(
            payload.method,
            "/",
            body=payload.body or None,
            headers=_build_lines(effect),
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(CONNECT_LIMIT_S, seconds), total=seconds
            ),
            # The stub says int; the queue below takes fractions.
            pool_timeout=min(CONNECT_LIMIT_S, seconds),  # type: ignore[arg-type]
            preload_content=False,
            decode_content=False,
        )
        try:
            body = self._read_body(payload.method, response, end)
        except BaseException:
            # An unread rest must not reach the next call.
            response.close()
            raise
        finally:
            response.release_conn()
        passed_on = headers.drop_hop_by_hop(tuple(response.headers.items()))
        return requests.Answer(response.status, passed_on, body)

    def _read_body(
        self, method: str, response: urllib3.BaseHTTPResponse, end: float
    ) -> bytes:
        if response.status < 200:
            raise IncompleteAnswerError("interim status as the last one")
        if method == "HEAD" or response.status in (204, 304):
            return b""
        known = "Content-Length" in response.headers
        if not known and not getattr(response, "chunked", False):
            # The end of the connection would be the only end of the body, and
            # a crash looks the same.
            raise IncompleteAnswerError("answer without a length")
        parts: list[bytes] = []
        size = 0
        for part in response.stream(CHUNK_BYTES, decode_content=False):
            size += len(part)
            if size > self._max_body_bytes:
                raise IncompleteAnswerError("answer too large")
            if time.monotonic() > end:
                raise TimeoutError
            parts.append(part)
        return b"".join(parts)


def _build_lines(effect: effects.CallUpstream) -> _Lines:
    lines = _Lines()
    passed_on = headers.drop_hop_by_hop(
        effect.payload.headers, (headers.REQUEST_ID, headers.ATTEMPT)
    )
    for name, value in passed_on:
        lines.add(name, value)
    for name in _ADDED_BY_LIBRARY:
        if name not in lines:
            lines[name] = urllib3.util.SKIP_HEADER
    lines[headers.REQUEST_ID] = effect.owner.request_id
    lines[headers.ATTEMPT] = str(effect.owner.attempt)
    lines.target = effect.payload.target
    return lines
