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
    allocator,
    effect_pools,
    engine,
    http_routes,
    http_server,
    logs,
    settings,
)
from gypsumhold.adapters.jobs import (
    effect_runners,
    metrics,
    peers,
)
from gypsumhold.adapters.listeners import servers
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    scheduler,
    scheduler_options,
)
from gypsumhold.platform import (
    heartbeats,
    job_routes,
    worker,
)
from gypsumhold.platform import settings as node_settings
from gypsumhold.programs import node_components, node_listeners, process

CALLER_THREADS = 24
READY_THREADS = 2
HEARTBEAT_THREADS = 2

STOP_TIMEOUT = datetime.timedelta(seconds=3)
"""Longest wait for a role to stop, for example to release the queue.

Must be shorter than the time that the platform leaves a process to stop.
"""

_LOG = logbook.Logger("gypsumhold.node")
_State = TypeVar("_State", scheduler.SchedulerState, executor.ExecutorState)


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


def start_entry(
    shared: node_components.SharedComponents, stack: contextlib.ExitStack
) -> RunningNode:
    """Builds an entry and starts its services."""
    options = scheduler_options.SchedulerOptions(
        shared.platform_settings.instance,
        shared.incarnation,
        node_components.build_peer_endpoint(shared),
        cores=shared.platform_settings.cores,
        row_bytes=shared.platform_settings.row_bytes,
        limits=shared.platform_settings.limits,
        evacuation_time=shared.platform_settings.evacuation_time,
        off_rack_slowdown=shared.platform_settings.off_rack_slowdown,
        lists_workers=shared.platform_settings.machines is not None,
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
            shared.store,
            node_components.build_directory(shared, stack),
            shared.client,
            shared.clock,
            shared.log,
        ),
        shared.recorder,
        threads=effect_pools.SCHEDULER_THREADS,
    )
    stack.callback(runtime.close)
    node_listeners.serve_metrics(
        shared, node_listeners.build_operator_routes(shared, runtime), stack
    )
    service = peers.SchedulerService(runtime)
    node_listeners.serve_peers(shared, service, stack)
    runtime.dispatch(events.SchedulerStarted())
    listeners = (
        node_listeners.listen(
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
        node_listeners.listen(
            shared.platform_settings.readiness,
            job_routes.ReadyRoutes(
                lambda: runtime.snapshot(job_routes.is_ready)
            ),
            READY_THREADS,
            node_listeners.build_small_options("readiness", shared),
            stack,
        ),
    )
    return RunningNode(runtime, events.SchedulerStopping(), listeners)


def start_agent(
    shared: node_components.SharedComponents, stack: contextlib.ExitStack
) -> RunningNode:
    """Builds an agent and starts its services."""
    options = executor.ExecutorOptions(
        shared.platform_settings.instance,
        shared.incarnation,
        node_components.build_peer_endpoint(shared),
        limits=shared.platform_settings.limits,
        evacuation_time=shared.platform_settings.evacuation_time,
    )
    state = executor.ExecutorState(
        options, policy_sets.build_executor_policies()
    )
    worker_client = worker.PlatformWorker(
        shared.clock, shared.program_settings.replies.build()
    )
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
    node_listeners.serve_metrics(
        shared, metrics.MetricsRoutes(shared.recorder), stack
    )
    node_listeners.serve_peers(shared, peers.ExecutorService(runtime), stack)
    runtime.dispatch(events.ExecutorStarted())
    listener = node_listeners.listen(
        shared.platform_settings.workers,
        heartbeats.HeartbeatRoutes(runtime),
        HEARTBEAT_THREADS,
        node_listeners.build_small_options("heartbeats", shared),
        stack,
    )
    return RunningNode(runtime, base_events.StopRequested(), (listener,))


ROLES: dict[
    str,
    Callable[
        [node_components.SharedComponents, contextlib.ExitStack], RunningNode
    ],
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
    allocator.return_large_blocks()
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
        shared = node_components.build_shared_components(
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
    shared: node_components.SharedComponents, decision: str, outcome: str
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
    shared: node_components.SharedComponents,
    awaited_signals: tuple[signal.Signals, ...],
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
    node_listeners.SETTLE_TIME. Connections end with their next response.
    """
    for listener in running.listeners:
        listener.disable_keep_alive()
    running.runtime.dispatch(running.stop)
    running.runtime.wait_stopped(STOP_TIMEOUT)
    threading.Event().wait(node_listeners.SETTLE_TIME.total_seconds())


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    role = "entry" if arguments["entry"] else "agent"
    return run(role, arguments["--config"])


if __name__ == "__main__":
    sys.exit(main())
