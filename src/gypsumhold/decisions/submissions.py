"""Submission and cancellation of tasks.

The holder of the organisation's partition carries out an operation; other
entries forward it to the holder.
"""

import datetime
import hashlib

from gypsumhold.decisions import partitions, placements, queues
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    members,
    rows,
    states,
    tasks,
    timers,
)

ID_DIGITS = 24
"""Hexadecimal digits of a task id; with 96 bits a collision is improbable."""


LOAD_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay before the tasks of a partition are read again after a failure."""


def derive_task_id(submission: tasks.Submission) -> ids.TaskId:
    """Returns the task id of a submission; all its repeats have the same id."""
    text = f"{submission.organisation}/{submission.key}"
    digest = hashlib.sha256(text.encode()).hexdigest()
    return ids.TaskId(digest[:ID_DIGITS])


def handle_submission(
    state: entry.EntryState,
    event: events.SubmissionArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Adds a task to its partition, or forwards it to the holder.

    A repeated submission is accepted without a second task.
    """
    submission = event.submission
    template = state.configuration.resolve(
        submission.organisation, submission.kind
    )
    if template is None or template.work is not states.WorkForm.TASK:
        return [_answer_unknown_kind(event.ticket, submission)]
    number = partitions.find_partition(state, submission.organisation)
    partition = state.partitions.get(number)
    if partition is None or partition.phase is not states.PartitionPhase.HELD:
        address = _find_holder(state, partition, event.forwarded)
        if address is None:
            return [_answer_no_holder(event.ticket)]
        return [effects.ForwardSubmission(event.ticket, address, submission)]
    task_id = derive_task_id(submission)
    if task_id in partition.ended:
        return [_answer_accepted(event.ticket, task_id)]
    record = partition.tasks.get(task_id)
    if record is not None and record.is_new:
        _wait_for_insertion(partition, event.ticket, task_id)
        return []
    if record is not None:
        return [_answer_accepted(event.ticket, task_id)]
    if _is_table_failing(state, partition, now):
        return [_answer_table_failing(event.ticket)]
    row = rows.TaskRow(
        task_id=task_id,
        organisation=submission.organisation,
        kind=submission.kind,
        payload=submission.payload,
        declared=submission.declared or template.declared,
    )
    queues.add_task(state, partition, row, event.ticket)
    return queues.send_pending(state, partition, now)


def _wait_for_insertion(
    partition: entry.PartitionState,
    ticket: ids.TicketId,
    task_id: ids.TaskId,
) -> None:
    """Adds a ticket that is answered when the task's insertion is committed.

    Used for the repeat of a submission whose first request is not committed
    yet.
    """
    waiting = entry.BatchTicket(ticket, task_id)
    batch = partition.batch
    if batch is not None and task_id in batch.changed:
        batch.tickets = (*batch.tickets, waiting)
    else:
        partition.tickets.append(waiting)


def _is_table_failing(
    state: entry.EntryState,
    partition: entry.PartitionState,
    now: datetime.timedelta,
) -> bool:
    """Returns whether the table has failed recently or a batch is in doubt."""
    in_doubt = partition.recovered_at == datetime.timedelta.max
    return in_doubt or now < state.table_failed_at + state.options.table_pause


def _find_holder(
    state: entry.EntryState,
    partition: entry.PartitionState | None,
    forwarded: bool,
) -> members.Address | None:
    """Returns the holder's address, or None if forwarding is impossible."""
    # Forward only once, so that two entries with outdated rows do not send an
    # operation back and forth.
    if forwarded or partition is None or partition.row is None:
        return None
    if partition.row.holder in (None, state.options.entry):
        return None
    return partition.row.address


def _answer_unknown_kind(
    ticket: ids.TicketId, submission: tasks.Submission
) -> effects.Effect:
    return effects.AnswerTicket(
        ticket,
        states.SubmissionResult.REFUSED,
        f"organisation '{submission.organisation}' has no task kind "
        f"'{submission.kind}'; declare it with 'gypsumctl apply'",
    )


def _answer_accepted(
    ticket: ids.TicketId, task_id: ids.TaskId
) -> effects.Effect:
    return effects.AnswerTicket(
        ticket, states.SubmissionResult.ACCEPTED, task_id=task_id
    )


def _answer_no_holder(ticket: ids.TicketId) -> effects.Effect:
    return effects.AnswerTicket(
        ticket,
        states.SubmissionResult.UNAVAILABLE,
        "no entry holds the partition at the moment; send the request again "
        "with the same key in a few seconds",
    )


def _answer_table_failing(ticket: ids.TicketId) -> effects.Effect:
    return effects.AnswerTicket(
        ticket,
        states.SubmissionResult.UNAVAILABLE,
        "the table does not answer; send the request again later with the "
        "same key",
    )


def handle_cancel(
    state: entry.EntryState,
    event: events.TaskCancelArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Cancels a task, or forwards the cancellation to the holder."""
    number = partitions.find_partition(state, event.organisation)
    partition = state.partitions.get(number)
    if partition is None or partition.phase is not states.PartitionPhase.HELD:
        address = _find_holder(state, partition, event.forwarded)
        if address is None:
            return [_answer_no_holder(event.ticket)]
        return [
            effects.ForwardCancel(
                event.ticket, address, event.organisation, event.task_id
            )
        ]
    emitted = queues.cancel_task(state, partition, event)
    return [*emitted, *queues.send_pending(state, partition, now)]


def handle_forward_answer(
    state: entry.EntryState,
    event: events.ForwardAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Returns the holder's answer to the caller.

    If the forwarded call failed, the result is unknown.
    """
    result = event.result or states.SubmissionResult.UNKNOWN
    detail = event.detail
    if event.result is None:
        detail = (
            "the partition's holder did not answer; send the request again "
            "with the same key"
        )
    return [
        effects.AnswerTicket(
            event.ticket, result, detail, task_id=event.task_id
        )
    ]


def handle_batch_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the table's answer to a partition's batch.

    After a takeover the tasks are read next. Otherwise the committed rows take
    effect, committed starts are sent and further tasks are placed.
    """
    partition = partitions.find_batch_partition(state, event.operation)
    if partition is None:
        del state.operations[event.operation]
        return []
    result = partitions.settle_batch(state, partition, event.answer, now)
    if result is states.CommitResult.UNKNOWN:
        return [partitions.set_batch_timer(partition)]
    del state.operations[event.operation]
    if result is states.CommitResult.CONFLICT:
        return partitions.drop_partition(state, partition)
    batch = partition.batch
    assert batch is not None
    partition.batch = None
    if partition.phase is states.PartitionPhase.TAKING:
        partition.phase = states.PartitionPhase.LOADING
        partition.taken_at = now
        return [queues.read_tasks(partition, now)]
    emitted = queues.apply_batch(state, partition, batch)
    if batch.release:
        return [*emitted, *partitions.drop_partition(state, partition)]
    emitted += placements.send_committed_starts(state, partition, batch)
    emitted += placements.place_tasks(state, partition, now)
    return [*emitted, *queues.send_pending(state, partition, now)]


def handle_task_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Loads the tasks that were read after a takeover.

    A failed read is repeated after `LOAD_RETRY_DELAY`.
    """
    partition = state.partitions[event.purpose.partition]
    if partition.phase is not states.PartitionPhase.LOADING:
        return []
    if event.found is None:
        timer = timers.Timer(timers.TimerKind.LOAD, str(partition.number))
        return [effects.SetTimer(timer, LOAD_RETRY_DELAY)]
    queues.load_partition(state, partition, event.found, now)
    return placements.place_tasks(state, partition, now)


def reload_partition(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the tasks of a partition again after a failed read."""
    partition = state.partitions[ids.Partition(int(timer.subject))]
    if partition.phase is not states.PartitionPhase.LOADING:
        return []
    return [queues.read_tasks(partition, now)]
