"""Messages of the HTTP listeners and what routes have to provide."""

import abc
import dataclasses
import json
import urllib.parse
from typing import Any

from gypsumhold.adapters import headers as header_lines
from gypsumhold.model import errors, members

JSON_HEADERS = (("Content-Type", "application/json"),)


INTERNAL_ERROR = errors.Error(
    errors.ErrorKind.PEER_UNAVAILABLE,
    "the request met a fault of this process",
    "see its log; find out whether the work ran before you send it again",
)


MISSING_ADDRESS = errors.Error(
    errors.ErrorKind.BAD_SETTING,
    "the settings name no address for what this role serves",
    "let the role serve it in the deploy file",
)


class ListenError(Exception):
    """The address of a listener cannot be used."""

    def __init__(self, error: errors.Error) -> None:
        super().__init__(str(error))
        self.error = error


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that has arrived in full.

    Attributes:
        method: HTTP method.
        target: Path and query as received, printable ASCII.
        headers: All header lines in order, Latin-1 text.
        body: The whole body.
    """

    method: str
    target: str
    headers: header_lines.Headers
    body: bytes

    def read_path(self) -> str:
        """Returns the path, still percent-encoded."""
        return self.target.split("?", 1)[0]

    def read_query(self, name: str) -> str | None:
        """Returns the first value of a query parameter."""
        query = self.target.partition("?")[2]
        return urllib.parse.parse_qs(query).get(name, [None])[0]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer; Content-Length is added unless there is one."""

    status: int
    headers: header_lines.Headers = ()
    body: bytes = b""


class Routes(abc.ABC):
    """What a listener serves."""

    @abc.abstractmethod
    def answer(self, incoming: HttpRequest) -> HttpResponse:
        """Answers a request."""

    def answer_error(self, status: int, error: errors.Error) -> HttpResponse:
        """Answers input that is not a readable request, or a fault (500)."""
        return render_error(status, error)


def render_json(
    status: int, document: Any, headers: header_lines.Headers = ()
) -> HttpResponse:
    """Returns an answer with a JSON body."""
    body = json.dumps(document).encode()
    return HttpResponse(status, JSON_HEADERS + headers, body)


def render_error(
    status: int, error: errors.Error, headers: header_lines.Headers = ()
) -> HttpResponse:
    """Returns the JSON answer for a typed error."""
    document = {
        "error": {
            "kind": error.kind.value,
            "message": error.message,
            "remedy": error.remedy,
        }
    }
    return render_json(status, document, headers)


def describe_listen_error(
    address: members.Address | str, problem: OSError
) -> errors.Error:
    """Returns the typed error for an address that cannot be bound."""
    return errors.Error(
        errors.ErrorKind.PORT_IN_USE,
        f"cannot listen on {address}: {problem}",
        "stop the process that uses the port or set another one",
    )
