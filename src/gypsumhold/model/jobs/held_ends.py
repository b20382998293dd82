"""Ends as done that a worker has to keep, as their runs may begin again."""

import dataclasses
import datetime

from gypsumhold.model import ids
from gypsumhold.model.jobs import runs


@dataclasses.dataclass(frozen=True, slots=True)
class KeptEnd:
    """The end as done of a run that may begin once more.

    Attributes:
        ref: The run.
        reporter: Process of the agent that reported the late start last; None
            if none has.
        until: Until when the run may work by that start.
    """

    ref: runs.RunRef
    reporter: ids.Incarnation | None
    until: datetime.timedelta
