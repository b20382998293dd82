"""Kinds of timers, of table reads and of worker commands."""

import dataclasses
import enum


class TimerKind(enum.StrEnum):
    """Purpose of a timer."""

    CALL = "call"
    """End of the pause of a call."""
    CLAIM_RECORD = "claim-record"
    BATCH_RETRY = "batch-retry"
    PARTITION_POLL = "partition-poll"
    SYNC = "sync"
    CONFIG_POLL = "config-poll"
    MEMBERSHIP = "roster"
    """Next removal of silent instances."""
    ANNOUNCE = "announce"
    WORKER_POLL = "worker-poll"
    QUEUE = "queue"
    """Earliest deadline of the queued calls of an agent."""
    LOAD = "load"
    """Next attempt to read the tasks of a partition after a failure."""
    APPLY_RETRY = "apply-retry"
    HOLDER_POLL = "holder-poll"
    HOLDER_TICK = "holder-tick"
    NEXT_BATCH = "next-batch"
    """Next plan and batch of the holder, once the former batch is pushed."""
    NEAR_PLACE = "near-place"
    """Earliest end of a wait for a near place."""
    REGISTER = "register"
    REPORT = "report"
    THROTTLING = "pace"


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Identifies a timer. Setting a timer again replaces its time.

    Attributes:
        kind: Purpose of the timer.
        subject: Id of the request, operation, partition or instance that the
            timer belongs to; empty if there is only one timer of the kind.
    """

    kind: TimerKind
    subject: str = ""


class ReadKind(enum.StrEnum):
    """Purpose of a read of the table."""

    PARTITIONS = "partitions"
    TASKS = "tasks"
    CLAIM = "claim"
    CONFIG_HEAD = "config-head"
    CONFIG_CHANGES = "config-changes"
    CONFIG_OBJECTS = "config-objects"


class WorkerAction(enum.StrEnum):
    """Commands to a worker about a task."""

    START = "start"
    RENEW = "renew"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    FORGET = "forget"
    """Drops the worker's record of an ended task."""
