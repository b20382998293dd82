"""Generates load: closed loops of clients, and open loops at a fixed rate."""

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
    """Base URL of a receiver, with the headers and body of its requests."""

    url: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b"x" * 100


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """An open loop: requests at a fixed mean rate, whatever their latency.

    Attributes:
        name: Key of the stream in the results.
        targets: Receivers, used in turn.
        rate: Mean number of requests a second; the send times are random.
        threads: Largest number of requests in progress. If all threads are
            busy, a request is sent late, and its latency still counts from
            the time at which it was due.
    """

    name: str
    targets: Sequence[Target]
    rate: float
    threads: int


class Client:
    """Keeps one open connection for each base URL; not thread-safe."""

    def __init__(self) -> None:
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def send(self, target: Target) -> tuple[bool, str]:
        """Sends a request.

        Returns:
            Whether it was completed with status 200, and its outcome. The
            outcome of a failure includes the reason or the status; without an
            answer it is the name of the exception.
        """
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
        completed = response.status == 200 and outcome == "completed"
        reason = response.headers.get(REASON, str(response.status))
        return completed, outcome if completed else f"{outcome}: {reason}"

    def _connect(self, url: str) -> http.client.HTTPConnection:
        connection = self._connections.get(url)
        if connection is None:
            location = urllib.parse.urlsplit(url)
            connection = http.client.HTTPConnection(
                location.hostname or "", location.port, timeout=TIMEOUT_S
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
    """Connects with TCP_NODELAY.

    `http.client` writes the head and the body of a request separately. With
    Nagle's algorithm, the body would wait for the acknowledgement of the head.
    """
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def run_closed_loop(
    target: Target, clients: int, seconds: float
) -> list[load_stats.Sample]:
    """Runs clients that each send a request as soon as the last one ended.

    Args:
        target: Receiver of the requests.
        clients: Number of clients, each with its own thread.
        seconds: Time after which no request is sent.
    """
    start = time.monotonic()

    def run_client(_: int) -> list[load_stats.Sample]:
        client = Client()
        samples = []
        while (due := time.monotonic()) < start + seconds:
            completed, outcome = client.send(target)
            latency_s = time.monotonic() - due
            samples.append(
                load_stats.Sample(due - start, latency_s, completed, outcome)
            )
        client.close()
        return samples

    return _run_clients(run_client, clients)


def draw_send_times(rate: float, seconds: float, seed: int) -> list[float]:
    """Returns the send times of a Poisson process, in seconds from its start.

    Args:
        rate: Mean number of requests a second.
        seconds: Duration; all times are below it.
        seed: Seed of the random numbers; the same seed gives the same times.
    """
    generator = random.Random(seed)
    send_times = itertools.accumulate(
        iter(lambda: generator.expovariate(rate), None)
    )
    return list(
        itertools.takewhile(lambda time_s: time_s < seconds, send_times)
    )


def run_streams(
    streams: Sequence[Stream], seconds: float, seed: int
) -> dict[str, list[load_stats.Sample]]:
    """Runs all streams at the same time.

    Each stream draws its send times from its own seed, `seed` plus its index.

    Returns:
        The samples of each stream, by its name.
    """
    start = time.monotonic() + 0.2
    with concurrent.futures.ThreadPoolExecutor(len(streams)) as pool:
        futures = {
            stream.name: pool.submit(
                _run_stream, stream, start, seconds, seed + index
            )
            for index, stream in enumerate(streams)
        }
        return {name: future.result() for name, future in futures.items()}


def _run_stream(
    stream: Stream, start: float, seconds: float, seed: int
) -> list[load_stats.Sample]:
    send_times = iter(
        list(enumerate(draw_send_times(stream.rate, seconds, seed)))
    )

    def run_client(_: int) -> list[load_stats.Sample]:
        client = Client()
        samples = []
        # next() on a list iterator is atomic, so the threads can share it.
        while (planned := next(send_times, None)) is not None:
            number, due = planned
            time.sleep(max(0.0, start + due - time.monotonic()))
            target = stream.targets[number % len(stream.targets)]
            completed, outcome = client.send(target)
            latency_s = time.monotonic() - start - due
            samples.append(
                load_stats.Sample(due, latency_s, completed, outcome)
            )
        client.close()
        return samples

    return _run_clients(run_client, stream.threads)


def _run_clients(
    run_client: Callable[[int], list[load_stats.Sample]], threads: int
) -> list[load_stats.Sample]:
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        batches = pool.map(run_client, range(threads))
        return [sample for batch in batches for sample in batch]
