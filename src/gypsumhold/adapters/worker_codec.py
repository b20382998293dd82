"""Converts commands and reports of the worker API to and from JSON."""

import datetime
from typing import Annotated, Any

import pydantic
from returns.result import Result

from gypsumhold.adapters import declaration_documents, json_documents
from gypsumhold.model import effects, errors, ids, states, tasks, timers

MILLISECOND = datetime.timedelta(milliseconds=1)


class StartDocument(json_documents.Document):
    """Body of a start command."""

    task_id: str
    epoch: json_documents.NonNegativeInt
    partition: json_documents.NonNegativeInt
    incarnation: json_documents.NonNegativeInt
    organisation: str
    kind: str
    work_class: states.WorkClass = pydantic.Field(alias="class")
    declared: declaration_documents.ResourcesDocument
    expires_ms: json_documents.NonNegativeInt
    payload: str
    checkpoint: str | None


class CommandDocument(json_documents.Document):
    """Body of every command except START.

    A lease renewal requires `expires_ms`; `share` is a CPU share in percent.
    """

    epoch: json_documents.NonNegativeInt
    expires_ms: json_documents.NonNegativeInt | None = None
    share: Annotated[int | None, pydantic.Field(strict=True, ge=1, le=100)] = (
        None
    )


class _TaskDocument(json_documents.Document):
    task_id: str
    epoch: json_documents.NonNegativeInt
    state: states.ExecutionState
    result: str
    checkpoint: str | None
    usage: declaration_documents.ResourcesDocument
    start: StartDocument


class _ReportDocument(json_documents.Document):
    capacity: declaration_documents.ResourcesDocument
    tasks: tuple[_TaskDocument, ...]


class _AnswerDocument(json_documents.Document):
    checkpoint: str | None = None


def _build_checkpoint(text: str | None) -> ids.CheckpointRef | None:
    return None if text is None else ids.CheckpointRef(text)


def _build_start(document: StartDocument) -> tasks.TaskStart:
    return tasks.TaskStart(
        task_id=ids.TaskId(document.task_id),
        epoch=ids.Epoch(document.epoch),
        partition=ids.Partition(document.partition),
        incarnation=ids.Incarnation(document.incarnation),
        organisation=ids.OrganisationId(document.organisation),
        kind=ids.KindName(document.kind),
        work_class=document.work_class,
        declared=declaration_documents.build_resources(document.declared),
        expires=document.expires_ms * MILLISECOND,
        payload=document.payload,
        checkpoint=_build_checkpoint(document.checkpoint),
    )


def _build_task(document: _TaskDocument) -> tasks.WorkerTask:
    return tasks.WorkerTask(
        task_id=ids.TaskId(document.task_id),
        epoch=ids.Epoch(document.epoch),
        state=document.state,
        result=document.result,
        checkpoint=_build_checkpoint(document.checkpoint),
        usage=declaration_documents.build_resources(document.usage),
        start=_build_start(document.start),
    )


def _build_command(
    task_id: ids.TaskId, action: timers.WorkerAction, raw: object
) -> effects.CommandWorker:
    if action is timers.WorkerAction.START:
        return _build_start_command(task_id, raw)
    document = CommandDocument.model_validate(raw)
    expires = document.expires_ms
    if action is timers.WorkerAction.RENEW and expires is None:
        raise json_documents.MalformedDocumentError(
            json_documents.build_decoding_error(
                "command", "expires_ms is missing"
            )
        )
    return effects.CommandWorker(
        task_id=task_id,
        epoch=ids.Epoch(document.epoch),
        action=action,
        expires=None if expires is None else expires * MILLISECOND,
        share=100 if document.share is None else document.share,
    )


def _build_start_command(
    task_id: ids.TaskId, raw: object
) -> effects.CommandWorker:
    start = _build_start(StartDocument.model_validate(raw))
    if start.task_id != task_id:
        raise json_documents.MalformedDocumentError(
            json_documents.build_decoding_error(
                "start", "the body has another task id than the path"
            )
        )
    return effects.CommandWorker(
        task_id=task_id,
        epoch=start.epoch,
        action=timers.WorkerAction.START,
        start=start,
        expires=start.expires,
    )


def _build_report(document: _ReportDocument) -> tasks.WorkerReport:
    return tasks.WorkerReport(
        capacity=declaration_documents.build_resources(document.capacity),
        tasks=tuple(map(_build_task, document.tasks)),
    )


def parse_command(
    task_id: ids.TaskId, action: timers.WorkerAction, raw: object
) -> Result[effects.CommandWorker, errors.Error]:
    """Validates and converts the body of a command to `task_id`."""
    return json_documents.convert_document(
        "command", lambda: _build_command(task_id, action, raw)
    )


def parse_report(raw: object) -> Result[tasks.WorkerReport, errors.Error]:
    """Validates and converts a report of the worker's capacity and tasks."""
    return json_documents.convert_document(
        "worker report",
        lambda: _build_report(_ReportDocument.model_validate(raw)),
    )


def parse_checkpoint(
    raw: object,
) -> Result[ids.CheckpointRef | None, errors.Error]:
    """Validates the answer to a command and returns its checkpoint, if any."""
    return json_documents.convert_document(
        "worker answer",
        lambda: _build_checkpoint(
            _AnswerDocument.model_validate(raw).checkpoint
        ),
    )


def render_start(
    start: tasks.TaskStart, expires: datetime.timedelta
) -> dict[str, Any]:
    """Returns the JSON body of a start command; the lease ends at `expires`."""
    return {
        "task_id": start.task_id,
        "epoch": start.epoch,
        "partition": start.partition,
        "incarnation": start.incarnation,
        "organisation": start.organisation,
        "kind": start.kind,
        "class": start.work_class.value,
        "declared": declaration_documents.render_resources(start.declared),
        "expires_ms": expires // MILLISECOND,
        "payload": start.payload,
        "checkpoint": start.checkpoint,
    }


def render_command(command: effects.CommandWorker) -> dict[str, Any]:
    """Returns the JSON body of a command.

    The end of a lease is rounded down to milliseconds, so that the worker
    never runs the task past the end that the sender has recorded.
    """
    if command.start is not None:
        expires = command.expires
        if expires is None:
            expires = command.start.expires
        return render_start(command.start, expires)
    document: dict[str, Any] = {"epoch": command.epoch}
    if command.expires is not None:
        document["expires_ms"] = command.expires // MILLISECOND
    if command.action is timers.WorkerAction.THROTTLE:
        document["share"] = command.share
    return document


def _render_task(task: tasks.WorkerTask) -> dict[str, Any]:
    return {
        "task_id": task.task_id,
        "epoch": task.epoch,
        "state": task.state.value,
        "result": task.result,
        "checkpoint": task.checkpoint,
        "usage": declaration_documents.render_resources(task.usage),
        "start": render_start(task.start, task.start.expires),
    }


def render_report(report: tasks.WorkerReport) -> dict[str, Any]:
    """Returns the JSON document of a worker's capacity and tasks."""
    return {
        "capacity": declaration_documents.render_resources(report.capacity),
        "tasks": [_render_task(task) for task in report.tasks],
    }
