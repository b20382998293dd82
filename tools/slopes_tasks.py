"""Measures tasks: batches, starts and lease renewals."""

import datetime
import functools
import json
from collections.abc import Callable, Iterator, Sequence

import slopes_models
import slopes_timing

from gypsumhold.adapters import row_codec, task_codec, thrift_encoding
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
    """Yields the cost of batches of submissions in the holder and as JSON."""
    for size in BATCHES:
        transaction = _find_transaction(_submit_tasks(_build_entry(10), size))
        encoded = _encode_transaction(transaction)
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
                functools.partial(_round_trip_transaction, transaction)
            ),
            len(encoded),
        )


def _encode_transaction(transaction: rows.Transaction) -> bytes:
    return json.dumps(row_codec.render_transaction(transaction)).encode()


def _round_trip_transaction(transaction: rows.Transaction) -> object:
    return row_codec.parse_transaction(
        json.loads(_encode_transaction(transaction))
    )


def _build_entry(count: int) -> entry.EntryState:
    return slopes_models.build_entry(count)


def _submit_tasks(state: entry.EntryState, count: int) -> list[effects.Effect]:
    """Submits tasks and returns the effects that commit them in one batch.

    A placeholder takes the place of a batch in flight, so that no batch is
    committed until all submissions have arrived.
    """
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
    sync_timer = timers.Timer(timers.TimerKind.SYNC)
    return list(reducer.reduce(state, events.TimerFired(sync_timer), NOW))


def _find_transaction(emitted: Sequence[effects.Effect]) -> rows.Transaction:
    return next(
        effect.transaction
        for effect in emitted
        if isinstance(effect, effects.Commit)
    )


def _answer_commit(
    state: entry.EntryState, emitted: Sequence[effects.Effect]
) -> list[effects.Effect]:
    """Confirms the commit among the effects and returns the next effects."""
    answered = events.CommitAnswered(
        _find_transaction(emitted).operation, _COMMITTED
    )
    return list(reducer.reduce(state, answered, NOW))


def _time_commit(size: int) -> float:
    """Returns the CPU time of a batch of submissions, in microseconds."""

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(_run_commit, _build_entry(10), size)
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 5)


def _run_commit(state: entry.EntryState, size: int) -> None:
    _submit_tasks(state, size)


def measure_starts() -> Iterator[Point]:
    """Yields the cost of a task from submission to start."""
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
                len(thrift_encoding.encode_struct(start))
                for start in task_codec.encode_starts(starts[:size])
            ),
        )


def _time_starts(count: int, size: int) -> float:
    """Returns the CPU time to start `size` tasks, in microseconds.

    Args:
        count: Number of members of the holder.
        size: Number of tasks.
    """

    def prepare(calls: int) -> Calls:
        return [
            functools.partial(_run_starts, _build_entry(count), size)
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 3)


def _run_starts(state: entry.EntryState, size: int) -> None:
    """Runs tasks from submission to start in a holder.

    The submissions are committed, the tasks are placed, their assignments are
    committed, and the starts are sent and answered.
    """
    emitted = _submit_tasks(state, size)
    emitted = _answer_commit(state, emitted)
    emitted = _answer_commit(state, emitted)
    send_effects = [
        effect for effect in emitted if isinstance(effect, effects.SendStarts)
    ]
    if sum(len(effect.starts) for effect in send_effects) != size:
        raise RuntimeError("not every task was started")
    for effect in send_effects:
        accepted = (True,) * len(effect.starts)
        answered = events.StartsAnswered(
            effect.instance, effect.starts, accepted
        )
        reducer.reduce(state, answered, NOW)


def _time_agent_starts(size: int) -> float:
    """Returns the CPU time of a call of `size` starts in an agent, in µs."""
    starts = tuple(map(slopes_models.build_start, range(size)))

    def run(state: agent.AgentState) -> None:
        encoded = task_codec.encode_starts(starts)
        decoded = task_codec.decode_starts(encoded).unwrap()
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
    """Yields the cost of lease renewals in messages, agent and holder."""
    for count in RENEWALS:
        sync = slopes_models.build_sync(count, NOW + 2 * slopes_models.LATER)
        reply = _build_sync_reply(count)
        request = thrift_encoding.encode_struct(task_codec.encode_sync(sync))
        answer = thrift_encoding.encode_struct(
            task_codec.encode_sync_reply(reply)
        )
        yield Point(
            "renewal: sync and reply, encode and decode",
            count,
            "tasks",
            slopes_timing.time_call(
                functools.partial(_round_trip_sync, sync, reply)
            ),
            len(request) + len(answer),
        )
        yield Point(
            "renewal: sync in an agent", count, "tasks", _time_agent_sync(count)
        )
    for count in (100, 1000, 6000):
        yield Point(
            "renewal: pass of the holder over one partition at 500 members",
            count,
            "tasks",
            _time_sync_timer(count),
        )


def _build_sync_reply(count: int) -> tasks.SyncReply:
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


def _round_trip_sync(sync: tasks.TaskSync, reply: tasks.SyncReply) -> None:
    encoded = thrift_encoding.encode_struct(task_codec.encode_sync(sync))
    task_codec.decode_sync(
        thrift_encoding.decode_struct(ttypes.TaskSync(), encoded)
    )
    encoded = thrift_encoding.encode_struct(task_codec.encode_sync_reply(reply))
    task_codec.decode_sync_reply(
        thrift_encoding.decode_struct(ttypes.SyncReply(), encoded)
    )


def _build_agent(count: int) -> agent.AgentState:
    """Returns an agent that runs `count` tasks."""
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


def _time_agent_sync(count: int) -> float:
    """Returns the CPU time of a sync of `count` tasks in an agent, in µs."""
    state = _build_agent(count)
    extra_seconds = iter(range(1, 10**9))

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
                        + datetime.timedelta(seconds=next(extra_seconds)),
                    ),
                ),
                NOW,
            )
            for _ in range(calls)
        ]

    return slopes_timing.time_batch(prepare, 50)


def _time_sync_timer(count: int) -> float:
    """Returns the CPU time of a sync timer in a holder, in microseconds.

    Args:
        count: Number of started tasks in the only partition.
    """
    state = _build_entry(500)
    partition = state.partitions[slopes_models.PARTITION]
    for number in range(count):
        row = slopes_models.build_task_row(number, number % 500)
        partition.tasks[row.task_id] = entry.TaskRecord(
            row, granted_until=NOW + slopes_models.LATER, started=True
        )
    fired = events.TimerFired(timers.Timer(timers.TimerKind.SYNC))

    def prepare(calls: int) -> Calls:
        def run() -> None:
            for member in state.members.values():
                member.last_sync.clear()
                member.syncing.clear()
            reducer.reduce(state, fired, NOW)

        return [run] * calls

    return slopes_timing.time_batch(prepare, 5)
