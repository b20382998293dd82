"""Templates and organisations: the configuration that operators declare."""

import dataclasses
import datetime
from collections.abc import Mapping

from gypsumhold.model import ids, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """One kind of work.

    Attributes:
        name: Name of the kind.
        work: Whether the kind is run as requests or as tasks.
        work_class: Urgency.
        repeatable: Whether running the work twice is harmless.
        timeout: Longest time that one run may take.
        declared: Resources of one task; unused for requests.
        lease: How long a task may run without a renewal.
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
    """What an organisation overrides of a template; None keeps it."""

    work_class: states.WorkClass | None = None
    repeatable: bool | None = None
    timeout: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation and how much it may take.

    Attributes:
        name: Identifier of the organisation.
        weight: Share relative to other organisations under contention.
        quota: Resources that its running tasks may hold in all.
        queue_limit: Requests of it that may wait in one agent.
        kinds: The kinds it may use, with its overrides.
    """

    name: ids.OrganisationId
    weight: int
    quota: resources.Resources
    queue_limit: int
    kinds: Mapping[ids.KindName, KindParameters]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All declared objects at one accepted version."""

    version: ids.ConfigVersion
    templates: Mapping[ids.KindName, Template]
    organisations: Mapping[ids.OrganisationId, Organisation]

    def resolve(
        self, organisation: ids.OrganisationId, kind: ids.KindName
    ) -> Template | None:
        """Returns the kind's template with the organisation's overrides."""
        owner = self.organisations.get(organisation)
        template = self.templates.get(kind)
        if owner is None or template is None or kind not in owner.kinds:
            return None
        own = owner.kinds[kind]
        return dataclasses.replace(
            template,
            work_class=own.work_class or template.work_class,
            repeatable=(
                template.repeatable
                if own.repeatable is None
                else own.repeatable
            ),
            timeout=own.timeout or template.timeout,
        )


NO_VERSION = ids.ConfigVersion(0)
EMPTY = Configuration(NO_VERSION, {}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of the configuration, with its audit record.

    Attributes:
        version: Version that the change produced.
        templates: Templates put.
        organisations: Organisations put.
        deleted_templates: Names of templates removed.
        deleted_organisations: Names of organisations removed.
        author: Who applied it.
        comment: Why, in the author's words.
        time: Wall-clock time of the entry that accepted it, RFC 3339.
    """

    version: ids.ConfigVersion
    templates: tuple[Template, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    deleted_templates: tuple[ids.KindName, ...] = ()
    deleted_organisations: tuple[ids.OrganisationId, ...] = ()
    author: str = ""
    comment: str = ""
    time: str = ""


def apply_change(before: Configuration, change: Change) -> Configuration:
    """Returns the configuration after `change`."""
    templates = dict(before.templates)
    organisations = dict(before.organisations)
    templates.update({item.name: item for item in change.templates})
    organisations.update({item.name: item for item in change.organisations})
    for kind in change.deleted_templates:
        templates.pop(kind, None)
    for name in change.deleted_organisations:
        organisations.pop(name, None)
    return Configuration(change.version, templates, organisations)
