"""Tests of runs whose end a worker does not list yet.

A worker lists so many ends at most. The others are listed once the first ones
are acknowledged, which may take long: the store is down, or the holder or the
agent is lost. Meanwhile a run that no list has may have ended as done, and must
not be started again.
"""

import collections

import pytest

from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    runs,
    specs,
)
from tests.jobs import (
    job_specs,
    lone_agent,
    test_handover,
    test_odd_numbers,
)
from tests.jobs import world as worlds

JOB = specs.JobId("many")
TASKS = 60
LISTED_ENDS = 5
DOWN_MS = 4200
SETTLE_MS = 20_000
MAX_CALL_DELAY_MS = 12_000

RUN = runs.RunRef(runs.TaskRef(JOB, 0, 0, 0), runs.RunNumber(1))


def start_world(seed: int, agents: int = 2) -> worlds.World:
    """Returns a world in which the tasks of a job are about to run."""
    world = worlds.World(seed, entries=3, agents=agents)
    for worker in world.workers.values():
        worker.max_listed_ends = LISTED_ENDS
    world.run(3000)
    step = specs.StepSpec(TASKS, 100, 100, estimate_ms=1000)
    world.submit("entry-0", job_specs.build_job_of(JOB, (step,)))
    return world


def check_each_task_ran_once(world: worlds.World) -> None:
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
    starts = collections.Counter(ref.task for ref in world.oracle.started)
    assert len(starts) == TASKS
    assert {task for task, count in starts.items() if count > 1} == set()


@pytest.mark.parametrize("seed", range(6))
def test_ends_wait_for_the_store(seed: int) -> None:
    """Guards against done runs that start again after an outage."""
    world = start_world(seed)
    world.run(700)
    world.store_down = True
    world.after(DOWN_MS, lambda: setattr(world, "store_down", False))
    world.run(SETTLE_MS)
    check_each_task_ran_once(world)


@pytest.mark.parametrize("way", ["killed", "frozen"])
@pytest.mark.parametrize("seed", range(6))
def test_ends_wait_for_the_holder(seed: int, way: str) -> None:
    """Guards against done runs that start again after a change of holder."""
    world = start_world(seed)
    world.run(700)
    holder = test_handover.find_holder(world)
    if way == "killed":
        world.kill(holder, 3000)
    else:
        world.freeze(holder, 5000)
    world.run(SETTLE_MS)
    check_each_task_ran_once(world)


@pytest.mark.parametrize("down_ms", [300, 1500])
@pytest.mark.parametrize("seed", range(6))
def test_ends_wait_for_an_agent(seed: int, down_ms: float) -> None:
    """Guards against done runs that an agent without memory starts again."""
    world = start_world(seed)
    world.run(700)
    world.store_down = True
    world.after(DOWN_MS, lambda: setattr(world, "store_down", False))
    for name in world.workers:
        world.kill(name, down_ms)
        world.after(1800, lambda name=name: world.kill(name, down_ms))
    world.run(SETTLE_MS)
    check_each_task_ran_once(world)


@pytest.mark.parametrize("fault", ["lost", "late"])
@pytest.mark.parametrize("seed", range(4))
def test_starts_in_doubt_wait_for_all_ends(seed: int, fault: str) -> None:
    """Guards against a start without answer that counts as never carried out.

    Late starts are blocked by a fence, so that each task runs once even if its
    first run has to be refused. That takes the longest call delay.
    """
    world = start_world(seed)
    world.scripted_faults[effects.StartRun] = [fault, "done"] * TASKS
    world.run(700)
    world.store_down = True
    world.after(DOWN_MS, lambda: setattr(world, "store_down", False))
    world.run(SETTLE_MS + MAX_CALL_DELAY_MS)
    check_each_task_ran_once(world)


# One agent and the answers of its worker.


def build_end(number: int, ref: runs.RunRef) -> runs.EndRow:
    return runs.EndRow(runs.EndNumber(number), ref, runs.RunEnd.DONE)


STALE = events.CommandResult.STALE
UNANSWERED = events.CommandResult.UNANSWERED


@pytest.mark.parametrize("result", [STALE, UNANSWERED])
def test_incomplete_list_decides_no_start_in_doubt(
    result: events.CommandResult,
) -> None:
    """Guards against a done run that is refused, and placed again."""
    agent = lone_agent.LoneAgent()
    agent.direct(starts=(RUN,))
    agent.answer_start(RUN, result)
    agent.poll(is_complete=False)
    assert agent.state.refused == {}
    agent.poll((build_end(1, RUN),))
    assert agent.state.refused == {}
    assert [end.ref for end in agent.state.ends.values()] == [RUN]


@pytest.mark.parametrize(
    ("result", "refusal", "starts"),
    [
        (STALE, runs.Refusal.STALE, 1),
        (
            UNANSWERED,
            runs.Refusal.UNANSWERED,
            1 + executor.MAX_REPEATED_STARTS,
        ),
    ],
)
def test_complete_list_decides_a_start_in_doubt(
    result: events.CommandResult, refusal: runs.Refusal, starts: int
) -> None:
    """Guards against a task that waits for a run that never comes.

    A start without an answer is sent again a few times, and refused once none
    of them can be carried out any more.
    """
    agent = lone_agent.LoneAgent()
    agent.outlive_former_starts()
    agent.direct(starts=(RUN,))
    for _ in range(starts):
        assert agent.state.refused == {}
        assert agent.state.active[RUN].state is executor.LocalState.STARTING
        agent.answer_start(RUN, result)
        agent.poll()
    if result is UNANSWERED:
        assert agent.state.refused == {}
        agent.wait(MAX_CALL_DELAY_MS)
        agent.poll()
    assert agent.state.refused == {RUN: refusal}
    assert RUN not in agent.state.active


def test_earlier_poll_decides_no_start_in_doubt() -> None:
    """Guards against a list that is older than the refusal of a start."""
    agent = lone_agent.LoneAgent()
    agent.direct(starts=(RUN,))
    sent_at = agent.now
    agent.answer_start(RUN, STALE)
    agent.deliver(
        events.WorkerPolled(
            lone_agent.WORKER,
            agent.state.fence,
            events.CommandResult.DONE,
            events.WorkerClock(5, sent_at, agent.now),
            lone_agent.WORKER.started_ms,
        )
    )
    assert agent.state.refused == {}


@pytest.mark.parametrize("way", ["starts", "withdrawn"])
def test_unknown_run_is_not_judged_by_an_incomplete_list(way: str) -> None:
    """Guards against an agent that takes its lack of memory for proof."""
    agent = lone_agent.LoneAgent()
    agent.outlive_former_starts()
    agent.poll(is_complete=False)
    agent.direct(**{way: (RUN,)})
    assert agent.state.active == {}
    assert agent.state.refused == {}
    agent.poll()
    agent.direct(**{way: (RUN,)})
    assert (RUN in agent.state.active) is (way == "starts")
    assert (RUN in agent.state.refused) is (way == "withdrawn")


def test_ends_are_reported_in_order() -> None:
    """Guards against ends that are acknowledged before they are handled."""
    agent = lone_agent.LoneAgent()
    other = runs.RunRef(runs.TaskRef(JOB, 0, 0, 1), runs.RunNumber(1))
    agent.poll((build_end(2, other), build_end(1, RUN)))
    assert [row.number for row in agent.report().ends] == [1, 2]


@pytest.mark.parametrize(("listed", "is_complete"), [(499, True), (500, False)])
def test_list_at_the_limit_is_incomplete(
    listed: int, is_complete: bool
) -> None:
    """Guards against a limit of the platform that the agent does not know."""
    ended = [
        [number, f"5c0e7a21d94b36f8.0.0.{number}", 1, "done", ""]
        for number in range(1, listed + 1)
    ]
    polled = test_odd_numbers.build_poll([], ended)
    assert len(polled.ends) == listed
    assert polled.is_complete is is_complete
