"""Faults that the fuzz of tests/fuzz found, as fixed sequences of events."""

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


def start_world() -> world.World:
    """Returns a deployment in which every partition has its holder."""
    started = world.World()
    started.advance(12 * SECOND)
    return started


def submit(
    found: world.World,
    process: world.Process,
    key: str,
    payload: str = '{"run_ms": 60000}',
) -> None:
    ticket = ids.TicketId(f"{process.name}-{len(found.oracle.tickets)}")
    found.oracle.expect_ticket(process.name, ticket)
    submission = tasks.Submission(
        ALPHA, world.BATCH, ids.IdempotencyKey(key), payload
    )
    found.feed(process, events.SubmissionArrived(ticket, submission))


def send(
    found: world.World,
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
    found.oracle.send(process.name, request)
    found.feed(process, events.CallArrived(request))


def apply(
    found: world.World, process: world.Process, name: str, base: int
) -> None:
    version = ids.ConfigVersion(base)
    change = declarations.Change(
        version,
        organisations=(world.build_organisation(ALPHA, 7),),
        author=name,
    )
    found.oracle.expect_ticket(process.name, ids.TicketId(name))
    arrived = events.ApplyArrived(ids.TicketId(name), version, change)
    found.feed(process, arrived)


def find_holder(found: world.World) -> world.Process:
    """Returns the entry that holds the partition of ALPHA."""
    return next(
        item
        for item in found.entries
        if item.state.partitions[0].phase is states.PartitionPhase.HELD
    )


def test_repeat_is_accepted_only_with_the_commit_of_the_first() -> None:
    """Guards against accepting a task that a fenced holder never commits."""
    found = start_world()
    holder = find_holder(found)
    found.scripts.append((world.Kind.COMMIT, world.Mishap.DELAYED, SECOND))
    submit(found, holder, "k")
    submit(found, holder, "k")
    assert list(found.oracle.tickets.values()) == [None, None]
    found.advance(2 * SECOND)
    results = [item.result for item in found.oracle.tickets.values() if item]
    assert results == [states.SubmissionResult.ACCEPTED] * 2


def test_no_start_before_the_reservation_of_the_upstream_is_known() -> None:
    """Guards against committing what the upstream holds for itself."""
    found = start_world()
    for instance in found.instances[1:]:
        found.drain(instance)
    instance = found.instances[0]
    instance.upstream_alive = False
    found.kill(instance.agent)
    found.revive_agent(instance)
    found.advance(2 * SECOND)
    for key in ("k0", "k1", "k2"):
        submit(found, find_holder(found), key)
    found.advance(2 * SECOND)
    instance.upstream_alive = True
    found.advance(5 * SECOND)
    held = [item.committed for item in instance.agent.state.executions.values()]
    assert held == [world.DECLARED] * 2


def test_call_ends_whose_target_is_retired() -> None:
    """Guards against a caller that waits for an instance that is gone."""
    found = start_world()
    send(found, found.entries[0], world.PAY, "r", 3000)
    # Between two announcements, so that none is under way at the retirement.
    found.advance(SECOND / 2)
    target = next(item for item in found.instances if item.upstream.busy)
    found.retire(target)
    found.advance(SECOND)
    result = found.oracle.results[ids.RequestId("r")]
    assert result.outcome is states.Outcome.INDETERMINATE
    assert result.reason is states.Reason.INCARNATION_GONE


def test_objects_are_not_installed_under_an_older_version() -> None:
    """Guards against two contents of one configuration version."""
    found = start_world()
    old, new = found.entries
    found.kill(new)
    found.revive_entry(new)
    # The change takes effect between the new entry's reads of the head and
    # of the objects; the oracle compares the content.
    apply(found, old, "o", 1)
    found.advance(2 * SECOND)
    assert new.state.configuration.version == 2


def test_failing_task_is_parked_while_other_workers_are_quarantined() -> None:
    """Guards against starting a failing task again and again on one worker."""
    found = start_world()
    for key in ("k0", "k1", "k2"):
        payload = '{"run_ms": 50, "fail": true}'
        submit(found, find_holder(found), key, payload)
    found.advance(60 * SECOND)
    assert {item.state for item in found.oracle.tasks.values()} == {
        states.TaskState.PARKED
    }


def test_syncs_go_on_while_the_table_is_down_and_an_instance_is_silent() -> (
    None
):
    """Guards against a sync timer that is lost with a failing event."""
    found = start_world()
    holder = find_holder(found)
    submit(found, holder, "k")
    found.advance(2 * SECOND)
    row = next(iter(found.oracle.tasks.values()))
    silent = next(
        item for item in found.instances if item.agent.name == row.instance
    )
    found.kill(silent.agent)
    down = store.SetFault(store.Fault.DOWN)
    store.set_fault(found.store, down)
    found.advance(20 * SECOND)
    sync = timers.Timer(timers.TimerKind.SYNC)
    assert sync in holder.due


def test_change_in_doubt_is_accepted_under_a_later_change() -> None:
    """Guards against refusing a change that took effect unseen."""
    found = start_world()
    one, other = found.entries
    found.scripts.append((world.Kind.COMMIT, world.Mishap.ANSWER_LOST, SECOND))
    apply(found, one, "first", 1)
    found.advance(SECOND / 100)
    apply(found, other, "second", 2)
    found.advance(2 * SECOND)
    results = [item.result for item in found.oracle.tickets.values() if item]
    assert results == [states.SubmissionResult.ACCEPTED] * 2


def find_task(found: world.World) -> rows.TaskRow:
    return next(iter(found.oracle.tasks.values()))


def find_instance(found: world.World, name: str | None) -> world.Instance:
    return next(item for item in found.instances if item.agent.name == name)


def test_fenced_start_is_refused_after_the_worker_lost_its_fences() -> None:
    """Guards against an agent that leaves the epoch to the worker alone."""
    found = start_world()
    found.scripts.append((world.Kind.STARTS, world.Mishap.LATE, 11 * SECOND))
    submit(found, find_holder(found), "k")
    found.advance(SECOND / 10)
    first = find_task(found).instance
    # The second placement has to be elsewhere, whatever the random source.
    for item in found.entries:
        item.state.members[first].quarantined_until = datetime.timedelta(days=1)
    found.advance(8 * SECOND)
    assert find_task(found).epoch == 2
    assert find_task(found).instance != first
    found.restart_worker(find_instance(found, first))
    found.advance(20 * SECOND)
    found.oracle.check_workers(found.now)


@pytest.mark.parametrize("seconds", range(9))
def test_task_moves_only_after_its_lease_ended(seconds: int) -> None:
    """Guards against a lease that counts from the receipt of the grant."""
    found = start_world()
    submit(found, find_holder(found), "k")
    found.advance(SECOND / 10 + seconds * SECOND)
    silent = find_task(found).instance
    found.cut |= {(item.name, str(silent)) for item in found.entries}
    found.advance(50 * SECOND)
    assert find_task(found).instance != silent
    found.oracle.check_workers(found.now)


def test_lost_start_is_repeated_while_an_older_epoch_is_listed() -> None:
    """Guards against a task that stays in its start for ever."""
    found = start_world()
    for instance in found.instances[1:]:
        found.drain(instance)
    submit(found, find_holder(found), "k")
    found.advance(2 * SECOND)
    found.instances[0].policy.evictions = 1
    while find_task(found).epoch == 1:
        found.advance(world.LATENCY)
    found.scripts.append((world.Kind.COMMAND, world.Mishap.LOST, SECOND))
    found.advance(5 * SECOND)
    assert not found.scripts
    states_found = [
        item.state
        for item in found.instances[0].agent.state.executions.values()
    ]
    assert states_found == [states.ExecutionState.RUNNING]


def test_late_start_of_a_former_agent_is_fenced_in_the_worker() -> None:
    """Guards against calling a task unknown that may still start."""
    found = start_world()
    # Between two polls of the worker, which would repeat the start.
    found.advance(SECOND / 3)
    found.scripts.append((world.Kind.COMMAND, world.Mishap.LATE, 11 * SECOND))
    submit(found, find_holder(found), "k")
    found.advance(SECOND / 10)
    first = find_instance(found, find_task(found).instance)
    found.kill(first.agent)
    found.revive_agent(first)
    found.advance(3 * SECOND)
    found.drain(first)
    found.advance(30 * SECOND)
    assert find_task(found).instance != first.agent.name
    found.oracle.check_workers(found.now)
