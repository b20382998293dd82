"""Tests of starts that an agent holds back, as after it has found runs."""

from gypsumhold.decisions.jobs import report_timers
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    runs,
    specs,
)
from tests.jobs import job_specs, lone_agent
from tests.jobs import world as worlds

AGENT = "agent-0"
STOP_MS = 5000.0
"""Time that a stop takes; longer than a job may be without a run."""


def list_running_jobs(world: worlds.World) -> set[str]:
    worker = world.workers[AGENT]
    worker.advance(world.now_ms)
    return {ref.job_id for ref in worker.running}


def test_run_that_is_being_stopped_does_not_hold_up_others() -> None:
    """Guards against a restarted agent that starts nothing for seconds.

    It finds a run of a cancelled job, which takes long to stop. Without the
    command of that run the agent does not know what capacity is left.
    """
    world = worlds.World(3, agents=1)
    worker = world.workers[AGENT]
    worker.stop_ms = STOP_MS
    world.run(3000)
    step = specs.StepSpec(1, 1000, 100, estimate_ms=60_000, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("old", (step,)))
    world.run(1000)
    assert list_running_jobs(world) == {"old"}
    world.send_query("entry-0", messages.QueryKind.CANCEL, specs.JobId("old"))
    world.run(200)
    for name in world.nodes:
        world.kill(name, 300)
    # The next holder knows that the job has ended, but not where it ran.
    world.run(2200)
    assert list_running_jobs(world) == {"old"}
    world.submit("entry-0", job_specs.build_job_of("new", (step,)))
    world.run(1000)
    assert list_running_jobs(world) == {"old", "new"}


def test_held_start_is_logged_with_its_reason() -> None:
    """Guards against a run that an agent does not start, without a line."""
    agent = lone_agent.LoneAgent()
    run = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
    )
    agent.push(agent.build_directives(1, (run,), grants=False))
    agent.wait(1000)
    timer = base_events.TimerFired(report_timers.REPORT_TIMER)
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


def test_start_goes_on_once_an_answer_that_it_overtook_brings_the_lease() -> (
    None
):
    """Guards against a start that waits for a poll though there is a lease.

    The directives that request it were sent after the answer to a report, which
    has the first lease, and arrive before it.
    """
    agent = lone_agent.LoneAgent()
    run = runs.RunRef(
        runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1)
    )
    report = agent.report()
    agent.push(agent.build_directives(2, (run,), grants=False))
    emitted = agent.answer_report(report, agent.build_directives(1))
    assert [
        effect.command.ref
        for effect in emitted
        if isinstance(effect, effects.StartRun)
    ] == [run]
