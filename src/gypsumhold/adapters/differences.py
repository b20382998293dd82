"""Computes and renders differences from the configuration in force."""

import json
from collections.abc import Mapping
from typing import Any

from gypsumhold.adapters import declaration_documents
from gypsumhold.model import declarations


def compute_change(
    current: declarations.Configuration,
    desired: declarations.Change,
    prune: bool,
) -> declarations.Change:
    """Returns the smallest change that puts the desired objects in force.

    Args:
        current: The configuration in force.
        desired: A change that puts all objects of the declaration files.
        prune: Whether to delete objects that the files do not define.
    """
    template_names = {template.name for template in desired.templates}
    organisation_names = {
        organisation.name for organisation in desired.organisations
    }
    return declarations.Change(
        current.version,
        tuple(
            template
            for template in desired.templates
            if current.templates.get(template.name) != template
        ),
        tuple(
            organisation
            for organisation in desired.organisations
            if current.organisations.get(organisation.name) != organisation
        ),
        tuple(sorted(set(current.templates) - template_names)) if prune else (),
        (
            tuple(sorted(set(current.organisations) - organisation_names))
            if prune
            else ()
        ),
    )


def is_empty(change: declarations.Change) -> bool:
    """Returns whether a change neither puts nor deletes an object."""
    return not (
        change.templates
        or change.organisations
        or change.deleted_templates
        or change.deleted_organisations
    )


def _flatten(document: Mapping[str, Any], prefix: str = "") -> dict[str, str]:
    """Returns fields as JSON text by dotted name, such as `kinds.k.class`."""
    fields: dict[str, str] = {}
    for key, value in document.items():
        name = f"{prefix}{key}"
        if isinstance(value, Mapping) and value:
            fields |= _flatten(value, f"{name}.")
        else:
            fields[name] = json.dumps(value, ensure_ascii=False)
    return fields


def _render_object(
    object_type: str, before: Mapping[str, Any] | None, after: Mapping[str, Any]
) -> list[str]:
    """Returns the lines of an object that is added or changed."""
    new = _flatten(
        {key: value for key, value in after.items() if key != "name"}
    )
    if before is None:
        title = f"+ {object_type} {after['name']}"
        return [title, *(f"    {key}: {new[key]}" for key in sorted(new))]
    old = _flatten(
        {key: value for key, value in before.items() if key != "name"}
    )
    lines = [f"~ {object_type} {after['name']}"]
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) != new.get(key):
            lines.append(
                f"    {key}: {old.get(key, '-')} -> {new.get(key, '-')}"
            )
    return lines


def render_difference(
    current: declarations.Configuration, change: declarations.Change
) -> str:
    """Renders a change as text.

    The signs +, ~ and - mark objects that are added, changed and deleted.
    Templates come before organisations and fields are sorted by name, so that
    equal inputs give equal texts.
    """
    if is_empty(change):
        return f"no difference from version {current.version}\n"
    lines = [f"compared with version {current.version}"]
    for template in sorted(change.templates, key=lambda item: item.name):
        old_template = current.templates.get(template.name)
        lines += _render_object(
            "template",
            declaration_documents.render_template(old_template)
            if old_template
            else None,
            declaration_documents.render_template(template),
        )
    for organisation in sorted(
        change.organisations, key=lambda item: item.name
    ):
        old_organisation = current.organisations.get(organisation.name)
        lines += _render_object(
            "organisation",
            declaration_documents.render_organisation(old_organisation)
            if old_organisation
            else None,
            declaration_documents.render_organisation(organisation),
        )
    lines += [f"- template {name}" for name in change.deleted_templates]
    lines += [f"- organisation {name}" for name in change.deleted_organisations]
    return "\n".join(lines) + "\n"
