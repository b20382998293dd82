"""Rows of the platform's table and transactions over them."""

import dataclasses
import datetime

from gypsumhold.model import (
    declarations,
    ids,
    members,
    requests,
    resources,
    states,
)

HEAD_KEY = ids.RowKey("config/head")
PARTITION_PREFIX = "partition/"
HANDOVER_REQUEST_PREFIX = "partition/wish/"
CHANGE_PREFIX = "config/change/"
OBJECT_PREFIX = "config/object/"


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionRow:
    """Who holds a partition; rewritten by each of its batches."""

    holder: ids.EntryId | None
    incarnation: ids.Incarnation
    address: members.Address | None
    epoch: ids.Epoch
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverRequestRow:
    """An entry that holds fewer partitions than its share.

    It counts only while it is rewritten, like a holder's row.
    """

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRow:
    """Durable state of a task.

    Attributes:
        task_id: The task.
        organisation: Who pays for it.
        kind: Name of the template.
        payload: Opaque text for the worker.
        declared: Declared resources.
        state: Durable state.
        epoch: Raised by each assignment.
        instance: Where it is assigned.
        incarnation: Agent's incarnation at the assignment.
        checkpoint: Where the next run resumes.
        result: Output, or the reason for the end.
        failed_on: Instances on which it failed.
        evictions: How often it was evicted.
        cancelling: Whether its cancellation was accepted.
    """

    task_id: ids.TaskId
    organisation: ids.OrganisationId
    kind: ids.KindName
    payload: str
    declared: resources.Resources
    state: states.TaskState = states.TaskState.QUEUED
    epoch: ids.Epoch = ids.Epoch(0)
    instance: ids.InstanceId | None = None
    incarnation: ids.Incarnation | None = None
    checkpoint: ids.CheckpointRef | None = None
    result: str = ""
    failed_on: tuple[ids.InstanceId, ...] = ()
    evictions: int = 0
    cancelling: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """Durable claim of a request that must run at most once."""

    state: states.ClaimState
    digest: str
    entry: ids.EntryId
    entry_incarnation: ids.Incarnation
    request_id: ids.RequestId
    attempt: ids.Attempt
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    address: members.Address
    valid_until: datetime.timedelta
    answer: requests.Answer | None = None
    reason: states.Reason = states.Reason.NONE
    body_object: str = ""
    """Name of the object that holds the answer's body, if it is large."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRow:
    """Latest accepted configuration version."""

    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRow:
    """One accepted change; the audit record."""

    change: declarations.Change


@dataclasses.dataclass(frozen=True, slots=True)
class TemplateRow:
    """Current text of one template."""

    template: declarations.Template


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationRow:
    """Current parameters of one organisation."""

    organisation: declarations.Organisation


RowValue = (
    PartitionRow
    | HandoverRequestRow
    | TaskRow
    | ClaimRow
    | HeadRow
    | ChangeRow
    | TemplateRow
    | OrganisationRow
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A stored row; `operation` names the transaction that wrote it."""

    key: ids.RowKey
    version: ids.RowVersion
    operation: ids.OperationId
    value: RowValue


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires a row to have this version; 0 requires its absence."""

    key: ids.RowKey
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Puts a row, or deletes it if `value` is None."""

    key: ids.RowKey
    value: RowValue | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every condition holds."""

    operation: ids.OperationId
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAnswer:
    """The table's answer.

    Attributes:
        result: What became of the transaction.
        rows: With CONFLICT, the present rows under the conditions' keys.
    """

    result: states.CommitResult
    rows: tuple[Row, ...] = ()

    def find(self, key: ids.RowKey) -> Row | None:
        """Returns the present row under `key`, if the answer has it."""
        return next((row for row in self.rows if row.key == key), None)


def name_partition_row(partition: ids.Partition) -> ids.RowKey:
    """Returns the key of a partition's row."""
    return ids.RowKey(f"{PARTITION_PREFIX}{partition:04d}")


def name_handover_request_row(entry: ids.EntryId) -> ids.RowKey:
    """Returns the key of an entry's handover request."""
    return ids.RowKey(f"{HANDOVER_REQUEST_PREFIX}{entry}")


def name_task_prefix(partition: ids.Partition) -> str:
    """Returns the common prefix of the keys of a partition's tasks."""
    return f"task/{partition:04d}/"


def name_task_row(partition: ids.Partition, task_id: ids.TaskId) -> ids.RowKey:
    """Returns the key of a task's row."""
    return ids.RowKey(f"{name_task_prefix(partition)}{task_id}")


def name_claim_row(
    organisation: ids.OrganisationId, key: ids.IdempotencyKey
) -> ids.RowKey:
    """Returns the key of a claim's row."""
    return ids.RowKey(f"claim/{organisation}/{key}")


def name_change_row(version: ids.ConfigVersion) -> ids.RowKey:
    """Returns the key of a change's row; keys sort by version."""
    return ids.RowKey(f"{CHANGE_PREFIX}{version:012d}")


def name_object_row(
    item: declarations.Template | declarations.Organisation,
) -> ids.RowKey:
    """Returns the key of a declared object's row."""
    if isinstance(item, declarations.Template):
        return name_template_key(item.name)
    return name_organisation_key(item.name)


def name_template_key(name: ids.KindName) -> ids.RowKey:
    """Returns the key of a template's row."""
    return ids.RowKey(f"{OBJECT_PREFIX}template/{name}")


def name_organisation_key(name: ids.OrganisationId) -> ids.RowKey:
    """Returns the key of an organisation's row."""
    return ids.RowKey(f"{OBJECT_PREFIX}organisation/{name}")
