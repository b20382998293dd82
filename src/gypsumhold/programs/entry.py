"""Accepts requests and tasks and schedules them on instances.

Usage:
  gypsumhold-entry --config FILE
  gypsumhold-entry --help
  gypsumhold-entry --version

Options:
  --config FILE  Settings file; JSON, may have comments.
  --help         Shows this text.
  --version      Shows the version.
"""

import contextlib
import random
import sys
import threading

import docopt

import gypsumhold
from gypsumhold.adapters import (
    caller_routes,
    clock,
    connection_pool,
    datagrams,
    engine,
    entry_control,
    entry_runner,
    event_services,
    http_client,
    http_server,
    metrics,
    operator_routes,
    operator_server,
    peers,
    peerserver,
    settings,
    store,
    task_routes,
)
from gypsumhold.adapters.listeners import servers
from gypsumhold.decisions import policy_sets, reducer
from gypsumhold.model import entry, events
from gypsumhold.programs import process


def start(
    entry_settings: settings.EntrySettings, stack: contextlib.ExitStack
) -> process.RunningRole:
    """Builds an entry and starts its services."""
    system_clock = clock.SystemClock()
    options = settings.build_entry_options(entry_settings, system_clock)
    state = entry.EntryState(
        options,
        policy_sets.build_entry_policies(entry_settings.policies),
        random.Random(options.incarnation),
    )
    table_client = http_client.HttpClient(
        http_client.CallOptions(
            entry_settings.table.build(), limits=entry_settings.replies.build()
        )
    )
    stack.callback(table_client.close)
    table = store.HttpTable(table_client)
    object_client = http_client.HttpClient(
        http_client.CallOptions(
            entry_settings.objects.build(),
            limits=entry_settings.replies.build(),
        )
    )
    stack.callback(object_client.close)
    objects = store.HttpObjectStore(object_client)
    key = entry_settings.deployment_key.get_secret_value().encode()
    connections = stack.enter_context(
        contextlib.closing(
            connection_pool.ConnectionPool(key, connection_pool.PoolOptions())
        )
    )
    agents = peers.ThriftAgentClient(connections)
    entries = peers.ThriftEntryClient(connections)
    recorder = metrics.Recorder(
        "entry",
        entry_settings.name,
        # The configuration is immutable and replaced as a whole, so reading it
        # needs no lock of the engine.
        lambda organisation, kind: metrics.find_work_class(
            state.configuration, organisation, kind
        ),
        process.build_metric_exporters(entry_settings.metrics),
    )
    stack.callback(recorder.close)
    runtime = engine.Engine(
        state,
        reducer.reduce,
        system_clock,
        entry_runner.EntryRunner(table, objects, agents, entries),
        recorder,
    )
    stack.callback(runtime.close)
    server = peerserver.PeerServer(
        entry_settings.peers.build(),
        event_services.EntryPeerService(runtime),
        key,
        process.build_peer_options(entry_settings.clients),
        recorder,
    )
    stack.callback(server.close, process.PEER_GRACE)
    receiver = datagrams.Receiver(entry_settings.announcements.build(), key)
    stack.callback(receiver.close)
    announcement_thread = threading.Thread(
        target=receiver.serve,
        args=(
            lambda announcement: runtime.deliver(
                events.AnnouncementReceived(announcement)
            ),
        ),
        name="announcements",
        daemon=True,
    )
    announcement_thread.start()
    stack.enter_context(
        operator_server.OperatorServer(
            entry_settings.operators.build(),
            operator_routes.OperatorRoutes(
                entry_control.EntryControl(
                    runtime, table, agents, recorder, system_clock
                ),
                entry_settings.operator_token.get_secret_value(),
                system_clock,
            ),
            servers.ListenerOptions(
                "operators", entry_settings.clients.build_small(), recorder
            ),
        )
    )
    listener = http_server.Listener(
        entry_settings.callers.build(),
        caller_routes.CallerRoutes(
            runtime,
            task_routes.TaskRoutes(runtime, table, options.partitions),
            options.max_deadline,
        ),
        entry_settings.caller_threads,
        entry_settings.max_body_bytes,
        servers.ListenerOptions(
            "callers", entry_settings.clients.build(), recorder
        ),
    )
    stack.callback(listener.close)
    runtime.dispatch(events.EntryStarted())
    return process.RunningRole(
        runtime, listener, events.StopRequested(), options.max_deadline
    )


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    return process.run(arguments["--config"], settings.EntrySettings, start)


if __name__ == "__main__":
    sys.exit(main())
