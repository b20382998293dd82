"""Processes that are paused past a lease and then continue."""

import concurrent.futures

import cluster
import cluster_settings

from tests.processes import load

Member = cluster_settings.Member
Role = cluster_settings.Role

TASKS = 9
LONG_MS = 7000
"""Longer than the lease of a task, so that the lease has to be renewed."""


def test_entry_paused_past_partition_lease(
    running: cluster.Cluster, client: load.Client
) -> None:
    """Guards against two holders of a partition and against a second run.

    The paused entry has a claimed request in progress, which another entry
    resolves meanwhile; both callers get the same answer.
    """
    run_ms = 4000
    tag = "entry-paused"
    task_ids = [client.submit(f"{tag}-{n}", run_ms) for n in range(TASKS)]
    holder = client.find_holder()
    path = f"/{tag}/claimed"
    request = load.Request(path, load.ONCE, key=path, delay_ms=1000)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        paused = pool.submit(client.call, holder, request)
        load.attempt_until(
            lambda: client.count_runs()[path], "the request does not run"
        )
        running.freeze(Member(Role.ENTRY, holder))
        ended = client.run([1 - holder], request)
        late = client.submit(f"{tag}-late", run_ms, [1 - holder])
        assert client.find_holder() == 1 - holder
        running.thaw(Member(Role.ENTRY, holder))
        first = paused.result()
    assert ended.final.outcome == "completed", ended
    assert first == ended.final
    assert load.find_violations(client, [ended]) == []
    # The thawed entry passes submissions on to the new holder.
    again = client.submit(f"{tag}-late", run_ms, [holder])
    assert again == late
    states = client.wait_tasks([*task_ids, late])
    assert set(states.values()) == {"succeeded"}, states
    assert load.find_task_overlaps(client, states, run_ms) == []


def test_agent_and_worker_paused_past_task_lease(
    running: cluster.Cluster, client: load.Client
) -> None:
    """Guards against a task that runs on two workers after a lease lapsed."""
    tag = "instances-paused"
    task_ids = [client.submit(f"{tag}-{n}", LONG_MS) for n in range(TASKS)]

    def count_started(index: int) -> set[str]:
        runs = client.read_seen(Role.WORKER, index)["runs"]
        return {run["task_id"] for run in runs} & set(task_ids)

    load.attempt_until(
        lambda: sum(len(count_started(n)) for n in range(3)) == TASKS,
        "not every task has started",
    )
    lost = count_started(0)
    assert lost, "the placement left instance-0 without a task"
    assert count_started(1), "the placement left instance-1 without a task"
    agent, worker = Member(Role.AGENT, 0), Member(Role.WORKER, 1)
    running.freeze(agent)
    running.freeze(worker)
    load.attempt_until(
        lambda: all(client.read_epochs()[name] > 1 for name in lost),
        "tasks of the paused agent were not moved",
    )
    running.thaw(agent)
    running.thaw(worker)
    states = client.wait_tasks(task_ids)
    assert set(states.values()) == {"succeeded"}, states
    assert load.find_task_overlaps(client, task_ids) == []
