"""Starts and stops the long-running programs."""

import contextlib
import datetime
import errno
import importlib
import signal
import sys
import threading
from collections.abc import Callable
from typing import Any, TypeVar

import logbook
from opentelemetry.sdk.metrics import export
from returns.result import Failure

from gypsumhold.adapters import (
    allocator,
    engine,
    http_routes,
    http_server,
    limit_settings,
    logs,
    peerserver,
    settings,
)
from gypsumhold.model import errors, events

SettingsT = TypeVar("SettingsT", settings.EntrySettings, settings.AgentSettings)
Start = Callable[[SettingsT, contextlib.ExitStack], "RunningRole"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The settings are invalid, or an address cannot be used.
EXIT_CANNOT_START = 2

# Time after the longest accepted deadline that is left to write answers.
STOP_MARGIN = datetime.timedelta(seconds=5)

# With the interpreter's default of 5 ms, a thread that has an answer to write
# waits for a busy thread. In a trial with eight callers in one process, the p99
# of the caller listener was 28 to 36 ms at 5 ms and 14 to 16 ms at 0.5 ms.
SWITCH_INTERVAL_S = 0.0005

STACK_BYTES = 256 * 1024
"""Stack size of a thread; the default uses too much of a small instance."""

# Longest wait for calls of peers that are still in progress when a role has
# stopped.
PEER_GRACE = datetime.timedelta(seconds=5)

_LOG = logbook.Logger("gypsumhold.process")


class RunningRole:
    """A started entry or agent, which `stop` ends."""

    def __init__(
        self,
        runtime: engine.Engine[Any],
        listener: http_server.Listener,
        stop: events.Event,
        max_deadline: datetime.timedelta,
        settle: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        """Creates the handle of a started role.

        Args:
            runtime: Engine of the role.
            listener: HTTP listener whose connections end first.
            stop: Event that asks the role to stop.
            max_deadline: Longest time that accepted work may take.
            settle: How long the role still replies to new work with a refusal
                after the stop was announced. A closed connection would leave
                the sender in doubt about the outcome.
        """
        self._runtime = runtime
        self._listener = listener
        self._stop = stop
        self._max_deadline = max_deadline
        self._settle = settle

    def stop(self) -> None:
        """Refuses new work and waits until accepted work has ended."""
        self._listener.disable_keep_alive()
        self._runtime.dispatch(self._stop)
        threading.Event().wait(self._settle.total_seconds())
        limit = self._max_deadline + STOP_MARGIN
        if not self._runtime.wait_stopped(limit):
            _LOG.error("work was still in progress after {}", limit)


def build_peer_options(
    client_settings: limit_settings.ClientSettings,
) -> peerserver.ServerOptions:
    """Returns the limits of the server for other processes."""
    return peerserver.ServerOptions(
        max_pending_handshakes=client_settings.max_pending_handshakes
    )


def run(
    path: str, settings_type: type[SettingsT], start: Start[SettingsT]
) -> int:
    """Runs a role until a stop signal arrives.

    Args:
        path: Path of the settings file.
        settings_type: Type of the settings.
        start: Builds and starts the role. It pushes the cleanup of its parts on
            the stack.

    Returns:
        Exit code: 0 after a clean stop, 2 if the role cannot start.
    """
    result = settings.read_settings(path, settings_type)
    if isinstance(result, Failure):
        return report_start_error(result.failure())
    program_settings = result.unwrap()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    allocator.return_large_blocks()
    # Blocked before any thread starts, so that only sigwait receives them.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    with contextlib.ExitStack() as stack:
        logs.open_log(
            stack, program_settings.log.level, program_settings.log.as_json
        )
        try:
            running = start(program_settings, stack)
        except http_routes.ListenError as problem:
            return report_start_error(problem.error)
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE:
                raise
            return report_start_error(
                http_routes.build_listen_error("a port", problem)
            )
        _LOG.info("started")
        received = signal.sigwait(STOP_SIGNALS)
        _LOG.info("stopping after {}", signal.Signals(received).name)
        running.stop()
    return 0


def build_metric_exporters(
    metrics_settings: settings.MetricsSettings,
) -> tuple[export.MetricReader, ...]:
    """Returns the readers that export metrics; none without an endpoint."""
    if metrics_settings.otlp_url is None:
        return ()
    # Imported here because most processes export nothing, and a restarted one
    # should listen soon.
    exports = importlib.import_module("gypsumhold.adapters.metric_exports")
    return (exports.build_exporter(metrics_settings.otlp_url),)


def report_start_error(error: errors.Error) -> int:
    """Prints why a role cannot start and returns the exit code."""
    print(error, file=sys.stderr)
    return EXIT_CANNOT_START
