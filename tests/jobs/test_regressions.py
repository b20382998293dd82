"""Faults that hunts and reviews found, as fixed cases without network."""

from gypsumhold.decisions.jobs import lifecycle
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    messages,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from tests.jobs import world as worlds

JOB = specs.JobId("j")


def start_one_job() -> worlds.World:
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", worlds.build_job(JOB, (4, 4)))
    world.run(200)
    return world


def find_holder(world: worlds.World) -> worlds.Node:
    return next(
        node
        for node in world.nodes.values()
        if isinstance(node.state, scheduler.SchedulerState)
        and node.state.role is scheduler.Role.HOLDER
    )


def test_repeated_cancel_is_not_confirmed_before_it_is_stored() -> None:
    """A repeat was answered from memory; the holder then died (UNASKED)."""
    world = start_one_job()
    holder = find_holder(world)
    world.store_down = True
    first = world.ask(holder.name, messages.Question.CANCEL, JOB)
    world.run(800)
    second = world.ask(holder.name, messages.Question.CANCEL, JOB)
    world.run(800)
    assert first not in world.verdicts
    assert second not in world.verdicts
    world.store_down = False
    world.run(2500)
    cancelled = messages.Verdict.CANCELLED
    assert world.verdicts[second].verdict is cancelled
    state = world.store.progress[JOB].state
    assert state is messages.JobState.CANCELLED


def test_conflict_with_the_own_former_row_keeps_the_queue() -> None:
    """The version in an answer may be newer than that of the written row."""
    world = start_one_job()
    holder = find_holder(world)
    assert holder.state.holder_state is not None
    while holder.state.holder_state.in_flight is not None:
        world.run(1)
    term = holder.state.holder_state.term
    holder.state.holder_state.version = ids.RowVersion(10_000)
    world.run(2000)
    assert holder.state.role is scheduler.Role.HOLDER
    assert holder.state.holder_state.term == term
    record = world.store.progress[JOB]
    assert record.state is messages.JobState.RUNNING


def test_unknown_write_is_never_called_not_run() -> None:
    """A try without an answer may be stored later, so 503 would be a lie."""
    world = worlds.World(2)
    world.run(3000)
    world.faults = worlds.Faults(late=1.0)
    ticket = world.submit("entry-0", worlds.build_job(JOB, (1,)))
    world.run(2000)
    world.faults = worlds.Faults(refused=1.0)
    world.run(3000)
    assert world.verdicts[ticket].verdict is messages.Verdict.UNKNOWN


def test_refused_writes_are_called_not_run() -> None:
    """The caller is told at once to come back, and nothing was stored."""
    world = worlds.World(3)
    world.run(3000)
    world.faults = worlds.Faults(refused=1.0)
    ticket = world.submit("entry-1", worlds.build_job(JOB, (1,)))
    world.run(1500)
    answer = world.verdicts[ticket]
    assert answer.verdict is messages.Verdict.UNAVAILABLE
    assert answer.retry_after_s > 0
    assert JOB not in world.store.jobs
    assert storage.JobRows(None) == world.store.read_job(JOB)


def test_waiting_filler_gets_one_run_beside_serving_tasks() -> None:
    """Heavy fillers waited for calm workers that never came (LOST)."""
    world = worlds.World(4, agents=3)
    world.run(3000)
    ordinary = specs.StepSpec(1, 8000, 1000, long_running=True)
    world.submit("entry-0", worlds.build_job_of("o", (ordinary,)))
    world.run(300)
    serving = specs.StepSpec(
        2,
        6000,
        1000,
        long_running=True,
        image="serve",
        target_latency_ms=18,
        max_per_worker=1,
    )
    world.submit("entry-0", worlds.build_job_of("s", (serving,)))
    world.run(1000)
    holder = find_holder(world)
    view = holder.state.holder_state.agents[ids.InstanceId("agent-0")]
    pair = runs.ImagePair(specs.Image("serve"), specs.Image("heavy"))
    view.interference_sums[pair] = runs.InterferenceSums(pair, -5000.0, 1000.0)
    filler = specs.StepSpec(
        4, 4000, 1000, estimate_ms=1000, image="heavy", fills=True
    )
    world.submit("entry-0", worlds.build_job_of(JOB, (filler,)))
    world.run(3000)
    started = [
        line.subject
        for _, _, line in world.lines
        if line.decision == "start" and line.outcome == "started"
    ]
    assert JOB in started


def test_agent_whose_clock_went_back_is_heard_again() -> None:
    """Its new life had a lower number, so its reports were taken as old."""
    world = start_one_job()
    holder = find_holder(world)
    world.wall_skew_ms = -60_000
    world.kill("agent-0", 300)
    world.run(6000)
    view = holder.state.holder_state.agents[ids.InstanceId("agent-0")]
    assert (
        view.report.incarnation
        == world.nodes["agent-0"].state.options.incarnation
    )


def test_entry_cut_off_from_the_store_passes_jobs_on() -> None:
    """A store that refuses some entries cost their callers whole retries."""
    world = worlds.World(9)
    world.run(3000)
    holder = find_holder(world)
    other = next(
        node
        for node in world.nodes.values()
        if node.name.startswith("entry") and node is not holder
    )
    other.cut_store = True
    tickets = []
    for number in range(5):
        spec = worlds.build_job(f"j{number}", (1,))
        tickets.append(world.submit(other.name, spec))
        world.run(900)
    accepted = messages.Verdict.ACCEPTED
    assert [world.verdicts[it].verdict for it in tickets] == [accepted] * 5
    assert len(world.store.jobs) == 5
    world.run(6000)
    states = {it.state for it in world.store.progress.values()}
    assert states == {messages.JobState.COMPLETED}


def test_jobs_are_refused_at_once_while_the_store_is_lost() -> None:
    """Callers were held until their deadline though nothing could be stored."""
    world = worlds.World(10)
    world.run(3000)
    world.store_down = True
    world.run(3000)
    tickets = [
        world.submit(name, worlds.build_job(f"j-{name}", (1,)))
        for name in ("entry-0", "entry-1")
    ]
    world.run(100)
    for ticket in tickets:
        answer = world.verdicts[ticket]
        assert answer.verdict is messages.Verdict.UNAVAILABLE
        assert answer.retry_after_s > 0
    world.store_down = False
    world.run(20_000)
    assert not world.store.jobs


def test_hopeless_jobs_in_front_do_not_hold_back_the_others() -> None:
    """A plan ended after forty tasks without room, so later jobs never ran."""
    world = worlds.World(12)
    world.run(3000)
    hopeless = specs.StepSpec(1, 1000, 100, estimate_ms=500, label="none")
    for number in range(60):
        spec = worlds.build_job_of(f"h{number:02}", (hopeless,))
        world.submit("entry-0", spec)
    world.run(1000)
    world.submit("entry-0", worlds.build_job(JOB, (1,)))
    world.run(2800)
    started = {
        line.subject
        for _, _, line in world.lines
        if line.decision == "start" and line.outcome == "started"
    }
    assert JOB in started


def test_done_end_counts_for_a_task_that_waits_again() -> None:
    """The holder had given the run up, and did not believe its end."""
    world = start_one_job()
    holding = find_holder(world).state.holder_state
    view = next(view for view in holding.agents.values() if view.placed)
    ref, placed = next(iter(view.placed.items()))
    run = placed.task.run
    lifecycle.release_task(holding, ref, placed)
    end = runs.EndRow(
        runs.EndNumber(99), runs.RunRef(ref, run), runs.RunEnd.DONE
    )
    lifecycle.handle_run_end(holding, view, end, world.read_clock())
    assert placed.task.state is records.TaskState.DONE


def test_done_end_of_a_former_run_stops_the_present_one() -> None:
    """Work that was done already went on elsewhere."""
    world = start_one_job()
    holding = find_holder(world).state.holder_state
    views = [view for view in holding.agents.values() if view.placed]
    ref, placed = next(iter(views[0].placed.items()))
    placed.task.run = runs.RunNumber(2)
    end = runs.EndRow(
        runs.EndNumber(99),
        runs.RunRef(ref, runs.RunNumber(1)),
        runs.RunEnd.DONE,
    )
    lifecycle.handle_run_end(holding, views[-1], end, world.read_clock())
    assert placed.task.state is records.TaskState.DONE
    assert ref not in views[0].placed
