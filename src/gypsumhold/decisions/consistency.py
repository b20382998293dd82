"""Checks that a configuration change leaves the declared objects consistent."""

import difflib
from collections.abc import Iterable

from gypsumhold.model import declarations, errors


def suggest_name(unknown: str, known: Iterable[str]) -> str:
    """Returns a remedy that suggests the most similar known name.

    Returns "" if no known name is similar enough.
    """
    nearest = difflib.get_close_matches(unknown, sorted(known), n=1, cutoff=0.5)
    return f"did you mean '{nearest[0]}'?" if nearest else ""


def _build_error(message: str, remedy: str) -> errors.Error:
    return errors.Error(errors.ErrorKind.BAD_DECLARATION, message, remedy)


def _find_duplicate(names: Iterable[str]) -> str | None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return None


def _check_names(
    object_type: str,
    put: list[str],
    deleted: list[str],
    existing: Iterable[str],
) -> errors.Error | None:
    duplicate = _find_duplicate([*put, *deleted])
    if duplicate is not None:
        return _build_error(
            f"{object_type} '{duplicate}' is named twice in the change",
            "put or delete each name once",
        )
    known = set(existing)
    for name in deleted:
        if name not in known:
            return _build_error(
                f"{object_type} '{name}' is deleted but does not exist",
                suggest_name(name, known) or "leave it out of the change",
            )
    return None


def _check_kinds(
    after: declarations.Configuration, deleted: Iterable[str]
) -> errors.Error | None:
    deleted_names = set(deleted)
    for name, organisation in sorted(after.organisations.items()):
        for kind in sorted(organisation.kinds):
            if kind in after.templates:
                continue
            if kind in deleted_names:
                return _build_error(
                    f"template '{kind}' is deleted but organisation "
                    f"'{name}' uses it",
                    "take the kind out of the organisation in the same change",
                )
            return _build_error(
                f"organisation '{name}' names kind '{kind}', which has no "
                "template",
                suggest_name(kind, after.templates)
                or f"declare a template '{kind}' or take the kind out",
            )
    return None


def check_references(
    configuration: declarations.Configuration,
) -> errors.Error | None:
    """Returns an error if an organisation uses a kind that has no template."""
    return _check_kinds(configuration, ())


def check_change(
    before: declarations.Configuration, change: declarations.Change
) -> errors.Error | None:
    """Checks a change against the configuration that it is based on.

    Returns:
        The first error found, or None if the change may be committed.
    """
    error = _check_names(
        "template",
        [item.name for item in change.templates],
        list(change.deleted_templates),
        before.templates,
    ) or _check_names(
        "organisation",
        [item.name for item in change.organisations],
        list(change.deleted_organisations),
        before.organisations,
    )
    if error is not None:
        return error
    after = declarations.apply_change(before, change)
    error = _check_kinds(after, change.deleted_templates)
    if error is not None:
        return error
    if (before.templates, before.organisations) == (
        after.templates,
        after.organisations,
    ):
        return _build_error(
            "the change has no effect on the configuration",
            "compare it with the current configuration: gypsumctl diff",
        )
    return None
