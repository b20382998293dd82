"""Syncs between the holder of a partition and the agents that run its tasks.

A sync lists the placements that the holder has recorded for an instance and
renews their leases. The agent replies with the states of its tasks.
"""

import datetime

from gypsumhold.decisions import (
    dispatches,
    failure_attribution,
    placements,
    queues,
)
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    membership,
    rows,
    states,
    tasks,
    timers,
)

SYNC_CHECK_INTERVAL = datetime.timedelta(seconds=1)
"""Interval at which the entry checks which syncs are due."""

CLOCK_MARGIN = 0.01
"""Fraction of a lease that the holder waits after the lease has ended before it
requeues the task, because clocks run at different rates."""

_LIVE_STATES = {
    states.ExecutionState.STARTING,
    states.ExecutionState.RUNNING,
    states.ExecutionState.THROTTLED,
    states.ExecutionState.CHECKPOINTING,
    states.ExecutionState.STOPPING,
}


def run_due_syncs(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends the syncs that are due and requeues tasks with expired leases.

    Called once per `SYNC_CHECK_INTERVAL`; also places queued tasks.
    """
    emitted: list[effects.Effect] = [
        effects.SetTimer(timer, SYNC_CHECK_INTERVAL)
    ]
    for partition in list(state.partitions.values()):
        if partition.phase is not states.PartitionPhase.HELD:
            continue
        emitted += _sync_due(state, partition, now)
        _requeue_expired(state, partition, now)
        emitted += placements.place_tasks(state, partition, now)
    return emitted


def _sync_due(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Syncs a partition with the instances that are due and not silent.

    Only instances that run tasks of the partition, or that have reports to be
    acknowledged, are synced.
    """
    assigned = _group_assigned(partition)
    instances = set(assigned)
    for member in state.members.values():
        if partition.number in member.acknowledgements:
            instances.add(member.instance)
    emitted: list[effects.Effect] = []
    for instance in sorted(instances):
        target = state.members.get(instance)
        if target is None or partition.number in target.syncing:
            continue
        last_sync_at = target.last_sync.get(partition.number, entry.NEVER)
        is_silent = now - target.received_at >= state.options.suspect_after
        if is_silent or now < last_sync_at + state.options.sync_interval:
            continue
        records = assigned.get(instance, [])
        emitted.append(send_sync(state, partition, target, records, now))
    return emitted


def _group_assigned(
    partition: entry.PartitionState,
) -> dict[ids.InstanceId, list[entry.TaskRecord]]:
    """Groups the assigned tasks of a partition by instance."""
    grouped: dict[ids.InstanceId, list[entry.TaskRecord]] = {}
    for record in partition.tasks.values():
        row = record.row
        if row.state is states.TaskState.ASSIGNED and row.instance:
            grouped.setdefault(row.instance, []).append(record)
    return grouped


def sync_reports(
    state: entry.EntryState,
    member: membership.Member,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Syncs at once with an agent that announces unacknowledged reports."""
    emitted: list[effects.Effect] = []
    for partition in state.partitions.values():
        held = partition.phase is states.PartitionPhase.HELD
        if not held or partition.number in member.syncing:
            continue
        records = _group_assigned(partition).get(member.instance, [])
        # The agent may report a task that has ended in the table and so has no
        # record here. A sync without placements at the usual interval lets the
        # agent drop the report.
        last_sync_at = member.last_sync.get(partition.number, entry.NEVER)
        is_due = now >= last_sync_at + state.options.sync_interval
        if records or is_due or partition.number in member.acknowledgements:
            emitted.append(send_sync(state, partition, member, records, now))
    return emitted


def send_sync(
    state: entry.EntryState,
    partition: entry.PartitionState,
    member: membership.Member,
    records: list[entry.TaskRecord],
    now: datetime.timedelta,
) -> effects.Effect:
    """Builds a sync that lists and renews every placement at an instance.

    It also carries the acknowledgements and the orphans collected since the
    last sync.
    """
    member.last_sync[partition.number] = now
    member.syncing.add(partition.number)
    items = [_build_item(state, partition, item, member) for item in records]
    items += member.orphans.pop(partition.number, [])
    assert partition.row is not None
    sync = tasks.TaskSync(
        partition=partition.number,
        holder_epoch=partition.row.epoch,
        incarnation=member.announcement.incarnation,
        items=tuple(items),
        acknowledged=tuple(member.acknowledgements.pop(partition.number, [])),
    )
    return effects.SendSync(member.instance, member.address, sync)


def _build_item(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
    member: membership.Member,
) -> tasks.SyncItem:
    return tasks.SyncItem(
        task_id=record.row.task_id,
        epoch=record.row.epoch,
        expires=placements.grant_lease(state, partition, record, member),
        stop=record.row.cancelling,
    )


def handle_sync_answer(
    state: entry.EntryState,
    event: events.SyncAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the agent's reply to a sync.

    Reports are ignored unless this entry still holds the partition in the same
    epoch. If the sync failed or was refused, its acknowledgements are sent
    again with the next one.
    """
    partition = state.partitions[event.sync.partition]
    member = state.members.get(event.instance)
    if member is not None:
        member.syncing.discard(partition.number)
    if event.reply is None or not event.reply.accepted:
        _keep_acknowledgements(member, event.sync)
        return []
    held = partition.phase is states.PartitionPhase.HELD
    epoch = partition.row.epoch if partition.row else ids.Epoch(0)
    if not held or epoch != event.sync.holder_epoch:
        return []
    for report in event.reply.reports:
        _apply_report(state, partition, event.instance, report, now)
    return placements.place_tasks(state, partition, now)


def _keep_acknowledgements(
    member: membership.Member | None, sync: tasks.TaskSync
) -> None:
    if member is not None and sync.acknowledged:
        kept = member.acknowledgements.setdefault(sync.partition, [])
        kept.extend(sync.acknowledged)


def _apply_report(
    state: entry.EntryState,
    partition: entry.PartitionState,
    instance: ids.InstanceId,
    report: tasks.TaskReport,
    now: datetime.timedelta,
) -> None:
    """Applies the report of one task, unless a change of it is pending."""
    record = partition.tasks.get(report.task_id)
    if record is None or not _matches(record.row, instance, report):
        _stop_unknown_placement(state, partition, instance, report)
        return
    if record.pending is not None:
        return
    if report.state in _LIVE_STATES:
        record.started = True
        return
    if report.state is not states.ExecutionState.UNKNOWN:
        record.reported_by = instance
    failure_attribution.handle_placement_end(
        state, partition, record, report, now
    )


def _matches(
    row: rows.TaskRow, instance: ids.InstanceId, report: tasks.TaskReport
) -> bool:
    return (
        row.state is states.TaskState.ASSIGNED
        and row.instance == instance
        and row.epoch == report.epoch
    )


def _stop_unknown_placement(
    state: entry.EntryState,
    partition: entry.PartitionState,
    instance: ids.InstanceId,
    report: tasks.TaskReport,
) -> None:
    """Makes the next sync stop a placement that is not in the table.

    Its report is acknowledged too, so that the agent drops the placement.
    """
    member = state.members.get(instance)
    if member is None or report.state is states.ExecutionState.UNKNOWN:
        return
    item = tasks.SyncItem(
        report.task_id, report.epoch, datetime.timedelta(0), stop=True
    )
    if report.state in _LIVE_STATES:
        member.orphans.setdefault(partition.number, []).append(item)
    # The acknowledgement also makes the next sync due. For a live placement it
    # has no other effect, since agents ignore acknowledgements of tasks that
    # have not ended.
    member.acknowledgements.setdefault(partition.number, []).append(item)


def _requeue_expired(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> None:
    """Requeues tasks of silent instances whose lease has certainly expired."""
    for record in list(partition.tasks.values()):
        row = record.row
        assigned = row.state is states.TaskState.ASSIGNED
        if not assigned or record.pending is not None:
            continue
        member = state.members.get(row.instance) if row.instance else None
        if member is not None and dispatches.is_serving(state, member, now):
            continue
        if partition.recovered_at == datetime.timedelta.max:
            continue
        lease = queues.find_lease(state, row)
        # After an outage of the table a full lease is waited again, so that
        # the outage does not end in a wave of reassignments.
        earliest_end = max(record.granted_until, partition.recovered_at + lease)
        if partition.recovered_at == datetime.timedelta(0):
            earliest_end = record.granted_until
        if now > earliest_end + CLOCK_MARGIN * lease:
            failure_attribution.handle_placement_lost(state, partition, record)


def retire_instance(
    state: entry.EntryState,
    event: events.InstanceRetired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Removes an instance that is gone for good and requeues its tasks."""
    state.members.pop(event.instance, None)
    state.instances_by_kind = None
    emitted: list[effects.Effect] = []
    for partition in state.partitions.values():
        for record in list(partition.tasks.values()):
            was_placed_there = record.row.instance == event.instance
            if was_placed_there and record.pending is None:
                failure_attribution.handle_placement_lost(
                    state, partition, record
                )
        emitted += placements.place_tasks(state, partition, now)
        emitted += queues.send_pending(state, partition, now)
    return emitted
