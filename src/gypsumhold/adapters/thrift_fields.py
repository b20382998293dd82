"""Parts that the codecs share: enums, durations, resources, and failures.

Wire enums have the members of the model's enums, matched by name when this
module is imported, so a missing one is found at once.
"""

import datetime
import enum
from collections.abc import Callable
from typing import Any, TypeVar

from returns.result import Failure, Result, Success
from thrift import Thrift

from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import errors, resources, states

_Enum = TypeVar("_Enum", bound=enum.Enum)
_Value = TypeVar("_Value")
_MICROSECOND = datetime.timedelta(microseconds=1)
_MAX_PORT = 65535


class EnumTable(dict[int, _Enum]):
    """Model members by wire number; an unknown number is a ValueError."""

    def __init__(self, members: type[_Enum], thrift_enum: Any) -> None:
        super().__init__({int(thrift_enum[one.name]): one for one in members})
        self.numbers = {one: number for number, one in self.items()}
        self._name = members.__name__

    def __missing__(self, number: int) -> _Enum:
        raise ValueError(f"{number} is no {self._name}")


WORK_FORMS = EnumTable(states.WorkForm, ttypes.WorkForm)
WORK_CLASSES = EnumTable(states.WorkClass, ttypes.WorkClass)
OUTCOMES = EnumTable(states.Outcome, ttypes.Outcome)
REASONS = EnumTable(states.Reason, ttypes.Reason)
MEMBER_STATES = EnumTable(states.MemberState, ttypes.MemberState)
CANCEL_ANSWERS = EnumTable(states.CancelAnswer, ttypes.CancelAnswer)
EXECUTION_STATES = EnumTable(states.ExecutionState, ttypes.ExecutionState)
SUBMISSION_RESULTS = EnumTable(states.SubmissionResult, ttypes.SubmissionResult)


def build_decoding_error(detail: object) -> errors.Error:
    """Returns the typed error of a message that cannot be decoded."""
    return errors.Error(
        errors.ErrorKind.DECODING,
        f"malformed message: {detail}",
        "run the same version of gypsumhold on both sides",
    )


def decode_checked(
    read: Callable[[Any], _Value], raw: Any
) -> Result[_Value, errors.Error]:
    """Returns `read(raw)`, or a typed error if `raw` is malformed."""
    if raw is None:
        return Failure(build_decoding_error("the message is empty"))
    try:
        return Success(read(raw))
    except (Thrift.TException, ValueError, OverflowError) as problem:
        return Failure(build_decoding_error(problem))


def encode_microseconds(value: datetime.timedelta) -> int:
    """Returns whole microseconds."""
    return value // _MICROSECOND


def decode_microseconds(microseconds: int) -> datetime.timedelta:
    """Returns the duration or instant of a number of microseconds."""
    return datetime.timedelta(microseconds=microseconds)


def encode_resources(amounts: resources.Resources) -> Any:
    """Returns the wire struct of some amounts."""
    return ttypes.Resources(
        amounts.cpu_millis, amounts.memory_mb, amounts.accelerators
    )


def decode_resources(raw: Any) -> resources.Resources:
    """Returns the amounts of a wire struct."""
    raw.validate()
    return resources.Resources(raw.cpu_millis, raw.memory_mb, raw.accelerators)


def check_port(port: int) -> int:
    """Returns `port`, or raises a ValueError if it is no TCP or UDP port."""
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(f"{port} is no port")
    return port
