"""Client for the worker on the instance of an agent."""

import abc
import urllib.parse

from returns.result import Failure, Result, Success

from gypsumhold.adapters import http_client, json_documents, worker_codec
from gypsumhold.model import effects, events, ids, tasks


class Worker(abc.ABC):
    """The worker of an instance, which runs tasks under leases."""

    @abc.abstractmethod
    def read_report(self) -> tasks.WorkerReport | None:
        """Returns the report of the worker; None if the call failed."""

    @abc.abstractmethod
    def command(self, command: effects.CommandWorker) -> events.WorkerAnswered:
        """Sends a command, once, and returns the answer to it.

        If no valid answer comes, the event has None in `accepted`; the worker
        may have carried out the command all the same.
        """


class HttpWorker(Worker):
    """Calls a worker over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def read_report(self) -> tasks.WorkerReport | None:
        """Returns the report of the worker; None if the call failed."""
        match self._client.call("GET", "/v1/worker"):
            case Success(http_client.Reply(status=200, body=body)):
                document = json_documents.parse_json(body, "worker report")
                return document.bind(worker_codec.parse_report).value_or(None)
            case _:
                return None

    def command(self, command: effects.CommandWorker) -> events.WorkerAnswered:
        """Sends a command, once, and returns the answer to it.

        If no valid answer comes, the event has None in `accepted`; the worker
        may have carried out the command all the same.
        """
        task = urllib.parse.quote(command.task_id, safe="")
        call_result = self._client.call_json(
            "POST",
            f"/v1/tasks/{task}/{command.action}",
            worker_codec.render_command(command),
        )
        accepted, checkpoint = _read_answer(call_result)
        return events.WorkerAnswered(
            task_id=command.task_id,
            epoch=command.epoch,
            action=command.action,
            accepted=accepted,
            checkpoint=checkpoint,
        )


def _read_answer(
    call_result: Result[http_client.Reply, http_client.CallFailure],
) -> tuple[bool | None, ids.CheckpointRef | None]:
    """Returns whether a command was accepted, and the checkpoint, if any.

    A status of 404 or 409 is a refusal; None stands for an unknown result.
    """
    match call_result:
        case Success(http_client.Reply(status=200, body=body)):
            document = json_documents.parse_json(body, "worker answer")
            match document.bind(worker_codec.parse_checkpoint):
                case Success(checkpoint):
                    return True, checkpoint
                case Failure(_):
                    return None, None
        case Success(http_client.Reply(status=404 | 409)):
            return False, None
    return None, None
