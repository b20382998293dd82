"""Regression tests for faults that the random search in tests/fuzz found."""

import datetime

import pytest
import world

from gypsumhold.model import (
    declarations,
    events,
    ids,
    requests,
    rows,
    states,
    tasks,
    timers,
)
from gypsumhold_standin import store

SECOND = datetime.timedelta(seconds=1)
ALPHA = world.ORGANISATIONS[0]


def start_deployment() -> world.World:
    """Returns a simulated deployment in which every partition has a holder."""
    deployment = world.World()
    deployment.advance(12 * SECOND)
    return deployment


def submit_task(
    deployment: world.World,
    process: world.Process,
    key: str,
    payload: str = '{"run_ms": 60000}',
) -> None:
    ticket = ids.TicketId(
        f"{process.name}-{len(deployment.oracle.ticket_answers)}"
    )
    deployment.oracle.record_ticket(process.name, ticket)
    submission = tasks.Submission(
        ALPHA, world.BATCH, ids.IdempotencyKey(key), payload
    )
    deployment.deliver(process, events.SubmissionArrived(ticket, submission))


def send_request(
    deployment: world.World,
    process: world.Process,
    kind: ids.KindName,
    name: str,
    delay_ms: int = 0,
) -> None:
    headers = (("x-standin-delay-ms", str(delay_ms)),)
    request = requests.Request(
        ids.RequestId(name),
        ALPHA,
        kind,
        ids.IdempotencyKey("k"),
        8 * SECOND,
        "digest",
        requests.Payload("POST", "/", headers, b"body"),
    )
    deployment.oracle.record_request(process.name, request)
    deployment.deliver(process, events.CallArrived(request))


def apply_change(
    deployment: world.World,
    process: world.Process,
    name: str,
    base_version: int,
) -> None:
    version = ids.ConfigVersion(base_version)
    change = declarations.Change(
        version,
        organisations=(world.build_organisation(ALPHA, 7),),
        author=name,
    )
    deployment.oracle.record_ticket(process.name, ids.TicketId(name))
    apply_event = events.ApplyArrived(ids.TicketId(name), version, change)
    deployment.deliver(process, apply_event)


def find_holder(deployment: world.World) -> world.Process:
    """Returns the entry that holds the partition of ALPHA."""
    return next(
        item
        for item in deployment.entries
        if item.state.partitions[0].phase is states.PartitionPhase.HELD
    )


def test_repeat_is_accepted_only_with_the_commit_of_the_first() -> None:
    """Guards against accepting a task whose commit fails.

    A repeated submission must not be accepted before the commit of the first.
    """
    deployment = start_deployment()
    holder = find_holder(deployment)
    deployment.planned_faults.append(
        (world.MessageKind.COMMIT, world.MessageFault.DELAYED, SECOND)
    )
    submit_task(deployment, holder, "k")
    submit_task(deployment, holder, "k")
    assert list(deployment.oracle.ticket_answers.values()) == [None, None]
    deployment.advance(2 * SECOND)
    results = [
        item.result
        for item in deployment.oracle.ticket_answers.values()
        if item
    ]
    assert results == [states.SubmissionResult.ACCEPTED] * 2


def test_no_start_before_the_reservation_of_the_upstream_is_known() -> None:
    """Guards against committing resources that the upstream has reserved."""
    deployment = start_deployment()
    for instance in deployment.instances[1:]:
        deployment.drain(instance)
    instance = deployment.instances[0]
    instance.upstream_alive = False
    deployment.kill(instance.agent)
    deployment.restart_agent(instance)
    deployment.advance(2 * SECOND)
    for key in ("k0", "k1", "k2"):
        submit_task(deployment, find_holder(deployment), key)
    deployment.advance(2 * SECOND)
    instance.upstream_alive = True
    deployment.advance(5 * SECOND)
    committed_resources = [
        item.committed for item in instance.agent.state.executions.values()
    ]
    assert committed_resources == [world.DECLARED] * 2


def test_call_to_a_retired_instance_ends() -> None:
    """Guards against a caller that waits for a retired instance."""
    deployment = start_deployment()
    send_request(deployment, deployment.entries[0], world.PAY, "r", 3000)
    # Retires it between two announcements, so that none is in transit.
    deployment.advance(SECOND / 2)
    target = next(item for item in deployment.instances if item.upstream.busy)
    deployment.retire(target)
    deployment.advance(SECOND)
    result = deployment.oracle.results[ids.RequestId("r")]
    assert result.outcome is states.Outcome.INDETERMINATE
    assert result.reason is states.Reason.INCARNATION_GONE


def test_objects_are_not_installed_under_an_older_version() -> None:
    """Guards against one configuration version with two different contents."""
    deployment = start_deployment()
    old_entry, new_entry = deployment.entries
    deployment.kill(new_entry)
    deployment.restart_entry(new_entry)
    # The change takes effect between the reads of the head row and of the
    # objects by the new entry. The oracle compares the contents.
    apply_change(deployment, old_entry, "o", 1)
    deployment.advance(2 * SECOND)
    assert new_entry.state.configuration.version == 2


def test_failing_task_is_parked_while_other_workers_are_quarantined() -> None:
    """Guards against restarting a failing task on one worker for ever."""
    deployment = start_deployment()
    for key in ("k0", "k1", "k2"):
        payload = '{"run_ms": 50, "fail": true}'
        submit_task(deployment, find_holder(deployment), key, payload)
    deployment.advance(60 * SECOND)
    assert {item.state for item in deployment.oracle.tasks.values()} == {
        states.TaskState.PARKED
    }


def test_syncs_continue_without_table_and_with_a_silent_instance() -> None:
    """Guards against a sync timer that is not set again after a failure."""
    deployment = start_deployment()
    holder = find_holder(deployment)
    submit_task(deployment, holder, "k")
    deployment.advance(2 * SECOND)
    row = next(iter(deployment.oracle.tasks.values()))
    silent_instance = next(
        item for item in deployment.instances if item.agent.name == row.instance
    )
    deployment.kill(silent_instance.agent)
    store_outage = store.SetFault(store.Fault.DOWN)
    store.set_fault(deployment.store, store_outage)
    deployment.advance(20 * SECOND)
    sync_timer = timers.Timer(timers.TimerKind.SYNC)
    assert sync_timer in holder.timer_numbers


def test_change_in_doubt_is_accepted_under_a_later_change() -> None:
    """Guards against refusing a change that took effect but lost its answer."""
    deployment = start_deployment()
    first_entry, second_entry = deployment.entries
    deployment.planned_faults.append(
        (world.MessageKind.COMMIT, world.MessageFault.ANSWER_LOST, SECOND)
    )
    apply_change(deployment, first_entry, "first", 1)
    deployment.advance(SECOND / 100)
    apply_change(deployment, second_entry, "second", 2)
    deployment.advance(2 * SECOND)
    results = [
        item.result
        for item in deployment.oracle.ticket_answers.values()
        if item
    ]
    assert results == [states.SubmissionResult.ACCEPTED] * 2


def find_task(deployment: world.World) -> rows.TaskRow:
    return next(iter(deployment.oracle.tasks.values()))


def find_instance(deployment: world.World, name: str | None) -> world.Instance:
    return next(
        item for item in deployment.instances if item.agent.name == name
    )


def test_fenced_start_is_refused_after_the_worker_lost_its_fences() -> None:
    """Guards against an agent that relies on the worker alone for fencing.

    The late start has a lower epoch than the task's current placement.
    """
    deployment = start_deployment()
    deployment.planned_faults.append(
        (world.MessageKind.STARTS, world.MessageFault.TIMED_OUT, 11 * SECOND)
    )
    submit_task(deployment, find_holder(deployment), "k")
    deployment.advance(SECOND / 10)
    origin = find_task(deployment).instance
    # Forces the second placement to another instance for every random seed.
    for item in deployment.entries:
        item.state.members[origin].quarantined_until = datetime.timedelta(
            days=1
        )
    deployment.advance(8 * SECOND)
    assert find_task(deployment).epoch == 2
    assert find_task(deployment).instance != origin
    deployment.restart_worker(find_instance(deployment, origin))
    deployment.advance(20 * SECOND)
    deployment.oracle.check_exclusive_runs(deployment.now)


@pytest.mark.parametrize("seconds", range(9))
def test_task_moves_only_after_its_lease_ended(seconds: int) -> None:
    """Guards against a lease that starts when the agent receives it."""
    deployment = start_deployment()
    submit_task(deployment, find_holder(deployment), "k")
    deployment.advance(SECOND / 10 + seconds * SECOND)
    silent_instance = find_task(deployment).instance
    deployment.cut_links |= {
        (item.name, str(silent_instance)) for item in deployment.entries
    }
    deployment.advance(50 * SECOND)
    assert find_task(deployment).instance != silent_instance
    deployment.oracle.check_exclusive_runs(deployment.now)


def test_lost_start_is_repeated_while_an_older_epoch_is_listed() -> None:
    """Guards against a task that stays in the state STARTING for ever."""
    deployment = start_deployment()
    for instance in deployment.instances[1:]:
        deployment.drain(instance)
    submit_task(deployment, find_holder(deployment), "k")
    deployment.advance(2 * SECOND)
    deployment.instances[0].policy.pending_evictions = 1
    while find_task(deployment).epoch == 1:
        deployment.advance(world.LATENCY)
    deployment.planned_faults.append(
        (world.MessageKind.COMMAND, world.MessageFault.LOST, SECOND)
    )
    deployment.advance(5 * SECOND)
    assert not deployment.planned_faults
    execution_states = [
        item.state
        for item in deployment.instances[0].agent.state.executions.values()
    ]
    assert execution_states == [states.ExecutionState.RUNNING]


def test_late_start_of_an_earlier_agent_process_is_fenced() -> None:
    """Guards against reporting a task as unknown that may still start."""
    deployment = start_deployment()
    # The start falls between two polls of the worker, which would repeat it.
    deployment.advance(SECOND / 3)
    deployment.planned_faults.append(
        (world.MessageKind.COMMAND, world.MessageFault.TIMED_OUT, 11 * SECOND)
    )
    submit_task(deployment, find_holder(deployment), "k")
    deployment.advance(SECOND / 10)
    origin = find_instance(deployment, find_task(deployment).instance)
    deployment.kill(origin.agent)
    deployment.restart_agent(origin)
    deployment.advance(3 * SECOND)
    deployment.drain(origin)
    deployment.advance(30 * SECOND)
    assert find_task(deployment).instance != origin.agent.name
    deployment.oracle.check_exclusive_runs(deployment.now)


def test_task_that_starts_during_a_drain_is_evicted() -> None:
    """Guards against a task that stays on an instance until it is gone.

    The drain comes between the start command and its answer.
    """
    deployment = start_deployment()
    submit_task(deployment, find_holder(deployment), "k")

    def list_starting() -> list[world.Instance]:
        return [
            instance
            for instance in deployment.instances
            if any(
                item.state is states.ExecutionState.STARTING
                for item in instance.agent.state.executions.values()
            )
        ]

    while not list_starting():
        deployment.advance(SECOND / 1000)
    (drained,) = list_starting()
    deployment.drain(drained)
    deployment.advance(10 * SECOND)
    task = find_task(deployment)
    assert task.instance != drained.agent.name
    assert task.epoch == 2
    deployment.oracle.check_exclusive_runs(deployment.now)
