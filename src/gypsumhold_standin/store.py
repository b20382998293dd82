"""Simulates the platform's table and object store, without I/O or a clock.

`apply` executes one operation on the state of a store. If a message is lost,
it returns an answer with the delivery LOST (for a transaction also with the
result UNKNOWN), and the HTTP service breaks the connection.
"""

import bisect
import dataclasses
import datetime
import enum
import itertools
from collections.abc import Iterator

from gypsumhold.model import ids, rows, states


class Fault(enum.StrEnum):
    """Fault that affects operations on the store."""

    NONE = "none"
    DOWN = "down"
    """Every operation is refused before it takes effect."""

    SLOW = "slow"
    """Every operation takes effect, but its answer is delayed."""

    ANSWER_LOST = "answer-lost"
    """A change takes effect, but its answer is lost; reads are unaffected."""

    REQUEST_LOST = "request-lost"
    """A change is lost before it takes effect; reads are unaffected."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Request to simulate a fault.

    Attributes:
        fault: Fault that is simulated from now on.
        count: Number of operations that it affects; None for all until the
            next SetFault.
    """

    fault: Fault
    count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commits a transaction."""

    transaction: rows.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Reads one row."""

    key: ids.RowKey


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Reads at most `limit` rows with a key prefix and keys above `after`."""

    prefix: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class PutObject:
    """Stores an object under a name, over any former one."""

    name: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GetObject:
    """Reads an object."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteObject:
    """Deletes an object."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListObjects:
    """Lists the names of the objects with a prefix."""

    prefix: str


Change = Commit | PutObject | DeleteObject
Read = ReadRow | ReadRows | GetObject | ListObjects
Operation = Change | Read


class Delivery(enum.Enum):
    """How the answer reaches the client, if it does."""

    PROMPT = "prompt"
    DELAYED = "delayed"
    REFUSED = "refused"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an operation; only the fields for its type are set.

    Attributes:
        delivery: How the answer reaches the client, if it does.
        commit: Result of a transaction, as the client must report it.
        found_rows: Rows that were read.
        names: Names of the listed objects.
        body: Body of an object; None if it does not exist.
    """

    delivery: Delivery = Delivery.PROMPT
    commit: rows.CommitAnswer | None = None
    found_rows: tuple[rows.Row, ...] = ()
    names: tuple[str, ...] = ()
    body: bytes | None = None


@dataclasses.dataclass(slots=True)
class Store:
    """State of the table and of the object store.

    Attributes:
        table: Rows by key.
        keys: Sorted keys of the rows, so that reading a few rows does not
            visit all of them.
        versions: Last version of every key ever written. A deleted row that
            is written again continues its version count, so that a delayed
            copy of an old transaction cannot meet its condition by accident.
        objects: Bodies of the objects by name.
        fault: Fault that is simulated.
        fault_count: Operations that the fault still affects; None for all.
        write_interval: Least time between two transactions; zero for no
            limit.
        next_write: Earliest instant of the next transaction.
    """

    table: dict[ids.RowKey, rows.Row] = dataclasses.field(default_factory=dict)
    keys: list[ids.RowKey] = dataclasses.field(default_factory=list)
    versions: dict[ids.RowKey, ids.RowVersion] = dataclasses.field(
        default_factory=dict
    )
    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    fault: Fault = Fault.NONE
    fault_count: int | None = None
    write_interval: datetime.timedelta = datetime.timedelta(0)
    next_write: datetime.timedelta = datetime.timedelta(0)


def limit_writes(store: Store, writes_per_s: int | None) -> None:
    """Limits the rate of transactions; None or zero removes the limit."""
    second = datetime.timedelta(seconds=1)
    store.write_interval = second / writes_per_s if writes_per_s else 0 * second


def reserve_write(store: Store, now: datetime.timedelta) -> datetime.timedelta:
    """Reserves the next write under the rate limit.

    Returns:
        How long a transaction that arrives at `now` has to wait.
    """
    write_at = max(now, store.next_write)
    store.next_write = write_at + store.write_interval
    return write_at - now


def set_fault(store: Store, request: SetFault) -> None:
    """Replaces the simulated fault; a count of zero ends it."""
    store.fault = Fault.NONE if request.count == 0 else request.fault
    store.fault_count = request.count


def apply(store: Store, operation: Operation) -> Answer:
    """Executes one operation under the simulated fault."""
    fault = _consume_fault(store, operation)
    if fault is Fault.DOWN:
        return _build_failure(operation, Delivery.REFUSED)
    if fault is Fault.REQUEST_LOST:
        return _build_failure(operation, Delivery.LOST)
    answer = _execute(store, operation)
    if fault is Fault.ANSWER_LOST:
        return _build_failure(operation, Delivery.LOST)
    if fault is Fault.SLOW:
        return dataclasses.replace(answer, delivery=Delivery.DELAYED)
    return answer


def commit(store: Store, transaction: rows.Transaction) -> rows.CommitAnswer:
    """Commits a transaction and returns the answer that its sender gets."""
    answer = apply(store, Commit(transaction)).commit
    assert answer is not None
    return answer


def _consume_fault(store: Store, operation: Operation) -> Fault:
    """Returns the fault that affects an operation; counts the operation."""
    fault = store.fault
    if fault in (Fault.ANSWER_LOST, Fault.REQUEST_LOST) and not isinstance(
        operation, Change
    ):
        return Fault.NONE
    if store.fault_count is not None and fault is not Fault.NONE:
        store.fault_count -= 1
        if store.fault_count == 0:
            store.fault = Fault.NONE
    return fault


def _build_failure(operation: Operation, delivery: Delivery) -> Answer:
    """Returns the answer to an operation that is refused or lost."""
    if not isinstance(operation, Commit):
        return Answer(delivery)
    result = (
        states.CommitResult.UNAVAILABLE
        if delivery is Delivery.REFUSED
        else states.CommitResult.UNKNOWN
    )
    return Answer(delivery, rows.CommitAnswer(result))


def _execute(store: Store, operation: Operation) -> Answer:
    match operation:
        case Commit(transaction):
            return Answer(commit=_execute_transaction(store, transaction))
        case PutObject(name, body):
            store.objects[name] = body
            return Answer()
        case DeleteObject(name):
            store.objects.pop(name, None)
            return Answer()
        case _:
            return _execute_read(store, operation)


def _execute_read(store: Store, operation: Read) -> Answer:
    match operation:
        case ReadRow(key):
            row = store.table.get(key)
            return Answer(found_rows=() if row is None else (row,))
        case ReadRows(prefix, after, limit):
            keys = _find_keys(store, prefix, after)
            page = itertools.islice(keys, limit)
            return Answer(found_rows=tuple(store.table[key] for key in page))
        case GetObject(name):
            return Answer(body=store.objects.get(name))
        case ListObjects(prefix):
            names = sorted(
                name for name in store.objects if name.startswith(prefix)
            )
            return Answer(names=tuple(names))


def _find_keys(store: Store, prefix: str, after: str) -> Iterator[ids.RowKey]:
    """Returns the keys with a prefix above `after`, in order."""
    start = max(
        bisect.bisect_left(store.keys, prefix),
        bisect.bisect_right(store.keys, after),
    )
    candidates = itertools.islice(store.keys, start, None)
    return itertools.takewhile(lambda key: key.startswith(prefix), candidates)


def _execute_transaction(
    store: Store, transaction: rows.Transaction
) -> rows.CommitAnswer:
    """Writes all rows if every condition is met, otherwise none."""
    if not all(
        _meets_condition(store, condition)
        for condition in transaction.conditions
    ):
        return rows.CommitAnswer(
            states.CommitResult.CONFLICT,
            _list_existing_rows(store, transaction),
        )
    for write in transaction.writes:
        _write_row(store, transaction.operation, write)
    return rows.CommitAnswer(states.CommitResult.COMMITTED)


def _meets_condition(store: Store, condition: rows.Condition) -> bool:
    """Tells whether a row has the expected version; 0 means no row."""
    row = store.table.get(condition.key)
    return condition.version == (0 if row is None else row.version)


def _list_existing_rows(
    store: Store, transaction: rows.Transaction
) -> tuple[rows.Row, ...]:
    """Returns the existing rows that the conditions name."""
    named_rows = (
        store.table.get(condition.key) for condition in transaction.conditions
    )
    return tuple(row for row in named_rows if row is not None)


def _write_row(
    store: Store, operation: ids.OperationId, write: rows.Write
) -> None:
    """Writes or deletes one row; a written row gets the next version."""
    position = bisect.bisect_left(store.keys, write.key)
    exists = write.key in store.table
    if write.value is None:
        if exists:
            del store.table[write.key]
            del store.keys[position]
        return
    if not exists:
        store.keys.insert(position, write.key)
    version = ids.RowVersion(store.versions.get(write.key, 0) + 1)
    store.versions[write.key] = version
    store.table[write.key] = rows.Row(
        write.key, version, operation, write.value
    )
