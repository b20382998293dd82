"""Converts task messages to and from Thrift structs.

The functions follow the conventions that `request_codec` describes.
"""

import dataclasses
from typing import Any

from returns.result import Result

from gypsumhold.adapters import thrift_fields
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import errors, ids, states, tasks


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionReply:
    """Reply of a partition's holder to a submission or cancellation.

    Attributes:
        result: Whether the task was accepted or cancelled.
        task_id: Id of the task, if it is known.
        detail: Reason in readable form; may be empty.
    """

    result: states.SubmissionResult
    task_id: ids.TaskId | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCancel:
    """Request to the holder of a partition to cancel a task."""

    organisation: ids.OrganisationId
    task_id: ids.TaskId


def encode_starts(starts: tuple[tasks.TaskStart, ...]) -> list[Any]:
    """Converts task starts to Thrift structs."""
    return [
        ttypes.TaskStart(
            task_id=start.task_id,
            epoch=start.epoch,
            partition=start.partition,
            incarnation=start.incarnation,
            organisation=start.organisation,
            kind=start.kind,
            work_class=thrift_fields.WORK_CLASSES.numbers[start.work_class],
            declared=thrift_fields.encode_resources(start.declared),
            expires_us=thrift_fields.encode_microseconds(start.expires),
            payload=start.payload,
            checkpoint=start.checkpoint,
        )
        for start in starts
    ]


def _parse_start(raw: Any) -> tasks.TaskStart:
    raw.validate()
    return tasks.TaskStart(
        task_id=raw.task_id,
        epoch=raw.epoch,
        partition=raw.partition,
        incarnation=raw.incarnation,
        organisation=raw.organisation,
        kind=raw.kind,
        work_class=thrift_fields.WORK_CLASSES[raw.work_class],
        declared=thrift_fields.decode_resources(raw.declared),
        expires=thrift_fields.decode_microseconds(raw.expires_us),
        payload=raw.payload,
        checkpoint=raw.checkpoint,
    )


def _parse_starts(raw: list[Any]) -> tuple[tasks.TaskStart, ...]:
    return tuple([_parse_start(start) for start in raw])


def decode_starts(
    raw: Any,
) -> Result[tuple[tasks.TaskStart, ...], errors.Error]:
    """Converts Thrift structs to task starts."""
    return thrift_fields.decode_checked(_parse_starts, raw)


def _encode_items(items: tuple[tasks.SyncItem, ...]) -> list[Any]:
    return [
        ttypes.SyncItem(
            item.task_id,
            item.epoch,
            thrift_fields.encode_microseconds(item.expires),
            item.stop,
        )
        for item in items
    ]


def _parse_item(raw: Any) -> tasks.SyncItem:
    raw.validate()
    return tasks.SyncItem(
        raw.task_id,
        raw.epoch,
        thrift_fields.decode_microseconds(raw.expires_us),
        raw.stop,
    )


def encode_sync(sync: tasks.TaskSync) -> Any:
    """Converts a sync request to a Thrift struct."""
    return ttypes.TaskSync(
        sync.partition,
        sync.holder_epoch,
        sync.incarnation,
        _encode_items(sync.items),
        _encode_items(sync.acknowledged),
    )


def _parse_sync(raw: Any) -> tasks.TaskSync:
    raw.validate()
    return tasks.TaskSync(
        raw.partition,
        raw.holder_epoch,
        raw.incarnation,
        tuple([_parse_item(item) for item in raw.items]),
        tuple([_parse_item(item) for item in raw.acknowledged]),
    )


def decode_sync(raw: Any) -> Result[tasks.TaskSync, errors.Error]:
    """Converts a Thrift struct to a sync request."""
    return thrift_fields.decode_checked(_parse_sync, raw)


def encode_sync_reply(reply: tasks.SyncReply) -> Any:
    """Converts the reply to a sync request to a Thrift struct."""
    reports = [
        ttypes.TaskReport(
            report.task_id,
            report.epoch,
            thrift_fields.EXECUTION_STATES.numbers[report.state],
            report.result,
            report.checkpoint,
        )
        for report in reply.reports
    ]
    return ttypes.SyncReply(reply.accepted, reports)


def _parse_report(raw: Any) -> tasks.TaskReport:
    raw.validate()
    return tasks.TaskReport(
        raw.task_id,
        raw.epoch,
        thrift_fields.EXECUTION_STATES[raw.state],
        raw.result,
        raw.checkpoint,
    )


def _parse_sync_reply(raw: Any) -> tasks.SyncReply:
    raw.validate()
    reports = tuple([_parse_report(report) for report in raw.reports])
    return tasks.SyncReply(raw.accepted, reports)


def decode_sync_reply(raw: Any) -> Result[tasks.SyncReply, errors.Error]:
    """Converts a Thrift struct to the reply to a sync request."""
    return thrift_fields.decode_checked(_parse_sync_reply, raw)


def encode_submission(submission: tasks.Submission) -> Any:
    """Converts a submission to a Thrift struct."""
    declared = submission.declared
    return ttypes.Submission(
        submission.organisation,
        submission.kind,
        submission.key,
        submission.payload,
        None if declared is None else thrift_fields.encode_resources(declared),
    )


def _parse_submission(raw: Any) -> tasks.Submission:
    raw.validate()
    return tasks.Submission(
        raw.organisation,
        raw.kind,
        raw.key,
        raw.payload,
        raw.declared and thrift_fields.decode_resources(raw.declared),
    )


def decode_submission(raw: Any) -> Result[tasks.Submission, errors.Error]:
    """Converts a Thrift struct to a submission."""
    return thrift_fields.decode_checked(_parse_submission, raw)


def encode_task_cancel(cancel: TaskCancel) -> Any:
    """Converts the cancellation of a task to a Thrift struct."""
    return ttypes.TaskCancel(cancel.organisation, cancel.task_id)


def _parse_task_cancel(raw: Any) -> TaskCancel:
    raw.validate()
    return TaskCancel(raw.organisation, raw.task_id)


def decode_task_cancel(raw: Any) -> Result[TaskCancel, errors.Error]:
    """Converts a Thrift struct to the cancellation of a task."""
    return thrift_fields.decode_checked(_parse_task_cancel, raw)


def encode_submission_reply(reply: SubmissionReply) -> Any:
    """Converts the reply of a partition's holder to a Thrift struct."""
    return ttypes.SubmissionReply(
        thrift_fields.SUBMISSION_RESULTS.numbers[reply.result],
        reply.task_id,
        reply.detail,
    )


def _parse_submission_reply(raw: Any) -> SubmissionReply:
    raw.validate()
    return SubmissionReply(
        thrift_fields.SUBMISSION_RESULTS[raw.result], raw.task_id, raw.detail
    )


def decode_submission_reply(
    raw: Any,
) -> Result[SubmissionReply, errors.Error]:
    """Converts a Thrift struct to the reply of a partition's holder."""
    return thrift_fields.decode_checked(_parse_submission_reply, raw)
