"""What an entry reports of itself and of the members that it knows."""

import dataclasses
import datetime
from collections.abc import Mapping

from gypsumhold.model import ids, resources, states


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """State of one entry.

    Attributes:
        name: Name of the entry.
        incarnation: Life of the process.
        config_version: Configuration version in force.
        ready: Whether the entry has a configuration and serves callers.
        waiting: Calls that wait, by class.
        partitions_held: Number of partitions that the entry holds.
        table_reachable: Whether the last exchange with the table worked.
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
    """State of one instance as the entry sees it.

    Attributes:
        name: Name of the instance.
        state: State that its agent announced last.
        data_centre: Data centre of the instance.
        rack: Rack of the instance.
        incarnation: Life of the agent.
        config_version: Configuration version that the agent announced.
        lagging: Whether that version is below the entry's.
        free_slots: Slots neither in use nor held back.
        queued: Requests that wait in the agent.
        capacity: Resources that tasks may use in all.
        free: Resources that new tasks may use.
        age: Time since the last announcement arrived.
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
    """State of one partition of the task queue in the entry.

    Attributes:
        number: Number of the partition.
        phase: What the entry has to do with it.
        epoch: Highest epoch that the entry has seen.
        queued: Tasks that wait; 0 unless the partition is held.
        assigned: Tasks that are placed; 0 unless the partition is held.
    """

    number: ids.Partition
    phase: states.PartitionPhase
    epoch: ids.Epoch
    queued: int
    assigned: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Everything that one entry reports."""

    entry: EntryStatus
    instances: tuple[InstanceStatus, ...] = ()
    partitions: tuple[PartitionStatus, ...] = ()
