"""What the measurements share: declarations, headers, scripted faults."""

import contextlib
import json
import pathlib
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import cluster
import cluster_settings
import demo
import load
import urllib3

SEED = 20
SETTLE_S = 1.5
STARTS = 3
POLICIES = ("standard", "baseline")
Member = cluster_settings.Member
Role = cluster_settings.Role
_HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


@contextlib.contextmanager
def run_cluster(shape: cluster_settings.Shape) -> Iterator[cluster.Cluster]:
    """Runs a deployment.

    Ports are chosen before the processes bind them, so another program may
    take one in between; the start is repeated then.
    """
    with contextlib.ExitStack() as stack:
        for left in reversed(range(STARTS)):
            try:
                running = stack.enter_context(cluster.Cluster(shape))
                break
            except cluster.NotReadyError:
                if not left:
                    raise
        yield running


def request_kind(name: str, work_class: str, timeout_ms: int) -> dict[str, Any]:
    """Returns the template of a kind of requests."""
    return {
        "name": name,
        "work": "request",
        "class": work_class,
        "timeout_ms": timeout_ms,
    }


def task_kind(name: str, cpu_millis: int, memory_mb: int) -> dict[str, Any]:
    """Returns the template of a kind of tasks."""
    return {
        "name": name,
        "work": "task",
        "class": "batch",
        "cpu_millis": cpu_millis,
        "memory_mb": memory_mb,
        "lease_s": 900,
    }


def organisation(
    name: str, kinds: Sequence[str], queue_limit: int = 256
) -> dict[str, Any]:
    """Returns an organisation with a large quota."""
    return {
        "name": name,
        "weight": 1,
        "quota": {
            "cpu_millis": 10**7,
            "memory_mb": 10**7,
            "accelerators": 100,
        },
        "queue_limit": queue_limit,
        "kinds": {kind: {} for kind in kinds},
    }


def apply(
    running: cluster.Cluster,
    templates: Sequence[Mapping[str, Any]],
    organisations: Sequence[Mapping[str, Any]],
) -> None:
    """Applies declarations and waits until every member is ready.

    Raises:
        cluster.NotReadyError: They were refused or are not in force.
    """
    document = {"templates": templates, "organisations": organisations}
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / "declarations.json"
        path.write_text(json.dumps(document))
        done = running.run_ctl(
            "apply",
            "--comment",
            "measurement",
            "--author",
            "measure",
            str(path),
        )
    if done.returncode != 0:
        raise cluster.NotReadyError(done.stdout + done.stderr)
    for role in (Role.ENTRY, Role.AGENT):
        for member in running.list_members(role):
            running.wait_ready(member)
    for _ in range(demo.CONFIG_ATTEMPTS):
        status = running.run_ctl("status", "--check", "--json")
        agents = len(running.list_members(Role.AGENT))
        if (
            status.returncode == 0
            and demo.count_serving_instances(status.stdout) == agents
        ):
            break
        time.sleep(0.2)
    else:
        raise cluster.NotReadyError(status.stdout + status.stderr)
    time.sleep(SETTLE_S)


def caller(url: str, owner: str, kind: str, deadline_ms: int) -> load.Target:
    """Returns a target at an entry."""
    headers = {
        "Gypsumhold-Organisation": owner,
        "Gypsumhold-Kind": kind,
        "Gypsumhold-Deadline-Ms": str(deadline_ms),
    }
    return load.Target(url, headers)


def script(running: cluster.Cluster, member: Member, **fault: Any) -> None:
    """Scripts a fault of a stand-in.

    Raises:
        RuntimeError: The stand-in refused it.
    """
    document = {"fault": "none", **fault}
    response = _HTTP.request(
        "POST",
        f"{running.get_health_url(member)}/v1/faults",
        body=json.dumps(document).encode(),
    )
    if response.status != 200:
        raise RuntimeError(response.data.decode())


def read_json(running: cluster.Cluster, member: Member, path: str) -> Any:
    """Returns what a stand-in answers to a GET."""
    return _HTTP.request(
        "GET", f"{running.get_health_url(member)}{path}"
    ).json()
