"""The worker of an instance, which runs tasks."""

import abc
import urllib.parse

from returns.result import Failure, Result, Success

from gypsumhold.adapters import httpcalls, json_documents, workercodec
from gypsumhold.model import effects, events, ids, tasks


class Worker(abc.ABC):
    """Runs tasks under leases."""

    @abc.abstractmethod
    def read(self) -> tasks.WorkerReport | None:
        """Lists the worker's tasks; None if it did not answer."""

    @abc.abstractmethod
    def command(self, command: effects.CommandWorker) -> events.WorkerAnswered:
        """Sends a command once and tells what became of it."""


class HttpWorker(Worker):
    """A worker over HTTP."""

    def __init__(self, caller: httpcalls.HttpClient) -> None:
        self._caller = caller

    def read(self) -> tasks.WorkerReport | None:
        """Lists the worker's tasks; None if it did not answer."""
        match self._caller.call("GET", "/v1/worker"):
            case Success(httpcalls.Reply(status=200, body=body)):
                document = json_documents.read_json(body, "worker report")
                return document.bind(workercodec.read_report).value_or(None)
            case _:
                return None

    def command(self, command: effects.CommandWorker) -> events.WorkerAnswered:
        """Sends a command once and tells what became of it."""
        task = urllib.parse.quote(command.task_id, safe="")
        sent = self._caller.call_json(
            "POST",
            f"/v1/tasks/{task}/{command.action}",
            workercodec.render_command(command),
        )
        accepted, checkpoint = _read_answer(sent)
        return events.WorkerAnswered(
            task_id=command.task_id,
            epoch=command.epoch,
            action=command.action,
            accepted=accepted,
            checkpoint=checkpoint,
        )


def _read_answer(
    sent: Result[httpcalls.Reply, httpcalls.CallFailure],
) -> tuple[bool | None, ids.CheckpointRef | None]:
    match sent:
        case Success(httpcalls.Reply(status=200, body=body)):
            document = json_documents.read_json(body, "worker answer")
            match document.bind(workercodec.read_checkpoint):
                case Success(checkpoint):
                    return True, checkpoint
                case Failure(_):
                    return None, None
        case Success(httpcalls.Reply(status=404 | 409)):
            return False, None
    return None, None
