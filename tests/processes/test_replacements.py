"""Tests of planned stops and replacements under load."""

import threading

import cluster
import cluster_settings
import pytest

from tests.processes import load, test_deaths

Member = cluster_settings.Member
Role = cluster_settings.Role

DRAIN_S = 3.0
"""Documented target: a draining upstream gets no new work after this time."""


@pytest.mark.parametrize(
    "member", [Member(Role.AGENT, 0), Member(Role.ENTRY, 0)], ids=str
)
def test_planned_stop(
    deployment: cluster.Cluster,
    client: load.Client,
    member: cluster_settings.Member,
) -> None:
    """Guards against a planned stop that cuts off requests in progress."""
    with load.BackgroundLoad(
        client, f"stop-{member}", delay_ms=400
    ) as background:
        background.wait_for_completed(16)
        assert deployment.stop(member) == 0
        background.wait_for_completed(32)
        deployment.restart(member)
        background.wait_for_completed(32)
    check_requests(client, background)


def check_requests(
    client: load.Client, background: load.BackgroundLoad
) -> None:
    """Checks that every request was completed, or refused without a run."""
    assert load.find_violations(client, background.histories) == []
    outcomes = {item.final_answer.outcome for item in background.histories}
    assert outcomes <= {"completed", "not-run"}, outcomes


def test_upstream_drains(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against new work for an upstream that drains.

    More requests wait at its agent than its slots can serve before the
    target, so the rest must go to other upstreams.
    """
    del deployment

    def count_requests() -> int:
        return len(client.read_records(Role.UPSTREAM, 0)["requests"])

    with load.BackgroundLoad(
        client, "drain", threads=48, delay_ms=1200
    ) as background:
        background.wait_for_completed(36)
        client.set_fault(Role.UPSTREAM, 0, "none", draining=True)
        threading.Event().wait(DRAIN_S)
        count_before = count_requests()
        background.wait_for_completed(24)
        assert count_requests() == count_before
    check_requests(client, background)


def test_replace_everything(
    deployment: cluster.Cluster, client: load.Client
) -> None:
    """Guards against lost work while all processes are replaced in turn."""
    members = [
        *deployment.list_members(Role.AGENT),
        *deployment.list_members(Role.ENTRY),
    ]
    task_ids = test_deaths.submit_tasks(client, "replaced")
    with load.BackgroundLoad(client, "replace", delay_ms=100) as background:
        for member in members:
            assert deployment.stop(member) == 0
            task_ids += [client.submit_task(f"replaced-{member}", 1500)]
            deployment.restart(member)
            background.wait_for_completed(32)
    check_requests(client, background)
    test_deaths.check_tasks(client, task_ids)
