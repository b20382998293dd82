"""Guards against one odd row that stops the reader of a list.

Operators saw machines that ended again and again, or stopped following a list,
because another writer had left one entry in it that was very deeply nested, or
had a number too large or a port out of range. The reader has to use the other
entries, to log the odd one once, and to follow the next change.
"""

import collections.abc
import contextlib
import json

import logbook
import pytest

from gypsumhold.adapters.jobs import codec
from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, records, specs, storage
from gypsumhold.platform import documents, jobstore, table
from tests.jobs import job_specs, odd_entries

NO_VERSION = ids.RowVersion(0)
ODD = odd_entries.ODD_ENTRIES


def list_odd_rows(good: bytes) -> list[bytes]:
    """Returns rows that are odd, whatever their type, made from a good one."""
    nested = [
        odd_entries.nest_behind(good, levels) for levels in odd_entries.LEVELS
    ]
    return [*odd_entries.MALFORMED, *nested, good[:-1]]


@pytest.fixture(name="log")
def fixture_log() -> collections.abc.Iterator[logbook.TestHandler]:
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def build_store(
    *rows: documents.Row,
) -> tuple[odd_entries.ScriptedStore, jobstore.PlatformJobStore]:
    tables: dict[str, list[documents.Row]] = {}
    for row in rows:
        tables.setdefault(row.table, []).append(row)
    client = odd_entries.ScriptedStore(tables)
    return client, jobstore.PlatformJobStore(table.TableClient(client))


def list_problems(log: logbook.TestHandler) -> list[str]:
    """Returns the lines of warnings and errors."""
    return [
        record.message
        for record in log.records
        if record.level >= logbook.WARNING
    ]


def build_odd_rows(values: tuple[bytes, ...]) -> list[documents.Row]:
    return [
        odd_entries.build_row(f"at/odd{number}", value)
        for number, value in enumerate(values)
    ]


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_agent_follows_the_entries_beside_odd_ones(
    odd: tuple[bytes, ...], log: logbook.TestHandler
) -> None:
    """Guards against a feed that reads the same odd row for ever."""
    client, store = build_store(
        odd_entries.build_row("at/e1", odd_entries.build_entry("e1")),
        *build_odd_rows(odd),
        odd_entries.build_row("at/e2", odd_entries.build_entry("e2")),
    )
    with contextlib.ExitStack() as stack:
        agent = odd_entries.ObservedAgent(store)
        stack.callback(agent.engine.close)
        stack.callback(client.change)
        agent.start()
        assert agent.wait_for_entries("e1", "e2") == {"e1", "e2"}
        third = odd_entries.build_entry("e3")
        client.change(
            *build_odd_rows(odd), odd_entries.build_row("at/e3", third, 2)
        )
        assert agent.wait_for_entries("e1", "e2", "e3") == {"e1", "e2", "e3"}
        assert agent.state.term == 0
    for row in build_odd_rows(odd):
        assert any(row.key in problem for problem in list_problems(log))


def encode_holder(term: int, port: int = 7000) -> bytes:
    return odd_entries.encode_fields(
        1, term, "e", 1, [odd_entries.HOST, port], 0, 1.0
    )


def test_entry_under_the_name_of_another_is_left_out() -> None:
    """Guards against an odd row that replaces the address of an entry."""
    good = odd_entries.build_row("at/e1", odd_entries.build_entry("e1"), 9)
    other = odd_entries.build_row("at/x", odd_entries.build_entry("e1", 1), 9)
    holds = odd_entries.encode_entry("e1", term=3)
    _, store = build_store(
        good, other, odd_entries.build_row("at/e1", holds, 9)
    )
    changes = store.follow_entries(NO_VERSION, odd_entries.SHORT)
    assert changes is not None
    assert [record.endpoint.port for record in changes.entries] == [7000]
    assert not changes.entries[0].holds


def test_odd_row_of_the_holder_is_no_holder() -> None:
    """Guards against a poll of the holder's row that ends in an exception."""
    for value in list_odd_rows(encode_holder(3)):
        row = odd_entries.build_row("holder", value, 7, "holder")
        _, store = build_store(row)
        holder = store.read_holder()
        assert holder is not None
        assert (holder.version, holder.record) == (7, None)


def test_row_that_stays_odd_is_logged_once(log: logbook.TestHandler) -> None:
    """Guards against a line with each poll of a row."""
    value = odd_entries.MALFORMED[0]
    row = odd_entries.build_row("holder", value, 7, "holder")
    client, store = build_store(row)
    for _ in range(3):
        store.read_holder()
    assert len(list_problems(log)) == 1
    client.tables["holder"] = [
        odd_entries.build_row("holder", value, 8, "holder")
    ]
    store.read_holder()
    assert len(list_problems(log)) == 2


def test_holder_with_an_impossible_port_is_no_holder() -> None:
    """Guards against calls that reach another port, or none."""
    for port in (0, -5, 65_536, 70_000, 2**62):
        value = encode_holder(3, port)
        row = odd_entries.build_row("holder", value, 7, "holder")
        _, store = build_store(row)
        holder = store.read_holder()
        assert holder is not None
        assert holder.record is None


def test_holder_with_an_impossible_term_is_no_holder() -> None:
    """Guards against a term that no entry can exceed.

    Each term is one transaction, so none exceeds the version of its row.
    """
    for term in (-1, 8, 2**62, odd_entries.MAX_UINT64):
        value = encode_holder(term)
        row = odd_entries.build_row("holder", value, 7, "holder")
        _, store = build_store(row)
        holder = store.read_holder()
        assert holder is not None
        assert holder.record is None


JOBS = ("5c0e7a21d94b36f0", "5c0e7a21d94b36f1", "5c0e7a21d94b36f2")
ODD_JOB = JOBS[1]
GOOD_JOBS = {JOBS[0], JOBS[2]}


def build_job_row(job_id: str, value: bytes | None = None) -> documents.Row:
    key = specs.JobId(job_id)
    record = records.JobRecord(1, job_specs.build_job(job_id, (2,)))
    encoded = codec.encode(record) if value is None else value
    return documents.Row("jobs", job_id, 1, jobstore.find_part(key), encoded)


def build_progress_row(
    job_id: str, value: bytes | None = None
) -> documents.Row:
    record = records.ProgressRecord(1, messages.JobState.RUNNING, ())
    encoded = codec.encode(record) if value is None else value
    return odd_entries.build_row(job_id, encoded, 1, "progress")


GOOD_JOB_ROW = build_job_row(ODD_JOB).value
GOOD_PROGRESS = build_progress_row(ODD_JOB).value


def list_job_rows(odd: bytes) -> list[documents.Row]:
    """Returns the submissions of all jobs, of which one is odd."""
    return [
        build_job_row(job_id, odd if job_id == ODD_JOB else None)
        for job_id in JOBS
    ]


def list_ids(jobs: tuple[storage.JobRows, ...]) -> set[str]:
    return {rows.spec.job_id for rows in jobs if rows.spec}


def test_holder_loads_the_jobs_beside_an_odd_one() -> None:
    """Guards against a holder that cannot load its jobs."""
    for value in list_odd_rows(GOOD_JOB_ROW):
        rows = [*list_job_rows(value), *map(build_progress_row, JOBS)]
        _, store = build_store(*rows)
        loaded = store.load_jobs()
        assert loaded is not None
        assert list_ids(loaded.jobs) == GOOD_JOBS


def test_progress_of_an_odd_job_is_kept() -> None:
    """Guards against a holder that deletes what it cannot read."""
    rows = list_job_rows(odd_entries.MALFORMED[0])
    _, store = build_store(*rows, *map(build_progress_row, JOBS))
    loaded = store.load_jobs()
    assert loaded is not None
    assert loaded.leftover_progress == ()
    assert store.read_job(specs.JobId(ODD_JOB)) is None


def test_job_with_odd_progress_does_not_start_anew() -> None:
    """Guards against tasks that are done twice."""
    for value in list_odd_rows(GOOD_PROGRESS):
        _, store = build_store(
            *map(build_job_row, JOBS),
            *map(build_progress_row, sorted(GOOD_JOBS)),
            build_progress_row(ODD_JOB, value),
        )
        loaded = store.load_jobs()
        assert loaded is not None
        assert list_ids(loaded.jobs) == GOOD_JOBS
        assert loaded.unreadable == (ODD_JOB,)
        assert loaded.leftover_progress == ()
        assert store.read_job(specs.JobId(ODD_JOB)) is None


def test_holder_follows_the_jobs_beside_an_odd_one() -> None:
    """Guards against submissions that are never placed."""
    for value in list_odd_rows(GOOD_JOB_ROW):
        client, store = build_store()
        client.change(*list_job_rows(value))
        changes = store.follow_jobs(ids.RowVersion(1), odd_entries.SHORT)
        assert changes is not None
        submitted = {spec.job_id for spec in changes.submitted}
        assert submitted == GOOD_JOBS


ROUTE = {"name": "r", "host": "h", "prefix": "/r/", "service": "pool"}
ODD_NUMBERS = ("inf", "nan", "1e308", -1e308, 10**400)
ODD_CONFIGS = {
    **{
        name: tuple(
            json.dumps({"version": 1, "routes": [{**ROUTE, name: value}]})
            for value in ODD_NUMBERS
        )
        for name in ("latencyTargetMs", "stretch", "priority", "maxAttempts")
    },
    "malformed": (
        '{"version":1,"routes":' + "[" * 100_000,
        '{"version":1,"routes":[{"name":"\udcff"',
    ),
}


@pytest.mark.parametrize("odd", ODD_CONFIGS.values(), ids=ODD_CONFIGS)
def test_odd_configuration_leaves_the_former_one(odd: tuple[str, ...]) -> None:
    """Guards against a number that cannot be rounded or made a duration."""
    for text in odd:
        value = text.encode("utf-8", "surrogateescape")
        client, store = build_store()
        client.change(documents.Row("op", "config", 3, "", value))
        read = store.follow_config(ids.RowVersion(1), odd_entries.SHORT)
        assert (read.config, read.version) == (None, 2)


def test_row_whose_value_is_no_base64_hides_no_other() -> None:
    """Guards against a page that is unreadable because of one row."""
    for value in ('"!"', '"AAA"', "3", "[[]]", "null"):
        check_page_with_odd_value(value)


def check_page_with_odd_value(value: str) -> None:
    good = odd_entries.build_row("at/e1", odd_entries.build_entry("e1"))
    text = documents.render(documents.Rows((good,), 4)).decode()
    odd = f'{{"table":"entries","key":"at/odd","rowVersion":3,"value":{value}}}'
    body = text.replace('"rows":[', f'"rows":[{odd},').encode()
    client = table.TableClient(odd_entries.FixedReply(body))
    store = jobstore.PlatformJobStore(client)
    changes = store.follow_entries(NO_VERSION, odd_entries.SHORT)
    assert changes is not None
    assert [record.name for record in changes.entries] == ["e1"]
    assert changes.version == 4
