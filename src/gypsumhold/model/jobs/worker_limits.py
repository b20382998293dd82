"""Limits of workers, and of the calls to them, that leases depend on."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLimits:
    """How long runs may go on, and calls may be under way, at most.

    The incarnations of a worker may share a name, and each of them takes calls
    that were meant for a former one. A lease in such a call is a reading of the
    former clock, so it may last for `max_hold`, whatever it was meant to be.

    Attributes:
        max_hold: Longest lease that a worker keeps, on its own clock.
        clock_slack: Fraction by which the worker's clock may run slow.
        min_drain: Least time for which a worker goes on after it was first
            heard to drain, on its own clock.
        max_call_delay: Longest time after which a call that got no answer is
            still carried out. The platform sets no limit; this is the longest
            delay of its own tests.
    """

    max_hold: datetime.timedelta = datetime.timedelta(seconds=10)
    clock_slack: float = 0.02
    min_drain: datetime.timedelta = datetime.timedelta(seconds=2)
    max_call_delay: datetime.timedelta = datetime.timedelta(seconds=12)

    def stretch(self, span: datetime.timedelta) -> datetime.timedelta:
        """Returns how long a time on the worker's clock may really take."""
        return span / (1 - self.clock_slack)

    def measure_longest_lease(self) -> datetime.timedelta:
        """Returns how long the lease of any call lasts once it is taken."""
        return self.stretch(self.max_hold)

    def measure_longest_late_run(self) -> datetime.timedelta:
        """Returns how long a run may go on after its start was sent.

        This holds for a start without an answer if no incarnation of the
        worker answers later calls either.
        """
        return self.max_call_delay + self.measure_longest_lease()
