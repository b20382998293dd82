"""A fake worker with the platform's rules for fences, runs, leases and ends."""

import abc
import dataclasses

import msgspec

from gypsumhold.model import resources
from gypsumhold.model.jobs import effects, events, runs

Result = events.CommandResult

MAX_HOLD_MS = 10_000
"""Longest lease that the worker keeps, on its own clock; longer ones are
shortened."""


LASTING_MS = 1e9
"""Work of a task that runs until its job is cancelled."""


@dataclasses.dataclass(slots=True)
class FakeRun:
    """A running task; its times are readings of the simulation's clock.

    Attributes:
        ref: The run.
        finish_ms: When it ends by itself.
        end: How it then ends.
        cpu_millis: CPU that it reserves, in thousandths of a core.
        memory_mb: Memory that it reserves.
        accelerators: Accelerators that it reserves.
        stopped_at_ms: When a stop command takes effect; None without one.
    """

    ref: runs.RunRef
    finish_ms: float
    end: runs.RunEnd
    cpu_millis: int
    memory_mb: int = 0
    accelerators: int = 0
    stopped_at_ms: float | None = None


class WorkModel(abc.ABC):
    """How the runs of a worker get on, and what the worker tells of that."""

    @abc.abstractmethod
    def begin(
        self, run: FakeRun, command: runs.StartCommand, now_ms: float
    ) -> None:
        """Takes note of a run that has just started."""

    @abc.abstractmethod
    def work(self, worker: "FakeWorker", until_ms: float) -> None:
        """Lets the runs of a worker go on until a time."""

    @abc.abstractmethod
    def throttle(self, ref: runs.RunRef, percent: int, now_ms: float) -> None:
        """Limits a run to a percentage of its full speed."""

    @abc.abstractmethod
    def estimate_finish_ms(self, run: FakeRun, now_ms: float) -> float:
        """Returns when a run ends by itself at its present speed."""

    @abc.abstractmethod
    def get_speed(self, run: FakeRun) -> float:
        """Returns the present speed of a run as a share of full speed."""

    @abc.abstractmethod
    def read_checkpoint(self, run: FakeRun) -> runs.Checkpoint:
        """Returns the latest saved progress of a run."""

    @abc.abstractmethod
    def build_row(self, run: FakeRun) -> runs.RunRow:
        """Returns what the worker lists of a run."""


class FixedEnds(WorkModel):
    """Baseline: each run ends at a time that is fixed at its start."""

    def begin(
        self, run: FakeRun, command: runs.StartCommand, now_ms: float
    ) -> None:
        """Does nothing: the run has its end already."""

    def work(self, worker: "FakeWorker", until_ms: float) -> None:
        """Does nothing: no run depends on what happens meanwhile."""

    def throttle(self, ref: runs.RunRef, percent: int, now_ms: float) -> None:
        """Does nothing: a run is never throttled."""

    def estimate_finish_ms(self, run: FakeRun, now_ms: float) -> float:
        """Returns the fixed end."""
        return run.finish_ms

    def get_speed(self, run: FakeRun) -> float:
        """Returns full speed."""
        return 1.0

    def read_checkpoint(self, run: FakeRun) -> runs.Checkpoint:
        """Returns none: runs begin anew."""
        return runs.Checkpoint("")

    def build_row(self, run: FakeRun) -> runs.RunRow:
        """Returns a row without progress and usage."""
        return runs.RunRow(run.ref)


@dataclasses.dataclass(slots=True)
class FakeWorker:
    """One worker; `restart` begins its next incarnation.

    Attributes:
        name: Name of the worker.
        started_ms: Start of the incarnation in Unix milliseconds.
        cpu_millis: CPU capacity in thousandths of a core.
        memory_mb: Memory capacity.
        accelerators: Number of accelerators.
        rate: Speed of the worker's clock; at most 2% slow.
        up_at_ms: When the incarnation is up; its clock counts from then.
        fence: Highest fence seen.
        until_ms: End of the lease on the worker's clock.
        running: Running tasks.
        highest_runs: Highest run that was started or stopped, by task.
        ends: Ends that are not acknowledged.
        finished: All ends, also those that were acknowledged.
        last_end: Number of the latest end.
        heartbeats: Number of heartbeats sent.
        stuck: Whether no run finishes by itself.
        draining: Whether heartbeats report a drain.
        stop_ms: How long a run goes on after a stop command.
        checkpoint_chars: Length of the checkpoints of its runs.
        max_listed_ends: Most ends that it lists at a time.
        refuses_starts: Whether it refuses every start as unhealthy.
        lacks_room: Whether it refuses every start for want of capacity.
        hides_stopping: Whether runs that are being stopped are not listed.
        labels: Its kind and its rack.
        zone: Its data centre.
        former_capacities: Capacities before each change, with its time.
        work_model: How its runs get on.
    """

    name: str
    started_ms: int
    cpu_millis: int = 8000
    memory_mb: int = 64_000
    accelerators: int = 0
    rate: float = 1.0
    up_at_ms: float = 0.0
    fence: int = 0
    until_ms: int = 0
    running: dict[runs.TaskRef, FakeRun] = dataclasses.field(
        default_factory=dict
    )
    highest_runs: dict[runs.TaskRef, int] = dataclasses.field(
        default_factory=dict
    )
    ends: list[runs.EndRow] = dataclasses.field(default_factory=list)
    finished: list[runs.EndRow] = dataclasses.field(default_factory=list)
    last_end: int = 0
    heartbeats: int = 0
    stuck: bool = False
    draining: bool = False
    stop_ms: float = 0.0
    checkpoint_chars: int = 0
    max_listed_ends: int = 500
    refuses_starts: bool = False
    lacks_room: bool = False
    hides_stopping: bool = False
    labels: tuple[str, ...] = ("a", "r1-1")
    zone: str = "zone"
    former_capacities: list[tuple[float, resources.Resources]] = (
        dataclasses.field(default_factory=list)
    )
    work_model: WorkModel = dataclasses.field(default_factory=FixedEnds)

    def read_capacity(self) -> resources.Resources:
        return resources.Resources(
            self.cpu_millis, self.memory_mb, self.accelerators
        )

    def resize(self, now_ms: float, capacity: resources.Resources) -> None:
        """Changes the capacity; what runs goes on."""
        self.former_capacities.append((now_ms, self.read_capacity()))
        self.cpu_millis = capacity.cpu_millis
        self.memory_mb = capacity.memory_mb
        self.accelerators = capacity.accelerators

    def find_largest_capacity(self, since_ms: float) -> resources.Resources:
        """Returns the largest amounts that it has had since then."""
        largest = self.read_capacity()
        for until_ms, capacity in self.former_capacities:
            if until_ms > since_ms:
                largest = largest.take_larger(capacity)
        return largest

    def list_runs(self) -> tuple[runs.RunRow, ...]:
        return tuple(
            self._build_row(run)
            for run in self.running.values()
            if not (self.hides_stopping and run.stopped_at_ms is not None)
        )

    def _build_row(self, run: FakeRun) -> runs.RunRow:
        row = self.work_model.build_row(run)
        if not self.checkpoint_chars:
            return row
        checkpoint = runs.Checkpoint("c" * self.checkpoint_chars)
        return msgspec.structs.replace(row, checkpoint=checkpoint)

    def list_ends(self) -> tuple[runs.EndRow, ...]:
        return tuple(self.ends[: self.max_listed_ends])

    def sum_requests(self) -> resources.Resources:
        """Returns what all runs reserve, also those that are being stopped."""
        total = resources.NOTHING
        for run in self.running.values():
            total += resources.Resources(
                run.cpu_millis, run.memory_mb, run.accelerators
            )
        return total

    def describe(self) -> runs.Worker:
        self.heartbeats += 1
        return runs.Worker(
            runs.WorkerIncarnation(self.name, self.started_ms),
            "pool",
            f"{self.name}:1",
            self.zone,
            runs.WorkerState.DRAINING
            if self.draining
            else runs.WorkerState.READY,
            self.cpu_millis,
            self.memory_mb,
            self.accelerators,
            self.labels,
            self.heartbeats,
        )

    def restart(self, now_ms: float, down_ms: float) -> None:
        self.started_ms += 1000
        self.up_at_ms = now_ms + down_ms
        self.fence = self.until_ms = self.last_end = 0
        self.running.clear()
        self.highest_runs.clear()
        self.ends.clear()

    def read_clock(self, now_ms: float) -> int:
        return int((now_ms - self.up_at_ms) * self.rate)

    def advance(self, now_ms: float) -> None:
        """Ends the runs that have finished or whose lease has expired."""
        expired = self.read_clock(now_ms) >= self.until_ms
        lease_end_ms = self.up_at_ms + self.until_ms / self.rate
        self.work_model.work(self, min(now_ms, lease_end_ms))
        for run in list(self.running.values()):
            finish_ms = self.work_model.estimate_finish_ms(run, now_ms)
            if finish_ms <= now_ms and not self.stuck:
                self.end_run(run, run.end)
            elif run.stopped_at_ms is not None and run.stopped_at_ms <= now_ms:
                self.end_run(run, runs.RunEnd.STOPPED)
            elif expired:
                self.end_run(run, runs.RunEnd.EXPIRED)

    def end_run(self, run: FakeRun, end: runs.RunEnd) -> None:
        del self.running[run.ref.task]
        self.last_end += 1
        row = runs.EndRow(
            runs.EndNumber(self.last_end),
            run.ref,
            end,
            self.work_model.read_checkpoint(run),
        )
        self.ends.append(row)
        self.finished.append(row)

    def break_gang(self, lost: runs.RunRef) -> None:
        """Ends the runs of a gang of which one run was lost."""
        task = lost.task
        for ref, run in list(self.running.items()):
            key = (ref.job_id, ref.repetition, ref.step, run.ref.run)
            if key == (task.job_id, task.repetition, task.step, lost.run):
                self.end_run(run, runs.RunEnd.GANG_ENDED)

    def _extend_lease(self, until_ms: int, now_ms: float) -> None:
        """Extends the lease; it is never shortened."""
        latest_ms = self.read_clock(now_ms) + MAX_HOLD_MS
        self.until_ms = max(self.until_ms, min(until_ms, latest_ms))

    def poll(self, effect: effects.PollWorker, now_ms: float) -> Result:
        if effect.fence < self.fence:
            return Result.FENCED
        self.fence = effect.fence
        if effect.until_ms is not None:
            self._extend_lease(effect.until_ms, now_ms)
        self.ends = [
            row for row in self.ends if row.number > effect.acknowledged
        ]
        return Result.DONE

    def start(
        self,
        effect: effects.StartRun,
        now_ms: float,
        finish_ms: float,
        end: runs.RunEnd,
    ) -> Result:
        if self.refuses_starts:
            return Result.UNHEALTHY
        if self.lacks_room:
            return Result.NO_CAPACITY
        command = effect.command
        task, run = command.ref.task, command.ref.run
        if effect.fence < self.fence:
            return Result.FENCED
        self.fence = effect.fence
        self._extend_lease(effect.until_ms, now_ms)
        if effect.until_ms <= self.read_clock(now_ms):
            return Result.LATE
        current = self.running.get(task)
        if current is not None and current.ref.run == run:
            return Result.DONE
        if run <= self.highest_runs.get(task, 0):
            return Result.STALE
        self.highest_runs[task] = run
        cpu_millis = 0 if command.best_effort else command.cpu_millis
        started = FakeRun(
            command.ref,
            finish_ms,
            end,
            cpu_millis,
            command.memory_mb,
            command.accelerators,
        )
        self.running[task] = started
        self.work_model.begin(started, command, now_ms)
        return Result.DONE

    def throttle(self, effect: effects.ThrottleRun, now_ms: float) -> Result:
        self.work_model.throttle(effect.ref, effect.throttle_percent, now_ms)
        return Result.DONE

    def stop(self, effect: effects.StopRun, now_ms: float = 0.0) -> Result:
        if effect.fence < self.fence:
            return Result.FENCED
        self.fence = effect.fence
        task = effect.ref.task
        highest = self.highest_runs.get(task, 0)
        self.highest_runs[task] = max(highest, effect.ref.run)
        current = self.running.get(task)
        if current is None or current.ref.run != effect.ref.run:
            return Result.DONE
        if not self.stop_ms:
            self.end_run(current, runs.RunEnd.STOPPED)
        elif current.stopped_at_ms is None:
            current.stopped_at_ms = now_ms + self.stop_ms
        return Result.DONE
