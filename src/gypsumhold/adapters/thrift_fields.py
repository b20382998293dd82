"""Conversions shared by the Thrift codecs: enums, durations, resources, errors.

The members of the Thrift enums and the model enums are matched by name. The
tables are built on import, so a member missing from the Thrift file raises an
error at start.
"""

import datetime
import enum
from collections.abc import Callable
from typing import Any, TypeVar

from returns.result import Failure, Result, Success
from thrift import Thrift

from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import errors, members, resources, states

_Enum = TypeVar("_Enum", bound=enum.Enum)
_Value = TypeVar("_Value")
_MICROSECOND = datetime.timedelta(microseconds=1)


class EnumTable(dict[int, _Enum]):
    """Maps the numbers of a Thrift enum to the members of a model enum.

    `numbers` is the reverse mapping. The lookup of an unknown number raises a
    ValueError.
    """

    def __init__(self, model_enum: type[_Enum], thrift_enum: Any) -> None:
        super().__init__(
            {int(thrift_enum[member.name]): member for member in model_enum}
        )
        self.numbers = {member: number for number, member in self.items()}
        self._name = model_enum.__name__

    def __missing__(self, number: int) -> _Enum:
        raise ValueError(f"{number} is not a valid {self._name}")


WORK_FORMS = EnumTable(states.WorkForm, ttypes.WorkForm)
WORK_CLASSES = EnumTable(states.WorkClass, ttypes.WorkClass)
OUTCOMES = EnumTable(states.Outcome, ttypes.Outcome)
REASONS = EnumTable(states.Reason, ttypes.Reason)
MEMBER_STATES = EnumTable(states.MemberState, ttypes.MemberState)
CANCEL_ANSWERS = EnumTable(states.CancelAnswer, ttypes.CancelAnswer)
EXECUTION_STATES = EnumTable(states.ExecutionState, ttypes.ExecutionState)
SUBMISSION_RESULTS = EnumTable(states.SubmissionResult, ttypes.SubmissionResult)


def build_decoding_error(detail: object) -> errors.Error:
    """Returns a DECODING error for a message that cannot be decoded."""
    return errors.Error(
        errors.ErrorKind.DECODING,
        f"malformed message: {detail}",
        "run compatible versions in all processes",
    )


def decode_checked(
    parse: Callable[[Any], _Value], raw: Any
) -> Result[_Value, errors.Error]:
    """Returns `parse(raw)`, or a DECODING error if `raw` is malformed."""
    if raw is None:
        return Failure(build_decoding_error("the message is empty"))
    try:
        return Success(parse(raw))
    except (Thrift.TException, ValueError, OverflowError) as problem:
        return Failure(build_decoding_error(problem))


def encode_microseconds(value: datetime.timedelta) -> int:
    """Converts a duration or instant to microseconds."""
    return value // _MICROSECOND


def decode_microseconds(microseconds: int) -> datetime.timedelta:
    """Converts microseconds to a duration or instant."""
    return datetime.timedelta(microseconds=microseconds)


def encode_resources(amounts: resources.Resources) -> Any:
    """Converts amounts of resources to a Thrift struct."""
    return ttypes.Resources(
        amounts.cpu_millis, amounts.memory_mb, amounts.accelerators
    )


def decode_resources(raw: Any) -> resources.Resources:
    """Converts a Thrift struct to amounts of resources.

    Raises:
        TProtocolException: A required field is missing.
    """
    raw.validate()
    return resources.Resources(raw.cpu_millis, raw.memory_mb, raw.accelerators)


def check_port(port: int) -> int:
    """Returns `port` if it is a valid TCP or UDP port.

    Raises:
        ValueError: It is outside the range from 1 to 65535.
    """
    if not members.MIN_PORT <= port <= members.MAX_PORT:
        raise ValueError(f"{port} is not a valid port")
    return port
