"""Changes of tasks in a held partition: what is decided and what is committed.

A decided row is `pending` until its batch is committed. Nothing outside the
entry happens before that, and a task with a pending row is left alone.
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
    """Returns a task's urgency; BATCH if its template is gone."""
    template = find_template(state, row)
    return template.work_class if template else states.WorkClass.BATCH


def find_template(
    state: entry.EntryState, row: rows.TaskRow
) -> declarations.Template | None:
    """Returns a task's template with the organisation's overrides."""
    return state.configuration.resolve(row.organisation, row.kind)


def set_pending_row(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
) -> None:
    """Decides the next row of a task; the next batch writes it."""
    record = partition.tasks[row.task_id]
    _dequeue(partition, row.task_id)
    was_placed = record.row.state is states.TaskState.ASSIGNED
    is_placed = row.state is states.TaskState.ASSIGNED
    if is_placed and not was_placed:
        add_usage(partition, row.organisation, row.declared)
    record.pending = row
    partition.dirty[row.task_id] = None


def add_usage(
    partition: entry.PartitionState,
    organisation: ids.OrganisationId,
    amount: resources.Resources,
) -> None:
    """Counts resources against an organisation's quota."""
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
    """Adds a submitted task; the ticket is answered after the commit."""
    partition.tasks[row.task_id] = entry.TaskRecord(row=row, pending=row)
    partition.dirty[row.task_id] = None
    partition.tickets.append(entry.BatchTicket(ticket, row.task_id))


def load_partition(
    state: entry.EntryState,
    partition: entry.PartitionState,
    found: tuple[rows.Row, ...],
    now: datetime.timedelta,
) -> None:
    """Rebuilds the queue from the table after a takeover."""
    partition.phase = states.PartitionPhase.HELD
    for stored in found:
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
            # The former holder may have granted a lease until its last write,
            # which came before the takeover.
            record.granted_until = partition.taken_at + find_lease(state, row)
        else:
            _enqueue(state, partition, row)


def find_lease(
    state: entry.EntryState, row: rows.TaskRow
) -> datetime.timedelta:
    """Returns the lease of a task's placements."""
    template = find_template(state, row)
    return template.lease if template else DEFAULT_LEASE


DEFAULT_LEASE = datetime.timedelta(seconds=900)
"""Lease of a task whose template was deleted; the default of templates."""


def apply_batch(
    state: entry.EntryState,
    partition: entry.PartitionState,
    batch: entry.Batch,
) -> list[effects.Effect]:
    """Makes the rows of a committed batch the present ones."""
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
    record = partition.tasks[task_id]
    before, after = record.row, record.pending
    assert after is not None
    record.row, record.pending = after, None
    if record.reported_by is not None:
        _acknowledge(state, partition, record.reported_by, before)
        record.reported_by = None
    placed = states.TaskState.ASSIGNED
    if before.state is placed and after.state is not placed:
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
    """Drops the reservation of a placement that has ended."""
    member = state.members.get(row.instance) if row.instance else None
    if member is not None:
        member.reservations.pop(row.task_id, None)


def _acknowledge(
    state: entry.EntryState,
    partition: entry.PartitionState,
    instance: ids.InstanceId,
    row: rows.TaskRow,
) -> None:
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
    """Cancels a queued task, or has a placed one stopped first."""
    record = partition.tasks.get(event.task_id)
    if record is None or record.row.organisation != event.organisation:
        ended = event.task_id in partition.ended
        result = (
            states.SubmissionResult.ACCEPTED
            if ended
            else states.SubmissionResult.NOT_FOUND
        )
        detail = _ALREADY_ENDED if ended else "no such task"
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
    """Reads a partition's tasks after its takeover."""
    purpose = events.ReadPurpose(
        timers.ReadKind.TASKS, partition=partition.number, sent_at=now
    )
    prefix = rows.name_task_prefix(partition.number)
    return effects.ReadRows(effects.NO_OWNER, prefix, purpose)


def send_pending(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Sends what was decided, if there is anything and no batch in flight."""
    if not partition.dirty:
        return []
    return partitions.send_batch(state, partition, now)
