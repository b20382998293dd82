"""Tests how the engine routes effects, timers and failures."""

import collections
import contextlib
import dataclasses
import datetime
import threading
from collections.abc import Iterator

import pytest

from gypsumhold.adapters import clock, effect_pools, engine
from gypsumhold.model import (
    effects,
    events,
    ids,
    members,
    requests,
    rows,
    states,
    timers,
)

WAIT = 5.0
LIMIT = datetime.timedelta(seconds=WAIT)
OWNER = ids.RequestId("r1")
ADDRESS = members.Address("127.0.0.1", 1)
ANSWER = effects.AnswerCall(OWNER, requests.Result(states.Outcome.COMPLETED))
DONE = events.StopRequested()


def build_commit(operation: str, owner: str = "") -> effects.Commit:
    transaction = rows.Transaction(ids.OperationId(operation), (), ())
    return effects.Commit(owner, transaction)


def set_timer(subject: str, seconds: float) -> effects.SetTimer:
    timer = timers.Timer(timers.TimerKind.CALL, subject)
    return effects.SetTimer(timer, datetime.timedelta(seconds=seconds))


class ScriptedReducer:
    """A reducer that emits scripted effects and records the events."""

    def __init__(self) -> None:
        self.effects: collections.deque[effects.Effects] = collections.deque()
        self.events: list[events.Event] = []
        self.errors: collections.deque[Exception] = collections.deque()
        self.arrived = threading.Condition()

    def reduce(
        self, _state: None, event: events.Event, _now: datetime.timedelta
    ) -> effects.Effects:
        with self.arrived:
            self.events.append(event)
            self.arrived.notify_all()
            if self.errors:
                raise self.errors.popleft()
        return self.effects.popleft() if self.effects else ()

    def wait_events(self, number: int) -> list[events.Event]:
        with self.arrived:
            self.arrived.wait_for(lambda: len(self.events) >= number, WAIT)
            return list(self.events)


class RecordingRunner(engine.Runner):
    """Records effects with the names of their threads; may block or fail."""

    def __init__(self) -> None:
        self.ran: list[tuple[effects.Effect, str]] = []
        self.gate = threading.Event()
        self.gate.set()
        self.error: Exception | None = None
        self.started = threading.Semaphore(0)

    def run(self, effect: effects.Effect) -> events.Event | None:
        self.started.release()
        self.gate.wait(WAIT)
        self.ran.append((effect, threading.current_thread().name))
        if self.error is not None:
            raise self.error
        return None


@dataclasses.dataclass
class Rig:
    """An engine with its scripted reducer and its runner."""

    script: ScriptedReducer
    runner: RecordingRunner
    runtime: engine.Engine[None]


@pytest.fixture
def rig() -> Iterator[Rig]:
    script, runner = ScriptedReducer(), RecordingRunner()
    runtime = engine.Engine(None, script.reduce, clock.SystemClock(), runner)
    yield Rig(script, runner, runtime)
    runner.gate.set()
    runtime.close()


def test_owner_runs_its_effects_in_order_in_its_own_thread(rig: Rig) -> None:
    """Guards against a dispatch that overtakes the commit of its claim."""
    first, second = build_commit("1", OWNER), build_commit("2", OWNER)
    rig.script.effects.append((first, second, ANSWER))
    assert rig.runtime.run_owner(OWNER, DONE, LIMIT) == ANSWER
    name = threading.current_thread().name
    assert rig.runner.ran == [(first, name), (second, name)]


def test_effects_left_by_an_owner_run_in_the_pool_in_order(rig: Rig) -> None:
    """Guards against a result that is not recorded once its caller left."""
    remaining = [build_commit(str(number), OWNER) for number in range(5)]
    rig.script.effects.append((ANSWER, *remaining))
    rig.runtime.run_owner(OWNER, DONE, LIMIT)
    rig.runtime.close()
    assert [effect for effect, _ in rig.runner.ran] == remaining


def test_answer_without_a_waiting_owner_is_dropped_and_counted(
    rig: Rig,
) -> None:
    """Guards against a late answer that reaches another call or is kept."""
    rig.script.effects.append((ANSWER,))
    rig.runtime.dispatch(DONE)
    assert rig.runtime.count_dropped_answers() == 1
    assert rig.runtime.run_owner(OWNER, DONE, datetime.timedelta()) is None


def test_work_without_a_waiting_owner_is_reported_as_not_sent(rig: Rig) -> None:
    """Guards against a request that runs without a caller, or never ends."""
    key = requests.AttemptKey(OWNER, ids.Attempt(1))
    payload = requests.Payload("GET", "/")
    rig.script.effects.append(
        (effects.CallUpstream(key, ADDRESS, LIMIT, payload),)
    )
    rig.runtime.dispatch(DONE)
    failure = events.UpstreamCallFailed(key, False, states.Reason.EXPIRED)
    assert rig.script.wait_events(2)[1] == failure
    assert not rig.runner.ran


def test_owner_with_a_waiting_thread_is_refused(rig: Rig) -> None:
    """Guards against a repeated dispatch that takes the answer of the first."""
    rig.runner.gate.clear()
    rig.script.effects.append((build_commit("1", OWNER), ANSWER))
    thread = threading.Thread(
        target=rig.runtime.run_owner, args=(OWNER, DONE, LIMIT)
    )
    thread.start()
    rig.runner.started.acquire(timeout=WAIT)
    with pytest.raises(engine.OwnerBusyError):
        rig.runtime.run_owner(OWNER, DONE, LIMIT)
    rig.runner.gate.set()
    thread.join(WAIT)
    assert rig.script.events == [DONE]


def test_failed_effect_results_in_its_failure_event(rig: Rig) -> None:
    """Guards against a client error that leaves a batch in doubt for ever."""
    rig.runner.error = OSError()
    rig.script.effects.append((build_commit("1"),))
    rig.runtime.dispatch(DONE)
    answer = rig.script.wait_events(2)[1]
    assert isinstance(answer, events.CommitAnswered)
    assert answer.answer.result is states.CommitResult.UNKNOWN


def test_timer_that_is_set_again_is_replaced(rig: Rig) -> None:
    """Guards against a replaced timer that also fires at its former time."""
    rig.script.effects.append(
        (set_timer("a", 0.02), set_timer("a", 30), set_timer("b", 0.05))
    )
    rig.runtime.dispatch(DONE)
    fired = rig.script.wait_events(2)[1:]
    assert fired == [
        events.TimerFired(timers.Timer(timers.TimerKind.CALL, "b"))
    ]


def test_timer_set_to_an_earlier_time_wakes_the_thread(rig: Rig) -> None:
    """Guards against a thread that sleeps until the former, later time."""
    rig.script.effects.append((set_timer("a", 30), set_timer("a", 0)))
    rig.runtime.dispatch(DONE)
    assert len(rig.script.wait_events(2)) == 2


def test_timer_survives_a_failing_handler(rig: Rig) -> None:
    """Guards against periodic work that ends after one error in the reducer."""
    rig.script.effects.append((set_timer("t", 0.01),))
    rig.runtime.dispatch(DONE)
    rig.script.errors.append(OverflowError())
    fired = events.TimerFired(set_timer("t", 0).timer)
    assert rig.script.wait_events(3) == [DONE, fired, fired]


def test_full_pool_refuses_and_keeps_one_periodic_effect() -> None:
    """Guards against periodic effects that pile up behind a peer that hangs."""
    gate, started = threading.Event(), threading.Semaphore(0)
    ran: list[effects.Effect] = []

    def run(effect: effects.Effect) -> None:
        started.release()
        gate.wait(WAIT)
        ran.append(effect)

    pool = effect_pools.EffectPool("test", 1, run, limit=2)
    reads = [
        effects.ReadPeerConfig(ADDRESS, str(number)) for number in range(4)
    ]
    lane = effect_pools.choose_lane(reads[0])
    assert pool.submit(lane, reads[0])
    started.acquire(timeout=WAIT)
    assert all(pool.submit(lane, read) for read in reads[1:])
    other = build_commit("1")
    assert pool.submit(effect_pools.choose_lane(other), other)
    assert not pool.submit(effect_pools.choose_lane(other), build_commit("1"))
    gate.set()
    pool.close(WAIT)
    assert ran == [reads[0], other, reads[3]]


class CountingClock(clock.SystemClock):
    """Counts the reads of the monotonic time."""

    def __init__(self) -> None:
        self.reads = 0

    def read_monotonic(self) -> datetime.timedelta:
        self.reads += 1
        return super().read_monotonic()


def test_timer_thread_sleeps_until_the_next_timer() -> None:
    """Guards against a thread that polls or spins while no timer is due."""
    script, counting = ScriptedReducer(), CountingClock()
    with contextlib.closing(
        engine.Engine(None, script.reduce, counting, RecordingRunner())
    ) as runtime:
        script.effects.append((set_timer("a", 0.2),))
        runtime.dispatch(DONE)
        assert len(script.wait_events(2)) == 2
    assert counting.reads < 20


def test_stopped_is_signalled(rig: Rig) -> None:
    """Guards against a stop that always takes as long as its limit."""
    assert not rig.runtime.wait_stopped(datetime.timedelta())
    rig.script.effects.append((effects.Stopped(),))
    rig.runtime.dispatch(DONE)
    assert rig.runtime.wait_stopped(LIMIT)


def test_result_that_cannot_be_applied_is_reported_as_failed(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a chain of reads that ends with one faulty result.

    A scheduler requests the next read of a feed when it handles the result of
    the last one, so without an event it would never read again.
    """
    monkeypatch.setattr(engine, "RESULT_RETRY_DELAY", datetime.timedelta(0))
    rig.runner.error = RuntimeError("no answer")
    rig.script.effects.append((build_commit("1"),))
    rig.runtime.dispatch(DONE)
    rig.script.wait_events(1)
    rig.script.errors.append(ArithmeticError("faulty"))
    rig.script.wait_events(3)
    answers = rig.script.events[1:]
    assert [type(event) for event in answers] == [events.CommitAnswered] * 2
