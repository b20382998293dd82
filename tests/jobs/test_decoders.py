"""Fuzzes the decoders and routes through which messages reach a process.

Pattern: one message has a field that is missing, of another type, huge, or
bytes that cannot be read. It is answered or logged once; nothing raises, and
the messages around it count as before.
"""

import copy
import datetime
import json
from typing import Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies
from returns.result import Failure, Success

from gypsumhold.adapters.jobs import codec
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import lifecycle, policy_sets, validation
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    events,
    executor,
    messages,
    records,
    runs,
    specs,
    storage,
)
from gypsumhold.platform import (
    documents,
    heartbeats,
    job_routes,
    jobstore,
    worker,
)
from tests.jobs import builders, job_specs
from tests.jobs import world as worlds

NOW = datetime.timedelta(seconds=100)
BORN_MS = 1_700_000_000_000
HUGE = 10**25
LATER_SEQUENCE = 2 * BORN_MS
DEEP = "[" * 100_000

HEARTBEAT: dict[str, Any] = {
    "service": "pool",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "state": "ready",
    "sequence": 4,
    "born": BORN_MS,
    "capacity": {"cpu": 16000, "memoryRequestMb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "drainRemainingMs": 0,
}
SUBMISSION: dict[str, Any] = {
    "specification": "text",
    "steps": [
        {
            "count": 2,
            "cpu": 500,
            "memoryRequestMb": 256,
            "estimatedMs": 900,
            "targetMs": 4.5,
            "image": "i",
        },
        {"count": 3, "cpu": 100, "after": [0], "checkpointing": True},
    ],
    "repetitions": 2,
    "firstRunMs": BORN_MS,
    "intervalMs": 1000,
}
POLL_REPLY: dict[str, Any] = {
    "clockMs": 482_113,
    "born": BORN_MS,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41, 3.5]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
CONFIG: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/r/",
            "service": "pool",
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 1.5,
            "latencyTargetMs": 300,
        }
    ],
}
ROWS: dict[str, Any] = {
    "rows": [{"table": "t", "key": "k", "rowVersion": 3, "value": "AAAA"}],
    "rowVersion": 4,
    "hasMore": False,
}
DOCUMENTS: tuple[tuple[type[Any], dict[str, Any]], ...] = (
    (documents.Heartbeat, HEARTBEAT),
    (documents.Submission, SUBMISSION),
    (documents.PollReply, POLL_REPLY),
    (documents.Config, CONFIG),
    (documents.Rows, ROWS),
)

REPLACEMENTS = (
    None,
    True,
    "",
    "x" * 70_000,
    "\u0661\u0662:\u0663",
    "h:99999",
    "h:" + "9" * 5000,
    "a." + "9" * 5000 + ".0.0",
    -1,
    0,
    1,
    100_001,
    BORN_MS + 3_600_000,
    HUGE,
    -HUGE,
    0.5,
    1e308,
    [],
    [[]],
    {},
    {"cpu": -5},
)


def list_places(value: Any, path: tuple[Any, ...] = ()) -> list[Any]:
    """Returns the path of each value in a document."""
    places: list[Any] = [path] if path else []
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        places += list_places(item, (*path, key))
    return places


@strategies.composite
def mutate(draw: strategies.DrawFn, original: dict[str, Any]) -> dict[str, Any]:
    """Draws a copy of a document with one or two values replaced or removed."""
    document = copy.deepcopy(original)
    for _ in range(draw(strategies.integers(1, 2))):
        path = draw(strategies.sampled_from(list_places(document) or [()]))
        if not path:
            break
        parent = document
        for key in path[:-1]:
            parent = parent[key]
        if draw(strategies.booleans()):
            drawn = draw(strategies.sampled_from(REPLACEMENTS))
            parent[path[-1]] = copy.deepcopy(drawn)
        else:
            del parent[path[-1]]
    return document


@strategies.composite
def damage(draw: strategies.DrawFn, original: bytes) -> bytes:
    """Draws a copy of some bytes that is cut off, or has a byte replaced."""
    position = draw(strategies.integers(0, len(original) - 1))
    if draw(strategies.booleans()):
        return original[:position]
    byte = bytes([draw(strategies.integers(0, 255))])
    return original[:position] + byte + original[position + 1 :]


def check_parses_or_fails(data: bytes, document_type: type[Any]) -> None:
    parsed = documents.parse(data, document_type)
    assert isinstance(parsed, Success | Failure)


@pytest.mark.parametrize(
    "document", DOCUMENTS, ids=lambda item: item[0].__name__
)
@hypothesis.given(data=strategies.data())
def test_documents_parse_or_give_an_error(
    document: tuple[type[Any], dict[str, Any]], data: strategies.DataObject
) -> None:
    document_type, original = document
    mutated = json.dumps(data.draw(mutate(original))).encode()
    check_parses_or_fails(mutated, document_type)
    check_parses_or_fails(data.draw(damage(mutated)), document_type)


@pytest.mark.parametrize(
    "document", DOCUMENTS, ids=lambda item: item[0].__name__
)
def test_deep_nesting_gives_an_error(
    document: tuple[type[Any], dict[str, Any]],
) -> None:
    """Guards against the recursion limit, which is no decoding error."""
    data = ('{"unknown":' + DEEP).encode()
    assert isinstance(documents.parse(data, document[0]), Failure)


@pytest.mark.parametrize(
    "record_type",
    [
        messages.Message,
        records.JobRecord,
        records.ProgressRecord,
        records.HolderRecord,
        records.EntryRecord,
    ],
    ids=str,
)
@hypothesis.given(data=strategies.binary(max_size=60))
def test_rows_and_messages_decode_or_give_an_error(
    record_type: Any, data: bytes
) -> None:
    for content in (data, b"\x91" * 100_000, b"\x96" + data):
        assert isinstance(codec.decode(content, record_type), Success | Failure)


# Routes and the reducer behind them.


def start_executor() -> executor.ExecutorState:
    """Returns an executor whose worker has answered a poll."""
    endpoint = messages.Endpoint("10.0.0.1", 1000)
    state = executor.ExecutorState(
        executor.ExecutorOptions(
            ids.InstanceId("a"), ids.Incarnation(1), endpoint
        ),
        policy_sets.build_executor_policies(),
    )
    reducer.reduce(state, events.ExecutorStarted(), NOW)
    send_heartbeat(state, HEARTBEAT)
    answer_poll(state, json.dumps(POLL_REPLY).encode())
    return state


def send_heartbeat(
    state: executor.ExecutorState,
    document: dict[str, Any],
    name: str = "w",
) -> None:
    parsed = documents.parse(json.dumps(document).encode(), documents.Heartbeat)
    if isinstance(parsed, Success):
        built = heartbeats.build_worker(name, parsed.unwrap())
        if built is not None:
            reducer.reduce(state, events.HeartbeatReceived(built), NOW)


def answer_poll(state: executor.ExecutorState, body: bytes) -> None:
    """Answers the pending poll of the worker that the state has."""
    assert state.worker is not None
    incarnation = state.worker.incarnation
    reply = documents.parse(body, documents.PollReply).unwrap()
    polled = events.WorkerPolled(
        incarnation,
        state.fence,
        events.CommandResult.DONE,
        events.WorkerClock(reply.clock_ms, NOW, NOW),
        reply.born,
        worker.parse_running(reply.running),
        worker.parse_ended(reply.ended),
    )
    reducer.reduce(state, polled, NOW)


def refuse_poll(state: executor.ExecutorState) -> None:
    """Answers the pending poll as a worker of another incarnation would."""
    assert state.worker is not None
    refused = events.WorkerPolled(
        state.worker.incarnation,
        state.fence,
        events.CommandResult.OTHER_INCARNATION,
    )
    reducer.reduce(state, refused, NOW)


LATER_BORN = {**HEARTBEAT, "born": BORN_MS + 3_600_000}


@hypothesis.example(document=LATER_BORN, name="w")
@hypothesis.example(document=LATER_BORN, name="other")
@hypothesis.given(document=mutate(HEARTBEAT), name=strategies.text(max_size=3))
def test_worker_stays_in_use_after_a_faulty_heartbeat(
    document: dict[str, Any], name: str
) -> None:
    """Guards against a stray heartbeat that hides the worker for good.

    The heartbeat names another worker, or another start of it, which does not
    answer polls. The real worker is in use again after its next heartbeats.
    """
    state = start_executor()
    send_heartbeat(state, document, name)
    for sequence in (LATER_SEQUENCE, LATER_SEQUENCE + 1):
        refuse_poll(state)
        send_heartbeat(state, {**HEARTBEAT, "sequence": sequence})
    assert state.worker is not None
    assert state.worker.incarnation == runs.WorkerIncarnation("w", BORN_MS)
    assert state.worker.address == "10.0.0.1:8080"


@pytest.mark.parametrize(
    "address", ["h:0", "h:65536", "h:" + "9" * 5000, "h:\u0661\u0662"]
)
def test_address_without_a_valid_port_is_refused(address: str) -> None:
    """Guards against a worker that no command can reach."""
    document = msgspec.convert(
        {**HEARTBEAT, "address": address}, documents.Heartbeat
    )
    assert heartbeats.build_worker("w", document) is None


@hypothesis.given(document=mutate(POLL_REPLY))
def test_unreadable_row_hides_no_other_row(document: dict[str, Any]) -> None:
    good_running = ["5c0e7a21d94b36f8.0.1.18", 1, "", 4, 2]
    good_ended = [59, "5c0e7a21d94b36f8.0.1.19", 1, "done", ""]
    for key, good in (("running", good_running), ("ended", good_ended)):
        if not isinstance(document.get(key), list):
            document[key] = []
        document[key].append(good)
    parsed = documents.parse(json.dumps(document).encode(), documents.PollReply)
    if isinstance(parsed, Failure):
        return
    reply = parsed.unwrap()
    assert worker.parse_running(reply.running)[-1].ref.task.index == 18
    assert worker.parse_ended(reply.ended)[-1].number == 59


@hypothesis.given(document=mutate(SUBMISSION))
def test_accepted_submission_can_be_planned(document: dict[str, Any]) -> None:
    """Guards against a job that is accepted and then set aside."""
    parsed = documents.parse(
        json.dumps(document).encode(), documents.Submission
    )
    if isinstance(parsed, Failure):
        return
    job_id = specs.JobId("5c0e7a21d94b36f8")
    spec = job_routes.build_spec(job_specs.QUEUE, job_id, parsed.unwrap(), 1000)
    if validation.check_job(spec) is not None:
        return
    stored = codec.decode(
        codec.encode(records.JobRecord(records.FORMAT, spec)),
        records.JobRecord,
    ).unwrap()
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", stored.spec)
    world.run(2000)
    decisions = {line.decision for _, _, line in world.log_lines}
    assert not decisions & {"job-set-aside", "job-left-out"}


@hypothesis.given(document=mutate(CONFIG))
def test_faulty_configuration_leaves_the_former_one(
    document: dict[str, Any],
) -> None:
    row = documents.Row("op", "config", 3, "", json.dumps(document).encode())
    config = jobstore.find_config((row,))
    assert config is None or isinstance(config, specs.QueueConfig)


REPORT = messages.Report(
    ids.InstanceId("a"),
    ids.Incarnation(1),
    1,
    messages.Endpoint("10.0.0.1", 1000),
    runs.Worker(
        runs.WorkerIncarnation("w", BORN_MS),
        specs.PoolName("pool"),
        "10.0.0.1:8080",
        ids.DataCentre("z"),
        runs.WorkerState.READY,
        16000,
        32768,
        0,
        ("a", "r1-3"),
        4,
        0,
    ),
    ids.Epoch(1),
    (
        runs.RunRow(
            runs.RunRef(
                runs.TaskRef(specs.JobId("5c0e7a21d94b36f8"), 0, 0, 1),
                runs.RunNumber(1),
            )
        ),
    ),
    ends=(
        runs.EndRow(
            runs.EndNumber(1),
            runs.RunRef(
                runs.TaskRef(specs.JobId("5c0e7a21d94b36f8"), 0, 0, 0),
                runs.RunNumber(1),
            ),
            runs.RunEnd.DONE,
        ),
    ),
    losses=(
        runs.LossRow(
            runs.WorkerIncarnation("w", BORN_MS - 1),
            (
                runs.RunRow(
                    runs.RunRef(
                        runs.TaskRef(specs.JobId("5c0e7a21d94b36f8"), 0, 0, 1),
                        runs.RunNumber(0),
                    ),
                    age_ms=1,
                ),
            ),
            1,
        ),
    ),
)


@hypothesis.given(data=strategies.data())
def test_decodable_report_can_be_applied(data: strategies.DataObject) -> None:
    """Guards against a report that stops the holder.

    Numbers and names are replaced by others of the same type, as another
    version of an agent, or one with a wrong clock, might send them.
    """
    fields = msgspec.to_builtins(REPORT)
    places = [path for path in list_places(fields) if path]
    path = data.draw(strategies.sampled_from(places))
    parent: Any = fields
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = data.draw(strategies.sampled_from(REPLACEMENTS))
    try:
        report = msgspec.convert(fields, messages.Report)
    except msgspec.ValidationError:
        return
    state = builders.build_holder(NOW)
    assert state.holder_state is not None
    job = job_specs.build_job("5c0e7a21d94b36f8", (2,))
    lifecycle.add_job(state.holder_state, storage.JobRows(job), NOW)
    for message in (report, REPORT):
        event = events.ReportArrived(ids.TicketId("t"), message)
        reducer.reduce(state, event, NOW)
