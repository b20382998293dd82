"""The kinds of plays with restarts of workers."""

import abc
import enum
import random

from tests.soak import faults, restart_faults, restart_workers, traffic

ALL_HALTED = 1.0
HALTED_SHARE = 0.25
"""The other runs last as long as their worker, as those of the record did."""


class PlayKind(enum.Enum):
    """Which faults a play has."""

    SHORT = "short"
    SINGLE = "single"
    CENTRE = "centre"
    LATE = "late"
    ABSENT = "absent"


class Play(abc.ABC):
    """What a kind of play consists of.

    Attributes:
        awaits_jobs: Whether every accepted job has to end after the faults.
    """

    awaits_jobs = False

    @abc.abstractmethod
    def build_traits(self, cut_rule: traffic.CutRule) -> restart_workers.Traits:
        """Returns what the workers have in common."""

    @abc.abstractmethod
    def build_faults(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        """Returns the injector of the restarts."""


class ShortPlay(Play):
    """Short holds, tasks of up to 12 s, single workers."""

    awaits_jobs = True

    def build_traits(self, cut_rule: traffic.CutRule) -> restart_workers.Traits:
        """Returns workers with short holds."""
        holds, durations = traffic.ShortHolds(), traffic.ShortAndLong()
        return restart_workers.Traits(holds, cut_rule, durations, ALL_HALTED)

    def build_faults(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        """Returns the injector of restarts of single workers."""
        return restart_faults.FixedCuts(generator, workers)


class HarshPlay(Play):
    """Holds of up to 12 s, tasks of up to 60 s, leases that lapse."""

    def build_traits(self, cut_rule: traffic.CutRule) -> restart_workers.Traits:
        """Returns workers with mixed holds."""
        holds, durations = traffic.MixedHolds(), traffic.LastingTasks()
        return restart_workers.Traits(holds, cut_rule, durations, HALTED_SHARE)

    def build_faults(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        """Returns an injector of restarts and of lapses."""
        restarts = self._build_restarts(generator, workers)
        lapses = restart_faults.Lapses(generator, workers)
        return restart_faults.JointInjector((restarts, lapses))

    @abc.abstractmethod
    def _build_restarts(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        """Returns the injector of the restarts alone."""


class SinglePlay(HarshPlay):
    """Restarts of single workers."""

    def _build_restarts(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        # Restarts each 6 s would leave few runs of 20 s.
        return restart_faults.SingleRestarts(
            generator, workers, restart_faults.RARE_RESTART_INTERVAL_S
        )


class CentrePlay(HarshPlay):
    """Restarts of whole data centres."""

    def _build_restarts(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        return restart_faults.CentreRestarts(generator, workers)


class LatePlay(HarshPlay):
    """Restarts of single workers that held commands back before."""

    def _build_restarts(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        return restart_faults.LateCommands(generator, workers)


class AbsentPlay(HarshPlay):
    """As `LatePlay`, and workers are down for seconds before they are back."""

    def _build_restarts(
        self, generator: random.Random, workers: restart_faults.Workers
    ) -> faults.Injector:
        return restart_faults.Absences(generator, workers)


PLAYS: dict[PlayKind, Play] = {
    PlayKind.SHORT: ShortPlay(),
    PlayKind.SINGLE: SinglePlay(),
    PlayKind.CENTRE: CentrePlay(),
    PlayKind.LATE: LatePlay(),
    PlayKind.ABSENT: AbsentPlay(),
}
