"""Options of a scheduler."""

import dataclasses
import datetime

from gypsumhold.model import ids
from gypsumhold.model.jobs import locality, messages, worker_limits

DEFAULT_ROW_BYTES = 65_536
"""Most bytes of one row in a store that names no other limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerOptions:
    """Options of a scheduler.

    Attributes:
        name: Name of the entry.
        incarnation: Incarnation of the process.
        endpoint: Where the entry answers agents and other entries.
        grant: How long the runs of an agent may continue after the agent
            sent a report that the holder answered.
        grant_window: How long after sending its last stored batch the holder
            may issue grants.
        takeover_delay: How long the holder's row stays unchanged before
            another entry takes the queue.
        renew_interval: Longest pause between two batches.
        poll_interval: Pause between reads of the holder's row.
        report_timeout: Time without a report after which an agent gets no new
            runs.
        retention: How long ended jobs are kept.
        cores: Processor capacity of the instance, in cores.
        row_bytes: Most bytes of one row in the store.
        limits: Limits of the workers and of the calls to them.
        seed: Seed of the random number generator.
        evacuation_time: Within what time after its request an evacuation of a
            data centre is obeyed; None if the platform sets none.
        off_rack_slowdown: Factor on the run time of a task away from the rack
            of its data or gang; at 1 no wait for a near place pays.
        lists_workers: Whether the platform lists the workers that are up.
    """

    name: str
    incarnation: ids.Incarnation
    endpoint: messages.Endpoint
    grant: datetime.timedelta = datetime.timedelta(seconds=7)
    grant_window: datetime.timedelta = datetime.timedelta(seconds=4)
    takeover_delay: datetime.timedelta = datetime.timedelta(milliseconds=2500)
    renew_interval: datetime.timedelta = datetime.timedelta(milliseconds=500)
    poll_interval: datetime.timedelta = datetime.timedelta(milliseconds=500)
    report_timeout: datetime.timedelta = datetime.timedelta(milliseconds=2500)
    retention: datetime.timedelta = datetime.timedelta(seconds=180)
    cores: float = 1.0
    row_bytes: int = DEFAULT_ROW_BYTES
    limits: worker_limits.WorkerLimits = worker_limits.WorkerLimits()
    seed: int = 0
    evacuation_time: datetime.timedelta | None = None
    off_rack_slowdown: float = locality.NO_SLOWDOWN
    lists_workers: bool = False
