"""Tests of open starts that an agent process or a holder does not know of.

Pattern: the first start of a run is held back, a second one is confirmed. What
tells of the first one is lost with a process, and the worker's next but one
incarnation carries it out, although the task runs elsewhere or is done.
"""

import msgspec
import pytest

from gypsumhold.model.jobs import effects, executor, runs, specs
from tests.jobs import (
    job_specs,
    linked_agent,
    test_handover,
    test_kin_of_late_calls,
    test_late_calls,
)
from tests.jobs import world as worlds

RUN = test_late_calls.RUN
OTHER = test_late_calls.OTHER
LATEST_MS = test_kin_of_late_calls.LATEST_MS
RESTART_MS = test_kin_of_late_calls.RESTART_MS
TASK = test_kin_of_late_calls.TASK
DOWN_MS = 500
REPORT_MS = 500
STEP_MS = 1
SHORT_MS = 400


def confirm_second_start(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> tuple[worlds.World, str, float]:
    """Returns a world whose worker has begun the run by a second start.

    Returns:
        The world, the agent, and when the first start was sent.
    """
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, LATEST_MS
    )
    sent_ms = world.now_ms
    while TASK not in world.workers[name].running:
        world.run(STEP_MS)
    return world, name, sent_ms


def restart_and_drain(world: worlds.World, name: str) -> None:
    """Begins an incarnation to which no task is placed."""
    world.workers[name].restart(world.now_ms, RESTART_MS)
    world.workers[name].draining = True


def restart_before_late_start(
    world: worlds.World, name: str, sent_ms: float
) -> None:
    """Restarts the worker just before the first start is carried out."""
    world.run(sent_ms + LATEST_MS - 100 - world.now_ms)
    world.nodes[name].cut_worker = True
    world.workers[name].restart(world.now_ms, 0)
    test_kin_of_late_calls.settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_found_run_has_another_start(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a found run as proof that nothing else is under way.

    The process that has sent both starts is cut off and ends before it has
    reported. The next one finds the run. Then the worker restarts, twice.
    """
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, LATEST_MS
    )
    sent_ms = world.now_ms
    world.nodes[name].cut = True
    while TASK not in world.workers[name].running:
        world.run(STEP_MS)
    world.run(200)
    world.kill(name, DOWN_MS)
    world.nodes[name].cut = False
    world.run(2500)
    restart_and_drain(world, name)
    restart_before_late_start(world, name, sent_ms)


@pytest.mark.parametrize("seed", range(3))
def test_agent_and_worker_restart_with_an_open_start(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a confirmed run that is released with its incarnation.

    The agent has reported the open start. Then its machine restarts, so that
    the next process reports a later incarnation, and the worker once more.
    """
    world, name, sent_ms = confirm_second_start(monkeypatch, seed)
    world.run(REPORT_MS)
    holder = world.nodes[test_handover.find_holder(world)].state.holder_state
    (placed,) = holder.agents[name].placed.values()
    assert placed.task.late_start_reporter is not None
    world.kill(name, DOWN_MS)
    restart_and_drain(world, name)
    restart_before_late_start(world, name, sent_ms)


@pytest.mark.parametrize("seed", range(3))
def test_run_that_a_successor_finds_has_another_start(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a successor that takes a listed run for settled.

    Agent and holder, which knew of the open start, are lost together. The next
    process of the agent finds the run. Then the worker restarts, twice.
    """
    world, name, sent_ms = confirm_second_start(monkeypatch, seed)
    world.run(REPORT_MS)
    world.kill(name, DOWN_MS)
    world.kill(
        test_handover.find_holder(world), test_kin_of_late_calls.FOR_GOOD_MS
    )
    world.run(5000)
    restart_and_drain(world, name)
    restart_before_late_start(world, name, sent_ms)


@pytest.mark.parametrize("seed", range(3))
def test_end_as_done_is_not_acknowledged_by_the_next_process(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a start after an acknowledged end as done (TWICE).

    The run ends as done while its first start is open, and the agent restarts.
    The next process acknowledges the end; then the worker restarts.
    """
    world, name, sent_ms = confirm_second_start(monkeypatch, seed)
    world.run(REPORT_MS)
    worker = world.workers[name]
    worker.end_run(worker.running[TASK], runs.RunEnd.DONE)
    world.run(REPORT_MS)
    assert worker.ends
    world.kill(name, DOWN_MS)
    world.run(sent_ms + LATEST_MS - 100 - world.now_ms)
    assert worker.ends, "the end was acknowledged while a start is open"


def start_on_next_incarnation(
    agent: linked_agent.LinkedAgent,
) -> effects.StartRun:
    """Lets the next incarnation begin a run whose first start is pending.

    Returns:
        The first start, which went to the former incarnation and has neither an
        answer nor reached its timeout.
    """
    first = agent.request(RUN)
    agent.wait(100)
    agent.restart()
    agent.wait(100)
    agent.hear()
    agent.poll_now()
    directives = agent.build_directives(agent.state.sequence + 1, (RUN,))
    emitted = agent.answer_report(agent.report(), directives)
    second = linked_agent.find_start(emitted)
    agent.deliver(agent.take_start(second))
    assert agent.state.active[RUN].state is executor.LocalState.RUNNING
    return first


def test_failed_run_beside_a_pending_start_runs_nowhere_else() -> None:
    """Guards against a task that is placed elsewhere while a start is pending.

    The holder defers only the ends of runs that the report names. A third
    incarnation may carry the start out.
    """
    agent = linked_agent.LinkedAgent()
    start_on_next_incarnation(agent)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.FAILED)
    agent.poll_now()
    report = agent.report()
    assert [row.ref for row in report.ends] == [RUN]
    assert [late.ref for late in report.late_starts] == [RUN]


def acknowledge_last_end(
    agent: linked_agent.LinkedAgent,
) -> list[effects.PollWorker]:
    """Lets the holder acknowledge all ends; returns the polls after that."""
    directives = msgspec.structs.replace(
        agent.build_directives(agent.state.sequence + 1),
        acknowledged=runs.EndNumber(agent.worker.last_end),
    )
    emitted = [*agent.answer_report(agent.report(), directives)]
    emitted += agent.poll_now()
    return [
        effect for effect in emitted if isinstance(effect, effects.PollWorker)
    ]


def test_end_as_done_beside_a_pending_start_is_not_acknowledged() -> None:
    """Guards against a start after an acknowledged end as done (TWICE).

    The worker may restart and carry out the pending start, and nothing then
    tells the third incarnation that the task is done.
    """
    agent = linked_agent.LinkedAgent()
    start_on_next_incarnation(agent)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.poll_now()
    for poll in acknowledge_last_end(agent):
        assert poll.acknowledged < agent.worker.last_end


def test_late_acknowledgement_spares_the_end_of_an_open_start() -> None:
    """Guards against an end as done that is discarded unseen.

    A poll with an acknowledgement is held back while a start is open. The next
    incarnation takes the start, whose run ends, and then the poll: its fence is
    higher, and the numbers of ends have begun anew.
    """
    agent = linked_agent.LinkedAgent()
    agent.deliver(agent.take_start(agent.request(OTHER)))
    agent.worker.end_run(agent.worker.running[OTHER.task], runs.RunEnd.DONE)
    agent.poll_now()
    first = agent.request(RUN)
    agent.fail_start(first)
    second = linked_agent.find_start(agent.poll_now())
    agent.deliver(agent.take_start(second))
    assert [late.ref for late in agent.report().late_starts] == [RUN]
    polls = acknowledge_last_end(agent)
    agent.restart()
    agent.take_start(first)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    for poll in polls:
        agent.take_poll(poll)
    assert [end.ref for end in agent.worker.ends] == [RUN]


def test_found_run_with_a_late_start_keeps_its_capacity() -> None:
    """Guards against two late starts that overload an incarnation (LIMIT).

    A former process began the run, and the holder tells that another start of
    it may be late. The request comes with the directives on found runs.
    """
    former = linked_agent.LinkedAgent()
    (first,) = test_kin_of_late_calls.request_all_of_worker(former, RUN)
    agent = linked_agent.LinkedAgent(age_ms=0)
    agent.take_start(first)
    agent.poll_now()
    directives = msgspec.structs.replace(
        agent.build_directives(agent.state.sequence + 1),
        late_starts=(RUN,),
        found=(first.command,),
    )
    agent.answer_report(agent.report(), directives)
    assert [late.ref for late in agent.report().late_starts] == [RUN]
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.FAILED)
    agent.poll_now()
    later = test_kin_of_late_calls.request_all_of_worker(agent, OTHER)
    agent.restart()
    for start in (first, *later):
        agent.take_start(start)
    used = agent.worker.sum_requests()
    assert used.fits_in(agent.worker.read_capacity())


@pytest.mark.parametrize("seed", range(3))
def test_holder_knows_the_capacity_that_open_starts_hold(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against tasks that are excluded from workers with room.

    A task was done while its first start is open, so that its agent holds the
    capacity and the holder does not. The agent refuses the task that is placed
    there instead, which the holder then keeps off this worker.
    """
    world, name, _ = confirm_second_start(monkeypatch, seed)
    world.run(REPORT_MS)
    for other, worker in world.workers.items():
        worker.draining = other != name
    worker = world.workers[name]
    worker.end_run(worker.running[TASK], runs.RunEnd.DONE)
    world.run(1500)
    step = specs.StepSpec(
        1, test_kin_of_late_calls.FULL_WORKER, 100, estimate_ms=SHORT_MS
    )
    world.submit("entry-0", job_specs.build_job_of("k", (step,)))
    world.run(5000)
    refusals = [
        line.inputs
        for _, _, line in world.log_lines
        if line.decision == "run-refused"
    ]
    assert not refusals
