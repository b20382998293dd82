"""Rows of the platform's table, their keys and transactions on them."""

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
    """Holder of a partition; rewritten by every batch of the partition.

    Attributes:
        holder: Entry that holds the partition; None after a release.
        incarnation: Incarnation of the holder.
        address: Address of the holder for forwarded operations.
        epoch: Raised by every takeover.
        sequence: Number of the batch within the epoch.
    """

    holder: ids.EntryId | None
    incarnation: ids.Incarnation
    address: members.Address | None
    epoch: ids.Epoch
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverRequestRow:
    """Request of an entry that holds fewer partitions than its share.

    Like the row of a holder, it has expired unless it was rewritten within a
    partition lease.
    """

    entry: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRow:
    """Durable state of a task.

    Attributes:
        task_id: The task.
        organisation: Organisation that the task is charged to.
        kind: Name of the template.
        payload: Text for the worker, not interpreted here.
        declared: Declared resources.
        state: Durable state.
        epoch: Raised by every assignment.
        instance: Instance to which it is assigned.
        incarnation: Incarnation of that instance's agent at the assignment.
        checkpoint: Checkpoint from which the next run resumes.
        result: Output, or the reason why the task ended without one.
        failed_on: Instances on which it failed, except for failures that were
            attributed to the instance.
        evictions: Number of times it was evicted.
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
    """Durable claim of a request that must run at most once.

    Attributes:
        state: Whether the request is in progress, or how it ended.
        digest: Digest of the request, to detect the reuse of its key.
        entry: Entry that wrote the claim.
        entry_incarnation: Incarnation of that entry.
        request_id: Request that made the claim.
        attempt: Number of the claimed attempt.
        instance: Target of the attempt.
        incarnation: Incarnation of the target's agent.
        address: Address of the target's agent.
        valid_until: Instant on the target's clock after which the agent
            refuses the attempt.
        answer: Answer of the upstream, if completed; its body is empty if an
            object holds it.
        reason: Reason for the outcome.
    """

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
    """Name of the object that holds a large answer body; "" if none does."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRow:
    """Latest accepted configuration version."""

    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRow:
    """One accepted change with its audit record."""

    change: declarations.Change


@dataclasses.dataclass(frozen=True, slots=True)
class TemplateRow:
    """Current version of one template."""

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
    """A stored row; `operation` identifies the transaction that wrote it."""

    key: ids.RowKey
    version: ids.RowVersion
    operation: ids.OperationId
    value: RowValue


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires a row to have this version; with 0, the row must not exist."""

    key: ids.RowKey
    version: ids.RowVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Puts a row, or deletes it if `value` is None."""

    key: ids.RowKey
    value: RowValue | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every condition holds.

    A transaction may be sent repeatedly under the same operation id.
    """

    operation: ids.OperationId
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAnswer:
    """The table's answer to a transaction.

    Attributes:
        result: Result of the transaction.
        rows: With CONFLICT, the current rows of the conditions' keys.
    """

    result: states.CommitResult
    rows: tuple[Row, ...] = ()

    def find(self, key: ids.RowKey) -> Row | None:
        """Returns the current row of `key`, or None if the answer lacks it."""
        return next((row for row in self.rows if row.key == key), None)


def build_partition_key(partition: ids.Partition) -> ids.RowKey:
    """Returns the key of a partition's row."""
    return ids.RowKey(f"{PARTITION_PREFIX}{partition:04d}")


def build_handover_request_key(entry: ids.EntryId) -> ids.RowKey:
    """Returns the key of an entry's handover request row."""
    return ids.RowKey(f"{HANDOVER_REQUEST_PREFIX}{entry}")


def build_task_prefix(partition: ids.Partition) -> str:
    """Returns the common prefix of the keys of a partition's tasks."""
    return f"task/{partition:04d}/"


def build_task_key(partition: ids.Partition, task_id: ids.TaskId) -> ids.RowKey:
    """Returns the key of a task's row."""
    return ids.RowKey(f"{build_task_prefix(partition)}{task_id}")


def build_claim_key(
    organisation: ids.OrganisationId, key: ids.IdempotencyKey
) -> ids.RowKey:
    """Returns the key of a claim's row.

    Idempotency keys are separate for each organisation.
    """
    return ids.RowKey(f"claim/{organisation}/{key}")


def build_change_key(version: ids.ConfigVersion) -> ids.RowKey:
    """Returns the key of a change's row.

    The version is padded with zeros, so that keys sort by version.
    """
    return ids.RowKey(f"{CHANGE_PREFIX}{version:012d}")


def build_object_key(
    item: declarations.Template | declarations.Organisation,
) -> ids.RowKey:
    """Returns the key of a declared object's row."""
    if isinstance(item, declarations.Template):
        return build_template_key(item.name)
    return build_organisation_key(item.name)


def build_template_key(name: ids.KindName) -> ids.RowKey:
    """Returns the key of a template's row."""
    return ids.RowKey(f"{OBJECT_PREFIX}template/{name}")


def build_organisation_key(name: ids.OrganisationId) -> ids.RowKey:
    """Returns the key of an organisation's row."""
    return ids.RowKey(f"{OBJECT_PREFIX}organisation/{name}")
