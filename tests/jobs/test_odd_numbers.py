"""Guards against one odd number that hides or stops what comes after it.

Another writer may send a heartbeat, a list or a term with a number that is too
large to be sent on, that no later number exceeds, or that cannot be made a
duration. The process must use what is sound and recover from the rest.
"""

import dataclasses
import datetime
import json
from typing import Any
from unittest import mock

import msgspec
import pytest
from returns.result import Failure

from gypsumhold.adapters import http_routes
from gypsumhold.adapters.jobs import codec
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import report_timers
from gypsumhold.model import events as base_events
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from gypsumhold.platform import heartbeats, worker
from tests.jobs import builders, odd_entries, test_decoders

NOW = test_decoders.NOW
LATER = datetime.timedelta(seconds=4)
"""Longer than heartbeats and answers that overtake each other are apart."""

HUGE = (2**63, 2**64, 10**400)
HOLDER = members.Address("10.0.0.9", 1000)


class Agent:
    """An agent without threads, whose heartbeats come through the route."""

    def __init__(self) -> None:
        self.state = test_decoders.start_executor()
        self.state.holder = HOLDER
        runtime = mock.Mock()
        runtime.dispatch.side_effect = self.apply
        self._routes = heartbeats.HeartbeatRoutes(runtime)
        self.now = NOW

    def apply(self, event: Any) -> tuple[Any, ...]:
        """Applies an event and returns its effects."""
        return reducer.reduce(self.state, event, self.now)

    def send_heartbeat(self, **fields: Any) -> int:
        """Sends a heartbeat and returns the status of the answer."""
        document = {**test_decoders.HEARTBEAT, **fields}
        body = json.dumps(document).encode()
        request = http_routes.HttpRequest("PUT", "/instances/w", (), body)
        return self._routes.answer(request).status

    def send_report(self) -> messages.Report:
        """Sends a report through the codec and returns it."""
        self.state.report_pending = False
        timer = base_events.TimerFired(report_timers.REPORT_TIMER)
        reports = [
            effect.report
            for effect in self.apply(timer)
            if isinstance(effect, effects.SendReport)
        ]
        assert len(reports) == 1
        decoded = codec.decode_message(codec.encode(reports[0])).unwrap()
        assert isinstance(decoded, messages.Report)
        return decoded


def list_odd_heartbeats() -> list[dict[str, Any]]:
    numbers = [*HUGE, -1]
    return [
        *({"sequence": number} for number in numbers),
        *({"born": number} for number in numbers),
        *({"drainRemainingMs": number} for number in HUGE),
        *({"capacity": {"cpu": number}} for number in numbers),
        *({"capacity": {"memoryRequestMb": number}} for number in numbers),
        *({"capacity": {"gpus": number}} for number in numbers),
    ]


def test_reports_go_on_after_an_odd_heartbeat() -> None:
    """Guards against a report that cannot be encoded, again and again."""
    for fields in list_odd_heartbeats():
        agent = Agent()
        status = agent.send_heartbeat(**{"sequence": 5, **fields})
        agent.send_heartbeat(sequence=6, state="draining")
        agent.apply(build_poll([], []))
        report = agent.send_report()
        assert report.worker is not None
        assert report.worker.sequence == 6
        assert report.worker.state is runs.WorkerState.DRAINING
        assert status == 400


def test_heartbeat_with_an_odd_address_is_refused() -> None:
    """Guards against a client that cannot be built, with each poll."""
    agent = Agent()
    for host in ("", "x" * 70, "a..b", "a\0b", "a b", "h" * 60_000):
        status = agent.send_heartbeat(sequence=5, address=f"{host}:8080")
        assert status == 400
    for host in ("10.0.0.1", "[fd00::1]", "worker-1.example"):
        status = agent.send_heartbeat(sequence=5, address=f"{host}:8080")
        assert status == 200


GOOD_RUNNING = ["5c0e7a21d94b36f8.0.1.18", 1, "", 4, 2]
GOOD_ENDED = [59, "5c0e7a21d94b36f8.0.1.19", 1, "done", ""]
TASK = "5c0e7a21d94b36f8.0.1.17"
ODD_RUNNING: tuple[Any, ...] = (
    *([TASK, number, "", 4, 2] for number in (*HUGE, -1)),
    *([TASK, 1, "", number, 2] for number in HUGE),
    *([TASK, 1, "", 4, number] for number in (*HUGE, 1e308, -1e308)),
    *([f"5c0e7a21d94b36f8.{number}.0.0", 1, "", 4, 2] for number in HUGE),
    [TASK],
    {"task": TASK},
    None,
)
ODD_ENDED: tuple[Any, ...] = (
    *([number, TASK, 1, "done", ""] for number in (*HUGE, -1)),
    *([58, TASK, number, "done", ""] for number in (*HUGE, -1)),
    [58, TASK, 1, "vanished", ""],
    [58],
)


def poll_worker(reply: dict[str, Any]) -> events.WorkerPolled:
    """Polls a worker that answers with this body."""
    clock = mock.Mock()
    clock.read_monotonic.return_value = NOW
    client = worker.PlatformWorker(clock)
    state = test_decoders.start_executor()
    assert state.worker is not None
    fixed = odd_entries.FixedReply(json.dumps(reply).encode())
    with mock.patch.object(client, "_get_client", return_value=fixed):
        return client.poll(
            effects.PollWorker(
                state.worker,
                state.fence,
                runs.EndNumber(0),
                None,
                odd_entries.SHORT,
            )
        )


def build_poll(running: list[Any], ended: list[Any]) -> events.WorkerPolled:
    """Returns a poll whose answer has these rows."""
    reply = {**test_decoders.POLL_REPLY, "running": running, "ended": ended}
    return poll_worker(reply)


def test_odd_rows_of_the_worker_are_left_out() -> None:
    """Guards against a report that cannot be encoded, again and again."""
    for odd in ODD_RUNNING:
        polled = build_poll([GOOD_RUNNING, odd, GOOD_RUNNING], [])
        assert [row.ref.task.index for row in polled.rows] == [18, 18]
    for odd in ODD_ENDED:
        polled = build_poll([], [GOOD_ENDED, odd, GOOD_ENDED])
        assert [end.number for end in polled.ends] == [59, 59]


def test_odd_clock_of_the_worker_is_no_answer() -> None:
    """Guards against a lease that cannot be sent."""
    for reading in HUGE:
        polled = poll_worker({**test_decoders.POLL_REPLY, "clockMs": reading})
        assert polled.result is events.CommandResult.UNANSWERED


def test_heartbeats_count_again_after_a_giant_sequence() -> None:
    """Guards against a worker whose drain or capacity is never seen again."""
    agent = Agent()
    assert agent.send_heartbeat(sequence=2**52) == 200
    agent.now += LATER
    agent.send_heartbeat(sequence=6, state="draining")
    assert agent.state.worker is not None
    assert agent.state.worker.state is runs.WorkerState.DRAINING
    agent.send_heartbeat(sequence=5)
    assert agent.state.worker.state is runs.WorkerState.DRAINING


def test_clock_of_the_worker_recovers_from_a_giant_reading() -> None:
    """Guards against leases that the worker takes as endless for good."""
    agent = Agent()
    for seconds, reading in ((1, 2**52), (2, 484_000)):
        sent_at = NOW + datetime.timedelta(seconds=seconds)
        polled = build_poll([], [])
        clock = events.WorkerClock(reading, sent_at, sent_at)
        agent.apply(dataclasses.replace(polled, clock=clock))
    assert agent.state.clock is not None
    assert agent.state.clock.clock_ms == 484_000


def build_directives(term: int, **fields: Any) -> messages.Directives:
    return messages.Directives(
        ids.Epoch(term),
        "real",
        messages.Endpoint("10.0.0.1", 1000),
        ids.Incarnation(1),
        1,
        runs.WorkerIncarnation("w", test_decoders.BORN_MS),
        **fields,
    )


def answer_report(
    agent: Agent, address: members.Address, answer: messages.Directives | None
) -> None:
    agent.send_report()
    state = agent.state
    agent.apply(
        events.ReportAnswered(address, state.report_number, agent.now, answer)
    )


@pytest.mark.parametrize("is_answered", [False, True])
def test_agent_returns_from_a_holder_that_holds_nothing(
    is_answered: bool,
) -> None:
    """Guards against a term that no real holder reaches.

    The address of the holder may lead nowhere, or to an entry that does not
    hold the queue.
    """
    agent = Agent()
    answer_report(agent, HOLDER, build_directives(5, grant_ms=7000))
    entry = records.EntryRecord(1, "e", messages.Endpoint("10.0.0.9", 1000))
    odd = records.EntryRecord(
        1, "odd", messages.Endpoint("10.0.0.7", 1), True, ids.Epoch(900)
    )
    changes = storage.EntryChanges((entry, odd), ids.RowVersion(900))
    agent.apply(events.EntriesChanged(changes))
    nowhere = odd.endpoint.build_address()
    assert agent.state.holder == nowhere
    sequence = agent.state.sequence
    redirect = msgspec.structs.replace(
        build_directives(5), holder="", endpoint=None
    )
    answer_report(agent, nowhere, redirect if is_answered else None)
    agent.now += LATER
    answer_report(agent, HOLDER, build_directives(5, grant_ms=7000))
    assert agent.state.holder == members.Address("10.0.0.1", 1000)
    assert agent.state.grant_end == agent.now + datetime.timedelta(seconds=7)
    assert agent.state.sequence == sequence > 0


def test_directives_with_an_endless_grant_are_refused() -> None:
    """Guards against a lease that cannot be computed, or that never ends."""
    for grant_ms in (-1, 10**9, 2**62, odd_entries.MAX_UINT64):
        message = build_directives(5, grant_ms=grant_ms)
        decoded = codec.decode_message(codec.encode(message))
        assert isinstance(decoded, Failure)


def test_report_with_a_number_that_nothing_orders_is_refused() -> None:
    """Guards against estimates that one agent spoils for all."""
    pair = runs.ImagePair(specs.Image("s"), specs.Image("b"))
    report = Agent().send_report()
    for odd in (float("nan"), float("inf"), -float("inf"), 1e308):
        sums = runs.InterferenceSums(pair, odd, 1.0)
        allowance = runs.Allowance(specs.Image("s"), odd)
        for fields in (
            {"interference_sums": (sums,)},
            {"allowances": (allowance,)},
        ):
            message = msgspec.structs.replace(report, **fields)
            decoded = codec.decode_message(codec.encode(message))
            assert isinstance(decoded, Failure)


def test_queue_with_an_odd_row_gets_a_term_above_all_others() -> None:
    """Guards against a holder that all agents take for a former one.

    Its agents may have followed any term up to the version of the row.
    """
    state = builders.build_holder(NOW)
    state.role = scheduler.Role.FOLLOWER
    state.holder_state = None
    row = storage.HolderRow(ids.RowVersion(40), None)
    read = events.HolderRead(row)
    taken = [
        effect
        for effect in reducer.reduce(state, read, NOW)
        if isinstance(effect, effects.TakeQueue)
    ]
    assert [effect.holder.term for effect in taken] == [41]
    assert taken[0].entry.term == 41
    write = storage.HolderWrite(storage.WriteResult.STORED, ids.RowVersion(41))
    reducer.reduce(state, events.QueueTaken(write), NOW)
    holder_state: Any = state.holder_state
    assert holder_state.term == 41
    # The former holder may still be alive.
    assert holder_state.replaced_live_holder


def test_ends_count_after_an_end_with_a_giant_number() -> None:
    """Guards against runs whose end is never seen, so that jobs are lost."""
    agent = Agent()
    odd = [2**40, TASK, 1, "done", ""]
    agent.apply(build_poll([], [GOOD_ENDED, odd]))
    acknowledged = max(agent.state.ends)
    answer_report(agent, HOLDER, build_directives(5, acknowledged=acknowledged))
    later_end = [60, "5c0e7a21d94b36f8.0.1.18", 1, "done", ""]
    agent.apply(build_poll([], [later_end, odd]))
    assert 60 in agent.state.ends
    assert 2**40 not in agent.state.ends
