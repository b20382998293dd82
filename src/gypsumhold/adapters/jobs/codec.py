"""Encodes table rows and messages between processes as MessagePack."""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from gypsumhold.model import errors
from gypsumhold.model.jobs import messages

_Value = TypeVar("_Value")

_ENCODER = msgspec.msgpack.Encoder()
_MESSAGE_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    messages.Message
)


def encode(value: msgspec.Struct) -> bytes:
    """Encodes a row or message."""
    return _ENCODER.encode(value)


def decode(
    data: bytes, value_type: type[_Value]
) -> Result[_Value, errors.Error]:
    """Decodes a row or message of type `value_type`."""
    try:
        return Success(msgspec.msgpack.decode(data, type=value_type))
    except msgspec.MsgspecError as problem:
        return Failure(_build_error(problem))


def decode_message(data: bytes) -> Result[messages.Message, errors.Error]:
    """Decodes a message, whose type is given by its tag."""
    try:
        return Success(_MESSAGE_DECODER.decode(data))
    except msgspec.MsgspecError as problem:
        return Failure(_build_error(problem))


def _build_error(problem: msgspec.MsgspecError) -> errors.Error:
    return errors.Error(
        errors.ErrorKind.DECODING,
        str(problem),
        "run compatible versions in all processes",
    )
