"""Tests of runs whose end a worker does not list yet.

A worker lists so many ends at most. The others are listed once the first ones
are acknowledged, which may take long: the store is down, or the holder or the
agent is lost. Meanwhile a run that no list has may have ended as done, and must
not be started again.
"""

import collections
import datetime

import pytest

from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    runs,
    specs,
)
from tests.jobs import job_specs, test_handover, test_odd_numbers
from tests.jobs import world as worlds

JOB = specs.JobId("many")
TASKS = 60
LISTED_ENDS = 5
DOWN_MS = 4200
SETTLE_MS = 20_000

NOW = datetime.timedelta(seconds=10)
RUN = runs.RunRef(runs.TaskRef(JOB, 0, 0, 0), runs.RunNumber(1))
WORKER = runs.WorkerIncarnation("i-1", 1_000_000)


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
    first run has to be refused.
    """
    world = start_world(seed)
    world.scripted_faults[effects.StartRun] = [fault, "done"] * TASKS
    world.run(700)
    world.store_down = True
    world.after(DOWN_MS, lambda: setattr(world, "store_down", False))
    world.run(SETTLE_MS)
    check_each_task_ran_once(world)


# One agent and the answers of its worker.


class Agent:
    """An executor with a worker that has answered its first poll."""

    def __init__(self) -> None:
        self.state = executor.ExecutorState(
            executor.ExecutorOptions(
                ids.InstanceId("agent"),
                ids.Incarnation(1000),
                messages.Endpoint("10.0.0.1", 1),
            ),
            policy_sets.build_executor_policies(),
        )
        self.now = NOW
        self.deliver(events.ExecutorStarted())
        self.deliver(
            events.HeartbeatReceived(
                runs.Worker(
                    WORKER,
                    specs.PoolName("pool"),
                    "10.0.0.2:1",
                    ids.DataCentre("zone"),
                    runs.WorkerState.READY,
                    8000,
                    8000,
                    0,
                )
            )
        )
        self.poll()

    def deliver(self, event: events.Event) -> tuple[object, ...]:
        self.now += datetime.timedelta(milliseconds=1)
        return tuple(reducer.reduce(self.state, event, self.now))

    def read_clock(self) -> events.WorkerClock:
        elapsed_ms = int((self.now - NOW) / datetime.timedelta(milliseconds=1))
        return events.WorkerClock(elapsed_ms, self.now, self.now)

    def poll(
        self, ends: tuple[runs.EndRow, ...] = (), *, is_complete: bool = True
    ) -> None:
        """Answers a poll that was sent just now."""
        self.now += datetime.timedelta(milliseconds=1)
        self.deliver(
            events.WorkerPolled(
                WORKER,
                self.state.fence,
                events.CommandResult.DONE,
                self.read_clock(),
                WORKER.started_ms,
                (),
                ends,
                is_complete,
            )
        )

    def direct(
        self,
        *,
        starts: tuple[runs.RunRef, ...] = (),
        withdrawn: tuple[runs.RunRef, ...] = (),
    ) -> None:
        """Delivers directives that answer a report sent just now."""
        directives = messages.Directives(
            ids.Epoch(1),
            "entry",
            messages.Endpoint("10.0.0.3", 1),
            ids.Incarnation(1000),
            self.state.sequence + 1,
            WORKER,
            7000,
            starts=tuple(
                runs.StartCommand(ref, "p", runs.Checkpoint(""), 1, 1, 0)
                for ref in starts
            ),
            withdrawn=withdrawn,
        )
        address = messages.Endpoint("10.0.0.3", 1).build_address()
        self.deliver(
            events.ReportAnswered(
                address, self.state.report_number, self.now, directives
            )
        )

    def answer_start(self, result: events.CommandResult) -> None:
        self.deliver(
            events.CommandAnswered(
                WORKER,
                events.CommandKind.START,
                RUN,
                self.state.fence,
                result,
                self.read_clock(),
            )
        )


def build_end(number: int, ref: runs.RunRef) -> runs.EndRow:
    return runs.EndRow(runs.EndNumber(number), ref, runs.RunEnd.DONE)


STALE = events.CommandResult.STALE
UNANSWERED = events.CommandResult.UNANSWERED


@pytest.mark.parametrize("result", [STALE, UNANSWERED])
def test_incomplete_list_decides_no_start_in_doubt(
    result: events.CommandResult,
) -> None:
    """Guards against a done run that is refused, and placed again."""
    agent = Agent()
    agent.direct(starts=(RUN,))
    agent.answer_start(result)
    agent.poll(is_complete=False)
    assert agent.state.refused == {}
    agent.poll((build_end(1, RUN),))
    assert agent.state.refused == {}
    assert [end.ref for end in agent.state.ends.values()] == [RUN]


@pytest.mark.parametrize(
    ("result", "refusal"),
    [(STALE, runs.Refusal.STALE), (UNANSWERED, runs.Refusal.UNANSWERED)],
)
def test_complete_list_decides_a_start_in_doubt(
    result: events.CommandResult, refusal: runs.Refusal
) -> None:
    """Guards against a task that waits for a run that never comes."""
    agent = Agent()
    agent.direct(starts=(RUN,))
    agent.answer_start(result)
    agent.poll()
    assert agent.state.refused == {RUN: refusal}


def test_earlier_poll_decides_no_start_in_doubt() -> None:
    """Guards against a list that is older than the refusal of a start."""
    agent = Agent()
    agent.direct(starts=(RUN,))
    sent_at = agent.now
    agent.answer_start(STALE)
    agent.deliver(
        events.WorkerPolled(
            WORKER,
            agent.state.fence,
            events.CommandResult.DONE,
            events.WorkerClock(5, sent_at, agent.now),
            WORKER.started_ms,
        )
    )
    assert agent.state.refused == {}


@pytest.mark.parametrize("way", ["starts", "withdrawn"])
def test_unknown_run_is_not_judged_by_an_incomplete_list(way: str) -> None:
    """Guards against an agent that takes its lack of memory for proof."""
    agent = Agent()
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
    agent = Agent()
    other = runs.RunRef(runs.TaskRef(JOB, 0, 0, 1), runs.RunNumber(1))
    agent.state.report_pending = False
    agent.state.ends[runs.EndNumber(2)] = build_end(2, other)
    agent.state.ends[runs.EndNumber(1)] = build_end(1, RUN)
    address = messages.Endpoint("10.0.0.3", 1).build_address()
    agent.state.holder = address
    agent.state.report_due = True
    emitted = agent.deliver(events.HeartbeatReceived(agent.state.worker))
    reports = [e.report for e in emitted if isinstance(e, effects.SendReport)]
    assert [row.number for row in reports[0].ends] == [1, 2]


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
