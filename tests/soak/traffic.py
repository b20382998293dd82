"""How the calls to a worker and its work behave in a play."""

import abc
import enum
import random
from collections.abc import Callable

from gypsumhold.model.jobs import runs

HELD_SHARE = 0.3
"""Share of the calls and heartbeats that are held back."""

SHORT_HOLD_S = 1.5
MIXED_HOLDS = ((0.75, (0.0, 1.5)), (0.95, (1.5, 4.0)), (1.0, (4.0, 12.0)))
"""Ranges of the holds, with the share of holds up to each of them.

The record of issue 53 has a hold of 3.5 s; the bench holds calls up to 12 s.
"""

SHORT_MS = 400
MEDIUM_MS = (2_000, 5_000)
LONG_MS = 12_000
LASTING_MS = (20_000, 60_000)
LONG_JOB_INTERVAL = 3
"""The tasks of the first step of every third job are long."""

LASTING_JOB_INTERVAL = 12
"""The tasks of the first step of every twelfth job last through cuts."""


class Holds(abc.ABC):
    """How long messages are held back."""

    def draw_s(self, generator: random.Random) -> float:
        """Returns for how long the next message is held back."""
        if generator.random() >= HELD_SHARE:
            return 0.0
        return self._draw_held_s(generator)

    @abc.abstractmethod
    def _draw_held_s(self, generator: random.Random) -> float:
        """Returns for how long a held message is held back."""


class ShortHolds(Holds):
    """Holds of up to 1.5 s."""

    def _draw_held_s(self, generator: random.Random) -> float:
        return generator.uniform(0.0, SHORT_HOLD_S)


class MixedHolds(Holds):
    """Holds of up to 12 s, most of them short."""

    def _draw_held_s(self, generator: random.Random) -> float:
        draw = generator.random()
        bounds = next(bounds for share, bounds in MIXED_HOLDS if draw < share)
        return generator.uniform(*bounds)


class CutRule(abc.ABC):
    """What becomes of the calls that arrive while a worker is cut off."""

    @abc.abstractmethod
    def await_delivery(
        self, left_s: float, wait: Callable[[float], object]
    ) -> bool:
        """Waits until a call is delivered; returns False if it never is.

        Args:
            left_s: Time until the end of the cut.
            wait: Waits for a time in seconds.
        """


class DroppedCalls(CutRule):
    """Calls that arrive during a cut are lost."""

    def await_delivery(
        self, left_s: float, wait: Callable[[float], object]
    ) -> bool:
        """Returns False at once."""
        return False


class DeliveredCalls(CutRule):
    """Calls that arrive during a cut are carried out when it ends."""

    def await_delivery(
        self, left_s: float, wait: Callable[[float], object]
    ) -> bool:
        """Waits for the end of the cut."""
        wait(left_s)
        return True


class UnansweredCalls(CutRule):
    """Calls that arrive during a cut are carried out; the answers are lost."""

    def await_delivery(
        self, left_s: float, wait: Callable[[float], object]
    ) -> bool:
        """Returns True at once."""
        return True


class CutKind(enum.Enum):
    """What a cut does to calls."""

    DROPPED = "dropped"
    DELIVERED = "delivered"
    UNANSWERED = "unanswered"


CUT_RULES: dict[CutKind, CutRule] = {
    CutKind.DROPPED: DroppedCalls(),
    CutKind.DELIVERED: DeliveredCalls(),
    CutKind.UNANSWERED: UnansweredCalls(),
}


class Durations(abc.ABC):
    """How long the runs of tasks last."""

    @abc.abstractmethod
    def choose_ms(self, task: runs.TaskRef) -> float:
        """Returns how long a run of a task lasts."""


class ShortAndLong(Durations):
    """Tasks of 0.4 and 12 s."""

    def choose_ms(self, task: runs.TaskRef) -> float:
        """Returns the same time for all tasks of a step."""
        is_long = (
            task.step == 0 and int(task.job_id, 16) % LONG_JOB_INTERVAL == 0
        )
        return LONG_MS if is_long else SHORT_MS


class LastingTasks(Durations):
    """First steps of 2 to 5 s, or of 20 to 60 s; later steps of 0.4 s.

    Those of 20 to 60 s live through a cut and the next one.
    """

    def choose_ms(self, task: runs.TaskRef) -> float:
        """Returns a time that depends on the task only."""
        if task.step != 0:
            return SHORT_MS
        is_lasting = int(task.job_id, 16) % LASTING_JOB_INTERVAL == 0
        bounds = LASTING_MS if is_lasting else MEDIUM_MS
        return random.Random(str(task)).uniform(*bounds)
