"""Manages the resources of one instance and runs requests and tasks on it.

Usage:
  gypsumhold-agent --config FILE
  gypsumhold-agent --help
  gypsumhold-agent --version

Options:
  --config FILE  Settings file; JSON, may have comments.
  --help         Shows this text.
  --version      Shows the version.
"""

import contextlib
import datetime
import sys

import docopt

import gypsumhold
from gypsumhold.adapters import (
    agent_runner,
    clock,
    datagrams,
    engine,
    event_services,
    http_client,
    http_server,
    local_routes,
    metrics,
    peerserver,
    settings,
    upstream,
    worker,
)
from gypsumhold.adapters.listeners import servers
from gypsumhold.decisions import policy_sets, reducer
from gypsumhold.model import agent, events, members
from gypsumhold.programs import process

# The upstream's report once a second takes one thread; the others serve health
# checks and metrics.
LOCAL_THREADS = 4

# Time for which a stopping agent still answers new work with a refusal. Equals
# the default of the entries' `suspect_after`: after that time, even an entry
# that missed the announcement of the stop sends no more work to the instance.
SETTLE_TIME = datetime.timedelta(seconds=3)


def start(
    agent_settings: settings.AgentSettings, stack: contextlib.ExitStack
) -> process.RunningRole:
    """Builds an agent and starts its services."""
    system_clock = clock.SystemClock()
    options = settings.build_agent_options(agent_settings, system_clock)
    state = agent.AgentState(
        options, policy_sets.build_agent_policies(agent_settings.policies)
    )
    key = agent_settings.deployment_key.get_secret_value().encode()
    worker_client = http_client.HttpClient(
        http_client.CallOptions(
            agent_settings.worker.build(), limits=agent_settings.replies.build()
        )
    )
    stack.callback(worker_client.close)
    upstream_client = upstream.HttpUpstream(
        agent_settings.upstream_connections, agent_settings.max_body_bytes
    )
    stack.callback(upstream_client.close)
    sender = datagrams.Sender(key)
    stack.callback(sender.close)
    recorder = metrics.Recorder(
        "agent",
        agent_settings.instance,
        exporters=process.build_metric_exporters(agent_settings.metrics),
    )
    stack.callback(recorder.close)
    runtime = engine.Engine(
        state,
        reducer.reduce,
        system_clock,
        agent_runner.AgentRunner(
            upstream_client,
            worker.HttpWorker(worker_client),
            sender,
            near_entries=_list_entries(agent_settings, same_region=True),
            far_entries=_list_entries(agent_settings, same_region=False),
        ),
        recorder,
    )
    stack.callback(runtime.close)
    server = peerserver.PeerServer(
        options.address,
        event_services.AgentPeerService(runtime),
        key,
        process.build_peer_options(agent_settings.clients),
        recorder,
    )
    stack.callback(server.close, process.PEER_GRACE)
    listener = http_server.Listener(
        agent_settings.local.build(),
        local_routes.LocalRoutes(
            runtime.dispatch,
            lambda: runtime.snapshot(local_routes.render_agent_health),
            recorder.render,
        ),
        LOCAL_THREADS,
        agent_settings.max_body_bytes,
        servers.ListenerOptions(
            "local", agent_settings.clients.build_small(), recorder
        ),
    )
    stack.callback(listener.close)
    runtime.dispatch(events.AgentStarted())
    return process.RunningRole(
        runtime,
        listener,
        events.StopRequested(),
        options.max_deadline,
        SETTLE_TIME,
    )


def _list_entries(
    agent_settings: settings.AgentSettings, same_region: bool
) -> tuple[members.Address, ...]:
    return tuple(
        entry.build()
        for entry in agent_settings.entries
        if (entry.region == agent_settings.region) == same_region
    )


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    return process.run(arguments["--config"], settings.AgentSettings, start)


if __name__ == "__main__":
    sys.exit(main())
