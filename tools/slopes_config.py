"""Slopes of configuration changes, and the state that each item takes."""

import functools
import json
from collections.abc import Callable, Iterator, Sequence

import slopes_models
import slopes_timing

from gypsumhold.adapters import (
    configcodec,
    datagrams,
    rowcodec,
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
    """Returns a change of one organisation."""
    return declarations.Change(
        ids.ConfigVersion(version),
        organisations=(slopes_models.build_organisation(1),),
        author="operator",
        comment="more weight during the campaign",
        time="2000-01-01T00:00:00Z",
    )


def measure_changes() -> Iterator[Point]:
    """Yields applying and spreading one change, and its size."""
    for count in MEMBERS:
        spent, pushes = _time_spread(count)
        yield Point(
            "change: apply in an entry, decide on pushes",
            count,
            "members",
            spent,
        )
        yield Point(
            "change: pushes by one entry",
            count,
            "members",
            None,
            pushes * _measure_whole(390),
        )
    for count in ORGANISATIONS:
        whole = slopes_models.build_configuration(count)
        yield Point(
            "change: whole configuration, encode",
            count,
            "organisations",
            slopes_timing.time_call(
                functools.partial(_pack_configuration, whole)
            ),
            len(_pack_configuration(whole)),
        )
        packed = _pack_configuration(whole)
        yield Point(
            "change: whole configuration, decode",
            count,
            "organisations",
            slopes_timing.time_call(
                functools.partial(_read_configuration, packed)
            ),
        )
    yield from _measure_row()


def _measure_row() -> Iterator[Point]:
    row = rows.Row(
        rows.name_change_row(ids.ConfigVersion(1)),
        ids.RowVersion(1),
        ids.OperationId("entry-0:1:1"),
        rows.ChangeRow(build_change(1)),
    )
    yield Point(
        "change: one organisation as a change row (JSON)",
        1,
        "change",
        slopes_timing.time_call(
            lambda: rowcodec.parse_row(
                json.loads(json.dumps(rowcodec.render_row(row)))
            )
        ),
        len(json.dumps(rowcodec.render_row(row))),
    )
    yield Point(
        "change: one organisation as compact Thrift",
        1,
        "change",
        None,
        _measure_whole(1) - _measure_whole(0),
    )


def _measure_whole(organisations: int) -> int:
    whole = slopes_models.build_configuration(organisations)
    return len(_pack_configuration(whole))


def _pack_configuration(whole: declarations.Configuration) -> bytes:
    return thrift_encoding.dump_struct(configcodec.encode_configuration(whole))


def _read_configuration(packed: bytes) -> object:
    raw = thrift_encoding.load_struct(ttypes.Configuration(), packed)
    return configcodec.decode_configuration(raw)


def _time_spread(count: int) -> tuple[float, int]:
    """Returns the time of one change and the pushes it leads to."""
    state = slopes_models.build_entry(count, organisations=390)
    pushes = 0

    def apply(version: int) -> None:
        nonlocal pushes
        change = build_change(version)
        row = rows.Row(
            rows.name_change_row(change.version),
            ids.RowVersion(1),
            ids.OperationId("x"),
            rows.ChangeRow(change),
        )
        purpose = events.ReadPurpose(timers.ReadKind.CONFIG_CHANGES)
        made = reducer.reduce(state, events.RowsRead(purpose, (row,)), NOW)
        pushes = sum(isinstance(item, effects.PushConfig) for item in made)

    versions = iter(range(2, 10**9))

    def prepare(calls: int) -> Calls:
        for member in state.members.values():
            member.pushed_at = None
        return [functools.partial(apply, next(versions))] * calls

    return slopes_timing.time_batch(prepare, 1), pushes


def measure_state() -> Iterator[Point]:
    """Yields the memory of one more item of each kind of state."""
    for name, unit, build, small, large in (
        ("state of an entry", "member", _build_roster, 500, 5000),
        ("state of an entry", "waiting call", _build_calls, 100, 1000),
        ("state of a holder", "running task", _build_tasks, 500, 5000),
        ("state of a holder", "ended task", _build_ended, 500, 5000),
        ("state of an agent", "running task", _build_executions, 100, 1000),
        ("state of an agent", "remembered attempt", _build_memories, 500, 5000),
        (
            "state of each role",
            "organisation of 11 kinds",
            _build_owners,
            40,
            390,
        ),
    ):
        growth = slopes_timing.measure_growth(build, small, large)
        yield Point(name, 1, unit, None, round(growth))


def _build_roster(count: int) -> dict[ids.InstanceId, membership.Member]:
    """Returns members from decoded datagrams, as an entry has them."""
    made = {}
    for number in range(count):
        packed = datagrams.encode(slopes_models.build_announcement(number), KEY)
        announcement = datagrams.decode(packed, KEY).unwrap()
        made[announcement.instance] = membership.Member(announcement, NOW)
    return made


def _build_calls(count: int) -> dict[ids.RequestId, entry.Call]:
    whole = slopes_models.build_configuration(10)
    made = {}
    for number in range(count):
        request = slopes_models.build_request(number)
        template = whole.resolve(request.organisation, request.kind)
        assert template is not None
        made[request.request_id] = entry.Call(request, template, NOW)
    return made


def _build_tasks(count: int) -> dict[ids.TaskId, entry.TaskRecord]:
    made = {}
    for number in range(count):
        row = slopes_models.build_task_row(number, number % 500)
        made[row.task_id] = entry.TaskRecord(row)
    return made


def _build_ended(count: int) -> set[ids.TaskId]:
    return {slopes_models.name_task(number) for number in range(count)}


def _build_executions(count: int) -> dict[ids.TaskId, agent.Execution]:
    made = {}
    for number in range(count):
        start = slopes_models.build_start(number)
        made[start.task_id] = agent.Execution(
            start, states.ExecutionState.RUNNING, start.declared, start.expires
        )
    return made


def _build_memories(
    count: int,
) -> dict[requests.AttemptKey, agent.AttemptRecord]:
    made = {}
    for number in range(count):
        key = requests.AttemptKey(
            ids.RequestId(f"{number:032x}"), ids.Attempt(1)
        )
        made[key] = agent.AttemptRecord(slopes_models.build_answer(number), NOW)
    return made


def _build_owners(count: int) -> declarations.Configuration:
    packed = _pack_configuration(slopes_models.build_configuration(count))
    raw = thrift_encoding.load_struct(ttypes.Configuration(), packed)
    return configcodec.decode_configuration(raw).unwrap()
