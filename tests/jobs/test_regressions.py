"""Regression tests of faults that random searches and reviews found."""

from gypsumhold.decisions.jobs import lifecycle, progress_records, run_ends
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    messages,
    records,
    runs,
    scheduler,
    specs,
    storage,
)
from tests.jobs import job_specs, nodes
from tests.jobs import world as worlds

JOB = specs.JobId("j")


def start_one_job() -> worlds.World:
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", job_specs.build_job(JOB, (4, 4)))
    world.run(200)
    return world


def find_holder(world: worlds.World) -> nodes.Node:
    return next(
        node
        for node in world.nodes.values()
        if isinstance(node.state, scheduler.SchedulerState)
        and node.state.role is scheduler.Role.HOLDER
    )


def test_repeated_cancel_is_not_confirmed_before_it_is_stored() -> None:
    """Guards against a cancellation that is lost with the holder.

    A repeated request was confirmed from memory before the cancellation was
    stored, and the holder then died (rule UNASKED).
    """
    world = start_one_job()
    holder = find_holder(world)
    world.store_down = True
    first = world.send_query(holder.name, messages.QueryKind.CANCEL, JOB)
    world.run(800)
    second = world.send_query(holder.name, messages.QueryKind.CANCEL, JOB)
    world.run(800)
    assert first not in world.verdicts
    assert second not in world.verdicts
    world.store_down = False
    world.run(2500)
    cancelled = messages.Verdict.CANCELLED
    assert world.verdicts[second].verdict is cancelled
    state = world.store.progress[JOB].state
    assert state is messages.JobState.CANCELLED


def test_conflict_with_its_own_row_keeps_the_holder() -> None:
    """Guards against a holder that releases the queue needlessly.

    The version in an answer may be newer than that of the written row, so a
    conflict with the holder's own former row does not mean that another entry
    has taken the queue.
    """
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


def test_write_without_answer_is_reported_as_unknown() -> None:
    """Guards against a 503 for a job that may still be stored.

    A write without an answer may take effect later.
    """
    world = worlds.World(2)
    world.run(3000)
    world.faults = nodes.Faults(late=1.0)
    ticket = world.submit("entry-0", job_specs.build_job(JOB, (1,)))
    world.run(2000)
    world.faults = nodes.Faults(refused=1.0)
    world.run(3000)
    assert world.verdicts[ticket].verdict is messages.Verdict.UNKNOWN


def test_refused_write_is_reported_as_unavailable() -> None:
    """The caller soon gets a time to retry, and nothing is stored."""
    world = worlds.World(3)
    world.run(3000)
    world.faults = nodes.Faults(refused=1.0)
    ticket = world.submit("entry-1", job_specs.build_job(JOB, (1,)))
    world.run(1500)
    answer = world.verdicts[ticket]
    assert answer.verdict is messages.Verdict.UNAVAILABLE
    assert answer.retry_after_s > 0
    assert JOB not in world.store.jobs
    assert storage.JobRows(None) == world.store.read_job(JOB)


def test_waiting_best_effort_job_runs_beside_serving_tasks() -> None:
    """Guards against best-effort jobs that never run (rule LOST).

    Tasks with strong interference waited for workers without serving tasks,
    and there were none.
    """
    world = worlds.World(4, agents=3)
    world.run(3000)
    ordinary = specs.StepSpec(1, 8000, 1000, long_running=True)
    world.submit("entry-0", job_specs.build_job_of("o", (ordinary,)))
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
    world.submit("entry-0", job_specs.build_job_of("s", (serving,)))
    world.run(1000)
    holder = find_holder(world)
    view = holder.state.holder_state.agents[ids.InstanceId("agent-0")]
    pair = runs.ImagePair(specs.Image("serve"), specs.Image("heavy"))
    view.interference_sums[pair] = runs.InterferenceSums(pair, -5000.0, 1000.0)
    best_effort = specs.StepSpec(
        4, 4000, 1000, estimate_ms=1000, image="heavy", fills=True
    )
    world.submit("entry-0", job_specs.build_job_of(JOB, (best_effort,)))
    world.run(3000)
    started = [
        line.subject
        for _, _, line in world.log_lines
        if line.decision == "start" and line.outcome == "started"
    ]
    assert JOB in started


def test_reports_count_after_the_wall_clock_went_back() -> None:
    """Guards against an agent that is ignored after a restart.

    Its new incarnation had a lower number, so its reports counted as old.
    """
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


def test_entry_cut_off_from_the_store_forwards_jobs() -> None:
    """Guards against retries by all callers of an entry without the store.

    The store refused the writes of some entries only.
    """
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
        spec = job_specs.build_job(f"j{number}", (1,))
        tickets.append(world.submit(other.name, spec))
        world.run(900)
    accepted = messages.Verdict.ACCEPTED
    assert [world.verdicts[ticket].verdict for ticket in tickets] == [
        accepted
    ] * 5
    assert len(world.store.jobs) == 5
    world.run(6000)
    states = {record.state for record in world.store.progress.values()}
    assert states == {messages.JobState.COMPLETED}


def test_jobs_are_refused_at_once_while_the_store_is_unavailable() -> None:
    """Guards against callers that wait until their deadline in vain.

    Nothing can be stored meanwhile.
    """
    world = worlds.World(10)
    world.run(3000)
    world.store_down = True
    world.run(3000)
    tickets = [
        world.submit(name, job_specs.build_job(f"j-{name}", (1,)))
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


def test_jobs_that_fit_nowhere_do_not_block_later_jobs() -> None:
    """Guards against later jobs that never run.

    Planning ended after forty tasks that fit on no worker.
    """
    world = worlds.World(12)
    world.run(3000)
    unplaceable = specs.StepSpec(1, 1000, 100, estimate_ms=500, label="none")
    for number in range(60):
        spec = job_specs.build_job_of(f"h{number:02}", (unplaceable,))
        world.submit("entry-0", spec)
    world.run(1000)
    world.submit("entry-0", job_specs.build_job(JOB, (1,)))
    world.run(2800)
    started = {
        line.subject
        for _, _, line in world.log_lines
        if line.decision == "start" and line.outcome == "started"
    }
    assert JOB in started


def test_done_end_completes_a_task_that_was_released() -> None:
    """Guards against an end that is ignored after its task was released."""
    world = start_one_job()
    holder_state = find_holder(world).state.holder_state
    view = next(view for view in holder_state.agents.values() if view.placed)
    ref, placed = next(iter(view.placed.items()))
    run = placed.task.run
    lifecycle.release_task(holder_state, ref, placed)
    end = runs.EndRow(
        runs.EndNumber(99), runs.RunRef(ref, run), runs.RunEnd.DONE
    )
    run_ends.handle_run_end(holder_state, view, end, world.read_clock())
    assert placed.task.state is records.TaskState.DONE


def test_done_end_of_a_former_run_stops_the_current_run() -> None:
    """Guards against finished work that continues on another worker."""
    world = start_one_job()
    holder_state = find_holder(world).state.holder_state
    views = [view for view in holder_state.agents.values() if view.placed]
    ref, placed = next(iter(views[0].placed.items()))
    placed.task.run = runs.RunNumber(2)
    end = runs.EndRow(
        runs.EndNumber(99),
        runs.RunRef(ref, runs.RunNumber(1)),
        runs.RunEnd.DONE,
    )
    run_ends.handle_run_end(holder_state, views[-1], end, world.read_clock())
    assert placed.task.state is records.TaskState.DONE
    assert ref not in views[0].placed


def test_failed_end_of_a_former_run_counts_once_as_an_attempt() -> None:
    """Guards against a start after the last attempt (rule BUDGET).

    The worker was cut off until its runs counted as ended, and listed the
    failure afterwards. A second holder sees the same end again.
    """
    world = start_one_job()
    holder_state = find_holder(world).state.holder_state
    view = next(view for view in holder_state.agents.values() if view.placed)
    ref, placed = next(iter(view.placed.items()))
    run = placed.task.run
    lifecycle.release_task(holder_state, ref, placed)
    end = runs.EndRow(
        runs.EndNumber(99), runs.RunRef(ref, run), runs.RunEnd.FAILED
    )
    for _ in range(2):
        run_ends.handle_run_end(holder_state, view, end, world.read_clock())
    assert placed.task.failures == 1
    stored = progress_records.build_record(placed.job)
    assert stored.steps[0].tasks[ref.index].failed_runs == (run,)


def test_failed_former_run_ends_a_job_without_attempts_left() -> None:
    """Guards against another run after `max_attempts` runs have failed."""
    world = start_one_job()
    holder_state = find_holder(world).state.holder_state
    view = next(view for view in holder_state.agents.values() if view.placed)
    ref, placed = next(iter(view.placed.items()))
    attempts = placed.job.spec.queue.max_attempts
    placed.task.run = runs.RunNumber(attempts + 1)
    for number in range(1, attempts + 1):
        end = runs.EndRow(
            runs.EndNumber(90 + number),
            runs.RunRef(ref, runs.RunNumber(number)),
            runs.RunEnd.FAILED,
        )
        run_ends.handle_run_end(holder_state, view, end, world.read_clock())
    assert placed.job.state is messages.JobState.FAILED


def test_gang_stays_done_when_a_worker_is_lost_afterwards() -> None:
    """Guards against a job that never ends (rule LOST).

    The end of one run stands for the whole gang. The worker of another run
    restarted before it listed that run's end, and its task was ready again.
    """
    world = worlds.World(14, agents=2)
    world.run(3000)
    gang = specs.StepSpec(2, 6000, 1000, estimate_ms=1000, gang=True)
    last = specs.StepSpec(1, 1000, 1000, estimate_ms=1000, after=(0,))
    world.submit("entry-0", job_specs.build_job_of(JOB, (gang, last)))
    world.run(200)
    first, second = world.workers.values()
    for run in first.running.values():
        run.finish_ms = world.now_ms
    for run in second.running.values():
        run.finish_ms = 1e9
    assert first.running
    assert second.running
    world.run(1000)
    second.restart(world.now_ms, 500)
    world.run(20_000)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
    starts = [ref.task.step for ref in world.oracle.started]
    assert starts.count(0) == gang.count
