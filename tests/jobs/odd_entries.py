"""Entries of other writers, and the store and processes that read them."""

import collections
import datetime
import threading
from typing import Any
from unittest import mock

import msgspec
from returns.result import Result, Success

from gypsumhold.adapters import clock as system_clock
from gypsumhold.adapters import effect_pools, engine, http_client
from gypsumhold.adapters.jobs import codec, effect_runners
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import ids
from gypsumhold.model.jobs import events, executor, messages, records
from gypsumhold.platform import documents

WAIT_S = 5.0
HOST = "127.0.0.1"
MAX_UINT64 = 2**64 - 1
THREADS = dict.fromkeys(effect_pools.PoolKind, 1)
"""Number of threads in each pool of an engine."""


def nest(levels: int) -> bytes:
    """Returns nested arrays in MessagePack."""
    return b"\x91" * levels + b"\xc0"


def encode_fields(*fields: Any, last: bytes = b"") -> bytes:
    """Returns an array of fields, and of one that is already encoded."""
    encoded = b"".join(map(msgspec.msgpack.encode, fields)) + last
    return bytes([0x90 + len(fields) + bool(last)]) + encoded


def encode_entry(
    name: str, host: Any = HOST, port: Any = 7000, *, term: Any = 0
) -> bytes:
    """Returns the row of an entry, which holds the queue if it has a term."""
    return encode_fields(1, name, [host, port], bool(term), term)


def nest_behind(value: bytes, levels: int) -> bytes:
    """Returns an array with nested arrays behind its last field."""
    return bytes([value[0] + 1]) + value[1:] + nest(levels)


LEVELS = (2_000, 100_000)

MALFORMED = (
    encode_fields(1, last=b"\xa2\xff\xfe"),
    encode_fields(1, "odd"),
    b"\x81\x01\x02",
    b"",
)
"""Invalid UTF-8, missing fields, another type and no bytes."""

ODD_ENTRIES = {
    "malformed": MALFORMED,
    "nested": tuple(
        nest_behind(encode_entry("odd"), levels) for levels in LEVELS
    ),
    "ports": tuple(
        encode_entry("odd", port=port)
        for port in (0, -5, 65_536, 70_000, 2**62, MAX_UINT64, "7000", 1.5)
    ),
    "hosts": tuple(
        encode_entry("odd", host=host)
        for host in ("", "x" * 70, "a..b", "a\0b", "a b", "h" * 60_000)
    ),
    "terms": tuple(
        encode_entry("odd", term=term)
        for term in (-1, 2**62, 2**63, MAX_UINT64, "3", 1.5)
    ),
}
"""Rows that name no entry to use, by what is odd about them."""


def build_row(
    key: str, value: bytes, version: int = 1, table: str = "entries"
) -> documents.Row:
    """Returns a row as the store returns it."""
    return documents.Row(table, key, version, "queue", value)


class ScriptedStore(http_client.HttpClient):
    """Answers reads of tables with scripted rows; a feed waits for more."""

    def __init__(self, tables: dict[str, list[documents.Row]]) -> None:
        self.tables = tables
        self.version = 1
        self.reads = 0
        self.feeds: collections.deque[list[documents.Row]] = collections.deque()
        self._changed = threading.Condition()

    def change(self, *rows: documents.Row) -> None:
        """Lets the feed that waits return these rows."""
        with self._changed:
            self.feeds.append(list(rows))
            self._changed.notify_all()

    def call(
        self, method: str, target: str, *_args: Any, **_options: Any
    ) -> Result[http_client.Reply, http_client.CallFailure]:
        """Answers one read."""
        with self._changed:
            self.reads += 1
            if target.startswith("/rows-feed"):
                self._changed.wait_for(lambda: self.feeds, WAIT_S)
                rows = self.feeds.popleft() if self.feeds else []
                self.version += 1
            else:
                part = target.partition("part=")[2].partition("&")[0]
                table = target.partition("table=")[2].partition("&")[0]
                rows = [
                    row
                    for row in self.tables.get(table, [])
                    if row.part == part
                ]
        page = documents.Rows(tuple(rows), self.version)
        return Success(http_client.Reply(200, documents.render(page)))


class FixedReply(http_client.HttpClient):
    """Answers every call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def call(
        self, method: str, target: str, *_args: Any, **_options: Any
    ) -> Result[http_client.Reply, http_client.CallFailure]:
        """Returns the reply."""
        return Success(http_client.Reply(200, self._body))


class ObservedAgent(engine.Observer):
    """An agent on the engine, whose events can be waited for.

    Reports get no answer.
    """

    def __init__(self, store: Any) -> None:
        self.state = executor.ExecutorState(
            executor.ExecutorOptions(
                ids.InstanceId("a"),
                ids.Incarnation(1),
                messages.Endpoint(HOST, 1000),
            ),
            policy_sets.build_executor_policies(),
        )
        self.client = mock.Mock()
        self.client.send_report.return_value = None
        self._applied = threading.Condition()
        clock = system_clock.SystemClock()
        self.engine = engine.Engine(
            self.state,
            reducer.reduce,
            clock,
            effect_runners.ExecutorRunner(
                store, mock.Mock(), self.client, clock, mock.Mock()
            ),
            self,
            threads=THREADS,
        )

    def observe(
        self,
        event: Any,
        emitted: Any,
        timing: engine.EventTiming = engine.NO_TIMING,
    ) -> None:
        """Wakes those who wait for a state."""
        with self._applied:
            self._applied.notify_all()

    def start(self) -> None:
        """Starts to read the entries."""
        self.engine.dispatch(events.ExecutorStarted())

    def wait_for_entries(self, *names: str) -> set[str]:
        """Returns the known entries once they are these, or after a wait."""
        with self._applied:
            self._applied.wait_for(
                lambda: set(self.state.entries) == set(names), WAIT_S
            )
        return set(self.state.entries)


def build_entry(name: str, port: int = 7000) -> bytes:
    """Returns the row of a usable entry."""
    return codec.encode(
        records.EntryRecord(1, name, messages.Endpoint(HOST, port))
    )


SHORT = datetime.timedelta(milliseconds=10)
