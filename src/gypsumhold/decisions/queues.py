"""Changes of the tasks in a held partition, before and after their commit.

The new row of a task is `pending` until its batch is committed. The change has
no effect outside the entry before the commit, and a task with a pending row is
not changed again.
"""

import dataclasses
import datetime

from gypsumhold.decisions import partitions
from gypsumhold.model import (
    declarations,
    effects,
    entry,
    events,
    ids,
    resources,
    rows,
    states,
    tasks,
    timers,
)

_ALREADY_ENDED = "the task has already ended"


def find_work_class(
    state: entry.EntryState, row: rows.TaskRow
) -> states.WorkClass:
    """Returns a task's work class; BATCH if its template was deleted."""
    template = find_template(state, row)
    return template.work_class if template else states.WorkClass.BATCH


def find_template(
    state: entry.EntryState, row: rows.TaskRow
) -> declarations.Template | None:
    """Returns a task's template with the organisation's overrides.

    Returns None if the template or the organisation's use of it was deleted.
    """
    return state.configuration.resolve(row.organisation, row.kind)


def set_pending_row(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
) -> None:
    """Sets the next row of a task, which the next batch writes.

    A newly assigned task counts against its organisation's quota at once.
    """
    record = partition.tasks[row.task_id]
    _dequeue(partition, row.task_id)
    was_assigned = record.row.state is states.TaskState.ASSIGNED
    is_assigned = row.state is states.TaskState.ASSIGNED
    if is_assigned and not was_assigned:
        add_usage(partition, row.organisation, row.declared)
    record.pending = row
    partition.dirty[row.task_id] = None


def add_usage(
    partition: entry.PartitionState,
    organisation: ids.OrganisationId,
    amount: resources.Resources,
) -> None:
    """Counts resources towards an organisation's quota."""
    used = partition.usage.get(organisation, resources.NOTHING)
    partition.usage[organisation] = used + amount


def _dequeue(partition: entry.PartitionState, task_id: ids.TaskId) -> None:
    for queue in partition.queue.values():
        queue.pop(task_id, None)


def _enqueue(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
) -> None:
    partition.queue[find_work_class(state, row)][row.task_id] = None


def add_task(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
    ticket: ids.TicketId,
) -> None:
    """Adds a submitted task; its ticket is answered after the commit."""
    partition.tasks[row.task_id] = entry.TaskRecord(row=row, pending=row)
    partition.dirty[row.task_id] = None
    partition.tickets.append(entry.BatchTicket(ticket, row.task_id))


def load_partition(
    state: entry.EntryState,
    partition: entry.PartitionState,
    stored_rows: tuple[rows.Row, ...],
    now: datetime.timedelta,
) -> None:
    """Rebuilds the tasks and queues of a partition from its rows.

    Called when the rows have been read after a takeover.
    """
    partition.phase = states.PartitionPhase.HELD
    for stored in stored_rows:
        row = stored.value
        if not isinstance(row, rows.TaskRow):
            continue
        if row.state in states.FINAL_TASK_STATES:
            partition.ended.add(row.task_id)
            continue
        record = entry.TaskRecord(row=row)
        partition.tasks[row.task_id] = record
        if row.state is states.TaskState.ASSIGNED:
            add_usage(partition, row.organisation, row.declared)
            # The former holder counted leases from its last confirmed write,
            # which came before the takeover.
            record.granted_until = partition.taken_at + find_lease(state, row)
        else:
            _enqueue(state, partition, row)


def find_lease(
    state: entry.EntryState, row: rows.TaskRow
) -> datetime.timedelta:
    """Returns how long each lease of a task lasts."""
    template = find_template(state, row)
    return template.lease if template else DEFAULT_LEASE


DEFAULT_LEASE = datetime.timedelta(seconds=900)
"""Lease of a task whose template was deleted; equals the template default."""


def apply_batch(
    state: entry.EntryState,
    partition: entry.PartitionState,
    batch: entry.Batch,
) -> list[effects.Effect]:
    """Applies the rows of a committed batch and answers its tickets."""
    for task_id in batch.changed:
        _apply_row(state, partition, task_id)
    return [
        effects.AnswerTicket(
            item.ticket,
            states.SubmissionResult.ACCEPTED,
            task_id=item.task_id,
        )
        for item in batch.tickets
    ]


def _apply_row(
    state: entry.EntryState,
    partition: entry.PartitionState,
    task_id: ids.TaskId,
) -> None:
    """Makes the pending row of a task its committed row."""
    record = partition.tasks[task_id]
    before, after = record.row, record.pending
    assert after is not None
    record.row, record.pending = after, None
    if record.reported_by is not None:
        _acknowledge(state, partition, record.reported_by, before)
        record.reported_by = None
    assigned = states.TaskState.ASSIGNED
    if before.state is assigned and after.state is not assigned:
        _subtract_usage(partition, before)
        release_reservation(state, before)
    if after.state in states.FINAL_TASK_STATES:
        del partition.tasks[task_id]
        partition.ended.add(task_id)
    elif after.state is states.TaskState.QUEUED:
        record.started = False
        _enqueue(state, partition, after)


def _subtract_usage(partition: entry.PartitionState, row: rows.TaskRow) -> None:
    used = partition.usage[row.organisation]
    partition.usage[row.organisation] = used - row.declared


def release_reservation(state: entry.EntryState, row: rows.TaskRow) -> None:
    """Removes the reservation of a placement that has ended."""
    member = state.members.get(row.instance) if row.instance else None
    if member is not None:
        member.reservations.pop(row.task_id, None)


def _acknowledge(
    state: entry.EntryState,
    partition: entry.PartitionState,
    instance: ids.InstanceId,
    row: rows.TaskRow,
) -> None:
    """Adds the acknowledgement of a final report to the next sync."""
    member = state.members.get(instance)
    if member is None:
        return
    item = tasks.SyncItem(row.task_id, row.epoch, datetime.timedelta(0))
    member.acknowledgements.setdefault(partition.number, []).append(item)


def cancel_task(
    state: entry.EntryState,
    partition: entry.PartitionState,
    event: events.TaskCancelArrived,
) -> list[effects.Effect]:
    """Cancels a queued task, or marks an assigned one to be stopped first.

    The ticket is answered after the commit, or at once if nothing changes.
    """
    record = partition.tasks.get(event.task_id)
    if record is None or record.row.organisation != event.organisation:
        ended = event.task_id in partition.ended
        result = (
            states.SubmissionResult.ACCEPTED
            if ended
            else states.SubmissionResult.NOT_FOUND
        )
        detail = (
            _ALREADY_ENDED if ended else "the organisation has no such task"
        )
        return [effects.AnswerTicket(event.ticket, result, detail)]
    if record.row.cancelling:
        return [
            effects.AnswerTicket(
                event.ticket,
                states.SubmissionResult.ACCEPTED,
                task_id=event.task_id,
            )
        ]
    if record.pending is not None:
        return [
            effects.AnswerTicket(
                event.ticket,
                states.SubmissionResult.UNAVAILABLE,
                "the task is changing state; send the cancellation again",
            )
        ]
    row = dataclasses.replace(record.row, cancelling=True)
    if row.state is states.TaskState.QUEUED:
        row = dataclasses.replace(row, state=states.TaskState.CANCELLED)
    set_pending_row(state, partition, row)
    ticket = entry.BatchTicket(event.ticket, event.task_id)
    partition.tickets.append(ticket)
    return []


def read_tasks(
    partition: entry.PartitionState, now: datetime.timedelta
) -> effects.Effect:
    """Returns the read of a partition's tasks, made after its takeover."""
    purpose = events.ReadPurpose(
        timers.ReadKind.TASKS, partition=partition.number, sent_at=now
    )
    prefix = rows.build_task_prefix(partition.number)
    return effects.ReadRows(effects.NO_OWNER, prefix, purpose)


def send_pending(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Sends the pending rows, if there are any and no batch is in flight."""
    if not partition.dirty:
        return []
    return partitions.send_batch(state, partition, now)
