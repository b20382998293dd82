"""Names of timers, reads and worker commands."""

import dataclasses
import enum


class TimerKind(enum.StrEnum):
    """What a timer is for."""

    CALL = "call"
    CLAIM_RECORD = "claim-record"
    BATCH_RETRY = "batch-retry"
    PARTITION_POLL = "partition-poll"
    SYNC = "sync"
    CONFIG_POLL = "config-poll"
    MEMBERSHIP = "roster"
    ANNOUNCE = "announce"
    WORKER_POLL = "worker-poll"
    QUEUE = "queue"
    LOAD = "load"
    APPLY_RETRY = "apply-retry"
    HOLDER_POLL = "holder-poll"
    HOLDER_TICK = "holder-tick"
    REGISTER = "register"
    REPORT = "report"
    PACE = "pace"


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Names a timer; setting it again moves it.

    Attributes:
        kind: What it is for.
        subject: Request, operation, partition or instance that it concerns.
    """

    kind: TimerKind
    subject: str = ""


class ReadKind(enum.StrEnum):
    """What a read of the table is for."""

    PARTITIONS = "partitions"
    TASKS = "tasks"
    CLAIM = "claim"
    CONFIG_HEAD = "config-head"
    CONFIG_CHANGES = "config-changes"
    CONFIG_OBJECTS = "config-objects"


class WorkerAction(enum.StrEnum):
    """Commands that a worker takes for a task."""

    START = "start"
    RENEW = "renew"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    FORGET = "forget"
