"""Starts of a run that an incarnation of its worker may still carry out."""

import dataclasses
import datetime

from gypsumhold.model.jobs import runs

ZERO = datetime.timedelta(0)


@dataclasses.dataclass(slots=True)
class OpenStarts:
    """The starts of one run of which nothing proves what became of them.

    Attributes:
        command: The start command; None if only a former process of the agent
            knew it.
        pending: By when each start that awaits its answer had been sent, by
            its fence.
        unanswered: Number of starts of this process that got no answer.
        former: Number of starts that former processes may have sent.
        taken_until: Until when one of those may be carried out.
    """

    command: runs.StartCommand | None
    pending: dict[int, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    unanswered: int = 0
    former: int = 0
    taken_until: datetime.timedelta = ZERO

    def count(self) -> int:
        """Returns the number of starts that may be open."""
        return len(self.pending) + self.unanswered + self.former
