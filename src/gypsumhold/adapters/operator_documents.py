"""Converts the JSON documents of the operator routes to and from the model."""

import dataclasses
import datetime
from collections.abc import Iterable
from typing import Any

import pydantic
from returns.result import Failure, Result

from gypsumhold.adapters import declaration_documents, suggestions
from gypsumhold.model import declarations, errors, ids, previews, status


class _Document(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PutDocument(_Document):
    """Objects that a change puts; also the content of a declaration file."""

    templates: tuple[declaration_documents.TemplateDocument, ...] = ()
    organisations: tuple[declaration_documents.OrganisationDocument, ...] = ()


class DeleteDocument(_Document):
    """Names of objects that a change deletes."""

    templates: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ()


class ApplyDocument(_Document):
    """Body of `POST /v1/config`."""

    base_version: int = pydantic.Field(ge=0)
    author: str = pydantic.Field(min_length=1, max_length=200)
    comment: str = pydantic.Field(min_length=1, max_length=2000)
    put: PutDocument = PutDocument()
    delete: DeleteDocument = DeleteDocument()


class ConfigurationDocument(_Document):
    """Body of the answer to `GET /v1/config`."""

    version: int
    templates: tuple[declaration_documents.TemplateDocument, ...] = ()
    organisations: tuple[declaration_documents.OrganisationDocument, ...] = ()


def build_input_error(
    problem: pydantic.ValidationError,
    model: type[pydantic.BaseModel],
    kind: errors.ErrorKind,
    subject: str,
) -> errors.Error:
    """Returns an error of `kind` for an invalid document.

    For an unknown key, the remedy names the nearest known key.
    """
    unknown = suggestions.find_unknown_key(problem, model)
    if unknown is not None:
        place, remedy = unknown
        return errors.Error(kind, f"{subject}: unknown key {place}", remedy)
    if not problem.errors()[0]["loc"]:
        keys = ", ".join(suggestions.list_known_keys(model, ()))
        return errors.Error(
            kind, f"{subject}: not a JSON object", f"write an object of {keys}"
        )
    return declaration_documents.build_validation_error(problem, kind, subject)


def _parse_change(
    templates: Iterable[declaration_documents.TemplateDocument],
    organisations: Iterable[declaration_documents.OrganisationDocument],
    version: int,
) -> Result[declarations.Change, errors.Error]:
    return declaration_documents.parse_change(
        {
            "version": version,
            "templates": [
                template.model_dump(by_alias=True) for template in templates
            ],
            "organisations": [
                organisation.model_dump(by_alias=True)
                for organisation in organisations
            ],
        }
    )


def parse_put(
    raw: object, subject: str
) -> Result[declarations.Change, errors.Error]:
    """Validates declared objects and returns a change that puts them.

    The change has version 0 and no author, comment or time.
    """
    try:
        document = PutDocument.model_validate(raw)
    except pydantic.ValidationError as problem:
        return Failure(
            build_input_error(
                problem,
                PutDocument,
                errors.ErrorKind.BAD_DECLARATION,
                subject,
            )
        )
    return _parse_change(document.templates, document.organisations, 0)


def parse_apply(
    raw: object, time: datetime.datetime
) -> Result[declarations.Change, errors.Error]:
    """Validates and converts the body of `POST /v1/config`.

    Args:
        raw: The decoded JSON body.
        time: Wall-clock time for the audit record.

    Returns:
        The change, whose version is the base version + 1, or an error.
    """
    try:
        document = ApplyDocument.model_validate(raw)
    except pydantic.ValidationError as problem:
        return Failure(
            build_input_error(
                problem, ApplyDocument, errors.ErrorKind.BAD_BODY, "apply"
            )
        )
    put = document.put
    return _parse_change(
        put.templates, put.organisations, document.base_version + 1
    ).map(
        lambda change: dataclasses.replace(
            change,
            deleted_templates=tuple(
                map(ids.KindName, document.delete.templates)
            ),
            deleted_organisations=tuple(
                map(ids.OrganisationId, document.delete.organisations)
            ),
            author=document.author,
            comment=document.comment,
            time=time.isoformat(timespec="milliseconds"),
        )
    )


def parse_configuration(
    raw: object,
) -> Result[declarations.Configuration, errors.Error]:
    """Validates and converts the answer to `GET /v1/config`."""
    try:
        document = ConfigurationDocument.model_validate(raw)
    except pydantic.ValidationError as problem:
        return Failure(
            declaration_documents.build_validation_error(
                problem, errors.ErrorKind.DECODING, "configuration"
            )
        )
    return _parse_change(
        document.templates, document.organisations, document.version
    ).map(lambda change: declarations.apply_change(declarations.EMPTY, change))


def render_configuration(
    configuration: declarations.Configuration,
) -> dict[str, Any]:
    """Returns the JSON answer to `GET /v1/config`, sorted by name."""
    return {
        "version": configuration.version,
        "templates": [
            declaration_documents.render_template(template)
            for _, template in sorted(configuration.templates.items())
        ],
        "organisations": [
            declaration_documents.render_organisation(organisation)
            for _, organisation in sorted(configuration.organisations.items())
        ],
    }


def render_apply(
    change: declarations.Change, base: ids.ConfigVersion
) -> dict[str, Any]:
    """Returns the JSON body of `POST /v1/config`."""
    document = declaration_documents.render_change(change)
    return {
        "base_version": base,
        "author": change.author,
        "comment": change.comment,
        "put": {
            "templates": document["templates"],
            "organisations": document["organisations"],
        },
        "delete": {
            "templates": document["deleted_templates"],
            "organisations": document["deleted_organisations"],
        },
    }


def _render_entry(entry: status.EntryStatus) -> dict[str, Any]:
    return {
        "name": entry.name,
        "incarnation": entry.incarnation,
        "config_version": entry.config_version,
        "ready": entry.ready,
        "waiting": {
            work_class.value: count
            for work_class, count in sorted(entry.waiting.items())
        },
        "partitions_held": entry.partitions_held,
        "table_reachable": entry.table_reachable,
    }


def _render_instance(instance: status.InstanceStatus) -> dict[str, Any]:
    return {
        "name": instance.name,
        "state": instance.state.value,
        "data_centre": instance.data_centre,
        "rack": instance.rack,
        "incarnation": instance.incarnation,
        "config_version": instance.config_version,
        "lagging": instance.lagging,
        "free_slots": instance.free_slots,
        "queued": instance.queued,
        "capacity": declaration_documents.render_resources(instance.capacity),
        "free": declaration_documents.render_resources(instance.free),
        "age_ms": instance.age // datetime.timedelta(milliseconds=1),
    }


def _render_partition(partition: status.PartitionStatus) -> dict[str, Any]:
    return {
        "number": partition.number,
        "phase": partition.phase.value,
        "epoch": partition.epoch,
        "queued": partition.queued,
        "assigned": partition.assigned,
    }


def render_status(
    report: status.Status, accepted: ids.ConfigVersion | None
) -> dict[str, Any]:
    """Returns the JSON answer to `GET /v1/status`.

    Args:
        report: Status of the entry and of the members that it knows.
        accepted: Highest version in the table; None if the table did not
            answer.
    """
    return {
        "accepted_version": accepted,
        "entry": _render_entry(report.entry),
        "instances": [
            _render_instance(instance) for instance in report.instances
        ],
        "partitions": [
            _render_partition(partition) for partition in report.partitions
        ],
    }


def render_error(error: errors.Error) -> dict[str, Any]:
    """Returns the JSON body of an error answer."""
    return {
        "error": {
            "kind": error.kind.value,
            "message": error.message,
            "remedy": error.remedy,
        }
    }


def render_preview(preview: previews.RequestPreview) -> dict[str, Any]:
    """Returns the document that tells where a request would go."""
    refusal = preview.refusal
    return {
        "entry": preview.entry,
        "refusal": None if refusal is None else refusal.value,
        "candidates": [
            {
                "instance": choice.instance,
                "data_centre": choice.data_centre,
                "cost": round(choice.cost, 3),
                "free_slots": choice.free_slots,
                "queued": choice.queued,
                "in_flight": choice.in_flight,
            }
            for choice in preview.candidates
        ],
        "excluded": [
            {"reason": obstacle.value, "instances": list(instances)}
            for obstacle, instances in preview.excluded
        ],
    }
