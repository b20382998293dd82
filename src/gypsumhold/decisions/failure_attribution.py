"""Ends of placements: whether the worker or the task failed, and what follows.

Several different tasks that fail in a row on one instance are attributed to its
worker, and the instance is quarantined. Other failures are attributed to the
task, which is parked after failing on several workers.
"""

import dataclasses
import datetime

from gypsumhold.decisions import placements, queues
from gypsumhold.model import (
    entry,
    ids,
    membership,
    states,
    tasks,
)

QUARANTINE_FAILURES = 3
"""Different tasks that fail in a row before their instance is quarantined."""

QUARANTINE_TIME = datetime.timedelta(seconds=30)
"""Length of the first quarantine; doubles with each repeated one.

The first task after a quarantine is a probe: one failure renews the quarantine,
one success resets its length.
"""

MAX_DOUBLINGS = 6
"""Limits a quarantine to about half an hour.

A worker that has been repaired is therefore used again within that time.
"""


def handle_placement_end(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
    report: tasks.TaskReport,
    now: datetime.timedelta,
) -> None:
    """Sets the next row of a task whose placement has ended.

    `report` is the agent's final report. A stopped or refused task is requeued
    without counting a failure.
    """
    row = record.row
    assert row.instance is not None
    member = state.members.get(row.instance)
    if report.state is states.ExecutionState.SUCCEEDED:
        _count_success(member)
        queues.set_pending_row(
            state,
            partition,
            dataclasses.replace(
                row, state=states.TaskState.SUCCEEDED, result=report.result
            ),
        )
    elif report.state is states.ExecutionState.FAILED:
        _end_failed(state, partition, record, report, now)
    elif report.state is states.ExecutionState.EVICTED:
        evicted = dataclasses.replace(row, evictions=row.evictions + 1)
        placements.requeue_task(state, partition, evicted, report.checkpoint)
    elif report.state is states.ExecutionState.UNKNOWN:
        handle_placement_lost(state, partition, record)
    else:
        placements.requeue_task(state, partition, row, report.checkpoint)


def handle_placement_lost(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
) -> None:
    """Requeues a task that certainly no longer runs where it was placed.

    A task that is not repeatable is parked instead, since it may have run,
    unless it is being cancelled.
    """
    row = record.row
    template = queues.find_template(state, row)
    if template is None or template.repeatable or row.cancelling:
        placements.requeue_task(state, partition, row)
        return
    placements.park_task(
        state,
        partition,
        row,
        "the instance was lost and the task is not repeatable; check its "
        "effect and submit it under a new key if it did not run",
    )


def _end_failed(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
    report: tasks.TaskReport,
    now: datetime.timedelta,
) -> None:
    """Requeues, fails or parks a task that its worker reports as failed."""
    row = record.row
    assert row.instance is not None
    # A task that is stopped by a cancellation often ends with an error, which
    # is the fault of neither the worker nor the task.
    if row.cancelling:
        placements.requeue_task(state, partition, row)
        return
    member = state.members.get(row.instance)
    is_task_fault = member is None or not _count_failure(
        member, row.task_id, now
    )
    template = queues.find_template(state, row)
    if template is not None and not template.repeatable:
        failed = dataclasses.replace(
            row, state=states.TaskState.FAILED, result=report.result
        )
        queues.set_pending_row(state, partition, failed)
        return
    failed_on = row.failed_on
    # A task is placed again on an instance where it failed only if no other
    # instance is available, so a second failure there ends the search.
    exhausted = row.instance in failed_on
    if is_task_fault and not exhausted:
        failed_on = (*failed_on, row.instance)
    limit = template.max_failures if template else 1
    row = dataclasses.replace(row, failed_on=failed_on)
    if exhausted or len(failed_on) >= min(limit, max(1, len(state.members))):
        placements.park_task(
            state,
            partition,
            row,
            f"failed on {len(failed_on)} workers, last error: {report.result}; "
            "correct the task and submit it under a new key",
        )
        return
    placements.requeue_task(state, partition, row)


def _count_success(member: membership.Member | None) -> None:
    """Resets the failure counts of an instance."""
    if member is not None:
        member.task_failures.clear()
        member.quarantines = 0


def _count_failure(
    member: membership.Member, task_id: ids.TaskId, now: datetime.timedelta
) -> bool:
    """Counts a failure at an instance and quarantines it if there are too many.

    Returns:
        Whether the failure is attributed to the instance.
    """
    if task_id not in member.task_failures:
        member.task_failures.append(task_id)
    probing = member.quarantines > 0
    if len(member.task_failures) < QUARANTINE_FAILURES and not probing:
        return False
    member.task_failures.clear()
    doublings = min(member.quarantines, MAX_DOUBLINGS)
    member.quarantined_until = now + QUARANTINE_TIME * 2**doublings
    member.quarantines += 1
    return True
