"""What an agent remembers of attempts, and for how long."""

import datetime

import pytest

from gypsumhold.decisions import attempt_records
from gypsumhold.model import ids, requests, states
from tests.decisions import test_overload

SECOND = datetime.timedelta(seconds=1)
VALID = 100 * SECOND
BIG = requests.DispatchReply(
    states.Outcome.COMPLETED, answer=requests.Answer(200, (), b"x" * 20_000_000)
)


def build_dispatch(name: str, claimed: bool) -> requests.Dispatch:
    return requests.Dispatch(
        *(ids.RequestId(name), ids.Attempt(1), ids.Incarnation(1)),
        *(ids.OrganisationId("a"), ids.KindName("tile"), SECOND, claimed),
        *(VALID, requests.Payload("GET", "/")),
    )


@pytest.mark.parametrize(
    ("own", "now", "answer"),
    [
        (True, VALID, states.CancelAnswer.NEVER_SEEN),
        (True, VALID + 31 * SECOND, states.CancelAnswer.FORGOTTEN),
        (False, VALID + 31 * SECOND, states.CancelAnswer.NEVER_SEEN),
        (False, VALID + 601 * SECOND, states.CancelAnswer.FORGOTTEN),
    ],
)
def test_old_attempt_is_never_called_unseen(
    own: bool, now: datetime.timedelta, answer: states.CancelAnswer
) -> None:
    """Guards against running work again whose record was dropped."""
    state = test_overload.build_agent()
    cancel = requests.Cancel(
        ids.RequestId("r"), ids.Attempt(1), ids.Incarnation(1), own, VALID
    )
    assert attempt_records.fence(state, cancel, now) is answer


def test_kept_answers_are_bounded_and_freed() -> None:
    """Guards against an agent that outgrows its memory."""
    state = test_overload.build_agent()
    for name in ("first", "second"):
        attempt_records.record_reply(state, build_dispatch(name, True), BIG)
    attempt_records.record_reply(state, build_dispatch("plain", False), BIG)
    kept = [
        memory.reply.answer is not None
        for memory in state.attempt_records.values()
    ]
    assert kept == [True, False, False]
    attempt_records.drop_expired(state, VALID + 601 * SECOND)
    assert state.answer_bytes == 0
    assert not state.attempt_records
