"""Measures announcements and requests in the codecs and the reducer."""

import functools
import socket
from collections.abc import Callable, Iterator, Sequence

import slopes_models
import slopes_timing

from gypsumhold.adapters import datagrams, request_codec, thrift_encoding
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.decisions import reducer
from gypsumhold.model import events, ids, members, requests, states

MEMBERS = (10, 500, 5000)
KINDS = (1, 4, 10)
"""Numbers of request kinds that an upstream serves.

Their names take most of the datagram.
"""

FAN_OUTS = (3, 39)
"""Numbers of entries: those of one data centre, and those of all 13."""

KEY = b"0123456789abcdef"
CALLS = 300
Point = slopes_timing.Point
Calls = Sequence[Callable[[], object]]


def measure_announcements() -> Iterator[Point]:
    """Yields the cost to encode, send, decode and apply an announcement."""
    for count in KINDS:
        announcement = slopes_models.build_announcement(1, kinds=count)
        datagram = datagrams.encode(announcement, KEY)
        yield Point(
            "announcement: encode and sign",
            count,
            "kinds",
            slopes_timing.time_call(
                functools.partial(datagrams.encode, announcement, KEY)
            ),
            len(datagram),
        )
        yield Point(
            "announcement: check and decode",
            count,
            "kinds",
            slopes_timing.time_call(
                functools.partial(datagrams.decode, datagram, KEY)
            ),
        )
    yield from _measure_sends(announcement, len(datagram))
    for count in MEMBERS:
        yield Point(
            "announcement: apply in an entry",
            count,
            "members",
            _time_announcements(count),
        )


def _measure_sends(
    announcement: members.Announcement, length: int
) -> Iterator[Point]:
    sender = datagrams.Sender(KEY)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        target = members.Address("127.0.0.1", sink.getsockname()[1])
        for count in FAN_OUTS:
            yield Point(
                "announcement: encode and send",
                count,
                "entries",
                slopes_timing.time_call(
                    functools.partial(
                        sender.send, announcement, [target] * count
                    )
                ),
                length * count,
            )
    sender.close()


def _time_announcements(count: int) -> float:
    """Returns the CPU time of an announcement in an entry, in microseconds.

    Args:
        count: Number of members of the entry, which announce in turn.
    """
    state = slopes_models.build_entry(count)
    sequences = iter(range(2, 10**9))

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(
                reducer.reduce,
                state,
                events.AnnouncementReceived(
                    slopes_models.build_announcement(
                        number % count, next(sequences)
                    )
                ),
                slopes_models.NOW,
            )
            for number in range(calls)
        ]

    return slopes_timing.time_batch(prepare, CALLS)


def measure_requests() -> Iterator[Point]:
    """Yields the cost of a request in the reducer and in the codec."""
    for count in MEMBERS:
        yield Point(
            "request: arrival and answer in an entry",
            count,
            "members",
            _time_entry_requests(count),
        )
    for record_count in (10, 1000):
        yield Point(
            "request: arrival and answer in an agent",
            record_count,
            "remembered attempts",
            _time_agent_requests(record_count),
        )
    dispatch = _build_dispatch(1)
    encoded = thrift_encoding.encode_struct(
        request_codec.encode_dispatch(dispatch)
    )
    yield Point(
        "request: dispatch, encode and decode",
        1,
        "request",
        slopes_timing.time_call(lambda: _round_trip_dispatch(dispatch)),
        len(encoded),
    )
    reply = slopes_models.build_answer(1)
    encoded = thrift_encoding.encode_struct(request_codec.encode_reply(reply))
    yield Point(
        "request: reply, encode and decode",
        1,
        "request",
        slopes_timing.time_call(lambda: _round_trip_reply(reply)),
        len(encoded),
    )


def _round_trip_dispatch(dispatch: requests.Dispatch) -> object:
    encoded = thrift_encoding.encode_struct(
        request_codec.encode_dispatch(dispatch)
    )
    struct = thrift_encoding.decode_struct(ttypes.Dispatch(), encoded)
    return request_codec.decode_dispatch(struct)


def _round_trip_reply(reply: requests.DispatchReply) -> object:
    encoded = thrift_encoding.encode_struct(request_codec.encode_reply(reply))
    struct = thrift_encoding.decode_struct(ttypes.DispatchReply(), encoded)
    return request_codec.decode_reply(struct)


def _time_entry_requests(count: int) -> float:
    """Returns the CPU time of a request in an entry, in microseconds.

    Args:
        count: Number of members of the entry.
    """
    state = slopes_models.build_entry(count)
    numbers = iter(range(10**9))
    answer = slopes_models.build_answer(1)

    def serve(request: requests.Request) -> None:
        now = slopes_models.NOW
        reducer.reduce(state, events.CallArrived(request), now)
        answered = events.DispatchAnswered(
            request.request_id, ids.Attempt(1), answer
        )
        reducer.reduce(state, answered, now)

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(serve, slopes_models.build_request(next(numbers)))
            for _ in range(calls)
        ]

    cpu_us = slopes_timing.time_batch(prepare, CALLS)
    if state.calls:
        raise RuntimeError("the measured requests have not ended")
    return cpu_us


def _build_dispatch(number: int) -> requests.Dispatch:
    request = slopes_models.build_request(number)
    return requests.Dispatch(
        request_id=request.request_id,
        attempt=ids.Attempt(1),
        incarnation=slopes_models.INCARNATION,
        organisation=request.organisation,
        kind=request.kind,
        remaining=request.remaining,
        keep_answer=False,
        valid_until=slopes_models.NOW + slopes_models.LATER,
        payload=request.payload,
    )


def _time_agent_requests(record_count: int) -> float:
    """Returns the CPU time of a request in an agent, in microseconds.

    Args:
        record_count: Number of attempt records that the agent holds before.
    """
    state = slopes_models.build_agent()
    numbers = iter(range(10**9))
    reply = slopes_models.build_answer(1)
    assert reply.answer is not None
    answer = reply.answer

    def serve(dispatch: requests.Dispatch) -> None:
        now = slopes_models.NOW
        reducer.reduce(state, events.DispatchArrived(dispatch), now)
        key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
        reducer.reduce(state, events.UpstreamAnswered(key, answer), now)

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(serve, _build_dispatch(next(numbers)))
            for _ in range(calls)
        ]

    for call in prepare(record_count):
        call()
    cpu_us = slopes_timing.time_batch(prepare, CALLS)
    outcomes = {
        record.reply and record.reply.outcome
        for record in state.attempt_records.values()
    }
    if outcomes != {states.Outcome.COMPLETED}:
        raise RuntimeError("the measured requests have not been completed")
    return cpu_us
