"""Rules that no order of calls may break."""

import dataclasses

from gypsumhold.model import resources
from gypsumhold.model.jobs import records, runs
from tests.jobs import store_fake, worker_fake


class Violation(AssertionError):
    """An order of calls broke a rule."""


@dataclasses.dataclass(slots=True)
class Rules:
    """Checks each start and each acknowledgement on the workers themselves.

    The state of entries and agents is not used. In contrast to
    `oracle.Oracle`, calls that were under way for long are excused from no
    rule.

    Attributes:
        workers: Workers by the name of their agent.
        store: The store.
        forgotten_done: Tasks with an end as done that a worker has discarded.
    """

    workers: dict[str, worker_fake.FakeWorker]
    store: store_fake.FakeStore
    forgotten_done: set[runs.TaskRef] = dataclasses.field(default_factory=set)

    def check_start(
        self, worker: worker_fake.FakeWorker, ref: runs.RunRef, now_ms: float
    ) -> None:
        """Checks a run that has just begun on a worker."""
        for other in self.workers.values():
            other.advance(now_ms)
            if other is not worker and ref.task in other.running:
                raise Violation("TWICE: a task runs on two workers")
        if ref.task in self.forgotten_done:
            raise Violation("TWICE: a task starts after its end as done")
        capacity: resources.Resources = worker.read_capacity()
        if not worker.sum_requests().fits_in(capacity):
            raise Violation("LIMIT: a worker runs more than its capacity")

    def check_discarded(
        self, worker: worker_fake.FakeWorker, before: list[runs.EndRow]
    ) -> None:
        """Checks the ends that a worker has just discarded."""
        for end in before:
            if end in worker.ends or end.end is not runs.RunEnd.DONE:
                continue
            self.forgotten_done.add(end.ref.task)
            if not self._is_stored_as_done(end.ref):
                raise Violation("END: an end as done is discarded unstored")

    def _is_stored_as_done(self, ref: runs.RunRef) -> bool:
        record = self.store.progress.get(ref.task.job_id)
        if record is None:
            return True
        for step in record.steps:
            is_step = (step.repetition, step.step) == (
                ref.task.repetition,
                ref.task.step,
            )
            if is_step and step.tasks:
                task = step.tasks[ref.task.index]
                return task.state is not records.TaskState.PLACED
        return True
