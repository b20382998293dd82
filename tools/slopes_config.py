"""Measures configuration changes, and the memory of each item of state."""

import functools
import json
from collections.abc import Callable, Iterator, Sequence

import slopes_models
import slopes_timing

from gypsumhold.adapters import (
    config_codec,
    datagrams,
    row_codec,
    thrift_encoding,
)
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.decisions import reducer
from gypsumhold.model import (
    agent,
    declarations,
    effects,
    entry,
    events,
    ids,
    membership,
    requests,
    rows,
    states,
    timers,
)

MEMBERS = (10, 500, 5000)
ORGANISATIONS = (10, 100, 390)
KEY = b"0123456789abcdef"
NOW = slopes_models.NOW
Point = slopes_timing.Point
Calls = Sequence[Callable[[], object]]


def build_change(version: int) -> declarations.Change:
    """Returns a change that writes one organisation."""
    return declarations.Change(
        ids.ConfigVersion(version),
        organisations=(slopes_models.build_organisation(1),),
        author="operator",
        comment="more weight during the campaign",
        time="2000-01-01T00:00:00Z",
    )


def measure_changes() -> Iterator[Point]:
    """Yields the cost of applying and distributing changes, and their sizes."""
    for count in MEMBERS:
        cpu_us, pushes = _time_change(count)
        yield Point(
            "change: apply in an entry, decide on pushes",
            count,
            "members",
            cpu_us,
        )
        yield Point(
            "change: pushes by one entry",
            count,
            "members",
            None,
            pushes * _measure_configuration(390),
        )
    for count in ORGANISATIONS:
        configuration = slopes_models.build_configuration(count)
        yield Point(
            "change: whole configuration, encode",
            count,
            "organisations",
            slopes_timing.time_call(
                functools.partial(_encode_configuration, configuration)
            ),
            len(_encode_configuration(configuration)),
        )
        encoded = _encode_configuration(configuration)
        yield Point(
            "change: whole configuration, decode",
            count,
            "organisations",
            slopes_timing.time_call(
                functools.partial(_decode_configuration, encoded)
            ),
        )
    yield from _measure_change_row()


def _measure_change_row() -> Iterator[Point]:
    """Yields the size of one organisation in each of its encodings."""
    row = rows.Row(
        rows.build_change_key(ids.ConfigVersion(1)),
        ids.RowVersion(1),
        ids.OperationId("entry-0:1:1"),
        rows.ChangeRow(build_change(1)),
    )
    yield Point(
        "change: one organisation as a change row (JSON)",
        1,
        "change",
        slopes_timing.time_call(
            lambda: row_codec.parse_row(
                json.loads(json.dumps(row_codec.render_row(row)))
            )
        ),
        len(json.dumps(row_codec.render_row(row))),
    )
    yield Point(
        "change: one organisation as compact Thrift",
        1,
        "change",
        None,
        _measure_configuration(1) - _measure_configuration(0),
    )


def _measure_configuration(organisations: int) -> int:
    """Returns the encoded size of a whole configuration in bytes."""
    configuration = slopes_models.build_configuration(organisations)
    return len(_encode_configuration(configuration))


def _encode_configuration(configuration: declarations.Configuration) -> bytes:
    return thrift_encoding.encode_struct(
        config_codec.encode_configuration(configuration)
    )


def _decode_configuration(encoded: bytes) -> object:
    struct = thrift_encoding.decode_struct(ttypes.Configuration(), encoded)
    return config_codec.decode_configuration(struct)


def _time_change(count: int) -> tuple[float, int]:
    """Times the reduction of one change by an entry.

    Args:
        count: Number of members that the entry has.

    Returns:
        CPU time in microseconds, and the number of pushes emitted.
    """
    state = slopes_models.build_entry(count, organisations=390)
    pushes = 0

    def apply(version: int) -> None:
        nonlocal pushes
        change = build_change(version)
        row = rows.Row(
            rows.build_change_key(change.version),
            ids.RowVersion(1),
            ids.OperationId("x"),
            rows.ChangeRow(change),
        )
        purpose = events.ReadPurpose(timers.ReadKind.CONFIG_CHANGES)
        emitted = reducer.reduce(state, events.RowsRead(purpose, (row,)), NOW)
        pushes = sum(
            isinstance(effect, effects.PushConfig) for effect in emitted
        )

    versions = iter(range(2, 10**9))

    def prepare(calls: int) -> Calls:
        for member in state.members.values():
            member.pushed_at = None
        return [functools.partial(apply, next(versions))] * calls

    return slopes_timing.time_batch(prepare, 1), pushes


def measure_state() -> Iterator[Point]:
    """Yields the memory that one more item of each kind of state takes."""
    for name, unit, build, small, large in (
        ("state of an entry", "member", _build_members, 500, 5000),
        ("state of an entry", "waiting call", _build_calls, 100, 1000),
        ("state of a holder", "running task", _build_running_tasks, 500, 5000),
        ("state of a holder", "ended task", _build_ended_tasks, 500, 5000),
        ("state of an agent", "running task", _build_executions, 100, 1000),
        (
            "state of an agent",
            "remembered attempt",
            _build_attempt_records,
            500,
            5000,
        ),
        (
            "state of each role",
            "organisation of 11 kinds",
            _build_configuration,
            40,
            390,
        ),
    ):
        growth = slopes_timing.measure_growth(build, small, large)
        yield Point(name, 1, unit, None, round(growth))


def _build_members(count: int) -> dict[ids.InstanceId, membership.Member]:
    """Returns members decoded from datagrams, as in an entry."""
    members = {}
    for number in range(count):
        encoded = datagrams.encode(
            slopes_models.build_announcement(number), KEY
        )
        announcement = datagrams.decode(encoded, KEY).unwrap()
        members[announcement.instance] = membership.Member(announcement, NOW)
    return members


def _build_calls(count: int) -> dict[ids.RequestId, entry.Call]:
    configuration = slopes_models.build_configuration(10)
    calls = {}
    for number in range(count):
        request = slopes_models.build_request(number)
        template = configuration.resolve(request.organisation, request.kind)
        assert template is not None
        calls[request.request_id] = entry.Call(request, template, NOW)
    return calls


def _build_running_tasks(count: int) -> dict[ids.TaskId, entry.TaskRecord]:
    records = {}
    for number in range(count):
        row = slopes_models.build_task_row(number, number % 500)
        records[row.task_id] = entry.TaskRecord(row)
    return records


def _build_ended_tasks(count: int) -> set[ids.TaskId]:
    return {slopes_models.name_task(number) for number in range(count)}


def _build_executions(count: int) -> dict[ids.TaskId, agent.Execution]:
    executions = {}
    for number in range(count):
        start = slopes_models.build_start(number)
        executions[start.task_id] = agent.Execution(
            start, states.ExecutionState.RUNNING, start.declared, start.expires
        )
    return executions


def _build_attempt_records(
    count: int,
) -> dict[requests.AttemptKey, agent.AttemptRecord]:
    records = {}
    for number in range(count):
        key = requests.AttemptKey(
            ids.RequestId(f"{number:032x}"), ids.Attempt(1)
        )
        records[key] = agent.AttemptRecord(
            slopes_models.build_answer(number), NOW
        )
    return records


def _build_configuration(count: int) -> declarations.Configuration:
    """Returns a configuration decoded from its message, as in each role."""
    encoded = _encode_configuration(slopes_models.build_configuration(count))
    struct = thrift_encoding.decode_struct(ttypes.Configuration(), encoded)
    return config_codec.decode_configuration(struct).unwrap()
