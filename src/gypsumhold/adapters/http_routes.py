"""HTTP requests and responses, and the interface that routes implement."""

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
    "an internal error occurred while the request was handled",
    "see the log of the process; find out whether the work ran before you"
    " send the request again",
)


MISSING_ADDRESS = errors.Error(
    errors.ErrorKind.BAD_SETTING,
    "the settings lack a listen address that this role needs",
    "add the port to those that the role serves in the deploy file",
)


class ListenError(Exception):
    """Raised if a listener has no address or cannot listen on it.

    Attributes:
        error: Error to report, with its remedy.
    """

    def __init__(self, error: errors.Error) -> None:
        super().__init__(str(error))
        self.error = error


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query as received, printable ASCII.
        headers: All header lines in order, decoded as Latin-1.
        body: Complete body.
    """

    method: str
    target: str
    headers: header_lines.Headers
    body: bytes

    def read_path(self) -> str:
        """Returns the path, still percent-encoded."""
        return self.target.split("?", 1)[0]

    def read_query(self, name: str) -> str | None:
        """Returns the first value of a query parameter, or None."""
        query = self.target.partition("?")[2]
        return urllib.parse.parse_qs(query).get(name, [None])[0]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response; the server adds Content-Length unless it is present."""

    status: int
    headers: header_lines.Headers = ()
    body: bytes = b""


class Routes(abc.ABC):
    """Answers the requests of a listener."""

    @abc.abstractmethod
    def answer(self, incoming: HttpRequest) -> HttpResponse:
        """Returns the response to a request."""

    def answer_error(self, status: int, error: errors.Error) -> HttpResponse:
        """Returns the response to an invalid request or an internal error.

        Args:
            status: Status of the response; 500 or more is an internal error.
            error: Error to report.
        """
        return render_error(status, error)


def render_json(
    status: int, document: Any, headers: header_lines.Headers = ()
) -> HttpResponse:
    """Returns a response with a JSON body."""
    body = json.dumps(document).encode()
    return HttpResponse(status, JSON_HEADERS + headers, body)


def render_error(
    status: int, error: errors.Error, headers: header_lines.Headers = ()
) -> HttpResponse:
    """Returns a response that reports an error as JSON."""
    document = {
        "error": {
            "kind": error.kind.value,
            "message": error.message,
            "remedy": error.remedy,
        }
    }
    return render_json(status, document, headers)


def build_listen_error(
    address: members.Address | str, problem: OSError
) -> errors.Error:
    """Returns the error for an address that cannot be bound."""
    return errors.Error(
        errors.ErrorKind.PORT_IN_USE,
        f"cannot listen on {address}: {problem}",
        "stop the process that uses the port or set another port",
    )
