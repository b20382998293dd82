"""Tests of processes that are paused past the end of a lease."""

import concurrent.futures
import pathlib

import cluster
import cluster_settings
import pytest

from tests.processes import load

Member = cluster_settings.Member
Role = cluster_settings.Role

TASKS = 9
LONG_MS = 7000
"""Longer than the lease of a task, so that the lease has to be renewed."""

FREEZE_ROUNDS = 50


def read_thread_states(pid: int) -> set[str]:
    """Returns the states that the threads of a process have, as in `ps`."""
    stat_files = pathlib.Path(f"/proc/{pid}/task").glob("*/stat")
    return {
        file.read_text().rpartition(")")[2].split()[0] for file in stat_files
    }


def test_no_thread_of_a_frozen_process_runs(
    deployment: cluster.Cluster,
) -> None:
    """Guards against a process that answers a request after its freeze."""
    agent = Member(Role.AGENT, 0)
    for _ in range(FREEZE_ROUNDS):
        deployment.freeze(agent)
        assert read_thread_states(deployment.get_pid(agent)) == {"T"}
        deployment.thaw(agent)


def test_exited_process_cannot_be_frozen(deployment: cluster.Cluster) -> None:
    """Guards against a freeze that waits for a process that has exited."""
    agent = Member(Role.AGENT, 0)
    deployment.kill(agent)
    with pytest.raises(cluster.NotStoppedError, match="has exited"):
        deployment.freeze(agent)


def test_entry_paused_past_partition_lease(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against two holders of a partition and against a second run.

    The paused entry has a claimed request in progress. Another entry resolves
    the claim during the pause, and both callers get the same answer.
    """
    run_ms = 4000
    tag = "entry-paused"
    task_ids = [client.submit_task(f"{tag}-{n}", run_ms) for n in range(TASKS)]
    holder = client.find_holder()
    path = f"/{tag}/claimed"
    request = load.Request(
        path, load.NON_REPEATABLE_KIND, key=path, delay_ms=1000
    )
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        paused_call = pool.submit(client.call, holder, request)
        load.wait_until(
            lambda: client.count_runs()[path], "the request is not running"
        )
        deployment.freeze(Member(Role.ENTRY, holder))
        history = client.call_until_final([1 - holder], request)
        late = client.submit_task(f"{tag}-late", run_ms, [1 - holder])
        assert client.find_holder() == 1 - holder
        deployment.thaw(Member(Role.ENTRY, holder))
        first_answer = paused_call.result()
    assert history.final_answer.outcome == "completed", history
    assert first_answer == history.final_answer
    assert load.find_violations(client, [history]) == []
    # The thawed entry forwards submissions to the new holder.
    repeated = client.submit_task(f"{tag}-late", run_ms, [holder])
    assert repeated == late
    states = client.wait_for_tasks([*task_ids, late])
    assert set(states.values()) == {"succeeded"}, states
    assert load.find_task_overlaps(client, states, run_ms) == []


def test_agent_and_worker_paused_past_task_lease(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against a task on two workers after its lease has expired."""
    tag = "instances-paused"
    task_ids = [client.submit_task(f"{tag}-{n}", LONG_MS) for n in range(TASKS)]

    def find_started(index: int) -> set[str]:
        runs = client.read_records(Role.WORKER, index)["runs"]
        return {run["task_id"] for run in runs} & set(task_ids)

    load.wait_until(
        lambda: sum(len(find_started(n)) for n in range(3)) == TASKS,
        "not every task has started",
    )
    lost_tasks = find_started(0)
    assert lost_tasks, "the placement left instance-0 without a task"
    assert find_started(1), "the placement left instance-1 without a task"
    agent, worker = Member(Role.AGENT, 0), Member(Role.WORKER, 1)
    deployment.freeze(agent)
    deployment.freeze(worker)
    load.wait_until(
        lambda: all(
            client.read_epochs()[task_id] > 1 for task_id in lost_tasks
        ),
        "tasks of the paused agent were not moved",
    )
    deployment.thaw(agent)
    deployment.thaw(worker)
    states = client.wait_for_tasks(task_ids)
    assert set(states.values()) == {"succeeded"}, states
    assert load.find_task_overlaps(client, task_ids) == []
