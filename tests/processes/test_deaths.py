"""Tests of processes that are killed under load."""

import time

import cluster
import cluster_settings
import pytest

from tests.processes import conftest, load

SLOTS = conftest.SLOTS
Member = cluster_settings.Member
Role = cluster_settings.Role

TASKS = 8
TASK_RUN_MS = 1500
CALL_MS = load.DEADLINE_MS - 1000
"""Service time of calls that have to outlast the restart of an agent.

On a busy machine a process needs several seconds to import its modules.
"""


def submit_tasks(client: load.Client, tag: str) -> list[str]:
    """Submits the tasks of a test and returns their ids."""
    return [
        client.submit_task(f"{tag}-{number}", TASK_RUN_MS)
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
    starts. The new agent must not use their slots, which the fixture checks.
    """
    agent = Member(Role.AGENT, 0)
    task_ids = submit_tasks(client, "agent-dies")
    with load.BackgroundLoad(client, "agent-dies", threads=24) as background:
        background.wait_for_completed(24)
        client.set_fault(Role.UPSTREAM, 0, "slow", slow_ms=CALL_MS)
        count_before = len(client.read_records(Role.UPSTREAM, 0)["requests"])

        def is_full() -> bool:
            records = client.read_records(Role.UPSTREAM, 0)
            started = len(records["requests"]) - count_before
            return started >= SLOTS and records["busy"] == SLOTS

        load.wait_until(is_full, "not every slot of the upstream is busy")
        started_at = time.monotonic()
        deployment.kill(agent)
        deployment.restart(agent)
        restart_s = time.monotonic() - started_at
        busy = client.read_records(Role.UPSTREAM, 0)["busy"]
        assert busy, f"the calls ended within the restart of {restart_s:.1f} s"
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
