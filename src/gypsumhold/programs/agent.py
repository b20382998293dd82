"""Commits the resources of one instance and runs its requests and tasks.

Usage:
  gypsumhold-agent --config FILE
  gypsumhold-agent --help
  gypsumhold-agent --version

Options:
  --config FILE  Settings, JSON with comments.
  --help         Shows this text.
  --version      Shows the version.
"""

import contextlib
import datetime
import sys

import docopt

import gypsumhold
from gypsumhold.adapters import (
    clock,
    datagrams,
    engine,
    handlers,
    httpcalls,
    httpserver,
    local,
    metrics,
    peerserver,
    runners,
    settings,
    upstream,
    worker,
)
from gypsumhold.decisions import policy_sets, reducer
from gypsumhold.model import agent, events, members
from gypsumhold.programs import process

# The upstream reports once a second; the rest is for health and metrics.
LOCAL_THREADS = 4

# Entries that missed the announcement give the instance up after this silence.
SETTLE_TIME = datetime.timedelta(seconds=3)


def start(
    chosen: settings.AgentSettings, stack: contextlib.ExitStack
) -> process.Running:
    """Builds an agent and starts to serve."""
    time = clock.SystemClock()
    options = settings.build_agent_options(chosen, time)
    state = agent.AgentState(
        options, policy_sets.build_agent_policies(chosen.policies)
    )
    key = chosen.deployment_key.get_secret_value().encode()
    worker_calls = httpcalls.HttpCaller(
        httpcalls.CallOptions(chosen.worker.build())
    )
    stack.callback(worker_calls.close)
    calls = upstream.HttpUpstream(
        chosen.upstream_connections, chosen.max_body_bytes
    )
    stack.callback(calls.close)
    sender = datagrams.Sender(key)
    stack.callback(sender.close)
    recorder = metrics.Recorder(
        "agent", chosen.instance, otlp_url=chosen.metrics.otlp_url
    )
    stack.callback(recorder.close)
    runtime = engine.Engine(
        state,
        reducer.reduce,
        time,
        runners.AgentRunner(
            calls,
            worker.HttpWorker(worker_calls),
            sender,
            near=_list_entries(chosen, near=True),
            far=_list_entries(chosen, near=False),
        ),
        recorder,
    )
    stack.callback(runtime.close)
    server = peerserver.PeerServer(
        options.address, handlers.AgentPeerService(runtime), key
    )
    stack.callback(server.close, process.PEER_GRACE)
    listener = httpserver.Listener(
        chosen.local.build(),
        local.LocalRoutes(
            runtime.dispatch,
            lambda: runtime.snapshot(local.describe_agent),
            recorder.render,
        ),
        LOCAL_THREADS,
        chosen.max_body_bytes,
    )
    stack.callback(listener.close)
    runtime.dispatch(events.AgentStarted())
    return process.Running(
        runtime,
        listener,
        events.StopRequested(),
        options.max_deadline,
        SETTLE_TIME,
    )


def _list_entries(
    chosen: settings.AgentSettings, near: bool
) -> tuple[members.Address, ...]:
    return tuple(
        item.build()
        for item in chosen.entries
        if (item.region == chosen.region) == near
    )


def main() -> int:
    """Runs the program and returns its exit code."""
    arguments = docopt.docopt(__doc__, version=gypsumhold.VERSION)
    return process.run(arguments["--config"], settings.AgentSettings, start)


if __name__ == "__main__":
    sys.exit(main())
