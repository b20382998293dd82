"""Stand-ins for the platform, a worker and an upstream.

Usage:
  gypsumhold-standin (platform | worker | upstream) --config FILE
  gypsumhold-standin --help
  gypsumhold-standin --version

Options:
  --config FILE  Settings, JSON with comments.
  --help         Shows this text.
  --version      Shows the version.
"""

import contextlib
import datetime
import signal
import sys
import threading
import time
from collections.abc import Callable

import docopt
import logbook
import pydantic
from returns.result import Failure

import gypsumhold
from gypsumhold.adapters import clock, documents, json_documents, logs, settings
from gypsumhold.model import ids, members
from gypsumhold_standin import (
    monitoring,
    storeservice,
    upstream,
    upstreamservice,
    web,
    workerservice,
)

SERVER_THREADS = 32
SPARE_THREADS = 2
"""Threads of an upstream beyond its connections, for its scripting routes."""

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
BAD_USAGE = 2

_LOG = logbook.Logger("gypsumhold.standin")


class _ListenDocument(json_documents.Document):
    host: str
    port: int = pydantic.Field(ge=0, le=65535)


class PlatformSettings(json_documents.Document):
    """Settings of the platform; port 0 takes a free port."""

    listen: _ListenDocument
    log: settings.LogSettings = settings.LogSettings()


class WorkerSettings(json_documents.Document):
    """Settings of a worker."""

    listen: _ListenDocument
    log: settings.LogSettings = settings.LogSettings()
    capacity: documents.ResourcesDocument


class UpstreamSettings(json_documents.Document):
    """Settings of an upstream; without `agent` it reports to nobody."""

    listen: _ListenDocument
    log: settings.LogSettings = settings.LogSettings()
    agent: json_documents.AddressDocument | None = None
    kinds: tuple[str, ...]
    slots: int = pydantic.Field(ge=1)
    connections: int = pydantic.Field(ge=1, le=1024)
    service_ms: int = pydantic.Field(default=0, ge=0)
    reserved: documents.ResourcesDocument = documents.ResourcesDocument()
    seed: int = 0


Settings = PlatformSettings | WorkerSettings | UpstreamSettings
ROLES: dict[str, type[Settings]] = {
    "platform": PlatformSettings,
    "worker": WorkerSettings,
    "upstream": UpstreamSettings,
}


def _sleep(time_left: datetime.timedelta) -> None:
    time.sleep(time_left.total_seconds())


def _build_service(
    chosen: Settings, pause: Callable[[datetime.timedelta], None]
) -> web.Service:
    match chosen:
        case PlatformSettings():
            return storeservice.StoreService(pause)
        case WorkerSettings():
            capacity = documents.build_resources(chosen.capacity)
            return workerservice.WorkerService(
                capacity, clock.SystemClock(), pause
            )
        case UpstreamSettings():
            return upstreamservice.UpstreamService(
                _build_options(chosen), _sleep
            )


def _build_options(chosen: UpstreamSettings) -> upstream.Options:
    return upstream.Options(
        kinds=frozenset(map(ids.KindName, chosen.kinds)),
        slots=chosen.slots,
        connections=chosen.connections,
        service=datetime.timedelta(milliseconds=chosen.service_ms),
        reserved=documents.build_resources(chosen.reserved),
        seed=chosen.seed,
    )


def _count_threads(chosen: Settings) -> int:
    if isinstance(chosen, UpstreamSettings):
        return chosen.connections + SPARE_THREADS
    return SERVER_THREADS


def run(role: str, chosen: Settings) -> None:
    """Serves until SIGTERM or SIGINT.

    Raises:
        OSError: The address cannot be bound.
    """
    # Blocked before any thread starts, so that only sigwait takes them.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    stopping = threading.Event()
    service = _build_service(chosen, lambda left: _wait(stopping, left))
    listen = members.Address(chosen.listen.host, chosen.listen.port)
    monitored = monitoring.MonitoredService(role, service)
    server = web.build_server(listen, _count_threads(chosen), monitored)
    address = members.Address(*server.bind_addr[:2])
    with contextlib.ExitStack() as stack:
        logs.open_log(stack, chosen.log.level, chosen.log.as_json)
        thread = threading.Thread(target=server.serve, name="server")
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.stop)
        stack.callback(stopping.set)
        _start_reporter(stack, chosen, service, address)
        _LOG.info("{} listening on {}", role, address)
        print(f"{role} listening on {address}", flush=True)
        signal.sigwait(STOP_SIGNALS)


def _wait(stopping: threading.Event, left: datetime.timedelta) -> None:
    stopping.wait(left.total_seconds())


def _start_reporter(
    stack: contextlib.ExitStack,
    chosen: Settings,
    service: web.Service,
    address: members.Address,
) -> None:
    if not isinstance(chosen, UpstreamSettings) or chosen.agent is None:
        return
    assert isinstance(service, upstreamservice.UpstreamService)
    agent = json_documents.build_address(chosen.agent)
    reporter = upstreamservice.Reporter(service, address, agent)
    reporter.start()
    stack.callback(reporter.close)


def main() -> None:
    """Entry point of `gypsumhold-standin`."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    role = next(name for name in ROLES if arguments[name])
    read = settings.read_settings(arguments["--config"], ROLES[role])
    if isinstance(read, Failure):
        _fail(str(read.failure()))
    try:
        run(role, read.unwrap())
    except OSError as problem:
        _fail(f"{problem} (check the file and the listen address)")


def _fail(message: str) -> None:
    print(f"gypsumhold-standin: {message}", file=sys.stderr)
    sys.exit(BAD_USAGE)


if __name__ == "__main__":
    main()
