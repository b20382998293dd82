"""Refusals of calls that have looked at the claim of their key."""

import dataclasses
import datetime

import pytest

from gypsumhold.decisions import dispatches, reducer
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    requests,
    rows,
    states,
    timers,
)
from tests.decisions import test_overload, test_results

ARRIVAL = test_results.SECOND
CALL = ids.RequestId("second")
CLAIM_KEY = rows.build_claim_key(
    ids.OrganisationId("a"), ids.IdempotencyKey("key")
)
FAILURES = ("read", "commit", "no upstream")
"""What fails after the claim was read, and makes the entry refuse."""


def build_claim(state: states.ClaimState) -> rows.ClaimRow:
    """Returns a claim that a call at another entry has written."""
    return rows.ClaimRow(
        *(state, "digest", ids.EntryId("other")),
        *(ids.Incarnation(1), ids.RequestId("first"), ids.Attempt(1)),
        *(ids.InstanceId("i"), ids.Incarnation(1), test_overload.ADDRESS),
        *(datetime.timedelta(minutes=1), None),
    )


def build_row(claim: rows.ClaimRow) -> rows.Row:
    return rows.Row(CLAIM_KEY, ids.RowVersion(1), ids.OperationId("o"), claim)


def read_claim(
    state: entry.EntryState,
    now: datetime.timedelta,
    found: tuple[rows.Row, ...] | None,
) -> effects.Effects:
    """Lets the call read its claim, with the answer `found`."""
    fired = events.TimerFired(timers.Timer(timers.TimerKind.CALL, CALL))
    (read,) = reducer.reduce(state, fired, now)
    assert isinstance(read, effects.ReadRows)
    return reducer.reduce(state, events.RowsRead(read.purpose, found), now)


def follow_claim(state: entry.EntryState, claim: rows.ClaimRow) -> None:
    """Feeds a call whose claim conflicts with that of another entry."""
    conflict = rows.CommitAnswer(
        states.CommitResult.CONFLICT, (build_row(claim),)
    )
    (pause,) = test_results.answer_commit(
        state, test_results.feed_call(state, CALL), conflict
    )
    assert isinstance(pause, effects.SetTimer)


def probe_claim(
    state: entry.EntryState,
    claim: rows.ClaimRow,
    now: datetime.timedelta,
) -> effects.Effects:
    """Lets the agent answer that it has never seen the claimed attempt."""
    (probe,) = read_claim(state, now, (build_row(claim),))
    assert isinstance(probe, effects.SendCancel)
    reply = requests.CancelReply(states.CancelAnswer.NEVER_SEEN)
    return reducer.reduce(
        state, events.CancelAnswered(CALL, probe.cancel, reply), now
    )


def refuse(
    state: entry.EntryState, claim: rows.ClaimRow, failure: str
) -> requests.Result:
    """Returns the answer to a call that can't take over the claim it read."""
    now = ARRIVAL + state.options.claim_patience
    if failure == "read":
        (pause,) = read_claim(state, now, None)
        assert isinstance(pause, effects.SetTimer)
    if failure == "no upstream":
        state.members.clear()
        state.instances_by_kind = None
    (emitted,) = probe_claim(state, claim, now)
    if failure == "commit":
        assert isinstance(emitted, effects.Commit)
        (emitted,) = test_results.answer_commit(
            state, emitted, rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
        )
    assert isinstance(emitted, effects.AnswerCall)
    return emitted.result


@pytest.mark.parametrize("failure", FAILURES)
def test_refusal_after_a_look_at_an_open_claim(failure: str) -> None:
    """Guards against the outcome NOT_RUN for work of another entry.

    That entry still has the call whose attempt the probe has fenced: it makes
    the next attempt, and the work runs.
    """
    state = test_results.build_entry()
    claim = build_claim(states.ClaimState.CLAIMED)
    follow_claim(state, claim)
    result = refuse(state, claim, failure)
    assert result.outcome is states.Outcome.IN_PROGRESS
    if failure == "no upstream":
        assert result.reason is states.Reason.NO_UPSTREAM
    else:
        assert result.reason is states.Reason.TABLE_UNAVAILABLE
    assert result.retry_after == dispatches.RETRY_AFTER


def test_refusal_after_a_look_at_a_claim_that_has_not_run() -> None:
    """Guards against the outcome IN_PROGRESS for work that nobody does."""
    state = test_results.build_entry()
    claim = build_claim(states.ClaimState.CLAIMED)
    follow_claim(state, claim)
    now = ARRIVAL + state.options.claim_patience
    read_claim(state, now, None)
    ended = dataclasses.replace(claim, state=states.ClaimState.NOT_RUN)
    (emitted,) = read_claim(state, now, (build_row(ended),))
    assert isinstance(emitted, effects.AnswerCall)
    assert emitted.result.outcome is states.Outcome.NOT_RUN


@pytest.mark.parametrize("attempts", [1, 2])
def test_refusal_after_another_call_has_fenced_the_attempt(
    attempts: int,
) -> None:
    """Guards against the outcome NOT_RUN for work that is taken over.

    Another entry has asked the agent before the dispatch came. It takes the
    claim over, and the table does not answer this entry. The attempt was the
    last one, or another one is still allowed.
    """
    state = test_results.build_entry()
    state.options = dataclasses.replace(state.options, max_attempts=attempts)
    (sent,) = test_results.answer_commit(
        state,
        test_results.feed_call(state, CALL),
        test_results.COMMITTED,
    )
    assert isinstance(sent, effects.SendDispatch)
    reply = requests.DispatchReply(
        states.Outcome.NOT_RUN, states.Reason.TOMBSTONED
    )
    answered = events.DispatchAnswered(CALL, sent.dispatch.attempt, reply)
    (commit,) = reducer.reduce(state, answered, ARRIVAL)
    assert isinstance(commit, effects.Commit)
    emitted = test_results.answer_commit(
        state, commit, rows.CommitAnswer(states.CommitResult.UNAVAILABLE)
    )
    assert isinstance(emitted[0], effects.AnswerCall)
    assert emitted[0].result.outcome is states.Outcome.IN_PROGRESS
