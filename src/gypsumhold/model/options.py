"""Options of entries and agents, which the programs set from their settings.

Settings are matched to the fields by name, durations with the suffix `_ms`.
Renaming a field therefore renames its setting.
"""

import dataclasses
import datetime
from collections.abc import Mapping

from gypsumhold.model import ids, members, states


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """Options of an entry.

    Attributes:
        entry: Name of the entry.
        incarnation: Incarnation of the process; increases with each start.
        address: Where the entry serves other entries.
        data_centre: Data centre whose instances are preferred for requests.
        region: Region of the data centre.
        partitions: Number of partitions of the task queue; the same on every
            entry of a deployment.
        waiting_limits: Largest number of waiting calls of each class.
        max_deadline: Longest deadline that is accepted.
        max_attempts: Largest number of dispatches of one request.
        partition_lease: Time without a change of its row after which a
            partition may be taken over.
        partition_poll: Interval between reads of the partition rows.
        batch_rows: Largest number of task rows in one batch.
        sync_interval: Interval between syncs with an agent.
        config_poll: Interval between reads of the configuration head.
        suspect_after: Time without an announcement after which an agent gets no
            new work.
        forget_after: Time without an announcement after which an agent without
            tasks is removed from the membership.
        table_pause: How long non-repeatable requests are refused immediately
            after the table failed.
        claim_patience: How long a claim of another entry is left to that entry
            before this one resolves it.
        claim_poll: Interval between reads of a claim of another entry whose
            result is awaited.
    """

    entry: ids.EntryId
    incarnation: ids.Incarnation
    address: members.Address
    data_centre: ids.DataCentre
    region: ids.Region
    partitions: int = 16
    waiting_limits: Mapping[states.WorkClass, int] = dataclasses.field(
        default_factory=lambda: {
            states.WorkClass.URGENT: 40,
            states.WorkClass.STANDARD: 24,
            states.WorkClass.BATCH: 16,
        }
    )
    max_deadline: datetime.timedelta = _seconds(60)
    max_attempts: int = 4
    partition_lease: datetime.timedelta = _seconds(10)
    partition_poll: datetime.timedelta = _seconds(1)
    batch_rows: int = 256
    sync_interval: datetime.timedelta = _seconds(5)
    config_poll: datetime.timedelta = _seconds(1)
    suspect_after: datetime.timedelta = _seconds(3)
    forget_after: datetime.timedelta = _seconds(60)
    table_pause: datetime.timedelta = _seconds(1)
    claim_patience: datetime.timedelta = _seconds(1)
    claim_poll: datetime.timedelta = _seconds(0.25)


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOptions:
    """Options of an agent.

    Attributes:
        instance: Name of the instance on which the agent runs.
        incarnation: Incarnation of the process; increases with each start.
        address: Where the agent serves entries.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        rack: Rack of the instance.
        max_deadline: Longest deadline that an entry accepts.
        queue_limit: Largest number of queued requests.
        announce_interval: Interval between announcements.
        worker_poll: Interval between polls of the worker.
        upstream_silence: Time without a report after which the upstream gets no
            requests.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    address: members.Address
    data_centre: ids.DataCentre
    region: ids.Region
    rack: ids.Rack
    max_deadline: datetime.timedelta = _seconds(60)
    queue_limit: int = 256
    announce_interval: datetime.timedelta = _seconds(1)
    worker_poll: datetime.timedelta = _seconds(1)
    upstream_silence: datetime.timedelta = _seconds(3)
