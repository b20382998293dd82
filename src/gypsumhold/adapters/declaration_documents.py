"""Converts templates, organisations and changes to and from JSON documents.

Declaration files, table rows and the operator routes use the same documents.
"""

import datetime
from typing import Any, TypeVar

import pydantic
from returns.result import Failure, Result, Success

from gypsumhold.model import declarations, errors, ids, resources, states


class _Document(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


_AnyDocument = TypeVar("_AnyDocument", bound=_Document)


class ResourcesDocument(_Document):
    """Amounts of resources."""

    cpu_millis: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)


class TemplateDocument(_Document):
    """Parameters of a kind of work."""

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
    work: states.WorkForm
    work_class: states.WorkClass = pydantic.Field(alias="class")
    repeatable: bool = True
    timeout_ms: int = pydantic.Field(default=30_000, gt=0)
    cpu_millis: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    lease_s: int = pydantic.Field(default=900, ge=5)
    max_failures: int = pydantic.Field(default=3, ge=1)


class KindDocument(_Document):
    """Overrides of a template for one organisation."""

    work_class: states.WorkClass | None = pydantic.Field(
        default=None, alias="class"
    )
    repeatable: bool | None = None
    timeout_ms: int | None = pydantic.Field(default=None, gt=0)


class OrganisationDocument(_Document):
    """Parameters of an organisation."""

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
    weight: int = pydantic.Field(default=1, ge=1)
    quota: ResourcesDocument = ResourcesDocument()
    queue_limit: int = pydantic.Field(default=64, ge=0)
    kinds: dict[str, KindDocument]


class ChangeDocument(_Document):
    """A change of the configuration."""

    version: int
    templates: tuple[TemplateDocument, ...] = ()
    organisations: tuple[OrganisationDocument, ...] = ()
    deleted_templates: tuple[str, ...] = ()
    deleted_organisations: tuple[str, ...] = ()
    author: str = ""
    comment: str = ""
    time: str = ""


def build_validation_error(
    problem: pydantic.ValidationError, kind: errors.ErrorKind, subject: str
) -> errors.Error:
    """Returns an error of `kind` that names the first invalid field."""
    first = problem.errors()[0]
    field = ".".join(str(part) for part in first["loc"])
    return errors.Error(
        kind,
        f"{subject}: field '{field}': {first['msg']}",
        f"correct '{field}' and send it again",
    )


def _to_milliseconds(value: datetime.timedelta) -> int:
    return value // datetime.timedelta(milliseconds=1)


def build_resources(document: ResourcesDocument) -> resources.Resources:
    """Converts a validated document to amounts of resources."""
    return resources.Resources(
        document.cpu_millis, document.memory_mb, document.accelerators
    )


def render_resources(amounts: resources.Resources) -> dict[str, int]:
    """Returns the JSON document of amounts of resources."""
    return {
        "cpu_millis": amounts.cpu_millis,
        "memory_mb": amounts.memory_mb,
        "accelerators": amounts.accelerators,
    }


def _build_template(document: TemplateDocument) -> declarations.Template:
    return declarations.Template(
        name=ids.KindName(document.name),
        work=document.work,
        work_class=document.work_class,
        repeatable=document.repeatable,
        timeout=datetime.timedelta(milliseconds=document.timeout_ms),
        declared=resources.Resources(
            document.cpu_millis, document.memory_mb, document.accelerators
        ),
        lease=datetime.timedelta(seconds=document.lease_s),
        max_failures=document.max_failures,
    )


def _build_kind(document: KindDocument) -> declarations.KindParameters:
    timeout = document.timeout_ms
    return declarations.KindParameters(
        work_class=document.work_class,
        repeatable=document.repeatable,
        timeout=(
            None
            if timeout is None
            else datetime.timedelta(milliseconds=timeout)
        ),
    )


def _build_organisation(
    document: OrganisationDocument,
) -> declarations.Organisation:
    return declarations.Organisation(
        name=ids.OrganisationId(document.name),
        weight=document.weight,
        quota=build_resources(document.quota),
        queue_limit=document.queue_limit,
        kinds={
            ids.KindName(name): _build_kind(kind)
            for name, kind in document.kinds.items()
        },
    )


def _build_change(document: ChangeDocument) -> declarations.Change:
    return declarations.Change(
        version=ids.ConfigVersion(document.version),
        templates=tuple(map(_build_template, document.templates)),
        organisations=tuple(map(_build_organisation, document.organisations)),
        deleted_templates=tuple(map(ids.KindName, document.deleted_templates)),
        deleted_organisations=tuple(
            map(ids.OrganisationId, document.deleted_organisations)
        ),
        author=document.author,
        comment=document.comment,
        time=document.time,
    )


def _validate(
    model: type[_AnyDocument], raw: object, subject: str
) -> Result[_AnyDocument, errors.Error]:
    try:
        return Success(model.model_validate(raw))
    except pydantic.ValidationError as problem:
        return Failure(
            build_validation_error(
                problem, errors.ErrorKind.BAD_DECLARATION, subject
            )
        )


def parse_template(
    raw: object,
) -> Result[declarations.Template, errors.Error]:
    """Validates and converts the JSON document of a template."""
    return _validate(TemplateDocument, raw, "template").map(_build_template)


def parse_organisation(
    raw: object,
) -> Result[declarations.Organisation, errors.Error]:
    """Validates and converts the JSON document of an organisation."""
    return _validate(OrganisationDocument, raw, "organisation").map(
        _build_organisation
    )


def parse_change(raw: object) -> Result[declarations.Change, errors.Error]:
    """Validates and converts the JSON document of a change."""
    return _validate(ChangeDocument, raw, "change").map(_build_change)


def render_template(template: declarations.Template) -> dict[str, Any]:
    """Returns the JSON document of a template."""
    return {
        "name": template.name,
        "work": template.work.value,
        "class": template.work_class.value,
        "repeatable": template.repeatable,
        "timeout_ms": _to_milliseconds(template.timeout),
        **render_resources(template.declared),
        "lease_s": int(template.lease.total_seconds()),
        "max_failures": template.max_failures,
    }


def _render_kind(kind: declarations.KindParameters) -> dict[str, Any]:
    document: dict[str, Any] = {}
    if kind.work_class is not None:
        document["class"] = kind.work_class.value
    if kind.repeatable is not None:
        document["repeatable"] = kind.repeatable
    if kind.timeout is not None:
        document["timeout_ms"] = _to_milliseconds(kind.timeout)
    return document


def render_organisation(
    organisation: declarations.Organisation,
) -> dict[str, Any]:
    """Returns the JSON document of an organisation."""
    return {
        "name": organisation.name,
        "weight": organisation.weight,
        "quota": render_resources(organisation.quota),
        "queue_limit": organisation.queue_limit,
        "kinds": {
            name: _render_kind(kind)
            for name, kind in organisation.kinds.items()
        },
    }


def render_change(change: declarations.Change) -> dict[str, Any]:
    """Returns the JSON document of a change."""
    return {
        "version": change.version,
        "templates": [
            render_template(template) for template in change.templates
        ],
        "organisations": [
            render_organisation(organisation)
            for organisation in change.organisations
        ],
        "deleted_templates": list(change.deleted_templates),
        "deleted_organisations": list(change.deleted_organisations),
        "author": change.author,
        "comment": change.comment,
        "time": change.time,
    }
