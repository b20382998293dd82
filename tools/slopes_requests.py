"""Slopes of announcements and requests: messages and the reducer."""

import functools
import socket
from collections.abc import Callable, Iterator, Sequence

import slopes_models
import slopes_timing

from gypsumhold.adapters import codec, datagrams, thrift_encoding
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.decisions import reducer
from gypsumhold.model import events, ids, members, requests, states

MEMBERS = (10, 500, 5000)
KINDS = (1, 4, 10)
"""Kinds of requests that an upstream serves; they dominate the datagram."""

FAN_OUTS = (3, 39)
"""Entries of one data centre, and of all 13."""

KEY = b"0123456789abcdef"
CALLS = 300
Point = slopes_timing.Point
Calls = Sequence[Callable[[], object]]


def measure_announcements() -> Iterator[Point]:
    """Yields encode, send, decode and apply of an announcement."""
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
            _time_apply(count),
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


def _time_apply(count: int) -> float:
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
    """Yields the reducer's and the codec's share of a request."""
    for count in MEMBERS:
        yield Point(
            "request: arrival and answer in an entry",
            count,
            "members",
            _time_entry(count),
        )
    for waiting in (10, 1000):
        yield Point(
            "request: arrival and answer in an agent",
            waiting,
            "remembered attempts",
            _time_agent(waiting),
        )
    dispatch = _build_dispatch(1)
    packed = thrift_encoding.dump_struct(codec.encode_dispatch(dispatch))
    yield Point(
        "request: dispatch, encode and decode",
        1,
        "request",
        slopes_timing.time_call(lambda: _pass_dispatch(dispatch)),
        len(packed),
    )
    reply = slopes_models.build_answer(1)
    packed = thrift_encoding.dump_struct(codec.encode_reply(reply))
    yield Point(
        "request: reply, encode and decode",
        1,
        "request",
        slopes_timing.time_call(lambda: _pass_reply(reply)),
        len(packed),
    )


def _pass_dispatch(dispatch: requests.Dispatch) -> object:
    packed = thrift_encoding.dump_struct(codec.encode_dispatch(dispatch))
    struct = thrift_encoding.load_struct(ttypes.Dispatch(), packed)
    return codec.decode_dispatch(struct)


def _pass_reply(reply: requests.DispatchReply) -> object:
    packed = thrift_encoding.dump_struct(codec.encode_reply(reply))
    struct = thrift_encoding.load_struct(ttypes.DispatchReply(), packed)
    return codec.decode_reply(struct)


def _time_entry(count: int) -> float:
    state = slopes_models.build_entry(count)
    numbers = iter(range(10**9))
    answer = slopes_models.build_answer(1)

    def serve(request: requests.Request) -> None:
        now = slopes_models.NOW
        reducer.reduce(state, events.CallArrived(request), now)
        ended = events.DispatchAnswered(
            request.request_id, ids.Attempt(1), answer
        )
        reducer.reduce(state, ended, now)

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(serve, slopes_models.build_request(next(numbers)))
            for _ in range(calls)
        ]

    spent = slopes_timing.time_batch(prepare, CALLS)
    if state.calls:
        raise RuntimeError("the measured requests have not ended")
    return spent


def _build_dispatch(number: int) -> requests.Dispatch:
    request = slopes_models.build_request(number)
    return requests.Dispatch(
        request_id=request.request_id,
        attempt=ids.Attempt(1),
        incarnation=slopes_models.INCARNATION,
        organisation=request.organisation,
        kind=request.kind,
        remaining=request.deadline,
        keep_answer=False,
        valid_until=slopes_models.NOW + slopes_models.LATER,
        payload=request.payload,
    )


def _time_agent(remembered: int) -> float:
    state = slopes_models.build_agent()
    numbers = iter(range(10**9))
    reply = slopes_models.build_answer(1)
    assert reply.answer is not None
    answered = reply.answer

    def serve(dispatch: requests.Dispatch) -> None:
        now = slopes_models.NOW
        reducer.reduce(state, events.DispatchArrived(dispatch), now)
        key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
        reducer.reduce(state, events.UpstreamAnswered(key, answered), now)

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(serve, _build_dispatch(next(numbers)))
            for _ in range(calls)
        ]

    for call in prepare(remembered):
        call()
    spent = slopes_timing.time_batch(prepare, CALLS)
    outcomes = {
        memory.reply and memory.reply.outcome
        for memory in state.attempt_records.values()
    }
    if outcomes != {states.Outcome.COMPLETED}:
        raise RuntimeError("the measured requests have not been completed")
    return spent
