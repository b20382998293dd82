"""Request and membership messages: Thrift structs to model and back.

Each message has `encode_<message>`, which cannot fail for a valid model
object, and `decode_<message>`, which returns an error of kind DECODING for a
missing field or an unknown enum value. Required fields are those of
`idl/gypsumhold.thrift`; the accelerated decoder does not check them, so each
struct is validated here.
"""

from typing import Any

from returns.result import Result

from gypsumhold.adapters import thrift_fields
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.model import errors, members, requests, states


def _encode_headers(headers: tuple[tuple[str, str], ...]) -> list[Any]:
    return [ttypes.Header(name, value) for name, value in headers]


def _read_headers(raw: list[Any]) -> tuple[tuple[str, str], ...]:
    for header in raw:
        header.validate()
    return tuple([(header.name, header.value) for header in raw])


def encode_dispatch(dispatch: requests.Dispatch) -> Any:
    """Returns the wire struct of a dispatch."""
    payload = dispatch.payload
    return ttypes.Dispatch(
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        incarnation=dispatch.incarnation,
        organisation=dispatch.organisation,
        kind=dispatch.kind,
        remaining_us=thrift_fields.encode_microseconds(dispatch.remaining),
        keep_answer=dispatch.keep_answer,
        payload=ttypes.Payload(
            payload.method,
            payload.target,
            _encode_headers(payload.headers),
            payload.body,
        ),
        valid_until_us=thrift_fields.encode_microseconds(dispatch.valid_until),
    )


def _read_payload(raw: Any) -> requests.Payload:
    raw.validate()
    return requests.Payload(
        raw.method, raw.target, _read_headers(raw.headers), raw.body
    )


def _read_dispatch(raw: Any) -> requests.Dispatch:
    raw.validate()
    return requests.Dispatch(
        request_id=raw.request_id,
        attempt=raw.attempt,
        incarnation=raw.incarnation,
        organisation=raw.organisation,
        kind=raw.kind,
        remaining=thrift_fields.decode_microseconds(raw.remaining_us),
        keep_answer=raw.keep_answer,
        valid_until=thrift_fields.decode_microseconds(raw.valid_until_us),
        payload=_read_payload(raw.payload),
    )


def decode_dispatch(raw: Any) -> Result[requests.Dispatch, errors.Error]:
    """Returns the dispatch of a wire struct."""
    return thrift_fields.decode_checked(_read_dispatch, raw)


def encode_reply(reply: requests.DispatchReply) -> Any:
    """Returns the wire struct of the reply to a dispatch."""
    answer = reply.answer
    return ttypes.DispatchReply(
        outcome=thrift_fields.OUTCOMES.numbers[reply.outcome],
        reason=thrift_fields.REASONS.numbers[reply.reason],
        answer=answer
        and ttypes.Answer(
            answer.status, _encode_headers(answer.headers), answer.body
        ),
        retry_after_us=thrift_fields.encode_microseconds(reply.retry_after),
    )


def _read_answer(raw: Any) -> requests.Answer:
    raw.validate()
    return requests.Answer(raw.status, _read_headers(raw.headers), raw.body)


def _read_reply(raw: Any) -> requests.DispatchReply:
    raw.validate()
    outcome = thrift_fields.OUTCOMES[raw.outcome]
    if (outcome is states.Outcome.COMPLETED) != (raw.answer is not None):
        raise ValueError("an answer belongs to a completed outcome only")
    return requests.DispatchReply(
        outcome=outcome,
        reason=thrift_fields.REASONS[raw.reason],
        answer=raw.answer and _read_answer(raw.answer),
        retry_after=thrift_fields.decode_microseconds(raw.retry_after_us),
    )


def decode_reply(raw: Any) -> Result[requests.DispatchReply, errors.Error]:
    """Returns the reply to a dispatch of a wire struct."""
    return thrift_fields.decode_checked(_read_reply, raw)


def encode_cancel(cancel: requests.Cancel) -> Any:
    """Returns the wire struct of a cancel."""
    return ttypes.Cancel(
        cancel.request_id,
        cancel.attempt,
        cancel.incarnation,
        cancel.remove_queued,
        thrift_fields.encode_microseconds(cancel.valid_until),
    )


def _read_cancel(raw: Any) -> requests.Cancel:
    raw.validate()
    return requests.Cancel(
        raw.request_id,
        raw.attempt,
        raw.incarnation,
        raw.remove_queued,
        thrift_fields.decode_microseconds(raw.valid_until_us),
    )


def decode_cancel(raw: Any) -> Result[requests.Cancel, errors.Error]:
    """Returns the cancel of a wire struct."""
    return thrift_fields.decode_checked(_read_cancel, raw)


def encode_cancel_reply(reply: requests.CancelReply) -> Any:
    """Returns the wire struct of the reply to a cancel."""
    return ttypes.CancelReply(
        thrift_fields.CANCEL_ANSWERS.numbers[reply.answer],
        reply.reply and encode_reply(reply.reply),
    )


def _read_cancel_reply(raw: Any) -> requests.CancelReply:
    raw.validate()
    answer = thrift_fields.CANCEL_ANSWERS[raw.answer]
    if (answer is states.CancelAnswer.FINISHED) != (raw.reply is not None):
        raise ValueError("a reply belongs to a finished attempt only")
    return requests.CancelReply(answer, raw.reply and _read_reply(raw.reply))


def decode_cancel_reply(
    raw: Any,
) -> Result[requests.CancelReply, errors.Error]:
    """Returns the reply to a cancel of a wire struct."""
    return thrift_fields.decode_checked(_read_cancel_reply, raw)


def encode_announcement(announcement: members.Announcement) -> Any:
    """Returns the wire struct of an announcement."""
    address = announcement.address
    return ttypes.Announcement(
        instance=announcement.instance,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        state=thrift_fields.MEMBER_STATES.numbers[announcement.state],
        address=ttypes.Address(address.host, address.port),
        data_centre=announcement.data_centre,
        region=announcement.region,
        rack=announcement.rack,
        clock_us=thrift_fields.encode_microseconds(announcement.clock),
        kinds=list(announcement.kinds),
        free_slots=announcement.free_slots,
        queued=announcement.queued,
        capacity=thrift_fields.encode_resources(announcement.capacity),
        free=thrift_fields.encode_resources(announcement.free),
        config_version=announcement.config_version,
        reports=announcement.reports,
        throttled=announcement.throttled,
    )


def _read_address(raw: Any) -> members.Address:
    raw.validate()
    return members.Address(raw.host, thrift_fields.check_port(raw.port))


def _read_announcement(raw: Any) -> members.Announcement:
    raw.validate()
    return members.Announcement(
        instance=raw.instance,
        incarnation=raw.incarnation,
        sequence=raw.sequence,
        state=thrift_fields.MEMBER_STATES[raw.state],
        address=_read_address(raw.address),
        data_centre=raw.data_centre,
        region=raw.region,
        rack=raw.rack,
        clock=thrift_fields.decode_microseconds(raw.clock_us),
        kinds=frozenset(raw.kinds),
        free_slots=raw.free_slots,
        queued=raw.queued,
        capacity=thrift_fields.decode_resources(raw.capacity),
        free=thrift_fields.decode_resources(raw.free),
        config_version=raw.config_version,
        reports=raw.reports,
        throttled=raw.throttled,
    )


def decode_announcement(
    raw: Any,
) -> Result[members.Announcement, errors.Error]:
    """Returns the announcement of a wire struct."""
    return thrift_fields.decode_checked(_read_announcement, raw)
