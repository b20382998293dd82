"""Calls of operators, their replies, and what the routes need of an entry."""

import abc
import dataclasses
import datetime
import json
from collections.abc import Mapping
from typing import Any

from returns.result import Result

from gypsumhold.adapters import operations
from gypsumhold.model import (
    declarations,
    effects,
    errors,
    events,
    ids,
    members,
    rows,
    status,
)

RETRY_AFTER = datetime.timedelta(seconds=1)


class Control(abc.ABC):
    """What the operator routes need from the entry around them."""

    @abc.abstractmethod
    def apply(
        self, event: events.ApplyArrived, deadline: datetime.timedelta
    ) -> effects.AnswerTicket | None:
        """Runs an apply until its ticket ends; None after the deadline."""

    @abc.abstractmethod
    def read_configuration(self) -> declarations.Configuration:
        """Returns the configuration in force in this entry."""

    @abc.abstractmethod
    def read_status(self) -> status.Status:
        """Returns what the entry knows of itself and of the members."""

    @abc.abstractmethod
    def read_metrics(self) -> str:
        """Returns the metrics in the text format of Prometheus."""

    @abc.abstractmethod
    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads the table's rows of a prefix; None if it failed."""

    @abc.abstractmethod
    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Reads one row of the table; None if it is absent."""

    @abc.abstractmethod
    def find_agent(self, instance: ids.InstanceId) -> members.Address | None:
        """Returns where the agent of an instance answers, if it is known."""

    @abc.abstractmethod
    def drain(self, address: members.Address) -> bool:
        """Asks an agent to take no new work; false if it did not answer."""

    @abc.abstractmethod
    def retire(self, instance: ids.InstanceId) -> None:
        """Records that the platform confirmed the end of an instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call of an operator.

    Attributes:
        method: HTTP method.
        path: Path without query, percent-decoded.
        query: Parameters of the query.
        authorization: Value of the Authorization header, or empty.
        body: The whole body.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    authorization: str = ""
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to one call.

    Attributes:
        status: HTTP status.
        body: Text of the body.
        content_type: Media type of the body.
        headers: Further headers.
    """

    status: int
    body: str
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


def reply_json(code: int, document: Any) -> Reply:
    """Returns an answer with a JSON body."""
    return Reply(code, json.dumps(document, ensure_ascii=False) + "\n")


def reply_error(code: int, error: errors.Error) -> Reply:
    """Returns an error answer; 503 carries Retry-After."""
    plain = reply_json(code, operations.render_error(error))
    if code != 503:
        return plain
    seconds = str(int(RETRY_AFTER.total_seconds()))
    return dataclasses.replace(plain, headers=(("Retry-After", seconds),))


def reply_table_unavailable(subject: str) -> Reply:
    """Returns the answer to an operation that the table held up."""
    return reply_error(
        503,
        errors.Error(
            errors.ErrorKind.PLATFORM_UNAVAILABLE,
            f"the table did not answer; {subject}",
            "try again after the time in Retry-After",
        ),
    )
