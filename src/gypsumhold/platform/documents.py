"""The JSON documents of the platform's wire format.

The attributes carry the platform's field names in snake case; on the wire they
are in camel case. A comment explains a field whose name is not clear.
"""

import enum
import functools
from typing import Annotated, TypeVar

import msgspec
from returns.result import Result

from gypsumhold.adapters import decoding
from gypsumhold.decisions.jobs import validation
from gypsumhold.model import errors

_Document = TypeVar("_Document")

MAX_NUMBER = 2**53 - 1
"""Largest integer that every JSON implementation represents exactly."""

MAX_STRETCH = 1_000_000

MAX_STEPS = validation.MAX_REPETITION_TASKS
"""Most steps of a job, each of which has a task. The decoder itself refuses
more: as objects, the steps of a body of 1 MiB take many times its size."""

Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Measured = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Millis = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Stretch = Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)]


class PlatformDocument(
    msgspec.Struct, frozen=True, rename="camel", omit_defaults=True
):
    """Base class of all documents.

    Decoding ignores unknown fields. Encoding omits fields that have their
    default value, unless the subclass sets `omit_defaults=False`.
    """


class Capacity(PlatformDocument, frozen=True):
    """Resources that a worker offers or that a task requests."""

    # Thousandths of a core.
    cpu: Amount = 0
    memory_request_mb: Amount = 0
    gpus: Amount = 0


class Heartbeat(PlatformDocument, frozen=True):
    """Periodic report of a worker about its state and capacity."""

    # Name of the worker pool.
    service: str
    # HOST:PORT on which the worker accepts commands.
    address: str
    # Name of the data centre.
    zone: str
    # "ready" or "draining".
    state: str
    # Rises with each heartbeat of a worker process, so that the agent ignores
    # heartbeats that arrive late.
    sequence: Amount
    # Unix time in milliseconds at which the worker started.
    born: Amount = 0
    capacity: Capacity = Capacity()
    # The worker's kind and its rack.
    labels: tuple[str, ...] = ()
    # Time until a draining worker shuts down.
    drain_remaining_ms: Number = 0


class Step(PlatformDocument, frozen=True):
    """One step of a submitted job."""

    # Number of equal tasks.
    count: int
    # Request of one task in thousandths of a core.
    cpu: int = 0
    memory_request_mb: int = 0
    gpus: int = 0
    # The caller's estimate of one task's duration.
    estimated_ms: int = 0
    # Numbers of the steps that have to be done before this one.
    after: Annotated[tuple[int, ...], msgspec.Meta(max_length=MAX_STEPS)] = ()
    # Whether tasks save their progress.
    checkpointing: bool = False
    # Whether the tasks only work when all of them run.
    gang: bool = False
    # Whether the tasks are slower on more than one rack.
    colocated: bool = False
    # One label that the worker must have; empty for any worker.
    requirements: str = ""
    # Rack on which the tasks run fastest; empty for any rack.
    data_rack: str = ""
    # Largest number of the step's tasks on one worker; 0 for no limit.
    max_per_server: int = 0
    # Whether copies of a task may run in parallel.
    speculative: bool = False
    # Whether tasks run until the job is cancelled.
    long_running: bool = False
    # Name of the program that the tasks run.
    image: str = ""
    # Tail latency that a serving task has to keep.
    target_ms: float = 0
    # Whether the tasks are best-effort: they use only idle cpu.
    fills: bool = False
    # Number of tasks that the scheduler may stop at the same time.
    may_miss: int = 0


class Submission(PlatformDocument, frozen=True):
    """A job as a caller submits it."""

    # Passed to the worker unchanged.
    specification: str
    steps: Annotated[tuple[Step, ...], msgspec.Meta(max_length=MAX_STEPS)]
    # Number of times that the steps run; 0 for once, immediately.
    repetitions: int = 0
    # Unix time of the first repetition.
    first_run_ms: int = 0
    # Time from the start of one repetition to that of the next.
    interval_ms: int = 0


class Advice(PlatformDocument, frozen=True):
    """Marks a queue whose steps an external service places.

    Only the presence of this document is used, not its fields.
    """

    decision_ms: float = 0
    per_item_ms: float = 0
    validity_ms: float = 0


class Route(PlatformDocument, frozen=True):
    """A queue of jobs, and the host and path prefix that lead to it."""

    name: str
    host: str
    prefix: str
    # Name of the pool of workers that run the queue's tasks.
    service: str
    # 0 is the most urgent.
    priority: Number = 0
    # Number of failed runs of one task after which the job fails.
    max_attempts: Number = 1
    # A job is on time if it ends within its longest chain of steps, multiplied
    # by `stretch`, plus `latency_target_ms`.
    stretch: Stretch = 1.0
    latency_target_ms: Millis = 0
    advice: Advice | None = None


class Config(PlatformDocument, frozen=True):
    """The operators' configuration of the queues."""

    version: Number
    routes: tuple[Route, ...]


class RemovedRow(PlatformDocument, frozen=True, omit_defaults=False):
    """A row that a transaction deletes."""

    table: str
    part: str
    key: str


class ExpectedRow(PlatformDocument, frozen=True, omit_defaults=False):
    """The version that a row must have; 0 if the row must not exist."""

    table: str
    part: str
    key: str
    row_version: int


class PutRow(PlatformDocument, frozen=True, omit_defaults=False):
    """A row that a transaction writes; `value` is base64 in JSON."""

    table: str
    part: str
    key: str
    value: bytes


class Transaction(PlatformDocument, frozen=True, omit_defaults=False):
    """Changes that the store applies all together or not at all."""

    # Conditions that all have to be met.
    expected_revision: tuple[ExpectedRow, ...]
    put: tuple[PutRow, ...]
    remove: tuple[RemovedRow, ...]


class Row(PlatformDocument, frozen=True):
    """A row as the store returns it."""

    table: str
    key: str
    row_version: int
    part: str = ""
    value: bytes = b""
    # Whether this change deleted the row.
    deleted: bool = False


class RowHead(PlatformDocument, frozen=True):
    """A row without its value."""

    table: str
    key: str
    row_version: int
    part: str = ""
    deleted: bool = False


class UndecodedRows(PlatformDocument, frozen=True):
    """`Rows` whose rows are decoded one by one."""

    rows: tuple[msgspec.Raw, ...] = ()
    row_version: int = 0
    has_more: bool = False


class Rows(PlatformDocument, frozen=True):
    """Rows of a read, a feed or a conflict, and the store's version."""

    rows: tuple[Row, ...] = ()
    row_version: int = 0
    has_more: bool = False


class RunStart(PlatformDocument, frozen=True, omit_defaults=False):
    """Command to start a run."""

    # JOB.REPETITION.STEP.INDEX
    task: str
    run: int
    specification: str
    # End of the run's lease, on the worker's clock.
    until_ms: int
    fencing_token: int


class CheckpointedRunStart(RunStart, frozen=True, omit_defaults=False):
    """Command to start a run that resumes from a checkpoint."""

    checkpoint: str


class RunStop(PlatformDocument, frozen=True, omit_defaults=False):
    """Command to stop a run."""

    task: str
    run: int
    fencing_token: int


class ThrottleRequest(PlatformDocument, frozen=True, omit_defaults=False):
    """Command to limit a run to a share of its full speed."""

    task: str
    run: int
    # Share of the full speed; 100 lifts the limit.
    percent: int
    fencing_token: int


class PollRequest(PlatformDocument, frozen=True):
    """Reads a worker's runs, extends its lease and acknowledges ended runs."""

    fencing_token: int
    # Number of an ended run; the worker may drop it and all earlier ones.
    last_seen: int = -1
    # New end of the lease on the worker's clock; None leaves it unchanged.
    until_ms: int | None = None
    # Longest time that the worker waits for a run to end before it answers.
    wait_ms: int = 0


class CommandReply(PlatformDocument, frozen=True):
    """A worker's answer to a command."""

    # Reading of the worker's clock.
    clock_ms: Amount | None = None
    # Why the worker refused the command; empty if it did not.
    reason: str = ""


class PollReply(PlatformDocument, frozen=True):
    """A worker's answer to `PollRequest`.

    The rows are decoded one by one, so that an unreadable row does not hide
    the others.
    """

    # Reading of the worker's clock.
    clock_ms: Amount
    # Unix time in milliseconds at which the worker started; 0 if unknown.
    born: Amount = 0
    # Arrays of task, run, checkpoint, percent done and usage.
    running: tuple[msgspec.Raw, ...] = ()
    # Arrays of number, task, run, how it ended and checkpoint.
    ended: tuple[msgspec.Raw, ...] = ()


class JobStatus(PlatformDocument, frozen=True):
    """Answer to a query for the state of a job."""

    state: str


class QueueStatus(PlatformDocument, frozen=True, omit_defaults=False):
    """Answer to a query for the length of a queue."""

    # Number of accepted jobs that have not started.
    waiting: int


class Listen(PlatformDocument, frozen=True):
    """Addresses on which a process listens; empty where it does not."""

    # For callers.
    front: str = ""
    # For the platform's readiness check.
    ready: str = ""
    # For the heartbeats of the local worker.
    control: str = ""


class StoreSettings(PlatformDocument, frozen=True):
    """Settings of the platform's table store."""

    address: str
    # Most bytes of the value of one row.
    row_bytes: int = 65_536


class MachineListSettings(PlatformDocument, frozen=True):
    """Where the platform lists its machines."""

    address: str = ""


class MachineState(enum.Enum):
    """Whether a machine has a worker; with another state, none is decoded."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(PlatformDocument, frozen=True):
    """One machine of the platform."""

    state: MachineState
    # Name of the worker that runs on it, if it is up.
    id: str | None = ""


class MachinePage(PlatformDocument, frozen=True):
    """Some of the platform's machines, by rising name."""

    machines: tuple[Machine, ...]
    # Where the next page begins; none on the last one.
    next_token: str | None = None


class ProcessLimits(PlatformDocument, frozen=True):
    """What the platform lets a process use."""

    # Share of the time in which the process may run.
    cpu_share: float = 1.0
    # Speed while it runs, in cores.
    cpu_cores: float = 1.0


class Bounds(PlatformDocument, frozen=True):
    """Limits that the platform sets for this deployment."""

    # Longest lease that a worker keeps.
    max_hold_ms: Amount = 10_000
    # Time for which a worker goes on after its draining was confirmed.
    drain_ms: Amount = 2000
    # Time within which an evacuation of a data centre is obeyed; 0 if data
    # centres are not evacuated.
    evacuation_ms: Amount = 0
    # Factor on the run time of a task away from its data or gang.
    remote_penalty: Stretch = 1.0


class Settings(PlatformDocument, frozen=True):
    """The settings file that the platform writes for a process."""

    # Name of the instance.
    node_name: str
    ip_address: str
    # Name of the data centre.
    zone: str
    region: str
    listen: Listen
    # The first port serves calls from other processes of the system.
    internal_port_range: tuple[int, int]
    # The table store.
    platform: StoreSettings
    # The list of machines, on platforms that have one.
    cloud_api: MachineListSettings = MachineListSettings()
    heartbeat_interval_ms: int = 1000
    limits: ProcessLimits = ProcessLimits()
    bounds: Bounds = Bounds()


def parse(
    data: bytes, document_type: type[_Document]
) -> Result[_Document, errors.Error]:
    """Parses a JSON document of type `document_type`.

    Returns:
        The document, or an error of kind DECODING.
    """
    return decoding.decode_foreign(
        functools.partial(
            msgspec.json.decode, type=document_type, strict=False
        ),
        data,
        document_type.__name__,
        "send the document in the platform's documented format",
    )


def render(document: PlatformDocument) -> bytes:
    """Returns the JSON text of a document."""
    return msgspec.json.encode(document)
