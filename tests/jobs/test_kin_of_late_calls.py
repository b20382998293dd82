"""Tests of what holder and agent believe of a worker that has restarted.

A call is carried out up to 12 s after it was sent, by whichever incarnation of
the worker has its name then, and a lease of a former clock lasts for the
longest time that the worker allows. Fences and highest runs end with an
incarnation. Each test plays one order of calls after which a run goes on, or
begins, although the holder has placed its task elsewhere.
"""

import msgspec
import pytest

from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    records,
    runs,
    specs,
)
from tests.jobs import (
    job_specs,
    linked_agent,
    lone_agent,
    test_handover,
    test_late_calls,
    test_restarts,
    worker_fake,
)
from tests.jobs import world as worlds

JOB = specs.JobId("j")
TASK = runs.TaskRef(JOB, 0, 0, 0)
RUN = test_late_calls.RUN
OTHER = test_late_calls.OTHER
LIMIT_MS = test_late_calls.LIMIT_MS

LATE_MS = 9000
"""Time after which a late call is carried out; the grant is 7 s."""

LATEST_MS = test_late_calls.MAX_CALL_DELAY_MS - 100

WORK_MS = 15_000
"""Longer than any lease, so that two runs of the task overlap."""

LEASE_DELAY_MS = 3000
RESTART_MS = 200
PAUSE_MS = 5000
TAKEOVER_MS = 1500
STEP_MS = 10
UNTIL_STARTED_MS = 5000
FOR_GOOD_MS = 1_000_000
SETTLE_MS = 120_000
FULL_WORKER = 8000
"""All CPU of a worker, in thousandths of a core."""


def build_world(
    seed: int, entries: int = 3, *, lists_workers: bool = False
) -> worlds.World:
    """Returns a world whose workers have been up for minutes.

    A reading of their clocks is far ahead of the next incarnation.
    """
    world = test_restarts.RestartWorld(
        seed, entries=entries, agents=3, lists_workers=lists_workers
    )
    for worker in world.workers.values():
        worker.up_at_ms = -linked_agent.UPTIME_MS
    return world


def submit(world: worlds.World) -> None:
    step = specs.StepSpec(1, 1000, 100, estimate_ms=WORK_MS)
    world.submit("entry-0", job_specs.build_job_of(JOB, (step,)))


def wait_for_state(world: worlds.World, state: executor.LocalState) -> str:
    """Runs the world until an agent has the run so; returns its name."""
    for _ in range(UNTIL_STARTED_MS // STEP_MS):
        for name in world.workers:
            local_runs = world.nodes[name].state.active.values()
            if any(local_run.state is state for local_run in local_runs):
                return name
        world.run(STEP_MS)
    raise AssertionError(f"no run is {state.value}")


def send_late_start(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    late_ms: float = LATE_MS,
    *,
    lists_workers: bool = False,
) -> tuple[worlds.World, str]:
    """Returns a world with a start that is late, and the agent that sent it."""
    monkeypatch.setattr(worlds, "LATE_MS", (late_ms, late_ms))
    world = build_world(seed, lists_workers=lists_workers)
    world.run(3000)
    world.scripted_faults[effects.StartRun] = ["late"]
    submit(world)
    return world, wait_for_state(world, executor.LocalState.STARTING)


def settle(world: worlds.World) -> None:
    """Checks the invariants until the job has ended, which it has to."""
    world.run(SETTLE_MS)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED


# Starts that no agent can call back any more.


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("late_ms", [LATE_MS, LATEST_MS])
@pytest.mark.parametrize("down_ms", [500, FOR_GOOD_MS])
def test_late_start_of_an_agent_that_is_gone(
    monkeypatch: pytest.MonkeyPatch, down_ms: float, late_ms: float, seed: int
) -> None:
    """Guards against a release after the grant of a start without an answer.

    The agent is killed and, if it starts again, does not reach the worker. The
    holder releases the run as `silent`; then the worker's next incarnation
    carries out the start.
    """
    world, name = send_late_start(monkeypatch, seed, late_ms)
    world.kill(name, down_ms)
    world.nodes[name].cut_worker = True
    world.workers[name].restart(world.now_ms, RESTART_MS)
    settle(world)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("late_ms", [LATE_MS, LATEST_MS])
@pytest.mark.parametrize("way", ["killed", "cut off"])
def test_late_start_of_an_agent_unheard_of(
    monkeypatch: pytest.MonkeyPatch, way: str, late_ms: float, seed: int
) -> None:
    """Guards against a successor that releases a start without an answer.

    The holder is lost while the agent is out of reach, as is its worker. The
    successor releases the run as `unheard`.
    """
    world, name = send_late_start(monkeypatch, seed, late_ms)
    node = world.nodes[name]
    world.workers[name].restart(world.now_ms, RESTART_MS)
    if way == "killed":
        world.kill(name, FOR_GOOD_MS)
    else:
        node.cut = node.cut_store = node.cut_worker = True
    world.kill(test_handover.find_holder(world), FOR_GOOD_MS)
    settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_late_start_of_an_agent_that_does_not_report_the_worker(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a release of runs of which the agent says nothing.

    The agent has heard of the new incarnation, and no poll reaches that. So its
    reports name no worker, and the holder releases the run as `silent`,
    whatever the agent believes.
    """
    world, name = send_late_start(monkeypatch, seed)
    world.nodes[name].cut_worker = True
    world.workers[name].restart(world.now_ms, RESTART_MS)
    world.run(RESTART_MS + 100)
    world.deliver_heartbeat(name)
    settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_late_start_after_two_restarts(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a new incarnation as proof against a late start.

    The incarnation that is reported refuses the start by its fence, and the
    run is released as `new worker life`. The one after it takes the start.
    """
    world, name = send_late_start(monkeypatch, seed)
    worker = world.workers[name]
    worker.restart(world.now_ms, RESTART_MS)
    world.run(LATE_MS - 100)
    worker.restart(world.now_ms, 0)
    world.nodes[name].cut_worker = True
    settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_late_start_that_a_fence_has_decided(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a fence as proof that a start is never carried out.

    A list under a higher fence lacks the run, which is refused and placed
    elsewhere. Then the worker restarts without a fence.
    """
    world, name = send_late_start(monkeypatch, seed)
    world.run(LATE_MS - 100)
    world.workers[name].restart(world.now_ms, 0)
    settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_late_start_with_the_fence_of_a_clock_that_was_ahead(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against fences that do not rise from process to process.

    The clock is set back before the next process of the agent starts. The new
    incarnation of the worker tells it of no higher fence, and then takes the
    start of the former process.
    """
    monkeypatch.setattr(worlds, "LATE_MS", (LATE_MS, LATE_MS))
    world = build_world(seed)
    world.wall_skew_ms = 60_000
    for name in world.workers:
        world.kill(name, 100)
    world.run(15_000)
    world.wall_skew_ms = 0
    world.scripted_faults[effects.StartRun] = ["late"]
    submit(world)
    name = wait_for_state(world, executor.LocalState.STARTING)
    world.kill(name, 500)
    world.workers[name].restart(world.now_ms, RESTART_MS)
    settle(world)


# Leases that are longer than the holder knows.


def start_run_under_late_lease(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> tuple[worlds.World, str]:
    """Returns a world with a run whose lease is that of a late poll.

    A poll of the former incarnation is the first call to the next one. Then
    the agent reports that one, and starts the run there. The other workers
    drain until then.
    """
    monkeypatch.setattr(worlds, "LATE_MS", (LEASE_DELAY_MS, LEASE_DELAY_MS))
    world = build_world(seed)
    name, *others = sorted(world.workers)
    worker = world.workers[name]
    worker.rate = 0.98
    for other in others:
        world.workers[other].draining = True
    world.run(5000)
    world.scripted_faults[effects.PollWorker] = ["late"]
    while world.scripted_faults[effects.PollWorker]:
        world.run(1)
    world.run(LEASE_DELAY_MS - 10)
    worker.restart(world.now_ms, 0)
    while not worker.until_ms:
        world.run(1)
    assert worker.until_ms >= worker_fake.MAX_HOLD_MS
    world.deliver_heartbeat(name)
    submit(world)
    assert wait_for_state(world, executor.LocalState.RUNNING) == name
    for other in others:
        world.workers[other].draining = False
    return world, name


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("way", ["killed", "cut off"])
def test_late_lease_before_the_agent_is_gone(
    monkeypatch: pytest.MonkeyPatch, way: str, seed: int
) -> None:
    """Guards against a lease that outlasts the grant after a restart.

    The agent is killed for good, or cut off from the holder, which releases the
    run as `silent` 7.3 s after the last report.
    """
    world, name = start_run_under_late_lease(monkeypatch, seed)
    if way == "killed":
        world.kill(name, FOR_GOOD_MS)
    else:
        world.nodes[name].cut = world.nodes[name].cut_store = True
    settle(world)


@pytest.mark.parametrize("seed", range(3))
def test_late_lease_before_the_queue_is_handed_over(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a successor that counts from the start of its term.

    The agent is killed for good and the holder is stopped. The successor takes
    the released queue at once, and releases the run as `unheard` 8.8 s later.
    """
    world, name = start_run_under_late_lease(monkeypatch, seed)
    world.kill(name, FOR_GOOD_MS)
    holder = world.nodes[test_handover.find_holder(world)]
    world.deliver(holder, events.SchedulerStopping())
    settle(world)


@pytest.mark.parametrize("rate", test_late_calls.RATES)
def test_start_that_an_unheard_life_has_answered(rate: float) -> None:
    """Guards against a confirmed start whose lease is that of another clock.

    The heartbeat of the new incarnation is held back, while it answers calls.
    """
    agent = linked_agent.LinkedAgent(rate)
    start = agent.request(RUN)
    agent.restart()
    agent.wait(400)
    agent.deliver(agent.take_start(start))
    begun_ms = agent.read_ms()
    while agent.read_ms() < begun_ms + LIMIT_MS:
        agent.wait(linked_agent.STEP_MS)
        agent.poll_now()
        if linked_agent.is_counted_as_ended(agent.report(), RUN):
            agent.worker.advance(agent.read_ms())
            assert RUN.task not in agent.worker.running
            return
    raise AssertionError("the run counts for good")


# What an agent believes of a former incarnation, or of a former process.


def test_start_that_was_sent_late_may_begin_later() -> None:
    """Guards against a limit that counts from the decision to send a start.

    The agent is paused between the decision and the call, whose lease is still
    valid then. The call is carried out nearly 12 s after it was sent.
    """
    agent = linked_agent.LinkedAgent(0.98)
    start = agent.request(RUN)
    agent.restart()
    agent.wait(PAUSE_MS)
    sent_ms = agent.read_ms()
    agent.wait(worlds.ANSWER_TIMEOUT_MS)
    agent.fail_start(start)
    while agent.read_ms() < sent_ms + test_late_calls.MAX_CALL_DELAY_MS - 100:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
        assert not linked_agent.is_counted_as_ended(agent.report(), RUN)
    agent.take_start(start)
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("late_ms", [5000, 11_900])
def test_confirmed_run_of_which_a_former_process_sent_a_start(
    late_ms: float,
) -> None:
    """Guards against a confirmed start as proof that no other one is late.

    The former process sent a start of the same run, which was not carried out.
    The next one sent it again and got an answer. Then the worker restarts.
    """
    former = linked_agent.LinkedAgent(0.98).request(RUN)
    agent = linked_agent.LinkedAgent(0.98, age_ms=0)
    began_ms = agent.read_ms()
    agent.deliver(agent.take_start(agent.request(RUN)))
    assert agent.state.active[RUN].state is executor.LocalState.RUNNING
    agent.restart()
    while agent.read_ms() < began_ms + late_ms:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
        assert not linked_agent.is_counted_as_ended(agent.report(), RUN)
    agent.take_start(former)
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("is_answered", [True, False])
def test_start_under_way_at_a_departure(is_answered: bool) -> None:
    """Guards against a departure as proof against a start under way.

    The worker announces its end and ends. Its next incarnation, of which the
    agent does not hear, takes the start.
    """
    agent = linked_agent.LinkedAgent(0.98)
    start = agent.request(RUN)
    if not is_answered:
        agent.fail_start(start)
    agent.deliver(events.WorkerLeft(agent.worker.name))
    agent.restart()
    agent.fail_poll()
    agent.wait(1000)
    answer = agent.take_start(start)
    if is_answered:
        agent.deliver(answer)
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("seed", range(3))
def test_late_departure_before_the_worker_is_cut_off(seed: int) -> None:
    """Guards against a late notice that ends the runs of the next incarnation.

    The agent that is cut off reports that its runs have ended.
    """
    world = build_world(seed)
    world.run(3000)
    for worker in world.workers.values():
        worker.restart(world.now_ms, RESTART_MS)
    world.run(3000)
    submit(world)
    name = wait_for_state(world, executor.LocalState.RUNNING)
    notice = events.WorkerLeft(world.workers[name].name)
    world.deliver(world.nodes[name], notice)
    world.nodes[name].cut_worker = True
    settle(world)


def test_late_heartbeat_hides_no_start_in_doubt() -> None:
    """Guards against a start that is forgotten when the worker seems to return.

    The new incarnation is heard of and does not answer, so that a heartbeat of
    the former one is believed. Then the new one takes the start.
    """
    agent = linked_agent.LinkedAgent(0.98)
    start = agent.request(RUN)
    agent.restart()
    agent.fail_start(start)
    agent.hear()
    agent.fail_poll()
    agent.incarnation = lone_agent.WORKER
    agent.heartbeats += 1000
    agent.deliver_heartbeat()
    assert agent.state.worker is not None
    assert agent.state.worker.incarnation == lone_agent.WORKER
    agent.fail_poll()
    agent.hear()
    agent.wait(1000)
    agent.take_start(start)
    agent.measure_cut(RUN, LIMIT_MS)


def request_all_of_worker(
    agent: linked_agent.LinkedAgent, ref: runs.RunRef
) -> list[effects.StartRun]:
    """Requests a run that fills the worker; returns the starts sent."""
    directives = agent.build_directives(agent.state.sequence + 1, (ref,))
    full = tuple(
        msgspec.structs.replace(command, cpu_millis=FULL_WORKER)
        for command in directives.starts
    )
    emitted = agent.answer_report(
        agent.report(), msgspec.structs.replace(directives, starts=full)
    )
    return [
        effect for effect in emitted if isinstance(effect, effects.StartRun)
    ]


def test_refused_start_still_needs_its_capacity() -> None:
    """Guards against two starts that overload the next incarnation (LIMIT).

    A list under a higher fence lacks the first run, and its capacity is given
    to another one. Then the worker restarts and takes both starts.
    """
    agent = linked_agent.LinkedAgent()
    (first,) = request_all_of_worker(agent, RUN)
    agent.fail_start(first)
    agent.poll_now()
    later = request_all_of_worker(agent, OTHER)
    agent.restart()
    for start in (first, *later):
        agent.take_start(start)
    used = agent.worker.sum_requests()
    assert used.fits_in(agent.worker.read_capacity())


# Messages between agents and holders.


def build_report(world: worlds.World, name: str) -> messages.Report:
    """Returns a report of a worker that was silent until its lease expired."""
    state = world.nodes[name].state
    return messages.Report(
        ids.InstanceId(name),
        state.options.incarnation,
        state.report_number + 1,
        state.options.endpoint,
        state.worker,
        ids.Epoch(0),
        answering=False,
        runs_ended=True,
    )


@pytest.mark.parametrize("seed", range(3))
def test_late_report_of_a_former_life_reaches_a_successor(seed: int) -> None:
    """Guards against `runs_ended` that was true of a former incarnation.

    The agent, without a holder, reported this to an entry. The report, built
    by the test, arrives when that entry has taken the queue, before any other
    one. Until then, a run began on the next incarnation.
    """
    world = build_world(seed, entries=2)
    world.run(3000)
    former = {name: build_report(world, name) for name in world.workers}
    for worker in world.workers.values():
        worker.restart(world.now_ms, RESTART_MS)
    world.run(3000)
    submit(world)
    name = wait_for_state(world, executor.LocalState.RUNNING)
    record = world.store.progress[JOB].steps[0].tasks[0]
    assert record.state is records.TaskState.PLACED
    holder = world.nodes[test_handover.find_holder(world)]
    world.nodes[name].cut = True
    world.deliver(holder, events.SchedulerStopping())
    world.run(TAKEOVER_MS)
    successor = world.nodes[test_handover.find_holder(world)]
    assert successor is not holder
    arrived = events.ReportArrived(ids.TicketId("late"), former[name])
    world.deliver(successor, arrived)
    world.run(TAKEOVER_MS)
    world.nodes[name].cut = False
    settle(world)


# What a late call or message does not change.


def test_late_stop_spares_later_runs() -> None:
    """Guards against a stop that ends or prevents a later run of the task.

    The next incarnation takes the stop of a run of the former one, before and
    after it has started the next run.
    """
    agent = linked_agent.LinkedAgent()
    agent.deliver(agent.take_start(agent.request(RUN)))
    stops = agent.build_directives(agent.state.sequence + 1, stops=(RUN,))
    (stop,) = (
        effect
        for effect in agent.push(stops)
        if isinstance(effect, effects.StopRun)
    )
    agent.restart()
    assert agent.worker.stop(stop) is events.CommandResult.DONE
    agent.hear()
    agent.poll_now()
    later = runs.RunRef(RUN.task, runs.RunNumber(RUN.run + 1))
    agent.deliver(agent.take_start(agent.request(later)))
    assert agent.worker.stop(stop) is events.CommandResult.FENCED
    agent.poll_now()
    assert list(agent.state.active) == [later]
    assert agent.worker.running[RUN.task].ref == later


def test_late_heartbeat_is_ignored_while_the_worker_answers() -> None:
    """Guards against runs that are forgotten after a heartbeat of before."""
    agent = linked_agent.LinkedAgent()
    agent.restart()
    agent.hear()
    agent.poll_now()
    agent.deliver(agent.take_start(agent.request(RUN)))
    known, fence = agent.state.worker, agent.state.fence
    agent.incarnation = lone_agent.WORKER
    agent.heartbeats += 1000
    agent.deliver_heartbeat()
    assert (agent.state.worker, agent.state.fence) == (known, fence)
    assert list(agent.state.active) == [RUN]


def test_late_answer_to_a_report_changes_nothing_of_a_new_life() -> None:
    """Guards against a grant, a start or a number meant for a former life."""
    agent = linked_agent.LinkedAgent()
    report = agent.report()
    answer = msgspec.structs.replace(
        agent.build_directives(agent.state.sequence + 1, (RUN,)),
        acknowledged=runs.EndNumber(5),
    )
    agent.restart()
    agent.hear()
    agent.poll_now()
    agent.answer_report(report, answer)
    assert agent.state.grant_end == executor.ZERO
    assert agent.state.acknowledged == 0
    assert agent.state.active == {}
