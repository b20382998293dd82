"""Tests of things that were withdrawn and come back after a restart.

Pattern: a worker has left, a worker has a newer incarnation, a queue was
dropped, or a job was cancelled; then a process restarts, and old heartbeats,
rows or orders are still around.
"""

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
    scheduler,
    scheduler_options,
    specs,
)
from gypsumhold.platform import job_routes
from tests.jobs import job_specs
from tests.jobs import world as worlds

JOB = specs.JobId("j")
AGENT = "agent-0"
NOW = datetime.timedelta(seconds=10)
SERVING = specs.StepSpec(8, 1000, 1000, long_running=True)


def build_executor() -> executor.ExecutorState:
    return executor.ExecutorState(
        executor.ExecutorOptions(
            ids.InstanceId(AGENT),
            ids.Incarnation(5),
            messages.Endpoint("10.0.0.1", 1),
        ),
        policy_sets.build_executor_policies(),
    )


def build_config(version: int, *names: str) -> specs.QueueConfig:
    return specs.QueueConfig(
        ids.ConfigVersion(version),
        tuple(
            specs.Queue(
                specs.QueueName(name), "h", f"/{name}/", specs.PoolName("pool")
            )
            for name in names
        ),
    )


@pytest.mark.parametrize("delay_ms", [0, 200, 1000, 3000])
def test_worker_that_left_gets_no_start_after_a_restart(delay_ms: int) -> None:
    """Guards against a start on a worker that left before the agent restarted.

    An old heartbeat of the worker reaches the new process.
    """
    world = worlds.World(delay_ms)
    world.run(3000)
    node, worker = world.nodes[AGENT], world.workers[AGENT]
    old_heartbeat = events.HeartbeatReceived(worker.describe())
    world.deliver(node, events.WorkerLeft(worker.name))
    # The worker is gone and sends nothing any more.
    worker.up_at_ms = world.now_ms + 1e9
    world.kill(AGENT, 300)
    world.after(300 + delay_ms, lambda: world.deliver(node, old_heartbeat))
    started_before = len(world.oracle.started)
    spec = job_specs.build_job_of(JOB, (SERVING,))
    world.after(delay_ms, lambda: world.submit("entry-0", spec))
    world.run(12_000)
    assert worker.running == {}
    assert len(world.oracle.started) == started_before + SERVING.count


def test_former_incarnation_does_not_replace_the_current_one() -> None:
    """Guards against a late heartbeat of a worker that has restarted."""
    state = build_executor()
    worker = worlds.World(1).workers[AGENT]
    old = worker.describe()
    worker.restart(0, 0)
    new = worker.describe()
    for described in (new, old):
        reducer.reduce(state, events.HeartbeatReceived(described), NOW)
    assert state.worker is not None
    assert state.worker.incarnation == new.incarnation


def test_dropped_queue_stays_dropped() -> None:
    """Guards against a configuration that reverts to an older version."""
    state = scheduler.SchedulerState(
        scheduler_options.SchedulerOptions(
            "entry-0", ids.Incarnation(1), messages.Endpoint("10.0.0.1", 1)
        ),
        policy_sets.build_scheduler_policies(),
    )
    newer, older = build_config(8, "kept"), build_config(7, "kept", "dropped")
    for version, config in ((20, newer), (15, older)):
        reducer.reduce(
            state,
            events.ConfigRead(
                config, ids.RowVersion(version), events.ReadResult.DONE
            ),
            NOW,
        )
    assert state.config == newer


def test_entry_without_configuration_is_not_ready() -> None:
    """Guards against calls to a restarted entry that knows no queue yet."""
    world = worlds.World(1)
    world.run(3000)
    world.kill("entry-0", 0)
    world.run(1)
    assert not job_routes.is_ready(world.nodes["entry-0"].state)


@pytest.mark.parametrize("offset_ms", range(0, 240, 30))
@pytest.mark.parametrize("victim", ["entry-0", "entry-1", AGENT])
def test_cancelled_job_stays_cancelled(victim: str, offset_ms: int) -> None:
    """Guards against a cancelled job that runs again after a kill.

    The process is killed right before or after the cancellation is stored.
    """
    world = worlds.World(offset_ms)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job_of(JOB, (SERVING,)))
    world.run(1000)
    other = "entry-1" if victim == "entry-0" else "entry-0"
    ticket = world.send_query(other, messages.QueryKind.CANCEL, JOB)
    world.after(offset_ms, lambda: world.kill(victim, 700))
    world.run(16_000)
    if world.verdicts[ticket].verdict is not messages.Verdict.CANCELLED:
        return
    assert all(not worker.running for worker in world.workers.values())
    assert world.store.progress[JOB].state is messages.JobState.CANCELLED


def test_order_of_an_older_term_is_ignored() -> None:
    """Guards against orders of a former holder that arrive after a restart."""
    state = build_executor()
    worker = worlds.World(1).workers[AGENT].describe()
    reducer.reduce(state, events.HeartbeatReceived(worker), NOW)
    state.term = ids.Epoch(4)
    command = runs.StartCommand(
        runs.RunRef(runs.TaskRef(JOB, 0, 0, 0), runs.RunNumber(1)),
        "",
        runs.Checkpoint(""),
        1000,
        1000,
        0,
    )
    directives = messages.Directives(
        ids.Epoch(3),
        "entry-0",
        messages.Endpoint("10.0.0.1", 2),
        state.options.incarnation,
        9,
        worker.incarnation,
        starts=(command,),
    )
    emitted = reducer.reduce(state, events.DirectivesArrived(directives), NOW)
    assert not any(isinstance(effect, effects.StartRun) for effect in emitted)
    assert state.active == {}
