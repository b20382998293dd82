"""Tests the datagrams that carry announcements of agents."""

import datetime
import threading

import hypothesis
import pytest
from hypothesis import strategies
from returns.result import Success

from gypsumhold.adapters import datagrams, thrift_encoding
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import errors, members, resources, states

KEY = b"k" * 32
LOCAL = members.Address("127.0.0.1", 0)
ANNOUNCEMENT = members.Announcement(
    *("and-a-w03", 1764843739000000, 12345, states.MemberState.SERVING),
    *(members.Address("10.21.3.17", 7401), "andina-a", "andina", "a-r1"),
    clock=datetime.timedelta(seconds=86400.5),
    kinds=frozenset({"plate", "proof", "grant"}),
    free_slots=8,
    queued=0,
    capacity=resources.Resources(32000, 125000, 2),
    free=resources.Resources(20000, 60000, 1),
    config_version=118,
)


def build_signed(body: bytes) -> bytes:
    return datagrams._build_tag(body, KEY) + body


def test_round_trip_stays_within_the_traffic_budget() -> None:
    """Guards the traffic budget of 3 KB/s per node.

    It allows 12 datagrams per second of up to 200 bytes.
    """
    datagram = datagrams.encode(ANNOUNCEMENT, KEY)
    assert datagrams.decode(datagram, KEY) == Success(ANNOUNCEMENT)
    assert len(datagram) <= 200


NO_FIELDS = thrift_encoding.encode_struct(ttypes.Announcement())
TRAILING_BYTES = (
    datagrams.encode(ANNOUNCEMENT, KEY)[datagrams.TAG_BYTES :] + b"\0"
)
FAULTS = {
    "empty": (b"", errors.ErrorKind.UNAUTHORISED),
    "wrong key": (
        datagrams.encode(ANNOUNCEMENT, b"x"),
        errors.ErrorKind.UNAUTHORISED,
    ),
    "no body": (build_signed(b""), errors.ErrorKind.DECODING),
    "garbage": (build_signed(b"\xff" * 40), errors.ErrorKind.DECODING),
    "no fields": (build_signed(NO_FIELDS), errors.ErrorKind.DECODING),
    "rest": (build_signed(TRAILING_BYTES), errors.ErrorKind.DECODING),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_bad_datagrams_give_typed_errors(fault: str) -> None:
    """Guards against forged announcements and an exception in the receiver."""
    datagram, kind = FAULTS[fault]
    assert datagrams.decode(datagram, KEY).failure().kind is kind


@hypothesis.given(strategies.binary(max_size=200))
def test_signed_garbage_never_raises(body: bytes) -> None:
    """Guards the receiving thread against exceptions of the decoder."""
    datagrams.decode(build_signed(body), KEY)


def test_receiver_skips_rejected_datagrams_and_closes_while_waiting() -> None:
    """Guards against a receiver that stops on a rejected datagram.

    It must also be possible to close a receiver that waits.
    """
    receiver = datagrams.Receiver(LOCAL, KEY)
    received: list[members.Announcement] = []
    arrived = threading.Event()

    def deliver(announcement: members.Announcement) -> None:
        received.append(announcement)
        arrived.set()

    thread = threading.Thread(target=receiver.serve, args=(deliver,))
    thread.start()
    for key in (b"wrong", KEY):
        sender = datagrams.Sender(key)
        sender.send(ANNOUNCEMENT, [receiver.address])
        sender.close()
    assert arrived.wait(10)
    receiver.close()
    thread.join(10)
    assert not thread.is_alive()
    assert received == [ANNOUNCEMENT]
