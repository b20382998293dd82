"""Tests of runs with a start that a later incarnation may still carry out.

Pattern: a start is held back and gets no answer, something else is known of its
run, the worker restarts, and its next incarnation carries out the held start.
"""

import dataclasses

import msgspec
import pytest

from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    records,
    runs,
    specs,
)
from tests.jobs import (
    job_specs,
    linked_agent,
    test_kin_of_late_calls,
    test_late_calls,
)
from tests.jobs import world as worlds

RUN = test_late_calls.RUN
OTHER = test_late_calls.OTHER
LATEST_MS = test_late_calls.MAX_CALL_DELAY_MS - 100
UNTIL_STOPPED_MS = 100
FULL_WORKER = test_kin_of_late_calls.FULL_WORKER
MAX_SENT = 10
JOBS = 4
SUBMIT_INTERVAL_MS = 1300


def hold_first_start(
    agent: linked_agent.LinkedAgent,
) -> tuple[effects.StartRun, effects.StartRun]:
    """Returns a start that is held back, and the one that is sent after it."""
    first = agent.request(RUN)
    agent.fail_start(first)
    return first, linked_agent.find_start(agent.poll_now())


def assert_kept(agent: linked_agent.LinkedAgent) -> None:
    """Asserts that the holder can't place the task of the run elsewhere."""
    report = agent.report()
    assert RUN not in {row.ref for row in report.refused}
    assert RUN in {row.ref for row in report.rows}


def let_next_incarnation_begin(
    agent: linked_agent.LinkedAgent, start: effects.StartRun
) -> None:
    """Restarts the worker, which carries out a start, and is polled."""
    agent.restart()
    agent.take_start(start)
    assert RUN.task in agent.worker.running
    agent.hear()
    agent.poll_now()


def test_task_stays_while_all_its_starts_have_no_answer() -> None:
    """Guards against a task placed elsewhere after two starts without answer.

    The first is carried out 3.5 s later, by the next incarnation.
    """
    agent = linked_agent.LinkedAgent()
    first = start = agent.request(RUN)
    for _ in range(MAX_SENT):
        agent.fail_start(start)
        emitted = agent.poll_now()
        assert_kept(agent)
        starts = test_late_calls.list_starts(emitted)
        if not starts:
            break
        (start,) = starts
    agent.wait(3500)
    let_next_incarnation_begin(agent, first)
    assert_kept(agent)


@pytest.mark.parametrize(
    "result",
    [
        events.CommandResult.NO_CAPACITY,
        events.CommandResult.UNHEALTHY,
        events.CommandResult.INVALID,
    ],
)
def test_refusal_of_the_second_start_does_not_free_the_task(
    result: events.CommandResult,
) -> None:
    """Guards against a refusal that makes the agent forget the first start."""
    agent = linked_agent.LinkedAgent()
    first, second = hold_first_start(agent)
    answer = agent.take_start(dataclasses.replace(second, fence=0))
    agent.deliver(
        dataclasses.replace(answer, fence=second.fence, result=result)
    )
    agent.poll_now()
    assert_kept(agent)
    let_next_incarnation_begin(agent, first)
    assert_kept(agent)


@pytest.mark.parametrize("end", [runs.RunEnd.DONE, runs.RunEnd.FAILED])
def test_ended_run_may_begin_once_more(end: runs.RunEnd) -> None:
    """Guards against an end that makes the agent forget the first start.

    The end is not acknowledged while a restart may bring the run back: an end
    that was acknowledged counts for good.
    """
    agent = linked_agent.LinkedAgent()
    first, second = hold_first_start(agent)
    agent.deliver(agent.take_start(second))
    agent.worker.end_run(agent.worker.running[RUN.task], end)
    agent.poll_now()
    report = agent.report()
    assert [late.ref for late in report.late_starts] == [RUN]
    directives = msgspec.structs.replace(
        agent.build_directives(agent.state.sequence + 1),
        acknowledged=runs.EndNumber(agent.worker.last_end),
    )
    agent.answer_report(report, directives)
    for _ in range(3):
        poll = linked_agent.find_poll(agent.poll_now())
        assert poll.acknowledged < agent.worker.last_end
        agent.wait(1000)
    let_next_incarnation_begin(agent, first)
    assert RUN in agent.state.active


def test_end_is_acknowledged_once_no_start_is_open() -> None:
    """Guards against ends that a worker lists for good."""
    agent = linked_agent.LinkedAgent()
    _, second = hold_first_start(agent)
    agent.deliver(agent.take_start(second))
    test_late_calls.acknowledge(agent, RUN)
    agent.wait(test_late_calls.MAX_CALL_DELAY_MS)
    agent.poll_now()
    poll = linked_agent.find_poll(agent.poll_now())
    assert poll.acknowledged == agent.worker.last_end
    assert not agent.report().late_starts


def test_ended_run_with_an_open_start_keeps_its_capacity() -> None:
    """Guards against two late starts that overload an incarnation (LIMIT)."""
    agent = linked_agent.LinkedAgent()
    (first,) = test_kin_of_late_calls.request_all_of_worker(agent, RUN)
    agent.fail_start(first)
    second = linked_agent.find_start(agent.poll_now())
    agent.deliver(agent.take_start(second))
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.poll_now()
    later = test_kin_of_late_calls.request_all_of_worker(agent, OTHER)
    agent.restart()
    for start in (first, *later):
        agent.take_start(start)
    used = agent.worker.sum_requests()
    assert used.fits_in(agent.worker.read_capacity())


def test_answered_start_is_not_open() -> None:
    """Guards against tasks that wait although nothing is under way."""
    agent = linked_agent.LinkedAgent()
    agent.deliver(agent.take_start(agent.request(RUN)))
    agent.restart()
    agent.hear()
    agent.poll_now()
    report = agent.report()
    assert not report.rows
    assert not report.late_starts


def test_start_that_the_list_has_is_not_open() -> None:
    """Guards against tasks that wait for a start that was carried out."""
    agent = linked_agent.LinkedAgent()
    start = agent.request(RUN)
    agent.take_start(start)
    agent.fail_start(start)
    agent.poll_now()
    assert agent.state.active[RUN].state is executor.LocalState.RUNNING
    assert not agent.report().late_starts


@pytest.mark.parametrize("seed", range(3))
def test_failed_run_with_an_open_start_runs_nowhere_else(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a holder that places a task whose start may come late.

    The second start is confirmed and its run fails. Then the worker restarts,
    is cut off, and carries out the first one.
    """
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, LATEST_MS
    )
    running = executor.LocalState.RUNNING
    assert test_kin_of_late_calls.wait_for_state(world, running) == name
    world.run(UNTIL_STOPPED_MS)
    worker = world.workers[name]
    (run,) = worker.running.values()
    worker.end_run(run, runs.RunEnd.FAILED)
    world.run(LATEST_MS - worlds.ANSWER_TIMEOUT_MS - 1000)
    task = world.store.progress[test_kin_of_late_calls.JOB].steps[0].tasks[0]
    assert task.state is records.TaskState.PLACED
    assert task.instance == name
    worker.restart(world.now_ms, 0)
    world.nodes[name].cut_worker = True
    test_kin_of_late_calls.settle(world)


def test_stopped_run_in_doubt_is_not_sent_again() -> None:
    """Guards against a run that nobody wants, as its stop got no answer."""
    agent = linked_agent.LinkedAgent()
    agent.fail_start(agent.request(RUN))
    directives = agent.build_directives(agent.state.sequence + 1, stops=(RUN,))
    agent.push(directives)
    agent.deliver(
        events.CommandAnswered(
            agent.incarnation,
            events.CommandKind.STOP,
            RUN,
            agent.state.fence,
            events.CommandResult.UNANSWERED,
        )
    )
    assert not test_late_calls.list_starts(agent.poll_now())
    assert_kept(agent)


def test_revoked_run_with_an_open_start_is_not_sent_again() -> None:
    """Guards against a start that the holder has released meanwhile.

    The answer to a report that did not list the run yet names it no more.
    """
    agent = linked_agent.LinkedAgent()
    agent.answer_report(
        agent.report(), agent.build_directives(agent.state.sequence + 1)
    )
    report = agent.report()
    emitted = agent.push(
        agent.build_directives(agent.state.sequence + 1, (RUN,))
    )
    agent.fail_start(linked_agent.find_start(emitted))
    agent.state.active[RUN].state = executor.LocalState.WAITING
    directives = agent.build_directives(agent.state.sequence + 1)
    emitted = agent.answer_report(report, directives)
    assert not test_late_calls.list_starts(emitted)
    assert not test_late_calls.list_starts(agent.poll_now())
    assert RUN in agent.state.active


@pytest.mark.parametrize("seed", range(3))
def test_holder_counts_what_the_agent_reserves(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against placements that agents refuse for want of room.

    A job of one task that fills its worker is done by its second start, while
    the first may come late. Then jobs that fill a worker come one by one.
    """
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, LATEST_MS
    )
    running = executor.LocalState.RUNNING
    assert test_kin_of_late_calls.wait_for_state(world, running) == name
    (run,) = world.workers[name].running.values()
    world.workers[name].end_run(run, runs.RunEnd.DONE)
    world.run(UNTIL_STOPPED_MS)
    step = specs.StepSpec(1, FULL_WORKER, 100, estimate_ms=1000)
    for number in range(JOBS):
        spec = job_specs.build_job_of(f"full{number}", (step,))
        world.submit("entry-0", spec)
        world.run(SUBMIT_INTERVAL_MS)
    started = world.oracle.started
    assert len({ref.task.job_id for ref in started}) == 1 + JOBS
    assert {ref.run for ref in started} == {1}
