"""The platform's table and object store as state plus a pure `apply`.

Nothing here does I/O or reads a clock. A lost message is an answer whose
result is UNKNOWN; a transport turns it into a broken connection.
"""

import bisect
import dataclasses
import datetime
import enum
import itertools
from collections.abc import Iterator

from gypsumhold.model import ids, rows, states


class Fault(enum.StrEnum):
    """What goes wrong with operations."""

    NONE = "none"
    DOWN = "down"
    """Every operation is refused before it takes effect."""

    SLOW = "slow"
    """Every operation takes effect; its answer is delayed."""

    ANSWER_LOST = "answer-lost"
    """A change takes effect, then its answer is lost; reads work."""

    REQUEST_LOST = "request-lost"
    """A change is lost before it takes effect; reads work."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Scripts a fault.

    Attributes:
        fault: What goes wrong from now on.
        count: Operations that it concerns; None until the next SetFault.
    """

    fault: Fault
    count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Runs a transaction."""

    transaction: rows.Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Reads one row."""

    key: ids.RowKey


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Reads one page of the rows of a prefix with keys above `after`."""

    prefix: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class PutObject:
    """Stores an object."""

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
    """Lists the names with a prefix."""

    prefix: str


Change = Commit | PutObject | DeleteObject
Read = ReadRow | ReadRows | GetObject | ListObjects
Operation = Change | Read


class Delivery(enum.Enum):
    """What becomes of the answer on its way."""

    PROMPT = "prompt"
    DELAYED = "delayed"
    REFUSED = "refused"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an operation; the fields that it needs are set.

    Attributes:
        delivery: What becomes of the answer on its way.
        commit: Result of a transaction, as the client has to see it.
        found: Rows that were read.
        names: Names that were listed.
        body: Object that was read.
    """

    delivery: Delivery = Delivery.PROMPT
    commit: rows.CommitAnswer | None = None
    found_rows: tuple[rows.Row, ...] = ()
    names: tuple[str, ...] = ()
    body: bytes | None = None


@dataclasses.dataclass(slots=True)
class Store:
    """State of the table and the object store.

    Attributes:
        table: Present rows.
        keys: Keys of the present rows, sorted, so that a poll of a few rows
            does not visit all of them.
        versions: Last version of each key ever written. A deleted row that
            is written again continues its count, so that a delayed copy of
            an old transaction cannot meet its condition by accident.
        objects: Present objects.
        fault: What goes wrong.
        fault_count: Operations that the fault still concerns; None for all.
        write_interval: Time between the turns of two transactions; zero for
            no limit.
        next_write: Earliest instant of the next transaction's turn.
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
    """Lets transactions wait their turn; None or zero lifts the limit."""
    second = datetime.timedelta(seconds=1)
    store.write_interval = second / writes_per_s if writes_per_s else 0 * second


def reserve_write(store: Store, now: datetime.timedelta) -> datetime.timedelta:
    """Returns how long a transaction that arrives now waits for its turn."""
    turn = max(now, store.next_write)
    store.next_write = turn + store.write_interval
    return turn - now


def set_fault(store: Store, script: SetFault) -> None:
    """Puts a scripted fault in force."""
    store.fault = Fault.NONE if script.count == 0 else script.fault
    store.fault_count = script.count


def apply(store: Store, operation: Operation) -> Answer:
    """Runs one operation under the scripted fault."""
    fault = _take_fault(store, operation)
    if fault is Fault.DOWN:
        return _refuse(operation, Delivery.REFUSED)
    if fault is Fault.REQUEST_LOST:
        return _refuse(operation, Delivery.LOST)
    answer = _run(store, operation)
    if fault is Fault.ANSWER_LOST:
        return _refuse(operation, Delivery.LOST)
    if fault is Fault.SLOW:
        return dataclasses.replace(answer, delivery=Delivery.DELAYED)
    return answer


def commit(store: Store, transaction: rows.Transaction) -> rows.CommitAnswer:
    """Runs a transaction and returns what its sender learns."""
    answer = apply(store, Commit(transaction)).commit
    assert answer is not None
    return answer


def _take_fault(store: Store, operation: Operation) -> Fault:
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


def _refuse(operation: Operation, delivery: Delivery) -> Answer:
    if not isinstance(operation, Commit):
        return Answer(delivery)
    result = (
        states.CommitResult.UNAVAILABLE
        if delivery is Delivery.REFUSED
        else states.CommitResult.UNKNOWN
    )
    return Answer(delivery, rows.CommitAnswer(result))


def _run(store: Store, operation: Operation) -> Answer:
    match operation:
        case Commit(transaction):
            return Answer(commit=_run_transaction(store, transaction))
        case PutObject(name, body):
            store.objects[name] = body
            return Answer()
        case DeleteObject(name):
            store.objects.pop(name, None)
            return Answer()
        case _:
            return _run_read(store, operation)


def _run_read(store: Store, operation: Read) -> Answer:
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
    first = max(
        bisect.bisect_left(store.keys, prefix),
        bisect.bisect_right(store.keys, after),
    )
    following = itertools.islice(store.keys, first, None)
    return itertools.takewhile(lambda key: key.startswith(prefix), following)


def _run_transaction(
    store: Store, transaction: rows.Transaction
) -> rows.CommitAnswer:
    if not all(_holds(store, item) for item in transaction.conditions):
        return rows.CommitAnswer(
            states.CommitResult.CONFLICT, _list_present(store, transaction)
        )
    for write in transaction.writes:
        _write(store, transaction.operation, write)
    return rows.CommitAnswer(states.CommitResult.COMMITTED)


def _holds(store: Store, condition: rows.Condition) -> bool:
    row = store.table.get(condition.key)
    return condition.version == (0 if row is None else row.version)


def _list_present(
    store: Store, transaction: rows.Transaction
) -> tuple[rows.Row, ...]:
    found = (store.table.get(item.key) for item in transaction.conditions)
    return tuple(row for row in found if row is not None)


def _write(store: Store, operation: ids.OperationId, write: rows.Write) -> None:
    place = bisect.bisect_left(store.keys, write.key)
    present = write.key in store.table
    if write.value is None:
        if present:
            del store.table[write.key]
            del store.keys[place]
        return
    if not present:
        store.keys.insert(place, write.key)
    version = ids.RowVersion(store.versions.get(write.key, 0) + 1)
    store.versions[write.key] = version
    store.table[write.key] = rows.Row(
        write.key, version, operation, write.value
    )
