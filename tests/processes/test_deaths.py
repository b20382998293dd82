"""Tests of processes that are killed under load."""

import itertools
import threading

import cluster
import cluster_settings
import pytest

from tests.processes import conftest, load

SLOTS = conftest.SLOTS
Member = cluster_settings.Member
Role = cluster_settings.Role

TASKS = 8
TASK_RUN_MS = 1500
THAWED_READING = 3

HOLD_AFTER_RESTART_S = 8.0
"""Time in which the next agent gets several reports of the upstream; less than
the deadline, after which it may use the slots of calls that it did not start.
"""


def submit_tasks(
    client: load.Client, tag: str, kind: str = load.TASK_KIND
) -> list[str]:
    """Submits the tasks of a test and returns their ids."""
    return [
        client.submit_task(f"{tag}-{number}", TASK_RUN_MS, kind=kind)
        for number in range(TASKS)
    ]


def check_tasks(client: load.Client, task_ids: list[str]) -> None:
    """Waits for the tasks; each must succeed after exactly one complete run."""
    states = client.wait_for_tasks(task_ids)
    assert set(states.values()) == {"succeeded"}, states
    assert load.find_task_overlaps(client, states, TASK_RUN_MS) == []


def test_agent_dies_under_load(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against lost, repeated or misreported requests of a killed agent.

    The upstream still runs calls of the killed agent when the new agent
    starts, and until the test releases them. The new agent must not use their
    slots, which the fixture checks. The leases of the tasks outlast the
    restart, so none of them may run twice, however slow the machine is.
    """
    agent = Member(Role.AGENT, 0)
    kind = load.LONG_LEASE_TASK_KIND
    task_ids = submit_tasks(client, "agent-dies", kind)
    with load.BackgroundLoad(client, "agent-dies", threads=24) as background:
        background.wait_for_completed(24)
        client.set_fault(Role.UPSTREAM, 0, "held")

        def count_held() -> int:
            return client.read_records(Role.UPSTREAM, 0)["held"]

        load.wait_until(
            lambda: count_held() == SLOTS,
            "not every slot of the upstream is busy",
        )
        deployment.kill(agent)
        deployment.restart(agent)
        threading.Event().wait(HOLD_AFTER_RESTART_S)
        assert count_held() == SLOTS
        client.set_fault(Role.UPSTREAM, 0)
        background.wait_for_completed(96)
    assert load.find_violations(client, background.histories) == []
    check_tasks(client, task_ids)


def test_entry_dies_under_load(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against tasks and claimed keys that are lost with their entry."""
    task_ids = submit_tasks(client, "entry-dies")
    holder = client.find_holder()
    with load.BackgroundLoad(client, "entry-dies", delay_ms=300) as background:
        background.wait_for_completed(16)
        deployment.kill(Member(Role.ENTRY, holder))
        task_ids += [client.submit_task("entry-dies-late", TASK_RUN_MS)]
        assert client.find_holder() != holder
        background.wait_for_completed(48)
    broken = [item for item in background.histories if item.request.key]
    broken = [item for item in broken if item.answers[0].outcome == load.BROKEN]
    assert broken, "no claimed request was in progress at the killed entry"
    violations = load.find_violations(
        client, background.histories, killed_entries=True
    )
    assert violations == []
    check_tasks(client, task_ids)


def test_process_that_is_not_ready_is_described(
    deployment: cluster.Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed start whose message does not tell its cause."""
    agent = Member(Role.AGENT, 0)
    monkeypatch.setattr(cluster, "READY_ATTEMPTS", 1)
    deployment.freeze(agent)
    with pytest.raises(
        cluster.NotReadyError, match=r"\d s of processor time, load average \d"
    ):
        deployment.wait_ready(agent)


def test_process_that_lacks_a_processor_is_waited_for(
    deployment: cluster.Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failed starts on a machine that is busy with others."""
    agent = Member(Role.AGENT, 0)
    readings = itertools.count()

    def read_growing_wait(*_: object) -> float:
        reading = next(readings)
        if reading == THAWED_READING:
            deployment.thaw(agent)
        return float(reading)

    monkeypatch.setattr(cluster, "READY_ATTEMPTS", 1)
    monkeypatch.setattr(
        cluster.Cluster, "_read_processor_wait_s", read_growing_wait
    )
    deployment.freeze(agent)
    deployment.wait_ready(agent)
    assert next(readings) > THAWED_READING
