"""Tests of start commands that reach an agent after their run was released.

Pattern: an agent pauses, or is slow, while a start command is under way to it.
The holder hears nothing for a whole grant and places the task elsewhere. When
the agent goes on, the command and the answer to its next report arrive in
either order; the new grant is not for the run that was released.
"""

from unittest import mock

import pytest
from returns import result

from gypsumhold.adapters import http_client
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, events, messages, runs, specs
from gypsumhold.platform import worker
from tests.jobs import job_specs, lone_agent, test_world
from tests.jobs import world as worlds

RUN = runs.RunRef(runs.TaskRef(specs.JobId("j"), 0, 0, 0), runs.RunNumber(1))
PAUSE_MS = 8000


def list_started(emitted: base_effects.Effects) -> list[runs.RunRef]:
    return [
        effect.command.ref
        for effect in emitted
        if isinstance(effect, effects.StartRun)
    ]


def pause_with_command(*, listed: bool) -> lone_agent.LoneAgent:
    """Returns an agent that got a command after its grant had expired.

    Args:
        listed: Whether its next report lists the run. Otherwise that report
            was built before the command arrived.
    """
    agent = lone_agent.LoneAgent()
    agent.direct()
    agent.wait(PAUSE_MS)
    command = agent.build_directives(2, starts=(RUN,), grants=False)
    if not listed:
        agent.report()
    assert list_started(agent.push(command)) == []
    if listed:
        agent.report()
    return agent


def answer(
    agent: lone_agent.LoneAgent,
    starts: tuple[runs.RunRef, ...] = (),
    stops: tuple[runs.RunRef, ...] = (),
) -> list[runs.RunRef]:
    """Answers the latest report; returns the runs that are started."""
    directives = agent.build_directives(3, starts, stops)
    report = messages.Report(
        agent.state.options.instance,
        agent.state.options.incarnation,
        agent.state.report_number,
        agent.state.options.endpoint,
        agent.state.worker,
        directives.term,
    )
    return list_started(agent.answer_report(report, directives))


def test_released_run_does_not_start_under_a_new_grant() -> None:
    """Guards against a task that runs here after it was done elsewhere."""
    agent = pause_with_command(listed=False)
    assert answer(agent) == []
    assert agent.state.active == {}
    assert list_started(agent.deliver_heartbeat()) == []


def test_released_run_does_not_start_if_a_push_overtakes_the_answer() -> None:
    """Guards against a grant of an outdated answer that names no run."""
    agent = pause_with_command(listed=False)
    agent.push(agent.build_directives(4, grants=False))
    assert answer(agent) == []
    assert list_started(agent.deliver_heartbeat()) == []


def test_command_of_a_former_term_does_not_start_under_a_new_one() -> None:
    """Guards against sequences that are compared between two terms."""
    agent = pause_with_command(listed=False)
    agent.state.term = agent.state.confirmed_term = ids.Epoch(0)
    directives = agent.build_directives(1)
    report = agent.report()
    agent.state.active[RUN].first_report = None
    assert list_started(agent.answer_report(report, directives)) == []


def test_run_that_is_still_placed_starts_under_a_new_grant() -> None:
    """Guards against a run that is dropped although the holder wants it."""
    agent = pause_with_command(listed=False)
    assert answer(agent, starts=(RUN,)) == [RUN]


def test_listed_run_starts_unless_it_is_stopped() -> None:
    """Guards against runs that are dropped because a report listed them."""
    agent = pause_with_command(listed=True)
    assert answer(agent) == [RUN]
    agent = pause_with_command(listed=True)
    assert answer(agent, stops=(RUN,)) == []


def test_answer_to_an_earlier_report_revokes_no_later_command() -> None:
    """Guards against a command that an outdated answer drops."""
    agent = lone_agent.LoneAgent()
    agent.direct()
    earlier = agent.report()
    agent.push(agent.build_directives(9, starts=(RUN,), grants=False))
    agent.answer_report(earlier, agent.build_directives(8))
    assert RUN in agent.state.active


@pytest.mark.parametrize(("late_ms", "calls"), [(-1, 1), (0, 0), (8000, 0)])
def test_start_that_waited_too_long_is_not_sent(
    late_ms: int, calls: int
) -> None:
    """Guards against a start on a later incarnation of the worker.

    Its clock starts anew, so that it takes the lease for one that lasts.
    """
    agent = lone_agent.LoneAgent()
    answered = agent.report()
    directives = agent.build_directives(1, starts=(RUN,))
    emitted = agent.answer_report(answered, directives)
    start = next(e for e in emitted if isinstance(e, effects.StartRun))
    clock = mock.Mock()
    clock.read_monotonic.return_value = (
        start.valid_until + late_ms * lone_agent.MILLISECOND
    )
    client = worker.PlatformWorker(clock)
    http = mock.Mock()
    http.call.return_value = result.Success(
        http_client.Reply(200, b'{"clockMs": 5}')
    )
    with mock.patch.object(client, "_get_client", return_value=http):
        answered_start = client.command(start)
    assert http.call.call_count == calls
    is_late = answered_start.result is events.CommandResult.LATE
    assert is_late is not bool(calls)


@pytest.mark.parametrize("pause_ms", [7600, 9000, 12_000])
@pytest.mark.parametrize("seed", range(10))
def test_agents_that_pause_start_no_run_that_was_released(
    seed: int, pause_ms: float
) -> None:
    """Guards against a task that is done and starts again.

    The oracle checks each start.
    """
    world = worlds.World(seed, agents=5)
    world.delivers_to_frozen = True
    world.run(3000)
    for number in range(3):
        world.after(
            pause_ms * number * 1.2,
            lambda number=number: world.freeze(f"agent-{number}", pause_ms),
        )
    for number in range(60):
        spec = job_specs.build_job(f"j{number}", (3,))
        world.after(
            500 * number, lambda spec=spec: world.submit("entry-0", spec)
        )
    world.run(30_000 + 3 * pause_ms)
    world.run(test_world.QUIET_MS)
    test_world.check_all_ended(world)
