"""What the holder of the queue knows of the platform's list of workers."""

import dataclasses
import datetime

from gypsumhold.model.jobs import runs

ZERO = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """A worker that does not answer, and that the platform does not list.

    Attributes:
        since: When the first list was asked for that lacked it.
        asked_at: When the latest one was.
    """

    since: datetime.timedelta
    asked_at: datetime.timedelta


@dataclasses.dataclass(slots=True)
class WorkerList:
    """What the holder knows of the platform's list of workers.

    Attributes:
        is_pending: Whether a read has not ended yet.
        due_at: When the next read may be sent.
        absences: Workers that the latest list lacks.
    """

    is_pending: bool = False
    due_at: datetime.timedelta = ZERO
    absences: dict[runs.WorkerName, Absence] = dataclasses.field(
        default_factory=dict
    )
