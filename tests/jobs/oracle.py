"""Invariants that hold across all workers and the store."""

import dataclasses

from gypsumhold.model.jobs import messages, records, runs, specs
from tests.jobs import store_fake, worker_fake

RESIZE_GRACE_MS = 4100
"""How long an order may rely on a capacity that has shrunk: the time for which
a machine must be undisturbed to be judged, and one heartbeat."""


LATE_START_MS = 1000
"""How long after a done run was acknowledged an order under way may arrive."""


class Violation(AssertionError):
    """An invariant is violated.

    A task runs twice or after it was done, a step starts before its
    predecessors, a worker runs more than its capacity, an end is discarded
    before it is stored, or a run that goes on is reported as ended.
    """


@dataclasses.dataclass(slots=True)
class Oracle:
    """Checks invariants against the store and the workers themselves.

    The state of entries and agents is not used.

    Attributes:
        store: The store.
        workers: Workers by instance.
        noted_done: When the end of a done run was acknowledged, by task, with
            the number of submissions of its job until then.
        started: Every run that a worker has started, in order.
        resize_grace_ms: How long an order may rely on a capacity that has
            shrunk.
        evacuated_ms: Since when data centres are evacuated, by name.
        evacuation_ms: Time after which nothing may start there.
        unfrozen_ms: When the agent of a worker was last unfrozen, by the name
            of the worker.
    """

    store: store_fake.FakeStore
    workers: dict[str, worker_fake.FakeWorker]
    noted_done: dict[runs.TaskRef, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    started: list[runs.RunRef] = dataclasses.field(default_factory=list)
    resize_grace_ms: float = RESIZE_GRACE_MS
    evacuated_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuation_ms: float = 5000.0
    unfrozen_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def check_start(
        self,
        worker: worker_fake.FakeWorker,
        command: runs.StartCommand,
        now_ms: float,
        ordered_ms: float | None = None,
    ) -> None:
        """Checks a run that was just started on a worker.

        Args:
            worker: The worker.
            command: The start command.
            now_ms: Current time.
            ordered_ms: When the command was sent; None if it was just sent.
        """
        task = command.ref.task
        self.started.append(command.ref)
        for other in self.workers.values():
            other.advance(now_ms)
            if other is not worker and task in other.running:
                raise Violation(f"{task} runs on two workers")
        if ordered_ms is None:
            self._check_not_done(task, now_ms)
            self._check_evacuation(worker, now_ms)
        else:
            self._check_end_is_not_discarded(task)
        record = self.store.progress.get(task.job_id)
        if task.job_id not in self.store.jobs or record is None:
            raise Violation(f"{task} was started without a stored placement")
        is_ended = record.state in messages.FINAL_STATES
        if is_ended and ordered_ms is not None:
            self._check_order_by_ends(task)
        else:
            self._check_step_order(task, record)
        self._check_capacity(
            worker, now_ms if ordered_ms is None else ordered_ms
        )

    def _check_not_done(self, task: runs.TaskRef, now_ms: float) -> None:
        if task not in self.noted_done:
            return
        noted_ms, submissions = self.noted_done[task]
        is_same_job = self._count_submissions(task.job_id) == submissions
        if is_same_job and now_ms > noted_ms + LATE_START_MS:
            raise Violation(f"{task} was done before")

    def _check_end_is_not_discarded(self, task: runs.TaskRef) -> None:
        """Checks a start that was carried out late; it has no grace time."""
        noted = self.noted_done.get(task)
        if noted and noted[1] == self._count_submissions(task.job_id):
            raise Violation(f"{task} started late after its end as done")

    def _check_evacuation(
        self, worker: worker_fake.FakeWorker, now_ms: float
    ) -> None:
        since_ms = self.evacuated_ms.get(worker.zone)
        if since_ms is not None and now_ms > since_ms + self.evacuation_ms:
            raise Violation(f"{worker.zone} is evacuated since {since_ms} ms")

    def _count_submissions(self, job_id: specs.JobId) -> int:
        return sum(
            submitted == job_id and not cancels
            for _, submitted, cancels in self.store.changes
        )

    def _check_capacity(
        self, worker: worker_fake.FakeWorker, ordered_ms: float
    ) -> None:
        since_ms = ordered_ms - self.resize_grace_ms
        if self.unfrozen_ms.get(worker.name, -self.resize_grace_ms) > since_ms:
            since_ms = 0.0
        used = worker.sum_requests()
        if not used.fits_in(worker.find_largest_capacity(since_ms)):
            raise Violation(
                f"{worker.name} has {used.cpu_millis} CPU millis in use,"
                f" {used.memory_mb} MB and {used.accelerators} accelerators"
            )

    def _check_step_order(
        self, task: runs.TaskRef, record: records.ProgressRecord
    ) -> None:
        stored = {
            (step.repetition, step.step): step.tasks for step in record.steps
        }
        spec = self.store.jobs[task.job_id]
        for predecessor in spec.steps[task.step].after:
            key = (task.repetition, predecessor)
            if key in stored and not stored[key]:
                # A done step may be stored without its tasks.
                continue
            tasks = stored.get(key, ())
            done = [
                task_record
                for task_record in tasks
                if task_record.state is records.TaskState.DONE
            ]
            if len(done) != spec.steps[predecessor].count:
                raise Violation(f"{task} started before step {predecessor}")

    def _check_order_by_ends(self, task: runs.TaskRef) -> None:
        """Checks a late start of an ended job, whose record has no steps."""
        done = {
            end.ref.task
            for worker in self.workers.values()
            for end in worker.finished
            if end.end is runs.RunEnd.DONE
        }
        spec = self.store.jobs[task.job_id]
        for predecessor in spec.steps[task.step].after:
            for index in range(spec.steps[predecessor].count):
                before = runs.TaskRef(
                    task.job_id, task.repetition, predecessor, index
                )
                if before not in done:
                    raise Violation(f"{task} started before {before}")

    def check_reported_ends(
        self,
        worker: worker_fake.FakeWorker,
        report: messages.Report,
        now_ms: float,
    ) -> None:
        """Checks that what an agent counts as ended has ended on its worker."""
        if not report.runs_ended:
            return
        worker.advance(now_ms)
        listed = {row.ref for row in report.rows}
        for run in worker.running.values():
            if run.ref not in listed:
                raise Violation(f"{run.ref} is reported as ended and goes on")

    def check_discarded_ends(
        self,
        worker: worker_fake.FakeWorker,
        listed: list[runs.EndRow],
        now_ms: float,
    ) -> None:
        """Checks that the worker discards ends only after they are stored."""
        for end in listed:
            if end in worker.ends:
                continue
            task = end.ref.task
            if end.end is runs.RunEnd.DONE and task not in self.noted_done:
                submissions = self._count_submissions(task.job_id)
                self.noted_done[task] = (now_ms, submissions)
            record = self.store.progress.get(end.ref.task.job_id)
            if record is None or record.state in messages.FINAL_STATES:
                continue
            stored = _find_task(record, task)
            if stored is None or stored.run != end.ref.run:
                continue
            if stored.state is records.TaskState.PLACED:
                raise Violation(
                    f"the end of {end.ref.task} was discarded unstored"
                )


def _find_task(
    record: records.ProgressRecord, ref: runs.TaskRef
) -> records.TaskRecord | None:
    for step in record.steps:
        is_step = (step.repetition, step.step) == (ref.repetition, ref.step)
        if is_step and step.tasks:
            return step.tasks[ref.index]
    return None
