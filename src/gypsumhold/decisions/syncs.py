"""Syncs between a partition's holder and the agents that run its tasks."""

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
"""Interval at which due syncs are looked for."""

CLOCK_MARGIN = 0.01
"""Share of a lease that is waited in addition, for clocks that differ."""

_LIVE = {
    states.ExecutionState.STARTING,
    states.ExecutionState.RUNNING,
    states.ExecutionState.THROTTLED,
    states.ExecutionState.CHECKPOINTING,
    states.ExecutionState.STOPPING,
}


def run_due_syncs(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Syncs with every instance that is due and reassigns lapsed tasks."""
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
    placed = _group_placed(partition)
    concerned = set(placed)
    for member in state.members.values():
        if partition.number in member.acknowledgements:
            concerned.add(member.instance)
    emitted: list[effects.Effect] = []
    for instance in sorted(concerned):
        found = state.members.get(instance)
        if found is None or partition.number in found.syncing:
            continue
        last = found.last_sync.get(partition.number, entry.NEVER)
        silent = now - found.received_at >= state.options.suspect_after
        if silent or now < last + state.options.sync_interval:
            continue
        records = placed.get(instance, [])
        emitted.append(send_sync(state, partition, found, records, now))
    return emitted


def _group_placed(
    partition: entry.PartitionState,
) -> dict[ids.InstanceId, list[entry.TaskRecord]]:
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
    """Syncs at once with an agent that announces waiting reports."""
    emitted: list[effects.Effect] = []
    for partition in state.partitions.values():
        held = partition.phase is states.PartitionPhase.HELD
        if not held or partition.number in member.syncing:
            continue
        records = _group_placed(partition).get(member.instance, [])
        # A report of a task that the table knows as ended belongs to no
        # record; an occasional empty sync lets the agent drop it.
        last = member.last_sync.get(partition.number, entry.NEVER)
        due = now >= last + state.options.sync_interval
        if records or due or partition.number in member.acknowledgements:
            emitted.append(send_sync(state, partition, member, records, now))
    return emitted


def send_sync(
    state: entry.EntryState,
    partition: entry.PartitionState,
    member: membership.Member,
    records: list[entry.TaskRecord],
    now: datetime.timedelta,
) -> effects.Effect:
    """Names every placement at the instance and renews its lease."""
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
        expires=placements.compute_expiry(state, partition, record, member),
        stop=record.row.cancelling,
    )


def handle_sync_answer(
    state: entry.EntryState,
    event: events.SyncAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the agent's view of a partition's tasks."""
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
    record = partition.tasks.get(report.task_id)
    if record is None or not _matches(record.row, instance, report):
        _stop_unknown_placement(state, partition, instance, report)
        return
    if record.pending is not None:
        return
    if report.state in _LIVE:
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
    """Has a placement that the table does not know stopped and forgotten."""
    member = state.members.get(instance)
    if member is None or report.state is states.ExecutionState.UNKNOWN:
        return
    item = tasks.SyncItem(
        report.task_id, report.epoch, datetime.timedelta(0), stop=True
    )
    if report.state in _LIVE:
        member.orphans.setdefault(partition.number, []).append(item)
    # An entry here makes the next sync due; for a live placement it repeats
    # nothing, since agents ignore acknowledgements of unended tasks.
    member.acknowledgements.setdefault(partition.number, []).append(item)


def _requeue_expired(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> None:
    """Requeues tasks of silent instances once their lease has surely ended."""
    for record in list(partition.tasks.values()):
        row = record.row
        placed = row.state is states.TaskState.ASSIGNED
        if not placed or record.pending is not None:
            continue
        member = state.members.get(row.instance) if row.instance else None
        if member is not None and dispatches.is_serving(state, member, now):
            continue
        if partition.recovered_at == datetime.timedelta.max:
            continue
        lease = queues.find_lease(state, row)
        # After an outage of the table the count starts again, so that it
        # does not end in a wave of reassignments.
        settled = max(record.granted_until, partition.recovered_at + lease)
        if partition.recovered_at == datetime.timedelta(0):
            settled = record.granted_until
        if now > settled + CLOCK_MARGIN * lease:
            failure_attribution.handle_placement_lost(state, partition, record)


def retire_instance(
    state: entry.EntryState,
    event: events.InstanceRetired,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Requeues the tasks of an instance that is gone for good."""
    state.members.pop(event.instance, None)
    state.instances_by_kind = None
    emitted: list[effects.Effect] = []
    for partition in state.partitions.values():
        for record in list(partition.tasks.values()):
            gone = record.row.instance == event.instance
            if gone and record.pending is None:
                failure_attribution.handle_placement_lost(
                    state, partition, record
                )
        emitted += placements.place_tasks(state, partition, now)
        emitted += queues.send_pending(state, partition, now)
    return emitted
