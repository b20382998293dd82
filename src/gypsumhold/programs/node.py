"""Runs an entry or an agent of the job subsystem on the users' platform.

Usage:
  gypsumhold-node (entry | agent) --config FILE
  gypsumhold-node --help
  gypsumhold-node --version

Options:
  --config FILE  Settings file; JSON, may have comments.
  --help         Shows this text.
  --version      Shows the version.
"""

import contextlib
import dataclasses
import datetime
import random
import signal
import sys
import threading
from collections.abc import Callable
from typing import Any, TypeVar

import docopt
import logbook
from returns.result import Failure

import gypsumhold
from gypsumhold.adapters import (
    clock,
    connection_pool,
    effect_pools,
    engine,
    http_client,
    http_routes,
    http_server,
    logs,
    peerserver,
    settings,
)
from gypsumhold.adapters.jobs import (
    decision_log,
    effect_runners,
    metrics,
    peers,
)
from gypsumhold.adapters.listeners import servers
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import clock as clocks
from gypsumhold.model import events as base_events
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    scheduler,
)
from gypsumhold.platform import (
    heartbeats,
    job_routes,
    jobstore,
    preview_routes,
    table,
    worker,
)
from gypsumhold.platform import settings as node_settings
from gypsumhold.programs import process

MAX_BODY_BYTES = 1024 * 1024
CALLER_THREADS = 24
READY_THREADS = 2
HEARTBEAT_THREADS = 2
METRICS_THREADS = 1

STORE_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=800)
STORE_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Longest wait for the next bytes of an answer of the store."""

STOP_TIMEOUT = datetime.timedelta(seconds=3)
"""Longest wait for a role to stop, for example to release the queue.

Must be shorter than the time that the platform leaves a process to stop.
"""

SETTLE_TIME = datetime.timedelta(milliseconds=300)
"""How long a stopped role still answers requests on open connections.

Also the longest wait for calls of peers that are in progress.
"""

_LOG = logbook.Logger("gypsumhold.node")
_State = TypeVar("_State", scheduler.SchedulerState, executor.ExecutorState)


@dataclasses.dataclass(frozen=True, slots=True)
class SharedComponents:
    """The objects that both roles are built from.

    Attributes:
        program_settings: Settings of the program, from the --config file.
        platform_settings: Settings that the platform writes.
        clock: Clock of the process.
        store: Store of the jobs.
        client: Client for calls to other processes.
        log: Log of the decisions.
        recorder: Metrics of the role.
        incarnation: Incarnation of the process; a later one is higher.
        key: Key that peers of the deployment share.
    """

    program_settings: settings.NodeFileSettings
    platform_settings: node_settings.NodeSettings
    clock: clocks.Clock
    store: jobstore.PlatformJobStore
    client: peers.JobClient
    log: decision_log.DecisionLog
    recorder: metrics.JobRecorder
    incarnation: ids.Incarnation
    key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RunningNode:
    """A started entry or agent, which the function `stop` ends.

    Attributes:
        runtime: Engine of the role.
        stop: Event that asks the role to stop.
        listeners: HTTP listeners whose connections are ended first.
    """

    runtime: engine.Engine[Any]
    stop: base_events.Event
    listeners: tuple[http_server.Listener, ...]


def build_shared_components(
    role: str,
    program_settings: settings.NodeFileSettings,
    platform_settings: node_settings.NodeSettings,
    stack: contextlib.ExitStack,
) -> SharedComponents:
    """Builds the objects that both roles need; the stack closes them."""
    system_clock = clock.SystemClock()
    log = decision_log.DecisionLog(system_clock, platform_settings.instance)
    stack.callback(log.close)
    recorder = metrics.JobRecorder(
        role, platform_settings.instance, system_clock
    )
    stack.callback(recorder.close)
    store_client = http_client.HttpClient(
        http_client.CallOptions(
            platform_settings.store, STORE_CONNECT_TIMEOUT, STORE_READ_TIMEOUT
        )
    )
    stack.callback(store_client.close)
    key = program_settings.deployment_key.get_secret_value().encode()
    connections = connection_pool.ConnectionPool(
        key, connection_pool.PoolOptions(max_idle=4)
    )
    stack.callback(connections.close)
    return SharedComponents(
        program_settings,
        platform_settings,
        system_clock,
        jobstore.PlatformJobStore(table.TableClient(store_client)),
        peers.JobClient(connections),
        log,
        recorder,
        ids.Incarnation(int(system_clock.read_wall().timestamp() * 1000)),
        key,
    )


def build_peer_endpoint(shared: SharedComponents) -> messages.Endpoint:
    """Returns the address on which other processes reach this one."""
    own = shared.platform_settings.peers
    port = shared.program_settings.advertised_port
    return own if port is None else messages.Endpoint(own.host, port)


def start_entry(
    shared: SharedComponents, stack: contextlib.ExitStack
) -> RunningNode:
    """Builds an entry and starts its services."""
    options = scheduler.SchedulerOptions(
        shared.platform_settings.instance,
        shared.incarnation,
        build_peer_endpoint(shared),
        cores=shared.platform_settings.cores,
        row_bytes=shared.platform_settings.row_bytes,
        limits=shared.platform_settings.limits,
        evacuation_time=shared.platform_settings.evacuation_time,
        off_rack_slowdown=shared.platform_settings.off_rack_slowdown,
    )
    state = scheduler.SchedulerState(
        options,
        policy_sets.build_scheduler_policies(
            shared.program_settings.admission,
            shared.program_settings.locality,
        ),
        rng=random.Random(shared.incarnation),
    )
    runtime: engine.Engine[scheduler.SchedulerState] = engine.Engine(
        state,
        reducer.reduce,
        shared.clock,
        effect_runners.SchedulerRunner(
            shared.store, shared.client, shared.clock, shared.log
        ),
        shared.recorder,
        threads=effect_pools.SCHEDULER_THREADS,
    )
    stack.callback(runtime.close)
    serve_metrics(shared, build_operator_routes(shared, runtime), stack)
    service = peers.SchedulerService(runtime)
    serve_peers(shared, service, stack)
    runtime.dispatch(events.SchedulerStarted())
    listeners = (
        listen(
            shared.platform_settings.callers,
            job_routes.JobRoutes(runtime, shared.clock),
            CALLER_THREADS,
            servers.ListenerOptions(
                "callers",
                shared.program_settings.clients.build(),
                shared.recorder,
            ),
            stack,
        ),
        listen(
            shared.platform_settings.readiness,
            job_routes.ReadyRoutes(
                lambda: runtime.snapshot(job_routes.is_ready)
            ),
            READY_THREADS,
            build_small_options("readiness", shared),
            stack,
        ),
    )
    return RunningNode(runtime, events.SchedulerStopping(), listeners)


def start_agent(
    shared: SharedComponents, stack: contextlib.ExitStack
) -> RunningNode:
    """Builds an agent and starts its services."""
    options = executor.ExecutorOptions(
        shared.platform_settings.instance,
        shared.incarnation,
        build_peer_endpoint(shared),
        limits=shared.platform_settings.limits,
        evacuation_time=shared.platform_settings.evacuation_time,
    )
    state = executor.ExecutorState(
        options, policy_sets.build_executor_policies()
    )
    worker_client = worker.PlatformWorker(shared.clock)
    stack.callback(worker_client.close)
    runtime: engine.Engine[executor.ExecutorState] = engine.Engine(
        state,
        reducer.reduce,
        shared.clock,
        effect_runners.ExecutorRunner(
            shared.store,
            worker_client,
            shared.client,
            shared.clock,
            shared.log,
        ),
        shared.recorder,
        threads=effect_pools.EXECUTOR_THREADS,
    )
    stack.callback(runtime.close)
    serve_metrics(shared, metrics.MetricsRoutes(shared.recorder), stack)
    serve_peers(shared, peers.ExecutorService(runtime), stack)
    runtime.dispatch(events.ExecutorStarted())
    listener = listen(
        shared.platform_settings.workers,
        heartbeats.HeartbeatRoutes(runtime),
        HEARTBEAT_THREADS,
        build_small_options("heartbeats", shared),
        stack,
    )
    return RunningNode(runtime, base_events.StopRequested(), (listener,))


def serve_metrics(
    shared: SharedComponents,
    routes: http_routes.Routes,
    stack: contextlib.ExitStack,
) -> None:
    """Serves the metrics over HTTP until the stack closes.

    Args:
        shared: Objects that both roles are built from.
        routes: Routes of the port; they include the metrics.
        stack: Closes the listener.
    """
    address = members.Address(
        shared.platform_settings.host, shared.program_settings.metrics_port
    )
    listen(
        address,
        routes,
        METRICS_THREADS,
        build_small_options("metrics", shared),
        stack,
    )


def build_operator_routes(
    shared: SharedComponents, runtime: engine.Engine[scheduler.SchedulerState]
) -> http_routes.Routes:
    """Returns the routes of the metrics port, with previews if configured."""
    routes = metrics.MetricsRoutes(shared.recorder)
    token = shared.program_settings.operator_token
    if token is None:
        return routes
    return preview_routes.PreviewRoutes(
        runtime, shared.clock, token.get_secret_value(), routes
    )


def serve_peers(
    shared: SharedComponents,
    service: peers.SchedulerService | peers.ExecutorService,
    stack: contextlib.ExitStack,
) -> None:
    """Serves calls of other processes until the stack closes."""
    server = peerserver.PeerServer(
        shared.platform_settings.peers.build_address(),
        service,
        shared.key,
        process.build_peer_options(shared.program_settings.clients),
        shared.recorder,
    )
    stack.callback(server.close, SETTLE_TIME)


def build_small_options(
    name: str, shared: SharedComponents
) -> servers.ListenerOptions:
    """Returns the options of a listener that has few clients."""
    return servers.ListenerOptions(
        name, shared.program_settings.clients.build_small(), shared.recorder
    )


def listen(
    address: members.Address | None,
    routes: http_routes.Routes,
    threads: int,
    options: servers.ListenerOptions,
    stack: contextlib.ExitStack,
) -> http_server.Listener:
    """Serves routes over HTTP until the stack closes.

    Raises:
        http_routes.ListenError: The settings have no address, or it cannot be
            used.
    """
    if address is None:
        raise http_routes.ListenError(http_routes.MISSING_ADDRESS)
    listener = http_server.Listener(
        address, routes, threads, MAX_BODY_BYTES, options
    )
    stack.callback(listener.close)
    return listener


ROLES: dict[
    str, Callable[[SharedComponents, contextlib.ExitStack], RunningNode]
] = {
    "entry": start_entry,
    "agent": start_agent,
}


def run(role: str, path: str) -> int:
    """Runs a role until a stop signal arrives.

    Args:
        role: "entry" or "agent".
        path: Path of the program's settings file.

    Returns:
        Exit code: 0 after a clean stop, 2 if the role cannot start.
    """
    program_result = settings.read_settings(path, settings.NodeFileSettings)
    if isinstance(program_result, Failure):
        return process.report_start_error(program_result.failure())
    platform_result = node_settings.read_settings()
    if isinstance(platform_result, Failure):
        return process.report_start_error(platform_result.failure())
    sys.setswitchinterval(process.SWITCH_INTERVAL_S)
    threading.stack_size(process.STACK_BYTES)
    awaited_signals = (*process.STOP_SIGNALS, signal.SIGHUP)
    # Blocked before any thread starts, so that only sigwait receives them.
    signal.pthread_sigmask(signal.SIG_BLOCK, awaited_signals)
    program_settings = program_result.unwrap()
    with contextlib.ExitStack() as stack:
        logs.open_log(
            stack,
            program_settings.log.level,
            program_settings.log.as_json,
            sys.stdout,
        )
        shared = build_shared_components(
            role, program_settings, platform_result.unwrap(), stack
        )
        try:
            running = ROLES[role](shared, stack)
        except http_routes.ListenError as problem:
            return process.report_start_error(problem.error)
        log_process_event(shared, "process", "started")
        wait_for_stop(shared, awaited_signals)
        stop(running)
        log_process_event(shared, "process", "stopped")
    return 0


def log_process_event(
    shared: SharedComponents, decision: str, outcome: str
) -> None:
    """Writes a line about the process to the decision log."""
    inputs = (
        ("incarnation", str(shared.incarnation)),
        ("version", gypsumhold.VERSION),
    )
    shared.log.write(
        effects.Log(
            decision, shared.platform_settings.instance, outcome, inputs
        )
    )


def wait_for_stop(
    shared: SharedComponents, awaited_signals: tuple[signal.Signals, ...]
) -> None:
    """Waits for a stop signal.

    SIGHUP only reads the platform's settings file again and logs whether it is
    valid; the running role keeps the settings that it started with.
    """
    while True:
        received = signal.sigwait(awaited_signals)
        if received != signal.SIGHUP:
            log_process_event(
                shared, "process", f"stopping: {signal.Signals(received).name}"
            )
            return
        platform_result = node_settings.read_settings()
        if isinstance(platform_result, Failure):
            _LOG.error(
                "settings were not reloaded: {}", platform_result.failure()
            )
            continue
        log_process_event(shared, "process", "settings read again")


def stop(running: RunningNode) -> None:
    """Stops a role.

    Waits until the role has stopped, at most STOP_TIMEOUT, and then for
    SETTLE_TIME. Connections end with their next response.
    """
    for listener in running.listeners:
        listener.disable_keep_alive()
    running.runtime.dispatch(running.stop)
    running.runtime.wait_stopped(STOP_TIMEOUT)
    threading.Event().wait(SETTLE_TIME.total_seconds())


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    role = "entry" if arguments["entry"] else "agent"
    return run(role, arguments["--config"])


if __name__ == "__main__":
    sys.exit(main())
