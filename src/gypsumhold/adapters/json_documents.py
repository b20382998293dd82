"""What all JSON documents on the wire share: strict types, typed errors."""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import pydantic
import pydantic_core
from returns.result import Failure, Result, Success

from gypsumhold.adapters import documents
from gypsumhold.model import errors, members

_Value = TypeVar("_Value")

NonNegativeInt = Annotated[int, pydantic.Field(strict=True, ge=0)]
"""A count; strict, so that a bool or a text is refused."""


class Document(pydantic.BaseModel):
    """Base of all wire documents: unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class AddressDocument(Document):
    """Address of a process."""

    host: str
    port: Annotated[int, pydantic.Field(strict=True, ge=1, le=65535)]


class MalformedDocument(Exception):
    """Carries the error of a nested document out of a conversion."""

    def __init__(self, error: errors.Error) -> None:
        super().__init__(str(error))
        self.error = error


def build_decoding_error(subject: str, detail: str) -> errors.Error:
    """Returns the error of a document that cannot be read."""
    return errors.Error(
        errors.ErrorKind.DECODING,
        f"{subject}: {detail}",
        "check that both sides run compatible versions",
    )


def read_json(body: bytes, subject: str) -> Result[object, errors.Error]:
    """Parses a JSON body; any malformed body is a DECODING error.

    Unlike the standard library's parser, this one refuses lone surrogates,
    which could not be encoded again, and limits the depth of nesting.
    """
    try:
        return Success(pydantic_core.from_json(body, allow_inf_nan=False))
    except ValueError as problem:
        return Failure(build_decoding_error(subject, f"not JSON: {problem}"))


def build_address(document: AddressDocument) -> members.Address:
    """Returns the address of a checked document."""
    return members.Address(document.host, document.port)


def render_address(address: members.Address) -> dict[str, Any]:
    """Returns the JSON document of an address."""
    return {"host": address.host, "port": address.port}


def unwrap(result: Result[_Value, errors.Error]) -> _Value:
    """Returns the value, or raises MalformedDocument."""
    match result:
        case Success(value):
            return value
        case Failure(error):
            raise MalformedDocument(build_decoding_error("row", error.message))
    raise AssertionError(result)


def convert_document(
    subject: str, conversion: Callable[[], _Value]
) -> Result[_Value, errors.Error]:
    """Runs a conversion; whatever is malformed gives a DECODING error."""
    try:
        return Success(conversion())
    except pydantic.ValidationError as problem:
        return Failure(
            documents.describe_validation_error(
                problem, errors.ErrorKind.DECODING, subject
            )
        )
    except MalformedDocument as problem:
        return Failure(problem.error)
    except OverflowError:
        # A duration of many digits fits into JSON but not into a timedelta.
        return Failure(build_decoding_error(subject, "a number is too large"))
