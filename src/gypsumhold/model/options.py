"""Frozen options that programs fill in from their settings."""

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
        incarnation: Life of the process; rises with each start.
        address: Where the entry answers calls of other entries.
        data_centre: Data centre that calls prefer.
        region: Region of the data centre.
        partitions: Number of partitions of the task queue; the same on every
            entry of a deployment.
        waiting_limits: Calls of each class that may wait at once.
        max_deadline: Longest deadline that is accepted.
        max_attempts: Dispatches of one request at most.
        partition_lease: Time without a change after which a partition may be
            taken over.
        partition_poll: Interval between reads of the partition rows.
        batch_rows: Task rows of one batch at most.
        sync_interval: Interval between syncs with an agent.
        config_poll: Interval between reads of the configuration head.
        suspect_after: Silence after which an agent gets no new work.
        forget_after: Silence after which an agent without tasks is dropped.
        table_pause: How long non-repeatable work is refused at once after the
            table failed.
        claim_patience: How long a claim of another entry is left alone.
        claim_poll: Interval between reads of a claim that is waited for.
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
        instance: Name of the instance beside which the agent runs.
        incarnation: Life of the process; rises with each start.
        address: Where the agent answers calls of entries.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        rack: Rack of the instance.
        max_deadline: Longest deadline that an entry accepts.
        queue_limit: Requests that may wait in all.
        announce_interval: Interval between announcements.
        worker_poll: Interval between reads of the worker.
        upstream_silence: Silence after which the upstream is not used.
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
