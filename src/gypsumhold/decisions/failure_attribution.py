"""Ends of placements: who is to blame and what becomes of the task."""

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
"""Different tasks that fail in a row before an instance is quarantined."""

QUARANTINE_TIME = datetime.timedelta(seconds=30)
"""First pause of a quarantined instance; doubles with each failed probe."""

MAX_DOUBLINGS = 6
"""Limits the pause to half an hour, so that a mended worker returns."""


def handle_placement_end(
    state: entry.EntryState,
    partition: entry.PartitionState,
    record: entry.TaskRecord,
    report: tasks.TaskReport,
    now: datetime.timedelta,
) -> None:
    """Decides the next row of a task whose placement has ended."""
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
    """Requeues a task that is proved not to run where it was placed.

    A task that is not repeatable and may have run ends instead.
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
    row = record.row
    assert row.instance is not None
    # A task that was told to stop often ends with an error; that says nothing
    # about the worker or the task.
    if row.cancelling:
        placements.requeue_task(state, partition, row)
        return
    member = state.members.get(row.instance)
    blamed = member is None or not _count_failure(member, row.task_id, now)
    template = queues.find_template(state, row)
    if template is not None and not template.repeatable:
        failed = dataclasses.replace(
            row, state=states.TaskState.FAILED, result=report.result
        )
        queues.set_pending_row(state, partition, failed)
        return
    failed_on = row.failed_on
    # It is only placed again where it failed if no other worker takes it.
    exhausted = row.instance in failed_on
    if blamed and not exhausted:
        failed_on = (*failed_on, row.instance)
    limit = template.max_failures if template else 1
    row = dataclasses.replace(row, failed_on=failed_on)
    if exhausted or len(failed_on) >= min(limit, max(1, len(state.members))):
        placements.park_task(
            state,
            partition,
            row,
            f"failed on {len(failed_on)} workers, last: {report.result}; "
            "correct the task and submit it under a new key",
        )
        return
    placements.requeue_task(state, partition, row)


def _count_success(member: membership.Member | None) -> None:
    if member is not None:
        member.task_failures.clear()
        member.quarantines = 0


def _count_failure(
    member: membership.Member, task_id: ids.TaskId, now: datetime.timedelta
) -> bool:
    """Counts a failure; true if the instance is the one to blame."""
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
