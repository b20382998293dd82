"""The JSON documents of the platform's wire format.

Attribute names are the platform's, in this language's case; a comment tells
what a field holds where its name does not.
"""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from gypsumhold.model import errors

_Document = TypeVar("_Document")


class PlatformDocument(
    msgspec.Struct, frozen=True, rename="camel", omit_defaults=True
):
    """Base of all documents; unknown fields are ignored."""


class Capacity(PlatformDocument, frozen=True):
    """Room of a worker or request of a task."""

    cpu: int = 0
    memory_request_mb: int = 0
    gpus: int = 0


class Heartbeat(PlatformDocument, frozen=True):
    """What a worker says of itself."""

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    # Unix milliseconds of the worker's start.
    born: int = 0
    capacity: Capacity = Capacity()
    # The kind of the worker and its rack.
    labels: tuple[str, ...] = ()
    drain_remaining_ms: int = 0


class Step(PlatformDocument, frozen=True):
    """One step of a submitted job."""

    count: int
    cpu: int = 0
    memory_request_mb: int = 0
    gpus: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    colocated: bool = False
    # One label that the worker must carry.
    requirements: str = ""
    data_rack: str = ""
    # Tasks of the step on one worker.
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class Submission(PlatformDocument, frozen=True):
    """A submitted job."""

    specification: str
    steps: tuple[Step, ...]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


class Advice(PlatformDocument, frozen=True):
    """Marks a queue whose steps an outside service places."""

    decision_ms: float = 0
    per_item_ms: float = 0
    validity_ms: float = 0


class Route(PlatformDocument, frozen=True):
    """A queue."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_ms: float = 0
    advice: Advice | None = None


class Config(PlatformDocument, frozen=True):
    """The operator's configuration."""

    version: int
    routes: tuple[Route, ...]


class RemovedRow(PlatformDocument, frozen=True, omit_defaults=False):
    """Names a row."""

    table: str
    part: str
    key: str


class ExpectedRow(PlatformDocument, frozen=True, omit_defaults=False):
    """A condition: the row has this version; 0 for no row."""

    table: str
    part: str
    key: str
    row_version: int


class PutRow(PlatformDocument, frozen=True, omit_defaults=False):
    """A row to write; `value` is base64."""

    table: str
    part: str
    key: str
    value: bytes


class Transaction(PlatformDocument, frozen=True, omit_defaults=False):
    """One atomic change; `expected_revision` lists the conditions."""

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
    # The row was dropped.
    deleted: bool = False


class Rows(PlatformDocument, frozen=True):
    """Rows, and the newest version in the store."""

    rows: tuple[Row, ...] = ()
    row_version: int = 0
    has_more: bool = False


class RunStart(PlatformDocument, frozen=True, omit_defaults=False):
    """Orders a start; `until_ms` is a time on the worker's clock."""

    task: str
    run: int
    specification: str
    until_ms: int
    fencing_token: int


class CheckpointedRunStart(RunStart, frozen=True, omit_defaults=False):
    """Orders a start that goes on from saved progress."""

    checkpoint: str


class RunStop(PlatformDocument, frozen=True, omit_defaults=False):
    """Orders a stop."""

    task: str
    run: int
    fencing_token: int


class ThrottleRequest(PlatformDocument, frozen=True, omit_defaults=False):
    """Lets a task work at a share of full speed."""

    task: str
    run: int
    percent: int
    fencing_token: int


class PollRequest(PlatformDocument, frozen=True):
    """Reads a worker's lists, extends its lease, acknowledges ends."""

    fencing_token: int
    # Ends up to this number are forgotten.
    last_seen: int = -1
    until_ms: int | None = None
    wait_ms: int = 0


class CommandReply(PlatformDocument, frozen=True):
    """A worker's answer to an order."""

    clock_ms: int | None = None
    reason: str = ""


class PollReply(PlatformDocument, frozen=True):
    """A worker's answer to `PollRequest`; rows are checked one by one."""

    clock_ms: int
    born: int = 0
    running: tuple[msgspec.Raw, ...] = ()
    ended: tuple[msgspec.Raw, ...] = ()


class JobStatus(PlatformDocument, frozen=True):
    """State of a job."""

    state: str


class QueueStatus(PlatformDocument, frozen=True, omit_defaults=False):
    """Accepted jobs of a queue that have not begun."""

    waiting: int


class Listen(PlatformDocument, frozen=True):
    """Addresses that the process serves."""

    front: str = ""
    ready: str = ""
    control: str = ""


class StoreSettings(PlatformDocument, frozen=True):
    """The platform's store."""

    address: str


class Settings(PlatformDocument, frozen=True):
    """The settings that the platform writes for a process."""

    node_name: str
    ip_address: str
    zone: str
    region: str
    listen: Listen
    internal_port_range: tuple[int, int]
    platform: StoreSettings
    heartbeat_interval_ms: int = 1000


def decode(
    data: bytes, kind: type[_Document]
) -> Result[_Document, errors.Error]:
    """Returns the document that `data` holds."""
    try:
        return Success(msgspec.json.decode(data, type=kind, strict=False))
    except (msgspec.MsgspecError, ValueError) as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.DECODING,
                f"not a valid {kind.__name__}: {problem}",
                "send it as the platform's pages describe",
            )
        )


def encode(document: PlatformDocument) -> bytes:
    """Returns the JSON of a document."""
    return msgspec.json.encode(document)
