"""Encodes table rows and messages between processes as MessagePack."""

import functools
from typing import Any, TypeVar

import msgspec
from returns.result import Result

from gypsumhold.adapters import decoding
from gypsumhold.model import errors
from gypsumhold.model.jobs import messages

_Value = TypeVar("_Value")

_ADVICE = "run compatible versions in all processes"
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
    decode_value = functools.partial(msgspec.msgpack.decode, type=value_type)
    # A union of types has no name.
    name = getattr(value_type, "__name__", str(value_type))
    return decoding.decode_foreign(decode_value, data, name, _ADVICE)


def decode_message(data: bytes) -> Result[messages.Message, errors.Error]:
    """Decodes a message, whose type is given by its tag."""
    return decoding.decode_foreign(
        _MESSAGE_DECODER.decode, data, "message", _ADVICE
    )
