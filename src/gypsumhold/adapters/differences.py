"""Differences between declared objects and what is in force."""

import json
from collections.abc import Mapping
from typing import Any

from gypsumhold.adapters import documents
from gypsumhold.model import declarations


def compute_change(
    present: declarations.Configuration,
    wanted: declarations.Change,
    prune: bool,
) -> declarations.Change:
    """Returns the change that makes `wanted` true and no more.

    Args:
        present: What is in force.
        wanted: All objects of the declaration files.
        prune: Whether objects that the files do not name are deleted.
    """
    templates = {item.name for item in wanted.templates}
    organisations = {item.name for item in wanted.organisations}
    return declarations.Change(
        present.version,
        tuple(
            item
            for item in wanted.templates
            if present.templates.get(item.name) != item
        ),
        tuple(
            item
            for item in wanted.organisations
            if present.organisations.get(item.name) != item
        ),
        tuple(sorted(set(present.templates) - templates)) if prune else (),
        (
            tuple(sorted(set(present.organisations) - organisations))
            if prune
            else ()
        ),
    )


def is_empty(change: declarations.Change) -> bool:
    """Tells whether a change puts and deletes nothing."""
    return not (
        change.templates
        or change.organisations
        or change.deleted_templates
        or change.deleted_organisations
    )


def _flatten(document: Mapping[str, Any], prefix: str = "") -> dict[str, str]:
    """Returns one entry for each field, with dotted names."""
    found: dict[str, str] = {}
    for key, value in document.items():
        name = f"{prefix}{key}"
        if isinstance(value, Mapping) and value:
            found |= _flatten(value, f"{name}.")
        else:
            found[name] = json.dumps(value, ensure_ascii=False)
    return found


def _render_object(
    form: str, before: Mapping[str, Any] | None, after: Mapping[str, Any]
) -> list[str]:
    new = _flatten({k: v for k, v in after.items() if k != "name"})
    if before is None:
        title = f"+ {form} {after['name']}"
        return [title, *(f"    {key}: {new[key]}" for key in sorted(new))]
    old = _flatten({k: v for k, v in before.items() if k != "name"})
    lines = [f"~ {form} {after['name']}"]
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) != new.get(key):
            lines.append(
                f"    {key}: {old.get(key, '-')} -> {new.get(key, '-')}"
            )
    return lines


def render_difference(
    present: declarations.Configuration, change: declarations.Change
) -> str:
    """Returns a change as text: +, ~ and - for added, changed, deleted.

    The text is the same for the same inputs: forms in a fixed order, names
    and fields sorted.
    """
    if is_empty(change):
        return f"no difference from version {present.version}\n"
    lines = [f"compared with version {present.version}"]
    for template in sorted(change.templates, key=lambda item: item.name):
        old = present.templates.get(template.name)
        lines += _render_object(
            "template",
            documents.render_template(old) if old else None,
            documents.render_template(template),
        )
    for owner in sorted(change.organisations, key=lambda item: item.name):
        former = present.organisations.get(owner.name)
        lines += _render_object(
            "organisation",
            documents.render_organisation(former) if former else None,
            documents.render_organisation(owner),
        )
    lines += [f"- template {name}" for name in change.deleted_templates]
    lines += [f"- organisation {name}" for name in change.deleted_organisations]
    return "\n".join(lines) + "\n"
