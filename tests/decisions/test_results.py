"""Recorded results of claimed requests, including large bodies."""

import dataclasses
import datetime
import random

import pytest

from gypsumhold.decisions import policy_sets, reducer, results
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    members,
    options,
    requests,
    resources,
    rows,
    states,
    timers,
)
from tests.decisions import test_overload

SECOND = datetime.timedelta(seconds=1)
LARGE = requests.Answer(200, (("X", "y"),), b"x" * (results.MAX_ROW_BODY + 1))
COMMITTED = rows.CommitAnswer(states.CommitResult.COMMITTED)


def build_entry() -> entry.EntryState:
    configuration = test_overload.CONFIGURATION
    template = dataclasses.replace(
        configuration.templates[test_overload.KIND], repeatable=False
    )
    state = entry.EntryState(
        options.EntryOptions(
            *(ids.EntryId("e"), ids.Incarnation(1), test_overload.ADDRESS),
            *(ids.DataCentre("d"), ids.Region("r")),
        ),
        policy_sets.build_entry_policies(states.PolicyChoice.STANDARD),
        random.Random(1),
        configuration=dataclasses.replace(
            configuration, templates={template.name: template}
        ),
    )
    announcement = members.Announcement(
        *(ids.InstanceId("i"), ids.Incarnation(1), 1),
        *(states.MemberState.SERVING, test_overload.ADDRESS),
        *(ids.DataCentre("d"), ids.Region("r"), ids.Rack("k"), SECOND),
        *(frozenset({template.name}), 8, 0),
        *(resources.NOTHING, resources.NOTHING, ids.ConfigVersion(1)),
    )
    reducer.reduce(state, events.AnnouncementReceived(announcement), SECOND)
    return state


def build_call(name: str, key: str = "key") -> events.CallArrived:
    return events.CallArrived(
        requests.Request(
            *(ids.RequestId(name), ids.OrganisationId("a"), test_overload.KIND),
            *(ids.IdempotencyKey(key), 9 * SECOND, "digest"),
            requests.Payload("POST", "/"),
        )
    )


def feed_call(state: entry.EntryState, name: str) -> effects.Commit:
    (emitted,) = reducer.reduce(state, build_call(name), SECOND)
    assert isinstance(emitted, effects.Commit)
    return emitted


def answer_commit(
    state: entry.EntryState,
    commit: effects.Commit,
    answer: rows.CommitAnswer,
) -> effects.Effects:
    event = events.CommitAnswered(commit.transaction.operation, answer)
    return reducer.reduce(state, event, SECOND)


def feed_large_answer(
    state: entry.EntryState, is_stored: bool
) -> effects.Effects:
    """Feeds a call with a large answer, up to the reply of the object store."""
    (dispatch_effect,) = answer_commit(
        state, feed_call(state, "first"), COMMITTED
    )
    assert isinstance(dispatch_effect, effects.SendDispatch)
    reply = requests.DispatchReply(states.Outcome.COMPLETED, answer=LARGE)
    answered = events.DispatchAnswered(
        dispatch_effect.dispatch.request_id,
        dispatch_effect.dispatch.attempt,
        reply,
    )
    (store_effect,) = reducer.reduce(state, answered, SECOND)
    assert isinstance(store_effect, effects.StoreObject)
    assert store_effect.body == LARGE.body
    return reducer.reduce(
        state, events.ObjectStored(store_effect.owner, is_stored), SECOND
    )


@pytest.mark.parametrize("loaded_body", [LARGE.body, None])
def test_large_answer_is_repeated_completely(loaded_body: bytes | None) -> None:
    """Guards against oversized rows and against answers without their body."""
    state = build_entry()
    (record_commit,) = feed_large_answer(state, is_stored=True)
    assert isinstance(record_commit, effects.Commit)
    claim = record_commit.transaction.writes[0].value
    assert isinstance(claim, rows.ClaimRow)
    assert claim.answer is not None
    assert claim.answer.body == b""
    (answer_effect,) = answer_commit(state, record_commit, COMMITTED)
    assert isinstance(answer_effect, effects.AnswerCall)
    assert answer_effect.result.answer == LARGE
    repeat_commit = feed_call(state, "second")
    row = rows.Row(
        record_commit.transaction.writes[0].key,
        ids.RowVersion(2),
        record_commit.transaction.operation,
        claim,
    )
    conflict = rows.CommitAnswer(states.CommitResult.CONFLICT, (row,))
    (load_effect,) = answer_commit(state, repeat_commit, conflict)
    assert isinstance(load_effect, effects.LoadObject)
    (answer_effect,) = reducer.reduce(
        state, events.ObjectLoaded(load_effect.owner, loaded_body), SECOND
    )
    assert isinstance(answer_effect, effects.AnswerCall)
    if loaded_body is None:
        assert answer_effect.result.outcome is states.Outcome.IN_PROGRESS
    else:
        assert answer_effect.result.answer == LARGE


def test_caller_is_answered_although_the_store_fails() -> None:
    """Guards against losing a complete answer when the object store fails."""
    (answer_effect,) = feed_large_answer(build_entry(), is_stored=False)
    assert isinstance(answer_effect, effects.AnswerCall)
    assert answer_effect.result.answer == LARGE


def test_recorded_result_needs_no_upstream() -> None:
    """Guards against the outcome NOT_RUN for work that an earlier call did."""
    state = build_entry()
    state.members.clear()
    state.instances_by_kind = None
    request = requests.Request(
        *(ids.RequestId("late"), ids.OrganisationId("a"), test_overload.KIND),
        *(ids.IdempotencyKey("key"), 9 * SECOND, "digest"),
        requests.Payload("POST", "/"),
    )
    (read,) = reducer.reduce(state, events.CallArrived(request), SECOND)
    assert isinstance(read, effects.ReadRows)
    answer = requests.Answer(200, (), b"done")
    claim = rows.ClaimRow(
        *(states.ClaimState.COMPLETED, "digest", ids.EntryId("e")),
        *(ids.Incarnation(1), ids.RequestId("first"), ids.Attempt(1)),
        *(ids.InstanceId("i"), ids.Incarnation(1), test_overload.ADDRESS),
        *(SECOND, answer),
    )
    key = rows.build_claim_key(request.organisation, ids.IdempotencyKey("key"))
    row = rows.Row(key, ids.RowVersion(2), ids.OperationId("o"), claim)
    (answer_effect,) = reducer.reduce(
        state, events.RowsRead(read.purpose, (row,)), SECOND
    )
    assert isinstance(answer_effect, effects.AnswerCall)
    assert answer_effect.result.answer == answer


@pytest.mark.parametrize("is_answered", [False, True])
def test_repeat_during_an_outage_is_not_refused_as_not_run(
    is_answered: bool,
) -> None:
    """Guards against the outcome NOT_RUN for work that this entry started.

    The table fails while the first call runs, or before its result is recorded.
    """
    state = build_entry()
    (dispatch_effect,) = answer_commit(
        state, feed_call(state, "first"), COMMITTED
    )
    assert isinstance(dispatch_effect, effects.SendDispatch)
    if is_answered:
        answered = events.DispatchAnswered(
            dispatch_effect.dispatch.request_id,
            dispatch_effect.dispatch.attempt,
            requests.DispatchReply(
                states.Outcome.COMPLETED, answer=requests.Answer(200)
            ),
        )
        (record_commit,) = reducer.reduce(state, answered, SECOND)
        assert isinstance(record_commit, effects.Commit)
        unavailable = rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
        answer_commit(state, record_commit, unavailable)
        assert not state.calls
    purpose = events.ReadPurpose(timers.ReadKind.CONFIG_HEAD, sent_at=SECOND)
    reducer.reduce(state, events.RowsRead(purpose, None), SECOND)
    for key, outcome in (
        ("key", states.Outcome.IN_PROGRESS),
        ("other", states.Outcome.NOT_RUN),
    ):
        (emitted,) = reducer.reduce(state, build_call("second", key), SECOND)
        assert isinstance(emitted, effects.AnswerCall)
        assert emitted.result.outcome is outcome
        assert emitted.result.reason is states.Reason.TABLE_UNAVAILABLE


def test_repeat_at_a_stopping_entry_is_not_refused_as_not_run() -> None:
    """Guards against the outcome NOT_RUN for work that is still in progress."""
    state = build_entry()
    answer_commit(state, feed_call(state, "first"), COMMITTED)
    reducer.reduce(state, events.StopRequested(), SECOND)
    for key, outcome in (
        ("key", states.Outcome.IN_PROGRESS),
        ("other", states.Outcome.NOT_RUN),
    ):
        (emitted,) = reducer.reduce(state, build_call("second", key), SECOND)
        assert isinstance(emitted, effects.AnswerCall)
        assert emitted.result.outcome is outcome
        assert emitted.result.reason is states.Reason.STOPPING
