"""Tests of the list of workers, idle times and former incarnations.

Pattern: a list, a report or an idle time is older than the run that it is taken
to end. The oracle stops the second run of the task.
"""

import datetime

import msgspec
import pytest

from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, events, executor, runs
from tests.jobs import (
    linked_agent,
    test_absent_workers,
    test_handover,
    test_kin_of_late_calls,
    worker_link,
)
from tests.jobs import world as worlds

RUN = test_kin_of_late_calls.RUN
TASK = test_kin_of_late_calls.TASK
STEP_MS = 10
IDLE_LIMIT_MS = 1000
DOWN_MS = 2000
LATE_MS = DOWN_MS + 15
"""Time after which the next incarnation takes a start, before any poll."""

UNTIL_OLD_MS = 2200
SLOW_LIST_MS = 9000
REPORT_AGE = datetime.timedelta(milliseconds=800)
MAX_REPORT_DELAY_MS = 3000
LASTING_LIMIT_MS = test_absent_workers.LASTING_LIMIT_MS


def deliver_stray_heartbeat(world: worlds.World, name: str) -> None:
    """Tells an agent of an incarnation that does not run.

    It is a former one, whose clock was ahead.
    """
    worker = world.workers[name]
    stray = msgspec.structs.replace(
        worker.describe(),
        incarnation=runs.WorkerIncarnation(
            worker.name, worker.started_ms + 60_000
        ),
    )
    world.deliver(world.nodes[name], events.HeartbeatReceived(stray))


def test_start_that_a_poll_confirms_ends_the_idle_time() -> None:
    """Guards against an idle time from before a start that a poll confirmed."""
    agent = linked_agent.LinkedAgent()
    start = agent.request(RUN)
    agent.take_start(start)
    agent.poll_now()
    agent.fail_start(start)
    assert agent.report().idle_ms < IDLE_LIMIT_MS


@pytest.mark.parametrize("seed", range(3))
def test_run_that_a_poll_confirmed_before_a_stray_heartbeat(seed: int) -> None:
    """Guards against a run at work that is released by a wrong idle time.

    The answer to its start is lost, and a poll lists it. The agent is cut off
    from the holder then, and a stray heartbeat hides the worker.
    """
    world = test_kin_of_late_calls.build_world(seed, lists_workers=True)
    world.run(60_000)
    world.scripted_faults[effects.StartRun] = ["lost"]
    test_kin_of_late_calls.submit(world)
    name = test_kin_of_late_calls.wait_for_state(
        world, executor.LocalState.STARTING
    )
    world.nodes[name].cut = True
    test_kin_of_late_calls.wait_for_state(world, executor.LocalState.RUNNING)
    deliver_stray_heartbeat(world, name)
    world.nodes[name].cut_worker = True
    world.nodes[name].cut = False
    test_kin_of_late_calls.settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_slow_list_is_older_than_a_confirmed_run(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a list from before a run was known to have begun.

    The next incarnation carries a start out after the list was read. The only
    report that confirms the run tells that the worker does not answer.
    """
    monkeypatch.setattr(worlds, "LATE_MS", (LATE_MS, LATE_MS))
    world = test_kin_of_late_calls.build_world(seed, lists_workers=True)
    world.run(3000)
    world.scripted_faults[effects.StartRun] = ["late"]
    test_kin_of_late_calls.submit(world)
    name = test_kin_of_late_calls.wait_for_state(
        world, executor.LocalState.STARTING
    )
    node = world.nodes[name]
    world.workers[name].restart(world.now_ms, DOWN_MS)
    hold_list(monkeypatch, world)
    node.cut = True
    test_kin_of_late_calls.wait_for_state(world, executor.LocalState.RUNNING)
    world.run(UNTIL_OLD_MS)
    node.cut_worker = True
    while node.state.answering:
        world.run(STEP_MS)
    node.cut = False
    test_kin_of_late_calls.settle(world)


def hold_list(monkeypatch: pytest.MonkeyPatch, world: worlds.World) -> None:
    """Lets the answer to the next list be late; it is read at once."""
    monkeypatch.setattr(worker_link, "LIST_MS", (5, 5))
    holder = world.nodes[test_handover.find_holder(world)].state.holder_state
    while not holder.worker_list.is_pending:
        world.run(1)
    monkeypatch.setattr(worker_link, "LIST_MS", (SLOW_LIST_MS, SLOW_LIST_MS))
    world.run(5)


@pytest.mark.parametrize("seed", range(3))
def test_late_report_of_a_process_whose_clock_was_ahead(seed: int) -> None:
    """Guards against a report of this term that names a former incarnation.

    The clock of an agent is set back, agent and worker restart, and a report
    of the former process arrives within the longest delay of a report.
    """
    world = test_kin_of_late_calls.build_world(seed, lists_workers=True)
    world.run(3000)
    holder = world.nodes[test_handover.find_holder(world)]
    name, *others = world.workers
    for other in others:
        world.workers[other].draining = True
    world.run(2000)
    view = holder.state.holder_state.agents[name]
    while world.read_clock() - view.last_report_at < REPORT_AGE:
        world.run(1)
    sent_ms = world.now_ms
    former = msgspec.structs.replace(
        view.report,
        sequence=view.report.sequence + 1,
        worker=msgspec.structs.replace(
            view.report.worker, state=runs.WorkerState.DRAINING
        ),
    )
    world.wall_skew_ms = -60_000
    world.kill(name, 100)
    world.workers[name].restart(world.now_ms, 100)
    while view.report.incarnation == former.incarnation:
        world.run(1)
    test_kin_of_late_calls.submit(world)
    while not any(placed.task.reported for placed in view.placed.values()):
        world.run(1)
    for other in others:
        world.workers[other].draining = False
        world.deliver_heartbeat(other)
    world.run(60)
    assert world.now_ms - sent_ms < MAX_REPORT_DELAY_MS
    arrived = events.ReportArrived(ids.TicketId("late"), former)
    world.deliver(holder, arrived)
    test_kin_of_late_calls.settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_worker_with_an_earlier_start_is_used_in_time(seed: int) -> None:
    """Guards against an agent that ignores a worker whose clock was set back.

    It waits for the leases of the former incarnation, although the later one
    answers its polls.
    """
    world = test_absent_workers.start_serving(seed)
    for worker in world.workers.values():
        worker.restart(world.now_ms, 300)
        worker.started_ms -= 2500
    assert test_absent_workers.measure_wait(world) <= LASTING_LIMIT_MS


def test_loss_is_kept_if_the_next_incarnation_has_an_earlier_start() -> None:
    """Guards against a crash without proof after a clock was set back."""
    agent = linked_agent.LinkedAgent()
    start = agent.request(RUN)
    agent.deliver(agent.take_start(start))
    agent.restart()
    agent.worker.started_ms -= 60_000
    for _ in range(300):
        agent.wait(50)
        agent.fail_poll()
        agent.hear()
        if agent.state.worker.incarnation == agent.incarnation:
            break
    agent.poll_now()
    assert agent.report().losses
