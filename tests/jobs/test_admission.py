"""Tests of the admission of jobs by forecasts of the holder.

Pattern: five seconds with two and a half times the large jobs. Refusals must be
true, must rest on a fresh forecast of the present holder, and must leave each
kind of work a floor.
"""

import datetime

import msgspec
import pytest

from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import ordering
from gypsumhold.decisions.jobs.overload import admission, forecasts, shares
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    records,
    scheduler,
    specs,
    storage,
)
from gypsumhold.model.jobs import forecasts as types
from tests.jobs import builders, job_specs, overload_model

SECOND = datetime.timedelta(seconds=1)
NOW = 100 * SECOND
TERM = ids.Epoch(3)
TICKET = ids.TicketId("t")
SPEC = job_specs.build_job("job", (2, 2))
"""Its chain takes 2 s, so it is useful for 3 x (1.5 x 2 s + 0.3 s) = 9.9 s."""

OVERLOADED = (
    types.QueueForecast(
        SPEC.queue.name,
        (types.SizeForecast(4000, 60_000), types.SizeForecast(9000, 90_000)),
    ),
)
HOLDER = messages.Endpoint("10.0.0.9", 1000)


def build_row(version: int, term: ids.Epoch, age_ms: int) -> storage.HolderRow:
    record = records.HolderRecord(
        records.FORMAT,
        term,
        "other",
        ids.Incarnation(1),
        HOLDER,
        version,
        1.0,
        age_ms,
        OVERLOADED if age_ms >= 0 else (),
    )
    return storage.HolderRow(ids.RowVersion(version), record)


def build_follower() -> scheduler.SchedulerState:
    """Returns an entry whose next submission is one too many."""
    state = builders.build_holder(NOW)
    state.role, state.holder_state = scheduler.Role.FOLLOWER, None
    state.policies.admission = admission.RefuseUseless()
    for size in range(2):
        key = types.ShareKey(SPEC.queue.name, size)
        state.shares[key] = types.Share(10.0, 10.0)
    return state


def read_row(
    state: scheduler.SchedulerState,
    row: storage.HolderRow,
    now: datetime.timedelta,
) -> None:
    reducer.reduce(state, events.HolderRead(row), now)


def submit(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> base_effects.Effects:
    event: base_events.Event = events.SubmitArrived(TICKET, SPEC, 3 * SECOND)
    return reducer.reduce(state, event, now)


def is_accepted(emitted: base_effects.Effects) -> bool:
    return any(isinstance(effect, effects.WriteJob) for effect in emitted)


def find_answer(emitted: base_effects.Effects) -> messages.Answer:
    (answer,) = [
        effect.answer
        for effect in emitted
        if isinstance(effect, effects.AnswerQuery)
    ]
    return answer


def test_useless_job_is_refused_with_the_inputs_in_the_log() -> None:
    state = build_follower()
    read_row(state, build_row(5, TERM, 300), NOW)
    emitted = submit(state, NOW + SECOND)
    assert [type(effect) for effect in emitted] == [effects.ReadJob]
    read = events.JobRead(TICKET, storage.JobRows(None))
    emitted = reducer.reduce(state, read, NOW + SECOND)
    answer = find_answer(emitted)
    assert answer.verdict is messages.Verdict.OVERLOADED
    assert 40 < answer.retry_after_s < 66
    (line,) = [item for item in emitted if isinstance(item, effects.Log)]
    inputs = dict(line.inputs)
    assert inputs["expected_ms"] == "62000"
    assert inputs["limit_ms"] == "9900"
    assert inputs["forecast_ms"] == "1300"
    assert not state.tickets


def test_stored_job_is_not_refused() -> None:
    """Guards against a refusal of a repeated request whose job runs."""
    state = build_follower()
    read_row(state, build_row(5, TERM, 0), NOW)
    submit(state, NOW)
    read = events.JobRead(TICKET, storage.JobRows(SPEC))
    answer = find_answer(reducer.reduce(state, read, NOW))
    assert answer.verdict is messages.Verdict.ACCEPTED


def test_job_is_stored_if_it_cannot_be_read() -> None:
    """Guards against a refusal that may be false, as the read failed."""
    state = build_follower()
    read_row(state, build_row(5, TERM, 0), NOW)
    submit(state, NOW)
    assert is_accepted(reducer.reduce(state, events.JobRead(TICKET, None), NOW))


def test_stale_forecast_refuses_nothing() -> None:
    """Guards against refusals after the holder died or the store failed.

    Reads that fail start the takeover delay anew; the forecast ages all the
    same.
    """
    state = build_follower()
    read_row(state, build_row(5, TERM, 0), NOW)
    for second in range(1, 3):
        failed = events.HolderRead(None)
        reducer.reduce(state, failed, NOW + second * SECOND)
    late = NOW + admission.MAX_AGE + 0.01 * SECOND
    state.store_answered_at, state.store_failing = late, False
    assert is_accepted(submit(state, late))


def test_unchanged_row_does_not_renew_its_forecast() -> None:
    """Guards against the forecast of a dead holder whose row is read again."""
    state = build_follower()
    read_row(state, build_row(5, TERM, 1500), NOW)
    read_row(state, build_row(5, TERM, 1500), NOW + 0.6 * SECOND)
    assert is_accepted(submit(state, NOW + 0.6 * SECOND))


def test_new_holder_drops_the_forecast_of_the_former_one() -> None:
    state = build_follower()
    read_row(state, build_row(5, TERM, 0), NOW)
    read_row(state, build_row(6, ids.Epoch(4), records.NO_FORECAST), NOW)
    assert is_accepted(submit(state, NOW))


@pytest.mark.parametrize("skew", [-3600, 3600])
def test_clocks_of_entries_may_differ(skew: int) -> None:
    """Guards against an age that is taken from the clock of another entry."""
    state = build_follower()
    now = NOW + 3700 * SECOND + skew * SECOND
    read_row(state, build_row(5, TERM, 300), now)
    assert not is_accepted(submit(state, now))


def test_forecast_of_a_former_term_is_not_published() -> None:
    """Guards against a holder that passes on what it once read."""
    state = builders.build_holder(NOW)
    state.forecast = types.Forecast(ids.Epoch(0), NOW, OVERLOADED)
    assert forecasts.describe(state, NOW) == (records.NO_FORECAST, ())


def test_new_holder_makes_no_forecast_before_its_agents_have_reported() -> None:
    """Guards against refusals because runs of unheard agents get no room."""
    state = builders.build_holder(NOW)
    state.policies.admission = admission.RefuseUseless()
    assert state.holder_state is not None
    forecasts.refresh(state, state.holder_state, NOW + 6 * SECOND)
    assert state.forecast is None
    forecasts.refresh(state, state.holder_state, NOW + 7 * SECOND)
    assert state.forecast is not None


@pytest.mark.parametrize("odd_ms", [-2, 2**62])
def test_forecast_with_an_odd_number_is_not_used(odd_ms: int) -> None:
    """Guards against a number that makes no duration, at each submission."""
    odd = types.QueueForecast(
        SPEC.queue.name, (types.SizeForecast(4000, odd_ms),)
    )
    row = build_row(5, TERM, 0)
    assert row.record is not None
    for record in (
        msgspec.structs.replace(row.record, forecast=(odd,)),
        msgspec.structs.replace(row.record, forecast_age_ms=odd_ms),
    ):
        state = build_follower()
        read_row(state, storage.HolderRow(row.version, record), NOW)
        assert is_accepted(submit(state, NOW))


def test_rows_of_former_versions_have_no_forecast() -> None:
    row = build_row(5, TERM, 0).record
    assert row is not None
    fields = msgspec.to_builtins(row)
    former = msgspec.msgpack.encode(fields[:7])
    decoded = msgspec.msgpack.decode(former, type=records.HolderRecord)
    assert decoded.forecast_age_ms == records.NO_FORECAST


def test_kinds_keep_their_floor_however_long_the_wait() -> None:
    """Guards against a kind of work that is never served under overload."""
    policy = admission.RefuseUseless()
    counts: dict[types.ShareKey, types.Share] = {}
    forecast = types.Forecast(TERM, NOW, OVERLOADED)
    accepted = {"job": 0, "large": 0}
    for number in range(200):
        name = "large" if number % 10 == 0 else "job"
        widths = (20, 20) if name == "large" else (2, 2)
        spec = job_specs.build_job(name, widths)
        decision = policy.decide(
            types.AdmissionInputs(spec, forecast, NOW, counts, 0.5)
        )
        was_accepted = decision.retry_delay is None
        shares.record(counts, decision, accepted=was_accepted)
        accepted[name] += was_accepted
    assert accepted["job"] >= 90
    assert accepted["large"] >= 10


def test_refusals_of_a_kind_end_only_well_below_the_limit() -> None:
    """Guards against refusals and acceptances by turns near the limit."""
    policy = admission.RefuseUseless()
    near = types.QueueForecast(
        SPEC.queue.name, (types.SizeForecast(4000, 7000),)
    )
    forecast = types.Forecast(TERM, NOW, (near,))
    key = types.ShareKey(SPEC.queue.name, 0)
    for refusing in (False, True):
        counts = {key: types.Share(10.0, 10.0, refusing)}
        decision = policy.decide(
            types.AdmissionInputs(SPEC, forecast, NOW, counts, 0.5)
        )
        assert decision.refusing is refusing


def test_long_running_jobs_are_accepted() -> None:
    step = specs.StepSpec(2, 1000, long_running=True)
    spec = job_specs.build_job_of("serving", (step,))
    forecast = types.Forecast(TERM, NOW, OVERLOADED)
    decision = admission.RefuseUseless().decide(
        types.AdmissionInputs(spec, forecast, NOW, {}, 0.5)
    )
    assert decision is types.ACCEPTED


@pytest.mark.parametrize("seed", range(2))
def test_nothing_is_refused_while_there_is_room(seed: int) -> None:
    outcome = overload_model.play(seed, 4000.0, admission.RefuseUseless())
    assert outcome.refused == 0
    assert outcome.on_time > 0.95


def test_refusals_spare_what_the_order_serves_anyway() -> None:
    """Guards against refusals of jobs that waiting would have served.

    Few are served late by the present order, so there is little to gain.
    """
    limit = 0.05
    order = ordering.ByObjective(overload_model.ESTIMATES)
    all_accepted, refusing = (
        overload_model.play(1, 400.0, policy, order)
        for policy in (admission.AcceptAll(), admission.RefuseUseless())
    )
    assert refusing.served >= all_accepted.served - limit
    assert refusing.refused < 0.3
