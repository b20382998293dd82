"""Configuration that operators declare: templates and organisations."""

import dataclasses
import datetime
from collections.abc import Mapping

from gypsumhold.model import ids, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """Template of one kind of work.

    Attributes:
        name: Name of the kind.
        work: Whether the kind runs as requests or as tasks.
        work_class: Urgency of the work.
        repeatable: Whether the work may safely run more than once.
        timeout: Longest time that one run may take.
        declared: Resources of one task; unused for requests.
        lease: Time that a task may run without a renewal.
        max_failures: Failures on different workers before a task is parked.
    """

    name: ids.KindName
    work: states.WorkForm
    work_class: states.WorkClass
    repeatable: bool = True
    timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    declared: resources.Resources = resources.NOTHING
    lease: datetime.timedelta = datetime.timedelta(seconds=900)
    max_failures: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class KindParameters:
    """Overrides of a template by an organisation; None keeps its value."""

    work_class: states.WorkClass | None = None
    repeatable: bool | None = None
    timeout: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation and its limits.

    Attributes:
        name: Identifier of the organisation.
        weight: Share relative to other organisations under contention.
        quota: Total resources that its assigned tasks may use.
        queue_limit: Number of its requests that may wait in one agent.
        kinds: Kinds that it may use, with its overrides.
    """

    name: ids.OrganisationId
    weight: int
    quota: resources.Resources
    queue_limit: int
    kinds: Mapping[ids.KindName, KindParameters]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All declared objects in one accepted version."""

    version: ids.ConfigVersion
    templates: Mapping[ids.KindName, Template]
    organisations: Mapping[ids.OrganisationId, Organisation]

    def resolve(
        self, organisation: ids.OrganisationId, kind: ids.KindName
    ) -> Template | None:
        """Returns the template of a kind with an organisation's overrides.

        Returns None if either is unknown or the organisation may not use the
        kind.
        """
        declared_organisation = self.organisations.get(organisation)
        template = self.templates.get(kind)
        if (
            declared_organisation is None
            or template is None
            or kind not in declared_organisation.kinds
        ):
            return None
        overrides = declared_organisation.kinds[kind]
        return dataclasses.replace(
            template,
            work_class=overrides.work_class or template.work_class,
            repeatable=(
                template.repeatable
                if overrides.repeatable is None
                else overrides.repeatable
            ),
            timeout=overrides.timeout or template.timeout,
        )


NO_VERSION = ids.ConfigVersion(0)
EMPTY = Configuration(NO_VERSION, {}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of the configuration, with its audit record.

    Attributes:
        version: Version that the change produced.
        templates: Templates added or replaced.
        organisations: Organisations added or replaced.
        deleted_templates: Names of deleted templates.
        deleted_organisations: Names of deleted organisations.
        author: Who applied the change.
        comment: Reason given by the author.
        time: Wall-clock time of the entry that accepted it, as in RFC 3339.
    """

    version: ids.ConfigVersion
    templates: tuple[Template, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    deleted_templates: tuple[ids.KindName, ...] = ()
    deleted_organisations: tuple[ids.OrganisationId, ...] = ()
    author: str = ""
    comment: str = ""
    time: str = ""


def apply_change(base: Configuration, change: Change) -> Configuration:
    """Returns the configuration that results from a change."""
    templates = dict(base.templates)
    organisations = dict(base.organisations)
    templates.update({item.name: item for item in change.templates})
    organisations.update({item.name: item for item in change.organisations})
    for kind in change.deleted_templates:
        templates.pop(kind, None)
    for name in change.deleted_organisations:
        organisations.pop(name, None)
    return Configuration(change.version, templates, organisations)
