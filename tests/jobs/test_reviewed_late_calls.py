"""Tests of orders of calls that the fix of issue 41 leaves open, or opens.

Pattern: an agent knows its own open starts only, raises its fence with nearly
each start, and lets the holder wait for every start that is not confirmed.
"""

import dataclasses
from unittest import mock

import msgspec
import pytest
from returns import result as results

from gypsumhold.adapters import http_client
from gypsumhold.model.jobs import effects, events, executor, runs, specs
from gypsumhold.platform import worker as platform_worker
from tests.jobs import (
    job_specs,
    linked_agent,
    test_kin_of_late_calls,
    test_late_calls,
)
from tests.jobs import world as worlds

JOB = test_kin_of_late_calls.JOB
RUN = test_late_calls.RUN
LIMIT_MS = test_late_calls.LIMIT_MS
FOR_GOOD_MS = test_kin_of_late_calls.FOR_GOOD_MS

RECOVERY_MS = 12_000
"""Time within which work that was lost has to go on elsewhere."""

LONGEST_LEASE_MS = 10_500
"""Longest lease on a slow clock, and the margin for clocks."""

FORMER_FENCE_LEAD = 500
"""Least amount by which the fences of a process exceed those of the former."""

DOWN_MS = 300
UNTIL_REPORTED_MS = 1200
MAX_STARTS = 40
AHEAD_MS = 50_000
SUBMITTED = 60
SUBMIT_INTERVAL_MS = 200


# Starts of a former process of the agent.


def test_acknowledgement_reaches_no_end_of_a_former_start() -> None:
    """Guards against a done run that is started again.

    The agent has restarted, and knows no start of its former process. The
    worker's next incarnation takes that, and then an acknowledgement for an end
    of the former incarnation.
    """
    sent = linked_agent.LinkedAgent().request(RUN)
    start = dataclasses.replace(sent, fence=sent.fence - FORMER_FENCE_LEAD)
    agent = linked_agent.LinkedAgent(age_ms=0)
    test_late_calls.run_and_acknowledge(agent)
    poll = linked_agent.find_poll(agent.poll_now())
    agent.restart()
    agent.take_start(start)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.take_poll(poll)
    agent.hear()
    agent.poll_now()
    assert [end.ref for end in agent.state.ends.values()] == [RUN]


@pytest.mark.parametrize("seed", range(3))
def test_confirmed_start_of_which_a_former_process_sent_another(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a confirmed start as proof for the holder.

    The agent is killed while a start is under way. Its next process sends the
    start again, reports the run and is killed for good. The holder releases
    the run as `silent`, and the worker's next incarnation takes the first
    start.
    """
    world, name = test_kin_of_late_calls.send_late_start(
        monkeypatch, seed, test_kin_of_late_calls.LATEST_MS
    )
    world.kill(name, DOWN_MS)
    world.run(DOWN_MS)
    running = executor.LocalState.RUNNING
    assert test_kin_of_late_calls.wait_for_state(world, running) == name
    world.run(UNTIL_REPORTED_MS)
    world.kill(name, FOR_GOOD_MS)
    world.workers[name].restart(world.now_ms, 0)
    test_kin_of_late_calls.settle(world)


def test_run_that_was_found_ends_with_its_lease() -> None:
    """Guards against tasks that wait for starts that were carried out.

    The first lists after a restart of the agent have the run, so its start is
    not under way any more. The holder names no others. Then the worker is cut
    off.
    """
    start = linked_agent.LinkedAgent(0.98).request(RUN)
    agent = linked_agent.LinkedAgent(0.98, age_ms=0)
    agent.take_start(start)
    agent.poll_now()
    agent.answer_report(
        agent.report(), agent.build_directives(agent.state.sequence + 1)
    )
    assert RUN in agent.state.active
    assert agent.measure_cut(RUN, LIMIT_MS) <= LONGEST_LEASE_MS + 500


# What proves which incarnation it was.


def test_start_answered_without_a_clock_is_open() -> None:
    """Guards against trust in an answer that tells of no incarnation.

    The next incarnation has taken the start, and the answer has no body. The
    lease of that incarnation is not known then.
    """
    agent = linked_agent.LinkedAgent(0.98)
    start = agent.request(RUN)
    agent.restart()
    answer = dataclasses.replace(agent.take_start(start), clock=None)
    agent.deliver(answer)
    agent.measure_cut(RUN, LIMIT_MS)


def test_late_departure_while_the_next_incarnation_drains() -> None:
    """Guards against a departure of a former incarnation taken for proof.

    Both incarnations drain. The notice of the first arrives when the second is
    cut off, and runs on.
    """
    agent = linked_agent.LinkedAgent()
    agent.restart()
    agent.hear()
    agent.poll_now()
    agent.deliver(agent.take_start(agent.request(RUN)))
    assert agent.state.worker is not None
    draining = msgspec.structs.replace(
        agent.state.worker,
        state=runs.WorkerState.DRAINING,
        sequence=agent.state.worker.sequence + 1,
    )
    agent.deliver(events.HeartbeatReceived(draining))
    agent.deliver(events.WorkerLeft(agent.worker.name))
    agent.measure_cut(RUN, LIMIT_MS)


def test_lease_by_an_odd_clock_in_a_list_counts() -> None:
    """Guards against a run that outlives the lease that the agent counts.

    One answer to a poll has a clock that is 50 s ahead. The lease that follows
    from it is cut to the longest one, and its call gets no answer.
    """
    agent = linked_agent.LinkedAgent(0.98)
    agent.deliver(agent.take_start(agent.request(RUN)))
    agent.answer_report(
        agent.report(), agent.build_directives(agent.state.sequence + 1)
    )
    answer = agent.take_poll(agent.build_poll())
    assert answer.clock is not None
    odd = dataclasses.replace(
        answer.clock, clock_ms=answer.clock.clock_ms + AHEAD_MS
    )
    emitted = agent.deliver(dataclasses.replace(answer, clock=odd))
    agent.take_poll(linked_agent.find_poll(emitted))
    agent.fail_poll()
    agent.measure_cut(RUN, LIMIT_MS)


# Delays on the usual path.


def build_run(index: int) -> runs.RunRef:
    task = runs.TaskRef(specs.JobId("others"), 0, 0, index)
    return runs.RunRef(task, runs.RunNumber(1))


def test_acknowledgement_goes_out_between_starts_that_overlap() -> None:
    """Guards against ends that the worker lists as long as starts go on.

    Each start is answered only after the next one was sent, or held back, so
    that one is always without an answer as long as starts go out.
    """
    agent = linked_agent.LinkedAgent()
    test_late_calls.run_and_acknowledge(agent)
    pending = request_starts(agent, build_run(0))
    for index in range(1, MAX_STARTS):
        agent.wait(100)
        later = request_starts(agent, build_run(index))
        for start in pending:
            agent.deliver(agent.take_start(start))
        pending = later
        if linked_agent.find_poll(agent.poll_now()).acknowledged:
            return
    raise AssertionError("no poll acknowledges the end")


def request_starts(
    agent: linked_agent.LinkedAgent, ref: runs.RunRef
) -> list[effects.StartRun]:
    """Lets the holder request a run; returns the starts that go out."""
    directives = agent.build_directives(agent.state.sequence + 1, (ref,))
    emitted = agent.answer_report(agent.report(), directives)
    return [e for e in emitted if isinstance(e, effects.StartRun)]


def test_stop_that_a_start_has_overtaken_is_sent_again() -> None:
    """Guards against stops that wait for the next report.

    After an acknowledgement, a start has a higher fence than the stop of the
    same directives, so that the worker refuses the stop if it is the later.
    """
    agent = linked_agent.LinkedAgent()
    agent.deliver(agent.take_start(agent.request(RUN)))
    test_late_calls.run_and_acknowledge(agent)
    assert linked_agent.find_poll(agent.poll_now()).acknowledged
    emitted = agent.push(
        agent.build_directives(
            agent.state.sequence + 1, (build_run(0),), (RUN,)
        )
    )
    (stop,) = (
        effect for effect in emitted if isinstance(effect, effects.StopRun)
    )
    agent.deliver(agent.take_start(linked_agent.find_start(emitted)))
    result = agent.worker.stop(stop)
    if result is events.CommandResult.DONE:
        return
    again = agent.deliver(
        events.CommandAnswered(
            stop.worker.incarnation,
            events.CommandKind.STOP,
            RUN,
            stop.fence,
            result,
            agent.read_clock(),
        )
    )
    assert any(isinstance(effect, effects.StopRun) for effect in again)


class CountingWorld(worlds.World):
    """A world that counts the polls that a worker refuses for their fence."""

    refused_polls = 0

    def _deliver_to_worker(self, node, effect, sent_ms=None):
        event = super()._deliver_to_worker(node, effect, sent_ms)
        if isinstance(event, events.WorkerPolled):
            is_refused = event.result is events.CommandResult.FENCED
            self.refused_polls += is_refused
        return event


@pytest.mark.parametrize("seed", range(3))
def test_no_poll_is_refused_without_a_disturbance(seed: int) -> None:
    """Guards against polls that starts of the same agent make void.

    A poll is built with its fence and sent up to 100 ms later. A start that
    goes out in between raises the fence after each acknowledgement.
    """
    world = CountingWorld(seed)
    world.run(3000)
    for number in range(SUBMITTED):
        step = specs.StepSpec(2, 1000, 100, estimate_ms=500)
        spec = job_specs.build_job_of(f"j{number}", (step,))
        world.after(
            number * SUBMIT_INTERVAL_MS,
            lambda spec=spec: world.submit("entry-0", spec),
        )
    world.run(SUBMITTED * SUBMIT_INTERVAL_MS + 5000)
    assert world.oracle.started
    assert world.refused_polls == 0


# Machines that are lost.


def test_start_whose_connection_was_refused_is_not_open() -> None:
    """Guards against tasks that wait for starts that were never sent.

    Nobody listens where the worker was, which is lost for good.
    """
    agent = linked_agent.LinkedAgent()
    start = agent.request(RUN)
    clock = mock.Mock()
    clock.read_monotonic.return_value = agent.now
    client = platform_worker.PlatformWorker(clock)
    http = mock.Mock()
    http.call.return_value = results.Failure(http_client.CallFailure.NOT_SENT)
    with mock.patch.object(client, "_get_client", return_value=http):
        agent.deliver(client.command(start))
    local_run = agent.state.active.get(RUN)
    assert local_run is None or not local_run.is_unanswered()


def list_running(world: worlds.World, without: str) -> set[runs.TaskRef]:
    return {
        task
        for name, worker in world.workers.items()
        if name != without
        for task in worker.running
    }


@pytest.mark.parametrize("after_ms", [0, 300])
@pytest.mark.parametrize("seed", range(3))
def test_task_of_a_lost_machine_runs_again_in_time(
    seed: int, after_ms: float
) -> None:
    """Guards against tasks that last and have no run (LOST).

    An agent and its worker are lost for good soon after the tasks have started,
    before the next report has listed them.
    """
    world = worlds.World(seed)
    world.run(3000)
    step = specs.StepSpec(6, 1000, 1000, long_running=True)
    world.submit("entry-0", job_specs.build_job_of(JOB, (step,)))
    running = executor.LocalState.RUNNING
    name = test_kin_of_late_calls.wait_for_state(world, running)
    world.run(after_ms)
    lost = set(world.workers[name].running)
    assert lost
    world.kill(name, FOR_GOOD_MS)
    world.workers[name].restart(world.now_ms, FOR_GOOD_MS)
    world.run(RECOVERY_MS)
    assert lost <= list_running(world, without=name)
