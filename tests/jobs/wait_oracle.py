"""Checks that no open job stays without a run while there is capacity.

The platform judges it only when no fault was near, so samples begin once it has
been calm for `CALM_MS`.
"""

import dataclasses
from collections.abc import Iterator

from gypsumhold.model import resources
from gypsumhold.model.jobs import messages, runs, specs
from tests.jobs import oracle, store_fake, wait_rules, worker_fake

MAX_WAIT_MS = 3000.0
"""Longest time that an open job may have nothing running."""

LASTING_GRACE_MS = 6000.0
"""Time after the last run of a task that lasts before its wait counts."""

CALM_MS = 5000.0
"""Time after the end of the last fault before a wait counts."""

MIN_ROOM = 2
"""How often a task has to fit into the free capacity."""

MAX_USED_SHARE = 0.5
"""Share of the capacity in use from which waits don't count; those of tasks
that last count at any load."""

Key = specs.JobId | runs.TaskRef


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """A time in which a job, or a task that lasts, could run and did not.

    Attributes:
        task: The lasting task, or the first due one of the job at the latest
            sample.
        since_ms: First sample of the wait.
        until_ms: Latest sample of the wait.
    """

    task: runs.TaskRef
    since_ms: float
    until_ms: float

    def measure_ms(self) -> float:
        return self.until_ms - self.since_ms


@dataclasses.dataclass(slots=True)
class WaitOracle:
    """Samples the workers and the store; the state of processes is not used.

    Each job runs once; repetitions are not judged.

    Attributes:
        store: The store.
        workers: Workers by instance.
        checks: The checks of starts, which know the acknowledged ends.
        waits: Waits that go on.
        longest: Longest wait of each job.
        violations: Waits longer than `MAX_WAIT_MS`, by job or lasting task.
        seen_ends: How many ends of each worker were read.
        listed_done: Tasks that are done by an end which their worker has not
            discarded yet, by worker.
        started_ms: Start of the incarnation of each worker.
        done: Tasks that are done, by job and step.
        last_run_ms: When a task that lasts last ran.
        run_rule: Which runs keep their job from waiting. Those of tasks that
            last always do.
        lost_ends: What becomes of an end that its worker loses.
    """

    store: store_fake.FakeStore
    workers: dict[str, worker_fake.FakeWorker]
    checks: oracle.Oracle
    waits: dict[Key, Wait] = dataclasses.field(default_factory=dict)
    longest: dict[Key, Wait] = dataclasses.field(default_factory=dict)
    violations: dict[Key, Wait] = dataclasses.field(default_factory=dict)
    seen_ends: dict[str, int] = dataclasses.field(default_factory=dict)
    listed_done: dict[str, set[runs.TaskRef]] = dataclasses.field(
        default_factory=dict
    )
    started_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    done: dict[tuple[specs.JobId, int], set[int]] = dataclasses.field(
        default_factory=dict
    )
    last_run_ms: dict[runs.TaskRef, float] = dataclasses.field(
        default_factory=dict
    )
    run_rule: wait_rules.RunRule = dataclasses.field(
        default_factory=wait_rules.AnyRun
    )
    lost_ends: wait_rules.LostEnds = wait_rules.LostEnds.RUN_AGAIN

    def sample(self, now_ms: float) -> None:
        """Reads all workers and updates the waits."""
        up = [
            worker
            for worker in self.workers.values()
            if worker.up_at_ms <= now_ms
        ]
        for worker in up:
            worker.advance(now_ms)
        for instance, worker in self.workers.items():
            self._read_ends(instance, worker)
        running = {task for worker in up for task in worker.running}
        working_jobs = {
            run.ref.task.job_id
            for worker in up
            for run in worker.running.values()
            if self._counts(worker, run)
        }
        room = _Room([worker for worker in up if not worker.draining])
        is_half_free = room.measure_used_share() < MAX_USED_SHARE
        waiting = dict(
            self._list_waiting(
                running, working_jobs, room, now_ms, is_half_free=is_half_free
            )
        )
        for key in self.waits.keys() - waiting.keys():
            del self.waits[key]
        for key, task in waiting.items():
            self._extend_wait(key, task, now_ms)

    def _counts(
        self, worker: worker_fake.FakeWorker, run: worker_fake.FakeRun
    ) -> bool:
        task = run.ref.task
        is_done = task.index in self.done.get((task.job_id, task.step), ())
        return self.run_rule.counts(worker, run, is_done=is_done)

    def _extend_wait(self, key: Key, task: runs.TaskRef, now_ms: float) -> None:
        before = self.waits.get(key, Wait(task, now_ms, now_ms))
        wait = dataclasses.replace(before, task=task, until_ms=now_ms)
        self.waits[key] = wait
        longest = self.longest.get(key)
        if longest is None or wait.measure_ms() >= longest.measure_ms():
            self.longest[key] = wait
        if wait.measure_ms() > MAX_WAIT_MS:
            self.violations[key] = wait

    def _read_ends(self, instance: str, worker: worker_fake.FakeWorker) -> None:
        """Counts tasks as done from their end on the worker.

        An end that the worker loses in a restart, before it was acknowledged,
        does not count any more: the task runs again. Where lost ends count,
        it does.
        """
        listed = self.listed_done.setdefault(instance, set())
        if self.started_ms.get(instance) != worker.started_ms:
            self.started_ms[instance] = worker.started_ms
            if self.lost_ends is wait_rules.LostEnds.RUN_AGAIN:
                for task in listed - self.checks.noted_done.keys():
                    self._get_done(task).discard(task.index)
            listed.clear()
        listed.difference_update(self.checks.noted_done)
        first = self.seen_ends.get(instance, 0)
        self.seen_ends[instance] = len(worker.finished)
        for end in worker.finished[first:]:
            if end.end is runs.RunEnd.DONE and self._is_kept(worker, end):
                self._get_done(end.ref.task).add(end.ref.task.index)
                listed.add(end.ref.task)

    def _is_kept(
        self, worker: worker_fake.FakeWorker, end: runs.EndRow
    ) -> bool:
        """Tells whether an end counts that is read for the first time.

        Its worker may have lost it already, between two samples or before the
        first one.
        """
        if self.lost_ends is wait_rules.LostEnds.DONE:
            return True
        return end in worker.ends or end.ref.task in self.checks.noted_done

    def _get_done(self, task: runs.TaskRef) -> set[int]:
        return self.done.setdefault((task.job_id, task.step), set())

    def _list_waiting(
        self,
        running: set[runs.TaskRef],
        working_jobs: set[specs.JobId],
        room: "_Room",
        now_ms: float,
        *,
        is_half_free: bool,
    ) -> Iterator[tuple[Key, runs.TaskRef]]:
        """Yields what could run and does not, with its first such task."""
        for job_id, spec in self.store.jobs.items():
            if not self._is_open(job_id):
                continue
            if is_half_free and job_id not in working_jobs:
                task = self._find_due_task(spec, room)
                if task is not None:
                    yield job_id, task
            for number, step in enumerate(spec.steps):
                if step.long_running and self._has_turn_come(spec, number):
                    yield from self._list_waiting_tasks(
                        spec, number, running, room, now_ms
                    )

    def _is_open(self, job_id: specs.JobId) -> bool:
        record = self.store.progress.get(job_id)
        is_ended = record is not None and record.state in messages.FINAL_STATES
        return not is_ended and job_id not in self.store.cancelled

    def _has_turn_come(self, spec: specs.JobSpec, number: int) -> bool:
        return all(
            self._is_done(spec, before) for before in spec.steps[number].after
        )

    def _is_done(self, spec: specs.JobSpec, number: int) -> bool:
        """Tells whether a step is done; a gang is with its first task."""
        step = spec.steps[number]
        done = len(self.done.get((spec.job_id, number), ()))
        return done >= (1 if step.gang else step.count)

    def _find_due_task(
        self, spec: specs.JobSpec, room: "_Room"
    ) -> runs.TaskRef | None:
        """Returns the first task whose turn has come and that has room."""
        for number, step in enumerate(spec.steps):
            if step.long_running or self._is_done(spec, number):
                continue
            if self._has_turn_come(spec, number) and room.has_for(spec, number):
                done = self.done.get((spec.job_id, number), set())
                index = next(i for i in range(step.count) if i not in done)
                return runs.TaskRef(spec.job_id, 0, number, index)
        return None

    def _list_waiting_tasks(
        self,
        spec: specs.JobSpec,
        number: int,
        running: set[runs.TaskRef],
        room: "_Room",
        now_ms: float,
    ) -> Iterator[tuple[runs.TaskRef, runs.TaskRef]]:
        """Yields the tasks of a lasting step that could run and do not."""
        for index in range(spec.steps[number].count):
            task = runs.TaskRef(spec.job_id, 0, number, index)
            if task in running:
                self.last_run_ms[task] = now_ms
                continue
            last_ms = self.last_run_ms.setdefault(task, now_ms)
            is_judged = now_ms >= last_ms + LASTING_GRACE_MS
            if is_judged and room.has_for(spec, number):
                yield task, task


class _Room:
    """Free capacity of the workers that take runs, at one moment."""

    def __init__(self, workers: list[worker_fake.FakeWorker]) -> None:
        self._workers = workers
        self._free = [
            worker.read_capacity() - worker.sum_requests() for worker in workers
        ]
        self._counts: dict[tuple[resources.Resources, str], int] = {}

    def measure_used_share(self) -> float:
        """Returns the larger share in use of processors and memory."""
        total = free = resources.NOTHING
        for worker, left in zip(self._workers, self._free, strict=True):
            total += worker.read_capacity()
            free += left
        if not total.cpu_millis or not total.memory_mb:
            return 1.0
        return max(
            1 - free.cpu_millis / total.cpu_millis,
            1 - free.memory_mb / total.memory_mb,
        )

    def has_for(self, spec: specs.JobSpec, number: int) -> bool:
        """Tells whether a task, or its whole gang, has room twice over."""
        step = spec.steps[number]
        wanted = MIN_ROOM * (step.count if step.gang else 1)
        if step.max_per_worker:
            return self._count_with_limit(spec, number) >= wanted
        return self._count(step) >= wanted

    def _count(self, step: specs.StepSpec) -> int:
        """Returns how many tasks of a step fit into the free capacity."""
        request = _build_request(step)
        key = (request, step.label)
        if key not in self._counts:
            self._counts[key] = sum(
                _count_fitting(request, left)
                for worker, left in zip(self._workers, self._free, strict=True)
                if _has_label(worker, step)
            )
        return self._counts[key]

    def _count_with_limit(self, spec: specs.JobSpec, number: int) -> int:
        """Counts as `_count` within the limit of tasks on one worker."""
        step = spec.steps[number]
        request = _build_request(step)
        count = 0
        for worker, left in zip(self._workers, self._free, strict=True):
            if not _has_label(worker, step):
                continue
            present = sum(
                (task.job_id, task.step) == (spec.job_id, number)
                for task in worker.running
            )
            allowed = max(0, step.max_per_worker - present)
            count += min(allowed, _count_fitting(request, left))
        return count


def _build_request(step: specs.StepSpec) -> resources.Resources:
    """Returns what a task reserves; best-effort tasks reserve no processor."""
    return resources.Resources(
        0 if step.fills else step.cpu_millis, step.memory_mb, step.accelerators
    )


def _has_label(worker: worker_fake.FakeWorker, step: specs.StepSpec) -> bool:
    return not step.label or step.label in worker.labels


def _count_fitting(
    request: resources.Resources, free: resources.Resources
) -> int:
    """Returns how often a request, which is above zero, fits into an amount."""
    amounts = (
        (request.cpu_millis, free.cpu_millis),
        (request.memory_mb, free.memory_mb),
        (request.accelerators, free.accelerators),
    )
    return max(0, min((left // one for one, left in amounts if one), default=0))
