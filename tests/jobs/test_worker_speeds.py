"""Tests that the runs of a simulated worker work at the speed they should."""

import datetime

import pytest

from gypsumhold.model.jobs import effects, runs, specs
from tests.jobs import builders, tail_latency, worker_fake, worker_speeds

TARGET_MS = 50
CALM = tail_latency.ServingLoad(mean=0.5, swing=0.0)
NO_CHECKPOINT = runs.Checkpoint("")
LEASE_MS = 10**9
NO_INTERFERENCE: tail_latency.Interference = {}
LISTED = builders.build_worker(runs.WorkerIncarnation("w", 1))


class LoneWorker:
    """A worker of eight cores whose runs have speeds."""

    def __init__(
        self,
        interference: tail_latency.Interference = NO_INTERFERENCE,
        speed: float = 1.0,
        load: tail_latency.ServingLoad = CALM,
        *,
        saves_progress: bool = True,
    ) -> None:
        machine = worker_speeds.Machine(speed, load, interference)
        self.worker = worker_fake.FakeWorker(
            "w",
            1,
            until_ms=LEASE_MS,
            work_model=worker_speeds.VaryingSpeeds(
                machine, lambda _: saves_progress
            ),
        )
        self.now_ms = 0.0

    def start(
        self,
        index: int,
        cpu_millis: int = 2000,
        work_ms: float = 10_000.0,
        *,
        image: specs.Image = tail_latency.HEAVY,
        best_effort: bool = True,
        target_ms: int = 0,
        checkpoint: runs.Checkpoint = NO_CHECKPOINT,
    ) -> runs.RunRef:
        task = runs.TaskRef(specs.JobId("j"), 0, 0, index)
        ref = runs.RunRef(task, runs.RunNumber(1))
        command = runs.StartCommand(
            ref,
            "",
            checkpoint,
            cpu_millis,
            100,
            0,
            best_effort,
            target_ms,
            image,
        )
        self.worker.start(
            effects.StartRun(
                LISTED, 0, command, LEASE_MS, datetime.timedelta.max
            ),
            self.now_ms,
            self.now_ms + work_ms,
            runs.RunEnd.DONE,
        )
        return ref

    def serve(self, index: int, cpu_millis: int = 2000) -> runs.RunRef:
        return self.start(
            index,
            cpu_millis,
            worker_fake.LASTING_MS,
            image=tail_latency.SENSITIVE,
            best_effort=False,
            target_ms=TARGET_MS,
        )

    def throttle(self, ref: runs.RunRef, percent: int) -> None:
        effect = effects.ThrottleRun(LISTED, 0, ref, percent)
        self.worker.throttle(effect, self.now_ms)

    def wait(self, for_ms: float) -> None:
        self.now_ms += for_ms
        self.worker.advance(self.now_ms)

    def find_row(self, ref: runs.RunRef) -> runs.RunRow:
        return next(row for row in self.worker.list_runs() if row.ref == ref)


def test_throttled_run_works_at_that_percent() -> None:
    """Guards against throttle commands that change nothing."""
    lone = LoneWorker()
    ref = lone.start(0, work_ms=1000)
    lone.throttle(ref, 50)
    lone.wait(worker_speeds.THROTTLE_DELAY_MS)
    assert lone.find_row(ref).progress_percent == 10
    lone.wait(800)
    row = lone.find_row(ref)
    assert row.progress_percent == 50
    assert row.usage == 1000
    lone.wait(1000)
    assert [end.end for end in lone.worker.ends] == [runs.RunEnd.DONE]


def test_halted_run_never_ends() -> None:
    """Guards against runs that end while they stand still."""
    lone = LoneWorker()
    ref = lone.start(0, work_ms=1000)
    lone.throttle(ref, 0)
    lone.wait(100_000)
    row = lone.find_row(ref)
    assert (row.progress_percent, row.usage) == (10, 0)


def test_usage_covers_half_a_second() -> None:
    """Guards against readings that follow a halt at once."""
    lone = LoneWorker()
    ref = lone.start(0)
    lone.wait(1000)
    lone.throttle(ref, 0)
    lone.wait(worker_speeds.THROTTLE_DELAY_MS + 250)
    assert lone.find_row(ref).usage == 1000
    lone.wait(250)
    assert lone.find_row(ref).usage == 0


def test_slow_machine_takes_longer_with_all_the_cpu() -> None:
    """Guards against slow workers that list less CPU than they use."""
    lone = LoneWorker(speed=0.5)
    ref = lone.start(0, work_ms=2000)
    lone.wait(1000)
    row = lone.find_row(ref)
    assert (row.progress_percent, row.usage) == (25, 2000)


@pytest.mark.parametrize(
    ("ordinary_millis", "usage"), [(0, 4000), (2000, 3000), (8000, 0)]
)
def test_best_effort_runs_share_what_others_leave(
    ordinary_millis: int, usage: int
) -> None:
    """Guards against best-effort runs that use the CPU of ordinary ones."""
    lone = LoneWorker()
    if ordinary_millis:
        lone.start(2, ordinary_millis, best_effort=False)
    refs = [lone.start(index, 6000) for index in range(2)]
    lone.wait(1000)
    assert [lone.find_row(ref).usage for ref in refs] == [usage] * 2


def test_serving_runs_leave_what_their_load_does_not_use() -> None:
    lone = LoneWorker()
    lone.serve(0, 4000)
    ref = lone.start(1, 8000)
    lone.wait(1000)
    assert lone.find_row(ref).usage == 6000


def test_tail_latency_follows_the_best_effort_runs() -> None:
    """Guards against serving runs that nothing slows down."""
    lone = LoneWorker(tail_latency.TRUE_INTERFERENCE)
    serving = lone.serve(0)
    lone.wait(1000)
    alone = lone.find_row(serving)
    assert alone.progress_percent == worker_speeds.FULL_PERCENT
    assert alone.usage == round(TARGET_MS / (4.5 * 0.5))
    ref = lone.start(1, 5000)
    lone.wait(1000)
    beside = lone.find_row(serving)
    assert beside.usage == round(TARGET_MS / (4.5 * 0.5 - 0.2 * 5))
    lone.throttle(ref, 0)
    lone.wait(1000)
    assert lone.find_row(serving).usage == alone.usage


def test_run_goes_on_from_its_checkpoint_elsewhere() -> None:
    """Guards against work that is done twice, or never."""
    first = LoneWorker()
    ref = first.start(0, work_ms=2000)
    first.wait(1300)
    first.worker.stop(effects.StopRun(LISTED, 0, ref))
    end = first.worker.ends[0]
    assert end.end is runs.RunEnd.STOPPED
    second = LoneWorker()
    again = second.start(0, work_ms=9000, checkpoint=end.checkpoint)
    assert second.find_row(again).progress_percent == 50
    second.wait(1000)
    assert [row.end for row in second.worker.ends] == [runs.RunEnd.DONE]


def test_run_without_checkpoints_starts_anew() -> None:
    """Guards against progress that the platform would have lost."""
    lone = LoneWorker(saves_progress=False)
    ref = lone.start(0, work_ms=2000)
    lone.wait(1300)
    lone.worker.stop(effects.StopRun(LISTED, 0, ref))
    assert lone.worker.ends[0].checkpoint == ""


def test_no_work_is_done_after_the_lease() -> None:
    """Guards against runs that count as done although their lease expired."""
    lone = LoneWorker()
    lone.start(0, work_ms=2000)
    lone.worker.until_ms = 1000
    lone.wait(5000)
    assert [end.end for end in lone.worker.ends] == [runs.RunEnd.EXPIRED]


def test_fixed_ends_ignore_throttling() -> None:
    """Guards against changed timing where no speeds are asked for."""
    lone = LoneWorker()
    lone.worker.work_model = worker_fake.FixedEnds()
    ref = lone.start(0, work_ms=1000)
    lone.throttle(ref, 0)
    lone.wait(500)
    assert lone.find_row(ref) == runs.RunRow(ref)
    lone.wait(500)
    assert [end.end for end in lone.worker.ends] == [runs.RunEnd.DONE]
