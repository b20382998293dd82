"""HTTP routes for callers whose requests are forwarded to upstreams.

A request keeps its method, target, body and end-to-end headers. The headers
Gypsumhold-Outcome and Gypsumhold-Reason of each response tell the caller
whether the request ran.
"""

import datetime
import hashlib
import math
import re
import uuid

import logbook

from gypsumhold.adapters import engine, headers, http_routes
from gypsumhold.model import (
    effects,
    entry,
    errors,
    events,
    ids,
    requests,
    states,
)

_LOG = logbook.Logger("gypsumhold.callers")

TASK_PATH = "/gypsumhold/v1/tasks"
RESERVED_PREFIX = "/gypsumhold/"

# After the deadline of a call, a cancel (2 s) and the write of a claimed result
# to the table may still be in progress. The reducer ends every call after them.
WAIT_MARGIN = datetime.timedelta(seconds=8)

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")

_NOT_RUN_STATUS_BY_REASON = {
    states.Reason.BAD_REQUEST: 400,
    states.Reason.KEY_REQUIRED: 400,
    states.Reason.UNKNOWN_ORGANISATION: 403,
    states.Reason.UNKNOWN_KIND: 404,
    states.Reason.BODY_TOO_LARGE: 413,
    states.Reason.KEY_REUSED: 422,
}
_STATUS_BY_OUTCOME = {
    states.Outcome.NOT_RUN: 503,
    states.Outcome.INDETERMINATE: 504,
    states.Outcome.IN_PROGRESS: 409,
}
_REASONS_BY_STATUS = {
    400: states.Reason.BAD_REQUEST,
    413: states.Reason.BODY_TOO_LARGE,
}
_ERROR_KINDS = {
    states.Reason.BODY_TOO_LARGE: errors.ErrorKind.BODY_TOO_LARGE,
    states.Reason.UNKNOWN_ORGANISATION: errors.ErrorKind.UNKNOWN_ORGANISATION,
    states.Reason.UNKNOWN_KIND: errors.ErrorKind.UNKNOWN_KIND,
    states.Reason.TABLE_UNAVAILABLE: errors.ErrorKind.PLATFORM_UNAVAILABLE,
    states.Reason.BAD_REQUEST: errors.ErrorKind.BAD_HEADER,
    states.Reason.KEY_REQUIRED: errors.ErrorKind.BAD_HEADER,
    states.Reason.KEY_REUSED: errors.ErrorKind.BAD_HEADER,
}
_REMEDIES = {
    states.Reason.UNKNOWN_ORGANISATION: (
        "use an organisation that an operator has declared"
    ),
    states.Reason.UNKNOWN_KIND: (
        "use a kind from the declaration of the organisation"
    ),
    states.Reason.KEY_REQUIRED: "send an Idempotency-Key header",
    states.Reason.KEY_REUSED: "use a new Idempotency-Key for another request",
    states.Reason.BODY_TOO_LARGE: "send a smaller body",
}
_OUTCOME_REMEDIES = {
    states.Outcome.NOT_RUN: (
        "send the request again after the time in Retry-After"
    ),
    states.Outcome.INDETERMINATE: (
        "find out whether the work ran before you send the request again"
    ),
    states.Outcome.IN_PROGRESS: (
        "send the same request with the same key later to get its result"
    ),
}


class BadHeaderError(Exception):
    """A header of a caller is missing, repeated, malformed or out of range."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.error = errors.Error(errors.ErrorKind.BAD_HEADER, message, remedy)


class CallerRoutes(http_routes.Routes):
    """Serves all paths of the listener for callers.

    Requests for TASK_PATH go to the routes for tasks, and all other paths
    outside RESERVED_PREFIX to upstreams.
    """

    def __init__(
        self,
        runtime: engine.Engine[entry.EntryState],
        task_routes: http_routes.Routes,
        max_deadline: datetime.timedelta,
    ) -> None:
        """Creates the routes.

        Args:
            runtime: Engine of the entry.
            task_routes: Serves TASK_PATH and the paths below it.
            max_deadline: Longest deadline that a caller may set.
        """
        self._runtime = runtime
        self._task_routes = task_routes
        self._max_deadline = max_deadline

    def answer(
        self, incoming: http_routes.HttpRequest
    ) -> http_routes.HttpResponse:
        """Returns the response to one request."""
        path = incoming.read_path()
        if path == TASK_PATH or path.startswith(f"{TASK_PATH}/"):
            return self._task_routes.answer(incoming)
        if path.startswith(RESERVED_PREFIX):
            error = errors.Error(
                errors.ErrorKind.BAD_HEADER,
                f"the path {path} does not exist",
                f"use {TASK_PATH}, or a path outside {RESERVED_PREFIX}",
            )
            return self.answer_error(404, error)
        try:
            request = read_request(incoming, self._max_deadline)
        except BadHeaderError as problem:
            return self.answer_error(400, problem.error)
        return render_result(self._run(request))

    def _run(self, request: requests.Request) -> requests.Result:
        """Runs a request; an error or a missing result is indeterminate."""
        try:
            final = self._runtime.run_owner(
                request.request_id,
                events.CallArrived(request),
                request.remaining + WAIT_MARGIN,
            )
        except Exception:
            _LOG.exception("request {} failed", request.request_id)
            final = None
        if isinstance(final, effects.AnswerCall):
            return final.result
        return requests.Result(
            states.Outcome.INDETERMINATE, states.Reason.EXPIRED
        )

    def answer_error(
        self, status: int, error: errors.Error
    ) -> http_routes.HttpResponse:
        """Returns the response to an invalid request or to an internal error.

        An invalid request did not run; after an internal error (a status of
        500 or more) the outcome is indeterminate.
        """
        reason = _REASONS_BY_STATUS.get(status, states.Reason.BAD_REQUEST)
        outcome_headers = _render_outcome(states.Outcome.NOT_RUN, reason)
        if status >= 500:
            outcome_headers = _render_outcome(
                states.Outcome.INDETERMINATE, states.Reason.NONE
            )
        return http_routes.render_error(status, error, outcome_headers)


def read_request(
    incoming: http_routes.HttpRequest, max_deadline: datetime.timedelta
) -> requests.Request:
    """Checks the headers of a caller and builds the request.

    Args:
        incoming: The HTTP request.
        max_deadline: Longest deadline that the caller may set.

    Raises:
        BadHeaderError: A header is missing, repeated or malformed, or the
            deadline is not between 1 ms and `max_deadline`.
    """
    organisation = _read_header(incoming, headers.ORGANISATION, _NAME_PATTERN)
    kind = _read_header(incoming, headers.KIND, _NAME_PATTERN)
    deadline = _read_deadline(incoming, max_deadline)
    key = read_key(incoming)
    forwarded = headers.drop_hop_by_hop(
        incoming.headers,
        (
            headers.ORGANISATION,
            headers.KIND,
            headers.DEADLINE,
            headers.REQUEST_ID,
            headers.ATTEMPT,
        ),
    )
    payload = requests.Payload(
        incoming.method, incoming.target, forwarded, incoming.body
    )
    return requests.Request(
        request_id=ids.RequestId(uuid.uuid4().hex),
        organisation=ids.OrganisationId(organisation),
        kind=ids.KindName(kind),
        key=key,
        remaining=deadline,
        digest=compute_digest(payload),
        payload=payload,
    )


def compute_digest(payload: requests.Payload) -> str:
    """Returns the SHA-256 digest of method, target and body in hexadecimal.

    It detects that an idempotency key is used for another request.
    """
    digest = hashlib.sha256(
        f"{payload.method} {payload.target}\n".encode("latin-1")
    )
    digest.update(payload.body)
    return digest.hexdigest()


def read_key(incoming: http_routes.HttpRequest) -> ids.IdempotencyKey | None:
    """Returns the idempotency key, or None if the request has none.

    Raises:
        BadHeaderError: The key is repeated or malformed.
    """
    if not headers.list_values(incoming.headers, headers.IDEMPOTENCY_KEY):
        return None
    value = _read_header(incoming, headers.IDEMPOTENCY_KEY, _KEY_PATTERN)
    return ids.IdempotencyKey(value)


def _read_header(
    incoming: http_routes.HttpRequest, name: str, pattern: re.Pattern[str]
) -> str:
    """Returns the value of a required header.

    Raises:
        BadHeaderError: The header is missing, repeated or malformed.
    """
    title = name.title()
    values = headers.list_values(incoming.headers, name)
    if len(values) != 1:
        problem = "is repeated" if values else "is missing"
        raise BadHeaderError(
            f"the header {title} {problem}", f"send one {title} header"
        )
    if not pattern.fullmatch(values[0]):
        raise BadHeaderError(
            f"the header {title} is malformed",
            f"send a value that matches {pattern.pattern}",
        )
    return values[0]


def _read_deadline(
    incoming: http_routes.HttpRequest, maximum: datetime.timedelta
) -> datetime.timedelta:
    """Returns the time that the caller leaves for the request.

    Raises:
        BadHeaderError: The header is missing, repeated, malformed or out of
            range.
    """
    limit = maximum // datetime.timedelta(milliseconds=1)
    remedy = f"send the remaining milliseconds as one integer from 1 to {limit}"
    values = headers.list_values(incoming.headers, headers.DEADLINE)
    if len(values) != 1 or not _NUMBER_PATTERN.fullmatch(values[0]):
        raise BadHeaderError(
            "the header Gypsumhold-Deadline-Ms is not one integer", remedy
        )
    milliseconds = int(values[0])
    if not 1 <= milliseconds <= limit:
        raise BadHeaderError(
            "the header Gypsumhold-Deadline-Ms is out of range:"
            f" {milliseconds}",
            remedy,
        )
    return datetime.timedelta(milliseconds=milliseconds)


def _render_outcome(
    outcome: states.Outcome, reason: states.Reason
) -> headers.Headers:
    return (
        (headers.OUTCOME, outcome.value),
        (headers.REASON, reason.value),
    )


def render_retry_after(delay: datetime.timedelta) -> headers.Headers:
    """Returns a Retry-After header in whole seconds, at least one."""
    seconds = max(1, math.ceil(delay.total_seconds()))
    return (("Retry-After", str(seconds)),)


def render_result(result: requests.Result) -> http_routes.HttpResponse:
    """Returns the HTTP response for the result of a request."""
    outcome_headers = _render_outcome(result.outcome, result.reason)
    if result.answer is not None:
        forwarded = headers.drop_hop_by_hop(
            result.answer.headers, (headers.OUTCOME, headers.REASON)
        )
        return http_routes.HttpResponse(
            result.answer.status,
            forwarded + outcome_headers,
            result.answer.body,
        )
    status = _STATUS_BY_OUTCOME.get(result.outcome, 504)
    if result.outcome is states.Outcome.NOT_RUN:
        status = _NOT_RUN_STATUS_BY_REASON.get(result.reason, status)
    if status == 503:
        outcome_headers += render_retry_after(result.retry_after)
    return http_routes.render_error(
        status, _build_result_error(result), outcome_headers
    )


def _build_result_error(result: requests.Result) -> errors.Error:
    kind = _ERROR_KINDS.get(result.reason, errors.ErrorKind.PEER_UNAVAILABLE)
    remedy = _REMEDIES.get(
        result.reason,
        _OUTCOME_REMEDIES.get(result.outcome, "send the request again"),
    )
    return errors.Error(
        kind,
        f"the outcome is {result.outcome.value}: {result.reason.value}",
        remedy,
    )
