"""Status report of an entry: its own state, its instances and partitions."""

import dataclasses
import datetime
from collections.abc import Mapping

from gypsumhold.model import ids, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """State of one entry.

    Attributes:
        name: Name of the entry.
        incarnation: Incarnation of the process.
        config_version: Configuration version in force.
        ready: Whether the entry has a configuration and serves callers.
        waiting: Number of waiting calls, by class.
        partitions_held: Number of partitions that the entry holds.
        table_reachable: Whether the last exchange with the table succeeded.
    """

    name: ids.EntryId
    incarnation: ids.Incarnation
    config_version: ids.ConfigVersion
    ready: bool
    waiting: Mapping[states.WorkClass, int]
    partitions_held: int
    table_reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """State of one instance, as the entry sees it.

    Attributes:
        name: Name of the instance.
        state: State that its agent last announced.
        data_centre: Data centre of the instance.
        rack: Rack of the instance.
        incarnation: Incarnation of the agent process.
        config_version: Configuration version that the agent announced.
        lagging: Whether that version is lower than that of the entry.
        free_slots: Slots neither in use nor reserved for abandoned calls.
        queued: Number of requests in the queue of the agent.
        capacity: Total resources of the worker.
        free: Resources that are not committed.
        age: Time since the latest announcement arrived.
    """

    name: ids.InstanceId
    state: states.MemberState
    data_centre: ids.DataCentre
    rack: ids.Rack
    incarnation: ids.Incarnation
    config_version: ids.ConfigVersion
    lagging: bool
    free_slots: int
    queued: int
    capacity: resources.Resources
    free: resources.Resources
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionStatus:
    """State of one partition of the task queue, as the entry sees it.

    Attributes:
        number: Number of the partition.
        phase: Relation of the entry to the partition.
        epoch: Highest holder epoch that the entry has seen.
        queued: Number of queued tasks; 0 unless the partition is held.
        assigned: Number of placed tasks; 0 unless the partition is held.
    """

    number: ids.Partition
    phase: states.PartitionPhase
    epoch: ids.Epoch
    queued: int
    assigned: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Complete status report of one entry."""

    entry: EntryStatus
    instances: tuple[InstanceStatus, ...] = ()
    partitions: tuple[PartitionStatus, ...] = ()
