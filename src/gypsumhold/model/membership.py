"""What an entry knows of the instances."""

import dataclasses
import datetime

from gypsumhold.model import ids, members, resources, tasks


@dataclasses.dataclass(slots=True)
class Reservation:
    """Resources of a start that announcements do not show yet.

    Attributes:
        amount: Resources of the task.
        visible_from: Sequence of the first announcement that surely counts
            the task; None until the agent has accepted it.
    """

    amount: resources.Resources
    visible_from: int | None = None


@dataclasses.dataclass(slots=True)
class Member:
    """One instance as an entry sees it.

    Attributes:
        announcement: The latest one.
        received_at: When it arrived, on the entry's clock.
        in_flight: Dispatches of this entry that have no answer yet.
        limit: Dispatches that this entry may have in flight there.
        failures: Failed or lost dispatches in a row.
        excluded_until: No dispatch before this instant, after failures.
        latency_ratio: Smoothed ratio of the instance's latency to the typical
            latency of the same kind of request; 1.0 is normal.
        latency_ratio_at: When `latency_ratio` was last updated.
        reservations: Starts that announcements do not show yet.
        last_sync: When each partition was last synced.
        syncing: Partitions with a sync under way.
        acknowledgements: Reports that the next sync may acknowledge.
        orphans: Placements that the agent holds but the table does not.
        task_failures: Different tasks that failed there in a row.
        quarantined_until: No new task before this instant.
        quarantines: How often in a row it was quarantined.
        pushed_at: When the configuration was last pushed.
        lagging_since: Since when it announces an old configuration.
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
        """Where the agent answers calls."""
        return self.announcement.address

    def count_free(self) -> resources.Resources:
        """Returns announced free resources less unseen reservations."""
        free = self.announcement.free
        for reservation in self.reservations.values():
            free = free - reservation.amount
        return free
