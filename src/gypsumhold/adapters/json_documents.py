"""Base model, strict field types and error handling for JSON documents."""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import pydantic
import pydantic_core
from returns.result import Failure, Result, Success

from gypsumhold.adapters import declaration_documents
from gypsumhold.model import errors, members

_Value = TypeVar("_Value")

NonNegativeInt = Annotated[int, pydantic.Field(strict=True, ge=0)]
"""An integer of at least 0; strict mode rejects booleans and strings."""


class Document(pydantic.BaseModel):
    """Base of all JSON documents; immutable, and unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class AddressDocument(Document):
    """Host and TCP or UDP port of a process."""

    host: str
    port: Annotated[int, pydantic.Field(strict=True, ge=1, le=65535)]


class MalformedDocumentError(Exception):
    """Raised during a conversion when a nested document is malformed.

    `convert_document` returns its `error` as a Failure.
    """

    def __init__(self, error: errors.Error) -> None:
        super().__init__(str(error))
        self.error = error


def build_decoding_error(subject: str, detail: str) -> errors.Error:
    """Returns a DECODING error for a document that cannot be decoded."""
    return errors.Error(
        errors.ErrorKind.DECODING,
        f"{subject}: {detail}",
        "run compatible versions in all processes",
    )


def parse_json(body: bytes, subject: str) -> Result[object, errors.Error]:
    """Parses a JSON body; a malformed body gives a DECODING error.

    Unlike the parser of the standard library, this one rejects lone
    surrogates, which cannot be encoded as UTF-8 again, and limits the nesting
    depth.
    """
    try:
        return Success(pydantic_core.from_json(body, allow_inf_nan=False))
    except ValueError as problem:
        return Failure(build_decoding_error(subject, f"not JSON: {problem}"))


def build_address(document: AddressDocument) -> members.Address:
    """Converts a validated document to an address."""
    return members.Address(document.host, document.port)


def render_address(address: members.Address) -> dict[str, Any]:
    """Returns the JSON representation of an address."""
    return {"host": address.host, "port": address.port}


def unwrap(result: Result[_Value, errors.Error]) -> _Value:
    """Returns the value of a document that is nested in a table row.

    Raises:
        MalformedDocumentError: `result` is a failure.
    """
    match result:
        case Success(value):
            return value
        case Failure(error):
            raise MalformedDocumentError(
                build_decoding_error("row", error.message)
            )
    raise AssertionError(result)


def convert_document(
    subject: str, conversion: Callable[[], _Value]
) -> Result[_Value, errors.Error]:
    """Runs `conversion`; a malformed document gives a DECODING error."""
    try:
        return Success(conversion())
    except pydantic.ValidationError as problem:
        return Failure(
            declaration_documents.build_validation_error(
                problem, errors.ErrorKind.DECODING, subject
            )
        )
    except MalformedDocumentError as problem:
        return Failure(problem.error)
    except OverflowError:
        # JSON allows integers that are too large for a timedelta.
        return Failure(build_decoding_error(subject, "a number is too large"))
