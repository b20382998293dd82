"""Contract tests of the table and the object store.

Each contract runs against the simulation alone and against the HTTP client with
a stand-in process.
"""

import abc
import base64
import datetime
import json
from collections.abc import Callable

import pytest
from returns.result import Failure, Result, Success

from gypsumhold.adapters import http_client, json_documents, row_codec
from gypsumhold.adapters import store as store_client
from gypsumhold.model import (
    declarations,
    errors,
    ids,
    members,
    requests,
    resources,
    rows,
    states,
)
from gypsumhold_standin import store
from tests.contracts import conftest

COMMITTED = states.CommitResult.COMMITTED
CONFLICT = states.CommitResult.CONFLICT
UNAVAILABLE = states.CommitResult.UNAVAILABLE
UNKNOWN = states.CommitResult.UNKNOWN
KEY = ids.RowKey("partition/0001")
LOST = errors.Error(errors.ErrorKind.PLATFORM_UNAVAILABLE, "lost", "repeat")
HEAD = rows.HeadRow(ids.ConfigVersion(1))


class TableSubject(abc.ABC):
    """A table under test whose faults can be set."""

    table: store_client.Table

    @abc.abstractmethod
    def set_fault(self, fault: store.Fault, count: int | None = None) -> None:
        """Sets the fault; `count` limits the operations that it affects."""


class SimulatedTable(TableSubject, store_client.Table):
    """The simulation, without HTTP; a delayed answer counts as timed out."""

    def __init__(self) -> None:
        self.table = self
        self._store = store.Store()

    def set_fault(self, fault: store.Fault, count: int | None = None) -> None:
        store.set_fault(self._store, store.SetFault(fault, count))

    def commit(self, transaction: rows.Transaction) -> rows.CommitAnswer:
        answer = store.apply(self._store, store.Commit(transaction))
        if answer.delivery is store.Delivery.DELAYED:
            return rows.CommitAnswer(UNKNOWN)
        assert answer.commit is not None
        return answer.commit

    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        read = store.ReadRows(prefix, after, 1_000_000)
        answer = store.apply(self._store, read)
        is_prompt = answer.delivery is store.Delivery.PROMPT
        return answer.found_rows if is_prompt else None

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        answer = store.apply(self._store, store.ReadRow(key))
        if answer.delivery is not store.Delivery.PROMPT:
            return Failure(LOST)
        return Success(next(iter(answer.found_rows), None))


class ServedTable(TableSubject):
    """The HTTP client of a process; the fault SLOW sets a short timeout."""

    def __init__(self, address: members.Address) -> None:
        self._address = address
        self.set_fault(store.Fault.NONE)

    def set_fault(self, fault: store.Fault, count: int | None = None) -> None:
        is_slow = fault is store.Fault.SLOW
        caller = conftest.build_caller(self._address, 0.3 if is_slow else 20)
        self.table = store_client.HttpTable(caller)
        body = {"fault": fault.value, "count": count, "slow_ms": 60_000}
        sent = caller.call_json("POST", "/v1/faults", body)
        assert sent.unwrap().status == 200


@pytest.fixture(scope="module")
def served(start_standin: conftest.Starter) -> members.Address:
    """Returns the address of a platform stand-in."""
    return start_standin("platform", {})


@pytest.fixture(params=["core", "served"])
def subject(
    request: pytest.FixtureRequest, served: members.Address
) -> TableSubject:
    """Returns an empty table: the simulation or a client of a process."""
    tested = (
        SimulatedTable() if request.param == "core" else ServedTable(served)
    )
    rows_left = tested.table.read_rows("", "")
    for row in rows_left or ():
        tested.table.commit(
            build(f"clean {row.key}", row.version, None, row.key)
        )
    return tested


def build(
    operation: str,
    version: int,
    value: rows.RowValue | None = HEAD,
    key: ids.RowKey = KEY,
) -> rows.Transaction:
    """Builds a transaction that writes a row if its version matches."""
    return rows.Transaction(
        ids.OperationId(operation),
        (rows.Condition(key, ids.RowVersion(version)),),
        (rows.Write(key, value),),
    )


def test_conditions_decide_atomically(subject: TableSubject) -> None:
    """Guards against a conflict that commits a part of the transaction."""
    table = subject.table
    assert table.commit(build("a", 0)).result is COMMITTED
    present = table.read_row(KEY).unwrap()
    assert present is not None
    other_key = ids.RowKey("other")
    transaction = rows.Transaction(
        ids.OperationId("b"),
        (rows.Condition(other_key, 0), rows.Condition(KEY, 0)),
        (rows.Write(other_key, present.value), rows.Write(KEY, None)),
    )
    answer = table.commit(transaction)
    assert (answer.result, answer.rows) == (CONFLICT, (present,))
    assert table.read_row(other_key) == Success(None)
    assert table.read_rows("", "") == (present,)
    assert table.read_rows("partition/", KEY) == ()


def test_rewritten_row_meets_no_old_condition(subject: TableSubject) -> None:
    """Guards against a delayed transaction that matches after a delete."""
    first = subject.table.commit(build("a", 0))
    former = subject.table.read_row(KEY).unwrap()
    assert first.result is COMMITTED and former is not None
    subject.table.commit(build("b", former.version, None))
    subject.table.commit(build("c", 0))
    delayed = subject.table.commit(build("late", former.version))
    assert delayed.result is CONFLICT


@pytest.mark.parametrize(
    ("fault", "first", "takes_effect", "repeated"),
    [
        (store.Fault.NONE, COMMITTED, True, CONFLICT),
        (store.Fault.ANSWER_LOST, UNKNOWN, True, CONFLICT),
        (store.Fault.REQUEST_LOST, UNKNOWN, False, COMMITTED),
        (store.Fault.DOWN, UNAVAILABLE, False, COMMITTED),
        (store.Fault.SLOW, UNKNOWN, True, CONFLICT),
    ],
)
def test_repeat_resolves_commit_in_doubt(
    subject: TableSubject,
    fault: store.Fault,
    first: states.CommitResult,
    takes_effect: bool,
    repeated: states.CommitResult,
) -> None:
    """Guards against a lost answer that leads to two commits or to none."""
    subject.set_fault(fault, 1 if fault is not store.Fault.SLOW else None)
    assert subject.table.commit(build("ours", 0)).result is first
    subject.set_fault(store.Fault.NONE)
    found = subject.table.read_row(KEY).unwrap()
    assert (found is not None) is takes_effect
    answer = subject.table.commit(build("ours", 0))
    row = answer.find(KEY)
    assert answer.result is repeated
    assert (row and row.operation) == ("ours" if takes_effect else None)


@pytest.mark.parametrize("fault", [store.Fault.DOWN, store.Fault.SLOW])
def test_failed_read_is_not_an_empty_one(
    subject: TableSubject, fault: store.Fault
) -> None:
    """Guards against a read that returns an empty table during an outage."""
    subject.set_fault(fault)
    assert subject.table.read_rows("", "") is None
    assert isinstance(subject.table.read_row(KEY), Failure)


def test_read_returns_rows_of_all_pages(subject: TableSubject) -> None:
    """Guards against rows that are lost or repeated between pages."""
    count = store_client.PAGE_ROWS * 2
    keys = [ids.RowKey(f"task/0001/é {n:06d}&") for n in range(count)]
    writes = tuple(rows.Write(key, HEAD) for key in keys)
    transaction = rows.Transaction(ids.OperationId("many"), (), writes)
    assert subject.table.commit(transaction).result is COMMITTED
    read_rows = subject.table.read_rows("task/0001/", "")
    assert read_rows is not None and [row.key for row in read_rows] == keys


def test_objects_keep_their_bytes(served: members.Address) -> None:
    """Guards against names or bodies that the encoding changes."""
    objects = store_client.HttpObjectStore(conftest.build_caller(served))
    body = bytes(range(256))
    names = ("a/b", "a/é ?#%2F/../x")
    for name in names:
        assert objects.put(name, body) == Success(None)
        assert objects.get(name) == Success(body)
    assert objects.list("a/") == Success(names)
    assert objects.delete(names[0]) == Success(None)
    assert objects.delete(names[0]) == Success(None)
    assert objects.get(names[0]) == Success(None)
    objects.delete(names[1])


def test_refused_connection_is_unavailable() -> None:
    """Guards against the result UNKNOWN when no request was sent."""
    caller = conftest.build_caller(conftest.find_closed_port())
    table = store_client.HttpTable(caller)
    assert table.commit(build("a", 0)).result is UNAVAILABLE


@pytest.mark.parametrize("name", conftest.INVALID_REPLIES)
def test_invalid_replies_are_unknown(
    answer_bytes: Callable[[bytes], http_client.HttpClient], name: str
) -> None:
    """Guards against an exception or a wrong result on malformed replies."""
    raw = conftest.INVALID_REPLIES[name]
    table = store_client.HttpTable(answer_bytes(raw))
    assert table.commit(build("a", 0)).result is UNKNOWN
    assert store_client.HttpTable(answer_bytes(raw)).read_rows("", "") is None
    row = store_client.HttpTable(answer_bytes(raw)).read_row(KEY)
    assert isinstance(row, Failure)
    names = store_client.HttpObjectStore(answer_bytes(raw)).list("")
    assert isinstance(names, Failure)


ADDRESS = members.Address("127.0.0.1", 1)
TEMPLATE = declarations.Template(
    ids.KindName("k"), states.WorkForm.TASK, states.WorkClass.BATCH
)
ORGANISATION = declarations.Organisation(
    ids.OrganisationId("o"),
    2,
    resources.Resources(1, 2, 3),
    4,
    {
        ids.KindName("k"): declarations.KindParameters(
            timeout=datetime.timedelta(milliseconds=7)
        )
    },
)
CLAIM = rows.ClaimRow(
    *(states.ClaimState.COMPLETED, "d", ids.EntryId("e"), 1, "r", 2, "i", 3),
    ADDRESS,
    datetime.timedelta(microseconds=5),
    requests.Answer(200, (("X-A", "\xe9"), ("x-a", "")), bytes(range(256))),
)
VALUES: list[rows.RowValue] = [
    rows.PartitionRow(ids.EntryId("e"), 1, ADDRESS, 2, 3),
    rows.PartitionRow(None, 1, None, 2, 3),
    rows.TaskRow("t", "o", "k", "{}", resources.Resources(1, 2, 3)),
    rows.TaskRow(
        *("t", "o", "k", "", resources.NOTHING, states.TaskState.PARKED, 4),
        *("i", 5, "c", "why\n\x00", ("i", "j"), 6),
    ),
    CLAIM,
    rows.HeadRow(ids.ConfigVersion(9)),
    rows.ChangeRow(
        declarations.Change(
            *(ids.ConfigVersion(3), (TEMPLATE,), (ORGANISATION,)),
            *(("a",), ("b",), "author", "comment", "2026-01-01T00:00:00Z"),
        )
    ),
    rows.TemplateRow(TEMPLATE),
    rows.OrganisationRow(ORGANISATION),
]


@pytest.mark.parametrize("value", VALUES, ids=lambda item: type(item).__name__)
def test_rows_survive_the_encoding(value: rows.RowValue) -> None:
    """Guards against a field that the codec drops or changes."""
    transaction = build("op", 1, value)
    text = json.dumps(row_codec.render_transaction(transaction)).encode()
    raw = json_documents.parse_json(text, "transaction")
    assert raw.bind(row_codec.parse_transaction) == Success(transaction)


def build_malformed_claim(**changed: object) -> dict[str, object]:
    """Builds the document of a claim row with changed fields."""
    document = row_codec.render_row(rows.Row(KEY, 1, "op", CLAIM))
    document["value"].update(changed)
    return document


@pytest.mark.parametrize(
    "raw",
    [
        *(None, [], {}, "row", 1, {"key": "k"}),
        build_malformed_claim(type="other"),
        build_malformed_claim(attempt=-1),
        build_malformed_claim(attempt=True),
        build_malformed_claim(state="gone"),
        build_malformed_claim(address={"host": "h", "port": 0}),
        build_malformed_claim(answer={"status": 200, "body": "&&&"}),
        build_malformed_claim(digest="\ud800"),
        build_malformed_claim(more=1),
        {
            **build_malformed_claim(),
            "value": {
                "type": "template",
                "template": {
                    **{"name": "k", "work": "task", "class": "batch"},
                    "timeout_ms": 10**30,
                },
            },
        },
    ],
)
def test_malformed_rows_are_decoding_errors(raw: object) -> None:
    """Guards against an exception in the reader of a malformed row."""
    text = json.dumps(raw).encode()
    match json_documents.parse_json(text, "row").bind(row_codec.parse_row):
        case Failure(error):
            assert error.kind is errors.ErrorKind.DECODING
        case _:
            pytest.fail("accepted")


def test_bodies_are_base64() -> None:
    """Guards against bodies in another encoding than the documented one."""
    body = row_codec.render_row(rows.Row(KEY, 1, "op", CLAIM))["value"]
    assert base64.b64decode(body["answer"]["body"]) == bytes(range(256))


def test_rate_limit_delays_transactions() -> None:
    """Guards against a rate limit that allows a burst after an idle time."""
    second = datetime.timedelta(seconds=1)
    limited = store.Store()
    assert store.reserve_write(limited, second) == 0 * second
    store.limit_writes(limited, 4)
    delays = [store.reserve_write(limited, 10 * second) for _ in range(3)]
    assert delays == [0 * second, second / 4, second / 2]
    assert store.reserve_write(limited, 20 * second) == 0 * second
    store.limit_writes(limited, None)
    assert store.reserve_write(limited, 20 * second) == second / 4
    assert store.reserve_write(limited, 21 * second) == 0 * second
