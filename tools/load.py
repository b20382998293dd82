"""Sends requests: closed loops, and open streams at a fixed rate."""

import concurrent.futures
import dataclasses
import http.client
import itertools
import random
import socket
import time
import urllib.parse
from collections.abc import Callable, Mapping, Sequence

import load_stats

OUTCOME = "Gypsumhold-Outcome"
REASON = "Gypsumhold-Reason"
TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where requests go and the headers that they carry."""

    url: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b"x" * 100


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind at a fixed mean rate.

    Attributes:
        name: Name in the results.
        targets: Used in turn.
        rate: Requests a second, at random instants.
        threads: Requests that may wait at once; a later one is late then, and
            its latency counts from the instant at which it was due.
    """

    name: str
    targets: Sequence[Target]
    rate: float
    threads: int


class Client:
    """One kept connection for each base URL; one thread uses it."""

    def __init__(self) -> None:
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def send(self, target: Target) -> tuple[bool, str]:
        """Returns whether a whole answer came, and its outcome."""
        connection = self._connect(target.url)
        try:
            connection.request(
                "POST", "/measured", target.body, dict(target.headers)
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException) as problem:
            connection.close()
            return False, type(problem).__name__
        outcome = response.headers.get(OUTCOME, "completed")
        good = response.status == 200 and outcome == "completed"
        reason = response.headers.get(REASON, str(response.status))
        return good, outcome if good else f"{outcome}: {reason}"

    def _connect(self, url: str) -> http.client.HTTPConnection:
        connection = self._connections.get(url)
        if connection is None:
            place = urllib.parse.urlsplit(url)
            connection = http.client.HTTPConnection(
                place.hostname or "", place.port, timeout=TIMEOUT_S
            )
            self._connections[url] = connection
        if connection.sock is None:
            _open(connection)
        return connection

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._connections.values():
            connection.close()


def _open(connection: http.client.HTTPConnection) -> None:
    """Connects; without the option the second write of a request waits.

    Head and body are written apart, and the body would wait for the
    acknowledgement of the head.
    """
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def run_closed(
    target: Target, clients: int, seconds: float
) -> list[load_stats.Sample]:
    """Lets each client send its next request after each answer."""
    start = time.monotonic()

    def run(_: int) -> list[load_stats.Sample]:
        client = Client()
        samples = []
        while (due := time.monotonic()) < start + seconds:
            good, outcome = client.send(target)
            spent = time.monotonic() - due
            samples.append(load_stats.Sample(due - start, spent, good, outcome))
        client.close()
        return samples

    return _gather(run, clients)


def plan_instants(rate: float, seconds: float, seed: int) -> list[float]:
    """Returns random instants with exponential gaps."""
    source = random.Random(seed)
    instants = itertools.accumulate(
        iter(lambda: source.expovariate(rate), None)
    )
    return list(itertools.takewhile(lambda at: at < seconds, instants))


def run_streams(
    streams: Sequence[Stream], seconds: float, seed: int
) -> dict[str, list[load_stats.Sample]]:
    """Runs all streams at once and returns the samples of each."""
    start = time.monotonic() + 0.2
    with concurrent.futures.ThreadPoolExecutor(len(streams)) as pool:
        found = {
            item.name: pool.submit(
                _run_stream, item, start, seconds, seed + number
            )
            for number, item in enumerate(streams)
        }
        return {name: future.result() for name, future in found.items()}


def _run_stream(
    stream: Stream, start: float, seconds: float, seed: int
) -> list[load_stats.Sample]:
    instants = iter(list(enumerate(plan_instants(stream.rate, seconds, seed))))

    def run(_: int) -> list[load_stats.Sample]:
        client = Client()
        samples = []
        # next() on a list iterator is atomic, so threads share the plan.
        while (planned := next(instants, None)) is not None:
            number, due = planned
            time.sleep(max(0.0, start + due - time.monotonic()))
            target = stream.targets[number % len(stream.targets)]
            good, outcome = client.send(target)
            spent = time.monotonic() - start - due
            samples.append(load_stats.Sample(due, spent, good, outcome))
        client.close()
        return samples

    return _gather(run, stream.threads)


def _gather(
    run: Callable[[int], list[load_stats.Sample]], threads: int
) -> list[load_stats.Sample]:
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        parts = pool.map(run, range(threads))
        return [sample for part in parts for sample in part]
