"""What must hold of all workers and the store together."""

import dataclasses

from gypsumhold.model.jobs import messages, records, runs
from tests.jobs import store_fake, worker_fake


class Violation(AssertionError):
    """A promise was broken: twice, order, room, or an end forgotten."""


@dataclasses.dataclass(slots=True)
class Oracle:
    """Sees the store and every worker, whatever the processes believe."""

    store: store_fake.FakeStore
    workers: dict[str, worker_fake.FakeWorker]

    def check_start(
        self,
        worker: worker_fake.FakeWorker,
        command: runs.StartCommand,
        now_ms: float,
    ) -> None:
        """Checks a run that has just begun on a worker."""
        task = command.ref.task
        for other in self.workers.values():
            other.advance(now_ms)
            if other is not worker and task in other.running:
                raise Violation(f"{task} runs on two workers")
        record = self.store.progress.get(task.job_id)
        if task.job_id not in self.store.jobs or record is None:
            raise Violation(f"{task} was started without a stored placement")
        self._check_order(task, record)
        used = sum(run.cpu_millis for run in worker.running.values())
        if used > worker.cpu_millis:
            raise Violation(f"{worker.name} has {used} millis of work")

    def _check_order(
        self, task: runs.TaskRef, record: records.ProgressRecord
    ) -> None:
        stored = {step.step: step.tasks for step in record.steps}
        spec = self.store.jobs[task.job_id]
        for before in spec.steps[task.step].after:
            done = records.TaskState.DONE
            if any(it.state is not done for it in stored.get(before, ())):
                raise Violation(f"{task} started before step {before}")

    def check_noted(
        self, worker: worker_fake.FakeWorker, listed: list[runs.EndRow]
    ) -> None:
        """Ends may be forgotten only once what they say is stored."""
        for end in listed:
            if end.number > worker.noted:
                continue
            record = self.store.progress.get(end.ref.task.job_id)
            if record is None or record.state in messages.FINAL_STATES:
                continue
            task = _find(record, end.ref.task)
            if task is None or task.run != end.ref.run:
                continue
            if task.state is records.TaskState.PLACED:
                raise Violation(f"the end of {end.ref.task} was forgotten")


def _find(
    record: records.ProgressRecord, ref: runs.TaskRef
) -> records.TaskRecord | None:
    for step in record.steps:
        if (step.repetition, step.step) == (ref.repetition, ref.step):
            return step.tasks[ref.index]
    return None
