"""Placement of queued tasks: quota, choice of instance, lease, start."""

import dataclasses
import datetime

from gypsumhold.decisions import dispatches, queues
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    membership,
    resources,
    rows,
    states,
    tasks,
)

MAX_FAILED_PLACEMENTS = 64
"""Failed placements after which a pass ends, so that it stays short."""

DISCOVERY_TIME = datetime.timedelta(seconds=10)
"""Time after the entry's start in which instances may still be unknown.

Until then no task is parked for being larger than every known worker.
"""

_ASSIGNED = states.TaskState.ASSIGNED


def place_tasks(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Assigns queued tasks to instances, the most urgent class first."""
    held = partition.phase is states.PartitionPhase.HELD
    if not held or partition.releasing or state.stopping:
        return []
    candidates = [
        member
        for member in state.members.values()
        if dispatches.is_serving(state, member, now)
        and member.quarantined_until <= now
    ]
    failed = 0
    for work_class in states.WorkClass:
        for task_id in list(partition.queue[work_class]):
            if failed >= MAX_FAILED_PLACEMENTS:
                break
            row = partition.tasks[task_id].row
            failed += not _place(state, partition, row, candidates, now)
    return queues.send_pending(state, partition, now)


def _place(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
    candidates: list[membership.Member],
    now: datetime.timedelta,
) -> bool:
    """Assigns, cancels or parks a queued task.

    Returns:
        False if the task has to stay in the queue.
    """
    if row.cancelling:
        queues.set_pending_row(
            state,
            partition,
            dataclasses.replace(row, state=states.TaskState.CANCELLED),
        )
        return True
    reason = _explain_unplaceable(state, row, now)
    if reason:
        park_task(state, partition, row, reason)
        return True
    organisation = state.configuration.organisations.get(row.organisation)
    used = partition.usage.get(row.organisation, resources.NOTHING)
    if organisation is None or not (used + row.declared).fits_in(
        organisation.quota
    ):
        return False
    untried = candidates
    if row.failed_on:
        untried = [
            item for item in candidates if item.instance not in row.failed_on
        ]
    member = state.policies.placement.choose(
        row.declared, untried or candidates, state.random
    )
    if member is None:
        return False
    member.reservations[row.task_id] = membership.Reservation(row.declared)
    placed = dataclasses.replace(
        row,
        state=_ASSIGNED,
        epoch=ids.Epoch(row.epoch + 1),
        instance=member.instance,
        incarnation=member.announcement.incarnation,
    )
    queues.set_pending_row(state, partition, placed)
    return True


def park_task(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
    reason: str,
) -> None:
    """Ends a task that is not to run again; stores `reason` as its result."""
    parked = dataclasses.replace(
        row, state=states.TaskState.PARKED, result=reason
    )
    queues.set_pending_row(state, partition, parked)


def _explain_unplaceable(
    state: entry.EntryState, row: rows.TaskRow, now: datetime.timedelta
) -> str:
    """Returns why a task can never be placed; "" if it can."""
    organisation = state.configuration.organisations.get(row.organisation)
    if organisation and not row.declared.fits_in(organisation.quota):
        return (
            "the declared size exceeds the organisation's quota; raise the "
            "quota or submit a smaller task"
        )
    if not state.members or now - state.started_at < DISCOVERY_TIME:
        return ""
    sizes = [item.announcement.capacity for item in state.members.values()]
    if any(row.declared.fits_in(size) for size in sizes):
        return ""
    return (
        "the declared size exceeds every known worker; add a larger worker "
        "or submit a smaller task"
    )


def grant_lease(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
    member: membership.Member,
) -> datetime.timedelta:
    """Grants a lease and returns its end on the instance's clock.

    The lease counts from the last confirmed write of the partition. The
    announced clock was read before the announcement arrived here, so the lease
    ends at the instance no later than `granted_until` on the entry's clock.
    """
    lease = queues.find_lease(state, record.row)
    until = partition.confirmed_at + lease
    record.granted_until = max(record.granted_until, until)
    return member.announcement.clock + (until - member.received_at)


def send_committed_starts(
    state: entry.EntryState,
    partition: entry.PartitionState,
    batch: entry.Batch,
) -> list[effects.Effect]:
    """Sends the starts of the tasks that a committed batch has assigned."""
    grouped: dict[ids.InstanceId, list[tasks.TaskStart]] = {}
    for task_id in batch.changed:
        record = partition.tasks.get(task_id)
        if record is None or record.row.state is not _ASSIGNED:
            continue
        assert record.row.instance is not None
        member = state.members.get(record.row.instance)
        if member is not None and not record.row.cancelling:
            start = _build_start(state, partition, record, member)
            grouped.setdefault(member.instance, []).append(start)
    return [
        effects.SendStarts(
            instance, state.members[instance].address, tuple(starts)
        )
        for instance, starts in grouped.items()
    ]


def _build_start(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
    member: membership.Member,
) -> tasks.TaskStart:
    row = record.row
    assert row.incarnation is not None
    return tasks.TaskStart(
        task_id=row.task_id,
        epoch=row.epoch,
        partition=partition.number,
        incarnation=row.incarnation,
        organisation=row.organisation,
        kind=row.kind,
        work_class=queues.find_work_class(state, row),
        declared=row.declared,
        expires=grant_lease(state, partition, record, member),
        payload=row.payload,
        checkpoint=row.checkpoint,
    )


def handle_start_answers(
    state: entry.EntryState,
    event: events.StartsAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Requeues the tasks whose start was refused.

    If the call failed, the next sync shows which tasks were started.
    """
    member = state.members.get(event.instance)
    if event.accepted is None:
        return []
    affected: dict[ids.Partition, None] = {}
    for start, accepted in zip(event.starts, event.accepted, strict=True):
        partition = state.partitions[start.partition]
        record = partition.tasks.get(start.task_id)
        if record is None or record.row.epoch != start.epoch:
            continue
        if record.row.state is not _ASSIGNED or record.pending is not None:
            continue
        if accepted:
            record.started = True
            _settle_reservation(member, start.task_id)
            continue
        if member is not None:
            member.reservations.pop(start.task_id, None)
        requeue_task(state, partition, record.row)
        affected[partition.number] = None
    emitted: list[effects.Effect] = []
    for number in affected:
        emitted += queues.send_pending(state, state.partitions[number], now)
    return emitted


def _settle_reservation(
    member: membership.Member | None, task_id: ids.TaskId
) -> None:
    """Sets which announcement makes a task's reservation unnecessary."""
    reservation = member.reservations.get(task_id) if member else None
    if member is not None and reservation is not None:
        # The next announcement may have been built before the task started,
        # so only the one after it is sure to include the task.
        reservation.visible_from = member.announcement.sequence + 2


def requeue_task(
    state: entry.EntryState,
    partition: entry.PartitionState,
    row: rows.TaskRow,
    checkpoint: ids.CheckpointRef | None = None,
) -> None:
    """Returns a task to the queue, or ends it if it is being cancelled.

    Without a new `checkpoint` the task keeps its last one.
    """
    next_state = (
        states.TaskState.CANCELLED
        if row.cancelling
        else states.TaskState.QUEUED
    )
    queues.set_pending_row(
        state,
        partition,
        dataclasses.replace(
            row,
            state=next_state,
            instance=None,
            incarnation=None,
            checkpoint=checkpoint or row.checkpoint,
        ),
    )
