"""State that an entry keeps about each instance."""

import dataclasses
import datetime

from gypsumhold.model import ids, members, resources, tasks


@dataclasses.dataclass(slots=True)
class Reservation:
    """Resources of a started task that announcements do not include yet.

    Attributes:
        amount: Resources of the task.
        visible_from: Sequence number of the first announcement that certainly
            includes the task; None until the agent has accepted it.
    """

    amount: resources.Resources
    visible_from: int | None = None


@dataclasses.dataclass(slots=True)
class Member:
    """One instance as an entry sees it.

    Attributes:
        announcement: Latest announcement of its agent.
        received_at: When that arrived, on the entry's clock.
        in_flight: Number of dispatches of this entry that have no reply yet.
        limit: Unused; the dispatches in flight to an instance are not limited.
        failures: Number of dispatches in a row that failed.
        excluded_until: Instant before which the instance gets no dispatch,
            because dispatches to it failed.
        latency_ratio: Smoothed ratio of the instance's latency to the typical
            latency of the same kind of request; 1.0 is normal.
        latency_ratio_at: When `latency_ratio` was last updated.
        reservations: Resources of starts that announcements do not include yet.
        last_sync: When each partition was last synced with the agent.
        syncing: Partitions with a sync in flight.
        acknowledgements: Committed reports that the next sync acknowledges, by
            partition.
        orphans: Placements that the agent reported but the table does not
            contain, by partition.
        task_failures: Distinct tasks that failed on the instance in a row.
        quarantined_until: Instant before which the instance gets no new task.
        quarantines: Number of quarantines in a row.
        pushed_at: When the configuration was last pushed to the agent.
        lagging_since: Since when the agent has announced an outdated
            configuration; None if it is up to date.
    """

    announcement: members.Announcement
    received_at: datetime.timedelta
    in_flight: int = 0
    limit: float = 64.0
    failures: int = 0
    excluded_until: datetime.timedelta = datetime.timedelta(0)
    latency_ratio: float = 1.0
    latency_ratio_at: datetime.timedelta = datetime.timedelta(0)
    reservations: dict[ids.TaskId, Reservation] = dataclasses.field(
        default_factory=dict
    )
    last_sync: dict[ids.Partition, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    syncing: set[ids.Partition] = dataclasses.field(default_factory=set)
    acknowledgements: dict[ids.Partition, list[tasks.SyncItem]] = (
        dataclasses.field(default_factory=dict)
    )
    orphans: dict[ids.Partition, list[tasks.SyncItem]] = dataclasses.field(
        default_factory=dict
    )
    task_failures: list[ids.TaskId] = dataclasses.field(default_factory=list)
    quarantined_until: datetime.timedelta = datetime.timedelta(0)
    quarantines: int = 0
    pushed_at: datetime.timedelta | None = None
    lagging_since: datetime.timedelta | None = None

    @property
    def instance(self) -> ids.InstanceId:
        """Name of the instance."""
        return self.announcement.instance

    @property
    def address(self) -> members.Address:
        """Where the agent serves entries."""
        return self.announcement.address

    def compute_free(self) -> resources.Resources:
        """Returns the announced free resources minus the reservations."""
        free = self.announcement.free
        for reservation in self.reservations.values():
            free = free - reservation.amount
        return free
