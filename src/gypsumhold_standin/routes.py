"""Parsing of routes and building of JSON answers, shared by the services."""

import dataclasses
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from gypsumhold.adapters import json_documents
from gypsumhold.model import errors, requests
from gypsumhold_standin import http_server


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Method, decoded path segments and query of a request."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]


class FaultDocument(json_documents.Document):
    """Body of `POST /v1/faults`.

    Attributes:
        fault: Name of the fault.
        count: Number of operations that it affects; null for all until the
            next call.
        slow_ms: Delay of answers under the fault `slow`.
        draining: Whether the upstream reports that it drains.
        service_percent: Service time of the upstream, in percent of the
            configured time.
        writes_per_s: Limit of transactions per second of the table; null
            for no limit.
    """

    fault: str
    count: json_documents.NonNegativeInt | None = None
    slow_ms: json_documents.NonNegativeInt = 1000
    draining: bool = False
    service_percent: json_documents.NonNegativeInt = 100
    writes_per_s: json_documents.NonNegativeInt | None = None


def parse_route(payload: requests.Payload) -> Route:
    """Splits the target of a request.

    Path segments are decoded after the split, so that an encoded slash stays
    within its segment.
    """
    path, _, query = payload.target.partition("?")
    segments = (urllib.parse.unquote(part) for part in path.split("/")[1:])
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    return Route(payload.method, tuple(segments), dict(pairs))


def parse_fault(body: bytes) -> Result[FaultDocument, errors.Error]:
    """Parses the body of `POST /v1/faults`."""
    return json_documents.parse_json(body, "fault").bind(
        lambda document: json_documents.convert_document(
            "fault", lambda: FaultDocument.model_validate(document)
        )
    )


def answer_json(
    document: dict[str, Any], status: int = 200
) -> http_server.Response:
    """Returns an answer with a JSON body."""
    headers = (("Content-Type", "application/json"),)
    body = json.dumps(document).encode()
    return http_server.Response(requests.Answer(status, headers, body))


def answer_error(status: int, error: errors.Error) -> http_server.Response:
    """Returns an answer that describes an error."""
    document = {
        "kind": error.kind.value,
        "message": error.message,
        "remedy": error.remedy,
    }
    return answer_json({"error": document}, status)


def answer_not_found(route: Route) -> http_server.Response:
    """Returns the answer to a route that does not exist."""
    target = f"{route.method} /{'/'.join(route.path)}"
    return answer_error(
        404,
        errors.Error(
            errors.ErrorKind.BAD_BODY,
            f"no such route: {target}",
            "see docs/design.md, section 11",
        ),
    )


def answer_unknown_fault(
    name: str, known_names: list[str]
) -> http_server.Response:
    """Returns the answer to a fault that does not exist."""
    return answer_error(
        400,
        errors.Error(
            errors.ErrorKind.BAD_BODY,
            f"unknown fault '{name}'",
            f"use one of {', '.join(known_names)}",
        ),
    )


def answer_result(
    result: Result[http_server.Response, errors.Error],
) -> http_server.Response:
    """Returns the response, or an answer with status 400 for an error."""
    match result:
        case Success(response):
            return response
        case Failure(error):
            return answer_error(400, error)
    raise AssertionError(result)
