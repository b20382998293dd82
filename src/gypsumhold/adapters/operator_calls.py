"""HTTP calls and replies of operators, and the interface to the entry."""

import abc
import dataclasses
import datetime
import json
from collections.abc import Mapping
from typing import Any

from returns.result import Result

from gypsumhold.adapters import operator_documents
from gypsumhold.model import (
    declarations,
    effects,
    errors,
    events,
    ids,
    members,
    previews,
    rows,
    status,
)

RETRY_AFTER = datetime.timedelta(seconds=1)
"""Value of the Retry-After header of a 503 answer."""


class Control(abc.ABC):
    """Operations of an entry that the operator routes use."""

    @abc.abstractmethod
    def apply(
        self, event: events.ApplyArrived, timeout: datetime.timedelta
    ) -> effects.AnswerTicket | None:
        """Applies a change and waits for its result.

        Returns:
            The answer to the event's ticket, or None if it takes longer than
            `timeout`; the change may still come into force then.
        """

    @abc.abstractmethod
    def read_configuration(self) -> declarations.Configuration:
        """Returns the configuration in force in this entry."""

    @abc.abstractmethod
    def read_status(self) -> status.Status:
        """Returns the status of the entry and of the members that it knows."""

    @abc.abstractmethod
    def preview_request(
        self, organisation: ids.OrganisationId, kind: ids.KindName
    ) -> previews.RequestPreview:
        """Returns where a request would go now; sends nothing."""

    @abc.abstractmethod
    def read_metrics(self) -> str:
        """Returns the metrics in the text format of Prometheus."""

    @abc.abstractmethod
    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads the table rows that have `prefix` and follow the key `after`.

        Returns:
            The rows in key order, possibly only the first part of them, or None
            if the read failed.
        """

    @abc.abstractmethod
    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Reads one row of the table.

        Returns:
            The row, None if it does not exist, or an error.
        """

    @abc.abstractmethod
    def find_agent(self, instance: ids.InstanceId) -> members.Address | None:
        """Returns the address of the agent of an instance, if it is known."""

    @abc.abstractmethod
    def drain(self, address: members.Address) -> bool:
        """Starts a drain and returns whether the agent confirmed it."""

    @abc.abstractmethod
    def retire(self, instance: ids.InstanceId) -> None:
        """Removes an instance that has ended and requeues its tasks.

        The caller vouches that nothing runs on the instance any more.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call of an operator.

    Attributes:
        method: HTTP method.
        path: Path without query, percent-decoded.
        query: Parameters of the query.
        authorization: Value of the Authorization header; may be empty.
        body: Complete body.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    authorization: str = ""
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to an HTTP call of an operator.

    Attributes:
        status: HTTP status.
        body: Text of the body.
        content_type: Media type of the body.
        headers: Headers other than the content type.
    """

    status: int
    body: str
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


def reply_json(code: int, document: Any) -> Reply:
    """Returns an answer with a JSON body."""
    return Reply(code, json.dumps(document, ensure_ascii=False) + "\n")


def reply_error(code: int, error: errors.Error) -> Reply:
    """Returns an error answer, with Retry-After if `code` is 503."""
    reply = reply_json(code, operator_documents.render_error(error))
    if code != 503:
        return reply
    seconds = str(int(RETRY_AFTER.total_seconds()))
    return dataclasses.replace(reply, headers=(("Retry-After", seconds),))


def reply_table_unavailable(consequence: str) -> Reply:
    """Returns the answer to a call for which the table did not answer."""
    return reply_error(
        503,
        errors.Error(
            errors.ErrorKind.PLATFORM_UNAVAILABLE,
            f"the table did not answer; {consequence}",
            "try again after the time in Retry-After",
        ),
    )
