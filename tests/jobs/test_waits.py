"""Tests that the log and the metrics tell why a job has no run.

Guards against an accepted task that could run and does not, of which no line
tells for how long and what it waits for.
"""

import contextlib
import datetime

import pytest

from gypsumhold.adapters import clock as clocks
from gypsumhold.adapters import engine
from gypsumhold.adapters.jobs import metrics
from gypsumhold.decisions.jobs import wait_logs
from gypsumhold.model import events as base_events
from gypsumhold.model import timers
from gypsumhold.model.jobs import effects, specs, waits
from tests.jobs import builders, job_specs, test_regressions
from tests.jobs import world as worlds

SECOND_MS = 1000.0


def list_waits(world: worlds.World, job: str) -> list[effects.Log]:
    return [
        line
        for _, _, line in world.log_lines
        if line.decision == "wait" and line.subject == job
    ]


def list_named_jobs(world: worlds.World) -> list[str]:
    """Returns the job of each line about a wait."""
    return [
        line.subject
        for _, _, line in world.log_lines
        if line.decision == "wait"
    ]


def build_world(agents: int = 2) -> worlds.World:
    world = worlds.World(5, agents=agents)
    world.run(3 * SECOND_MS)
    return world


def build_large_task() -> specs.JobSpec:
    """Returns a job for which no worker has enough memory."""
    step = specs.StepSpec(1, 1000, 10**6, estimate_ms=1000)
    return job_specs.build_job_of("large", (step,))


def test_wait_for_capacity_is_logged_with_its_stage() -> None:
    world = build_world()
    world.submit("entry-0", build_large_task())
    world.run(2 * SECOND_MS)
    (line,) = list_waits(world, "large")
    inputs = dict(line.inputs)
    assert line.outcome == "no run"
    assert inputs["stage"] == "capacity"
    assert SECOND_MS <= int(inputs["waited_ms"]) <= 1.5 * SECOND_MS
    world.run(2 * SECOND_MS)
    assert [line.outcome for line in list_waits(world, "large")] == [
        "no run",
        "overdue",
    ]


@pytest.mark.parametrize(
    ("effect", "stage"),
    [
        (effects.CommitBatch, "store"),
        (effects.PushDirectives, "agent"),
        (effects.StartRun, "start"),
    ],
)
def test_slow_stage_after_the_placement_is_named(
    effect: type, stage: str
) -> None:
    world = build_world()
    # The answer to the next report would bring the command as well.
    world.pauses_ms[effects.SendReport] = lambda: 1200.0
    world.pauses_ms[effect] = lambda: 1300.0
    world.submit("entry-0", job_specs.build_job("job", (1,)))
    world.run(8 * SECOND_MS)
    ended = [
        line for line in list_waits(world, "job") if line.outcome == "ended"
    ]
    inputs = dict(ended[0].inputs)
    assert int(inputs[f"{stage}_ms"]) >= SECOND_MS


def test_time_until_the_end_is_reported_counts() -> None:
    """Guards against a wait that begins when the holder learns of the end."""
    world = build_world()
    world.submit("entry-0", job_specs.build_job("job", (1, 1)))
    world.run(200)
    world.pauses_ms[effects.SendReport] = lambda: 1200.0
    world.run(10 * SECOND_MS)
    ended = [
        line for line in list_waits(world, "job") if line.outcome == "ended"
    ]
    assert any("report_ms" in dict(line.inputs) for line in ended)


def test_long_running_task_without_a_run_is_named() -> None:
    world = build_world()
    step = specs.StepSpec(
        3, 1000, 1000, estimate_ms=1000, long_running=True, max_per_worker=1
    )
    world.submit("entry-0", job_specs.build_job_of("lasting", (step,)))
    world.run(2 * SECOND_MS)
    (line,) = list_waits(world, "lasting")
    assert dict(line.inputs)["task"] == "lasting.0.0.2"
    assert dict(line.inputs)["stage"] == "capacity"


def test_waits_of_ended_jobs_are_forgotten() -> None:
    """Guards against waits that fill the memory, or are logged for ever."""
    world = build_world()
    for number in range(5):
        world.submit("entry-0", job_specs.build_job(f"j{number}", (2, 2)))
    world.run(15 * SECOND_MS)
    state = test_regressions.find_holder(world).state
    assert state.holder_state is not None
    assert not state.holder_state.open_jobs
    assert state.holder_state.run_waits.list_all() == []


def test_lines_about_waits_are_bounded() -> None:
    """Guards against a full fleet that floods the log."""
    world = build_world()
    for number in range(100):
        step = specs.StepSpec(1, 1000, 10**6, estimate_ms=1000)
        world.submit("entry-0", job_specs.build_job_of(f"j{number}", (step,)))
    world.run(2.9 * SECOND_MS)
    at_ms = [
        at_ms for at_ms, _, line in world.log_lines if line.decision == "wait"
    ]
    assert max(map(at_ms.count, at_ms)) == wait_logs.MAX_LINES_PER_TICK
    assert len(at_ms) == len(set(list_named_jobs(world))) == 100


def test_metrics_have_waits_by_stage() -> None:
    timer = base_events.TimerFired(timers.Timer(timers.TimerKind.HOLDER_TICK))
    with contextlib.closing(
        metrics.JobRecorder("entry", "e", clocks.SystemClock())
    ) as recorder:
        recorder.observe(
            timer,
            (
                effects.MeasureWait(
                    waits.WaitStage.STORE, datetime.timedelta(seconds=2)
                ),
                effects.SampleWaits(datetime.timedelta(seconds=1.5), 4),
            ),
            engine.EventTiming(
                datetime.timedelta(0), datetime.timedelta(milliseconds=30)
            ),
        )
        text = recorder.render()
    assert 'gypsumhold_job_wait_seconds_sum{stage="store"} 2.0' in text
    assert "gypsumhold_job_longest_wait_seconds 1.5" in text
    assert "gypsumhold_jobs_waiting 4" in text
    assert 'part="applied"} 0.03' in text


def test_overdue_waits_are_logged_whole() -> None:
    """Guards against the worst waits being those that the log leaves out."""
    holder_state = builders.build_holder(datetime.timedelta(0)).holder_state
    assert holder_state is not None
    run_waits = holder_state.run_waits
    since = datetime.timedelta(seconds=10)
    count = 3 * wait_logs.MAX_LINES_PER_TICK
    for number in range(count):
        job_id = specs.JobId(f"job-{number}")
        run_waits.jobs[job_id] = waits.RunWait(
            job_id, None, since, waits.WaitStage.PLAN, since
        )
    now = since + datetime.timedelta(seconds=4)
    sampled = [
        effect
        for effect in wait_logs.sample(holder_state, now)
        if isinstance(effect, effects.Log)
    ]
    ended = [
        effect
        for wait in run_waits.list_all()
        for effect in wait_logs.log_wait(holder_state, wait, "ended", now)
    ]
    assert len(sampled) == len(ended) == count


def test_waiting_task_of_a_skipped_step_tells_its_stage() -> None:
    """Guards against long-running tasks that seem to wait for a plan.

    Once one task of a step finds no worker, a plan skips the others.
    """
    world = worlds.World(3, agents=2)
    world.run(3000)
    step = specs.StepSpec(
        4, 30_000_000, 100, estimate_ms=1000, long_running=True
    )
    world.submit("entry-0", job_specs.build_job_of("job", (step,)))
    world.run(1500)
    stages = {
        dict(line.inputs)["stage"]
        for _, _, line in world.log_lines
        if line.decision == "wait" and line.subject == "job"
    }
    assert stages == {waits.WaitStage.CAPACITY.value}


def test_page_of_metrics_begins_with_its_short_parts() -> None:
    """Guards against waits that a reader of the first 4 kB does not see.

    The histograms of a busy holder are longer than that.
    """
    timer = base_events.TimerFired(timers.Timer(timers.TimerKind.HOLDER_TICK))
    slow = engine.EventTiming(
        datetime.timedelta(0), datetime.timedelta(milliseconds=20)
    )
    sample = effects.SampleWaits(datetime.timedelta(seconds=4), 2)
    with contextlib.closing(
        metrics.JobRecorder("entry", "e", clocks.SystemClock())
    ) as recorder:
        recorder.observe(timer, (), slow)
        recorder.observe(timer, (sample,))
        page = recorder.render()
    begin = page.index("gypsumhold_job_slow_event_seconds_bucket")
    assert "gypsumhold_job_longest_wait_seconds 4.0" in page[:begin]
    assert "gypsumhold_jobs_waiting 2" in page[:begin]
