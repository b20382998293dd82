"""Tests which connections of a listener are closed or refused, and when."""

import datetime

from gypsumhold.decisions import reducer
from gypsumhold.model import clients

HOST = clients.ClientHost("192.0.2.1")
OTHER = clients.ClientHost("192.0.2.2")
LIMITS = clients.ClientLimits(
    max_connections=4,
    max_connections_per_host=3,
    max_request_bytes=100_000,
    max_unsent_bytes=100_000,
)


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


def number(value: int) -> clients.ConnectionId:
    return clients.ConnectionId(value)


def play(
    *timed_events: tuple[float, clients.Event],
) -> tuple[clients.ClientState, list[clients.Effect]]:
    """Applies events at times in seconds; returns state and all effects."""
    state = clients.ClientState(LIMITS)
    emitted: list[clients.Effect] = []
    for time, event in timed_events:
        emitted += reducer.reduce(state, event, seconds(time))
    return state, emitted


def opened(connection: int, host: clients.ClientHost) -> clients.Event:
    return clients.ConnectionOpened(number(connection), host)


def grew(connection: int, size: int, is_complete: bool) -> clients.Event:
    return clients.RequestGrew(number(connection), size, is_complete)


def test_host_with_too_many_connections_loses_its_own() -> None:
    """Guards against one host that takes the connections of the others."""
    _, emitted = play(
        (0, opened(1, OTHER)),
        *((index, opened(index, HOST)) for index in range(2, 6)),
    )
    assert emitted == [
        clients.CloseConnection(number(2), clients.Reason.HOST_CONNECTIONS)
    ]


def test_full_listener_closes_the_longest_wait_of_the_largest_host() -> None:
    """Guards against an ordinary client that finds no place."""
    _, emitted = play(
        *((index, opened(index, HOST)) for index in range(1, 4)),
        (4, grew(1, 10, True)),
        (5, opened(4, OTHER)),
        (6, opened(5, OTHER)),
    )
    # The first connection is being served and is left alone.
    assert emitted[1:] == [
        clients.CloseConnection(number(2), clients.Reason.CONNECTIONS)
    ]


def test_largest_unfinished_request_is_refused() -> None:
    """Guards against large bodies that are refused at others' expense."""
    state, emitted = play(
        (0, opened(1, HOST)),
        (0, opened(2, OTHER)),
        (1, grew(1, 90_000, False)),
        (2, grew(2, 20_000, True)),
    )
    assert emitted == [
        clients.RefuseRequest(number(1), clients.Reason.REQUEST_BYTES),
        clients.ServeRequest(number(2)),
    ]
    assert state.request_bytes == 20_000


def test_lone_and_small_requests_are_served_above_the_sum() -> None:
    """Guards against refusing a request that is inside the limits."""
    _, emitted = play(
        (0, opened(1, HOST)),
        (0, opened(2, OTHER)),
        (1, grew(1, 150_000, True)),
        (2, grew(2, clients.SMALL_REQUEST_BYTES, True)),
    )
    assert emitted == [
        clients.ServeRequest(number(1)),
        clients.ServeRequest(number(2)),
    ]


def test_requests_that_wait_for_a_thread_count() -> None:
    """Guards against a queue of complete requests that takes all memory."""
    state, emitted = play(
        (0, opened(1, HOST)),
        (0, opened(2, OTHER)),
        (1, grew(1, 90_000, True)),
        (2, grew(2, 20_000, True)),
    )
    assert emitted[1:] == [
        clients.RefuseRequest(number(2), clients.Reason.REQUEST_BYTES)
    ]
    play_on = clients.AnswerWritten(number(1), 0)
    reducer.reduce(state, play_on, seconds(3))
    assert state.request_bytes == 0


def test_largest_unread_answer_is_given_up() -> None:
    """Guards against answers that nobody reads."""
    state, emitted = play(
        (0, opened(1, HOST)),
        (0, opened(2, OTHER)),
        (1, clients.AnswerWritten(number(1), 60_000)),
        (2, clients.AnswerWritten(number(2), 50_000)),
    )
    assert emitted == [
        clients.CloseConnection(number(1), clients.Reason.UNSENT_BYTES)
    ]
    assert state.unsent_bytes == 50_000


def test_waits_end_and_a_served_request_does_not() -> None:
    """Guards against connections that are held for ever.

    Bytes that arrive slowly do not extend the time of a request.
    """
    state, emitted = play(
        *((0, opened(index, HOST)) for index in (1, 2, 3)),
        (0, grew(1, 10, True)),
        (0, grew(2, 10, False)),
        (29, grew(2, 11, False)),
        (29.9, clients.TimePassed()),
        (30, clients.TimePassed()),
        (33, clients.TimePassed()),
        (34, clients.ConnectionClosed(number(1))),
    )
    assert emitted[1:] == [
        clients.CloseConnection(number(3), clients.Reason.IDLE_TIME),
        clients.RefuseRequest(number(2), clients.Reason.REQUEST_TIME),
        clients.CloseConnection(number(2), clients.Reason.DISCARD_TIME),
    ]
    assert state == clients.ClientState(LIMITS)


def test_refused_request_is_not_served_when_it_grows() -> None:
    """Guards against a request that is answered as not run, and runs."""
    state, emitted = play(
        (0, opened(1, HOST)),
        (0, opened(2, OTHER)),
        (1, grew(1, 90_000, False)),
        (2, grew(2, 20_000, False)),
        (3, grew(1, 95_000, True)),
    )
    assert emitted == [
        clients.RefuseRequest(number(1), clients.Reason.REQUEST_BYTES)
    ]
    assert state.request_bytes == 20_000


def test_request_that_a_thread_handles_is_not_handed_over_again() -> None:
    """Guards against two threads that handle one connection."""
    _, emitted = play(
        (0, opened(1, HOST)),
        (1, grew(1, 20, True)),
        (2, grew(1, 40, True)),
    )
    assert emitted == [clients.ServeRequest(number(1))]


def test_requests_behind_an_unread_answer_count() -> None:
    """Guards against requests in memory that no limit covers."""
    state, emitted = play(
        (0, opened(1, HOST)),
        (0, opened(2, OTHER)),
        (1, clients.AnswerWritten(number(1), 10_000, 50_000)),
        (2, clients.AnswerWritten(number(2), 50_000, 0)),
    )
    assert emitted == [
        clients.CloseConnection(number(1), clients.Reason.UNSENT_BYTES)
    ]
    assert state.unsent_bytes == 50_000
