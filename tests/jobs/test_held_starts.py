"""Tests of starts that an agent holds back, as after it has found runs."""

from gypsumhold.decisions.jobs import reporting
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    runs,
    specs,
)
from tests.jobs import lone_agent

AGENT = "agent-0"


def test_held_start_is_logged_with_its_reason() -> None:
    """Guards against a run that an agent does not start, without a line."""
    agent = lone_agent.LoneAgent()
    run = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
    )
    agent.push(agent.build_directives(1, (run,), grants=False))
    agent.wait(1000)
    timer = base_events.TimerFired(reporting.REPORT_TIMER)
    logs = [
        effect
        for effect in (*agent.deliver(timer), *agent.deliver(timer))
        if isinstance(effect, effects.Log) and effect.outcome == "held"
    ]
    assert [dict(log.inputs)["reason"] for log in logs] == ["no lease"]


def test_start_that_a_poll_confirms_is_logged() -> None:
    """Guards against a run that has an end and no start in the log."""
    agent = lone_agent.LoneAgent()
    run = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
    )
    agent.direct(starts=(run,))
    polled = events.WorkerPolled(
        lone_agent.WORKER,
        agent.state.fence,
        events.CommandResult.DONE,
        agent.read_clock(),
        lone_agent.WORKER.started_ms,
        (runs.RunRow(run),),
        (),
        True,
    )
    outcomes = [
        effect.outcome
        for effect in agent.deliver(polled)
        if isinstance(effect, effects.Log) and effect.decision == "start"
    ]
    agent.answer_start(run, events.CommandResult.DONE)
    assert outcomes == ["started"]
    assert agent.state.active[run].state is executor.LocalState.RUNNING
