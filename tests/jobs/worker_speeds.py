"""Runs of a fake worker that work at a speed of their own.

A best-effort run gets the CPU that ordinary and serving runs leave, as far as
throttle commands allow, and slows serving runs down. So a run may stand still
for as long as its worker serves.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Iterable

from gypsumhold.model.jobs import runs, specs
from tests.jobs import tail_latency, worker_fake

TICK_MS = 50.0
"""Longest time for which speeds and loads count as constant."""

READING_MS = 500.0
"""Time that a listed usage covers."""

THROTTLE_DELAY_MS = 100.0
"""Time until a throttle command is in force."""

CHECKPOINT_MS = 500.0
"""Work at full speed between two checkpoints of a run."""

CALMEST_LOAD = 0.35
"""Mean load of the serving runs of the least busy worker."""

BUSIEST_LOAD = 0.5
"""Mean load up to which a serving run that nothing slows down always meets its
target, also where the load swings highest."""

FULL_PERCENT = 100
CORE_MILLIS = 1000
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """What sets the speeds on one worker apart from those on others.

    Attributes:
        speed: Speed of its runs as a share of the usual one.
        load: Load of its serving runs.
        interference: How its images slow each other down.
    """

    speed: float
    load: tail_latency.ServingLoad
    interference: tail_latency.Interference


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the machines of a site are like.

    Attributes:
        interference: How images slow each other down.
        busiest_load: Largest mean load of the serving runs of a worker.
        slow_share: Share of the workers that are slow.
        slow_speed: Speed of the slow workers.
    """

    interference: tail_latency.Interference
    busiest_load: float = BUSIEST_LOAD
    slow_share: float = 0.1
    slow_speed: float = 0.5

    def draw_machine(self, source: random.Random) -> Machine:
        """Returns what one worker of the site is like."""
        is_slow = source.random() < self.slow_share
        period_s = source.uniform(6.0, 14.0)
        load = tail_latency.ServingLoad(
            mean=source.uniform(CALMEST_LOAD, self.busiest_load),
            radians_per_s=tail_latency.FULL_TURN / period_s,
            phase=source.uniform(0, tail_latency.FULL_TURN),
        )
        return Machine(
            self.slow_speed if is_slow else 1.0, load, self.interference
        )


@dataclasses.dataclass(slots=True)
class RunWork:
    """The work of one run.

    Attributes:
        command: Its start command.
        total_ms: Its whole work at full speed; its checkpoints keep it.
        done_ms: The part that is done.
        saved_ms: The part that the latest checkpoint has.
        percent: Limit of its speed that is in force.
        limits: Times at which commanded limits come into force, and these.
        speed: Its present speed as a share of full speed.
        readings: Durations and amounts of the latest half second: the CPU of a
            run, and the headroom of a serving one.
    """

    command: runs.StartCommand
    total_ms: float
    done_ms: float = 0.0
    saved_ms: float = 0.0
    percent: int = FULL_PERCENT
    limits: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    speed: float = 0.0
    readings: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def is_lasting(self) -> bool:
        return self.total_ms >= worker_fake.LASTING_MS

    def apply_limits(self, now_ms: float) -> None:
        """Lets the commanded limits that are due come into force."""
        while self.limits and self.limits[0][0] <= now_ms:
            self.percent = self.limits.pop(0)[1]

    def work(self, for_ms: float) -> None:
        """Goes on at the present speed; saves the progress at times."""
        self.done_ms = min(self.total_ms, self.done_ms + for_ms * self.speed)
        if self.done_ms >= self.saved_ms + CHECKPOINT_MS:
            self.saved_ms = self.done_ms

    def read(self, for_ms: float, amount: float) -> None:
        """Adds a reading, and drops those that are too old."""
        self.readings.append((for_ms, amount))
        covered_ms = sum(duration for duration, _ in self.readings)
        while covered_ms - self.readings[0][0] >= READING_MS:
            covered_ms -= self.readings.popleft()[0]

    def average(self) -> float:
        """Returns the mean amount of the readings, of which there is one."""
        covered_ms = sum(duration for duration, _ in self.readings)
        total = sum(duration * amount for duration, amount in self.readings)
        return total / covered_ms


class VaryingSpeeds(worker_fake.WorkModel):
    """Runs with work left, whose speed changes while they run."""

    def __init__(
        self, machine: Machine, saves_progress: Callable[[runs.TaskRef], bool]
    ) -> None:
        """Creates the model of one worker.

        Args:
            machine: What the worker is like.
            saves_progress: Tells whether a task makes checkpoints.
        """
        self._machine = machine
        self._saves_progress = saves_progress
        self._at_ms = 0.0
        self._works: dict[runs.RunRef, RunWork] = {}

    def begin(
        self,
        run: worker_fake.FakeRun,
        command: runs.StartCommand,
        now_ms: float,
    ) -> None:
        """Takes the work of a run from its checkpoint, or its drawn one."""
        self._at_ms = now_ms
        work = RunWork(command, run.finish_ms - now_ms)
        if command.checkpoint:
            done_ms, total_ms = map(float, command.checkpoint.split("/"))
            work = RunWork(command, total_ms, done_ms, done_ms)
        self._works[run.ref] = work

    def work(self, worker: worker_fake.FakeWorker, until_ms: float) -> None:
        """Lets the runs go on, in steps of constant speed."""
        running = {run.ref for run in worker.running.values()}
        self._works = {
            ref: work for ref, work in self._works.items() if ref in running
        }
        while self._works and self._at_ms < until_ms:
            step_ms = min(TICK_MS, until_ms - self._at_ms)
            self._work_step(worker.cpu_millis, step_ms)
            self._at_ms += step_ms
        self._at_ms = max(self._at_ms, until_ms)

    def throttle(self, ref: runs.RunRef, percent: int, now_ms: float) -> None:
        """Takes a command that comes into force a little later."""
        work = self._works.get(ref)
        if work is not None:
            work.limits.append((now_ms + THROTTLE_DELAY_MS, percent))

    def estimate_finish_ms(
        self, run: worker_fake.FakeRun, now_ms: float
    ) -> float:
        """Returns when a run ends at its present speed."""
        work = self._works[run.ref]
        left_ms = work.total_ms - work.done_ms
        if left_ms <= 0:
            return now_ms
        return now_ms + left_ms / work.speed if work.speed else float("inf")

    def get_speed(self, run: worker_fake.FakeRun) -> float:
        """Returns the present speed of a run."""
        return self._works[run.ref].speed

    def read_checkpoint(self, run: worker_fake.FakeRun) -> runs.Checkpoint:
        """Returns the saved and the whole work of a run, if it saves any."""
        work = self._works[run.ref]
        if not work.saved_ms or not self._saves_progress(run.ref.task):
            return runs.Checkpoint("")
        return runs.Checkpoint(f"{work.saved_ms}/{work.total_ms}")

    def build_row(self, run: worker_fake.FakeRun) -> runs.RunRow:
        """Returns a row with the progress and the usage of a run."""
        work = self._works[run.ref]
        percent = int(FULL_PERCENT * work.done_ms / work.total_ms)
        return runs.RunRow(
            run.ref,
            self.read_checkpoint(run),
            FULL_PERCENT if work.is_lasting() else percent,
            _read_usage(work),
        )

    def _work_step(self, cpu_millis: int, for_ms: float) -> None:
        """Lets all runs go on for a time in which their speeds are constant."""
        for work in self._works.values():
            work.apply_limits(self._at_ms)
        load = self._machine.load.measure(self._at_ms / MS_PER_S)
        share = self._share_idle_cpu(cpu_millis, load)
        cores: dict[specs.Image, float] = {}
        for work in self._works.values():
            is_done = work.done_ms >= work.total_ms
            cpu_share = 0.0 if is_done else 1.0
            if work.command.best_effort:
                cpu_share *= share * work.percent / FULL_PERCENT
            work.speed = cpu_share * self._machine.speed
            work.work(for_ms)
            if work.command.target_latency_ms:
                continue
            used_millis = work.command.cpu_millis * cpu_share
            work.read(for_ms, used_millis)
            if work.command.best_effort:
                image = work.command.image
                used = used_millis / CORE_MILLIS
                cores[image] = cores.get(image, 0.0) + used
        for work in self._list_serving():
            taken = tail_latency.compute_taken_headroom(
                self._machine.interference, work.command.image, cores
            )
            work.read(for_ms, tail_latency.compute_headroom(load, taken))

    def _list_serving(self) -> Iterable[RunWork]:
        return (
            work
            for work in self._works.values()
            if work.command.target_latency_ms
        )

    def _share_idle_cpu(self, cpu_millis: int, load: float) -> float:
        """Returns what best-effort runs get of the CPU that they may use."""
        idle = float(cpu_millis)
        wanted = 0.0
        for work in self._works.values():
            command = work.command
            if command.best_effort:
                wanted += command.cpu_millis * work.percent / FULL_PERCENT
            else:
                used = load if command.target_latency_ms else 1.0
                idle -= command.cpu_millis * used
        return min(1.0, max(0.0, idle) / wanted) if wanted else 1.0


def _read_usage(work: RunWork) -> int:
    """Returns the tail latency of a serving run, the CPU of another one."""
    target_ms = work.command.target_latency_ms
    if not work.readings:
        return 0
    if target_ms:
        return round(tail_latency.compute_tail_ms(target_ms, work.average()))
    return round(work.average())
