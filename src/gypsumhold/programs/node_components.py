"""The objects that both roles of gypsumhold-node are built from."""

import contextlib
import dataclasses
import datetime

from gypsumhold.adapters import clock, connection_pool, http_client, settings
from gypsumhold.adapters.jobs import decision_log, interfaces, metrics, peers
from gypsumhold.model import clock as clocks
from gypsumhold.model import ids
from gypsumhold.model.jobs import messages
from gypsumhold.platform import jobstore, machines, table
from gypsumhold.platform import settings as node_settings

STORE_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=800)
STORE_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Longest wait for the next bytes of an answer of the store."""

MACHINES_TIMEOUT = datetime.timedelta(seconds=1)
"""Longest wait for a connection to the list of machines, and for the next bytes
of its answer."""


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
            platform_settings.store,
            STORE_CONNECT_TIMEOUT,
            STORE_READ_TIMEOUT,
            limits=program_settings.replies.build(),
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


def build_directory(
    shared: SharedComponents, stack: contextlib.ExitStack
) -> interfaces.WorkerDirectory:
    """Returns the platform's list of workers; the stack closes its client."""
    address = shared.platform_settings.machines
    if address is None:
        return machines.NoDirectory()
    client = http_client.HttpClient(
        http_client.CallOptions(
            address,
            MACHINES_TIMEOUT,
            MACHINES_TIMEOUT,
            connections=1,
            limits=shared.program_settings.replies.build(),
        )
    )
    stack.callback(client.close)
    return machines.MachineDirectory(client)


def build_peer_endpoint(shared: SharedComponents) -> messages.Endpoint:
    """Returns the address on which other processes reach this one."""
    own = shared.platform_settings.peers
    port = shared.program_settings.advertised_port
    return own if port is None else messages.Endpoint(own.host, port)
