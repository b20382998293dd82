"""Shared setup of the measurements: declarations, headers and faults."""

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
START_ATTEMPTS = 3
POLICIES = ("standard", "baseline")
Member = cluster_settings.Member
Role = cluster_settings.Role
_HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


@contextlib.contextmanager
def run_cluster(shape: cluster_settings.Shape) -> Iterator[cluster.Cluster]:
    """Starts a deployment, with up to START_ATTEMPTS attempts, and yields it.

    Ports are chosen before the processes bind them, so another program may
    bind one of them in between; the start is then repeated with new ports.
    """
    with contextlib.ExitStack() as stack:
        for attempts_left in reversed(range(START_ATTEMPTS)):
            try:
                running = stack.enter_context(cluster.Cluster(shape))
                break
            except cluster.NotReadyError:
                if not attempts_left:
                    raise
        yield running


def build_request_template(
    name: str, work_class: str, timeout_ms: int
) -> dict[str, Any]:
    """Returns the declaration of a request template."""
    return {
        "name": name,
        "work": "request",
        "class": work_class,
        "timeout_ms": timeout_ms,
    }


def build_task_template(
    name: str, cpu_millis: int, memory_mb: int
) -> dict[str, Any]:
    """Returns the declaration of a batch task template."""
    return {
        "name": name,
        "work": "task",
        "class": "batch",
        "cpu_millis": cpu_millis,
        "memory_mb": memory_mb,
        "lease_s": 900,
    }


def build_organisation(
    name: str, kinds: Sequence[str], queue_limit: int = 256
) -> dict[str, Any]:
    """Returns the declaration of an organisation with a large quota."""
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


def apply_declarations(
    running: cluster.Cluster,
    templates: Sequence[Mapping[str, Any]],
    organisations: Sequence[Mapping[str, Any]],
) -> None:
    """Applies declarations and waits until every process uses them.

    Raises:
        cluster.NotReadyError: The declarations were refused, or are not in
            force after the last attempt.
    """
    document = {"templates": templates, "organisations": organisations}
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "declarations.json"
        path.write_text(json.dumps(document))
        process = running.run_ctl(
            "apply",
            "--comment",
            "measurement",
            "--author",
            "measure",
            str(path),
        )
    if process.returncode != 0:
        raise cluster.NotReadyError(process.stdout + process.stderr)
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


def build_target(
    url: str, organisation: str, kind: str, deadline_ms: int
) -> load.Target:
    """Returns a target for requests of one organisation and kind at an entry.

    Args:
        url: Caller listener of the entry.
        organisation: Organisation of the requests.
        kind: Kind of the requests.
        deadline_ms: Their deadline.
    """
    headers = {
        "Gypsumhold-Organisation": organisation,
        "Gypsumhold-Kind": kind,
        "Gypsumhold-Deadline-Ms": str(deadline_ms),
    }
    return load.Target(url, headers)


def set_fault(running: cluster.Cluster, member: Member, **fault: Any) -> None:
    """Sets the fault that a stand-in simulates.

    Args:
        running: The deployment.
        member: The stand-in.
        fault: Fields of the fault document; `fault` defaults to "none".

    Raises:
        RuntimeError: The stand-in refused the document.
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
    """Returns the JSON document that a stand-in serves at a path."""
    return _HTTP.request(
        "GET", f"{running.get_health_url(member)}{path}"
    ).json()
