"""Decides which connections of a listener are closed or refused.

A limit is met by those who take most: of the connections of one host the one
that has waited longest, of the unfinished requests and unread answers the
largest. A request that a thread handles is never interrupted.
"""

import collections
import datetime
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.model import clients

Effects = list[clients.Effect]

_RECEIVING = frozenset({clients.Phase.IDLE, clients.Phase.READING})
"""Phases in which a request can grow; a refused one is not served later."""


def _open(
    state: clients.ClientState,
    event: clients.ConnectionOpened,
    now: datetime.timedelta,
) -> Effects:
    """Adds a connection, and closes another one if there are too many."""
    host = event.host
    effects: Effects = []
    if state.host_counts[host] >= state.limits.max_connections_per_host:
        effects = _close_longest_waiting(
            state, host, clients.Reason.HOST_CONNECTIONS
        )
    elif len(state.clients) >= state.limits.max_connections:
        largest_host = max(state.host_counts, key=state.host_counts.__getitem__)
        effects = _close_longest_waiting(
            state, largest_host, clients.Reason.CONNECTIONS
        )
    if effects == [] and _is_full(state, host):
        # Threads handle the requests of all others.
        return [
            clients.CloseConnection(
                event.connection, clients.Reason.CONNECTIONS
            )
        ]
    state.clients[event.connection] = clients.Client(
        host, clients.Phase.IDLE, now
    )
    state.host_counts[host] += 1
    _list_waiting(state, host)[event.connection] = None
    return effects


def _is_full(state: clients.ClientState, host: clients.ClientHost) -> bool:
    return (
        len(state.clients) >= state.limits.max_connections
        or state.host_counts[host] >= state.limits.max_connections_per_host
    )


def _list_waiting(
    state: clients.ClientState, host: clients.ClientHost
) -> collections.OrderedDict[clients.ConnectionId, None]:
    return state.waiting.setdefault(host, collections.OrderedDict())


def _close_longest_waiting(
    state: clients.ClientState,
    host: clients.ClientHost,
    reason: clients.Reason,
) -> Effects:
    """Closes the connection of a host that has waited longest, if any."""
    connection = next(iter(state.waiting.get(host, ())), None)
    if connection is None:
        return []
    _remove(state, connection)
    return [clients.CloseConnection(connection, reason)]


def _remove(
    state: clients.ClientState, connection: clients.ConnectionId
) -> None:
    """Removes a connection; unknown ones are ignored."""
    client = state.clients.pop(connection, None)
    if client is None:
        return
    _set_size(state, client, client.phase, 0)
    state.host_counts[client.host] -= 1
    waiting = state.waiting.get(client.host)
    if waiting is not None:
        waiting.pop(connection, None)
    if state.host_counts[client.host] == 0:
        del state.host_counts[client.host]
        state.waiting.pop(client.host, None)


def _set_size(
    state: clients.ClientState,
    client: clients.Client,
    phase: clients.Phase,
    size: int,
) -> None:
    """Sets phase and size of a client, and keeps the sums up to date."""
    for sign, counted in ((-1, client.size), (1, size)):
        counted_phase = client.phase if sign == -1 else phase
        if counted_phase is clients.Phase.WRITING:
            state.unsent_bytes += sign * counted
        else:
            state.request_bytes += sign * counted
    client.phase = phase
    client.size = size


def _move(
    state: clients.ClientState,
    connection: clients.ConnectionId,
    phase: clients.Phase,
    size: int,
    now: datetime.timedelta,
) -> None:
    """Puts a connection into a phase; its time restarts if that is new."""
    client = state.clients[connection]
    is_new = client.phase is not phase
    _set_size(state, client, phase, size)
    if not is_new:
        return
    client.since = now
    waiting = _list_waiting(state, client.host)
    waiting.pop(connection, None)
    if phase is not clients.Phase.SERVING:
        waiting[connection] = None


def _grow(
    state: clients.ClientState,
    event: clients.RequestGrew,
    now: datetime.timedelta,
) -> Effects:
    """Counts the bytes of a request, and refuses the largest if need be."""
    current = event.connection
    client = state.clients.get(current)
    if client is None or client.phase not in _RECEIVING:
        return []
    # A request that is the only one takes no memory from others, and its own
    # size is limited by the listener.
    is_alone = state.request_bytes == client.size
    _move(state, current, clients.Phase.READING, event.size, now)
    effects: Effects = []
    while not is_alone and state.request_bytes > state.limits.max_request_bytes:
        largest = _find_largest(state, clients.Phase.READING)
        if (
            largest is None
            or state.clients[largest].size <= clients.SMALL_REQUEST_BYTES
        ):
            break
        _move(state, largest, clients.Phase.DISCARDING, 0, now)
        effects.append(
            clients.RefuseRequest(largest, clients.Reason.REQUEST_BYTES)
        )
        if largest == current:
            return effects
    if event.is_complete:
        _move(state, current, clients.Phase.SERVING, event.size, now)
        effects.append(clients.ServeRequest(current))
    return effects


def _find_largest(
    state: clients.ClientState, phase: clients.Phase
) -> clients.ConnectionId | None:
    return max(
        (
            connection
            for connection, client in state.clients.items()
            if client.phase is phase
        ),
        key=lambda connection: state.clients[connection].size,
        default=None,
    )


def _write(
    state: clients.ClientState,
    event: clients.AnswerWritten,
    now: datetime.timedelta,
) -> Effects:
    """Counts the unsent bytes, and closes the slowest reader if need be.

    The requests that have arrived behind an unsent answer stay in memory until
    the client reads, so they count with it.
    """
    if event.connection not in state.clients:
        return []
    phase = clients.Phase.WRITING if event.unsent else clients.Phase.IDLE
    size = event.unsent + event.buffered
    _move(state, event.connection, phase, size, now)
    if state.unsent_bytes <= state.limits.max_unsent_bytes:
        return []
    connection = _find_largest(state, clients.Phase.WRITING)
    if connection is None or len(state.clients) == 1:
        return []
    _remove(state, connection)
    return [clients.CloseConnection(connection, clients.Reason.UNSENT_BYTES)]


def _discard(
    state: clients.ClientState,
    event: clients.DiscardStarted,
    now: datetime.timedelta,
) -> Effects:
    if event.connection in state.clients:
        _move(state, event.connection, clients.Phase.DISCARDING, 0, now)
    return []


def _close(
    state: clients.ClientState,
    event: clients.ConnectionClosed,
    _now: datetime.timedelta,
) -> Effects:
    _remove(state, event.connection)
    return []


def _expire(
    state: clients.ClientState,
    _event: clients.TimePassed,
    now: datetime.timedelta,
) -> Effects:
    """Closes the connections that have waited too long."""
    limits = state.limits
    longest = {
        clients.Phase.IDLE: (limits.idle_time, clients.Reason.IDLE_TIME),
        clients.Phase.READING: (
            limits.request_time,
            clients.Reason.REQUEST_TIME,
        ),
        clients.Phase.WRITING: (
            limits.response_time,
            clients.Reason.RESPONSE_TIME,
        ),
        clients.Phase.DISCARDING: (
            limits.discard_time,
            clients.Reason.DISCARD_TIME,
        ),
    }
    effects: Effects = []
    for connection, client in list(state.clients.items()):
        time, reason = longest.get(client.phase, (None, None))
        if time is None or reason is None or now - client.since < time:
            continue
        if client.phase is clients.Phase.READING:
            _move(state, connection, clients.Phase.DISCARDING, 0, now)
            effects.append(clients.RefuseRequest(connection, reason))
        else:
            _remove(state, connection)
            effects.append(clients.CloseConnection(connection, reason))
    return effects


HANDLERS: Mapping[type, Callable[[Any, Any, datetime.timedelta], Any]] = {
    clients.ConnectionOpened: _open,
    clients.RequestGrew: _grow,
    clients.AnswerWritten: _write,
    clients.DiscardStarted: _discard,
    clients.ConnectionClosed: _close,
    clients.TimePassed: _expire,
}
