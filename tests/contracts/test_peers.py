"""Tests the Thrift protocol between processes, with faults on either side."""

import collections.abc
import contextlib
import datetime
import socket
import struct
import threading
from typing import Any
from unittest import mock

import pytest

from gypsumhold.adapters import (
    connection_pool,
    framing,
    handshake,
    peers,
    peerserver,
    request_codec,
    services,
    task_codec,
    thrift_encoding,
)
from gypsumhold.model import (
    declarations,
    errors,
    events,
    members,
    requests,
    resources,
    states,
    tasks,
)

KEY = b"k" * 32
LOCAL = members.Address("127.0.0.1", 0)
LIMIT = datetime.timedelta(seconds=10)
SHORT = datetime.timedelta(seconds=0.2)
CALL = framing.Deadline(datetime.timedelta(hours=1))
PAYLOAD = requests.Payload("POST", "/", (("a", "b"),), b"body")
DISPATCH = requests.Dispatch("r1", 1, 7, "o", "k", LIMIT, False, LIMIT, PAYLOAD)
REPLY = requests.DispatchReply(
    states.Outcome.COMPLETED, answer=requests.Answer(200, (), b"x" * 100_000)
)
CANCEL = requests.Cancel("r1", 1, 7, True, LIMIT)
CANCEL_REPLY = requests.CancelReply(states.CancelAnswer.FINISHED, REPLY)
STARTS = tuple(
    tasks.TaskStart(
        *("t", epoch, 1, 7, "o", "k", states.WorkClass.BATCH),
        *(resources.NOTHING, LIMIT, "payload", None),
    )
    for epoch in (1, 2)
)
SYNC = tasks.TaskSync(1, 2, 3, ())
SUBMISSION = tasks.Submission("o", "k", "i")
SUBMITTED = task_codec.SubmissionReply(states.SubmissionResult.ACCEPTED, "t")
TASK_CANCEL = task_codec.TaskCancel("o", "t")


def build_agent() -> Any:
    agent = mock.create_autospec(services.AgentService, instance=True)
    agent.dispatch.return_value = REPLY
    agent.cancel.return_value = CANCEL_REPLY
    agent.start_tasks.return_value = (True, False)
    agent.sync_tasks.return_value = tasks.SyncReply(True)
    agent.push_config.return_value = 5
    agent.push_changes.return_value = 6
    agent.read_config.return_value = declarations.EMPTY
    return agent


class Rig:
    """A server with a mock agent.

    It closes the pools, connections and servers of a test at the end.
    """

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.stack = stack
        self.agent = build_agent()
        self.arrived = threading.Event()
        self.released = threading.Event()
        self.server = self.serve(self.agent)
        self.address = self.server.address

    def block_dispatches(self) -> None:
        """Makes dispatches wait until `released` is set."""

        def wait(_: Any) -> Any:
            self.arrived.set()
            assert self.released.wait(10)
            return REPLY

        self.agent.dispatch.side_effect = wait

    def serve(self, service: Any, **limits: Any) -> peerserver.PeerServer:
        options = peerserver.ServerOptions(**limits)
        server = peerserver.PeerServer(LOCAL, service, KEY, options)
        self.stack.callback(server.close, LIMIT)
        return server

    def pool(
        self, key: bytes = KEY, **limits: Any
    ) -> connection_pool.ConnectionPool:
        connections = connection_pool.ConnectionPool(
            key, connection_pool.PoolOptions(**limits)
        )
        self.stack.callback(connections.close)
        return connections

    def connect(self, **limits: Any) -> peers.ThriftAgentClient:
        return peers.ThriftAgentClient(self.pool(**limits))

    def open_authenticated(
        self, address: members.Address
    ) -> framing.Connection:
        connection = framing.Connection.open(address, 2**31, CALL)
        self.stack.callback(connection.close)
        handshake.authenticate_server(connection, KEY, CALL).unwrap()
        return connection

    def open_raw(self, address: members.Address) -> socket.socket:
        sock = socket.create_connection((address.host, address.port), 10)
        return self.stack.enter_context(sock)


@pytest.fixture
def rig() -> collections.abc.Iterator[Rig]:
    with contextlib.ExitStack() as stack:
        yield Rig(stack)


def failed(sent: bool) -> events.DispatchFailed:
    return events.DispatchFailed("r1", 1, sent)


def test_every_call_reaches_the_service_and_returns(rig: Rig) -> None:
    """Guards against a method that uses the wrong message or codec."""
    client, address = rig.connect(), rig.address
    answered = events.DispatchAnswered("r1", 1, REPLY)
    assert client.dispatch(address, DISPATCH, LIMIT) == answered
    assert client.cancel(address, CANCEL, LIMIT) == CANCEL_REPLY
    assert client.start_tasks(address, STARTS) == (True, False)
    assert client.sync_tasks(address, SYNC) == tasks.SyncReply(True)
    assert client.push_config(address, declarations.EMPTY) == 5
    change = declarations.Change(6)
    assert client.push_changes(address, (change,)) == 6
    assert client.read_config(address) == declarations.EMPTY
    assert client.drain(address)
    assert rig.agent.mock_calls == [
        mock.call.dispatch(DISPATCH),
        mock.call.cancel(CANCEL),
        mock.call.start_tasks(STARTS),
        mock.call.sync_tasks(SYNC),
        mock.call.push_config(declarations.EMPTY),
        mock.call.push_changes((change,)),
        mock.call.read_config(),
        mock.call.drain(),
    ]
    service = mock.create_autospec(services.EntryService, instance=True)
    service.submit.return_value = SUBMITTED
    service.cancel_task.return_value = SUBMITTED
    entry = rig.serve(service)
    forwarder = peers.ThriftEntryClient(rig.pool())
    assert forwarder.submit(entry.address, SUBMISSION) == SUBMITTED
    assert forwarder.cancel_task(entry.address, TASK_CANCEL) == SUBMITTED
    assert service.mock_calls == [
        mock.call.submit(SUBMISSION),
        mock.call.cancel_task(TASK_CANCEL),
    ]


def test_client_without_the_key_cannot_call(rig: Rig) -> None:
    """Guards against calls between different deployments."""
    foreign_client = rig.connect(key=b"other key")
    assert foreign_client.dispatch(rig.address, DISPATCH, LIMIT) == failed(
        False
    )
    connections = rig.pool(b"other key")
    refused = connections.acquire(rig.address, CALL).failure()
    assert refused.kind is errors.ErrorKind.PEER_REFUSED
    assert rig.agent.mock_calls == []


def test_forged_proof_closes_the_connection_before_any_call(
    rig: Rig,
) -> None:
    """Guards against a client without the key that sends a forged proof."""
    sock = rig.open_raw(rig.address)
    sock.sendall(b"GYP1" + b"n" * 32)
    assert len(sock.recv(64, socket.MSG_WAITALL)) == 64
    sock.sendall(b"p" * 32)
    assert sock.recv(1) == b""
    assert rig.agent.mock_calls == []


@pytest.mark.parametrize("opening", [b"", b"GYP1", b"GET / HTTP/1.1" * 5])
def test_unfinished_handshake_is_closed_in_time(
    opening: bytes, rig: Rig
) -> None:
    """Guards against clients that block a thread before the handshake ends."""
    server = rig.serve(rig.agent, handshake_timeout=SHORT)
    sock = rig.open_raw(server.address)
    sock.sendall(opening)
    with contextlib.suppress(ConnectionResetError):
        assert sock.recv(1) == b""


def frame(message: bytes) -> bytes:
    return struct.pack("!I", len(message)) + message


DISPATCH_CALL = b"\x82\x21\x01\x08dispatch"
LENGTH_2_GB = b"\xff\xff\xff\xff\x07"


MALFORMED = {
    "garbage": frame(b"\xff" * 6),
    "empty": frame(b""),
    "length": struct.pack("!I", 2**32 - 1),
    "string": frame(DISPATCH_CALL + b"\x1c\x18" + LENGTH_2_GB),
    "list": frame(b"\x82\x21\x01\x0bstart_tasks\x19\xfc" + LENGTH_2_GB),
    "no fields": frame(DISPATCH_CALL + b"\x1c\0\0"),
    "no argument": frame(DISPATCH_CALL + b"\0"),
}


@pytest.mark.parametrize("fault", MALFORMED)
def test_malformed_message_closes_only_its_connection(
    fault: str, rig: Rig
) -> None:
    """Guards against memory exhaustion and failures of other connections."""
    client = rig.connect()
    assert client.drain(rig.address)
    connection = rig.open_authenticated(rig.address)
    connection.write(MALFORMED[fault], CALL)
    with pytest.raises(framing.ConnectionFailedError, match="closed|reset"):
        connection.read(1, framing.Deadline(LIMIT / 2))
    assert client.drain(rig.address)
    assert rig.agent.mock_calls == [mock.call.drain()] * 2


def test_truncated_message_makes_no_call(rig: Rig) -> None:
    """Guards against a call made from a truncated message."""
    connection = rig.open_authenticated(rig.address)
    connection.write(struct.pack("!I", 100) + b"\x82\x21", CALL)
    connection.close()
    assert rig.connect().drain(rig.address)
    assert rig.agent.mock_calls == [mock.call.drain()]


class FaultyPeer:
    """Accepts one connection and runs `script` on it."""

    def __init__(self, stack: contextlib.ExitStack, script: Any) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = members.Address(*self._listener.getsockname())
        self._script = script
        self._finished = False
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        stack.callback(self._check)

    def _run(self) -> None:
        with self._listener, self._listener.accept()[0] as sock:
            self._script(framing.Connection(sock, 2**20))
        self._finished = True

    def _check(self) -> None:
        self._thread.join(10)
        assert self._finished


def close_at_once(connection: framing.Connection) -> None:
    connection.close()


def send_wrong_proof(connection: framing.Connection) -> None:
    connection.read(36, CALL)
    connection.write(b"w" * 64, CALL)
    with pytest.raises(framing.ConnectionFailedError):
        connection.read(1, CALL)


def wait_for_close(connection: framing.Connection) -> None:
    # One byte more than a client sends before the server's proof.
    with pytest.raises(framing.ConnectionFailedError):
        connection.read(37, CALL)


def read_call(connection: framing.Connection) -> bytes:
    handshake.authenticate_client(connection, KEY, CALL).unwrap()
    return connection.read_message(CALL)


def answer_bytes(data: bytes) -> Any:
    def script(connection: framing.Connection) -> None:
        read_call(connection)
        connection.write(data, CALL)

    return script


RESULT = (
    b"\x0c\0"
    + thrift_encoding.encode_struct(request_codec.encode_reply(REPLY))
    + b"\0"
)


def answer_call(result: bytes, kind: int = 0x41, offset: int = 0) -> Any:
    """Replies with `result`, the sequence number of the call XOR `offset`."""

    def script(connection: framing.Connection) -> None:
        call = read_call(connection)
        end = call.index(b"dispatch") + len(b"dispatch")
        number = bytes([call[2] ^ offset]) + call[3:end]
        reply = bytes([0x82, kind]) + number + result
        connection.write(frame(reply), CALL)

    return script


FAULTS = {
    "closed": (close_at_once, False),
    "wrong proof": (send_wrong_proof, False),
    "no reply": (read_call, True),
    "cut length": (answer_bytes(b"\0\0"), True),
    "oversize length": (answer_bytes(b"\xff" * 4), True),
    "garbage": (answer_bytes(frame(b"junk")), True),
    "cut reply": (answer_call(RESULT[:-9]), True),
    "reply to another call": (answer_call(RESULT, offset=1), True),
    "no result": (answer_call(b"\0"), True),
    "no fields": (answer_call(b"\x0c\0\0\0"), True),
    "exception": (answer_call(b"\x18\x01x\0", kind=0x61), True),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_failed_dispatch_tells_whether_it_may_have_been_sent(
    fault: str, rig: Rig
) -> None:
    """Guards the outcome "not run".

    `sent` is False only if no byte of the dispatch can have reached the agent.
    """
    script, sent = FAULTS[fault]
    peer = FaultyPeer(rig.stack, script)
    client = rig.connect()
    assert client.dispatch(peer.address, DISPATCH, LIMIT) == failed(sent)


def test_valid_reply_of_the_faulty_peer_is_accepted(rig: Rig) -> None:
    """Guards FAULTS: its replies must fail only because of the named fault."""
    peer = FaultyPeer(rig.stack, answer_call(RESULT))
    answered = rig.connect().dispatch(peer.address, DISPATCH, LIMIT)
    assert isinstance(answered, events.DispatchAnswered)


def test_refused_connect_and_unencodable_message_are_not_sent(rig: Rig) -> None:
    """Guards the outcome "not run" for failures in the client."""
    client = rig.connect(max_message=50)
    assert client.dispatch(rig.address, DISPATCH, LIMIT) == failed(False)
    rig.server.close(LIMIT)
    assert client.dispatch(rig.address, DISPATCH, LIMIT) == failed(False)
    assert rig.agent.mock_calls == []


def test_timeout_is_reported_and_closes_the_connection(
    rig: Rig,
) -> None:
    """Guards against a late reply that is read as the next call's reply.

    The dispatch uses an open connection, so that its limit leaves out the
    handshake.
    """
    client = rig.connect()
    assert client.drain(rig.address)
    rig.block_dispatches()
    assert client.dispatch(rig.address, DISPATCH, SHORT) == failed(True)
    # The reply is still to come; this call would be the one to read it.
    assert client.drain(rig.address)
    rig.released.set()
    assert client.cancel(rig.address, CANCEL, LIMIT) == CANCEL_REPLY
    assert client.drain(rig.address)


def test_handshake_that_exceeds_the_limit_is_not_sent(rig: Rig) -> None:
    """Guards the outcome "not run" if the limit ends before the dispatch."""
    peer = FaultyPeer(rig.stack, wait_for_close)
    client = rig.connect()
    assert client.dispatch(peer.address, DISPATCH, SHORT) == failed(False)


def test_idle_connection_closed_by_the_server_is_replaced(rig: Rig) -> None:
    """Guards against a call that fails because its pooled connection closed."""
    server = rig.serve(rig.agent, idle_time=SHORT)
    connections = rig.pool()
    first = connections.acquire(server.address, CALL).unwrap()
    connections.release(server.address, first)
    with pytest.raises(framing.ConnectionFailedError):
        first.read(1, CALL)
    second = connections.acquire(server.address, CALL).unwrap()
    assert second is not first
    second.close()


def test_pool_bounds_and_closes_idle_connections(rig: Rig) -> None:
    """Guards against idle connections that accumulate after a burst."""
    connections = rig.pool(max_idle=1, idle_time=SHORT)
    taken = [connections.acquire(rig.address, CALL).unwrap() for _ in "ab"]
    for connection in taken:
        connections.release(rig.address, connection)
    assert not taken[1].is_idle()
    while taken[0].is_idle():
        threading.Event().wait(0.01)


def test_close_finishes_a_call_that_is_still_arriving(rig: Rig) -> None:
    """Guards the graceful close: a partly received call is still answered."""
    rig.open_authenticated(rig.address)
    connection = rig.open_authenticated(rig.address)
    call = frame(b"\x82\x21\x01\x05drain\0")
    connection.write(call[:9], CALL)
    while not any(session.busy for session in rig.server._sessions.values()):
        threading.Event().wait(0.01)
    closer = threading.Thread(target=rig.server.close, args=(LIMIT,))
    closer.start()
    closer.join(0.1)
    connection.write(call[9:], CALL)
    assert b"drain" in connection.read_message(CALL)
    closer.join(10)
    assert not closer.is_alive()


def test_close_aborts_a_call_that_exceeds_the_grace(rig: Rig) -> None:
    """Guards against a close that never returns; the client's call fails."""
    rig.block_dispatches()
    rig.stack.callback(rig.released.set)
    closer = threading.Thread(
        target=lambda: rig.arrived.wait(10) and rig.server.close(SHORT)
    )
    closer.start()
    client = rig.connect()
    assert client.dispatch(rig.address, DISPATCH, LIMIT) == failed(True)
    closer.join(10)


def test_exception_in_the_agent_fails_only_its_call(rig: Rig) -> None:
    """Guards against an exception in the agent reported as "not run"."""
    rig.agent.dispatch.side_effect = RuntimeError
    client = rig.connect()
    assert client.dispatch(rig.address, DISPATCH, LIMIT) == failed(True)
    assert client.drain(rig.address)


def test_connections_over_the_limit_are_refused_unsent(rig: Rig) -> None:
    """Guards against an unlimited number of threads in the server."""
    server = rig.serve(rig.agent, max_connections=1)
    rig.open_authenticated(server.address)
    client = rig.connect()
    assert client.dispatch(server.address, DISPATCH, LIMIT) == failed(False)
