"""Operators who change the configuration at the same time."""

import concurrent.futures
import time
from typing import Any

import cluster
import cluster_settings

from tests.processes import load

IN_FORCE_S = 5.0
"""Stated target for an accepted change on loopback."""

AUTHORS = ("ana", "berta")


def test_conflicting_applies(
    running: cluster.Cluster, client: load.Client
) -> None:
    """Guards against a lost change and a change that is in force late."""
    base = call(running, client, 0, "GET /v1/config").json()["version"]

    def apply(entry: int) -> Any:
        document = {
            "base_version": base,
            "author": AUTHORS[entry],
            "comment": "both at once",
            "put": {
                "templates": [],
                "organisations": [{"name": AUTHORS[entry], "kinds": {}}],
            },
            "delete": {"templates": [], "organisations": []},
        }
        return call(running, client, entry, "POST /v1/config", document)

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(pool.map(apply, (0, 1)))
    accepted_at = time.monotonic()
    assert sorted(item.status for item in answers) == [200, 409]
    winner = [item.status for item in answers].index(200)
    message = answers[1 - winner].json()["error"]["message"]
    assert AUTHORS[winner] in message, message
    version = answers[winner].json()["version"]
    assert version == base + 1
    load.attempt_until(
        lambda: running.run_ctl("status", "--check").returncode == 0,
        "the version is not in force everywhere",
    )
    assert time.monotonic() - accepted_at <= IN_FORCE_S
    for entry in (0, 1):
        found = call(running, client, entry, "GET /v1/config").json()
        assert found["version"] == version
        names = {item["name"] for item in found["organisations"]}
        assert names & set(AUTHORS) == {AUTHORS[winner]}


def call(
    running: cluster.Cluster,
    client: load.Client,
    entry: int,
    target: str,
    document: Any = None,
) -> Any:
    """Calls an operator route, named by method and path, of an entry."""
    method, path = target.split()
    member = cluster_settings.Member(cluster_settings.Role.ENTRY, entry)
    token = f"Bearer {cluster_settings.OPERATOR_TOKEN}"
    return client.http.request(
        method,
        f"{running.name_health_url(member)}{path}",
        json=document,
        headers={"Authorization": token},
    )
