"""Accepts requests and tasks, and schedules them on instances.

Usage:
  gypsumhold-entry --config FILE
  gypsumhold-entry --help
  gypsumhold-entry --version

Options:
  --config FILE  Settings, JSON with comments.
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
    callers,
    clock,
    control,
    datagrams,
    engine,
    handlers,
    httpcalls,
    httpserver,
    metrics,
    operator_server,
    operators,
    peers,
    peerserver,
    pool,
    runners,
    settings,
    store,
    task_routes,
)
from gypsumhold.decisions import policy_sets, reducer
from gypsumhold.model import entry, events
from gypsumhold.programs import process


def start(
    chosen: settings.EntrySettings, stack: contextlib.ExitStack
) -> process.Running:
    """Builds an entry and starts to serve."""
    time = clock.SystemClock()
    options = settings.build_entry_options(chosen, time)
    state = entry.EntryState(
        options,
        policy_sets.build_entry_policies(chosen.policies),
        random.Random(options.incarnation),
    )
    table_calls = httpcalls.HttpCaller(
        httpcalls.CallOptions(chosen.table.build())
    )
    stack.callback(table_calls.close)
    table = store.HttpTable(table_calls)
    object_calls = httpcalls.HttpCaller(
        httpcalls.CallOptions(chosen.objects.build())
    )
    stack.callback(object_calls.close)
    objects = store.HttpObjectStore(object_calls)
    key = chosen.deployment_key.get_secret_value().encode()
    connections = stack.enter_context(
        contextlib.closing(pool.ConnectionPool(key, pool.PoolOptions()))
    )
    agents = peers.ThriftAgentClient(connections)
    entries = peers.ThriftEntryClient(connections)
    recorder = metrics.Recorder(
        "entry",
        chosen.name,
        # The configuration is immutable and replaced as a whole, so that it
        # can be read without the engine's lock.
        lambda organisation, kind: metrics.find_class(
            state.configuration, organisation, kind
        ),
        chosen.metrics.otlp_url,
    )
    stack.callback(recorder.close)
    runtime = engine.Engine(
        state,
        reducer.reduce,
        time,
        runners.EntryRunner(table, objects, agents, entries),
        recorder,
    )
    stack.callback(runtime.close)
    server = peerserver.PeerServer(
        chosen.peers.build(), handlers.EntryPeerService(runtime), key
    )
    stack.callback(server.close, process.PEER_GRACE)
    receiver = datagrams.Receiver(chosen.announcements.build(), key)
    stack.callback(receiver.close)
    reader = threading.Thread(
        target=receiver.serve,
        args=(lambda told: runtime.deliver(events.AnnouncementReceived(told)),),
        name="announcements",
        daemon=True,
    )
    reader.start()
    stack.enter_context(
        operator_server.OperatorServer(
            chosen.operators.build(),
            operators.Operators(
                control.EntryControl(runtime, table, agents, recorder, time),
                chosen.operator_token.get_secret_value(),
                time,
            ),
        )
    )
    listener = httpserver.Listener(
        chosen.callers.build(),
        callers.CallerRoutes(
            runtime,
            task_routes.TaskRoutes(runtime, table, options.partitions),
            options.max_deadline,
        ),
        chosen.caller_threads,
        chosen.max_body_bytes,
    )
    stack.callback(listener.close)
    runtime.dispatch(events.EntryStarted())
    return process.Running(
        runtime, listener, events.StopRequested(), options.max_deadline
    )


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    return process.run(arguments["--config"], settings.EntrySettings, start)


if __name__ == "__main__":
    sys.exit(main())
