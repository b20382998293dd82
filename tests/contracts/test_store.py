"""Contracts of the table and the object store."""

import abc
import base64
import datetime
import json
from collections.abc import Callable

import pytest
from returns.result import Failure, Result, Success

from gypsumhold.adapters import httpcalls, json_documents, rowcodec
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


class Subject(abc.ABC):
    """A table under test, with a way to script its faults."""

    table: store_client.Table

    @abc.abstractmethod
    def script(self, fault: store.Fault, count: int | None = None) -> None:
        """Puts a fault in force."""


class CoreTable(Subject, store_client.Table):
    """The pure core; a delayed answer counts as timed out."""

    def __init__(self) -> None:
        self.table = self
        self._store = store.Store()

    def script(self, fault: store.Fault, count: int | None = None) -> None:
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
        prompt = answer.delivery is store.Delivery.PROMPT
        return answer.found_rows if prompt else None

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        answer = store.apply(self._store, store.ReadRow(key))
        if answer.delivery is not store.Delivery.PROMPT:
            return Failure(LOST)
        return Success(next(iter(answer.found_rows), None))


class ServedTable(Subject):
    """The HTTP client and a process; slow calls use a short timeout."""

    def __init__(self, address: members.Address) -> None:
        self._address = address
        self.script(store.Fault.NONE)

    def script(self, fault: store.Fault, count: int | None = None) -> None:
        slow = fault is store.Fault.SLOW
        caller = conftest.build_caller(self._address, 0.3 if slow else 20)
        self.table = store_client.HttpTable(caller)
        body = {"fault": fault.value, "count": count, "slow_ms": 60_000}
        sent = caller.call_json("POST", "/v1/faults", body)
        assert sent.unwrap().status == 200


@pytest.fixture(scope="module")
def served(start_standin: conftest.Starter) -> members.Address:
    return start_standin("platform", {})


@pytest.fixture(params=["core", "served"])
def subject(request: pytest.FixtureRequest, served: members.Address) -> Subject:
    made = CoreTable() if request.param == "core" else ServedTable(served)
    found = made.table.read_rows("", "")
    for row in found or ():
        made.table.commit(build(f"clean {row.key}", row.version, None, row.key))
    return made


def build(
    operation: str,
    version: int,
    value: rows.RowValue | None = HEAD,
    key: ids.RowKey = KEY,
) -> rows.Transaction:
    return rows.Transaction(
        ids.OperationId(operation),
        (rows.Condition(key, ids.RowVersion(version)),),
        (rows.Write(key, value),),
    )


def test_conditions_decide_atomically(subject: Subject) -> None:
    """Guards against half a transaction taking effect on a conflict."""
    table = subject.table
    assert table.commit(build("a", 0)).result is COMMITTED
    present = table.read_row(KEY).unwrap()
    assert present is not None
    other = ids.RowKey("other")
    both = rows.Transaction(
        ids.OperationId("b"),
        (rows.Condition(other, 0), rows.Condition(KEY, 0)),
        (rows.Write(other, present.value), rows.Write(KEY, None)),
    )
    answer = table.commit(both)
    assert (answer.result, answer.rows) == (CONFLICT, (present,))
    assert table.read_row(other) == Success(None)
    assert table.read_rows("", "") == (present,)
    assert table.read_rows("partition/", KEY) == ()


def test_a_rewritten_row_meets_no_old_condition(subject: Subject) -> None:
    """Guards against a late transaction that matches after a delete."""
    first = subject.table.commit(build("a", 0))
    before = subject.table.read_row(KEY).unwrap()
    assert first.result is COMMITTED and before is not None
    subject.table.commit(build("b", before.version, None))
    subject.table.commit(build("c", 0))
    late = subject.table.commit(build("late", before.version))
    assert late.result is CONFLICT


@pytest.mark.parametrize(
    ("fault", "first", "effect", "again"),
    [
        (store.Fault.NONE, COMMITTED, True, CONFLICT),
        (store.Fault.ANSWER_LOST, UNKNOWN, True, CONFLICT),
        (store.Fault.REQUEST_LOST, UNKNOWN, False, COMMITTED),
        (store.Fault.DOWN, UNAVAILABLE, False, COMMITTED),
        (store.Fault.SLOW, UNKNOWN, True, CONFLICT),
    ],
)
def test_a_repeat_resolves_a_commit_in_doubt(
    subject: Subject,
    fault: store.Fault,
    first: states.CommitResult,
    effect: bool,
    again: states.CommitResult,
) -> None:
    """Guards against a lost answer that runs twice or is given up."""
    subject.script(fault, 1 if fault is not store.Fault.SLOW else None)
    assert subject.table.commit(build("ours", 0)).result is first
    subject.script(store.Fault.NONE)
    found = subject.table.read_row(KEY).unwrap()
    assert (found is not None) is effect
    answer = subject.table.commit(build("ours", 0))
    row = answer.find(KEY)
    assert answer.result is again
    assert (row and row.operation) == ("ours" if effect else None)


@pytest.mark.parametrize("fault", [store.Fault.DOWN, store.Fault.SLOW])
def test_a_failed_read_is_not_an_empty_one(
    subject: Subject, fault: store.Fault
) -> None:
    """Guards against an outage that looks like an empty table."""
    subject.script(fault)
    assert subject.table.read_rows("", "") is None
    assert isinstance(subject.table.read_row(KEY), Failure)


def test_reads_page_through_everything(subject: Subject) -> None:
    """Guards against rows lost or repeated at the edge of a page."""
    count = store_client.PAGE_ROWS * 2
    keys = [ids.RowKey(f"task/0001/é {n:06d}&") for n in range(count)]
    writes = tuple(rows.Write(key, HEAD) for key in keys)
    batch = rows.Transaction(ids.OperationId("many"), (), writes)
    assert subject.table.commit(batch).result is COMMITTED
    found = subject.table.read_rows("task/0001/", "")
    assert found is not None and [row.key for row in found] == keys


def test_objects_keep_their_bytes(served: members.Address) -> None:
    """Guards against names or bodies changed by the encoding."""
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


def test_refused_connection_proves_no_effect() -> None:
    """Guards against a needless doubt when nothing was sent."""
    closed = conftest.build_caller(conftest.find_closed_port())
    table = store_client.HttpTable(closed)
    assert table.commit(build("a", 0)).result is UNAVAILABLE


@pytest.mark.parametrize("name", conftest.INVALID_REPLIES)
def test_hostile_replies_are_unknown(
    answer_bytes: Callable[[bytes], httpcalls.HttpClient], name: str
) -> None:
    """Guards against a crash or a false result on malformed replies."""
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
    sent = build("op", 1, value)
    text = json.dumps(rowcodec.render_transaction(sent)).encode()
    raw = json_documents.parse_json(text, "transaction")
    assert raw.bind(rowcodec.parse_transaction) == Success(sent)


def break_claim(**changed: object) -> dict[str, object]:
    document = rowcodec.render_row(rows.Row(KEY, 1, "op", CLAIM))
    document["value"].update(changed)
    return document


@pytest.mark.parametrize(
    "raw",
    [
        *(None, [], {}, "row", 1, {"key": "k"}),
        break_claim(type="other"),
        break_claim(attempt=-1),
        break_claim(attempt=True),
        break_claim(state="gone"),
        break_claim(address={"host": "h", "port": 0}),
        break_claim(answer={"status": 200, "body": "&&&"}),
        break_claim(digest="\ud800"),
        break_claim(more=1),
        {
            **break_claim(),
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
    """Guards against a foreign row that stops a reader."""
    text = json.dumps(raw).encode()
    match json_documents.parse_json(text, "row").bind(rowcodec.parse_row):
        case Failure(error):
            assert error.kind is errors.ErrorKind.DECODING
        case _:
            pytest.fail("accepted")


def test_bodies_are_base64() -> None:
    """Guards against bodies in another alphabet than the page names."""
    body = rowcodec.render_row(rows.Row(KEY, 1, "op", CLAIM))["value"]
    assert base64.b64decode(body["answer"]["body"]) == bytes(range(256))


def test_limited_transactions_wait_their_turn() -> None:
    """Guards against a limit that saves up turns while the table is idle."""
    second = datetime.timedelta(seconds=1)
    limited = store.Store()
    assert store.reserve_write(limited, second) == 0 * second
    store.limit_writes(limited, 4)
    waits = [store.reserve_write(limited, 10 * second) for _ in range(3)]
    assert waits == [0 * second, second / 4, second / 2]
    assert store.reserve_write(limited, 20 * second) == 0 * second
    store.limit_writes(limited, None)
    assert store.reserve_write(limited, 20 * second) == second / 4
    assert store.reserve_write(limited, 21 * second) == 0 * second
