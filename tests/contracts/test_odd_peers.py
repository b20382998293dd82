"""Guards against odd messages between processes, and calls to odd addresses.

One process sends a message that is deeply nested or has an impossible port;
or an address leads to no port. The server answers the next call, and the
client gets a failure, not an exception.
"""

import collections.abc
import contextlib
import datetime
from typing import Any

import pytest
from returns.result import Failure, Success

from gypsumhold.adapters import (
    connection_pool,
    datagrams,
    http_client,
    peerserver,
    services,
)
from gypsumhold.adapters import peers as channels
from gypsumhold.adapters.generated.wire import Jobs
from gypsumhold.adapters.jobs import codec, peers
from gypsumhold.model import errors, ids, members, resources, states
from gypsumhold.model.jobs import messages
from tests.jobs import odd_entries

KEY = b"k" * 32
LOCAL = members.Address(odd_entries.HOST, 0)
LIMIT = datetime.timedelta(seconds=5)
QUERY = messages.Query(messages.QueryKind.STATE)
ANSWER = messages.Answer(messages.Verdict.WAITING, waiting=3)
NO_HOSTS = (members.Address("a\0b", 80), members.Address("", 80))
ODD_ADDRESSES = (
    members.Address(odd_entries.HOST, 0),
    members.Address(odd_entries.HOST, -5),
    members.Address(odd_entries.HOST, 65_536),
    members.Address(odd_entries.HOST, 2**62),
    members.Address(odd_entries.HOST, 2**64),
    members.Address("x" * 70, 80),
    members.Address("a..b", 80),
    *NO_HOSTS,
)


class WaitingService(services.JobService):
    """Answers every message."""

    def exchange(self, message: messages.Message) -> messages.Message:
        return ANSWER


@pytest.fixture(name="connections")
def fixture_connections() -> collections.abc.Iterator[
    connection_pool.ConnectionPool
]:
    pool = connection_pool.ConnectionPool(KEY, connection_pool.PoolOptions())
    with contextlib.closing(pool):
        yield pool


def list_odd_messages() -> list[bytes]:
    report = messages.Report(
        ids.InstanceId("a"),
        ids.Incarnation(1),
        1,
        messages.Endpoint("10.0.0.1", 70_000),
        None,
        ids.Epoch(1),
    )
    return [
        *(
            odd_entries.nest_behind(codec.encode(QUERY), levels)
            for levels in odd_entries.LEVELS
        ),
        codec.encode(report),
        *odd_entries.MALFORMED,
    ]


def test_server_answers_after_an_odd_message(
    connections: connection_pool.ConnectionPool,
) -> None:
    """Guards against a message that is answered with an exception."""
    server = peerserver.PeerServer(LOCAL, WaitingService(), KEY)
    client = peers.JobClient(connections)
    channel = channels.ThriftChannel(connections, Jobs.Client)
    with contextlib.ExitStack() as stack:
        stack.callback(server.close, LIMIT)
        for odd in list_odd_messages():

            def invoke(raw: Any, odd: bytes = odd) -> Any:
                return Success(raw.exchange(odd))

            failed = channel.call(server.address, LIMIT, invoke)
            assert isinstance(failed, Failure)
            problem = failed.failure().error.kind
            assert problem is errors.ErrorKind.PEER_UNAVAILABLE
            assert client.send_query(server.address, QUERY) == ANSWER


def test_call_to_an_odd_address_fails(
    connections: connection_pool.ConnectionPool,
) -> None:
    """Guards against an error that is neither an OSError nor expected."""
    client = peers.JobClient(connections)
    for address in ODD_ADDRESSES:
        answer = client.send_query(address, QUERY)
        assert answer == messages.Answer(messages.Verdict.NOT_SENT)


def test_http_call_to_an_odd_address_fails() -> None:
    """Guards against an error of the library that no caller expects.

    An address without a host is refused before any call.
    """
    for address in NO_HOSTS:
        with pytest.raises(ValueError, match="[Hh]ost"):
            http_client.HttpClient(http_client.CallOptions(address))
    for address in set(ODD_ADDRESSES) - set(NO_HOSTS):
        client = http_client.HttpClient(http_client.CallOptions(address))
        with contextlib.closing(client):
            assert isinstance(client.call("GET", "/"), Failure)


def test_datagrams_reach_the_addresses_beside_an_odd_one() -> None:
    """Guards against announcements that end with the first odd address."""
    announcement = members.Announcement(
        ids.InstanceId("a"),
        ids.Incarnation(1),
        1,
        states.MemberState.SERVING,
        members.Address("10.0.0.1", 1000),
        ids.DataCentre("d"),
        ids.Region("r"),
        ids.Rack("k"),
        datetime.timedelta(0),
        frozenset(),
        0,
        0,
        resources.NOTHING,
        resources.NOTHING,
        ids.ConfigVersion(1),
        0,
    )
    receiver = datagrams.Receiver(LOCAL, KEY)
    sender = datagrams.Sender(KEY)
    with contextlib.closing(receiver), contextlib.closing(sender):
        sender.send(announcement, (*ODD_ADDRESSES, receiver.address))
        assert isinstance(receiver.receive(), Success)
