"""Tests of starts of a former process of the agent, found by a review.

Pattern: a start that a former process has sent is judged by one answer of a
holder only, or is kept only while it waits.
"""

import dataclasses

import msgspec
import pytest

from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, events, executor, runs
from tests.jobs import linked_agent, test_kin_of_late_calls, test_late_calls

RUN = test_late_calls.RUN
OTHER = test_late_calls.OTHER
LIMIT_MS = test_late_calls.LIMIT_MS
LATE_MS = test_late_calls.MAX_CALL_DELAY_MS - 100
AHEAD_MS = 50_000
FORMER_FENCE_LEAD = 500
DOWN_MS = 300
UNTIL_REPORTED_MS = 1200
MIN_DRAIN_MS = 2000


def build_successor() -> tuple[linked_agent.LinkedAgent, effects.StartRun]:
    """Returns the next process of an agent, and a start of the former one."""
    sent = linked_agent.LinkedAgent(0.98).request(RUN)
    start = dataclasses.replace(sent, fence=sent.fence - FORMER_FENCE_LEAD)
    return linked_agent.LinkedAgent(0.98, age_ms=0), start


def check_late_start(
    agent: linked_agent.LinkedAgent,
    start: effects.StartRun,
    began_ms: float,
    late_ms: float = LATE_MS,
) -> None:
    """Checks that a run counts until its late start has ended."""
    while agent.read_ms() < began_ms + late_ms:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
        report = agent.report()
        assert not linked_agent.is_counted_as_ended(report, RUN)
        assert RUN not in {row.ref for row in report.refused}
    agent.take_start(start)
    agent.measure_cut(RUN, LIMIT_MS)
    assert not agent.worker.running


def answer_report(
    agent: linked_agent.LinkedAgent, *starts: runs.RunRef
) -> None:
    directives = agent.build_directives(agent.state.sequence + 1, starts)
    agent.answer_report(agent.report(), directives)


def let_drain(agent: linked_agent.LinkedAgent) -> None:
    """Delivers a heartbeat that tells that the worker drains."""
    worker = agent.state.worker
    assert worker is not None
    draining = msgspec.structs.replace(
        worker,
        state=runs.WorkerState.DRAINING,
        sequence=worker.sequence + 1,
    )
    agent.deliver(events.HeartbeatReceived(draining))


@pytest.mark.parametrize("late_ms", [100, 9000, LATE_MS])
def test_withdrawn_former_start_counts_while_out_of_reach(
    late_ms: float,
) -> None:
    """Guards against a withdrawn run that nobody lists any more."""
    agent, start = build_successor()
    began_ms = agent.read_ms()
    agent.fail_poll()
    directives = agent.build_directives(
        agent.state.sequence + 1, withdrawn=(RUN,)
    )
    agent.answer_report(agent.report(), directives)
    agent.restart()
    check_late_start(agent, start, began_ms, late_ms)


def test_stop_of_a_waiting_former_start_is_no_refusal() -> None:
    """Guards against a stop that counts as proof that the run never begins."""
    agent, start = build_successor()
    began_ms = agent.read_ms()
    agent.fail_poll()
    answer_report(agent, RUN)
    directives = agent.build_directives(agent.state.sequence + 1, stops=(RUN,))
    agent.answer_report(agent.report(), directives)
    agent.restart()
    check_late_start(agent, start, began_ms)


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_former_start_counts_after_the_next_incarnation_is_heard(
    is_confirmed: bool,
) -> None:
    """Guards against a run that a heartbeat of a new incarnation drops.

    No poll reaches that incarnation.
    """
    agent, start = build_successor()
    began_ms = agent.read_ms()
    if is_confirmed:
        agent.deliver(agent.take_start(agent.request(RUN)))
        assert agent.state.active[RUN].state is executor.LocalState.RUNNING
    else:
        agent.fail_poll()
        answer_report(agent, RUN)
    agent.restart()
    agent.hear()
    check_late_start(agent, start, began_ms)


@pytest.mark.parametrize("seed", range(3))
def test_confirmed_run_of_a_heard_incarnation_in_the_world(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against the same, with a holder that places the task again."""
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, test_kin_of_late_calls.LATEST_MS
    )
    world.kill(name, DOWN_MS)
    world.run(DOWN_MS)
    running = executor.LocalState.RUNNING
    assert test_kin_of_late_calls.wait_for_state(world, running) == name
    world.run(UNTIL_REPORTED_MS)
    world.workers[name].restart(world.now_ms, 0)
    world.nodes[name].cut_worker = True
    world.deliver_heartbeat(name)
    test_kin_of_late_calls.settle(world)


@pytest.mark.parametrize("is_withdrawn", [False, True])
def test_push_before_the_first_answer_refuses_no_former_start(
    is_withdrawn: bool,
) -> None:
    """Guards against a process that takes no answer for "none is open".

    The answer to its first report is lost, and a push overtakes the next.
    """
    agent, start = build_successor()
    began_ms = agent.read_ms()
    agent.fail_poll()
    agent.report()
    directives = agent.build_directives(
        agent.state.sequence + 1,
        () if is_withdrawn else (RUN,),
        withdrawn=(RUN,) if is_withdrawn else (),
        grants=False,
    )
    agent.push(directives)
    agent.restart()
    check_late_start(agent, start, began_ms)


def test_push_before_the_first_answer_acknowledges_nothing() -> None:
    """Guards against an acknowledgement before the open starts are known."""
    sent = linked_agent.LinkedAgent().request(RUN)
    start = dataclasses.replace(sent, fence=sent.fence - FORMER_FENCE_LEAD)
    agent = linked_agent.LinkedAgent(age_ms=0)
    other = linked_agent.LinkedAgent().request(OTHER)
    agent.take_start(dataclasses.replace(other, fence=agent.state.fence))
    agent.worker.end_run(agent.worker.running[OTHER.task], runs.RunEnd.DONE)
    agent.poll_now()
    agent.report()
    directives = msgspec.structs.replace(
        agent.build_directives(agent.state.sequence + 1, grants=False),
        acknowledged=runs.EndNumber(agent.worker.last_end),
    )
    agent.push(directives)
    poll = linked_agent.find_poll(agent.poll_now())
    agent.restart()
    agent.take_start(start)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.take_poll(poll)
    agent.hear()
    agent.poll_now()
    assert [end.ref for end in agent.state.ends.values()] == [RUN]


def test_incomplete_list_hides_no_former_start() -> None:
    """Guards against a start that is ignored while ends are not listed."""
    agent, start = build_successor()
    began_ms = agent.read_ms()
    agent.poll(is_complete=False)
    agent.fail_poll()
    answer_report(agent, RUN)
    agent.restart()
    check_late_start(agent, start, began_ms)


def test_first_answer_of_a_replaced_holder_hides_no_former_start() -> None:
    """Guards against a holder that does not know what its successor placed."""
    agent, start = build_successor()
    began_ms = agent.read_ms()
    answer_report(agent)
    agent.fail_poll()
    later = msgspec.structs.replace(
        agent.build_directives(1, (RUN,)), term=ids.Epoch(2)
    )
    agent.answer_report(agent.report(), later)
    agent.restart()
    check_late_start(agent, start, began_ms)


@pytest.mark.parametrize("late_ms", [5000, LATE_MS])
def test_found_run_of_which_a_process_before_sent_a_start(
    late_ms: float,
) -> None:
    """Guards against a listed run as proof that no other start is late.

    The agent restarts twice: the first start is late, the second is carried
    out, and the third process finds the run. Only the holder knows that both
    former processes may have sent a start.
    """
    agent, first = build_successor()
    second = agent.request(RUN)
    third = linked_agent.LinkedAgent(0.98, age_ms=0)
    began_ms = third.read_ms()
    third.take_start(second)
    third.poll_now()
    directives = third.build_directives(
        third.state.sequence + 1, late_starts=(RUN,)
    )
    third.answer_report(third.report(), directives)
    assert RUN in third.state.active
    third.restart()
    check_late_start(third, first, began_ms, late_ms)


@pytest.mark.parametrize("is_confirmed", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_run_that_the_third_process_finds_in_the_world(
    monkeypatch: pytest.MonkeyPatch, seed: int, is_confirmed: bool
) -> None:
    """Guards against a holder that does not tell of the first of two starts.

    The second process is killed before or after it has reported that its start
    was carried out. Then the worker restarts and is cut off.
    """
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, test_kin_of_late_calls.LATEST_MS
    )
    world.kill(name, DOWN_MS)
    world.run(DOWN_MS)
    running = executor.LocalState.RUNNING
    assert test_kin_of_late_calls.wait_for_state(world, running) == name
    if is_confirmed:
        world.run(UNTIL_REPORTED_MS)
    world.kill(name, DOWN_MS)
    world.run(DOWN_MS)
    assert test_kin_of_late_calls.wait_for_state(world, running) == name
    world.run(UNTIL_REPORTED_MS)
    world.workers[name].restart(world.now_ms, 0)
    world.nodes[name].cut_worker = True
    test_kin_of_late_calls.settle(world)


def test_late_departure_after_the_shortest_drain() -> None:
    """Guards against a late notice while the next incarnation drains on."""
    agent = linked_agent.LinkedAgent()
    agent.restart()
    agent.hear()
    agent.poll_now()
    agent.deliver(agent.take_start(agent.request(RUN)))
    let_drain(agent)
    agent.wait(MIN_DRAIN_MS)
    agent.deliver(events.WorkerLeft(agent.worker.name))
    agent.measure_cut(RUN, LIMIT_MS)


def test_own_departure_ends_the_runs() -> None:
    """Guards against tasks that wait for leases of a worker that has left."""
    agent = linked_agent.LinkedAgent()
    agent.deliver(agent.take_start(agent.request(RUN)))
    let_drain(agent)
    agent.wait(MIN_DRAIN_MS)
    agent.deliver(events.WorkerLeft(agent.worker.name))
    agent.worker.running.clear()
    agent.fail_poll()
    assert linked_agent.is_counted_as_ended(agent.report(), RUN)


@pytest.mark.parametrize("gap_ms", [100, 1000])
def test_lease_while_readings_stay_odd(gap_ms: float) -> None:
    """Guards against a lease by the second of several odd readings.

    Five lists have a clock that is ahead, and each fits the one before. The
    last poll is carried out late, before the lease of the others ends.
    """
    agent = linked_agent.LinkedAgent(0.98)
    agent.deliver(agent.take_start(agent.request(RUN)))
    for _ in range(5):
        agent.wait(gap_ms)
        answer_report(agent)
        answer = agent.take_poll(agent.build_poll())
        assert answer.clock is not None
        odd = dataclasses.replace(
            answer.clock, clock_ms=answer.clock.clock_ms + AHEAD_MS
        )
        emitted = agent.deliver(dataclasses.replace(answer, clock=odd))
        poll = linked_agent.find_poll(emitted)
        agent.take_poll(poll)
    sent_ms = agent.read_ms()
    while agent.read_ms() < sent_ms + 9500:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
    assert RUN.task in agent.worker.running
    agent.take_poll(poll)
    agent.measure_cut(RUN, 2 * LIMIT_MS)
