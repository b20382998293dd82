"""Tests the conversions between model objects and Thrift structs."""

import contextlib
import datetime
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies
from returns.result import Failure, Success
from thrift.protocol import TProtocol

from gypsumhold.adapters import (
    config_codec,
    request_codec,
    task_codec,
    thrift_encoding,
)
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import (
    declarations,
    errors,
    members,
    requests,
    states,
    tasks,
)

NUMBERS = strategies.integers(-(2**63), 2**63 - 1)
strategies.register_type_strategy(int, NUMBERS)
strategies.register_type_strategy(
    datetime.timedelta,
    NUMBERS.map(lambda us: datetime.timedelta(microseconds=us)),
)
strategies.register_type_strategy(
    members.Address,
    strategies.builds(
        members.Address, strategies.text(), strategies.integers(1, 65535)
    ),
)
strategies.register_type_strategy(
    requests.Answer,
    strategies.builds(requests.Answer, status=strategies.integers(100, 599)),
)
REPLIES = strategies.from_type(requests.DispatchReply).filter(
    lambda reply: (reply.answer is None) == (reply.outcome != "completed")
)
strategies.register_type_strategy(requests.DispatchReply, REPLIES)
CANCEL_REPLIES = strategies.from_type(requests.CancelReply).filter(
    lambda reply: (reply.reply is None) == (reply.answer != "finished")
)


def index_by_name(items: list[Any]) -> dict[str, Any]:
    return {item.name: item for item in items}


CONFIGURATIONS = strategies.builds(
    declarations.Configuration,
    version=NUMBERS,
    templates=strategies.lists(
        strategies.from_type(declarations.Template), max_size=3
    ).map(index_by_name),
    organisations=strategies.lists(
        strategies.from_type(declarations.Organisation), max_size=3
    ).map(index_by_name),
)
MESSAGES = {
    "dispatch": (strategies.from_type(requests.Dispatch), request_codec),
    "reply": (REPLIES, request_codec),
    "cancel": (strategies.from_type(requests.Cancel), request_codec),
    "cancel_reply": (CANCEL_REPLIES, request_codec),
    "starts": (strategies.from_type(tuple[tasks.TaskStart, ...]), task_codec),
    "sync": (strategies.from_type(tasks.TaskSync), task_codec),
    "sync_reply": (strategies.from_type(tasks.SyncReply), task_codec),
    "configuration": (CONFIGURATIONS, config_codec),
    "submission": (strategies.from_type(tasks.Submission), task_codec),
    "task_cancel": (strategies.from_type(task_codec.TaskCancel), task_codec),
    "submission_reply": (
        strategies.from_type(task_codec.SubmissionReply),
        task_codec,
    ),
    "announcement": (strategies.from_type(members.Announcement), request_codec),
}


def draw_message(
    name: str, data: strategies.DataObject
) -> tuple[Any, Any, Any]:
    messages, module = MESSAGES[name]
    encode = getattr(module, f"encode_{name}")
    return data.draw(messages), encode, getattr(module, f"decode_{name}")


def encode_and_decode(struct: Any) -> Any:
    if isinstance(struct, list):
        return [encode_and_decode(item) for item in struct]
    encoded = thrift_encoding.encode_struct(struct)
    return thrift_encoding.decode_struct(type(struct)(), encoded)


@pytest.mark.parametrize("name", MESSAGES)
@hypothesis.given(data=strategies.data())
def test_every_message_survives_a_round_trip(
    name: str, data: strategies.DataObject
) -> None:
    """Guards against fields that are lost, swapped or truncated."""
    message, encode, decode = draw_message(name, data)
    assert decode(encode_and_decode(encode(message))) == Success(message)


@pytest.mark.parametrize("name", MESSAGES)
@hypothesis.given(data=strategies.data())
@hypothesis.settings(max_examples=10)
def test_missing_field_gives_typed_error(
    name: str, data: strategies.DataObject
) -> None:
    """Guards against None in a model object if a message lacks a field."""
    message, encode, decode = draw_message(name, data)
    struct = encode(message)
    incomplete = struct[0] if isinstance(struct, list) and struct else struct
    for field in getattr(type(incomplete), "__slots__", ()):
        original = getattr(incomplete, field)
        setattr(incomplete, field, None)
        with contextlib.suppress(TProtocol.TProtocolException):
            incomplete.validate()
            setattr(incomplete, field, original)
            continue
        assert decode(struct).failure().kind is errors.ErrorKind.DECODING
        setattr(incomplete, field, original)
    assert isinstance(decode(None), Failure)


def build_reply(**changed: Any) -> Any:
    struct = request_codec.encode_reply(
        requests.DispatchReply(
            states.Outcome.COMPLETED, answer=requests.Answer(200)
        )
    )
    for name, value in changed.items():
        setattr(struct, name, value)
    return struct


@pytest.mark.parametrize(
    ("decode", "struct"),
    [
        (request_codec.decode_reply, build_reply(outcome=99)),
        (request_codec.decode_reply, build_reply(reason=0)),
        (request_codec.decode_reply, build_reply(answer=None)),
        (request_codec.decode_reply, build_reply(answer=ttypes.Answer(200))),
        (request_codec.decode_cancel_reply, ttypes.CancelReply(77)),
        (request_codec.decode_cancel_reply, ttypes.CancelReply(4)),
        (
            task_codec.decode_submission_reply,
            ttypes.SubmissionReply(9, "t", ""),
        ),
    ],
)
def test_values_outside_the_model_give_typed_error(
    decode: Any, struct: Any
) -> None:
    """Guards against unknown enum values and inconsistent replies."""
    assert decode(struct).failure().kind is errors.ErrorKind.DECODING


@hypothesis.given(
    strategies.from_type(members.Announcement),
    strategies.one_of(
        strategies.integers(-(2**31), 0),
        strategies.integers(65536, 2**31 - 1),
    ),
)
def test_address_without_a_valid_port_is_refused(
    announcement: members.Announcement, port: int
) -> None:
    """Guards against an agent that no call can reach."""
    struct = request_codec.encode_announcement(announcement)
    struct.address.port = port
    error = request_codec.decode_announcement(struct).failure()
    assert error.kind is errors.ErrorKind.DECODING
