"""The listeners of gypsumhold-node; an exit stack closes them."""

import contextlib
import datetime

from gypsumhold.adapters import (
    engine,
    http_routes,
    http_server,
    peerserver,
)
from gypsumhold.adapters.jobs import metrics, peers
from gypsumhold.adapters.listeners import servers
from gypsumhold.model import members
from gypsumhold.model.jobs import scheduler
from gypsumhold.platform import preview_routes
from gypsumhold.programs import process
from gypsumhold.programs.node_components import SharedComponents

MAX_BODY_BYTES = 1024 * 1024
METRICS_THREADS = 1

SETTLE_TIME = datetime.timedelta(milliseconds=300)
"""How long a stopped role still answers requests on open connections.

Also the longest wait for calls of peers that are in progress.
"""


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
