"""Restarts and cuts of workers, in series."""

import abc
import random
import time
from collections.abc import Sequence

from tests.soak import faults, restart_workers

FIRST_RESTART_S = 3.0
RESTART_INTERVAL_S = 6.0
RARE_RESTART_INTERVAL_S = 9.0
DOWN_MS = (50.0, 300.0)
ABSENT_MS = (500.0, 5_000.0)
"""Downtimes that the list of machines shows."""

LONG_ABSENCE_MS = (13_000.0, 18_000.0)
"""Downtimes in which the list settles open starts: no call is 12 s late."""

LONG_ABSENCE_SHARE = 0.25

MAX_RESTARTED = 4
UNTIL_CUT_S = (0.6, 1.8)
CUT_DURATION_S = (9.0, 10.0)
FIXED_CUT_DURATION_S = (10.0, 10.0)
LEASE_CUT_S = (8.0, 12.0)
"""Cuts in most of which a lease of 7 s lapses."""

LATE_COMMANDS_S = (1.5, 6.0)
"""Time before a restart from which most commands are held back."""

FIRST_CENTRE_S = 5.0
CENTRE_INTERVAL_S = 14.0
CENTRE_OUTAGES = 3
FIRST_LAPSE_S = 4.0
LAPSE_INTERVAL_S = 9.0

Workers = Sequence[restart_workers.RestartWorker]


class Series(faults.Injector):
    """Injects faults of one sort at fixed intervals.

    Args:
        generator: Source of the random choices.
        workers: All workers.
        first_s: Time of the first fault.
        interval_s: Time between faults.
    """

    cut_duration_s = CUT_DURATION_S

    def __init__(
        self,
        generator: random.Random,
        workers: Workers,
        first_s: float,
        interval_s: float,
    ) -> None:
        self._random = generator
        self._workers = workers
        self._first_s = first_s
        self._interval_s = interval_s
        self._next: float | None = None

    def update(self) -> None:
        """Injects the faults that are due."""
        now = time.monotonic()
        if self._next is None:
            self._next = now + self._first_s
        if now >= self._next:
            self._next = now + self._interval_s
            self._inject()

    @abc.abstractmethod
    def _inject(self) -> None:
        """Injects the faults of one moment."""

    def _restart(self, worker: restart_workers.RestartWorker) -> None:
        """Starts the next incarnation of a worker."""
        worker.restart(self._draw_down_ms())

    def _draw_down_ms(self) -> float:
        """Returns for how long a worker is down."""
        return self._random.uniform(*DOWN_MS)

    def _cut_soon(self, worker: restart_workers.RestartWorker) -> None:
        """Cuts a worker off shortly after its restart."""
        until_cut_s = self._random.uniform(*UNTIL_CUT_S)
        worker.cut(until_cut_s, self._random.uniform(*self.cut_duration_s))

    def end_all(self) -> None:
        """Lets all workers answer at once."""
        for worker in self._workers:
            worker.end_faults()


class SingleRestarts(Series):
    """Restarts some workers, and cuts off all but one of them."""

    def __init__(
        self,
        generator: random.Random,
        workers: Workers,
        interval_s: float = RESTART_INTERVAL_S,
    ) -> None:
        super().__init__(generator, workers, FIRST_RESTART_S, interval_s)

    def _inject(self) -> None:
        """Restarts workers that are in reach."""
        reachable = [worker for worker in self._workers if not worker.is_cut()]
        limit = min(MAX_RESTARTED, len(self._workers) // 2, len(reachable))
        chosen = self._random.sample(reachable, limit)
        for worker in chosen:
            self._restart(worker)
        for worker in chosen[1:]:
            self._cut_soon(worker)


class FixedCuts(SingleRestarts):
    """As `SingleRestarts`, with cuts of 10 s."""

    cut_duration_s = FIXED_CUT_DURATION_S


class LateCommands(SingleRestarts):
    """Workers hold most commands back for some seconds, then restart.

    The next incarnation takes these commands. If a start and the repeated one
    were both held, the task may have been placed elsewhere by then.
    """

    def __init__(self, generator: random.Random, workers: Workers) -> None:
        super().__init__(generator, workers, RARE_RESTART_INTERVAL_S)
        self._due: list[tuple[float, restart_workers.RestartWorker]] = []

    def update(self) -> None:
        """Begins to hold commands back, and restarts workers that did so."""
        super().update()
        now = time.monotonic()
        due = [worker for at, worker in self._due if at <= now]
        self._due = [entry for entry in self._due if entry[0] > now]
        for worker in due:
            super()._restart(worker)
            super()._cut_soon(worker)

    def _restart(self, worker: restart_workers.RestartWorker) -> None:
        """Lets a worker hold commands back until its restart."""
        delay_s = self._random.uniform(*LATE_COMMANDS_S)
        worker.hold_commands(delay_s)
        self._due.append((time.monotonic() + delay_s, worker))

    def _cut_soon(self, worker: restart_workers.RestartWorker) -> None:
        """Does nothing: the cut follows the restart."""


class Absences(LateCommands):
    """As `LateCommands`, and workers are down for seconds."""

    def _draw_down_ms(self) -> float:
        is_long = self._random.random() < LONG_ABSENCE_SHARE
        return self._random.uniform(
            *(LONG_ABSENCE_MS if is_long else ABSENT_MS)
        )


class CentreRestarts(Series):
    """Restarts all workers of a data centre and cuts them off, three times."""

    def __init__(self, generator: random.Random, workers: Workers) -> None:
        super().__init__(generator, workers, FIRST_CENTRE_S, CENTRE_INTERVAL_S)
        self._left = CENTRE_OUTAGES

    def _inject(self) -> None:
        """Restarts the workers of a random data centre."""
        if not self._left:
            return
        self._left -= 1
        zones = sorted({worker.fake.zone for worker in self._workers})
        zone = self._random.choice(zones)
        chosen = [
            worker for worker in self._workers if worker.fake.zone == zone
        ]
        for worker in chosen:
            self._restart(worker)
        for worker in chosen:
            self._cut_soon(worker)


class Lapses(Series):
    """Cuts a worker off for longer than its lease; its incarnation goes on."""

    def __init__(self, generator: random.Random, workers: Workers) -> None:
        super().__init__(generator, workers, FIRST_LAPSE_S, LAPSE_INTERVAL_S)

    def _inject(self) -> None:
        """Cuts off a worker that no cut awaits."""
        reachable = [
            worker for worker in self._workers if not worker.is_cut_soon()
        ]
        if reachable:
            worker = self._random.choice(reachable)
            worker.cut(0.0, self._random.uniform(*LEASE_CUT_S))


class JointInjector(faults.Injector):
    """Injects the faults of several injectors."""

    def __init__(self, injectors: Sequence[faults.Injector]) -> None:
        self._injectors = injectors

    def update(self) -> None:
        """Updates all injectors."""
        for injector in self._injectors:
            injector.update()

    def end_all(self) -> None:
        """Ends the faults of all injectors."""
        for injector in self._injectors:
            injector.end_all()
