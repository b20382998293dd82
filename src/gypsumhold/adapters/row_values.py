"""Converts the values of table rows to and from JSON documents.

The field `type` selects the type of a value. Bodies are encoded as base64.
Durations are integers; the suffix of the field gives the unit.
"""

import base64
import datetime
from typing import Annotated, Any, Literal

import pydantic

from gypsumhold.adapters import declaration_documents, json_documents
from gypsumhold.model import ids, requests, rows, states

MICROSECOND = datetime.timedelta(microseconds=1)


class _AnswerDocument(json_documents.Document):
    status: Annotated[int, pydantic.Field(strict=True, ge=100, le=999)]
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""


class _PartitionDocument(json_documents.Document):
    type: Literal["partition"]
    holder: str | None
    incarnation: json_documents.NonNegativeInt
    address: json_documents.AddressDocument | None
    epoch: json_documents.NonNegativeInt
    sequence: json_documents.NonNegativeInt


class _HandoverRequestDocument(json_documents.Document):
    type: Literal["wish"]
    entry: str


class _TaskDocument(json_documents.Document):
    type: Literal["task"]
    task_id: str
    organisation: str
    kind: str
    payload: str
    declared: declaration_documents.ResourcesDocument
    state: states.TaskState
    epoch: json_documents.NonNegativeInt
    instance: str | None
    incarnation: json_documents.NonNegativeInt | None
    checkpoint: str | None
    result: str
    failed_on: tuple[str, ...]
    evictions: json_documents.NonNegativeInt
    cancelling: bool = False


class _ClaimDocument(json_documents.Document):
    type: Literal["claim"]
    state: states.ClaimState
    digest: str
    entry: str
    entry_incarnation: json_documents.NonNegativeInt
    request_id: str
    attempt: json_documents.NonNegativeInt
    instance: str
    incarnation: json_documents.NonNegativeInt
    address: json_documents.AddressDocument
    valid_until_us: json_documents.NonNegativeInt
    answer: _AnswerDocument | None
    reason: states.Reason
    body_object: str = ""


class _HeadDocument(json_documents.Document):
    type: Literal["head"]
    version: json_documents.NonNegativeInt


class _ChangeDocument(json_documents.Document):
    type: Literal["change"]
    change: dict[str, Any]


class _TemplateDocument(json_documents.Document):
    type: Literal["template"]
    template: dict[str, Any]


class _OrganisationDocument(json_documents.Document):
    type: Literal["organisation"]
    organisation: dict[str, Any]


ValueDocument = Annotated[
    _PartitionDocument
    | _HandoverRequestDocument
    | _TaskDocument
    | _ClaimDocument
    | _HeadDocument
    | _ChangeDocument
    | _TemplateDocument
    | _OrganisationDocument,
    pydantic.Field(discriminator="type"),
]


def _build_body(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as problem:
        raise json_documents.MalformedDocumentError(
            json_documents.build_decoding_error(
                "row", "the body is not valid base64"
            )
        ) from problem


def _build_answer(document: _AnswerDocument) -> requests.Answer:
    return requests.Answer(
        status=document.status,
        headers=document.headers,
        body=_build_body(document.body),
    )


def _build_partition(document: _PartitionDocument) -> rows.PartitionRow:
    holder = document.holder
    address = document.address
    return rows.PartitionRow(
        holder=None if holder is None else ids.EntryId(holder),
        incarnation=ids.Incarnation(document.incarnation),
        address=None
        if address is None
        else json_documents.build_address(address),
        epoch=ids.Epoch(document.epoch),
        sequence=document.sequence,
    )


def _build_task(document: _TaskDocument) -> rows.TaskRow:
    instance = document.instance
    incarnation = document.incarnation
    checkpoint = document.checkpoint
    return rows.TaskRow(
        task_id=ids.TaskId(document.task_id),
        organisation=ids.OrganisationId(document.organisation),
        kind=ids.KindName(document.kind),
        payload=document.payload,
        declared=declaration_documents.build_resources(document.declared),
        state=document.state,
        epoch=ids.Epoch(document.epoch),
        instance=None if instance is None else ids.InstanceId(instance),
        incarnation=(
            None if incarnation is None else ids.Incarnation(incarnation)
        ),
        checkpoint=(
            None if checkpoint is None else ids.CheckpointRef(checkpoint)
        ),
        result=document.result,
        failed_on=tuple(map(ids.InstanceId, document.failed_on)),
        evictions=document.evictions,
        cancelling=document.cancelling,
    )


def _build_claim(document: _ClaimDocument) -> rows.ClaimRow:
    answer = document.answer
    return rows.ClaimRow(
        state=document.state,
        digest=document.digest,
        entry=ids.EntryId(document.entry),
        entry_incarnation=ids.Incarnation(document.entry_incarnation),
        request_id=ids.RequestId(document.request_id),
        attempt=ids.Attempt(document.attempt),
        instance=ids.InstanceId(document.instance),
        incarnation=ids.Incarnation(document.incarnation),
        address=json_documents.build_address(document.address),
        valid_until=datetime.timedelta(microseconds=document.valid_until_us),
        answer=None if answer is None else _build_answer(answer),
        reason=document.reason,
        body_object=document.body_object,
    )


def build_value(document: ValueDocument) -> rows.RowValue:
    """Converts a validated document to the value of a row.

    Raises:
        json_documents.MalformedDocumentError: A nested document is malformed.
    """
    match document:
        case _PartitionDocument():
            return _build_partition(document)
        case _HandoverRequestDocument():
            return rows.HandoverRequestRow(ids.EntryId(document.entry))
        case _TaskDocument():
            return _build_task(document)
        case _ClaimDocument():
            return _build_claim(document)
        case _HeadDocument():
            return rows.HeadRow(ids.ConfigVersion(document.version))
        case _:
            return _build_declaration(document)


def _build_declaration(
    document: _ChangeDocument | _TemplateDocument | _OrganisationDocument,
) -> rows.RowValue:
    match document:
        case _ChangeDocument():
            change = declaration_documents.parse_change(document.change)
            return rows.ChangeRow(json_documents.unwrap(change))
        case _TemplateDocument():
            template = declaration_documents.parse_template(document.template)
            return rows.TemplateRow(json_documents.unwrap(template))
        case _OrganisationDocument():
            organisation = declaration_documents.parse_organisation(
                document.organisation
            )
            return rows.OrganisationRow(json_documents.unwrap(organisation))


def _render_answer(answer: requests.Answer) -> dict[str, Any]:
    return {
        "status": answer.status,
        "headers": [list(pair) for pair in answer.headers],
        "body": base64.b64encode(answer.body).decode(),
    }


def _render_partition(value: rows.PartitionRow) -> dict[str, Any]:
    address = value.address
    return {
        "type": "partition",
        "holder": value.holder,
        "incarnation": value.incarnation,
        "address": None
        if address is None
        else json_documents.render_address(address),
        "epoch": value.epoch,
        "sequence": value.sequence,
    }


def _render_task(value: rows.TaskRow) -> dict[str, Any]:
    return {
        "type": "task",
        "task_id": value.task_id,
        "organisation": value.organisation,
        "kind": value.kind,
        "payload": value.payload,
        "declared": declaration_documents.render_resources(value.declared),
        "state": value.state.value,
        "epoch": value.epoch,
        "instance": value.instance,
        "incarnation": value.incarnation,
        "checkpoint": value.checkpoint,
        "result": value.result,
        "failed_on": list(value.failed_on),
        "evictions": value.evictions,
        "cancelling": value.cancelling,
    }


def _render_claim(value: rows.ClaimRow) -> dict[str, Any]:
    answer = value.answer
    return {
        "type": "claim",
        "state": value.state.value,
        "digest": value.digest,
        "entry": value.entry,
        "entry_incarnation": value.entry_incarnation,
        "request_id": value.request_id,
        "attempt": value.attempt,
        "instance": value.instance,
        "incarnation": value.incarnation,
        "address": json_documents.render_address(value.address),
        "valid_until_us": value.valid_until // MICROSECOND,
        "answer": None if answer is None else _render_answer(answer),
        "reason": value.reason.value,
        "body_object": value.body_object,
    }


def render_value(value: rows.RowValue) -> dict[str, Any]:
    """Returns the JSON document of the value of a row."""
    match value:
        case rows.PartitionRow():
            return _render_partition(value)
        case rows.HandoverRequestRow():
            return {"type": "wish", "entry": value.entry}
        case rows.TaskRow():
            return _render_task(value)
        case rows.ClaimRow():
            return _render_claim(value)
        case rows.HeadRow():
            return {"type": "head", "version": value.version}
        case _:
            return _render_declaration(value)


def _render_declaration(
    value: rows.ChangeRow | rows.TemplateRow | rows.OrganisationRow,
) -> dict[str, Any]:
    match value:
        case rows.ChangeRow():
            change = declaration_documents.render_change(value.change)
            return {"type": "change", "change": change}
        case rows.TemplateRow():
            template = declaration_documents.render_template(value.template)
            return {"type": "template", "template": template}
        case rows.OrganisationRow():
            organisation = declaration_documents.render_organisation(
                value.organisation
            )
            return {"type": "organisation", "organisation": organisation}
