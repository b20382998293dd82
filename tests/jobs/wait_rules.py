"""What the oracle of waits counts as a run, and which ends it counts for good.

The platform's own rules are known in part only, so the oracle can play with
each.
"""

import abc
import enum

from tests.jobs import worker_fake

MIN_SPEED = 0.1
"""Least share of full speed at which a run counts as working."""


class LostEnds(enum.Enum):
    """What becomes of an end that its worker loses before it is stored."""

    RUN_AGAIN = "run again"
    """Its task is not done any more, as for the holder."""

    DONE = "done"
    """Its task is done for good, as for the platform."""


class RunRule(abc.ABC):
    """Tells which runs keep their job from waiting."""

    @abc.abstractmethod
    def counts(
        self,
        worker: worker_fake.FakeWorker,
        run: worker_fake.FakeRun,
        *,
        is_done: bool,
    ) -> bool:
        """Tells whether a run counts.

        Args:
            worker: Its worker.
            run: The run.
            is_done: Whether its task is done, by an earlier run.
        """


class AnyRun(RunRule):
    """Baseline: every run counts."""

    def counts(
        self,
        worker: worker_fake.FakeWorker,
        run: worker_fake.FakeRun,
        *,
        is_done: bool,
    ) -> bool:
        """Returns true."""
        return True


class WorkingRun(RunRule):
    """A run counts while it works on a task that is not done."""

    def counts(
        self,
        worker: worker_fake.FakeWorker,
        run: worker_fake.FakeRun,
        *,
        is_done: bool,
    ) -> bool:
        """Tells whether the run has a speed, and something left to do."""
        return not is_done and worker.work_model.get_speed(run) >= MIN_SPEED
