"""Stand-ins for the platform, a worker and an upstream.

Usage:
  gypsumhold-standin (platform | worker | upstream) --config FILE
  gypsumhold-standin --help
  gypsumhold-standin --version

Options:
  --config FILE  Settings file, JSON with comments.
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
from gypsumhold.adapters import (
    clock,
    declaration_documents,
    json_documents,
    logs,
    settings,
)
from gypsumhold.model import ids, members
from gypsumhold_standin import (
    http_server,
    monitoring,
    store_service,
    upstream,
    upstream_service,
    worker_service,
)

SERVER_THREADS = 32
CONTROL_THREADS = 2
"""Threads of an upstream beyond its connections, for faults and records."""

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
EXIT_CANNOT_START = 2

_LOG = logbook.Logger("gypsumhold.standin")


class _ListenDocument(json_documents.Document):
    host: str
    port: int = pydantic.Field(ge=0, le=65535)


class PlatformSettings(json_documents.Document):
    """Settings of the platform's table and object store.

    Port 0 stands for any free port, here and in the other settings.
    """

    listen: _ListenDocument
    log: settings.LogSettings = settings.LogSettings()


class WorkerSettings(json_documents.Document):
    """Settings of a worker."""

    listen: _ListenDocument
    log: settings.LogSettings = settings.LogSettings()
    capacity: declaration_documents.ResourcesDocument


class UpstreamSettings(json_documents.Document):
    """Settings of an upstream; without `agent` it sends no reports."""

    listen: _ListenDocument
    log: settings.LogSettings = settings.LogSettings()
    agent: json_documents.AddressDocument | None = None
    kinds: tuple[str, ...]
    slots: int = pydantic.Field(ge=1)
    connections: int = pydantic.Field(ge=1, le=1024)
    service_ms: int = pydantic.Field(default=0, ge=0)
    reserved: declaration_documents.ResourcesDocument = (
        declaration_documents.ResourcesDocument()
    )
    seed: int = 0


Settings = PlatformSettings | WorkerSettings | UpstreamSettings
ROLES: dict[str, type[Settings]] = {
    "platform": PlatformSettings,
    "worker": WorkerSettings,
    "upstream": UpstreamSettings,
}


def _sleep_fully(duration: datetime.timedelta) -> None:
    """Sleeps for the whole time, even while the process stops."""
    time.sleep(duration.total_seconds())


def _build_service(
    config: Settings, pause: Callable[[datetime.timedelta], None]
) -> http_server.Service:
    match config:
        case PlatformSettings():
            return store_service.StoreService(pause)
        case WorkerSettings():
            capacity = declaration_documents.build_resources(config.capacity)
            return worker_service.WorkerService(
                capacity, clock.SystemClock(), pause
            )
        case UpstreamSettings():
            return upstream_service.UpstreamService(
                _build_options(config), _sleep_fully
            )


def _build_options(config: UpstreamSettings) -> upstream.Options:
    """Converts the settings of an upstream to its options."""
    return upstream.Options(
        kinds=frozenset(map(ids.KindName, config.kinds)),
        slots=config.slots,
        connections=config.connections,
        service_time=datetime.timedelta(milliseconds=config.service_ms),
        reserved=declaration_documents.build_resources(config.reserved),
        seed=config.seed,
    )


def _count_threads(config: Settings) -> int:
    """Returns the number of server threads."""
    if isinstance(config, UpstreamSettings):
        return config.connections + CONTROL_THREADS
    return SERVER_THREADS


def run(role: str, config: Settings) -> None:
    """Serves a role until SIGTERM or SIGINT.

    Prints the address once the server accepts connections.

    Raises:
        OSError: The address cannot be bound.
    """
    # Blocked before any thread starts: threads inherit the mask, so only
    # sigwait receives these signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    stopping = threading.Event()
    service = _build_service(
        config, lambda duration: _wait_unless_stopping(stopping, duration)
    )
    listen = members.Address(config.listen.host, config.listen.port)
    monitored = monitoring.MonitoredService(role, service)
    server = http_server.build_server(listen, _count_threads(config), monitored)
    address = members.Address(*server.bind_addr[:2])
    with contextlib.ExitStack() as stack:
        logs.open_log(stack, config.log.level, config.log.as_json)
        thread = threading.Thread(target=server.serve, name="server")
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.stop)
        stack.callback(stopping.set)
        _start_reporter(stack, config, service, address)
        _LOG.info("{} listening on {}", role, address)
        print(f"{role} listening on {address}", flush=True)
        signal.sigwait(STOP_SIGNALS)


def _wait_unless_stopping(
    stopping: threading.Event, duration: datetime.timedelta
) -> None:
    """Waits for a time, or until the process stops."""
    stopping.wait(duration.total_seconds())


def _start_reporter(
    stack: contextlib.ExitStack,
    config: Settings,
    service: http_server.Service,
    address: members.Address,
) -> None:
    """Starts a thread that sends the reports of an upstream to its agent.

    Does nothing for other roles or without an agent; `stack` ends the thread.
    """
    if not isinstance(config, UpstreamSettings) or config.agent is None:
        return
    assert isinstance(service, upstream_service.UpstreamService)
    agent = json_documents.build_address(config.agent)
    reporter = upstream_service.Reporter(service, address, agent)
    reporter.start()
    stack.callback(reporter.close)


def main() -> None:
    """Entry point of `gypsumhold-standin`."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    role = next(name for name in ROLES if arguments[name])
    result = settings.read_settings(arguments["--config"], ROLES[role])
    if isinstance(result, Failure):
        _exit_with_error(str(result.failure()))
    try:
        run(role, result.unwrap())
    except OSError as problem:
        _exit_with_error(
            f"{problem} (check the settings file and the listen address)"
        )


def _exit_with_error(message: str) -> None:
    """Prints why the program cannot start, and exits."""
    print(f"gypsumhold-standin: {message}", file=sys.stderr)
    sys.exit(EXIT_CANNOT_START)


if __name__ == "__main__":
    main()
