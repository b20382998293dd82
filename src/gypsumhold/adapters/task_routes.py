"""HTTP routes for callers that submit, list, show and cancel tasks."""

import datetime
import json
import re
import urllib.parse
import uuid
import zlib
from typing import Any

import pydantic
from returns.result import Success

from gypsumhold.adapters import (
    caller_routes,
    declaration_documents,
    engine,
    http_routes,
    store,
)
from gypsumhold.model import (
    effects,
    entry,
    errors,
    events,
    ids,
    rows,
    states,
    tasks,
)

# Long enough for forwarding to the holder of the partition and for a batch that
# is committed again because the first answer was lost.
TICKET_TIMEOUT = datetime.timedelta(seconds=30)
# Value of the Retry-After header while the table is unavailable.
RETRY_AFTER = datetime.timedelta(seconds=2)

_TASK_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")

_STATUS = {
    states.SubmissionResult.REFUSED: 422,
    states.SubmissionResult.CONFLICT: 409,
    states.SubmissionResult.NOT_FOUND: 404,
    states.SubmissionResult.UNAVAILABLE: 503,
    states.SubmissionResult.UNKNOWN: 504,
}
_ERRORS = {
    states.SubmissionResult.REFUSED: (
        errors.ErrorKind.BAD_BODY,
        "correct the submission as the message says",
    ),
    states.SubmissionResult.CONFLICT: (
        errors.ErrorKind.VERSION_CONFLICT,
        "use a new Idempotency-Key for another task",
    ),
    states.SubmissionResult.NOT_FOUND: (
        errors.ErrorKind.UNKNOWN_TASK,
        "list the tasks of the organisation to find the id",
    ),
    states.SubmissionResult.UNAVAILABLE: (
        errors.ErrorKind.PLATFORM_UNAVAILABLE,
        "send the request again after the time in Retry-After",
    ),
    states.SubmissionResult.UNKNOWN: (
        errors.ErrorKind.PLATFORM_UNAVAILABLE,
        "send the request again with the same Idempotency-Key; this is safe",
    ),
}


class SubmissionDocument(pydantic.BaseModel):
    """The body of a submission."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    organisation: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,128}$")
    kind: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,128}$")
    payload: pydantic.StrictStr = ""
    declared: declaration_documents.ResourcesDocument | None = None


class TaskRoutes(http_routes.Routes):
    """Serves TASK_PATH and the paths below it."""

    def __init__(
        self,
        runtime: engine.Engine[entry.EntryState],
        table: store.Table,
        partitions: int,
    ) -> None:
        """Creates the routes.

        Args:
            runtime: Engine of the entry.
            table: Table service of the platform, from which tasks are shown
                and listed.
            partitions: Number of partitions of the task queue.
        """
        self._runtime = runtime
        self._table = table
        self._partitions = partitions

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Returns the response to one request."""
        path = incoming.read_path()
        task_id = urllib.parse.unquote(path[len(caller_routes.TASK_PATH) + 1 :])
        match incoming.method, bool(task_id):
            case "POST", False:
                return self._submit(incoming)
            case "GET", False:
                return self._list(incoming)
            case "GET", True:
                return self._show(incoming, task_id)
            case "DELETE", True:
                return self._cancel(incoming, task_id)
        error = errors.Error(
            errors.ErrorKind.BAD_HEADER,
            f"the method {incoming.method} is not allowed for {path}",
            "use GET or POST for the collection, GET or DELETE for a task",
        )
        return http_routes.render_error(405, error)

    def _submit(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        submission = read_submission(incoming)
        if isinstance(submission, errors.Error):
            return http_routes.render_error(400, submission)
        ticket = _create_ticket()
        event = events.SubmissionArrived(ticket, submission)
        final = self._runtime.run_owner(ticket, event, TICKET_TIMEOUT)
        return _render_operation(final, 201)

    def _cancel(
        self, incoming: http_routes.HttpRequest, task_id: str
    ) -> http_routes.HttpResponse:
        organisation = incoming.read_query("organisation")
        if organisation is None:
            return _render_missing_organisation()
        if not _TASK_ID.fullmatch(task_id):
            return _render_unknown_task(task_id)
        ticket = _create_ticket()
        event = events.TaskCancelArrived(
            ticket, ids.OrganisationId(organisation), ids.TaskId(task_id)
        )
        final = self._runtime.run_owner(ticket, event, TICKET_TIMEOUT)
        return _render_operation(final, 202)

    def _show(
        self, incoming: http_routes.HttpRequest, task_id: str
    ) -> http_routes.HttpResponse:
        organisation = incoming.read_query("organisation")
        if organisation is None:
            return _render_missing_organisation()
        # An id with a "/" would address a row outside the partition.
        if not _TASK_ID.fullmatch(task_id):
            return _render_unknown_task(task_id)
        key = rows.build_task_key(
            self._find_partition(organisation), ids.TaskId(task_id)
        )
        match self._table.read_row(key):
            case Success(rows.Row(value=rows.TaskRow() as task)) if (
                task.organisation == organisation
            ):
                return http_routes.render_json(200, render_task(task))
            case Success(_):
                return _render_unknown_task(task_id)
        return _render_unavailable()

    def _list(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        organisation = incoming.read_query("organisation")
        if organisation is None:
            return _render_missing_organisation()
        prefix = rows.build_task_prefix(self._find_partition(organisation))
        task_rows = self._table.read_rows(prefix, "")
        if task_rows is None:
            return _render_unavailable()
        task_documents = [
            render_task(row.value)
            for row in task_rows
            if isinstance(row.value, rows.TaskRow)
            and row.value.organisation == organisation
        ]
        return http_routes.render_json(200, {"tasks": task_documents})

    def _find_partition(self, organisation: str) -> ids.Partition:
        """Returns the partition that holds the tasks of an organisation."""
        return ids.Partition(
            zlib.crc32(organisation.encode()) % self._partitions
        )


def read_submission(
    incoming: http_routes.HttpRequest,
) -> tasks.Submission | errors.Error:
    """Returns the submission of a request, or the error if it is invalid.

    A request without an Idempotency-Key is invalid.
    """
    try:
        key = caller_routes.read_key(incoming)
        raw = json.loads(incoming.body)
        document = SubmissionDocument.model_validate(raw)
    except caller_routes.BadHeaderError as problem:
        return problem.error
    except pydantic.ValidationError as problem:
        return declaration_documents.build_validation_error(
            problem, errors.ErrorKind.BAD_BODY, "submission"
        )
    except (ValueError, RecursionError) as problem:
        return errors.Error(
            errors.ErrorKind.BAD_BODY,
            f"the body is not JSON in UTF-8: {problem}",
            "send a JSON object with organisation, kind and payload",
        )
    if key is None:
        return errors.Error(
            errors.ErrorKind.BAD_HEADER,
            "the header Idempotency-Key is missing",
            "send the header; a repeated request with the same key is safe",
        )
    declared = document.declared
    return tasks.Submission(
        organisation=ids.OrganisationId(document.organisation),
        kind=ids.KindName(document.kind),
        key=key,
        payload=document.payload,
        declared=(
            None
            if declared is None
            else declaration_documents.build_resources(declared)
        ),
    )


def render_task(row: rows.TaskRow) -> dict[str, Any]:
    """Returns the JSON document of a task."""
    return {
        "task_id": row.task_id,
        "organisation": row.organisation,
        "kind": row.kind,
        "state": row.state.value,
        "epoch": row.epoch,
        "instance": row.instance,
        "declared": declaration_documents.render_resources(row.declared),
        "checkpoint": row.checkpoint,
        "result": row.result,
        "failed_on": list(row.failed_on),
        "evictions": row.evictions,
    }


def _create_ticket() -> ids.TicketId:
    return ids.TicketId(uuid.uuid4().hex)


def _render_operation(
    final: engine.FinalEffect | None, success: int
) -> http_routes.HttpResponse:
    """Returns the response to a submission or cancellation.

    Args:
        final: The final effect; anything but an answer is an unknown result.
        success: Status if the operation was accepted.
    """
    if not isinstance(final, effects.AnswerTicket):
        return _render_failure(states.SubmissionResult.UNKNOWN, "")
    if final.result is states.SubmissionResult.ACCEPTED:
        return http_routes.render_json(success, {"task_id": final.task_id})
    return _render_failure(final.result, final.detail)


def _render_failure(
    result: states.SubmissionResult, detail: str
) -> http_routes.HttpResponse:
    kind, remedy = _ERRORS[result]
    message = detail or f"the result of the operation is {result.value}"
    status = _STATUS[result]
    headers = (
        caller_routes.render_retry_after(RETRY_AFTER) if status == 503 else ()
    )
    return http_routes.render_error(
        status, errors.Error(kind, message, remedy), headers
    )


def _render_missing_organisation() -> http_routes.HttpResponse:
    error = errors.Error(
        errors.ErrorKind.BAD_HEADER,
        "the query parameter organisation is missing",
        "add ?organisation=NAME to the path",
    )
    return http_routes.render_error(400, error)


def _render_unknown_task(task_id: str) -> http_routes.HttpResponse:
    return _render_failure(
        states.SubmissionResult.NOT_FOUND,
        f"the task {task_id!r} does not exist",
    )


def _render_unavailable() -> http_routes.HttpResponse:
    return _render_failure(
        states.SubmissionResult.UNAVAILABLE, "the table does not answer"
    )
