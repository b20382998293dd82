"""Records of attempts in an agent: their retention and size."""

import datetime

import pytest

from gypsumhold.decisions import attempt_records
from gypsumhold.model import ids, requests, states
from tests.decisions import test_overload

SECOND = datetime.timedelta(seconds=1)
VALID_UNTIL = 100 * SECOND
LARGE_REPLY = requests.DispatchReply(
    states.Outcome.COMPLETED, answer=requests.Answer(200, (), b"x" * 20_000_000)
)


def build_dispatch(name: str, is_claimed: bool) -> requests.Dispatch:
    return requests.Dispatch(
        *(ids.RequestId(name), ids.Attempt(1), ids.Incarnation(1)),
        *(ids.OrganisationId("a"), ids.KindName("tile"), SECOND, is_claimed),
        *(VALID_UNTIL, requests.Payload("GET", "/")),
    )


@pytest.mark.parametrize(
    ("remove_queued", "now", "answer"),
    [
        (True, VALID_UNTIL, states.CancelAnswer.NEVER_SEEN),
        (True, VALID_UNTIL + 31 * SECOND, states.CancelAnswer.FORGOTTEN),
        (False, VALID_UNTIL + 31 * SECOND, states.CancelAnswer.NEVER_SEEN),
        (False, VALID_UNTIL + 601 * SECOND, states.CancelAnswer.FORGOTTEN),
    ],
)
def test_old_attempt_is_never_reported_as_unseen(
    remove_queued: bool, now: datetime.timedelta, answer: states.CancelAnswer
) -> None:
    """Guards against running an attempt again after its record was dropped."""
    state = test_overload.build_agent()
    cancel = requests.Cancel(
        ids.RequestId("r"),
        ids.Attempt(1),
        ids.Incarnation(1),
        remove_queued,
        VALID_UNTIL,
    )
    assert attempt_records.fence(state, cancel, now) is answer


def test_recorded_answers_are_bounded_and_dropped() -> None:
    """Guards against recorded answers that exceed the memory of the agent."""
    state = test_overload.build_agent()
    for name in ("first", "second"):
        attempt_records.record_reply(
            state, build_dispatch(name, True), LARGE_REPLY
        )
    attempt_records.record_reply(
        state, build_dispatch("plain", False), LARGE_REPLY
    )
    has_answer = [
        record.reply.answer is not None
        for record in state.attempt_records.values()
    ]
    assert has_answer == [True, False, False]
    attempt_records.drop_expired(state, VALID_UNTIL + 601 * SECOND)
    assert state.answer_bytes == 0
    assert not state.attempt_records
