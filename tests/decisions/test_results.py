"""Recorded results of claimed requests, large bodies included."""

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


def arrive(state: entry.EntryState, name: str) -> effects.Commit:
    request = requests.Request(
        *(ids.RequestId(name), ids.OrganisationId("a"), test_overload.KIND),
        *(ids.IdempotencyKey("key"), 9 * SECOND, "digest"),
        requests.Payload("POST", "/"),
    )
    (made,) = reducer.reduce(state, events.CallArrived(request), SECOND)
    assert isinstance(made, effects.Commit)
    return made


def answer_commit(
    state: entry.EntryState, sent: effects.Commit, answer: rows.CommitAnswer
) -> effects.Effects:
    event = events.CommitAnswered(sent.transaction.operation, answer)
    return reducer.reduce(state, event, SECOND)


def run_first(state: entry.EntryState, stored: bool) -> effects.Effects:
    """Runs a call whose answer is large up to the store's answer."""
    (sent,) = answer_commit(state, arrive(state, "first"), COMMITTED)
    assert isinstance(sent, effects.SendDispatch)
    reply = requests.DispatchReply(states.Outcome.COMPLETED, answer=LARGE)
    answered = events.DispatchAnswered(
        sent.dispatch.request_id, sent.dispatch.attempt, reply
    )
    (put,) = reducer.reduce(state, answered, SECOND)
    assert isinstance(put, effects.StoreObject)
    assert put.body == LARGE.body
    return reducer.reduce(state, events.ObjectStored(put.owner, stored), SECOND)


@pytest.mark.parametrize("found", [LARGE.body, None])
def test_large_answer_is_repeated_whole(found: bytes | None) -> None:
    """Guards against rows of a megabyte and against half an answer."""
    state = build_entry()
    (record,) = run_first(state, stored=True)
    assert isinstance(record, effects.Commit)
    claim = record.transaction.writes[0].value
    assert isinstance(claim, rows.ClaimRow)
    assert claim.answer is not None
    assert claim.answer.body == b""
    (final,) = answer_commit(state, record, COMMITTED)
    assert isinstance(final, effects.AnswerCall)
    assert final.result.answer == LARGE
    repeat = arrive(state, "second")
    row = rows.Row(
        record.transaction.writes[0].key,
        ids.RowVersion(2),
        record.transaction.operation,
        claim,
    )
    conflict = rows.CommitAnswer(states.CommitResult.CONFLICT, (row,))
    (load,) = answer_commit(state, repeat, conflict)
    assert isinstance(load, effects.LoadObject)
    (final,) = reducer.reduce(
        state, events.ObjectLoaded(load.owner, found), SECOND
    )
    assert isinstance(final, effects.AnswerCall)
    if found is None:
        assert final.result.outcome is states.Outcome.IN_PROGRESS
    else:
        assert final.result.answer == LARGE


def test_caller_is_answered_although_the_store_fails() -> None:
    """Guards against losing a whole answer to an outage of the store."""
    (final,) = run_first(build_entry(), stored=False)
    assert isinstance(final, effects.AnswerCall)
    assert final.result.answer == LARGE


def test_recorded_result_needs_no_upstream() -> None:
    """Guards against *not run* for work that an earlier call has done."""
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
    key = rows.name_claim_row(request.organisation, ids.IdempotencyKey("key"))
    row = rows.Row(key, ids.RowVersion(2), ids.OperationId("o"), claim)
    (final,) = reducer.reduce(
        state, events.RowsRead(read.purpose, (row,)), SECOND
    )
    assert isinstance(final, effects.AnswerCall)
    assert final.result.answer == answer
