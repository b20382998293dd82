"""Chooses addresses and builds settings for a small deployment on loopback."""

import contextlib
import dataclasses
import enum
import socket
from collections.abc import Iterator
from typing import Any

HOST = "127.0.0.1"
OPERATOR_TOKEN = "demo-operator-token"
DEPLOYMENT_KEY = "demo-deployment-key"
MAX_BODY_BYTES = 1_048_576
CALLER_THREADS = 96
REGION = "region-0"
RACK_SIZE = 3


class Role(enum.StrEnum):
    """Role of a process in the deployment."""

    PLATFORM = "platform"
    WORKER = "worker"
    UPSTREAM = "upstream"
    AGENT = "agent"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size of a deployment.

    Attributes:
        entries: Number of entries.
        agents: Number of agents, each with a worker and an upstream.
        data_centres: Number of data centres, assigned to entries and to agents
            in turn.
        kinds: Kinds of requests that every upstream serves.
        slots: Slots of each upstream.
        connections: Connections of each upstream.
        service_ms: Time that an upstream takes for one request.
        cpu_millis: CPU capacity of each worker, in thousandths of a core.
        memory_mb: Memory of each worker.
        accelerators: Accelerators of each worker.
        tuning: Keys and values of the `tuning` section of each entry.
        agent_tuning: Keys and values of the `tuning` section of each agent.
        policies: Policy set of the entries and agents.
    """

    entries: int = 2
    agents: int = 3
    data_centres: int = 2
    kinds: tuple[str, ...] = ()
    slots: int = 8
    connections: int = 64
    service_ms: int = 20
    cpu_millis: int = 8000
    memory_mb: int = 16_000
    accelerators: int = 1
    tuning: tuple[tuple[str, Any], ...] = ()
    agent_tuning: tuple[tuple[str, Any], ...] = ()
    policies: str = "standard"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identifies one process of the deployment, for example `agent-1`."""

    role: Role
    index: int = 0

    def __str__(self) -> str:
        return f"{self.role}-{self.index}"


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A port on loopback."""

    port: int

    @property
    def url(self) -> str:
        """Base URL of an HTTP listener."""
        return f"http://{HOST}:{self.port}"

    @property
    def document(self) -> dict[str, Any]:
        """The address in the form that settings files use."""
        return {"host": HOST, "port": self.port}


@dataclasses.dataclass(slots=True)
class Plan:
    """Addresses and settings of a deployment.

    Attributes:
        health: Listener of each process that serves the health route.
        callers: Caller listener of each entry.
        operators: Operator listener of each entry.
        announcements: UDP socket on which each entry receives announcements.
        documents: Content of each settings file, by file name.
    """

    health: dict[Member, Address] = dataclasses.field(default_factory=dict)
    callers: list[Address] = dataclasses.field(default_factory=list)
    operators: list[Address] = dataclasses.field(default_factory=list)
    announcements: list[Address] = dataclasses.field(default_factory=list)
    documents: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self, member: Member, health: Address, document: dict[str, Any]
    ) -> None:
        """Adds a process with its health listener and settings."""
        self.health[member] = health
        self.documents[f"{member}.json"] = document


def _choose_free_addresses(count: int, socket_type: int) -> list[Address]:
    """Returns distinct ports that were free at the time of the call.

    All sockets stay open until every port is known, so no port is returned
    twice.

    Args:
        count: Number of ports.
        socket_type: `socket.SOCK_STREAM` or `socket.SOCK_DGRAM`.
    """
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket(socket.AF_INET, socket_type))
            for _ in range(count)
        ]
        for bound_socket in sockets:
            bound_socket.bind((HOST, 0))
        return [
            Address(bound_socket.getsockname()[1]) for bound_socket in sockets
        ]


def choose_port() -> int:
    """Returns a TCP port that was free at the time of the call."""
    return _choose_free_addresses(1, socket.SOCK_STREAM)[0].port


def _build_location(shape: Shape, index: int) -> dict[str, str]:
    return {
        "data_centre": f"dc-{index % shape.data_centres}",
        "region": REGION,
    }


def _plan_entry(
    plan: Plan,
    shape: Shape,
    index: int,
    ports: Iterator[Address],
) -> None:
    platform = plan.health[Member(Role.PLATFORM)]
    callers, operators, peers = next(ports), next(ports), next(ports)
    plan.callers.append(callers)
    plan.operators.append(operators)
    document: dict[str, Any] = {
        "name": f"entry-{index}",
        **_build_location(shape, index),
        "callers": callers.document,
        "operators": operators.document,
        "peers": peers.document,
        "announcements": plan.announcements[index].document,
        "table": {"url": platform.url},
        "objects": {"url": platform.url},
        "deployment_key": DEPLOYMENT_KEY,
        "operator_token": OPERATOR_TOKEN,
        "max_body_bytes": MAX_BODY_BYTES,
        "caller_threads": CALLER_THREADS,
        "log": {"json": True, "level": "info"},
        "policies": shape.policies,
    }
    if shape.tuning:
        document["tuning"] = dict(shape.tuning)
    plan.add(Member(Role.ENTRY, index), operators, document)


def _plan_agent(
    plan: Plan,
    shape: Shape,
    index: int,
    peers: Address,
    local: Address,
) -> None:
    document: dict[str, Any] = {
        "instance": f"instance-{index}",
        **_build_location(shape, index),
        "rack": f"rack-{index // RACK_SIZE}",
        "peers": peers.document,
        "local": local.document,
        "worker": {"url": plan.health[Member(Role.WORKER, index)].url},
        "entries": [
            {**address.document, "region": REGION}
            for address in plan.announcements
        ],
        "deployment_key": DEPLOYMENT_KEY,
        "max_body_bytes": MAX_BODY_BYTES,
        "log": {"json": True, "level": "info"},
        "policies": shape.policies,
    }
    if shape.agent_tuning:
        document["tuning"] = dict(shape.agent_tuning)
    plan.add(Member(Role.AGENT, index), local, document)


def _plan_worker(plan: Plan, shape: Shape, index: int, worker: Address) -> None:
    document = {
        "listen": worker.document,
        "capacity": {
            "cpu_millis": shape.cpu_millis,
            "memory_mb": shape.memory_mb,
            "accelerators": shape.accelerators,
        },
    }
    plan.add(Member(Role.WORKER, index), worker, document)


def _plan_upstream(
    plan: Plan, shape: Shape, index: int, upstream: Address, local: Address
) -> None:
    document = {
        "listen": upstream.document,
        "agent": local.document,
        "kinds": list(shape.kinds),
        "slots": shape.slots,
        "connections": shape.connections,
        "service_ms": shape.service_ms,
        "reserved": {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0},
    }
    plan.add(Member(Role.UPSTREAM, index), upstream, document)


def plan_settings(shape: Shape) -> Plan:
    """Chooses free ports and returns the settings of every process."""
    # TCP listeners: callers, operators and peers of each entry; peers and local
    # of each agent; its worker and upstream; and the platform stand-in.
    count = 3 * shape.entries + 4 * shape.agents + 1
    ports = iter(_choose_free_addresses(count, socket.SOCK_STREAM))
    plan = Plan(
        announcements=_choose_free_addresses(shape.entries, socket.SOCK_DGRAM)
    )
    platform = next(ports)
    plan.add(Member(Role.PLATFORM), platform, {"listen": platform.document})
    for index in range(shape.entries):
        _plan_entry(plan, shape, index, ports)
    for index in range(shape.agents):
        local = next(ports)
        _plan_worker(plan, shape, index, next(ports))
        _plan_agent(plan, shape, index, next(ports), local)
        _plan_upstream(plan, shape, index, next(ports), local)
    plan.documents["ctl.json"] = {
        "entries": [
            {"operators": operators.document, "callers": callers.document}
            for operators, callers in zip(
                plan.operators, plan.callers, strict=True
            )
        ],
        "operator_token": OPERATOR_TOKEN,
    }
    return plan
