"""Idle cost of running processes, and the processor time of requests."""

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
"""Requests of two rounds; their difference excludes the idle cost."""

SHAPES = ((1, 1), (3, 4))
"""Entries and agents of the two deployments."""

FAR_REGION = "region-far"
KINDS = ("sketch-cleanup", "sketch-tile", "plate-render", "thumbnail-refresh")
MEMBERS = (500, 1500)
"""Instances that the script announces, each once a second."""

ANNOUNCED_S = 6
BURST = 50
Point = slopes_timing.Point
Member = cluster_settings.Member
Role = cluster_settings.Role


@dataclasses.dataclass(slots=True)
class Taps:
    """Counters between the processes and beside them.

    Attributes:
        near: Receives what the first agent sends to one near entry.
        far: Receives what it sends to one entry of another region.
        table: Passes on what the first entry says to the table.
        announcements: Where the first entry hears announcements.
    """

    near: counters.DatagramSink
    far: counters.DatagramSink
    table: counters.CountingRelay
    announcements: int = 0

    def revise(self, plan: cluster_settings.Plan) -> None:
        """Puts the counters into the settings of a deployment."""
        self.announcements = plan.announcements[0].port
        agent = plan.documents["agent-0.json"]
        region = agent["region"]
        agent["entries"] = [
            *agent["entries"],
            {"host": counters.HOST, "port": self.near.port, "region": region},
            {
                "host": counters.HOST,
                "port": self.far.port,
                "region": FAR_REGION,
            },
        ]
        self.table.target = plan.health[Member(Role.PLATFORM)].port
        url = f"http://{counters.HOST}:{self.table.port}"
        plan.documents["entry-0.json"]["table"] = {"url": url}


def measure_processes() -> Iterator[Point]:
    """Yields the figures of two deployments."""
    for entries, agents in SHAPES:
        with contextlib.ExitStack() as stack:
            taps = Taps(
                counters.DatagramSink(),
                counters.DatagramSink(),
                counters.CountingRelay(),
            )
            for item in (taps.near, taps.far, taps.table):
                stack.callback(item.close)
            shape = cluster_settings.Shape(
                entries=entries,
                agents=agents,
                data_centres=1,
                kinds=KINDS,
                service_ms=1,
            )
            running = stack.enter_context(
                cluster.Cluster(shape, revise=taps.revise)
            )
            demo.apply_declarations(running)
            time.sleep(SETTLE_S)
            yield from _measure_idle(running, taps, entries, agents)
            if (entries, agents) == SHAPES[0]:
                yield from _measure_requests(running)
                yield from _measure_members(running, taps)


def _measure_idle(
    running: cluster.Cluster, taps: Taps, entries: int, agents: int
) -> Iterator[Point]:
    chosen = {
        "agent": (Member(Role.AGENT, 0), entries, "entries"),
        "entry": (Member(Role.ENTRY, 0), agents, "agents"),
        "table stand-in": (Member(Role.PLATFORM), entries, "entries"),
    }
    before = {
        name: counters.read_usage(running.get_pid(member))
        for name, (member, _, _) in chosen.items()
    }
    counted = (taps.near.bytes, taps.far.bytes, taps.table.bytes)
    started = time.monotonic()
    time.sleep(IDLE_S)
    passed = time.monotonic() - started
    for name, (member, size, unit) in chosen.items():
        after = counters.read_usage(running.get_pid(member))
        spent = (after.cpu_s - before[name].cpu_s) / passed
        yield Point(
            f"idle {name}: processor time in a second", size, unit, spent * 1e6
        )
        yield Point(
            f"idle {name}: resident memory",
            size,
            unit,
            None,
            round(after.memory_mb * 1e6),
        )
    sent = (taps.near.bytes, taps.far.bytes, taps.table.bytes)
    rates = [
        round((now - then) / passed)
        for now, then in zip(sent, counted, strict=True)
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
    http = urllib3.PoolManager(retries=False, timeout=10.0)
    url = f"{running.get_callers_url(0)}/slopes"
    chosen = {"entry": Member(Role.ENTRY, 0), "agent": Member(Role.AGENT, 0)}
    for count in REQUESTS:
        before = {
            name: counters.read_usage(running.get_pid(member))
            for name, member in chosen.items()
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
        for name, member in chosen.items():
            after = counters.read_usage(running.get_pid(member))
            spent = after.cpu_s - before[name].cpu_s
            yield Point(
                f"request: whole process of one {name}, one client",
                count,
                "requests in all",
                spent * 1e6,
            )


def _measure_members(running: cluster.Cluster, taps: Taps) -> Iterator[Point]:
    """Yields what an entry spends on many instances that announce."""
    key = cluster_settings.DEPLOYMENT_KEY.encode()
    target = members.Address(counters.HOST, taps.announcements)
    pid = running.get_pid(Member(Role.ENTRY, 0))
    sequences = iter(range(1, 10**9))
    with contextlib.closing(datagrams.Sender(key)) as sender:
        for count in MEMBERS:
            # The first round makes the members known.
            _announce(sender, target, count, next(sequences))
            before = counters.read_usage(pid)
            started = time.monotonic()
            for _ in range(ANNOUNCED_S):
                _announce(sender, target, count, next(sequences))
            passed = time.monotonic() - started
            after = counters.read_usage(pid)
            spent = (after.cpu_s - before.cpu_s) / passed
            yield Point(
                "entry with announcing instances: processor time in a second",
                count,
                "instances",
                spent * 1e6,
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
    """Announces each instance once, spread over a second in small bursts."""
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
