"""Tests of calls that a later incarnation of the worker takes.

An incarnation under the same name takes calls that were meant for a former one,
also seconds later. A lease in such a call is a reading of the former clock, and
lasts for the longest time that the worker allows.
"""

import msgspec
import pytest

from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, executor, runs, specs
from tests.jobs import linked_agent, lone_agent, worker_fake

RUN = runs.RunRef(runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1))
OTHER = runs.RunRef(
    runs.TaskRef(specs.JobId("job"), 0, 0, 1), runs.RunNumber(1)
)
RATES = (1.0, 0.98)
MAX_CALL_DELAY_MS = 12_000
"""Longest time after which a call without an answer is carried out."""

LIMIT_MS = MAX_CALL_DELAY_MS + worker_fake.MAX_HOLD_MS + 1000
"""Time after which the task of any run has to start elsewhere."""

HELD_MS = (0, 600, 1400)


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("held_ms", HELD_MS)
def test_start_that_a_new_life_takes_ends_with_its_lease(
    held_ms: float, is_answered: bool, rate: float
) -> None:
    """Guards against a run that counts as ended and goes on.

    The worker has restarted, takes the start, is polled and then cut off.
    """
    agent = linked_agent.LinkedAgent(rate)
    start = agent.request(RUN)
    agent.restart()
    agent.wait(held_ms)
    answer = agent.take_start(start)
    if is_answered:
        agent.deliver(answer)
    else:
        agent.fail_start(start)
    agent.wait(400)
    agent.hear()
    agent.poll_now()
    assert RUN in agent.state.active
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("held_ms", HELD_MS)
def test_lease_of_a_poll_that_a_new_life_takes_counts(
    held_ms: float, rate: float
) -> None:
    """Guards against a run that outlives its own lease by that of a late call.

    A poll of the former incarnation reaches the new one first.
    """
    agent = linked_agent.LinkedAgent(rate)
    directives = agent.build_directives(1)
    agent.answer_report(agent.report(), directives)
    poll = linked_agent.find_poll(agent.poll_now())
    assert poll.until_ms is not None
    agent.restart()
    agent.wait(held_ms)
    agent.take_poll(poll)
    agent.fail_poll()
    agent.hear()
    agent.poll_now()
    agent.deliver(agent.take_start(agent.request(RUN)))
    assert agent.state.active[RUN].state is executor.LocalState.RUNNING
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("is_heard", [True, False])
@pytest.mark.parametrize("late_ms", [100, 5000, 11_900])
def test_start_without_answer_may_begin_late_out_of_reach(
    late_ms: float, is_heard: bool
) -> None:
    """Guards against a run that begins on an incarnation out of reach.

    No poll reaches the incarnation that takes the start.
    """
    agent = linked_agent.LinkedAgent(0.98)
    start = agent.request(RUN)
    sent_ms = agent.read_ms()
    agent.restart()
    agent.fail_start(start)
    if is_heard:
        agent.hear()
    while agent.read_ms() < sent_ms + late_ms:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
        assert not linked_agent.is_counted_as_ended(agent.report(), RUN)
    agent.take_start(start)
    agent.measure_cut(RUN, LIMIT_MS - late_ms)


def test_confirmed_run_of_a_silent_worker_ends_with_its_lease() -> None:
    """Guards against tasks that wait longer than need be.

    A start that was answered is not carried out again, so only the lease of
    the former incarnation counts.
    """
    agent = linked_agent.LinkedAgent(0.98)
    agent.deliver(agent.take_start(agent.request(RUN)))
    assert agent.measure_cut(RUN, LIMIT_MS) <= lone_agent.GRANT_MS + 500


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_late_notice_of_departure_does_not_end_runs(is_confirmed: bool) -> None:
    """Guards against a departure of a former incarnation taken for proof.

    The notice names the worker only. It arrives after the new incarnation was
    polled, and the worker is cut off then.
    """
    agent = linked_agent.LinkedAgent()
    agent.restart()
    agent.hear()
    agent.poll_now()
    start = agent.request(RUN)
    answer = agent.take_start(start)
    if is_confirmed:
        agent.deliver(answer)
    else:
        agent.fail_start(start)
    agent.deliver(events.WorkerLeft(agent.worker.name))
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("late_ms", [100, 5000, 11_900])
def test_start_of_a_former_process_may_begin_late(late_ms: float) -> None:
    """Guards against an agent that counts from its own start only.

    The former process of the agent sent a start, which a new incarnation takes
    when the next process runs. No poll reaches that incarnation.
    """
    start = linked_agent.LinkedAgent(0.98).request(RUN)
    agent = linked_agent.LinkedAgent(0.98, age_ms=0)
    agent.restart()
    agent.wait(late_ms)
    agent.take_start(start)
    agent.measure_cut(RUN, LIMIT_MS)


@pytest.mark.parametrize("way", ["requested", "waiting", "not sent"])
@pytest.mark.parametrize("late_ms", [100, 11_900])
def test_run_of_a_former_process_is_not_refused_out_of_reach(
    late_ms: float, way: str
) -> None:
    """Guards against a refusal as proof that a run never begins.

    The former process of the agent sent a start. The next one, which the holder
    asks for the same run, does not reach the worker, whose next incarnation
    takes the start of the former one.
    """
    start = linked_agent.LinkedAgent(0.98).request(RUN)
    agent = linked_agent.LinkedAgent(0.98, age_ms=0)
    began_ms = agent.read_ms()
    if way == "requested":
        agent.fail_poll()
    directives = agent.build_directives(agent.state.sequence + 1, (RUN,))
    agent.answer_report(agent.report(), directives)
    if way != "requested":
        agent.deliver(
            events.CommandAnswered(
                start.worker.incarnation,
                events.CommandKind.START,
                RUN,
                agent.state.fence,
                events.CommandResult.LATE
                if way == "waiting"
                else events.CommandResult.NOT_SENT,
            )
        )
    agent.restart()
    while agent.read_ms() < began_ms + late_ms:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
        report = agent.report()
        assert not linked_agent.is_counted_as_ended(report, RUN)
        assert RUN not in {row.ref for row in report.refused}
    agent.take_start(start)
    agent.measure_cut(RUN, LIMIT_MS)
    assert not agent.worker.running


def test_refused_run_of_this_process_is_placed_at_once() -> None:
    """Guards against tasks that wait for starts that nobody has sent."""
    agent = linked_agent.LinkedAgent()
    directives = agent.build_directives(agent.state.sequence + 1)
    agent.answer_report(agent.report(), directives)
    agent.fail_poll()
    agent.push(agent.build_directives(agent.state.sequence + 1, (RUN,)))
    assert RUN in agent.state.refused


# Starts that are sent again.


def list_starts(emitted: base_effects.Effects) -> list[effects.StartRun]:
    return [e for e in emitted if isinstance(e, effects.StartRun)]


def test_start_without_answer_is_sent_again_to_the_same_worker() -> None:
    """Guards against a second worker for a task whose start may be late.

    Each list that lacks the run lets the same run be sent once more, with a
    higher fence, a few times. After that it is held: it is not refused, and its
    task is placed nowhere else, until a list was asked for when the last start
    can't be carried out any more.
    """
    agent = linked_agent.LinkedAgent()
    start = agent.request(RUN)
    for _ in range(executor.MAX_REPEATED_STARTS):
        agent.fail_start(start)
        (later,) = list_starts(agent.poll_now())
        assert later.command.ref == RUN
        assert later.fence > start.fence
        assert RUN not in agent.state.refused
        start = later
    agent.fail_start(start)
    failed_ms = agent.read_ms()
    while agent.read_ms() < failed_ms + MAX_CALL_DELAY_MS - 100:
        assert not list_starts(agent.poll_now())
        assert RUN not in agent.state.refused
        assert RUN in {row.ref for row in agent.report().rows}
        agent.wait(linked_agent.STEP_MS)
    agent.wait(100)
    agent.poll_now()
    assert RUN in agent.state.refused


@pytest.mark.parametrize("is_heard", [True, False])
@pytest.mark.parametrize("late_ms", [2000, 11_900])
def test_first_of_two_starts_may_begin_after_a_restart(
    late_ms: float, is_heard: bool
) -> None:
    """Guards against the confirmed start as proof for the one before it.

    The first start has no answer and is late, the second is confirmed. Then the
    worker restarts, and its next incarnation takes the first.
    """
    agent = linked_agent.LinkedAgent(0.98)
    first = agent.request(RUN)
    sent_ms = agent.read_ms()
    agent.wait(1000)
    agent.fail_start(first)
    (second,) = list_starts(agent.poll_now())
    agent.deliver(agent.take_start(second))
    assert agent.state.active[RUN].state is executor.LocalState.RUNNING
    agent.restart()
    if is_heard:
        agent.hear()
    while agent.read_ms() < sent_ms + late_ms:
        agent.wait(linked_agent.STEP_MS)
        agent.fail_poll()
        report = agent.report()
        assert not linked_agent.is_counted_as_ended(report, RUN)
        assert RUN not in {row.ref for row in report.refused}
    agent.take_start(first)
    agent.measure_cut(RUN, LIMIT_MS)


def test_first_of_two_starts_is_found_as_the_same_run() -> None:
    """Guards against a run that is placed elsewhere and goes on here."""
    agent = linked_agent.LinkedAgent()
    first = agent.request(RUN)
    agent.fail_start(first)
    (second,) = list_starts(agent.poll_now())
    agent.deliver(agent.take_start(second))
    agent.restart()
    agent.take_start(first)
    agent.hear()
    agent.poll_now()
    report = agent.report()
    assert [row.ref for row in report.rows] == [RUN]
    assert not report.refused


def build_end(number: int, ref: runs.RunRef) -> runs.EndRow:
    return runs.EndRow(runs.EndNumber(number), ref, runs.RunEnd.DONE)


def acknowledge(agent: linked_agent.LinkedAgent, ref: runs.RunRef) -> None:
    """Lets a run end, and the holder store its end."""
    agent.worker.end_run(agent.worker.running[ref.task], runs.RunEnd.DONE)
    agent.poll_now()
    directives = msgspec.structs.replace(
        agent.build_directives(agent.state.sequence + 1),
        acknowledged=runs.EndNumber(agent.worker.last_end),
    )
    agent.answer_report(agent.report(), directives)


def run_and_acknowledge(agent: linked_agent.LinkedAgent) -> None:
    agent.deliver(agent.take_start(agent.request(OTHER)))
    acknowledge(agent, OTHER)


def test_end_is_acknowledged_once() -> None:
    """Guards against acknowledgements under way without need."""
    agent = linked_agent.LinkedAgent()
    run_and_acknowledge(agent)
    poll = linked_agent.find_poll(agent.poll_now())
    assert poll.acknowledged == agent.worker.last_end
    emitted = agent.deliver(agent.take_poll(poll))
    assert agent.worker.ends == []
    assert linked_agent.find_poll(emitted).acknowledged == 0


def test_lost_acknowledgement_is_sent_again() -> None:
    """Guards against ends that the worker lists for good."""
    agent = linked_agent.LinkedAgent()
    run_and_acknowledge(agent)
    agent.fail_poll()
    poll = linked_agent.find_poll(agent.poll_now())
    assert poll.acknowledged == agent.worker.last_end


@pytest.mark.parametrize("is_doubtful", [True, False])
def test_end_of_a_misdirected_start_is_not_acknowledged_unseen(
    is_doubtful: bool,
) -> None:
    """Guards against a done run that is started again.

    The worker restarts. Its new incarnation takes a start and then a poll of
    the former one, whose acknowledgement is higher than the number of its end.
    """
    agent = linked_agent.LinkedAgent()
    run_and_acknowledge(agent)
    start = agent.request(RUN)
    if is_doubtful:
        agent.fail_start(start)
    # The answer to a poll that was sent before the start.
    poll = linked_agent.find_poll(agent.poll_now(start.fence))
    agent.restart()
    agent.take_start(start)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.take_poll(poll)
    agent.hear()
    agent.poll_now()
    assert [end.ref for end in agent.state.ends.values()] == [RUN]


def test_late_acknowledgement_reaches_no_end_of_a_later_start() -> None:
    """Guards against an acknowledgement that is older than a start.

    Both get no answer, and the new incarnation takes the start first.
    """
    agent = linked_agent.LinkedAgent()
    run_and_acknowledge(agent)
    poll = linked_agent.find_poll(agent.poll_now())
    assert poll.acknowledged
    start = agent.request(RUN)
    agent.restart()
    agent.take_start(start)
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.take_poll(poll)
    agent.hear()
    agent.poll_now()
    assert [end.ref for end in agent.state.ends.values()] == [RUN]


def test_start_that_another_life_has_answered_is_not_acknowledged() -> None:
    """Guards against trust in an answer of which no call says whose it is.

    The clock in the answer does not fit the incarnation that is known. The
    answer to a poll that was sent before does not speak for it.
    """
    agent = linked_agent.LinkedAgent()
    run_and_acknowledge(agent)
    start = agent.request(RUN)
    earlier = agent.take_poll(agent.build_poll())
    agent.restart()
    agent.deliver(agent.take_start(start))
    agent.worker.end_run(agent.worker.running[RUN.task], runs.RunEnd.DONE)
    agent.take_poll(linked_agent.find_poll(agent.deliver(earlier)))
    agent.hear()
    agent.poll_now()
    assert [end.ref for end in agent.state.ends.values()] == [RUN]
