"""Clients for the Thrift protocol between agents and entries.

Their methods take and return model types only.
"""

import abc
import contextlib
import dataclasses
import datetime
import io
from collections.abc import Callable
from typing import Any, TypeVar

import logbook
from returns.result import Failure, Result, Success
from thrift.transport import TTransport

from gypsumhold.adapters import (
    config_codec,
    connection_pool,
    framing,
    request_codec,
    task_codec,
    thrift_encoding,
    thrift_fields,
)
from gypsumhold.adapters.generated.wire import Agent, Entry
from gypsumhold.model import (
    declarations,
    errors,
    events,
    ids,
    members,
    requests,
    tasks,
)

_log = logbook.Logger(__name__)
_Value = TypeVar("_Value")

CALL_TIMEOUT = datetime.timedelta(seconds=5)
"""Timeout of the calls that have no parameter for it.

The peer answers such a call without waiting for a request or task to end.
"""

UNANSWERED_CANCEL = "no answer to the cancel"
"""Beginning of the log line of a cancel without a valid answer."""


class AgentClient(abc.ABC):
    """Calls agents.

    If a call failed or its answer is invalid, `dispatch` returns a
    `DispatchFailed` event, `drain` returns False, and the other methods return
    None.
    """

    @abc.abstractmethod
    def dispatch(
        self,
        address: members.Address,
        dispatch: requests.Dispatch,
        timeout: datetime.timedelta,
    ) -> events.DispatchAnswered | events.DispatchFailed:
        """Sends an attempt and waits for its final reply."""

    @abc.abstractmethod
    def cancel(
        self,
        address: members.Address,
        cancel: requests.Cancel,
        timeout: datetime.timedelta,
    ) -> requests.CancelReply | None:
        """Cancels an attempt; always opens a new connection."""

    @abc.abstractmethod
    def start_tasks(
        self, address: members.Address, starts: tuple[tasks.TaskStart, ...]
    ) -> tuple[bool, ...] | None:
        """Starts tasks and returns, in order, whether each was accepted."""

    @abc.abstractmethod
    def sync_tasks(
        self, address: members.Address, sync: tasks.TaskSync
    ) -> tasks.SyncReply | None:
        """Renews leases and returns the reports of the agent on its tasks."""

    @abc.abstractmethod
    def push_config(
        self,
        address: members.Address,
        configuration: declarations.Configuration,
    ) -> ids.ConfigVersion | None:
        """Sends a configuration; returns the version in force afterwards."""

    @abc.abstractmethod
    def push_changes(
        self,
        address: members.Address,
        changes: tuple[declarations.Change, ...],
    ) -> ids.ConfigVersion | None:
        """Sends changes; returns the version in force afterwards."""

    @abc.abstractmethod
    def read_config(
        self, address: members.Address
    ) -> declarations.Configuration | None:
        """Returns the configuration in force in the agent."""

    @abc.abstractmethod
    def drain(self, address: members.Address) -> bool:
        """Starts a drain and returns whether the agent confirmed it."""


class EntryClient(abc.ABC):
    """Calls other entries.

    A method returns None if the call failed or the answer is invalid.
    """

    @abc.abstractmethod
    def submit(
        self, address: members.Address, submission: tasks.Submission
    ) -> task_codec.SubmissionReply | None:
        """Forwards a submission to the holder of its partition."""

    @abc.abstractmethod
    def cancel_task(
        self, address: members.Address, cancel: task_codec.TaskCancel
    ) -> task_codec.SubmissionReply | None:
        """Forwards a cancellation to the holder of the task's partition."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """Why a call has no valid reply.

    Attributes:
        sent: Whether a byte of the message may have been written.
        error: Cause of the failure.
    """

    sent: bool
    error: errors.Error


class _CallTransport(TTransport.TTransportBase, TTransport.CReadableTransport):
    """Sends the message of the generated client and buffers the reply."""

    def __init__(
        self, connection: framing.Connection, deadline: framing.Deadline
    ) -> None:
        self._connection = connection
        self._deadline = deadline
        self._request = io.BytesIO()
        self._reply = io.BytesIO()
        self.sent = False

    def write(self, data: bytes) -> None:
        self._request.write(data)

    def flush(self) -> None:
        message = self._request.getvalue()
        try:
            self._connection.write_message(message, self._deadline)
        except framing.ConnectionFailedError as problem:
            self.sent = problem.sent
            raise
        self.sent = True
        self._reply = io.BytesIO(self._connection.read_message(self._deadline))

    def read(self, size: int) -> bytes:
        return self._reply.read(size)

    @property
    def cstringio_buf(self) -> io.BytesIO:
        return self._reply

    def cstringio_refill(self, partial: bytes, size: int) -> io.BytesIO:
        raise EOFError("the reply is too short")


class ThriftChannel:
    """Makes the calls of one Thrift service over pooled connections."""

    def __init__(
        self,
        connections: connection_pool.ConnectionPool,
        client_factory: Callable[[Any], Any],
    ) -> None:
        self._pool = connections
        self._client_factory = client_factory

    def call(
        self,
        address: members.Address,
        timeout: datetime.timedelta,
        invoke: Callable[[Any], Result[_Value, errors.Error]],
        fresh: bool = False,
    ) -> Result[_Value, CallFailure]:
        """Makes one call with the generated client.

        A connection returns to the pool only after a complete, valid reply.

        Args:
            address: Address of the server.
            timeout: Limit of the whole call.
            invoke: Makes the call with the generated client and decodes the
                reply.
            fresh: Whether to open a new connection instead of reusing one.
        """
        deadline = framing.Deadline(timeout)
        acquired = self._pool.acquire(address, deadline, fresh)
        if not isinstance(acquired, Success):
            return self._report_failure(address, False, acquired.failure())
        connection = acquired.unwrap()
        transport = _CallTransport(connection, deadline)
        protocol = thrift_encoding.CallProtocol(
            transport, thrift_encoding.MAX_MESSAGE_BYTES
        )
        with contextlib.ExitStack() as stack:
            stack.callback(connection.close)
            try:
                result = invoke(self._client_factory(protocol))
            except framing.ConnectionFailedError as problem:
                error = errors.Error(
                    errors.ErrorKind.PEER_UNAVAILABLE,
                    f"call to {address}: {problem}",
                    "check that the peer runs and is not overloaded",
                )
                return self._report_failure(address, transport.sent, error)
            # The library raises various exceptions for invalid bytes.
            except Exception as problem:
                error = thrift_fields.build_decoding_error(problem)
                return self._report_failure(address, transport.sent, error)
            if not isinstance(result, Success):
                return self._report_failure(
                    address, transport.sent, result.failure()
                )
            stack.pop_all()
        self._pool.release(address, connection)
        return result

    def _report_failure(
        self, address: members.Address, sent: bool, error: errors.Error
    ) -> Result[Any, CallFailure]:
        """Logs the failure of a call and returns it."""
        _log.info("call to {} failed (sent: {}): {}", address, sent, error)
        return Failure(CallFailure(sent, error))


class _ThriftClient:
    """Calls one service of other processes with the same timeout each time."""

    def __init__(
        self,
        connections: connection_pool.ConnectionPool,
        client_factory: Callable[[Any], Any],
        call_timeout: datetime.timedelta,
    ) -> None:
        self._channel = ThriftChannel(connections, client_factory)
        self._call_timeout = call_timeout

    def _call(
        self,
        address: members.Address,
        invoke: Callable[[Any], Result[_Value, errors.Error]],
    ) -> _Value | None:
        """Returns the reply to one call; None if no valid one arrived.

        The whole call is limited by the timeout of the client.
        """
        result = self._channel.call(address, self._call_timeout, invoke)
        return result.value_or(None)


class ThriftAgentClient(_ThriftClient, AgentClient):
    """Calls agents over Thrift; the owner of `connections` closes the pool."""

    def __init__(
        self,
        connections: connection_pool.ConnectionPool,
        call_timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> None:
        super().__init__(connections, Agent.Client, call_timeout)
        self._encoded: tuple[declarations.Configuration, Any] | None = None

    def dispatch(
        self,
        address: members.Address,
        dispatch: requests.Dispatch,
        timeout: datetime.timedelta,
    ) -> events.DispatchAnswered | events.DispatchFailed:
        """Sends an attempt and waits for its final reply."""

        def invoke(client: Any) -> Result[requests.DispatchReply, errors.Error]:
            raw = client.dispatch(request_codec.encode_dispatch(dispatch))
            return request_codec.decode_reply(raw)

        request_id, attempt = dispatch.request_id, dispatch.attempt
        match self._channel.call(address, timeout, invoke):
            case Success(reply):
                return events.DispatchAnswered(request_id, attempt, reply)
            case Failure(failure):
                return events.DispatchFailed(request_id, attempt, failure.sent)
        raise AssertionError("a Result is a Success or a Failure")

    def cancel(
        self,
        address: members.Address,
        cancel: requests.Cancel,
        timeout: datetime.timedelta,
    ) -> requests.CancelReply | None:
        """Cancels an attempt; always opens a new connection."""
        result = self._channel.call(
            address,
            timeout,
            lambda client: request_codec.decode_cancel_reply(
                client.cancel(request_codec.encode_cancel(cancel))
            ),
            fresh=True,
        )
        if isinstance(result, Failure):
            # Repeatable work may run again after this; without the line, its
            # second run could not be told from a fault.
            _log.info(
                "{} of attempt {}",
                UNANSWERED_CANCEL,
                cancel.attempt,
                extra={"subject": cancel.request_id},
            )
        return result.value_or(None)

    def start_tasks(
        self, address: members.Address, starts: tuple[tasks.TaskStart, ...]
    ) -> tuple[bool, ...] | None:
        """Starts tasks and returns, in order, whether each was accepted."""

        def invoke(client: Any) -> Result[tuple[bool, ...], errors.Error]:
            accepted = client.start_tasks(task_codec.encode_starts(starts))
            if len(accepted) != len(starts):
                detail = f"{len(accepted)} answers to {len(starts)} starts"
                return Failure(thrift_fields.build_decoding_error(detail))
            return Success(tuple(accepted))

        return self._call(address, invoke)

    def sync_tasks(
        self, address: members.Address, sync: tasks.TaskSync
    ) -> tasks.SyncReply | None:
        """Renews leases and returns the reports of the agent on its tasks."""
        return self._call(
            address,
            lambda client: task_codec.decode_sync_reply(
                client.sync_tasks(task_codec.encode_sync(sync))
            ),
        )

    def push_config(
        self,
        address: members.Address,
        configuration: declarations.Configuration,
    ) -> ids.ConfigVersion | None:
        """Sends a configuration; returns the version in force afterwards."""

        def invoke(client: Any) -> Result[ids.ConfigVersion, errors.Error]:
            raw = self._encode(configuration)
            return Success(ids.ConfigVersion(client.push_config(raw)))

        return self._call(address, invoke)

    def push_changes(
        self,
        address: members.Address,
        changes: tuple[declarations.Change, ...],
    ) -> ids.ConfigVersion | None:
        """Sends changes; returns the version in force afterwards."""

        def invoke(client: Any) -> Result[ids.ConfigVersion, errors.Error]:
            raw = config_codec.encode_changes(changes)
            return Success(ids.ConfigVersion(client.push_changes(raw)))

        return self._call(address, invoke)

    def _encode(self, configuration: declarations.Configuration) -> Any:
        """Returns the struct of a configuration, cached for other agents.

        Threads that push a new configuration at the same time may encode it
        twice.
        """
        cached = self._encoded
        if cached is None or cached[0] is not configuration:
            struct = config_codec.encode_configuration(configuration)
            cached = (configuration, struct)
            self._encoded = cached
        return cached[1]

    def read_config(
        self, address: members.Address
    ) -> declarations.Configuration | None:
        """Returns the configuration in force in the agent."""
        return self._call(
            address,
            lambda client: config_codec.decode_configuration(
                client.read_config()
            ),
        )

    def drain(self, address: members.Address) -> bool:
        """Starts a drain and returns whether the agent confirmed it."""
        confirmed = self._call(
            address, lambda client: Success(bool(client.drain()))
        )
        return bool(confirmed)


class ThriftEntryClient(_ThriftClient, EntryClient):
    """Calls entries over Thrift; the owner of `connections` closes the pool."""

    def __init__(
        self,
        connections: connection_pool.ConnectionPool,
        call_timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> None:
        super().__init__(connections, Entry.Client, call_timeout)

    def submit(
        self, address: members.Address, submission: tasks.Submission
    ) -> task_codec.SubmissionReply | None:
        """Forwards a submission to the holder of its partition."""
        return self._call(
            address,
            lambda client: task_codec.decode_submission_reply(
                client.submit(task_codec.encode_submission(submission))
            ),
        )

    def cancel_task(
        self, address: members.Address, cancel: task_codec.TaskCancel
    ) -> task_codec.SubmissionReply | None:
        """Forwards a cancellation to the holder of the task's partition."""
        return self._call(
            address,
            lambda client: task_codec.decode_submission_reply(
                client.cancel_task(task_codec.encode_task_cancel(cancel))
            ),
        )
