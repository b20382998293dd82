"""Tests of waits for places near the data or the gang of a task.

Pattern: a rush on one rack. Each task would run faster there, and places there
become free all the time, while the rest of the fleet has room at once.
"""

import contextlib
import datetime
import json
import pathlib

import msgspec
import pytest

from gypsumhold.adapters import clock as clocks
from gypsumhold.adapters.jobs import metrics
from gypsumhold.decisions.jobs import estimates, spreading
from gypsumhold.decisions.jobs.locality import wait_policies
from gypsumhold.model import events as base_events
from gypsumhold.model import ids, timers
from gypsumhold.model.jobs import (
    effects,
    locality,
    messages,
    policies,
    progress,
    runs,
    specs,
    waits,
)
from gypsumhold.platform import settings
from tests.jobs import (
    builders,
    job_specs,
    rack_world,
    test_regressions,
    test_worker_limits,
)

AGENTS = 9
"""Workers, three on each rack, each with room for 16 tasks."""

RACK_PLACES = 48
LIMIT_MS = 3000.0

TASK = specs.StepSpec(1, 2000, 1000, estimate_ms=2000)
DATA_TASK = msgspec.structs.replace(TASK, data_rack=rack_world.HOT_RACK)


class Rush:
    """A world whose first rack is full."""

    def __init__(
        self,
        busy_ms: int,
        policy: policies.LocalityPolicy | None = None,
        slowdown: float = rack_world.SLOWDOWN,
        filled: int = RACK_PLACES,
    ) -> None:
        """Fills places of the rack with tasks of that declared run time."""
        self.world = rack_world.RackWorld(
            1, AGENTS, policy or wait_policies.WeighWait(), slowdown
        )
        self.world.run(rack_world.START_MS)
        self.submit(
            "filler",
            msgspec.structs.replace(
                DATA_TASK, count=filled, estimate_ms=busy_ms
            ),
        )
        self.world.run(500)

    def submit(self, name: str, *steps: specs.StepSpec) -> None:
        spec = msgspec.structs.replace(
            job_specs.build_job_of(name, steps),
            submitted_ms=int(self.world.now_ms),
        )
        self.world.submit("entry-0", spec)

    def list_racks(self, name: str, step: int = 0) -> list[str]:
        """Returns the rack of each task that is or was placed."""
        holder_state = self.world.find_holder_state()
        assert holder_state is not None
        tasks = holder_state.jobs[specs.JobId(name)].steps[step].tasks
        return [
            self.world.workers[task.instance].labels[1]
            for task in tasks
            if task.instance
        ]


def test_task_waits_for_short_ends_near() -> None:
    rush = Rush(busy_ms=900)
    rush.submit("job", TASK, DATA_TASK)
    rush.world.run(1500)
    assert rush.list_racks("job", 1) == [rack_world.HOT_RACK]
    (begun,) = rush.world.list_lines("wait")
    (ended,) = rush.world.list_lines("near")
    assert begun["task"] == ended["task"] == "job.0.1.0"
    assert int(ended["waited_ms"]) <= int(begun["until_in_ms"])
    assert begun["loss_ms"] == "2000"


def test_task_does_not_wait_for_long_ends_near() -> None:
    rush = Rush(busy_ms=20_000)
    rush.submit("job", TASK, DATA_TASK)
    rush.world.run(500)
    assert rush.list_racks("job", 1) != [rack_world.HOT_RACK]
    assert rush.world.list_lines("wait") == []


@pytest.mark.parametrize(
    ("policy", "slowdown"),
    [(wait_policies.TakeAnywhere(), 2.0), (wait_policies.WeighWait(), 1.0)],
)
def test_nothing_waits_with_the_baseline_or_without_a_factor(
    policy: policies.LocalityPolicy, slowdown: float
) -> None:
    rush = Rush(900, policy, slowdown)
    rush.submit("job", TASK, DATA_TASK)
    rush.world.run(500)
    assert rush.list_racks("job", 1) != [rack_world.HOT_RACK]
    assert rush.world.list_lines("wait") == []


def test_job_without_a_run_gets_one_soon() -> None:
    """Guards against a job that has no run for the sake of its data."""
    rush = Rush(busy_ms=1500)
    rush.submit("job", msgspec.structs.replace(DATA_TASK, estimate_ms=60_000))
    rush.world.run(700)
    assert len(rush.list_racks("job")) == 1


def test_serving_tasks_do_not_wait() -> None:
    rush = Rush(busy_ms=900)
    serving = msgspec.structs.replace(
        DATA_TASK, long_running=True, target_latency_ms=50
    )
    rush.submit("job", TASK, serving)
    rush.world.run(300)
    assert len(rush.list_racks("job", 1)) == 1
    assert rush.world.list_lines("wait") == []


@pytest.mark.parametrize(("count", "waits"), [(4, True), (20, False)])
def test_step_waits_only_if_there_are_openings_for_all(
    count: int, waits: bool
) -> None:
    """Guards against tasks that wait although their step is late anyway."""
    rush = Rush(busy_ms=900, filled=4)
    rush.submit(
        "long",
        msgspec.structs.replace(
            DATA_TASK, count=RACK_PLACES - 4, estimate_ms=20_000
        ),
    )
    rush.world.run(300)
    rush.submit("job", TASK, msgspec.structs.replace(DATA_TASK, count=count))
    rush.world.run(3000)
    racks = rush.list_racks("job", 1)
    assert len(racks) == count
    assert (set(racks) == {rack_world.HOT_RACK}) is waits
    assert bool(rush.world.list_lines("wait")) is waits


def test_each_rack_has_its_own_openings() -> None:
    rush = Rush(busy_ms=900)
    other = ids.Rack("r1-1")
    rush.submit(
        "long",
        msgspec.structs.replace(
            TASK, count=RACK_PLACES, estimate_ms=20_000, data_rack=other
        ),
    )
    rush.world.run(300)
    rush.submit("job", TASK, DATA_TASK)
    far = msgspec.structs.replace(DATA_TASK, data_rack=other)
    rush.submit("far", TASK, far)
    rush.world.run(1500)
    assert rush.list_racks("job", 1) == [rack_world.HOT_RACK]
    assert rush.list_racks("far", 1) != [other]


@pytest.mark.parametrize("fault", ["silent", "draining", "lost"])
def test_wait_ends_when_its_rack_is_gone(fault: str) -> None:
    """Guards against a task that waits for workers that take none."""
    rush = Rush(busy_ms=4000)
    rush.submit(
        "job", TASK, msgspec.structs.replace(DATA_TASK, estimate_ms=9000)
    )
    rush.world.run(300)
    assert rush.world.list_lines("wait")
    for number in range(3):
        name = f"agent-{number}"
        if fault == "silent":
            rush.world.nodes[name].cut = True
        elif fault == "draining":
            rush.world.workers[name].draining = True
        else:
            rush.world.nodes[name].alive = False
            rush.world.workers[name].restart(rush.world.now_ms, 60_000)
    rush.world.run(LIMIT_MS)
    (rack,) = rush.list_racks("job", 1)
    assert rack != rack_world.HOT_RACK
    assert rush.world.list_lines("elsewhere")


def test_new_holder_weighs_anew() -> None:
    """Guards against a wait that outlives the process that knew of it."""
    rush = Rush(busy_ms=4000)
    rush.submit(
        "job", TASK, msgspec.structs.replace(DATA_TASK, estimate_ms=9000)
    )
    rush.world.run(300)
    assert len(rush.world.list_lines("wait")) == 1
    holder = test_regressions.find_holder(rush.world).name
    rush.world.kill(holder, 60_000)
    rush.world.run(4 * LIMIT_MS)
    assert len(rush.list_racks("job", 1)) == 1
    holder_state = rush.world.find_holder_state()
    assert holder_state is not None
    assert holder_state.near_waits == {}


def test_cancelled_job_no_longer_waits() -> None:
    rush = Rush(busy_ms=4000)
    rush.submit(
        "job", TASK, msgspec.structs.replace(DATA_TASK, estimate_ms=9000)
    )
    rush.world.run(300)
    rush.world.send_query(
        "entry-0", messages.QueryKind.CANCEL, specs.JobId("job")
    )
    rush.world.run(500)
    assert len(rush.world.list_lines("dropped")) == 1


GANG = msgspec.structs.replace(TASK, count=12, gang=True, colocated=True)


def test_gang_takes_the_rack_on_which_all_of_it_fits() -> None:
    """Guards against a gang that is split although a rack has room.

    Its first task went to the fullest worker, and the others did not fit there.
    """
    rush = Rush(busy_ms=20_000, filled=RACK_PLACES - 4)
    rush.submit("gang", GANG)
    rush.world.run(500)
    assert len(set(rush.list_racks("gang"))) == 1


def fill_all_but(rush: Rush, places: int) -> None:
    """Leaves places on each other rack; the first one is full."""
    for number in (1, 2):
        rack = ids.Rack(f"r1-{number}")
        step = msgspec.structs.replace(
            TASK,
            count=RACK_PLACES - places,
            estimate_ms=30_000,
            data_rack=rack,
        )
        rush.submit(f"rack-{number}", step)
    rush.world.run(300)


def test_gang_waits_for_a_rack_that_soon_has_room() -> None:
    rush = Rush(busy_ms=900)
    fill_all_but(rush, 8)
    rush.submit("job", TASK, GANG)
    rush.world.run(2000)
    assert set(rush.list_racks("job", 1)) == {rack_world.HOT_RACK}
    assert len(rush.world.list_lines("wait")) == 1
    assert len(rush.world.list_lines("near")) == 1


def test_gang_is_split_if_no_rack_has_room_soon() -> None:
    rush = Rush(busy_ms=30_000)
    fill_all_but(rush, 8)
    rush.submit("job", TASK, GANG)
    rush.world.run(600)
    assert set(rush.list_racks("job", 1)) == {"r1-1", "r1-2"}


def test_tasks_without_data_avoid_an_awaited_rack() -> None:
    """Guards against openings that go to tasks which are as fast elsewhere.

    Ordinary tasks take the smallest gap, which is on the fullest rack.
    """
    worker = builders.build_worker(runs.WorkerIncarnation("w", 1))
    full = policies.Candidate(ids.InstanceId("full"), worker, 2000, 2000, 0)
    empty = policies.Candidate(ids.InstanceId("empty"), worker, 8000, 8000, 0)
    step = progress.Step(TASK, 0, 0, [progress.Task()], open=True)
    policy = spreading.InterferenceAware()
    assert policy.choose(step, step.tasks[0], [full, empty]) is full
    full.awaited = True
    assert policy.choose(step, step.tasks[0], [full, empty]) is empty


def test_wait_has_a_stage_of_its_own() -> None:
    """Guards against a job without a run of which no line tells why."""
    rush = Rush(busy_ms=900)
    holder_state = rush.world.find_holder_state()
    assert holder_state is not None
    for task in holder_state.jobs[specs.JobId("filler")].steps[0].tasks:
        task.progress_percent = 90
        task.progressed_at = rush.world.read_clock()
    rush.submit("job", DATA_TASK)
    rush.world.run(60)
    wait = holder_state.run_waits.jobs[specs.JobId("job")]
    assert wait.obstacle is waits.WaitStage.NEAR_PLACE


def test_metrics_count_waits_by_their_end() -> None:
    timer = base_events.TimerFired(timers.Timer(timers.TimerKind.NEAR_PLACE))
    with contextlib.closing(
        metrics.JobRecorder("entry", "e", clocks.SystemClock())
    ) as recorder:
        recorder.observe(
            timer,
            (
                effects.MeasureNearWait(None),
                effects.MeasureNearWait(
                    locality.NearWaitOutcome.GAVE_UP,
                    datetime.timedelta(seconds=2),
                ),
            ),
        )
        text = recorder.render()
    assert "gypsumhold_job_near_waits_begun 1" in text
    assert 'gypsumhold_job_near_wait_seconds_sum{outcome="gave up"} 2.0' in text


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        ({"bounds": {"remotePenalty": 1.5}}, 1.5),
        ({"bounds": {"remotePenalty": 0}}, 1.0),
        ({}, 1.0),
    ],
)
def test_factor_is_that_of_the_deployment(
    bounds: dict[str, dict[str, float]],
    expected: float,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waits in a deployment where distance costs nothing."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**test_worker_limits.DOCUMENT, **bounds}))
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    assert settings.read_settings().unwrap().off_rack_slowdown == expected


def test_run_elsewhere_does_not_raise_the_estimates_near() -> None:
    """Guards against a factor that is learned as part of the run time."""
    rush = Rush(busy_ms=20_000)
    rush.submit("job", TASK, DATA_TASK)
    rush.world.run(500)
    holder_state = rush.world.find_holder_state()
    assert holder_state is not None
    step = holder_state.jobs[specs.JobId("job")].steps[1]
    task = step.tasks[0]
    assert task.slowdown == rack_world.SLOWDOWN
    task.reading = None
    now = rush.world.read_clock()
    for seconds, percent in ((0, 0), (1, 25), (2, 50)):
        row = runs.RunRow(
            runs.RunRef(
                runs.TaskRef(specs.JobId("job"), 0, 1, 0), runs.RunNumber(1)
            ),
            progress_percent=percent,
            usage=TASK.cpu_millis,
        )
        at = now + datetime.timedelta(seconds=seconds)
        estimates.measure_progress(step, task, row, at)
    assert task.measured_time == datetime.timedelta(seconds=2)


@pytest.mark.parametrize("seed", [1, 4])
def test_more_jobs_of_a_burst_are_in_time(seed: int) -> None:
    """Compares the waits with the baseline under bursts on one rack."""
    before = rack_world.play_before("bursts", seed, 12)
    after = rack_world.play_after("bursts", seed, 12)
    assert len(after.times_ms) == len(before.times_ms)
    assert after.on_time >= before.on_time
    assert after.mean_ms <= before.mean_ms


@pytest.mark.parametrize("rush", rack_world.RUSHES)
def test_no_job_is_without_a_run_for_the_sake_of_its_rack(rush: str) -> None:
    """Guards against waits that add up beyond the limit of 3 s."""
    assert rack_world.play_after(rush, 2, 6).violations == 0
