"""Messages of membership."""

import dataclasses
import datetime

from gypsumhold.model import ids, requests, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an agent tells the entries about its instance.

    Attributes:
        instance: Name of the instance.
        incarnation: Life of the agent.
        sequence: Rises with each announcement of one incarnation.
        state: Whether new work is welcome.
        address: Where the agent answers calls of entries.
        data_centre: Data centre from the settings.
        region: Region from the settings.
        rack: Rack from the settings.
        clock: The instance's CLOCK_BOOTTIME when this was built.
        kinds: Kinds of requests that the upstream serves.
        free_slots: Slots neither in use nor held back.
        queued: Requests that wait in the agent.
        capacity: Resources that tasks may use in all.
        free: Resources that new tasks may use.
        config_version: Highest configuration version in force.
        reports: Task reports that wait for a holder.
        throttled: Whether interference control holds tasks back.
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
    """What an upstream tells the agent beside it.

    Attributes:
        address: Where the upstream answers requests.
        kinds: Kinds of requests that it serves.
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        busy: Slots in use when the report was built.
        running: Attempts that hold those slots; None if it does not tell.
        draining: Whether it is leaving and wants no new work.
        reserved: Resources that it keeps for itself on the worker.
    """

    address: Address
    kinds: frozenset[ids.KindName]
    slots: int
    connections: int
    busy: int
    running: frozenset[requests.AttemptKey] | None = None
    draining: bool = False
    reserved: resources.Resources = resources.NOTHING
