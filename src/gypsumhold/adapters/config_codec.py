"""Converts configurations and changes to and from Thrift structs.

The functions follow the conventions that `request_codec` describes.
"""

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


def _parse_template(raw: Any) -> declarations.Template:
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


def _parse_kind(raw: Any) -> declarations.KindParameters:
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


def _parse_organisation(raw: Any) -> declarations.Organisation:
    raw.validate()
    for kind in raw.kinds:
        kind.validate()
    return declarations.Organisation(
        name=raw.name,
        weight=raw.weight,
        quota=thrift_fields.decode_resources(raw.quota),
        queue_limit=raw.queue_limit,
        kinds={kind.kind: _parse_kind(kind) for kind in raw.kinds},
    )


def encode_configuration(configuration: declarations.Configuration) -> Any:
    """Converts a whole configuration to a Thrift struct."""
    return ttypes.Configuration(
        version=configuration.version,
        templates=[
            _encode_template(template)
            for template in configuration.templates.values()
        ],
        organisations=[
            _encode_organisation(organisation)
            for organisation in configuration.organisations.values()
        ],
    )


def _parse_configuration(raw: Any) -> declarations.Configuration:
    raw.validate()
    templates = map(_parse_template, raw.templates)
    organisations = map(_parse_organisation, raw.organisations)
    return declarations.Configuration(
        version=raw.version,
        templates={template.name: template for template in templates},
        organisations={
            organisation.name: organisation for organisation in organisations
        },
    )


def decode_configuration(
    raw: Any,
) -> Result[declarations.Configuration, errors.Error]:
    """Converts a Thrift struct to a configuration."""
    return thrift_fields.decode_checked(_parse_configuration, raw)


def encode_changes(changes: tuple[declarations.Change, ...]) -> list[Any]:
    """Converts changes to Thrift structs, without author, comment and time."""
    return [
        ttypes.Change(
            version=change.version,
            templates=[
                _encode_template(template) for template in change.templates
            ],
            organisations=[
                _encode_organisation(organisation)
                for organisation in change.organisations
            ],
            deleted_templates=list(change.deleted_templates),
            deleted_organisations=list(change.deleted_organisations),
        )
        for change in changes
    ]


def _parse_change(raw: Any) -> declarations.Change:
    raw.validate()
    return declarations.Change(
        version=raw.version,
        templates=tuple(map(_parse_template, raw.templates)),
        organisations=tuple(map(_parse_organisation, raw.organisations)),
        deleted_templates=tuple(raw.deleted_templates),
        deleted_organisations=tuple(raw.deleted_organisations),
    )


def _parse_changes(raw: Any) -> tuple[declarations.Change, ...]:
    return tuple(map(_parse_change, raw))


def decode_changes(
    raw: Any,
) -> Result[tuple[declarations.Change, ...], errors.Error]:
    """Converts Thrift structs to changes without author, comment and time."""
    return thrift_fields.decode_checked(_parse_changes, raw)
