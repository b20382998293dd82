"""Slopes of tasks: batches, starts and lease renewals."""

import datetime
import functools
import json
from collections.abc import Callable, Iterator, Sequence

import slopes_models
import slopes_timing

from gypsumhold.adapters import rowcodec, taskcodec, thrift_encoding
from gypsumhold.adapters.generated.wire import ttypes
from gypsumhold.decisions import reducer
from gypsumhold.model import (
    agent,
    effects,
    entry,
    events,
    ids,
    rows,
    states,
    tasks,
    timers,
)

MEMBERS = (10, 500, 5000)
BATCHES = (1, 16, 128)
RENEWALS = (1, 10, 100)
NOW = slopes_models.NOW
Point = slopes_timing.Point
Calls = Sequence[Callable[[], object]]
_COMMITTED = rows.CommitAnswer(states.CommitResult.COMMITTED)


def measure_batches() -> Iterator[Point]:
    """Yields the commit of batches of different sizes."""
    for size in BATCHES:
        transaction = _find_commit(_submit(_prepare(10), size))
        packed = _pack(transaction)
        yield Point(
            "batch: submissions and commit in the holder",
            size,
            "rows",
            _time_commit(size),
        )
        yield Point(
            "batch: transaction as JSON, write and read",
            size,
            "rows",
            slopes_timing.time_call(
                functools.partial(_pass_transaction, transaction)
            ),
            len(packed),
        )


def _pack(transaction: rows.Transaction) -> bytes:
    return json.dumps(rowcodec.render_transaction(transaction)).encode()


def _pass_transaction(transaction: rows.Transaction) -> object:
    return rowcodec.parse_transaction(json.loads(_pack(transaction)))


def _prepare(count: int) -> entry.EntryState:
    return slopes_models.build_entry(count)


def _submit(state: entry.EntryState, count: int) -> list[effects.Effect]:
    """Submits tasks; the first batch is held back until all have arrived."""
    partition = state.partitions[slopes_models.PARTITION]
    blocked = entry.Batch(
        rows.Transaction(ids.OperationId("blocked"), (), ()), (), (), NOW
    )
    partition.batch = blocked
    for number in range(count):
        submission = tasks.Submission(
            slopes_models.name_organisation(number % 10),
            slopes_models.TASK_KIND,
            ids.IdempotencyKey(f"key-{number}"),
            f'{{"run_ms": 300, "input": "object/{number}"}}',
        )
        ticket = ids.TicketId(f"{number:032x}")
        reducer.reduce(state, events.SubmissionArrived(ticket, submission), NOW)
    partition.batch = None
    poll = timers.Timer(timers.TimerKind.SYNC)
    return list(reducer.reduce(state, events.TimerFired(poll), NOW))


def _find_commit(made: Sequence[effects.Effect]) -> rows.Transaction:
    return next(
        item.transaction for item in made if isinstance(item, effects.Commit)
    )


def _confirm(
    state: entry.EntryState, made: Sequence[effects.Effect]
) -> list[effects.Effect]:
    answered = events.CommitAnswered(_find_commit(made).operation, _COMMITTED)
    return list(reducer.reduce(state, answered, NOW))


def _time_commit(size: int) -> float:
    def prepare(calls: int) -> Calls:
        return [
            functools.partial(_commit_batch, _prepare(10), size)
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 5)


def _commit_batch(state: entry.EntryState, size: int) -> None:
    _submit(state, size)


def measure_starts() -> Iterator[Point]:
    """Yields the way of one task from its submission to its start."""
    for count in MEMBERS:
        yield Point(
            "task: submission to start in the holder, batches of 16",
            count,
            "members",
            _time_starts(count, 16) / 16,
        )
    starts = tuple(map(slopes_models.build_start, range(16)))
    for size in (1, 16):
        yield Point(
            "task: start in an agent",
            size,
            "starts in one call",
            _time_agent_starts(size),
            sum(
                len(thrift_encoding.dump_struct(item))
                for item in taskcodec.encode_starts(starts[:size])
            ),
        )


def _time_starts(count: int, size: int) -> float:
    def prepare(calls: int) -> Calls:
        return [
            functools.partial(_run_starts, _prepare(count), size)
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 3)


def _run_starts(state: entry.EntryState, size: int) -> None:
    """Submits, commits, places, commits again and sends the starts."""
    made = _submit(state, size)
    made = _confirm(state, made)
    made = _confirm(state, made)
    sent = [item for item in made if isinstance(item, effects.SendStarts)]
    if sum(len(item.starts) for item in sent) != size:
        raise RuntimeError("not every task was started")
    for item in sent:
        accepted = (True,) * len(item.starts)
        answered = events.StartsAnswered(item.instance, item.starts, accepted)
        reducer.reduce(state, answered, NOW)


def _time_agent_starts(size: int) -> float:
    starts = tuple(map(slopes_models.build_start, range(size)))

    def run(state: agent.AgentState) -> None:
        raw = taskcodec.encode_starts(starts)
        decoded = taskcodec.decode_starts(raw).unwrap()
        ticket = ids.TicketId("ticket")
        reducer.reduce(state, events.StartsArrived(ticket, decoded), NOW)
        for start in starts:
            answered = events.WorkerAnswered(
                start.task_id, start.epoch, timers.WorkerAction.START, True
            )
            reducer.reduce(state, answered, NOW)

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(run, slopes_models.build_agent())
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 50)


def measure_renewals() -> Iterator[Point]:
    """Yields the sync of N tasks: messages, agent and holder."""
    for count in RENEWALS:
        sync = slopes_models.build_sync(count, NOW + 2 * slopes_models.LATER)
        reply = _build_reply(count)
        request = thrift_encoding.dump_struct(taskcodec.encode_sync(sync))
        answer = thrift_encoding.dump_struct(taskcodec.encode_sync_reply(reply))
        yield Point(
            "renewal: sync and reply, encode and decode",
            count,
            "tasks",
            slopes_timing.time_call(functools.partial(_pass_sync, sync, reply)),
            len(request) + len(answer),
        )
        yield Point(
            "renewal: sync in an agent", count, "tasks", _time_sync(count)
        )
    for count in (100, 1000, 6000):
        yield Point(
            "renewal: pass of the holder over one partition at 500 members",
            count,
            "tasks",
            _time_tick(count),
        )


def _build_reply(count: int) -> tasks.SyncReply:
    return tasks.SyncReply(
        True,
        tuple(
            tasks.TaskReport(
                slopes_models.name_task(number),
                ids.Epoch(1),
                states.ExecutionState.RUNNING,
            )
            for number in range(count)
        ),
    )


def _pass_sync(sync: tasks.TaskSync, reply: tasks.SyncReply) -> None:
    packed = thrift_encoding.dump_struct(taskcodec.encode_sync(sync))
    taskcodec.decode_sync(
        thrift_encoding.load_struct(ttypes.TaskSync(), packed)
    )
    packed = thrift_encoding.dump_struct(taskcodec.encode_sync_reply(reply))
    taskcodec.decode_sync_reply(
        thrift_encoding.load_struct(ttypes.SyncReply(), packed)
    )


def _build_running(count: int) -> agent.AgentState:
    state = slopes_models.build_agent()
    for number in range(count):
        start = slopes_models.build_start(number)
        state.executions[start.task_id] = agent.Execution(
            start,
            states.ExecutionState.RUNNING,
            start.declared,
            start.expires,
        )
    return state


def _time_sync(count: int) -> float:
    state = _build_running(count)
    ends = iter(range(1, 10**9))

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(
                reducer.reduce,
                state,
                events.SyncArrived(
                    ids.TicketId("ticket"),
                    slopes_models.build_sync(
                        count,
                        NOW
                        + slopes_models.LATER
                        + datetime.timedelta(seconds=next(ends)),
                    ),
                ),
                NOW,
            )
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 50)


def _time_tick(count: int) -> float:
    state = _prepare(500)
    partition = state.partitions[slopes_models.PARTITION]
    for number in range(count):
        row = slopes_models.build_task_row(number, number % 500)
        partition.tasks[row.task_id] = entry.TaskRecord(
            row, granted_until=NOW + slopes_models.LATER, started=True
        )
    tick = events.TimerFired(timers.Timer(timers.TimerKind.SYNC))

    def prepare(calls: int) -> Calls:
        def run() -> None:
            for member in state.members.values():
                member.last_sync.clear()
                member.syncing.clear()
            reducer.reduce(state, tick, NOW)

        return [run] * calls

    return slopes_timing.time_batch(prepare, 5)
