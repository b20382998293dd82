"""Partitions of the task queue: observation, takeover, batches, release.

A holder has at most one transaction of a partition in flight, its batch. Every
batch rewrites the partition row on condition that its version is unchanged.
Batches are therefore serial, and a batch of a former holder conflicts.
"""

import dataclasses
import datetime
import zlib

from gypsumhold.decisions import balance, dispatches
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    rows,
    states,
    timers,
)

BATCH_RETRY_DELAY = datetime.timedelta(milliseconds=200)
"""Delay before a batch in doubt is sent again unchanged."""

RENEWALS_PER_LEASE = 3
"""Minimum number of writes per partition lease; two of them may fail."""

HELD_PHASES = (states.PartitionPhase.HELD,)


def find_partition(
    state: entry.EntryState, organisation: ids.OrganisationId
) -> ids.Partition:
    """Returns the partition of an organisation's tasks.

    All tasks of an organisation are in one partition, whose holder enforces its
    quota.
    """
    checksum = zlib.crc32(organisation.encode())
    return ids.Partition(checksum % state.options.partitions)


def start_partitions(
    state: entry.EntryState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Creates the state of all partitions and reads their rows."""
    for number in map(ids.Partition, range(state.options.partitions)):
        state.partitions[number] = entry.PartitionState(number)
    return _read_partitions(now)


def _read_partitions(now: datetime.timedelta) -> list[effects.Effect]:
    """Reads all partition rows and handover requests."""
    purpose = events.ReadPurpose(timers.ReadKind.PARTITIONS, sent_at=now)
    return [effects.ReadRows(effects.NO_OWNER, rows.PARTITION_PREFIX, purpose)]


def poll_partitions(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the partition rows, and renews or releases held partitions.

    A partition without a batch in flight is renewed once a third of the lease
    has passed since its last confirmed write.
    """
    emitted: list[effects.Effect] = []
    lease = state.options.partition_lease
    for partition in state.partitions.values():
        is_idle = partition.phase in HELD_PHASES and partition.batch is None
        is_due = now - partition.confirmed_at >= lease / RENEWALS_PER_LEASE
        if is_idle and (is_due or state.stopping or partition.releasing):
            emitted += send_batch(state, partition, now)
    return [*emitted, *_read_partitions(now)]


def handle_partition_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies a read of the partition rows and balances the partitions.

    Takes over abandoned partitions, requests a handover if none was taken, and
    releases partitions that other entries request.
    """
    timer = timers.Timer(timers.TimerKind.PARTITION_POLL)
    next_poll = effects.SetTimer(timer, state.options.partition_poll)
    if event.found is None:
        # A holder may be unable to write because of the same outage, so the
        # time without a change is counted from the start again.
        for partition in state.partitions.values():
            partition.unchanged_since = None
        return [next_poll]
    stored_rows = {row.key: row for row in event.found}
    for partition in state.partitions.values():
        row = stored_rows.get(rows.build_partition_key(partition.number))
        _update_observed(partition, row, event.purpose.sent_at)
    balance.record_handover_requests(state, event.found, event.purpose.sent_at)
    emitted = _take_over_abandoned(state, now)
    if not emitted:
        emitted = balance.request_handover(state, now)
    for partition in balance.choose_partitions_to_release(state, now):
        partition.releasing = True
        emitted += send_batch(state, partition, now)
    return [next_poll, *emitted]


def _update_observed(
    partition: entry.PartitionState,
    row: rows.Row | None,
    sent_at: datetime.timedelta,
) -> None:
    """Updates the known row of a partition that this entry does not hold."""
    if partition.phase is not states.PartitionPhase.OBSERVED:
        return
    version = row.version if row else ids.RowVersion(0)
    # A read that was sent before the last known write may return an older row.
    if version < partition.version:
        return
    if version != partition.version or partition.unchanged_since is None:
        partition.unchanged_since = sent_at
    partition.version = version
    value = row.value if row else None
    partition.row = value if isinstance(value, rows.PartitionRow) else None


def _take_over_abandoned(
    state: entry.EntryState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Takes over abandoned partitions, up to the entry's fair share."""
    if state.stopping:
        return []
    missing_count = balance.compute_share(
        state, now
    ) - balance.count_own_partitions(state)
    emitted: list[effects.Effect] = []
    for partition in state.partitions.values():
        if len(emitted) < missing_count and _is_abandoned(
            state, partition, now
        ):
            emitted += _take_over(state, partition, now)
    return emitted


def _is_abandoned(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> bool:
    """Returns whether a partition has no holder that still writes its row."""
    if partition.phase is not states.PartitionPhase.OBSERVED:
        return False
    if partition.row is None or partition.row.holder is None:
        return partition.unchanged_since is not None
    since = partition.unchanged_since
    return since is not None and now - since >= state.options.partition_lease


def _take_over(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Writes this entry as the holder, with the next epoch."""
    partition.phase = states.PartitionPhase.TAKING
    epoch = partition.row.epoch if partition.row else ids.Epoch(0)
    row = rows.PartitionRow(
        holder=state.options.entry,
        incarnation=state.options.incarnation,
        address=state.options.address,
        epoch=ids.Epoch(epoch + 1),
        sequence=0,
    )
    return _send(state, partition, row, (), now)


def _send(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.PartitionRow,
    changed: tuple[ids.TaskId, ...],
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Sends a batch with the partition row and the pending rows of tasks."""
    key = rows.build_partition_key(partition.number)
    writes = [rows.Write(key, row)]
    for task_id in changed:
        pending = partition.tasks[task_id].pending
        task_key = rows.build_task_key(partition.number, task_id)
        writes.append(rows.Write(task_key, pending))
    transaction = rows.Transaction(
        operation=state.next_operation(),
        conditions=(rows.Condition(key, partition.version),),
        writes=tuple(writes),
    )
    batched = set(changed)
    tickets = tuple(
        item for item in partition.tickets if item.task_id in batched
    )
    partition.tickets = [
        item for item in partition.tickets if item.task_id not in batched
    ]
    partition.batch = entry.Batch(
        transaction, changed, tickets, now, release=row.holder is None
    )
    state.operations[transaction.operation] = entry.Operation(
        states.OperationKind.PARTITION, str(partition.number)
    )
    return [effects.Commit(effects.NO_OWNER, transaction)]


def send_batch(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Sends the pending rows as a batch, unless one is in flight already.

    Without pending rows the batch just renews the partition. A partition that
    is being released gives up its holder with the last pending row.
    """
    if partition.phase not in HELD_PHASES or partition.batch is not None:
        return []
    assert partition.row is not None
    changed = tuple(partition.dirty)[: state.options.batch_rows]
    for task_id in changed:
        del partition.dirty[task_id]
    releasing = state.stopping or partition.releasing
    release = releasing and not partition.dirty
    row = dataclasses.replace(
        partition.row,
        sequence=partition.row.sequence + 1,
        holder=None if release else state.options.entry,
    )
    return _send(state, partition, row, changed, now)


def resend_batch(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends a batch in doubt again, unchanged."""
    partition = state.partitions[ids.Partition(int(timer.subject))]
    if partition.batch is None:
        return []
    transaction = partition.batch.transaction
    return [effects.Commit(effects.NO_OWNER, transaction)]


def find_batch_partition(
    state: entry.EntryState, operation: ids.OperationId
) -> entry.PartitionState | None:
    """Returns the partition whose batch in flight has this operation id.

    Returns None if that batch is no longer in flight.
    """
    subject = state.operations[operation].subject
    partition = state.partitions[ids.Partition(int(subject))]
    batch = partition.batch
    if batch is None or batch.transaction.operation != operation:
        return None
    return partition


def settle_batch(
    state: entry.EntryState,
    partition: entry.PartitionState,
    answer: rows.CommitAnswer,
    now: datetime.timedelta,
) -> states.CommitResult:
    """Applies the table's answer to the batch in flight.

    Returns:
        COMMITTED, CONFLICT if another entry holds the partition now, or
        UNKNOWN if the batch has to be sent again.
    """
    batch = partition.batch
    assert batch is not None
    if answer.result in (
        states.CommitResult.UNAVAILABLE,
        states.CommitResult.UNKNOWN,
    ):
        state.table_failed_at = now
        partition.recovered_at = datetime.timedelta.max
        return states.CommitResult.UNKNOWN
    state.table_failed_at = entry.NEVER
    partition_row = answer.find(rows.build_partition_key(partition.number))
    took_effect = (
        partition_row is not None
        and partition_row.operation == batch.transaction.operation
    )
    if answer.result is not states.CommitResult.COMMITTED and not took_effect:
        return states.CommitResult.CONFLICT
    row = batch.transaction.writes[0].value
    assert isinstance(row, rows.PartitionRow)
    partition.row = row
    condition = batch.transaction.conditions[0]
    partition.version = ids.RowVersion(condition.version + 1)
    # The write may have taken effect when the batch was first sent, so the
    # partition is only known to have been held at that instant.
    partition.confirmed_at = batch.sent_at
    if partition.recovered_at == datetime.timedelta.max:
        partition.recovered_at = now
    return states.CommitResult.COMMITTED


def set_batch_timer(partition: entry.PartitionState) -> effects.Effect:
    """Sets the timer after which the batch in doubt is sent again."""
    timer = timers.Timer(timers.TimerKind.BATCH_RETRY, str(partition.number))
    return effects.SetTimer(timer, BATCH_RETRY_DELAY)


def drop_partition(
    state: entry.EntryState, partition: entry.PartitionState
) -> list[effects.Effect]:
    """Discards the state of a partition that this entry no longer holds.

    Callers that wait for a commit are answered: *unknown* if their change is in
    the batch in flight, *unavailable* if it was never sent.
    """
    unconfirmed = partition.batch.tickets if partition.batch else ()
    emitted: list[effects.Effect] = [
        _answer_moved(item, states.SubmissionResult.UNKNOWN)
        for item in unconfirmed
    ]
    # These changes were never sent, so they have certainly had no effect.
    emitted += [
        _answer_moved(item, states.SubmissionResult.UNAVAILABLE)
        for item in partition.tickets
    ]
    for record in partition.tasks.values():
        row = record.pending or record.row
        member = state.members.get(row.instance) if row.instance else None
        if member is not None:
            member.reservations.pop(row.task_id, None)
    state.partitions[partition.number] = entry.PartitionState(
        partition.number, version=partition.version
    )
    return [*emitted, *dispatches.report_stopped(state)]


def _answer_moved(
    item: entry.BatchTicket, result: states.SubmissionResult
) -> effects.Effect:
    """Answers a caller whose partition moved before the commit."""
    return effects.AnswerTicket(
        item.ticket,
        result,
        "the partition has moved to another entry; send the request again "
        "with the same key",
        item.task_id,
    )
