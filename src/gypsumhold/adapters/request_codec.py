"""Converts request and membership messages to and from Thrift structs.

For each message, `encode_<message>` returns the struct of a valid model object
and `decode_<message>` returns the model object or an error of kind DECODING if
a required field is missing or an enum value is unknown. `_parse_<message>`
raises an exception instead. The required fields are those of
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


def _parse_headers(raw: list[Any]) -> tuple[tuple[str, str], ...]:
    for header in raw:
        header.validate()
    return tuple([(header.name, header.value) for header in raw])


def encode_dispatch(dispatch: requests.Dispatch) -> Any:
    """Converts a dispatch to a Thrift struct."""
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


def _parse_payload(raw: Any) -> requests.Payload:
    raw.validate()
    return requests.Payload(
        raw.method, raw.target, _parse_headers(raw.headers), raw.body
    )


def _parse_dispatch(raw: Any) -> requests.Dispatch:
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
        payload=_parse_payload(raw.payload),
    )


def decode_dispatch(raw: Any) -> Result[requests.Dispatch, errors.Error]:
    """Converts a Thrift struct to a dispatch."""
    return thrift_fields.decode_checked(_parse_dispatch, raw)


def encode_reply(reply: requests.DispatchReply) -> Any:
    """Converts the reply to a dispatch to a Thrift struct."""
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


def _parse_answer(raw: Any) -> requests.Answer:
    raw.validate()
    return requests.Answer(raw.status, _parse_headers(raw.headers), raw.body)


def _parse_reply(raw: Any) -> requests.DispatchReply:
    raw.validate()
    outcome = thrift_fields.OUTCOMES[raw.outcome]
    if (outcome is states.Outcome.COMPLETED) != (raw.answer is not None):
        raise ValueError(
            "an answer must be present if and only if the outcome is COMPLETED"
        )
    return requests.DispatchReply(
        outcome=outcome,
        reason=thrift_fields.REASONS[raw.reason],
        answer=raw.answer and _parse_answer(raw.answer),
        retry_after=thrift_fields.decode_microseconds(raw.retry_after_us),
    )


def decode_reply(raw: Any) -> Result[requests.DispatchReply, errors.Error]:
    """Converts a Thrift struct to the reply to a dispatch."""
    return thrift_fields.decode_checked(_parse_reply, raw)


def encode_cancel(cancel: requests.Cancel) -> Any:
    """Converts a cancel request to a Thrift struct."""
    return ttypes.Cancel(
        cancel.request_id,
        cancel.attempt,
        cancel.incarnation,
        cancel.remove_queued,
        thrift_fields.encode_microseconds(cancel.valid_until),
    )


def _parse_cancel(raw: Any) -> requests.Cancel:
    raw.validate()
    return requests.Cancel(
        raw.request_id,
        raw.attempt,
        raw.incarnation,
        raw.remove_queued,
        thrift_fields.decode_microseconds(raw.valid_until_us),
    )


def decode_cancel(raw: Any) -> Result[requests.Cancel, errors.Error]:
    """Converts a Thrift struct to a cancel request."""
    return thrift_fields.decode_checked(_parse_cancel, raw)


def encode_cancel_reply(reply: requests.CancelReply) -> Any:
    """Converts the reply to a cancel request to a Thrift struct."""
    return ttypes.CancelReply(
        thrift_fields.CANCEL_ANSWERS.numbers[reply.answer],
        reply.reply and encode_reply(reply.reply),
    )


def _parse_cancel_reply(raw: Any) -> requests.CancelReply:
    raw.validate()
    answer = thrift_fields.CANCEL_ANSWERS[raw.answer]
    if (answer is states.CancelAnswer.FINISHED) != (raw.reply is not None):
        raise ValueError(
            "a reply must be present if and only if the attempt is FINISHED"
        )
    return requests.CancelReply(answer, raw.reply and _parse_reply(raw.reply))


def decode_cancel_reply(
    raw: Any,
) -> Result[requests.CancelReply, errors.Error]:
    """Converts a Thrift struct to the reply to a cancel request."""
    return thrift_fields.decode_checked(_parse_cancel_reply, raw)


def encode_announcement(announcement: members.Announcement) -> Any:
    """Converts an announcement to a Thrift struct."""
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


def _parse_address(raw: Any) -> members.Address:
    raw.validate()
    return members.Address(raw.host, thrift_fields.check_port(raw.port))


def _parse_announcement(raw: Any) -> members.Announcement:
    raw.validate()
    return members.Announcement(
        instance=raw.instance,
        incarnation=raw.incarnation,
        sequence=raw.sequence,
        state=thrift_fields.MEMBER_STATES[raw.state],
        address=_parse_address(raw.address),
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
    """Converts a Thrift struct to an announcement."""
    return thrift_fields.decode_checked(_parse_announcement, raw)
