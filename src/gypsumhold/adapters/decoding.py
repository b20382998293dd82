"""Decodes bytes of other writers; every failure gives a typed error."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from gypsumhold.model import errors

_Source = TypeVar("_Source")
_Value = TypeVar("_Value")

_PROBLEMS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
"""What a decoder or a conversion raises for faulty bytes.

A ValueError is also raised for invalid UTF-8, and a RecursionError for values
that are nested too deeply.
"""


def decode_foreign(
    decode: Callable[[_Source], _Value],
    source: _Source,
    subject: str,
    advice: str,
) -> Result[_Value, errors.Error]:
    """Returns `decode(source)`, or an error of kind DECODING.

    Args:
        decode: Decodes and converts the source.
        source: Bytes or a document of another writer.
        subject: What the source should be, for the error.
        advice: What the writer should do instead.
    """
    try:
        return Success(decode(source))
    except _PROBLEMS as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.DECODING,
                f"not a valid {subject}: {problem}",
                advice,
            )
        )
