"""Announcements of agents, reports of upstreams, and addresses."""

import dataclasses
import datetime

from gypsumhold.model import ids, requests, resources, states

MIN_PORT = 1
MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """State of an instance, as its agent announces it to the entries.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the agent process.
        sequence: Increases with each announcement of one incarnation.
        state: Whether the agent accepts new work.
        address: Where the agent serves entries.
        data_centre: Data centre from the settings.
        region: Region from the settings.
        rack: Rack from the settings.
        clock: CLOCK_BOOTTIME of the instance when the announcement was built.
        kinds: Kinds of requests that the upstream serves.
        free_slots: Slots neither in use nor reserved for abandoned calls.
        queued: Number of requests in the queue of the agent.
        capacity: Total resources of the worker.
        free: Resources that are not committed.
        config_version: Configuration version in force.
        reports: Number of ended tasks whose report no holder has acknowledged.
        throttled: Part of the message, but never set by agents.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    state: states.MemberState
    address: Address
    data_centre: ids.DataCentre
    region: ids.Region
    rack: ids.Rack
    clock: datetime.timedelta
    kinds: frozenset[ids.KindName]
    free_slots: int
    queued: int
    capacity: resources.Resources
    free: resources.Resources
    config_version: ids.ConfigVersion
    reports: int = 0
    throttled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """State of an upstream, as it reports it to the agent of its instance.

    Attributes:
        address: Where the upstream serves requests.
        kinds: Kinds of requests that it serves.
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it accepts.
        busy: Number of slots in use when the report was built.
        running: Attempts that occupy these slots; None if it does not report
            them.
        draining: Whether it is shutting down and accepts no new requests.
        reserved: Resources of the worker that are reserved for the upstream.
    """

    address: Address
    kinds: frozenset[ids.KindName]
    slots: int
    connections: int
    busy: int
    running: frozenset[requests.AttemptKey] | None = None
    draining: bool = False
    reserved: resources.Resources = resources.NOTHING
