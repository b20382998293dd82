"""Guards against starts in a data centre that is evacuated, and lost jobs."""

import dataclasses
import datetime

import msgspec
import pytest

from gypsumhold.adapters import failure_events
from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import (
    directives,
    received_evacuations,
    report_timers,
)
from gypsumhold.decisions.jobs import evacuations as decisions
from gypsumhold.model import events as base_events
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    effects,
    evacuations,
    events,
    executor,
    messages,
    runs,
    scheduler,
    scheduler_options,
    sent_starts,
    specs,
)
from gypsumhold.model.jobs.evacuations import Knowledge
from gypsumhold.platform import documents, evacuation_rows
from tests.jobs import builders, job_specs, lone_agent
from tests.jobs import world as worlds

BOUND = datetime.timedelta(seconds=5)
NEAR, FAR = "near", "far"
NOW = datetime.timedelta(seconds=10)
RUN = runs.RunRef(runs.TaskRef(specs.JobId("job"), 0, 0, 0), runs.RunNumber(1))


def build_world(seed: int = 1) -> worlds.World:
    """Returns a world with two workers in each of two data centres."""
    world = worlds.World(seed, agents=4, evacuation_time=BOUND)
    for number, worker in enumerate(world.workers.values()):
        worker.zone = NEAR if number < 2 else FAR
    return world


def evacuate(
    world: worlds.World, name: str, *, is_evacuated: bool = True
) -> None:
    world.store.evacuate(name, is_evacuated=is_evacuated)
    if is_evacuated:
        world.oracle.evacuated_ms.setdefault(name, world.now_ms)
    else:
        world.oracle.evacuated_ms.pop(name, None)


def submit_repeatedly(world: worlds.World, until_ms: float) -> None:
    """Submits small jobs, each 200 ms; every fourth one is a gang."""
    count = int((until_ms - world.now_ms) / 200)
    for number in range(count):
        spec = job_specs.build_job(f"j{number}", (2, 1))
        if number % 4 == 0:
            gang = specs.StepSpec(3, 1000, 1000, estimate_ms=1000, gang=True)
            spec = job_specs.build_job_of(f"j{number}", (gang,))
        entry = f"entry-{number % 2}"
        world.after(
            200.0 * number,
            lambda entry=entry, spec=spec: world.submit(entry, spec),
        )


def count_starts(world: worlds.World, name: str) -> int:
    return sum(
        len(worker.highest_runs)
        for worker in world.workers.values()
        if worker.zone == name
    )


def list_logged(world: worlds.World, decision: str) -> list[tuple[str, str]]:
    return [
        (log.subject, log.outcome)
        for _, _, log in world.log_lines
        if log.decision == decision
    ]


def test_evacuated_data_centre_gets_nothing_until_it_is_taken_back() -> None:
    world = build_world()
    submit_repeatedly(world, 24_000)
    world.run(6000)
    evacuate(world, NEAR)
    world.run(5000)
    before = count_starts(world, NEAR)
    assert before
    world.run(5000)
    assert count_starts(world, NEAR) == before
    evacuate(world, NEAR, is_evacuated=False)
    world.run(6000)
    assert count_starts(world, NEAR) > before
    logged = list_logged(world, "evacuation")
    assert {(NEAR, "in force"), (NEAR, "taken back")} <= set(logged)


def test_jobs_wait_with_a_reason_while_all_is_evacuated() -> None:
    world = build_world()
    world.run(3000)
    evacuate(world, NEAR)
    evacuate(world, FAR)
    world.run(2500)
    world.submit("entry-0", job_specs.build_job("j", (2,)))
    world.run(8000)
    assert not world.oracle.started
    stages = {
        dict(log.inputs).get("stage")
        for _, _, log in world.log_lines
        if log.subject == "j"
    }
    assert "evacuation" in stages
    evacuate(world, FAR, is_evacuated=False)
    world.run(4000)
    assert count_starts(world, FAR) == 2
    assert not count_starts(world, NEAR)


def test_new_holder_places_nothing_before_it_has_read_the_rows() -> None:
    """Guards against a holder that knows less than its predecessor did."""
    world = build_world()
    world.scripted_faults[effects.ReadEvacuations] = ["refused"] * 40
    world.run(1000)
    world.submit("entry-0", job_specs.build_job("j", (2,)))
    world.run(3000)
    assert world.store.jobs
    assert not world.oracle.started
    world.scripted_faults[effects.ReadEvacuations].clear()
    world.run(3000)
    assert len(world.oracle.started) == 2


def inject_faults(world: worlds.World, until_ms: float) -> None:
    """Injects faults that excuse no start, one each second or so.

    Entries are killed, paused, or cut off, some from the operator's rows only;
    agents are killed or cut off from
    the other processes.
    """
    while world.now_ms < until_ms:
        world.run(world.random.uniform(300, 1500))
        name = world.random.choice(list(world.nodes))
        node = world.nodes[name]
        faults = ["kill", "cut"]
        if name.startswith("entry"):
            faults += ["freeze", "cut_store", "cut_config"]
        fault = world.random.choice(faults)
        duration_ms = world.random.uniform(500, 7000)
        if fault == "kill":
            world.kill(name, world.random.uniform(200, 3000))
        elif fault == "freeze":
            world.freeze(name, duration_ms)
        else:
            setattr(node, fault, True)
            world.after(
                duration_ms,
                lambda node=node, fault=fault: setattr(node, fault, False),
            )


@pytest.mark.parametrize("seed", range(24))
def test_evacuations_are_obeyed_under_faults(seed: int) -> None:
    """Guards against starts by a holder, or an agent, that knows less.

    The holder may die between reading a request and obeying it, a former one
    may have directives under way, an agent may have a start that it has not
    sent, and a request may be taken back while tasks are moved.
    """
    world = build_world(seed)
    world.delivers_to_frozen = bool(seed % 2)
    submit_repeatedly(world, 30_000)
    for at_ms, name, is_evacuated in (
        (5000, NEAR, True),
        (14_000, NEAR, False),
        (14_500, FAR, True),
        (15_000, NEAR, True),
        (16_000, NEAR, False),
        (25_000, FAR, False),
    ):
        world.after(
            at_ms,
            lambda name=name, is_evacuated=is_evacuated: evacuate(
                world, name, is_evacuated=is_evacuated
            ),
        )
    inject_faults(world, 28_000)
    world.run(40_000)
    for job_id in world.store.jobs:
        record = world.store.progress.get(job_id)
        assert record is not None, job_id
        assert record.state is messages.JobState.COMPLETED, job_id


def cut_config(world: worlds.World, *, is_cut: bool) -> None:
    for name, node in world.nodes.items():
        node.cut_config = is_cut and name.startswith("entry")


@pytest.mark.parametrize("cut_before_ms", [0, 900, 2000])
def test_holder_without_the_rows_lets_nothing_start(
    cut_before_ms: float,
) -> None:
    """Guards against starts while only the reads of the rows fail.

    The holder goes on storing batches, so it places tasks and answers reports.
    """
    world = build_world()
    submit_repeatedly(world, 24_000)
    world.run(6000)
    cut_config(world, is_cut=True)
    world.run(cut_before_ms)
    evacuate(world, NEAR)
    world.run(5000)
    before = count_starts(world, NEAR)
    assert before
    world.run(6000)
    assert count_starts(world, NEAR) == before
    elsewhere = count_starts(world, FAR)
    cut_config(world, is_cut=False)
    world.run(4000)
    assert count_starts(world, NEAR) == before
    assert count_starts(world, FAR) > elsewhere


def test_one_failed_read_of_the_rows_holds_no_start() -> None:
    """Guards against jobs that wait for a notice after a single failure."""
    world = build_world()
    world.run(6000)
    submit_repeatedly(world, 12_000)
    world.run(1000)
    cut_config(world, is_cut=True)
    world.run(1100)
    cut_config(world, is_cut=False)
    world.run(10_000)
    assert not [
        log
        for _, _, log in world.log_lines
        if ("reason", executor.HoldReason.EVACUATION_UNKNOWN.value)
        in log.inputs
    ]


# The rows.


def build_row(
    name: str, *, deleted: bool = False, part: str = ""
) -> documents.Row:
    key = f"evacuate/{name}"
    return documents.Row("op", key, 7, part, b"\xff{", deleted=deleted)


def test_rows_count_by_their_key_whatever_their_value() -> None:
    """Guards against an odd row that hides others, or that requests nothing."""
    rows = (
        documents.Row("op", "config", 1, "", b"{}"),
        build_row("a"),
        build_row("b"),
        build_row("b", deleted=True),
        build_row(""),
        build_row("c", part="other"),
        documents.Row("op", "evacuated/d", 1),
    )
    changes = evacuation_rows.find_changes(rows, ids.RowVersion(9))
    assert changes.evacuated == {"a": True, "b": False}


# The holder.


def build_holder() -> scheduler.SchedulerState:
    state = builders.build_holder(NOW)
    state.options = scheduler_options.SchedulerOptions(
        "entry",
        ids.Incarnation(1),
        messages.Endpoint("10.0.0.1", 1000),
        evacuation_time=BOUND,
    )
    state.evacuations_known_at = NOW
    return state


def build_changes(
    version: int, *, is_complete: bool = False, **evacuated: bool
) -> evacuations.EvacuationChanges:
    return evacuations.EvacuationChanges(
        ids.RowVersion(version),
        {ids.DataCentre(name): on for name, on in evacuated.items()},
        is_complete,
    )


def read_names(state: scheduler.SchedulerState) -> tuple[str, ...]:
    assert state.known_evacuations is not None
    return state.known_evacuations.data_centres


def build_notice(
    state: scheduler.SchedulerState, now: datetime.timedelta
) -> evacuations.Evacuations | None:
    assert state.holder_state is not None
    may_grant = directives.may_grant(state, state.holder_state, now)
    return decisions.build_notice(
        state, state.holder_state, now, may_grant=may_grant
    )


def test_older_read_changes_nothing() -> None:
    """Guards against a slow read that brings back what was taken back."""
    state = build_holder()
    decisions.apply_changes(state, build_changes(5, is_complete=True, a=True))
    decisions.apply_changes(state, build_changes(8, a=False, b=True))
    decisions.apply_changes(state, build_changes(6, is_complete=True, a=True))
    assert read_names(state) == ("b",)


def test_gap_in_the_history_reads_all_rows() -> None:
    """Guards against a request, or its end, that is in the lost history."""
    state = build_holder()
    decisions.apply_changes(state, build_changes(5, a=True, b=True))
    gap = events.ConfigRead(None, ids.RowVersion(0), events.ReadResult.GAP)
    emitted = reducer.reduce(state, gap, NOW)
    assert effects.FollowConfig(ids.RowVersion(0)) in emitted
    assert read_names(state) == ("a", "b")
    read = events.ConfigRead(
        None,
        ids.RowVersion(9),
        events.ReadResult.DONE,
        build_changes(9, is_complete=True, b=True, c=True),
    )
    reducer.reduce(state, read, NOW)
    assert read_names(state) == ("b", "c")


def test_silent_store_is_asked_again_and_nothing_is_placed() -> None:
    """Guards against a new holder that places before it has read the rows."""
    state = build_holder()
    holder_state = state.holder_state
    assert holder_state is not None
    (read,) = decisions.begin_term(state, holder_state, NOW)
    failure = failure_events.build_failure_event(read, started=True)
    assert failure is not None
    emitted = reducer.reduce(state, failure, NOW)
    reads = [
        item for item in emitted if isinstance(item, effects.ReadEvacuations)
    ]
    assert [item.delay for item in reads] == [decisions.READ_RETRY_DELAY]
    assert holder_state.evacuation_knowledge is Knowledge.UNREAD
    assert build_notice(state, NOW) is None
    changes = build_changes(5, is_complete=True, a=True)
    reducer.reduce(
        state,
        events.EvacuationsRead(holder_state.term, reads[0].asked_at, changes),
        NOW,
    )
    notice = build_notice(state, NOW)
    assert notice is not None
    assert notice.data_centres == ("a",)


def test_holder_without_stored_batches_confirms_nothing() -> None:
    """Guards against answers of a paused holder that has missed a request."""
    state = build_holder()
    holder_state = state.holder_state
    assert holder_state is not None
    decisions.apply_changes(state, build_changes(5, is_complete=True))
    assert build_notice(state, NOW) is not None
    window = state.options.grant_window
    assert build_notice(state, NOW + window) is None
    state.evacuations_known_at = NOW + window
    assert build_notice(state, NOW + window) is None
    assert not decisions.read_after_gap(state, holder_state, window, NOW)
    assert decisions.read_after_gap(state, holder_state, window * 1.1, NOW)
    assert build_notice(state, NOW) is None


def answer_read(
    state: scheduler.SchedulerState,
    read: effects.ReadEvacuations,
    changes: evacuations.EvacuationChanges | None,
) -> list[effects.ReadEvacuations]:
    """Answers a read; returns those that follow."""
    answer = events.EvacuationsRead(read.term, read.asked_at, changes)
    emitted = reducer.reduce(state, answer, read.asked_at)
    return [
        item for item in emitted if isinstance(item, effects.ReadEvacuations)
    ]


@pytest.mark.parametrize(
    "knowledge", [Knowledge.UNREAD, Knowledge.CURRENT, Knowledge.IN_DOUBT]
)
@pytest.mark.parametrize("fails", [False, True])
def test_read_from_before_a_gap_does_not_end_the_doubt(
    knowledge: Knowledge, *, fails: bool
) -> None:
    """Guards against an old answer that is taken for what is in force."""
    state = build_holder()
    holder_state = state.holder_state
    assert holder_state is not None
    (old,) = decisions.begin_term(state, holder_state, NOW)
    assert isinstance(old, effects.ReadEvacuations)
    holder_state.evacuation_knowledge = knowledge
    later = NOW + datetime.timedelta(seconds=9)
    gap = 2 * state.options.grant_window
    (new,) = decisions.read_after_gap(state, holder_state, gap, later)
    assert isinstance(new, effects.ReadEvacuations)
    doubt = holder_state.evacuation_knowledge
    assert doubt is not Knowledge.CURRENT
    old_changes = None if fails else build_changes(5, is_complete=True)
    assert not answer_read(state, old, old_changes)
    assert holder_state.evacuation_knowledge is doubt
    (retry,) = answer_read(state, new, None)
    assert not answer_read(
        state, retry, build_changes(9, is_complete=True, a=True)
    )
    assert holder_state.evacuation_knowledge is Knowledge.CURRENT
    assert read_names(state) == ("a",)


def test_notice_ends_with_the_age_of_the_latest_read() -> None:
    """Guards against a notice that is current by its batches only.

    A read that was sent before a request may be answered after it, so the age
    counts from when the read was sent.
    """
    state = build_holder()
    holder_state = state.holder_state
    assert holder_state is not None
    sent_at, answered_at = NOW, NOW + datetime.timedelta(seconds=1)
    state.config_asked_at = sent_at
    read = events.ConfigRead(
        None,
        ids.RowVersion(9),
        events.ReadResult.DONE,
        build_changes(9, is_complete=True),
    )
    reducer.reduce(state, read, answered_at)
    failed = events.ConfigRead(
        None, ids.RowVersion(9), events.ReadResult.FAILED
    )
    reducer.reduce(state, failed, answered_at)
    end = sent_at + received_evacuations.HOLDER_DELAY
    holder_state.renewed_at = end
    assert build_notice(state, end - lone_agent.MILLISECOND) is not None
    assert build_notice(state, end) is None
    state.options = dataclasses.replace(state.options, evacuation_time=None)
    assert build_notice(state, end) is not None


# The agent.


def build_agent() -> lone_agent.LoneAgent:
    agent = lone_agent.LoneAgent()
    agent.state.options = executor.ExecutorOptions(
        ids.InstanceId("agent"),
        ids.Incarnation(1000),
        messages.Endpoint("10.0.0.1", 1),
        evacuation_time=BOUND,
    )
    return agent


def receive(
    agent: lone_agent.LoneAgent, version: int, *names: str, answers: bool = True
) -> None:
    notice = evacuations.Evacuations(
        ids.RowVersion(version), tuple(map(ids.DataCentre, names))
    )
    sent_at = agent.now if answers else None
    received_evacuations.receive(agent.state, notice, sent_at)


def test_agent_refuses_what_it_has_not_started() -> None:
    """Guards against a start that was ordered before the request."""
    agent = build_agent()
    agent.direct()
    agent.direct(starts=(RUN,))
    assert agent.state.active[RUN].state is executor.LocalState.WAITING
    receive(agent, 5, "zone")
    agent.deliver(base_events.TimerFired(report_timers.REPORT_TIMER))
    directives = agent.build_directives(agent.state.sequence + 1, (RUN,))
    emitted = agent.answer_report(agent.report(), directives)
    logged = [
        (item.subject, item.outcome)
        for item in emitted
        if isinstance(item, effects.Log)
    ]
    assert (RUN.task.job_id, "refused: evacuated") in logged
    assert RUN in agent.state.refused


def test_refusal_can_be_decoded_by_a_former_holder() -> None:
    """Guards against a report with a reason that former versions don't know.

    Such a holder could not read the whole report.
    """
    agent = build_agent()
    agent.direct()
    agent.direct(starts=(RUN,))
    receive(agent, 5, "zone")
    agent.direct()
    (refused,) = agent.report().refused
    assert refused.ref == RUN
    assert refused.reason is runs.Refusal.NO_CAPACITY


def test_agent_keeps_the_newest_of_two_holders() -> None:
    """Guards against a late message of a former holder that ends a request."""
    agent = build_agent()
    receive(agent, 5, "zone")
    receive(agent, 4)
    assert received_evacuations.is_evacuated(agent.state)
    receive(agent, 6)
    assert not received_evacuations.is_evacuated(agent.state)


def test_agent_that_hears_of_no_evacuations_starts_nothing() -> None:
    """Guards against a start while a request may be in force unheard."""
    agent = build_agent()
    agent.direct(starts=(RUN,))
    held = agent.state.active[RUN]
    assert held.hold is executor.HoldReason.EVACUATION_UNKNOWN
    receive(agent, 5, answers=False)
    assert received_evacuations.is_outdated(agent.state, agent.now)
    receive(agent, 5)
    agent.direct(starts=(RUN,))
    assert held.state is executor.LocalState.STARTING
    validity = BOUND - received_evacuations.HOLDER_DELAY
    assert received_evacuations.is_outdated(agent.state, agent.now + validity)


def test_run_that_may_begin_late_is_held_in_an_evacuated_data_centre() -> None:
    """Guards against a refusal while a start without an answer may come."""
    agent = build_agent()
    receive(agent, 5)
    agent.direct(starts=(RUN,))
    local_run = agent.state.active[RUN]
    local_run.state = executor.LocalState.WAITING
    add_open_start(agent, local_run)
    receive(agent, 6, "zone")
    agent.direct(starts=(RUN,))
    assert local_run.hold is executor.HoldReason.EARLIER_START
    assert not agent.state.refused


def test_start_of_a_former_process_is_held_until_it_cannot_begin() -> None:
    """Guards against a refusal while a former process's start may come.

    The first answer brings the run again, with the notice. A next incarnation
    of the worker may take the start that the former process sent.
    """
    agent = build_agent()
    receive(agent, 6, "zone")
    agent.direct(starts=(RUN,))
    local_run = agent.state.active[RUN]
    assert local_run.withheld_refusal is runs.Refusal.EVACUATED
    assert local_run.hold is executor.HoldReason.EARLIER_START
    agent.wait(measure_late_ms(agent, local_run))
    agent.poll()
    assert not agent.state.refused
    agent.wait(2)
    agent.poll()
    assert RUN in agent.state.refused


def add_open_start(
    agent: lone_agent.LoneAgent, local_run: executor.LocalRun
) -> None:
    """Lets a start of a run be without an answer, and sent just now."""
    agent.state.open_starts[local_run.ref] = sent_starts.OpenStarts(
        local_run.command,
        unanswered=1,
        taken_until=agent.now + datetime.timedelta(seconds=12),
    )


def measure_late_ms(
    agent: lone_agent.LoneAgent, local_run: executor.LocalRun
) -> float:
    """Returns the time after which a poll still finds that a run may begin."""
    end = agent.state.open_starts[local_run.ref].taken_until
    return (end - agent.now) / lone_agent.MILLISECOND - 4


def hold_repeated_run(agent: lone_agent.LoneAgent) -> executor.LocalRun:
    """Returns a run that waits to be sent again after no answer came."""
    agent.direct()
    receive(agent, 5)
    agent.direct(starts=(RUN,))
    local_run = agent.state.active[RUN]
    local_run.state = executor.LocalState.WAITING
    add_open_start(agent, local_run)
    return local_run


@pytest.mark.parametrize("order", ["stops", "withdrawn"])
@pytest.mark.parametrize("is_evacuated", [False, True])
def test_stopped_run_is_held_until_it_cannot_begin(
    order: str, *, is_evacuated: bool
) -> None:
    """Guards against a stop that counts as proof that a run never begins."""
    agent = build_agent()
    local_run = hold_repeated_run(agent)
    if is_evacuated:
        receive(agent, 6, "zone")
        agent.direct()
        assert local_run.hold is executor.HoldReason.EARLIER_START
    for _ in range(2):
        directives = agent.build_directives(
            agent.state.sequence + 1, **{order: (RUN,)}
        )
        emitted = agent.answer_report(agent.report(), directives)
        assert not any(isinstance(item, effects.StartRun) for item in emitted)
        assert not agent.state.refused
    assert local_run.hold is executor.HoldReason.EARLIER_START
    agent.wait(measure_late_ms(agent, local_run))
    agent.poll()
    assert not agent.state.refused
    agent.wait(2)
    agent.poll()
    assert agent.state.refused == {RUN: runs.Refusal.STALE}


def test_run_that_may_begin_late_is_held_while_the_worker_drains() -> None:
    """Guards against a refusal for a drain while a start may come."""
    agent = build_agent()
    local_run = hold_repeated_run(agent)
    assert agent.state.worker is not None
    agent.state.worker = msgspec.structs.replace(
        agent.state.worker, state=runs.WorkerState.DRAINING
    )
    agent.poll()
    assert local_run.hold is executor.HoldReason.EARLIER_START
    agent.wait(measure_late_ms(agent, local_run))
    agent.poll()
    assert not agent.state.refused
    agent.wait(2)
    agent.poll()
    assert agent.state.refused == {RUN: runs.Refusal.DRAINING}
