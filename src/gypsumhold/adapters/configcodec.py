"""The configuration as Thrift structs; see `codec` for the conventions."""

from typing import Any

from returns.result import Result

from gypsumhold.adapters import thrift_fields
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import declarations, errors


def _encode_template(template: declarations.Template) -> Any:
    return ttypes.Template(
        name=template.name,
        work=thrift_fields.WORK_FORMS.numbers[template.work],
        work_class=thrift_fields.WORK_CLASSES.numbers[template.work_class],
        repeatable=template.repeatable,
        timeout_us=thrift_fields.encode_microseconds(template.timeout),
        declared=thrift_fields.encode_resources(template.declared),
        lease_us=thrift_fields.encode_microseconds(template.lease),
        max_failures=template.max_failures,
    )


def _read_template(raw: Any) -> declarations.Template:
    raw.validate()
    return declarations.Template(
        name=raw.name,
        work=thrift_fields.WORK_FORMS[raw.work],
        work_class=thrift_fields.WORK_CLASSES[raw.work_class],
        repeatable=raw.repeatable,
        timeout=thrift_fields.decode_microseconds(raw.timeout_us),
        declared=thrift_fields.decode_resources(raw.declared),
        lease=thrift_fields.decode_microseconds(raw.lease_us),
        max_failures=raw.max_failures,
    )


def _encode_kind(name: str, kind: declarations.KindParameters) -> Any:
    work_class, timeout = kind.work_class, kind.timeout
    return ttypes.KindParameters(
        kind=name,
        work_class=work_class
        and thrift_fields.WORK_CLASSES.numbers[work_class],
        repeatable=kind.repeatable,
        timeout_us=None
        if timeout is None
        else thrift_fields.encode_microseconds(timeout),
    )


def _read_kind(raw: Any) -> declarations.KindParameters:
    work_class, timeout = raw.work_class, raw.timeout_us
    return declarations.KindParameters(
        work_class=(
            None
            if work_class is None
            else thrift_fields.WORK_CLASSES[work_class]
        ),
        repeatable=raw.repeatable,
        timeout=None
        if timeout is None
        else thrift_fields.decode_microseconds(timeout),
    )


def _encode_organisation(organisation: declarations.Organisation) -> Any:
    return ttypes.Organisation(
        name=organisation.name,
        weight=organisation.weight,
        quota=thrift_fields.encode_resources(organisation.quota),
        queue_limit=organisation.queue_limit,
        kinds=[
            _encode_kind(name, kind)
            for name, kind in organisation.kinds.items()
        ],
    )


def _read_organisation(raw: Any) -> declarations.Organisation:
    raw.validate()
    for kind in raw.kinds:
        kind.validate()
    return declarations.Organisation(
        name=raw.name,
        weight=raw.weight,
        quota=thrift_fields.decode_resources(raw.quota),
        queue_limit=raw.queue_limit,
        kinds={kind.kind: _read_kind(kind) for kind in raw.kinds},
    )


def encode_configuration(configuration: declarations.Configuration) -> Any:
    """Returns the wire struct of a whole configuration."""
    return ttypes.Configuration(
        version=configuration.version,
        templates=[
            _encode_template(item) for item in configuration.templates.values()
        ],
        organisations=[
            _encode_organisation(item)
            for item in configuration.organisations.values()
        ],
    )


def _read_configuration(raw: Any) -> declarations.Configuration:
    raw.validate()
    templates = map(_read_template, raw.templates)
    organisations = map(_read_organisation, raw.organisations)
    return declarations.Configuration(
        version=raw.version,
        templates={item.name: item for item in templates},
        organisations={item.name: item for item in organisations},
    )


def decode_configuration(
    raw: Any,
) -> Result[declarations.Configuration, errors.Error]:
    """Returns the configuration of a wire struct."""
    return thrift_fields.decode_checked(_read_configuration, raw)


def encode_changes(changes: tuple[declarations.Change, ...]) -> list[Any]:
    """Returns the wire structs of changes, without their audit fields."""
    return [
        ttypes.Change(
            version=change.version,
            templates=[_encode_template(item) for item in change.templates],
            organisations=[
                _encode_organisation(item) for item in change.organisations
            ],
            deleted_templates=list(change.deleted_templates),
            deleted_organisations=list(change.deleted_organisations),
        )
        for change in changes
    ]


def _read_change(raw: Any) -> declarations.Change:
    raw.validate()
    return declarations.Change(
        version=raw.version,
        templates=tuple(map(_read_template, raw.templates)),
        organisations=tuple(map(_read_organisation, raw.organisations)),
        deleted_templates=tuple(raw.deleted_templates),
        deleted_organisations=tuple(raw.deleted_organisations),
    )


def _read_changes(raw: Any) -> tuple[declarations.Change, ...]:
    return tuple(map(_read_change, raw))


def decode_changes(
    raw: Any,
) -> Result[tuple[declarations.Change, ...], errors.Error]:
    """Returns the changes of wire structs."""
    return thrift_fields.decode_checked(_read_changes, raw)
