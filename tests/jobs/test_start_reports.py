"""Tests of when the holder learns that a run has started.

Guards against a job that counts as waiting though it runs: the holder then
places another task of it against the policy, and tells of a wait that is over.
"""

import msgspec
import pytest

from gypsumhold.model.jobs import effects, events, runs, specs
from tests.jobs import (
    job_specs,
    lone_agent,
    test_regressions,
    test_run_limit,
)
from tests.jobs import world as worlds

SECOND_MS = 1000.0
MAX_KNOWN_MS = 100.0
"""Time for a report and for the calls before it; far below the pause between
two reports."""

AFTER_REPORT_MS = 600.0
"""Time after a regular report at which a job is submitted that the policy
delays until the next but one."""

RUN = runs.RunRef(runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1))


def count_waits(world: worlds.World) -> int:
    state = test_regressions.find_holder(world).state
    assert state.holder_state is not None
    return len(state.holder_state.run_waits.jobs)


def submit_delayed_job(world: worlds.World, after_ms: float) -> None:
    """Submits a job that the policy delays until it is starved."""
    world.run(3 * SECOND_MS)
    test_run_limit.serve_everywhere(world)
    world.run(after_ms)
    step = specs.StepSpec(3, 4000, 1000, estimate_ms=60_000, fills=True)
    world.submit("entry-0", job_specs.build_job_of("job", (step,)))


@pytest.mark.parametrize("after_ms", [0, 250, 500, 750])
def test_start_of_a_job_that_waited_is_known_at_once(after_ms: float) -> None:
    """Guards against a start that is known only with the next regular report.

    Nothing else happens that an agent would report.
    """
    world = worlds.World(3, agents=3)
    submit_delayed_job(world, after_ms)
    assert measure_time_until_known(world) <= MAX_KNOWN_MS


def measure_time_until_known(world: worlds.World) -> float:
    """Returns the time from the start of the job until its wait ends."""
    while not any(ref.task.job_id == "job" for ref in world.oracle.started):
        world.run(5)
    started_ms = world.now_ms
    while count_waits(world):
        world.run(5)
    return world.now_ms - started_ms


@pytest.mark.parametrize("after_ms", [0, 250, 500, 750])
def test_start_in_place_of_another_is_known_at_once(after_ms: float) -> None:
    """Guards against a job whose first start does not begin, as above.

    The agent of the first start is paused when it is on its way, so another
    task is placed while the first one still counts as placed.
    """
    world = worlds.World(3, agents=3)
    submit_delayed_job(world, after_ms)
    while not (placed := list_decisions(world, "place")):
        world.run(5)
    world.freeze(placed[0].outcome, 10 * SECOND_MS)
    assert measure_time_until_known(world) <= MAX_KNOWN_MS


def list_decisions(world: worlds.World, *decisions: str) -> list[effects.Log]:
    """Returns the lines about the job with these decisions."""
    return [
        line
        for _, _, line in world.log_lines
        if line.subject == "job" and line.decision in decisions
    ]


def test_job_that_runs_gets_no_task_against_the_policy() -> None:
    """Guards against a second task that is placed as the first seems to wait.

    The agent of the first one has just sent a regular report.
    """
    world = worlds.World(7, agents=3)
    submit_delayed_job(world, AFTER_REPORT_MS)
    world.run(5 * SECOND_MS)
    lines = list_decisions(world, "place", "run-ended")
    assert [line.decision for line in lines[:2]] == ["place", "run-ended"]


@pytest.mark.parametrize("by_poll", [False, True])
@pytest.mark.parametrize("reported_at_once", [False, True])
def test_start_is_reported_at_once_if_asked(
    by_poll: bool, reported_at_once: bool
) -> None:
    """Guards against a confirmation that is not reported.

    Other starts are left to the regular report, so that a fleet of short jobs
    does not send a report for each of them.
    """
    agent = lone_agent.LoneAgent()
    for sequence in (1, 2):
        directives = agent.build_directives(sequence)
        agent.answer_report(agent.report(), directives)
    command = runs.StartCommand(
        RUN,
        "p",
        runs.Checkpoint(""),
        1,
        1,
        0,
        reported_at_once=reported_at_once,
    )
    directives = agent.build_directives(3)
    agent.push(msgspec.structs.replace(directives, starts=(command,)))
    emitted = agent.deliver(build_confirmation(agent, by_poll=by_poll))
    reported = [
        row.ref
        for effect in emitted
        if isinstance(effect, effects.SendReport)
        for row in effect.report.rows
    ]
    assert reported == ([RUN] if reported_at_once else [])


def build_confirmation(
    agent: lone_agent.LoneAgent, *, by_poll: bool
) -> events.WorkerPolled | events.CommandAnswered:
    """Returns the event that tells the agent that the run has started."""
    if by_poll:
        return events.WorkerPolled(
            lone_agent.WORKER,
            agent.state.fence,
            events.CommandResult.DONE,
            agent.read_clock(),
            lone_agent.WORKER.started_ms,
            (runs.RunRow(RUN),),
            (),
            True,
        )
    return events.CommandAnswered(
        lone_agent.WORKER,
        events.CommandKind.START,
        RUN,
        agent.state.fence,
        events.CommandResult.DONE,
        agent.read_clock(),
    )
