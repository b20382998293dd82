"""Interfaces of the services for peers, and their Thrift processors.

A processor decodes the arguments of a call, calls the service and encodes the
result.
"""

import abc
from collections.abc import Callable
from typing import Any, TypeVar

import logbook
from returns.result import Result, Success
from thrift.transport import TTransport

from gypsumhold.adapters import config_codec, request_codec, task_codec
from gypsumhold.adapters.generated.wire import Agent, Entry, Jobs
from gypsumhold.adapters.jobs import codec as job_codec
from gypsumhold.model import declarations, errors, ids, requests, tasks
from gypsumhold.model.jobs import messages

_log = logbook.Logger(__name__)
_Value = TypeVar("_Value")


class AgentService(abc.ABC):
    """Answers calls of entries, each in the thread of its connection."""

    @abc.abstractmethod
    def dispatch(self, dispatch: requests.Dispatch) -> requests.DispatchReply:
        """Runs or refuses an attempt and returns its outcome."""

    @abc.abstractmethod
    def cancel(self, cancel: requests.Cancel) -> requests.CancelReply:
        """Returns the state of an attempt; one that never arrived is fenced."""

    @abc.abstractmethod
    def start_tasks(
        self, starts: tuple[tasks.TaskStart, ...]
    ) -> tuple[bool, ...]:
        """Returns for each start, in order, whether it is accepted."""

    @abc.abstractmethod
    def sync_tasks(self, sync: tasks.TaskSync) -> tasks.SyncReply:
        """Renews the leases of placements and reports the states of tasks."""

    @abc.abstractmethod
    def push_config(
        self, configuration: declarations.Configuration
    ) -> ids.ConfigVersion:
        """Installs a newer configuration; returns the version in force."""

    @abc.abstractmethod
    def push_changes(
        self, changes: tuple[declarations.Change, ...]
    ) -> ids.ConfigVersion:
        """Applies changes in order; returns the version in force."""

    @abc.abstractmethod
    def read_config(self) -> declarations.Configuration:
        """Returns the configuration in force."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Makes the instance finish its work and refuse new work."""


class EntryService(abc.ABC):
    """Answers calls of other entries, in the thread of their connection."""

    @abc.abstractmethod
    def submit(
        self, submission: tasks.Submission
    ) -> task_codec.SubmissionReply:
        """Commits a submission, if this entry holds its partition."""

    @abc.abstractmethod
    def cancel_task(
        self, cancel: task_codec.TaskCancel
    ) -> task_codec.SubmissionReply:
        """Cancels a task, if this entry holds its partition."""


class JobService(abc.ABC):
    """Answers messages about jobs, in the thread of their connection."""

    @abc.abstractmethod
    def exchange(self, message: messages.Message) -> messages.Message:
        """Returns the answer to a message."""


class CallAbortedError(TTransport.TTransportException):
    """Raised to end the connection without a reply.

    The generated processor raises exceptions of this base class again. It
    answers any other exception itself and logs it with the standard library.
    """


def _handle_call(
    decoded: Result[_Value, errors.Error], handle: Callable[[_Value], Any]
) -> Any:
    """Returns the result of `handle` for the arguments of a call.

    Raises:
        CallAbortedError: The arguments could not be decoded, or `handle`
            failed.
    """
    if not isinstance(decoded, Success):
        raise CallAbortedError(message=str(decoded.failure()))
    try:
        return handle(decoded.unwrap())
    except Exception as problem:
        _log.exception("the handler of a peer's call raised an exception")
        raise CallAbortedError(
            message="the handler of the call failed"
        ) from problem


class _AgentHandler:
    """Adapts an AgentService to the generated processor."""

    def __init__(self, service: AgentService) -> None:
        self._service = service

    def dispatch(self, raw: Any) -> Any:
        return _handle_call(
            request_codec.decode_dispatch(raw),
            lambda dispatch: request_codec.encode_reply(
                self._service.dispatch(dispatch)
            ),
        )

    def cancel(self, raw: Any) -> Any:
        return _handle_call(
            request_codec.decode_cancel(raw),
            lambda cancel: request_codec.encode_cancel_reply(
                self._service.cancel(cancel)
            ),
        )

    def start_tasks(self, raw: Any) -> Any:
        return _handle_call(
            task_codec.decode_starts(raw),
            lambda starts: list(self._service.start_tasks(starts)),
        )

    def sync_tasks(self, raw: Any) -> Any:
        return _handle_call(
            task_codec.decode_sync(raw),
            lambda sync: task_codec.encode_sync_reply(
                self._service.sync_tasks(sync)
            ),
        )

    def push_config(self, raw: Any) -> Any:
        return _handle_call(
            config_codec.decode_configuration(raw), self._service.push_config
        )

    def push_changes(self, raw: Any) -> Any:
        return _handle_call(
            config_codec.decode_changes(raw), self._service.push_changes
        )

    def read_config(self) -> Any:
        return _handle_call(
            Success(None),
            lambda _: config_codec.encode_configuration(
                self._service.read_config()
            ),
        )

    def drain(self) -> Any:
        _handle_call(Success(None), lambda _: self._service.drain())
        return True


class _EntryHandler:
    """Adapts an EntryService to the generated processor."""

    def __init__(self, service: EntryService) -> None:
        self._service = service

    def submit(self, raw: Any) -> Any:
        return _handle_call(
            task_codec.decode_submission(raw),
            lambda submission: task_codec.encode_submission_reply(
                self._service.submit(submission)
            ),
        )

    def cancel_task(self, raw: Any) -> Any:
        return _handle_call(
            task_codec.decode_task_cancel(raw),
            lambda cancel: task_codec.encode_submission_reply(
                self._service.cancel_task(cancel)
            ),
        )


class _JobHandler:
    """Adapts a JobService to the generated processor."""

    def __init__(self, service: JobService) -> None:
        self._service = service

    def exchange(self, raw: bytes) -> bytes:
        return _handle_call(
            job_codec.decode_message(raw),
            lambda message: job_codec.encode(self._service.exchange(message)),
        )


def build_processor(service: AgentService | EntryService | JobService) -> Any:
    """Returns the Thrift processor of a service."""
    if isinstance(service, JobService):
        return Jobs.Processor(_JobHandler(service))
    if isinstance(service, AgentService):
        return Agent.Processor(_AgentHandler(service))
    return Entry.Processor(_EntryHandler(service))
