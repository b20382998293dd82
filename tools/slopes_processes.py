"""Measures running processes: their idle cost and the CPU time of requests."""

import contextlib
import dataclasses
import time
from collections.abc import Iterator

import cluster
import cluster_settings
import counters
import demo
import slopes_models
import slopes_timing
import urllib3

from gypsumhold.adapters import datagrams
from gypsumhold.model import members

IDLE_S = 20.0
SETTLE_S = 3.0
REQUESTS = (200, 600)
"""Requests in each of two rounds. The difference between the rounds excludes
the idle cost."""

SHAPES = ((1, 1), (3, 4))
"""Numbers of entries and agents of the two deployments."""

FAR_REGION = "region-far"
KINDS = ("sketch-cleanup", "sketch-tile", "plate-render", "thumbnail-refresh")
MEMBERS = (500, 1500)
"""Numbers of instances that the script announces, each once a second."""

ANNOUNCED_S = 6
BURST = 50
Point = slopes_timing.Point
Member = cluster_settings.Member
Role = cluster_settings.Role


@dataclasses.dataclass(slots=True)
class TrafficCounters:
    """Counters of the traffic of a deployment.

    Attributes:
        near_entry: Receives the announcements that the first agent sends to an
            entry of its region.
        far_entry: Receives those that it sends to an entry of another region.
        table: Relays the connections of the first entry to the table.
        announcement_port: UDP port on which the first entry receives
            announcements.
    """

    near_entry: counters.DatagramSink
    far_entry: counters.DatagramSink
    table: counters.CountingRelay
    announcement_port: int = 0

    def revise(self, plan: cluster_settings.Plan) -> None:
        """Changes the settings so that the traffic reaches the counters."""
        self.announcement_port = plan.announcements[0].port
        agent = plan.documents["agent-0.json"]
        region = agent["region"]
        agent["entries"] = [
            *agent["entries"],
            {
                "host": counters.HOST,
                "port": self.near_entry.port,
                "region": region,
            },
            {
                "host": counters.HOST,
                "port": self.far_entry.port,
                "region": FAR_REGION,
            },
        ]
        self.table.target = plan.health[Member(Role.PLATFORM)].port
        url = f"http://{counters.HOST}:{self.table.port}"
        plan.documents["entry-0.json"]["table"] = {"url": url}


def measure_processes() -> Iterator[Point]:
    """Yields the figures of deployments of different shapes.

    Requests and announcing instances are measured on the first shape only.
    """
    for entries, agents in SHAPES:
        with contextlib.ExitStack() as stack:
            traffic = TrafficCounters(
                counters.DatagramSink(),
                counters.DatagramSink(),
                counters.CountingRelay(),
            )
            for counter in (
                traffic.near_entry,
                traffic.far_entry,
                traffic.table,
            ):
                stack.callback(counter.close)
            shape = cluster_settings.Shape(
                entries=entries,
                agents=agents,
                data_centres=1,
                kinds=KINDS,
                service_ms=1,
            )
            running = stack.enter_context(
                cluster.Cluster(shape, revise=traffic.revise)
            )
            demo.apply_declarations(running)
            time.sleep(SETTLE_S)
            yield from _measure_idle(running, traffic, entries, agents)
            if (entries, agents) == SHAPES[0]:
                yield from _measure_requests(running)
                yield from _measure_members(running, traffic)


def _measure_idle(
    running: cluster.Cluster,
    traffic: TrafficCounters,
    entries: int,
    agents: int,
) -> Iterator[Point]:
    """Yields CPU time, memory and traffic of a deployment without requests."""
    processes = {
        "agent": (Member(Role.AGENT, 0), entries, "entries"),
        "entry": (Member(Role.ENTRY, 0), agents, "agents"),
        "table stand-in": (Member(Role.PLATFORM), entries, "entries"),
    }
    before = {
        name: counters.read_usage(running.get_pid(member))
        for name, (member, _, _) in processes.items()
    }
    bytes_before = (
        traffic.near_entry.bytes,
        traffic.far_entry.bytes,
        traffic.table.bytes,
    )
    started = time.monotonic()
    time.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started
    for name, (member, size, unit) in processes.items():
        after = counters.read_usage(running.get_pid(member))
        cpu_share = (after.cpu_s - before[name].cpu_s) / elapsed_s
        yield Point(
            f"idle {name}: processor time in a second",
            size,
            unit,
            cpu_share * 1e6,
        )
        yield Point(
            f"idle {name}: resident memory",
            size,
            unit,
            None,
            round(after.memory_mb * 1e6),
        )
    bytes_after = (
        traffic.near_entry.bytes,
        traffic.far_entry.bytes,
        traffic.table.bytes,
    )
    rates = [
        round((end - start) / elapsed_s)
        for end, start in zip(bytes_after, bytes_before, strict=True)
    ]
    yield Point(
        "idle agent: bytes a second to one near entry",
        entries,
        "entries",
        None,
        rates[0],
    )
    yield Point(
        "idle agent: bytes a second to one far entry",
        entries,
        "entries",
        None,
        rates[1],
    )
    yield Point(
        "idle entry: bytes a second with the table",
        agents,
        "agents",
        None,
        rates[2],
    )
    yield Point(
        "idle entry: bytes a second of announcements",
        agents,
        "agents",
        None,
        rates[0] * agents,
    )


def _measure_requests(running: cluster.Cluster) -> Iterator[Point]:
    """Yields the CPU time that an entry and an agent take for requests.

    Raises:
        RuntimeError: A request was not answered with status 200.
    """
    http = urllib3.PoolManager(retries=False, timeout=10.0)
    url = f"{running.get_callers_url(0)}/slopes"
    processes = {"entry": Member(Role.ENTRY, 0), "agent": Member(Role.AGENT, 0)}
    for count in REQUESTS:
        before = {
            name: counters.read_usage(running.get_pid(member))
            for name, member in processes.items()
        }
        for _ in range(count):
            response = http.request(
                "POST",
                url,
                body=b"x" * 100,
                headers={
                    "Gypsumhold-Organisation": "taller-quilla",
                    "Gypsumhold-Kind": "sketch-tile",
                    "Gypsumhold-Deadline-Ms": "5000",
                },
            )
            if response.status != 200:
                raise RuntimeError(f"status {response.status}")
        for name, member in processes.items():
            after = counters.read_usage(running.get_pid(member))
            cpu_s = after.cpu_s - before[name].cpu_s
            yield Point(
                f"request: whole process of one {name}, one client",
                count,
                "requests in all",
                cpu_s * 1e6,
            )


def _measure_members(
    running: cluster.Cluster, traffic: TrafficCounters
) -> Iterator[Point]:
    """Yields CPU time and memory of an entry with many announcing instances."""
    key = cluster_settings.DEPLOYMENT_KEY.encode()
    target = members.Address(counters.HOST, traffic.announcement_port)
    pid = running.get_pid(Member(Role.ENTRY, 0))
    sequences = iter(range(1, 10**9))
    with contextlib.closing(datagrams.Sender(key)) as sender:
        for count in MEMBERS:
            # The first round adds the members and is not measured.
            _announce(sender, target, count, next(sequences))
            before = counters.read_usage(pid)
            started = time.monotonic()
            for _ in range(ANNOUNCED_S):
                _announce(sender, target, count, next(sequences))
            elapsed_s = time.monotonic() - started
            after = counters.read_usage(pid)
            cpu_share = (after.cpu_s - before.cpu_s) / elapsed_s
            yield Point(
                "entry with announcing instances: processor time in a second",
                count,
                "instances",
                cpu_share * 1e6,
            )
            yield Point(
                "entry with announcing instances: resident memory",
                count,
                "instances",
                None,
                round(after.memory_mb * 1e6),
            )


def _announce(
    sender: datagrams.Sender,
    target: members.Address,
    count: int,
    sequence: int,
) -> None:
    """Announces each instance once, in bursts spread over one second."""
    started = time.monotonic()
    for number in range(count):
        if number % BURST == 0:
            due = started + number / count
            time.sleep(max(0.0, due - time.monotonic()))
        announcement = slopes_models.build_announcement(
            number, sequence, len(KINDS)
        )
        sender.send(announcement, [target])
    time.sleep(max(0.0, started + 1 - time.monotonic()))
